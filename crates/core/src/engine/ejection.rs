//! Outlier ejection: workers that fail their tasks, or are much slower than
//! their peers, temporarily get no tasks.
//!
//! A worker is compared with its peers, so that a failure common to all workers
//! ejects none, and the share of ejected workers of a service is limited. After
//! the ejection time, the worker is on probation and gets one task at a time. The
//! ejection time doubles with each ejection until the worker recovers.

use trefoil_schema::settings::WorkerSettings;

use super::health::{HealthState, WorkerHealth, typical_ms};
use crate::time::Now;

/// Weight of a new outcome in a worker's failure rate, a moving average.
const FAILURE_GAIN: f64 = 0.1;
/// Weight of a new run time in a worker's moving average.
const RUN_TIME_GAIN: f64 = 0.1;
/// A failure streak is an outlier if it is less likely than this at the peers'
/// failure rate.
const STREAK_PROBABILITY_MAX: f64 = 0.001;
/// Minimum number of run times before a worker can be ejected as slow.
const SLOW_SAMPLES_MIN: u32 = 16;
/// Number of run times after which probation ends.
const PROBATION_SAMPLES: u32 = 3;
/// Binary logarithm of the ratio to the service's mean run time above which a
/// worker is ejected as slow: a factor of 3.
const SLOW_LOG2: f64 = 1.585;
/// Ratio up to which a worker on probation recovers: a factor of 2.
const RECOVERED_LOG2: f64 = 1.0;
/// Ratio above which a worker is selected after its peers: a factor of 1.5.
const DEPRIORITIZED_LOG2: f64 = 0.585;
/// Maximum number of doublings of the ejection time.
const EJECTION_DOUBLINGS_MAX: u32 = 5;
/// Initial backoff after a refused placement; doubles with each consecutive
/// refusal.
const REFUSAL_BACKOFF_MS: u64 = 10;
/// Maximum number of doublings of the refusal backoff.
const REFUSAL_DOUBLINGS_MAX: u32 = 6;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EjectionState {
    /// Gets tasks on all slots of the share.
    Serving,
    /// Gets no tasks.
    Ejected { until_ms: u64 },
    /// Gets one task at a time.
    Probation,
}

/// Outcome of a placement, as evidence of a worker's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Observation {
    Done {
        run_ms: u64,
    },
    /// The task failed or was not answered.
    Failed,
    /// The task was refused before its start.
    Refused,
}

/// Statistics with which a worker is compared.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerStats {
    /// Mean failure rate of the other workers.
    pub failure_rate: f64,
    /// Mean binary logarithm of the service's run times in milliseconds.
    pub run_log2: f64,
    /// Whether one more worker may be ejected.
    pub may_eject: bool,
}

/// Health of a worker.
#[derive(Clone, Debug)]
pub(crate) struct Health {
    pub state: EjectionState,
    /// End of the backoff after refusals.
    pub backoff_until_ms: u64,
    /// When the worker's timer is due.
    pub timer_due_ms: u64,
    pub failure_rate: f64,
    failures_in_row: u32,
    refusals_in_row: u32,
    /// Mean binary logarithm of the run times in milliseconds; robust against
    /// single long ones.
    run_log2: f64,
    samples: u32,
    ejections: u32,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            state: EjectionState::Serving,
            backoff_until_ms: 0,
            timer_due_ms: 0,
            failure_rate: 0.0,
            failures_in_row: 0,
            refusals_in_row: 0,
            run_log2: 0.0,
            samples: 0,
            ejections: 0,
        }
    }
}

impl Health {
    /// Records an observation and updates the ejection state.
    pub fn record(
        &mut self,
        now_ms: u64,
        observation: Observation,
        peers: PeerStats,
        settings: &WorkerSettings,
    ) {
        match observation {
            Observation::Done { run_ms } => self.record_done(run_ms),
            Observation::Failed => self.record_failure(),
            Observation::Refused => self.record_refusal(now_ms),
        }
        let is_slow_outlier = self.samples >= SLOW_SAMPLES_MIN && self.is_slow(peers, SLOW_LOG2);
        let is_outlier = is_slow_outlier || self.has_failure_streak(peers, settings);
        match self.state {
            EjectionState::Serving if is_outlier && peers.may_eject => self.eject(now_ms, settings),
            EjectionState::Probation => self.update_probation(now_ms, observation, peers, settings),
            EjectionState::Serving | EjectionState::Ejected { .. } => {}
        }
    }

