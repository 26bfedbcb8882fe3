//! Metrics and traces of callers' submissions.

use std::sync::Arc;

use poem::http::{HeaderValue, Method, StatusCode};
use poem::{Endpoint, Request, Response};
use tokio::time::Instant;
use trefoil_core::engine::{FailureReason, JobState};

use super::Context;
use crate::http::problem::ProblemReason;
use crate::peers::convert::FAILURE_UNKNOWN;
use crate::util::telemetry::metrics::Metrics;
use crate::util::telemetry::trace::{Hop, HopSpan, TRACEPARENT, TraceParent};

const SUBMISSION_PATH: &str = "/v1/jobs";

/// Counts a submission, measures its response time and opens its span.
///
/// The span is passed to later handlers in the request's `traceparent`.
pub(super) async fn observe_submission<E: Endpoint>(
    next: Arc<E>,
    mut request: Request,
) -> poem::Result<Response> {
    let context: Option<Arc<Context>> = request.data().cloned();
    let submits = request.method() == Method::POST && request.uri().path() == SUBMISSION_PATH;
    let Some(context) = context.filter(|_| submits) else {
        return Ok(next.get_response(request).await);
    };
    let start = Instant::now();
    let metrics = context.telemetry.metrics();
    metrics.record_submission();
    let mut span = context.telemetry.span(Hop::Caller, parent_span(&request));
    propagate_span(&span, &mut request);
    let response = next.get_response(request).await;
    span.set_attribute("http.status", i64::from(response.status().as_u16()));
    if response.status().is_server_error() {
        span.set_error("answered with an error");
    }
    count_answer(metrics, &response, start);
    Ok(response)
}

fn parent_span(request: &Request) -> Option<TraceParent> {
    request.header(TRACEPARENT).and_then(TraceParent::parse)
}

fn propagate_span(span: &HopSpan, request: &mut Request) {
    let parent = span.trace_parent().filter(|_| span.is_recording());
    let header = parent.map(|parent| HeaderValue::try_from(parent.to_string()));
    if let Some(Ok(header)) = header {
        request.headers_mut().insert(TRACEPARENT, header);
    }
}

fn count_answer(metrics: &Metrics, response: &Response, start: Instant) {
    let reason = response.data::<ProblemReason>();
    match final_state(response.status(), reason) {
        Some(JobState::Running) => {}
        Some(state) => {
            let response_ms = start.elapsed().as_secs_f64() * 1_000.0;
            metrics.record_response_time(state, response_ms);
        }
        None => metrics.record_refusal(reason.map_or("other", |reason| &reason.0)),
    }
}

/// State of the job that a response reports; `None` for a refusal.
fn final_state(status: StatusCode, reason: Option<&ProblemReason>) -> Option<JobState> {
    if status == StatusCode::ACCEPTED {
        return Some(JobState::Running);
    }
    if status.is_success() {
        return Some(JobState::Complete);
    }
    let reason = reason?.0.as_str();
    if reason == FAILURE_UNKNOWN {
        return Some(JobState::Failed);
    }
    match reason.parse().ok()? {
        FailureReason::Cancelled => Some(JobState::Cancelled),
        // Counted as a refusal: the job completed, but its results are gone.
        FailureReason::ResultDropped => None,
        FailureReason::TaskFailed
        | FailureReason::TaskLost
        | FailureReason::TaskRefused
        | FailureReason::RetryBudget
        | FailureReason::Deadline => Some(JobState::Failed),
    }
}
