//! Heartbeats: liveness, ownership and load, told to every peer.

use trefoil_core::dispatch::limits::{IDLE_HEARTBEAT_MS, IDLE_LINK_TIMEOUT_MS, LINK_TIMEOUT_MS};
use trefoil_schema::dispatch::frame::Body;
use trefoil_schema::dispatch::{Beat, OwnedPool};

use super::peers::{Link, LinkEnd, STORE_FRESH_MS, encode};
use super::*;

impl Link {
    /// Sends a heartbeat; false if the peer does not keep up.
    pub(super) fn beat(&self, beat: &Beat) -> bool {
        let echo_ms = self.peer_sent_ms;
        self.sender.send(encode(Body::Beat(Beat {
            echo_ms,
            ..beat.clone()
        })))
    }
}

impl<E: Store + WorkerClient + 'static> Instance<E> {
    /// What this instance tells every peer now.
    pub(super) fn beat_now(&self, state: &State, now_ms: u64) -> Beat {
        let load_of = |pool: &str| state.owners.get(pool).map(|owner| owner.load(now_ms));
        let owned = state.ownership.own_claims();
        let owned = owned.map(|(claim, yielded)| OwnedPool {
            claim: Some(claim.clone()),
            load: load_of(&claim.pool),
            yielded,
        });
        let read_ms = state.store_read_ms;
        let fresh = read_ms.is_some_and(|read_ms| read_ms + STORE_FRESH_MS > now_ms);
        Beat {
            owned: owned.collect(),
            declarations_revision: state.declared.revision(),
            leaving: state.leaving,
            store_fresh: !state.owners.is_empty() && fresh,
            sent_ms: now_ms,
            echo_ms: 0,
        }
    }

    /// Sends heartbeats, closes silent links, dials missing ones.
    pub(super) fn beat(self: &Rc<Self>) {
        self.change(|state, now_ms, effects| {
            self.close_silent(state, now_ms, effects);
            self.retire_links(state, now_ms, effects);
            let idle_round = !state.ticks.is_multiple_of(IDLE_HEARTBEAT_MS / TICK_MS);
            let own = !state.owners.is_empty();
            let beat = self.beat_now(state, now_ms);
            let mut stuck = Vec::new();
            for (&id, link) in &state.peers.links {
                let due = own || link.owns || !idle_round;
                if due && !link.beat(&beat) {
                    stuck.push(id);
                }
            }
            for id in stuck {
                self.link_down(state, id, LinkEnd::Congested, now_ms, effects);
            }
            for owned in beat.owned {
                self.take_owned(state, owned, now_ms, effects);
            }
        });
        self.dial_missing();
    }

    fn close_silent(&self, state: &mut State, now_ms: u64, effects: &mut Effects) {
        let own = !state.owners.is_empty();
        let silent = |link: &Link| {
            let limit_ms = match own || link.owns {
                true => LINK_TIMEOUT_MS,
                false => IDLE_LINK_TIMEOUT_MS,
            };
            now_ms > link.heard_ms + limit_ms
        };
        let links = state.peers.links.iter();
        let silent = links.filter(|(_, link)| silent(link));
        let ids: Vec<u64> = silent.map(|(&id, _)| id).collect();
        for id in ids {
            self.link_down(state, id, LinkEnd::Silent, now_ms, effects);
        }
    }
}
