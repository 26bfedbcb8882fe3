//! Stand-in for the platform's key-value service: etcd v3's JSON mapping over
//! HTTP/1.1, with faults on order and counters of calls.
//!
//! Writes are synced one after another, so their rate is bounded as the
//! platform's is. `POST /fake/instances` sets the whole instance list: entries
//! that are missing from it are removed.

mod defaults;
pub mod faults;
pub mod messages;
mod service;
pub mod store;
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
    sync::watch as signal,
    task::JoinHandle,
    time::{interval, sleep},
};

use crate::http::Server;
use faults::{Counters, FaultUpdate, Faults};
use messages::{Blob, DeleteRangeRequest, Int64, PutRequest, RangeRequest};
use store::Store;

/// Prefix of the keys of the platform's instance list.
pub const INSTANCE_LIST_PREFIX: &str = "/platform/instances/";
/// End of the range of those keys: the prefix with its last byte raised.
const INSTANCE_LIST_END: &str = "/platform/instances0";
const EXPIRY_TICK_MS: u64 = 50;

/// How the stand-in behaves.
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// Time that a synced write takes, in milliseconds.
    pub sync_ms: u64,
    /// Changes kept for watches that resume.
    pub history_max: usize,
    /// Leave fields of default value out of answers, as etcd itself does:
    /// `succeeded`, `kvs`, `count`, the type of a write event and the like.
    pub omit_defaults: bool,
    /// Faults from the start.
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

/// What the parts of a running stand-in share.
#[derive(Debug)]
struct Shared {
    sync_ms: u64,
    omit_defaults: bool,
    store: Mutex<Store>,
    faults: Mutex<Faults>,
    counters: Mutex<Counters>,
    /// Held while a write is synced.
    sync: tokio::sync::Mutex<()>,
    /// Raised at every change of the store or the faults.
    changed: signal::Sender<u64>,
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

    fn raise(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    fn update_faults(self: &Arc<Self>, order: &FaultUpdate) {
        order.apply(&mut self.faults());
        self.raise();
        if let Some(down_for_ms) = order.down_for_ms {
            tokio::spawn(up_again(Arc::clone(self), down_for_ms));
        }
    }

    fn expire_lease(&self, id: i64) -> bool {
        let revoked = self.store().revoke(Int64(id));
        self.raise();
        revoked
    }

    fn set_instances(self: &Arc<Self>, entries: Vec<Value>) {
        let lag_ms = self.faults().instance_list_lag_ms;
        tokio::spawn(show_instances(Arc::clone(self), entries, lag_ms));
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn up_again(shared: Arc<Shared>, down_for_ms: u64) {
    sleep(Duration::from_millis(down_for_ms)).await;
    shared.faults().down = false;
    shared.raise();
}

async fn show_instances(shared: Arc<Shared>, entries: Vec<Value>, lag_ms: u64) {
    sleep(Duration::from_millis(lag_ms)).await;
    write_instances(&mut shared.store(), &entries);
    shared.raise();
}

fn write_instances(store: &mut Store, entries: &[Value]) {
    let shown = store.range(&RangeRequest {
        key: Blob(INSTANCE_LIST_PREFIX.into()),
        range_end: Blob(INSTANCE_LIST_END.into()),
        ..RangeRequest::default()
    });
    let wanted: Vec<_> = entries.iter().map(instance_entry).collect();
    for kv in &shown.kvs {
        if wanted.iter().all(|(key, _)| *key != kv.key) {
            store.delete_range(&DeleteRangeRequest {
                key: kv.key.clone(),
                ..DeleteRangeRequest::default()
            });
        }
    }
    for (key, value) in wanted {
        if shown
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

/// A running stand-in, which stops when dropped.
#[derive(Debug)]
pub struct PlatformHandle {
    /// Address served.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    server: Server,
    expiry: JoinHandle<()>,
}

impl PlatformHandle {
    /// Changes the faults in force.
    pub fn update_faults(&self, order: &FaultUpdate) {
        self.shared.update_faults(order);
    }

    /// Calls counted so far.
    pub fn counters(&self) -> Counters {
        *self.shared.counters()
    }

    /// Ends a lease at once; false where there is none.
    pub fn expire_lease(&self, id: i64) -> bool {
        self.shared.expire_lease(id)
    }

    /// Sets the whole instance list, shown after the lag.
    pub fn set_instances(&self, entries: Vec<Value>) {
        self.shared.set_instances(entries);
    }

    /// Waits for as long as the stand-in runs.
    pub async fn wait(&mut self) {
        self.server.wait().await;
    }

    /// Stops, closing every connection.
    pub fn stop(self) {}
}

impl Drop for PlatformHandle {
    fn drop(&mut self) {
        self.expiry.abort();
    }
}

/// Starts a stand-in on `address`; port 0 takes a free one.
pub async fn start(address: SocketAddr, options: PlatformOptions) -> io::Result<PlatformHandle> {
    let listener = TcpListener::bind(address).await?;
    let shared = Arc::new(Shared {
        sync_ms: options.sync_ms,
        omit_defaults: options.omit_defaults,
        store: Mutex::new(Store::new(options.history_max)),
        faults: Mutex::new(options.faults),
        counters: Mutex::default(),
        sync: tokio::sync::Mutex::new(()),
        changed: signal::Sender::new(0),
    });
    let state = Arc::clone(&shared);
    let server = Server::start(listener, move |request| {
        service::handle(Arc::clone(&state), request)
    })?;
    Ok(PlatformHandle {
        address: server.address(),
        expiry: tokio::spawn(expire_leases(Arc::clone(&shared))),
        shared,
        server,
    })
}

async fn expire_leases(shared: Arc<Shared>) {
    let mut ticks = interval(Duration::from_millis(EXPIRY_TICK_MS));
    loop {
        ticks.tick().await;
        let expired = shared.store().expire(Instant::now());
        if expired {
            shared.raise();
        }
    }
}
