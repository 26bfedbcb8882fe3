//! From the engine's answer to HTTP.

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
/// The caller closed the request: the status of jobs that were cancelled.
const CLIENT_CLOSED: u16 = 499;
/// The job completed and its results are no longer kept.
const RESULT_DROPPED: &str = FailureReason::ResultDropped.name();

/// What the caller asked, which decides how a job's end is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Asked {
    /// To have a job done: anything but a whole answer is a problem.
    Submit,
    /// How a job stands: its state is the answer.
    State,
}

/// The schema's `JobResponse`, with results passed on as they came.
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

/// The HTTP answer about a key.
pub fn respond(key: &JobKey, asked: Asked, answer: JobAnswer) -> Response {
    match answer {
        JobAnswer::Refused(refusal) => refused(key, refusal),
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
            if let Some(status) = problem_status(state, asked, reason) {
                return problem(key, status, reason, detail, verdict);
            }
            let Some(values) = whole(state, &results, tasks_total) else {
                let detail = "the job completed; its results cannot be given whole".to_owned();
                return problem(key, StatusCode::GONE, RESULT_DROPPED, detail, verdict);
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
            json(status(state, asked), &body)
        }
    }
}

/// The results if all are there; a job that is not complete has none.
fn whole(state: JobState, results: &[Bytes], tasks_total: u32) -> Option<Vec<&RawValue>> {
    if state != JobState::Complete {
        return Some(Vec::new());
    }
    if results.len() != tasks_total as usize {
        return None;
    }
    let values = results.iter().map(|result| serde_json::from_slice(result));
    values.collect::<Result<_, _>>().ok()
}

fn status(state: JobState, asked: Asked) -> StatusCode {
    match (state, asked) {
        (JobState::Running, Asked::Submit) => StatusCode::ACCEPTED,
        _ => StatusCode::OK,
    }
}

/// The status of a job's end that is a problem to whoever asked.
fn problem_status(state: JobState, asked: Asked, reason: &str) -> Option<StatusCode> {
    if asked == Asked::State {
        return None;
    }
    match state {
        JobState::Running | JobState::Complete => None,
        JobState::Failed => Some(failed_status(reason)),
        JobState::Cancelled => {
            Some(StatusCode::from_u16(CLIENT_CLOSED).unwrap_or(StatusCode::BAD_REQUEST))
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

fn refused(key: &JobKey, refusal: Refusal) -> Response {
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

fn problem(
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

/// The status that goes with a refusal.
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

/// An answer with a JSON body.
pub fn json(status: StatusCode, body: &impl Serialize) -> Response {
    let text = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::builder().status(status).body(text);
    response.headers_mut().insert(header::CONTENT_TYPE, JSON);
    response
}
