//! Maps responses and errors to task outcomes.

use bytes::Bytes;
use derive_more::{Display, Error};
use hyper::StatusCode;
use hyper::header::HeaderValue;
use serde::de::IgnoredAny;
use trefoil_core::engine::TaskOutcome;

/// Result of a task whose response has an empty body.
const NULL_RESULT: Bytes = Bytes::from_static(b"null");
/// Maximum length of the response excerpt in a failed task's detail, in characters.
const DETAIL_CHARS_MAX: usize = 200;

/// Why a call has no usable response.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub(crate) enum CallError {
    /// No byte of the request was sent.
    #[display("not sent: {_0}")]
    NotSent(#[error(not(source))] String),
    /// At least part of the request was sent, but no complete response arrived.
    #[display("response lost: {_0}")]
    ResponseLost(#[error(not(source))] String),
    #[display("the response names another task: {_0}")]
    TaskMismatch(#[error(not(source))] String),
}

impl CallError {
    /// The outcome of a task whose call failed with this error.
    pub(crate) fn into_outcome(self) -> TaskOutcome {
        match self {
            Self::NotSent(_) => TaskOutcome::NotRun(self.to_string()),
            Self::ResponseLost(_) | Self::TaskMismatch(_) => {
                TaskOutcome::MayHaveRun(self.to_string())
            }
        }
    }
}

/// Why the body of a response is incomplete.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// Neither a length nor chunks, so truncation cannot be detected.
    #[display("the body has neither a content-length nor chunked encoding")]
    Unframed,
    #[display("the body is truncated: {_0}")]
    Truncated(#[error(not(source))] String),
    #[display("the body is larger than {_0} bytes")]
    Oversized(#[error(not(source))] usize),
}

/// A response of a worker.
#[derive(Clone, Debug)]
pub(crate) struct WorkerResponse {
    /// HTTP status.
    pub(crate) status: StatusCode,
    /// The task header, if present.
    pub(crate) echoed_task: Option<HeaderValue>,
    /// The body, or why it is incomplete.
    pub(crate) body: Result<Bytes, BodyError>,
    /// Whether the connection can send another request.
    pub(crate) reusable: bool,
}

impl WorkerResponse {
    /// Whether the response names `task` or no task.
    pub(crate) fn echo_matches(&self, task: &str) -> bool {
        self.echoed_task
            .as_ref()
            .is_none_or(|echo| echo.as_bytes() == task.as_bytes())
    }

    /// Converts to the outcome of `task`.
    pub(crate) fn into_outcome(self, task: &str) -> Result<TaskOutcome, CallError> {
        if !self.echo_matches(task) {
            return Err(CallError::TaskMismatch(format!("{:?}", self.echoed_task)));
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
            .map_err(|error| CallError::ResponseLost(error.to_string()))?;
        if body.is_empty() {
            return Ok(TaskOutcome::Done(NULL_RESULT));
        }
        Ok(match check_json(&body) {
            Ok(()) => TaskOutcome::Done(body),
            Err(error) => TaskOutcome::Failed(format!("the result is not JSON: {error}")),
        })
    }
}

/// Checks that a result is one JSON value, because it is copied unparsed into
/// the response to the caller.
fn check_json(body: &[u8]) -> Result<(), String> {
    let text = std::str::from_utf8(body).map_err(|error| error.to_string())?;
    serde_json::from_str::<IgnoredAny>(text)
        .map(|_| ())
        .map_err(|error| error.to_string())
}
