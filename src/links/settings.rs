//! Bounds of the links.

use std::net::{Ipv4Addr, SocketAddr};

use trefoil_schema::peer::InstanceRef;

/// Who this instance is, where it listens, and what its links may use.
#[derive(Clone, Debug)]
pub struct LinkSettings {
    /// This instance, with the number of its start.
    pub local_instance: InstanceRef,
    /// Where peers dial.
    pub listen: SocketAddr,
    /// A frame takes no further message once it holds this many bytes.
    pub frame_bytes_max: usize,
    /// Largest single message, in bytes.
    pub message_bytes_max: usize,
    /// Bytes that may wait for one peer.
    pub queue_bytes_max: usize,
    /// Messages that may wait for one peer.
    pub queue_messages_max: usize,
    /// A message that has waited this long is dropped, in milliseconds.
    pub queue_timeout_ms: u64,
    /// Messages that may wait for this instance's own reader.
    pub inbox_capacity: usize,
    /// Senders remembered; frames of further ones are dropped.
    pub senders_max: usize,
    /// Shortest wait between two dials of a peer, in milliseconds.
    pub reconnect_min_ms: u64,
    /// Longest wait between two dials of a peer, in milliseconds.
    pub reconnect_max_ms: u64,
    /// A dial without an answer is begun anew after this time, in milliseconds.
    pub dial_timeout_ms: u64,
}

impl Default for LinkSettings {
    fn default() -> Self {
        Self {
            local_instance: InstanceRef::default(),
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            frame_bytes_max: 256 << 10,
            message_bytes_max: 16 << 20,
            queue_bytes_max: 32 << 20,
            queue_messages_max: 16 << 10,
            queue_timeout_ms: 2_000,
            inbox_capacity: 16 << 10,
            senders_max: 4 << 10,
            reconnect_min_ms: 20,
            reconnect_max_ms: 500,
            dial_timeout_ms: 3_000,
        }
    }
}

/// Room for a frame's own fields beside its messages, in bytes.
const FRAME_OVERHEAD_BYTES: usize = 4 << 10;

impl LinkSettings {
    /// Largest frame a peer may send, in bytes.
    pub(crate) fn receive_bytes_max(&self) -> usize {
        self.frame_bytes_max + self.message_bytes_max + FRAME_OVERHEAD_BYTES
    }
}
