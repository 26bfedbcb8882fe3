//! A worker: fencing, leases on its own clock, runs and their ends, and its entry in the store.
//!
//! A task runs as long as its `spec` says: `ms=N`.

use std::cell::RefCell;
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

const HOLD_MAX_MS: u64 = 1000;
const HEARTBEAT_MS: u64 = 1500;
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
    stop: watch::Sender<bool>,
}

pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    zone: String,
    rack: String,
    cpu: u64,
    life: RefCell<Option<Life>>,
    store: Store,
    record: Record,
    starts: Rc<RefCell<Vec<Start>>>,
}

impl Worker {
    #[expect(clippy::too_many_arguments, reason = "a worker has these properties")]
    pub fn new(
        id: &str,
        address: SocketAddr,
        zone: &str,
        rack: &str,
        cpu: u64,
        store: &Store,
        record: &Record,
        starts: &Rc<RefCell<Vec<Start>>>,
    ) -> Rc<Self> {
        Rc::new(Self {
            id: id.to_owned(),
            address,
            zone: zone.to_owned(),
            rack: rack.to_owned(),
            cpu,
            life: RefCell::default(),
            store: store.clone(),
            record: record.clone(),
            starts: Rc::clone(starts),
        })
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
            labels: vec![kind.to_owned(), self.rack.clone()],
            fence: 0,
            lease_until_ms: 0,
            runs: Vec::new(),
            ended: Vec::new(),
            last_end: 0,
            closed: HashMap::new(),
            sequence: 0,
            stop,
        };
        self.record.line(&format!(
            "worker {} starts, labels {:?}, born {}",
            self.id, life.labels, life.born
        ));
        *self.life.borrow_mut() = Some(life);
        let worker = Rc::clone(self);
        serve(listener, stopped.clone(), move |request| {
            let worker = Rc::clone(&worker);
            async move { worker.handle(request).await }
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
        self.record.line(&format!("worker {} crashes", self.id));
        if let Some(life) = self.life.borrow_mut().take() {
            let _ = life.stop.send(true);
        }
    }

    fn beat(&self) {
        let mut life = self.life.borrow_mut();
        let Some(life) = life.as_mut() else { return };
        life.sequence += 1;
        let entry = json!({
            "backend": SERVICE, "address": self.address.to_string(), "zone": self.zone,
            "version": "v1", "slots": 8, "state": "ready", "cold_ms": 0,
            "capacity": {"cpu": self.cpu, "mem_mb": 32768, "gpus": 0}, "labels": life.labels,
            "clock_ms": life.clock_ms(), "sequence": life.sequence, "born": life.born,
        });
        self.store.put(&format!("servers/{}", self.id), &entry);
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
        let start = Start {
            at_ms: self.record.now_ms(),
            worker: self.id.clone(),
            labels: life.labels.clone(),
            task: task.clone(),
        };
        self.record.line(&format!(
            "worker {} {:?} begins {task} run {run_id}",
            self.id, life.labels
        ));
        self.starts.borrow_mut().push(start);
        let ends = Instant::now() + Duration::from_millis(takes_ms);
        life.runs.push(Run { task, run_id, ends });
        (200, json!({"clock_ms": clock_ms}))
    }
}

impl Life {
    fn clock_ms(&self) -> u64 {
        CLOCK_START_MS + self.began.elapsed().as_millis() as u64
    }

    fn extend(&mut self, deadline_ms: u64) {
        let longest_ms = self.clock_ms() + HOLD_MAX_MS;
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
