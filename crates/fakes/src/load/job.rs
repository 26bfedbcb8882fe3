//! Bodies of jobs, and what their answers say.

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
/// Mark of a job's own body in its tokens.
pub(super) const OWN_BODY: &str = "#";
/// Mark of another body under the same key.
pub(super) const OTHER_BODY: &str = "#other#";
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

/// Payload of a task, as the stand-in for backend servers reads it.
#[derive(Debug, Serialize)]
pub(super) struct Payload<'a> {
    pub run_ms: f64,
    pub result: TokenResult<'a>,
}

/// The result asked for: a token that no other task has.
#[derive(Debug, Serialize)]
pub(super) struct TokenResult<'a> {
    pub token: &'a str,
}

/// A key that carries its issue time: a UUID of version 7.
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

/// One token a task; `mark` tells bodies under the same key apart.
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
    // A struct of numbers and texts always has a JSON form.
    serde_json::to_vec(&body).unwrap_or_default().into()
}

/// What an answer says, whether of a job or a problem.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct JobAnswer {
    #[serde(skip)]
    pub status: u16,
    /// Whether the request never left: no verdict of the other side's.
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
    /// Reads an answer; a broken call or a body that is no JSON says nothing.
    pub fn read(reply: Result<Reply, CallError>) -> Self {
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

    /// What it means for the job.
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

/// How a job ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// All results came.
    Complete,
    /// It did not run.
    Refused,
    /// It was cancelled.
    Cancelled,
    /// It was admitted, or may have been, and then failed.
    Failed,
    /// No answer came.
    Lost,
}
