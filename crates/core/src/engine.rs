//! Jobs and tasks of one instance, from submission to answer.
//!
//! See [`event`] for what goes in and [`command`] for what comes out.

pub mod command;
pub mod event;

pub use command::{Command, JobAnswer, JobState, Refusal, RefusalReason};
pub use event::{Submission, Task, TaskId, TaskOutcome, WaiterId, Worker, WorkerId};
