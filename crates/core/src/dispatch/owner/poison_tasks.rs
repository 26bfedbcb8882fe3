//! Poison tasks: tasks that crash the workers that start them.
//!
//! Load pattern: a task takes down each worker that starts it, and all that runs
//! beside it; started again for as long as its caller waits, it takes a worker each
//! time. A worker that is lost may also have crashed by itself, with its rack, or be
//! cut off, so one loss only makes a task suspect: it starts again, on a worker of its
//! own where there is one, and never beside another suspect task, which would be blamed
//! with it. The second worker lost under it ends its job.
//!
//! A worker that answers again in the same incarnation was only silent and counts no
//! more. Losses that come together are not blamed on tasks: a rack, a failure domain,
//! or this instance's own links are gone.

use std::collections::VecDeque;

use super::super::worker::Run;
use super::*;

/// Workers lost under one task after which its job is given up.
const CRASHES_MAX: usize = 2;
/// Losses within [`TOGETHER_MS`] that have a cause in common.
const TOGETHER: usize = 3;
/// Span in which losses count as coming together: leases that were granted at the
/// same time lapse within one renewal of each other.
const TOGETHER_MS: u64 = 1000;

/// When workers were lost lately, oldest first.
#[derive(Debug, Default)]
pub(super) struct Losses(VecDeque<u64>);

impl Losses {
    fn lost(&mut self, now_ms: u64, workers: usize) {
        self.0.extend(std::iter::repeat_n(now_ms, workers));
        while self
            .0
            .front()
            .is_some_and(|at_ms| at_ms + TOGETHER_MS < now_ms)
        {
            self.0.pop_front();
        }
    }

    fn come_together(&self) -> bool {
        self.0.len() >= TOGETHER
    }
}

impl Owner {
    /// Takes in that workers are lost, with all that ran there.
    pub(super) fn workers_lost(
        &mut self,
        now_ms: u64,
        lost: Vec<(WorkerKey, Vec<Run>)>,
        out: &mut Vec<Command>,
    ) {
        self.losses.lost(now_ms, lost.len());
        let blames_tasks = !self.losses.come_together();
        for (worker, runs) in lost {
            for run in runs {
                self.requeue(now_ms, &run.owner, 0);
                if blames_tasks {
                    self.blame_task(now_ms, worker, run.owner, out);
                }
            }
        }
    }

    fn blame_task(
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
        let mut note = LogEvent::job("worker lost under task", &task.name);
        note.detail = format!("lost {}", task.lost_on.len());
        let is_poison = task.lost_on.len() >= CRASHES_MAX && !job.stopping;
        out.push(Command::Log(note));
        if is_poison {
            let reason = "a task crashes the workers that start it";
            self.finish(now_ms, key, Outcome::Failed, reason, out);
        }
    }

    /// A worker answers again that may have been taken for lost.
    pub(super) fn acquit_tasks(&mut self, worker: WorkerKey) {
        let tasks = self.jobs.values_mut().flat_map(|job| &mut job.tasks);
        for task in tasks {
            task.lost_on.retain(|&lost| lost != worker);
        }
    }

    /// Whether a run on a worker is one of a suspect task.
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
