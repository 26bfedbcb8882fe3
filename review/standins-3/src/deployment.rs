//! A small deployment: `trefoil-entry` processes in three zones, the store, workers and clients.

use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::http::call;
use crate::record::Record;
use crate::relay::Links;
use crate::store::{Gate, Store};
use crate::worker::Worker;

pub const HOST: &str = "nony24.example";
pub const PREFIX: &str = "/pufi791/";
const SERVICE: &str = "dele69a";
/// How long clients wait.
const DEADLINE_MS: u64 = 1500;
/// Traffic starts 10 s after the machines do.
const START: Duration = Duration::from_secs(10);

/// Shape of a deployment.
pub struct Shape {
    /// Zones, and the instances and workers in each.
    pub zones: &'static [(&'static str, usize, usize)],
    pub cores: u64,
    pub tells_born: bool,
}

pub struct Entry {
    pub name: String,
    pub zone: String,
    pub callers: SocketAddr,
    ready: SocketAddr,
    pub gate: Arc<Gate>,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
}

impl Entry {
    fn start(&self, program: &Path) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(program)
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        *self.child.lock().unwrap() = Some(child);
        Ok(())
    }

    /// Sends SIGKILL and waits for the end.
    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Status of the answer to a readiness check.
    pub fn ready(&self) -> Option<u16> {
        let patience = Duration::from_millis(500);
        call(self.ready, "GET", "/api/ready", &[], "", patience).map(|(status, _)| status)
    }
}

