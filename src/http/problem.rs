//! Problem details (RFC 9457), extended with a verdict.

use poem::http::{HeaderValue, StatusCode, header};
use poem::{IntoResponse, Response};
use trefoil_core::verdict::Verdict;
use trefoil_schema::api;

const CONTENT_TYPE: HeaderValue = HeaderValue::from_static("application/problem+json");
const TYPE_PREFIX: &str = "urn:trefoilbay:problem:";

/// The reason of a [`Problem`], attached to its response for the metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ProblemReason(pub(crate) String);

/// Problem details of an error response.
#[derive(Clone, Debug)]
pub struct Problem {
    body: api::Problem,
}

impl Problem {
    /// A problem whose type ends in `reason`, in snake case.
    pub fn new(
        status: StatusCode,
        reason: &str,
        detail: impl Into<String>,
        verdict: Verdict,
    ) -> Self {
        let body = api::Problem {
            type_: format!("{TYPE_PREFIX}{reason}"),
            title: reason.replace('_', " "),
            status: status.as_u16(),
            detail: detail.into(),
            verdict: verdict_name(verdict),
            request_verdict: verdict_name(verdict),
            key: String::new(),
            retry_after_ms: 0,
            errors: Vec::new(),
        };
        Self { body }
    }

    /// Sets the verdict on this request alone, where it differs from the
    /// verdict on the key.
    #[must_use]
    pub fn request_verdict(mut self, verdict: Verdict) -> Self {
        self.body.request_verdict = verdict_name(verdict);
        self
    }

    /// Sets the idempotency key.
    #[must_use]
    pub fn key(mut self, key: &str) -> Self {
        self.body.key = key.to_owned();
        self
    }

    /// Sets the time after which to retry; 0 sends no `Retry-After`.
    #[must_use]
    pub fn retry_after_ms(mut self, retry_after_ms: u64) -> Self {
        self.body.retry_after_ms = retry_after_ms;
        self
    }

    /// Sets the list of invalid fields.
    #[must_use]
    pub fn errors(mut self, errors: Vec<api::FieldError>) -> Self {
        self.body.errors = errors;
        self
    }

    /// The body of the response.
    pub fn body(&self) -> &api::Problem {
        &self.body
    }
}

impl IntoResponse for Problem {
    fn into_response(self) -> Response {
        let status =
            StatusCode::from_u16(self.body.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let text = serde_json::to_vec(&self.body).unwrap_or_default();
        let mut response = Response::builder().status(status).body(text);
        response
            .headers_mut()
            .insert(header::CONTENT_TYPE, CONTENT_TYPE);
        let reason = self.body.type_.strip_prefix(TYPE_PREFIX);
        response.set_data(ProblemReason(reason.unwrap_or_default().to_owned()));
        if self.body.retry_after_ms > 0 {
            let seconds = self.body.retry_after_ms.div_ceil(1000);
            response
                .headers_mut()
                .insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}

/// Converts a verdict to the API's type.
pub(crate) fn verdict_name(verdict: Verdict) -> api::Verdict {
    match verdict {
        Verdict::NotRun => api::Verdict::NotRun,
        Verdict::MayHaveRun => api::Verdict::MayHaveRun,
        Verdict::Ran => api::Verdict::Ran,
    }
}
