//! Which pools are vacant, and who claims them in which order.

use std::cmp::Reverse;

use trefoil_schema::dispatch::Node;

use super::peers::LinkState;
use super::{Ownership, Peer, Pool};
use crate::dispatch::limits::{
    CLAIM_STAGGER_MS, OWNER_LOST_TIMEOUT_MS, YIELD_AFTER_MS, YIELD_FACTOR,
};

/// Time for an owner without a link to answer a dial, from when its claim is known.
const NEVER_LINKED_MS: u64 = 700;
/// For so long an instance that the store lists and that is not linked may
/// still come: dials take less.
const LISTED_ONLY_MS: u64 = 800;

/// Candidates that are waited for at the most.
const TURN_MAX: usize = 8;

impl Ownership {
    /// Whether a pool is vacant and this instance's turn to claim it has come.
    pub(super) fn is_due(&mut self, now_ms: u64, name: &str) -> bool {
        if !self.is_vacant(now_ms, &self.pools[name]) {
            if let Some(pool) = self.pools.get_mut(name) {
                pool.vacant_since_ms = None;
            }
            return false;
        }
        let turn = self.turn(now_ms, name);
        let knows_enough = self.store_read || self.reaches_most();
        let Some(pool) = self.pools.get_mut(name) else {
            return false;
        };
        let since_ms = *pool.vacant_since_ms.get_or_insert(now_ms);
        knows_enough && now_ms >= since_ms + turn * CLAIM_STAGGER_MS
    }

    /// Whether a pool has no owner that can be reached and wants to keep it.
    fn is_vacant(&self, now_ms: u64, pool: &Pool) -> bool {
        let Some(owner) = pool.owner() else {
            return true;
        };
        if owner.name == self.me.name {
            // An earlier life of this instance, or one that was outranked.
            return true;
        }
        let Some(peer) = self.peers.get(&owner.name) else {
            return true;
        };
        if peer.node.incarnation > owner.incarnation {
            return true;
        }
        match peer.link {
            LinkState::Up => {
                let same_life = peer.node.incarnation == owner.incarnation;
                peer.leaving || !same_life || pool.yielded && self.is_stronger_than(owner)
            }
            LinkState::Broken if peer.changed_ms >= pool.learned_ms => {
                now_ms >= peer.changed_ms + OWNER_LOST_TIMEOUT_MS
            }
            LinkState::Broken | LinkState::Absent => {
                let since_ms = peer.changed_ms.max(pool.learned_ms).max(self.started_ms);
                now_ms >= since_ms + NEVER_LINKED_MS
            }
        }
    }

    /// How many candidates for a pool come before this instance.
    fn turn(&self, now_ms: u64, name: &str) -> u64 {
        let owner = self.pools[name].owner();
        let owner = owner.map_or("", |node| node.name.as_str());
        let own = self.order(&self.me);
        let before = self.peers.values().filter(|peer| {
            peer.is_candidate(&self.me)
                && self.may_be_up(now_ms, peer)
                && peer.node.name != owner
                && self.order(&peer.node) < own
                && (self.is_full_mesh() || self.watches(&peer.node, name))
        });
        before.take(TURN_MAX).count() as u64
    }

    fn may_be_up(&self, now_ms: u64, peer: &Peer) -> bool {
        // Where not all are linked, the store's list has to do.
        let lost_ms = peer.changed_ms.max(self.started_ms) + LISTED_ONLY_MS;
        peer.is_linked() || (peer.listed && (!self.is_full_mesh() || now_ms < lost_ms))
    }

    /// Place in the order of candidates; smaller ones come first.
    fn order(&self, node: &Node) -> (u64, Reverse<u64>, String) {
        let strain = strain(self.owned_by(&node.name) + 1, node);
        let youngest_first = Reverse(node.incarnation);
        ((strain * 1000.0) as u64, youngest_first, node.name.clone())
    }

    /// Pools of the failure domain that an instance owns.
    fn owned_by(&self, name: &str) -> usize {
        let pools = self.pools.values();
        let owned = pools.filter(|pool| pool.owner().is_some_and(|owner| owner.name == name));
        owned.count()
    }

    /// Yields a pool while another instance is much stronger for it.
    pub(super) fn consider_yielding(&mut self, now_ms: u64, name: &str) {
        let own = strain(self.owned_by(&self.me.name), &self.me);
        let stronger = |peer: &Peer| {
            let strain = strain(self.owned_by(&peer.node.name) + 1, &peer.node);
            peer.is_candidate(&self.me)
                && peer.is_linked()
                && now_ms >= peer.changed_ms + YIELD_AFTER_MS
                && own >= strain * YIELD_FACTOR
        };
        let yielded = self.peers.values().any(stronger);
        if let Some(pool) = self.pools.get_mut(name) {
            pool.yielded = yielded;
        }
    }

    fn is_stronger_than(&self, owner: &Node) -> bool {
        let own = strain(self.owned_by(&self.me.name) + 1, &self.me);
        strain(self.owned_by(&owner.name), owner) >= own * YIELD_FACTOR
    }

    /// Whether most of the instances known, or of the failure domain's, are linked.
    pub(super) fn reaches_most(&self) -> bool {
        let peers = self.judging_peers();
        let most = |own: bool| {
            let domain = &self.me.failure_domain;
            let peers = peers.iter();
            let peers = peers.filter(|peer| !own || peer.node.failure_domain == *domain);
            let (all, linked) = peers.fold((1, 1), |(all, linked), peer| {
                (all + 1, linked + usize::from(peer.is_linked()))
            });
            linked * 2 > all && all > 1
        };
        most(true) || most(false)
    }
}

impl Peer {
    pub(super) fn is_candidate(&self, me: &Node) -> bool {
        self.node.failure_domain == me.failure_domain && !self.leaving
    }
}

/// Pools for each core that an instance has.
fn strain(pools: usize, node: &Node) -> f64 {
    pools as f64 * 1000.0 / node.weight_millicores.max(1) as f64
}
