//! Workers: they obey the highest fence that they have seen, run tasks under leases of their
//! own clock, and list runs and ends.
//!
//! A job's `spec` tells the stand-in how long a task runs and what CPU it requests, as
//! `RUN_MS CPU`.

use std::collections::HashMap;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Reply, Request};
use crate::json::{Value, object};
use crate::ledger::Ledger;
use crate::store::Store;

/// `hold_max_ms`: the longest lease that a worker grants.
const LEASE_MAX_MS: u64 = 1000;
/// `heartbeat_ms`: how often a worker writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1500);
/// Silence after which the platform removes a worker's entry.
const ENTRY_TIMEOUT: Duration = Duration::from_millis(4500);
/// "A room that has shrunk counts `contact_ms` and one beat later": 4,000 and 1,500 ms.
const SHRUNK_GRACE: Duration = Duration::from_millis(5500);
/// Resolution of ends and of waits for them.
const STEP: Duration = Duration::from_millis(2);
/// Longest wait of a hold.
const WAIT_MAX_MS: u64 = 2000;
/// Ends listed in one response.
const ENDS_MAX: usize = 500;

struct Run {
    task: String,
    run_id: u64,
    cpu: u64,
    ends_at: Instant,
    record: usize,
}

struct End {
    number: u64,
    task: String,
    run_id: u64,
    how: &'static str,
}

/// What a worker knows in one life; nothing of it survives a crash.
struct Life {
    id: String,
    number: u64,
    /// When it goes, once it has been told that it is taken away.
    leaves_at: Option<Instant>,
    /// Unix time of its start in milliseconds.
    born_ms: u64,
    started: Instant,
    /// Reading of its clock at `started`.
    clock_start_ms: u64,
    cpu: u64,
    fence: u64,
    lease_until_ms: u64,
    runs: Vec<Run>,
    ends: Vec<End>,
    last_end: u64,
    /// Highest run of each task that was stopped or ended here.
    highest_runs: HashMap<String, u64>,
    sequence: u64,
    /// Whether it has sent a list of runs.
    has_listed: bool,
}

impl Life {
    fn new(id: String, number: u64, cpu: u64, clock_start_ms: u64) -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            id,
            number,
            leaves_at: None,
            born_ms: since_epoch.map_or(0, |time| time.as_millis() as u64),
            started: Instant::now(),
            clock_start_ms,
            cpu,
            fence: 0,
            lease_until_ms: 0,
            runs: Vec::new(),
            ends: Vec::new(),
            last_end: 0,
            highest_runs: HashMap::new(),
            sequence: 0,
            has_listed: false,
        }
    }

    fn clock_ms(&self) -> u64 {
        self.clock_start_ms + self.started.elapsed().as_millis() as u64
    }

    /// When the lease ends.
    fn lease_end(&self) -> Instant {
        let left_ms = self.lease_until_ms.saturating_sub(self.clock_start_ms);
        self.started + Duration::from_millis(left_ms)
    }

    /// Extends the lease to a time of this clock, by no more than the maximum from now.
    fn extend_lease(&mut self, deadline_ms: Option<u64>) {
        if let Some(deadline_ms) = deadline_ms {
            let longest_ms = self.clock_ms() + LEASE_MAX_MS;
            self.lease_until_ms = self.lease_until_ms.max(deadline_ms.min(longest_ms));
        }
    }

    /// Ends the runs that are done or whose lease has expired.
    fn advance(&mut self, ledger: &Ledger) {
        let (now, lease_end) = (Instant::now(), self.lease_end());
        for run in std::mem::take(&mut self.runs) {
            if run.ends_at <= now.min(lease_end) {
                self.end(run, "done", None, ledger);
            } else if lease_end < now {
                self.end(run, "lapsed", Some(lease_end), ledger);
            } else {
                self.runs.push(run);
            }
        }
    }

    /// Ends a run; `at` is when, unless it was at the run's own end.
    fn end(&mut self, run: Run, how: &'static str, at: Option<Instant>, ledger: &Ledger) {
        ledger.end(run.record, at.unwrap_or(run.ends_at), how);
        self.last_end += 1;
        let highest = self.highest_runs.entry(run.task.clone()).or_default();
        *highest = run.run_id.max(*highest);
        self.ends.push(End {
            number: self.last_end,
            task: run.task,
            run_id: run.run_id,
            how,
        });
    }
}

