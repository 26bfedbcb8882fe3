//! Lines on decisions, as typed values; the shell writes them.

use super::Answered;
use crate::dispatch::worker::Worker;

/// One decision or change of belief.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Note {
    /// What happened.
    pub event: &'static str,
    /// The job, or the task that names it; empty where none is concerned.
    pub subject: String,
    /// Id of the worker; empty where none is concerned.
    pub worker: String,
    /// What decided it, for people.
    pub detail: String,
}

impl Note {
    /// A change of belief about a worker.
    pub fn worker(event: &'static str, worker: &Worker) -> Self {
        Self {
            event,
            worker: worker.record.id.to_string(),
            detail: format!("runs {} fence {}", worker.runs.len(), worker.fence.token()),
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
    pub fn run(event: &'static str, worker: &Worker, answer: &Answered) -> Self {
        Self {
            event,
            subject: answer.task.to_string(),
            worker: worker.record.id.to_string(),
            detail: format!("{:?} fence {}", answer.outcome, answer.fence.token()),
        }
    }
}
