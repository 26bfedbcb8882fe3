//! Runs on workers that are about to exit.
//!
//! A draining worker may report the minimum time until its exit, and everything that runs
//! there ends with it. Workers that are taken away at short notice report about two seconds,
//! while long tasks run for up to eight. Without action, such a task runs until the exit and
//! starts again only when the lease of the lost run has expired.
//!
//! For each run there, [`RunOutlook::action`] compares the expected end of two choices: to
//! leave the run, which may end in time or be lost, or to stop it and start its task
//! elsewhere. Run times are modelled as lognormal, since estimates and class means are off by
//! 0.4 in the logarithm. A run is stopped only if the restart ends sooner, its job can then
//! still be of use, the expected worth of the job grows (a late answer has a fifth of the worth
//! of one on time) or much time is saved, and its task fits on a worker that accepts tasks.
//! Otherwise it is left alone: the stop would give up its progress for nothing.
//!
//! The task starts elsewhere only once the worker has listed the end of the stopped run, or
//! its lease has expired, as after any other stop.
//!
//! Once the announced time has passed, no further run is stopped: the worker may serve on for
//! many seconds, so nothing is known of its exit.

use std::collections::BTreeMap;

use super::super::job::LATE_FACTOR;
use super::super::limits::{LEASE_MS, RESTART_DELAY_MS};
use super::super::worker::{Departure, ExpectedExit, OVERDUE_SHARE, Run};
use super::placement::resources_of;
use super::restart_targets::RestartTarget;
use super::*;

/// Standard deviation of the natural logarithm of a run time relative to its estimate.
const RUN_TIME_SIGMA: f64 = 0.4;
/// Time from the exit of a worker until the tasks lost there can start elsewhere: the lease
/// renewed just before has to expire.
const LOSS_MS: u64 = LEASE_MS + 20;
/// Minimum gain in expected worth for which a run is stopped. A smaller one is within the error
/// of the estimates, and the stop costs two orders and the work done so far.
const GAIN_MIN: f64 = 0.05;
/// Time saved that counts as much as [`GAIN_MIN`], for jobs that are on time in any case: half
/// of what the loss of a run costs.
const SAVING_MIN_MS: f64 = 250.0;
/// Worth of a late answer relative to one on time.
const LATE_WORTH: f64 = 0.2;
/// Assumed age of a report whose time is unknown: the interval at which the registry is read.
const REPORT_AGE_MS: u64 = 700;
/// Maximum plausible age of a report when it is read: workers report every 1,500 ms, and the
/// registry is read every 700 ms. If the worker's clock shows a greater age, the entry's clock
/// is not that of the report.
const REPORT_AGE_MAX_MS: u64 = 3000;
/// Share of the free CPU that restarted tasks may take at a time. The rest is for arriving
/// jobs, which would otherwise be refused while a quarter of the workers leaves at once.
const FREE_SHARE: f64 = 0.5;

/// What is known of a run on a worker that is about to exit. All times are in milliseconds,
/// from now if not stated otherwise.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunOutlook {
    /// Time since its start was ordered.
    pub elapsed_ms: u64,
    /// Expected run time on this worker.
    pub expected_ms: u64,
    /// Minimum time until the worker's exit.
    pub remaining_ms: u64,
    /// Expected run time on the worker where the task would start again; `None` if it fits on
    /// none that accepts tasks.
    pub restart_ms: Option<u64>,
    /// Time in which the run must end for its job to end on time.
    pub on_time_for_ms: u64,
    /// Time in which the run must end for its job to end late but still be of use.
    pub useful_for_ms: u64,
}

/// What to do with a run on a worker that is about to exit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DepartureAction {
    /// Left, since it likely ends before the exit, or little would be saved.
    LeaveToEnd,
    /// Left, since its job could not be of use after a restart.
    LeaveTooLate,
    /// Left for now, since its task fits on no worker that accepts tasks.
    LeaveNoCapacity,
    /// Stopped, to start its task elsewhere.
    Restart,
}

