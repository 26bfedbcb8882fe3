//! Settings of the links.

use std::net::{Ipv4Addr, SocketAddr};

use trefoil_schema::peer::InstanceRef;

/// Identity, listen address and limits of an instance's links.
#[derive(Clone, Debug)]
pub struct LinkSettings {
    /// This instance and its incarnation.
    pub local_instance: InstanceRef,
    /// Address to listen on for peers.
    pub listen: SocketAddr,
    /// Maximum size of a batch, in bytes; a frame with a single message may be larger.
    pub frame_bytes_max: usize,
    /// Maximum size of a message, in bytes.
    pub message_bytes_max: usize,
    /// Maximum size of a peer's send queue, in bytes.
    pub queue_bytes_max: usize,
    /// Maximum number of messages in a peer's send queue.
    pub queue_messages_max: usize,
    /// Time after which a queued message is dropped, in milliseconds.
    pub queue_timeout_ms: u64,
    /// Maximum number of received messages that wait to be read.
    pub inbox_capacity: usize,
    /// Maximum number of known senders; frames of further senders are dropped.
    pub senders_max: usize,
    /// Minimum delay before a reconnect, in milliseconds.
    pub reconnect_min_ms: u64,
    /// Maximum delay before a reconnect, in milliseconds.
    pub reconnect_max_ms: u64,
    /// Time limit for connecting and receiving the greeting, in milliseconds.
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

/// Allowance for the fields of a frame other than its messages, in bytes.
const FRAME_OVERHEAD_BYTES: usize = 4 << 10;

impl LinkSettings {
    /// Maximum size of a received frame, in bytes.
    pub(crate) fn receive_bytes_max(&self) -> usize {
        self.frame_bytes_max + self.message_bytes_max + FRAME_OVERHEAD_BYTES
    }
}
