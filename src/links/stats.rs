//! Counters of the links.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Counters since the start, as read at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkStats {
    /// Frames offered to connections, with those that timed out or were lost.
    pub frames_out: u64,
    /// Bytes of those frames.
    pub bytes_out: u64,
    /// Messages in those frames.
    pub messages_out: u64,
    /// Frames received, good or not.
    pub frames_in: u64,
    /// Bytes of those frames.
    pub bytes_in: u64,
    /// Messages delivered.
    pub messages_in: u64,
    /// Frames missing between two received ones.
    pub gaps: u64,
    /// Connections to peers that came up.
    pub connects: u64,
    /// Connections lost, either way; an oversized frame costs its sender one.
    pub disconnects: u64,
    /// Dials and connections given up after no progress.
    pub redials: u64,
    /// What was dropped, by reason.
    pub dropped: DropStats,
}

/// What was dropped, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DropStats {
    /// Messages that waited too long for their peer.
    pub late: u64,
    /// Messages refused because the peer's queue was full.
    pub queue_full: u64,
    /// Messages that waited for a peer that was removed.
    pub removed: u64,
    /// Messages in a frame that its connection lost before taking it.
    pub lost: u64,
    /// Received frames that are no frames.
    pub rubbish: u64,
    /// Received frames seen before, or overtaken by later ones.
    pub doubled: u64,
    /// Received frames of an incarnation that a newer one has replaced.
    pub stale: u64,
    /// Received frames of more senders than are remembered.
    pub senders: u64,
    /// Received messages without a body that this version knows.
    pub unknown: u64,
    /// Received messages that found this instance's reader too far behind.
    pub inbox_full: u64,
}

macro_rules! counters {
    ($($field:ident),*; $($dropped:ident),*) => {
        /// The counters as they are kept.
        #[derive(Default)]
        pub(crate) struct Counters {
            $(pub(crate) $field: Counter,)*
            $(pub(crate) $dropped: Counter,)*
        }

        impl Counters {
            /// Reads all counters.
            pub(crate) fn read(&self) -> LinkStats {
                LinkStats {
                    $($field: self.$field.get(),)*
                    dropped: DropStats { $($dropped: self.$dropped.get(),)* },
                }
            }
        }
    };
}

counters!(
    frames_out, bytes_out, messages_out, frames_in, bytes_in, messages_in, gaps, connects,
    disconnects, redials;
    late, queue_full, removed, lost, rubbish, doubled, stale, senders, unknown, inbox_full
);

/// One counter; it wraps never in practice.
#[derive(Default)]
pub(crate) struct Counter(AtomicU64);

impl Counter {
    pub(crate) fn add(&self, count: usize) {
        self.0.fetch_add(count as u64, Relaxed);
    }

    fn get(&self) -> u64 {
        self.0.load(Relaxed)
    }
}
