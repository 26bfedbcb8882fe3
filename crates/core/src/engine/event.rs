//! Inputs of the engine.

use std::sync::Arc;

use bytes::Bytes;

use crate::key::JobKey;

/// A submission, already parsed and validated.
#[derive(Clone, Debug)]
#[expect(missing_docs, reason = "fields explain themselves")]
pub struct Submission {
    pub key: JobKey,
    /// Hash of the body; a resubmission must have the same.
    pub fingerprint: u64,
    pub service: Arc<str>,
    /// Team whose quota the job is charged to.
    pub team: Arc<str>,
    /// Time until the deadline.
    pub timeout_ms: u64,
    /// In the order of the results.
    pub tasks: Vec<Task>,
}

/// One task of a submission.
#[derive(Clone, Debug)]
pub struct Task {
    /// Request body for the backend server.
    pub payload: Bytes,
    /// Run time declared by the caller; 0 if none.
    pub declared_run_ms: u64,
}

/// Identifies a request that waits for an answer; assigned by the runtime.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WaiterId(pub u64);

/// Identifies one placement of a task on a worker; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskId(pub u64);

/// Identifies a worker while it is declared; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WorkerId(pub u32);

/// A declared worker of this failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Worker {
    /// Name of the backend server resource.
    pub name: Arc<str>,
    pub service: Arc<str>,
    /// IP:PORT.
    pub address: Arc<str>,
    /// Number of tasks that it runs concurrently.
    pub slots: u32,
    /// Whether it gets no new tasks.
    pub leaving: bool,
}

impl Worker {
    /// Slots to which new tasks may be assigned.
    pub fn assignable_slots(&self) -> u32 {
        match self.leaving {
            true => 0,
            false => self.slots,
        }
    }
}

/// Outcome of a placement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskOutcome {
    /// The backend server answered with a result.
    Done(Bytes),
    /// The backend server ran the task and reported a failure.
    Failed(String),
    /// The task provably did not start; it may be placed again.
    NotRun(String),
    /// It is unknown whether the task ran; it must not be placed again.
    MayHaveRun(String),
}
