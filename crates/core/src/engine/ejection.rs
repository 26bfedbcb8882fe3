//! When a worker gets no work for a while: it fails what it starts, or takes
//! far longer than its peers.
//!
//! A worker is judged against its peers, so that a fault which all show ejects
//! nobody, and never more than a set share of a service's workers is out at
//! once. A worker comes back by real tasks, one at a time, after a pause that
//! doubles while it stays bad.

use trefoil_schema::settings::WorkerSettings;

use super::health::{HealthState, WorkerHealth, typical_ms};
use crate::time::Now;

/// Weight of a new outcome in a worker's failure rate.
const FAILURE_GAIN: f64 = 0.1;
/// Weight of a new run time in a worker's mean.
const RUN_TIME_GAIN: f64 = 0.1;
/// A streak of failures must be rarer than this at the peers' failure rate.
const STREAK_PROBABILITY_MAX: f64 = 0.001;
/// Run times from which a worker's mean is judged.
const SLOW_SAMPLES_MIN: u32 = 16;
/// Run times after which a worker on trial is judged.
const PROBATION_SAMPLES: u32 = 3;
/// Ratio to the service's typical run time, as a power of two, at which a
/// worker is ejected as slow: three times.
const SLOW_LOG2: f64 = 1.585;
/// Ratio below which a worker on trial is taken back: twice.
const RECOVERED_LOG2: f64 = 1.0;
/// Ratio from which a worker is chosen after its peers: one and a half.
const DEPRIORITIZED_LOG2: f64 = 0.585;
/// Most doublings of the probation pause.
const EJECTION_DOUBLINGS_MAX: u32 = 5;
/// Pause after a refused placement, doubled by each further one in a row.
const REFUSAL_BACKOFF_MS: u64 = 10;
/// Most doublings of that pause.
const REFUSAL_DOUBLINGS_MAX: u32 = 6;

/// Whether a worker gets work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EjectionState {
    /// As much as its share allows.
    Serving,
    /// None until then.
    Ejected { until_ms: u64 },
    /// One task at a time.
    Probation,
}

/// How a placement ended, as far as the worker is judged by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Observation {
    /// A result after a run time.
    Done { run_ms: u64 },
    /// A failure, or no answer.
    Failed,
    /// Refused before start.
    Refused,
}

/// What the worker is compared with.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerStats {
    /// Mean failure rate of the other workers.
    pub failure_rate: f64,
    /// Mean binary logarithm of the service's run times in milliseconds.
    pub run_log2: f64,
    /// Whether one more worker may be ejected.
    pub may_eject: bool,
}

/// A worker's record.
#[derive(Clone, Debug)]
pub(crate) struct Health {
    pub state: EjectionState,
    /// No work before this time, after refusals.
    pub backoff_until_ms: u64,
    /// When the worker is looked at again, if it pauses.
    pub timer_due_ms: u64,
    pub failure_rate: f64,
    failures_in_row: u32,
    refusals_in_row: u32,
    /// Mean binary logarithm of its run times; single long ones weigh little.
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
    /// Takes an outcome and decides on the worker's standing.
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

    /// Ends the pauses that are over; gives the end of one that is not.
    pub fn expire_timers(&mut self, now_ms: u64) -> Option<u64> {
        if let EjectionState::Ejected { until_ms } = self.state {
            if until_ms > now_ms {
                return Some(until_ms);
            }
            self.state = EjectionState::Probation;
        }
        (self.backoff_until_ms > now_ms).then_some(self.backoff_until_ms)
    }

    /// Tasks the worker may have at once, of `share` slots.
    pub fn slots(&self, now_ms: u64, share: u32) -> u32 {
        match self.state {
            _ if self.backoff_until_ms > now_ms => 0,
            EjectionState::Serving => share,
            EjectionState::Ejected { .. } => 0,
            EjectionState::Probation => share.min(1),
        }
    }

    /// Whether the worker is out, or on trial.
    pub fn is_ejected(&self) -> bool {
        self.state != EjectionState::Serving
    }

    /// The record for people.
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

    /// Order of choice; workers of a lower one go first.
    pub fn penalty(&self, run_log2: f64) -> u8 {
        u8::from(self.is_deprioritized(run_log2)) + 2 * u8::from(self.failures_in_row > 0)
    }
}