impl RunOutlook {
    /// Decides what to do with the run.
    pub fn action(&self) -> DepartureAction {
        // A restart ends at best after a run of the same expected time.
        let restart_ms = self.restart_ms.unwrap_or(self.expected_ms);
        let restarted_end_ms = RESTART_DELAY_MS + restart_ms;
        let saved_ms = self
            .left_end_ms(restart_ms)
            .saturating_sub(restarted_end_ms);
        let gain = self.restarted_worth(restart_ms) - self.left_worth(restart_ms);
        let gain_per_ms = GAIN_MIN / SAVING_MIN_MS;
        if saved_ms == 0 || gain + saved_ms as f64 * gain_per_ms < GAIN_MIN {
            DepartureAction::LeaveToEnd
        } else if restarted_end_ms > self.useful_for_ms {
            DepartureAction::LeaveTooLate
        } else if self.restart_ms.is_none() {
            DepartureAction::LeaveNoCapacity
        } else {
            DepartureAction::Restart
        }
    }

    /// Expected end of the task if the run is left: it ends before the exit, or it is lost and
    /// then takes `restart_ms` elsewhere.
    pub fn left_end_ms(&self, restart_ms: u64) -> u64 {
        let ends_in_time = self.probability_in_time();
        let overdue_ms = (self.expected_ms as f64 * OVERDUE_SHARE) as u64;
        let left_ms = self.expected_ms.saturating_sub(self.elapsed_ms);
        let end_ms = left_ms.max(overdue_ms).min(self.remaining_ms);
        let lost_end_ms = self.remaining_ms + LOSS_MS + restart_ms;
        (ends_in_time * end_ms as f64 + (1.0 - ends_in_time) * lost_end_ms as f64) as u64
    }

    /// Expected worth of the job if the run is stopped and the task then takes `restart_ms`.
    fn restarted_worth(&self, restart_ms: u64) -> f64 {
        self.worth(|within_ms| ends_within(within_ms.saturating_sub(RESTART_DELAY_MS), restart_ms))
    }

    /// Expected worth of the job if the run is left; the task takes `restart_ms` elsewhere if
    /// the run is lost.
    fn left_worth(&self, restart_ms: u64) -> f64 {
        let lost = 1.0 - self.left_ends_within(self.remaining_ms);
        self.worth(|within_ms| {
            let restarted_within_ms = within_ms.saturating_sub(self.remaining_ms + LOSS_MS);
            self.left_ends_within(within_ms.min(self.remaining_ms))
                + lost * ends_within(restarted_within_ms, restart_ms)
        })
    }

    /// Worth of the job if `ends_within` is the probability that its task ends within a time.
    fn worth(&self, ends_within: impl Fn(u64) -> f64) -> f64 {
        let on_time = ends_within(self.on_time_for_ms);
        let useful = ends_within(self.useful_for_ms);
        on_time + LATE_WORTH * (useful - on_time)
    }

    /// Probability that a run that has not ended yet ends before the exit.
    fn probability_in_time(&self) -> f64 {
        self.left_ends_within(self.remaining_ms)
    }

    /// Probability that the run, which has not ended yet, would end within `within_ms` if its
    /// worker stayed.
    fn left_ends_within(&self, within_ms: u64) -> f64 {
        let outlasts = |ms: u64| 1.0 - ends_within(ms, self.expected_ms);
        let now = outlasts(self.elapsed_ms).max(f64::MIN_POSITIVE);
        1.0 - outlasts(self.elapsed_ms + within_ms) / now
    }
}

/// Probability that a run that is expected to take `expected_ms` ends within `within_ms`.
fn ends_within(within_ms: u64, expected_ms: u64) -> f64 {
    let ratio = within_ms as f64 / expected_ms.max(1) as f64;
    normal_cdf(ratio.ln() / RUN_TIME_SIGMA)
}

/// Logistic approximation of the standard normal distribution; its error is below 0.01.
fn normal_cdf(deviations: f64) -> f64 {
    1.0 / (1.0 + (-1.702 * deviations).exp())
}

/// Earliest exit of a worker by a report read at `now_ms`. The report's age is taken from the
/// worker's clock, if the report states it.
pub(super) fn expected_exit(
    now_ms: u64,
    worker: &Worker,
    departure: Option<Departure>,
) -> Option<ExpectedExit> {
    let departure = departure?;
    let clock_age_ms = departure
        .reported_clock_ms
        .zip(worker.clock_ms(now_ms))
        .map(|(reported_ms, clock_ms)| clock_ms.saturating_sub(reported_ms));
    let age_ms = clock_age_ms
        .filter(|&age_ms| age_ms <= REPORT_AGE_MAX_MS)
        .unwrap_or(REPORT_AGE_MS);
    Some(ExpectedExit {
        earliest_ms: (now_ms + departure.remaining_ms).saturating_sub(age_ms),
        reported_ms: now_ms.saturating_sub(age_ms),
    })
}

