//! Which runs may be stopped to be restarted, and the workers on which their tasks can start
//! again.
//!
//! Shared by [`departure`] and [`slow_workers`]: both stop a run only if its task ends sooner
//! elsewhere, and must not count the same free capacity for several runs.
//!
//! [`departure`]: super::departure
//! [`slow_workers`]: super::slow_workers

use trefoil_schema::dispatch::Phase;

use super::super::worker::{Resources, Run};
use super::*;

/// A worker that can take restarted runs. Their jobs have begun, so they are first in the
/// queue for capacity that comes free there.
pub(super) struct RestartTarget {
    pub(super) key: WorkerKey,
    /// Resources that are free now, those taken included.
    pub(super) free: Resources,
    /// Resources that come free, and when, soonest first.
    releases: Vec<(u64, Resources)>,
    /// Resources of the runs that were stopped to be restarted here.
    taken: Resources,
}

impl RestartTarget {
    fn new(now_ms: u64, key: WorkerKey, worker: &Worker) -> Self {
        let release = |run: &Run| {
            let resources = run.resources.unwrap_or_default();
            (run.expected_end_ms(now_ms), resources)
        };
        let mut releases: Vec<_> = worker.runs.iter().map(release).collect();
        let free = worker.free_resources();
        releases.push((now_ms, free));
        releases.sort_by_key(|&(at_ms, _)| at_ms);
        Self {
            key,
            free,
            releases,
            taken: Resources::default(),
        }
    }

    /// Whether `resources` are free here now.
    pub(super) fn has_free(&self, resources: &Resources) -> bool {
        self.free.fits(&resources.plus(&self.taken))
    }

    /// When `resources` are free here; `None` if never.
    pub(super) fn available_at_ms(&self, resources: &Resources) -> Option<u64> {
        let needed = resources.plus(&self.taken);
        let mut free = Resources::default();
        let mut releases = self.releases.iter();
        let enough = releases.find(|(_, released)| {
            free = free.plus(released);
            free.fits(&needed)
        });
        enough.map(|&(at_ms, _)| at_ms)
    }

    /// Reserves resources for a run that was stopped to be restarted here.
    pub(super) fn take(&mut self, resources: &Resources) {
        self.taken = self.taken.plus(resources);
    }
}

impl Owner {
    /// Job and task of a run in progress that may be stopped to be restarted.
    pub(super) fn restartable(&self, run: &Run) -> Option<(JobKey, usize)> {
        match (run.state, run.owner) {
            (RunState::Running, RunOwner::Task(key, index)) => {
                self.can_restart(key, index).then_some((key, index))
            }
            _ => None,
        }
    }

    /// Whether a task can start again. Suspect tasks are left alone, since they need a worker of
    /// their own.
    pub(super) fn can_restart(&self, key: JobKey, index: usize) -> bool {
        let can_start = |job: &Job| !job.stopping && !job.paused && !job.tasks[index].is_suspect();
        self.is_open() && self.jobs.get(key).is_some_and(can_start)
    }

    /// Whether a task of a job may start again on a target.
    pub(super) fn may_restart_on(&self, target: &RestartTarget, job: &Job, phase: &Phase) -> bool {
        let worker = &self.workers[target.key];
        worker.can_run(&job.spec.service, phase) && !job.failed_on.contains(&target.key)
    }

    /// The workers on which restarted runs may start, suspected ones excepted.
    pub(super) fn restart_targets(&self, now_ms: u64) -> Vec<RestartTarget> {
        let workers = self.workers.iter();
        let open = workers
            .filter(|(_, worker)| worker.accepts_tasks(now_ms) && !worker.slowness.is_suspected());
        let targets = open.map(|(key, worker)| RestartTarget::new(now_ms, key, worker));
        targets.collect()
    }
}
