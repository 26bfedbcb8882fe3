//! Counters, gauges and histograms of an instance.

use std::fmt::Display;

use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter};
use opentelemetry::{KeyValue, Value};
use trefoil_core::engine::{JobState, TaskOutcome};

use super::totals::{TOTAL_NAMES, Totals};

const RESPONSE_TIME_BUCKETS_MS: [f64; 16] = [
    5.0, 10.0, 25.0, 50.0, 75.0, 100.0, 150.0, 250.0, 400.0, 600.0, 1_000.0, 1_500.0, 2_500.0,
    5_000.0, 10_000.0, 60_000.0,
];
const ADMISSION_OVERHEAD_BUCKETS_US: [f64; 12] = [
    5.0, 10.0, 25.0, 50.0, 100.0, 250.0, 500.0, 1_000.0, 2_500.0, 5_000.0, 10_000.0, 50_000.0,
];

/// A message that did not contribute to answering a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WastedMessage {
    /// A backend server's response to a task that was already given up.
    LateAnswer,
    /// A backend server's response that belongs to another task.
    CrossedAnswer,
    /// A task that was refused before it started or could not be sent.
    NotStarted,
    /// A submission of a key that is already known.
    Resubmission,
    /// A job forwarded to an instance that does not own it.
    Misrouted,
    /// A peer's message that nothing waits for any more.
    StalePeerMessage,
    /// A peer's answer whose key or sender is not that of the request with its ID.
    MismatchedAnswer,
    /// A request sent again to the key's owner.
    Reasked,
    /// A slot request that a peer could not grant, or its answer.
    SlotsRefused,
}

impl WastedMessage {
    pub(super) fn label(self) -> &'static str {
        match self {
            Self::LateAnswer => "late_answer",
            Self::CrossedAnswer => "crossed_answer",
            Self::NotStarted => "not_started",
            Self::Resubmission => "resubmission",
            Self::Misrouted => "misrouted",
            Self::StalePeerMessage => "stale_peer_message",
            Self::MismatchedAnswer => "mismatched_answer",
            Self::Reasked => "reasked",
            Self::SlotsRefused => "slots_refused",
        }
    }
}

/// Outcome of one placement of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The task returned a result.
    Done,
    /// The task ran and failed.
    Failed,
    /// The task did not start.
    NotRun,
    /// Whether the task started is unknown.
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
    /// Value of the metric's label.
    pub fn label(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::NotRun => "not_run",
            Self::MayHaveRun => "may_have_run",
        }
    }
}

/// A call to the platform's store. A watch counts once, however long it waits.
#[expect(missing_docs, reason = "the variants explain themselves")]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreCall {
    Range,
    Txn,
    Watch,
}

impl StoreCall {
    pub(super) fn label(self) -> &'static str {
        match self {
            Self::Range => "range",
            Self::Txn => "txn",
            Self::Watch => "watch",
        }
    }
}

/// Direction of a message between instances.
#[expect(missing_docs, reason = "the variants explain themselves")]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    Sent,
    Received,
}

impl Direction {
    pub(super) fn label(self) -> &'static str {
        match self {
            Self::Sent => "sent",
            Self::Received => "received",
        }
    }
}

/// Values of the gauges at one point in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Keys remembered, of running and final jobs.
    pub keys: u64,
    /// Jobs admitted that are not final.
    pub jobs_running: u64,
    /// Tasks waiting for a slot.
    pub tasks_queued: u64,
    /// Tasks running on backend servers.
    pub tasks_running: u64,
    /// Bytes of results kept for resubmissions.
    pub results_bytes: u64,
    /// Slots of backend servers that this instance may use.
    pub slots_owned: u64,
    /// Backend servers that this instance has ejected or has on probation.
    pub workers_ejected: u64,
    /// Version of the newest view of this instance's failure domain.
    pub view_version: u64,
    /// How far in the future a key's issue time may be to be admitted, in milliseconds;
    /// negative once admission has ended.
    pub admission_lead_ms: i64,
}

