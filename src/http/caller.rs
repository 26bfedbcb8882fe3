//! The callers' interface: keys and jobs.
//!
//! Every refusal is given at once and says whether tasks under the key may
//! have started. That includes refusals of form: a malformed resubmission of a
//! key whose job ran is answered with that job's verdict.
//!
//! * [`request`]: from HTTP to a checked submission.
//! * [`answer`]: from the engine's answer to HTTP.

pub mod answer;
pub mod request;

use std::sync::Arc;
use std::time::Instant;

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

use crate::runtime::Arrival;
use crate::runtime::dispatch::Dispatch;
use crate::util::telemetry::trace::{Hop, record_answer};
use answer::Asked;
use request::{CheckedJob, FormError, JobSubmission};

/// Most keys minted by one request.
const KEYS_MAX: u32 = 10_000;
/// Draws of a key before one is given out whose owner does not serve.
const MINT_DRAWS: usize = 8;

/// What the callers' handlers share.
#[derive(Clone)]
pub struct CallerContext {
    /// Takes requests to the owner of their key.
    pub dispatch: Dispatch,
    /// Bounds on jobs.
    pub jobs: Arc<JobSettings>,
    /// Failure domain that minted keys name.
    pub failure_domain: Arc<str>,
}

/// Routes for callers, below the server's root.
pub fn routes(context: CallerContext) -> impl IntoEndpoint {
    add_routes(Route::new(), context)
}

/// `route` with the callers' routes added.
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
        Ok(_) => return FormError::malformed(format!("count is not 1 to {KEYS_MAX}")).respond(),
        Err(error) => return FormError::malformed(error.to_string()).respond(),
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

/// A key whose owner serves now, as far as a few draws find one.
fn mint_key(context: &CallerContext, issued_ms: u64) -> JobKey {
    let draw = || JobKey::mint(&context.failure_domain, issued_ms, rand::random());
    let mut draws = std::iter::repeat_with(draw).take(MINT_DRAWS);
    let owned = draws.find(|key| context.dispatch.is_owned(key));
    owned.unwrap_or_else(draw)
}

#[handler]
async fn submit_job(request: &Request, body: Body, context: Data<&CallerContext>) -> Response {
    let arrived = Instant::now();
    let key = match request::header_key(request.headers()) {
        Ok(key) => key,
        Err(error) => return error.respond(),
    };
    let (job, whole_at) = match read_job(request, body, &context).await {
        Ok(read) => read,
        Err(error) => return refuse_form(&context, &key, error).await,
    };
    let job = job.into_checked(key.clone(), &context.jobs, arrived);
    let answer = enter(&context.dispatch, job, request.headers(), whole_at).await;
    answer::respond(&key, Asked::Submit, answer)
}

/// Submits a checked job, within a span that later hops get as their parent.
async fn enter(
    dispatch: &Dispatch,
    job: CheckedJob,
    headers: &HeaderMap,
    whole_at: Instant,
) -> JobAnswer {
    let given = request::traceparent(headers);
    let mut span = dispatch.span(Hop::Entry, given.as_deref());
    if span.is_recording() {
        span.set_attribute("service", job.submission.service.to_string());
        span.set_attribute("tasks", job.submission.tasks.len() as i64);
    }
    let arrival = Arrival {
        traceparent: span.outgoing_traceparent(given),
        whole_at: Some(whole_at),
    };
    let answer = dispatch.submit(job.submission, job.wait, arrival).await;
    record_answer(&mut span, &answer);
    answer
}

/// Reads and checks a job; tells also when its body was whole.
async fn read_job(
    request: &Request,
    body: Body,
    context: &CallerContext,
) -> Result<(JobSubmission, Instant), FormError> {
    let bytes = request::read_body(request.headers(), body, &context.jobs).await?;
    let whole_at = Instant::now();
    let job = JobSubmission::parse(&bytes)?;
    job.check(&context.jobs, &context.dispatch.config())?;
    Ok((job, whole_at))
}

/// Refuses a request under a good key, with what is known of the key.
async fn refuse_form(context: &CallerContext, key: &JobKey, error: FormError) -> Response {
    let verdict = match context.dispatch.fetch(key, 0).await {
        JobAnswer::Known { verdict, .. } => verdict,
        JobAnswer::Refused(refusal) => refusal.verdict,
    };
    error.respond_with(verdict, key)
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
            let error = FormError::malformed(error.to_string());
            return refuse_form(&context, &key, error).await;
        }
    };
    let answer = context.dispatch.fetch(&key, wait_ms).await;
    answer::respond(&key, Asked::State, answer)
}

#[handler]
async fn cancel_job(request: &Request, context: Data<&CallerContext>) -> Response {
    let key = match request::path_key(request) {
        Ok(key) => key,
        Err(error) => return error.respond(),
    };
    let answer = context.dispatch.cancel(&key).await;
    answer::respond(&key, Asked::State, answer)
}

impl FormError {
    /// The answer where no job can stand behind the request.
    fn respond(self) -> Response {
        self.into_problem(Verdict::NotRun).into_response()
    }

    /// The answer where a key is known: this request itself started nothing.
    fn respond_with(self, verdict: Verdict, key: &JobKey) -> Response {
        self.into_problem(verdict)
            .request_verdict(Verdict::NotRun)
            .key(key.as_str())
            .into_response()
    }
}
