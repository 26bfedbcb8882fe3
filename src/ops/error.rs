//! What can go wrong in a subcommand, with hints and exit codes.

use std::path::PathBuf;

use derive_more::{Display, Error};
use hyper::StatusCode;
use trefoil_schema::api;

/// A failed subcommand.
#[derive(Debug, Display, Error)]
pub enum OpsError {
    /// The command line cannot be carried out as given.
    #[display("{message}")]
    Usage {
        /// What is wrong with it.
        message: String,
    },
    /// A file or directory cannot be read.
    #[display("could not read `{}`", path.display())]
    Read {
        /// The file or directory.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// A file's content does not have the form that the schema asks for.
    #[display("`{}` is not valid", path.display())]
    Form {
        /// The file.
        path: PathBuf,
        /// Cause.
        source: FormError,
    },
    /// No entry could be connected, so nothing was sent.
    #[display("could not connect to any entry of {entries}")]
    Connect {
        /// The entries tried.
        entries: String,
        /// Cause at the last one.
        source: CallError,
    },
    /// A request was sent and its answer was lost.
    #[display("{request} was sent to {entry} and its answer was lost")]
    Lost {
        /// Method and path.
        request: String,
        /// The entry that has it.
        entry: String,
        /// Whether the request may have changed something or started a task.
        changes: bool,
        /// Cause.
        source: CallError,
    },
    /// The answer was a problem.
    #[display("{request} was refused")]
    Refused {
        /// Method and path.
        request: String,
        /// The answer.
        source: Refusal,
    },
    /// The answer does not have the documented form.
    #[display("{request} got an answer that is not in the API: {status}")]
    Unexpected {
        /// Method and path.
        request: String,
        /// Status of the answer.
        status: StatusCode,
        /// Whether the request may have changed something or started a task.
        changes: bool,
        /// Cause.
        source: serde_json::Error,
    },
    /// The time to wait is over.
    #[display("{message}")]
    TimedOut {
        /// What has not happened, and where.
        message: String,
    },
    /// The job is final and failed.
    #[display("job {} has {}: {}", job.key, job.state, job.detail)]
    JobFailed {
        /// Its answer.
        #[error(not(source))]
        job: Box<api::JobResponse>,
    },
}

/// Why a JSON text does not have the form that the schema asks for.
#[derive(Debug, Display, Error)]
pub enum FormError {
    /// No JSON, or a field of the wrong form.
    #[display("at `{at}`")]
    Json {
        /// Path of the field, dotted.
        at: String,
        /// Cause.
        source: serde_json::Error,
    },
    /// Fields with wrong values.
    #[display("{} wrong fields{}", wrong.len(), each_on_a_line(wrong))]
    Fields {
        /// The fields.
        wrong: Vec<WrongField>,
    },
    /// A resource that is declared twice.
    #[display("{kind} `{name}` is declared twice")]
    Twice {
        /// Kind of the resource.
        kind: String,
        /// Its name.
        name: String,
    },
}

/// A wrong field of one resource.
#[derive(Clone, Debug, Display)]
#[display("{resource} `{}`: found {}, allowed: {}", error.path, error.found, error.allowed)]
pub struct WrongField {
    /// The resource, as KIND/NAME.
    pub resource: String,
    /// The field.
    pub error: api::FieldError,
}

/// Why a request to one entry brought no answer.
#[derive(Debug, Display, Error)]
pub enum CallError {
    /// The connection was not made, so nothing was sent.
    #[display("{entry}: no connection")]
    NotSent {
        /// The entry.
        entry: String,
        /// Cause.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The connection broke after the request may have been sent.
    #[display("{entry}: the connection broke")]
    Broken {
        /// The entry.
        entry: String,
        /// Cause.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// No answer came in time.
    #[display("{entry}: no answer within {timeout_ms} ms")]
    TimedOut {
        /// The entry.
        entry: String,
        /// How long it was waited for.
        timeout_ms: u64,
    },
}

/// A problem as an error.
#[derive(Debug, Display, Error)]
#[display("{}", describe(problem))]
pub struct Refusal {
    /// The answer's body.
    #[error(not(source))]
    pub problem: Box<api::Problem>,
    /// Whether the problem answers the only request ever made under its key.
    pub first_request: bool,
}

/// How `trefoilctl` ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitStatus {
    /// Done.
    Ok = 0,
    /// Failed in another way than those below.
    Failed = 1,
    /// Wrong arguments or an invalid file.
    Usage = 2,
    /// Refused, and nothing ran or took effect.
    NotRun = 3,
    /// Some task or change may have taken effect.
    MayHaveRun = 4,
    /// Another change came first, or the key stands for another body.
    Conflict = 5,
    /// The time to wait is over; what was asked for is not complete.
    TimedOut = 6,
}

impl OpsError {
    /// The exit status that stands for this error.
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Usage { .. } | Self::Read { .. } | Self::Form { .. } => ExitStatus::Usage,
            Self::Connect { .. } => ExitStatus::Failed,
            Self::Lost { changes, .. } | Self::Unexpected { changes, .. } if *changes => {
                ExitStatus::MayHaveRun
            }
            Self::Lost { .. } | Self::Unexpected { .. } => ExitStatus::Failed,
            Self::Refused { source, .. } => source.exit_status(),
            Self::TimedOut { .. } => ExitStatus::TimedOut,
            Self::JobFailed { job } => of_verdict(job.verdict),
        }
    }

