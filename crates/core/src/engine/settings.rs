//! Settings of the engine.

use trefoil_schema::settings::{JobSettings, PlacementSettings, Settings, WorkerSettings};

/// What the engine takes from an instance's settings.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSettings {
    /// Failure domain whose workers get this instance's tasks.
    pub failure_domain: String,
    /// Bounds on jobs and on the memory of finished ones.
    pub jobs: JobSettings,
    /// How tasks are admitted, ordered and placed.
    pub placement: PlacementSettings,
    /// Bounds on failing workers.
    pub workers: WorkerSettings,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            failure_domain: Settings::default().failure_domain,
            jobs: JobSettings::default(),
            placement: PlacementSettings::default(),
            workers: WorkerSettings::default(),
        }
    }
}

impl From<&Settings> for EngineSettings {
    fn from(settings: &Settings) -> Self {
        Self {
            failure_domain: settings.failure_domain.clone(),
            jobs: settings.jobs.clone(),
            placement: settings.placement.clone(),
            workers: settings.workers.clone(),
        }
    }
}
