//! The known instances of all failure domains.

use std::collections::{BTreeMap, BTreeSet};

use trefoil_schema::peer::{Heartbeat, InstanceState, InstanceSummary};

use super::types::{ListedInstance, MemberStatus, MembershipParams, PeerState};
use crate::time::Now;
use crate::view::Member;

/// State of one other instance.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub incarnation: u64,
    pub domain: String,
    pub address: String,
    pub leaving: bool,
    pub config_revision: u64,
    /// When the store last confirmed to the instance that its configuration is the newest one.
    pub config_confirmed_mono_ms: Option<u64>,
    /// Time of the latest information, from the instance itself or from others.
    pub updated_mono_ms: u64,
    /// Time of the last heartbeat received from the instance.
    pub heartbeat_mono_ms: Option<u64>,
}

/// The known instances by name, each in its newest incarnation.
#[derive(Clone, Debug, Default)]
pub(super) struct Roster {
    peers: BTreeMap<String, Peer>,
    /// Instances whose hosts refused a connection.
    refused: BTreeSet<Member>,
    /// Instances that announced their exit, with the time of the announcement.
    exiting_mono_ms: BTreeMap<Member, u64>,
    listed_incarnations: BTreeMap<String, u64>,
    /// Time of the last instance list of the platform.
    list_mono_ms: u64,
    /// Watched members whose names are missing from the platform's list, with the time
    /// of the first such list.
    missing_since_mono_ms: BTreeMap<Member, u64>,
}

impl Roster {
    /// Records a heartbeat of an instance.
    pub fn record_heartbeat(&mut self, now: Now, from: &Member, heartbeat: &Heartbeat) {
        self.refused.remove(from);
        let newest = self.peers.get(&from.name).map(|peer| peer.incarnation);
        if newest.is_some_and(|incarnation| incarnation > from.incarnation) {
            return;
        }
        if heartbeat.state() == InstanceState::Gone {
            self.exiting_mono_ms.insert(from.clone(), now.mono_ms);
        }
        let peer = self.entry(from, &heartbeat.domain, now);
        if !heartbeat.address.is_empty() {
            peer.address.clone_from(&heartbeat.address);
        }
        peer.leaving = heartbeat.state() != InstanceState::Serving;
        peer.config_revision = peer.config_revision.max(heartbeat.config_revision);
        let age_ms = heartbeat.config_confirmed_age_ms;
        peer.config_confirmed_mono_ms = age_ms.and_then(|age_ms| now.mono_ms.checked_sub(age_ms));
        peer.updated_mono_ms = now.mono_ms;
        peer.heartbeat_mono_ms = Some(now.mono_ms);
    }

    /// Records information about an instance that another one sent.
    pub fn record_summary(&mut self, now: Now, summary: &InstanceSummary) {
        let Some(instance) = &summary.instance else {
            return;
        };
        let member = Member::from(instance);
        let newest = self.peers.get(&member.name).map(|peer| peer.incarnation);
        if newest.is_some_and(|incarnation| incarnation > member.incarnation) {
            return;
        }
        let updated_mono_ms = now.mono_ms.saturating_sub(summary.age_ms);
        let peer = self.entry(&member, &summary.domain, now);
        if peer.address.is_empty() {
            peer.address.clone_from(&summary.address);
        }
        if updated_mono_ms >= peer.updated_mono_ms || peer.heartbeat_mono_ms.is_none() {
            peer.leaving = summary.state() != InstanceState::Serving;
            peer.config_revision = peer.config_revision.max(summary.config_revision);
            peer.updated_mono_ms = peer.updated_mono_ms.max(updated_mono_ms);
        }
    }

    /// Records the platform's list. `watched` are the members of the views in use.
    pub fn record_list(&mut self, now: Now, list: &[ListedInstance], watched: &[Member]) {
        self.list_mono_ms = now.mono_ms;
        self.listed_incarnations = list
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
        let listed = &self.listed_incarnations;
        let missing = watched
            .iter()
            .filter(|member| !listed.contains_key(&member.name));
        let since = |member: &Member| self.missing_since_mono_ms.get(member).copied();
        self.missing_since_mono_ms = missing
            .map(|member| (member.clone(), since(member).unwrap_or(now.mono_ms)))
            .collect();
        let watched_names = watched.iter().map(|member| member.name.as_str());
        let watched_names: BTreeSet<&str> = watched_names.collect();
        self.peers.retain(|name, peer| {
            let recent = now.mono_ms.saturating_sub(peer.updated_mono_ms) < PEER_EXPIRY_MS;
            recent || listed.contains_key(name) || watched_names.contains(name.as_str())
        });
        self.refused.retain(|member| watched.contains(member));
        let recent = |at_ms: u64| now.mono_ms.saturating_sub(at_ms) < PEER_EXPIRY_MS;
        self.exiting_mono_ms
            .retain(|member, at_ms| recent(*at_ms) || watched.contains(member));
    }

