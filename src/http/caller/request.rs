//! Parses and validates callers' requests.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use poem::http::{HeaderMap, header};
use poem::{Body, Request};
use serde::Deserialize;
use serde_json::value::RawValue;
use tokio::io::AsyncReadExt;
use trefoil_core::config::ConfigSnapshot;
use trefoil_core::engine::{RefusalReason, Submission, Task};
use trefoil_core::key::JobKey;
use trefoil_core::verdict::Verdict;
use trefoil_schema::api::FieldError;
use trefoil_schema::settings::JobSettings;

use super::CallerContext;
use super::answer::refusal_status;
use crate::http::body_budget::{Evicted, Receiving};
use crate::http::problem::Problem;
use crate::runtime::dispatch::fingerprint;

pub(super) const KEY_HEADER: &str = "idempotency-key";
const TRACEPARENT_HEADER: &str = "traceparent";
const DEFAULT_TEAM: &str = "default";
/// Initial size of the buffer of a body, unless the body is smaller.
const BODY_BUFFER_BYTES: u64 = 16 * 1024;
/// Retry delay of a caller whose body found no memory.
const MEMORY_RETRY_MS: u64 = 1000;
/// Precedes the expected value in the text of a JSON error.
const EXPECTED_SEPARATOR: &str = ", expected ";
/// Precedes the position in the text of a JSON error.
const POSITION_SEPARATOR: &str = " at line ";

/// Why a request is rejected before it reaches the engine.
#[derive(Clone, Debug)]
pub(super) struct RequestError {
    reason: RefusalReason,
    detail: String,
    errors: Vec<FieldError>,
    /// 0 if a retry does not help.
    retry_after_ms: u64,
}

impl From<Evicted> for RequestError {
    fn from(error: Evicted) -> Self {
        Self {
            retry_after_ms: MEMORY_RETRY_MS,
            ..Self::new(RefusalReason::MemoryFull, error.to_string())
        }
    }
}

impl RequestError {
    /// A request that cannot be parsed or has invalid fields.
    pub(super) fn malformed(detail: impl Into<String>) -> Self {
        Self::new(RefusalReason::Malformed, detail)
    }

    fn new(reason: RefusalReason, detail: impl Into<String>) -> Self {
        Self {
            reason,
            detail: detail.into(),
            errors: Vec::new(),
            retry_after_ms: 0,
        }
    }

    fn with_field(mut self, path: String, found: String, allowed: String) -> Self {
        self.errors.push(FieldError {
            path,
            found,
            allowed,
        });
        self
    }

    /// Converts to problem details with the verdict known for the key.
    pub(super) fn into_problem(self, verdict: Verdict) -> Problem {
        let status = refusal_status(self.reason);
        let reason = self.reason.to_string();
        Problem::new(status, &reason, self.detail, verdict)
            .errors(self.errors)
            .retry_after_ms(self.retry_after_ms)
    }
}

/// The idempotency key in the headers of a submission.
pub(super) fn header_key(headers: &HeaderMap) -> Result<JobKey, RequestError> {
    let mut values = headers.get_all(KEY_HEADER).iter();
    let value = values
        .next()
        .ok_or_else(|| RequestError::malformed("the header idempotency-key is missing"))?;
    if values.next().is_some() {
        let detail = "the header idempotency-key occurs more than once";
        return Err(RequestError::malformed(detail));
    }
    parse_key(value.to_str().unwrap_or_default())
}

pub(super) fn path_key(request: &Request) -> Result<JobKey, RequestError> {
    let text = request
        .path_params::<String>()
        .map_err(|error| RequestError::malformed(error.to_string()))?;
    parse_key(&text)
}

fn parse_key(text: &str) -> Result<JobKey, RequestError> {
    JobKey::parse(text).map_err(|error| RequestError::malformed(error.to_string()))
}

/// The W3C trace context in the headers.
pub(super) fn traceparent(headers: &HeaderMap) -> Option<Arc<str>> {
    let value = headers.get(TRACEPARENT_HEADER)?;
    value.to_str().ok().map(Arc::from)
}

