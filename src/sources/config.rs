//! Keeps the current configuration up to date with the store.
//!
//! Two instances of a failure domain that reach the store watch it; the others receive
//! changes from peers. [`ConfigLog`] applies both and never goes back to an earlier
//! revision. While the store is unreachable, the last configuration stays in effect,
//! and a new instance receives it from a peer.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use slog::Logger;
use tokio::sync::watch;
use trefoil_core::config::log::Applied;
use trefoil_core::config::{ConfigLog, ConfigSnapshot, ResourceKey, StoredValue};
use trefoil_schema::peer::{ConfigChanges, ConfigRequest};
use trefoil_schema::resources::Kind;
use trefoil_schema::settings::Settings;

use super::platform::PlatformStore;

mod sync;
pub(crate) mod write;

/// Follows the configured prefix in the store's keys of resources.
const CONFIG_PART: &str = "config/";

/// Time without an answer after which changes are requested from another peer.
const PEER_REQUEST_TIMEOUT: Duration = Duration::from_millis(300);

/// Starts the task that synchronizes the configuration with the store.
#[derive(Debug)]
pub struct ConfigSync;

impl ConfigSync {
    /// Synchronizes the configuration until the last handle is dropped. Watching is
    /// initially on; see [`ConfigHandle::set_watching`].
    pub fn start(store: Arc<dyn PlatformStore>, settings: &Settings, log: Logger) -> ConfigHandle {
        let prefix = format!("{}{CONFIG_PART}", settings.platform.prefix);
        let shared = Shared {
            log: Mutex::default(),
            snapshots: watch::Sender::default(),
            watching: watch::Sender::new(true),
            confirmed: Mutex::default(),
            requested: Mutex::default(),
            store,
            prefix,
        };
        let shared = Arc::new(shared);
        let task = sync::SyncTask::new(&shared, &settings.platform, log);
        tokio::spawn(task.run());
        ConfigHandle { shared }
    }
}

/// Handle to the current configuration, shared by the tasks of an instance.
#[derive(Clone)]
pub struct ConfigHandle {
    shared: Arc<Shared>,
}

struct Shared {
    log: Mutex<ConfigLog>,
    snapshots: watch::Sender<Arc<ConfigSnapshot>>,
    watching: watch::Sender<bool>,
    /// As of when the store confirmed to this instance that the configuration is the newest one.
    confirmed: Mutex<Option<Instant>>,
    /// When changes were requested from a peer that has not answered yet.
    requested: Mutex<Option<Instant>>,
    store: Arc<dyn PlatformStore>,
    prefix: String,
}

impl ConfigHandle {
    /// Returns the current configuration.
    pub fn current(&self) -> Arc<ConfigSnapshot> {
        self.shared.log().snapshot()
    }

    /// Returns a receiver of the latest configuration.
    pub fn subscribe(&self) -> watch::Receiver<Arc<ConfigSnapshot>> {
        self.shared.snapshots.subscribe()
    }

    /// Returns the changes after `after_revision`, for a peer.
    pub fn changes_after(&self, after_revision: u64) -> ConfigChanges {
        self.shared.log().changes_after(after_revision)
    }

    /// Applies changes from a peer. If earlier changes are missing, returns a request
    /// to send to the peer.
    pub fn apply_from_peer(&self, changes: &ConfigChanges) -> Option<ConfigRequest> {
        *self.shared.requested() = None;
        match self.shared.update(|log| log.apply_message(changes)) {
            Applied::Advanced | Applied::AlreadyApplied => None,
            Applied::Gap { after_revision } => self.request_changes(after_revision),
        }
    }

    /// Returns the request to send to a peer at `peer_revision`, if this instance is
    /// behind it and waits for no other peer's answer: all peers announce a change within a
    /// heartbeat, and each would send everything that is missing.
    pub fn request_if_behind(&self, peer_revision: u64) -> Option<ConfigRequest> {
        let after_revision = self.shared.log().revision();
        match after_revision < peer_revision {
            true => self.request_changes(after_revision),
            false => None,
        }
    }

    /// Returns a request for changes unless one is outstanding.
    fn request_changes(&self, after_revision: u64) -> Option<ConfigRequest> {
        let mut requested = self.shared.requested();
        if requested.is_some_and(|at| at.elapsed() < PEER_REQUEST_TIMEOUT) {
            return None;
        }
        *requested = Some(Instant::now());
        Some(ConfigRequest { after_revision })
    }

    /// Sets whether this instance watches the store or relies on its peers.
    pub fn set_watching(&self, watching: bool) {
        self.shared
            .watching
            .send_if_modified(|current| std::mem::replace(current, watching) != watching);
    }

    /// Receiver of the value of [`Self::set_watching`].
    pub fn watching(&self) -> watch::Receiver<bool> {
        self.shared.watching.subscribe()
    }

    /// Time since the store confirmed to this instance that the configuration is the newest
    /// one; `None` if it never did. What peers know does not count.
    pub fn confirmed_age(&self) -> Option<Duration> {
        let confirmed = *self.shared.confirmed();
        confirmed.map(|confirmed| confirmed.elapsed())
    }

    /// Whether the last call to the store succeeded.
    pub fn store_reachable(&self) -> bool {
        self.shared.store.reachable()
    }

    /// Number of invalid stored values read so far.
    pub fn unreadable(&self) -> u64 {
        self.shared.log().unreadable()
    }

    /// Returns a resource of the current configuration, with its stored value.
    pub fn value(&self, key: &ResourceKey) -> Option<StoredValue> {
        self.shared.log().values().get(key).cloned()
    }

    /// Returns all resources of a kind, sorted by name.
    pub fn values(&self, kind: Kind) -> Vec<(ResourceKey, StoredValue)> {
        let log = self.shared.log();
        let of_kind = log.values().iter().filter(|(key, _)| key.kind == kind);
        of_kind
            .map(|(key, stored)| (key.clone(), stored.clone()))
            .collect()
    }

    /// Returns the key in the store of a resource.
    pub fn store_key(&self, key: &ResourceKey) -> String {
        format!("{}{key}", self.shared.prefix)
    }

    /// Parses a key in the store; `None` if it is not the key of a resource.
    pub fn resource_key(&self, store_key: &str) -> Option<ResourceKey> {
        self.shared.resource_key(store_key)
    }
}

impl Shared {
    // Poisoning is ignored: the snapshot is replaced as a whole, so that it is
    // consistent even after a panic.
    fn log(&self) -> MutexGuard<'_, ConfigLog> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn confirmed(&self) -> MutexGuard<'_, Option<Instant>> {
        self.confirmed
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn requested(&self) -> MutexGuard<'_, Option<Instant>> {
        self.requested
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    // Published under the lock, so that subscribers never receive an older snapshot.
    fn update(&self, change: impl FnOnce(&mut ConfigLog) -> Applied) -> Applied {
        let mut log = self.log();
        let applied = change(&mut log);
        if applied == Applied::Advanced {
            self.snapshots.send_replace(log.snapshot());
        }
        applied
    }

    fn resource_key(&self, store_key: &str) -> Option<ResourceKey> {
        ResourceKey::parse(store_key.strip_prefix(&self.prefix)?)
    }
}
