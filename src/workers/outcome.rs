//! What an answer, or its absence, says about a task.

use bytes::Bytes;
use derive_more::{Display, Error};
use hyper::StatusCode;
use hyper::header::HeaderValue;
use serde::de::IgnoredAny;
use trefoil_core::engine::TaskOutcome;

/// Result of a task that answered with an empty body.
const NULL: Bytes = Bytes::from_static(b"null");
/// Most characters of a failed task's body that its detail repeats.
const DETAIL_CHARS_MAX: usize = 200;

/// Why a call has no answer that could be used.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum CallError {
    /// No byte of the request was sent.
    #[display("not sent: {_0}")]
    NotConnected(#[error(not(source))] String),
    /// Part of the request was sent at least, and no whole answer came.
    #[display("answer lost: {_0}")]
    Lost(#[error(not(source))] String),
    /// The answer names another task.
    #[display("the answer names another task: {_0}")]
    Crossed(#[error(not(source))] String),
}

impl CallError {
    /// What the error says about the task.
    pub fn into_outcome(self) -> TaskOutcome {
        match self {
            Self::NotConnected(_) => TaskOutcome::NotRun(self.to_string()),
            Self::Lost(_) | Self::Crossed(_) => TaskOutcome::MayHaveRun(self.to_string()),
        }
    }
}

/// Why the body of an answer is not whole.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum BodyError {
    /// Neither a length nor chunks: its end cannot be told from a cut.
    #[display("the body has neither content-length nor chunks")]
    Unframed,
    /// It ended early.
    #[display("the body is truncated: {_0}")]
    Truncated(#[error(not(source))] String),
    /// It exceeds the bound.
    #[display("the body is larger than {_0} bytes")]
    Oversized(#[error(not(source))] usize),
}

/// An answer as it came.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// The task that it names.
    pub echo: Option<HeaderValue>,
    /// Its body.
    pub body: Result<Bytes, BodyError>,
    /// Whether its connection can carry another request.
    pub reusable: bool,
}

impl Answer {
    /// Whether it names `task`, or no task.
    pub fn echo_matches(&self, task: &str) -> bool {
        self.echo
            .as_ref()
            .is_none_or(|echo| echo.as_bytes() == task.as_bytes())
    }

    /// What it says about `task`.
    pub fn into_outcome(self, task: &str) -> Result<TaskOutcome, CallError> {
        if !self.echo_matches(task) {
            return Err(CallError::Crossed(format!("{:?}", self.echo)));
        }
        match self.status {
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                Ok(TaskOutcome::NotRun(format!("refused: {}", self.status)))
            }
            status if status.is_success() => self.into_result(),
            status => {
                let body = self.body.unwrap_or_default();
                let text = String::from_utf8_lossy(&body);
                let excerpt: String = text.chars().take(DETAIL_CHARS_MAX).collect();
                Ok(TaskOutcome::Failed(format!("{status}: {excerpt}")))
            }
        }
    }

    fn into_result(self) -> Result<TaskOutcome, CallError> {
        let body = self
            .body
            .map_err(|error| CallError::Lost(error.to_string()))?;
        if body.is_empty() {
            return Ok(TaskOutcome::Done(NULL));
        }
        Ok(match check_json(&body) {
            Ok(()) => TaskOutcome::Done(body),
            Err(error) => TaskOutcome::Failed(format!("the result is not JSON: {error}")),
        })
    }
}

/// Results are copied into answers as they are, so each must be one JSON value.
fn check_json(body: &[u8]) -> Result<(), String> {
    let text = std::str::from_utf8(body).map_err(|error| error.to_string())?;
    serde_json::from_str::<IgnoredAny>(text)
        .map(|_| ())
        .map_err(|error| error.to_string())
}
