//! Free capacity of a pool by shape, and when a new job can begin, as reported to entries.
//!
//! The sum of the free CPU says little about a busy pool: a tenth or more of it is free in
//! pieces that are too small for any task. The report therefore states how much is free on
//! how many single workers. It has at most [`FREE_CPU_MAX`] amounts, so that a heartbeat
//! stays small; amounts are only ever rounded down, so that an entry never sees capacity
//! that does not exist.
//!
//! A pool in which jobs wait has no free capacity for a new job, whatever the pieces are:
//! the waiting jobs get them first. [`Owner::begin_delay_ms`] then forecasts when a new
//! job of the mean size of the waiting ones begins behind those that can still be in time.

use trefoil_schema::dispatch::FreeCpu;

use super::queue::{Lateness, lateness};
use super::*;

/// Maximum number of amounts in a report.
pub(super) const FREE_CPU_MAX: usize = 12;
/// Amounts are rounded down to whole cores: tasks request several.
const CORE_MILLICORES: u64 = 1000;

/// Interval at which the load in refusals is computed anew, in milliseconds. A burst of
/// refusals must not cost an owner of a tenth of a core a forecast for each of them.
const REFUSAL_LOAD_INTERVAL_MS: u64 = 25;

/// Load that was last computed for a refusal, and when.
pub(super) type RefusalLoad = Option<(u64, Load)>;

/// Groups the free CPU of workers by amount, the largest first.
pub(super) fn free_cpu(free_millicores: impl Iterator<Item = u64>) -> Vec<FreeCpu> {
    let mut workers_by_cores: BTreeMap<u64, u32> = BTreeMap::new();
    for millicores in free_millicores {
        let cores = (millicores / CORE_MILLICORES).min(u64::from(u32::MAX) / CORE_MILLICORES);
        *workers_by_cores.entry(cores).or_default() += 1;
    }
    let amounts = workers_by_cores.into_iter().rev();
    let mut amounts: Vec<FreeCpu> = amounts
        .map(|(cores, workers)| FreeCpu {
            millicores: (cores * CORE_MILLICORES) as u32,
            workers,
        })
        .collect();
    while amounts.len() > FREE_CPU_MAX {
        merge_closest(&mut amounts);
    }
    amounts
}

/// Merges the two neighbouring amounts whose rounding loses the least CPU.
fn merge_closest(amounts: &mut Vec<FreeCpu>) {
    let lost = |pair: &[FreeCpu]| {
        u64::from(pair[0].millicores - pair[1].millicores) * u64::from(pair[0].workers)
    };
    let closest = amounts.windows(2).enumerate();
    let closest = closest.min_by_key(|(_, pair)| lost(pair));
    if let Some(first) = closest.map(|(first, _)| first) {
        let larger = amounts.remove(first);
        amounts[first].workers += larger.workers;
    }
}

impl Owner {
    /// The pool's load for a refusal, at most [`REFUSAL_LOAD_INTERVAL_MS`] old.
    pub fn refusal_load(&mut self, now_ms: u64) -> Load {
        if let Some((at_ms, load)) = &self.refusal_load
            && now_ms < at_ms + REFUSAL_LOAD_INTERVAL_MS
        {
            return load.clone();
        }
        let load = self.load(now_ms);
        self.refusal_load = Some((now_ms, load.clone()));
        load
    }

    /// Forecast delay until a job that arrives now begins; 0 if no job waits.
    pub(super) fn begin_delay_ms(&self, now_ms: u64) -> u32 {
        let queued = self.queue.jobs().filter_map(|key| self.jobs.get(key));
        let waiting: Vec<(&Job, u64)> = queued
            .map(|job| (job, job.waiting_millicores()))
            .filter(|&(job, millicores)| millicores > 0 && !job.stopping)
            .collect();
        if waiting.is_empty() {
            return 0;
        }
        let mut forecast = self.forecast(now_ms);
        for &(job, millicores) in &waiting {
            let begin_ms = forecast.begin_ms(millicores);
            // Jobs that cannot be in time wait behind those that can.
            if job.started || lateness(job, begin_ms) == Lateness::InTime {
                forecast.reserve(millicores, job.remaining_ms());
            }
        }
        let total: u64 = waiting.iter().map(|(_, millicores)| millicores).sum();
        let begin_ms = forecast.begin_ms(total / waiting.len() as u64);
        u32::try_from(begin_ms.saturating_sub(now_ms).max(1)).unwrap_or(u32::MAX)
    }
}
