//! When this instance changes its failure domain's record, step by step: read
//! the record afresh, collect seals, compare-and-swap.

use std::collections::BTreeMap;

use trefoil_schema::peer::SealRequest;
use trefoil_schema::peer::message::Body;

use super::change::{Bounds, Seals, Wanted};
use super::types::{Command, Mutation, StoreWrite};
use super::{KnownLog, Membership};
use crate::time::Now;
use crate::view::{Member, ViewLog};

/// Where a change of the record stands.
#[derive(Clone, Debug, Default, PartialEq)]
enum Phase {
    #[default]
    Idle,
    /// The record is being read.
    Reading,
    /// Seals are being collected since then.
    Sealing { since_mono_ms: u64 },
    /// This log is being written.
    Writing { log: ViewLog },
}

/// Progress of this instance's own change of the record.
#[derive(Clone, Debug, Default)]
pub(super) struct Proposer {
    phase: Phase,
    pub seals: Seals,
    /// The change wanted, and since when.
    wanted: Wanted,
    wanted_mono_ms: u64,
    not_before_mono_ms: u64,
    last_read_mono_ms: Option<u64>,
    started_mono_ms: Option<u64>,
    /// The store said that there is no record.
    absent: bool,
    other_reads_mono_ms: BTreeMap<String, u64>,
    /// Since when each member of the newest view is in it, as known here.
    joined_mono_ms: BTreeMap<Member, u64>,
}

impl Proposer {
    /// Starts anew after a newer log.
    pub fn adopted(&mut self, now: Now, log: &ViewLog) {
        self.seals.clear();
        let members = log.newest().map_or(&[][..], |view| &view.members);
        let joined = |member: &Member| self.joined_mono_ms.get(member).copied();
        self.joined_mono_ms = members
            .iter()
            .map(|member| (member.clone(), joined(member).unwrap_or(now.mono_ms)))
            .collect();
    }
}

impl Membership {
    /// Whether a member may be sealed: it leaves, failed, or was replaced.
    pub(super) fn removable(&self, member: &Member) -> bool {
        let heard = self
            .roster
            .heard_within(self.now, member, self.params.suspect_ms);
        let leaving = self.roster.get(member).is_some_and(|peer| peer.leaving);
        let ended = self.roster.superseded(member)
            || self.roster.certainly_gone(self.now, member, &self.params);
        let new = self.known_for_ms(member) < self.params.suspect_ms;
        leaving || ended || (!heard && !new)
    }

    /// How long this instance has been able to hear `member`.
    fn known_for_ms(&self, member: &Member) -> u64 {
        let now_ms = self.now.mono_ms;
        let started = self.proposer.started_mono_ms.unwrap_or(now_ms);
        let joined = self.proposer.joined_mono_ms.get(member).copied();
        now_ms.saturating_sub(started.max(joined.unwrap_or(0)))
    }

    fn wanted(&self) -> Wanted {
        let known = self.own_log();
        let Some(view) = known.log.newest() else {
            return Wanted::default();
        };
        let mine = view.has(&self.me);
        let removable = |member: &&Member| match **member == self.me {
            true => self.leaving,
            false => self.removable(member),
        };
        let remove: Vec<Member> = view.members.iter().filter(removable).cloned().collect();
        if !mine && remove.len() < view.members.len() {
            return Wanted::default();
        }
        let kept = |name: &str| {
            let mut kept = view.members.iter().filter(|m| !remove.contains(m));
            kept.any(|member| member.name == name)
        };
        let live = self.domain_members().into_iter();
        let add = live
            .filter(|member| !view.has(member) && !kept(&member.name))
            .collect();
        let sealed = |member: &Member| self.vouching.sealed_version(member) >= view.version;
        let live = view.members.iter().filter(|m| !remove.contains(m));
        let own_seal = !self.leaving && self.vouching.self_sealed_version() >= view.version;
        let renew = live.into_iter().any(sealed) || own_seal;
        Wanted { remove, add, renew }
    }

    /// How long a change must be wanted before this instance makes it: members
    /// of the view that stay go first, in order of name.
    fn turn_ms(&self, wanted: &Wanted) -> u64 {
        let known = self.own_log();
        let members = known.log.newest().map_or(Vec::new(), |v| v.members.clone());
        let mut order: Vec<Member> = match members.contains(&self.me) {
            true => members,
            false => self.domain_members(),
        };
        order.retain(|member| !wanted.remove.contains(member));
        let rank = order.iter().position(|member| *member == self.me);
        rank.unwrap_or(order.len()) as u64 * self.params.store_retry_ms
    }