    fn record_done(&mut self, run_ms: u64) {
        self.failures_in_row = 0;
        self.refusals_in_row = 0;
        self.failure_rate -= FAILURE_GAIN * self.failure_rate;
        self.samples = self.samples.saturating_add(1);
        let gain = RUN_TIME_GAIN.max(1.0 / f64::from(self.samples));
        let run_log2 = (run_ms.max(1) as f64).log2();
        self.run_log2 += gain * (run_log2 - self.run_log2);
    }

    fn record_failure(&mut self) {
        self.failures_in_row += 1;
        self.failure_rate += FAILURE_GAIN * (1.0 - self.failure_rate);
    }

    fn record_refusal(&mut self, now_ms: u64) {
        self.record_failure();
        let doublings = self.refusals_in_row.min(REFUSAL_DOUBLINGS_MAX);
        self.refusals_in_row += 1;
        self.backoff_until_ms = now_ms + (REFUSAL_BACKOFF_MS << doublings);
    }

    fn has_failure_streak(&self, peers: PeerStats, settings: &WorkerSettings) -> bool {
        let streak = self.failures_in_row;
        streak >= settings.eject_failures.max(1)
            && peers.failure_rate.powf(f64::from(streak)) < STREAK_PROBABILITY_MAX
    }

    fn is_slow(&self, peers: PeerStats, ratio_log2: f64) -> bool {
        self.run_log2 > peers.run_log2 + ratio_log2
    }

    fn eject(&mut self, now_ms: u64, settings: &WorkerSettings) {
        let ejection_ms = settings.probation_ms << self.ejections.min(EJECTION_DOUBLINGS_MAX);
        self.ejections += 1;
        self.samples = 0;
        self.state = EjectionState::Ejected {
            until_ms: now_ms + ejection_ms,
        };
    }

    fn update_probation(
        &mut self,
        now_ms: u64,
        observation: Observation,
        peers: PeerStats,
        settings: &WorkerSettings,
    ) {
        let done = matches!(observation, Observation::Done { .. });
        let has_samples = self.samples >= PROBATION_SAMPLES;
        if !done || (has_samples && self.is_slow(peers, RECOVERED_LOG2)) {
            self.eject(now_ms, settings);
        } else if has_samples {
            self.state = EjectionState::Serving;
            self.ejections = 0;
        }
    }

    /// Ends an ejection that is over; returns when the current ejection or
    /// backoff ends, if there is one.
    pub fn expire_timers(&mut self, now_ms: u64) -> Option<u64> {
        if let EjectionState::Ejected { until_ms } = self.state {
            if until_ms > now_ms {
                return Some(until_ms);
            }
            self.state = EjectionState::Probation;
        }
        (self.backoff_until_ms > now_ms).then_some(self.backoff_until_ms)
    }

    /// Number of tasks that the worker may run, out of `share` slots.
    pub fn slots(&self, now_ms: u64, share: u32) -> u32 {
        match self.state {
            _ if self.backoff_until_ms > now_ms => 0,
            EjectionState::Serving => share,
            EjectionState::Ejected { .. } => 0,
            EjectionState::Probation => share.min(1),
        }
    }

    /// Whether the worker is ejected or on probation.
    pub fn is_ejected(&self) -> bool {
        self.state != EjectionState::Serving
    }

    /// The health to report to operators.
    pub fn report(&self, now: Now, run_log2: f64, slots_owned: u32) -> WorkerHealth {
        let is_observed = self.samples > 0 || self.failures_in_row > 0;
        let is_slow = self.is_deprioritized(run_log2);
        let typical = match self.samples {
            0 => 0,
            _ => typical_ms(self.run_log2),
        };
        WorkerHealth {
            state: HealthState::of(self.state, now, is_observed, is_slow),
            slots_owned,
            typical_ms: typical,
            service_typical_ms: typical_ms(run_log2),
        }
    }

    fn is_deprioritized(&self, run_log2: f64) -> bool {
        self.samples >= PROBATION_SAMPLES && self.run_log2 > run_log2 + DEPRIORITIZED_LOG2
    }

    /// Workers with a lower penalty are selected first.
    pub fn penalty(&self, run_log2: f64) -> u8 {
        u8::from(self.is_deprioritized(run_log2)) + 2 * u8::from(self.failures_in_row > 0)
    }
}
