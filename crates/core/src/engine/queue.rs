//! The order in which jobs of one service get slots.

use std::collections::BTreeSet;

use super::job::JobId;

/// Jobs with queued tasks; a job leaves with all its tasks in one step.
#[derive(Debug, Default)]
pub(crate) struct JobQueue {
    jobs: BTreeSet<(u64, JobId)>,
    arrivals: u64,
}

impl JobQueue {
    /// A rank behind every job that came before.
    pub fn next_rank(&mut self) -> u64 {
        self.arrivals += 1;
        self.arrivals
    }

    /// Adds a job, or does nothing if it is queued.
    pub fn insert(&mut self, rank: u64, job: JobId) {
        self.jobs.insert((rank, job));
    }

    /// Removes a job and with it all its queued tasks.
    pub fn remove(&mut self, rank: u64, job: JobId) {
        self.jobs.remove(&(rank, job));
    }

    /// The job whose task is placed next.
    pub fn first(&self) -> Option<JobId> {
        self.jobs.first().map(|(_, job)| *job)
    }
}
