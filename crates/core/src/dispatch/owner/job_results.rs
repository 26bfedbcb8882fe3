//! How jobs end: told to their origins, their runs stopped, forgotten once
//! nothing of them can run.

use super::*;

impl Owner {
    /// Stops a job's runs; it goes when they have ended.
    pub(super) fn abandon(&mut self, now_ms: u64, key: JobKey, out: &mut Vec<Command>) {
        let job = &mut self.jobs[key];
        job.origin = None;
        job.stopping = true;
        self.stop_runs(now_ms, key, out);
        self.drop_if_ended(key);
    }

    pub(super) fn stop_runs(&mut self, now_ms: u64, key: JobKey, out: &mut Vec<Command>) {
        let answer_ms = self.answer_times.limit_ms();
        for (worker_key, worker) in &mut self.workers {
            let target = target_of(worker_key, worker);
            for run in &mut worker.runs {
                let own = matches!(run.owner, RunOwner::Task(job, _) if job == key);
                let stopped = matches!(run.state, RunState::Stopping { .. });
                if own && !stopped {
                    stop_run(now_ms, run, target.clone(), answer_ms, out);
                }
            }
        }
    }

    pub(super) fn drop_if_ended(&mut self, key: JobKey) {
        let job = &self.jobs[key];
        if job.origin.is_none() && !job.has_assigned_tasks() {
            let id = job.spec.id.clone();
            self.jobs.remove(key);
            if self.job_ids.get(&id) == Some(&key) {
                self.job_ids.remove(&id);
            }
        }
    }

    /// Lets a job that is being stopped go; what remains of its runs is
    /// nobody's until it ends.
    pub(super) fn detach(&mut self, key: JobKey, now_ms: u64) {
        for (_, worker) in &mut self.workers {
            for run in &mut worker.runs {
                if matches!(run.owner, RunOwner::Task(job, _) if job == key) {
                    run.owner = RunOwner::Orphan { stop_at_ms: now_ms };
                }
            }
        }
        if let Some(job) = self.jobs.remove(key) {
            self.job_ids.remove(&job.spec.id);
        }
    }

    /// Gives up all ownership: nothing is ordered any more. Jobs of which
    /// nothing runs go back; of the others it is said that they may run.
    pub fn release(&mut self, now_ms: u64, out: &mut Vec<Command>) {
        if self.released {
            return;
        }
        self.released = true;
        let keys: Vec<JobKey> = self.jobs.keys().collect();
        for key in keys {
            let job = &self.jobs[key];
            let outcome = match (job.has_assigned_tasks(), job.started) {
                (true, _) => Outcome::Lost,
                (false, true) => Outcome::Stopped,
                (false, false) => Outcome::Returned,
            };
            self.finish(now_ms, key, outcome, "ownership has ended", out);
        }
        self.jobs.clear();
        self.job_ids.clear();
    }

    /// Whether it has given up ownership.
    pub fn is_released(&self) -> bool {
        self.released
    }

    /// Tells the origin and forgets the job, whose runs are stopped.
    pub(super) fn finish(
        &mut self,
        now_ms: u64,
        key: JobKey,
        outcome: Outcome,
        reason: &'static str,
        out: &mut Vec<Command>,
    ) {
        let job = &mut self.jobs[key];
        let id = job.spec.id.clone();
        if let Some(origin) = job.origin {
            self.tell(origin, id.clone(), outcome, reason, out);
        }
        if matches!(outcome, Outcome::Completed | Outcome::Failed) {
            self.ended.push_back((now_ms, id, outcome));
        }
        if !self.released {
            self.abandon(now_ms, key, out);
        }
    }

    /// Tells the origin that nothing of the job has run or will, and forgets it.
    pub(super) fn refuse(
        &mut self,
        now_ms: u64,
        key: JobKey,
        reason: &'static str,
        out: &mut Vec<Command>,
    ) {
        let retry_after_ms = self.retry_after_ms(now_ms, key);
        let job = &self.jobs[key];
        if let Some(origin) = job.origin {
            let result = JobResult {
                job_id: job.spec.id.clone(),
                outcome: Outcome::NotRun,
                retry_after_ms,
            };
            out.push(Command::JobEnded {
                origin,
                result,
                reason,
            });
        }
        self.abandon(now_ms, key, out);
    }

    pub(super) fn tell(
        &self,
        origin: Origin,
        job_id: String,
        outcome: Outcome,
        reason: &'static str,
        out: &mut Vec<Command>,
    ) {
        let result = JobResult {
            job_id,
            outcome,
            retry_after_ms: 0,
        };
        out.push(Command::JobEnded {
            origin,
            result,
            reason,
        });
    }
}
