//! HTTP client for workers, the backend servers that run tasks.
//!
//! Each call sends its task at most once, and its outcome states whether the
//! task may have started:
//!
//! | event | outcome |
//! |---|---|
//! | no connection, or no byte of the request accepted by the socket | not run |
//! | status 429 or 503 | not run |
//! | status 2xx with a complete body, task header matching or absent | done |
//! | any other status | failed |
//! | task header of the response names another task | may have run |
//! | reset, timeout, unframed, truncated or oversized body | may have run |
//!
//! * [`connection`]: an HTTP connection, polled by the call that uses it.
//! * [`counting_stream`]: counts the bytes accepted by the socket.
//! * [`pool`]: bounded connection pool of one worker.
//! * [`request`]: builds requests.
//! * [`outcome`]: maps responses and errors to outcomes.

pub mod connection;
mod counting_stream;
mod outcome;
mod pool;
mod request;

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

/// Client for all workers of this instance.
#[derive(Debug)]
pub struct WorkerClient {
    shards: [Shard; SHARDS],
    connections_max: AtomicU32,
    connect_timeout: Duration,
    counters: WorkerCounters,
}

/// Counters of calls since the start of the instance.
#[derive(Debug, Default)]
pub struct WorkerCounters {
    /// Calls started.
    pub calls: AtomicU64,
    /// Connections opened.
    pub connections_opened: AtomicU64,
    /// Calls that did not start their task.
    pub not_run: AtomicU64,
    /// Calls that may have started their task.
    pub may_have_run: AtomicU64,
    /// Responses discarded because they name another task.
    pub crossed_answers: AtomicU64,
}

impl WorkerClient {
    /// Creates a client that may use all connections that the settings allow;
    /// see [`Self::set_connections_max`].
    pub fn new(settings: &WorkerSettings) -> Self {
        Self {
            shards: std::array::from_fn(|_| Shard::default()),
            connections_max: AtomicU32::new(settings.connections_max.max(1)),
            connect_timeout: Duration::from_millis(settings.connect_timeout_ms),
            counters: WorkerCounters::default(),
        }
    }

    /// Sets the maximum number of connections to one worker: this instance's
    /// share of the limit for the failure domain.
    pub fn set_connections_max(&self, connections_max: u32) {
        self.connections_max
            .store(connections_max.max(1), Ordering::Relaxed);
    }

    /// Counters of calls since the start of the instance.
    pub fn counters(&self) -> &WorkerCounters {
        &self.counters
    }

    /// Sends the task once and returns its outcome.
    pub async fn call(&self, call: &WorkerCall) -> TaskOutcome {
        self.counters.calls.fetch_add(1, Ordering::Relaxed);
        let limit = Duration::from_millis(call.timeout_ms);
        let result = self.exchange(call, limit).await;
        if let Err(CallError::TaskMismatch(_)) = result {
            self.counters
                .crossed_answers
                .fetch_add(1, Ordering::Relaxed);
        }
        let outcome = result.unwrap_or_else(CallError::into_outcome);
        self.count(&outcome);
        outcome
    }

    async fn exchange(&self, call: &WorkerCall, limit: Duration) -> Result<TaskOutcome, CallError> {
        let deadline = tokio::time::Instant::now() + limit;
        let pool = self.pool(&call.address);
        let task = call.task_header();
        let request = call.request(pool.host(), &task)?;
        let checkout = pool.checkout(
            self.connections_max.load(Ordering::Relaxed),
            self.connect_timeout,
        );
        let mut pooled = tokio::time::timeout_at(deadline, checkout)
            .await
            .map_err(|_| CallError::NotSent("no connection within the timeout".to_owned()))??;
        if pooled.is_new() {
            self.counters
                .connections_opened
                .fetch_add(1, Ordering::Relaxed);
        }
        let response = pooled.connection().exchange(request, deadline).await?;
        let reusable = response.reusable && response.echo_matches(&task);
        let outcome = response.into_outcome(&task)?;
        if reusable {
            pooled.release();
        }
        Ok(outcome)
    }

    /// Closes connections past the idle timeout and removes unused pools.
    pub fn evict_idle(&self) {
        for shard in &self.shards {
            let mut pools = shard.lock().unwrap_or_else(PoisonError::into_inner);
            pools.retain(|_, pool| pool.evict_idle() || Arc::strong_count(pool) > 1);
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
