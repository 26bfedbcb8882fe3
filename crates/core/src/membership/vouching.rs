//! Up to which key time this instance may admit, and what it promised others.
//!
//! A member's limit rises only by vouches of a quorum of its view, itself
//! included. Every vouch is remembered as a promise; a seal ends promises to a
//! member for a view and all older ones. Enough seals leave the member no
//! quorum, so the highest promise among them bounds all that it ever admits.

use std::collections::{BTreeMap, BTreeSet};

use trefoil_schema::peer::{Heartbeat, Seal};

use super::types::Mutation;
use crate::view::{Member, ViewLog};

/// What a member said of the newest view that it took up.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Adopted {
    pub version: u64,
    /// It admits nothing later than this under an older view.
    pub older_limit_ms: u64,
}

/// An unbroken run of views that have this instance.
#[derive(Clone, Debug)]
struct Run {
    first_version: u64,
    /// Its last view, as far as taken up.
    last_version: u64,
    /// Former owners that have not said yet that they took up the first view.
    waiting: BTreeSet<Member>,
    /// Former owners may have admitted keys up to this time.
    floor_ms: u64,
}

/// May this instance admit a key that it owns?
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admission {
    Allowed,
    /// A former owner may have admitted it.
    TooEarly,
    /// Not before that much more key time is vouched for.
    Ahead(u64),
    /// Former owners have to answer first.
    Waiting,
}

/// Limits and promises of one instance.
#[derive(Clone, Debug, Default)]
pub(super) struct Vouching {
    limit_ms: u64,
    older_limit_ms: u64,
    self_sealed_version: u64,
    received: BTreeMap<Member, u64>,
    given: BTreeMap<Member, u64>,
    sealed: BTreeMap<Member, u64>,
    adopted: BTreeMap<Member, Adopted>,
    runs: Vec<Run>,
    mutation: Option<Mutation>,
}

impl Vouching {
    /// Promises of an instance that has made none.
    pub fn new(mutation: Option<Mutation>) -> Self {
        Self {
            mutation,
            ..Self::default()
        }
    }

    /// The latest key time that may be admitted.
    pub fn limit_ms(&self) -> u64 {
        self.limit_ms
    }

    /// The limit when the newest view was taken up.
    pub fn older_limit_ms(&self) -> u64 {
        self.older_limit_ms
    }

    /// The highest key time vouched to anyone, or admitted here.
    pub fn highest_ms(&self) -> u64 {
        let given = self.given.values().copied().max();
        given.unwrap_or(0).max(self.limit_ms)
    }

    /// Takes up a newer log.
    pub fn adopt(&mut self, me: &Member, log: &ViewLog) {
        self.older_limit_ms = self.limit_ms;
        self.received.clear();
        self.track_run(me, log);
        let views = log.views();
        let known = |member: &Member| views.iter().any(|view| view.has(member));
        self.given.retain(|member, _| known(member));
        self.sealed.retain(|member, _| known(member));
        self.adopted.retain(|member, _| known(member));
    }

    fn track_run(&mut self, me: &Member, log: &ViewLog) {
        if let Some(run) = self.runs.last_mut() {
            run.last_version = last_version(me, log, run);
        }
        if let Some(first_version) = log.run_start(me) {
            let newest = log.version();
            if self.runs.last().is_none_or(|run| run.last_version < newest) {
                self.runs.push(new_run(me, log, first_version));
            }
        }
        if self.runs.len() > RUNS_MAX {
            self.runs.remove(0);
        }
        for run in &mut self.runs {
            settle_run(run, log, &self.adopted);
        }
    }

