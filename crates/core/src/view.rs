//! Which instance owns a key.
//!
//! A failure domain's record in the platform's store is a list of views, each
//! with the first key time it covers and its members. A key belongs to the
//! newest view whose `from_ms` is not after the key's issue time, and within
//! that view to one member by rendezvous hashing. Only that member, in that
//! incarnation, ever starts the key's tasks.
//!
//! Because both the old and the new owner compare the key's own issue time
//! with the same stored number, no two owners can both start a key, whatever
//! their clocks say and however long either was paused.
//!
//! The record changes only by compare-and-swap. Before a view with `from_ms`
//! is stored, the members of the view before it must be unable to admit keys
//! issued at `from_ms` or later.

use crate::key::{JobKey, rendezvous};

/// An instance and the number of its start.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Member {
    /// Configured name of the instance.
    pub name: String,
    /// Number of its start; a restarted process has a larger one.
    pub incarnation: u64,
}

/// The members that own keys from one key time on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// Position in the failure domain's history, from 1.
    pub version: u64,
    /// First key time that it covers, Unix milliseconds.
    pub from_ms: u64,
    /// Its members.
    pub members: Vec<Member>,
}

/// The views of a failure domain, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ViewLog {
    views: Vec<View>,
}

impl ViewLog {
    /// A log of `views`, oldest first.
    pub fn new(views: Vec<View>) -> Self {
        Self { views }
    }

    /// All views kept, oldest first.
    pub fn views(&self) -> &[View] {
        &self.views
    }

    /// The newest view.
    pub fn newest(&self) -> Option<&View> {
        self.views.last()
    }

    /// The view that covers a key time.
    pub fn covering(&self, issued_ms: u64) -> Option<&View> {
        self.views
            .iter()
            .rev()
            .find(|view| view.from_ms <= issued_ms)
    }

    /// The only member that may start the key's tasks.
    pub fn owner(&self, key: &JobKey) -> Option<&Member> {
        self.covering(key.issued_ms())?.owner(key)
    }
}

impl View {
    /// The member that owns `key` within this view.
    pub fn owner(&self, key: &JobKey) -> Option<&Member> {
        let hash = key.hash();
        self.members
            .iter()
            .max_by_key(|member| rendezvous(hash, &member.name))
    }
}
