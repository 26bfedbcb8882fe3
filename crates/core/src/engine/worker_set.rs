//! The workers of one service, and which of their slots this instance may use.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use super::event::{Worker, WorkerId};

/// A worker as this instance sees it.
#[derive(Debug)]
pub(crate) struct WorkerState {
    pub worker: Worker,
    /// Slots that this instance may use.
    pub share: u32,
    /// Placements out from here.
    pub running: u32,
    /// Key under which the worker is in the ready set.
    ready_as: Option<ReadyKey>,
}

/// Order among workers with a free slot: the smallest gets the next task.
type ReadyKey = (u32, WorkerId);

/// The workers of one service.
#[derive(Debug, Default)]
pub(crate) struct WorkerSet {
    workers: HashMap<WorkerId, WorkerState>,
    ready: BTreeSet<ReadyKey>,
}

impl WorkerSet {
    /// Replaces the declared workers and their shares; those no longer
    /// declared get no new work and vanish with their last placement.
    pub fn replace(&mut self, declared: Vec<(WorkerId, Worker, u32)>) {
        for state in self.workers.values_mut() {
            state.share = 0;
        }
        for (id, worker, share) in declared {
            let share = if worker.leaving { 0 } else { share };
            match self.workers.get_mut(&id) {
                Some(state) => {
                    state.worker = worker;
                    state.share = share;
                }
                None => {
                    let state = WorkerState {
                        worker,
                        share,
                        running: 0,
                        ready_as: None,
                    };
                    self.workers.insert(id, state);
                }
            }
        }
        self.workers
            .retain(|_, state| state.share > 0 || state.running > 0);
        self.ready.clear();
        let ids: Vec<_> = self.workers.keys().copied().collect();
        for id in ids {
            self.refresh(id);
        }
    }

    /// Slots that this instance may use.
    pub fn slots(&self) -> u64 {
        self.workers
            .values()
            .map(|state| u64::from(state.share))
            .sum()
    }

    /// The best worker with a free slot, other than `avoid` where possible.
    pub fn best(&self, avoid: Option<WorkerId>) -> Option<WorkerId> {
        let mut ready = self.ready.iter().map(|(_, id)| *id);
        let first = ready.next()?;
        if Some(first) != avoid {
            return Some(first);
        }
        ready.next().or(Some(first))
    }

    /// The address of a worker.
    pub fn address(&self, id: WorkerId) -> Option<Arc<str>> {
        let state = self.workers.get(&id)?;
        Some(Arc::clone(&state.worker.address))
    }

    /// Takes a slot.
    pub fn start(&mut self, id: WorkerId) {
        if let Some(state) = self.workers.get_mut(&id) {
            state.running += 1;
        }
        self.refresh(id);
    }

    /// Gives a slot back.
    pub fn finish(&mut self, id: WorkerId) {
        let Some(state) = self.workers.get_mut(&id) else {
            return;
        };
        state.running = state.running.saturating_sub(1);
        self.refresh(id);
    }

    fn refresh(&mut self, id: WorkerId) {
        let Some(state) = self.workers.get_mut(&id) else {
            return;
        };
        if let Some(key) = state.ready_as.take() {
            self.ready.remove(&key);
        }
        if state.running < state.share {
            let key = (state.running, id);
            state.ready_as = Some(key);
            self.ready.insert(key);
        }
    }
}