/// Reads the body within the limits on its size, its time and the memory of all bodies.
pub(super) async fn read_body(
    headers: &HeaderMap,
    body: Body,
    context: &CallerContext,
) -> Result<Bytes, RequestError> {
    let bytes_max = context.jobs.body_bytes_max;
    let declared = declared_length(headers);
    if declared.is_some_and(|length| length > bytes_max) {
        return Err(too_large(bytes_max));
    }
    let receiving = context.bodies.receive();
    let evicted = receiving.evicted();
    let expected_bytes = declared.unwrap_or(BODY_BUFFER_BYTES).max(1);
    let received = receive(body, receiving, expected_bytes, bytes_max);
    tokio::select! {
        biased;
        received = tokio::time::timeout(context.body_timeout, received) => {
            received.unwrap_or_else(|_| {
                Err(RequestError::malformed("the body took too long to arrive"))
            })
        }
        () = evicted.notified() => Err(RequestError::from(Evicted)),
    }
}

/// Reads the body into one buffer: its parts would each keep a read buffer in memory.
async fn receive(
    body: Body,
    mut receiving: Receiving,
    expected_bytes: u64,
    bytes_max: u64,
) -> Result<Bytes, RequestError> {
    let mut reader = body.into_async_read();
    let mut data = Vec::new();
    loop {
        if data.len() == data.capacity() {
            let capacity = data.capacity() as u64;
            // One more, to see whether the body ends there.
            let doubled = (capacity * 2).max(expected_bytes.min(BODY_BUFFER_BYTES));
            let new_capacity = doubled.min(bytes_max + 1);
            receiving.grow(new_capacity - capacity)?;
            data.reserve_exact((new_capacity - capacity) as usize);
        }
        let read = reader.read_buf(&mut data).await;
        let read = read.map_err(|error| RequestError::malformed(error.to_string()))?;
        if data.len() as u64 > bytes_max {
            return Err(too_large(bytes_max));
        }
        if read == 0 {
            return Ok(receiving.finish(data)?);
        }
    }
}

fn declared_length(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get(header::CONTENT_LENGTH)?;
    value.to_str().ok()?.parse().ok()
}

fn too_large(bytes_max: u64) -> RequestError {
    let detail = format!("the body exceeds {bytes_max} bytes; split the job");
    RequestError::new(RefusalReason::TooLarge, detail)
}

/// The schema's `JobRequest` with unparsed payloads: parsing and serializing a
/// payload could change its numbers.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct JobBody<'a> {
    service: String,
    #[serde(default = "default_team")]
    team: String,
    #[serde(default)]
    deadline_ms: u64,
    #[serde(default = "default_wait")]
    wait: bool,
    #[serde(borrow)]
    tasks: Vec<TaskBody<'a>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TaskBody<'a> {
    #[serde(borrow)]
    payload: &'a RawValue,
    #[serde(default)]
    declared_run_ms: u64,
}

fn default_team() -> String {
    DEFAULT_TEAM.to_owned()
}

fn default_wait() -> bool {
    true
}

/// A parsed submission that has not been validated.
#[derive(Clone, Debug)]
pub(super) struct JobSubmission {
    service: String,
    team: String,
    deadline_ms: u64,
    wait: bool,
    tasks: Vec<Task>,
}

/// A validated submission.
#[derive(Clone, Debug)]
pub(super) struct CheckedJob {
    /// Passed to the engine.
    pub(super) submission: Submission,
    /// Whether to delay the response until the job is final.
    pub(super) wait: bool,
}

