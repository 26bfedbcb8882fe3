//! Orders to workers and their outcomes.

use std::sync::Arc;

use slotmap::new_key_type;

use super::fence::Fence;

new_key_type! {
    /// Key of a worker in its owner's table.
    pub struct WorkerKey;
    /// Key of a job in its owner's table.
    pub struct JobKey;
}

/// The worker that an order is for.
#[derive(Clone, Debug)]
pub struct Target {
    /// Key in the owner's table.
    pub worker: WorkerKey,
    /// Identifies one incarnation of the worker.
    pub worker_id: Arc<str>,
    /// `ip:port`.
    pub address: Arc<str>,
    /// Fencing token of the sender.
    pub fence: Fence,
    /// Start of the incarnation that the order is for, in Unix milliseconds; `None` if it is
    /// unknown. The order must reach no other incarnation, whichever is alive by then.
    pub born_ms: Option<u64>,
}

/// Starts one run of a task.
#[derive(Clone, Debug)]
#[expect(missing_docs, reason = "`target` explains itself")]
pub struct StartOrder {
    pub target: Target,
    /// Name of the task.
    pub task: Arc<str>,
    /// Higher than for all earlier runs of the task.
    pub run_id: u64,
    /// The caller's specification of the job's tasks.
    pub spec: Arc<str>,
    /// When the lease of all runs on the worker expires, by the worker's clock.
    pub deadline_ms: u64,
    /// Timeout of the call.
    pub answer_timeout_ms: u64,
}

/// Stops one run.
#[derive(Clone, Debug)]
#[expect(missing_docs, reason = "`target` explains itself")]
pub struct StopOrder {
    pub target: Target,
    /// Name of the task.
    pub task: Arc<str>,
    /// Number of the run.
    pub run_id: u64,
    /// Timeout of the call.
    pub answer_timeout_ms: u64,
}

/// Renews the lease, acknowledges completions and requests the worker's runs and
/// further completions.
#[derive(Clone, Debug)]
#[expect(missing_docs, reason = "`target` explains itself")]
pub struct RenewOrder {
    pub target: Target,
    /// Unique among the renewals sent to the worker.
    pub number: u64,
    /// When the lease expires by the worker's clock; `None` renews nothing.
    pub deadline_ms: Option<u64>,
    /// Number of the last completion that was processed.
    pub acked_completion: u64,
    /// How long the worker may delay the answer until a run ends.
    pub wait_ms: u64,
    /// Timeout of the call, in addition to `wait_ms`.
    pub answer_timeout_ms: u64,
}

/// Outcome of a start or stop order.
#[derive(Clone, Copy, derive_more::Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The order was carried out.
    Done {
        /// Reading of the worker's clock, in milliseconds.
        clock_ms: u64,
    },
    /// Not carried out: the worker has seen a higher fence.
    Fenced,
    /// Not carried out, for another reason that the worker gave.
    Rejected(Rejection),
    /// Not carried out: the worker with this id has ended, and another one answered.
    #[debug("OtherLife")]
    WrongIncarnation,
    /// Not carried out: another incarnation of the worker answered, under the same id.
    OtherIncarnation {
        /// Its start, in Unix milliseconds.
        born_ms: u64,
    },
    /// Not carried out: the worker could not be reached.
    NotSent,
    /// Unknown: it may have been carried out, or may still be.
    NoAnswer,
}

/// Why a worker rejected an order.
#[derive(Clone, Copy, derive_more::Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The run is not newer than one that has ended.
    OldRun,
    /// The deadline had passed when the order arrived.
    Late,
    /// The task does not fit into the free resources.
    #[debug("NoRoom")]
    NoCapacity,
    /// The worker is unhealthy.
    Unhealthy,
    /// The worker cannot parse the order.
    Invalid,
    /// The order was not sent: too many calls were in progress.
    Congested,
}

/// A run that a worker lists.
#[derive(Clone, Debug, PartialEq, Eq)]
#[expect(missing_docs, reason = "fields explain themselves")]
pub struct ListedRun {
    pub task: Arc<str>,
    pub run_id: u64,
}

/// A finished run that a worker lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunCompletion {
    /// Consecutive number among the completions of this incarnation, from 1.
    pub number: u64,
    /// Name of the task.
    pub task: Arc<str>,
    /// Number of the run.
    pub run_id: u64,
    /// How the run ended.
    pub outcome: RunOutcome,
}

/// How a run ended.
#[derive(Clone, Copy, derive_more::Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The task is done.
    Done,
    /// It failed, because of the task or the worker.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// Its lease expired, or it ended for another reason unrelated to the task.
    #[debug("Lapsed")]
    LeaseExpired,
}

/// Outcome of a renewal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RenewOutcome {
    /// The lease is renewed.
    Renewed {
        /// Start of the incarnation that answered, in Unix milliseconds; `None` if unknown.
        born_ms: Option<u64>,
        /// Reading of the worker's clock, in milliseconds.
        clock_ms: u64,
        /// All current runs.
        running: Vec<ListedRun>,
        /// Completions that are not acknowledged yet, oldest first.
        completions: Vec<RunCompletion>,
    },
    /// The worker has seen a higher fence.
    Fenced,
    /// Another incarnation of the worker answered.
    WrongIncarnation,
    /// The worker answered that it is unhealthy.
    Unhealthy,
    /// The call failed or timed out.
    NoAnswer,
}
