//! Whether the tasks of a request may have run.

use derive_more::Display;

/// Whether the tasks of a request may have run, as reported to the caller.
///
/// The variants are ordered so that the verdict on several tasks is their maximum.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Verdict {
    /// No task has started, and this request will start none.
    #[display("not_run")]
    NotRun,
    /// A task may have started; its outcome is unknown.
    #[display("may_have_run")]
    MayHaveRun,
    /// The tasks ran, and their outcome is known.
    #[display("ran")]
    Ran,
}