/// The metric instruments; clones share them.
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
    /// Creates the instruments with `meter`.
    pub fn new(meter: &Meter) -> Self {
        let counter = |name, description| {
            meter
                .u64_counter(name)
                .with_description(description)
                .build()
        };
        let gauge = |name, description| meter.u64_gauge(name).with_description(description).build();
        Self {
            jobs_submitted: counter("trefoil_jobs_submitted", "Submissions that arrived."),
            refusals: counter("trefoil_refusals", "Submissions refused, by reason."),
            task_outcomes: counter("trefoil_task_outcomes", "Ends of placements, by outcome."),
            totals: TOTAL_NAMES.map(|total| counter(total.name, total.description)),
            config_revision: gauge("trefoil_config_revision", "Store revision in force."),
            gauges: GAUGE_NAMES.map(|(name, description)| {
                let gauge = meter.i64_gauge(name).with_description(description);
                gauge.build()
            }),
            instances: gauge("trefoil_instances", "Instances known, by state."),
            response_time_ms: meter
                .f64_histogram("trefoil_response_time_ms")
                .with_description("Milliseconds from submission to answer, by final state.")
                .with_boundaries(RESPONSE_TIME_BUCKETS_MS.to_vec())
                .build(),
            admission_overhead_us: meter
                .f64_histogram("trefoil_admission_overhead_us")
                .with_description("Microseconds from a whole request to its admission.")
                .with_boundaries(ADMISSION_OVERHEAD_BUCKETS_US.to_vec())
                .build(),
        }
    }

    /// Counts a submission, whether it is admitted or refused.
    pub fn record_submission(&self) {
        self.jobs_submitted.add(1, &[]);
    }

    /// Records the time from a caller's request to the answer with the final job.
    pub fn record_response_time(&self, state: JobState, response_ms: f64) {
        let label = label("state", state.to_string());
        self.response_time_ms.record(response_ms, &[label]);
    }

    /// Adds the growth of the totals between two readings.
    pub fn record_totals(&self, from: &Totals, to: &Totals) {
        for (total, growth) in to.growth_since(from) {
            let labels = total.label().map(|(name, value)| label(name, value));
            self.totals[total.index()].add(growth, labels.as_slice());
        }
    }

    /// Counts a refused submission; `reason` is a label value.
    pub fn record_refusal(&self, reason: impl Display) {
        self.refusals.add(1, &[label("reason", reason.to_string())]);
    }

    /// Records the time from a fully read request to its admission.
    pub fn record_admission_overhead(&self, overhead_us: f64) {
        self.admission_overhead_us.record(overhead_us, &[]);
    }

    /// Counts the outcome of a placement.
    pub fn record_task_outcome(&self, outcome: Outcome) {
        self.task_outcomes
            .add(1, &[label("outcome", outcome.label())]);
    }

    /// Sets the store revision in force.
    pub fn set_config_revision(&self, revision: u64) {
        self.config_revision.record(revision, &[]);
    }

    /// Records a reading of the gauges.
    pub fn set_gauges(&self, gauges: &Gauges) {
        for (gauge, value) in self.gauges.iter().zip(gauges.values()) {
            gauge.record(value, &[]);
        }
    }

    /// Sets the number of known instances in `state`, including this one.
    pub fn set_instances(&self, state: &'static str, count: u64) {
        self.instances.record(count, &[label("state", state)]);
    }
}

/// Name and description of each gauge, in the order of [`Gauges::values`].
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
        let to_i64 = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        [
            to_i64(self.keys),
            to_i64(self.jobs_running),
            to_i64(self.tasks_queued),
            to_i64(self.tasks_running),
            to_i64(self.results_bytes),
            to_i64(self.slots_owned),
            to_i64(self.workers_ejected),
            to_i64(self.view_version),
            self.admission_lead_ms,
        ]
    }
}

fn label(name: &'static str, value: impl Into<Value>) -> KeyValue {
    KeyValue::new(name, value)
}
