//! A small deployment: the platform's store, workers and instances of the project.

use std::env;
use std::fs;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use crate::clients::Clients;
use crate::entry::Entry;
use crate::json::{Value, object};
use crate::ledger::Ledger;
use crate::relay::Relay;
use crate::store::{Gate, Store};
use crate::worker::{Worker, WorkerSettings};

/// Host of all routes.
pub const HOST: &str = "jobs.example";
/// Longest time from the start until all instances are ready.
const READY_TIMEOUT: Duration = Duration::from_secs(25);
/// `limits.cpu_share` of the machines.
const CPU_SHARE: f64 = 0.25;
/// Time between the readiness of all instances and the first job.
const SETTLE: Duration = Duration::from_secs(2);

/// What a case sets up.
pub struct Plan {
    /// Name and number of instances of each zone.
    pub zones: &'static [(&'static str, usize)],
    pub workers_per_zone: usize,
    pub service: &'static str,
    /// Thousandths of a core of each worker.
    pub worker_cpu: u64,
    /// Reading of the workers' clocks at the start.
    pub worker_uptime_ms: u64,
    pub remote_penalty: f64,
    /// `evacuate_ms`, where the deployment has it.
    pub evacuate_ms: Option<u64>,
    pub routes: &'static [(&'static str, &'static str)],
}

/// A running deployment; dropping it ends all processes.
pub struct Deployment {
    pub store: Store,
    pub workers: Vec<Worker>,
    pub entries: Vec<Entry>,
    /// In front of the link address of each instance.
    pub relays: Vec<Relay>,
    /// The store's address for each instance.
    pub gates: Vec<Gate>,
    pub ledger: Ledger,
    directory: PathBuf,
}

/// Addresses are of loopback networks of this process, so that no other program takes their
/// ports meanwhile.
fn listener(group: u8, number: usize) -> io::Result<TcpListener> {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, 1 + group * 0x20 + (high & 0x1f), low, number as u8 + 1);
    TcpListener::bind((ip, 0))
}

impl Deployment {
    /// Starts everything and waits until all instances are ready.
    ///
    /// # Errors
    ///
    /// If something cannot be started, or the instances are not ready in time.
    pub fn start(plan: &Plan, root: &Path) -> io::Result<Self> {
        let ledger = Ledger::default();
        let directory = env::temp_dir().join(format!("trefoil-review-{}", std::process::id()));
        fs::create_dir_all(&directory)?;
        let store = Store::start();
        store.put("op/config", &config(plan));
        let mut workers = Vec::new();
        for (zone, _) in plan.zones {
            for number in 0..plan.workers_per_zone {
                let settings = WorkerSettings {
                    id: format!("i-{zone}-{number}"),
                    zone: (*zone).to_owned(),
                    service: plan.service.to_owned(),
                    cpu: plan.worker_cpu,
                    uptime_ms: plan.worker_uptime_ms,
                };
                let listener = listener(0, 1 + workers.len())?;
                workers.push(Worker::start(settings, listener, &store, &ledger));
            }
        }
        let mut deployment = Self {
            store,
            workers,
            entries: Vec::new(),
            relays: Vec::new(),
            gates: Vec::new(),
            ledger,
            directory,
        };
        deployment.start_entries(plan, root)?;
        deployment.wait_until_ready()?;
        Ok(deployment)
    }

    fn start_entries(&mut self, plan: &Plan, root: &Path) -> io::Result<()> {
        let zones = plan.zones.iter();
        let names = zones.flat_map(|(zone, count)| {
            (1..=*count).map(move |number| (format!("front-{zone}-{number}"), *zone))
        });
        // All ports are taken first and then released, so that they differ.
        let mut taken = Vec::new();
        for (index, (name, zone)) in names.enumerate() {
            let listeners = [0; 4].map(|_| listener(1, index));
            let mut ports = Vec::new();
            for listener in listeners {
                ports.push(listener?);
            }
            let addresses: io::Result<Vec<SocketAddr>> =
                ports.iter().map(TcpListener::local_addr).collect();
            let addresses = addresses?;
            let relay = Relay::start(listener(0, 200 + index)?, addresses[2]);
            let gate = self.store.open_gate(listener(2, index)?);
            let inside = (relay.address, gate.address);
            taken.push((name, zone, addresses, inside, ports));
            self.relays.push(relay);
            self.gates.push(gate);
        }
        let seeds: Vec<Value> = taken
            .iter()
            .take(3)
            .map(|entry| entry.3.0.to_string().into())
            .collect();
        let mut prepared = Vec::new();
        for (name, zone, addresses, (relay, store), ports) in taken {
            drop(ports);
            let text = |index: usize| Value::from(addresses[index].to_string());
            let mut settings = vec![
                ("instance", name.as_str().into()),
                ("failure_domain", zone.into()),
                ("callers_address", text(0)),
                ("ready_address", text(1)),
                ("links_address", text(2)),
                ("links_advertised_address", relay.to_string().into()),
                ("metrics_address", text(3)),
                ("store_address", store.to_string().into()),
                ("seeds", seeds.clone().into()),
                ("cpu_share", Value::Number(CPU_SHARE)),
                ("cores", 1.into()),
                ("remote_penalty", Value::Number(plan.remote_penalty)),
                ("stop_budget_ms", 6000.into()),
            ];
            settings.extend(
                plan.evacuate_ms
                    .map(|limit_ms| ("close_within_ms", limit_ms.into())),
            );
            let settings = settings.into_iter();
            let settings = Value::Object(
                settings
                    .map(|(name, value)| (name.to_owned(), value))
                    .collect(),
            );
            let outside = (addresses[0], addresses[1]);
            prepared.push((name, zone, outside, settings));
        }
        // All machines start together.
        let directory = &self.directory;
        let started = thread::scope(|scope| {
            let starting = prepared.iter().map(|(name, zone, outside, settings)| {
                scope.spawn(move || Entry::start(root, directory, name, zone, *outside, settings))
            });
            let starting: Vec<_> = starting.collect();
            let started = starting.into_iter().map(|starting| starting.join());
            started
                .map(|entry| entry.expect("starting does not panic"))
                .collect::<io::Result<Vec<Entry>>>()
        });
        self.entries = started?;
        Ok(())
    }

