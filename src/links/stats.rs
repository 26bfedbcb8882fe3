//! Link counters.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Snapshot of the counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkStats {
    /// Frames written to connections, including those that timed out or were lost.
    pub frames_out: u64,
    /// Bytes of the frames in `frames_out`.
    pub bytes_out: u64,
    /// Messages in frames that were written completely.
    pub messages_out: u64,
    /// Frames received, including dropped ones.
    pub frames_in: u64,
    /// Bytes of the frames in `frames_in`.
    pub bytes_in: u64,
    /// Messages delivered.
    pub messages_in: u64,
    /// Frames missing between received ones.
    pub gaps: u64,
    /// Connections opened to peers.
    pub connects: u64,
    /// Connections closed, in either direction; a connection is also closed when an
    /// oversized frame is received on it.
    pub disconnects: u64,
    /// Connection attempts and writes that timed out.
    pub redials: u64,
    /// Dropped frames and messages, by reason.
    pub dropped: DropStats,
}

/// Dropped frames and messages, by the `reason` label of the metric.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DropStats {
    /// Messages dropped because they were queued, or their write took, too long.
    pub late: u64,
    /// Messages rejected because the peer's queue was full.
    pub queue_full: u64,
    /// Messages queued for a peer that was removed.
    pub removed: u64,
    /// Messages in frames whose connection was closed during the write.
    pub lost: u64,
    /// Malformed frames.
    pub rubbish: u64,
    /// Frames received before, or older than a received one.
    pub doubled: u64,
    /// Frames from an older incarnation of the sender than a received one.
    pub stale: u64,
    /// Messages meant for another incarnation of this instance.
    pub other_incarnation: u64,
    /// Frames from senders beyond `senders_max`.
    pub senders: u64,
    /// Received messages whose body this version does not know.
    pub unknown: u64,
    /// Received messages dropped because the inbox was full.
    pub inbox_full: u64,
}

macro_rules! counters {
    ($($field:ident),*; $($dropped:ident),*) => {
        /// Atomic counters behind [`LinkStats`].
        #[derive(Default)]
        pub(crate) struct Counters {
            $(pub(crate) $field: Counter,)*
            $(pub(crate) $dropped: Counter,)*
        }

        impl Counters {
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
    late, queue_full, removed, lost, rubbish, doubled, stale, other_incarnation,
    senders, unknown, inbox_full
);

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
