//! Membership: other instances as the store lists them, as links show them, and as
//! peers introduce them.

use trefoil_schema::dispatch::Node;

use super::{Ownership, Pool};

/// State of the link to another instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum LinkState {
    /// Never opened, or closed because neither side needed it.
    #[default]
    Absent,
    /// Up.
    Up,
    /// Lost without notice.
    Broken,
}

/// What is known of another instance.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Peer {
    pub(super) node: Node,
    /// Whether the store lists it.
    pub(super) listed: bool,
    pub(super) link: LinkState,
    /// Since when `link` has had its value.
    pub(super) changed_ms: u64,
    pub(super) leaving: bool,
}

impl Peer {
    pub(super) fn is_linked(&self) -> bool {
        self.link == LinkState::Up
    }

    /// Whether it is registered or linked.
    pub(super) fn is_present(&self) -> bool {
        self.listed || self.is_linked()
    }
}

impl Ownership {
    /// All other instances known.
    pub fn peers(&self) -> impl Iterator<Item = &Node> {
        self.peers.values().map(|peer| &peer.node)
    }

    /// Instances of the failure domain, as the store lists them, whose names
    /// come before this one's.
    pub fn rank_in_domain(&self) -> usize {
        let peers = self.peers.values();
        let before = peers.filter(|peer| {
            peer.listed
                && peer.node.failure_domain == self.me.failure_domain
                && peer.node.name < self.me.name
        });
        before.count()
    }

    /// Takes in the store's list of instances.
    pub fn set_members(&mut self, now_ms: u64, nodes: Vec<Node>) {
        self.store_read = true;
        let is_new = |node: &Node| {
            let peer = self.peers.get(&node.name);
            node.name != self.me.name && !peer.is_some_and(|peer| peer.listed)
        };
        self.listing_grows = nodes.iter().any(is_new);
        for peer in self.peers.values_mut() {
            peer.listed = false;
        }
        for node in nodes {
            if node.name != self.me.name {
                self.peer(now_ms, &node).listed = true;
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

    /// The entry of an instance; a new start of it is another instance.
    pub(super) fn peer(&mut self, now_ms: u64, node: &Node) -> &mut Peer {
        let peer = self.peers.entry(node.name.clone()).or_insert_with(|| Peer {
            changed_ms: now_ms,
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

    /// Takes in an instance that another one introduces.
    pub fn observe_peer(&mut self, now_ms: u64, node: &Node) {
        self.peer(now_ms, node);
    }

    /// A link to an instance is up.
    pub fn on_link_up(&mut self, now_ms: u64, node: &Node) {
        let peer = self.peer(now_ms, node);
        peer.node = node.clone();
        peer.link = LinkState::Up;
        peer.leaving = false;
        peer.changed_ms = now_ms;
    }

    /// The link to an instance broke, which may mean that the instance is gone.
    pub fn on_link_down(&mut self, now_ms: u64, name: &str) {
        self.set_link(now_ms, name, LinkState::Broken);
    }

    /// The link to an instance was closed by agreement, which says nothing about
    /// the instance.
    pub fn on_link_closed(&mut self, now_ms: u64, name: &str) {
        self.set_link(now_ms, name, LinkState::Absent);
    }

    fn set_link(&mut self, now_ms: u64, name: &str, link: LinkState) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.link = link;
            peer.changed_ms = now_ms;
        }
    }

    /// An instance says whether it is leaving.
    pub fn set_peer_leaving(&mut self, name: &str, leaving: bool) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.leaving = leaving;
        }
    }
}
