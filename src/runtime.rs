//! Drives the engine: passes events to it and executes its commands.
//!
//! * [`waiters`]: requests that wait for an answer.
//! * [`placements`]: sends tasks to workers.
//! * [`service_windows`]: recent responses of each service.
//! * [`trace_contexts`]: trace contexts of running jobs.
//! * [`dispatch`]: routes requests to the owner of their key.

pub mod dispatch;
mod placements;
pub mod service_windows;
mod trace_contexts;
pub mod waiters;

use std::future::Future;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::runtime::Handle;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::MissedTickBehavior;
use trefoil_core::config::ConfigSnapshot;
use trefoil_core::engine::{
    Command, Engine, JobAnswer, JobState, Refusal, RefusalReason, SlotMessage, Submission,
    WaiterId, WorkerSlots,
};
use trefoil_core::key::JobKey;
use trefoil_core::time::Now;
use trefoil_core::verdict::Verdict;
use trefoil_core::view::Member;

use crate::util::clock::Clock;
use crate::util::telemetry::Telemetry;
use crate::util::telemetry::trace::{Hop, HopSpan};
use crate::workers::{WorkerCall, WorkerClient};
use placements::Placement;
use service_windows::ServiceWindows;
use trace_contexts::TraceContexts;
use waiters::{WaiterGuard, Waiters};

/// Interval between ticks of the engine.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Ticks between removals of idle connections and expired entries.
const TICKS_PER_SWEEP: u64 = 100;

/// Data of a submission's request that is not part of the job.
#[derive(Clone, Debug, Default)]
pub struct RequestContext {
    /// W3C trace context to send to workers.
    pub traceparent: Option<Arc<str>>,
    /// When this instance had received the whole request; the admission
    /// overhead is measured from then.
    pub received_at: Option<Instant>,
}

/// The engine of this instance with its clock, waiters and worker client.
pub struct Runtime {
    engine: Engine,
    clock: Clock,
    waiters: Waiters,
    workers: WorkerClient,
    trace_contexts: TraceContexts,
    service_windows: ServiceWindows,
    config: watch::Sender<Arc<ConfigSnapshot>>,
    handle: Handle,
    telemetry: Option<Telemetry>,
}

impl Runtime {
    /// Creates a runtime without telemetry, which spawns on the current tokio
    /// runtime.
    ///
    /// # Panics
    ///
    /// Panics if called outside a tokio runtime.
    pub fn new(engine: Engine, workers: WorkerClient) -> Arc<Self> {
        Self::with_telemetry(engine, workers, None)
    }

    /// Like [`Self::new`], with metrics and spans of placements in `telemetry`.
    ///
    /// # Panics
    ///
    /// Panics if called outside a tokio runtime.
    pub fn with_telemetry(
        engine: Engine,
        workers: WorkerClient,
        telemetry: Option<Telemetry>,
    ) -> Arc<Self> {
        Arc::new(Self {
            engine,
            clock: Clock::start(),
            waiters: Waiters::default(),
            workers,
            trace_contexts: TraceContexts::default(),
            service_windows: ServiceWindows::default(),
            config: watch::Sender::default(),
            handle: Handle::current(),
            telemetry,
        })
    }

    /// The engine, for calls that produce no commands.
    pub fn engine(&self) -> &Engine {
        &self.engine
    }

    /// The worker client, for its counters and limits.
    pub fn workers(&self) -> &WorkerClient {
        &self.workers
    }

    /// Recent responses of each service to callers of this instance.
    pub fn service_windows(&self) -> &ServiceWindows {
        &self.service_windows
    }

    /// The configuration in force.
    pub fn config(&self) -> Arc<ConfigSnapshot> {
        Arc::clone(&self.config.borrow())
    }

    /// The current instant.
    pub fn now(&self) -> Now {
        self.clock.now()
    }

