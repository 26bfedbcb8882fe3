//! Health of a worker by the outcomes and times of its runs.
//!
//! A single failure puts the worker on probation, because tasks rarely fail by
//! themselves, and a broken worker accepts every task. It gets no tasks for a while,
//! and then one at a time until one succeeds.
//!
//! The speed is a moving average of logarithms in which a single long run counts little,
//! since the task may be the cause. Each further run in succession that is off to the same
//! side counts twice as much, since then the worker is the likely cause.

/// Time without new tasks after a worker's first failure; doubles with each further
/// one.
const PAUSE_MS: u64 = 250;
/// Maximum time without new tasks.
const PAUSE_MAX_MS: u64 = 4000;
/// Weight of the latest run in the moving average of a worker's speed.
const SPEED_WEIGHT: f64 = 0.1;
/// Number of runs that the speed before a worker's first run counts as.
const PRIOR_RUNS: u32 = 2;
/// A run moves the moving average by no more than if it had differed by this factor:
/// 3 tasks in 100 take 7 times as long by themselves.
const OUTLIER_LOG: f64 = std::f64::consts::LN_2;
/// Bound on the doublings of the outlier limit and the weight.
const OUTLIERS_MAX: u32 = 2;
/// Range of the factor on a worker's run times.
pub const SLOWDOWN_RANGE: std::ops::RangeInclusive<f64> = 0.1..=12.0;

/// Health of a worker by the outcomes and times of its runs.
#[derive(Clone, Debug)]
pub struct WorkerHealth {
    failures: u32,
    paused_until_ms: u64,
    /// Lasting factor on run times, relative to the estimates.
    pub slowdown: f64,
    /// Number of runs that the speed was learned from.
    runs: u32,
    /// Number of runs in succession that were far longer (or, if negative, far shorter)
    /// than expected.
    outliers: i32,
}

impl Default for WorkerHealth {
    fn default() -> Self {
        Self {
            failures: 0,
            paused_until_ms: 0,
            slowdown: 1.0,
            runs: 0,
            outliers: 0,
        }
    }
}

impl WorkerHealth {
    /// Whether a task may be started in addition to `runs` others.
    pub fn allows_task(&self, now_ms: u64, runs: usize) -> bool {
        self.failures == 0 || (now_ms >= self.paused_until_ms && runs == 0)
    }

    /// Whether a task has failed since the last success.
    pub fn is_on_probation(&self) -> bool {
        self.failures > 0
    }

    /// Records a success, which ends the probation.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Learns the speed from a completed run; `estimate_ms` is the run time on a worker of
    /// average speed.
    pub fn record_run_time(&mut self, estimate_ms: u64, took_ms: u64) {
        let log_ratio = (took_ms.max(1) as f64 / estimate_ms.max(1) as f64).ln();
        let log_slowdown = self.slowdown.ln();
        let difference = log_ratio - log_slowdown;
        let side = match difference {
            _ if difference > OUTLIER_LOG => 1,
            _ if difference < -OUTLIER_LOG => -1,
            _ => 0,
        };
        let repeats = match side * self.outliers {
            repeats if side != 0 && repeats > 0 => repeats.unsigned_abs().min(OUTLIERS_MAX),
            _ => 0,
        };
        self.outliers = match side {
            0 => 0,
            side => side * (repeats as i32 + 1),
        };
        self.runs = self.runs.saturating_add(1);
        let factor = f64::from(1_u32 << repeats);
        let limit = OUTLIER_LOG * factor;
        let weight = (1.0 / f64::from(self.runs.saturating_add(PRIOR_RUNS))).max(SPEED_WEIGHT);
        let weight = weight.max((SPEED_WEIGHT * factor).min(0.5));
        let moved = log_slowdown + weight * difference.clamp(-limit, limit);
        self.slowdown = moved
            .exp()
            .clamp(*SLOWDOWN_RANGE.start(), *SLOWDOWN_RANGE.end());
    }

    /// Number of runs that the speed was learned from.
    pub fn runs(&self) -> u32 {
        self.runs
    }

    /// Sets the speed that is assumed before the first run.
    pub fn set_prior(&mut self, log_slowdown: f64) {
        self.slowdown = log_slowdown
            .exp()
            .clamp(*SLOWDOWN_RANGE.start(), *SLOWDOWN_RANGE.end());
    }

    /// Clears a failure that its job caused. Several failures stay: they are of different
    /// jobs.
    pub fn clear_single_failure(&mut self) {
        if self.failures == 1 {
            self.failures = 0;
        }
    }

    /// Records a failed or stalled task.
    pub fn record_failure(&mut self, now_ms: u64) {
        let pause_ms = PAUSE_MS << self.failures.min(8);
        self.failures += 1;
        self.paused_until_ms = now_ms + pause_ms.min(PAUSE_MAX_MS);
    }
}
