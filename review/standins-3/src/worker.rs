//! Stand-in of a worker. It starts what it is told to start, as `rejects_overload` is false.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

use crate::http::{Reply, Request, Server};
use crate::record::{Record, RunRecord, number};
use crate::store::Store;

const HOLD_MAX_MS: u64 = 1000;
const HEARTBEAT: Duration = Duration::from_millis(1500);
const TICK: Duration = Duration::from_millis(2);

struct Run {
    task: String,
    run_id: u64,
    /// Position in the record.
    index: usize,
    ends_at: Instant,
}

/// What a worker forgets when it crashes.
struct Life {
    number: u32,
    born_ms: u64,
    started: Instant,
    clock_start_ms: u64,
    fence: u64,
    lease_until_ms: u64,
    runs: Vec<Run>,
    /// Number, task, run and how.
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    /// Highest run stopped or ended, by task.
    past_runs: HashMap<String, u64>,
    sequence: u64,
    /// Earliest end, once it drains.
    draining: Option<Instant>,
}

struct State {
    cores: u64,
    /// How far the time of day of its machine is behind.
    behind_ms: u64,
    life: Option<Life>,
    lives: u32,
    /// Whether all machines have lost their path to and from this worker.
    cut: bool,
    /// The next start is carried out and then the worker is cut off.
    cut_at_start: bool,
}

