//! Error responses of the operators' API.

use derive_more::Display;
use poem::http::StatusCode;
use serde_json::Value;
use trefoil_core::config::ResourceKey;
use trefoil_core::config::validation::changed_paths;
use trefoil_core::verdict::Verdict;
use trefoil_schema::api::FieldError;

use super::precondition::PreconditionError;
use crate::http::problem::Problem;
use crate::sources::config::write::WriteError;
use crate::sources::platform::{KeyValue, StoreError};

/// Range of the random `Retry-After` when the store is unreachable.
const RETRY_MS: std::ops::RangeInclusive<u64> = 500..=1500;

/// Reason of a problem, as sent in its type.
#[derive(Clone, Copy, Debug, Display)]
#[display(rename_all = "snake_case")]
enum Reason {
    /// The body or a header cannot be parsed.
    Malformed,
    /// The body exceeds the size limit.
    TooLarge,
    /// The resource is not declared.
    UnknownResource,
    /// The value in the store is not a resource.
    UnreadableResource,
    /// The resource has invalid fields.
    InvalidResource,
    /// `If-Match` or `If-None-Match` does not hold.
    PreconditionFailed,
    /// A concurrent write was accepted first.
    LostRace,
    /// The store could not be reached; nothing was written.
    StoreUnreachable,
    /// The write was sent and its outcome is unknown.
    WriteUnsettled,
}

fn problem(
    status: StatusCode,
    reason: Reason,
    detail: impl Into<String>,
    verdict: Verdict,
) -> Problem {
    Problem::new(status, &reason.to_string(), detail, verdict)
}

pub(super) fn malformed(detail: impl Into<String>) -> Problem {
    problem(
        StatusCode::BAD_REQUEST,
        Reason::Malformed,
        detail,
        Verdict::NotRun,
    )
}

pub(super) fn invalid_precondition(error: PreconditionError) -> Problem {
    malformed(error.0)
}

pub(super) fn too_large(bytes_max: usize) -> Problem {
    let detail = format!("the declaration exceeds {bytes_max} bytes");
    let status = StatusCode::PAYLOAD_TOO_LARGE;
    problem(status, Reason::TooLarge, detail, Verdict::NotRun)
}

pub(super) fn not_declared(key: &ResourceKey) -> Problem {
    let detail = format!("{key} is not declared");
    let status = StatusCode::NOT_FOUND;
    problem(status, Reason::UnknownResource, detail, Verdict::NotRun)
}

pub(super) fn unreadable_resource(key: &ResourceKey, revision: u64) -> Problem {
    let detail =
        format!("the stored value of {key} at revision {revision} is invalid; declare it again");
    let status = StatusCode::INTERNAL_SERVER_ERROR;
    problem(status, Reason::UnreadableResource, detail, Verdict::NotRun)
}

pub(super) fn invalid_resource(key: &ResourceKey, errors: Vec<FieldError>) -> Problem {
    let detail = format!(
        "{key} has {} invalid fields; nothing was stored",
        errors.len()
    );
    let status = StatusCode::UNPROCESSABLE_ENTITY;
    problem(status, Reason::InvalidResource, detail, Verdict::NotRun).errors(errors)
}

pub(super) fn precondition_failed(
    key: &ResourceKey,
    current: Option<&KeyValue>,
    requested: Option<&Value>,
) -> Problem {
    let detail = describe_difference(key, current, requested);
    let status = StatusCode::PRECONDITION_FAILED;
    problem(status, Reason::PreconditionFailed, detail, Verdict::NotRun)
}

/// The store could not be read, so no write was attempted.
pub(super) fn store_unreachable(error: &StoreError) -> Problem {
    let detail = format!("nothing was stored: {error}; retry when the store is reachable");
    service_unavailable(Reason::StoreUnreachable, detail, Verdict::NotRun)
}

/// Problem of a write that was rejected or not acknowledged.
pub(super) fn write_failed(
    key: &ResourceKey,
    error: &WriteError,
    requested: Option<&Value>,
) -> Problem {
    match error {
        WriteError::Conflict { current } => conflict(key, current.as_ref(), requested),
        WriteError::NotApplied { .. } => {
            let detail = format!("{key}: {error}; retry when the store is reachable");
            service_unavailable(Reason::StoreUnreachable, detail, Verdict::NotRun)
        }
        WriteError::MayHaveApplied { .. } => {
            let detail = format!("{key}: {error}; read it before retrying");
            service_unavailable(Reason::WriteUnsettled, detail, Verdict::MayHaveRun)
        }
    }
}

fn conflict(key: &ResourceKey, current: Option<&KeyValue>, requested: Option<&Value>) -> Problem {
    let detail = format!(
        "another change was accepted first: {}",
        describe_difference(key, current, requested)
    );
    problem(
        StatusCode::CONFLICT,
        Reason::LostRace,
        detail,
        Verdict::NotRun,
    )
}

fn service_unavailable(reason: Reason, detail: String, verdict: Verdict) -> Problem {
    let retry_after_ms = rand::random_range(RETRY_MS);
    problem(StatusCode::SERVICE_UNAVAILABLE, reason, detail, verdict).retry_after_ms(retry_after_ms)
}

/// Describes the current revision and the fields that differ from the request.
fn describe_difference(
    key: &ResourceKey,
    current: Option<&KeyValue>,
    requested: Option<&Value>,
) -> String {
    let Some(current) = current else {
        return format!("{key} is not declared");
    };
    let revision = current.revision;
    let found: Option<Value> = serde_json::from_slice(&current.value).ok();
    let (Some(found), Some(requested)) = (found, requested) else {
        return format!("{key} is at revision {revision}");
    };
    let paths = changed_paths(&found, requested);
    if paths.is_empty() {
        return format!("{key} is at revision {revision}, as requested");
    }
    let paths = paths.join(", ");
    format!("{key} is at revision {revision} and differs from the request in {paths}")
}
