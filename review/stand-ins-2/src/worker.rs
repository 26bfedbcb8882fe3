//! A worker: fencing, leases on its own clock, runs and their ends, and its entry in the store.
//!
//! A task runs as long as its `spec` says: `ms=N`.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::spawn_local;

use crate::http::{Received, serve};
use crate::record::Record;
use crate::store::Store;

const HEARTBEAT_MS: u64 = 1500;
/// Clock of the first incarnation when it starts: it has been up for ten minutes.
const FIRST_CLOCK_MS: u64 = 600_000;
/// Clock of each later one.
const CLOCK_START_MS: u64 = 1000;
pub const SERVICE: &str = "payroll";

/// A start that a worker has begun on an order.
#[derive(Clone, Debug)]
pub struct Start {
    pub at_ms: u64,
    pub worker: String,
    /// Labels of the incarnation that began it.
    pub labels: Vec<String>,
    pub task: String,
    /// Another worker that is up and runs the task at the same time.
    pub also_on: Option<String>,
    /// CPU of all that runs there, this run included, and the worker's room.
    pub used_cpu: u64,
    pub cpu: u64,
    /// When the worker's room became what it is.
    pub cpu_since_ms: u64,
}

/// What the workers of a case share.
#[derive(Clone)]
pub struct Shared {
    pub store: Store,
    pub record: Record,
    pub starts: Rc<RefCell<Vec<Start>>>,
    pub workers: Rc<RefCell<Vec<Rc<Worker>>>>,
    /// `hold_max_ms` of the deployment.
    pub hold_max_ms: u64,
    /// CPU of a task.
    pub task_cpu: u64,
}

struct Run {
    task: String,
    run_id: u64,
    ends: Instant,
}

struct Life {
    began: Instant,
    born: u64,
    labels: Vec<String>,
    fence: u64,
    lease_until_ms: u64,
    runs: Vec<Run>,
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    /// Highest run that was stopped or ended, by task.
    closed: HashMap<String, u64>,
    sequence: u64,
    clock_start_ms: u64,
    hold_max_ms: u64,
    stop: watch::Sender<bool>,
}

pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    /// Whether its first incarnation has started.
    has_begun: Cell<bool>,
    cpu: Cell<u64>,
    cpu_since_ms: Cell<u64>,
    /// While it is cut off, it gets and answers nothing, but runs on.
    is_cut: watch::Sender<bool>,
    life: RefCell<Option<Life>>,
    shared: Shared,
}

impl Worker {
    pub fn new(id: &str, address: SocketAddr, zone: &str, cpu: u64, shared: &Shared) -> Rc<Self> {
        Rc::new(Self {
            id: id.to_owned(),
            address,
            zone: zone.to_owned(),
            has_begun: Cell::default(),
            cpu: Cell::new(cpu),
            cpu_since_ms: Cell::default(),
            is_cut: watch::Sender::new(false),
            life: RefCell::default(),
            shared: shared.clone(),
        })
    }

    /// Changes its room and tells it at once.
    pub fn set_cpu(&self, cpu: u64) {
        self.cpu.set(cpu);
        self.cpu_since_ms.set(self.shared.record.now_ms());
        self.shared
            .record
            .line(&format!("worker {} has room for {cpu}", self.id));
        self.beat();
    }

    /// Cuts it off from all machines and the store, or ends that.
    pub fn cut(&self, is_cut: bool) {
        self.shared
            .record
            .line(&format!("worker {} cut off: {is_cut}", self.id));
        self.is_cut.send_replace(is_cut);
    }

    async fn wait_for_path(&self) {
        let mut is_cut = self.is_cut.subscribe();
        let _ = is_cut.wait_for(|is_cut| !is_cut).await;
    }

