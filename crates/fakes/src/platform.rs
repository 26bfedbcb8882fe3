//! Fake of the platform's key-value service: etcd v3's JSON mapping over HTTP/1.1, with injected
//! faults and counters of calls.
//!
//! Writes are synced one at a time, so that their rate is limited as at the platform.
//! `POST /fake/instances` replaces the instance list.

mod defaults;
pub mod faults;
mod messages;
mod service;
mod store;
mod watch;

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use serde_json::Value;
use tokio::{
    net::TcpListener,
    sync::watch as watch_channel,
    task::JoinHandle,
    time::{interval, sleep},
};

use crate::http::Server;
use faults::{Counters, FaultUpdate, Faults};
use messages::{Blob, DeleteRangeRequest, Int64, PutRequest, RangeRequest};
use store::Store;

/// Prefix of the keys of the platform's instance list.
pub const INSTANCE_LIST_PREFIX: &str = "/platform/instances/";
/// End of the key range: the prefix with its last byte incremented.
const INSTANCE_LIST_END: &str = "/platform/instances0";
const EXPIRY_CHECK_MS: u64 = 50;

/// Options of the fake platform.
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// Time that it takes to sync a write, in milliseconds.
    pub sync_ms: u64,
    /// Number of changes kept for watches that start at an earlier revision.
    pub history_max: usize,
    /// Omit fields with default values from responses, as etcd does, such as `succeeded`, `kvs`,
    /// `count` and the type of a write event.
    pub omit_defaults: bool,
    /// Initial faults.
    pub faults: Faults,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        Self {
            sync_ms: 3,
            history_max: 100_000,
            omit_defaults: false,
            faults: Faults::default(),
        }
    }
}

/// State shared by the request handlers.
#[derive(Debug)]
struct Shared {
    sync_ms: u64,
    omit_defaults: bool,
    store: Mutex<Store>,
    faults: Mutex<Faults>,
    counters: Mutex<Counters>,
    /// Held while a write is synced.
    sync: tokio::sync::Mutex<()>,
    /// Notified of every change of the store or the faults.
    changed: watch_channel::Sender<u64>,
}

impl Shared {
    fn store(&self) -> MutexGuard<'_, Store> {
        lock(&self.store)
    }

    fn faults(&self) -> MutexGuard<'_, Faults> {
        lock(&self.faults)
    }

    fn counters(&self) -> MutexGuard<'_, Counters> {
        lock(&self.counters)
    }

    fn notify_change(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    fn update_faults(self: &Arc<Self>, update: &FaultUpdate) {
        update.apply(&mut self.faults());
        self.notify_change();
        if let Some(down_for_ms) = update.down_for_ms {
            tokio::spawn(end_outage(Arc::clone(self), down_for_ms));
        }
    }

    fn expire_lease(&self, id: i64) -> bool {
        let revoked = self.store().revoke(Int64(id));
        self.notify_change();
        revoked
    }

    fn set_instances(self: &Arc<Self>, entries: Vec<Value>) {
        let lag_ms = self.faults().instance_list_lag_ms;
        tokio::spawn(publish_instances(Arc::clone(self), entries, lag_ms));
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn end_outage(shared: Arc<Shared>, down_for_ms: u64) {
    sleep(Duration::from_millis(down_for_ms)).await;
    shared.faults().down = false;
    shared.notify_change();
}

async fn publish_instances(shared: Arc<Shared>, entries: Vec<Value>, lag_ms: u64) {
    sleep(Duration::from_millis(lag_ms)).await;
    replace_instance_list(&mut shared.store(), &entries);
    shared.notify_change();
}

fn replace_instance_list(store: &mut Store, entries: &[Value]) {
    let current = store.range(&RangeRequest {
        key: Blob(INSTANCE_LIST_PREFIX.into()),
        range_end: Blob(INSTANCE_LIST_END.into()),
        ..RangeRequest::default()
    });
    let desired: Vec<_> = entries.iter().map(instance_entry).collect();
    for kv in &current.kvs {
        if desired.iter().all(|(key, _)| *key != kv.key) {
            store.delete_range(&DeleteRangeRequest {
                key: kv.key.clone(),
                ..DeleteRangeRequest::default()
            });
        }
    }
    for (key, value) in desired {
        if current
            .kvs
            .iter()
            .any(|kv| kv.key == key && kv.value == value)
        {
            continue;
        }
        store.put(&PutRequest {
            key,
            value,
            lease: Int64(0),
        });
    }
}

fn instance_entry(entry: &Value) -> (Blob, Blob) {
    let name = entry["name"].as_str().unwrap_or_default();
    let key = format!("{INSTANCE_LIST_PREFIX}{name}");
    (Blob(key.into()), Blob(entry.to_string().into()))
}

/// A running fake platform. Dropping it stops it and closes its connections.
#[derive(Debug)]
pub struct PlatformHandle {
    /// Address that the service listens on.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    server: Server,
    expiry: JoinHandle<()>,
}

impl PlatformHandle {
    /// Changes the injected faults.
    pub fn update_faults(&self, update: &FaultUpdate) {
        self.shared.update_faults(update);
    }

    /// Current counters.
    pub fn counters(&self) -> Counters {
        *self.shared.counters()
    }

    /// Expires a lease at once; false if it does not exist.
    pub fn expire_lease(&self, id: i64) -> bool {
        self.shared.expire_lease(id)
    }

    /// Replaces the instance list; readers see the change after the configured lag.
    pub fn set_instances(&self, entries: Vec<Value>) {
        self.shared.set_instances(entries);
    }

    /// Waits until the service stops.
    pub async fn wait(&mut self) {
        self.server.wait().await;
    }

    /// Stops the service and closes its connections.
    pub fn stop(self) {}
}

impl Drop for PlatformHandle {
    fn drop(&mut self) {
        self.expiry.abort();
    }
}

/// Starts a fake platform on `address`; port 0 chooses a free port.
pub async fn start(address: SocketAddr, options: PlatformOptions) -> io::Result<PlatformHandle> {
    let listener = TcpListener::bind(address).await?;
    let shared = Arc::new(Shared {
        sync_ms: options.sync_ms,
        omit_defaults: options.omit_defaults,
        store: Mutex::new(Store::new(options.history_max)),
        faults: Mutex::new(options.faults),
        counters: Mutex::default(),
        sync: tokio::sync::Mutex::new(()),
        changed: watch_channel::Sender::new(0),
    });
    let handler_shared = Arc::clone(&shared);
    let server = Server::start(listener, move |request| {
        service::handle(Arc::clone(&handler_shared), request)
    })?;
    Ok(PlatformHandle {
        address: server.address(),
        expiry: tokio::spawn(expire_leases(Arc::clone(&shared))),
        shared,
        server,
    })
}

async fn expire_leases(shared: Arc<Shared>) {
    let mut ticks = interval(Duration::from_millis(EXPIRY_CHECK_MS));
    loop {
        ticks.tick().await;
        let expired = shared.store().expire_leases(Instant::now());
        if expired {
            shared.notify_change();
        }
    }
}
