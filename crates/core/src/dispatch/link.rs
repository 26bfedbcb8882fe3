//! Links between instances, as the dispatch logic knows them.
//!
//! Two instances have a link for each connection between them: one as a rule, two if
//! both dialed at once, and for a moment more while a link is replaced. Each side
//! notices the end of a link on its own, and frames of one link can overtake those of
//! another. Therefore:
//!
//! * What both sides rely on until a link ends, such as a delegation, belongs to that
//!   link on both sides, and never to the peer.
//! * What an instance tells of itself on all links, such as its pools, belongs to the
//!   peer and is numbered ([`HeartbeatOrder`]).

use std::collections::HashMap;

use trefoil_schema::dispatch::Node;

/// Identifies a link within the process; never reused.
pub type LinkId = u64;

/// The latest heartbeat of each peer, over all links to it.
#[derive(Debug, Default)]
pub struct HeartbeatOrder {
    /// Incarnation and number by name of the peer.
    latest: HashMap<String, (u64, u64)>,
}

impl HeartbeatOrder {
    /// Records a heartbeat; returns `false` if a later one has been received, so that this
    /// one tells an outdated state. Heartbeats without a number count as the latest.
    pub fn observe(&mut self, peer: &Node, number: u64) -> bool {
        let position = (peer.incarnation, number);
        match self.latest.get_mut(&peer.name) {
            Some(latest) if position < *latest => number == 0,
            Some(latest) => {
                *latest = position;
                true
            }
            None => {
                self.latest.insert(peer.name.clone(), position);
                true
            }
        }
    }

    /// Forgets a peer whose last link has ended.
    pub fn forget(&mut self, peer: &str) {
        self.latest.remove(peer);
    }
}
