//! Outputs of the engine: commands for the runtime, and answers.

use std::sync::Arc;

use bytes::Bytes;
use derive_more::{Display, FromStr};

use super::event::{TaskId, WaiterId, WorkerId};
use crate::key::JobKey;
use crate::verdict::Verdict;

/// An action for the runtime to perform immediately.
#[derive(Clone, Debug, PartialEq, Eq)]
#[expect(missing_docs, reason = "fields explain themselves")]
pub enum Command {
    /// Send a task to a worker, and report its outcome under the same id.
    StartTask {
        task: TaskId,
        key: Arc<JobKey>,
        /// Position of the task in its job.
        index: u32,
        /// Number of this placement of the task, from 1.
        attempt: u32,
        worker: WorkerId,
        /// IP:PORT of the worker.
        address: Arc<str>,
        /// URL path of the service's endpoint.
        path: Arc<str>,
        payload: Bytes,
        timeout_ms: u64,
    },
    /// Send a waiter its answer. Each waiter is answered exactly once.
    Answer { waiter: WaiterId, answer: JobAnswer },
}

/// State of a job.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum JobState {
    /// Admitted and not yet final.
    #[display("running")]
    Running,
    /// Every task has a result.
    #[display("complete")]
    Complete,
    /// Final without all results.
    #[display("failed")]
    Failed,
    /// Cancelled by the caller.
    #[display("cancelled")]
    Cancelled,
}

/// Answer to a submission, fetch or cancellation.
#[derive(Clone, Debug, PartialEq, Eq)]
#[expect(missing_docs, reason = "fields explain themselves")]
pub enum JobAnswer {
    /// This instance knows the job.
    Known {
        state: JobState,
        /// Whether its tasks may have started.
        verdict: Verdict,
        /// One result per task, in order; empty unless complete.
        results: Arc<[Bytes]>,
        /// Machine-readable failure reason; empty if the job did not fail.
        reason: &'static str,
        /// Human-readable failure description.
        detail: String,
        /// Whether an earlier submission of the key created the job.
        replayed: bool,
        /// Tasks with a result.
        tasks_done: u32,
        tasks_total: u32,
    },
    Refused(Refusal),
}

/// A refusal of a request; the final answer to it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[expect(missing_docs, reason = "fields explain themselves")]
pub struct Refusal {
    pub reason: RefusalReason,
    /// Human-readable description.
    pub detail: String,
    /// Whether tasks under this key may have started.
    pub verdict: Verdict,
    /// Delay before a retry; 0 if a retry cannot succeed.
    pub retry_after_ms: u64,
}

impl Refusal {
    /// Verdict on this request alone, regardless of earlier requests with the
    /// same key.
    ///
    /// If it is `not_run` for all requests with a key, the caller can safely
    /// submit the work with a new key.
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
    /// The body or the key is invalid.
    Malformed,
    /// The body exceeds the size limit.
    TooLarge,
    /// The job has more tasks than allowed.
    TooManyTasks,
    /// No such service is declared.
    UnknownService,
    /// No such team is declared.
    UnknownTeam,
    /// The key was submitted with another body; the new body was not run.
    KeyReused,
    /// The key's issue time is too far in the past; its outcome may have been
    /// forgotten.
    KeyExpired,
    /// The key's issue time is in the future.
    KeyAhead,
    /// The instance that owned the key is lost with its record of jobs.
    OwnerLost,
    /// The instance that owned the key left without having admitted the job.
    OwnerLeft,
    /// The instance that owns the key is unreachable; nothing was sent.
    OwnerUnreachable,
    /// The request was sent to the key's owner, which did not answer.
    AnswerLost,
    /// The key's issue time is beyond this instance's admission limit.
    NotVouched,
    /// This instance is leaving.
    Leaving,
    /// The job, or one already admitted, would miss its deadline.
    Overload,
    /// The deadline cannot be met even if all slots are free.
    Impossible,
    /// The team's quota is used up.
    Quota,
    /// The service has no worker here that accepts tasks.
    NoWorkers,
    /// The limit of remembered keys is reached.
    MemoryFull,
    /// No job of this key is known.
    UnknownJob,
}
