//! Which instances link with which, and which pools an instance watches.
//!
//! A small deployment's instances all link with each other. In a larger one
//! that would cost each of them a heartbeat for every other one, so an instance
//! links with the owners of a few pools only: those that it delegates to, and
//! whose ownership it takes over if they go. Which pools these are follows from
//! the names alone (rendezvous hashing), so that everybody knows who else
//! watches a pool, and a pool's owner has about as many links in a deployment
//! of any size.
//!
//! What is given up: while the store is away, instances that did not watch a
//! pool do not learn of its new owner, and use their other pools.

use trefoil_schema::dispatch::Node;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::{Ownership, Peer, pool};

/// Up to so many others, all instances link with all: at 35 an owner spends
/// 350 heartbeats a second on them, a hundredth of a core.
const MESH_MAX: usize = 48;
/// Pools of the own failure domain that an instance uses and watches: a pool
/// of 17 is watched by a quarter of its failure domain's instances.
const HOME_POOLS: usize = 4;
/// Pools of other failure domains that an instance uses.
const REMOTE_POOLS: usize = 2;
/// The strongest instances of a failure domain, of which so many watch each pool
/// besides: a pool that only weak ones happen to watch would have a weak owner.
const STRONG_WATCHERS: usize = 2;
/// Peers that an instance links with while it knows of no owner: any of them can
/// introduce one if the store cannot.
const INTRODUCERS: usize = 3;

impl Ownership {
    /// Whether all instances link with all.
    pub fn is_full_mesh(&self) -> bool {
        self.peers.len() <= MESH_MAX
    }

    /// The instances to link with.
    ///
    /// While a deployment starts, instances register over a second or more. Who
    /// reads the store early must not take the part that it sees for a small
    /// deployment and dial all of it.
    pub fn desired_peers(&self) -> Vec<&Node> {
        let all = self.peers.values().map(|peer| &peer.node);
        let knows_owner = self.used_owners().flatten().next().is_some();
        let is_small = self.is_full_mesh() && (knows_owner || !self.listing_grows);
        if is_small {
            return all.collect();
        }
        if !knows_owner && self.listing_grows {
            return Vec::new();
        }
        if !knows_owner {
            let names = self.peers.keys();
            let introducers = nearest(&self.me.name, names, INTRODUCERS);
            return introducers
                .into_iter()
                .map(|name| &self.peers[name].node)
                .collect();
        }
        let mut desired: Vec<&Node> = self.used_owners().flatten().collect();
        desired.retain(|node| node.name != self.me.name);
        desired.sort_by(|left, right| left.name.cmp(&right.name));
        desired.dedup_by(|left, right| left.name == right.name);
        desired
    }

    /// What a link's other side is told of: all instances, or all owners.
    pub fn known_nodes(&self) -> Vec<Node> {
        if self.is_full_mesh() {
            return self.peers.values().map(|peer| peer.node.clone()).collect();
        }
        let claims = self.pools.values().filter_map(|pool| pool.claim.as_ref());
        let claims = claims.chain(self.remote.values().flatten());
        claims.filter_map(|claim| claim.owner.clone()).collect()
    }

    /// Whether every pool that this instance uses has an owner that it is
    /// linked with. Until then the store may know of a new one.
    pub fn is_linked_to_owners(&self) -> bool {
        self.is_full_mesh()
            || self.used_owners().all(|owner| {
                owner.is_some_and(|owner| {
                    let peer = self.peers.get(&owner.name);
                    owner.name == self.me.name || peer.is_some_and(Peer::is_linked)
                })
            })
    }

    /// Owners of the pools that this instance uses; none where one has none.
    fn used_owners(&self) -> impl Iterator<Item = Option<&Node>> {
        let home = self.pools.iter();
        let home = home.filter(|(name, _)| self.watches(&self.me, name));
        let home = home.map(|(_, pool)| pool.owner());
        let remote = nearest(&self.me.name, self.remote.keys(), REMOTE_POOLS);
        let remote = remote.into_iter();
        home.chain(remote.map(|name| self.remote[name].as_ref()?.owner.as_ref()))
    }

