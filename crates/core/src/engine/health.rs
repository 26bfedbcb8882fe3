//! What this instance has seen of its workers, for people: nothing here
//! decides on placement.

use super::Engine;
use super::ejection::EjectionState;
use crate::time::Now;

/// How a worker does at this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthState {
    /// No outcome of any task yet.
    Unobserved,
    /// It gets work as its slots allow.
    Serving,
    /// It takes longer than its peers and is chosen after them.
    Slow,
    /// It gets one task at a time until it has proved itself.
    Probation,
    /// It gets no work for this long.
    Ejected {
        /// Time left, in milliseconds.
        for_ms: u64,
    },
}

/// A worker as this instance sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerHealth {
    /// How it does.
    pub state: HealthState,
    /// Slots of it that this instance may use.
    pub slots_owned: u32,
    /// Its typical run time in milliseconds, rounded; 0 before any.
    pub typical_ms: u64,
    /// The service's typical run time in milliseconds, rounded.
    pub service_typical_ms: u64,
}

/// A service's workers as this instance sees them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceHealth {
    /// Workers of which this instance may use slots.
    pub workers: u32,
    /// Those of them that are ejected or on probation.
    pub workers_ejected: u32,
    /// Slots that this instance may use.
    pub slots_owned: u64,
}

impl Engine {
    /// A declared worker as seen here; `None` where no slot of it is used.
    pub fn worker_health(&self, now: Now, name: &str) -> Option<WorkerHealth> {
        let registry = self.registry();
        let (pool, id) = registry.worker_pool(name)?;
        pool.lock().worker_health(now, id)
    }

    /// A declared service's workers as seen here.
    pub fn service_health(&self, service: &str) -> Option<ServiceHealth> {
        let registry = self.registry();
        let health = registry.pool(service)?.lock().service_health();
        Some(health)
    }
}

impl HealthState {
    /// The standing for people behind the one that decides.
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

/// A mean binary logarithm of milliseconds, as whole milliseconds.
pub(super) fn typical_ms(mean_log2: f64) -> u64 {
    mean_log2.exp2().round() as u64
}
