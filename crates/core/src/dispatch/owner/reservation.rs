//! Room kept for begun jobs that are late.
//!
//! Load pattern: all room is in use, and some tasks take more of a worker than
//! most. Whenever one run ends, the room that it gives back is too small for
//! them, and smaller tasks take it. A job of which some tasks have run then
//! waits for the last of them until its caller leaves, and all its work was for
//! nothing. So once it is late, the workers that will soonest have room for its
//! tasks take nothing else. Only late jobs are worth that: kept room is idle.

use super::super::worker::Resources;
use super::placement::{Open, room_of};
use super::queue::{Lateness, lateness};
use super::*;

/// Workers kept for one job at the most: of a pool of 60, what one burst's wide
/// jobs may hold up without harm to the others.
const KEPT_MAX: usize = 4;

impl Owner {
    /// Keeps workers for the next tasks of a begun job that is late.
    pub(super) fn reserve(&self, now_ms: u64, key: JobKey, open: &mut [Open]) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        if !job.started || lateness(job, now_ms) == Lateness::InTime {
            return;
        }
        let tasks = job.tasks.iter().filter(|task| task.is_waiting());
        let tasks = tasks.take(KEPT_MAX);
        let rooms: Vec<Resources> = tasks.map(|task| room_of(job.phase(task))).collect();
        let Some(room) = rooms.first() else {
            return;
        };
        let workers = self.workers.iter();
        let workers = workers.filter(|(_, worker)| worker.accepts_tasks(now_ms));
        let mut soonest: Vec<(u64, WorkerKey)> = workers
            .filter_map(|(key, worker)| Some((free_at_ms(worker, room)?, key)))
            .collect();
        soonest.sort_unstable();
        for (_, kept) in soonest.into_iter().take(rooms.len()) {
            if let Some(open) = open.iter_mut().find(|open| open.key == kept) {
                open.free = Resources::default();
            }
        }
    }
}

/// When a worker has so much room, by the expected ends of its runs; none if it
/// never has.
fn free_at_ms(worker: &Worker, room: &Resources) -> Option<u64> {
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
        if free.fits(room) {
            return Some(at_ms);
        }
        free = free.plus(&freed);
        at_ms = end_ms;
    }
    free.fits(room).then_some(at_ms)
}
