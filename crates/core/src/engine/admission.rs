//! Estimates whether a job can meet its deadline without making admitted jobs
//! miss theirs.
//!
//! Uses a fluid approximation: queued tasks start in order of rank at the rate at
//! which slots become free. A job is refused if its last task would start too
//! late, or if it would delay an admitted job behind it too much.

use super::queue::JobQueue;

/// Factor applied to estimated waits, as they may be too short.
const SAFETY_FACTOR: f64 = 1.2;
/// Factor for teams above their fair share, which leaves room for other teams'
/// jobs.
const SAFETY_FACTOR_ABOVE_SHARE: f64 = 2.4;

/// Current capacity of the service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Capacity {
    /// Slots of workers that are not ejected.
    pub slots: f64,
    /// Slots without a running task.
    pub free_slots: f64,
    /// Mean run time of a task.
    pub mean_ms: f64,
}

/// Resource demand of a job.
#[derive(Clone, Copy, Debug)]
pub(crate) struct JobDemand {
    pub rank_ms: u64,
    pub tasks: u32,
    /// Time until the latest start of its last task.
    pub slack_ms: f64,
    pub above_fair_share: bool,
}

impl Capacity {
    /// Estimated wait of the task at `position` in the queue, counted from 1.
    pub fn wait_ms(&self, position: f64) -> f64 {
        (position - self.free_slots).max(0.0) * self.mean_ms / self.slots.max(1.0)
    }
}

/// The largest delay past a latest start among the job and those behind it;
/// `None` if all can start in time.
pub(crate) fn excess_ms(
    now_ms: u64,
    queue: &JobQueue,
    capacity: Capacity,
    demand: JobDemand,
) -> Option<f64> {
    let safety_factor = if demand.above_fair_share {
        SAFETY_FACTOR_ABOVE_SHARE
    } else {
        SAFETY_FACTOR
    };
    let own_position = queue.tasks_up_to(demand.rank_ms) + u64::from(demand.tasks);
    let own_excess_ms = safety_factor * capacity.wait_ms(own_position as f64) - demand.slack_ms;
    let mut position = own_position;
    let mut worst_excess_ms = own_excess_ms;
    for bucket in queue.buckets_after(demand.rank_ms) {
        position += bucket.tasks;
        let slack_ms = bucket.latest_start_ms.saturating_sub(now_ms) as f64;
        worst_excess_ms =
            worst_excess_ms.max(safety_factor * capacity.wait_ms(position as f64) - slack_ms);
    }
    (worst_excess_ms > 0.0).then_some(worst_excess_ms)
}
