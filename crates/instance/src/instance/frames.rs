//! Frames from and to other instances, once a link is up.

use trefoil_schema::dispatch::frame::Body;
use trefoil_schema::dispatch::{
    Beat, Cancel, ConfigPush, ConfigRequest, Delegate, Ended, Frame, OwnedPool,
};

use trefoil_core::dispatch::entry::RevocationCause;
use trefoil_core::dispatch::owner::JobResult;

use super::peers::encode;
use super::*;

/// The store has so long to bring newer declarations before a peer is asked.
const ASK_AFTER_MS: u64 = 300;
/// Pause between two such questions to one peer.
const ASK_AGAIN_MS: u64 = 1000;

impl<E: Store + WorkerClient + 'static> Instance<E> {
    pub(super) fn take_frame(self: &Rc<Self>, id: u64, frame: Frame) {
        let Some(body) = frame.body else {
            return;
        };
        if let Body::Config(push) = body {
            return self.take_declarations(&push);
        }
        self.change(|state, now_ms, effects| {
            let Some(link) = state.peers.links.get_mut(&id) else {
                return;
            };
            link.heard_ms = now_ms;
            let name = link.peer.name.clone();
            match body {
                Body::Beat(beat) => self.take_beat(state, id, beat, now_ms, effects),
                Body::Delegate(delegate) => {
                    self.take_delegate(state, id, delegate, now_ms, effects);
                }
                Body::Cancel(Cancel { job_id, pool }) => {
                    state.with_owner(&pool, effects, |owner, out| {
                        owner.cancel(now_ms, Origin::Link(id), &job_id, out);
                    });
                }
                Body::Ended(ended) => {
                    let result = JobResult {
                        job_id: ended.job_id,
                        outcome: outcome_of(ended.outcome),
                        retry_after_ms: ended.retry_after_ms,
                    };
                    let pool = ended.pool;
                    let from = PoolOwner { pool, owner: name };
                    let out = &mut effects.entry;
                    state.entry.on_job_ended(now_ms, &from, &result, out);
                }
                Body::ConfigRequest(request) => {
                    self.send_declarations(state, id, request.revision);
                }
                Body::PoolWorkers(told) => state.take_workers(told),
                Body::Retire(_) => link.retirement.released_by_peer(),
                Body::Config(_) | Body::Hello(_) => {}
            }
        });
    }

    fn take_delegate(
        &self,
        state: &mut State,
        id: u64,
        delegate: Delegate,
        now_ms: u64,
        effects: &mut Effects,
    ) {
        let job_id = delegate.job.as_ref().map(|job| job.id.clone());
        let pool = delegate.pool.clone();
        let origin = Origin::Link(id);
        if !state.delegate(origin, delegate, now_ms, effects) {
            let result = JobResult {
                job_id: job_id.unwrap_or_default(),
                outcome: Outcome::Returned,
                retry_after_ms: 0,
            };
            let ended = owner::Command::JobEnded {
                origin,
                result,
                reason: "this instance does not own the pool",
            };
            effects.owner.push((pool, ended));
        }
    }

    fn take_beat(
        &self,
        state: &mut State,
        id: u64,
        beat: Beat,
        now_ms: u64,
        effects: &mut Effects,
    ) {
        let Some(link) = state.peers.links.get_mut(&id) else {
            return;
        };
        let name = link.peer.name.clone();
        link.owns = !beat.owned.is_empty();
        link.peer_sent_ms = link.peer_sent_ms.max(beat.sent_ms);
        if beat.store_fresh {
            link.store_fresh_ms = Some(now_ms);
        }
        // What the peer echoes it has got over this very link.
        if beat.echo_ms > 0 {
            for owner in state.owners.values_mut() {
                owner.on_origin_heartbeat(Origin::Link(id), beat.echo_ms);
            }
        }
        state.ownership.set_peer_leaving(&name, beat.leaving);
        let mut known = state.entry.pools_owned_by(&name);
        for owned in beat.owned {
            known.retain(|known| {
                owned
                    .claim
                    .as_ref()
                    .is_none_or(|claim| claim.pool != known.pool)
            });
            self.take_owned(state, owned, now_ms, effects);
        }
        for lost in known {
            let out = &mut effects.entry;
            state
                .entry
                .pool_lost(now_ms, &lost, RevocationCause::OwnerChanged, out);
        }
        if state.declared.is_behind(beat.declarations_revision) {
            self.catch_up(state, id, now_ms);
        }
    }

    pub(super) fn take_owned(
        &self,
        state: &mut State,
        owned: OwnedPool,
        now_ms: u64,
        effects: &mut Effects,
    ) {
        let Some(claim) = owned.claim else {
            return;
        };
        let load = owned.load.unwrap_or_default();
        let owner = claim.owner.as_ref().map_or("", |node| node.name.as_str());
        // Jobs go only to owners with a link that is not being drained.
        if owner == self.me.name || state.peers.link_to(owner).is_some() {
            let out = &mut effects.entry;
            state.entry.update_pool(now_ms, &claim, load, out);
        }
        let out = &mut effects.ownership;
        state
            .ownership
            .learn_claim(now_ms, claim, owned.yielded, out);
    }

    /// A peer has newer declarations: the store is read, and if that does not
    /// bring them, the peer is asked. A large configuration is thus not sent by
    /// every peer that has it.
    fn catch_up(&self, state: &mut State, id: u64, now_ms: u64) {
        let since_ms = *state.declared.behind_since_ms.get_or_insert(now_ms);
        if since_ms == now_ms {
            self.store_poke.notify_waiters();
        }
        let revision = state.declared.revision();
        let Some(link) = state.peers.links.get_mut(&id) else {
            return;
        };
        let asked = link
            .asked_ms
            .is_some_and(|at_ms| now_ms < at_ms + ASK_AGAIN_MS);
        if now_ms >= since_ms + ASK_AFTER_MS && !asked {
            link.asked_ms = Some(now_ms);
            link.sender
                .send(encode(Body::ConfigRequest(ConfigRequest { revision })));
        }
    }

    fn take_declarations(self: &Rc<Self>, push: &ConfigPush) {
        match serde_json::from_slice(&push.body) {
            Ok(declarations) => self.declarations_told(declarations),
            Err(error) => warn!(self.log, "a peer's declarations are unreadable";
                "revision" => push.revision, "error" => %error),
        }
    }

    /// Answers a peer that asked for newer declarations.
    fn send_declarations(&self, state: &State, id: u64, revision: u64) {
        let newer = state.declared.table();
        let newer = newer.filter(|known| known.revision() > revision);
        let (Some(table), Some(link)) = (newer, state.peers.links.get(&id)) else {
            return;
        };
        match serde_json::to_vec(table.declarations()) {
            Ok(body) => {
                link.sender.send(encode(Body::Config(ConfigPush {
                    revision: table.revision(),
                    body: body.into(),
                })));
            }
            Err(error) => warn!(self.log, "cannot encode declarations"; "error" => %error),
        }
    }

    pub(super) fn send_delegate(&self, to: &PoolOwner, delegate: Delegate, effects: &mut Effects) {
        let mut state = self.state.borrow_mut();
        let frame = encode(Body::Delegate(delegate));
        let link = state.peers.link_to(&to.owner);
        let sent = link.is_some_and(|link| link.sender.send(frame));
        if !sent {
            let out = &mut effects.entry;
            state
                .entry
                .pool_lost(self.now_ms(), to, RevocationCause::LinkLost, out);
        }
    }

    pub(super) fn send_cancel(&self, to: &PoolOwner, job_id: String) {
        let state = self.state.borrow();
        let pool = to.pool.clone();
        let cancel = encode(Body::Cancel(Cancel { job_id, pool }));
        // The owner heeds the one that comes over the job's own link. A link that is
        // down cancels everything anyway.
        for link in state.peers.links_to(&to.owner) {
            link.sender.send(cancel.clone());
        }
    }

    pub(super) fn send_ended(&self, link: u64, pool: String, result: JobResult, reason: &str) {
        let state = self.state.borrow();
        if let Some(link) = state.peers.links.get(&link) {
            // A link that is down takes its jobs back anyway.
            link.sender.send(encode(Body::Ended(Ended {
                job_id: result.job_id,
                outcome: result.outcome.into(),
                reason: reason.to_owned(),
                pool,
                retry_after_ms: result.retry_after_ms,
            })));
        }
    }
}

/// How an outcome reads in a frame.
fn outcome_of(number: i32) -> Outcome {
    Outcome::try_from(number).unwrap_or(Outcome::Unspecified)
}
