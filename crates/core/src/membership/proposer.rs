//! Changes of the failure domain's view log by this instance: reads the log, collects
//! seals, and writes the next log with a compare-and-swap.

use std::collections::BTreeMap;

use trefoil_schema::peer::SealRequest;
use trefoil_schema::peer::message::Body;

use super::types::{Command, Mutation, StoreWrite};
use super::view_change::{AdmissionBounds, PendingChange, Seals};
use super::{Membership, StoredLog};
use crate::time::Now;
use crate::view::{Member, ViewLog};

/// Phase of a change of the view log.
#[derive(Clone, Debug, Default, PartialEq)]
enum Phase {
    #[default]
    Idle,
    Reading,
    CollectingSeals {
        since_mono_ms: u64,
    },
    Writing {
        log: ViewLog,
    },
}

/// State of this instance's changes of the view log.
#[derive(Clone, Debug, Default)]
pub(super) struct Proposer {
    phase: Phase,
    pub seals: Seals,
    pending: PendingChange,
    pending_since_mono_ms: u64,
    not_before_mono_ms: u64,
    last_read_mono_ms: Option<u64>,
    started_mono_ms: Option<u64>,
    /// Whether the store has no view log.
    record_missing: bool,
    other_reads_mono_ms: BTreeMap<String, u64>,
    /// When this instance learned that each member of the newest view is in it.
    joined_mono_ms: BTreeMap<Member, u64>,
}

