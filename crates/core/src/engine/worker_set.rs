//! The workers of one service and the slots that this instance may use.

mod loans;

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap, HashSet};
use std::sync::Arc;

use trefoil_schema::settings::{PlacementPolicy, WorkerSettings};

use super::ejection::{Health, Observation, PeerStats};
use super::event::{Worker, WorkerId};
use super::health::WorkerHealth;
use super::placement::pick;
use crate::time::Now;

/// Delay before a slot gained from another instance is used, so that most of
/// that instance's running tasks finish first.
const SHARE_GAIN_DELAY_MS: u64 = 1000;

/// A worker with its slots and placements on this instance.
#[derive(Debug)]
pub(crate) struct WorkerState {
    pub worker: Worker,
    /// Slots assigned to this instance.
    pub share: u32,
    /// Slots of the share lent to other instances.
    lent: u32,
    /// Slots borrowed from other instances' shares.
    borrowed: u32,
    /// Borrowed slots whose loan has expired; they get no new tasks.
    expired_borrowed: u32,
    /// Set while newly gained slots are not used yet.
    delayed_gain: Option<DelayedGain>,
    /// Running placements of this instance.
    pub running: u32,
    health: Health,
    /// The worker's key in the ready set, if it is there.
    ready_key: Option<ReadyKey>,
}

/// An increase of the share that takes effect later.
#[derive(Clone, Copy, Debug)]
struct DelayedGain {
    /// Slots usable until then.
    share_before: u32,
    until_ms: u64,
}

/// A service's declared workers, each with this instance's share of slots.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkerAssignment {
    pub workers: Vec<(WorkerId, Worker, u32)>,
    /// Initial draw counter, different for each instance.
    pub draw_seed: u64,
    /// Whether other instances may still use the slots of workers that are new
    /// to this instance.
    pub joining: bool,
}

/// Order of workers with a free slot: penalty, load and id. The lowest gets the
/// next task.
type ReadyKey = (u8, u32, WorkerId);

#[derive(Debug)]
pub(crate) struct WorkerSet {
    policy: PlacementPolicy,
    settings: WorkerSettings,
    workers: HashMap<WorkerId, WorkerState>,
    ready: BTreeSet<ReadyKey>,
    /// Workers with a share, from which the random policies draw.
    eligible: Vec<WorkerId>,
    timers: BinaryHeap<Reverse<(u64, WorkerId)>>,
    failure_rate_sum: f64,
    ejected: usize,
    slots: u64,
    lent: u64,
    running: u64,
    draw_count: u64,
}

impl WorkerSet {
    pub fn new(policy: PlacementPolicy, settings: WorkerSettings) -> Self {
        Self {
            policy,
            settings,
            workers: HashMap::new(),
            ready: BTreeSet::new(),
            eligible: Vec::new(),
            timers: BinaryHeap::new(),
            failure_rate_sum: 0.0,
            ejected: 0,
            slots: 0,
            lent: 0,
            running: 0,
            draw_count: 0,
        }
    }

    /// Replaces the declared workers and their shares. Workers that are no
    /// longer declared get no new tasks and are removed with their last
    /// placement.
    pub fn replace(&mut self, now_ms: u64, run_log2: f64, assignment: WorkerAssignment) {
        self.draw_count = self.draw_count.max(assignment.draw_seed);
        let declared: HashSet<_> = assignment.workers.iter().map(|(id, _, _)| *id).collect();
        for (id, state) in &mut self.workers {
            if !declared.contains(id) {
                state.share = 0;
                state.worker.leaving = true;
            }
        }
        for (id, worker, share) in assignment.workers {
            let share = match self.policy {
                PlacementPolicy::OwnedSlots => share,
                PlacementPolicy::TwoChoices | PlacementPolicy::Random => worker.assignable_slots(),
            };
            let known = self.workers.contains_key(&id);
            let state = self
                .workers
                .entry(id)
                .or_insert_with(|| WorkerState::new(worker.clone()));
            state.worker = worker;
            let others_may_run = known || assignment.joining;
            state.set_share(
                share,
                others_may_run.then_some(now_ms + SHARE_GAIN_DELAY_MS),
            );
        }
        self.workers.retain(|_, state| !state.is_unused());
        self.recompute_totals(now_ms, run_log2);
    }

