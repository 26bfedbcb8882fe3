//! Stored format of a failure domain's views: JSON, so that operators can read it.

use derive_more::{Display, Error};
use trefoil_core::view::{ViewError, ViewLog};

/// Error in a stored view log.
#[derive(Debug, Display, Error)]
pub(super) enum RecordError {
    /// The value cannot be parsed.
    #[display("cannot parse the stored view log: {_0}")]
    Json(serde_json::Error),
    /// The views are inconsistent.
    #[display("the stored view log is invalid: {_0}")]
    Views(ViewError),
}

/// Encodes a view log for the store.
pub(super) fn encode(log: &ViewLog) -> Vec<u8> {
    serde_json::to_vec(log).unwrap_or_default()
}

/// Decodes and validates a stored view log.
pub(super) fn decode(value: &[u8]) -> Result<ViewLog, RecordError> {
    let log: ViewLog = serde_json::from_slice(value).map_err(RecordError::Json)?;
    log.check().map_err(RecordError::Views)?;
    Ok(log)
}
