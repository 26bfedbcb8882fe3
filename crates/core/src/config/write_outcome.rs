//! Determines the outcome of a conditional write whose response was lost.
//!
//! A write that is conditional on the key's revision takes effect at most once,
//! because any other change of the key makes it fail. The key's value and version
//! read afterwards show in most cases whether the write took effect. A creation
//! is either found applied or its outcome stays unknown.

use bytes::Bytes;

/// A put or removal of one key, conditional on the key's revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConditionalWrite {
    /// The new value; `None` removes the key.
    pub value: Option<Bytes>,
    /// Revision that the key must have; 0 if the key must be absent.
    pub replaces_revision: u64,
    /// Version of the key at that revision: the number of its changes since its
    /// creation; 0 if absent.
    pub replaces_version: u64,
}

/// The key as read after the response was lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredKey {
    /// Current value.
    pub value: Bytes,
    /// Revision of the last change.
    pub revision: u64,
    /// Revision of the creation; 0 if the store does not report it.
    pub created_revision: u64,
    /// Number of changes since the creation; 1 for a new key.
    pub version: u64,
}

/// WriteOutcome of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It has not taken effect but still may. It can be sent again: the condition
    /// on the revision makes it idempotent.
    Pending,
    /// The store holds what was requested.
    Applied {
        /// Revision of the value; 0 for a removal.
        revision: u64,
    },
    /// Another change came first, so the write can never take effect.
    Lost {
        /// Revision of the other change.
        revision: u64,
    },
    /// Either it took effect and the key was changed again, or it never did.
    Unknown,
}

/// Determines the outcome of `write` from the key as read afterwards.
pub fn determine_outcome(write: &ConditionalWrite, found: Option<&StoredKey>) -> WriteOutcome {
    let Some(found) = found else {
        return outcome_if_absent(write);
    };
    if found.revision == write.replaces_revision {
        return WriteOutcome::Pending;
    }
    if write.value.as_ref() == Some(&found.value) {
        let revision = found.revision;
        return WriteOutcome::Applied { revision };
    }
    if is_next_change(write, found) {
        let revision = found.revision;
        return WriteOutcome::Lost { revision };
    }
    WriteOutcome::Unknown
}

/// Whether `found` is the change directly after the replaced revision. A key that
/// was absent or has been created again may have had changes in between.
fn is_next_change(write: &ConditionalWrite, found: &StoredKey) -> bool {
    let same_creation = (1..=write.replaces_revision).contains(&found.created_revision);
    same_creation && found.version == write.replaces_version + 1
}

/// If a created key is absent it may have been removed again. Repeating the
/// creation would undo that removal, so its outcome is unknown.
fn outcome_if_absent(write: &ConditionalWrite) -> WriteOutcome {
    match write.value {
        None => WriteOutcome::Applied { revision: 0 },
        Some(_) => WriteOutcome::Unknown,
    }
}
