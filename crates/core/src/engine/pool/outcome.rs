//! Outcomes of placements, and the ends of jobs that follow from them.

use bytes::Bytes;

use super::{Placement, PoolState};
use crate::engine::command::{Command, JobState};
use crate::engine::ejection::Showing;
use crate::engine::event::{TaskId, TaskOutcome};
use crate::engine::failure::FailureReason;
use crate::engine::job::{EndedJob, JobEnd, JobId, ReturnedTask};
use crate::time::Now;

impl PoolState {
    /// Takes a placement's outcome; gives the job if that ended it.
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
        self.free_slot(now, placement, &outcome);
        let ended = self.apply_outcome(placement, outcome);
        self.unpark(placement.team);
        self.dispatch(now, out);
        ended
    }

    fn free_slot(&mut self, now: Now, placement: Placement, outcome: &TaskOutcome) {
        let run_ms = now.mono_ms.saturating_sub(placement.started_ms);
        let showing = match outcome {
            TaskOutcome::Done(_) => Showing::Done { run_ms },
            TaskOutcome::Failed(_) | TaskOutcome::MayHaveRun(_) => Showing::Failed,
            TaskOutcome::NotRun(_) => Showing::Refused,
        };
        if matches!(showing, Showing::Done { .. }) {
            self.learn(now, run_ms);
        }
        self.teams.get(placement.team).running -= 1;
        let run_log2 = self.run_times.mean_log2();
        self.workers
            .finish(now.mono_ms, run_log2, placement.worker, showing);
    }

    /// Takes a run time; once they are trusted, what teams were charged by
    /// declared ones is put right.
    fn learn(&mut self, now: Now, run_ms: u64) {
        let (was_trusted, mean_ms) = (self.run_times.is_trusted(), self.run_times.mean_ms());
        self.run_times.record(run_ms);
        self.last_done_ms = now.mono_ms;
        if !was_trusted && self.run_times.is_trusted() {
            let ratio = self.run_times.mean_ms() / mean_ms;
            self.teams.rescale(now.mono_ms, ratio);
        }
    }

    fn apply_outcome(&mut self, placement: Placement, outcome: TaskOutcome) -> Option<EndedJob> {
        let Some(work) = self.jobs.get_mut(placement.job) else {
            self.stats.outcomes_dropped += 1;
            return None;
        };
        work.running -= 1;
        work.touched |= !matches!(outcome, TaskOutcome::NotRun(_));
        match outcome {
            TaskOutcome::Done(result) => self.task_done(placement, result),
            TaskOutcome::NotRun(why) => self.task_refused(placement, why),
            TaskOutcome::Failed(why) => self.fail(placement.job, FailureReason::TaskFailed, why),
            TaskOutcome::MayHaveRun(why) => self.fail(placement.job, FailureReason::TaskLost, why),
        }
    }

    fn task_done(&mut self, placement: Placement, result: Bytes) -> Option<EndedJob> {
        let work = self.jobs.get_mut(placement.job)?;
        work.tasks[placement.index as usize] = result;
        work.done += 1;
        if work.remaining() > 0 {
            return None;
        }
        let work = self.jobs.remove(placement.job)?;
        self.teams.job_ended(work.team);
        self.stats.jobs_complete += 1;
        Some(EndedJob {
            key: work.key,
            end: JobEnd::complete(work.tasks),
        })
    }

    /// Queues a refused task again, within the bounds on retries.
    fn task_refused(&mut self, placement: Placement, why: String) -> Option<EndedJob> {
        if placement.attempt >= self.settings.placement.attempts_max {
            return self.fail(placement.job, FailureReason::TaskRefused, why);
        }
        if !self.retries.try_retry() {
            return self.fail(placement.job, FailureReason::RetryBudget, why);
        }
        let work = self.jobs.get_mut(placement.job)?;
        work.returned.push(ReturnedTask {
            index: placement.index,
            attempts: placement.attempt,
            refused_by: placement.worker,
        });
        self.teams.get(work.team).queued += 1;
        self.stats.tasks_queued += 1;
        if !work.parked {
            self.queue
                .add(work.rank_ms, placement.job, 1, work.latest_start_ms);
        }
        None
    }

    /// Ends a job as failed, or does nothing if it has ended.
    pub(super) fn fail(
        &mut self,
        job: JobId,
        reason: FailureReason,
        why: String,
    ) -> Option<EndedJob> {
        let ended = self.cut_short(job, JobState::Failed, reason, why)?;
        self.stats.jobs_failed += 1;
        Some(ended)
    }

    /// Ends a job without a whole answer; its queued tasks go with it.
    pub(super) fn cut_short(
        &mut self,
        job: JobId,
        state: JobState,
        reason: FailureReason,
        why: String,
    ) -> Option<EndedJob> {
        let work = self.jobs.remove(job)?;
        let team = self.teams.get(work.team);
        team.queued -= work.queued();
        match work.parked {
            true => team.parked.remove(&(work.rank_ms, job)),
            false => {
                self.queue.remove(work.rank_ms, job, work.queued());
                true
            }
        };
        self.teams.job_ended(work.team);
        self.unpark(work.team);
        self.stats.tasks_queued -= u64::from(work.queued());
        let end = JobEnd::cut_short(&work, state, reason, why);
        Some(EndedJob { key: work.key, end })
    }
}
