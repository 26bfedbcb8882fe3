//! What backend servers record: every start, and counters.

use std::{
    hash::{DefaultHasher, Hasher},
    time::{SystemTime, UNIX_EPOCH},
};

use serde::{Deserialize, Serialize};

/// Most starts that one process records; beyond it they are only counted.
pub const STARTS_MAX: usize = 4_000_000;

/// One start of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStart {
    /// The `Trefoil-Task` header: `KEY/INDEX/ATTEMPT`; empty where none came.
    pub task: String,
    /// Name of the backend server.
    pub worker: String,
    /// Time of the start since the process's own, in microseconds.
    pub started_us: u64,
    /// Unix time of the start, in milliseconds.
    pub wall_ms: u64,
    /// Hash of the request's body, in hexadecimal.
    pub body_hash: String,
    /// The `token` of the payload's `result`, where it has one.
    pub token: Option<String>,
    /// Whether the connection ended before the answer was given.
    pub dropped: bool,
}

/// Counters of the backend servers of one process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerCounters {
    /// Task requests that came.
    pub requests: u64,
    /// Tasks started.
    pub starts: u64,
    /// Tasks answered as done.
    pub answered: u64,
    /// Tasks answered as failed.
    pub failed: u64,
    /// Requests refused before start because every slot was held.
    pub refused_busy: u64,
    /// Requests refused before start on order.
    pub refused_ordered: u64,
    /// Requests that were no task.
    pub malformed: u64,
    /// Connections that ended before the answer was given.
    pub dropped: u64,
    /// Starts beyond [`STARTS_MAX`].
    pub starts_not_recorded: u64,
    /// Most slots held at once at one backend server.
    pub slots_held_max: u64,
}

/// Hash of a body, the same in every process of one build.
pub fn body_hash(body: &[u8]) -> String {
    let mut hasher = DefaultHasher::new();
    hasher.write(body);
    format!("{:016x}", hasher.finish())
}

/// Unix time, in milliseconds.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since.as_millis() as u64
}
