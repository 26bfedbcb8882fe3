//! Request bodies of jobs, and their responses.

use std::time::{SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use uuid::Builder;

use super::{LoadOptions, plan::JobPlan};
use crate::{
    check::history::UNREACHABLE,
    client::{CallError, Reply},
};

const MILLIS_PER_SECOND: f64 = 1_000.0;
const NOT_RUN: &str = "not_run";
const COMPLETE: &str = "complete";
/// Marks the tokens of a job's first body.
pub(super) const FIRST_BODY_MARK: &str = "#";
/// Marks the tokens of another body with the same key.
pub(super) const OTHER_BODY_MARK: &str = "#other#";
const CANCELLED: &str = "cancelled";

#[derive(Debug, Serialize)]
struct JobBody<'a> {
    service: &'a str,
    team: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    deadline_ms: Option<u64>,
    tasks: Vec<TaskBody<'a>>,
}

#[derive(Debug, Serialize)]
struct TaskBody<'a> {
    payload: Payload<'a>,
    #[serde(skip_serializing_if = "Option::is_none")]
    declared_run_ms: Option<u64>,
}

/// Payload of a task for a fake backend server.
#[derive(Debug, Serialize)]
pub(super) struct Payload<'a> {
    pub run_ms: f64,
    pub result: TokenResult<'a>,
}

/// Result that the task returns: a unique token.
#[derive(Debug, Serialize)]
pub(super) struct TokenResult<'a> {
    pub token: &'a str,
}

/// Creates a UUID of version 7, which holds its creation time.
pub(super) fn uuid7(random: &[u8; 10]) -> String {
    let builder = Builder::from_unix_timestamp_millis(unix_ms() as u64, random);
    builder.into_uuid().to_string()
}

/// Unix time, in milliseconds.
pub(super) fn unix_ms() -> f64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since.as_secs_f64() * MILLIS_PER_SECOND
}

/// Tokens of a body's tasks; `mark` distinguishes bodies with the same key.
pub(super) fn tokens(key: &str, mark: &str, tasks: usize) -> Vec<String> {
    (0..tasks)
        .map(|index| format!("{key}{mark}{index}"))
        .collect()
}

/// Body of a submission.
pub(super) fn body(options: &LoadOptions, job: &JobPlan, tokens: &[String]) -> Bytes {
    let declared = |run_ms: f64| match options.declared_factor > 0.0 {
        true => Some((run_ms * options.declared_factor).ceil() as u64),
        false => None,
    };
    let tasks = job
        .run_ms
        .iter()
        .zip(tokens)
        .map(|(&run_ms, token)| TaskBody {
            payload: Payload {
                run_ms,
                result: TokenResult { token },
            },
            declared_run_ms: declared(run_ms),
        })
        .collect();
    let body = JobBody {
        service: &options.service,
        team: &job.team,
        deadline_ms: (options.deadline_ms > 0).then_some(options.deadline_ms),
        tasks,
    };
    // Serialization of numbers and strings cannot fail.
    serde_json::to_vec(&body).unwrap_or_default().into()
}

/// Response to a job request, whether a job or a problem.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct JobAnswer {
    #[serde(skip)]
    pub status: u16,
    /// Whether no connection could be made, so that the request was not sent.
    #[serde(skip)]
    pub unsent: bool,
    pub state: String,
    pub verdict: String,
    pub reason: String,
    #[serde(rename = "type")]
    pub problem_type: String,
    pub retry_after_ms: u64,
    pub replayed: bool,
    pub results: Vec<Value>,
}

impl JobAnswer {
    /// Parses a response. Without a response or with an invalid body, most fields stay empty.
    pub fn parse(reply: Result<Reply, CallError>) -> Self {
        let reply = match reply {
            Ok(reply) => reply,
            Err(error) => return Self::lost(&error),
        };
        let mut answer: Self = serde_json::from_slice(&reply.body).unwrap_or_default();
        answer.status = reply.status.as_u16();
        if let Some((_, reason)) = answer.problem_type.rsplit_once(':') {
            answer.reason = reason.to_owned();
        }
        answer
    }

    fn lost(error: &CallError) -> Self {
        let (unsent, reason) = match error {
            CallError::Connect { .. } => (true, UNREACHABLE),
            CallError::Broken { .. } => (false, "lost"),
        };
        Self {
            unsent,
            reason: reason.to_owned(),
            ..Self::default()
        }
    }

    /// Outcome of the job for its caller.
    pub fn outcome(&self) -> Outcome {
        if self.status == StatusCode::OK.as_u16() && self.state == COMPLETE {
            return Outcome::Complete;
        }
        if self.state == CANCELLED || self.reason == CANCELLED {
            return Outcome::Cancelled;
        }
        match (self.status, self.verdict.as_str()) {
            _ if self.unsent => Outcome::Refused,
            (_, NOT_RUN) => Outcome::Refused,
            (0, _) => Outcome::Lost,
            _ => Outcome::Failed,
        }
    }
}

/// Outcome of a job for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// All results were received.
    Complete,
    /// It did not run.
    Refused,
    Cancelled,
    /// It failed, or ended after it may have run.
    Failed,
    /// The response was lost.
    Lost,
}
