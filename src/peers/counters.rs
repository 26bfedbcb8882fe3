//! Counters of wasted messages between instances.

use std::sync::atomic::{AtomicU64, Ordering};

/// Counters since the start.
#[derive(Debug, Default)]
pub(crate) struct PeerCounters {
    misrouted: AtomicU64,
    reasked: AtomicU64,
    stale_answers: AtomicU64,
    mismatched_answers: AtomicU64,
}

impl PeerCounters {
    /// Forwarded jobs that this instance does not own.
    pub(crate) fn misrouted(&self) -> u64 {
        self.misrouted.load(Ordering::Relaxed)
    }

    /// Repeated requests to the owner of a key.
    pub(crate) fn reasked(&self) -> u64 {
        self.reasked.load(Ordering::Relaxed)
    }

    /// Answers without an open request: late or duplicate ones.
    pub(crate) fn stale_answers(&self) -> u64 {
        self.stale_answers.load(Ordering::Relaxed)
    }

    /// Answers whose key or sender is not that of the open request with their ID.
    pub(crate) fn mismatched_answers(&self) -> u64 {
        self.mismatched_answers.load(Ordering::Relaxed)
    }

    pub(super) fn count_misrouted(&self) {
        self.misrouted.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn count_reasked(&self) {
        self.reasked.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn count_mismatched_answer(&self) {
        self.mismatched_answers.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn count_stale_answer(&self) {
        self.stale_answers.fetch_add(1, Ordering::Relaxed);
    }
}