    /// Opens a span for one hop of a request; a no-op without telemetry.
    pub fn span(&self, hop: Hop, header: Option<&str>) -> HopSpan {
        match &self.telemetry {
            Some(telemetry) => telemetry.span_from_header(hop, header),
            None => HopSpan::default(),
        }
    }

    /// Number of requests that wait for an answer.
    pub fn waiter_count(&self) -> usize {
        self.waiters.len()
    }

    /// Submits a job; with `wait`, answers once the job is final.
    ///
    /// Dropping the future does not cancel the job.
    pub async fn submit(
        self: &Arc<Self>,
        submission: Submission,
        wait: bool,
        request: RequestContext,
    ) -> JobAnswer {
        let key = submission.key.clone();
        let expires_ms = self.now().mono_ms + submission.timeout_ms;
        let traced = request
            .traceparent
            .is_some_and(|traceparent| self.trace_contexts.insert(&key, traceparent, expires_ms));
        let submit = |waiter, out: &mut Vec<Command>| {
            self.engine
                .submit(self.now(), submission, waiter, wait, out);
            self.record_admission_overhead(request.received_at);
        };
        let answer = self.await_answer(key.clone(), submit).await;
        if traced && !is_running(&answer) {
            self.trace_contexts.remove(&key);
        }
        answer
    }

    fn record_admission_overhead(&self, received_at: Option<Instant>) {
        if let (Some(telemetry), Some(received_at)) = (&self.telemetry, received_at) {
            let overhead_us = received_at.elapsed().as_secs_f64() * 1e6;
            telemetry.metrics().record_admission_overhead(overhead_us);
        }
    }

    /// Returns a job's state, waiting up to `wait_ms` for it to become final.
    pub async fn fetch(self: &Arc<Self>, key: &JobKey, wait_ms: u64) -> JobAnswer {
        if wait_ms > 0 {
            let limit = Duration::from_millis(wait_ms);
            let end = self.fetch_once(key, true);
            if let Ok(answer) = tokio::time::timeout(limit, end).await {
                return answer;
            }
        }
        self.fetch_once(key, false).await
    }

    async fn fetch_once(self: &Arc<Self>, key: &JobKey, wait: bool) -> JobAnswer {
        self.await_answer(key.clone(), |waiter, out| {
            self.engine.fetch(self.now(), key, waiter, wait, out);
        })
        .await
    }

    /// Cancels a job; its queued tasks never start.
    pub async fn cancel(self: &Arc<Self>, key: &JobKey) -> JobAnswer {
        self.await_answer(key.clone(), |waiter, out| {
            self.engine.cancel(self.now(), key, waiter, out);
        })
        .await
    }

    /// Answers for a key that may not start here: the remembered job, or
    /// `absent` if there is none.
    pub async fn answer_without_admission(
        self: &Arc<Self>,
        key: &JobKey,
        fingerprint: Option<u64>,
        absent: Refusal,
    ) -> JobAnswer {
        self.await_answer(key.clone(), |waiter, out| {
            let now = self.now();
            self.engine
                .answer_without_admission(now, key, fingerprint, absent, waiter, out);
        })
        .await
    }

    /// Puts a configuration in force.
    pub fn set_config(self: &Arc<Self>, config: Arc<ConfigSnapshot>) {
        let mut out = Vec::new();
        self.engine.set_config(self.now(), &config, &mut out);
        self.config.send_replace(config);
        self.execute_commands(&mut out);
    }

    /// Sets the instances of the failure domain, including this one, `me`.
    pub fn set_domain_members(self: &Arc<Self>, me: &str, members: &[String]) {
        let mut out = Vec::new();
        self.engine
            .set_domain_members(self.now(), me, members, &mut out);
        self.execute_commands(&mut out);
    }

    /// Returns idle borrowed slots and requests loans for queued tasks; the
    /// messages are to be sent to peers.
    pub fn balance_slots(self: &Arc<Self>) -> Vec<SlotMessage> {
        let mut out = Vec::new();
        let messages = self.engine.balance_slots(self.now(), &mut out);
        self.execute_commands(&mut out);
        messages
    }

