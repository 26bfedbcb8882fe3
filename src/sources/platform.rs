//! The platform's key-value service.
//!
//! [`PlatformStore`] is the interface to a store; [`etcd::EtcdClient`] implements it
//! for etcd v3.

use std::future::Future;
use std::pin::Pin;

use bytes::Bytes;
use derive_more::{Display, Error};
use tokio::sync::mpsc;

pub mod etcd;
mod wire;

/// Future returned by the calls of a [`PlatformStore`].
pub type StoreFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, StoreError>> + Send + 'a>>;

/// Error of a call, which tells whether a write may have taken effect.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum StoreError {
    /// The call had no effect and will have none.
    #[display("call to the platform's store failed: {reason}")]
    NotApplied {
        /// Description of the failure.
        reason: String,
    },
    /// The call was sent, but no valid response was received; a write may have taken
    /// effect, or may still do so.
    #[display("no valid response from the platform's store: {reason}")]
    MayHaveApplied {
        /// Description of the failure.
        reason: String,
    },
}

/// A key with its value and revisions.
#[derive(Clone, Debug, PartialEq, Eq)]
#[expect(missing_docs, reason = "`key` and `value` explain themselves")]
pub struct KeyValue {
    pub key: String,
    pub value: Bytes,
    /// Store revision of the last change.
    pub revision: u64,
    /// Store revision of the creation; 0 if the store does not report it.
    pub created_revision: u64,
    /// Number of changes since the creation; 1 for a new key.
    pub version: u64,
}

/// All keys with a prefix at one store revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// Store revision of the listing.
    pub revision: u64,
    /// The keys, sorted.
    pub keys: Vec<KeyValue>,
}

/// Result of a conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CasResult {
    /// The write took effect.
    Applied {
        /// Store revision of the write.
        revision: u64,
    },
    /// The key was not at the expected revision; nothing was written.
    Conflict {
        /// The current key; `None` if it is absent.
        current: Option<KeyValue>,
    },
}

/// A change of a watched key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[expect(missing_docs, reason = "`key` explains itself")]
pub struct WatchChange {
    pub key: String,
    /// The new value; `None` if the key was removed.
    pub value: Option<Bytes>,
    /// Store revision of the change.
    pub revision: u64,
}

/// An event of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
#[expect(missing_docs, reason = "`changes` explains itself")]
pub enum WatchEvent {
    /// The watch is open, and nothing has changed.
    Opened,
    /// Changes in order; the changes of one revision are never split.
    Changes {
        /// Store revision of the last change.
        revision: u64,
        changes: Vec<WatchChange>,
    },
    /// The store has compacted changes after the requested revision; the keys must be
    /// listed again.
    Compacted,
    /// The watch ended; another can be opened at the revision after the last change.
    Closed {
        /// Description of the cause.
        reason: String,
    },
}

/// A key-value service with compare-and-swap and watches.
pub trait PlatformStore: Send + Sync + 'static {
    /// Reads all keys that start with `prefix`, at one revision.
    fn range<'a>(&'a self, prefix: &'a str) -> StoreFuture<'a, Listing>;

    /// Reads one key; `None` if it is absent.
    fn get<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Option<KeyValue>>;

    /// Writes `value` if the key was last changed at `expected_revision`, or is absent
    /// if that is 0.
    fn put_if<'a>(
        &'a self,
        key: &'a str,
        value: Bytes,
        expected_revision: u64,
    ) -> StoreFuture<'a, CasResult>;

    /// Removes the key if it was last changed at `expected_revision`.
    fn delete_if<'a>(&'a self, key: &'a str, expected_revision: u64) -> StoreFuture<'a, CasResult>;

    /// Watches the keys that start with `prefix` for changes from `from_revision` on.
    /// The last event is [`WatchEvent::Closed`] or [`WatchEvent::Compacted`]; dropping
    /// the receiver ends the watch.
    fn watch(&self, prefix: &str, from_revision: u64) -> mpsc::Receiver<WatchEvent>;

    /// Whether the last call succeeded.
    fn reachable(&self) -> bool;
}
