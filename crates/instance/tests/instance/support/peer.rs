//! A scripted peer that owns a pool and sends heartbeats over any number of links.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::{JoinHandle, spawn_local};
use tokio::time::timeout;
use trefoil_schema::dispatch::frame::Body;
use trefoil_schema::dispatch::{Beat, Delegate, Ended, Load, Outcome, OwnedPool};

use super::link::{Link, LinkReader, LinkWriter};
use super::owned_pool;

const HEARTBEAT_PERIOD: Duration = Duration::from_millis(50);
const TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// A peer that owns one pool of the failure domain.
pub struct Peer {
    name: &'static str,
    pool: usize,
    /// Whether its pool takes new jobs, as its heartbeats report.
    is_serving: Rc<Cell<bool>>,
    /// Number of its last heartbeat.
    heartbeats: Rc<Cell<u64>>,
}

impl Peer {
    pub fn new(name: &'static str, pool: usize, is_serving: bool) -> Self {
        let is_serving = Rc::new(Cell::new(is_serving));
        Self {
            name,
            pool,
            is_serving,
            heartbeats: Rc::default(),
        }
    }

    pub fn set_serving(&self, is_serving: bool) {
        self.is_serving.set(is_serving);
    }

    /// Opens a link, which is up once this returns.
    pub async fn open(&self, address: SocketAddr) -> PeerLink {
        let mut link = Link::open_as(self.name, address, 1).await;
        link.read_heartbeat().await;
        let (reader, writer) = link.split();
        let writer = Rc::new(tokio::sync::Mutex::new(writer));
        let received = Rc::default();
        let reading = spawn_local(read(reader, Rc::clone(&received)));
        let beating = spawn_local(send_heartbeats(
            Rc::clone(&writer),
            Rc::clone(&self.is_serving),
            Rc::clone(&self.heartbeats),
            owned_pool(self.name, self.pool),
        ));
        PeerLink {
            writer,
            received,
            reading,
            beating,
        }
    }
}

async fn read(mut reader: LinkReader, received: Rc<RefCell<Vec<Body>>>) {
    while let Some(body) = reader.next().await {
        received.borrow_mut().push(body);
    }
}

async fn send_heartbeats(
    writer: Rc<tokio::sync::Mutex<LinkWriter>>,
    is_serving: Rc<Cell<bool>>,
    heartbeats: Rc<Cell<u64>>,
    owned: OwnedPool,
) {
    loop {
        heartbeats.set(heartbeats.get() + 1);
        let load = Load {
            serving: is_serving.get(),
            capacity_millicores: 16_000,
            free_millicores: 16_000,
            ..Load::default()
        };
        let heartbeat = Body::Beat(Beat {
            owned: vec![OwnedPool {
                load: Some(load),
                ..owned.clone()
            }],
            number: heartbeats.get(),
            ..Beat::default()
        });
        let encoded = LinkWriter::encode(heartbeat);
        if writer.lock().await.write(&encoded).await.is_err() {
            return;
        }
        tokio::time::sleep(HEARTBEAT_PERIOD).await;
    }
}

/// One link of a [`Peer`], closed when dropped.
pub struct PeerLink {
    writer: Rc<tokio::sync::Mutex<LinkWriter>>,
    received: Rc<RefCell<Vec<Body>>>,
    reading: JoinHandle<()>,
    beating: JoinHandle<()>,
}

impl PeerLink {
    /// Sends no further heartbeats; the link stays open.
    pub fn fall_silent(&self) {
        self.beating.abort();
    }

    pub async fn send(&self, body: Body) {
        let encoded = LinkWriter::encode(body);
        self.writer.lock().await.write(&encoded).await.unwrap();
    }

    /// All jobs that were delegated over this link.
    pub fn delegations(&self) -> Vec<Delegate> {
        let received = self.received.borrow();
        let delegations = received.iter().filter_map(|body| match body {
            Body::Delegate(delegate) => Some(delegate.clone()),
            _ => None,
        });
        delegations.collect()
    }

    /// Reports the outcome of a delegated job.
    pub async fn end(&self, delegate: &Delegate, outcome: Outcome) {
        let job = delegate.job.as_ref().unwrap();
        self.send(Body::Ended(Ended {
            job_id: job.id.clone(),
            outcome: outcome.into(),
            pool: delegate.pool.clone(),
            delegation: job.delegation,
            ..Ended::default()
        }))
        .await;
    }
}

impl Drop for PeerLink {
    fn drop(&mut self) {
        self.reading.abort();
        self.beating.abort();
    }
}

/// Waits for a condition on what links have received.
pub async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let waiting = async {
        while !condition() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let result = timeout(TIMEOUT, waiting).await;
    assert!(result.is_ok(), "timed out: {what}");
}
