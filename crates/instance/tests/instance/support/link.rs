//! A link to an instance, with frames chosen by the test.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use trefoil_schema::dispatch::frame::Body;
use trefoil_schema::dispatch::{Beat, Frame, Hello, Node};

use super::DOMAIN;

const TIMEOUT: Duration = Duration::from_secs(10);

/// A link of the peer "b", as the peer sees it.
pub struct Link(Framed<TcpStream, LengthDelimitedCodec>);

impl Link {
    /// Opens a link as an incarnation of the peer "b".
    pub async fn open(address: SocketAddr, incarnation: u64) -> Self {
        let stream = TcpStream::connect(address).await.unwrap();
        let framed = Framed::new(stream, LengthDelimitedCodec::new());
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
        let mut link = Self(framed);
        link.send(hello).await;
        link
    }

    pub async fn send(&mut self, body: Body) {
        let frame = Frame { body: Some(body) }.encode_to_vec();
        self.0.send(Bytes::from(frame)).await.unwrap();
    }

    /// The next frame; `None` once the instance has closed the link.
    pub async fn next(&mut self) -> Option<Body> {
        let frame = timeout(TIMEOUT, self.0.next()).await.unwrap();
        Frame::decode(frame?.ok()?).unwrap().body
    }

    /// Reads until the first heartbeat, which shows that the link is up.
    pub async fn read_heartbeat(&mut self) -> Beat {
        loop {
            if let Body::Beat(heartbeat) = self.next().await.unwrap() {
                return heartbeat;
            }
        }
    }

    /// Reads until the link is closed; returns the heartbeats.
    pub async fn heartbeats_until_closed(&mut self) -> usize {
        let mut heartbeats = 0;
        while let Some(body) = self.next().await {
            heartbeats += usize::from(matches!(body, Body::Beat(_)));
        }
        heartbeats
    }
}
