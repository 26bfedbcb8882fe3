//! Other instances, known from the store, from links and from introductions by peers.

use trefoil_schema::dispatch::Node;

use super::{Ownership, Pool};

/// State of the link with a peer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum LinkState {
    /// Never opened, or closed gracefully.
    #[default]
    Absent,
    Up,
    /// Lost without a graceful close.
    Broken,
}

/// Another instance.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Peer {
    pub(super) node: Node,
    /// Whether the store lists it.
    pub(super) listed: bool,
    pub(super) link: LinkState,
    /// When `link` last changed.
    pub(super) link_changed_ms: u64,
    pub(super) leaving: bool,
}

impl Peer {
    pub(super) fn is_linked(&self) -> bool {
        self.link == LinkState::Up
    }

    /// Whether it is listed or linked.
    pub(super) fn is_present(&self) -> bool {
        self.listed || self.is_linked()
    }
}

impl Ownership {
    /// All known peers.
    pub fn peers(&self) -> impl Iterator<Item = &Node> {
        self.peers.values().map(|peer| &peer.node)
    }

    /// Rank of this instance by name among the listed instances of the local failure
    /// domain, from 0.
    pub fn rank_in_domain(&self) -> usize {
        let peers = self.peers.values();
        let before = peers.filter(|peer| {
            peer.listed
                && peer.node.failure_domain == self.me.failure_domain
                && peer.node.name < self.me.name
        });
        before.count()
    }

    /// Sets the list of instances in the store.
    pub fn set_listed_instances(&mut self, now_ms: u64, nodes: Vec<Node>) {
        self.has_read_store = true;
        let is_new = |node: &Node| {
            let peer = self.peers.get(&node.name);
            node.name != self.me.name && !peer.is_some_and(|peer| peer.listed)
        };
        self.is_listing_growing = nodes.iter().any(is_new);
        for peer in self.peers.values_mut() {
            peer.listed = false;
        }
        for node in nodes {
            if node.name != self.me.name {
                self.peer_mut(now_ms, &node).listed = true;
            }
        }
        let pools = &self.pools;
        let owns = |name: &str| {
            let mut owners = pools.values().filter_map(Pool::owner);
            owners.any(|owner| owner.name == name)
        };
        self.peers
            .retain(|name, peer| peer.listed || peer.is_linked() || owns(name));
    }

    /// The entry of a peer, which is created or, for a later incarnation, reset.
    pub(super) fn peer_mut(&mut self, now_ms: u64, node: &Node) -> &mut Peer {
        let peer = self.peers.entry(node.name.clone()).or_insert_with(|| Peer {
            link_changed_ms: now_ms,
            ..Peer::default()
        });
        if peer.node.incarnation < node.incarnation {
            peer.node = node.clone();
            peer.leaving = false;
            if peer.link == LinkState::Broken {
                peer.link = LinkState::Absent;
            }
        }
        peer
    }

    /// Adds an instance that a peer introduces.
    pub fn observe_peer(&mut self, now_ms: u64, node: &Node) {
        self.peer_mut(now_ms, node);
    }

    /// Handles a new link with an instance.
    pub fn on_link_up(&mut self, now_ms: u64, node: &Node) {
        let peer = self.peer_mut(now_ms, node);
        peer.node = node.clone();
        peer.link = LinkState::Up;
        peer.leaving = false;
        peer.link_changed_ms = now_ms;
    }

    /// Handles the loss of a link, by which the instance may be lost too.
    pub fn on_link_down(&mut self, now_ms: u64, name: &str) {
        self.set_link(now_ms, name, LinkState::Broken);
    }

    /// Handles the graceful close of a link, which does not concern the instance's liveness.
    pub fn on_link_closed(&mut self, now_ms: u64, name: &str) {
        self.set_link(now_ms, name, LinkState::Absent);
    }

    fn set_link(&mut self, now_ms: u64, name: &str, link: LinkState) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.link = link;
            peer.link_changed_ms = now_ms;
        }
    }

    /// Sets whether an instance is leaving.
    pub fn set_peer_leaving(&mut self, name: &str, leaving: bool) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.leaving = leaving;
        }
    }
}
