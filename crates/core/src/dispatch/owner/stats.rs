//! Load reports for entries, and counters for metrics.

use trefoil_schema::dispatch::Load;

use super::*;

/// Counters of an owner for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OwnerStats {
    /// Jobs that have not ended.
    pub jobs: usize,
    /// Memory that the jobs occupy, in bytes, estimated.
    pub jobs_bytes: u64,
    /// Jobs with tasks that wait for capacity.
    pub waiting: usize,
    /// Workers in the owner's table, listed by the registry or not.
    pub workers: usize,
    /// Workers that have accepted the owner's current fence.
    pub workers_fenced: usize,
    /// Runs that may be on workers.
    pub runs: usize,
    /// Number of queue sorts so far.
    pub queue_sorts: u64,
    /// Workers that are suspected as slow.
    pub suspected_workers: usize,
    /// Number of times that a worker was suspected as slow.
    pub suspicions: u64,
    /// Number of runs of slow workers that were stopped to be restarted elsewhere.
    pub slow_run_restarts: u64,
    /// Placements that waited for another worker, and reports that were ignored.
    pub placement: PlacementStats,
}

impl std::iter::Sum for OwnerStats {
    fn sum<I: Iterator<Item = Self>>(stats: I) -> Self {
        stats.fold(Self::default(), |sum, stats| Self {
            jobs: sum.jobs + stats.jobs,
            jobs_bytes: sum.jobs_bytes + stats.jobs_bytes,
            waiting: sum.waiting + stats.waiting,
            workers: sum.workers + stats.workers,
            workers_fenced: sum.workers_fenced + stats.workers_fenced,
            runs: sum.runs + stats.runs,
            queue_sorts: sum.queue_sorts + stats.queue_sorts,
            suspected_workers: sum.suspected_workers + stats.suspected_workers,
            suspicions: sum.suspicions + stats.suspicions,
            slow_run_restarts: sum.slow_run_restarts + stats.slow_run_restarts,
            placement: sum.placement.plus(stats.placement),
        })
    }
}

impl Owner {
    /// Load of the pool, by which entries choose where to delegate jobs.
    pub fn load(&self, now_ms: u64) -> Load {
        let open = self.workers.values().filter(|worker| {
            worker.fencing == FencingState::Fenced
                && worker.in_stored_roster
                && !worker.has_left(now_ms)
                && !worker.record.draining
        });
        let mut load = Load::default();
        for worker in open
            .filter(|worker| !worker.health.is_on_probation() && !worker.slowness.is_suspected())
        {
            load.serving = true;
            load.capacity_millicores += worker.record.capacity.cpu_millicores;
            load.free_millicores += worker.free_resources().cpu_millicores;
            for run in &worker.runs {
                let cpu = run
                    .resources
                    .map_or(0, |resources| resources.cpu_millicores);
                let end_ms = run.ordered_ms + run.expected_ms;
                load.backlog_millicore_ms += cpu * end_ms.saturating_sub(now_ms);
            }
        }
        let jobs = self.jobs.values().filter(|job| !job.stopping);
        load.backlog_millicore_ms += jobs.map(Job::waiting_millicore_ms).sum::<u64>();
        load.slow_workers = self.slow_workers();
        load.kinds = self.kind_speeds();
        load.closed = self.is_closed();
        load.abandoned_jobs = self.reported_abandoned_jobs();
        load.serving &= !self.released && self.is_open();
        load
    }

    /// Counters for metrics and tests.
    pub fn stats(&self) -> OwnerStats {
        let fenced = |worker: &&Worker| worker.fencing == FencingState::Fenced;
        OwnerStats {
            jobs: self.jobs.len(),
            jobs_bytes: self.jobs_bytes(),
            waiting: self.waiting_jobs(),
            workers: self.workers.len(),
            workers_fenced: self.workers.values().filter(fenced).count(),
            runs: self.workers.values().map(|worker| worker.runs.len()).sum(),
            queue_sorts: self.queue.sorts(),
            suspected_workers: self.suspected_workers(),
            suspicions: self.slow_workers.suspicions,
            slow_run_restarts: self.slow_workers.restarts,
            placement: self.placement_stats,
        }
    }
}
