//! A simulated worker: starts and stops runs under fencing tokens, and lists them.

use std::collections::VecDeque;
use std::sync::Arc;

use trefoil_core::dispatch::fence::Fence;
use trefoil_core::dispatch::order::{
    ListedRun, RenewOrder, RenewOutcome, RunCompletion, RunOutcome, StartOrder,
};
use trefoil_core::dispatch::worker::WorkerRecord;

/// A lease renewal whose answer waits for a run to end.
#[derive(Clone, Debug)]
pub(crate) struct PendingRenewal {
    pub order: RenewOrder,
    /// Unique number of the wait, so that a stale timeout is told apart.
    pub number: u64,
}

#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub record: WorkerRecord,
    /// Factor on run times.
    pub slowdown: f64,
    /// False once it has left.
    pub up: bool,
    pub pending_renewal: Option<PendingRenewal>,
    runs: Vec<ListedRun>,
    completions: VecDeque<RunCompletion>,
    completion_count: u64,
    fence: Fence,
}

impl Worker {
    pub fn new(record: WorkerRecord, slowdown: f64) -> Self {
        Self {
            record,
            slowdown,
            up: true,
            pending_renewal: None,
            runs: Vec::new(),
            completions: VecDeque::new(),
            completion_count: 0,
            fence: Fence::default(),
        }
    }

    /// Starts a run; false if the order's fencing token is superseded.
    pub fn start_run(&mut self, order: &StartOrder) -> bool {
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

    /// Ends a run; false if it is not running.
    pub fn finish_run(&mut self, task: &Arc<str>, run_id: u64, outcome: RunOutcome) -> bool {
        let is_match = |run: &ListedRun| run.run_id == run_id && run.task == *task;
        let Some(position) = self.runs.iter().position(is_match) else {
            return false;
        };
        self.runs.swap_remove(position);
        self.completion_count += 1;
        self.completions.push_back(RunCompletion {
            number: self.completion_count,
            task: task.clone(),
            run_id,
            outcome,
        });
        true
    }

    /// Ends all runs without a completion that anybody learns of, as the worker exits.
    pub fn exit(&mut self) -> Option<PendingRenewal> {
        self.up = false;
        self.runs.clear();
        self.completions.clear();
        self.pending_renewal.take()
    }

    /// Applies a renewal: takes its fencing token and drops the completions that it acknowledges.
    pub fn apply_renewal(&mut self, order: &RenewOrder) {
        self.fence = self.fence.max(order.target.fence);
        self.completions
            .retain(|completion| completion.number > order.acked_completion);
    }

    pub fn has_no_completions(&self) -> bool {
        self.completions.is_empty()
    }

    /// Result of a renewal; the worker's clock has no offset.
    pub fn renew_outcome(&self, now_ms: u64) -> RenewOutcome {
        RenewOutcome::Renewed {
            born_ms: None,
            clock_ms: now_ms,
            running: self.runs.clone(),
            completions: self.completions.iter().cloned().collect(),
        }
    }
}
