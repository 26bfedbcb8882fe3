//! The admission limit of this instance, and its promises to others.
//!
//! An instance may admit keys issued up to its admission limit, which rises to a time
//! that a quorum of its view, itself included, has vouched for. All vouches are recorded
//! by the members that give them. A member that seals another one no longer vouches for
//! it in a view and all older ones. If enough members have sealed it to prevent a
//! quorum, the latest vouch among them bounds the keys that it ever admits.

use std::collections::{BTreeMap, BTreeSet};

use trefoil_schema::peer::{Heartbeat, Seal};

use super::types::Mutation;
use crate::view::{Member, ViewLog};

/// The newest view that a member has adopted.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AdoptedView {
    pub version: u64,
    /// The member's admission limit when it adopted the view.
    pub older_limit_ms: u64,
}

/// A series of consecutive views that contain this instance.
#[derive(Clone, Debug)]
struct MembershipPeriod {
    first_version: u64,
    /// The last view of the series among those adopted.
    last_version: u64,
    /// Former owners that have not confirmed yet that they adopted the first view.
    pending_owners: BTreeSet<Member>,
    /// Latest issue time of keys that former owners may have admitted.
    former_limit_ms: u64,
}

/// Whether this instance may admit a key that it owns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admission {
    Allowed,
    /// A former owner may have admitted the key.
    TooEarly,
    /// The key is this many milliseconds beyond the admission limit.
    Ahead(u64),
    /// Former owners have not confirmed the view yet.
    Waiting,
}

/// Admission limit and promises of one instance.
#[derive(Clone, Debug, Default)]
pub(super) struct Vouching {
    limit_ms: u64,
    older_limit_ms: u64,
    self_sealed_version: u64,
    /// Vouches received for this instance in the newest view.
    vouched_ms: BTreeMap<Member, u64>,
    /// Latest vouch given to each member.
    promised_ms: BTreeMap<Member, u64>,
    sealed_versions: BTreeMap<Member, u64>,
    adopted: BTreeMap<Member, AdoptedView>,
    periods: Vec<MembershipPeriod>,
    mutation: Option<Mutation>,
}

impl Vouching {
    pub fn new(mutation: Option<Mutation>) -> Self {
        Self {
            mutation,
            ..Self::default()
        }
    }

    /// Latest issue time of keys that may be admitted.
    pub fn limit_ms(&self) -> u64 {
        self.limit_ms
    }

    /// The limit when the newest view was adopted.
    pub fn older_limit_ms(&self) -> u64 {
        self.older_limit_ms
    }

    /// Latest key time that this instance may admit or has vouched for.
    pub fn highest_ms(&self) -> u64 {
        let promised_ms = self.promised_ms.values().copied().max();
        promised_ms.unwrap_or(0).max(self.limit_ms)
    }

    /// Adopts a newer log.
    pub fn adopt(&mut self, me: &Member, log: &ViewLog) {
        self.older_limit_ms = self.limit_ms;
        self.vouched_ms.clear();
        self.update_periods(me, log);
        let views = log.views();
        let known = |member: &Member| views.iter().any(|view| view.contains(member));
        self.promised_ms.retain(|member, _| known(member));
        self.sealed_versions.retain(|member, _| known(member));
        self.adopted.retain(|member, _| known(member));
    }

    fn update_periods(&mut self, me: &Member, log: &ViewLog) {
        if let Some(period) = self.periods.last_mut() {
            period.last_version = last_version(me, log, period);
        }
        if let Some(first_version) = log.current_period_start(me) {
            let newest = log.version();
            if self
                .periods
                .last()
                .is_none_or(|period| period.last_version < newest)
            {
                self.periods.push(new_period(me, log, first_version));
            }
        }
        if self.periods.len() > PERIODS_MAX {
            self.periods.remove(0);
        }
        for period in &mut self.periods {
            update_period(period, log, &self.adopted);
        }
    }

    /// Raises the limit to the latest time vouched for by a quorum. Returns whether it rose.
    pub fn raise_limit(&mut self, me: &Member, log: &ViewLog, own_until_ms: u64) -> bool {
        let Some(view) = log.newest().filter(|view| view.contains(me)) else {
            return false;
        };
        if self.self_sealed_version >= view.version {
            return false;
        }
        let others = view.members.iter().filter(|member| *member != me);
        let mut vouched: Vec<u64> = others
            .filter_map(|member| self.vouched_ms.get(member).copied())
            .collect();
        vouched.push(own_until_ms);
        vouched.sort_unstable_by(|a, b| b.cmp(a));
        let quorum = match self.mutation {
            Some(Mutation::QuorumOfOne) => 1,
            _ => view.quorum(),
        };
        let until_ms = vouched.get(quorum - 1).copied().unwrap_or(0);
        let rose = until_ms > self.limit_ms;
        self.limit_ms = self.limit_ms.max(until_ms);
        rose
    }

    /// Records a vouch received for this instance in the newest view.
    pub fn record_vouch(&mut self, from: &Member, until_ms: u64) {
        let entry = self.vouched_ms.entry(from.clone()).or_default();
        *entry = (*entry).max(until_ms);
    }

    /// Vouches for `member` in view `version`. Returns `None` if it is sealed.
    pub fn grant_vouch(&mut self, member: &Member, version: u64, until_ms: u64) -> Option<u64> {
        let sealed = self.sealed_version(member) >= version;
        if sealed && self.mutation != Some(Mutation::VouchAfterSeal) {
            return None;
        }
        if !sealed {
            let promise = self.promised_ms.entry(member.clone()).or_default();
            *promise = (*promise).max(until_ms);
        }
        Some(until_ms)
    }

