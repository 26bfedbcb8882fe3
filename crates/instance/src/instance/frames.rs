//! Frames exchanged with other instances over open links.

use trefoil_schema::dispatch::frame::Body;
use trefoil_schema::dispatch::{Beat, Cancel, Delegate, Ended, Frame, OwnedPool};

use trefoil_core::dispatch::entry::RevocationCause;
use trefoil_core::dispatch::link::LinkId;
use trefoil_core::dispatch::owner::JobResult;

use super::peers::encode;
use super::*;
use crate::metrics::JobMemory;

impl<P: Store + WorkerClient + 'static> Instance<P> {
    pub(super) fn on_frame(self: &Rc<Self>, id: u64, frame: Frame) {
        let Some(body) = frame.body else {
            return;
        };
        if let Body::Config(push) = body {
            return self.on_declaration_part(id, &push);
        }
        self.update(|state, now_ms, effects| {
            let Some(link) = state.peers.links.get_mut(&id) else {
                return;
            };
            link.last_heard_ms = now_ms;
            let name = link.peer.name.clone();
            match body {
                Body::Beat(heartbeat) => self.on_heartbeat(state, id, heartbeat, now_ms, effects),
                Body::Delegate(delegate) => {
                    self.on_delegate(state, id, delegate, now_ms, effects);
                }
                Body::Cancel(Cancel { job_id, pool }) => {
                    state.with_owner(&pool, effects, |owner, out| {
                        owner.cancel(now_ms, Origin::Link(id), &job_id, out);
                    });
                }
                Body::Ended(ended) => {
                    let result = JobResult {
                        job_id: ended.job_id,
                        delegation: ended.delegation,
                        outcome: decode_outcome(ended.outcome),
                        retry_after_ms: ended.retry_after_ms,
                    };
                    let pool = ended.pool;
                    let from = PoolOwner { pool, owner: name };
                    let out = &mut effects.entry;
                    state.entry.on_job_ended(now_ms, &from, &result, out);
                }
                Body::ConfigRequest(request) => {
                    self.on_declaration_request(state, id, &request, now_ms);
                }
                Body::PoolWorkers(reported) => {
                    let owner = link.peer.clone();
                    state.on_pool_workers(now_ms, &owner, reported);
                }
                Body::Retire(_) => link.retirement.on_offer_received(),
                Body::Config(_) | Body::Hello(_) => {}
            }
        });
    }

    fn on_delegate(
        &self,
        state: &mut State,
        id: u64,
        delegate: Delegate,
        now_ms: u64,
        effects: &mut Effects,
    ) {
        let result = delegate
            .job
            .as_ref()
            .map(|job| JobResult::new(job, Outcome::Returned));
        let pool = delegate.pool.clone();
        let origin = Origin::Link(id);
        let is_accepted = state.delegate(origin, delegate, now_ms, effects);
        if let Some(result) = result.filter(|_| !is_accepted) {
            let ended = owner::Command::JobEnded {
                origin,
                result,
                reason: "this instance does not own the pool",
            };
            effects.owner.push((pool, ended));
        }
    }

    fn on_heartbeat(
        &self,
        state: &mut State,
        id: u64,
        heartbeat: Beat,
        now_ms: u64,
        effects: &mut Effects,
    ) {
        let Peers {
            links,
            heartbeat_order,
            ..
        } = &mut state.peers;
        let Some(link) = links.get_mut(&id) else {
            return;
        };
        let name = link.peer.name.clone();
        let is_latest = heartbeat_order.observe(&link.peer, heartbeat.number);
        link.owns_pools = !heartbeat.owned.is_empty();
        link.peer_sent_ms = link.peer_sent_ms.max(heartbeat.sent_ms);
        // `echo_ms` is the time of the last heartbeat that the peer got over this link.
        if heartbeat.echo_ms > 0 {
            for owner in state.owners.values_mut() {
                owner.on_origin_heartbeat(Origin::Link(id), heartbeat.echo_ms);
            }
        }
        if !is_latest {
            return;
        }
        state.ownership.set_peer_leaving(&name, heartbeat.leaving);
        let mut lost_pools = state.entry.pools_owned_by(&name);
        for owned in heartbeat.owned {
            lost_pools.retain(|pool| {
                owned
                    .claim
                    .as_ref()
                    .is_none_or(|claim| claim.pool != pool.pool)
            });
            self.learn_owned_pool(state, owned, now_ms, effects);
        }
        for lost in lost_pools {
            let out = &mut effects.entry;
            state
                .entry
                .on_pool_lost(now_ms, &lost, RevocationCause::OwnerChanged, out);
        }
        if state.declared.is_behind(heartbeat.declarations_revision) {
            self.on_newer_declarations_announced(state, id, now_ms);
        } else if let Some(age_ms) = heartbeat.declarations_confirmed_age_ms {
            // The age was determined after the peer had received the heartbeat of `echo_ms`, so
            // that this is not too late, however long the peer's heartbeat was under way.
            let confirmed_ms = heartbeat.echo_ms.checked_sub(age_ms);
            state.declared.on_confirmed(confirmed_ms);
        }
    }

    pub(super) fn learn_owned_pool(
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
        for known in state.owners.values_mut() {
            known.observe_pool_load(now_ms, &claim.pool, &load);
        }
        let owner = claim.owner.as_ref().map_or("", |node| node.name.as_str());
        // Jobs are delegated only over links that are not draining.
        if owner == self.node.name || state.peers.link_to(owner).is_some() {
            let out = &mut effects.entry;
            state.entry.update_pool(now_ms, &claim, load, out);
        }
        let out = &mut effects.ownership;
        state
            .ownership
            .learn_claim(now_ms, claim, owned.yielded, out);
    }

    /// Sends a delegation over a link to the owner, or returns the job to the entry if there
    /// is no link that takes it, or if too many delegations wait to be written.
    pub(super) fn send_delegate(
        &self,
        to: &PoolOwner,
        link: Option<LinkId>,
        delegate: Delegate,
        effects: &mut Effects,
    ) {
        let Some(job) = &delegate.job else {
            return;
        };
        let (job_id, delegation) = (job.id.clone(), job.delegation);
        let refusal = JobResult::new(job, Outcome::NotRun);
        let frame = encode(Body::Delegate(delegate));
        let Some(reservation) = self.queued_delegations.try_reserve(frame.len() as u64) else {
            self.metrics.record_memory_refusal(JobMemory::Links);
            let (now_ms, out) = (self.now_ms(), &mut effects.entry);
            let mut state = self.state.borrow_mut();
            return state.entry.on_job_ended(now_ms, to, &refusal, out);
        };
        let mut state = self.state.borrow_mut();
        let State { peers, entry, .. } = &mut *state;
        let sent = link.filter(|id| {
            let link = peers.links.get(id);
            link.is_some_and(|link| link.sender.send_reserved(frame, Some(reservation)))
        });
        match sent {
            Some(link) => entry.on_delegation_sent(&job_id, delegation, link),
            None => {
                let out = &mut effects.entry;
                entry.on_delegation_not_sent(self.now_ms(), &job_id, to, out);
            }
        }
    }

    /// Cancels a job over the link that it was delegated over. If that link is down, the
    /// owner stops the job anyway.
    pub(super) fn send_cancel(&self, pool: String, link: Option<LinkId>, job_id: String) {
        let state = self.state.borrow();
        if let Some(link) = link.and_then(|id| state.peers.links.get(&id)) {
            link.sender
                .send(encode(Body::Cancel(Cancel { job_id, pool })));
        }
    }

    pub(super) fn send_ended(&self, link: u64, pool: String, result: JobResult, reason: &str) {
        let state = self.state.borrow();
        if let Some(link) = state.peers.links.get(&link) {
            // If the link is down, the peer revokes the job anyway.
            link.sender.send(encode(Body::Ended(Ended {
                job_id: result.job_id,
                outcome: result.outcome.into(),
                reason: reason.to_owned(),
                pool,
                retry_after_ms: result.retry_after_ms,
                delegation: result.delegation,
            })));
        }
    }
}

/// Decodes an outcome; unknown values become `Unspecified`.
fn decode_outcome(number: i32) -> Outcome {
    Outcome::try_from(number).unwrap_or(Outcome::Unspecified)
}
