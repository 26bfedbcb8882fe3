//! Renders the engine's answers as HTTP responses.

use bytes::Bytes;
use poem::http::{HeaderValue, StatusCode, header};
use poem::{IntoResponse, Response};
use serde::Serialize;
use serde_json::value::RawValue;
use trefoil_core::engine::{FailureReason, JobAnswer, JobState, Refusal, RefusalReason};
use trefoil_core::key::JobKey;
use trefoil_core::verdict::Verdict;
use trefoil_schema::api;

use crate::http::problem::{Problem, verdict_name};

const JSON: HeaderValue = HeaderValue::from_static("application/json");
/// Status of cancelled jobs: the non-standard "client closed request".
const CLIENT_CLOSED_REQUEST: u16 = 499;
const RESULT_DROPPED: &str = FailureReason::ResultDropped.name();

/// What the caller requested, which decides the status for a job's final state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Operation {
    /// Run a job: a job that ended without results is an error.
    Submit,
    /// Get the state of a job: every state is a success.
    Query,
}

/// The schema's `JobResponse`, with results copied unparsed.
#[derive(Serialize)]
struct JobBody<'a> {
    key: &'a str,
    state: api::JobStateName,
    verdict: api::Verdict,
    tasks_total: u32,
    tasks_done: u32,
    replayed: bool,
    #[serde(skip_serializing_if = "<[_]>::is_empty")]
    results: &'a [&'a RawValue],
    #[serde(skip_serializing_if = "str::is_empty")]
    reason: &'a str,
    #[serde(skip_serializing_if = "str::is_empty")]
    detail: &'a str,
}

/// Renders the engine's answer about a key.
pub(super) fn respond(key: &JobKey, operation: Operation, answer: JobAnswer) -> Response {
    match answer {
        JobAnswer::Refused(refusal) => refusal_response(key, refusal),
        JobAnswer::Known {
            state,
            verdict,
            results,
            reason,
            detail,
            replayed,
            tasks_done,
            tasks_total,
        } => {
            if let Some(status) = problem_status(state, operation, reason) {
                return problem_response(key, status, reason, detail, verdict);
            }
            let Some(values) = complete_results(state, &results, tasks_total) else {
                let detail = "the job completed; some of its results are missing".to_owned();
                return problem_response(key, StatusCode::GONE, RESULT_DROPPED, detail, verdict);
            };
            let body = JobBody {
                key: key.as_str(),
                state: state_name(state),
                verdict: verdict_name(verdict),
                tasks_total,
                tasks_done,
                replayed,
                results: &values,
                reason,
                detail: &detail,
            };
            json(status(state, operation), &body)
        }
    }
}

/// Results of a complete job, `None` if any is missing or is not JSON; empty
/// for a job in another state.
fn complete_results(
    state: JobState,
    results: &[Bytes],
    tasks_total: u32,
) -> Option<Vec<&RawValue>> {
    if state != JobState::Complete {
        return Some(Vec::new());
    }
    if results.len() != tasks_total as usize {
        return None;
    }
    let values = results.iter().map(|result| serde_json::from_slice(result));
    values.collect::<Result<_, _>>().ok()
}

fn status(state: JobState, operation: Operation) -> StatusCode {
    match (state, operation) {
        (JobState::Running, Operation::Submit) => StatusCode::ACCEPTED,
        _ => StatusCode::OK,
    }
}

/// Status of a response that is an error; `None` for a success.
fn problem_status(state: JobState, operation: Operation, reason: &str) -> Option<StatusCode> {
    if operation == Operation::Query {
        return None;
    }
    match state {
        JobState::Running | JobState::Complete => None,
        JobState::Failed => Some(failed_status(reason)),
        JobState::Cancelled => {
            Some(StatusCode::from_u16(CLIENT_CLOSED_REQUEST).unwrap_or(StatusCode::BAD_REQUEST))
        }
    }
}

fn failed_status(reason: &str) -> StatusCode {
    match reason {
        "deadline" => StatusCode::GATEWAY_TIMEOUT,
        "owner_lost" | "owner_unreachable" => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::BAD_GATEWAY,
    }
}

fn refusal_response(key: &JobKey, refusal: Refusal) -> Response {
    let reason = refusal.reason.to_string();
    let request_verdict = refusal.request_verdict();
    Problem::new(
        refusal_status(refusal.reason),
        &reason,
        refusal.detail,
        refusal.verdict,
    )
    .request_verdict(request_verdict)
    .key(key.as_str())
    .retry_after_ms(refusal.retry_after_ms)
    .into_response()
}

fn problem_response(
    key: &JobKey,
    status: StatusCode,
    reason: &str,
    detail: String,
    verdict: Verdict,
) -> Response {
    Problem::new(status, reason, detail, verdict)
        .key(key.as_str())
        .into_response()
}

/// HTTP status of a refusal for `reason`.
pub fn refusal_status(reason: RefusalReason) -> StatusCode {
    match reason {
        RefusalReason::Malformed => StatusCode::BAD_REQUEST,
        RefusalReason::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        RefusalReason::UnknownService | RefusalReason::UnknownTeam | RefusalReason::UnknownJob => {
            StatusCode::NOT_FOUND
        }
        RefusalReason::KeyReused => StatusCode::CONFLICT,
        RefusalReason::KeyExpired | RefusalReason::OwnerLeft => StatusCode::GONE,
        RefusalReason::TooManyTasks | RefusalReason::KeyAhead | RefusalReason::Impossible => {
            StatusCode::UNPROCESSABLE_ENTITY
        }
        RefusalReason::Overload | RefusalReason::Quota | RefusalReason::MemoryFull => {
            StatusCode::TOO_MANY_REQUESTS
        }
        RefusalReason::OwnerLost
        | RefusalReason::OwnerUnreachable
        | RefusalReason::AnswerLost
        | RefusalReason::NotVouched
        | RefusalReason::Leaving
        | RefusalReason::NoWorkers => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn state_name(state: JobState) -> api::JobStateName {
    match state {
        JobState::Running => api::JobStateName::Running,
        JobState::Complete => api::JobStateName::Complete,
        JobState::Failed => api::JobStateName::Failed,
        JobState::Cancelled => api::JobStateName::Cancelled,
    }
}

/// A response with a JSON body.
pub(super) fn json(status: StatusCode, body: &impl Serialize) -> Response {
    let text = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::builder().status(status).body(text);
    response.headers_mut().insert(header::CONTENT_TYPE, JSON);
    response
}
