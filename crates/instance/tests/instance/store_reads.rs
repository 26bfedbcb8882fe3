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
use trefoil_schema::dispatch::Beat;
use trefoil_schema::dispatch::frame::Body;

use crate::support::link::Link;
use crate::support::{FakePlatform, owned_pool, run, settings};

/// Interval of an owner's heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(100);
/// In which new declarations must be in force.
const IN_FORCE: Duration = Duration::from_millis(2000);

/// Age of a peer's confirmation of the declarations, as an owner that reads the store has it.
const OWNER_AGE_MS: Option<u64> = Some(700);

/// A heartbeat of the peer "b", which owns a pool.
fn heartbeat(echo_ms: u64, declarations_confirmed_age_ms: Option<u64>) -> Body {
    Body::Beat(Beat {
        owned: vec![owned_pool("b", 0)],
        echo_ms,
        declarations_confirmed_age_ms,
        ..Beat::default()
    })
}

/// An instance "a" that polls the store, and its link to the peer "b".
struct Fixture {
    link: Link,
    /// Number of reads of the declarations.
    reads: Rc<Cell<u64>>,
    /// Clock of the instance when the link was opened, and when that was.
    clock_ms: u64,
    opened: Instant,
}

impl Fixture {
    async fn start() -> Self {
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
        let clock_ms = link.read_heartbeat().await.sent_ms;
        store_polling::start(&instance);
        Self {
            link,
            reads,
            clock_ms,
            opened: Instant::now(),
        }
    }

    /// The clock of the instance now.
    fn now_ms(&self) -> u64 {
        self.clock_ms + self.opened.elapsed().as_millis() as u64
    }

    /// Sends heartbeats for a time, or until the store has been read `until_reads` times.
    async fn send_heartbeats(
        &mut self,
        confirmed_age_ms: Option<u64>,
        limit: Duration,
        until_reads: u64,
    ) {
        let began = Instant::now();
        while began.elapsed() < limit && self.reads.get() < until_reads {
            let heartbeat = heartbeat(self.now_ms(), confirmed_age_ms);
            self.link.send(heartbeat).await;
            sleep(HEARTBEAT).await;
        }
    }
}

#[test]
fn an_instance_reads_the_store_itself_once_no_linked_owner_does() {
    run(async {
        let mut fixture = Fixture::start().await;
        fixture
            .send_heartbeats(OWNER_AGE_MS, IN_FORCE, u64::MAX)
            .await;
        let before = fixture.reads.get();
        assert!(before <= 2, "{before} reads are not left to the owner");
        fixture
            .send_heartbeats(None, IN_FORCE / 2, before + 1)
            .await;
        assert!(fixture.reads.get() > before, "declarations come late");
    });
}

/// A heartbeat that was held up on its way says what was true when it was sent.
#[test]
fn delayed_heartbeats_do_not_confirm_declarations() {
    run(async {
        let mut fixture = Fixture::start().await;
        let sent_ms = fixture.now_ms();
        let began = Instant::now();
        while began.elapsed() < IN_FORCE {
            fixture.link.send(heartbeat(sent_ms, Some(0))).await;
            sleep(HEARTBEAT).await;
        }
        assert!(fixture.reads.get() >= 2, "an old confirmation is renewed");
    });
}
