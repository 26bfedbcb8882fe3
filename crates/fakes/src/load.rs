//! A bounded open-loop load tool: jobs arrive by plan, whatever became of the
//! earlier ones, and the run ends by itself.

mod direct;
mod entries;
mod job;
pub mod law;
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
use law::Law;
use plan::{JobPlan, Plan};
pub use stats::{LoadReport, Summary};
use stats::{RunTimes, Stats};
use waste::Reading;
pub use waste::Waste;

/// Time that the last jobs have beyond their deadline before they are cut off.
const DRAIN_MS: u64 = 5_000;
/// The same where no deadline is asked for.
const DRAIN_WITHOUT_DEADLINE_MS: u64 = 30_000;

/// Who makes the keys.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum KeyKind {
    /// The caller: UUIDs of version 7.
    #[default]
    Uuid7,
    /// The entries, before the run starts.
    Minted,
}

/// Times of a higher rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bursts {
    /// Rate during a burst, as a multiple of the usual one.
    pub factor: f64,
    /// Time from one burst's start to the next, in milliseconds.
    pub every_ms: f64,
    /// Length of a burst, in milliseconds.
    pub for_ms: f64,
}

/// What to send.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Entry instances, taken in turn as the balancer does.
    pub entries: Vec<SocketAddr>,
    /// Backend servers of a baseline without entry instances; empty for none.
    pub direct: Vec<SocketAddr>,
    /// How a baseline picks a backend server.
    pub policy: Policy,
    /// Dispatchers of a baseline, which know nothing of each other.
    pub dispatchers: usize,
    /// One address of each process of backend servers, for its counters.
    pub worker_counters: Vec<SocketAddr>,
    /// Service of the jobs.
    pub service: String,
    /// Teams of the jobs, at random.
    pub teams: Vec<String>,
    /// Jobs a second.
    pub rate_jobs_per_s: f64,
    /// Tasks in a job.
    pub tasks: Law,
    /// Run times of tasks, in milliseconds.
    pub run_time: Law,
    /// Declared run time as a multiple of the true one; 0 declares none.
    pub declared_factor: f64,
    /// Time of arrivals, in milliseconds.
    pub duration_ms: u64,
    /// Times of a higher rate.
    pub bursts: Option<Bursts>,
    /// Share of jobs submitted again at another entry.
    pub resubmit_percent: f64,
    /// Share of jobs whose key is used for another body at another entry.
    pub reuse_percent: f64,
    /// Share of jobs cancelled.
    pub cancel_percent: f64,
    /// Time allowed for a job; 0 leaves it to the entry.
    pub deadline_ms: u64,
    /// Submit again after the time that a refusal names.
    pub obey_retry_after: bool,
    /// Most submissions of a job after a refusal with a time, a lost answer or
    /// one that leaves it open whether the job ran.
    pub ask_again_max: usize,
    /// Seed of the plan.
    pub seed: u64,
    /// Who makes the keys.
    pub key_kind: KeyKind,
    /// Entries that mint the keys; those that take the jobs where empty.
    pub mint_at: Vec<SocketAddr>,
    /// Path time that the ideal includes, in milliseconds.
    pub path_ms: f64,
    /// Most jobs in flight; those beyond are counted and not sent.
    pub in_flight_max: usize,
    /// Keep the history of requests.
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
            tasks: Law::Fixed(1.0),
            run_time: Law::Fixed(100.0),
            declared_factor: 0.0,
            duration_ms: 5_000,
            bursts: None,
            resubmit_percent: 0.0,
            reuse_percent: 0.0,
            cancel_percent: 0.0,
            deadline_ms: 0,
            obey_retry_after: false,
            ask_again_max: 0,
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
    /// Jobs a second at a time since the start.
    pub fn rate_at(&self, at_ms: f64) -> f64 {
        match self.bursts {
            Some(bursts) if at_ms % bursts.every_ms < bursts.for_ms => {
                self.rate_jobs_per_s * bursts.factor
            }
            _ => self.rate_jobs_per_s,
        }
    }

    /// Highest rate of all, in jobs a second.
    pub fn rate_max(&self) -> f64 {
        let factor = self.bursts.map_or(1.0, |bursts| bursts.factor.max(1.0));
        self.rate_jobs_per_s * factor
    }

    /// Whether a job may still be asked for so long after its first submission.
    fn allows(&self, elapsed: Duration) -> bool {
        self.deadline_ms == 0 || elapsed < Duration::from_millis(self.deadline_ms)
    }

    fn drain(&self) -> Duration {
        let drain_ms = match self.deadline_ms {
            0 => DRAIN_WITHOUT_DEADLINE_MS,
            deadline_ms => deadline_ms + DRAIN_MS,
        };
        Duration::from_millis(drain_ms)
    }
}

/// What the jobs of a run share.
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

    fn remember(&self, entry: impl FnOnce() -> HistoryEntry) {
        if self.options.history {
            lock(&self.history).push(entry());
        }
    }

    async fn reading(&self) -> Reading {
        let (workers, entries) = (&self.options.worker_counters, &self.options.entries);
        Reading::take(&self.client, workers, entries).await
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Runs the load and gives its figures and, if wanted, its history.
///
/// One of `entries` and `direct` must not be empty.
pub async fn run(options: &LoadOptions) -> (LoadReport, Vec<HistoryEntry>) {
    let run = Arc::new(Run::new(options));
    let plan: Vec<_> = Plan::new(options).collect();
    let before = run.reading().await;
    let started = Instant::now();
    let mut jobs = send_all(&run, plan).await;
    let drained = timeout(options.drain(), async {
        while jobs.join_next().await.is_some() {}
    });
    let _ = drained.await;
    let whole_s = started.elapsed().as_secs_f64();
    let cut_off = jobs.len() as u64;
    jobs.shutdown().await;
    let waste = run.reading().await.since(&before);
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
        run.stats().sent(due.elapsed().as_secs_f64() * 1e3);
        match run.options.direct.is_empty() {
            true => jobs.spawn(entries::run_job(Arc::clone(run), job)),
            false => jobs.spawn(direct::run_job(Arc::clone(run), job)),
        };
    }
    jobs
}