    /// Starts an incarnation, and writes its entry.
    pub async fn begin(self: &Rc<Self>, kind: &str) -> std::io::Result<()> {
        let listener = TcpListener::bind(self.address).await?;
        let (stop, stopped) = watch::channel(false);
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let life = Life {
            began: Instant::now(),
            born: since_epoch.as_millis() as u64,
            labels: vec![kind.to_owned(), format!("r-{}", self.zone)],
            fence: 0,
            lease_until_ms: 0,
            runs: Vec::new(),
            ended: Vec::new(),
            last_end: 0,
            closed: HashMap::new(),
            sequence: 0,
            clock_start_ms: match self.has_begun.replace(true) {
                true => CLOCK_START_MS,
                false => FIRST_CLOCK_MS,
            },
            hold_max_ms: self.shared.hold_max_ms,
            stop,
        };
        self.shared.record.line(&format!(
            "worker {} starts, labels {:?}, born {}",
            self.id, life.labels, life.born
        ));
        *self.life.borrow_mut() = Some(life);
        let worker = Rc::clone(self);
        serve(listener, stopped.clone(), move |request| {
            let worker = Rc::clone(&worker);
            async move {
                worker.wait_for_path().await;
                let answer = worker.handle(request).await;
                // An answer in a cut is held up.
                worker.wait_for_path().await;
                answer
            }
        });
        let worker = Rc::clone(self);
        spawn_local(async move {
            let mut stopped = stopped;
            loop {
                worker.beat();
                tokio::select! {
                    _ = stopped.changed() => return,
                    () = tokio::time::sleep(Duration::from_millis(HEARTBEAT_MS)) => {}
                }
            }
        });
        Ok(())
    }

    /// Ends the incarnation with all that runs there. It says nothing of it.
    pub fn crash(&self) {
        self.shared
            .record
            .line(&format!("worker {} crashes", self.id));
        if let Some(life) = self.life.borrow_mut().take() {
            let _ = life.stop.send(true);
        }
    }

    fn beat(&self) {
        let mut life = self.life.borrow_mut();
        let Some(life) = life.as_mut().filter(|_| !*self.is_cut.borrow()) else {
            return;
        };
        life.sequence += 1;
        let entry = json!({
            "backend": SERVICE, "address": self.address.to_string(), "zone": self.zone,
            "version": "v1", "slots": 8, "state": "ready", "cold_ms": 0,
            "capacity": {"cpu": self.cpu.get(), "mem_mb": 32768, "gpus": 0}, "labels": life.labels,
            "clock_ms": life.clock_ms(), "sequence": life.sequence, "born": life.born,
        });
        self.shared
            .store
            .put(&format!("servers/{}", self.id), &entry);
    }

    async fn handle(&self, request: Received) -> (u16, Value) {
        let expected = request.headers.get("X-Trefoilbay-Expect-Instance");
        let expected = expected.and_then(|id| id.to_str().ok());
        if expected.is_some_and(|id| id != self.id) {
            return (421, Value::Null);
        }
        let body = &request.body;
        let fence = body["fencing_token"].as_u64().unwrap_or(0);
        {
            let mut life = self.life.borrow_mut();
            let Some(life) = life.as_mut() else {
                return (503, Value::Null);
            };
            life.advance();
            if fence < life.fence {
                return (409, json!({"clock_ms": life.clock_ms(), "reason": "fence"}));
            }
            life.fence = fence;
            match request.path.as_str() {
                "/api/run-start" => return self.start(life, body),
                "/api/run-stop" => return life.stop(body),
                "/api/hold" => life.renew(body),
                _ => return (404, Value::Null),
            }
        }
        let wait_ms = body["wait_ms"].as_u64().unwrap_or(0).min(2000);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            if let Some(life) = self.life.borrow_mut().as_mut() {
                life.advance();
                if !life.ended.is_empty() || Instant::now() >= until {
                    return life.listing();
                }
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }

    /// The id of another worker that is up and runs a task now.
    fn runs_elsewhere(&self, task: &str) -> Option<String> {
        let workers = self.shared.workers.borrow();
        let mut others = workers.iter().filter(|worker| worker.id != self.id);
        let other = others.find(|worker| {
            let mut life = worker.life.borrow_mut();
            life.as_mut().is_some_and(|life| {
                life.advance();
                life.runs.iter().any(|run| run.task == task)
            })
        });
        other.map(|worker| worker.id.clone())
    }

    fn start(&self, life: &mut Life, body: &Value) -> (u16, Value) {
        let text = |name: &str| body[name].as_str().unwrap_or_default().to_owned();
        let (task, run_id) = (text("task"), body["run_id"].as_u64().unwrap_or(0));
        let clock_ms = life.clock_ms();
        let rejected = |reason: &str| (409, json!({"clock_ms": clock_ms, "reason": reason}));
        let deadline_ms = body["deadline_ms"].as_u64().unwrap_or(0);
        if deadline_ms <= clock_ms {
            return rejected("late");
        }
        life.extend(deadline_ms);
        if life
            .runs
            .iter()
            .any(|run| run.task == task && run.run_id == run_id)
        {
            return (200, json!({"clock_ms": clock_ms}));
        }
        if life
            .closed
            .get(&task)
            .is_some_and(|&closed| run_id <= closed)
        {
            return rejected("old");
        }
        let spec = text("spec");
        let takes_ms = spec
            .strip_prefix("ms=")
            .and_then(|ms| ms.parse().ok())
            .unwrap_or(100);
        let also_on = self.runs_elsewhere(&task);
        life.advance();
        let start = Start {
            at_ms: self.shared.record.now_ms(),
            worker: self.id.clone(),
            labels: life.labels.clone(),
            task: task.clone(),
            also_on: also_on.clone(),
            used_cpu: (life.runs.len() as u64 + 1) * self.shared.task_cpu,
            cpu: self.cpu.get(),
            cpu_since_ms: self.cpu_since_ms.get(),
        };
        self.shared.record.line(&format!(
            "worker {} {:?} begins {task} run {run_id}, {} of {} in use, also on {also_on:?}",
            self.id, life.labels, start.used_cpu, start.cpu
        ));
        self.shared.starts.borrow_mut().push(start);
        let ends = Instant::now() + Duration::from_millis(takes_ms);
        life.runs.push(Run { task, run_id, ends });
        (200, json!({"clock_ms": clock_ms}))
    }
}

impl Life {
    fn clock_ms(&self) -> u64 {
        self.clock_start_ms + self.began.elapsed().as_millis() as u64
    }

