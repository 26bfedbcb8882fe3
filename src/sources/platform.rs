//! The platform's key-value service.
//!
//! [`PlatformStore`] is the edge: another store costs one file. The only
//! implementation is [`etcd::EtcdClient`], etcd v3 over its JSON mapping.

use std::future::Future;
use std::pin::Pin;

use bytes::Bytes;
use derive_more::{Display, Error};
use tokio::sync::mpsc;

pub mod etcd;
mod wire;

/// Future of a call to the store.
pub type StoreFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, StoreError>> + Send + 'a>>;

/// Why a call failed, and whether a write in it may have taken effect.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum StoreError {
    /// The call had no effect and will have none.
    #[display("the platform's store did not take the call: {reason}")]
    NotApplied {
        /// What went wrong.
        reason: String,
    },
    /// The call was sent and its answer never came; a write may have taken
    /// effect or still take it.
    #[display("the platform's store did not answer the call: {reason}")]
    MayHaveApplied {
        /// What went wrong.
        reason: String,
    },
}

/// A key with its value and its place in the store's history.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyValue {
    /// The key.
    pub key: String,
    /// Its value.
    pub value: Bytes,
    /// Store revision of its last change.
    pub revision: u64,
    /// Store revision at which it was created; 0 where the store does not say.
    pub created_revision: u64,
    /// Changes since it was created, from 1.
    pub version: u64,
}

/// Every key under a prefix, as of one store revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// Store revision that the listing shows.
    pub revision: u64,
    /// The keys, in order.
    pub keys: Vec<KeyValue>,
}

/// Answer to a conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CasResult {
    /// The write took effect.
    Applied {
        /// Store revision of the write.
        revision: u64,
    },
    /// The key was not at the expected revision; nothing was written.
    Conflict {
        /// The key as it is; `None` where it is absent.
        current: Option<KeyValue>,
    },
}

/// One change of a watched key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchChange {
    /// The key.
    pub key: String,
    /// Its new value; `None` where it was removed.
    pub value: Option<Bytes>,
    /// Store revision of the change.
    pub revision: u64,
}

/// What a watch reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// The watch stands.
    Opened,
    /// Changes, whole revisions in order.
    Changes {
        /// Store revision of the newest of them.
        revision: u64,
        /// The changes.
        changes: Vec<WatchChange>,
    },
    /// Changes since the asked revision are no longer kept: list again.
    Compacted,
    /// The watch ended; open another from the revision after the last change.
    Closed {
        /// Why, for people.
        reason: String,
    },
}

/// A key-value service with compare-and-swap and watches.
pub trait PlatformStore: Send + Sync + 'static {
    /// Every key under `prefix`, read in pages at one revision.
    fn range<'a>(&'a self, prefix: &'a str) -> StoreFuture<'a, Listing>;

    /// One key; `None` where it is absent.
    fn get<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Option<KeyValue>>;

    /// Writes `value` if the key's last change was at `expected_revision`; 0
    /// expects it absent.
    fn put_if<'a>(
        &'a self,
        key: &'a str,
        value: Bytes,
        expected_revision: u64,
    ) -> StoreFuture<'a, CasResult>;

    /// Removes the key if its last change was at `expected_revision`.
    fn delete_if<'a>(&'a self, key: &'a str, expected_revision: u64) -> StoreFuture<'a, CasResult>;

    /// Reports changes under `prefix` at `from_revision` or later. The last
    /// event is [`WatchEvent::Closed`] or [`WatchEvent::Compacted`]; dropping
    /// the receiver ends the watch.
    fn watch(&self, prefix: &str, from_revision: u64) -> mpsc::Receiver<WatchEvent>;

    /// Whether the last call was answered.
    fn reachable(&self) -> bool;
}