/// Decisions on runs of workers that are about to exit.
#[derive(Debug, Default)]
pub(super) struct Departures {
    /// Last logged decision by run id, for runs that have not ended.
    logged: BTreeMap<u64, DepartureAction>,
    /// Number of runs stopped since the last [`Owner::take_departure_restarts`].
    restarts: u64,
}

/// A run that may be stopped.
struct DepartingRun {
    worker: WorkerKey,
    run_id: u64,
    job: JobKey,
    index: usize,
    exit: ExpectedExit,
}

impl Owner {
    /// Minimum time until the announced exit of a worker; `None` if it has announced none.
    pub fn remaining_ms(&self, now_ms: u64, worker_id: &str) -> Option<u64> {
        let worker = &self.workers[*self.worker_ids.get(worker_id)?];
        let exit = worker.exit?;
        Some(exit.earliest_ms.saturating_sub(now_ms))
    }

    /// Number of runs stopped because of an announced exit since the last call.
    pub fn take_departure_restarts(&mut self) -> u64 {
        std::mem::take(&mut self.departures.restarts)
    }

    /// Stops the runs on workers that are about to exit whose tasks end sooner elsewhere.
    /// Called after waiting tasks are placed, so that the remaining free capacity is not
    /// needed by them.
    pub(super) fn restart_departing(&mut self, now_ms: u64, out: &mut Vec<Command>) {
        let runs = self.departing_runs(now_ms);
        self.departures
            .logged
            .retain(|run_id, _| runs.iter().any(|run| run.run_id == *run_id));
        if runs.is_empty() {
            return;
        }
        let mut targets = self.restart_targets(now_ms);
        let free_millicores: u64 = targets
            .iter()
            .map(|target| target.free.cpu_millicores)
            .sum();
        let stopping_millicores = self.reserve_for_stopping(&mut targets);
        let budget_millicores = (free_millicores as f64 * FREE_SHARE) as u64;
        let mut left_millicores = budget_millicores.saturating_sub(stopping_millicores);
        for run in runs {
            self.decide(now_ms, &run, &mut targets, &mut left_millicores, out);
        }
    }

    /// Runs on workers with a known time until their exit, by the end of their jobs' late
    /// objective: those that can wait least come first.
    fn departing_runs(&self, now_ms: u64) -> Vec<DepartingRun> {
        let mut runs = Vec::new();
        for (key, worker) in &self.workers {
            let Some(exit) = worker.exit.filter(|exit| now_ms < exit.earliest_ms) else {
                continue;
            };
            if !worker.record.draining || worker.fencing != FencingState::Fenced {
                continue;
            }
            for run in &worker.runs {
                if let Some((job, index)) = self.restartable(run) {
                    runs.push(DepartingRun {
                        worker: key,
                        run_id: run.run_id,
                        job,
                        index,
                        exit,
                    });
                }
            }
        }
        runs.sort_by_key(|run| (self.jobs[run.job].objective_ms(LATE_FACTOR), run.run_id));
        runs
    }

    /// Reserves resources for the tasks whose runs on leaving workers are being stopped.
    /// Returns the CPU that they need.
    fn reserve_for_stopping(&self, targets: &mut [RestartTarget]) -> u64 {
        let leaving = self.workers.values().filter(|worker| worker.exit.is_some());
        let mut millicores = 0;
        for run in leaving.flat_map(|worker| &worker.runs) {
            if let (RunState::Stopping { .. }, RunOwner::Task(key, index)) = (run.state, run.owner)
                && self.can_restart(key, index)
                && let Some((position, _)) = self.best_target(targets, &self.jobs[key], index)
            {
                let job = &self.jobs[key];
                let resources = resources_of(job.phase(&job.tasks[index]));
                targets[position].take(&resources);
                millicores += resources.cpu_millicores;
            }
        }
        millicores
    }