    /// Records the view that a member has adopted.
    pub fn record_adopted(&mut self, from: &Member, heartbeat: &Heartbeat) {
        let reported = AdoptedView {
            version: heartbeat.view_version,
            older_limit_ms: heartbeat.older_limit_ms,
        };
        if reported.version == 0 {
            return;
        }
        let known = self.adopted.entry(from.clone()).or_default();
        if known.version < reported.version {
            *known = reported;
        }
        if let Some(period) = self.periods.last_mut() {
            record_former_owner(period, from, reported);
        }
    }

    /// The newest view that `member` has adopted.
    pub fn adopted(&self, member: &Member) -> AdoptedView {
        self.adopted.get(member).copied().unwrap_or_default()
    }

    /// Ends vouching for `member` in view `version` and older ones.
    pub fn seal(&mut self, member: &Member, version: u64) -> Seal {
        let sealed = self.sealed_versions.entry(member.clone()).or_default();
        *sealed = (*sealed).max(version);
        let adopted = self.adopted(member);
        Seal {
            view_version: version,
            member: Some(member.into()),
            until_ms: self.promised_ms.get(member).copied().unwrap_or(0),
            adopted_version: adopted.version,
            older_limit_ms: adopted.older_limit_ms,
        }
    }

    /// Fixes this instance's own admission limit in view `version` and older ones.
    pub fn seal_self(&mut self, me: &Member, version: u64) -> Seal {
        self.self_sealed_version = self.self_sealed_version.max(version);
        Seal {
            view_version: version,
            member: Some(me.into()),
            until_ms: self.limit_ms,
            adopted_version: version,
            older_limit_ms: self.limit_ms,
        }
    }

    /// The newest view in which this instance has sealed `member`, or 0.
    pub fn sealed_version(&self, member: &Member) -> u64 {
        self.sealed_versions.get(member).copied().unwrap_or(0)
    }

    /// The newest view in which this instance has sealed itself, or 0.
    pub fn self_sealed_version(&self) -> u64 {
        self.self_sealed_version
    }

    /// First key time from which no former owner may have admitted the keys that this
    /// instance owns, or `u64::MAX` if it is not known yet.
    pub fn sole_owner_from_ms(&self) -> u64 {
        let confirmed = self.periods.len() < PERIODS_MAX
            && self
                .periods
                .iter()
                .all(|period| period.pending_owners.is_empty());
        let former_limit_ms = self
            .periods
            .iter()
            .map(|period| period.former_limit_ms)
            .max();
        match former_limit_ms.filter(|_| confirmed) {
            Some(former_limit_ms) => former_limit_ms + 1,
            None => u64::MAX,
        }
    }

    /// Whether this instance may admit a key that it owns according to view `version`.
    pub fn admission(&self, version: u64, issued_ms: u64) -> Admission {
        let covers = |period: &&MembershipPeriod| {
            (period.first_version..=period.last_version).contains(&version)
        };
        let Some(period) = self.periods.iter().find(covers) else {
            return Admission::TooEarly;
        };
        if issued_ms > self.limit_ms {
            return Admission::Ahead(issued_ms - self.limit_ms);
        }
        if self.mutation == Some(Mutation::NoJoinWait) {
            return Admission::Allowed;
        }
        if !period.pending_owners.is_empty() {
            return Admission::Waiting;
        }
        match issued_ms <= period.former_limit_ms {
            true => Admission::TooEarly,
            false => Admission::Allowed,
        }
    }
}

/// Maximum number of periods kept. An instance that rejoins more often within the key
/// window refuses keys of older periods.
const PERIODS_MAX: usize = 16;

/// Version of the last view in which `me` is still a member without interruption since
/// the period.
fn last_version(me: &Member, log: &ViewLog, period: &MembershipPeriod) -> u64 {
    let views = log.views().iter();
    views
        .filter(|view| view.version > period.last_version)
        .take_while(|view| view.contains(me))
        .last()
        .map_or(period.last_version, |view| view.version)
}

fn new_period(me: &Member, log: &ViewLog, first_version: u64) -> MembershipPeriod {
    let views = log.views();
    let find = |version| views.iter().find(|view| view.version == version);
    let first = find(first_version).into_iter();
    let before = find(first_version - 1);
    let owners = first
        .flat_map(|view| &view.members)
        .filter(|member| *member != me && first_version > 1)
        .filter(|member| before.is_none_or(|view| view.contains(member)));
    MembershipPeriod {
        first_version,
        last_version: log.version(),
        pending_owners: owners.cloned().collect(),
        former_limit_ms: 0,
    }
}

/// Stops waiting for a former owner that has adopted the period's first view.
fn record_former_owner(period: &mut MembershipPeriod, member: &Member, reported: AdoptedView) {
    if reported.version >= period.first_version && period.pending_owners.remove(member) {
        period.former_limit_ms = period.former_limit_ms.max(reported.older_limit_ms);
    }
}

/// Removes former owners that have confirmed the first view, or are not members of a
/// later one, from the pending ones.
fn update_period(
    period: &mut MembershipPeriod,
    log: &ViewLog,
    adopted: &BTreeMap<Member, AdoptedView>,
) {
    for (member, reported) in adopted {
        record_former_owner(period, member, *reported);
    }
    let later = log
        .views()
        .iter()
        .filter(|view| view.version > period.first_version);
    for view in later {
        let removed: Vec<Member> = period
            .pending_owners
            .iter()
            .filter(|member| !view.contains(member))
            .cloned()
            .collect();
        for member in removed {
            period.pending_owners.remove(&member);
            period.former_limit_ms = period.former_limit_ms.max(view.from_ms.saturating_sub(1));
        }
    }
}
