//! Links to several incarnations of one peer: only the latest is used.

mod support;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use support::{DOMAIN, FakePlatform, settings};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use trefoil_instance::instance::Instance;
use trefoil_instance::metrics::Metrics;
use trefoil_schema::dispatch::frame::Body;
use trefoil_schema::dispatch::{Frame, Hello, Node};

const TIMEOUT: Duration = Duration::from_secs(10);

struct Link(Framed<TcpStream, LengthDelimitedCodec>);

impl Link {
    /// Opens a link as an incarnation of the peer "b".
    async fn open(address: SocketAddr, incarnation: u64) -> Self {
        let stream = TcpStream::connect(address).await.unwrap();
        let mut framed = Framed::new(stream, LengthDelimitedCodec::new());
        let node = Node {
            name: "b".to_owned(),
            incarnation,
            failure_domain: DOMAIN.to_owned(),
            ..Node::default()
        };
        let hello = Body::Hello(Hello {
            node: Some(node),
            known: Vec::new(),
        });
        let hello = Frame { body: Some(hello) }.encode_to_vec();
        framed.send(Bytes::from(hello)).await.unwrap();
        Self(framed)
    }

    /// The next frame; `None` once the instance has closed the link.
    async fn next(&mut self) -> Option<Body> {
        let frame = timeout(TIMEOUT, self.0.next()).await.unwrap();
        Frame::decode(frame?.ok()?).unwrap().body
    }

    /// Reads until the first heartbeat, which shows that the link is up.
    async fn read_heartbeat(&mut self) {
        while !matches!(self.next().await.unwrap(), Body::Beat(_)) {}
    }

    /// Reads until the link is closed; returns the heartbeats.
    async fn heartbeats_until_closed(&mut self) -> usize {
        let mut heartbeats = 0;
        while let Some(body) = self.next().await {
            heartbeats += usize::from(matches!(body, Body::Beat(_)));
        }
        heartbeats
    }
}

#[test]
fn links_of_earlier_incarnations_are_closed() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
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
