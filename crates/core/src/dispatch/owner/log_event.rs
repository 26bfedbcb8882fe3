//! Log records of the owner's decisions, as typed values; the caller writes them.

use super::OrderResult;
use crate::dispatch::worker::Worker;

/// What a log record is about.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogTopic {
    /// A single job, run or worker; such records are frequent.
    #[default]
    Work,
    /// The pool as a whole.
    Pool,
}

/// A log record of one decision or state change.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LogEvent {
    /// Whether the record is about a work item or the pool.
    pub topic: LogTopic,
    /// The message.
    pub event: &'static str,
    /// Id of the job, or name of the task; empty if there is none.
    pub subject: String,
    /// Id of the worker; empty if there is none.
    pub worker: String,
    /// Age of the worker's last answer in milliseconds, if the decision depended on it.
    pub last_heard_ms: Option<u64>,
    /// Human-readable details.
    pub detail: String,
}

impl LogEvent {
    /// A change of a worker's state.
    pub(crate) fn worker(event: &'static str, worker: &Worker) -> Self {
        Self {
            event,
            worker: worker.record.id.to_string(),
            detail: format!("runs {} fence {}", worker.runs.len(), worker.fence.token()),
            ..Self::default()
        }
    }

    /// A change of the whole pool's state.
    pub(crate) fn pool(event: &'static str, detail: String) -> Self {
        Self {
            topic: LogTopic::Pool,
            event,
            detail,
            ..Self::default()
        }
    }

    /// A decision on a job, or on the task that `job_id` names.
    pub(crate) fn job(event: &'static str, job_id: &str) -> Self {
        Self {
            event,
            subject: job_id.to_owned(),
            ..Self::default()
        }
    }

    /// The result of an order for a run.
    pub(crate) fn run(event: &'static str, worker: &Worker, result: &OrderResult) -> Self {
        Self {
            event,
            subject: result.task.to_string(),
            worker: worker.record.id.to_string(),
            detail: format!("{:?} fence {}", result.outcome, result.fence.token()),
            ..Self::default()
        }
    }
}
