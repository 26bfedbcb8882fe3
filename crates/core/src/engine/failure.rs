//! Why an admitted job ended without a whole answer.

use derive_more::{Display, FromStr};

/// The reason of a job's end, one word for programs.
#[derive(Clone, Copy, Debug, Display, FromStr, PartialEq, Eq, Hash)]
#[display(rename_all = "snake_case")]
#[from_str(rename_all = "snake_case")]
pub enum FailureReason {
    /// A task ran and failed.
    TaskFailed,
    /// A worker took a task and gave no answer to it.
    TaskLost,
    /// A task was refused before its start, as often as it may be placed.
    TaskRefused,
    /// A task was refused before its start, and too many others were.
    RetryBudget,
    /// The deadline passed before the last result.
    Deadline,
    /// The caller cancelled the job.
    Cancelled,
    /// The job completed; its results cannot be given any more.
    ResultDropped,
}

impl FailureReason {
    /// The word.
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
