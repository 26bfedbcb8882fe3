//! Errors of subcommands, with hints and exit statuses.

use std::path::PathBuf;

use derive_more::{Display, Error};
use hyper::StatusCode;
use trefoil_schema::api;

/// The error of a failed subcommand.
#[expect(missing_docs, reason = "most fields explain themselves")]
#[derive(Debug, Display, Error)]
pub enum OpsError {
    /// The command line is invalid.
    #[display("{message}")]
    Usage {
        /// Why it is invalid.
        message: String,
    },
    #[display("could not read `{}`", path.display())]
    Read {
        path: PathBuf,
        source: std::io::Error,
    },
    /// The content of a file does not match the schema.
    #[display("`{}` is not valid", path.display())]
    InvalidFile {
        path: PathBuf,
        source: ValidationError,
    },
    /// No entry accepted a connection, so nothing was sent.
    #[display("could not connect to any entry of {entries}")]
    Connect {
        /// The entries tried, separated by commas.
        entries: String,
        /// Cause at the last entry.
        source: TransportError,
    },
    /// A request may have been sent, but no response was received.
    #[display("{request} was sent to {entry}, but the response was lost")]
    ResponseLost {
        /// Method and path.
        request: String,
        /// The entry that may have received it.
        entry: String,
        /// Whether the request may have changed state or started a task.
        has_effects: bool,
        source: TransportError,
    },
    /// The response has an error status.
    #[display("{request} was refused")]
    Refused {
        /// Method and path.
        request: String,
        /// The problem details of the response.
        source: Refusal,
    },
    /// The body of the response does not match the schema.
    #[display("{request} returned an unexpected response: {status}")]
    UnexpectedResponse {
        /// Method and path.
        request: String,
        status: StatusCode,
        /// Whether the request may have changed state or started a task.
        has_effects: bool,
        source: serde_json::Error,
    },
    /// The timeout of a wait has passed.
    #[display("{message}")]
    TimedOut {
        /// What was not reached in time.
        message: String,
    },
    /// The job failed or was cancelled.
    #[display("job {} has {}: {}", job.key, job.state, job.detail)]
    JobFailed {
        /// The final state of the job.
        #[error(not(source))]
        job: Box<api::JobResponse>,
    },
}

/// Why a JSON document does not match the schema.
#[expect(missing_docs, reason = "most fields explain themselves")]
#[derive(Debug, Display, Error)]
pub enum ValidationError {
    /// A syntax error, or a field of the wrong type.
    #[display("at `{at}`")]
    Json {
        /// Dotted path of the field.
        at: String,
        source: serde_json::Error,
    },
    /// Fields have invalid values.
    #[display("{} invalid fields{}", invalid.len(), indented_lines(invalid))]
    InvalidFields {
        /// The invalid fields, of all resources.
        invalid: Vec<InvalidField>,
    },
    /// A resource is declared more than once.
    #[display("{kind} `{name}` is declared twice")]
    Duplicate { kind: String, name: String },
}

/// An invalid field of a resource.
#[derive(Clone, Debug, Display)]
#[display("{resource} `{}`: found {}, allowed: {}", error.path, error.found, error.allowed)]
pub struct InvalidField {
    /// The resource, as KIND/NAME.
    pub resource: String,
    /// Path of the field, and the values found and allowed.
    pub error: api::FieldError,
}

