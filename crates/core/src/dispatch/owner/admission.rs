//! Admission control: which jobs may wait.
//!
//! Under sustained overload an unbounded queue holds only jobs whose callers are
//! about to give up. Each job is therefore checked when it arrives, after
//! placement has found no capacity for it, and again on each tick, by when it can
//! begin ([`forecast`]):
//!
//! * in time: it waits;
//! * late: it waits only if capacity is left beside all arriving work, which goes
//!   first. That is so after a burst, when late answers are better than none. Within a
//!   burst nothing is left, and the caller would only wait for the refusal;
//! * never: it is refused at once.
//!
//! The check is stricter for a new job than for one that waits already, so that few
//! jobs are admitted and refused later: jobs that arrive after it but rank before it
//! take capacity too, as much as their classes took recently.
//!
//! Refused callers are told to retry when the work refused before them would have
//! been done, so that they return at the rate at which the workers can serve them.
//!
//! [`forecast`]: super::forecast

use std::collections::HashMap;

use super::super::job::Job;
use super::queue::{Lateness, lateness};
use super::rate::ArrivalRate;
use super::shares::Shares;

/// Initial share of the workers' CPU that is usable despite fragmentation, for tasks of about
/// half a worker.
const USABLE_SHARE: f64 = 0.85;
/// Weight of the newest sample of the usable share, taken on each tick.
const USABLE_WEIGHT: f64 = 0.05;
/// Share of its slack within which a new job must be forecast to begin if its class
/// is over its fair share, since jobs of other classes rank before it.
const SLACK_SHARE: f64 = 0.5;
/// Time constant of the admitted work by class: a new job begins within about this
/// time or not in time at all.
const ADMITTED_WINDOW_MS: f64 = 500.0;
/// Time constant of the offered work, which decides whether late jobs may wait: a
/// longer one refuses fewer jobs and makes more of them late.
const OFFERED_WINDOW_MS: f64 = 1000.0;
/// Minimum share of the usable CPU that a job is assumed to get.
const OWN_SHARE_MIN: f64 = 0.25;
/// Bound on the number of classes whose work is tracked; a deployment uses a few dozen.
const CLASSES_MAX: usize = 1024;
/// Upper bound of the retry delay: longer overload is not a burst.
const RETRY_AFTER_MAX_MS: u64 = 20_000;
/// Lower bound of the retry delay: by then the refused job has missed its objective.
const RETRY_AFTER_MIN_MS: u64 = 1000;

/// Recent load and capacity, by which jobs are admitted.
#[derive(Clone, Debug)]
pub(super) struct Admission {
    /// Work of all jobs that arrived.
    offered: ArrivalRate,
    /// Work of admitted jobs, by class.
    admitted: HashMap<String, AdmittedClass>,
    /// Moving average of the share of CPU in use while jobs wait for capacity.
    usable_share: f64,
    /// When the work refused so far would have been done.
    refused_until_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct AdmittedClass {
    /// Priority of the job admitted last.
    priority: u32,
    work: ArrivalRate,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            offered: ArrivalRate::new(OFFERED_WINDOW_MS),
            admitted: HashMap::new(),
            usable_share: USABLE_SHARE,
            refused_until_ms: 0,
        }
    }
}

/// Forecast of when a waiting job can begin.
#[derive(Clone, Copy, Debug)]
pub(super) struct BeginForecast {
    /// If it ranks among the jobs that are in time.
    pub(super) begin_ms: u64,
    /// If all jobs that are in time go first; `None` if they take all capacity.
    pub(super) late_begin_ms: Option<u64>,
}

impl BeginForecast {
    /// Whether the job should go on waiting. A job that has begun always should,
    /// since it occupies capacity already.
    pub(super) fn is_useful(&self, job: &Job) -> bool {
        let in_time = lateness(job, self.begin_ms) == Lateness::InTime;
        let late = self.late_begin_ms;
        let late = late.is_some_and(|at_ms| lateness(job, at_ms) != Lateness::TooLate);
        job.started || in_time || late
    }
}

/// CPU of the workers that accept tasks.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CpuUsage {
    pub(super) capacity_millicores: u64,
    pub(super) free_millicores: u64,
}

impl Admission {
    /// Records the work of a job that arrived.
    pub(super) fn record_offered(&mut self, now_ms: u64, millicore_ms: u64) {
        self.offered.add(now_ms, millicore_ms);
    }

