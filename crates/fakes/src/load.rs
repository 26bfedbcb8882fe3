//! An open-loop load generator: jobs are sent at planned times, regardless of earlier ones, until
//! the planned duration is over.

mod direct;
pub mod distribution;
mod entries;
mod job;
pub mod plan;
mod stats;
pub mod table;
mod waste;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::{
    task::JoinSet,
    time::{Instant, sleep_until, timeout},
};

use crate::{check::history::HistoryEntry, client::Client};
use direct::Dispatcher;
pub use direct::Policy;
use distribution::Distribution;
use plan::{JobPlan, Plan};
pub use stats::{LoadReport, Summary};
use stats::{RunTimes, Stats};
use waste::CounterSnapshot;
pub use waste::Waste;

/// Time after their deadline before outstanding jobs are cut off.
const DRAIN_MS: u64 = 5_000;
/// Time before outstanding jobs without a deadline are cut off.
const DRAIN_WITHOUT_DEADLINE_MS: u64 = 30_000;

/// How idempotency keys are created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum KeyKind {
    /// By the caller, as UUIDs of version 7.
    #[default]
    Uuid7,
    /// By an entry instance, just before the job is sent.
    Minted,
}

/// Periodic bursts of a higher arrival rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bursts {
    /// Factor on the rate during a burst.
    pub factor: f64,
    /// Interval between the starts of bursts, in milliseconds.
    pub every_ms: f64,
    /// Length of a burst, in milliseconds.
    pub for_ms: f64,
}

/// Options of a load run.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Entry instances, used in turn as by a round-robin load balancer.
    pub entries: Vec<SocketAddr>,
    /// Backend servers of a baseline run without entry instances; empty for a normal run.
    pub direct: Vec<SocketAddr>,
    /// How baseline dispatchers choose a backend server.
    pub policy: Policy,
    /// Number of baseline dispatchers, which share no state.
    pub dispatchers: usize,
    /// One address of each process of fake backend servers, to read its counters.
    pub worker_counters: Vec<SocketAddr>,
    /// Service of the jobs.
    pub service: String,
    /// Teams of the jobs, chosen at random.
    pub teams: Vec<String>,
    /// Arrival rate outside of bursts, in jobs per second.
    pub rate_jobs_per_s: f64,
    /// Number of tasks per job.
    pub tasks: Distribution,
    /// Run times of tasks, in milliseconds.
    pub run_time: Distribution,
    /// Declared run time as a multiple of the actual one; 0 to declare none.
    pub declared_factor: f64,
    /// Time during which jobs are sent, in milliseconds.
    pub duration_ms: u64,
    /// Periodic bursts, if any.
    pub bursts: Option<Bursts>,
    /// Percentage of jobs that are resubmitted at another entry instance.
    pub resubmit_percent: f64,
    /// Percentage of jobs whose key is reused for another body at another entry instance.
    pub reuse_percent: f64,
    /// Percentage of jobs that are cancelled.
    pub cancel_percent: f64,
    /// Deadline of jobs after their submission, in milliseconds; 0 for the entry's default.
    pub deadline_ms: u64,
    /// Retry after the delay that a refusal asks for.
    pub obey_retry_after: bool,
    /// Maximum number of retries of a job after a refusal with a delay, a lost response or a
    /// response that leaves open whether the job ran.
    pub retries_max: usize,
    /// Seed of the plan.
    pub seed: u64,
    /// How idempotency keys are created.
    pub key_kind: KeyKind,
    /// Entry instances that mint the keys; `entries` if empty.
    pub mint_at: Vec<SocketAddr>,
    /// Network time that is part of the ideal response time, in milliseconds.
    pub path_ms: f64,
    /// Maximum number of jobs in flight; further jobs are counted, but not sent.
    pub in_flight_max: usize,
    /// Record the history of requests.
    pub history: bool,
}

impl Default for LoadOptions {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            direct: Vec::new(),
            policy: Policy::default(),
            dispatchers: 8,
            worker_counters: Vec::new(),
            service: "default".to_owned(),
            teams: vec!["default".to_owned()],
            rate_jobs_per_s: 10.0,
            tasks: Distribution::Fixed(1.0),
            run_time: Distribution::Fixed(100.0),
            declared_factor: 0.0,
            duration_ms: 5_000,
            bursts: None,
            resubmit_percent: 0.0,
            reuse_percent: 0.0,
            cancel_percent: 0.0,
            deadline_ms: 0,
            obey_retry_after: false,
            retries_max: 0,
            seed: 1,
            key_kind: KeyKind::default(),
            mint_at: Vec::new(),
            path_ms: 0.0,
            in_flight_max: 20_000,
            history: false,
        }
    }
}

