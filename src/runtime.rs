//! Drives the engine: events in, commands out to workers and waiters.
//!
//! * [`waiters`]: who waits for an answer.
//! * [`tasks`]: placements on their way to workers.
//! * [`service_windows`]: how each service's jobs were answered lately.
//! * [`traces`]: trace contexts of running jobs.
//! * [`dispatch`]: where callers' requests enter.

pub mod dispatch;
pub mod service_windows;
pub mod tasks;
pub mod traces;
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

use crate::util::clock::Clock;
use crate::util::telemetry::Telemetry;
use crate::util::telemetry::trace::{Hop, HopSpan};
use crate::workers::{WorkerCall, WorkerClient};
use service_windows::ServiceWindows;
use tasks::Placement;
use traces::TraceContexts;
use waiters::{WaiterGuard, Waiters};

/// Period of the engine's ticks.
const TICK: Duration = Duration::from_millis(10);
/// Ticks between sweeps of idle connections and old trace contexts.
const TICKS_PER_SWEEP: u64 = 100;

/// What came with a submission besides the job.
#[derive(Clone, Debug, Default)]
pub struct Arrival {
    /// W3C trace context to pass on.
    pub traceparent: Option<Arc<str>>,
    /// When the request was whole here; its admission is timed from then.
    pub whole_at: Option<Instant>,
}

/// The engine of this instance with its clock, its waiters and its workers.
pub struct Runtime {
    engine: Engine,
    clock: Clock,
    waiters: Waiters,
    workers: WorkerClient,
    traces: TraceContexts,
    service_windows: ServiceWindows,
    config: watch::Sender<Arc<ConfigSnapshot>>,
    handle: Handle,
    telemetry: Option<Telemetry>,
}

impl Runtime {
    /// A runtime that spawns on the current tokio runtime.
    ///
    /// # Panics
    ///
    /// Outside a tokio runtime.
    pub fn new(engine: Engine, workers: WorkerClient) -> Arc<Self> {
        Self::with_telemetry(engine, workers, None)
    }

