//! Vacant pools, and the order in which candidates claim them.

use std::cmp::Reverse;

use trefoil_schema::dispatch::Node;

use super::peers::LinkState;
use super::{Ownership, Peer, Pool};
use crate::dispatch::limits::{
    CLAIM_STAGGER_MS, OWNER_LOST_TIMEOUT_MS, YIELD_AFTER_MS, YIELD_FACTOR,
};

/// Timeout for the first link with an owner, from when its claim is learned.
const OWNER_DIAL_TIMEOUT_MS: u64 = 700;
/// Timeout for a link with a candidate that the store lists; dialing takes less.
const CANDIDATE_DIAL_TIMEOUT_MS: u64 = 800;

/// Maximum number of better candidates that are waited for.
const BETTER_CANDIDATES_MAX: usize = 8;

impl Ownership {
    /// Whether a pool is vacant and it is this instance's turn to claim it.
    pub(super) fn is_own_turn(&mut self, now_ms: u64, name: &str) -> bool {
        if !self.is_vacant(now_ms, &self.pools[name]) {
            if let Some(pool) = self.pools.get_mut(name) {
                pool.vacant_since_ms = None;
            }
            return false;
        }
        let better_candidates = self.better_candidates(now_ms, name);
        let knows_enough = self.has_read_store || self.reaches_majority();
        let Some(pool) = self.pools.get_mut(name) else {
            return false;
        };
        let since_ms = *pool.vacant_since_ms.get_or_insert(now_ms);
        knows_enough && now_ms >= since_ms + better_candidates * CLAIM_STAGGER_MS
    }

    /// Whether a pool has no owner, or one that is lost, leaving or yields it.
    fn is_vacant(&self, now_ms: u64, pool: &Pool) -> bool {
        let Some(owner) = pool.owner() else {
            return true;
        };
        if owner.name == self.me.name {
            // Owned by an earlier incarnation of this instance, or superseded.
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
                let is_same_incarnation = peer.node.incarnation == owner.incarnation;
                peer.leaving || !is_same_incarnation || pool.yielded && self.is_stronger_than(owner)
            }
            LinkState::Broken if peer.link_changed_ms >= pool.learned_ms => {
                now_ms >= peer.link_changed_ms + OWNER_LOST_TIMEOUT_MS
            }
            LinkState::Broken | LinkState::Absent => {
                let since_ms = peer
                    .link_changed_ms
                    .max(pool.learned_ms)
                    .max(self.started_ms);
                now_ms >= since_ms + OWNER_DIAL_TIMEOUT_MS
            }
        }
    }

    /// Number of candidates for a pool that are better than this instance.
    fn better_candidates(&self, now_ms: u64, name: &str) -> u64 {
        let owner = self.pools[name].owner();
        let owner = owner.map_or("", |node| node.name.as_str());
        let own = self.candidate_rank(&self.me);
        let better = self.peers.values().filter(|peer| {
            peer.is_candidate(&self.me)
                && self.may_be_up(now_ms, peer)
                && peer.node.name != owner
                && self.candidate_rank(&peer.node) < own
                && (self.is_full_mesh() || self.watches(&peer.node, name))
        });
        better.take(BETTER_CANDIDATES_MAX).count() as u64
    }

    fn may_be_up(&self, now_ms: u64, peer: &Peer) -> bool {
        // Without a full mesh, the store's list is the only information on most peers.
        let timeout_at_ms = peer.link_changed_ms.max(self.started_ms) + CANDIDATE_DIAL_TIMEOUT_MS;
        peer.is_linked() || (peer.listed && (!self.is_full_mesh() || now_ms < timeout_at_ms))
    }

    /// Rank among candidates; the lowest comes first.
    fn candidate_rank(&self, node: &Node) -> (u64, Reverse<u64>, String) {
        let pools_per_core = pools_per_core(self.owned_by(&node.name) + 1, node);
        let youngest_first = Reverse(node.incarnation);
        (
            (pools_per_core * 1000.0) as u64,
            youngest_first,
            node.name.clone(),
        )
    }

    /// Number of local pools that an instance owns.
    fn owned_by(&self, name: &str) -> usize {
        let pools = self.pools.values();
        let owned = pools.filter(|pool| pool.owner().is_some_and(|owner| owner.name == name));
        owned.count()
    }

    /// Yields a pool while another instance is much stronger.
    pub(super) fn update_yielded(&mut self, now_ms: u64, name: &str) {
        let own = pools_per_core(self.owned_by(&self.me.name), &self.me);
        let stronger = |peer: &Peer| {
            let pools_per_core = pools_per_core(self.owned_by(&peer.node.name) + 1, &peer.node);
            peer.is_candidate(&self.me)
                && peer.is_linked()
                && now_ms >= peer.link_changed_ms + YIELD_AFTER_MS
                && own >= pools_per_core * YIELD_FACTOR
        };
        let yielded = self.peers.values().any(stronger);
        if let Some(pool) = self.pools.get_mut(name) {
            pool.yielded = yielded;
        }
    }

    fn is_stronger_than(&self, owner: &Node) -> bool {
        let own = pools_per_core(self.owned_by(&self.me.name) + 1, &self.me);
        pools_per_core(self.owned_by(&owner.name), owner) >= own * YIELD_FACTOR
    }

    /// Whether a majority of the peers, or of those in the local failure domain, is linked.
    pub(super) fn reaches_majority(&self) -> bool {
        let peers = self.majority_peers();
        let is_majority_linked = |local_only: bool| {
            let domain = &self.me.failure_domain;
            let peers = peers.iter();
            let peers = peers.filter(|peer| !local_only || peer.node.failure_domain == *domain);
            let (all, linked) = peers.fold((1, 1), |(all, linked), peer| {
                (all + 1, linked + usize::from(peer.is_linked()))
            });
            linked * 2 > all && all > 1
        };
        is_majority_linked(true) || is_majority_linked(false)
    }
}

impl Peer {
    pub(super) fn is_candidate(&self, me: &Node) -> bool {
        self.node.failure_domain == me.failure_domain && !self.leaving
    }
}

/// Pools per core of an instance that owns `pools` pools.
fn pools_per_core(pools: usize, node: &Node) -> f64 {
    pools as f64 * 1000.0 / node.weight_millicores.max(1) as f64
}