impl Proposer {
    /// Discards the seals of older views after a newer log was adopted.
    pub fn on_adopted(&mut self, now: Now, log: &ViewLog) {
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
    /// Whether a member may be sealed: it is leaving, suspected, gone or restarted.
    pub(super) fn is_removable(&self, member: &Member) -> bool {
        let heard = self
            .roster
            .heard_within(self.now, member, self.params.suspect_ms);
        let leaving = self.roster.get(member).is_some_and(|peer| peer.leaving);
        let ended = self.roster.is_superseded(member)
            || self
                .roster
                .is_confirmed_gone(self.now, member, &self.params);
        let new = self.observed_for_ms(member) < self.params.suspect_ms;
        leaving || ended || (!heard && !new)
    }

    /// How long this instance could have received heartbeats of `member`.
    fn observed_for_ms(&self, member: &Member) -> u64 {
        let now_ms = self.now.mono_ms;
        let started = self.proposer.started_mono_ms.unwrap_or(now_ms);
        let joined = self.proposer.joined_mono_ms.get(member).copied();
        now_ms.saturating_sub(started.max(joined.unwrap_or(0)))
    }

    fn pending_change(&self) -> PendingChange {
        let known = self.own_log();
        let Some(view) = known.log.newest() else {
            return PendingChange::default();
        };
        let is_member = view.contains(&self.me);
        let removable = |member: &&Member| match **member == self.me {
            true => self.leaving,
            false => self.is_removable(member),
        };
        let remove: Vec<Member> = view.members.iter().filter(removable).cloned().collect();
        if !is_member && remove.len() < view.members.len() {
            return PendingChange::default();
        }
        let kept = |name: &str| {
            let mut kept = view.members.iter().filter(|m| !remove.contains(m));
            kept.any(|member| member.name == name)
        };
        let live = self.domain_members().into_iter();
        let add = live
            .filter(|member| !view.contains(member) && !kept(&member.name))
            .collect();
        let sealed = |member: &Member| self.vouching.sealed_version(member) >= view.version;
        let live = view.members.iter().filter(|m| !remove.contains(m));
        let own_seal = !self.leaving && self.vouching.self_sealed_version() >= view.version;
        let renew = live.into_iter().any(sealed) || own_seal;
        PendingChange { remove, add, renew }
    }

    /// How long a change must be pending before this instance makes it. Remaining
    /// members of the view take turns, sorted by name.
    fn proposal_delay_ms(&self, pending: &PendingChange) -> u64 {
        let known = self.own_log();
        let members = known.log.newest().map_or(Vec::new(), |v| v.members.clone());
        let mut order: Vec<Member> = match members.contains(&self.me) {
            true => members,
            false => self.domain_members(),
        };
        order.retain(|member| !pending.remove.contains(member));
        let rank = order.iter().position(|member| *member == self.me);
        rank.unwrap_or(order.len()) as u64 * self.params.store_retry_ms
    }

    pub(super) fn poll_or_propose(&mut self, commands: &mut Vec<Command>) {
        let now_ms = self.now.mono_ms;
        self.proposer.started_mono_ms.get_or_insert(now_ms);
        let pending = self.pending_change();
        if pending != self.proposer.pending {
            let is_first = self.proposer.pending.is_empty();
            self.proposer.pending = pending.clone();
            if is_first {
                self.proposer.pending_since_mono_ms = now_ms;
            }
        }
        match self.proposer.phase {
            Phase::Idle if self.is_read_due(&pending) => self.read_own_record(commands),
            Phase::CollectingSeals { .. } => {
                self.request_seals(commands);
                self.try_write_change(commands);
            }
            _ => {}
        }
    }

    fn is_read_due(&self, pending: &PendingChange) -> bool {
        let now_ms = self.now.mono_ms;
        let proposer = &self.proposer;
        if now_ms < proposer.not_before_mono_ms {
            return false;
        }
        let since_read_ms = proposer
            .last_read_mono_ms
            .map_or(u64::MAX, |read| now_ms.saturating_sub(read));
        let pending_ms = now_ms.saturating_sub(proposer.pending_since_mono_ms);
        let change = !pending.is_empty() && pending_ms >= self.proposal_delay_ms(pending);
        let poll_ms = match self.in_newest_view() {
            true => self.params.store_poll_ms,
            false => 2 * self.params.store_retry_ms,
        };
        change || proposer.record_missing || since_read_ms >= poll_ms
    }

    fn read_own_record(&mut self, commands: &mut Vec<Command>) {
        self.proposer.phase = Phase::Reading;
        commands.push(Command::ReadStore {
            domain: self.domain.clone(),
        });
    }

    /// Reads the view logs of other failure domains that are not known yet.
    pub(super) fn read_other_logs(&mut self, commands: &mut Vec<Command>) {
        let now_ms = self.now.mono_ms;
        let unknown = self.domains.iter();
        let unknown = unknown.filter(|domain| !self.logs.contains_key(*domain));
        for domain in unknown.filter(|domain| **domain != self.domain) {
            let reads = &mut self.proposer.other_reads_mono_ms;
            let last = reads.insert(domain.clone(), now_ms);
            let pause_ms = last.map_or(u64::MAX, |last| now_ms.saturating_sub(last));
            if pause_ms < OTHER_LOG_READ_INTERVAL_MS {
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
        let record_missing = log.is_none();
        if let Some(log) = log.filter(|log| log.check().is_ok()) {
            self.adopt(domain, log, mod_revision, commands);
        }
        if domain != self.domain || self.proposer.phase != Phase::Reading {
            return;
        }
        self.proposer.last_read_mono_ms = Some(self.now.mono_ms);
        self.proposer.record_missing = record_missing;
        self.proposer.phase = Phase::Idle;
        match record_missing {
            true => self.create_first_view(commands),
            false => self.begin_change(commands),
        }
    }

    /// Writes the first view of a new deployment.
    fn create_first_view(&mut self, commands: &mut Vec<Command>) {
        let members = self.domain_members();
        let rank = members.iter().position(|member| *member == self.me);
        let rank = rank.unwrap_or(members.len()) as u64;
        let wait_ms = self.params.bootstrap_wait_ms + rank * self.params.store_retry_ms;
        let started = self.proposer.started_mono_ms.unwrap_or(self.now.mono_ms);
        let known = self.logs.contains_key(&self.domain);
        if known || members.is_empty() || self.now.mono_ms < started + wait_ms {
            self.proposer.not_before_mono_ms = self.now.mono_ms + self.params.heartbeat_ms;
            return;
        }
        self.write_log(ViewLog::default().with_view(0, members), commands);
    }

    fn begin_change(&mut self, commands: &mut Vec<Command>) {
        let pending = self.pending_change();
        if pending.is_empty() || !self.is_read_due(&pending) {
            return;
        }
        self.proposer.phase = Phase::CollectingSeals {
            since_mono_ms: self.now.mono_ms,
        };
        self.request_seals(commands);
        self.try_write_change(commands);
    }

    fn request_seals(&mut self, commands: &mut Vec<Command>) {
        let known = self.own_log();
        let version = known.log.version();
        let pending = self.pending_change();
        for member in &pending.remove {
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

    /// Other members of all views that contain `member`.
    fn sealers(&self, log: &ViewLog, member: &Member) -> Vec<Member> {
        let views = log.views().iter().filter(|view| view.contains(member));
        let mut sealers: Vec<Member> = views.flat_map(|view| view.members.clone()).collect();
        sealers.sort();
        sealers.dedup();
        sealers.retain(|other| *other != self.me);
        sealers
    }

    /// Writes the next log once the admissions of removed members are bounded.
    pub(super) fn try_write_change(&mut self, commands: &mut Vec<Command>) {
        let Phase::CollectingSeals { since_mono_ms } = self.proposer.phase else {
            return;
        };
        let known = self.own_log();
        let pending = self.pending_change();
        let waited_ms = self.now.mono_ms.saturating_sub(since_mono_ms);
        let timed_out = waited_ms >= self.params.seal_wait_ms;
        let bounds = AdmissionBounds {
            now: self.now,
            params: &self.params,
            roster: &self.roster,
            log: &known.log,
            seals: &self.proposer.seals,
            accept_gone: timed_out,
        };
        let all_bounded = pending
            .remove
            .iter()
            .all(|member| bounds.admission_bound_ms(member).is_some());
        if !timed_out && (!all_bounded || self.awaits_self_seal(&pending)) {
            return;
        }
        let join_from_ms = self.vouching.highest_ms() + self.params.view_change_margin_ms;
        match bounds.next_log(&pending, join_from_ms) {
            Some(next) => {
                let next = self.without_unused_views(next);
                self.write_log(next, commands);
            }
            None => self.back_off(),
        }
    }

    /// Whether a leaving member that still sends heartbeats has not sealed itself yet.
    ///
    /// Its own seal contains its admission limit. Seals of others contain the time that
    /// they vouched for, which may be later. Keys between the two would be owned by the
    /// leaving member, which cannot admit them, and no other instance ever could.
    fn awaits_self_seal(&self, pending: &PendingChange) -> bool {
        pending.remove.iter().any(|member| {
            let leaving = self.roster.get(member).is_some_and(|peer| peer.leaving);
            let heard = self
                .roster
                .heard_within(self.now, member, self.params.suspect_ms);
            leaving && heard && !self.proposer.seals.has_self_seal(member)
        })
    }

    /// Removes views that no member uses and whose keys are all too old to be admitted.
    fn without_unused_views(&self, log: ViewLog) -> ViewLog {
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
        let expiry_ms = self.params.key_window_ms + self.params.gone_clock_bound_ms;
        let expired_ms = self.now.wall_ms.saturating_sub(expiry_ms);
        let covers_expired = log
            .views()
            .iter()
            .filter(|view| view.version <= adopted && view.from_ms <= expired_ms);
        let oldest = covers_expired.map(|view| view.version).max();
        oldest.map_or(log.clone(), |version| log.without_before(version))
    }

    fn write_log(&mut self, log: ViewLog, commands: &mut Vec<Command>) {
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
                self.proposer.record_missing = false;
                self.adopt(&domain, log, mod_revision, commands);
            }
            StoreWrite::Unknown if mutation == Some(Mutation::UnknownIsDone) => {
                let domain = self.domain.clone();
                let StoredLog { revision, .. } = self.own_log();
                self.adopt(&domain, log, revision + 1, commands);
            }
            StoreWrite::Unknown if mutation == Some(Mutation::UnknownIsFailure) => {
                self.write_log(log, commands);
            }
            StoreWrite::Conflict | StoreWrite::Unknown => self.read_own_record(commands),
        }
    }

    pub(super) fn on_store_unreachable(&mut self, domain: &str) {
        if domain == self.domain && self.proposer.phase == Phase::Reading {
            self.back_off();
        }
    }

    fn back_off(&mut self) {
        self.proposer.phase = Phase::Idle;
        self.proposer.not_before_mono_ms = self.now.mono_ms + self.params.store_retry_ms;
    }
}

/// Minimum interval between reads of another failure domain's view log.
const OTHER_LOG_READ_INTERVAL_MS: u64 = 2_000;
