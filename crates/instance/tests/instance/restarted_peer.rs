//! Links to several incarnations of one peer: only the latest is used.

use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::timeout;
use trefoil_instance::instance::Instance;
use trefoil_instance::metrics::Metrics;

use crate::support::link::Link;
use crate::support::{FakePlatform, run, settings};

#[test]
fn links_of_earlier_incarnations_are_closed() {
    run(async {
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let metrics = Metrics::new().unwrap();
        let instance = Instance::new(settings(), log, metrics, FakePlatform::default());
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        spawn_local(Rc::clone(&instance).accept_links(listener));

        // Without ticks, no link is closed for its silence.
        let mut first = Link::open(address, 1).await;
        first.read_heartbeat().await;
        let mut second = Link::open(address, 2).await;
        second.read_heartbeat().await;
        first.heartbeats_until_closed().await;
        let mut late = Link::open(address, 1).await;
        assert_eq!(late.heartbeats_until_closed().await, 0);
        // A second link of the latest incarnation closes no other.
        let mut third = Link::open(address, 2).await;
        third.read_heartbeat().await;
        assert!(
            timeout(Duration::from_millis(50), second.next())
                .await
                .is_err(),
            "the link is open and silent"
        );
    });
}
