//! Heartbeats: who is live, what each asks and knows.

use trefoil_schema::peer::message::Body;
use trefoil_schema::peer::{Heartbeat, InstanceState, ViewRevision, Vouch};

use super::Membership;
use super::types::Command;
use crate::view::{Member, View};

/// Most instances of other failure domains told at once that this one ends;
/// the others notice its silence.
const FAREWELLS_MAX: usize = 64;

impl Membership {
    pub(super) fn on_tick(&mut self, entropy: u64, commands: &mut Vec<Command>) {
        self.extend(commands);
        self.tell_domain_with(Some(entropy), commands);
        self.tell_others(entropy, commands);
        self.read_other_logs(commands);
        self.poll_or_propose(commands);
        self.report_members(commands);
    }

    /// Sends a message to an instance.
    pub(super) fn send(&self, to: &Member, body: Body, commands: &mut Vec<Command>) {
        commands.push(Command::Send {
            to: to.clone(),
            address: self.roster.address(to),
            body,
        });
    }

    /// Heartbeats to the failure domain's instances, at once.
    pub(super) fn tell_domain(&mut self, commands: &mut Vec<Command>) {
        self.tell_domain_with(None, commands);
    }

    /// Each period one peer, chosen by `entropy`, is also told of others.
    fn tell_domain_with(&mut self, entropy: Option<u64>, commands: &mut Vec<Command>) {
        let view = self.newest_view().cloned();
        let peers = self.domain_peers(view.as_ref());
        let chosen = entropy.map(|entropy| entropy as usize % peers.len().max(1));
        for (index, to) in peers.iter().enumerate() {
            let entropy = entropy.filter(|_| chosen == Some(index));
            let heartbeat = self.heartbeat(view.as_ref(), to, entropy);
            self.send(to, Body::Heartbeat(heartbeat), commands);
        }
    }

    /// Instances of the domain, and members of the view not heard of otherwise.
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

    /// Heartbeats to a few instances of other failure domains.
    fn tell_others(&self, entropy: u64, commands: &mut Vec<Command>) {
        let known = self.roster.members();
        let others: Vec<Member> = known
            .filter(|(_, peer)| peer.domain != self.domain)
            .map(|(member, _)| member)
            .collect();
        let fanout = self.params.gossip_fanout.min(others.len());
        let start = (entropy >> 16) as usize % others.len().max(1);
        let step = 1 + (entropy >> 40) as usize % others.len().max(1);
        let mut chosen: Vec<usize> = (0..fanout)
            .map(|turn| (start + turn * step) % others.len())
            .collect();
        chosen.dedup();
        for index in chosen {
            let heartbeat = self.heartbeat(None, &others[index], Some(entropy));
            self.send(&others[index], Body::Heartbeat(heartbeat), commands);
        }
    }

    /// Heartbeats to instances of other failure domains, many at once.
    pub(super) fn tell_all_others(&self, commands: &mut Vec<Command>) {
        let known = self.roster.members();
        let others = known.filter(|(_, peer)| peer.domain != self.domain);
        for (to, _) in others.take(FAREWELLS_MAX) {
            let heartbeat = self.heartbeat(None, &to, None);
            self.send(&to, Body::Heartbeat(heartbeat), commands);
        }
    }

    fn heartbeat(&self, view: Option<&View>, to: &Member, entropy: Option<u64>) -> Heartbeat {
        let asks = view.is_some_and(|view| {
            let own = self.in_view(view, &self.me) && view.has(to);
            own && self.vouching.self_sealed_version() < view.version
        });
        let state = match (self.ended, self.leaving) {
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
            vouch_until_ms: match asks {
                true => self.now.wall_ms + self.params.vouch_ahead_ms,
                false => 0,
            },
            config_revision: self.config_revision,
            queued_tasks: self.queued,
            running_tasks: self.running,
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
        self.roster.heard(self.now, from, heartbeat);
        let others = heartbeat.others.iter();
        let others = others.filter(|summary| {
            let instance = summary.instance.as_ref();
            instance.is_some_and(|instance| instance.name != self.me.name)
        });
        for summary in others {
            self.roster.told(self.now, summary);
        }
        if heartbeat.domain == self.domain {
            self.vouching.note_adopted(from, heartbeat);
            self.answer_vouch(from, heartbeat, commands);
        }
        self.push_newer_logs(from, heartbeat, commands);
    }

    fn answer_vouch(&mut self, from: &Member, heartbeat: &Heartbeat, commands: &mut Vec<Command>) {
        let Some(view) = self.newest_view() else {
            return;
        };
        let version = view.version;
        let same = heartbeat.view_version == view.version && self.in_view(view, from);
        if heartbeat.vouch_until_ms == 0 || !same {
            return;
        }
        let own_ms = self.now.wall_ms + self.params.gone_clock_bound_ms;
        let until_ms = heartbeat.vouch_until_ms.min(own_ms);
        if let Some(until_ms) = self.vouching.vouch(from, version, until_ms) {
            let vouch = Vouch {
                view_version: version,
                until_ms,
            };
            self.send(from, Body::Vouch(vouch), commands);
        }
    }

    /// Sends the records that the sender of a heartbeat holds in older form.
    fn push_newer_logs(&self, to: &Member, heartbeat: &Heartbeat, commands: &mut Vec<Command>) {
        let held = |domain: &str| {
            let held = heartbeat.view_revisions.iter();
            let mut held = held.filter(|held| held.domain == domain);
            held.next().map_or(0, |held| held.revision)
        };
        for (domain, known) in &self.logs {
            if known.revision > held(domain) {
                let record = known.log.to_record(domain, known.revision);
                self.send(to, Body::View(record), commands);
            }
        }
    }

    /// Serving peers of this failure domain.
    pub(super) fn live_peers(&self) -> Vec<Member> {
        let heard = self.heard_peers().into_iter();
        let leaving = |member: &Member| self.roster.get(member).is_some_and(|peer| peer.leaving);
        heard.filter(|member| !leaving(member)).collect()
    }

    /// Peers of this failure domain that run, those about to stop among them.
    fn heard_peers(&self) -> Vec<Member> {
        let suspect_ms = self.params.suspect_ms;
        self.roster
            .members()
            .filter(|(_, peer)| peer.domain == self.domain)
            .map(|(member, _)| member)
            .filter(|member| self.roster.heard_within(self.now, member, suspect_ms))
            .collect()
    }

    /// One that leaves still has jobs to finish, and keys of its own to admit
    /// until they are handed over: it keeps its part of the workers until it
    /// is heard no more.
    fn report_members(&mut self, commands: &mut Vec<Command>) {
        let mut members = self.heard_peers();
        members.push(self.me.clone());
        members.sort();
        if members != self.last_members {
            self.last_members.clone_from(&members);
            commands.push(Command::MembersChanged(members));
        }
    }
}