    fn recompute_totals(&mut self, now_ms: u64, run_log2: f64) {
        self.ready.clear();
        for state in self.workers.values_mut() {
            state.ready_key = None;
        }
        self.eligible = self
            .workers
            .iter()
            .filter(|(_, state)| state.share > 0)
            .map(|(id, _)| *id)
            .collect();
        self.eligible.sort_unstable();
        let states = self.workers.values();
        self.failure_rate_sum = states.clone().map(|state| state.health.failure_rate).sum();
        self.ejected = states
            .clone()
            .filter(|state| state.health.is_ejected())
            .count();
        self.slots = states.map(|state| u64::from(state.share)).sum();
        let ids: Vec<_> = self.workers.keys().copied().collect();
        for id in ids {
            self.update_ready(now_ms, run_log2, id);
        }
    }

    /// Slots assigned to this instance, including those of ejected workers.
    pub fn slots(&self) -> u64 {
        self.slots
    }

    /// Estimate of the slots of workers that are not ejected.
    pub fn serving_slots(&self) -> f64 {
        let eligible = self.eligible.len().max(1) as f64;
        let serving = (eligible - self.ejected as f64).max(1.0);
        self.slots as f64 * serving / eligible
    }

    /// Number of workers with a share, including ejected ones.
    pub fn eligible_workers(&self) -> usize {
        self.eligible.len()
    }

    /// A worker's health; `None` if this instance uses no slot of it.
    pub fn health(&self, now: Now, run_log2: f64, id: WorkerId) -> Option<WorkerHealth> {
        let state = self.workers.get(&id)?;
        Some(state.health.report(now, run_log2, state.share))
    }

    /// Number of running placements.
    pub fn running(&self) -> u64 {
        self.running
    }

    /// Number of workers ejected or on probation.
    pub fn ejected(&self) -> u64 {
        self.ejected as u64
    }

    /// Selects the worker for the next task, other than `avoid` if possible.
    pub fn choose(&mut self, avoid: Option<WorkerId>) -> Option<WorkerId> {
        if self.ready.is_empty() {
            return None;
        }
        match self.policy {
            PlacementPolicy::OwnedSlots => self.best_ready(avoid),
            PlacementPolicy::TwoChoices => self.choose_random(2, avoid),
            PlacementPolicy::Random => self.choose_random(1, avoid),
        }
    }

    /// The first ready worker. `avoid` is selected only if no other worker is
    /// ready; its backoff after the refusal is over then.
    fn best_ready(&self, avoid: Option<WorkerId>) -> Option<WorkerId> {
        let mut ready = self.ready.iter().map(|(_, _, id)| *id);
        let first = ready.next()?;
        if Some(first) != avoid {
            return Some(first);
        }
        ready.next().or(Some(first))
    }

    /// The least loaded of `choices` randomly drawn ready workers.
    fn choose_random(&mut self, choices: u32, avoid: Option<WorkerId>) -> Option<WorkerId> {
        let mut drawn = Vec::new();
        for _ in 0..choices {
            self.draw_count += 1;
            drawn.extend(pick(self.draw_count, &self.eligible, |id| {
                self.is_ready(id, avoid)
            }));
        }
        drawn.into_iter().min_by_key(|id| self.workers[id].running)
    }

    fn is_ready(&self, id: WorkerId, avoid: Option<WorkerId>) -> bool {
        let ready = self.workers[&id].ready_key.is_some();
        ready && (Some(id) != avoid || self.ready.len() == 1)
    }

    pub fn address(&self, id: WorkerId) -> Option<Arc<str>> {
        let state = self.workers.get(&id)?;
        Some(Arc::clone(&state.worker.address))
    }

    pub fn name(&self, id: WorkerId) -> Option<Arc<str>> {
        let state = self.workers.get(&id)?;
        Some(Arc::clone(&state.worker.name))
    }

    /// Occupies a slot of a worker.
    pub fn start(&mut self, now_ms: u64, run_log2: f64, id: WorkerId) {
        if let Some(state) = self.workers.get_mut(&id) {
            state.running += 1;
            self.running += 1;
        }
        self.update_ready(now_ms, run_log2, id);
    }

    /// Releases a slot and records the observation in the worker's health.
    pub fn finish(&mut self, now_ms: u64, run_log2: f64, id: WorkerId, observation: Observation) {
        let peers = self.peer_stats(id, run_log2);
        let Some(state) = self.workers.get_mut(&id) else {
            return;
        };
        state.running = state.running.saturating_sub(1);
        self.running -= 1;
        let rate_before = state.health.failure_rate;
        let ejected_before = state.health.is_ejected();
        state
            .health
            .record(now_ms, observation, peers, &self.settings);
        self.failure_rate_sum += state.health.failure_rate - rate_before;
        self.ejected += usize::from(state.health.is_ejected());
        self.ejected -= usize::from(ejected_before);
        if state.is_unused() {
            return self.remove_worker(id);
        }
        self.update_ready(now_ms, run_log2, id);
    }

