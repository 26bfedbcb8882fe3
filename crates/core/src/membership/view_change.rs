//! Computes the next view and its first key time.
//!
//! A member is removed only if the issue times of all keys that it may ever admit
//! have a known upper bound; the next view starts after that bound. A new member is
//! added immediately, but waits for confirmation by the former owners of its keys
//! (see [`super::vouching`]).

use std::collections::BTreeMap;

use trefoil_schema::peer::Seal;

use super::roster::Roster;
use super::types::{MembershipParams, Mutation};
use crate::time::Now;
use crate::view::{Member, View, ViewLog};

/// Seals received for the newest view, by sealed member and then by sender.
#[derive(Clone, Debug, Default)]
pub(super) struct Seals {
    by_member: BTreeMap<Member, BTreeMap<Member, Seal>>,
}

impl Seals {
    pub fn insert(&mut self, member: Member, from: Member, seal: Seal) {
        self.by_member.entry(member).or_default().insert(from, seal);
    }

    /// Whether the member has sealed itself.
    pub fn has_self_seal(&self, member: &Member) -> bool {
        let seals = self.by_member.get(member);
        seals.is_some_and(|seals| seals.contains_key(member))
    }

    pub fn clear(&mut self) {
        self.by_member.clear();
    }
}

/// Changes to be made to the newest view.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct PendingChange {
    pub remove: Vec<Member>,
    pub add: Vec<Member>,
    /// Write a new view even if its members are the same, which ends the seals of
    /// live members.
    pub renew: bool,
}

impl PendingChange {
    pub fn is_empty(&self) -> bool {
        self.remove.is_empty() && self.add.is_empty() && !self.renew
    }
}

/// Computes upper bounds of the keys that members may admit.
pub(super) struct AdmissionBounds<'a> {
    pub now: Now,
    pub params: &'a MembershipParams,
    pub roster: &'a Roster,
    pub log: &'a ViewLog,
    pub seals: &'a Seals,
    /// Whether members known to be gone may replace missing seals. Their bound is
    /// later, so seals are awaited first.
    pub accept_gone: bool,
}

impl AdmissionBounds<'_> {
    /// First key time that `member` can never admit, if known.
    pub fn admission_bound_ms(&self, member: &Member) -> Option<u64> {
        match self.params.mutation {
            Some(Mutation::NoSeals) => return Some(self.log.newest()?.from_ms),
            Some(Mutation::ViewFromLocalClock) => {
                self.bound_by_seals(member)?;
                return Some(self.now.wall_ms);
            }
            _ => {}
        }
        self.bound_by_seals(member)
            .or_else(|| self.is_gone(member).then(|| self.bound_by_clock(0)))
    }

    fn bound_by_seals(&self, member: &Member) -> Option<u64> {
        let version = self.log.version();
        let empty = BTreeMap::new();
        let seals = self.seals.by_member.get(member).unwrap_or(&empty);
        let valid = |seal: &&Seal| seal.view_version >= version;
        if let Some(own) = seals.get(member).filter(valid) {
            return Some(own.until_ms + 1);
        }
        let latest = seals
            .values()
            .filter(valid)
            .max_by_key(|seal| seal.adopted_version);
        let (adopted, older_ms) =
            latest.map_or((0, 0), |seal| (seal.adopted_version, seal.older_limit_ms));
        let until_ms = seals.values().filter(valid).map(|seal| seal.until_ms).max();
        let until_ms = until_ms.unwrap_or(0).max(older_ms);
        let mut uses_clock = false;
        for view in self.views_in_use(member, adopted) {
            uses_clock |= self.quorum_blocked(view, member, seals)?;
        }
        Some(match uses_clock {
            true => self.bound_by_clock(until_ms + 1),
            false => until_ms + 1,
        })
    }

    /// Views in which `member` may still collect vouches.
    fn views_in_use(&self, member: &Member, adopted: u64) -> impl Iterator<Item = &View> {
        let newest = self.log.version();
        let newest_only = self.params.mutation == Some(Mutation::NewestViewOnly);
        let oldest = match newest_only {
            true => newest,
            false => adopted.min(newest),
        };
        self.log
            .views()
            .iter()
            .filter(move |view| view.version >= oldest && view.contains(member))
    }

    /// Whether seals, and members known to be gone, prevent a quorum for `member` in
    /// `view`. Returns `None` if they do not, and `Some(true)` if members that are
    /// gone are needed, whose promises are bounded only by the clock.
    fn quorum_blocked(
        &self,
        view: &View,
        member: &Member,
        seals: &BTreeMap<Member, Seal>,
    ) -> Option<bool> {
        let version = self.log.version();
        let others = || view.members.iter().filter(|other| *other != member);
        let sealed = |other: &&Member| {
            seals
                .get(*other)
                .is_some_and(|seal| seal.view_version >= version)
        };
        let sealers = others().filter(sealed).count();
        if sealers >= view.blocking_quorum() {
            return Some(false);
        }
        let gone = others().filter(|other| !sealed(other) && self.is_gone(other));
        (sealers + gone.count() >= view.blocking_quorum()).then_some(true)
    }

    fn is_gone(&self, member: &Member) -> bool {
        let (now, params) = (self.now, self.params);
        if !self.accept_gone {
            return false;
        }
        if params.mutation == Some(Mutation::SilentIsGone) {
            return !self.roster.heard_within(now, member, params.suspect_ms);
        }
        self.roster.is_confirmed_gone(now, member, params)
    }

    fn bound_by_clock(&self, known_ms: u64) -> u64 {
        let clock_bound_ms = self.now.wall_ms + self.params.gone_clock_bound_ms;
        clock_bound_ms.max(known_ms)
    }

    /// The next log, if one can be written. `join_from_ms` is a key time that no member
    /// has admitted yet.
    pub fn next_log(&self, pending: &PendingChange, join_from_ms: u64) -> Option<ViewLog> {
        let newest = self.log.newest()?;
        let bounds = pending
            .remove
            .iter()
            .filter_map(|member| Some((member, self.admission_bound_ms(member)?)));
        let bounds: BTreeMap<&Member, u64> = bounds.collect();
        let is_kept = |member: &&Member| !bounds.contains_key(*member);
        let mut members: Vec<Member> = newest.members.iter().filter(is_kept).cloned().collect();
        let unbounded = bounds.len() < pending.remove.len();
        let removed_bound_ms = bounds.values().copied().max().unwrap_or(0);
        let mut from_ms = newest.from_ms.max(removed_bound_ms);
        let may_add = bounds.is_empty() || members.is_empty();
        if may_add && !unbounded && !pending.add.is_empty() {
            from_ms = from_ms.max(join_from_ms);
            members.extend(pending.add.iter().cloned());
        }
        let changed = members != newest.members || (pending.renew && !unbounded);
        if members.is_empty() || !changed {
            return None;
        }
        members.sort();
        let next = self.log.with_view(from_ms, members);
        next.check().is_ok().then_some(next)
    }
}
