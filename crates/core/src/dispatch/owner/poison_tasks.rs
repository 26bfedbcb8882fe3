//! Poison tasks: tasks that crash the workers that start them.
//!
//! Prevents a poison task from taking down one worker after another, with all runs
//! there. A lost worker may also have crashed by itself or be unreachable, so one loss
//! only makes a task suspect: it is retried, on an otherwise idle worker if possible,
//! and never beside another suspect task, which would be suspected along with it. The
//! second worker lost under it fails its job.
//!
//! A worker that answers again in the same incarnation has not crashed; its loss is
//! forgotten. Losses that coincide are not attributed to tasks, since their cause is a
//! rack, a failure domain, or this instance's own network.

use std::collections::VecDeque;

use super::super::worker::Run;
use super::*;

/// Workers lost under one task after which its job fails.
const CRASHES_MAX: usize = 2;
/// Losses within [`CORRELATION_WINDOW_MS`] that are assumed to have a common cause.
const CORRELATED_MIN: usize = 3;
/// Window in which losses are correlated: longer than the differences between the
/// lease expiries of workers that are lost at the same time.
const CORRELATION_WINDOW_MS: u64 = 1000;

/// When workers were lost recently, oldest first.
#[derive(Debug, Default)]
pub(super) struct WorkerLosses(VecDeque<u64>);

impl WorkerLosses {
    fn record(&mut self, now_ms: u64, workers: usize) {
        self.0.extend(std::iter::repeat_n(now_ms, workers));
        while self
            .0
            .front()
            .is_some_and(|at_ms| at_ms + CORRELATION_WINDOW_MS < now_ms)
        {
            self.0.pop_front();
        }
    }

    fn are_correlated(&self) -> bool {
        self.0.len() >= CORRELATED_MIN
    }
}

impl Owner {
    /// Requeues the tasks of lost workers, and makes them suspect unless the losses are
    /// correlated.
    pub(super) fn on_workers_lost(
        &mut self,
        now_ms: u64,
        lost: Vec<(WorkerKey, Vec<Run>)>,
        out: &mut Vec<Command>,
    ) {
        self.worker_losses.record(now_ms, lost.len());
        let suspects_tasks = !self.worker_losses.are_correlated();
        for (worker, runs) in lost {
            for run in runs {
                self.requeue(now_ms, &run.owner, 0);
                if suspects_tasks {
                    self.record_worker_loss(now_ms, worker, run.owner, out);
                }
            }
        }
    }

    fn record_worker_loss(
        &mut self,
        now_ms: u64,
        worker: WorkerKey,
        owner: RunOwner,
        out: &mut Vec<Command>,
    ) {
        let RunOwner::Task(key, index) = owner else {
            return;
        };
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let task = &mut job.tasks[index];
        task.lost_on.push(worker);
        let mut event = LogEvent::job("worker lost under task", &task.name);
        event.detail = format!("lost {}", task.lost_on.len());
        let is_poison = task.lost_on.len() >= CRASHES_MAX && !job.stopping;
        out.push(Command::Log(event));
        if is_poison {
            let reason = "a task crashes the workers that start it";
            self.end_job(now_ms, key, Outcome::Failed, reason, out);
        }
    }

    /// Forgets the loss of a worker that answers again in the same incarnation.
    pub(super) fn clear_suspicion(&mut self, worker: WorkerKey) {
        let tasks = self.jobs.values_mut().flat_map(|job| &mut job.tasks);
        for task in tasks {
            task.lost_on.retain(|&lost| lost != worker);
        }
    }

    /// Whether a run of a suspect task is on a worker.
    pub(super) fn has_suspect(&self, worker: &Worker) -> bool {
        worker.runs.iter().any(|run| match run.owner {
            RunOwner::Task(key, index) => {
                let job = self.jobs.get(key);
                job.is_some_and(|job| job.tasks[index].is_suspect())
            }
            RunOwner::Orphan { .. } => false,
        })
    }
}