    /// Position of the target with enough free resources where a task ends soonest, and its
    /// expected run time there.
    fn best_target(
        &self,
        targets: &[RestartTarget],
        job: &Job,
        index: usize,
    ) -> Option<(usize, u64)> {
        let phase = job.phase(&job.tasks[index]);
        let resources = resources_of(phase);
        let fits = |target: &RestartTarget| {
            target.has_free(&resources) && self.may_restart_on(target, job, phase)
        };
        let run_ms = |target: &RestartTarget| {
            let worker = &self.workers[target.key];
            let expected_ms = worker.expected_ms(phase.estimate_ms) as f64;
            (expected_ms * self.distance(worker.is_remote(phase))) as u64
        };
        let targets = targets
            .iter()
            .enumerate()
            .filter(|(_, target)| fits(target));
        let run_times = targets.map(|(position, target)| (position, run_ms(target)));
        run_times.min_by_key(|&(_, run_ms)| run_ms)
    }

    fn decide(
        &mut self,
        now_ms: u64,
        departing: &DepartingRun,
        targets: &mut [RestartTarget],
        left_millicores: &mut u64,
        out: &mut Vec<Command>,
    ) {
        let job = &self.jobs[departing.job];
        let phase = job.phase(&job.tasks[departing.index]);
        let resources = resources_of(phase);
        let best = match resources.cpu_millicores <= *left_millicores {
            true => self.best_target(targets, job, departing.index),
            false => None,
        };
        // Phases that depend on this one have to end in time as well.
        let after_ms = job.remaining_ms().saturating_sub(phase.estimate_ms);
        let ends_for_ms = |factor: f64| {
            let until_ms = job.objective_ms(factor).min(job.caller_deadline_ms());
            until_ms.saturating_sub(now_ms + after_ms)
        };
        let worker = &self.workers[departing.worker];
        let is_run = |run: &&Run| run.run_id == departing.run_id;
        let Some(run) = worker.runs.iter().find(is_run) else {
            return;
        };
        let outlook = RunOutlook {
            elapsed_ms: now_ms.saturating_sub(run.ordered_ms),
            expected_ms: run.expected_ms,
            remaining_ms: departing.exit.earliest_ms.saturating_sub(now_ms),
            restart_ms: best.map(|(_, run_ms)| run_ms),
            on_time_for_ms: ends_for_ms(1.0),
            useful_for_ms: ends_for_ms(LATE_FACTOR),
        };
        let action = outlook.action();
        let logged = &mut self.departures.logged;
        let is_first = logged.insert(departing.run_id, action).is_none();
        if is_first || action == DepartureAction::Restart {
            out.push(Command::Log(decision_event(
                now_ms, worker, run, departing, &outlook, action,
            )));
        }
        if action == DepartureAction::Restart
            && let Some((position, _)) = best
        {
            targets[position].take(&resources);
            *left_millicores -= resources.cpu_millicores;
            self.departures.restarts += 1;
            self.stop_departing(now_ms, departing, out);
        }
    }

    fn stop_departing(&mut self, now_ms: u64, departing: &DepartingRun, out: &mut Vec<Command>) {
        let answer_timeout_ms = self.answer_timeout.timeout_ms();
        let worker = &mut self.workers[departing.worker];
        let target = target_of(departing.worker, worker);
        let mut runs = worker.runs.iter_mut();
        if let Some(run) = runs.find(|run| run.run_id == departing.run_id) {
            stop_run(now_ms, run, target, answer_timeout_ms, out);
        }
    }
}

fn decision_event(
    now_ms: u64,
    worker: &Worker,
    run: &Run,
    departing: &DepartingRun,
    outlook: &RunOutlook,
    action: DepartureAction,
) -> LogEvent {
    let mut event = LogEvent::job("run on leaving worker", &run.task);
    event.worker = worker.record.id.to_string();
    event.last_heard_ms = Some(now_ms.saturating_sub(worker.last_heard_ms));
    let restart_ms = outlook.restart_ms.unwrap_or(outlook.expected_ms);
    event.detail = format!(
        "outcome {action:?} remaining_ms {} reported_ms_ago {} elapsed_ms {} expected_ms {} \
         ends_in_ms {} restarted_ends_in_ms {} on_time_for_ms {} useful_for_ms {}",
        outlook.remaining_ms,
        now_ms.saturating_sub(departing.exit.reported_ms),
        outlook.elapsed_ms,
        outlook.expected_ms,
        outlook.left_end_ms(restart_ms),
        RESTART_DELAY_MS + restart_ms,
        outlook.on_time_for_ms,
        outlook.useful_for_ms,
    );
    event
}
