//! A simulated worker: it runs what it is told under fences and leases.

use std::collections::VecDeque;
use std::sync::Arc;

use trefoil_core::dispatch::fence::Fence;
use trefoil_core::dispatch::order::{
    ListedRun, RenewOrder, RenewOutcome, RunCompletion, RunOutcome, StartOrder,
};
use trefoil_core::dispatch::worker::WorkerRecord;

/// A hold that waits for an end.
#[derive(Clone, Debug)]
pub struct WaitingHold {
    /// The order.
    pub order: RenewOrder,
    /// Tells one wait from another.
    pub number: u64,
}

/// One worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Its registry entry.
    pub record: WorkerRecord,
    /// Factor on run times.
    pub slowness: f64,
    /// Whether it is there.
    pub up: bool,
    /// The hold that waits, if any.
    pub waiting: Option<WaitingHold>,
    runs: Vec<ListedRun>,
    ended: VecDeque<RunCompletion>,
    ends: u64,
    fence: Fence,
}

impl Worker {
    /// An empty worker.
    pub fn new(record: WorkerRecord, slowness: f64) -> Self {
        Self {
            record,
            slowness,
            up: true,
            waiting: None,
            runs: Vec::new(),
            ended: VecDeque::new(),
            ends: 0,
            fence: Fence::default(),
        }
    }

    /// Takes in a start; false where the fence is outranked.
    pub fn start(&mut self, order: &StartOrder) -> bool {
        if order.target.fence < self.fence {
            return false;
        }
        self.fence = order.target.fence;
        self.runs.push(ListedRun {
            task: order.task.clone(),
            run_id: order.run_id,
        });
        true
    }

    /// Ends a run, if it is still there.
    pub fn end(&mut self, task: &Arc<str>, run_id: u64, how: RunOutcome) -> bool {
        let same = |run: &ListedRun| run.run_id == run_id && run.task == *task;
        let Some(position) = self.runs.iter().position(same) else {
            return false;
        };
        self.runs.swap_remove(position);
        self.ends += 1;
        self.ended.push_back(RunCompletion {
            number: self.ends,
            task: task.clone(),
            run_id,
            outcome: how,
        });
        true
    }

    /// Takes in a hold's fence and acknowledgement.
    pub fn take_hold(&mut self, order: &RenewOrder) {
        self.fence = self.fence.max(order.target.fence);
        self.ended.retain(|end| end.number > order.acked_completion);
    }

    /// Whether a hold has nothing to tell yet.
    pub fn has_no_news(&self) -> bool {
        self.ended.is_empty()
    }

    /// What a hold is answered; the worker's clock is the true one.
    pub fn listing(&self, now_ms: u64) -> RenewOutcome {
        RenewOutcome::Renewed {
            clock_ms: now_ms,
            running: self.runs.clone(),
            completions: self.ended.iter().cloned().collect(),
        }
    }
}
