//! What an instance reads from the platform, through a connection that hangs
//! and a list that changes.

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
use trefoilbay::sources::platform::etcd::{CallKind, EtcdJson};
use trefoilbay::sources::platform::{CasResult, PlatformStore, StoreError};

use crate::operator::{Instance, drop_answers, start_platform};

const WAIT: Duration = Duration::from_secs(5);

/// Relays connections; those open when it is frozen carry nothing any more
/// and stay open.
struct Relay {
    address: SocketAddr,
    frozen: watch::Sender<u64>,
}

impl Relay {
    async fn start(upstream: SocketAddr) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let frozen = watch::Sender::new(0);
        let freezes = frozen.clone();
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                tokio::spawn(relay(near, upstream, freezes.subscribe()));
            }
        });
        Self { address, frozen }
    }

    fn freeze(&self) {
        self.frozen.send_modify(|count| *count += 1);
    }
}

async fn relay(mut near: TcpStream, upstream: SocketAddr, mut frozen: watch::Receiver<u64>) {
    let mut far = TcpStream::connect(upstream).await.unwrap();
    tokio::select! {
        _ = copy_bidirectional(&mut near, &mut far) => return,
        _ = frozen.changed() => {}
    }
    // Holds both ends open until the test ends.
    std::future::pending::<()>().await;
}

fn store_of(platform: &PlatformHandle) -> (EtcdJson, Settings) {
    let settings = Settings {
        platform: PlatformSettings {
            address: platform.address.to_string(),
            instance_list_poll_ms: 20,
            call_timeout_ms: 300,
            ..PlatformSettings::default()
        },
        ..Settings::default()
    };
    (EtcdJson::new(&settings), settings)
}

#[tokio::test]
async fn a_watch_that_hangs_is_noticed_within_seconds() {
    let platform = start_platform().await;
    let relay = Relay::start(platform.address).await;
    let near = Instance::start("near", platform.address);
    let far = Instance::start("far", relay.address);
    near.put("", 1).await;
    far.run_ms_in_force(1).await;
    let opened = far.store.calls().of(CallKind::Watch);
    relay.freeze();
    near.put("", 2).await;
    near.run_ms_in_force(2).await;
    far.run_ms_in_force(2).await;
    assert_eq!(far.store.calls().of(CallKind::Watch), opened + 1);
}

#[tokio::test]
async fn the_instance_list_follows_the_platforms() {
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
    // Whether a name is missing for long is counted by readings, so one that
    // finds nothing new is told as well.
    list.mark_unchanged();
    timeout(WAIT, list.changed()).await.unwrap().unwrap();
    assert_eq!(list.borrow().len(), 1);
}

#[tokio::test]
async fn the_instance_list_is_read_only_while_switched_on() {
    let platform = start_platform().await;
    let (store, settings) = store_of(&platform);
    let log = Logger::root(Discard, o!());
    let polling = watch::Sender::new(false);
    let edge = Arc::new(store.clone());
    let mut list = instances::start_while(polling.subscribe(), edge, &settings, log);
    platform.set_instances(vec![json!({"name": "one", "incarnation": 1,
        "failure_domain": "a", "state": "live"})]);
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(store.calls().of(CallKind::Range), 0);
    polling.send_replace(true);
    let one = list.wait_for(|list| list.len() == 1);
    timeout(WAIT, one).await.unwrap().unwrap();
}

#[tokio::test]
async fn an_error_tells_whether_a_write_may_have_taken_effect() {
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
    let nobody = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = nobody.local_addr().unwrap().to_string();
    drop(nobody);
    let platform_settings = PlatformSettings {
        address,
        ..PlatformSettings::default()
    };
    let settings = Settings {
        platform: platform_settings,
        ..Settings::default()
    };
    let refused = EtcdJson::new(&settings).put_if("k", "3".into(), 0).await;
    assert!(matches!(refused, Err(StoreError::NotApplied { .. })));
}

#[tokio::test]
async fn a_listing_spans_pages() {
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
