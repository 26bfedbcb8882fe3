//! What goes out of an owner, and what comes back.

use std::sync::Arc;

use trefoil_schema::dispatch::Outcome;

use super::LogEvent;
use crate::dispatch::fence::Fence;
use crate::dispatch::job::Origin;
use crate::dispatch::order::{OrderOutcome, RenewOrder, StartOrder, StopOrder, WorkerKey};

/// What the owner's shell must do.
#[derive(Debug)]
pub enum Command {
    /// Send a start.
    Start(StartOrder),
    /// Send a stop.
    Stop(StopOrder),
    /// Send a hold.
    Renew(RenewOrder),
    /// Tell the origin how its job ended.
    JobEnded {
        /// Who delegated it.
        origin: Origin,
        /// How it ended.
        result: JobResult,
        /// Why, for people.
        reason: &'static str,
    },
    /// Another owner outranks this one on a worker.
    Superseded,
    /// Write a line on a decision.
    Log(LogEvent),
}

/// How a job ended at its owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobResult {
    /// The job.
    pub job_id: String,
    /// How it ended.
    pub outcome: Outcome,
    /// When a job that was refused is worth sending again; 0 where unknown.
    pub retry_after_ms: u64,
}

/// What became of a start or stop.
#[derive(Clone, Debug)]
pub struct OrderResult {
    /// The worker.
    pub worker: WorkerKey,
    /// Fence of the order.
    pub fence: Fence,
    /// Task of the order.
    pub task: Arc<str>,
    /// Run of the order.
    pub run_id: u64,
    /// What became of it.
    pub outcome: OrderOutcome,
}
