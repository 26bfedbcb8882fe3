//! Counters of calls to the store.

use std::sync::atomic::{AtomicU64, Ordering};

/// Kind of call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Read of one key or of a page of keys.
    Range,
    /// Conditional write.
    Txn,
    /// Start of a watch.
    Watch,
}

impl CallKind {
    pub(super) fn path(self) -> &'static str {
        match self {
            Self::Range => "/v3/kv/range",
            Self::Txn => "/v3/kv/txn",
            Self::Watch => "/v3/watch",
        }
    }
}

/// Calls made since the start.
#[derive(Debug, Default)]
pub struct CallCounters {
    range: AtomicU64,
    txn: AtomicU64,
    watch: AtomicU64,
    failed: AtomicU64,
}

impl CallCounters {
    /// Number of calls of one kind, including failed ones.
    pub fn of(&self, kind: CallKind) -> u64 {
        self.counter(kind).load(Ordering::Relaxed)
    }

    /// Number of failed calls of all kinds.
    pub fn failed(&self) -> u64 {
        self.failed.load(Ordering::Relaxed)
    }

    pub(super) fn count(&self, kind: CallKind) {
        self.counter(kind).fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn count_failure(&self) {
        self.failed.fetch_add(1, Ordering::Relaxed);
    }

    fn counter(&self, kind: CallKind) -> &AtomicU64 {
        match kind {
            CallKind::Range => &self.range,
            CallKind::Txn => &self.txn,
            CallKind::Watch => &self.watch,
        }
    }
}
