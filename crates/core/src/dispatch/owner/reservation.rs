//! Reservation of workers for late jobs that have begun.
//!
//! Prevents starvation of large tasks: while all workers are busy, smaller tasks take
//! whatever a completed run frees, and a job could wait for its last large task until
//! its caller gives up. Once a job that has begun is late, the workers that can fit
//! its tasks soonest are reserved for it. Reserved capacity is idle, so jobs that are
//! in time get none.

use super::super::worker::Resources;
use super::placement::{Candidate, resources_of};
use super::queue::{Lateness, lateness};
use super::*;

/// Bound on the workers reserved for one job: of a pool of 60, what the wide jobs of one
/// burst may hold without harm to other jobs.
const RESERVED_WORKERS_MAX: usize = 4;

impl Owner {
    /// Reserves workers for the waiting tasks of a late job that has begun.
    pub(super) fn reserve(&self, now_ms: u64, key: JobKey, candidates: &mut [Candidate]) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        if !job.started || lateness(job, now_ms) == Lateness::InTime {
            return;
        }
        let tasks = job.tasks.iter().filter(|task| task.is_waiting());
        let tasks = tasks.take(RESERVED_WORKERS_MAX);
        let requests: Vec<Resources> = tasks.map(|task| resources_of(job.phase(task))).collect();
        let Some(resources) = requests.first() else {
            return;
        };
        let workers = self.workers.iter();
        let workers = workers.filter(|(_, worker)| worker.accepts_tasks(now_ms));
        let mut soonest: Vec<(u64, WorkerKey)> = workers
            .filter_map(|(key, worker)| Some((available_at_ms(worker, resources)?, key)))
            .collect();
        soonest.sort_unstable();
        for (_, reserved) in soonest.into_iter().take(requests.len()) {
            if let Some(candidate) = candidates
                .iter_mut()
                .find(|candidate| candidate.key == reserved)
            {
                candidate.free = Resources::default();
            }
        }
    }
}

/// When a worker will have `resources` free, by the expected ends of its runs; `None`
/// if it is too small.
pub(super) fn available_at_ms(worker: &Worker, resources: &Resources) -> Option<u64> {
    let mut runs: Vec<(u64, Resources)> = worker
        .runs
        .iter()
        .map(|run| {
            (
                run.ordered_ms + run.expected_ms,
                run.resources.unwrap_or_default(),
            )
        })
        .collect();
    runs.sort_by_key(|&(end_ms, _)| end_ms);
    let mut free = worker.free_resources();
    let mut at_ms = 0;
    for (end_ms, freed) in runs {
        if free.fits(resources) {
            return Some(at_ms);
        }
        free = free.plus(&freed);
        at_ms = end_ms;
    }
    free.fits(resources).then_some(at_ms)
}
