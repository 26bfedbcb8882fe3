//! Counts of messages between instances that brought no answer.

use std::sync::atomic::{AtomicU64, Ordering};

/// Counters since the start.
#[derive(Debug, Default)]
pub struct PeerCounters {
    misrouted: AtomicU64,
    reasked: AtomicU64,
    stale_answers: AtomicU64,
}

impl PeerCounters {
    /// Jobs that came here and belong elsewhere.
    pub fn misrouted(&self) -> u64 {
        self.misrouted.load(Ordering::Relaxed)
    }

    /// Requests sent to a key's owner once more.
    pub fn reasked(&self) -> u64 {
        self.reasked.load(Ordering::Relaxed)
    }

    /// Answers that nobody waits for: late or doubled.
    pub fn stale_answers(&self) -> u64 {
        self.stale_answers.load(Ordering::Relaxed)
    }

    pub(super) fn count_misrouted(&self) {
        self.misrouted.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn count_reasked(&self) {
        self.reasked.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn count_stale_answer(&self) {
        self.stale_answers.fetch_add(1, Ordering::Relaxed);
    }
}
