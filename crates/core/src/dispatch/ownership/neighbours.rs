//! Which instances link with each other, and which pools an instance watches.
//!
//! In a small deployment all instances are linked with each other. In a larger one the
//! heartbeats of a full mesh would cost too much, so an instance links only with the
//! owners of a few pools: those that it delegates jobs to and whose pools it claims
//! when they are lost. These pools are selected by rendezvous hashing of names, so that
//! every instance knows who watches a pool, and the number of links of an owner does
//! not grow with the deployment.
//!
//! While the store is unavailable, instances that do not watch a pool do not learn of
//! its new owner and use their other pools.

use trefoil_schema::dispatch::Node;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::{Ownership, Peer, pool};

/// Maximum number of peers for a full mesh. With 35 peers an owner exchanges 350 heartbeats
/// per second, which cost a hundredth of a core.
const FULL_MESH_PEERS_MAX: usize = 48;
/// Number of local pools that an instance uses and watches: of 17 pools, each is watched by a
/// quarter of the failure domain's instances.
const LOCAL_POOLS: usize = 4;
/// Number of remote pools that an instance uses.
const REMOTE_POOLS: usize = 2;
/// Number of the strongest instances of a failure domain that watch each pool in
/// addition. Otherwise a pool could be watched by weak instances only.
const STRONG_WATCHERS: usize = 2;
/// Number of peers that an instance links with while it knows no owner. They introduce
/// owners if the store is unavailable.
const BOOTSTRAP_PEERS: usize = 3;

impl Ownership {
    /// Whether all instances are to be linked with each other.
    pub fn is_full_mesh(&self) -> bool {
        self.peers.len() <= FULL_MESH_PEERS_MAX
    }

    /// The instances to link with.
    ///
    /// While the list of instances in the store is growing and no owner is known, there are
    /// none: the deployment is starting, and a partial list must not be taken for a
    /// small deployment.
    pub fn desired_peers(&self) -> Vec<&Node> {
        let all = self.peers.values().map(|peer| &peer.node);
        let knows_owner = self.owners_in_use().flatten().next().is_some();
        let is_small = self.is_full_mesh() && (knows_owner || !self.is_listing_growing);
        if is_small {
            return all.collect();
        }
        if !knows_owner && self.is_listing_growing {
            return Vec::new();
        }
        if !knows_owner {
            let names = self.peers.keys();
            let bootstrap_peers = rendezvous_select(&self.me.name, names, BOOTSTRAP_PEERS);
            return bootstrap_peers
                .into_iter()
                .map(|name| &self.peers[name].node)
                .collect();
        }
        let mut desired: Vec<&Node> = self.owners_in_use().flatten().collect();
        desired.retain(|node| node.name != self.me.name);
        desired.sort_by(|left, right| left.name.cmp(&right.name));
        desired.dedup_by(|left, right| left.name == right.name);
        desired
    }

    /// Instances that are introduced to the other side of a new link: all of them, or all
    /// owners.
    pub fn known_nodes(&self) -> Vec<Node> {
        if self.is_full_mesh() {
            return self.peers.values().map(|peer| peer.node.clone()).collect();
        }
        let claims = self.pools.values().filter_map(|pool| pool.claim.as_ref());
        let claims = claims.chain(self.remote_pools.values().flatten());
        claims.filter_map(|claim| claim.owner.clone()).collect()
    }

    /// Whether every pool that this instance uses has an owner that it is linked with. If
    /// not, the store may have a new one.
    pub fn is_linked_to_owners(&self) -> bool {
        self.is_full_mesh()
            || self.owners_in_use().all(|owner| {
                owner.is_some_and(|owner| {
                    let peer = self.peers.get(&owner.name);
                    owner.name == self.me.name || peer.is_some_and(Peer::is_linked)
                })
            })
    }

    /// Owners of the pools that this instance uses, or for whose next owner its jobs wait;
    /// `None` for a pool without an owner.
    ///
    /// An entry also delegates to other pools of the owners that it is linked with. Their
    /// next owners do not know of it, and do not dial it.
    fn owners_in_use(&self) -> impl Iterator<Item = Option<&Node>> {
        let is_awaited = |name: &str| self.awaited_pools.contains(name);
        let local = self.pools.iter();
        let local = local.filter(move |(name, _)| is_awaited(name) || self.watches(&self.me, name));
        let local = local.map(|(_, pool)| pool.owner());
        let used = rendezvous_select(&self.me.name, self.remote_pools.keys(), REMOTE_POOLS);
        let remote = self.remote_pools.iter();
        let remote =
            remote.filter(move |(name, _)| is_awaited(name) || used.contains(&name.as_str()));
        local.chain(remote.map(|(_, claim)| claim.as_ref()?.owner.as_ref()))
    }

    /// Names of the local pools that this instance uses.
    pub fn local_pools(&self) -> Vec<String> {
        let pools = self.pools.keys();
        let used = pools.filter(|name| self.is_full_mesh() || self.watches(&self.me, name));
        used.cloned().collect()
    }

    /// Whether this instance claims a pool when it is vacant: it watches the pool, or
    /// neither the owner nor any watcher of the pool is present.
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

    /// Whether an instance of the local failure domain watches a local pool.
    pub(super) fn watches(&self, node: &Node, name: &str) -> bool {
        let selected = rendezvous_select(&node.name, self.pools.keys(), LOCAL_POOLS);
        selected.contains(&name) || self.is_strong_watcher(node, name)
    }

    /// Whether an instance is among the strongest ones of the local failure domain for a
    /// pool; ties are broken by a hash.
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
        let better = candidates.filter(|other| rank(other) > own);
        better.take(STRONG_WATCHERS).count() < STRONG_WATCHERS
    }

    /// Instances that use a pool and link with its owner; empty for a full mesh.
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
        let is_local = pool::domain_of(name) == domain;
        if is_local && domain == self.me.failure_domain {
            return self.watches(node, name);
        }
        let count = if is_local { LOCAL_POOLS } else { REMOTE_POOLS };
        let pools = self.pools.keys().chain(self.remote_pools.keys());
        let pools = pools.filter(|pool| (pool::domain_of(pool) == domain) == is_local);
        rendezvous_select(&node.name, pools, count).contains(&name)
    }

    /// Peers of which a majority must be linked for a claim without the store.
    pub(super) fn majority_peers(&self) -> Vec<&Peer> {
        if self.is_full_mesh() {
            return self.peers.values().collect();
        }
        let desired = self.desired_peers();
        let peers = desired.iter().filter_map(|node| self.peers.get(&node.name));
        peers.collect()
    }
}

/// Selects `count` of the names for an instance, by rendezvous hashing.
fn rendezvous_select<'a>(
    instance: &str,
    names: impl Iterator<Item = &'a String>,
    count: usize,
) -> Vec<&'a str> {
    let seed = xxh3_64(instance.as_bytes());
    let mut scored: Vec<(u64, &str)> = names
        .map(|name| (xxh3_64_with_seed(name.as_bytes(), seed), name.as_str()))
        .collect();
    scored.sort_unstable_by(|left, right| right.cmp(left));
    scored
        .into_iter()
        .take(count)
        .map(|(_, name)| name)
        .collect()
}