    fn remove_worker(&mut self, id: WorkerId) {
        let Some(state) = self.workers.remove(&id) else {
            return;
        };
        self.failure_rate_sum -= state.health.failure_rate;
        self.ejected -= usize::from(state.health.is_ejected());
    }

    fn peer_stats(&self, id: WorkerId, run_log2: f64) -> PeerStats {
        let own = self.workers.get(&id);
        let own_rate = own.map_or(0.0, |state| state.health.failure_rate);
        let others = self.workers.len().saturating_sub(1).max(1) as f64;
        let share_max = self.settings.eject_share_max_percent as usize;
        PeerStats {
            failure_rate: ((self.failure_rate_sum - own_rate) / others).max(0.0),
            run_log2,
            may_eject: (self.ejected + 1) * 100 <= self.eligible.len() * share_max,
        }
    }

    /// Updates the workers whose backoff, ejection or delay has ended.
    pub fn expire_timers(&mut self, now_ms: u64, run_log2: f64) {
        while let Some(Reverse((due_ms, id))) = self.timers.peek().copied() {
            if due_ms > now_ms {
                return;
            }
            self.timers.pop();
            self.update_ready(now_ms, run_log2, id);
        }
    }

    /// Updates a worker's entry in the ready set and its next timer.
    fn update_ready(&mut self, now_ms: u64, run_log2: f64, id: WorkerId) {
        let Some(state) = self.workers.get_mut(&id) else {
            return;
        };
        let due_ms = [
            state.health.expire_timers(now_ms),
            state.update_delayed_gain(now_ms),
        ];
        if let Some(due_ms) = due_ms.into_iter().flatten().min() {
            state.schedule(due_ms, id, &mut self.timers);
        }
        let ready_key = state.current_ready_key(now_ms, run_log2, id);
        if state.ready_key == ready_key {
            return;
        }
        if let Some(key) = state.ready_key {
            self.ready.remove(&key);
        }
        self.ready.extend(ready_key);
        state.ready_key = ready_key;
    }
}

impl WorkerState {
    fn new(worker: Worker) -> Self {
        Self {
            worker,
            share: 0,
            lent: 0,
            borrowed: 0,
            expired_borrowed: 0,
            delayed_gain: None,
            running: 0,
            health: Health::default(),
            ready_key: None,
        }
    }

    /// Sets the share. Slots gained are usable from `gains_at_ms` on, or
    /// immediately if it is `None`.
    fn set_share(&mut self, share: u32, gains_at_ms: Option<u64>) {
        let usable = self.usable_share();
        self.delayed_gain = match gains_at_ms {
            Some(until_ms) if share > usable => Some(DelayedGain {
                share_before: usable,
                until_ms: self.delayed_gain.map_or(until_ms, |gain| gain.until_ms),
            }),
            _ => None,
        };
        self.share = share;
    }

    /// Ends a delay that is over; returns the end of one that is not.
    fn update_delayed_gain(&mut self, now_ms: u64) -> Option<u64> {
        let until_ms = self.delayed_gain?.until_ms;
        if until_ms > now_ms {
            return Some(until_ms);
        }
        self.delayed_gain = None;
        None
    }

    /// Slots of the share that may be used now.
    fn usable_share(&self) -> u32 {
        match self.delayed_gain {
            Some(gain) => gain.share_before.min(self.share),
            None => self.share,
        }
    }

    fn current_ready_key(&self, now_ms: u64, run_log2: f64, id: WorkerId) -> Option<ReadyKey> {
        let free = self.running < self.health.slots(now_ms, self.usable());
        free.then(|| {
            let load = self.running + self.lent;
            (self.health.penalty(run_log2), load, id)
        })
    }

    /// Slots on which tasks may start, including borrowed ones.
    fn usable(&self) -> u32 {
        match self.worker.leaving {
            true => 0,
            false => (self.usable_share() + self.borrowed)
                .saturating_sub(self.lent + self.expired_borrowed),
        }
    }

    fn is_unused(&self) -> bool {
        self.share + self.lent + self.borrowed + self.running == 0
    }

    fn schedule(
        &mut self,
        due_ms: u64,
        id: WorkerId,
        timers: &mut BinaryHeap<Reverse<(u64, WorkerId)>>,
    ) {
        if self.health.timer_due_ms != due_ms {
            self.health.timer_due_ms = due_ms;
            timers.push(Reverse((due_ms, id)));
        }
    }
}
