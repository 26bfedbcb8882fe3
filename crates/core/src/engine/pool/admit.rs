//! Admission of jobs to a pool.

use std::cmp::Reverse;
use std::sync::Arc;

use trefoil_schema::resources::TeamSpec;

use super::PoolState;
use crate::engine::admission::{Capacity, JobDemand, excess_ms};
use crate::engine::command::{Command, Refusal};
use crate::engine::event::Submission;
use crate::engine::job::{ActiveJob, JobId};
use crate::engine::refusal;
use crate::engine::settings::QueueOrder;
use crate::engine::teams::TeamIndex;
use crate::key::JobKey;
use crate::time::Now;

/// Weight of a job's size in its rank; limits how long smaller jobs can overtake
/// it.
const SIZE_WEIGHT: f64 = 64.0;
/// Time without a result after which the run time estimates are stale.
const STALE_MS: u64 = 1000;
/// Assumed error factor of a stale estimate.
const STALE_ERROR_FACTOR: f64 = 10.0;
/// Share of jobs whose longest task may exceed its estimated run time.
const LATE_SHARE: f64 = 0.05;
/// Share of jobs that exceed the median.
const MEDIAN_SHARE: f64 = 0.5;

/// Size and queue position of a job that is not yet admitted.
#[derive(Clone, Copy, Debug)]
struct JobPlan {
    tasks: u32,
    size_ms: f64,
    rank_ms: u64,
    latest_start_ms: u64,
}

impl PoolState {
    /// Refuses a job, or queues its tasks and starts as many as there are slots.
    pub fn admit(
        &mut self,
        now: Now,
        key: Arc<JobKey>,
        submission: Submission,
        team: &TeamSpec,
        out: &mut Vec<Command>,
    ) -> Result<JobId, Refusal> {
        if self.workers.slots() == 0 {
            return Err(refusal::no_workers());
        }
        self.workers
            .expire_timers(now.mono_ms, self.run_times.mean_log2());
        let team = self.teams.declare(&submission.team, team);
        let plan = self.plan(now, &submission, team);
        self.check_quota(&key, team, plan.tasks)?;
        self.check_deadline(now, &key, team, plan, submission.timeout_ms)?;
        let job = self.enqueue(now, key, submission, team, plan);
        self.dispatch(now, out);
        Ok(job)
    }

    fn capacity(&self) -> Capacity {
        let slots = self.workers.serving_slots();
        Capacity {
            slots,
            free_slots: (slots - self.workers.running() as f64).max(0.0),
            mean_ms: self.run_times.mean_ms(),
        }
    }

    fn plan(&mut self, now: Now, submission: &Submission, team: TeamIndex) -> JobPlan {
        let capacity = self.capacity();
        let tasks = submission.tasks.len() as u32;
        let size_ms = f64::from(tasks) * capacity.mean_ms / capacity.slots.max(1.0);
        let longest_ms = self.run_times.longest_of_ms(tasks, LATE_SHARE);
        let slack_ms = submission.timeout_ms.saturating_sub(longest_ms as u64);
        let latest_start_ms = now.mono_ms.saturating_add(slack_ms);
        let rank_ms = match self.settings.order {
            QueueOrder::Fifo => now.mono_ms,
            QueueOrder::Priority => {
                let by_size_ms = now.mono_ms + (SIZE_WEIGHT * size_ms) as u64;
                let lead_ms = self.teams.lead_ms(team, now.mono_ms);
                by_size_ms.min(latest_start_ms) + lead_ms as u64
            }
        };
        JobPlan {
            tasks,
            size_ms,
            rank_ms,
            latest_start_ms,
        }
    }

    fn check_quota(&mut self, key: &JobKey, team: TeamIndex, tasks: u32) -> Result<(), Refusal> {
        let capacity = self.capacity();
        let queued = self.stats.tasks_queued;
        let free_slots = match queued {
            0 => capacity.free_slots as u32,
            _ => 0,
        };
        let waiting = tasks.saturating_sub(free_slots);
        let queue_tasks_max = u64::from(self.settings.placement.queue_tasks_max);
        if queued + u64::from(waiting) > queue_tasks_max {
            let wait_ms = capacity.wait_ms(f64::from(tasks));
            return Err(refusal::queue_full(wait_ms, key));
        }
        let team = self.teams.get(team);
        if !team.can_queue(waiting) {
            let slots = team.usable_slots(capacity.slots).max(1.0);
            let wait_ms = f64::from(tasks) * capacity.mean_ms / slots;
            return Err(refusal::quota(wait_ms, key));
        }
        Ok(())
    }

