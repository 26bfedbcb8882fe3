//! A failure domain's views as the store keeps them: JSON that people can read.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use trefoil_core::view::{Member, View, ViewError, ViewLog};

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

#[derive(Serialize, Deserialize)]
struct StoredLog {
    views: Vec<StoredView>,
}

#[derive(Serialize, Deserialize)]
struct StoredView {
    version: u64,
    from_ms: u64,
    members: Vec<StoredMember>,
}

#[derive(Serialize, Deserialize)]
struct StoredMember {
    name: String,
    incarnation: u64,
}

/// The value to store.
pub fn encode(log: &ViewLog) -> Vec<u8> {
    let views = log.views().iter().map(stored_view).collect();
    serde_json::to_vec(&StoredLog { views }).unwrap_or_default()
}

/// The log of a stored value.
pub fn decode(value: &[u8]) -> Result<ViewLog, RecordError> {
    let stored: StoredLog = serde_json::from_slice(value).map_err(RecordError::Json)?;
    let log = ViewLog::new(stored.views.into_iter().map(view).collect());
    log.check().map_err(RecordError::Views)?;
    Ok(log)
}

fn stored_view(view: &View) -> StoredView {
    let members = view.members.iter();
    let members = members.map(|member| StoredMember {
        name: member.name.clone(),
        incarnation: member.incarnation,
    });
    StoredView {
        version: view.version,
        from_ms: view.from_ms,
        members: members.collect(),
    }
}

fn view(stored: StoredView) -> View {
    let members = stored.members.into_iter();
    let members = members.map(|member| Member {
        name: member.name,
        incarnation: member.incarnation,
    });
    View {
        version: stored.version,
        from_ms: stored.from_ms,
        members: members.collect(),
    }
}