pub struct Worker {
    pub id: String,
    pub zone: String,
    pub service: String,
    /// Whether it keeps its id and tells when it was born.
    pub tells_born: bool,
    store: Arc<Store>,
    record: Arc<Record>,
    state: Mutex<State>,
    server: OnceLock<Arc<Server>>,
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

impl Worker {
    pub fn start(
        id: String,
        zone: &str,
        service: &str,
        cores: u64,
        tells_born: bool,
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let worker = Arc::new(Self {
            id,
            zone: zone.to_owned(),
            service: service.to_owned(),
            tells_born,
            store: Arc::clone(store),
            record: Arc::clone(record),
            state: Mutex::new(State {
                cores,
                behind_ms: 0,
                life: None,
                lives: 0,
                cut: false,
                cut_at_start: false,
            }),
            server: OnceLock::new(),
        });
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let handling = Arc::clone(&worker);
        let server = Server::start(listener, move |request| handling.handle(&request));
        let _ = worker.server.set(server);
        worker.begin_life(cores);
        let ticking = Arc::clone(&worker);
        thread::spawn(move || {
            loop {
                thread::sleep(TICK);
                if let Some(life) = &mut ticking.state.lock().unwrap().life {
                    life.advance(&ticking.record);
                }
            }
        });
        let beating = Arc::clone(&worker);
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                beating.register();
            }
        });
        worker
    }

    fn address(&self) -> SocketAddr {
        self.server.get().unwrap().address
    }

    fn begin_life(&self, cores: u64) {
        let mut state = self.state.lock().unwrap();
        state.lives += 1;
        state.cores = cores;
        let (number, behind_ms) = (state.lives, state.behind_ms);
        state.life = Some(Life {
            number,
            born_ms: unix_ms() - behind_ms,
            started: Instant::now(),
            // The clock starts anew.
            clock_start_ms: match number {
                1 => 480_000,
                _ => 1_000,
            },
            fence: 0,
            lease_until_ms: 0,
            runs: Vec::new(),
            ended: Vec::new(),
            last_end: 0,
            past_runs: HashMap::new(),
            sequence: 0,
            draining: None,
        });
        drop(state);
        self.register();
    }

    /// Writes the worker's report about itself to the store.
    fn register(&self) {
        let mut state = self.state.lock().unwrap();
        let cores = state.cores;
        if state.cut {
            return;
        }
        let Some(life) = &mut state.life else { return };
        life.sequence += 1;
        let mut report = json!({
            "backend": self.service, "address": self.address().to_string(), "zone": self.zone,
            "version": "v1", "slots": 8, "state": "ready", "cold_ms": 0,
            "capacity": {"cpu": cores * 1000, "mem_mb": 32768, "gpus": 0},
            "labels": ["a", "r1-1"], "clock_ms": life.clock_ms(), "sequence": life.sequence,
        });
        if self.tells_born {
            report["born"] = json!(life.born_ms);
        }
        if let Some(exit_at) = life.draining {
            let left = exit_at.saturating_duration_since(Instant::now());
            report["state"] = json!("draining");
            report["remaining_ms"] = json!(left.as_millis() as u64);
        }
        self.store.put(&format!("servers/{}", self.id), &report);
    }

    /// Ends what runs there and all connections.
    pub fn crash(&self) {
        let life = self.state.lock().unwrap().life.take();
        if let Some(mut life) = life {
            for run in std::mem::take(&mut life.runs) {
                life.end(run, "crashed", &self.record);
            }
        }
        self.server.get().unwrap().break_connections();
        self.record.note(&format!("worker {} is down", self.id));
    }

    /// Starts again under its id.
    pub fn start_again(&self, cores: u64) {
        self.begin_life(cores);
        self.record.note(&format!(
            "worker {} has started again under its id with {cores} cores, born {}, and is in the store",
            self.id,
            self.born_ms()
        ));
    }

    fn born_ms(&self) -> u64 {
        let state = self.state.lock().unwrap();
        state.life.as_ref().map_or(0, |life| life.born_ms)
    }

    /// The next start is carried out, and its answer is the first to be lost in a partition.
    pub fn cut_at_start(&self) {
        self.state.lock().unwrap().cut_at_start = true;
    }

    /// Sets back the time of day of its machine by this much, or forward again.
    pub fn set_behind(&self, behind_ms: u64) {
        self.state.lock().unwrap().behind_ms = behind_ms;
        self.record.note(&format!(
            "the time of day at {} is {behind_ms} ms behind",
            self.id
        ));
    }

    /// Reports that it drains, with the minimum time that is left. It serves on.
    pub fn drain(&self, at_least: Duration) {
        if let Some(life) = &mut self.state.lock().unwrap().life {
            life.draining = Some(Instant::now() + at_least);
        }
        self.register();
        self.record
            .note(&format!("worker {} drains, as the store holds", self.id));
    }

    /// Ends the partition, if there is one.
    pub fn heal(&self) {
        self.state.lock().unwrap().cut = false;
        self.record.note(&format!("worker {} is back", self.id));
    }

    fn wait_while_cut(&self) -> bool {
        let is_cut = || self.state.lock().unwrap().cut;
        let was_cut = is_cut();
        while is_cut() {
            thread::sleep(Duration::from_millis(5));
        }
        was_cut
    }

    fn handle(&self, request: &Request) -> Reply {
        if self.wait_while_cut() {
            return Reply::Close;
        }
        let reply = self.answer(request);
        match self.wait_while_cut() {
            true => Reply::Close,
            false => reply,
        }
    }

    fn answer(&self, request: &Request) -> Reply {
        let body = &request.body;
        let mut state = self.state.lock().unwrap();
        let cores = state.cores;
        let Some(life) = &mut state.life else {
            return Reply::Close;
        };
        let expected = request.headers.get("x-trefoilbay-expect-instance");
        if expected.is_some_and(|id| *id != self.id) {
            return Reply::Answer(421, Value::Null);
        }
        life.advance(&self.record);
        let fence = number(body, "fencing_token");
        let clock_ms = life.clock_ms();
        let reject =
            |reason: &str| Reply::Answer(409, json!({"clock_ms": clock_ms, "reason": reason}));
        if fence < life.fence {
            return reject("fence");
        }
        life.fence = fence;
        let deadline_ms = body["deadline_ms"].as_u64();
        match request.path.as_str() {
            "/api/run-start" => {
                let deadline_ms = deadline_ms.unwrap_or(0);
                let task = body["task"].as_str().unwrap_or_default().to_owned();
                let run_id = number(body, "run_id");
                if deadline_ms < clock_ms {
                    return reject("late");
                }
                life.extend_lease(deadline_ms);
                if life.is_running(&task, run_id) {
                    return Reply::Answer(200, json!({"clock_ms": clock_ms}));
                }
                if life
                    .past_runs
                    .get(&task)
                    .is_some_and(|past| run_id <= *past)
                {
                    return reject("old");
                }
                let spec = body["spec"].as_str().unwrap_or_default();
                let work = Work::parse(spec);
                let now_ms = self.record.now_ms();
                let mut runs = self.record.runs.lock().unwrap();
                let index = runs.len();
                runs.push(RunRecord {
                    task: task.clone(),
                    run_id,
                    worker: self.id.clone(),
                    life: life.number,
                    cpu: work.cpu,
                    started_ms: now_ms,
                    ended: None,
                });
                drop(runs);
                let life_number = life.number;
                life.runs.push(Run {
                    task: task.clone(),
                    run_id,
                    index,
                    ends_at: Instant::now() + work.duration,
                });
                let used = self.cpu_in_use(life);
                let lease_ms = life.lease_until_ms - clock_ms;
                self.record.note(&format!(
                    "start {task} run {run_id} on {} life {life_number} fence {fence} cpu {used} of {} \
                     lease {lease_ms} ms",
                    self.id,
                    cores * 1000
                ));
                if std::mem::take(&mut state.cut_at_start) {
                    state.cut = true;
                    self.record
                        .note(&format!("worker {} is cut off from all machines", self.id));
                }
                Reply::Answer(200, json!({"clock_ms": clock_ms}))
            }
            "/api/run-stop" => {
                let task = body["task"].as_str().unwrap_or_default().to_owned();
                let run_id = number(body, "run_id");
                let past = life.past_runs.entry(task.clone()).or_default();
                *past = run_id.max(*past);
                let is_it = |run: &Run| run.task == task && run.run_id <= run_id;
                if let Some(position) = life.runs.iter().position(is_it) {
                    let run = life.runs.remove(position);
                    life.end(run, "stopped", &self.record);
                }
                self.record
                    .note(&format!("stop {task} run {run_id} on {}", self.id));
                Reply::Answer(200, json!({"clock_ms": clock_ms}))
            }
            "/api/hold" => {
                if let Some(deadline_ms) = deadline_ms {
                    life.extend_lease(deadline_ms);
                }
                let seen_upto = number(body, "seen_upto");
                life.ended.retain(|end| end.0 > seen_upto);
                let life_number = life.number;
                drop(state);
                self.list(life_number, number(body, "wait_ms"))
            }
            _ => Reply::Answer(400, Value::Null),
        }
    }

    fn cpu_in_use(&self, life: &Life) -> u64 {
        let runs = self.record.runs.lock().unwrap();
        life.runs.iter().map(|run| runs[run.index].cpu).sum()
    }

    /// Waits for an end, and lists runs and ends.
    fn list(&self, life_number: u32, wait_ms: u64) -> Reply {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let state = self.state.lock().unwrap();
            let Some(life) = state
                .life
                .as_ref()
                .filter(|life| life.number == life_number)
            else {
                return Reply::Close;
            };
            if !life.ended.is_empty() || Instant::now() >= until {
                let running: Vec<Value> = life
                    .runs
                    .iter()
                    .map(|run| json!([run.task, run.run_id, "", 100, 0]))
                    .collect();
                let ended: Vec<Value> = life
                    .ended
                    .iter()
                    .take(500)
                    .map(|(number, task, run_id, how)| json!([number, task, run_id, how, ""]))
                    .collect();
                let mut body =
                    json!({"clock_ms": life.clock_ms(), "running": running, "ended": ended});
                if self.tells_born {
                    body["born"] = json!(life.born_ms);
                }
                return Reply::Answer(200, body);
            }
            drop(state);
            thread::sleep(TICK);
        }
    }
}

