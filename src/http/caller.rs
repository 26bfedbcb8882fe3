//! The callers' API: idempotency keys and jobs.
//!
//! Every rejection is sent without delay and carries a verdict: whether tasks
//! under the key may have started. A malformed resubmission of a key whose job
//! ran is therefore answered with that job's verdict.
//!
//! * [`request`]: parses and validates HTTP requests.
//! * [`answer`]: renders the engine's answers as HTTP responses.

pub mod answer;
mod request;

use std::sync::Arc;
use std::time::{Duration, Instant};

use poem::http::{HeaderMap, StatusCode};
use poem::web::Data;
use poem::{
    Body, EndpointExt, IntoEndpoint, IntoResponse, Request, Response, Route, get, handler, post,
};
use serde::Deserialize;
use trefoil_core::engine::JobAnswer;
use trefoil_core::key::JobKey;
use trefoil_core::verdict::Verdict;
use trefoil_schema::api::KeysResponse;
use trefoil_schema::settings::JobSettings;

use crate::http::body_budget::BodyBudget;
use crate::runtime::RequestContext;
use crate::runtime::dispatch::Dispatcher;
use crate::util::telemetry::trace::{Hop, record_answer};
use answer::Operation;
use request::{CheckedJob, JobSubmission, RequestError};

/// Maximum number of keys minted by one request.
const KEYS_MAX: u32 = 10_000;
/// Maximum number of random keys tried to find one whose owner is serving.
const MINT_ATTEMPTS_MAX: usize = 8;

/// State shared by the handlers of the callers' API.
#[derive(Clone)]
pub struct CallerContext {
    /// Routes requests to the owner of their key.
    pub dispatch: Dispatcher,
    /// Limits on jobs.
    pub jobs: Arc<JobSettings>,
    /// Memory of submissions' bodies.
    pub bodies: Arc<BodyBudget>,
    /// Maximum time that a body takes to arrive.
    pub body_timeout: Duration,
    /// Failure domain that minted keys name.
    pub failure_domain: Arc<str>,
}

/// Creates a router with the callers' routes.
pub fn routes(context: CallerContext) -> impl IntoEndpoint {
    add_routes(Route::new(), context)
}

/// Adds the callers' routes to `route`.
pub fn add_routes(route: Route, context: CallerContext) -> Route {
    let keys = post(mint_keys).data(context.clone());
    let jobs = post(submit_job).data(context.clone());
    let job = get(fetch_job).delete(cancel_job).data(context);
    route
        .at("/v1/keys", keys)
        .at("/v1/jobs", jobs)
        .at("/v1/jobs/:key", job)
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct MintQuery {
    #[serde(default = "one")]
    count: u32,
}

fn one() -> u32 {
    1
}

#[handler]
fn mint_keys(request: &Request, context: Data<&CallerContext>) -> Response {
    let count = match request.params::<MintQuery>() {
        Ok(query) if (1..=KEYS_MAX).contains(&query.count) => query.count,
        Ok(_) => {
            return RequestError::malformed(format!("count must be between 1 and {KEYS_MAX}"))
                .respond();
        }
        Err(error) => return RequestError::malformed(error.to_string()).respond(),
    };
    let issued_ms = context.dispatch.wall_ms();
    let keys = (0..count).map(|_| mint_key(&context, issued_ms).to_string());
    answer::json(
        StatusCode::OK,
        &KeysResponse {
            keys: keys.collect(),
        },
    )
}

/// Mints a key, preferring one whose owner is currently serving.
fn mint_key(context: &CallerContext, issued_ms: u64) -> JobKey {
    let mint = || JobKey::mint(&context.failure_domain, issued_ms, rand::random());
    let mut candidates = std::iter::repeat_with(mint).take(MINT_ATTEMPTS_MAX);
    let owned = candidates.find(|key| context.dispatch.has_owner(key));
    owned.unwrap_or_else(mint)
}

#[handler]
async fn submit_job(request: &Request, body: Body, context: Data<&CallerContext>) -> Response {
    let started_at = Instant::now();
    let key = match request::header_key(request.headers()) {
        Ok(key) => key,
        Err(error) => return error.respond(),
    };
    let (job, received_at) = match read_job(request, body, &context).await {
        Ok(read) => read,
        Err(error) => return reject(&context, &key, error).await,
    };
    let job = job.into_checked(key.clone(), &context.jobs, started_at);
    let answer = submit_traced(&context.dispatch, job, request.headers(), received_at).await;
    answer::respond(&key, Operation::Submit, answer)
}

/// Submits a validated job within a span that becomes the parent of later hops.
async fn submit_traced(
    dispatch: &Dispatcher,
    job: CheckedJob,
    headers: &HeaderMap,
    received_at: Instant,
) -> JobAnswer {
    let parent = request::traceparent(headers);
    let mut span = dispatch.span(Hop::Entry, parent.as_deref());
    if span.is_recording() {
        span.set_attribute("service", job.submission.service.to_string());
        span.set_attribute("tasks", job.submission.tasks.len() as i64);
    }
    let request = RequestContext {
        traceparent: span.outgoing_traceparent(parent),
        received_at: Some(received_at),
    };
    let answer = dispatch.submit(job.submission, job.wait, request).await;
    record_answer(&mut span, &answer);
    answer
}

/// Reads and validates a job; also returns when its body had been received.
async fn read_job(
    request: &Request,
    body: Body,
    context: &CallerContext,
) -> Result<(JobSubmission, Instant), RequestError> {
    let bytes = request::read_body(request.headers(), body, context).await?;
    let received_at = Instant::now();
    let job = JobSubmission::parse(&bytes)?;
    job.check(&context.jobs, &context.dispatch.config())?;
    Ok((job, received_at))
}

/// Rejects a request with a valid key, reporting the verdict known for the key.
async fn reject(context: &CallerContext, key: &JobKey, error: RequestError) -> Response {
    let verdict = match context.dispatch.fetch(key, 0).await {
        JobAnswer::Known { verdict, .. } => verdict,
        JobAnswer::Refused(refusal) => refusal.verdict,
    };
    error.respond_for_key(verdict, key)
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FetchQuery {
    #[serde(default)]
    wait_ms: u64,
}

#[handler]
async fn fetch_job(request: &Request, context: Data<&CallerContext>) -> Response {
    let key = match request::path_key(request) {
        Ok(key) => key,
        Err(error) => return error.respond(),
    };
    let wait_ms = match request.params::<FetchQuery>() {
        Ok(query) => query.wait_ms.min(context.jobs.deadline_max_ms),
        Err(error) => {
            let error = RequestError::malformed(error.to_string());
            return reject(&context, &key, error).await;
        }
    };
    let answer = context.dispatch.fetch(&key, wait_ms).await;
    answer::respond(&key, Operation::Query, answer)
}

#[handler]
async fn cancel_job(request: &Request, context: Data<&CallerContext>) -> Response {
    let key = match request::path_key(request) {
        Ok(key) => key,
        Err(error) => return error.respond(),
    };
    let answer = context.dispatch.cancel(&key).await;
    answer::respond(&key, Operation::Query, answer)
}

impl RequestError {
    /// Response to a request that names no valid key.
    fn respond(self) -> Response {
        self.into_problem(Verdict::NotRun).into_response()
    }

    /// Response to a request with a valid key; this request itself started nothing.
    fn respond_for_key(self, verdict: Verdict, key: &JobKey) -> Response {
        self.into_problem(verdict)
            .request_verdict(Verdict::NotRun)
            .key(key.as_str())
            .into_response()
    }
}
