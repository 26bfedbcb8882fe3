//! The counters, gauges and histograms of one instance.

use std::fmt::Display;

use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter};
use opentelemetry::{KeyValue, Value};
use trefoil_core::engine::{JobState, TaskOutcome};

/// Upper bounds of response time buckets, in milliseconds.
const RESPONSE_BOUNDS_MS: [f64; 16] = [
    5.0, 10.0, 25.0, 50.0, 75.0, 100.0, 150.0, 250.0, 400.0, 600.0, 1_000.0, 1_500.0, 2_500.0,
    5_000.0, 10_000.0, 60_000.0,
];
/// Upper bounds of admission overhead buckets, in microseconds.
const OVERHEAD_BOUNDS_US: [f64; 12] = [
    5.0, 10.0, 25.0, 50.0, 100.0, 250.0, 500.0, 1_000.0, 2_500.0, 5_000.0, 10_000.0, 50_000.0,
];

/// A message that brought no caller nearer to an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WastedMessage {
    /// A backend server's answer after the task was given up.
    LateAnswer,
    /// A backend server's answer to another task.
    CrossedAnswer,
    /// A task that was refused before its start or could not be sent.
    NotStarted,
    /// A submission of a key that is known already.
    Resubmission,
    /// A job forwarded to an instance that does not own it.
    Misrouted,
    /// A peer's message that nobody waits for any more.
    StalePeerMessage,
}

impl WastedMessage {
    fn name(self) -> &'static str {
        match self {
            Self::LateAnswer => "late_answer",
            Self::CrossedAnswer => "crossed_answer",
            Self::NotStarted => "not_started",
            Self::Resubmission => "resubmission",
            Self::Misrouted => "misrouted",
            Self::StalePeerMessage => "stale_peer_message",
        }
    }
}

/// How a placement of a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A result came back.
    Done,
    /// The task ran and failed.
    Failed,
    /// The task did not start.
    NotRun,
    /// Nothing is known.
    MayHaveRun,
}

impl From<&TaskOutcome> for Outcome {
    fn from(outcome: &TaskOutcome) -> Self {
        match outcome {
            TaskOutcome::Done(_) => Self::Done,
            TaskOutcome::Failed(_) => Self::Failed,
            TaskOutcome::NotRun(_) => Self::NotRun,
            TaskOutcome::MayHaveRun(_) => Self::MayHaveRun,
        }
    }
}

impl Outcome {
    /// The outcome as the counter's label names it.
    pub fn name(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::NotRun => "not_run",
            Self::MayHaveRun => "may_have_run",
        }
    }
}

/// A call to the platform's store; a waiting watch counts as one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// A read.
    Range,
    /// A compare-and-swap.
    Txn,
    /// A watch.
    Watch,
    /// A lease call.
    Lease,
}

impl StoreCall {
    fn name(self) -> &'static str {
        match self {
            Self::Range => "range",
            Self::Txn => "txn",
            Self::Watch => "watch",
            Self::Lease => "lease",
        }
    }
}

/// Which way a message between instances goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// To a peer.
    Sent,
    /// From a peer.
    Received,
}

impl Direction {
    fn name(self) -> &'static str {
        match self {
            Self::Sent => "sent",
            Self::Received => "received",
        }
    }
}

/// What the parts of an instance have counted since its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Totals {
    /// Jobs that completed here.
    pub jobs_complete: u64,
    /// Jobs that failed or were cancelled here.
    pub jobs_failed: u64,
    /// Placements of tasks.
    pub task_starts: u64,
    /// Wasted messages, the same kinds in the same order in each reading.
    pub wasted: [(WastedMessage, u64); 4],
    /// Frames to and from peers.
    pub peer_frames: [(Direction, u64); 2],
    /// Bytes of those frames.
    pub peer_bytes: [(Direction, u64); 2],
}

/// The instruments; clones share them.
#[derive(Clone, Debug)]
pub struct Counters {
    jobs_submitted: Counter<u64>,
    jobs_complete: Counter<u64>,
    jobs_failed: Counter<u64>,
    refusals: Counter<u64>,
    task_starts: Counter<u64>,
    task_outcomes: Counter<u64>,
    wasted_messages: Counter<u64>,
    peer_frames: Counter<u64>,
    peer_bytes: Counter<u64>,
    store_calls: Counter<u64>,
    config_revision: Gauge<u64>,
    tasks_queued: Gauge<u64>,
    tasks_running: Gauge<u64>,
    response_time_ms: Histogram<f64>,
    admission_overhead_us: Histogram<f64>,
}