    /// What the person at the terminal can do about it.
    pub fn hint(&self) -> Option<&'static str> {
        match self {
            Self::Usage { .. } => Some("see `trefoilctl --help`"),
            Self::Read { .. } => None,
            Self::Form { .. } => Some("see `trefoilctl schema resources` or `schema api`"),
            Self::Connect { .. } => {
                Some("nothing was sent; name live instances by --entry or TREFOIL_ENTRIES")
            }
            Self::Lost { changes, .. } if *changes => {
                Some("it may have taken effect; look, or ask again with the same key")
            }
            Self::Lost { .. } => Some("nothing was changed; ask again"),
            Self::Unexpected { .. } => Some("check that the entries are trefoild instances"),
            Self::Refused { source, .. } => source.hint(),
            Self::TimedOut { .. } => Some("look again with `trefoilctl status`"),
            Self::JobFailed { .. } => None,
        }
    }

    /// The status of the problem, where the answer was one.
    pub fn refused_status(&self) -> Option<u16> {
        match self {
            Self::Refused { source, .. } => Some(source.problem.status),
            _ => None,
        }
    }
}

impl Refusal {
    fn exit_status(&self) -> ExitStatus {
        match self.problem.status {
            409 | 412 => ExitStatus::Conflict,
            _ => of_verdict(self.verdict()),
        }
    }

    /// What is known of the work: where no other request was made under the
    /// key, what this request alone may have started.
    pub fn verdict(&self) -> api::Verdict {
        if self.first_request {
            self.problem.request_verdict
        } else {
            self.problem.verdict
        }
    }

    fn hint(&self) -> Option<&'static str> {
        self.hint_of_status().or_else(|| self.hint_of_verdict())
    }

    fn hint_of_status(&self) -> Option<&'static str> {
        match self.problem.status {
            404 => Some("list what is declared with `trefoilctl get KIND`"),
            409 | 412 => Some("look at what is there now, then decide again"),
            410 => Some("a key this old starts nothing any more; look for the job's effect"),
            _ => None,
        }
    }

    fn hint_of_verdict(&self) -> Option<&'static str> {
        match self.verdict() {
            api::Verdict::MayHaveRun => {
                Some("it may have taken effect; look, or ask again with the same key")
            }
            api::Verdict::NotRun if self.problem.verdict != api::Verdict::NotRun => {
                Some("nothing took effect; submit it again under a new key")
            }
            api::Verdict::NotRun if self.problem.retry_after_ms > 0 => {
                Some("nothing took effect; come back after the time given")
            }
            _ => None,
        }
    }
}

fn each_on_a_line(wrong: &[WrongField]) -> String {
    wrong.iter().map(|field| format!("\n    {field}")).collect()
}

fn of_verdict(verdict: api::Verdict) -> ExitStatus {
    match verdict {
        api::Verdict::NotRun => ExitStatus::NotRun,
        api::Verdict::MayHaveRun => ExitStatus::MayHaveRun,
        api::Verdict::Ran => ExitStatus::Failed,
    }
}

fn describe(problem: &api::Problem) -> String {
    let mut text = format!("{} {}", problem.status, problem.title);
    if !problem.detail.is_empty() {
        text += &format!(": {}", problem.detail);
    }
    text += &format!(" (verdict {}", problem.verdict);
    if problem.request_verdict != problem.verdict {
        text += &format!(", of this request alone {}", problem.request_verdict);
    }
    if problem.retry_after_ms > 0 {
        text += &format!(", retry after {} ms", problem.retry_after_ms);
    }
    text.push(')');
    for error in &problem.errors {
        text += &format!(
            "\n    `{}`: found {}, allowed: {}",
            error.path, error.found, error.allowed
        );
    }
    text
}
