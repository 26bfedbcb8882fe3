//! Heartbeats: liveness, vouch requests and gossip.

use trefoil_schema::peer::message::Body;
use trefoil_schema::peer::{Heartbeat, InstanceState, ViewRevision, Vouch};

use super::Membership;
use super::types::Command;
use crate::view::{Member, View};

/// Maximum number of instances of other failure domains that are notified of this
/// instance's exit. Others notice that its heartbeats stop.
const EXIT_NOTICES_MAX: usize = 64;

impl Membership {
    pub(super) fn on_tick(&mut self, entropy: u64, commands: &mut Vec<Command>) {
        self.raise_limit(commands);
        self.send_domain_heartbeats_with(Some(entropy), commands);
        self.gossip_to_other_domains(entropy, commands);
        self.read_other_logs(commands);
        self.poll_or_propose(commands);
        self.report_members(commands);
    }

    pub(super) fn send(&self, to: &Member, body: Body, commands: &mut Vec<Command>) {
        commands.push(Command::Send {
            to: to.clone(),
            address: self.roster.address(to),
            body,
        });
    }

    /// Sends heartbeats without summaries to all instances of the failure domain.
    pub(super) fn send_domain_heartbeats(&mut self, commands: &mut Vec<Command>) {
        self.send_domain_heartbeats_with(None, commands);
    }

    /// Sends heartbeats to all instances of the failure domain. If `entropy` is given,
    /// it selects one peer that also receives summaries of other instances.
    fn send_domain_heartbeats_with(&mut self, entropy: Option<u64>, commands: &mut Vec<Command>) {
        let view = self.newest_view().cloned();
        let peers = self.domain_peers(view.as_ref());
        let gossip_target = entropy.map(|entropy| entropy as usize % peers.len().max(1));
        for (index, to) in peers.iter().enumerate() {
            let entropy = entropy.filter(|_| gossip_target == Some(index));
            let heartbeat = self.heartbeat(view.as_ref(), to, entropy);
            self.send(to, Body::Heartbeat(heartbeat), commands);
        }
    }

    /// Known instances of the domain, and all other members of the view.
    fn domain_peers(&self, view: Option<&View>) -> Vec<Member> {
        let known = self.roster.members();
        let mut peers: Vec<Member> = known
            .filter(|(_, peer)| peer.domain == self.domain)
            .map(|(member, _)| member)
            .collect();
        peers.extend(view.into_iter().flat_map(|view| view.members.clone()));
        peers.retain(|member| member.name != self.me.name);
        peers.sort();
        peers.dedup();
        peers
    }

    /// Sends heartbeats with summaries to a few instances of other failure domains.
    fn gossip_to_other_domains(&self, entropy: u64, commands: &mut Vec<Command>) {
        let known = self.roster.members();
        let others: Vec<Member> = known
            .filter(|(_, peer)| peer.domain != self.domain)
            .map(|(member, _)| member)
            .collect();
        let fanout = self.params.gossip_fanout.min(others.len());
        let start = (entropy >> 16) as usize % others.len().max(1);
        let step = 1 + (entropy >> 40) as usize % others.len().max(1);
        let mut targets: Vec<usize> = (0..fanout)
            .map(|number| (start + number * step) % others.len())
            .collect();
        targets.dedup();
        for index in targets {
            let heartbeat = self.heartbeat(None, &others[index], Some(entropy));
            self.send(&others[index], Body::Heartbeat(heartbeat), commands);
        }
    }

    /// Sends heartbeats to up to [`EXIT_NOTICES_MAX`] instances of other failure domains.
    pub(super) fn announce_exit_to_other_domains(&self, commands: &mut Vec<Command>) {
        let known = self.roster.members();
        let others = known.filter(|(_, peer)| peer.domain != self.domain);
        for (to, _) in others.take(EXIT_NOTICES_MAX) {
            let heartbeat = self.heartbeat(None, &to, None);
            self.send(&to, Body::Heartbeat(heartbeat), commands);
        }
    }