    /// The pools of the failure domain that this instance uses.
    pub fn local_pools(&self) -> Vec<String> {
        let pools = self.pools.keys();
        let watched = pools.filter(|name| self.is_full_mesh() || self.watches(&self.me, name));
        watched.cloned().collect()
    }

    /// Whether this instance claims a pool that is vacant: it watches the pool,
    /// or neither its owner nor an instance that watches it is left.
    pub(super) fn is_responsible_for(&self, name: &str) -> bool {
        if self.is_full_mesh() || self.watches(&self.me, name) {
            return true;
        }
        let owner = self.pools[name].owner();
        let owner = owner.and_then(|owner| self.peers.get(&owner.name));
        if owner.is_some_and(Peer::is_present) {
            return false;
        }
        let mut peers = self.peers.values();
        !peers.any(|peer| {
            peer.is_present() && peer.is_candidate(&self.me) && self.watches(&peer.node, name)
        })
    }

    /// Whether an instance of this failure domain watches a pool of it.
    pub(super) fn watches(&self, node: &Node, name: &str) -> bool {
        let nearest = nearest(&node.name, self.pools.keys(), HOME_POOLS);
        nearest.contains(&name) || self.is_strong_watcher(node, name)
    }

    /// Whether an instance is one of the strongest few of this failure domain that
    /// watch a pool; among equals a hash decides.
    fn is_strong_watcher(&self, node: &Node, name: &str) -> bool {
        let seed = xxh3_64(name.as_bytes());
        let rank = |node: &Node| {
            let draw = xxh3_64_with_seed(node.name.as_bytes(), seed);
            (node.weight_millicores, draw)
        };
        let own = rank(node);
        let peers = self.peers.values();
        let peers = peers.filter(|peer| peer.is_present() && peer.is_candidate(&self.me));
        let candidates = peers.map(|peer| &peer.node).chain([&self.me]);
        let stronger = candidates.filter(|other| rank(other) > own);
        stronger.take(STRONG_WATCHERS).count() < STRONG_WATCHERS
    }

    /// Instances that use a pool, and want a link with its owner.
    pub fn users_of(&self, name: &str) -> Vec<&Node> {
        if self.is_full_mesh() {
            return Vec::new();
        }
        let peers = self.peers.values().filter(|peer| peer.is_present());
        let peers = peers.map(|peer| &peer.node);
        peers.filter(|node| self.uses(node, name)).collect()
    }

    fn uses(&self, node: &Node, name: &str) -> bool {
        let domain = node.failure_domain.as_str();
        let is_home = pool::domain_of(name) == domain;
        if is_home && domain == self.me.failure_domain {
            return self.watches(node, name);
        }
        let count = if is_home { HOME_POOLS } else { REMOTE_POOLS };
        let pools = self.pools.keys().chain(self.remote.keys());
        let pools = pools.filter(|pool| (pool::domain_of(pool) == domain) == is_home);
        nearest(&node.name, pools, count).contains(&name)
    }

    /// Peers by which this instance judges whether it is cut off.
    pub(super) fn judging_peers(&self) -> Vec<&Peer> {
        if self.is_full_mesh() {
            return self.peers.values().collect();
        }
        let desired = self.desired_peers();
        let peers = desired.iter().filter_map(|node| self.peers.get(&node.name));
        peers.collect()
    }
}

/// The few pools that an instance's name is nearest to.
fn nearest<'a>(
    instance: &str,
    pools: impl Iterator<Item = &'a String>,
    count: usize,
) -> Vec<&'a str> {
    let seed = xxh3_64(instance.as_bytes());
    let mut near: Vec<(u64, &str)> = pools
        .map(|name| (xxh3_64_with_seed(name.as_bytes(), seed), name.as_str()))
        .collect();
    near.sort_unstable_by(|left, right| right.cmp(left));
    near.into_iter().take(count).map(|(_, name)| name).collect()
}