    /// Records that the host of an instance refused a connection.
    pub fn record_refused(&mut self, member: &Member) {
        self.refused.insert(member.clone());
    }

    fn entry(&mut self, member: &Member, domain: &str, now: Now) -> &mut Peer {
        let fresh = Peer {
            incarnation: member.incarnation,
            domain: domain.to_owned(),
            address: String::new(),
            leaving: false,
            config_revision: 0,
            config_confirmed_mono_ms: None,
            updated_mono_ms: now.mono_ms,
            heartbeat_mono_ms: None,
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

    /// Whether the process of the instance is known to have ended.
    pub fn is_confirmed_gone(&self, now: Now, member: &Member, params: &MembershipParams) -> bool {
        let silent = !self.heard_within(now, member, params.suspect_ms);
        let newer_listed = self
            .listed_incarnations
            .get(&member.name)
            .is_some_and(|incarnation| *incarnation > member.incarnation);
        let missing = self.missing_since_mono_ms.get(member).is_some_and(|since| {
            // Only up to the last list: while none is read, the instance may be back.
            let missing_ms = self.list_mono_ms.saturating_sub(*since);
            missing_ms >= params.list_lag_max_ms
        });
        newer_listed || (silent && (missing || self.refused.contains(member)))
    }

    /// Whether the store has confirmed an instance's configuration to it within a time.
    pub fn config_confirmed_within(&self, now: Now, member: &Member, age_max_ms: u64) -> bool {
        let confirmed_ms = self
            .get(member)
            .and_then(|peer| peer.config_confirmed_mono_ms);
        confirmed_ms.is_some_and(|at_ms| now.mono_ms <= at_ms + age_max_ms)
    }

    /// Whether a heartbeat of the instance was received within the last `within_ms`.
    pub fn heard_within(&self, now: Now, member: &Member, within_ms: u64) -> bool {
        self.get(member)
            .and_then(|peer| peer.heartbeat_mono_ms)
            .is_some_and(|heard| now.mono_ms.saturating_sub(heard) <= within_ms)
    }

    /// Whether the instance has announced its exit.
    pub fn has_announced_exit(&self, member: &Member) -> bool {
        self.exiting_mono_ms.contains_key(member)
    }

    /// Whether a newer incarnation of the instance is known.
    pub fn is_superseded(&self, member: &Member) -> bool {
        self.peers
            .get(&member.name)
            .is_some_and(|peer| peer.incarnation > member.incarnation)
    }

    /// State of the instance, if this is its newest known incarnation.
    pub fn get(&self, member: &Member) -> Option<&Peer> {
        self.peers
            .get(&member.name)
            .filter(|peer| peer.incarnation == member.incarnation)
    }

    /// Last known address of any incarnation of the instance, or an empty string.
    pub fn address(&self, member: &Member) -> String {
        let peer = self.peers.get(&member.name);
        peer.map_or_else(String::new, |peer| peer.address.clone())
    }

    /// All instances, sorted by name.
    pub fn members(&self) -> impl Iterator<Item = (Member, &Peer)> {
        self.peers
            .iter()
            .map(|(name, peer)| (Member::new(name, peer.incarnation), peer))
    }

    pub fn state(&self, now: Now, member: &Member, params: &MembershipParams) -> PeerState {
        if self.is_confirmed_gone(now, member, params) {
            return PeerState::Gone;
        }
        let Some(peer) = self.get(member) else {
            return PeerState::Silent;
        };
        if now.mono_ms.saturating_sub(peer.updated_mono_ms) > params.suspect_ms {
            PeerState::Silent
        } else if peer.leaving {
            PeerState::Leaving
        } else {
            PeerState::Serving
        }
    }

    pub fn status(&self, now: Now, params: &MembershipParams) -> Vec<MemberStatus> {
        self.members()
            .map(|(member, peer)| MemberStatus {
                state: self.state(now, &member, params),
                member,
                domain: peer.domain.clone(),
                config_revision: peer.config_revision,
                heard_ms: now.mono_ms.saturating_sub(peer.updated_mono_ms),
                address: peer.address.clone(),
            })
            .collect()
    }

    /// Summaries of up to `count` consecutive instances; `entropy` selects the first.
    pub fn sample(&self, now: Now, entropy: u64, count: usize) -> Vec<InstanceSummary> {
        let total = self.peers.len();
        let start = (entropy as usize) % total.max(1);
        let rotated = self.members().skip(start).chain(self.members().take(start));
        rotated
            .take(count)
            .map(|(member, peer)| summary(now, &member, peer))
            .collect()
    }
}

/// Time after which an instance without news is removed, unless it is listed or watched.
const PEER_EXPIRY_MS: u64 = 60_000;

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
        age_ms: now.mono_ms.saturating_sub(peer.updated_mono_ms),
        address: peer.address.clone(),
    }
}