    fn extend(&mut self, deadline_ms: u64) {
        let longest_ms = self.clock_ms() + self.hold_max_ms;
        self.lease_until_ms = self.lease_until_ms.max(deadline_ms.min(longest_ms));
    }

    fn advance(&mut self) {
        let now = Instant::now();
        let has_lapsed = self.clock_ms() > self.lease_until_ms;
        for run in std::mem::take(&mut self.runs) {
            match (now >= run.ends, has_lapsed) {
                (true, _) => self.end(run, "done"),
                (false, true) => self.end(run, "lapsed"),
                (false, false) => self.runs.push(run),
            }
        }
    }

    fn end(&mut self, run: Run, how: &'static str) {
        let closed = self.closed.entry(run.task.clone()).or_default();
        *closed = (*closed).max(run.run_id);
        self.last_end += 1;
        self.ended.push((self.last_end, run.task, run.run_id, how));
    }

    fn stop(&mut self, body: &Value) -> (u16, Value) {
        let task = body["task"].as_str().unwrap_or_default();
        let run_id = body["run_id"].as_u64().unwrap_or(0);
        let is_it = |run: &Run| run.task == task && run.run_id == run_id;
        match self.runs.iter().position(is_it) {
            Some(position) => {
                let run = self.runs.swap_remove(position);
                self.end(run, "stopped");
            }
            None => {
                let closed = self.closed.entry(task.to_owned()).or_default();
                *closed = (*closed).max(run_id);
            }
        }
        (200, json!({"clock_ms": self.clock_ms()}))
    }

    fn renew(&mut self, body: &Value) {
        if let Some(deadline_ms) = body["deadline_ms"].as_u64() {
            self.extend(deadline_ms);
        }
        let seen_upto = body["seen_upto"].as_u64().unwrap_or(0);
        self.ended.retain(|end| end.0 > seen_upto);
    }

    fn listing(&self) -> (u16, Value) {
        let running = self.runs.iter();
        let running: Vec<Value> = running
            .map(|run| json!([run.task, run.run_id, "", 50, 1000]))
            .collect();
        let ended = self.ended.iter().take(500);
        let ended: Vec<Value> = ended
            .map(|(number, task, run_id, how)| json!([number, task, run_id, how, ""]))
            .collect();
        (
            200,
            json!({"clock_ms": self.clock_ms(), "born": self.born, "running": running, "ended": ended}),
        )
    }
}
