//! Applies changes in store revision order and keeps recent ones for peers.
//!
//! The revision is monotonic: a delta or full list that ends at or before the
//! current revision is ignored. Instances that read from the store and those
//! that read from peers therefore pass through the same states.
//!
//! A stored value that cannot be parsed is counted and leaves the resource's
//! previous declaration in force. Its text is kept and forwarded, because a peer
//! with another version may be able to parse it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use bytes::Bytes;
use serde::de::DeserializeOwned;
use trefoil_schema::peer;
use trefoil_schema::resources::{Kind, Resource};

use super::change::{Change, ResourceKey};
use super::{ConfigSnapshot, Declared};

/// Number of recent changes that are kept; a peer that is further behind is sent
/// the full configuration.
pub const HISTORY_MAX: usize = 1024;

/// A resource's declaration as stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredValue {
    /// JSON text of the declaration.
    pub value: Bytes,
    /// Store revision of its last change.
    pub revision: u64,
}

/// Result of applying changes to a [`ConfigLog`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// The configuration advanced to a newer revision.
    Advanced,
    /// The changes were already applied.
    AlreadyApplied,
    /// The changes start after the current revision; earlier ones are missing.
    Gap {
        /// Revision after which changes must be requested.
        after_revision: u64,
    },
}

/// The current configuration and its recent changes.
#[derive(Clone, Debug)]
pub struct ConfigLog {
    snapshot: Arc<ConfigSnapshot>,
    values: BTreeMap<ResourceKey, StoredValue>,
    history: VecDeque<Change>,
    history_max: usize,
    /// `history` has all changes after this revision.
    history_from_revision: u64,
    unreadable: u64,
}

impl Default for ConfigLog {
    fn default() -> Self {
        Self::new(HISTORY_MAX)
    }
}

impl ConfigLog {
    /// Creates an empty log that keeps up to `history_max` changes for peers.
    pub fn new(history_max: usize) -> Self {
        Self {
            snapshot: Arc::default(),
            values: BTreeMap::new(),
            history: VecDeque::new(),
            history_max,
            history_from_revision: 0,
            unreadable: 0,
        }
    }

    /// The current configuration.
    pub fn snapshot(&self) -> Arc<ConfigSnapshot> {
        Arc::clone(&self.snapshot)
    }

    /// Highest store revision applied; 0 before the first.
    pub fn revision(&self) -> u64 {
        self.snapshot.revision
    }

    /// Number of stored values so far that could not be parsed.
    pub fn unreadable(&self) -> u64 {
        self.unreadable
    }

    /// All stored declarations.
    pub fn values(&self) -> &BTreeMap<ResourceKey, StoredValue> {
        &self.values
    }

    /// Applies the changes after `from_revision` up to `to_revision`.
    pub fn apply(&mut self, from_revision: u64, to_revision: u64, changes: &[Change]) -> Applied {
        if to_revision <= self.revision() {
            return Applied::AlreadyApplied;
        }
        if from_revision > self.revision() {
            return Applied::Gap {
                after_revision: self.revision(),
            };
        }
        let new = newer_than(changes, self.revision());
        self.advance(new, to_revision);
        Applied::Advanced
    }

    /// Replaces the configuration by the full list as of `revision`.
    pub fn replace(&mut self, revision: u64, changes: &[Change]) -> Applied {
        if revision <= self.revision() {
            return Applied::AlreadyApplied;
        }
        let mut new = self.removals(revision, changes);
        new.extend(newer_than(changes, self.revision()));
        new.sort_by_key(|change| change.revision);
        self.advance(new, revision);
        self.clear_history();
        Applied::Advanced
    }

    /// Applies a delta or a full list received from a peer.
    pub fn apply_message(&mut self, message: &peer::ConfigChanges) -> Applied {
        let changes: Vec<Change> = message
            .changes
            .iter()
            .filter_map(Change::from_message)
            .collect();
        match message.from_revision {
            0 => self.replace(message.to_revision, &changes),
            from => self.apply(from, message.to_revision, &changes),
        }
    }

