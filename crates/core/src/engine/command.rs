//! What the engine asks of the shell.

use std::sync::Arc;

use bytes::Bytes;
use derive_more::{Display, FromStr};

use super::event::{TaskId, WaiterId, WorkerId};
use crate::key::JobKey;
use crate::verdict::Verdict;

/// One thing for the shell to do, at once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Send a task to a worker, and report its outcome under the same id.
    StartTask {
        /// Names this placement.
        task: TaskId,
        /// Job the task belongs to.
        key: Arc<JobKey>,
        /// Position of the task in its job.
        index: u32,
        /// Placement number of this task, from 1.
        attempt: u32,
        /// The worker chosen.
        worker: WorkerId,
        /// Its address, IP:PORT.
        address: Arc<str>,
        /// Path of the service's endpoint.
        path: Arc<str>,
        /// Body to send.
        payload: Bytes,
        /// Longest wait for the answer.
        timeout_ms: u64,
    },
    /// Give a waiter the job's answer. A waiter is answered exactly once.
    Answer {
        /// Who waits.
        waiter: WaiterId,
        /// The answer.
        answer: JobAnswer,
    },
}

/// State of a job.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum JobState {
    /// Admitted and not final.
    #[display("running")]
    Running,
    /// Every task has its result.
    #[display("complete")]
    Complete,
    /// Final without a whole answer.
    #[display("failed")]
    Failed,
    /// Cancelled by the caller.
    #[display("cancelled")]
    Cancelled,
}

/// What a waiter gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobAnswer {
    /// The job is known here.
    Known {
        /// State of the job.
        state: JobState,
        /// Whether its tasks may have started.
        verdict: Verdict,
        /// One result a task, in order; empty unless complete.
        results: Arc<[Bytes]>,
        /// Why it failed, one word; empty otherwise.
        reason: &'static str,
        /// Why it failed, for people.
        detail: String,
        /// Whether an earlier submission of the key made this job.
        replayed: bool,
        /// Tasks answered so far.
        tasks_done: u32,
        /// Tasks of the job.
        tasks_total: u32,
    },
    /// The submission is refused.
    Refused(Refusal),
}

/// A refusal, final and given at once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why, for programs.
    pub reason: RefusalReason,
    /// Why, for people.
    pub detail: String,
    /// Whether tasks under this key may have started.
    pub verdict: Verdict,
    /// When to come back; 0 where coming back will not help.
    pub retry_after_ms: u64,
}

impl Refusal {
    /// What this request alone may have started, whatever earlier requests
    /// under the same key did.
    ///
    /// A caller all of whose requests under a key say `not_run` here can
    /// safely submit the work under a new key.
    pub fn request_verdict(&self) -> Verdict {
        match self.reason {
            RefusalReason::AnswerLost => Verdict::MayHaveRun,
            _ => Verdict::NotRun,
        }
    }
}

/// Why a submission is refused.
#[derive(Clone, Copy, Debug, Display, FromStr, PartialEq, Eq, Hash)]
#[display(rename_all = "snake_case")]
#[from_str(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The body or the key is malformed.
    Malformed,
    /// The body exceeds a size bound.
    TooLarge,
    /// The job has more tasks than allowed.
    TooManyTasks,
    /// No such service is declared.
    UnknownService,
    /// No such team is declared.
    UnknownTeam,
    /// The key was submitted with another body; the new body was not run.
    KeyReused,
    /// The key's issue time is too far in the past; its fate is forgotten.
    KeyExpired,
    /// The key's issue time is in the future.
    KeyAhead,
    /// The instance that owned the key is lost, and its memory with it.
    OwnerLost,
    /// The instance that owned the key left before it took the job.
    OwnerLeft,
    /// The instance that owns the key cannot be reached now; nothing was sent.
    OwnerUnreachable,
    /// The request was handed to the key's owner, whose answer did not come.
    AnswerLost,
    /// This instance may not admit keys of this time yet.
    NotVouched,
    /// This instance is leaving.
    Leaving,
    /// The job cannot be done by its deadline.
    Overload,
    /// The deadline is shorter than the tasks need even on free slots.
    Impossible,
    /// The team's quota is used up.
    Quota,
    /// The service has no worker here that takes work.
    NoWorkers,
    /// Too many keys are remembered.
    MemoryFull,
    /// No job of this key is known.
    UnknownJob,
}