    /// CPU needed to keep up with arriving jobs.
    pub(super) fn offered_millicores(&self, now_ms: u64) -> f64 {
        self.offered.millicores(now_ms)
    }

    /// Records the work of a job that was admitted.
    pub(super) fn record_admitted(&mut self, now_ms: u64, job: &Job, millicore_ms: u64) {
        let class = &job.spec.class;
        if let Some(known) = self.admitted.get_mut(class) {
            known.priority = job.spec.priority;
            return known.work.add(now_ms, millicore_ms);
        }
        if self.admitted.len() < CLASSES_MAX {
            let priority = job.spec.priority;
            let mut rate = ArrivalRate::new(ADMITTED_WINDOW_MS);
            rate.add(now_ms, millicore_ms);
            let admitted = AdmittedClass {
                priority,
                work: rate,
            };
            self.admitted.insert(class.clone(), admitted);
        }
    }

    /// The stricter forecast of a new job: assumes that jobs which rank before it
    /// keep arriving at their recent rate.
    pub(super) fn forecast_new_job(
        &self,
        now_ms: u64,
        cpu: CpuUsage,
        shares: &Shares,
        job: &Job,
        forecast: BeginForecast,
    ) -> BeginForecast {
        let usable = self.usable_millicores(cpu);
        let delay_factor = usable / self.available_millicores(now_ms, usable, job, shares);
        let slack_share = match shares.is_over_share(&job.spec.class) {
            true => SLACK_SHARE,
            false => 1.0,
        };
        let wait_ms = forecast.begin_ms.saturating_sub(now_ms) as f64;
        BeginForecast {
            begin_ms: now_ms + (wait_ms * delay_factor / slack_share) as u64,
            ..forecast
        }
    }

    /// CPU that is left for a job beside the classes that rank before it.
    fn available_millicores(&self, now_ms: u64, usable: f64, job: &Job, shares: &Shares) -> f64 {
        let rank = |class: &str, priority: u32| (shares.is_over_share(class), priority);
        let own = rank(&job.spec.class, job.spec.priority);
        let ahead = self.admitted.iter().filter(|(class, admitted)| {
            **class != job.spec.class && rank(class, admitted.priority) < own
        });
        let ahead: f64 = ahead
            .map(|(_, admitted)| admitted.work.millicores(now_ms))
            .sum();
        f64::max(usable - ahead, usable * OWN_SHARE_MIN)
    }

    /// Samples the usable share; called while jobs wait for capacity.
    pub(super) fn record_saturation(&mut self, cpu: CpuUsage) {
        let capacity = cpu.capacity_millicores.max(1) as f64;
        let used = 1.0 - cpu.free_millicores as f64 / capacity;
        self.usable_share += USABLE_WEIGHT * (used - self.usable_share);
    }

    /// CPU that tasks can use despite fragmentation.
    pub(super) fn usable_millicores(&self, cpu: CpuUsage) -> f64 {
        f64::max(cpu.capacity_millicores as f64 * self.usable_share, 1.0)
    }

    /// When a job can begin if it yields to all jobs that are in time and would
    /// otherwise begin at `begin_ms`; `None` if those take all capacity.
    pub(super) fn late_begin_ms(&self, now_ms: u64, cpu: CpuUsage, begin_ms: u64) -> Option<u64> {
        let usable = self.usable_millicores(cpu);
        let spare = usable - self.offered.millicores(now_ms);
        let wait_ms = begin_ms.saturating_sub(now_ms) as f64;
        (spare > 0.0).then(|| now_ms + (wait_ms * usable / spare) as u64)
    }

    /// Retry delay of the caller of a job that is refused now. Callers refused after
    /// it are told to wait longer by the time that the job's work takes.
    pub(super) fn retry_after_ms(&mut self, now_ms: u64, cpu: CpuUsage, millicore_ms: u64) -> u64 {
        let takes_ms = millicore_ms as f64 / self.usable_millicores(cpu);
        let from_ms = self.refused_until_ms.max(now_ms + RETRY_AFTER_MIN_MS);
        self.refused_until_ms = (from_ms + takes_ms.ceil() as u64).min(now_ms + RETRY_AFTER_MAX_MS);
        self.refused_until_ms - now_ms
    }
}