    fn wait_until_ready(&self) -> io::Result<()> {
        let began = Instant::now();
        while !self.entries.iter().all(Entry::is_ready) {
            if began.elapsed() > READY_TIMEOUT {
                return Err(io::Error::other("the instances are not ready in time"));
            }
            thread::sleep(Duration::from_millis(50));
        }
        thread::sleep(SETTLE);
        let links = self.relays.iter().map(|relay| relay.peers().len());
        let links = links.sum::<usize>();
        self.ledger
            .note(format!("all instances are ready, {links} links"));
        Ok(())
    }

    /// Addresses of all instances for callers, the zones in turn.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|entry| entry.callers).collect()
    }

    /// Index of the instance that last wrote its claim on a zone's first pool to the store.
    pub fn owner_index(&self, zone: &str) -> Option<usize> {
        let claim = self.store.get(&format!("trefoilbay/owners/{zone}/0"));
        let owner = claim.get("owner").get("name").as_str()?.to_owned();
        self.entries.iter().position(|entry| entry.name == owner)
    }

    /// Ends the case: writes the record and tells whether the rule held.
    pub fn finish(mut self, clients: &Clients, breaks: &[String], case: &Case) -> ExitCode {
        let answers = &clients.answers;
        let count = |counter: &std::sync::atomic::AtomicU64| counter.load(Ordering::Relaxed);
        let summary = format!(
            "SUMMARY: {} jobs sent, {} completed, {} refused, {} without an answer; {} runs; \
             {} breaks of {}",
            count(&answers.sent),
            count(&answers.completed),
            count(&answers.refused),
            count(&answers.unanswered),
            self.ledger.run_count(),
            breaks.len(),
            case.rule,
        );
        let running = self
            .entries
            .iter_mut()
            .filter_map(|entry| entry.is_running().then_some(()));
        let running = running.count();
        for text in breaks {
            self.ledger.note(format!("BROKEN {}: {text}", case.rule));
            println!("BROKEN {}: {text}", case.rule);
        }
        println!(
            "{summary}; {running} of {} instances still run",
            self.entries.len()
        );
        self.ledger.note(summary);
        if let Err(error) = self.ledger.write(&case.record) {
            eprintln!("cannot write the record: {error}");
            return ExitCode::from(2);
        }
        if count(&answers.completed) == 0 || running < self.entries.len() {
            return ExitCode::from(2);
        }
        ExitCode::from(u8::from(!breaks.is_empty()))
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.entries.clear();
        if env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.directory);
        }
    }
}

fn config(plan: &Plan) -> Value {
    let route = |(name, prefix): &(&str, &str)| {
        object([
            ("name", (*name).into()),
            ("host", HOST.into()),
            ("prefix", (*prefix).into()),
            ("kind", "unsafe".into()),
            ("timeout_ms", 10_000.into()),
            ("slo_ms", 60.into()),
            ("priority", 1.into()),
            ("backend", plan.service.into()),
            ("max_attempts", 3.into()),
            ("stretch", Value::Number(1.6)),
        ])
    };
    let service = object([
        ("name", plan.service.into()),
        ("rejects_overload", false.into()),
    ]);
    object([
        ("version", 1.into()),
        (
            "routes",
            plan.routes.iter().map(route).collect::<Vec<_>>().into(),
        ),
        ("services", vec![service].into()),
        ("limits", object([("max_body_bytes", 262_144.into())])),
    ])
}

/// How a case was called.
pub struct Case {
    pub rule: &'static str,
    /// The repository.
    pub root: PathBuf,
    /// Where the record is written.
    pub record: PathBuf,
    /// Value of `TROUBLE`: `0` leaves out the disruptions, other words some of them.
    pub trouble: String,
}

impl Case {
    /// Reads the arguments: the repository and the path of the record.
    pub fn from_args(rule: &'static str) -> Option<Self> {
        let mut args = env::args_os().skip(1);
        Some(Self {
            rule,
            root: args.next()?.into(),
            record: args.next()?.into(),
            trouble: env::var("TROUBLE").unwrap_or_else(|_| "1".to_owned()),
        })
    }

    /// Whether a disruption is wanted: `1` asks for all, its name for it alone.
    pub fn wants(&self, disruption: &str) -> bool {
        self.trouble == "1" || self.trouble == disruption
    }
}

/// Runs a case: sets up a deployment, plays `scenario` and checks `rule`.
pub fn run(
    rule: &'static str,
    plan: &Plan,
    scenario: impl FnOnce(&Case, &Deployment) -> Clients,
    check: impl FnOnce(&Ledger) -> Vec<String>,
) -> ExitCode {
    let Some(case) = Case::from_args(rule) else {
        eprintln!("usage: PROGRAM REPOSITORY RECORD");
        return ExitCode::from(2);
    };
    let deployment = match Deployment::start(plan, &case.root) {
        Ok(deployment) => deployment,
        Err(error) => {
            eprintln!("the case could not run: {error}");
            return ExitCode::from(2);
        }
    };
    let clients = scenario(&case, &deployment);
    let breaks = check(&deployment.ledger);
    deployment.finish(&clients, &breaks, &case)
}
