//! Reads from the platform's store: broken connections, the instance list, errors
//! and paging.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use slog::{Discard, Logger, o};
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::timeout;
use trefoil_fakes::platform::PlatformHandle;
use trefoil_fakes::platform::faults::FaultUpdate;
use trefoil_schema::settings::{PlatformSettings, Settings};
use trefoilbay::sources::instances;
use trefoilbay::sources::platform::etcd::{CallKind, EtcdClient};
use trefoilbay::sources::platform::{CasResult, PlatformStore, StoreError};

use crate::operator::{Instance, drop_answers, start_platform};

const WAIT: Duration = Duration::from_secs(5);

/// A TCP proxy. Connections that are open when it is frozen stay open, but carry no
/// more data.
struct Relay {
    address: SocketAddr,
    freeze_count: watch::Sender<u64>,
}

impl Relay {
    async fn start(upstream: SocketAddr) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let freeze_count = watch::Sender::new(0);
        let sender = freeze_count.clone();
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(relay(client, upstream, sender.subscribe()));
            }
        });
        Self {
            address,
            freeze_count,
        }
    }

    fn freeze(&self) {
        self.freeze_count.send_modify(|count| *count += 1);
    }
}

async fn relay(mut client: TcpStream, upstream: SocketAddr, mut freezes: watch::Receiver<u64>) {
    let mut server = TcpStream::connect(upstream).await.unwrap();
    tokio::select! {
        _ = copy_bidirectional(&mut client, &mut server) => return,
        _ = freezes.changed() => {}
    }
    // Keeps both connections open until the test ends.
    std::future::pending::<()>().await;
}

fn store_of(platform: &PlatformHandle) -> (EtcdClient, Settings) {
    let settings = Settings {
        platform: PlatformSettings {
            address: platform.address.to_string(),
            instance_list_poll_ms: 20,
            call_timeout_ms: 300,
            ..PlatformSettings::default()
        },
        ..Settings::default()
    };
    (EtcdClient::new(&settings), settings)
}

#[tokio::test]
async fn a_watch_without_data_is_reopened_within_seconds() {
    let platform = start_platform().await;
    let relay = Relay::start(platform.address).await;
    let direct = Instance::start("direct", platform.address);
    let relayed = Instance::start("relayed", relay.address);
    direct.put("", 1).await;
    relayed.run_ms_in_force(1).await;
    let watches = relayed.store.calls().of(CallKind::Watch);
    relay.freeze();
    direct.put("", 2).await;
    direct.run_ms_in_force(2).await;
    relayed.run_ms_in_force(2).await;
    assert_eq!(relayed.store.calls().of(CallKind::Watch), watches + 1);
}

#[tokio::test]
async fn the_instance_list_is_polled() {
    let platform = start_platform().await;
    let (store, settings) = store_of(&platform);
    let log = Logger::root(Discard, o!());
    let mut list = instances::start(Arc::new(store), &settings, log);
    let entry = |name: &str, state: &str| {
        json!({"name": name, "incarnation": 7, "failure_domain": "a", "state": state,
            "http_address": "127.0.0.1:1", "peer_address": "127.0.0.1:2"})
    };
    platform.set_instances(vec![entry("one", "live"), entry("two", "leaving")]);
    let both = list.wait_for(|list| list.len() == 2);
    let both = timeout(WAIT, both).await.unwrap().unwrap().clone();
    assert_eq!((both[0].name.as_str(), both[0].incarnation), ("one", 7));
    assert_eq!((both[0].leaving, both[1].leaving), (false, true));
    platform.set_instances(vec![entry("two", "leaving")]);
    let one = list.wait_for(|list| list.len() == 1);
    timeout(WAIT, one).await.unwrap().unwrap();
    // An unchanged list is also notified, as the membership counts the reads from
    // which an instance is missing.
    list.mark_unchanged();
    timeout(WAIT, list.changed()).await.unwrap().unwrap();
    assert_eq!(list.borrow().len(), 1);
}

#[tokio::test]
async fn the_instance_list_is_polled_only_while_enabled() {
    let platform = start_platform().await;
    let (store, settings) = store_of(&platform);
    let log = Logger::root(Discard, o!());
    let polling = watch::Sender::new(false);
    let shared_store = Arc::new(store.clone());
    let mut list = instances::start_while(polling.subscribe(), shared_store, &settings, log);
    platform.set_instances(vec![json!({"name": "one", "incarnation": 1,
        "failure_domain": "a", "state": "live"})]);
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(store.calls().of(CallKind::Range), 0);
    polling.send_replace(true);
    let one = list.wait_for(|list| list.len() == 1);
    timeout(WAIT, one).await.unwrap().unwrap();
}

#[tokio::test]
async fn errors_tell_whether_a_write_may_have_taken_effect() {
    let platform = start_platform().await;
    let (store, _) = store_of(&platform);
    drop_answers(&platform, 1);
    let lost = store.put_if("k", "1".into(), 0).await;
    assert!(matches!(lost, Err(StoreError::MayHaveApplied { .. })));
    let again = store.put_if("k", "1".into(), 0).await.unwrap();
    assert!(matches!(again, CasResult::Conflict { current: Some(_) }));
    platform.update_faults(&FaultUpdate {
        slow_ms: Some(1_000),
        ..FaultUpdate::default()
    });
    let slow = store.put_if("k", "2".into(), 0).await;
    assert!(matches!(slow, Err(StoreError::MayHaveApplied { .. })));
    assert!(!store.reachable());
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    drop(listener);
    let platform_settings = PlatformSettings {
        address,
        ..PlatformSettings::default()
    };
    let settings = Settings {
        platform: platform_settings,
        ..Settings::default()
    };
    let refused = EtcdClient::new(&settings).put_if("k", "3".into(), 0).await;
    assert!(matches!(refused, Err(StoreError::NotApplied { .. })));
}

#[tokio::test]
async fn a_listing_reads_all_pages() {
    let platform = start_platform().await;
    let (store, _) = store_of(&platform);
    for number in 0..501 {
        let key = format!("p/{number:04}");
        store.put_if(&key, "x".into(), 0).await.unwrap();
    }
    let listing = store.range("p/").await.unwrap();
    assert_eq!(listing.keys.len(), 501);
    assert_eq!(listing.keys[500].key, "p/0500");
    assert_eq!(store.calls().of(CallKind::Range), 2);
}
