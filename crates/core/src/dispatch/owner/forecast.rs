//! When waiting jobs can begin, by the expected ends of what runs.
//!
//! The room of the workers is taken as one sum over time: each run gives its
//! room back at its expected end, and jobs take it in the queue's order. What is
//! free now counts for nothing, since placing has just been tried: whatever
//! still waits does not fit there. Estimates are off by half, but a queue holds
//! many jobs, whose errors cancel out.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use super::super::limits::LEASE_MAX_MS;

/// A run that should have ended takes this share of its expected time yet.
const OVERDUE_SHARE: f64 = 0.2;

/// A job that takes more than all room that is known begins so much after the
/// last of it has come free: by then a silent worker has answered, or its
/// leases have lapsed.
const UNKNOWN_ROOM_MS: u64 = LEASE_MAX_MS;

/// Room that comes free, and jobs that take it.
#[derive(Debug)]
pub(super) struct Forecast {
    /// Instants at which room comes free, thousandths of a core.
    ends: BinaryHeap<Reverse<(u64, u64)>>,
    /// Those that the job that is looked at needs.
    needed: Vec<(u64, u64)>,
    /// Room that is free at `last_ms`.
    free_millicores: u64,
    /// When the last job that took room begins.
    last_ms: u64,
}

impl Forecast {
    /// Nothing runs at `now_ms`.
    pub(super) fn new(now_ms: u64) -> Self {
        Self {
            ends: BinaryHeap::new(),
            needed: Vec::new(),
            free_millicores: 0,
            last_ms: now_ms,
        }
    }

    /// A run takes room, from `ordered_ms` on, for about `expected_ms`.
    pub(super) fn runs(&mut self, ordered_ms: u64, expected_ms: u64, millicores: u64) {
        let overdue_ms = self.last_ms + (expected_ms as f64 * OVERDUE_SHARE) as u64;
        let end_ms = overdue_ms.max(ordered_ms + expected_ms);
        self.frees(end_ms, millicores);
    }

    /// Room comes free at an instant.
    pub(super) fn frees(&mut self, at_ms: u64, millicores: u64) {
        self.ends.push(Reverse((at_ms, millicores)));
    }

    /// When the next job in order can begin. It takes no room yet.
    pub(super) fn begin_ms(&mut self, millicores: u64) -> u64 {
        self.pass();
        let mut free_millicores = self.free_millicores;
        while free_millicores < millicores {
            let Some(Reverse(end)) = self.ends.pop() else {
                return self.needed_until_ms() + UNKNOWN_ROOM_MS;
            };
            self.needed.push(end);
            free_millicores += end.1;
        }
        self.needed_until_ms()
    }

    fn needed_until_ms(&self) -> u64 {
        let last_ms = self.needed.last().map_or(0, |end| end.0);
        self.last_ms.max(last_ms)
    }

    /// The job that was looked at last takes its room for `run_ms`.
    pub(super) fn take(&mut self, millicores: u64, run_ms: u64) {
        for (end_ms, freed) in self.needed.drain(..) {
            self.last_ms = self.last_ms.max(end_ms);
            self.free_millicores += freed;
        }
        self.free_millicores = self.free_millicores.saturating_sub(millicores);
        self.frees(self.last_ms + run_ms, millicores);
    }

    /// The job that was looked at last takes nothing.
    fn pass(&mut self) {
        self.ends.extend(self.needed.drain(..).map(Reverse));
    }
}
