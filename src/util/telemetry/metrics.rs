//! The counters, gauges and histograms of one instance.

use std::fmt::Display;

use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter};
use opentelemetry::{KeyValue, Value};
use trefoil_core::engine::{JobState, TaskOutcome};

use super::totals::{TOTAL_NAMES, Totals};

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
    /// A request sent to a key's owner once more.
    Reasked,
    /// A request for slots that a peer had none for, or its answer.
    SlotsRefused,
}

impl WastedMessage {
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::LateAnswer => "late_answer",
            Self::CrossedAnswer => "crossed_answer",
            Self::NotStarted => "not_started",
            Self::Resubmission => "resubmission",
            Self::Misrouted => "misrouted",
            Self::StalePeerMessage => "stale_peer_message",
            Self::Reasked => "reasked",
            Self::SlotsRefused => "slots_refused",
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
}

impl StoreCall {
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Range => "range",
            Self::Txn => "txn",
            Self::Watch => "watch",
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
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Sent => "sent",
            Self::Received => "received",
        }
    }
}

/// Gauges of an instance, as read at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Keys remembered, running and final.
    pub keys: u64,
    /// Jobs admitted and not final.
    pub jobs_running: u64,
    /// Tasks that wait for a slot.
    pub tasks_queued: u64,
    /// Tasks at backend servers.
    pub tasks_running: u64,
    /// Bytes of results kept for resubmissions.
    pub results_bytes: u64,
    /// Slots of backend servers that this instance may use.
    pub slots_owned: u64,
    /// Backend servers ejected here, or on trial.
    pub workers_ejected: u64,
    /// Version of the newest view of the own failure domain.
    pub view_version: u64,
    /// How far the issue times that may be admitted reach into the future, in
    /// milliseconds; negative once admission has ended.
    pub admission_lead_ms: i64,
}

/// The instruments; clones share them.
#[derive(Clone, Debug)]
pub struct Metrics {
    jobs_submitted: Counter<u64>,
    refusals: Counter<u64>,
    task_outcomes: Counter<u64>,
    totals: [Counter<u64>; TOTAL_NAMES.len()],
    config_revision: Gauge<u64>,
    gauges: [Gauge<i64>; GAUGE_NAMES.len()],
    instances: Gauge<u64>,
    response_time_ms: Histogram<f64>,
    admission_overhead_us: Histogram<f64>,
}

impl Metrics {
    /// The instruments of `meter`.
    pub fn new(meter: &Meter) -> Self {
        let counter = |name, text| meter.u64_counter(name).with_description(text).build();
        let gauge = |name, text| meter.u64_gauge(name).with_description(text).build();
        Self {
            jobs_submitted: counter("trefoil_jobs_submitted", "Submissions that arrived."),
            refusals: counter("trefoil_refusals", "Submissions refused, by reason."),
            task_outcomes: counter("trefoil_task_outcomes", "Ends of placements, by outcome."),
            totals: TOTAL_NAMES.map(|total| counter(total.name, total.text)),
            config_revision: gauge("trefoil_config_revision", "Store revision in force."),
            gauges: GAUGE_NAMES.map(|(name, text)| {
                let gauge = meter.i64_gauge(name).with_description(text);
                gauge.build()
            }),
            instances: gauge("trefoil_instances", "Instances known, by state."),
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
    pub fn record_submission(&self) {
        self.jobs_submitted.add(1, &[]);
    }

    /// A caller had the answer of a final job `response_ms` after it asked.
    pub fn record_response_time(&self, state: JobState, response_ms: f64) {
        let label = label("state", state.to_string());
        self.response_time_ms.record(response_ms, &[label]);
    }

    /// Adds what the parts counted between two readings.
    pub fn record_totals(&self, from: &Totals, to: &Totals) {
        for (total, growth) in to.since(from) {
            let labels = total.label().map(|(name, value)| label(name, value));
            self.totals[total.position()].add(growth, labels.as_slice());
        }
    }

    /// A submission was refused; `reason` is one word.
    pub fn record_refusal(&self, reason: impl Display) {
        self.refusals.add(1, &[label("reason", reason.to_string())]);
    }

    /// Admission took `overhead_us`.
    pub fn record_admission_overhead(&self, overhead_us: f64) {
        self.admission_overhead_us.record(overhead_us, &[]);
    }

    /// A placement of a task ended.
    pub fn record_task_outcome(&self, outcome: Outcome) {
        self.task_outcomes
            .add(1, &[label("outcome", outcome.name())]);
    }

    /// The revision in force changed.
    pub fn set_config_revision(&self, revision: u64) {
        self.config_revision.record(revision, &[]);
    }

    /// Sets the gauges.
    pub fn set_gauges(&self, gauges: &Gauges) {
        for (gauge, value) in self.gauges.iter().zip(gauges.values()) {
            gauge.record(value, &[]);
        }
    }

    /// Instances known in one state, this one among them.
    pub fn set_instances(&self, state: &'static str, count: u64) {
        self.instances.record(count, &[label("state", state)]);
    }
}

/// Gauges in the order of [`Gauges::values`].
const GAUGE_NAMES: [(&str, &str); 9] = [
    ("trefoil_keys", "Keys remembered, running and final."),
    ("trefoil_jobs_running", "Jobs admitted and not final."),
    ("trefoil_tasks_queued", "Tasks that wait for a slot."),
    ("trefoil_tasks_running", "Tasks at backend servers."),
    ("trefoil_results_bytes", "Bytes of results kept."),
    ("trefoil_slots_owned", "Slots that this instance may use."),
    ("trefoil_workers_ejected", "Backend servers ejected here."),
    ("trefoil_view_version", "Version of the newest view."),
    (
        "trefoil_admission_lead_ms",
        "Milliseconds that admission reaches ahead of now.",
    ),
];

impl Gauges {
    fn values(&self) -> [i64; GAUGE_NAMES.len()] {
        let whole = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        [
            whole(self.keys),
            whole(self.jobs_running),
            whole(self.tasks_queued),
            whole(self.tasks_running),
            whole(self.results_bytes),
            whole(self.slots_owned),
            whole(self.workers_ejected),
            whole(self.view_version),
            self.admission_lead_ms,
        ]
    }
}

fn label(name: &'static str, value: impl Into<Value>) -> KeyValue {
    KeyValue::new(name, value)
}
