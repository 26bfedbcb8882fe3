//! A link to an instance, with frames chosen by the test.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::timeout;
use tokio_util::codec::{Encoder, Framed, FramedRead, LengthDelimitedCodec};
use trefoil_schema::dispatch::frame::Body;
use trefoil_schema::dispatch::{Beat, Frame, Hello, Node};

use super::DOMAIN;

const TIMEOUT: Duration = Duration::from_secs(10);

/// A link of the peer "b", as the peer sees it.
pub struct Link(Framed<TcpStream, LengthDelimitedCodec>);

impl Link {
    /// Opens a link as an incarnation of the peer "b".
    pub async fn open(address: SocketAddr, incarnation: u64) -> Self {
        Self::open_as("b", address, incarnation).await
    }

    /// Opens a link as an incarnation of a peer.
    pub async fn open_as(name: &str, address: SocketAddr, incarnation: u64) -> Self {
        Self::open_and_introduce(name, address, incarnation, Vec::new()).await
    }

    /// Opens a link as an incarnation of a peer that knows other instances.
    pub async fn open_and_introduce(
        name: &str,
        address: SocketAddr,
        incarnation: u64,
        known: Vec<Node>,
    ) -> Self {
        let stream = TcpStream::connect(address).await.unwrap();
        let framed = Framed::new(stream, LengthDelimitedCodec::new());
        let node = Node {
            name: name.to_owned(),
            incarnation,
            failure_domain: DOMAIN.to_owned(),
            ..Node::default()
        };
        let hello = Body::Hello(Hello {
            node: Some(node),
            known,
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

    /// Splits the link for reading and writing at the same time.
    pub fn split(self) -> (LinkReader, LinkWriter) {
        let (read, write) = self.0.into_inner().into_split();
        let frames = FramedRead::new(read, LengthDelimitedCodec::new());
        (LinkReader(frames), LinkWriter(write))
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

/// The receiving half of a link.
pub struct LinkReader(FramedRead<OwnedReadHalf, LengthDelimitedCodec>);

impl LinkReader {
    /// The next frame; `None` once the link is closed.
    pub async fn next(&mut self) -> Option<Body> {
        let frame = self.0.next().await?.ok()?;
        Frame::decode(frame).unwrap().body
    }
}

/// The sending half of a link.
pub struct LinkWriter(OwnedWriteHalf);

impl LinkWriter {
    /// Encodes a frame as it is sent.
    pub fn encode(body: Body) -> Bytes {
        let frame = Frame { body: Some(body) }.encode_to_vec();
        let mut encoded = BytesMut::new();
        let mut codec = LengthDelimitedCodec::new();
        codec.encode(Bytes::from(frame), &mut encoded).unwrap();
        encoded.freeze()
    }

    /// Sends a part of an encoded frame.
    pub async fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.0.write_all(bytes).await
    }
}
