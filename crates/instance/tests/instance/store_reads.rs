//! Reads of the store by an instance that owns no pools.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};
use trefoil_instance::instance::Instance;
use trefoil_instance::metrics::Metrics;
use trefoil_instance::store_polling;
use trefoil_schema::dispatch::frame::Body;
use trefoil_schema::dispatch::{Beat, Claim, Node, OwnedPool};

use crate::support::link::Link;
use crate::support::{DOMAIN, FakePlatform, run, settings};

/// Interval of an owner's heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(100);
/// In which new declarations must be in force.
const IN_FORCE: Duration = Duration::from_millis(2000);

/// A heartbeat of the peer "b", which owns a pool.
fn heartbeat(store_fresh: bool) -> Body {
    let owner = Node {
        name: "b".to_owned(),
        incarnation: 1,
        failure_domain: DOMAIN.to_owned(),
        ..Node::default()
    };
    let claim = Claim {
        pool: format!("{DOMAIN}/0"),
        failure_domain: DOMAIN.to_owned(),
        term: 1,
        owner: Some(owner),
    };
    let owned = OwnedPool {
        claim: Some(claim),
        ..OwnedPool::default()
    };
    Body::Beat(Beat {
        owned: vec![owned],
        store_fresh,
        ..Beat::default()
    })
}

/// Sends heartbeats for a time, or until the store has been read `until_reads` times.
async fn send_heartbeats(
    link: &mut Link,
    store_fresh: bool,
    limit: Duration,
    reads: &Cell<u64>,
    until_reads: u64,
) {
    let began = Instant::now();
    while began.elapsed() < limit && reads.get() < until_reads {
        link.send(heartbeat(store_fresh)).await;
        sleep(HEARTBEAT).await;
    }
}

#[test]
fn an_instance_reads_the_store_itself_once_no_linked_owner_does() {
    run(async {
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let metrics = Metrics::new().unwrap();
        let platform = FakePlatform {
            pools: 0,
            ..FakePlatform::default()
        };
        let reads = Rc::clone(&platform.reads);
        let instance = Instance::new(settings(), log, metrics, platform);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        spawn_local(Rc::clone(&instance).accept_links(listener));
        let mut link = Link::open(address, 1).await;
        link.send(heartbeat(true)).await;
        link.read_heartbeat().await;
        store_polling::start(&instance);
        send_heartbeats(&mut link, true, IN_FORCE, &reads, u64::MAX).await;
        let before = reads.get();
        assert!(before <= 2, "{before} reads are not left to the owner");
        send_heartbeats(&mut link, false, IN_FORCE / 2, &reads, before + 1).await;
        assert!(reads.get() > before, "declarations come late");
    });
}
