//! Forecast of when waiting jobs can begin, from the expected ends of runs.
//!
//! The CPU of all workers is modelled as one pool: each run frees its share at its
//! expected end, and waiting jobs take it in queue order. CPU that is free now is
//! not counted, since the preceding placement found that no waiting task fits into
//! it. Estimates may be off by half; the errors of many jobs cancel out.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use super::super::limits::LEASE_MAX_MS;

/// Added to the forecast of a job that needs more CPU than is known to come free: by
/// then an unresponsive worker has answered, or its leases have expired.
const UNKNOWN_CAPACITY_MS: u64 = LEASE_MAX_MS;

/// CPU that comes free over time, less what the jobs forecast so far take.
#[derive(Debug)]
pub(super) struct Forecast {
    /// Releases of CPU: instant and millicores.
    releases: BinaryHeap<Reverse<(u64, u64)>>,
    /// Releases that the job being forecast needs.
    needed: Vec<(u64, u64)>,
    /// CPU free at `last_begin_ms`.
    free_millicores: u64,
    /// When the last job that was reserved begins.
    last_begin_ms: u64,
}

impl Forecast {
    /// A forecast as of `now_ms`, without any runs.
    pub(super) fn new(now_ms: u64) -> Self {
        Self {
            releases: BinaryHeap::new(),
            needed: Vec::new(),
            free_millicores: 0,
            last_begin_ms: now_ms,
        }
    }

    /// Adds CPU that comes free at `at_ms`.
    pub(super) fn add_release(&mut self, at_ms: u64, millicores: u64) {
        self.releases.push(Reverse((at_ms, millicores)));
    }

    /// When the next job in queue order can begin. Reserves nothing; see
    /// [`Self::reserve`].
    pub(super) fn begin_ms(&mut self, millicores: u64) -> u64 {
        self.return_needed();
        let mut free_millicores = self.free_millicores;
        while free_millicores < millicores {
            let Some(Reverse(release)) = self.releases.pop() else {
                return self.needed_until_ms() + UNKNOWN_CAPACITY_MS;
            };
            self.needed.push(release);
            free_millicores += release.1;
        }
        self.needed_until_ms()
    }

    fn needed_until_ms(&self) -> u64 {
        let last_ms = self.needed.last().map_or(0, |release| release.0);
        self.last_begin_ms.max(last_ms)
    }

    /// Reserves CPU for `run_ms` for the job last passed to [`Self::begin_ms`].
    pub(super) fn reserve(&mut self, millicores: u64, run_ms: u64) {
        for (release_ms, freed) in self.needed.drain(..) {
            self.last_begin_ms = self.last_begin_ms.max(release_ms);
            self.free_millicores += freed;
        }
        self.free_millicores = self.free_millicores.saturating_sub(millicores);
        self.add_release(self.last_begin_ms + run_ms, millicores);
    }

    /// Returns the releases that an unreserved job would have needed.
    fn return_needed(&mut self) {
        self.releases.extend(self.needed.drain(..).map(Reverse));
    }
}
