//! Lines on decisions, as typed values; the shell writes them.

use super::OrderResult;
use crate::dispatch::worker::Worker;

/// What a note is about.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogTopic {
    /// Jobs, their runs, workers: many.
    #[default]
    Work,
    /// The pool as a whole.
    Pool,
}

/// One decision or change of belief.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LogEvent {
    /// What it is about.
    pub topic: LogTopic,
    /// What happened.
    pub event: &'static str,
    /// The job, or the task that names it; empty where none is concerned.
    pub subject: String,
    /// Id of the worker; empty where none is concerned.
    pub worker: String,
    /// Age of the worker's last answer, milliseconds, where that decided.
    pub last_heard_ms: Option<u64>,
    /// What decided it, for people.
    pub detail: String,
}

impl LogEvent {
    /// A change of belief about a worker.
    pub fn worker(event: &'static str, worker: &Worker) -> Self {
        Self {
            event,
            worker: worker.record.id.to_string(),
            detail: format!("runs {} fence {}", worker.runs.len(), worker.fence.token()),
            ..Self::default()
        }
    }

    /// A change of belief about the whole pool.
    pub fn pool(event: &'static str, detail: String) -> Self {
        Self {
            topic: LogTopic::Pool,
            event,
            detail,
            ..Self::default()
        }
    }

    /// A decision on a job.
    pub fn job(event: &'static str, job_id: &str) -> Self {
        Self {
            event,
            subject: job_id.to_owned(),
            ..Self::default()
        }
    }

    /// What became of an order for a run.
    pub fn run(event: &'static str, worker: &Worker, answer: &OrderResult) -> Self {
        Self {
            event,
            subject: answer.task.to_string(),
            worker: worker.record.id.to_string(),
            detail: format!("{:?} fence {}", answer.outcome, answer.fence.token()),
            ..Self::default()
        }
    }
}
