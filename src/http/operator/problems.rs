//! Problems of the operators' API.

use derive_more::Display;
use poem::http::StatusCode;
use serde_json::Value;
use trefoil_core::config::ResourceKey;
use trefoil_core::config::check::changed_paths;
use trefoil_core::verdict::Verdict;
use trefoil_schema::api::FieldError;

use super::precondition::Malformed;
use crate::http::problem::Problem;
use crate::sources::config::write::WriteError;
use crate::sources::platform::{KeyValue, StoreError};

/// When to come back after a failure of the store, drawn from this range.
const RETRY_MS: std::ops::RangeInclusive<u64> = 500..=1500;

/// Why a request about resources is refused.
#[derive(Clone, Copy, Debug, Display)]
#[display(rename_all = "snake_case")]
enum Reason {
    /// The body or a header is malformed.
    Malformed,
    /// The body exceeds the size bound.
    TooLarge,
    /// No such resource is declared.
    UnknownResource,
    /// The store has something else under the resource's key.
    UnreadableResource,
    /// The resource has wrong fields.
    InvalidResource,
    /// `If-Match` or `If-None-Match` does not hold.
    PreconditionFailed,
    /// Another change was accepted first.
    LostRace,
    /// The store could not be reached; nothing was written.
    StoreUnreachable,
    /// The write was sent and its end is not known.
    WriteUnsettled,
}

fn refused(
    status: StatusCode,
    reason: Reason,
    detail: impl Into<String>,
    verdict: Verdict,
) -> Problem {
    Problem::new(status, &reason.to_string(), detail, verdict)
}

pub(super) fn malformed(detail: impl Into<String>) -> Problem {
    refused(
        StatusCode::BAD_REQUEST,
        Reason::Malformed,
        detail,
        Verdict::NotRun,
    )
}

pub(super) fn headers(error: Malformed) -> Problem {
    malformed(error.0)
}

pub(super) fn too_large(bytes_max: usize) -> Problem {
    let detail = format!("a declaration has at most {bytes_max} bytes");
    let status = StatusCode::PAYLOAD_TOO_LARGE;
    refused(status, Reason::TooLarge, detail, Verdict::NotRun)
}

pub(super) fn unknown(key: &ResourceKey) -> Problem {
    let detail = format!("{key} is not declared");
    let status = StatusCode::NOT_FOUND;
    refused(status, Reason::UnknownResource, detail, Verdict::NotRun)
}

/// The store holds something else under the resource's key.
pub(super) fn not_a_resource(key: &ResourceKey, revision: u64) -> Problem {
    let detail =
        format!("the stored text of {key} at revision {revision} cannot be read; declare it again");
    let status = StatusCode::INTERNAL_SERVER_ERROR;
    refused(status, Reason::UnreadableResource, detail, Verdict::NotRun)
}

pub(super) fn invalid(key: &ResourceKey, errors: Vec<FieldError>) -> Problem {
    let detail = format!(
        "{key} has {} wrong fields; nothing was stored",
        errors.len()
    );
    let status = StatusCode::UNPROCESSABLE_ENTITY;
    refused(status, Reason::InvalidResource, detail, Verdict::NotRun).errors(errors)
}

/// The precondition does not hold of what the store has.
pub(super) fn precondition(
    key: &ResourceKey,
    current: Option<&KeyValue>,
    wanted: Option<&Value>,
) -> Problem {
    let detail = differs(key, current, wanted);
    let status = StatusCode::PRECONDITION_FAILED;
    refused(status, Reason::PreconditionFailed, detail, Verdict::NotRun)
}

/// The store could not be read, before anything was written.
pub(super) fn unreadable(error: &StoreError) -> Problem {
    let detail = format!("nothing was stored: {error}; try again when the store is back");
    unavailable(Reason::StoreUnreachable, detail, Verdict::NotRun)
}

/// The write was not acknowledged.
pub(super) fn unwritten(key: &ResourceKey, error: &WriteError, wanted: Option<&Value>) -> Problem {
    match error {
        WriteError::Conflict { current } => lost_race(key, current.as_ref(), wanted),
        WriteError::NotApplied { .. } => {
            let detail = format!("{key}: {error}; try again when the store is back");
            unavailable(Reason::StoreUnreachable, detail, Verdict::NotRun)
        }
        WriteError::MayHaveApplied { .. } => {
            let detail = format!("{key}: {error}; read it before you try again");
            unavailable(Reason::WriteUnsettled, detail, Verdict::MayHaveRun)
        }
    }
}

fn lost_race(key: &ResourceKey, current: Option<&KeyValue>, wanted: Option<&Value>) -> Problem {
    let detail = format!(
        "another change came first: {}",
        differs(key, current, wanted)
    );
    refused(
        StatusCode::CONFLICT,
        Reason::LostRace,
        detail,
        Verdict::NotRun,
    )
}

fn unavailable(reason: Reason, detail: String, verdict: Verdict) -> Problem {
    let retry_after_ms = rand::random_range(RETRY_MS);
    refused(StatusCode::SERVICE_UNAVAILABLE, reason, detail, verdict).retry_after_ms(retry_after_ms)
}

// Where the resource stands and in which fields it differs from the request.
fn differs(key: &ResourceKey, current: Option<&KeyValue>, wanted: Option<&Value>) -> String {
    let Some(current) = current else {
        return format!("{key} is not declared now");
    };
    let revision = current.revision;
    let found: Option<Value> = serde_json::from_slice(&current.value).ok();
    let (Some(found), Some(wanted)) = (found, wanted) else {
        return format!("{key} is at revision {revision}");
    };
    let paths = changed_paths(&found, wanted);
    if paths.is_empty() {
        return format!("{key} is at revision {revision}, as requested");
    }
    let paths = paths.join(", ");
    format!("{key} is at revision {revision} and differs from the request in {paths}")
}
