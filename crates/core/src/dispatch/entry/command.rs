//! Commands of an entry, and answers to its callers.

use trefoil_schema::dispatch::{Holder, Job as JobSpec, Outcome};

use super::super::link::LinkId;
use super::super::owner::JobResult;

/// Identifies a caller's request within the process.
pub type RequestId = u64;

/// A command to be carried out by the instance.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Delegate a job to an owner.
    Delegate {
        /// The pool and its owner.
        to: PoolOwner,
        /// The job; its age counts from the submission.
        spec: JobSpec,
        /// Time since the owner was last heard from.
        last_heard_ms: u64,
        /// How long runs of an earlier owner may continue.
        unsafe_for_ms: u64,
        /// The ownership that started these runs, if there is only one.
        unsafe_holder: Option<Holder>,
    },
    /// Log that a job has been revoked.
    Revoked {
        /// Id of the job.
        job_id: String,
        /// The pool and its owner.
        from: PoolOwner,
        /// The link that it was delegated over.
        link: Option<LinkId>,
        /// Why it was revoked.
        cause: RevocationCause,
    },
    /// Log and count the result of an earlier delegation, which is ignored.
    StaleResult {
        /// The pool and its owner.
        from: PoolOwner,
        /// The ignored result.
        result: JobResult,
        /// Number of the current delegation.
        delegation: u64,
    },
    /// Cancel a job at its owner.
    Cancel {
        /// The pool and its owner.
        to: PoolOwner,
        /// The link that it was delegated over; `None` if this instance is the owner.
        link: Option<LinkId>,
        /// Id of the job.
        job_id: String,
    },
    /// Answer a caller.
    Answer {
        /// The caller's request.
        request_id: RequestId,
        /// The answer.
        answer: Answer,
    },
}

/// Why a job is revoked from an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RevocationCause {
    /// The link that it was delegated over is down.
    LinkLost,
    /// The pool has another owner, or none.
    OwnerChanged,
    /// The owner returned the job with this outcome.
    Told(Outcome),
}

/// A pool and its owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolOwner {
    /// Name of the pool.
    pub pool: String,
    /// Name of the owning instance.
    pub owner: String,
}

/// Answer to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// All tasks are done.
    Completed,
    /// A task has failed in all its attempts.
    Failed,
    /// Nothing has run, and nothing will.
    NotRun {
        /// When to retry.
        retry_after_ms: u64,
        /// Explanation for the caller.
        reason: &'static str,
    },
    /// Tasks may have run; they have been or are being stopped.
    MayHaveRun {
        /// Explanation for the caller.
        reason: &'static str,
    },
    /// The id belongs to a different job that is in progress.
    OtherJob,
}
