//! Handling of placement outcomes and the job ends that result.

use bytes::Bytes;

use super::{Placement, PoolState};
use crate::engine::command::{Command, JobState};
use crate::engine::ejection::Observation;
use crate::engine::event::{TaskId, TaskOutcome};
use crate::engine::failure::FailureReason;
use crate::engine::job::{EndedJob, JobEnd, JobId, RefusedTask};
use crate::time::Now;

impl PoolState {
    /// Processes a placement's outcome; returns the job if this ended it.
    pub fn task_finished(
        &mut self,
        now: Now,
        task: TaskId,
        outcome: TaskOutcome,
        out: &mut Vec<Command>,
    ) -> Option<EndedJob> {
        let Some(placement) = self.placements.remove(&task) else {
            self.stats.outcomes_dropped += 1;
            return None;
        };
        self.release_slot(now, placement, &outcome);
        let ended = self.apply_outcome(placement, outcome);
        self.unpark(placement.team);
        self.dispatch(now, out);
        ended
    }

    fn release_slot(&mut self, now: Now, placement: Placement, outcome: &TaskOutcome) {
        let run_ms = now.mono_ms.saturating_sub(placement.started_ms);
        let observation = match outcome {
            TaskOutcome::Done(_) => Observation::Done { run_ms },
            TaskOutcome::Failed(_) | TaskOutcome::MayHaveRun(_) => Observation::Failed,
            TaskOutcome::NotRun(_) => Observation::Refused,
        };
        if matches!(observation, Observation::Done { .. }) {
            self.record_run_time(now, run_ms);
        }
        self.teams.get(placement.team).running -= 1;
        let run_log2 = self.run_times.mean_log2();
        self.workers
            .finish(now.mono_ms, run_log2, placement.worker, observation);
    }

    /// Records a run time. When enough are measured, rescales the teams' charges,
    /// which were based on the declared run time.
    fn record_run_time(&mut self, now: Now, run_ms: u64) {
        let (was_trusted, mean_ms) = (self.run_times.is_trusted(), self.run_times.mean_ms());
        self.run_times.record(run_ms);
        self.last_done_ms = now.mono_ms;
        if !was_trusted && self.run_times.is_trusted() {
            let ratio = self.run_times.mean_ms() / mean_ms;
            self.teams.rescale(now.mono_ms, ratio);
        }
    }

    fn apply_outcome(&mut self, placement: Placement, outcome: TaskOutcome) -> Option<EndedJob> {
        let Some(active) = self.jobs.get_mut(placement.job) else {
            self.stats.outcomes_dropped += 1;
            return None;
        };
        active.running -= 1;
        active.may_have_run |= !matches!(outcome, TaskOutcome::NotRun(_));
        match outcome {
            TaskOutcome::Done(result) => self.task_done(placement, result),
            TaskOutcome::NotRun(detail) => self.task_refused(placement, detail),
            TaskOutcome::Failed(detail) => {
                self.fail(placement.job, FailureReason::TaskFailed, detail)
            }
            TaskOutcome::MayHaveRun(detail) => {
                self.fail(placement.job, FailureReason::TaskLost, detail)
            }
        }
    }

    fn task_done(&mut self, placement: Placement, result: Bytes) -> Option<EndedJob> {
        let active = self.jobs.get_mut(placement.job)?;
        active.tasks[placement.index as usize] = result;
        active.done += 1;
        if active.remaining() > 0 {
            return None;
        }
        let active = self.jobs.remove(placement.job)?;
        self.teams.job_ended(active.team);
        self.stats.jobs_complete += 1;
        Some(EndedJob {
            key: active.key,
            end: JobEnd::complete(active.tasks),
        })
    }

    /// Queues a refused task again, within the limits on attempts and retries.
    fn task_refused(&mut self, placement: Placement, detail: String) -> Option<EndedJob> {
        if placement.attempt >= self.settings.placement.attempts_max {
            return self.fail(placement.job, FailureReason::TaskRefused, detail);
        }
        if !self.retries.try_retry() {
            return self.fail(placement.job, FailureReason::RetryBudget, detail);
        }
        let active = self.jobs.get_mut(placement.job)?;
        active.refused_tasks.push(RefusedTask {
            index: placement.index,
            attempts: placement.attempt,
            refused_by: placement.worker,
        });
        self.teams.get(active.team).queued += 1;
        self.stats.tasks_queued += 1;
        if !active.parked {
            self.queue
                .add(active.rank_ms, placement.job, 1, active.latest_start_ms);
        }
        None
    }

    /// Ends a job as failed; `None` if it has ended already.
    pub(super) fn fail(
        &mut self,
        job: JobId,
        reason: FailureReason,
        detail: String,
    ) -> Option<EndedJob> {
        let ended = self.end_incomplete(job, JobState::Failed, reason, detail)?;
        self.stats.jobs_failed += 1;
        Some(ended)
    }

    /// Ends a job without all results and drops its queued tasks.
    pub(super) fn end_incomplete(
        &mut self,
        job: JobId,
        state: JobState,
        reason: FailureReason,
        detail: String,
    ) -> Option<EndedJob> {
        let active = self.jobs.remove(job)?;
        let team = self.teams.get(active.team);
        team.queued -= active.queued();
        match active.parked {
            true => team.parked.remove(&(active.rank_ms, job)),
            false => {
                self.queue.remove(active.rank_ms, job, active.queued());
                true
            }
        };
        self.teams.job_ended(active.team);
        self.unpark(active.team);
        self.stats.tasks_queued -= u64::from(active.queued());
        let end = JobEnd::incomplete(&active, state, reason, detail);
        Some(EndedJob {
            key: active.key,
            end,
        })
    }
}