    pub(super) fn poll_or_propose(&mut self, commands: &mut Vec<Command>) {
        let now_ms = self.now.mono_ms;
        self.proposer.started_mono_ms.get_or_insert(now_ms);
        let wanted = self.wanted();
        if wanted != self.proposer.wanted {
            let fresh = self.proposer.wanted.is_empty();
            self.proposer.wanted = wanted.clone();
            if fresh {
                self.proposer.wanted_mono_ms = now_ms;
            }
        }
        match self.proposer.phase {
            Phase::Idle if self.due(&wanted) => self.read_own(commands),
            Phase::Sealing { .. } => {
                self.request_seals(commands);
                self.advance(commands);
            }
            _ => {}
        }
    }

    fn due(&self, wanted: &Wanted) -> bool {
        let now_ms = self.now.mono_ms;
        let proposer = &self.proposer;
        if now_ms < proposer.not_before_mono_ms {
            return false;
        }
        let since_read_ms = proposer
            .last_read_mono_ms
            .map_or(u64::MAX, |read| now_ms.saturating_sub(read));
        let wanted_ms = now_ms.saturating_sub(proposer.wanted_mono_ms);
        let change = !wanted.is_empty() && wanted_ms >= self.turn_ms(wanted);
        let poll_ms = match self.in_newest_view() {
            true => self.params.store_poll_ms,
            false => 2 * self.params.store_retry_ms,
        };
        change || proposer.absent || since_read_ms >= poll_ms
    }

    fn read_own(&mut self, commands: &mut Vec<Command>) {
        self.proposer.phase = Phase::Reading;
        commands.push(Command::ReadStore {
            domain: self.domain.clone(),
        });
    }

    /// Reads the records of other failure domains that nobody told of yet.
    pub(super) fn read_other_logs(&mut self, commands: &mut Vec<Command>) {
        let now_ms = self.now.mono_ms;
        let unknown = self.domains.iter();
        let unknown = unknown.filter(|domain| !self.logs.contains_key(*domain));
        for domain in unknown.filter(|domain| **domain != self.domain) {
            let reads = &mut self.proposer.other_reads_mono_ms;
            let last = reads.insert(domain.clone(), now_ms);
            let pause_ms = last.map_or(u64::MAX, |last| now_ms.saturating_sub(last));
            if pause_ms < OTHER_LOG_PAUSE_MS {
                reads.insert(domain.clone(), last.unwrap_or(now_ms));
                continue;
            }
            commands.push(Command::ReadStore {
                domain: domain.clone(),
            });
        }
    }

    pub(super) fn on_store_read(
        &mut self,
        domain: &str,
        log: Option<ViewLog>,
        mod_revision: u64,
        commands: &mut Vec<Command>,
    ) {
        let absent = log.is_none();
        if let Some(log) = log.filter(|log| log.check().is_ok()) {
            self.adopt(domain, log, mod_revision, commands);
        }
        if domain != self.domain || self.proposer.phase != Phase::Reading {
            return;
        }
        self.proposer.last_read_mono_ms = Some(self.now.mono_ms);
        self.proposer.absent = absent;
        self.proposer.phase = Phase::Idle;
        match absent {
            true => self.found(commands),
            false => self.begin_change(commands),
        }
    }

    /// Stores the first view of a new deployment.
    fn found(&mut self, commands: &mut Vec<Command>) {
        let founders = self.domain_members();
        let rank = founders.iter().position(|member| *member == self.me);
        let rank = rank.unwrap_or(founders.len()) as u64;
        let wait_ms = self.params.founding_wait_ms + rank * self.params.store_retry_ms;
        let started = self.proposer.started_mono_ms.unwrap_or(self.now.mono_ms);
        let known = self.logs.contains_key(&self.domain);
        if known || founders.is_empty() || self.now.mono_ms < started + wait_ms {
            self.proposer.not_before_mono_ms = self.now.mono_ms + self.params.heartbeat_ms;
            return;
        }
        self.write(ViewLog::default().with(0, founders), commands);
    }

    fn begin_change(&mut self, commands: &mut Vec<Command>) {
        let wanted = self.wanted();
        if wanted.is_empty() || !self.due(&wanted) {
            return;
        }
        self.proposer.phase = Phase::Sealing {
            since_mono_ms: self.now.mono_ms,
        };
        self.request_seals(commands);
        self.advance(commands);
    }

    fn request_seals(&mut self, commands: &mut Vec<Command>) {
        let known = self.own_log();
        let version = known.log.version();
        let wanted = self.wanted();
        for member in &wanted.remove {
            let seal = match *member == self.me {
                true => self.vouching.seal_self(&self.me, version),
                false => self.vouching.seal(member, version),
            };
            let (member, me) = (member.clone(), self.me.clone());
            self.proposer.seals.insert(member.clone(), me, seal);
            let request = SealRequest {
                view_version: version,
                member: Some((&member).into()),
            };
            for to in self.sealers(&known.log, &member) {
                self.send(&to, Body::SealRequest(request.clone()), commands);
            }
        }
    }

