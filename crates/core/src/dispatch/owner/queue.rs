//! The order in which waiting jobs are tried.
//!
//! Jobs are ordered by their latest start: the instant by which a job's longest
//! chain must begin to meet its objective. Jobs that have missed it come after
//! all that have not, those that have missed even the late objective last. The
//! order is kept between events and made anew when a job or a task begins to
//! wait and with each tick: a long queue is scanned often and changes rarely.

use slotmap::SlotMap;

use super::super::job::{Job, LATE_FACTOR, Task, TaskState};
use super::super::order::JobKey;

/// Place in the order: smaller is tried first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Urgency {
    tier: u8,
    latest_start_ms: u64,
}

/// Waiting jobs, most urgent first.
#[derive(Debug, Default)]
pub(super) struct Queue {
    order: Vec<(Urgency, JobKey)>,
    stale: bool,
    /// How often the order was made.
    sorts: u64,
    /// Smallest processor share that a waiting task takes.
    smallest_millicores: u64,
}

impl Queue {
    /// Something began to wait, or time has passed.
    pub(super) fn invalidate(&mut self) {
        self.stale = true;
    }

    /// Makes the order anew if it has to be; `fenced` tells whether all
    /// workers obey, so that unsafe jobs may start.
    pub(super) fn refresh(&mut self, jobs: &SlotMap<JobKey, Job>, now_ms: u64, fenced: bool) {
        if !std::mem::take(&mut self.stale) {
            return;
        }
        self.sorts += 1;
        self.order.clear();
        self.smallest_millicores = u64::MAX;
        for (key, job) in jobs {
            let Some(smallest) = smallest_waiting(job, now_ms, fenced) else {
                continue;
            };
            self.smallest_millicores = self.smallest_millicores.min(smallest);
            self.order.push((urgency(job, now_ms), key));
        }
        self.order.sort_unstable();
    }

    /// How often the order was made.
    pub(super) fn sorts(&self) -> u64 {
        self.sorts
    }

    /// The jobs in order.
    pub(super) fn jobs(&self) -> impl Iterator<Item = JobKey> + '_ {
        self.order.iter().map(|&(_, key)| key)
    }

    /// Whether no waiting task fits into so much.
    pub(super) fn none_fits(&self, free_millicores: u64) -> bool {
        self.order.is_empty() || free_millicores < self.smallest_millicores
    }
}

fn urgency(job: &Job, now_ms: u64) -> Urgency {
    let remaining_ms = job.remaining_ms();
    let due_ms = job.objective_ms(1.0);
    let late_ms = job.objective_ms(LATE_FACTOR);
    let (tier, end_ms) = if now_ms + remaining_ms <= due_ms {
        (0, due_ms)
    } else if now_ms + remaining_ms <= late_ms {
        (1, late_ms)
    } else {
        (2, late_ms)
    };
    Urgency {
        tier,
        latest_start_ms: end_ms.saturating_sub(remaining_ms),
    }
}

/// The smallest share that a waiting task of a job takes; none where nothing
/// of it may be started.
fn smallest_waiting(job: &Job, now_ms: u64, fenced: bool) -> Option<u64> {
    let safe = now_ms >= job.unsafe_until_ms || (job.fencing_clears && fenced);
    if !safe || job.stopping || job.paused {
        return None;
    }
    let waiting = |task: &&Task| matches!(task.state, TaskState::Waiting { .. });
    let tasks = job.tasks.iter().filter(waiting);
    tasks.map(|task| job.phase(task).cpu_millicores).min()
}
