//! Commands of an owner, and the results of its orders.

use std::sync::Arc;

use trefoil_schema::dispatch::{Job as JobSpec, Outcome};

use super::LogEvent;
use crate::dispatch::fence::Fence;
use crate::dispatch::job::Origin;
use crate::dispatch::order::{OrderOutcome, RenewOrder, StartOrder, StopOrder, WorkerKey};

/// An effect that the caller of the owner must carry out.
#[derive(Debug)]
pub enum Command {
    /// Start a run on a worker.
    Start(StartOrder),
    /// Stop a run on a worker.
    Stop(StopOrder),
    /// Renew a worker's leases and list its runs and completions.
    Renew(RenewOrder),
    /// Tell the origin how its job ended.
    JobEnded {
        /// The origin that delegated the job.
        origin: Origin,
        /// The outcome, and the retry delay of a refused job.
        result: JobResult,
        /// Human-readable reason.
        reason: &'static str,
    },
    /// Give up ownership of the pool: a worker has seen a newer owner's fence.
    Superseded,
    /// Write a log record.
    Log(LogEvent),
}

/// How a job ended at its owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobResult {
    /// Id of the job, as its caller chose it.
    pub job_id: String,
    /// Number of the delegation that this is the result of; 0 if it has none.
    pub delegation: u64,
    /// How the job ended.
    pub outcome: Outcome,
    /// Delay after which a refused job is worth retrying; 0 if unknown.
    pub retry_after_ms: u64,
}

impl JobResult {
    /// The result of a delegated job.
    pub fn new(spec: &JobSpec, outcome: Outcome) -> Self {
        Self {
            job_id: spec.id.clone(),
            delegation: spec.delegation,
            outcome,
            retry_after_ms: 0,
        }
    }
}

/// The result of a start or stop order.
#[expect(missing_docs, reason = "the fields repeat those of the order")]
#[derive(Clone, Debug)]
pub struct OrderResult {
    pub worker: WorkerKey,
    pub fence: Fence,
    pub task: Arc<str>,
    pub run_id: u64,
    pub outcome: OrderOutcome,
}