    /// Everyone whose seal of `member` counts in some view.
    fn sealers(&self, log: &ViewLog, member: &Member) -> Vec<Member> {
        let views = log.views().iter().filter(|view| view.has(member));
        let mut sealers: Vec<Member> = views.flat_map(|view| view.members.clone()).collect();
        sealers.sort();
        sealers.dedup();
        sealers.retain(|other| *other != self.me);
        sealers
    }

    /// Writes the next log as soon as it is bounded.
    pub(super) fn advance(&mut self, commands: &mut Vec<Command>) {
        let Phase::Sealing { since_mono_ms } = self.proposer.phase else {
            return;
        };
        let known = self.own_log();
        let wanted = self.wanted();
        let waited_ms = self.now.mono_ms.saturating_sub(since_mono_ms);
        let late = waited_ms >= self.params.seal_wait_ms;
        let bounds = Bounds {
            now: self.now,
            params: &self.params,
            roster: &self.roster,
            log: &known.log,
            seals: &self.proposer.seals,
            by_clock: late,
        };
        let all = wanted
            .remove
            .iter()
            .all(|member| bounds.free_from_ms(member).is_some());
        if !late && (!all || self.awaits_own_seal(&wanted)) {
            return;
        }
        let join_from_ms = self.vouching.highest_ms() + self.params.view_change_margin_ms;
        match bounds.next(&wanted, join_from_ms) {
            Some(next) => {
                let next = self.pruned(next);
                self.write(next, commands);
            }
            None => self.pause(),
        }
    }

    /// Whether a leaving member that can be heard has not sealed itself yet.
    ///
    /// Its own seal names the last key time that it admits. The others' seals
    /// bound only what was vouched for, which may be later: between the two lie
    /// keys that it owns and cannot admit, and that nobody else ever may.
    fn awaits_own_seal(&self, wanted: &Wanted) -> bool {
        wanted.remove.iter().any(|member| {
            let leaving = self.roster.get(member).is_some_and(|peer| peer.leaving);
            let heard = self
                .roster
                .heard_within(self.now, member, self.params.suspect_ms);
            leaving && heard && !self.proposer.seals.has_own(member)
        })
    }

    /// Drops views whose keys are all refused for age and that nobody uses.
    fn pruned(&self, log: ViewLog) -> ViewLog {
        let Some(newest) = log.newest() else {
            return log;
        };
        let adopted = newest
            .members
            .iter()
            .map(|member| match *member == self.me {
                true => log.version() - 1,
                false => self.vouching.adopted(member).version,
            });
        let adopted = adopted.min().unwrap_or(0);
        let old_ms = self.params.key_window_ms + self.params.gone_clock_bound_ms;
        let old_ms = self.now.wall_ms.saturating_sub(old_ms);
        let covers_old = log
            .views()
            .iter()
            .filter(|view| view.version <= adopted && view.from_ms <= old_ms);
        let oldest = covers_old.map(|view| view.version).max();
        oldest.map_or(log.clone(), |version| log.without_before(version))
    }

    fn write(&mut self, log: ViewLog, commands: &mut Vec<Command>) {
        let revision = self.own_log().revision;
        self.proposer.phase = Phase::Writing { log: log.clone() };
        let expected_mod_revision = match self.params.mutation {
            Some(Mutation::NoCompare) => u64::MAX,
            _ => revision,
        };
        commands.push(Command::CompareAndSwap {
            domain: self.domain.clone(),
            log,
            expected_mod_revision,
        });
    }

    pub(super) fn on_store_write(&mut self, outcome: StoreWrite, commands: &mut Vec<Command>) {
        let phase = std::mem::take(&mut self.proposer.phase);
        let Phase::Writing { log } = phase else {
            self.proposer.phase = phase;
            return;
        };
        let mutation = self.params.mutation;
        match outcome {
            StoreWrite::Done { mod_revision } => {
                let domain = self.domain.clone();
                self.proposer.absent = false;
                self.adopt(&domain, log, mod_revision, commands);
            }
            StoreWrite::Unknown if mutation == Some(Mutation::UnknownIsDone) => {
                let domain = self.domain.clone();
                let KnownLog { revision, .. } = self.own_log();
                self.adopt(&domain, log, revision + 1, commands);
            }
            StoreWrite::Unknown if mutation == Some(Mutation::UnknownIsFailure) => {
                self.write(log, commands);
            }
            StoreWrite::Conflict | StoreWrite::Unknown => self.read_own(commands),
        }
    }

    pub(super) fn on_store_unreachable(&mut self, domain: &str) {
        if domain == self.domain && self.proposer.phase == Phase::Reading {
            self.pause();
        }
    }

    fn pause(&mut self) {
        self.proposer.phase = Phase::Idle;
        self.proposer.not_before_mono_ms = self.now.mono_ms + self.params.store_retry_ms;
    }
}

/// Pause between reads of another failure domain's record.
const OTHER_LOG_PAUSE_MS: u64 = 2_000;
