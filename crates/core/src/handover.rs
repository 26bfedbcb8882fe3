//! What a leaving instance's memory proves to those that take it over.
//!
//! An instance that leaves as planned hands each remembered key to the one that
//! answers for it from then on (see [`crate::view::Succession`]), and at the
//! end a scope: for keys of these issue times that came this way, this was all.
//! A key within a scope that was not handed over never started, and never
//! will: its owner refuses new keys before it hands its memory over, and a
//! later owner begins behind the former one's admission limit. Scopes begin
//! where the owner alone may have admitted its keys: earlier ones may have been
//! admitted by former owners, before it joined. The reasons are
//! in `docs/design/leaving.md`.

use std::collections::BTreeMap;

use trefoil_schema::peer::HandoverScope;

use crate::key::JobKey;
use crate::view::{Member, Succession};

/// Most scopes kept; beyond, those of the oldest keys are dropped.
const SCOPES_MAX: usize = 256;

/// Keys of one way whose fate is fully known here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Scope {
    /// First issue time covered, Unix milliseconds.
    pub from_ms: u64,
    /// Last issue time covered, Unix milliseconds.
    pub until_ms: u64,
    /// Newest view known to those that handed over.
    pub view_version: u64,
}

/// What is known of a key that was not handed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Absence {
    /// No task under the key has started or will start.
    NeverStarted,
    /// Nothing is known.
    Unknown,
}

/// The scopes of all memory taken over, by the way that it came.
#[derive(Clone, Debug, Default)]
pub struct Scopes {
    by_path: BTreeMap<Vec<Member>, Scope>,
    closed: bool,
}

impl Scopes {
    /// Takes in the word that memory is complete.
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

    /// Forgets scopes whose keys have all expired.
    pub fn expire_before(&mut self, horizon_ms: u64) {
        self.by_path.retain(|_, scope| scope.until_ms >= horizon_ms);
    }

    /// Ends taking over: this instance is about to hand on what it has.
    pub fn close(&mut self) {
        self.closed = true;
    }

    /// Whether nothing more may be taken over.
    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// The scope of memory that came by `path`, if any did.
    pub fn scope_of(&self, path: &[Member]) -> Option<Scope> {
        self.by_path.get(path).copied()
    }

    /// What is known of a key that is not remembered here. `view_version` is
    /// the newest view known here, by which `succession` was found.
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

    /// The scopes that `me` hands on when it leaves: those that it took over,
    /// now one step longer, and that of its `own` keys. It remembers keys
    /// issued from `remembered_ms` on.
    pub fn outgoing_scopes(
        &self,
        me: &Member,
        own: Scope,
        remembered_ms: u64,
    ) -> Vec<HandoverScope> {
        let taken = self.by_path.iter().map(|(path, scope)| {
            let mut path = path.clone();
            path.push(me.clone());
            let scope = Scope {
                from_ms: scope.from_ms.max(remembered_ms),
                until_ms: scope.until_ms,
                view_version: scope.view_version.max(own.view_version),
            };
            message(&path, scope)
        });
        let mut scopes: Vec<HandoverScope> = taken.collect();
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
