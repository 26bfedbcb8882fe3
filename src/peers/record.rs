//! A failure domain's views as the store keeps them: JSON that people can read.

use derive_more::{Display, Error};
use trefoil_core::view::{ViewError, ViewLog};

/// A stored record that cannot be used.
#[derive(Debug, Display, Error)]
pub enum RecordError {
    /// The value is no JSON of a view log.
    #[display("the stored view log cannot be read: {_0}")]
    Json(serde_json::Error),
    /// The views break a rule of view logs.
    #[display("the stored view log is wrong: {_0}")]
    Views(ViewError),
}

/// The value to store.
pub fn encode(log: &ViewLog) -> Vec<u8> {
    serde_json::to_vec(log).unwrap_or_default()
}

/// The log of a stored value.
pub fn decode(value: &[u8]) -> Result<ViewLog, RecordError> {
    let log: ViewLog = serde_json::from_slice(value).map_err(RecordError::Json)?;
    log.check().map_err(RecordError::Views)?;
    Ok(log)
}
