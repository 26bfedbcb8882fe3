//! Division of the memory and the descriptors of a process among their uses.
//!
//! Memory that is not assigned is left for the process itself: code, declarations, state of peers
//! and workers, and the parsing of one request.

use crate::settings::InstanceSettings;

/// Descriptors that the platform reserves for files.
const RESERVED_DESCRIPTORS: u64 = 200;
/// Size of the kernel's buffer for received bytes, and of that for bytes to be sent, of a
/// caller's connection.
pub const SOCKET_BUFFER_BYTES: usize = 16 * 1024;
/// Memory of a connection besides its buffers.
const CONNECTION_OVERHEAD_BYTES: u64 = 8 * 1024;

/// Limits on the resources that a process uses for each purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceLimits {
    /// Descriptors of callers' connections.
    pub connections_max: u64,
    /// Memory of callers' connections and their buffers.
    pub connections_bytes_max: u64,
    /// Memory of request bodies that have not been received completely.
    pub bodies_bytes_max: u64,
    /// Memory of unanswered callers' jobs at the entry.
    pub entry_jobs_bytes_max: u64,
    /// Memory of jobs at the owners of the process's pools.
    pub owned_jobs_bytes_max: u64,
    /// Memory of delegations that are to be sent to other instances.
    pub delegations_bytes_max: u64,
    /// Descriptors of connections to workers.
    pub worker_connections_max: u64,
}

impl ResourceLimits {
    /// Divides the resources that the settings grant.
    pub fn new(settings: &InstanceSettings) -> Self {
        let memory_bytes = settings.memory_mb * 1024 * 1024;
        let sockets = settings
            .descriptors_max
            .saturating_sub(RESERVED_DESCRIPTORS);
        Self {
            connections_max: sockets * 45 / 100,
            connections_bytes_max: memory_bytes / 4,
            bodies_bytes_max: memory_bytes / 8,
            entry_jobs_bytes_max: memory_bytes / 8,
            owned_jobs_bytes_max: memory_bytes / 4,
            delegations_bytes_max: memory_bytes / 16,
            worker_connections_max: sockets * 40 / 100,
        }
    }

    /// Maximum number of callers' connections whose request heads are limited to
    /// `header_bytes_max`.
    pub fn connections_max(&self, header_bytes_max: u64) -> usize {
        let connection_bytes =
            header_bytes_max + SOCKET_BUFFER_BYTES as u64 + CONNECTION_OVERHEAD_BYTES;
        let by_memory = self.connections_bytes_max / connection_bytes;
        self.connections_max.min(by_memory).max(1) as usize
    }
}
