//! Recorded task starts and counters of fake backend servers.

use std::{
    hash::{DefaultHasher, Hasher},
    time::{SystemTime, UNIX_EPOCH},
};

use serde::{Deserialize, Serialize};

/// Maximum number of starts that one process records; further ones are only counted.
pub(crate) const STARTS_MAX: usize = 4_000_000;

/// One start of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStart {
    /// The `Trefoil-Task` header, `KEY/INDEX/ATTEMPT`; empty if the request had none.
    pub task: String,
    /// Address of the backend server.
    pub worker: String,
    /// Time since the fake was started, in microseconds.
    pub started_us: u64,
    /// Unix time of the start, in milliseconds.
    pub wall_ms: u64,
    /// Hash of the request body, in hexadecimal.
    pub body_hash: String,
    /// The `token` in the payload's `result`, if any.
    pub token: Option<String>,
    /// Whether the connection closed before the response.
    pub dropped: bool,
}

/// Counters of all fake backend servers of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerCounters {
    /// Task requests received.
    pub requests: u64,
    /// Tasks started.
    pub starts: u64,
    /// Tasks reported as done.
    pub answered: u64,
    /// Tasks reported as failed.
    pub failed: u64,
    /// Requests refused before the start because all slots were in use.
    pub refused_busy: u64,
    /// Requests refused before the start by an injected fault.
    pub refused_ordered: u64,
    /// Requests with an invalid payload.
    pub malformed: u64,
    /// Started tasks whose connection closed before the response.
    pub dropped: u64,
    /// Starts beyond [`STARTS_MAX`], which are not recorded.
    pub starts_not_recorded: u64,
    /// Peak number of slots in use at one backend server.
    pub slots_held_max: u64,
}

/// Hash of a body, in hexadecimal; equal in all processes of the same build.
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
