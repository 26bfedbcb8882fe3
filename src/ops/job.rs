//! Submits, queries and cancels jobs.

use hyper::Method;
use hyper::header::{HeaderName, HeaderValue};
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use trefoil_core::key::JobKey;
use trefoil_schema::api::{JobRequest, JobResponse, JobStateName, KeysResponse};

use super::client::{ApiRequest, Client};
use super::error::OpsError;

const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
const PATH_SEGMENT: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'_').remove(b'.');
/// Time beyond the job's deadline or wait before the request times out.
const TIMEOUT_MARGIN_MS: u64 = 5_000;

/// Requests a new key from an instance. A key whose response is lost is never used, so the
/// request can be retried at another entry.
pub async fn mint_key(client: &Client) -> Result<SubmissionKey, OpsError> {
    let request = ApiRequest::new(Method::POST, "/v1/keys?count=1").read_only();
    let keys: KeysResponse = client.send(&request).await?.error_for_status()?.decode()?;
    let text = keys.keys.into_iter().next().ok_or(OpsError::Usage {
        message: "the instance minted no key".to_owned(),
    })?;
    Ok(SubmissionKey {
        text,
        newly_minted: true,
    })
}

/// An idempotency key for submissions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubmissionKey {
    /// The key as sent in the header.
    pub text: String,
    /// Whether the key was just minted and no request was made with it yet.
    pub newly_minted: bool,
}

/// Submits a job. The key makes it safe to retry at another entry after a lost response.
pub async fn submit(
    client: &Client,
    key: &SubmissionKey,
    request: &JobRequest,
) -> Result<JobResponse, OpsError> {
    let mut api_request = ApiRequest::new(Method::POST, "/v1/jobs")
        .header(IDEMPOTENCY_KEY, key_header(&key.text)?)
        .json(request)
        .idempotent();
    if key.newly_minted {
        api_request = api_request.first_request();
    }
    if request.deadline_ms > 0 {
        api_request = api_request.timeout_ms(request.deadline_ms.saturating_add(TIMEOUT_MARGIN_MS));
    }
    let job: JobResponse = client
        .send(&api_request)
        .await?
        .error_for_status()?
        .decode()?;
    match job.state {
        JobStateName::Running | JobStateName::Complete => Ok(job),
        JobStateName::Failed | JobStateName::Cancelled => {
            Err(OpsError::JobFailed { job: Box::new(job) })
        }
    }
}

/// Returns a job's state and, once complete, its results.
pub async fn get(client: &Client, key: &str, wait_ms: u64) -> Result<JobResponse, OpsError> {
    let path = job_path(key)?;
    let request = ApiRequest::new(Method::GET, format!("{path}?wait_ms={wait_ms}"))
        .timeout_ms(wait_ms.saturating_add(TIMEOUT_MARGIN_MS));
    client.send(&request).await?.error_for_status()?.decode()
}

/// Cancels a job. This is idempotent.
pub async fn cancel(client: &Client, key: &str) -> Result<JobResponse, OpsError> {
    let path = job_path(key)?;
    let request = ApiRequest::new(Method::DELETE, path).idempotent();
    client.send(&request).await?.error_for_status()?.decode()
}

fn key_header(key: &str) -> Result<HeaderValue, OpsError> {
    HeaderValue::try_from(validate_key(key)?).map_err(|error| OpsError::Usage {
        message: format!("key `{key}` cannot be sent: {error}"),
    })
}

/// URL path of a job; the key is percent-encoded.
fn job_path(key: &str) -> Result<String, OpsError> {
    let key = validate_key(key)?;
    let encoded = utf8_percent_encode(&key, PATH_SEGMENT);
    Ok(format!("/v1/jobs/{encoded}"))
}

fn validate_key(key: &str) -> Result<String, OpsError> {
    let parsed = JobKey::parse(key).map_err(|error| OpsError::Usage {
        message: format!("key `{key}` is not valid: {error}"),
    })?;
    Ok(parsed.as_str().to_owned())
}