pub struct Deployment {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub links: Arc<Links>,
    pub entries: Vec<Entry>,
    pub workers: Vec<Arc<Worker>>,
    program: PathBuf,
    folder: PathBuf,
    last_job: AtomicU64,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for entry in &self.entries {
            entry.kill();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Deployment {
    pub fn start(shape: &Shape, record: &Arc<Record>) -> Result<Self, String> {
        let program = PathBuf::from("target/release/trefoil-entry");
        if !program.exists() {
            return Err("trefoil-entry is not built".to_owned());
        }
        let folder = std::env::temp_dir().join(format!("trefoil-review-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let store = Store::start();
        store.put(
            "op/config",
            &json!({
                "version": 7,
                "routes": [{
                    "name": "r-73d3zji", "host": HOST, "prefix": PREFIX, "kind": "unsafe",
                    "timeout_ms": 1500, "slo_ms": 60, "priority": 1, "backend": SERVICE,
                    "max_attempts": 3, "stretch": 1.6,
                }],
                "services": [{
                    "name": SERVICE, "health_path": "/health", "max_conns": 64, "protocol": "h1",
                    "tls": false, "rejects_overload": false, "standby": false,
                }],
                "limits": {
                    "max_header_bytes": 16384, "max_body_bytes": 262144,
                    "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
                },
            }),
        );
        let mut deployment = Self {
            record: Arc::clone(record),
            store,
            links: Arc::default(),
            entries: Vec::new(),
            workers: Vec::new(),
            program,
            folder,
            last_job: AtomicU64::default(),
        };
        for (zone, _, workers) in shape.zones {
            for number in 0..*workers {
                let id = format!("i-{zone}-{number:02}");
                let (born, cores) = (shape.tells_born, shape.cores);
                let store = &deployment.store;
                let worker = Worker::start(id, zone, SERVICE, cores, born, store, record);
                deployment.workers.push(worker);
            }
        }
        deployment
            .start_entries(shape)
            .map_err(|error| error.to_string())?;
        thread::sleep(START);
        deployment.wait_until_served()?;
        Ok(deployment)
    }

    fn start_entries(&mut self, shape: &Shape) -> std::io::Result<()> {
        let zones = shape.zones.iter();
        let names = zones.flat_map(|(zone, entries, _)| (1..=*entries).map(move |n| (*zone, n)));
        let names: Vec<(&str, usize)> = names.collect();
        let addresses: Vec<[SocketAddr; 4]> = (0..names.len())
            .map(|number| free_addresses(number as u8 + 1))
            .collect();
        let relays: Vec<TcpListener> = names
            .iter()
            .map(|_| TcpListener::bind("127.0.0.1:0"))
            .collect::<Result<_, _>>()?;
        let seeds: Vec<SocketAddr> = relays
            .iter()
            .step_by(3)
            .take(3)
            .map(TcpListener::local_addr)
            .collect::<Result<_, _>>()?;
        let instances = names.into_iter().zip(addresses).zip(relays);
        for (((zone, number), [callers, ready, links, metrics]), relay) in instances {
            let name = format!("front-{zone}-{number}");
            let gate = self.store.gate(&name);
            let advertised = relay.local_addr()?;
            self.links.add_name(&name);
            self.links.forward(relay, &name, links);
            // As the template of the deploy file is filled in, and with a proxy for links.
            let settings = json!({
                "instance": name,
                "failure_domain": zone,
                "callers_address": callers,
                "ready_address": ready,
                "links_address": links,
                "links_advertised_address": advertised,
                "metrics_address": metrics,
                "store_address": gate.address,
                "seeds": seeds,
                "cpu_share": 0.25,
                "cores": 1,
                "memory_mb": 260,
                "descriptors_max": 4100,
                "remote_penalty": 1.5,
                "stop_budget_ms": 6000,
            });
            let path = self.folder.join(format!("{name}.json"));
            fs::write(&path, settings.to_string())?;
            let entry = Entry {
                log: self.folder.join(format!("{name}.log")),
                zone: zone.to_owned(),
                settings: path,
                callers,
                ready,
                gate,
                child: Mutex::new(None),
                name,
            };
            entry.start(&self.program)?;
            self.entries.push(entry);
        }
        Ok(())
    }

    fn wait_until_served(&self) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(15);
        for entry in &self.entries {
            while self.submit(entry.callers, 1, 100, 20) != Some(200) {
                if Instant::now() > until {
                    return Err(format!("{} serves no jobs", entry.name));
                }
                thread::sleep(Duration::from_millis(200));
            }
        }
        self.record.note("all instances serve jobs");
        Ok(())
    }

    pub fn entry(&self, name: &str) -> Option<&Entry> {
        self.entries.iter().find(|entry| entry.name == name)
    }

    pub fn entries_of<'a>(&'a self, zone: &'a str) -> impl Iterator<Item = &'a Entry> {
        self.entries.iter().filter(move |entry| entry.zone == zone)
    }

    pub fn workers_of<'a>(&'a self, zone: &'a str) -> impl Iterator<Item = &'a Arc<Worker>> {
        self.workers
            .iter()
            .filter(move |worker| worker.zone == zone)
    }

    /// The instance that owns the zone's pool: it last wrote the claim.
    pub fn leader(&self, zone: &str) -> Option<&Entry> {
        self.entry(&self.store.leader(&format!("{zone}/0"))?)
    }

    /// Sends a job with one step and waits for the answer. `None`: no answer.
    pub fn submit(&self, to: SocketAddr, tasks: u64, cpu: u64, work_ms: u64) -> Option<u16> {
        let id = self.new_job();
        send(&self.record, &id, to, tasks, cpu, work_ms)
    }

    /// Sends a job without waiting for the answer.
    pub fn submit_aside(&self, to: SocketAddr, tasks: u64, cpu: u64, work_ms: u64) {
        let (id, record) = (self.new_job(), Arc::clone(&self.record));
        thread::spawn(move || send(&record, &id, to, tasks, cpu, work_ms));
    }

    fn new_job(&self) -> String {
        format!(
            "{:016x}",
            0x5c0e_0000 + self.last_job.fetch_add(1, Ordering::SeqCst)
        )
    }
}

fn send(
    record: &Record,
    id: &str,
    to: SocketAddr,
    tasks: u64,
    cpu: u64,
    work_ms: u64,
) -> Option<u16> {
    let body = json!({
        "spec": format!("{work_ms} {cpu}"), "best_effort": true,
        "phases": [{"count": tasks, "cpu": cpu, "mem_mb": 64, "estimate_ms": work_ms}],
    });
    let deadline = DEADLINE_MS.to_string();
    let headers = [
        ("Host", HOST),
        ("X-Trefoilbay-Deadline-Ms", deadline.as_str()),
    ];
    let path = format!("{PREFIX}{id}");
    record.note(&format!("POST {id} to {to}, {tasks} tasks of {cpu}"));
    let patience = Duration::from_millis(DEADLINE_MS);
    let answer = call(to, "POST", &path, &headers, &body.to_string(), patience);
    record.note(&format!("answer {id}: {answer:?}"));
    answer.map(|(status, _)| status)
}

/// Free ports on a loopback address of the instance's own.
fn free_addresses<const COUNT: usize>(instance: u8) -> [SocketAddr; COUNT] {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, high | 0x40, low, instance);
    let listeners = [(); COUNT].map(|()| TcpListener::bind((ip, 0)).unwrap());
    listeners
        .each_ref()
        .map(|listener| listener.local_addr().unwrap())
}