    /// As [`Self::new`], with counts and spans of placements in `telemetry`.
    ///
    /// # Panics
    ///
    /// Outside a tokio runtime.
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
            traces: TraceContexts::default(),
            service_windows: ServiceWindows::default(),
            config: watch::Sender::default(),
            handle: Handle::current(),
            telemetry,
        })
    }

    /// The engine, for settings that push no command.
    pub fn engine(&self) -> &Engine {
        &self.engine
    }

    /// The client of workers, for its counters and bounds.
    pub fn workers(&self) -> &WorkerClient {
        &self.workers
    }

    /// How each service's jobs were answered here lately.
    pub fn service_windows(&self) -> &ServiceWindows {
        &self.service_windows
    }

    /// The declarations in force.
    pub fn config(&self) -> Arc<ConfigSnapshot> {
        Arc::clone(&self.config.borrow())
    }

    /// The current instant.
    pub fn now(&self) -> Now {
        self.clock.now()
    }

    /// A span for one hop of a request; none without telemetry.
    pub fn span(&self, hop: Hop, header: Option<&str>) -> HopSpan {
        match &self.telemetry {
            Some(telemetry) => telemetry.span_from_header(hop, header),
            None => HopSpan::default(),
        }
    }

    /// Answers that are awaited.
    pub fn waiters_len(&self) -> usize {
        self.waiters.len()
    }

    /// Submits a job; with `wait` the answer comes when the job is final.
    ///
    /// A caller that stops waiting leaves its job running.
    pub async fn submit(
        self: &Arc<Self>,
        submission: Submission,
        wait: bool,
        arrival: Arrival,
    ) -> JobAnswer {
        let key = submission.key.clone();
        let forget_ms = self.now().mono_ms + submission.timeout_ms;
        let traced = arrival
            .traceparent
            .is_some_and(|traceparent| self.traces.insert(&key, traceparent, forget_ms));
        let submit = |waiter, out: &mut Vec<Command>| {
            self.engine
                .submit(self.now(), submission, waiter, wait, out);
            self.time_admission(arrival.whole_at);
        };
        let answer = self.answer(key.clone(), submit).await;
        if traced && !is_running(&answer) {
            self.traces.remove(&key);
        }
        answer
    }

    fn time_admission(&self, whole_at: Option<Instant>) {
        if let (Some(telemetry), Some(whole_at)) = (&self.telemetry, whole_at) {
            let overhead_us = whole_at.elapsed().as_secs_f64() * 1e6;
            telemetry.metrics().record_admission_overhead(overhead_us);
        }
    }

    /// Tells a job's state, or its end if it comes within `wait_ms`.
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
        self.answer(key.clone(), |waiter, out| {
            self.engine.fetch(self.now(), key, waiter, wait, out);
        })
        .await
    }

    /// Cancels a job; its queued tasks never start.
    pub async fn cancel(self: &Arc<Self>, key: &JobKey) -> JobAnswer {
        self.answer(key.clone(), |waiter, out| {
            self.engine.cancel(self.now(), key, waiter, out);
        })
        .await
    }

    /// Answers for a key that may not start here: from memory, or `absent`.
    pub async fn recall(
        self: &Arc<Self>,
        key: &JobKey,
        fingerprint: Option<u64>,
        absent: Refusal,
    ) -> JobAnswer {
        self.answer(key.clone(), |waiter, out| {
            let now = self.now();
            self.engine
                .answer_without_admission(now, key, fingerprint, absent, waiter, out);
        })
        .await
    }

    /// Puts declarations in force.
    pub fn set_config(self: &Arc<Self>, config: Arc<ConfigSnapshot>) {
        let mut out = Vec::new();
        self.engine.set_config(self.now(), &config, &mut out);
        self.config.send_replace(config);
        self.execute(&mut out);
    }

    /// Takes the failure domain's instances, `me` among them.
    pub fn set_domain_members(self: &Arc<Self>, me: &str, members: &[String]) {
        let mut out = Vec::new();
        self.engine
            .set_domain_members(self.now(), me, members, &mut out);
        self.execute(&mut out);
    }

    /// Starts what has a slot, and gives what to tell peers about slots.
    pub fn balance(self: &Arc<Self>) -> Vec<SlotMessage> {
        let mut out = Vec::new();
        let messages = self.engine.balance_slots(self.now(), &mut out);
        self.execute(&mut out);
        messages
    }

    /// Takes slots that a peer lends for `loan_ms`, or its answer that it has none.
    pub fn borrow_slots(
        self: &Arc<Self>,
        lender: &str,
        service: &str,
        lent: &[WorkerSlots],
        loan_ms: u64,
    ) {
        let mut out = Vec::new();
        let now = self.now();
        self.engine
            .borrow_slots(now, lender, service, lent, loan_ms, &mut out);
        self.execute(&mut out);
    }

    /// Takes back slots that a peer returns.
    pub fn take_back_slots(
        self: &Arc<Self>,
        borrower: &str,
        service: &str,
        returned: &[WorkerSlots],
    ) {
        let mut out = Vec::new();
        let now = self.now();
        self.engine
            .reclaim_slots(now, borrower, service, returned, &mut out);
        self.execute(&mut out);
    }

    /// Passes time to the engine until the guard is dropped.
    pub fn start_ticker(self: &Arc<Self>) -> TickerGuard {
        let runtime = Arc::clone(self);
        TickerGuard(self.handle.spawn(runtime.tick_forever()))
    }

    async fn tick_forever(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut out = Vec::new();
        for count in 1_u64.. {
            ticks.tick().await;
            self.engine.tick(self.now(), &mut out);
            self.execute(&mut out);
            if count.is_multiple_of(TICKS_PER_SWEEP) {
                self.workers.sweep();
                self.traces.sweep(self.now().mono_ms);
                self.service_windows.sweep(self.now().mono_ms);
            }
        }
    }

    /// Runs one request of a waiter against the engine and awaits its answer.
    fn answer(
        self: &Arc<Self>,
        key: JobKey,
        request: impl FnOnce(WaiterId, &mut Vec<Command>),
    ) -> impl Future<Output = JobAnswer> + Send {
        let (guard, answer) = WaiterGuard::new(Arc::clone(self), key);
        let mut out = Vec::new();
        request(guard.id(), &mut out);
        self.execute(&mut out);
        async move {
            let answer = answer.await.unwrap_or_else(|_| unanswered());
            drop(guard);
            answer
        }
    }

    /// Does what the engine asked for.
    fn execute(self: &Arc<Self>, commands: &mut Vec<Command>) {
        for command in commands.drain(..) {
            if let Some(placement) = self.execute_one(command) {
                self.spawn(placement);
            }
        }
    }

    /// Answers a waiter, or returns the placement to be sent.
    fn execute_one(&self, command: Command) -> Option<Placement> {
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
                let traceparent = self.traces.get(&key);
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
        self.handle.spawn(tasks::run(runtime, placement));
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

/// The engine answers each waiter; this stands in should it not.
fn unanswered() -> JobAnswer {
    JobAnswer::Refused(Refusal {
        reason: RefusalReason::OwnerLost,
        detail: "the job was dropped without an answer".to_owned(),
        verdict: Verdict::MayHaveRun,
        retry_after_ms: 0,
    })
}
