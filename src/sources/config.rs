//! Keeps the configuration in force in step with the store.
//!
//! One or two instances of a failure domain hold a watch; the others are fed
//! by peers. Either way [`ConfigLog`] decides what is applied, so that no
//! instance goes backwards. While the store cannot be reached the last
//! configuration stays in force, and a fresh instance takes it from a peer.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use slog::Logger;
use tokio::sync::watch;
use trefoil_core::config::log::Applied;
use trefoil_core::config::{ConfigLog, ConfigSnapshot, ResourceKey, StoredValue};
use trefoil_schema::peer::{ConfigChanges, ConfigRequest};
use trefoil_schema::resources::Kind;
use trefoil_schema::settings::Settings;

use super::platform::PlatformStore;

mod sync;
pub mod write;

/// Part of the store's keys that holds resources, after the prefix.
const CONFIG_PART: &str = "config/";

/// Starts the task that follows the store.
#[derive(Debug)]
pub struct ConfigSync;

impl ConfigSync {
    /// Follows the store until the last handle is dropped. It starts watching;
    /// see [`ConfigHandle::set_watching`].
    pub fn start(store: Arc<dyn PlatformStore>, settings: &Settings, log: Logger) -> ConfigHandle {
        let prefix = format!("{}{CONFIG_PART}", settings.platform.prefix);
        let shared = Shared {
            log: Mutex::default(),
            snapshots: watch::Sender::default(),
            watching: watch::Sender::new(true),
            store,
            prefix,
        };
        let shared = Arc::new(shared);
        let task = sync::Task::new(&shared, &settings.platform, log);
        tokio::spawn(task.run());
        ConfigHandle { shared }
    }
}

/// The configuration in force, shared by the tasks of an instance.
#[derive(Clone)]
pub struct ConfigHandle {
    shared: Arc<Shared>,
}

struct Shared {
    log: Mutex<ConfigLog>,
    snapshots: watch::Sender<Arc<ConfigSnapshot>>,
    watching: watch::Sender<bool>,
    store: Arc<dyn PlatformStore>,
    prefix: String,
}

impl ConfigHandle {
    /// The configuration in force.
    pub fn current(&self) -> Arc<ConfigSnapshot> {
        self.shared.log().snapshot()
    }

    /// Gives every configuration that comes into force; a slow reader sees
    /// only the newest.
    pub fn subscribe(&self) -> watch::Receiver<Arc<ConfigSnapshot>> {
        self.shared.snapshots.subscribe()
    }

    /// What a peer at `after_revision` lacks.
    pub fn changes_after(&self, after_revision: u64) -> ConfigChanges {
        self.shared.log().changes_after(after_revision)
    }

    /// Applies what a peer sent; gives a request to send back where changes in
    /// between are missing.
    pub fn apply_from_peer(&self, changes: &ConfigChanges) -> Option<ConfigRequest> {
        match self.shared.update(|log| log.apply_message(changes)) {
            Applied::Advanced | Applied::AlreadyApplied => None,
            Applied::Gap { after_revision } => Some(ConfigRequest { after_revision }),
        }
    }

    /// The request to send to a peer that has `peer_revision` in force, where
    /// this instance is behind it.
    pub fn request_if_behind(&self, peer_revision: u64) -> Option<ConfigRequest> {
        let after_revision = self.shared.log().revision();
        (after_revision < peer_revision).then_some(ConfigRequest { after_revision })
    }

    /// Whether this instance holds a watch itself or relies on its peers.
    pub fn set_watching(&self, watching: bool) {
        self.shared
            .watching
            .send_if_modified(|held| std::mem::replace(held, watching) != watching);
    }

    /// The switch of [`Self::set_watching`], for other reads of the store that
    /// the same instances make.
    pub fn watching(&self) -> watch::Receiver<bool> {
        self.shared.watching.subscribe()
    }

    /// Whether the last call to the store was answered.
    pub fn store_reachable(&self) -> bool {
        self.shared.store.reachable()
    }

    /// Stored values that could not be read, so far.
    pub fn unreadable(&self) -> u64 {
        self.shared.log().unreadable()
    }

    /// A resource as it is in force here.
    pub fn value(&self, key: &ResourceKey) -> Option<StoredValue> {
        self.shared.log().values().get(key).cloned()
    }

    /// All resources of a kind as they are in force here, by name.
    pub fn values(&self, kind: Kind) -> Vec<(ResourceKey, StoredValue)> {
        let log = self.shared.log();
        let of_kind = log.values().iter().filter(|(key, _)| key.kind == kind);
        of_kind
            .map(|(key, stored)| (key.clone(), stored.clone()))
            .collect()
    }

    /// The store's key of a resource.
    pub fn store_key(&self, key: &ResourceKey) -> String {
        format!("{}{key}", self.shared.prefix)
    }

    /// The resource behind a key of the store.
    pub fn resource_key(&self, store_key: &str) -> Option<ResourceKey> {
        self.shared.resource_key(store_key)
    }
}

impl Shared {
    // A reader of a poisoned log still sees whole configurations: the snapshot
    // is replaced in one step.
    fn log(&self) -> MutexGuard<'_, ConfigLog> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner)
    }

    // Published under the lock, so that subscribers never see a step back.
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