/// Why a request to an entry got no response.
#[expect(missing_docs, reason = "most fields explain themselves")]
#[derive(Debug, Display, Error)]
pub enum TransportError {
    /// The connection failed, so nothing was sent.
    #[display("{entry}: cannot connect")]
    NotSent {
        entry: String,
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The connection was lost after the request may have been sent.
    #[display("{entry}: connection lost before the response")]
    Disconnected {
        entry: String,
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The request timed out after it may have been sent.
    #[display("{entry}: no response within {timeout_ms} ms")]
    TimedOut {
        entry: String,
        /// The timeout, in milliseconds.
        timeout_ms: u64,
    },
}

/// The problem details of a response, as an error.
#[derive(Debug, Display, Error)]
#[display("{}", describe(problem))]
pub struct Refusal {
    /// The body of the response.
    #[error(not(source))]
    pub problem: Box<api::Problem>,
    /// Whether this was the only request ever made with its idempotency key.
    pub first_request: bool,
}

/// Exit status of `trefoilctl`.
#[expect(missing_docs, reason = "`Ok` explains itself")]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitStatus {
    Ok = 0,
    /// A failure that no other status describes.
    Failed = 1,
    /// Invalid arguments or an invalid file.
    Usage = 2,
    /// The request was refused and took no effect.
    NotRun = 3,
    /// A task may have run or a change may have taken effect.
    MayHaveRun = 4,
    /// A concurrent change came first, or the key was used with another body.
    Conflict = 5,
    /// The wait timed out before its condition was reached.
    TimedOut = 6,
}

impl OpsError {
    /// The exit status for this error.
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Usage { .. } | Self::Read { .. } | Self::InvalidFile { .. } => ExitStatus::Usage,
            Self::Connect { .. } => ExitStatus::Failed,
            Self::ResponseLost { has_effects, .. }
            | Self::UnexpectedResponse { has_effects, .. }
                if *has_effects =>
            {
                ExitStatus::MayHaveRun
            }
            Self::ResponseLost { .. } | Self::UnexpectedResponse { .. } => ExitStatus::Failed,
            Self::Refused { source, .. } => source.exit_status(),
            Self::TimedOut { .. } => ExitStatus::TimedOut,
            Self::JobFailed { job } => exit_status_for_verdict(job.verdict),
        }
    }

    /// Advice for the user, if there is any.
    pub fn hint(&self) -> Option<&'static str> {
        match self {
            Self::Usage { .. } => Some("see `trefoilctl --help`"),
            Self::Read { .. } => None,
            Self::InvalidFile { .. } => Some("see `trefoilctl schema resources` or `schema api`"),
            Self::Connect { .. } => {
                Some("nothing was sent; set --entry or TREFOIL_ENTRIES to live instances")
            }
            Self::ResponseLost { has_effects, .. } if *has_effects => {
                Some("it may have taken effect; check its state, or retry with the same key")
            }
            Self::ResponseLost { .. } => Some("nothing was changed; retry the request"),
            Self::UnexpectedResponse { .. } => {
                Some("check that the entries are trefoild instances")
            }
            Self::Refused { source, .. } => source.hint(),
            Self::TimedOut { .. } => Some("check again with `trefoilctl status`"),
            Self::JobFailed { .. } => None,
        }
    }

    /// The HTTP status code, if the response had an error status.
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
            _ => exit_status_for_verdict(self.verdict()),
        }
    }

    /// The verdict that counts: if no other request was made with the key, that of this
    /// request alone.
    pub fn verdict(&self) -> api::Verdict {
        if self.first_request {
            self.problem.request_verdict
        } else {
            self.problem.verdict
        }
    }

    fn hint(&self) -> Option<&'static str> {
        self.hint_for_status().or_else(|| self.hint_for_verdict())
    }

    fn hint_for_status(&self) -> Option<&'static str> {
        match self.problem.status {
            404 => Some("list what is declared with `trefoilctl get KIND`"),
            409 | 412 => Some("check the current state before you retry"),
            410 => Some("the key has expired and starts no job; check whether the job took effect"),
            _ => None,
        }
    }

    fn hint_for_verdict(&self) -> Option<&'static str> {
        match self.verdict() {
            api::Verdict::MayHaveRun => {
                Some("it may have taken effect; check its state, or retry with the same key")
            }
            api::Verdict::NotRun if self.problem.verdict != api::Verdict::NotRun => {
                Some("nothing took effect; submit it again under a new key")
            }
            api::Verdict::NotRun if self.problem.retry_after_ms > 0 => {
                Some("nothing took effect; retry after the time given")
            }
            _ => None,
        }
    }
}

fn indented_lines(invalid: &[InvalidField]) -> String {
    invalid
        .iter()
        .map(|field| format!("\n    {field}"))
        .collect()
}

fn exit_status_for_verdict(verdict: api::Verdict) -> ExitStatus {
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
