//! Calls to backend servers over bounded connections.
//!
//! A task is sent at most once for each call, and the outcome says truthfully
//! whether it may have started:
//!
//! | what happened | outcome |
//! |---|---|
//! | no connection, or no byte of the request accepted by the socket | not run |
//! | 429 or 503 | not run |
//! | 2xx with a whole body, echo matching or absent | done |
//! | any other status | failed |
//! | the echo names another task | may have run; the answer is dropped |
//! | reset, timeout, unframed, truncated or oversized body | may have run |
//!
//! * [`connection`]: one connection, driven by the task that uses it.
//! * [`metered`]: counts the bytes that the socket accepted.
//! * [`pool`]: bounded connections to one worker.
//! * [`request`]: what is sent.
//! * [`outcome`]: what an answer means.

pub mod connection;
pub mod metered;
pub mod outcome;
pub mod pool;
pub mod request;

use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use trefoil_core::engine::TaskOutcome;
use trefoil_schema::settings::WorkerSettings;
use xxhash_rust::xxh3::xxh3_64;

use outcome::CallError;
use pool::Pool;
pub use request::WorkerCall;

const SHARDS: usize = 16;

type Shard = Mutex<HashMap<Arc<str>, Arc<Pool>>>;

/// Calls backend servers.
#[derive(Debug)]
pub struct WorkerClient {
    shards: [Shard; SHARDS],
    connections_max: AtomicU32,
    connect_timeout: Duration,
    counters: WorkerCounters,
}

/// Counts of calls, since the start.
#[derive(Debug, Default)]
pub struct WorkerCounters {
    /// Calls begun.
    pub calls: AtomicU64,
    /// Connections opened.
    pub connections_opened: AtomicU64,
    /// Calls that provably did not start the task.
    pub not_run: AtomicU64,
    /// Calls whose task may have started.
    pub may_have_run: AtomicU64,
    /// Answers dropped because they name another task.
    pub crossed_answers: AtomicU64,
}

impl WorkerClient {
    /// A client whose worker connections are all its own; see
    /// [`Self::set_connections_max`].
    pub fn new(settings: &WorkerSettings) -> Self {
        Self {
            shards: std::array::from_fn(|_| Shard::default()),
            connections_max: AtomicU32::new(settings.connections_max.max(1)),
            connect_timeout: Duration::from_millis(settings.connect_timeout_ms),
            counters: WorkerCounters::default(),
        }
    }

    /// Sets the most connections to one worker, this instance's share of the
    /// failure domain's.
    pub fn set_connections_max(&self, connections_max: u32) {
        self.connections_max
            .store(connections_max.max(1), Ordering::Relaxed);
    }

    /// Counts since the start.
    pub fn counters(&self) -> &WorkerCounters {
        &self.counters
    }

    /// Sends the task, once, and says how it ended.
    pub async fn call(&self, call: &WorkerCall) -> TaskOutcome {
        self.counters.calls.fetch_add(1, Ordering::Relaxed);
        let limit = Duration::from_millis(call.timeout_ms);
        let result = self.exchange(call, limit).await;
        if let Err(CallError::Crossed(_)) = result {
            self.counters
                .crossed_answers
                .fetch_add(1, Ordering::Relaxed);
        }
        let outcome = result.unwrap_or_else(CallError::into_outcome);
        self.count(&outcome);
        outcome
    }

    async fn exchange(&self, call: &WorkerCall, limit: Duration) -> Result<TaskOutcome, CallError> {
        let give_up = tokio::time::Instant::now() + limit;
        let pool = self.pool(&call.address);
        let task = call.task_header();
        let request = call.request(pool.host(), &task)?;
        let checkout = pool.checkout(
            self.connections_max.load(Ordering::Relaxed),
            self.connect_timeout,
        );
        let mut lease = tokio::time::timeout_at(give_up, checkout)
            .await
            .map_err(|_| {
                CallError::NotConnected("no connection within the timeout".to_owned())
            })??;
        if lease.is_new() {
            self.counters
                .connections_opened
                .fetch_add(1, Ordering::Relaxed);
        }
        let answer = lease.connection().exchange(request, give_up).await?;
        let reusable = answer.reusable && answer.echo_matches(&task);
        let outcome = answer.into_outcome(&task)?;
        if reusable {
            lease.keep();
        }
        Ok(outcome)
    }

    /// Closes connections that stayed idle, and forgets unused workers.
    pub fn sweep(&self) {
        for shard in &self.shards {
            let mut pools = shard.lock().unwrap_or_else(PoisonError::into_inner);
            pools.retain(|_, pool| pool.sweep() || Arc::strong_count(pool) > 1);
        }
    }

    fn pool(&self, address: &Arc<str>) -> Arc<Pool> {
        let shard = xxh3_64(address.as_bytes()) as usize % SHARDS;
        let mut pools = self.shards[shard]
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(pool) = pools.get(address) {
            return Arc::clone(pool);
        }
        let pool = Arc::new(Pool::new(Arc::clone(address)));
        pools.insert(Arc::clone(address), Arc::clone(&pool));
        pool
    }

    fn count(&self, outcome: &TaskOutcome) {
        match outcome {
            TaskOutcome::NotRun(_) => self.counters.not_run.fetch_add(1, Ordering::Relaxed),
            TaskOutcome::MayHaveRun(_) => {
                self.counters.may_have_run.fetch_add(1, Ordering::Relaxed)
            }
            TaskOutcome::Done(_) | TaskOutcome::Failed(_) => 0,
        };
    }
}
