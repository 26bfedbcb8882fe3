//! Promises that a history shows broken.

use derive_more::Display;

/// One broken promise.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// A task started more than once.
    #[display("double start: task {index} of {key} started {starts} times")]
    DoubleStart {
        /// Key of the job.
        key: String,
        /// Index of the task.
        index: u32,
        /// Starts counted.
        starts: usize,
    },
    /// A start did not say which task it was.
    #[display("unnamed start: {worker} started a task named {task:?}")]
    UnnamedStart {
        /// Backend server.
        worker: String,
        /// What stood in its header.
        task: String,
    },
    /// A request was answered "not run", and tasks of its key did run.
    #[display("false not_run: {key} at {entry} (status {status}, {reason}), yet {starts} starts")]
    FalseNotRun {
        /// Key of the job.
        key: String,
        /// Where the request was sent.
        entry: String,
        /// Status of the answer.
        status: u16,
        /// Reason in the answer.
        reason: String,
        /// Starts that show it false.
        starts: usize,
    },
    /// A complete answer lacks results, or another answer has some.
    #[display("partial: {key} at {entry} is {state} with {results} of {tasks} results")]
    Partial {
        /// Key of the job.
        key: String,
        /// Where the request was sent.
        entry: String,
        /// State answered.
        state: String,
        /// Results answered.
        results: usize,
        /// Tasks sent.
        tasks: usize,
    },
    /// A result is not that of the caller's own task.
    #[display("crossed: task {index} of {key} at {entry} sent {sent} and got {got}")]
    Crossed {
        /// Key of the job.
        key: String,
        /// Where the request was sent.
        entry: String,
        /// Index of the task.
        index: usize,
        /// Token sent.
        sent: String,
        /// Token answered.
        got: String,
    },
    /// A complete answer has a result of a task that never started.
    #[display("result without start: task {index} of {key} at {entry}")]
    ResultWithoutStart {
        /// Key of the job.
        key: String,
        /// Where the request was sent.
        entry: String,
        /// Index of the task.
        index: usize,
    },
    /// One key got two complete answers that differ.
    #[display("two answers: {key} at {first_entry} and at {second_entry} differ")]
    TwoAnswers {
        /// Key of the job.
        key: String,
        /// Where the first was got.
        first_entry: String,
        /// Where the second was got.
        second_entry: String,
    },
}
