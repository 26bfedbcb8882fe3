//! All instances known, of every failure domain.

use std::collections::{BTreeMap, BTreeSet};

use trefoil_schema::peer::{Heartbeat, InstanceState, InstanceSummary};

use super::types::{ListedInstance, MemberStatus, MembershipParams, PeerState};
use crate::time::Now;
use crate::view::Member;

/// What is known of one instance.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub incarnation: u64,
    pub domain: String,
    pub address: String,
    pub leaving: bool,
    pub config_revision: u64,
    /// Time of the newest news of it, own or told.
    pub news_mono_ms: u64,
    /// Time of its newest own heartbeat.
    pub heard_mono_ms: Option<u64>,
}

/// All instances known, by name, each in its newest incarnation.
#[derive(Clone, Debug, Default)]
pub(super) struct Roster {
    peers: BTreeMap<String, Peer>,
    gone: BTreeSet<Member>,
    /// Instances that said themselves that they end, at what time.
    left: BTreeMap<Member, u64>,
    listed: BTreeMap<String, u64>,
    /// When the platform's list was last read.
    list_mono_ms: u64,
    /// Since when each name of interest is missing from the platform's list.
    missing_since: BTreeMap<Member, u64>,
}

impl Roster {
    /// Takes in an instance's own heartbeat.
    pub fn heard(&mut self, now: Now, from: &Member, heartbeat: &Heartbeat) {
        self.gone.remove(from);
        let newest = self.peers.get(&from.name).map(|peer| peer.incarnation);
        if newest.is_some_and(|incarnation| incarnation > from.incarnation) {
            return;
        }
        if heartbeat.state() == InstanceState::Gone {
            self.left.insert(from.clone(), now.mono_ms);
        }
        let peer = self.entry(from, &heartbeat.domain, now);
        if !heartbeat.address.is_empty() {
            peer.address.clone_from(&heartbeat.address);
        }
        peer.leaving = heartbeat.state() != InstanceState::Serving;
        peer.config_revision = peer.config_revision.max(heartbeat.config_revision);
        peer.news_mono_ms = now.mono_ms;
        peer.heard_mono_ms = Some(now.mono_ms);
    }

    /// Takes in what another instance tells of one.
    pub fn told(&mut self, now: Now, summary: &InstanceSummary) {
        let Some(instance) = &summary.instance else {
            return;
        };
        let member = Member::from(instance);
        let newest = self.peers.get(&member.name).map(|peer| peer.incarnation);
        if newest.is_some_and(|incarnation| incarnation > member.incarnation) {
            return;
        }
        let news_mono_ms = now.mono_ms.saturating_sub(summary.age_ms);
        let peer = self.entry(&member, &summary.domain, now);
        if peer.address.is_empty() {
            peer.address.clone_from(&summary.address);
        }
        if news_mono_ms >= peer.news_mono_ms || peer.heard_mono_ms.is_none() {
            peer.leaving = summary.state() != InstanceState::Serving;
            peer.config_revision = peer.config_revision.max(summary.config_revision);
            peer.news_mono_ms = peer.news_mono_ms.max(news_mono_ms);
        }
    }

    /// Takes in the platform's list; `watched` are members of views in use.
    pub fn listed(&mut self, now: Now, list: &[ListedInstance], watched: &[Member]) {
        self.list_mono_ms = now.mono_ms;
        self.listed = list
            .iter()
            .map(|item| (item.member.name.clone(), item.member.incarnation))
            .collect();
        for item in list {
            let newest = self.peers.get(&item.member.name).map(|p| p.incarnation);
            if newest.is_none_or(|incarnation| incarnation <= item.member.incarnation) {
                let peer = self.entry(&item.member, &item.domain, now);
                peer.address.clone_from(&item.address);
                peer.leaving |= item.leaving;
            }
        }
        let listed = &self.listed;
        let missing = watched
            .iter()
            .filter(|member| !listed.contains_key(&member.name));
        let since = |member: &Member| self.missing_since.get(member).copied();
        self.missing_since = missing
            .map(|member| (member.clone(), since(member).unwrap_or(now.mono_ms)))
            .collect();
        let known = watched.iter().map(|member| member.name.as_str());
        let known: BTreeSet<&str> = known.collect();
        self.peers.retain(|name, peer| {
            let recent = now.mono_ms.saturating_sub(peer.news_mono_ms) < FORGET_MS;
            recent || listed.contains_key(name) || known.contains(name.as_str())
        });
        self.gone.retain(|member| watched.contains(member));
        let recent = |at_ms: u64| now.mono_ms.saturating_sub(at_ms) < FORGET_MS;
        self.left
            .retain(|member, at_ms| recent(*at_ms) || watched.contains(member));
    }