impl JobSubmission {
    pub(super) fn parse(bytes: &Bytes) -> Result<Self, RequestError> {
        let mut reader = serde_json::Deserializer::from_slice(bytes);
        let body: JobBody<'_> =
            serde_path_to_error::deserialize(&mut reader).map_err(field_error)?;
        reader
            .end()
            .map_err(|error| RequestError::malformed(error.to_string()))?;
        let task = |task: TaskBody<'_>| Task {
            payload: bytes.slice_ref(task.payload.get().as_bytes()),
            declared_run_ms: task.declared_run_ms,
        };
        Ok(Self {
            service: body.service,
            team: body.team,
            deadline_ms: body.deadline_ms,
            wait: body.wait,
            tasks: body.tasks.into_iter().map(task).collect(),
        })
    }

    /// Validates the job against the limits of this instance and its service.
    pub(super) fn check(
        &self,
        jobs: &JobSettings,
        config: &ConfigSnapshot,
    ) -> Result<(), RequestError> {
        self.check_task_count(jobs)?;
        self.check_deadline(jobs)?;
        self.check_payloads(config)
    }

    fn check_task_count(&self, jobs: &JobSettings) -> Result<(), RequestError> {
        let found = self.tasks.len();
        let reason = match found {
            0 => RefusalReason::Malformed,
            _ if found > jobs.tasks_max as usize => RefusalReason::TooManyTasks,
            _ => return Ok(()),
        };
        let allowed = format!("1 to {} tasks", jobs.tasks_max);
        let error = RequestError::new(reason, format!("the job has {found} tasks"));
        Err(error.with_field("tasks".to_owned(), format!("{found} tasks"), allowed))
    }

    fn check_deadline(&self, jobs: &JobSettings) -> Result<(), RequestError> {
        if self.deadline_ms <= jobs.deadline_max_ms {
            return Ok(());
        }
        let found = self.deadline_ms.to_string();
        let allowed = format!("0 to {}", jobs.deadline_max_ms);
        let error = RequestError::malformed("the deadline is too long");
        Err(error.with_field("deadline_ms".to_owned(), found, allowed))
    }

    fn check_payloads(&self, config: &ConfigSnapshot) -> Result<(), RequestError> {
        // The owner refuses jobs of unknown services.
        let Some(service) = config.services.get(&*self.service) else {
            return Ok(());
        };
        let bytes_max = service.spec.payload_bytes_max;
        let mut payloads = self.tasks.iter().map(|task| task.payload.len());
        let Some(index) = payloads.position(|length| length as u64 > bytes_max) else {
            return Ok(());
        };
        let found = format!("{} bytes", self.tasks[index].payload.len());
        let allowed = format!("{bytes_max} bytes");
        let error = RequestError::new(RefusalReason::TooLarge, "a payload is too large");
        Err(error.with_field(format!("tasks[{index}].payload"), found, allowed))
    }

    /// Converts to the engine's submission; the deadline counts from `started_at`.
    pub(super) fn into_checked(
        self,
        key: JobKey,
        jobs: &JobSettings,
        started_at: Instant,
    ) -> CheckedJob {
        let allowed_ms = match self.deadline_ms {
            0 => jobs.deadline_default_ms,
            deadline_ms => deadline_ms,
        };
        let elapsed_ms = started_at.elapsed().as_millis() as u64;
        let submission = Submission {
            key,
            fingerprint: fingerprint(&self.service, &self.team, &self.tasks),
            service: self.service.into(),
            team: self.team.into(),
            timeout_ms: allowed_ms.saturating_sub(elapsed_ms),
            tasks: self.tasks,
        };
        CheckedJob {
            submission,
            wait: self.wait,
        }
    }
}

fn field_error(error: serde_path_to_error::Error<serde_json::Error>) -> RequestError {
    let path = error.path().to_string();
    let text = error.into_inner().to_string();
    let (message, _) = text.rsplit_once(POSITION_SEPARATOR).unwrap_or((&text, ""));
    let (found, allowed) = message
        .split_once(EXPECTED_SEPARATOR)
        .unwrap_or((message, "JSON"));
    let (found, allowed) = (found.to_owned(), allowed.to_owned());
    let detail = format!("the body is invalid at {path}: {text}");
    RequestError::malformed(detail).with_field(path, found, allowed)
}
