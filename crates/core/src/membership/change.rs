//! Which view comes next, and from which key time.
//!
//! A member leaves only when a bound on all that it ever admits is known; the
//! next view begins behind that bound. A member joins at once, and waits for
//! the word of those who owned its keys before (see [`super::vouching`]).

use std::collections::BTreeMap;

use trefoil_schema::peer::Seal;

use super::roster::Roster;
use super::types::{MembershipParams, Mutation};
use crate::time::Now;
use crate::view::{Member, View, ViewLog};

/// Seals collected for the newest view: by sealed member, then by sealer.
#[derive(Clone, Debug, Default)]
pub(super) struct Seals {
    by_member: BTreeMap<Member, BTreeMap<Member, Seal>>,
}

impl Seals {
    /// Takes in a seal of `member` given by `from`.
    pub fn insert(&mut self, member: Member, from: Member, seal: Seal) {
        self.by_member.entry(member).or_default().insert(from, seal);
    }

    /// Whether a member has sealed itself.
    pub fn has_own(&self, member: &Member) -> bool {
        let seals = self.by_member.get(member);
        seals.is_some_and(|seals| seals.contains_key(member))
    }

    /// Forgets all.
    pub fn clear(&mut self) {
        self.by_member.clear();
    }
}

/// Changes of the newest view that seem due.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Wanted {
    pub remove: Vec<Member>,
    pub add: Vec<Member>,
    /// Store the same members again, which lifts seals from live ones.
    pub renew: bool,
}

impl Wanted {
    pub fn is_empty(&self) -> bool {
        self.remove.is_empty() && self.add.is_empty() && !self.renew
    }
}

/// The ground on which a member's admissions are bounded.
pub(super) struct Bounds<'a> {
    pub now: Now,
    pub params: &'a MembershipParams,
    pub roster: &'a Roster,
    pub log: &'a ViewLog,
    pub seals: &'a Seals,
    /// Whether the word that instances are gone may stand in for seals. Seals
    /// give the earlier bound, so they are waited for first.
    pub by_clock: bool,
}

impl Bounds<'_> {
    /// The first key time that `member` can never admit; `None` if unknown.
    pub fn free_from_ms(&self, member: &Member) -> Option<u64> {
        match self.params.mutation {
            Some(Mutation::NoSeals) => return Some(self.log.newest()?.from_ms),
            Some(Mutation::FromNow) => {
                self.by_seals(member)?;
                return Some(self.now.wall_ms);
            }
            _ => {}
        }
        self.by_seals(member)
            .or_else(|| self.is_gone(member).then(|| self.gone_from_ms(0)))
    }

    fn by_seals(&self, member: &Member) -> Option<u64> {
        let version = self.log.version();
        let empty = BTreeMap::new();
        let seals = self.seals.by_member.get(member).unwrap_or(&empty);
        let valid = |seal: &&Seal| seal.view_version >= version;
        if let Some(own) = seals.get(member).filter(valid) {
            return Some(own.until_ms + 1);
        }
        let said = seals
            .values()
            .filter(valid)
            .max_by_key(|seal| seal.adopted_version);
        let (adopted, older_ms) = said.map_or((0, 0), |s| (s.adopted_version, s.older_limit_ms));
        let until_ms = seals.values().filter(valid).map(|seal| seal.until_ms).max();
        let until_ms = until_ms.unwrap_or(0).max(older_ms);
        let mut by_clock = false;
        for view in self.views_in_use(member, adopted) {
            by_clock |= self.blocked(view, member, seals)?;
        }
        Some(match by_clock {
            true => self.gone_from_ms(until_ms + 1),
            false => until_ms + 1,
        })
    }

    /// Views in which the member may still collect vouches.
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
            .filter(move |view| view.version >= oldest && view.has(member))
    }

    /// Whether seals and vanished members leave `member` no quorum in `view`;
    /// `Some(true)` if that takes vanished members, whose promises only the
    /// clock bounds.
    fn blocked(
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
        if sealers >= view.blocking() {
            return Some(false);
        }
        let gone = others().filter(|other| !sealed(other) && self.is_gone(other));
        (sealers + gone.count() >= view.blocking()).then_some(true)
    }

    fn is_gone(&self, member: &Member) -> bool {
        let (now, params) = (self.now, self.params);
        if !self.by_clock {
            return false;
        }
        if params.mutation == Some(Mutation::SilentIsGone) {
            return !self.roster.heard_within(now, member, params.suspect_ms);
        }
        self.roster.certainly_gone(now, member, params)
    }

    fn gone_from_ms(&self, known_ms: u64) -> u64 {
        let by_clock_ms = self.now.wall_ms + self.params.gone_clock_bound_ms;
        by_clock_ms.max(known_ms)
    }

    /// The next log, if one can be stored now. `join_from_ms` is a key time
    /// that no member has admitted yet.
    pub fn next(&self, wanted: &Wanted, join_from_ms: u64) -> Option<ViewLog> {
        let newest = self.log.newest()?;
        let bounds = wanted
            .remove
            .iter()
            .filter_map(|member| Some((member, self.free_from_ms(member)?)));
        let bounds: BTreeMap<&Member, u64> = bounds.collect();
        let stays = |member: &&Member| !bounds.contains_key(*member);
        let mut members: Vec<Member> = newest.members.iter().filter(stays).cloned().collect();
        let unbounded = bounds.len() < wanted.remove.len();
        let removed_ms = bounds.values().copied().max().unwrap_or(0);
        let mut from_ms = newest.from_ms.max(removed_ms);
        let joins = bounds.is_empty() || members.is_empty();
        if joins && !unbounded && !wanted.add.is_empty() {
            from_ms = from_ms.max(join_from_ms);
            members.extend(wanted.add.iter().cloned());
        }
        let changed = members != newest.members || (wanted.renew && !unbounded);
        if members.is_empty() || !changed {
            return None;
        }
        members.sort();
        let next = self.log.with(from_ms, members);
        next.check().is_ok().then_some(next)
    }
}