    /// Raises the limit to what a quorum vouches for; says whether it rose.
    pub fn extend(&mut self, me: &Member, log: &ViewLog, own_until_ms: u64) -> bool {
        let Some(view) = log.newest().filter(|view| view.has(me)) else {
            return false;
        };
        if self.self_sealed_version >= view.version {
            return false;
        }
        let others = view.members.iter().filter(|member| *member != me);
        let mut vouched: Vec<u64> = others
            .filter_map(|member| self.received.get(member).copied())
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

    /// Takes in a vouch for this instance in its newest view.
    pub fn vouched(&mut self, from: &Member, until_ms: u64) {
        let entry = self.received.entry(from.clone()).or_default();
        *entry = (*entry).max(until_ms);
    }

    /// Vouches for `member` in `version` unless it is sealed there.
    pub fn vouch(&mut self, member: &Member, version: u64, until_ms: u64) -> Option<u64> {
        let sealed = self.sealed_version(member) >= version;
        if sealed && self.mutation != Some(Mutation::VouchAfterSeal) {
            return None;
        }
        if !sealed {
            let promise = self.given.entry(member.clone()).or_default();
            *promise = (*promise).max(until_ms);
        }
        Some(until_ms)
    }

    /// Notes what a member says of the view that it took up.
    pub fn note_adopted(&mut self, from: &Member, heartbeat: &Heartbeat) {
        let said = Adopted {
            version: heartbeat.view_version,
            older_limit_ms: heartbeat.older_limit_ms,
        };
        if said.version == 0 {
            return;
        }
        let known = self.adopted.entry(from.clone()).or_default();
        if known.version < said.version {
            *known = said;
        }
        if let Some(run) = self.runs.last_mut() {
            settle(run, from, said);
        }
    }

    /// What `member` last said.
    pub fn adopted(&self, member: &Member) -> Adopted {
        self.adopted.get(member).copied().unwrap_or_default()
    }

    /// Ends promises to `member` in `version` and older ones.
    pub fn seal(&mut self, member: &Member, version: u64) -> Seal {
        let sealed = self.sealed.entry(member.clone()).or_default();
        *sealed = (*sealed).max(version);
        let adopted = self.adopted(member);
        Seal {
            view_version: version,
            member: Some(member.into()),
            until_ms: self.given.get(member).copied().unwrap_or(0),
            adopted_version: adopted.version,
            older_limit_ms: adopted.older_limit_ms,
        }
    }

    /// Ends this instance's own admissions beyond its limit, up to `version`.
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

    /// The newest view in which `member` is sealed here.
    pub fn sealed_version(&self, member: &Member) -> u64 {
        self.sealed.get(member).copied().unwrap_or(0)
    }

    /// The newest view in which this instance sealed itself.
    pub fn self_sealed_version(&self) -> u64 {
        self.self_sealed_version
    }

    /// First key time from which on this instance alone may have admitted the
    /// keys that it owns; former owners may have admitted earlier ones.
    pub fn alone_from_ms(&self) -> u64 {
        let settled = self.runs.len() < RUNS_MAX && self.runs.iter().all(|r| r.waiting.is_empty());
        let floor_ms = self.runs.iter().map(|run| run.floor_ms).max();
        match floor_ms.filter(|_| settled) {
            Some(floor_ms) => floor_ms + 1,
            None => u64::MAX,
        }
    }

    /// Whether a key of `issued_ms`, owned here by the view `version`, may start.
    pub fn admission(&self, version: u64, issued_ms: u64) -> Admission {
        let covers = |run: &&Run| (run.first_version..=run.last_version).contains(&version);
        let Some(run) = self.runs.iter().find(covers) else {
            return Admission::TooEarly;
        };
        if issued_ms > self.limit_ms {
            return Admission::Ahead(issued_ms - self.limit_ms);
        }
        if self.mutation == Some(Mutation::NoJoinWait) {
            return Admission::Allowed;
        }
        if !run.waiting.is_empty() {
            return Admission::Waiting;
        }
        match issued_ms <= run.floor_ms {
            true => Admission::TooEarly,
            false => Admission::Allowed,
        }
    }
}

/// Runs remembered; an instance that joins anew more often in the window of
/// keys refuses the keys of the oldest.
const RUNS_MAX: usize = 16;

/// Last of the views from the run's own on that have `me` without a break.
fn last_version(me: &Member, log: &ViewLog, run: &Run) -> u64 {
    let later = log.views().iter();
    later
        .filter(|view| view.version > run.last_version)
        .take_while(|view| view.has(me))
        .last()
        .map_or(run.last_version, |view| view.version)
}

fn new_run(me: &Member, log: &ViewLog, first_version: u64) -> Run {
    let views = log.views();
    let find = |version| views.iter().find(|view| view.version == version);
    let first = find(first_version).into_iter();
    let before = find(first_version - 1);
    let owners = first
        .flat_map(|view| &view.members)
        .filter(|member| *member != me && first_version > 1)
        .filter(|member| before.is_none_or(|view| view.has(member)));
    Run {
        first_version,
        last_version: log.version(),
        waiting: owners.cloned().collect(),
        floor_ms: 0,
    }
}

fn settle(run: &mut Run, member: &Member, said: Adopted) {
    if said.version >= run.first_version && run.waiting.remove(member) {
        run.floor_ms = run.floor_ms.max(said.older_limit_ms);
    }
}

/// Settles the run with all that is known: words of former owners, and views
/// that dropped them.
fn settle_run(run: &mut Run, log: &ViewLog, adopted: &BTreeMap<Member, Adopted>) {
    for (member, said) in adopted {
        settle(run, member, *said);
    }
    let later = log
        .views()
        .iter()
        .filter(|view| view.version > run.first_version);
    for view in later {
        let dropped: Vec<Member> = run
            .waiting
            .iter()
            .filter(|m| !view.has(m))
            .cloned()
            .collect();
        for member in dropped {
            run.waiting.remove(&member);
            run.floor_ms = run.floor_ms.max(view.from_ms.saturating_sub(1));
        }
    }
}
