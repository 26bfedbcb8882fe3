//! Submit, watch and cancel jobs.

use hyper::Method;
use hyper::header::{HeaderName, HeaderValue};
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use trefoil_core::key::JobKey;
use trefoil_schema::api::{JobRequest, JobResponse, JobStateName, KeysResponse};

use super::client::{Call, Client};
use super::error::OpsError;

const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
const PATH_SEGMENT: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'_').remove(b'.');
/// Added to a job's deadline before its answer is taken as lost, in milliseconds.
const ANSWER_MARGIN_MS: u64 = 5_000;

/// Has an instance mint a key. A key that is lost on the way stands for nothing,
/// so the request may go to another entry.
pub async fn mint_key(client: &Client) -> Result<SubmissionKey, OpsError> {
    let call = Call::new(Method::POST, "/v1/keys?count=1").changes_nothing();
    let keys: KeysResponse = client.send(&call).await?.accept()?.decode()?;
    let text = keys.keys.into_iter().next().ok_or(OpsError::Usage {
        message: "the instance minted no key".to_owned(),
    })?;
    Ok(SubmissionKey { text, fresh: true })
}

/// A key, and whether requests were made under it before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubmissionKey {
    /// The idempotency key.
    pub text: String,
    /// Whether it was minted just now, so that nothing is known under it.
    pub fresh: bool,
}

/// Submits a job under `key`. The key makes it harmless to go to another entry
/// after an answer was lost.
pub async fn submit(
    client: &Client,
    key: &SubmissionKey,
    request: &JobRequest,
) -> Result<JobResponse, OpsError> {
    let mut call = Call::new(Method::POST, "/v1/jobs")
        .header(IDEMPOTENCY_KEY, key_value(&key.text)?)
        .json(request)
        .resend_harmless();
    if key.fresh {
        call = call.first_request();
    }
    if request.deadline_ms > 0 {
        call = call.timeout_ms(request.deadline_ms.saturating_add(ANSWER_MARGIN_MS));
    }
    let job: JobResponse = client.send(&call).await?.accept()?.decode()?;
    match job.state {
        JobStateName::Running | JobStateName::Complete => Ok(job),
        JobStateName::Failed | JobStateName::Cancelled => {
            Err(OpsError::JobFailed { job: Box::new(job) })
        }
    }
}

/// State and, when complete, results of a job.
pub async fn get(client: &Client, key: &str, wait_ms: u64) -> Result<JobResponse, OpsError> {
    let path = path(key)?;
    let call = Call::new(Method::GET, format!("{path}?wait_ms={wait_ms}"))
        .timeout_ms(wait_ms.saturating_add(ANSWER_MARGIN_MS));
    client.send(&call).await?.accept()?.decode()
}

/// Cancels a job; cancelling twice has the effect of cancelling once.
pub async fn cancel(client: &Client, key: &str) -> Result<JobResponse, OpsError> {
    let path = path(key)?;
    let call = Call::new(Method::DELETE, path).resend_harmless();
    client.send(&call).await?.accept()?.decode()
}

fn key_value(key: &str) -> Result<HeaderValue, OpsError> {
    HeaderValue::try_from(checked(key)?).map_err(|error| OpsError::Usage {
        message: format!("key `{key}` cannot be sent: {error}"),
    })
}

/// Path of a job; a caller's own key may have characters with a meaning there.
fn path(key: &str) -> Result<String, OpsError> {
    let key = checked(key)?;
    let encoded = utf8_percent_encode(&key, PATH_SEGMENT);
    Ok(format!("/v1/jobs/{encoded}"))
}

fn checked(key: &str) -> Result<String, OpsError> {
    let parsed = JobKey::parse(key).map_err(|error| OpsError::Usage {
        message: format!("key `{key}` is not valid: {error}"),
    })?;
    Ok(parsed.as_str().to_owned())
}
