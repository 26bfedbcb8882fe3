//! Whether a task waits for a busy worker instead of starting on a free one.
//!
//! It waits while its job can still end in time there by the expected ends of runs, so that a
//! job with slack takes the slow worker instead. Each awaited worker is counted for one task,
//! so that tasks do not wait for the same run.

use super::super::reservation::available_at_ms;
use super::super::*;
use super::{Candidate, JobOutlook, resources_of};

/// When a job would end if a task started on some worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prospect {
    /// Expected end of the job.
    pub end_ms: u64,
    /// Whether the worker is on another rack than the task's data.
    pub is_remote: bool,
}

/// Whether a task waits for a worker that is busy (`later`) instead of starting on one that
/// has room (`now`): only if the job still ends within its objective there, and would not
/// here or would be away from its data.
pub fn should_wait(now: Prospect, later: Prospect, objective_ms: u64) -> bool {
    let is_better = now.end_ms > objective_ms || (now.is_remote && !later.is_remote);
    is_better && later.end_ms <= objective_ms
}

impl Owner {
    /// The worker that a task waits for instead of starting on `candidate` now; `None` to
    /// start. Workers in `claimed` are awaited by tasks that go first.
    pub(super) fn awaited_worker(
        &mut self,
        now_ms: u64,
        key: JobKey,
        index: usize,
        outlook: &JobOutlook,
        candidate: &Candidate,
        claimed: &[WorkerKey],
    ) -> Option<WorkerKey> {
        let job = &self.jobs[key];
        let phase = job.phase(&job.tasks[index]);
        let resources = resources_of(phase);
        let (estimate_ms, objective_ms) = (outlook.remaining_ms, outlook.objective_ms);
        let prospect = |worker: &Worker, at_ms: u64| {
            let is_remote = worker.is_remote(phase);
            let distance = self.distance(is_remote);
            Prospect {
                end_ms: at_ms + (worker.expected_ms(estimate_ms) as f64 * distance) as u64,
                is_remote,
            }
        };
        let start_now = prospect(&self.workers[candidate.key], now_ms);
        if start_now.end_ms <= objective_ms && !start_now.is_remote {
            return None;
        }
        let awaited = self.workers.iter().find(|(key, worker)| {
            *key != candidate.key
                && !claimed.contains(key)
                && worker.can_run(&job.spec.service, phase)
                && worker.accepts_tasks(now_ms)
                && available_at_ms(worker, &resources)
                    // A run that is overdue has no expected end.
                    .filter(|&at_ms| at_ms > now_ms)
                    .is_some_and(|at_ms| {
                        should_wait(start_now, prospect(worker, at_ms), objective_ms)
                    })
        });
        let (awaited, _) = awaited?;
        match start_now.is_remote {
            true => self.placement_stats.waited_for_rack += 1,
            false => self.placement_stats.waited_for_faster += 1,
        }
        Some(awaited)
    }
}