struct State {
    life: Life,
    is_up: bool,
    is_cut: bool,
    silent_since: Option<Instant>,
    connections: Vec<TcpStream>,
}

/// Handle to a worker.
#[derive(Clone)]
pub struct Worker {
    pub zone: String,
    service: String,
    address: SocketAddr,
    store: Store,
    ledger: Ledger,
    state: Arc<Mutex<State>>,
}

/// What a worker is made of.
pub struct WorkerSettings {
    pub id: String,
    pub zone: String,
    pub service: String,
    /// Thousandths of a core.
    pub cpu: u64,
    /// Reading of the clock at the start: how long the worker has been up.
    pub uptime_ms: u64,
}

impl Worker {
    pub fn start(
        settings: WorkerSettings,
        listener: TcpListener,
        store: &Store,
        ledger: &Ledger,
    ) -> Self {
        let state = State {
            life: Life::new(settings.id, 1, settings.cpu, settings.uptime_ms),
            is_up: true,
            is_cut: false,
            silent_since: None,
            connections: Vec::new(),
        };
        let worker = Self {
            zone: settings.zone,
            service: settings.service,
            address: listener.local_addr().expect("a bound listener"),
            store: store.clone(),
            ledger: ledger.clone(),
            state: Arc::new(Mutex::new(state)),
        };
        let server = worker.clone();
        http::serve(listener, move |stream| server.open(stream));
        let running = worker.clone();
        thread::spawn(move || running.run());
        worker
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics with the lock")
    }

    /// Ends runs and writes the registry's entry.
    fn run(&self) {
        let mut reported: Option<(u64, Instant)> = None;
        loop {
            let mut state = self.state();
            if state.is_up {
                state.life.advance(&self.ledger);
            }
            let life = state.life.number;
            let is_due =
                reported.is_none_or(|(number, at)| number != life || at.elapsed() >= HEARTBEAT);
            if state.is_up && !state.is_cut {
                state.silent_since = None;
                if is_due {
                    self.report(&mut state.life);
                    reported = Some((life, Instant::now()));
                }
            } else {
                let since = *state.silent_since.get_or_insert_with(Instant::now);
                if since.elapsed() >= ENTRY_TIMEOUT {
                    self.store.remove(&Self::key(&state.life));
                }
            }
            drop(state);
            thread::sleep(STEP);
        }
    }

    fn key(life: &Life) -> String {
        format!("servers/{}", life.id)
    }

    fn report(&self, life: &mut Life) {
        life.sequence += 1;
        let capacity = object([
            ("cpu", life.cpu.into()),
            ("mem_mb", 32_768.into()),
            ("gpus", 0.into()),
        ]);
        let remaining = life
            .leaves_at
            .map(|at| at.saturating_duration_since(Instant::now()));
        let remaining_ms = remaining.map_or(Value::Null, |left| (left.as_millis() as u64).into());
        let mut entry = object([
            ("backend", self.service.as_str().into()),
            ("address", self.address.to_string().into()),
            ("zone", self.zone.as_str().into()),
            ("version", "v1".into()),
            ("slots", 8.into()),
            (
                "state",
                if life.leaves_at.is_some() {
                    "draining"
                } else {
                    "ready"
                }
                .into(),
            ),
            ("cold_ms", 0.into()),
            ("capacity", capacity),
            ("labels", vec!["a".into(), "r1".into()].into()),
            ("clock_ms", life.clock_ms().into()),
            ("sequence", life.sequence.into()),
            ("born", life.born_ms.into()),
        ]);
        if let (Value::Object(members), Some(_)) = (&mut entry, life.leaves_at) {
            members.insert("remaining_ms".to_owned(), remaining_ms);
        }
        self.store.put(&Self::key(life), &entry);
    }

    /// Crashes: all that runs there ends, and connections break.
    pub fn crash(&self) {
        self.end_life("crashes");
    }

