//! Completeness of the job memory that a leaving instance hands over.
//!
//! An instance that leaves as planned sends each remembered key to the instance that
//! answers for it afterwards (see [`crate::view::Succession`]), followed by scopes. A
//! scope states that the keys issued in a period and handed over along a path are
//! complete. A key in a scope that was not handed over has never started and never
//! will: its owner refuses new keys before the handover, and later owners only admit
//! keys beyond the former owner's admission limit. A scope does not include issue
//! times at which former owners may have admitted the keys. See
//! `docs/design/leaving.md`.

use std::collections::BTreeMap;

use trefoil_schema::peer::HandoverScope;

use crate::key::JobKey;
use crate::view::{Member, Succession};

/// Maximum number of scopes kept. Those with the oldest keys are dropped first.
const SCOPES_MAX: usize = 256;

/// Issue times of the keys of a path that are completely known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Scope {
    /// First issue time, in Unix milliseconds.
    pub from_ms: u64,
    /// Last issue time, in Unix milliseconds.
    pub until_ms: u64,
    /// Newest view known to the instances of the path.
    pub view_version: u64,
}

/// What is known about a key that was not handed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Absence {
    /// No task of the key has started or will start.
    NeverStarted,
    /// Nothing is known.
    Unknown,
}

/// The scopes received from leaving instances, by path.
#[derive(Clone, Debug, Default)]
pub struct Scopes {
    by_path: BTreeMap<Vec<Member>, Scope>,
    closed: bool,
}

impl Scopes {
    /// Adds a received scope.
    pub fn insert(&mut self, message: &HandoverScope) {
        let path: Vec<Member> = message.path.iter().map(Member::from).collect();
        let scope = Scope {
            from_ms: message.from_ms,
            until_ms: message.until_ms,
            view_version: message.view_version,
        };
        if !path.is_empty() {
            self.by_path.insert(path, scope);
        }
        while self.by_path.len() > SCOPES_MAX {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let oldest = self.by_path.iter().min_by_key(|(_, scope)| scope.until_ms);
        if let Some(path) = oldest.map(|(path, _)| path.clone()) {
            self.by_path.remove(&path);
        }
    }

    /// Removes scopes whose keys were all issued before `horizon_ms`.
    pub fn expire_before(&mut self, horizon_ms: u64) {
        self.by_path.retain(|_, scope| scope.until_ms >= horizon_ms);
    }

    /// Stops accepting handovers, because this instance is about to hand over itself.
    pub fn close(&mut self) {
        self.closed = true;
    }

    /// Whether handovers are no longer accepted.
    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// The scope received along `path`, if any.
    pub fn scope_of(&self, path: &[Member]) -> Option<Scope> {
        self.by_path.get(path).copied()
    }

    /// What is known about a key that this instance does not remember.
    ///
    /// `view_version` is the version of the newest known view, from which `succession`
    /// was derived.
    pub fn absence(&self, key: &JobKey, succession: &Succession, view_version: u64) -> Absence {
        let scope = self.by_path.get(&succession.path);
        let covers = scope.is_some_and(|scope| {
            let times = scope.from_ms..=scope.until_ms;
            times.contains(&key.issued_ms()) && scope.view_version <= view_version
        });
        match covers && succession.stored {
            true => Absence::NeverStarted,
            false => Absence::Unknown,
        }
    }

    /// The scopes that `me` sends when it leaves: the received ones, with `me` appended
    /// to their paths, and that of its `own` keys. Keys issued before `remembered_ms`
    /// are no longer remembered.
    pub fn outgoing_scopes(
        &self,
        me: &Member,
        own: Scope,
        remembered_ms: u64,
    ) -> Vec<HandoverScope> {
        let received = self.by_path.iter().map(|(path, scope)| {
            let mut path = path.clone();
            path.push(me.clone());
            let scope = Scope {
                from_ms: scope.from_ms.max(remembered_ms),
                until_ms: scope.until_ms,
                view_version: scope.view_version.max(own.view_version),
            };
            message(&path, scope)
        });
        let mut scopes: Vec<HandoverScope> = received.collect();
        scopes.push(message(std::slice::from_ref(me), own));
        scopes
    }
}

fn message(path: &[Member], scope: Scope) -> HandoverScope {
    HandoverScope {
        path: path.iter().map(Into::into).collect(),
        from_ms: scope.from_ms,
        until_ms: scope.until_ms,
        view_version: scope.view_version,
    }
}
