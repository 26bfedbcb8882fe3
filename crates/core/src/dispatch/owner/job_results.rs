//! How jobs end: the result is reported to the origin, the runs are stopped, and the
//! job is removed once none of them is left.

use super::*;

/// Bound on the ids of abandoned jobs in a heartbeat.
const ABANDONED_REPORTED_MAX: usize = 16;

impl Owner {
    /// Stops a job's runs; the job is removed when they have ended.
    pub(super) fn stop_job(&mut self, now_ms: u64, key: JobKey, out: &mut Vec<Command>) {
        let job = &mut self.jobs[key];
        job.origin = None;
        job.stopping = true;
        self.lost_runs.keep(now_ms, job);
        self.stop_runs(now_ms, key, out);
        self.remove_if_ended(key);
    }

    pub(super) fn stop_runs(&mut self, now_ms: u64, key: JobKey, out: &mut Vec<Command>) {
        let answer_timeout_ms = self.answer_timeout.timeout_ms();
        for (worker_key, worker) in &mut self.workers {
            let target = target_of(worker_key, worker);
            for run in &mut worker.runs {
                let is_of_job = matches!(run.owner, RunOwner::Task(job, _) if job == key);
                let is_stopping = matches!(run.state, RunState::Stopping { .. });
                if is_of_job && !is_stopping {
                    stop_run(now_ms, run, target.clone(), answer_timeout_ms, out);
                }
            }
        }
    }

    pub(super) fn remove_if_ended(&mut self, key: JobKey) {
        let job = &self.jobs[key];
        if job.origin.is_none() && !job.has_assigned_tasks() {
            let id = job.spec.id.clone();
            self.jobs.remove(key);
            if self.job_ids.get(&id) == Some(&key) {
                self.job_ids.remove(&id);
            }
        }
    }

    /// Removes a job that is being stopped; its remaining runs become orphans.
    pub(super) fn detach_runs(&mut self, key: JobKey, now_ms: u64) {
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

    /// Gives up ownership of the pool: no more orders are sent. Jobs without runs are
    /// returned to their origins; the others are reported as lost, since they may
    /// still run.
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
            self.end_job(now_ms, key, outcome, "ownership has ended", out);
        }
        self.jobs.clear();
        self.job_ids.clear();
    }

    /// Whether ownership has been given up.
    pub fn is_released(&self) -> bool {
        self.released
    }

    /// Reports the outcome to the origin, and stops the job's runs.
    pub(super) fn end_job(
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
            let result = JobResult::new(&job.spec, outcome);
            report(origin, result, reason, out);
        }
        if matches!(
            outcome,
            Outcome::Completed | Outcome::Failed | Outcome::Abandoned
        ) {
            self.ended_jobs.push_back((now_ms, id.clone(), outcome));
        }
        if outcome == Outcome::Abandoned {
            self.abandoned_jobs.push_back((now_ms, id));
        }
        if !self.released {
            self.stop_job(now_ms, key, out);
        }
    }

    /// Ids of the jobs that this owner has given up most recently, for its heartbeats.
    pub(super) fn reported_abandoned_jobs(&self) -> Vec<String> {
        let newest = self
            .abandoned_jobs
            .iter()
            .rev()
            .take(ABANDONED_REPORTED_MAX);
        newest.map(|(_, id)| id.clone()).collect()
    }

    /// Records jobs that another owner has given up, so that they do not start here when their
    /// callers submit them again.
    pub(super) fn observe_abandoned_jobs(&mut self, now_ms: u64, ids: &[String]) {
        for id in ids {
            if self.ended_outcome(id).is_none() {
                let ended = (now_ms, id.clone(), Outcome::Abandoned);
                self.ended_jobs.push_back(ended);
            }
        }
    }

    /// Reports to the origin that nothing of the job has run, and removes the job.
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
                retry_after_ms,
                ..JobResult::new(&job.spec, Outcome::NotRun)
            };
            report(origin, result, reason, out);
        }
        self.stop_job(now_ms, key, out);
    }
}

impl Owner {
    /// Reports to the origin of a job, which is not taken, that nothing of it has run.
    pub(super) fn refuse_unqueued(
        &mut self,
        now_ms: u64,
        origin: Origin,
        spec: &JobSpec,
        out: &mut Vec<Command>,
    ) {
        let result = JobResult {
            retry_after_ms: self.unqueued_retry_after_ms(now_ms, spec),
            ..JobResult::new(spec, Outcome::NotRun)
        };
        report(
            origin,
            result,
            "the jobs in progress occupy the memory",
            out,
        );
    }
}

/// Reports a result to the origin of the job.
pub(super) fn report(
    origin: Origin,
    result: JobResult,
    reason: &'static str,
    out: &mut Vec<Command>,
) {
    out.push(Command::JobEnded {
        origin,
        result,
        reason,
    });
}
