//! Placements that strand no CPU.
//!
//! Answers load at or above capacity with large tasks: when tasks start in queue order
//! wherever they fit, 10 to 18 % of the CPU is left in pieces that are too small for any
//! waiting task. Jobs whose tasks all fit without leaving such pieces therefore go before
//! other jobs that have not begun, as long as they can still end in time. Two tasks of
//! half a worker often fit together only by choice: a large one with a small one.
//!
//! Jobs are passed over at the cost of the queue order, so only whole jobs are packed: a
//! job that began with some of its tasks would wait for the others while it holds CPU.

/// A remainder of up to this share of a worker's CPU counts as filled. A remainder of
/// 15 % is smaller than any large task, and a stricter limit passes over too many jobs.
const FILLED_SHARE: f64 = 0.15;

/// What counts as stranded CPU.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Packing {
    min_waiting_millicores: u64,
}

impl Packing {
    /// For a queue whose smallest waiting task requests `min_waiting_millicores`.
    pub fn new(min_waiting_millicores: u64) -> Self {
        Self {
            min_waiting_millicores,
        }
    }

    /// Whether `left_millicores` on a worker of `capacity_millicores` would be of no use
    /// to any waiting task, and too much to count as filled.
    pub fn strands(self, left_millicores: u64, capacity_millicores: u64) -> bool {
        let filled_millicores = capacity_millicores as f64 * FILLED_SHARE;
        left_millicores < self.min_waiting_millicores && left_millicores as f64 > filled_millicores
    }
}
