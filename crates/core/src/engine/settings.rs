//! Settings of the engine.

use trefoil_schema::settings::{JobSettings, PlacementSettings, Settings, WorkerSettings};

/// The part of an instance's settings that the engine uses.
#[derive(Clone, Debug, PartialEq)]
#[expect(missing_docs, reason = "fields explain themselves")]
pub struct EngineSettings {
    /// Failure domain whose workers run this instance's tasks.
    pub failure_domain: String,
    /// Limits on jobs and on the finished jobs that are remembered.
    pub jobs: JobSettings,
    pub placement: PlacementSettings,
    pub workers: WorkerSettings,
    pub order: QueueOrder,
    /// Whether jobs that cannot meet their deadline are refused on submission.
    pub admission: bool,
}

/// Order of queued jobs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum QueueOrder {
    /// Small and urgent jobs first, with fair sharing between teams.
    #[default]
    Priority,
    /// First in, first out; the baseline for comparisons.
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
