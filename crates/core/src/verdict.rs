//! Whether a request may have run.

use derive_more::Display;

/// What is known about the tasks behind a request, for the caller to act on.
///
/// The order is that of harm: combining what is known of several tasks takes
/// the maximum.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Verdict {
    /// No task started, and none will start because of this request.
    #[display("not_run")]
    NotRun,
    /// Some task may have started; what it did is unknown.
    #[display("may_have_run")]
    MayHaveRun,
    /// The tasks ran and their outcome is known.
    #[display("ran")]
    Ran,
}