    /// Accepts slots lent by a peer for `loan_ms`; `lent` is empty if it has none.
    pub fn borrow_slots(
        self: &Arc<Self>,
        lender: &Member,
        service: &str,
        lent: &[WorkerSlots],
        loan_ms: u64,
    ) {
        let mut out = Vec::new();
        let now = self.now();
        self.engine
            .borrow_slots(now, lender, service, lent, loan_ms, &mut out);
        self.execute_commands(&mut out);
    }

    /// Takes back slots returned by a peer.
    pub fn reclaim_slots(
        self: &Arc<Self>,
        borrower: &Member,
        service: &str,
        returned: &[WorkerSlots],
    ) {
        let mut out = Vec::new();
        let now = self.now();
        self.engine
            .reclaim_slots(now, borrower, service, returned, &mut out);
        self.execute_commands(&mut out);
    }

    /// Starts ticking the engine until the returned guard is dropped.
    pub fn start_ticker(self: &Arc<Self>) -> TickerGuard {
        let runtime = Arc::clone(self);
        TickerGuard(self.handle.spawn(runtime.tick_forever()))
    }

    async fn tick_forever(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut out = Vec::new();
        for count in 1_u64.. {
            ticks.tick().await;
            self.engine.tick(self.now(), &mut out);
            self.execute_commands(&mut out);
            if count.is_multiple_of(TICKS_PER_SWEEP) {
                self.workers.evict_idle();
                self.trace_contexts.remove_expired(self.now().mono_ms);
                self.service_windows.remove_expired(self.now().mono_ms);
            }
        }
    }

    /// Passes a request to the engine and waits for the answer.
    fn await_answer(
        self: &Arc<Self>,
        key: JobKey,
        request: impl FnOnce(WaiterId, &mut Vec<Command>),
    ) -> impl Future<Output = JobAnswer> + Send {
        let (guard, answer) = WaiterGuard::new(Arc::clone(self), key);
        let mut out = Vec::new();
        request(guard.id(), &mut out);
        self.execute_commands(&mut out);
        async move {
            let answer = answer.await.unwrap_or_else(|_| missing_answer());
            drop(guard);
            answer
        }
    }

    /// Executes the engine's commands.
    fn execute_commands(self: &Arc<Self>, commands: &mut Vec<Command>) {
        for command in commands.drain(..) {
            if let Some(placement) = self.execute_command(command) {
                self.spawn(placement);
            }
        }
    }

    /// Answers a waiter, or returns the placement to send.
    fn execute_command(&self, command: Command) -> Option<Placement> {
        match command {
            Command::Answer { waiter, answer } => {
                self.waiters.complete(waiter, answer);
                None
            }
            Command::StartTask {
                task,
                key,
                index,
                attempt,
                worker: _,
                address,
                path,
                payload,
                timeout_ms,
            } => {
                let traceparent = self.trace_contexts.get(&key);
                let call = WorkerCall {
                    key,
                    index,
                    attempt,
                    address,
                    path,
                    payload,
                    timeout_ms,
                    traceparent,
                };
                Some(Placement { task, call })
            }
        }
    }

    fn spawn(self: &Arc<Self>, placement: Placement) {
        let runtime = Arc::clone(self);
        self.handle.spawn(placements::run(runtime, placement));
    }
}

/// Stops the ticker when dropped.
#[derive(Debug)]
pub struct TickerGuard(JoinHandle<()>);

impl Drop for TickerGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

fn is_running(answer: &JobAnswer) -> bool {
    matches!(answer, JobAnswer::Known { state, .. } if *state == JobState::Running)
}

/// Answer to a waiter that the engine dropped without an answer, which it should
/// never do.
fn missing_answer() -> JobAnswer {
    JobAnswer::Refused(Refusal {
        reason: RefusalReason::OwnerLost,
        detail: "the job was dropped without an answer".to_owned(),
        verdict: Verdict::MayHaveRun,
        retry_after_ms: 0,
    })
}
