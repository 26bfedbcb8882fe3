//! Lost runs of jobs that were removed, kept for their resubmission.
//!
//! A caller whose job is cancelled, or whose link breaks, may submit the job again at once. If its
//! losses were forgotten, a poison task would take down as many workers each time.

use std::collections::VecDeque;

use super::super::job::{Job, WorkerLoss};
use super::super::limits::ENDED_JOB_RETENTION_MS;

/// Bound on the jobs that are kept.
const JOBS_MAX: usize = 256;

/// Losses of one job, by the index of the task.
type JobLosses = Vec<(usize, Vec<WorkerLoss>)>;

/// Removed jobs that had lost runs, oldest first, and when they were removed.
#[derive(Debug, Default)]
pub(super) struct LostRuns(VecDeque<(u64, String, JobLosses)>);

impl LostRuns {
    /// Keeps the losses of a job that is being removed.
    pub(super) fn keep(&mut self, now_ms: u64, job: &Job) {
        let tasks = job.tasks.iter().enumerate();
        let lossy = tasks.filter(|(_, task)| !task.losses.is_empty());
        let losses: JobLosses = lossy
            .map(|(index, task)| (index, task.losses.clone()))
            .collect();
        if losses.is_empty() {
            return;
        }
        self.take(&job.spec.id);
        if self.0.len() >= JOBS_MAX {
            self.0.pop_front();
        }
        self.0.push_back((now_ms, job.spec.id.clone(), losses));
    }

    /// Removes and returns the losses of a job.
    pub(super) fn take(&mut self, job_id: &str) -> JobLosses {
        let position = self.0.iter().position(|(_, id, _)| id == job_id);
        let kept = position.and_then(|position| self.0.remove(position));
        kept.map_or_else(Vec::new, |(_, _, losses)| losses)
    }

    /// Removes the losses for which `remains` is false, after it may have updated them.
    pub(super) fn retain(&mut self, remains: impl Fn(&mut WorkerLoss) -> bool) {
        for (_, _, losses) in &mut self.0 {
            for (_, losses) in losses {
                losses.retain_mut(&remains);
            }
        }
    }

    /// Forgets jobs that were removed long ago.
    pub(super) fn expire(&mut self, now_ms: u64) {
        let is_old = |removed_ms: u64| removed_ms + ENDED_JOB_RETENTION_MS < now_ms;
        while self.0.front().is_some_and(|kept| is_old(kept.0)) {
            self.0.pop_front();
        }
    }
}
