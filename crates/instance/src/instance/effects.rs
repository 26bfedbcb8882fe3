//! Execution of the dispatch logic's commands, after the state's borrow has ended.
//!
//! Commands that concern this instance itself produce further commands. All are
//! executed in order before the event that caused them returns.

use std::collections::VecDeque;

use trefoil_core::dispatch::entry::RevocationCause;
use trefoil_core::dispatch::owner::{LogEvent, LogTopic};
use trefoil_core::dispatch::ownership::{Predecessor, Roster, holder_of};

use super::*;

/// Commands collected while the state is borrowed.
#[derive(Default)]
pub(super) struct Effects {
    pub(super) entry: Vec<entry::Command>,
    pub(super) owner: Vec<(String, owner::Command)>,
    pub(super) ownership: Vec<ownership::Command>,
}

enum Effect {
    Entry(entry::Command),
    Owner(String, owner::Command),
    Ownership(ownership::Command),
}

impl<P: Store + WorkerClient + 'static> Instance<P> {
    pub(super) fn execute(self: &Rc<Self>, effects: Effects) {
        let mut queue = VecDeque::new();
        enqueue(&mut queue, effects);
        while let Some(effect) = queue.pop_front() {
            let more = match effect {
                Effect::Entry(command) => self.execute_entry_command(command),
                Effect::Owner(pool, command) => self.execute_owner_command(pool, command),
                Effect::Ownership(command) => self.execute_ownership_command(command),
            };
            enqueue(&mut queue, more);
        }
    }

    fn execute_entry_command(self: &Rc<Self>, command: entry::Command) -> Effects {
        let mut effects = Effects::default();
        let now_ms = self.now_ms();
        match command {
            entry::Command::Answer { request_id, answer } => {
                let request = self.state.borrow_mut().pending_requests.remove(&request_id);
                if let Some(request) = request {
                    // The caller may just have disconnected.
                    let _ = request.send(answer);
                }
            }
            entry::Command::Delegate {
                to,
                spec,
                last_heard_ms,
                unsafe_for_ms,
                unsafe_holder,
            } => {
                let link = self.state.borrow().peers.link_to(&to.owner);
                info!(self.log, #WORK_TAG, "delegated"; "job" => &spec.id, "pool" => &to.pool,
                    "owner" => &to.owner, "link" => link, "age_ms" => spec.age_ms,
                    "last_heard_ms" => last_heard_ms, "unsafe_for_ms" => unsafe_for_ms);
                let delegate = Delegate {
                    job: Some(spec),
                    unsafe_for_ms,
                    unsafe_holder,
                    pool: to.pool.clone(),
                };
                if to.owner != self.node.name {
                    self.send_delegate(&to, link, delegate, &mut effects);
                    return effects;
                }
                let mut state = self.state.borrow_mut();
                if !state.delegate(Origin::Local, delegate, now_ms, &mut effects) {
                    let out = &mut effects.entry;
                    state
                        .entry
                        .on_pool_lost(now_ms, &to, RevocationCause::OwnerChanged, out);
                }
            }
            entry::Command::Revoked {
                job_id,
                from,
                link,
                cause,
            } => {
                info!(self.log, #WORK_TAG, "delegation revoked"; "job" => job_id,
                    "pool" => from.pool, "owner" => from.owner, "link" => link, "cause" => ?cause);
                // Unless the owner is out of reach, the next one has written its claim by
                // now, and may not be linked.
                let is_handed_over = cause != RevocationCause::LinkLost;
                if is_handed_over && !self.state.borrow().ownership.is_full_mesh() {
                    self.store_read_requested.notify_waiters();
                }
            }
            entry::Command::StaleResult {
                from,
                result,
                delegation,
            } => {
                self.metrics.stale_results.inc();
                warn!(self.log, #WORK_TAG, "result of an earlier delegation ignored";
                    "job" => result.job_id, "pool" => from.pool, "owner" => from.owner,
                    "outcome" => ?result.outcome, "delegation" => result.delegation,
                    "current_delegation" => delegation);
            }
            entry::Command::Cancel { to, link, job_id } => {
                if to.owner != self.node.name {
                    self.send_cancel(to.pool, link, job_id);
                    return effects;
                }
                let mut state = self.state.borrow_mut();
                state.with_owner(&to.pool, &mut effects, |owner, out| {
                    owner.cancel(now_ms, Origin::Local, &job_id, out);
                });
            }
        }
        effects
    }

    fn execute_owner_command(self: &Rc<Self>, pool: String, command: owner::Command) -> Effects {
        let mut effects = Effects::default();
        match command {
            owner::Command::Start(order) => self.send_start(pool, order),
            owner::Command::Stop(order) => self.send_stop(pool, order),
            owner::Command::Renew(order) => self.send_renew(pool, order),
            owner::Command::JobEnded {
                origin,
                result,
                reason,
            } => {
                info!(self.log, #WORK_TAG, "job ended"; "job" => &result.job_id, "pool" => &pool,
                    "outcome" => ?result.outcome, "reason" => reason,
                    "retry_after_ms" => result.retry_after_ms);
                match origin {
                    Origin::Local => {
                        let owner = self.node.name.clone();
                        let from = PoolOwner { pool, owner };
                        let out = &mut effects.entry;
                        let mut state = self.state.borrow_mut();
                        state.entry.on_job_ended(self.now_ms(), &from, &result, out);
                    }
                    Origin::Link(link) => self.send_ended(link, pool, result, reason),
                }
            }
            owner::Command::Superseded => {
                let mut state = self.state.borrow_mut();
                let out = &mut effects.ownership;
                state.ownership.on_superseded(self.now_ms(), &pool, out);
                self.store_read_requested.notify_waiters();
            }
            owner::Command::Log(event) => self.log_event(&pool, event),
        }
        effects
    }

    fn log_event(&self, pool: &str, event: LogEvent) {
        match event.topic {
            LogTopic::Work => info!(self.log, #WORK_TAG, "{}", event.event;
                "task" => event.subject, "worker" => event.worker,
                "last_heard_ms" => event.last_heard_ms, "detail" => event.detail),
            LogTopic::Pool => info!(self.log, "{}", event.event;
                "pool" => pool, "detail" => event.detail),
        }
    }

    fn execute_ownership_command(self: &Rc<Self>, command: ownership::Command) -> Effects {
        let mut effects = Effects::default();
        match command {
            ownership::Command::WriteClaim { record, revision } => {
                let claim = &record.claim;
                info!(self.log, "claiming"; "pool" => &claim.pool, "term" => claim.term,
                    "revision" => revision, "workers" => record.roster.as_ref().map(Roster::len));
                self.send_claim(record, revision);
            }
            ownership::Command::Acquired { claim, predecessor } => {
                self.on_acquired(&claim, predecessor, &mut effects);
            }
            ownership::Command::RosterSent { pool, roster } => {
                let mut state = self.state.borrow_mut();
                state.with_owner(&pool, &mut effects, |owner, _| owner.on_roster_sent(roster));
            }
            ownership::Command::RosterStored { pool, roster } => {
                let now_ms = self.now_ms();
                let mut state = self.state.borrow_mut();
                state.with_owner(&pool, &mut effects, |owner, out| {
                    owner.on_roster_stored(now_ms, roster, out);
                });
            }
            ownership::Command::Released(pool) => self.on_released(pool, &mut effects),
            ownership::Command::OwnerChanged(claim) => {
                let owner = claim.owner.as_ref().map_or("", |node| node.name.as_str());
                info!(self.log, "owner changed"; "pool" => &claim.pool,
                    "term" => claim.term, "owner" => owner);
            }
        }
        effects
    }

    fn on_acquired(
        self: &Rc<Self>,
        claim: &Claim,
        predecessor: Option<Predecessor>,
        effects: &mut Effects,
    ) {
        let roster = predecessor.as_ref().map(|known| known.roster.len());
        info!(self.log, "ownership acquired"; "pool" => &claim.pool, "term" => claim.term,
            "workers_of_predecessor" => roster);
        let fence = Fence::new(claim.term, &self.node.name);
        let owner = Owner::new(&claim.pool, fence, unix_ms());
        let mut owner = owner
            .with_predecessor(holder_of(claim), predecessor)
            .with_settings(self.settings.owner_settings());
        owner.await_declarations();
        let mut state = self.state.borrow_mut();
        state.owners.insert(claim.pool.clone(), owner);
        let now_ms = self.now_ms();
        // The failure domain may have been closed before, so no grace period applies.
        state.apply_closure(&claim.pool, now_ms, now_ms, effects);
        match state.worker_records.is_empty() {
            true => state.assign_reported_workers(&claim.pool, now_ms, effects),
            false => state.assign_workers(now_ms, effects),
        }
        drop(state);
        self.store_read_requested.notify_waiters();
        self.send_heartbeats();
        self.dial_pool_users(&claim.pool);
    }

    fn on_released(self: &Rc<Self>, pool: String, effects: &mut Effects) {
        info!(self.log, "ownership released"; "pool" => &pool);
        let now_ms = self.now_ms();
        let mut state = self.state.borrow_mut();
        state.with_owner(&pool, effects, |owner, out| owner.release(now_ms, out));
        state.owners.remove(&pool);
        if state.owners.is_empty() {
            state.worker_records.clear();
        }
        let owner = self.node.name.clone();
        let owned = PoolOwner { pool, owner };
        let out = &mut effects.entry;
        state
            .entry
            .on_pool_lost(now_ms, &owned, RevocationCause::OwnerChanged, out);
        drop(state);
        self.store_read_requested.notify_waiters();
        self.send_heartbeats();
    }
}

fn enqueue(queue: &mut VecDeque<Effect>, effects: Effects) {
    queue.extend(effects.ownership.into_iter().map(Effect::Ownership));
    let owner = effects.owner.into_iter();
    queue.extend(owner.map(|(pool, command)| Effect::Owner(pool, command)));
    queue.extend(effects.entry.into_iter().map(Effect::Entry));
}
