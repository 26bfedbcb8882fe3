//! Polls the platform's list of instances, which may be out of date.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use slog::Logger;
use tokio::sync::watch;
use trefoil_schema::settings::Settings;

use super::platform::{KeyValue, PlatformStore};

/// Largest incarnation that is exact as a JSON number.
const INCARNATION_MAX: u64 = 1 << 53;

/// An instance in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
#[expect(
    missing_docs,
    reason = "the name and the failure domain explain themselves"
)]
pub struct PlatformInstance {
    pub name: String,
    /// Increases with each start of the instance.
    pub incarnation: u64,
    pub failure_domain: String,
    /// Address for callers and operators, as IP:PORT.
    pub http_address: String,
    /// Address for other instances, as IP:PORT.
    pub peer_address: String,
    /// Whether the platform is about to stop the instance.
    pub leaving: bool,
}

/// Receiver of the latest list; empty until the list is first read. Each read counts
/// as a change. The list is kept while the store is unreachable.
pub type InstanceList = watch::Receiver<Arc<Vec<PlatformInstance>>>;

#[derive(Deserialize)]
struct Entry {
    name: String,
    incarnation: u64,
    failure_domain: String,
    #[serde(default)]
    http_address: String,
    #[serde(default)]
    peer_address: String,
    state: EntryState,
}

#[derive(Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum EntryState {
    Live,
    Leaving,
}

/// Polls the list until all receivers are dropped.
pub fn start(store: Arc<dyn PlatformStore>, settings: &Settings, log: Logger) -> InstanceList {
    let always = watch::Sender::new(true).subscribe();
    start_while(always, store, settings, log)
}

/// Like [`start`], but polls only while `polling` is true, so that not all instances
/// need to call the store. The list is kept while polling is off.
pub fn start_while(
    polling: watch::Receiver<bool>,
    store: Arc<dyn PlatformStore>,
    settings: &Settings,
    log: Logger,
) -> InstanceList {
    let (sender, receiver) = watch::channel(Arc::default());
    let poller = Poller {
        polling,
        store,
        prefix: settings.platform.instance_list_prefix.clone(),
        interval: Duration::from_millis(settings.platform.instance_list_poll_ms.max(1)),
        log,
    };
    tokio::spawn(poller.run(sender));
    receiver
}

struct Poller {
    polling: watch::Receiver<bool>,
    store: Arc<dyn PlatformStore>,
    prefix: String,
    interval: Duration,
    log: Logger,
}

impl Poller {
    async fn run(mut self, sender: watch::Sender<Arc<Vec<PlatformInstance>>>) {
        loop {
            tokio::select! {
                () = self.wait_until_enabled() => {}
                () = sender.closed() => return,
            }
            self.read(&sender).await;
            tokio::select! {
                () = tokio::time::sleep(self.interval) => {}
                () = sender.closed() => return,
            }
        }
    }

    // If the sender of `polling` is dropped, the last value stays in effect.
    async fn wait_until_enabled(&mut self) {
        let enabled = self.polling.wait_for(|polling| *polling).await.is_ok();
        if !enabled && !*self.polling.borrow() {
            std::future::pending::<()>().await;
        }
    }

    async fn read(&self, sender: &watch::Sender<Arc<Vec<PlatformInstance>>>) {
        // Failures of the store are logged by the configuration sync.
        let Ok(listing) = self.store.range(&self.prefix).await else {
            return;
        };
        let keys = listing.keys.iter();
        let list: Vec<PlatformInstance> =
            keys.filter_map(|kv| instance(kv, &self.prefix)).collect();
        let mut changed = false;
        // Notifies also if the list is unchanged: the membership counts the reads from
        // which an instance is missing.
        sender.send_modify(|current| changed = replace_if_changed(current, list));
        if changed {
            let count = sender.borrow().len();
            slog::info!(self.log, "instance list changed"; "instances" => count);
        }
    }
}

fn replace_if_changed(
    current: &mut Arc<Vec<PlatformInstance>>,
    list: Vec<PlatformInstance>,
) -> bool {
    if **current == list {
        return false;
    }
    *current = Arc::new(list);
    true
}

/// The instance that a key below `prefix` names; `None` if another writer left the entry: under a
/// key of another name, with an incarnation that a later start could not exceed, or with an
/// address that cannot be.
fn instance(kv: &KeyValue, prefix: &str) -> Option<PlatformInstance> {
    let entry: Entry = serde_json::from_slice(&kv.value).ok()?;
    let addresses = [&entry.http_address, &entry.peer_address];
    let is_plausible = kv.key.strip_prefix(prefix) == Some(&entry.name)
        && entry.incarnation <= INCARNATION_MAX
        && addresses.into_iter().all(|address| is_address(address));
    is_plausible.then_some(PlatformInstance {
        name: entry.name,
        incarnation: entry.incarnation,
        failure_domain: entry.failure_domain,
        http_address: entry.http_address,
        peer_address: entry.peer_address,
        leaving: entry.state == EntryState::Leaving,
    })
}

/// Whether it is empty or an address that can be connected to.
fn is_address(address: &str) -> bool {
    address.is_empty()
        || address
            .parse::<SocketAddr>()
            .is_ok_and(|address| address.port() > 0)
}
