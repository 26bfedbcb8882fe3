//! The platform's own list of instances, read at intervals. It lags.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use slog::Logger;
use tokio::sync::watch;
use trefoil_schema::settings::Settings;

use super::platform::{KeyValue, PlatformStore};

/// An instance as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformInstance {
    /// Configured name.
    pub name: String,
    /// Number of its start.
    pub incarnation: u64,
    /// Its failure domain.
    pub failure_domain: String,
    /// Address for callers and operators, IP:PORT.
    pub http_address: String,
    /// Address for other instances, IP:PORT.
    pub peer_address: String,
    /// Whether the platform is about to stop it.
    pub leaving: bool,
}

/// The newest list; empty until the first was read. Each reading counts as a
/// change; it keeps its last content while the store cannot be reached.
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

/// Reads the list at intervals until every receiver is dropped.
pub fn start(store: Arc<dyn PlatformStore>, settings: &Settings, log: Logger) -> InstanceList {
    let always = watch::Sender::new(true).subscribe();
    start_while(always, store, settings, log)
}

/// As [`start`], but reads only while `polling` holds, so that calls to the
/// store need not grow with the fleet; the last list is kept meanwhile.
pub fn start_while(
    polling: watch::Receiver<bool>,
    store: Arc<dyn PlatformStore>,
    settings: &Settings,
    log: Logger,
) -> InstanceList {
    let (sender, receiver) = watch::channel(Arc::default());
    let poll = Poll {
        polling,
        store,
        prefix: settings.platform.instance_list_prefix.clone(),
        period: Duration::from_millis(settings.platform.instance_list_poll_ms.max(1)),
        log,
    };
    tokio::spawn(poll.run(sender));
    receiver
}

struct Poll {
    polling: watch::Receiver<bool>,
    store: Arc<dyn PlatformStore>,
    prefix: String,
    period: Duration,
    log: Logger,
}

impl Poll {
    async fn run(mut self, sender: watch::Sender<Arc<Vec<PlatformInstance>>>) {
        loop {
            tokio::select! {
                () = self.polling_holds() => {}
                () = sender.closed() => return,
            }
            self.read(&sender).await;
            tokio::select! {
                () = tokio::time::sleep(self.period) => {}
                () = sender.closed() => return,
            }
        }
    }

    // A switch whose owner is gone stays as it was last.
    async fn polling_holds(&mut self) {
        let held = self.polling.wait_for(|polling| *polling).await.is_ok();
        if !held && !*self.polling.borrow() {
            std::future::pending::<()>().await;
        }
    }

    async fn read(&self, sender: &watch::Sender<Arc<Vec<PlatformInstance>>>) {
        // Whether the store answers is logged where its state is kept.
        let Ok(listing) = self.store.range(&self.prefix).await else {
            return;
        };
        let list: Vec<PlatformInstance> = listing.keys.iter().filter_map(instance).collect();
        let mut changed = false;
        // Told even if it is the same: how long a name has been missing is
        // counted by readings.
        sender.send_modify(|known| changed = replace(known, list));
        if changed {
            let count = sender.borrow().len();
            slog::info!(self.log, "instance list changed"; "instances" => count);
        }
    }
}

fn replace(known: &mut Arc<Vec<PlatformInstance>>, list: Vec<PlatformInstance>) -> bool {
    if **known == list {
        return false;
    }
    *known = Arc::new(list);
    true
}

fn instance(kv: &KeyValue) -> Option<PlatformInstance> {
    let entry: Entry = serde_json::from_slice(&kv.value).ok()?;
    Some(PlatformInstance {
        name: entry.name,
        incarnation: entry.incarnation,
        failure_domain: entry.failure_domain,
        http_address: entry.http_address,
        peer_address: entry.peer_address,
        leaving: entry.state == EntryState::Leaving,
    })
}
