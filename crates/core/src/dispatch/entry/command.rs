//! What an entry decides: commands to its shell, and answers to callers.

use trefoil_schema::dispatch::{Holder, Job as JobSpec, Outcome};

/// One caller's request.
pub type RequestId = u64;

/// What an entry's shell must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Hand a job to an owner.
    Delegate {
        /// The pool, and its owner.
        to: PoolOwner,
        /// The job; its age counts from the caller's request.
        spec: JobSpec,
        /// Age of what is known of the owner.
        last_heard_ms: u64,
        /// Until then runs of an earlier owner may go on.
        unsafe_for_ms: u64,
        /// The only ownership whose runs these can be, where there is one.
        unsafe_holder: Option<Holder>,
    },
    /// Note that a job is here again.
    Revoked {
        /// The job.
        job_id: String,
        /// The pool, and its owner.
        from: PoolOwner,
        /// Why.
        cause: RevocationCause,
    },
    /// Tell an owner that nobody awaits a job any more.
    Cancel {
        /// The pool, and its owner.
        to: PoolOwner,
        /// The job.
        job_id: String,
    },
    /// Answer a caller.
    Answer {
        /// The request.
        request_id: RequestId,
        /// The answer.
        answer: Answer,
    },
}

/// Why a job is taken back from an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RevocationCause {
    /// The link to the owner is gone.
    LinkLost,
    /// The pool has another owner, or none.
    OwnerChanged,
    /// The owner said so.
    Told(Outcome),
}

/// A pool and the name of its owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolOwner {
    /// The pool.
    pub pool: String,
    /// Name of the instance that owns it.
    pub owner: String,
}

/// What a caller is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// All tasks are done.
    Completed,
    /// A task failed as often as it may.
    Failed,
    /// Nothing ran, and nothing will.
    NotRun {
        /// When to come back.
        retry_after_ms: u64,
        /// Why, for people.
        reason: &'static str,
    },
    /// Something may have run; all that did is stopped.
    MayHaveRun {
        /// Why, for people.
        reason: &'static str,
    },
    /// The id belongs to a different job that is being run.
    OtherJob,
}
