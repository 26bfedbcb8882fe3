//! What became of a write whose answer was lost.
//!
//! A write that names the revision it replaces takes effect once at most:
//! whoever changes the key first makes every later attempt fail. What the
//! store holds afterwards, and how often the key changed since, tells in
//! nearly all cases whether it was this write. A creation replaces nothing,
//! so it is only found done or left open.

use bytes::Bytes;

/// A conditional write: put, or removal, of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// The new value; `None` removes the key.
    pub value: Option<Bytes>,
    /// Revision of the key that the write replaces; 0 where it must be absent.
    pub replaces_revision: u64,
    /// Changes of the key since it was created, at that revision; 0 if absent.
    pub replaces_version: u64,
}

/// The key as it was read after the lost answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Found {
    /// Its value.
    pub value: Bytes,
    /// Revision of its last change.
    pub revision: u64,
    /// Revision at which it was created; 0 where the store does not say.
    pub created_revision: u64,
    /// Changes since it was created, from 1.
    pub version: u64,
}

/// What became of the write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It has not taken effect yet and still may: send it again, which is
    /// idempotent because it replaces the same revision.
    Pending,
    /// What was asked for is in the store.
    Applied {
        /// Revision of the value; 0 for a removal.
        revision: u64,
    },
    /// Another change took its place; it never takes effect.
    Lost {
        /// Revision of the other change.
        revision: u64,
    },
    /// It took effect and was changed again, or never took effect.
    Unknown,
}

/// Judges `write` by what was found afterwards.
pub fn settle(write: &Write, found: Option<&Found>) -> Outcome {
    let Some(found) = found else {
        return settle_absent(write);
    };
    if found.revision == write.replaces_revision {
        return Outcome::Pending;
    }
    if write.value.as_ref() == Some(&found.value) {
        let revision = found.revision;
        return Outcome::Applied { revision };
    }
    if follows_directly(write, found) {
        let revision = found.revision;
        return Outcome::Lost { revision };
    }
    Outcome::Unknown
}

// Whether `found` is the very next change after the replaced one. A key that
// was absent, or was created anew since, may have had changes in between.
fn follows_directly(write: &Write, found: &Found) -> bool {
    let same_life = (1..=write.replaces_revision).contains(&found.created_revision);
    same_life && found.version == write.replaces_version + 1
}

// A creation that finds nothing may have been removed again: sending it once
// more would undo that removal, so it is left open.
fn settle_absent(write: &Write) -> Outcome {
    match write.value {
        None => Outcome::Applied { revision: 0 },
        Some(_) => Outcome::Unknown,
    }
}
