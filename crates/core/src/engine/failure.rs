//! Why an admitted job ended without all results.

use derive_more::{Display, FromStr};

/// Machine-readable reason of a job's end.
#[derive(Clone, Copy, Debug, Display, FromStr, PartialEq, Eq, Hash)]
#[display(rename_all = "snake_case")]
#[from_str(rename_all = "snake_case")]
pub enum FailureReason {
    /// A task ran and failed.
    TaskFailed,
    /// A worker accepted a task and did not answer.
    TaskLost,
    /// A task was refused before its start and has no attempts left.
    TaskRefused,
    /// A task was refused before its start and the retry budget is used up.
    RetryBudget,
    /// The deadline passed before the last result.
    Deadline,
    /// The caller cancelled the job.
    Cancelled,
    /// The job completed, but its results are no longer kept.
    ResultDropped,
}

impl FailureReason {
    /// The reason as it is sent to callers.
    pub const fn name(self) -> &'static str {
        match self {
            Self::TaskFailed => "task_failed",
            Self::TaskLost => "task_lost",
            Self::TaskRefused => "task_refused",
            Self::RetryBudget => "retry_budget",
            Self::Deadline => "deadline",
            Self::Cancelled => "cancelled",
            Self::ResultDropped => "result_dropped",
        }
    }
}