    /// Changes for a peer at `after_revision`: a delta, or the full list if some of
    /// the changes are no longer kept.
    pub fn changes_after(&self, after_revision: u64) -> peer::ConfigChanges {
        let is_full = after_revision == 0 || after_revision < self.history_from_revision;
        let changes = if is_full {
            self.values.iter().map(change_message).collect()
        } else {
            let missing = |change: &&Change| change.revision > after_revision;
            let recent = self.history.iter().filter(missing);
            recent.map(Change::to_message).collect()
        };
        peer::ConfigChanges {
            from_revision: if is_full { 0 } else { after_revision },
            to_revision: self.revision(),
            changes,
        }
    }

    fn removals(&self, revision: u64, changes: &[Change]) -> Vec<Change> {
        let listed: BTreeSet<&ResourceKey> = changes.iter().map(|change| &change.key).collect();
        self.values
            .keys()
            .filter(|key| !listed.contains(key))
            .map(|key| removal(key, revision))
            .collect()
    }

    fn advance(&mut self, changes: Vec<Change>, to_revision: u64) {
        let mut next = ConfigSnapshot::clone(&self.snapshot);
        for change in changes {
            if !apply_change(&mut next, &change) {
                self.unreadable += 1;
            }
            self.store_value(&change);
            self.push_history(change);
        }
        next.revision = to_revision;
        self.snapshot = Arc::new(next);
    }

    fn store_value(&mut self, change: &Change) {
        let Some(value) = &change.value else {
            self.values.remove(&change.key);
            return;
        };
        let stored = StoredValue {
            value: value.clone(),
            revision: change.revision,
        };
        self.values.insert(change.key.clone(), stored);
    }

    fn push_history(&mut self, change: Change) {
        self.history.push_back(change);
        while self.history.len() > self.history_max {
            let dropped = self.history.pop_front();
            self.history_from_revision = dropped.map_or(0, |change| change.revision);
        }
    }

    /// A full list lacks resources that were declared and removed since the last
    /// one. A peer may have them, so a delta across the list would be incomplete.
    fn clear_history(&mut self) {
        self.history.clear();
        self.history_from_revision = self.revision();
    }
}

fn newer_than(changes: &[Change], revision: u64) -> Vec<Change> {
    let mut new: Vec<Change> = changes
        .iter()
        .filter(|change| change.revision > revision)
        .cloned()
        .collect();
    new.sort_by_key(|change| change.revision);
    new
}

fn removal(key: &ResourceKey, revision: u64) -> Change {
    Change {
        key: key.clone(),
        value: None,
        revision,
    }
}

fn change_message((key, stored): (&ResourceKey, &StoredValue)) -> peer::ConfigChange {
    peer::ConfigChange {
        key: key.to_string(),
        value: stored.value.clone(),
        revision: stored.revision,
    }
}

/// Applies a change; `false` if its value cannot be parsed.
fn apply_change(snapshot: &mut ConfigSnapshot, change: &Change) -> bool {
    match change.key.kind {
        Kind::Team => apply_to_kind(&mut snapshot.teams, change),
        Kind::Service => apply_to_kind(&mut snapshot.services, change),
        Kind::BackendServer => apply_to_kind(&mut snapshot.backend_servers, change),
    }
}

fn apply_to_kind<T: DeserializeOwned>(
    declared: &mut BTreeMap<Arc<str>, Declared<T>>,
    change: &Change,
) -> bool {
    let Some(value) = &change.value else {
        declared.remove(change.key.name.as_str());
        return true;
    };
    let Some(spec) = parse_spec(value) else {
        return false;
    };
    let revision = change.revision;
    declared.insert(change.key.name.as_str().into(), Declared { spec, revision });
    true
}

fn parse_spec<T: DeserializeOwned>(value: &[u8]) -> Option<T> {
    let resource: Resource = serde_json::from_slice(value).ok()?;
    serde_json::from_value(resource.spec).ok()
}
