//! Whether a whole job can be done by its deadline, without making admitted
//! ones late.
//!
//! The estimate is that of a fluid: queued tasks leave in order of rank at the
//! rate of the slots, and a job is done one long run after its last task
//! started. A job is refused if its own last task would start too late, or if
//! its tasks would push those of an admitted job behind it too far.

use super::queue::JobQueue;

/// Allowance for estimates that are too short.
const SAFETY_FACTOR: f64 = 1.2;
/// The same for a team ahead of its fair share, so that its jobs leave room
/// for those of others.
const SAFETY_FACTOR_ABOVE_SHARE: f64 = 2.4;

/// What the service can do now.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Capacity {
    /// Slots that take work.
    pub slots: f64,
    /// Slots without a task.
    pub free_slots: f64,
    /// Mean run time of a task.
    pub mean_ms: f64,
}

/// What a job asks for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct JobDemand {
    pub rank_ms: u64,
    pub tasks: u32,
    /// Latest start of its last task, from now.
    pub slack_ms: f64,
    /// Whether its team is ahead of its fair share.
    pub above_fair_share: bool,
}

impl Capacity {
    /// Wait until the task behind `position` others starts.
    pub fn wait_ms(&self, position: f64) -> f64 {
        (position - self.free_slots).max(0.0) * self.mean_ms / self.slots.max(1.0)
    }
}

/// How much too late some job would be, or `None` if all can be in time.
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
