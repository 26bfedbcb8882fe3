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
    /// Order of queued jobs.
    pub order: QueueOrder,
    /// Whether jobs that cannot meet their deadline are refused at once.
    pub admission: bool,
}

/// Order of queued jobs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum QueueOrder {
    /// Small and urgent jobs first, shared out between teams.
    #[default]
    Priority,
    /// First come, first served: the baseline.
    Fifo,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self::from(&Settings::default())
    }
}

impl From<&Settings> for EngineSettings {
    fn from(settings: &Settings) -> Self {
        Self {
            failure_domain: settings.failure_domain.clone(),
            jobs: settings.jobs.clone(),
            placement: settings.placement.clone(),
            workers: settings.workers.clone(),
            order: QueueOrder::default(),
            admission: true,
        }
    }
}
