//! Applies changes in the order of the store and keeps the newest for peers.
//!
//! The revision never goes backwards: a change, delta or full list that ends
//! at or before the revision in force is ignored. Instances fed by the store
//! and instances fed by peers therefore pass through the same declarations.
//!
//! A stored value that cannot be read leaves the resource's earlier
//! declaration in force and is counted; its text is kept and passed on, so
//! that a peer that can read it does.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use bytes::Bytes;
use serde::de::DeserializeOwned;
use trefoil_schema::peer;
use trefoil_schema::resources::{Kind, Resource};

use super::change::{Change, ResourceKey};
use super::{ConfigSnapshot, Declared};

/// Changes kept for peers that are behind; a peer further behind gets
/// everything. At 14,000 changes a day, over an hour's worth.
pub const KEPT_CHANGES_MAX: usize = 1024;

/// A resource's text in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredValue {
    /// JSON text of the declaration.
    pub value: Bytes,
    /// Store revision of its last change.
    pub revision: u64,
}

/// What became of changes that were handed to a [`ConfigLog`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// The configuration in force advanced.
    Advanced,
    /// Everything in it was in force already.
    Old,
    /// It starts after the revision in force; changes in between are missing.
    Gap {
        /// The revision to ask changes after.
        after_revision: u64,
    },
}

/// The configuration in force and its newest changes.
#[derive(Clone, Debug)]
pub struct ConfigLog {
    snapshot: Arc<ConfigSnapshot>,
    values: BTreeMap<ResourceKey, StoredValue>,
    kept: VecDeque<Change>,
    kept_max: usize,
    // Changes after this revision are all in `kept`.
    kept_from_revision: u64,
    unreadable: u64,
}

impl Default for ConfigLog {
    fn default() -> Self {
        Self::new(KEPT_CHANGES_MAX)
    }
}

impl ConfigLog {
    /// An empty log that keeps `kept_max` changes for peers.
    pub fn new(kept_max: usize) -> Self {
        Self {
            snapshot: Arc::default(),
            values: BTreeMap::new(),
            kept: VecDeque::new(),
            kept_max,
            kept_from_revision: 0,
            unreadable: 0,
        }
    }

    /// The configuration in force.
    pub fn snapshot(&self) -> Arc<ConfigSnapshot> {
        Arc::clone(&self.snapshot)
    }

    /// Highest store revision applied; 0 before the first.
    pub fn revision(&self) -> u64 {
        self.snapshot.revision
    }

    /// Stored values that could not be read, so far.
    pub fn unreadable(&self) -> u64 {
        self.unreadable
    }

    /// Every resource's stored text.
    pub fn values(&self) -> &BTreeMap<ResourceKey, StoredValue> {
        &self.values
    }

    /// Applies changes of the store that lead from `from_revision` to
    /// `to_revision`, in revision order.
    pub fn apply(&mut self, from_revision: u64, to_revision: u64, changes: &[Change]) -> Applied {
        if to_revision <= self.revision() {
            return Applied::Old;
        }
        if from_revision > self.revision() {
            return Applied::Gap {
                after_revision: self.revision(),
            };
        }
        let new = newer(changes, self.revision());
        self.advance(new, to_revision);
        Applied::Advanced
    }

    /// Takes the whole configuration as of `revision`.
    pub fn replace(&mut self, revision: u64, changes: &[Change]) -> Applied {
        if revision <= self.revision() {
            return Applied::Old;
        }
        let mut new = self.removals(revision, changes);
        new.extend(newer(changes, self.revision()));
        new.sort_by_key(|change| change.revision);
        self.advance(new, revision);
        self.forget_kept();
        Applied::Advanced
    }

    /// Applies what a peer sent.
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

    /// What a peer at `after_revision` lacks: the changes since, or everything
    /// where they are no longer kept.
    pub fn changes_after(&self, after_revision: u64) -> peer::ConfigChanges {
        let whole = after_revision == 0 || after_revision < self.kept_from_revision;
        let changes = if whole {
            self.values.iter().map(stored_message).collect()
        } else {
            let missing = |change: &&Change| change.revision > after_revision;
            let kept = self.kept.iter().filter(missing);
            kept.map(Change::to_message).collect()
        };
        peer::ConfigChanges {
            from_revision: if whole { 0 } else { after_revision },
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
            if !put_in_force(&mut next, &change) {
                self.unreadable += 1;
            }
            self.store_value(&change);
            self.keep(change);
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

    fn keep(&mut self, change: Change) {
        self.kept.push_back(change);
        while self.kept.len() > self.kept_max {
            let dropped = self.kept.pop_front();
            self.kept_from_revision = dropped.map_or(0, |change| change.revision);
        }
    }

    // A list does not tell of resources that were declared and removed since
    // the last one, and a peer in between may have them.
    fn forget_kept(&mut self) {
        self.kept.clear();
        self.kept_from_revision = self.revision();
    }
}

fn newer(changes: &[Change], than_revision: u64) -> Vec<Change> {
    let mut new: Vec<Change> = changes
        .iter()
        .filter(|change| change.revision > than_revision)
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

fn stored_message((key, stored): (&ResourceKey, &StoredValue)) -> peer::ConfigChange {
    peer::ConfigChange {
        key: key.to_string(),
        value: stored.value.clone(),
        revision: stored.revision,
    }
}

// Whether the change could be read.
fn put_in_force(snapshot: &mut ConfigSnapshot, change: &Change) -> bool {
    match change.key.kind {
        Kind::Team => put_one(&mut snapshot.teams, change),
        Kind::Service => put_one(&mut snapshot.services, change),
        Kind::BackendServer => put_one(&mut snapshot.backend_servers, change),
    }
}

fn put_one<T: DeserializeOwned>(
    declared: &mut BTreeMap<Arc<str>, Declared<T>>,
    change: &Change,
) -> bool {
    let Some(value) = &change.value else {
        declared.remove(change.key.name.as_str());
        return true;
    };
    let Some(spec) = read_spec(value) else {
        return false;
    };
    let revision = change.revision;
    declared.insert(change.key.name.as_str().into(), Declared { spec, revision });
    true
}

fn read_spec<T: DeserializeOwned>(value: &[u8]) -> Option<T> {
    let resource: Resource = serde_json::from_slice(value).ok()?;
    serde_json::from_value(resource.spec).ok()
}