impl Counters {
    /// The instruments of `meter`.
    pub fn new(meter: &Meter) -> Self {
        let counter = |name, text| meter.u64_counter(name).with_description(text).build();
        let gauge = |name, text| meter.u64_gauge(name).with_description(text).build();
        Self {
            jobs_submitted: counter("trefoil_jobs_submitted", "Submissions that arrived."),
            jobs_complete: counter("trefoil_jobs_complete", "Jobs answered whole."),
            jobs_failed: counter("trefoil_jobs_failed", "Jobs final without a whole answer."),
            refusals: counter("trefoil_refusals", "Submissions refused, by reason."),
            task_starts: counter("trefoil_task_starts", "Tasks sent to a backend server."),
            task_outcomes: counter("trefoil_task_outcomes", "Ends of placements, by outcome."),
            wasted_messages: counter(
                "trefoil_wasted_messages",
                "Messages that brought no caller nearer to an answer, by kind.",
            ),
            peer_frames: counter("trefoil_peer_frames", "Frames between instances."),
            peer_bytes: counter("trefoil_peer_bytes", "Bytes between instances."),
            store_calls: counter(
                "trefoil_store_calls",
                "Calls to the platform's store, by kind.",
            ),
            config_revision: gauge("trefoil_config_revision", "Store revision in force."),
            tasks_queued: gauge("trefoil_tasks_queued", "Tasks that wait for a slot."),
            tasks_running: gauge("trefoil_tasks_running", "Tasks at backend servers."),
            response_time_ms: meter
                .f64_histogram("trefoil_response_time_ms")
                .with_description("Milliseconds from submission to answer, by final state.")
                .with_boundaries(RESPONSE_BOUNDS_MS.to_vec())
                .build(),
            admission_overhead_us: meter
                .f64_histogram("trefoil_admission_overhead_us")
                .with_description("Microseconds from a whole request to its admission.")
                .with_boundaries(OVERHEAD_BOUNDS_US.to_vec())
                .build(),
        }
    }

    /// A submission arrived.
    pub fn job_submitted(&self) {
        self.jobs_submitted.add(1, &[]);
    }

    /// A caller had the answer of a final job `response_ms` after it asked.
    pub fn answered(&self, state: JobState, response_ms: f64) {
        let label = label("state", state.to_string());
        self.response_time_ms.record(response_ms, &[label]);
    }

    /// Adds what the parts counted between two readings.
    pub fn advance(&self, from: &Totals, to: &Totals) {
        let add = |counter: &Counter<u64>, from: u64, to: u64, labels: &[KeyValue]| {
            if to > from {
                counter.add(to - from, labels);
            }
        };
        add(
            &self.jobs_complete,
            from.jobs_complete,
            to.jobs_complete,
            &[],
        );
        add(&self.jobs_failed, from.jobs_failed, to.jobs_failed, &[]);
        add(&self.task_starts, from.task_starts, to.task_starts, &[]);
        for (&(kind, from), (_, to)) in from.wasted.iter().zip(to.wasted) {
            let labels = [label("kind", kind.name())];
            add(&self.wasted_messages, from, to, &labels);
        }
        for (&(way, from), (_, to)) in from.peer_frames.iter().zip(to.peer_frames) {
            let labels = [label("direction", way.name())];
            add(&self.peer_frames, from, to, &labels);
        }
        for (&(way, from), (_, to)) in from.peer_bytes.iter().zip(to.peer_bytes) {
            let labels = [label("direction", way.name())];
            add(&self.peer_bytes, from, to, &labels);
        }
    }

    /// A submission was refused; `reason` is one word.
    pub fn refused(&self, reason: impl Display) {
        self.refusals.add(1, &[label("reason", reason.to_string())]);
    }

    /// Admission took `overhead_us`.
    pub fn admitted(&self, overhead_us: f64) {
        self.admission_overhead_us.record(overhead_us, &[]);
    }

    /// A placement of a task ended.
    pub fn task_ended(&self, outcome: Outcome) {
        self.task_outcomes
            .add(1, &[label("outcome", outcome.name())]);
    }

    /// A message was wasted.
    pub fn wasted(&self, kind: WastedMessage) {
        self.wasted_messages.add(1, &[label("kind", kind.name())]);
    }

    /// The platform's store was called.
    pub fn store_called(&self, kind: StoreCall) {
        self.store_calls.add(1, &[label("kind", kind.name())]);
    }

    /// The revision in force changed.
    pub fn set_config_revision(&self, revision: u64) {
        self.config_revision.record(revision, &[]);
    }

    /// Tasks that wait and tasks at backend servers.
    pub fn set_tasks(&self, queued: u64, running: u64) {
        self.tasks_queued.record(queued, &[]);
        self.tasks_running.record(running, &[]);
    }
}

fn label(name: &'static str, value: impl Into<Value>) -> KeyValue {
    KeyValue::new(name, value)
}
