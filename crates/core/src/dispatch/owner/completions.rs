//! What an end means for its task, its job and its worker.

use super::super::order::RunCompletion;
use super::*;

impl Owner {
    /// Takes in one end that a worker lists; each counts once.
    pub(super) fn take_end(
        &mut self,
        now_ms: u64,
        key: WorkerKey,
        end: &RunCompletion,
        out: &mut Vec<Command>,
    ) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        if end.number <= worker.last_completion {
            return;
        }
        worker.last_completion = end.number;
        worker.last_completion_ms = now_ms;
        let Some(position) = worker.position(&end.task, end.run_id) else {
            return self.take_orphan_end(now_ms, end, out);
        };
        let run = worker.runs.swap_remove(position);
        let took_ms = now_ms.saturating_sub(run.ordered_ms);
        match end.outcome {
            RunOutcome::Done => {
                let slowness = worker.health.slowdown;
                worker.health.record_success(run.estimate_ms, took_ms);
                if let RunOwner::Task(job, _) = run.owner
                    && let Some(job) = self.jobs.get(job)
                {
                    self.run_times.done(&job.spec.class, took_ms, slowness);
                }
            }
            RunOutcome::Failed => self.blame(now_ms, key, run.owner),
            RunOutcome::Stopped | RunOutcome::LeaseExpired => {}
        }
        if end.outcome != RunOutcome::Done {
            let mut note = LogEvent::job("run ended", &end.task);
            note.worker = self.workers[key].record.id.to_string();
            note.detail = format!("{:?} after {took_ms} ms", end.outcome);
            out.push(Command::Log(note));
        }
        match (end.outcome, run.owner) {
            (RunOutcome::Done, RunOwner::Task(job, index)) => {
                self.task_done(now_ms, job, index, out)
            }
            (RunOutcome::Failed, RunOwner::Task(job, index)) => {
                self.task_failed(now_ms, job, index, out);
            }
            (RunOutcome::Done, RunOwner::Orphan { .. }) => self.take_orphan_end(now_ms, end, out),
            (_, owner) => self.requeue(now_ms, &owner, 0),
        }
    }

    /// A run failed: by its worker's fault or its job's?
    ///
    /// Load pattern: jobs that can never be done, many at once. Each of their
    /// runs fails on another worker; were all of these paused for it, there
    /// would be no room left for the others' jobs. So the worker is paused only
    /// for the first: once tasks of one job have failed on several workers and
    /// none was done, the job is blamed, and the workers are taken back.
    fn blame(&mut self, now_ms: u64, key: WorkerKey, owner: RunOwner) {
        let job = match owner {
            RunOwner::Task(job, _) => self.jobs.get_mut(job),
            RunOwner::Orphan { .. } => None,
        };
        let suspect = job.and_then(|job| {
            job.record_failure(key);
            job.is_suspect().then_some(job)
        });
        let Some(job) = suspect else {
            return self.workers[key].health.record_failure(now_ms);
        };
        for &blamed in &job.failed_on {
            if let Some(worker) = self.workers.get_mut(blamed) {
                worker.health.clear_single_failure();
            }
        }
    }

    /// An end of a run that is not known here: an earlier owner started it.
    fn take_orphan_end(&mut self, now_ms: u64, end: &RunCompletion, out: &mut Vec<Command>) {
        match self.find_task(&end.task) {
            Some((job, index)) => {
                let waits = self.jobs[job].tasks[index].is_waiting();
                if end.outcome == RunOutcome::Done && waits {
                    self.task_done(now_ms, job, index, out);
                }
            }
            None => {
                self.orphan_ends
                    .insert(end.task.clone(), (end.outcome, now_ms));
            }
        }
    }

    fn task_done(&mut self, now_ms: u64, key: JobKey, index: usize, out: &mut Vec<Command>) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        job.tasks[index].state = TaskState::Done;
        job.started = true;
        if job.is_done() && !job.stopping {
            self.finish(now_ms, key, Outcome::Completed, "all tasks are done", out);
        } else {
            self.drop_if_ended(key);
        }
    }

    fn task_failed(&mut self, now_ms: u64, key: JobKey, index: usize, out: &mut Vec<Command>) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let task = &mut job.tasks[index];
        task.failures += 1;
        let spent = task.failures >= job.spec.attempts_max.max(1);
        self.requeue(now_ms, &RunOwner::Task(key, index), 0);
        if spent && self.jobs.get(key).is_some_and(|job| !job.stopping) {
            self.finish(
                now_ms,
                key,
                Outcome::Failed,
                "a task has no attempts left",
                out,
            );
        }
    }

    /// Lets a task wait again after a run that was not its end.
    pub(super) fn requeue(&mut self, now_ms: u64, owner: &RunOwner, delay_ms: u64) {
        let RunOwner::Task(key, index) = *owner else {
            return;
        };
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let not_before_ms = now_ms + delay_ms;
        job.tasks[index].state = TaskState::Waiting { not_before_ms };
        self.queue.invalidate();
        self.drop_if_ended(key);
    }
}
