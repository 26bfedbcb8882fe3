//! Orders to workers and what became of them.

use std::sync::Arc;

use slotmap::new_key_type;

use super::fence::Fence;

new_key_type! {
    /// A worker that an owner knows.
    pub struct WorkerKey;
    /// A job that an owner has.
    pub struct JobKey;
}

/// Where an order goes.
#[derive(Clone, Debug)]
pub struct Target {
    /// The worker's place in its owner's table.
    pub worker: WorkerKey,
    /// The life of the worker that is meant.
    pub worker_id: Arc<str>,
    /// `ip:port`.
    pub address: Arc<str>,
    /// The sender's right to order it.
    pub fence: Fence,
}

/// Starts one run of a task.
#[derive(Clone, Debug)]
pub struct StartOrder {
    /// Where it goes.
    pub target: Target,
    /// Name of the task.
    pub task: Arc<str>,
    /// Number of this run; larger than of all earlier runs of the task.
    pub run_id: u64,
    /// What the caller gave for the tasks of the job.
    pub spec: Arc<str>,
    /// End of the lease of all that runs there, by the worker's clock.
    pub deadline_ms: u64,
    /// After this time its answer is given up on.
    pub answer_timeout_ms: u64,
}

/// Stops one run.
#[derive(Clone, Debug)]
pub struct StopOrder {
    /// Where it goes.
    pub target: Target,
    /// Name of the task.
    pub task: Arc<str>,
    /// Number of the run.
    pub run_id: u64,
    /// After this time its answer is given up on.
    pub answer_timeout_ms: u64,
}

/// Renews the lease, acknowledges ends, asks what runs and what has ended.
#[derive(Clone, Debug)]
pub struct RenewOrder {
    /// Where it goes.
    pub target: Target,
    /// Tells the holds of one worker apart.
    pub number: u64,
    /// End of the lease by the worker's clock; none renews nothing.
    pub deadline_ms: Option<u64>,
    /// Number of the last end that was taken in.
    pub acked_completion: u64,
    /// How long the answer may wait for something to end.
    pub wait_ms: u64,
    /// After this time more its answer is given up on.
    pub answer_timeout_ms: u64,
}

/// How a worker took a start or a stop.
#[derive(Clone, Copy, derive_more::Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// Done. The worker's clock stood at `clock_ms`.
    Done {
        /// Milliseconds of the worker's clock.
        clock_ms: u64,
    },
    /// Not done: the fence was outranked.
    Fenced,
    /// Not done, for another reason that the worker gave.
    Rejected(Rejection),
    /// Not done: another life of the worker answered.
    #[debug("OtherLife")]
    WrongIncarnation,
    /// Unknown: it may have been done, or may be done yet.
    NoAnswer,
}

/// Why a worker did not do what it was told.
#[derive(Clone, Copy, derive_more::Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The run is not newer than one that it knows to be over.
    OldRun,
    /// The deadline had passed when the order arrived.
    Late,
    /// The task does not fit.
    #[debug("NoRoom")]
    NoCapacity,
    /// It is unhealthy.
    Unhealthy,
    /// It cannot read the order.
    Invalid,
}

/// One run that a worker lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedRun {
    /// Name of the task.
    pub task: Arc<str>,
    /// Number of the run.
    pub run_id: u64,
}

/// One end that a worker lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunCompletion {
    /// Counts the ends of this life of the worker, from 1.
    pub number: u64,
    /// Name of the task.
    pub task: Arc<str>,
    /// Number of the run.
    pub run_id: u64,
    /// How it ended.
    pub outcome: RunOutcome,
}

/// How a run ended.
#[derive(Clone, Copy, derive_more::Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The task is done.
    Done,
    /// It failed, by its own fault or the worker's.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// Its lease lapsed, or it ended for a reason that is no fault of the task.
    #[debug("Lapsed")]
    LeaseExpired,
}

/// How a worker answered a hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RenewOutcome {
    /// What runs and what has ended there.
    Renewed {
        /// Milliseconds of the worker's clock.
        clock_ms: u64,
        /// All that runs.
        running: Vec<ListedRun>,
        /// Ends beyond those acknowledged, oldest first.
        completions: Vec<RunCompletion>,
    },
    /// The fence was outranked.
    Fenced,
    /// Another life of the worker answered.
    WrongIncarnation,
    /// It answered that it cannot.
    Unhealthy,
    /// No answer.
    NoAnswer,
}