    fn heartbeat(&self, view: Option<&View>, to: &Member, entropy: Option<u64>) -> Heartbeat {
        let requests_vouch = view.is_some_and(|view| {
            let both_members = self.in_view(view, &self.me) && view.contains(to);
            both_members && self.vouching.self_sealed_version() < view.version
        });
        let state = match (self.exiting, self.leaving) {
            (true, _) => InstanceState::Gone,
            (false, true) => InstanceState::Leaving,
            (false, false) => InstanceState::Serving,
        };
        let revisions = self.logs.iter().map(|(domain, known)| ViewRevision {
            domain: domain.clone(),
            revision: known.revision,
        });
        Heartbeat {
            domain: self.domain.clone(),
            state: state as i32,
            view_version: view.map_or(0, |view| view.version),
            vouch_until_ms: match requests_vouch {
                true => self.now.wall_ms + self.params.vouch_ahead_ms,
                false => 0,
            },
            config_revision: self.config_revision,
            config_confirmed_age_ms: self.config_confirmed_age_ms,
            queued_tasks: self.queued_tasks,
            running_tasks: self.running_tasks,
            others: entropy.map_or(Vec::new(), |entropy| {
                let count = self.params.gossip_summaries_max;
                self.roster.sample(self.now, entropy, count)
            }),
            older_limit_ms: self.vouching.older_limit_ms(),
            address: self.address.clone(),
            view_revisions: revisions.collect(),
        }
    }

    pub(super) fn on_heartbeat(
        &mut self,
        from: &Member,
        heartbeat: &Heartbeat,
        commands: &mut Vec<Command>,
    ) {
        if from.name == self.me.name {
            return;
        }
        self.roster.record_heartbeat(self.now, from, heartbeat);
        let others = heartbeat.others.iter();
        let others = others.filter(|summary| {
            let instance = summary.instance.as_ref();
            instance.is_some_and(|instance| instance.name != self.me.name)
        });
        for summary in others {
            self.roster.record_summary(self.now, summary);
        }
        if heartbeat.domain == self.domain {
            self.vouching.record_adopted(from, heartbeat);
            self.answer_vouch_request(from, heartbeat, commands);
        }
        self.push_newer_logs(from, heartbeat, commands);
    }

    fn answer_vouch_request(
        &mut self,
        from: &Member,
        heartbeat: &Heartbeat,
        commands: &mut Vec<Command>,
    ) {
        let Some(view) = self.newest_view() else {
            return;
        };
        let version = view.version;
        let same_view = heartbeat.view_version == view.version && self.in_view(view, from);
        if heartbeat.vouch_until_ms == 0 || !same_view {
            return;
        }
        let max_ms = self.now.wall_ms + self.params.gone_clock_bound_ms;
        let until_ms = heartbeat.vouch_until_ms.min(max_ms);
        if let Some(until_ms) = self.vouching.grant_vouch(from, version, until_ms) {
            let vouch = Vouch {
                view_version: version,
                until_ms,
            };
            self.send(from, Body::Vouch(vouch), commands);
        }
    }

    /// Sends the view logs of which the sender of a heartbeat has an older revision.
    fn push_newer_logs(&self, to: &Member, heartbeat: &Heartbeat, commands: &mut Vec<Command>) {
        let peer_revision = |domain: &str| {
            let revisions = heartbeat.view_revisions.iter();
            let mut revisions = revisions.filter(|known| known.domain == domain);
            revisions.next().map_or(0, |known| known.revision)
        };
        for (domain, known) in &self.logs {
            if known.revision > peer_revision(domain) {
                let record = known.log.to_record(domain, known.revision);
                self.send(to, Body::View(record), commands);
            }
        }
    }

    /// Peers of this failure domain that are running and not leaving.
    pub(super) fn serving_peers(&self) -> Vec<Member> {
        let running = self.running_peers().into_iter();
        let leaving = |member: &Member| self.roster.get(member).is_some_and(|peer| peer.leaving);
        running.filter(|member| !leaving(member)).collect()
    }

    /// Peers of this failure domain that sent a heartbeat lately, including leaving ones.
    pub(super) fn running_peers(&self) -> Vec<Member> {
        let suspect_ms = self.params.suspect_ms;
        self.roster
            .members()
            .filter(|(_, peer)| peer.domain == self.domain)
            .map(|(member, _)| member)
            .filter(|member| self.roster.heard_within(self.now, member, suspect_ms))
            .collect()
    }

    /// Reports the running instances of the domain if they have changed.
    ///
    /// A leaving instance keeps its share of the workers until it announces its exit
    /// or its heartbeats stop: it still has jobs to finish, and admits keys until they
    /// are handed over.
    fn report_members(&mut self, commands: &mut Vec<Command>) {
        let mut members = self.running_peers();
        members.retain(|member| !self.roster.has_announced_exit(member));
        members.push(self.me.clone());
        members.sort();
        if members != self.reported_members {
            self.reported_members.clone_from(&members);
            commands.push(Command::MembersChanged(members));
        }
    }
}
