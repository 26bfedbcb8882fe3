//! What is known of the other instances: by the store's list, by links, by what
//! they say of each other.

use trefoil_schema::dispatch::Node;

use super::{Ownership, Pool};

/// What is known of another instance.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Peer {
    pub(super) node: Node,
    /// Whether the store lists it.
    pub(super) listed: bool,
    /// Whether the link to it is up.
    pub(super) linked: bool,
    /// Since when it has been as `linked` says.
    pub(super) changed_ms: u64,
    pub(super) leaving: bool,
    /// Whether there ever was a link to this start of it.
    pub(super) was_linked: bool,
}

impl Ownership {
    /// All other instances known.
    pub fn peers(&self) -> impl Iterator<Item = &Node> {
        self.peers.values().map(|peer| &peer.node)
    }

    /// Instances of the failure domain, as the store lists them, whose names
    /// come before this one's.
    pub fn listed_before(&self) -> usize {
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
            .retain(|name, peer| peer.listed || peer.linked || owns(name));
    }

    /// The entry of an instance; a new start of it is another instance.
    pub(super) fn peer(&mut self, now_ms: u64, node: &Node) -> &mut Peer {
        let peer = self.peers.entry(node.name.clone()).or_insert_with(|| Peer {
            changed_ms: now_ms,
            ..Peer::default()
        });
        if peer.node.incarnation < node.incarnation {
            peer.node = node.clone();
            peer.was_linked = false;
            peer.leaving = false;
        }
        peer
    }

    /// Another instance tells of this one: it is worth a dial.
    pub fn know(&mut self, now_ms: u64, node: &Node) {
        self.peer(now_ms, node);
    }

    /// A link to an instance is up.
    pub fn linked(&mut self, now_ms: u64, node: &Node) {
        let peer = self.peer(now_ms, node);
        peer.node = node.clone();
        peer.linked = true;
        peer.was_linked = true;
        peer.leaving = false;
        peer.changed_ms = now_ms;
    }

    /// The link to an instance is down.
    pub fn unlinked(&mut self, now_ms: u64, name: &str) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.linked = false;
            peer.changed_ms = now_ms;
        }
    }

    /// An instance says whether it is leaving.
    pub fn heard(&mut self, name: &str, leaving: bool) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.leaving = leaving;
        }
    }
}
