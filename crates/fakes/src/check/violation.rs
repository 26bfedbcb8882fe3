//! Violations of the service's guarantees.

use derive_more::Display;

/// A violation of the service's guarantees.
#[expect(missing_docs, reason = "most fields explain themselves")]
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// A task started more than once.
    #[display("double start: task {index} of {key} started {starts} times")]
    DoubleStart {
        key: String,
        index: u32,
        starts: usize,
    },
    /// A start whose task header has an unknown format.
    #[display("unnamed start: {worker} started a task named {task:?}")]
    UnnamedStart {
        worker: String,
        /// Value of the task header.
        task: String,
    },
    /// A request got the verdict `not_run`, but tasks of its key were started.
    #[display("false not_run: {key} at {entry} (status {status}, {reason}), but {starts} starts")]
    FalseNotRun {
        key: String,
        /// Address that the request was sent to.
        entry: String,
        /// HTTP status of the response.
        status: u16,
        /// Reason in the response.
        reason: String,
        /// Number of starts that contradict the verdict.
        starts: usize,
    },
    /// A complete job lacks results, or another response has some.
    #[display("partial results: {key} at {entry} is {state} with {results} of {tasks} results")]
    PartialResults {
        key: String,
        /// Address that the request was sent to.
        entry: String,
        state: String,
        results: usize,
        tasks: usize,
    },
    /// A result belongs to another task.
    #[display("wrong result: task {index} of {key} at {entry} sent {sent} and got {got}")]
    WrongResult {
        key: String,
        /// Address that the request was sent to.
        entry: String,
        index: usize,
        /// Token of the submitted task.
        sent: String,
        /// Token in the result.
        got: String,
    },
    /// A complete job has a result of a task that was never started.
    #[display("result without start: task {index} of {key} at {entry}")]
    ResultWithoutStart {
        key: String,
        /// Address that the request was sent to.
        entry: String,
        index: usize,
    },
    /// Two complete responses for one key have different results.
    #[display("conflicting answers: {key} at {first_entry} and at {second_entry} differ")]
    ConflictingAnswers {
        key: String,
        /// Address that sent the first response.
        first_entry: String,
        /// Address that sent the second response.
        second_entry: String,
    },
}
