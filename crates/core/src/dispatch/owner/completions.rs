//! Effects of a completed run on its task, its job and its worker.

use super::super::order::RunCompletion;
use super::super::worker::Run;
use super::*;

impl Owner {
    /// Handles a completion that a worker lists. Workers list completions until they are
    /// acknowledged; repeats are ignored.
    pub(super) fn take_completion(
        &mut self,
        now_ms: u64,
        key: WorkerKey,
        completion: &RunCompletion,
        out: &mut Vec<Command>,
    ) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        if completion.number <= worker.last_completion {
            return;
        }
        worker.last_completion = completion.number;
        worker.last_completion_ms = now_ms;
        let Some(position) = worker.position(&completion.task, completion.run_id) else {
            return self.take_orphan_completion(now_ms, completion, out);
        };
        let run = worker.runs.swap_remove(position);
        let took_ms = now_ms.saturating_sub(run.ordered_ms);
        match completion.outcome {
            RunOutcome::Done => {
                worker.health.record_success();
                self.learn_run_time(now_ms, key, &run, took_ms, out);
            }
            RunOutcome::Failed => self.attribute_failure(now_ms, key, run.owner),
            RunOutcome::Stopped | RunOutcome::LeaseExpired => {}
        }
        if completion.outcome != RunOutcome::Done {
            self.observe_run_end(now_ms, key, &run);
            let mut event = LogEvent::job("run ended", &completion.task);
            event.worker = self.workers[key].record.id.to_string();
            event.detail = format!("{:?} after {took_ms} ms", completion.outcome);
            out.push(Command::Log(event));
        }
        match (completion.outcome, run.owner) {
            (RunOutcome::Done, RunOwner::Task(job, index)) => {
                self.on_task_done(now_ms, job, index, out)
            }
            (RunOutcome::Failed, RunOwner::Task(job, index)) => {
                self.on_task_failed(now_ms, job, index, out);
            }
            (RunOutcome::Done, RunOwner::Orphan { .. }) => {
                self.take_orphan_completion(now_ms, completion, out)
            }
            (_, owner) => self.requeue(now_ms, &owner, 0),
        }
    }

    /// Learns the speed of the worker and the run times of the class from a completed run.
    fn learn_run_time(
        &mut self,
        now_ms: u64,
        key: WorkerKey,
        run: &Run,
        took_ms: u64,
        out: &mut Vec<Command>,
    ) {
        let is_lasting = self.observe_run_time(now_ms, key, run, took_ms, out);
        let worker = &mut self.workers[key];
        let slowdown = worker.health.slowdown;
        if is_lasting {
            worker.health.record_run_time(run.estimate_ms, took_ms);
        }
        let is_suspected = worker.slowness.is_suspected();
        if let Some(job) = run.owner.job().and_then(|job| self.jobs.get(job)) {
            let class = &job.spec.class;
            match is_lasting {
                true => self.run_times.record(class, took_ms, slowdown),
                false if is_suspected => {}
                false => self.run_times.record_length(class, took_ms, slowdown),
            }
        }
    }

    /// Attributes a failed run to its worker or to its job.
    ///
    /// Prevents jobs that can never succeed from putting all workers on probation, which would
    /// leave no capacity for other jobs: once tasks of a job have failed on several workers and
    /// none has succeeded, the failures are the job's, and the probation that they caused is
    /// lifted.
    fn attribute_failure(&mut self, now_ms: u64, key: WorkerKey, owner: RunOwner) {
        let job = owner.job().and_then(|job| self.jobs.get_mut(job));
        let suspect = job.and_then(|job| {
            job.record_failure(key);
            job.is_suspect().then_some(job)
        });
        let Some(job) = suspect else {
            return self.workers[key].health.record_failure(now_ms);
        };
        for &worker in &job.failed_on {
            if let Some(worker) = self.workers.get_mut(worker) {
                worker.health.clear_single_failure();
            }
        }
    }

    /// Handles the completion of an unknown run, which an earlier owner started.
    fn take_orphan_completion(
        &mut self,
        now_ms: u64,
        completion: &RunCompletion,
        out: &mut Vec<Command>,
    ) {
        match self.find_task(&completion.task) {
            Some((job, index)) => {
                let is_waiting = self.jobs[job].tasks[index].is_waiting();
                if completion.outcome == RunOutcome::Done && is_waiting {
                    self.on_task_done(now_ms, job, index, out);
                }
            }
            None => {
                self.orphan_completions
                    .insert(completion.task.clone(), (completion.outcome, now_ms));
            }
        }
    }

    fn on_task_done(&mut self, now_ms: u64, key: JobKey, index: usize, out: &mut Vec<Command>) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        job.tasks[index].state = TaskState::Done;
        job.started = true;
        if job.is_done() && !job.stopping {
            self.end_job(now_ms, key, Outcome::Completed, "all tasks are done", out);
        } else {
            self.remove_if_ended(key);
        }
    }

    fn on_task_failed(&mut self, now_ms: u64, key: JobKey, index: usize, out: &mut Vec<Command>) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let task = &mut job.tasks[index];
        task.failures += 1;
        let is_last_attempt = task.failures >= job.spec.attempts_max.max(1);
        self.requeue(now_ms, &RunOwner::Task(key, index), 0);
        if is_last_attempt && self.jobs.get(key).is_some_and(|job| !job.stopping) {
            self.end_job(
                now_ms,
                key,
                Outcome::Failed,
                "a task has no attempts left",
                out,
            );
        }
    }

    /// Makes a task wait for another run, after `delay_ms` at the earliest.
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
        self.remove_if_ended(key);
    }
}
