//! Heartbeats, which report liveness, owned pools and load to every peer.

use trefoil_core::dispatch::limits::{IDLE_HEARTBEAT_MS, IDLE_LINK_TIMEOUT_MS, LINK_TIMEOUT_MS};
use trefoil_schema::dispatch::frame::Body;
use trefoil_schema::dispatch::{Beat, OwnedPool};

use super::peers::{Link, LinkDownCause, encode};
use super::*;

impl Link {
    /// Sends a heartbeat; returns `false` if the link's send queue is full.
    pub(super) fn send_heartbeat(&self, heartbeat: &Beat) -> bool {
        let echo_ms = self.peer_sent_ms;
        self.sender.send(encode(Body::Beat(Beat {
            echo_ms,
            ..heartbeat.clone()
        })))
    }
}

impl<P: Store + WorkerClient + 'static> Instance<P> {
    /// Builds the heartbeat for all peers; `echo_ms` is set for each link.
    pub(super) fn build_heartbeat(&self, state: &State, now_ms: u64) -> Beat {
        let load_of = |pool: &str| state.owners.get(pool).map(|owner| owner.load(now_ms));
        let owned = state.ownership.own_claims();
        let owned = owned.map(|(claim, yielded)| OwnedPool {
            claim: Some(claim.clone()),
            load: load_of(&claim.pool),
            yielded,
        });
        let number = self.heartbeats_built.get() + 1;
        self.heartbeats_built.set(number);
        Beat {
            number,
            owned: owned.collect(),
            declarations_revision: state.declared.revision(),
            leaving: state.leaving,
            sent_ms: now_ms,
            echo_ms: 0,
            declarations_confirmed_age_ms: state.declared.confirmed_age_ms(now_ms),
        }
    }

    /// Sends heartbeats, closes silent links and dials missing peers.
    pub(super) fn send_heartbeats(self: &Rc<Self>) {
        self.update(|state, now_ms, effects| {
            self.close_silent(state, now_ms, effects);
            self.retire_links(state, now_ms, effects);
            let idle_round = !state.ticks.is_multiple_of(IDLE_HEARTBEAT_MS / TICK_MS);
            let owns_pools = !state.owners.is_empty();
            let heartbeat = self.build_heartbeat(state, now_ms);
            let mut congested = Vec::new();
            for (&id, link) in &state.peers.links {
                let due = owns_pools || link.owns_pools || !idle_round;
                if due && !link.send_heartbeat(&heartbeat) {
                    congested.push(id);
                }
            }
            for id in congested {
                self.close_link(state, id, LinkDownCause::Congested, now_ms, effects);
            }
            for owned in heartbeat.owned {
                self.learn_owned_pool(state, owned, now_ms, effects);
            }
        });
        self.dial_missing();
    }

    fn close_silent(&self, state: &mut State, now_ms: u64, effects: &mut Effects) {
        let owns_pools = !state.owners.is_empty();
        let silent = |link: &Link| {
            let limit_ms = match owns_pools || link.owns_pools {
                true => LINK_TIMEOUT_MS,
                false => IDLE_LINK_TIMEOUT_MS,
            };
            now_ms > link.last_heard_ms + limit_ms
        };
        let links = state.peers.links.iter();
        let silent = links.filter(|(_, link)| silent(link));
        let ids: Vec<u64> = silent.map(|(&id, _)| id).collect();
        for id in ids {
            self.close_link(state, id, LinkDownCause::Silent, now_ms, effects);
        }
    }
}