impl Life {
    fn clock_ms(&self) -> u64 {
        self.clock_start_ms + self.started.elapsed().as_millis() as u64
    }

    fn extend_lease(&mut self, deadline_ms: u64) {
        let longest_ms = self.clock_ms() + HOLD_MAX_MS;
        self.lease_until_ms = self.lease_until_ms.max(deadline_ms.min(longest_ms));
    }

    fn is_running(&self, task: &str, run_id: u64) -> bool {
        self.runs
            .iter()
            .any(|run| run.task == task && run.run_id == run_id)
    }

    fn advance(&mut self, record: &Record) {
        let now = Instant::now();
        let lapsed = self.clock_ms() > self.lease_until_ms;
        for run in std::mem::take(&mut self.runs) {
            if now >= run.ends_at {
                self.end(run, "done", record);
            } else if lapsed {
                self.end(run, "lapsed", record);
            } else {
                self.runs.push(run);
            }
        }
    }

    fn end(&mut self, run: Run, how: &'static str, record: &Record) {
        let now_ms = record.now_ms();
        record.runs.lock().unwrap()[run.index].ended = Some((now_ms, how));
        record.note(&format!("end {} run {} {how}", run.task, run.run_id));
        let past = self.past_runs.entry(run.task.clone()).or_default();
        *past = run.run_id.max(*past);
        self.last_end += 1;
        self.ended.push((self.last_end, run.task, run.run_id, how));
    }
}

/// Work of a task; clients name it in the payload.
struct Work {
    duration: Duration,
    cpu: u64,
}

impl Work {
    /// Payloads have the form "MILLISECONDS THOUSANDTHS-OF-A-CORE".
    fn parse(spec: &str) -> Self {
        let mut words = spec.split(' ').map(|word| word.parse().unwrap_or(0));
        let duration = Duration::from_millis(words.next().unwrap_or(0));
        Self {
            duration,
            cpu: words.next().unwrap_or(0),
        }
    }
}