    fn check_deadline(
        &mut self,
        now: Now,
        key: &JobKey,
        team: TeamIndex,
        plan: JobPlan,
        timeout_ms: u64,
    ) -> Result<(), Refusal> {
        let idle = self.jobs.is_empty();
        let stale = !self.run_times.is_trusted() || self.last_done_ms + STALE_MS < now.mono_ms;
        if !self.settings.admission {
            return Ok(());
        }
        let capacity = self.capacity();
        let ideal_ms = self.ideal_ms(capacity, team, plan.tasks);
        let error_factor = if stale { STALE_ERROR_FACTOR } else { 1.0 };
        if ideal_ms > error_factor * timeout_ms as f64 {
            return Err(refusal::impossible(ideal_ms));
        }
        if idle && stale {
            return Ok(());
        }
        let starts_at_once =
            self.stats.tasks_queued == 0 && f64::from(plan.tasks) <= capacity.free_slots;
        if starts_at_once && !self.teams.get(team).is_at_slots_max() {
            return Ok(());
        }
        let late_ms = self.late_ms(now, capacity, team, plan);
        late_ms.map_or(Ok(()), |late_ms| Err(refusal::overload(late_ms, key)))
    }

    /// Estimated time to run the job's tasks if all slots were free.
    fn ideal_ms(&mut self, capacity: Capacity, team: TeamIndex, tasks: u32) -> f64 {
        let slots = self.teams.get(team).usable_slots(capacity.slots);
        let free = Capacity {
            slots,
            free_slots: slots,
            ..capacity
        };
        free.wait_ms(f64::from(tasks)) + self.run_times.longest_of_ms(tasks, MEDIAN_SHARE)
    }

    /// How late this job, or a job behind it, would be; `None` if none is late.
    fn late_ms(
        &mut self,
        now: Now,
        capacity: Capacity,
        team: TeamIndex,
        plan: JobPlan,
    ) -> Option<f64> {
        let slack_ms = plan.latest_start_ms.saturating_sub(now.mono_ms) as f64;
        let demand = JobDemand {
            rank_ms: plan.rank_ms,
            tasks: plan.tasks,
            slack_ms,
            above_fair_share: self.teams.lead_ms(team, now.mono_ms) > 0.0,
        };
        let team = self.teams.get(team);
        let slots = team.usable_slots(capacity.slots);
        let of_team = Capacity {
            slots,
            free_slots: capacity.free_slots.min(slots - f64::from(team.running)),
            ..capacity
        };
        let team_wait_ms = of_team.wait_ms(f64::from(team.queued + plan.tasks));
        let late_in_team_ms = team_wait_ms - slack_ms;
        let late_ms = excess_ms(now.mono_ms, &self.queue, capacity, demand);
        let late_ms = late_ms.unwrap_or(0.0).max(match slots < capacity.slots {
            true => late_in_team_ms,
            false => 0.0,
        });
        (late_ms > 0.0).then_some(late_ms)
    }

    fn enqueue(
        &mut self,
        now: Now,
        key: Arc<JobKey>,
        submission: Submission,
        team: TeamIndex,
        plan: JobPlan,
    ) -> JobId {
        let payloads = submission.tasks.into_iter().map(|task| task.payload);
        let job = self.jobs.insert(ActiveJob {
            key,
            team,
            rank_ms: plan.rank_ms,
            latest_start_ms: plan.latest_start_ms,
            parked: false,
            tasks: payloads.collect(),
            refused_tasks: Vec::new(),
            next_unplaced: 0,
            running: 0,
            done: 0,
            may_have_run: false,
        });
        let deadline_ms = now.mono_ms.saturating_add(submission.timeout_ms);
        self.deadlines.push(Reverse((deadline_ms, job)));
        self.queue
            .add(plan.rank_ms, job, plan.tasks, plan.latest_start_ms);
        self.teams.job_admitted(team, now.mono_ms, plan.size_ms);
        self.teams.get(team).queued += plan.tasks;
        self.stats.jobs_admitted += 1;
        self.stats.tasks_queued += u64::from(plan.tasks);
        job
    }
}