impl LoadOptions {
    /// Arrival rate at a time after the start, in jobs per second.
    pub fn rate_at(&self, at_ms: f64) -> f64 {
        match self.bursts {
            Some(bursts) if at_ms % bursts.every_ms < bursts.for_ms => {
                self.rate_jobs_per_s * bursts.factor
            }
            _ => self.rate_jobs_per_s,
        }
    }

    /// Maximum arrival rate, in jobs per second.
    pub fn rate_max(&self) -> f64 {
        let factor = self.bursts.map_or(1.0, |bursts| bursts.factor.max(1.0));
        self.rate_jobs_per_s * factor
    }

    /// Whether a retry is within the deadline after this time since the first submission.
    fn allows_retry(&self, elapsed: Duration) -> bool {
        self.deadline_ms == 0 || elapsed < Duration::from_millis(self.deadline_ms)
    }

    fn drain_timeout(&self) -> Duration {
        let drain_ms = match self.deadline_ms {
            0 => DRAIN_WITHOUT_DEADLINE_MS,
            deadline_ms => deadline_ms + DRAIN_MS,
        };
        Duration::from_millis(drain_ms)
    }
}

/// State shared by the jobs of a run.
#[derive(Debug)]
struct Run {
    options: LoadOptions,
    client: Client,
    dispatchers: Vec<Dispatcher>,
    stats: Mutex<Stats>,
    history: Mutex<Vec<HistoryEntry>>,
}

impl Run {
    fn new(options: &LoadOptions) -> Self {
        let dispatchers = (0..options.dispatchers.max(1))
            .map(|_| Dispatcher::new(options.direct.len()))
            .collect();
        Self {
            options: options.clone(),
            client: Client::default(),
            dispatchers,
            stats: Mutex::default(),
            history: Mutex::default(),
        }
    }

    fn stats(&self) -> MutexGuard<'_, Stats> {
        lock(&self.stats)
    }

    fn entry(&self, number: usize) -> SocketAddr {
        self.options.entries[number % self.options.entries.len()]
    }

    fn record_request(&self, entry: impl FnOnce() -> HistoryEntry) {
        if self.options.history {
            lock(&self.history).push(entry());
        }
    }

    async fn read_counters(&self) -> CounterSnapshot {
        let (workers, entries) = (&self.options.worker_counters, &self.options.entries);
        CounterSnapshot::read(&self.client, workers, entries).await
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Runs the load and returns its report, and its history if [`LoadOptions::history`] is set.
///
/// Either `entries` or `direct` must not be empty.
pub async fn run(options: &LoadOptions) -> (LoadReport, Vec<HistoryEntry>) {
    let run = Arc::new(Run::new(options));
    let plan: Vec<_> = Plan::new(options).collect();
    let before = run.read_counters().await;
    let started = Instant::now();
    let mut jobs = send_all(&run, plan).await;
    let drained = timeout(options.drain_timeout(), async {
        while jobs.join_next().await.is_some() {}
    });
    let _ = drained.await;
    let whole_s = started.elapsed().as_secs_f64();
    let cut_off = jobs.len() as u64;
    jobs.shutdown().await;
    let waste = run.read_counters().await.since(&before);
    let times = RunTimes {
        arrivals_s: Duration::from_millis(options.duration_ms).as_secs_f64(),
        whole_s,
    };
    let report = run.stats().report(times, cut_off, waste);
    let history = std::mem::take(&mut *lock(&run.history));
    (report, history)
}

async fn send_all(run: &Arc<Run>, plan: Vec<JobPlan>) -> JoinSet<()> {
    let mut jobs = JoinSet::new();
    let started = Instant::now();
    for job in plan {
        let due = started + Duration::from_micros((job.at_ms * 1e3) as u64);
        sleep_until(due).await;
        while jobs.try_join_next().is_some() {}
        if jobs.len() >= run.options.in_flight_max {
            run.stats().not_sent += 1;
            continue;
        }
        run.stats().record_sent(due.elapsed().as_secs_f64() * 1e3);
        match run.options.direct.is_empty() {
            true => jobs.spawn(entries::run_job(Arc::clone(run), job)),
            false => jobs.spawn(direct::run_job(Arc::clone(run), job)),
        };
    }
    jobs
}
