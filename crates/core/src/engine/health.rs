//! Health of workers as reported to operators; not used for placement.

use super::Engine;
use super::ejection::EjectionState;
use crate::time::Now;

/// Health of a worker as observed by this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthState {
    /// No task outcome was recorded yet.
    Unobserved,
    /// Gets tasks on all its slots.
    Serving,
    /// Slower than its peers, so it is selected after them.
    Slow,
    /// Gets one task at a time after an ejection.
    Probation,
    /// Gets no tasks.
    Ejected {
        /// Remaining time in milliseconds.
        for_ms: u64,
    },
}

/// Health and statistics of a worker on this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[expect(missing_docs, reason = "fields explain themselves")]
pub struct WorkerHealth {
    pub state: HealthState,
    /// Slots of the worker assigned to this instance.
    pub slots_owned: u32,
    /// Geometric mean of its run times in milliseconds; 0 if none is recorded.
    pub typical_ms: u64,
    /// Geometric mean of the service's run times in milliseconds.
    pub service_typical_ms: u64,
}

/// Summary of a service's workers on this instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceHealth {
    /// Workers with slots assigned to this instance.
    pub workers: u32,
    /// Workers that are ejected or on probation.
    pub workers_ejected: u32,
    /// Slots assigned to this instance.
    pub slots_owned: u64,
}

impl Engine {
    /// Health of a declared worker; `None` if this instance uses no slot of it.
    pub fn worker_health(&self, now: Now, name: &str) -> Option<WorkerHealth> {
        let registry = self.registry();
        let (pool, id) = registry.worker_pool(name)?;
        pool.lock().worker_health(now, id)
    }

    /// Health of a declared service's workers.
    pub fn service_health(&self, service: &str) -> Option<ServiceHealth> {
        let registry = self.registry();
        let health = registry.pool(service)?.lock().service_health();
        Some(health)
    }
}

impl HealthState {
    /// The health to report for an ejection state.
    pub(super) fn of(state: EjectionState, now: Now, is_observed: bool, is_slow: bool) -> Self {
        match state {
            EjectionState::Ejected { until_ms } => Self::Ejected {
                for_ms: until_ms.saturating_sub(now.mono_ms),
            },
            EjectionState::Probation => Self::Probation,
            EjectionState::Serving if !is_observed => Self::Unobserved,
            EjectionState::Serving if is_slow => Self::Slow,
            EjectionState::Serving => Self::Serving,
        }
    }
}

/// Converts a mean binary logarithm of milliseconds to whole milliseconds.
pub(super) fn typical_ms(mean_log2: f64) -> u64 {
    mean_log2.exp2().round() as u64
}
