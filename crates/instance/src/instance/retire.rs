//! Closes links that neither side needs; see [`retirement`].
//!
//! [`retirement`]: trefoil_core::dispatch::retirement

use std::collections::HashSet;

use trefoil_core::dispatch::retirement::Step;
use trefoil_schema::dispatch::Retire;
use trefoil_schema::dispatch::frame::Body;

use super::peers::{LinkDownCause, encode};
use super::*;

impl<P: Store + WorkerClient + 'static> Instance<P> {
    /// Drains links to peers that are no longer desired, and closes those that
    /// neither side needs.
    pub(super) fn retire_links(&self, state: &mut State, now_ms: u64, effects: &mut Effects) {
        if state.ownership.is_full_mesh() {
            return;
        }
        state.drain_undesired(now_ms);
        let mut steps = Vec::new();
        for (&id, link) in &state.peers.links {
            let retirement = &link.retirement;
            let has_jobs = retirement.is_draining() && state.entry.has_jobs_over(id);
            steps.extend(retirement.next_step(has_jobs).map(|step| (id, step)));
        }
        for (id, step) in steps {
            match step {
                Step::Close => self.close_link(state, id, LinkDownCause::Retired, now_ms, effects),
                Step::Offer => state.offer_to_close(id),
            }
        }
    }
}

impl State {
    fn drain_undesired(&mut self, now_ms: u64) {
        let Self {
            ownership,
            peers,
            entry,
            ..
        } = self;
        let desired = ownership.desired_peers().into_iter();
        let desired: HashSet<&str> = desired.map(|node| node.name.as_str()).collect();
        for link in peers.links.values_mut() {
            let is_desired = desired.contains(link.peer.name.as_str());
            link.retirement.update_desired(now_ms, is_desired);
        }
        let links = peers.links.values();
        for link in links.filter(|link| link.retirement.is_draining()) {
            if peers.link_to(&link.peer.name).is_none() {
                entry.stop_delegating_to(&link.peer.name);
            }
        }
    }

    fn offer_to_close(&mut self, id: u64) {
        let Some(link) = self.peers.links.get_mut(&id) else {
            return;
        };
        // A link whose send queue is full is closed by the next heartbeat.
        if link.sender.send(encode(Body::Retire(Retire {}))) {
            link.retirement.on_offer_sent();
        }
    }
}
