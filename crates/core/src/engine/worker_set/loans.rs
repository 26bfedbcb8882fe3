//! Worker slots lent to and borrowed from other instances.

use super::{Worker, WorkerId, WorkerSet, WorkerState};

impl WorkerSet {
    /// Whether any worker has a free slot.
    pub fn has_ready(&self) -> bool {
        !self.ready.is_empty()
    }

    /// Lends up to `slots_max` slots, but at most half of the free ones.
    pub fn lend(&mut self, now_ms: u64, run_log2: f64, slots_max: u32) -> Vec<WorkerId> {
        let free = self.slots.saturating_sub(self.running + self.lent);
        let count = free.div_ceil(2).min(u64::from(slots_max));
        let mut lent = Vec::new();
        while (lent.len() as u64) < count {
            let Some(id) = self.best_ready(None) else {
                break;
            };
            let Some(state) = self.workers.get_mut(&id) else {
                break;
            };
            if state.running + state.lent >= state.usable_share() {
                break;
            }
            state.lent += 1;
            self.lent += 1;
            self.update_ready(now_ms, run_log2, id);
            lent.push(id);
        }
        lent
    }

    /// Ends the loan of up to `slots` lent slots of a worker.
    pub fn reclaim(&mut self, now_ms: u64, run_log2: f64, id: WorkerId, slots: u32) {
        if let Some(state) = self.workers.get_mut(&id) {
            let taken = slots.min(state.lent);
            state.lent -= taken;
            self.lent -= u64::from(taken);
        }
        self.update_ready(now_ms, run_log2, id);
    }

    /// Adds borrowed slots of a worker, even if this instance has no share of it.
    pub fn borrow(&mut self, now_ms: u64, run_log2: f64, id: WorkerId, worker: Worker, slots: u32) {
        let state = self.workers.entry(id);
        let state = state.or_insert_with(|| WorkerState::new(worker));
        state.borrowed += slots;
        self.update_ready(now_ms, run_log2, id);
    }

    /// Number of borrowed slots of a worker without a running task.
    pub fn idle_borrowed(&self, id: WorkerId) -> u32 {
        let Some(state) = self.workers.get(&id) else {
            return u32::MAX;
        };
        let usable = (state.usable_share() + state.borrowed).saturating_sub(state.lent);
        usable.saturating_sub(state.running).min(state.borrowed)
    }

    /// Stops new tasks on the borrowed slots of an expired loan.
    pub fn expire_loan(&mut self, now_ms: u64, run_log2: f64, id: WorkerId, slots: u32) {
        if let Some(state) = self.workers.get_mut(&id) {
            state.expired_borrowed += slots;
        }
        self.update_ready(now_ms, run_log2, id);
    }

    /// Removes borrowed slots; `expired` tells whether their loan has expired.
    pub fn return_borrowed(
        &mut self,
        now_ms: u64,
        run_log2: f64,
        id: WorkerId,
        slots: u32,
        expired: bool,
    ) {
        let Some(state) = self.workers.get_mut(&id) else {
            return;
        };
        state.borrowed = state.borrowed.saturating_sub(slots);
        if expired {
            state.expired_borrowed = state.expired_borrowed.saturating_sub(slots);
        }
        let is_unused = state.is_unused();
        self.update_ready(now_ms, run_log2, id);
        if is_unused {
            self.remove_worker(id);
        }
    }
}