    /// Records that an instance's process has ended.
    pub fn refused(&mut self, member: &Member) {
        self.gone.insert(member.clone());
    }

    fn entry(&mut self, member: &Member, domain: &str, now: Now) -> &mut Peer {
        let fresh = Peer {
            incarnation: member.incarnation,
            domain: domain.to_owned(),
            address: String::new(),
            leaving: false,
            config_revision: 0,
            news_mono_ms: now.mono_ms,
            heard_mono_ms: None,
        };
        let peer = self
            .peers
            .entry(member.name.clone())
            .or_insert_with(|| fresh.clone());
        if peer.incarnation < member.incarnation {
            *peer = fresh;
        }
        peer
    }

    /// Whether the instance's process has certainly ended.
    pub fn certainly_gone(&self, now: Now, member: &Member, params: &MembershipParams) -> bool {
        let silent = !self.heard_within(now, member, params.suspect_ms);
        let newer_listed = self
            .listed
            .get(&member.name)
            .is_some_and(|incarnation| *incarnation > member.incarnation);
        let missing = self.missing_since.get(member).is_some_and(|since| {
            // Counted up to the last list: time without one proves nothing.
            let missing_ms = self.list_mono_ms.saturating_sub(*since);
            missing_ms >= params.list_lag_max_ms
        });
        newer_listed || (silent && (missing || self.gone.contains(member)))
    }

    /// Whether the instance sent a heartbeat within the last `within_ms`.
    pub fn heard_within(&self, now: Now, member: &Member, within_ms: u64) -> bool {
        self.get(member)
            .and_then(|peer| peer.heard_mono_ms)
            .is_some_and(|heard| now.mono_ms.saturating_sub(heard) <= within_ms)
    }

    /// Whether the instance said itself that it ends.
    pub fn has_left(&self, member: &Member) -> bool {
        self.left.contains_key(member)
    }

    /// Whether a later start of the same name was heard of.
    pub fn superseded(&self, member: &Member) -> bool {
        self.peers
            .get(&member.name)
            .is_some_and(|peer| peer.incarnation > member.incarnation)
    }

    /// What is known of `member` in that incarnation.
    pub fn get(&self, member: &Member) -> Option<&Peer> {
        self.peers
            .get(&member.name)
            .filter(|peer| peer.incarnation == member.incarnation)
    }

    /// Last known address of the instance's name; empty where there is none.
    pub fn address(&self, member: &Member) -> String {
        let peer = self.peers.get(&member.name);
        peer.map_or_else(String::new, |peer| peer.address.clone())
    }

    /// All instances, in order of name.
    pub fn members(&self) -> impl Iterator<Item = (Member, &Peer)> {
        self.peers
            .iter()
            .map(|(name, peer)| (Member::new(name, peer.incarnation), peer))
    }

    /// State of an instance.
    pub fn state(&self, now: Now, member: &Member, params: &MembershipParams) -> PeerState {
        if self.certainly_gone(now, member, params) {
            return PeerState::Gone;
        }
        let Some(peer) = self.get(member) else {
            return PeerState::Silent;
        };
        if now.mono_ms.saturating_sub(peer.news_mono_ms) > params.suspect_ms {
            PeerState::Silent
        } else if peer.leaving {
            PeerState::Leaving
        } else {
            PeerState::Serving
        }
    }

    /// All instances with their states.
    pub fn status(&self, now: Now, params: &MembershipParams) -> Vec<MemberStatus> {
        self.members()
            .map(|(member, peer)| MemberStatus {
                state: self.state(now, &member, params),
                member,
                domain: peer.domain.clone(),
                config_revision: peer.config_revision,
                heard_ms: now.mono_ms.saturating_sub(peer.news_mono_ms),
                address: peer.address.clone(),
            })
            .collect()
    }

    /// Up to `count` summaries from a place chosen by `entropy`.
    pub fn sample(&self, now: Now, entropy: u64, count: usize) -> Vec<InstanceSummary> {
        let total = self.peers.len();
        let start = (entropy as usize) % total.max(1);
        let turn = self.members().skip(start).chain(self.members().take(start));
        turn.take(count)
            .map(|(member, peer)| summary(now, &member, peer))
            .collect()
    }
}

/// Time after which an instance that nobody hears of or lists is forgotten.
const FORGET_MS: u64 = 60_000;

fn summary(now: Now, member: &Member, peer: &Peer) -> InstanceSummary {
    let state = match peer.leaving {
        true => InstanceState::Leaving,
        false => InstanceState::Serving,
    };
    InstanceSummary {
        instance: Some(member.into()),
        domain: peer.domain.clone(),
        state: state as i32,
        config_revision: peer.config_revision,
        age_ms: now.mono_ms.saturating_sub(peer.news_mono_ms),
        address: peer.address.clone(),
    }
}