    fn end_life(&self, event: &str) {
        let mut state = self.state();
        self.ledger
            .note(format!("TROUBLE: worker {} {event}", state.life.id));
        state.life.advance(&self.ledger);
        let now = Instant::now();
        for run in std::mem::take(&mut state.life.runs) {
            self.ledger.end(run.record, now, "lost with its worker");
        }
        state.is_up = false;
        for connection in state.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// Starts again under the same id. It knows nothing of before, and its counts and its clock
    /// start anew.
    pub fn restart(&self, cpu: u64) {
        let mut state = self.state();
        let number = state.life.number + 1;
        let id = state.life.id.clone();
        state.life = Life::new(id.clone(), number, cpu, 0);
        state.is_up = true;
        self.ledger.note(format!(
            "TROUBLE: worker {id} starts again under its id, cpu {cpu}, life {number}"
        ));
    }

    /// Tells it that it is taken away after this time, which it reports at once.
    pub fn reclaim(&self, after: Duration) {
        let mut state = self.state();
        state.life.leaves_at = Some(Instant::now() + after);
        self.report(&mut state.life);
    }

    /// Takes it away: its entry goes, and all that runs there ends.
    pub fn take_away(&self) {
        self.end_life("is taken away");
        self.store.remove(&Self::key(&self.state().life));
    }

    /// Another worker comes in its place, under an id of its own.
    pub fn replace(&self, cpu: u64) {
        let mut state = self.state();
        let number = state.life.number + 1;
        let id = format!("{}-new", state.life.id);
        state.life = Life::new(id, number, cpu, 0);
        state.is_up = true;
    }

    /// Cuts it off, or ends the cut. It runs on meanwhile; what was sent to it or by it is lost.
    pub fn set_cut(&self, is_cut: bool) {
        let mut state = self.state();
        state.is_cut = is_cut;
        let event = if is_cut {
            "is cut off"
        } else {
            "is reachable again"
        };
        let running = state.life.runs.len();
        let id = &state.life.id;
        self.ledger.note(format!(
            "TROUBLE: worker {id} {event}, {running} runs there"
        ));
    }

    /// Number of runs there.
    pub fn run_count(&self) -> usize {
        self.state().life.runs.len()
    }

    fn open(&self, stream: &TcpStream) -> impl Fn(Request) -> Reply + Send + use<> {
        let mut state = self.state();
        match state.is_up {
            true => state.connections.extend(stream.try_clone()),
            false => drop(stream.shutdown(Shutdown::Both)),
        }
        let (worker, life) = (self.clone(), state.life.number);
        move |request| worker.handle(life, &request)
    }

    /// Waits for the end of a cut, in which requests and responses are lost. Returns whether
    /// there was one.
    fn was_cut(&self) -> bool {
        let mut was_cut = false;
        while self.state().is_cut {
            was_cut = true;
            thread::sleep(STEP);
        }
        was_cut
    }

    /// Handles a request on a connection that was opened in the given life.
    fn handle(&self, life: u64, request: &Request) -> Reply {
        if self.was_cut() {
            return Reply::Close;
        }
        let is_alive = |state: &State| state.is_up && state.life.number == life;
        let expected = request.headers.get("x-trefoilbay-expect-instance");
        if expected.is_some_and(|expected| *expected != self.state().life.id) {
            return Reply::Send(421, Value::Null);
        }
        let reply = match request.path.as_str() {
            "/api/run-start" => self.checked(&request.body, is_alive, Self::start_run),
            "/api/run-stop" => self.checked(&request.body, is_alive, Self::stop_run),
            "/api/hold" => self.hold(&request.body, is_alive),
            _ => Reply::Send(404, Value::Null),
        };
        match self.was_cut() || !is_alive(&self.state()) {
            true => Reply::Close,
            false => reply,
        }
    }

    /// Carries out an order unless its fence is lower than one seen before.
    fn checked(
        &self,
        body: &Value,
        is_alive: impl Fn(&State) -> bool,
        order: impl Fn(&Self, &mut Life, &Value) -> Reply,
    ) -> Reply {
        let mut state = self.state();
        if !is_alive(&state) {
            return Reply::Close;
        }
        let life = &mut state.life;
        life.advance(&self.ledger);
        let fence = body.get("fencing_token").as_u64().unwrap_or(0);
        if fence < life.fence {
            return conflict(life, "fence");
        }
        life.fence = fence;
        order(self, life, body)
    }

    fn start_run(&self, life: &mut Life, body: &Value) -> Reply {
        let (Some(task), Some(run_id), Some(spec), Some(deadline_ms)) = (
            body.get("task").as_str(),
            body.get("run_id").as_u64(),
            body.get("spec").as_str(),
            body.get("deadline_ms").as_u64(),
        ) else {
            return Reply::Send(400, Value::Null);
        };
        let mut numbers = spec.split(' ').map_while(|word| word.parse::<u64>().ok());
        let (Some(run_ms), Some(cpu)) = (numbers.next(), numbers.next()) else {
            return Reply::Send(400, Value::Null);
        };
        if deadline_ms <= life.clock_ms() {
            return conflict(life, "late");
        }
        life.extend_lease(Some(deadline_ms));
        let is_there = |run: &Run| run.task == task && run.run_id == run_id;
        if life.runs.iter().any(is_there) {
            return accepted(life);
        }
        if life
            .highest_runs
            .get(task)
            .is_some_and(|&highest| run_id <= highest)
        {
            return conflict(life, "old");
        }
        let worker = format!("{} (life {})", life.id, life.number);
        life.runs.push(Run {
            task: task.to_owned(),
            run_id,
            cpu,
            ends_at: Instant::now() + Duration::from_millis(run_ms),
            record: self.ledger.start(task, run_id, &worker, life.fence),
        });
        let used: u64 = life.runs.iter().map(|run| run.cpu).sum();
        if used > life.cpu && life.number > 1 && life.started.elapsed() < SHRUNK_GRACE {
            self.ledger.note(format!(
                "over capacity, which does not count yet: {worker} at {used} of {} millicores",
                life.cpu
            ));
        } else if used > life.cpu {
            self.ledger.over_capacity(format!(
                "the start of {task} run {run_id} brings {worker} to {used} of {} millicores",
                life.cpu
            ));
        }
        accepted(life)
    }

    fn stop_run(&self, life: &mut Life, body: &Value) -> Reply {
        let task = body.get("task").as_str().unwrap_or_default();
        let run_id = body.get("run_id").as_u64().unwrap_or(0);
        let position = life
            .runs
            .iter()
            .position(|run| run.task == task && run.run_id == run_id);
        match position {
            Some(position) => {
                let run = life.runs.swap_remove(position);
                life.end(run, "stopped", Some(Instant::now()), &self.ledger);
            }
            None => {
                let highest = life.highest_runs.entry(task.to_owned()).or_default();
                *highest = run_id.max(*highest);
            }
        }
        accepted(life)
    }

    fn hold(&self, body: &Value, is_alive: impl Fn(&State) -> bool + Copy) -> Reply {
        let extended = self.checked(body, is_alive, |_, life, body| {
            life.extend_lease(body.get("deadline_ms").as_u64());
            let seen_upto = body.get("seen_upto").as_u64().unwrap_or(0);
            life.ends.retain(|end| end.number > seen_upto);
            accepted(life)
        });
        if !matches!(extended, Reply::Send(200, _)) {
            return extended;
        }
        let wait_ms = body.get("wait_ms").as_u64().unwrap_or(0).min(WAIT_MAX_MS);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let mut state = self.state();
            if !is_alive(&state) {
                return Reply::Close;
            }
            state.life.advance(&self.ledger);
            if !state.life.ends.is_empty() || Instant::now() >= until {
                let life = &mut state.life;
                if !std::mem::replace(&mut life.has_listed, true) {
                    let (id, number, born_ms) = (&life.id, life.number, life.born_ms);
                    self.ledger.note(format!(
                        "first list of runs of {id} (life {number}), born {born_ms}"
                    ));
                }
                return Reply::Send(200, listing(life));
            }
            drop(state);
            thread::sleep(STEP);
        }
    }
}

fn accepted(life: &Life) -> Reply {
    Reply::Send(200, object([("clock_ms", life.clock_ms().into())]))
}

fn conflict(life: &Life, reason: &str) -> Reply {
    let clock_ms = life.clock_ms().into();
    Reply::Send(
        409,
        object([("clock_ms", clock_ms), ("reason", reason.into())]),
    )
}

fn listing(life: &Life) -> Value {
    let running = life.runs.iter().map(|run| {
        let (task, run_id, cpu) = (run.task.as_str(), run.run_id, run.cpu);
        vec![
            task.into(),
            run_id.into(),
            "".into(),
            100.into(),
            cpu.into(),
        ]
        .into()
    });
    let ended = life.ends.iter().take(ENDS_MAX).map(|end| {
        let (task, run_id) = (end.task.as_str(), end.run_id);
        vec![
            end.number.into(),
            task.into(),
            run_id.into(),
            end.how.into(),
            "".into(),
        ]
        .into()
    });
    object([
        ("clock_ms", life.clock_ms().into()),
        ("running", running.collect::<Vec<Value>>().into()),
        ("ended", ended.collect::<Vec<Value>>().into()),
        ("born", life.born_ms.into()),
    ])
}
