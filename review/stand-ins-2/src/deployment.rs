//! A small deployment: the store, workers, and instances as processes of their own.

use std::cell::{Cell, RefCell};
use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::process::{Child, Command};
use tokio::sync::watch;

use crate::http::{self, Answer};
use crate::record::Record;
use crate::store::Store;
use crate::worker::{SERVICE, Shared, Start, Worker};

/// What `build` of the deploy file makes, and `run` of it starts.
const PROGRAM: &str = "target/release/trefoil-entry";
const HOST: &str = "wages.example";
const PREFIX: &str = "/runs/";
const READY_TIMEOUT: Duration = Duration::from_secs(25);

/// One instance, as the deploy file starts it.
pub struct Instance {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub zone: String,
    /// Whether the store turns it away.
    pub is_refused: Rc<Cell<bool>>,
    settings: PathBuf,
    child: RefCell<Option<Child>>,
}

/// What a deployment consists of.
pub struct Layout<'a> {
    pub zones: &'a [&'a str],
    /// Instances and workers of each zone.
    pub instances: u8,
    pub workers: u8,
    /// Kinds of the workers of a zone, in turn.
    pub kinds: &'a [&'a str],
    /// Room of a worker and need of a task, in thousandths of a core.
    pub cpu: u64,
    pub task_cpu: u64,
    /// `hold_max_ms` of the deployment.
    pub hold_max_ms: u64,
}

pub struct Deployment {
    pub record: Record,
    pub instances: Vec<Instance>,
    pub workers: Vec<Rc<Worker>>,
    pub starts: Rc<RefCell<Vec<Start>>>,
    store: Store,
    folder: PathBuf,
    _stop: watch::Sender<bool>,
}

impl Deployment {
    /// Starts a deployment, and waits until all its instances are ready.
    pub async fn start(record: &Record, layout: &Layout<'_>) -> Result<Self, String> {
        let text = |error: std::io::Error| error.to_string();
        let (stop, stopped) = watch::channel(false);
        let store = Store::default();
        store.put("op/config", &config());
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(text)?;
        let shared = Shared {
            store: store.clone(),
            record: record.clone(),
            starts: Rc::default(),
            workers: Rc::default(),
            hold_max_ms: layout.hold_max_ms,
            task_cpu: layout.task_cpu,
        };
        let mut deployment = Self {
            record: record.clone(),
            instances: Vec::new(),
            workers: Vec::new(),
            starts: Rc::clone(&shared.starts),
            store,
            folder,
            _stop: stop,
        };
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let mut hosts = (1..).map(|host| Ipv4Addr::new(127, high | 0x40, low, host));
        for zone in layout.zones {
            for number in 0..layout.workers {
                let ip = hosts.next().ok_or("too many hosts")?;
                let address = free_address(ip).map_err(text)?;
                let id = format!("w-{zone}-{number}");
                let worker = Worker::new(&id, address, zone, layout.cpu, &shared);
                let kind = layout.kinds[usize::from(number) % layout.kinds.len()];
                worker.begin(kind).await.map_err(text)?;
                deployment.workers.push(Rc::clone(&worker));
                shared.workers.borrow_mut().push(worker);
            }
            for number in 1..=layout.instances {
                let ip = hosts.next().ok_or("too many hosts")?;
                let name = format!("front-{zone}-{number}");
                let is_refused = Rc::new(Cell::new(false));
                let store = deployment
                    .store
                    .start(stopped.clone(), Rc::clone(&is_refused));
                let store = store.await.map_err(text)?;
                let added = deployment.add_instance(&name, zone, ip, store, is_refused);
                added.map_err(text)?;
            }
        }
        for instance in &deployment.instances {
            instance.start(&deployment.folder).map_err(text)?;
        }
        deployment.wait_until_ready().await?;
        Ok(deployment)
    }

