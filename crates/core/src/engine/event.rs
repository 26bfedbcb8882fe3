//! What the engine is told.

use std::sync::Arc;

use bytes::Bytes;

use crate::key::JobKey;

/// A whole submission, already checked for form.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Idempotency key.
    pub key: JobKey,
    /// Hash of the body; a resubmission must have the same.
    pub fingerprint: u64,
    /// Service whose workers run the tasks.
    pub service: Arc<str>,
    /// Team whose quota the job counts against.
    pub team: Arc<str>,
    /// Time the job has, from now.
    pub timeout_ms: u64,
    /// The tasks, in answer order.
    pub tasks: Vec<Task>,
}

/// One task of a submission.
#[derive(Clone, Debug)]
pub struct Task {
    /// Body for the backend server.
    pub payload: Bytes,
    /// Run time that the caller declares; 0 for none.
    pub declared_run_ms: u64,
}

/// Names whoever waits for a job's answer; chosen by the shell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WaiterId(pub u64);

/// Names one placement of a task on a worker; never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskId(pub u64);

/// Names a worker for as long as it is declared; never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WorkerId(pub u32);

/// A worker as declared, in this failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Worker {
    /// Name of the backend server resource.
    pub name: Arc<str>,
    /// Service that it serves.
    pub service: Arc<str>,
    /// Where it answers, IP:PORT.
    pub address: Arc<str>,
    /// Tasks it runs at once.
    pub slots: u32,
    /// Whether it is leaving: no new work.
    pub leaving: bool,
}

impl Worker {
    /// Slots that take new work.
    pub fn assignable_slots(&self) -> u32 {
        match self.leaving {
            true => 0,
            false => self.slots,
        }
    }
}

/// How a placement of a task ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskOutcome {
    /// The backend server answered with a result.
    Done(Bytes),
    /// The backend server ran the task and reported failure.
    Failed(String),
    /// The task provably did not start; it may be placed again.
    NotRun(String),
    /// Nothing is known; the task must not be placed again.
    MayHaveRun(String),
}
