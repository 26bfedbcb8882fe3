//! Priority queue of the jobs of one service.

use std::collections::{BTreeMap, BTreeSet};

use super::job::JobId;

/// Width of a bucket in milliseconds of rank.
const BUCKET_MS: u64 = 32;

/// Jobs with queued tasks, ordered by rank. Removing a job removes all its tasks
/// in one step.
#[derive(Debug, Default)]
pub(crate) struct JobQueue {
    jobs: BTreeSet<(u64, JobId)>,
    buckets: BTreeMap<u64, RankBucket>,
}

/// Summary of the tasks queued within a range of ranks, for estimates.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RankBucket {
    pub tasks: u64,
    /// Earliest of the jobs' latest start times; kept when a job is removed.
    pub latest_start_ms: u64,
}

impl JobQueue {
    /// Adds `tasks` tasks of a job; the job may already be in the queue.
    pub fn add(&mut self, rank_ms: u64, job: JobId, tasks: u32, latest_start_ms: u64) {
        self.jobs.insert((rank_ms, job));
        let bucket = self
            .buckets
            .entry(rank_ms / BUCKET_MS)
            .or_insert(RankBucket {
                tasks: 0,
                latest_start_ms: u64::MAX,
            });
        bucket.tasks += u64::from(tasks);
        bucket.latest_start_ms = bucket.latest_start_ms.min(latest_start_ms);
    }

    /// Removes one task of a job, and the job with its `last` task.
    pub fn take(&mut self, rank_ms: u64, job: JobId, last: bool) {
        self.reduce_bucket(rank_ms, 1);
        if last {
            self.jobs.remove(&(rank_ms, job));
        }
    }

    /// Removes a job and its `tasks` queued tasks.
    pub fn remove(&mut self, rank_ms: u64, job: JobId, tasks: u32) {
        if self.jobs.remove(&(rank_ms, job)) {
            self.reduce_bucket(rank_ms, tasks);
        }
    }

    fn reduce_bucket(&mut self, rank_ms: u64, tasks: u32) {
        let number = rank_ms / BUCKET_MS;
        let Some(bucket) = self.buckets.get_mut(&number) else {
            return;
        };
        bucket.tasks = bucket.tasks.saturating_sub(u64::from(tasks));
        if bucket.tasks == 0 {
            self.buckets.remove(&number);
        }
    }

    /// The job whose task is to be placed next.
    pub fn first(&self) -> Option<JobId> {
        self.jobs.first().map(|(_, job)| *job)
    }

    /// Number of tasks queued in the buckets up to the one of `rank_ms`.
    pub fn tasks_up_to(&self, rank_ms: u64) -> u64 {
        let buckets = self.buckets.range(..=rank_ms / BUCKET_MS);
        buckets.map(|(_, bucket)| bucket.tasks).sum()
    }

    /// The buckets that a job of rank `rank_ms` would delay.
    pub fn buckets_after(&self, rank_ms: u64) -> impl Iterator<Item = &RankBucket> {
        let buckets = self.buckets.range(rank_ms / BUCKET_MS + 1..);
        buckets.map(|(_, bucket)| bucket)
    }
}