    fn add_instance(
        &mut self,
        name: &str,
        zone: &str,
        ip: Ipv4Addr,
        store: SocketAddr,
        is_refused: Rc<Cell<bool>>,
    ) -> std::io::Result<()> {
        let mut listeners = Vec::new();
        for _ in 0..4 {
            listeners.push(TcpListener::bind((ip, 0))?);
        }
        let addresses = listeners.iter().map(TcpListener::local_addr);
        let addresses = addresses.collect::<std::io::Result<Vec<_>>>()?;
        // The template of the deploy file, filled in for a small deployment.
        let settings = json!({
            "instance": name, "failure_domain": zone,
            "callers_address": addresses[0], "ready_address": addresses[1],
            "links_address": addresses[2], "metrics_address": addresses[3],
            "store_address": store, "seeds": [],
            "cpu_share": 0.25, "cores": 1, "remote_penalty": 1.5, "stop_budget_ms": 6000,
        });
        let path = self.folder.join(format!("{name}.json"));
        fs::write(&path, settings.to_string())?;
        self.instances.push(Instance {
            name: name.to_owned(),
            front: addresses[0],
            ready: addresses[1],
            zone: zone.to_owned(),
            is_refused,
            settings: path,
            child: RefCell::default(),
        });
        Ok(())
    }

    /// The instance that owns the first pool of a zone, by its record in the store.
    pub fn owner_of(&self, zone: &str) -> Option<&Instance> {
        let claim = self.store.get(&format!("trefoilbay/owners/{zone}/0"))?;
        let name = claim["owner"]["name"].as_str()?.to_owned();
        self.instances.iter().find(|instance| instance.name == name)
    }

    pub async fn wait_until_ready(&self) -> Result<(), String> {
        let began = Instant::now();
        for instance in &self.instances {
            while !instance.is_ready().await {
                if began.elapsed() > READY_TIMEOUT {
                    return Err(format!("{} isn't ready", instance.name));
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        self.record.say("all instances are ready");
        Ok(())
    }

    /// Starts of a job's tasks so far.
    pub fn starts_of(&self, job: &str) -> Vec<Start> {
        let starts = self.starts.borrow();
        let of_job = starts
            .iter()
            .filter(|start| start.task.split('.').next() == Some(job));
        of_job.cloned().collect()
    }

    /// Submits a job and records its answer.
    pub async fn submit(
        &self,
        front: SocketAddr,
        id: &str,
        body: &Value,
        deadline_ms: u64,
    ) -> Answer {
        self.record.line(&format!("POST {id} to {front}"));
        let deadline = deadline_ms.to_string();
        let headers = [
            ("host", HOST),
            ("content-type", "application/json"),
            ("x-trefoilbay-deadline-ms", deadline.as_str()),
        ];
        let answer = http::call(front, "POST", &path_of(id), &headers, body).await;
        self.record.line(&format!("POST {id} answered {answer:?}"));
        answer
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for worker in &self.workers {
            worker.crash();
        }
        for instance in &self.instances {
            // The child is killed when it is dropped.
            drop(instance.child.borrow_mut().take());
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Instance {
    fn start(&self, folder: &Path) -> std::io::Result<()> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(folder.join(format!("{}.log", self.name)))?;
        let child = Command::new(PROGRAM)
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        *self.child.borrow_mut() = Some(child);
        Ok(())
    }

    pub async fn is_ready(&self) -> bool {
        let answer = http::call(self.ready, "GET", "/api/ready", &[], &Value::Null).await;
        answer.is_ok_and(|answer| answer.0 == 200)
    }
}

pub fn path_of(id: &str) -> String {
    format!("{PREFIX}{id}")
}

fn config() -> Value {
    json!({
        "version": 7,
        "routes": [{"name": "r-1", "host": HOST, "prefix": PREFIX, "kind": "unsafe",
            "timeout_ms": 0, "slo_ms": 60, "priority": 1, "backend": SERVICE,
            "max_attempts": 3, "stretch": 1.6}],
        "services": [{"name": SERVICE, "health_path": "/health"}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144},
    })
}

fn free_address(ip: Ipv4Addr) -> std::io::Result<SocketAddr> {
    TcpListener::bind((ip, 0))?.local_addr()
}
