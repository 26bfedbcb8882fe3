//! Connections between instances.
//!
//! A link is one TCP connection that carries length-prefixed Protocol Buffers
//! frames in both directions. Dead peers are detected by missing heartbeats (see
//! [`instance`](crate::instance)), which is faster than the kernel's timeouts.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};
use trefoil_schema::dispatch::Frame;

use crate::memory_budget::Reservation;

/// Connect timeout; shorter than the kernel's retransmission of a lost SYN after
/// one second, so that the instance dials again instead.
const DIAL_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum size of a frame.
const FRAME_BYTES_MAX: usize = 8 * 1024 * 1024;
/// `TCP_USER_TIMEOUT`: closes a connection whose sent data stays unacknowledged.
/// Heartbeats usually detect a silent peer earlier.
const USER_TIMEOUT: Duration = Duration::from_millis(2000);
/// Capacity of the send queue, in frames; a link whose queue is full is closed.
const SEND_QUEUE_FRAMES: usize = 4096;
/// Initial size of the read buffer.
const READ_BUFFER_BYTES: usize = 4096;

/// Sends frames to one peer; the writer ends when the last clone is dropped.
///
/// Both sides rely on every frame of an open link. After the first frame that it could not
/// queue, a sender queues none, so that the next heartbeat closes the link.
#[derive(Clone, Debug)]
pub struct LinkSender {
    frames: mpsc::Sender<QueuedFrame>,
    has_dropped: Rc<Cell<bool>>,
}

/// A frame that waits to be written.
#[derive(Debug)]
struct QueuedFrame {
    bytes: Bytes,
    /// Released once the frame has been written.
    _reservation: Option<Reservation>,
}

impl LinkSender {
    fn new(frames: mpsc::Sender<QueuedFrame>) -> Self {
        Self {
            frames,
            has_dropped: Rc::default(),
        }
    }

    /// Queues a frame; returns `false` if the queue is or was full, or the link is down.
    pub fn send(&self, frame: Bytes) -> bool {
        self.send_reserved(frame, None)
    }

    /// The same for a frame whose memory is reserved while it is queued.
    pub fn send_reserved(&self, bytes: Bytes, reservation: Option<Reservation>) -> bool {
        let frame = QueuedFrame {
            bytes,
            _reservation: reservation,
        };
        let is_queued = !self.has_dropped.get() && self.frames.try_send(frame).is_ok();
        self.has_dropped.set(!is_queued);
        is_queued
    }
}

/// Encodes a frame, without its length prefix.
pub fn encode(frame: &Frame) -> Bytes {
    Bytes::from(frame.encode_to_vec())
}

/// Connects to an instance.
///
/// # Errors
///
/// Fails with the system's error, or with `TimedOut` after [`DIAL_TIMEOUT`].
pub async fn dial(address: SocketAddr) -> io::Result<TcpStream> {
    match tokio::time::timeout(DIAL_TIMEOUT, TcpStream::connect(address)).await {
        Ok(stream) => stream,
        Err(_) => Err(io::ErrorKind::TimedOut.into()),
    }
}

/// An open link.
pub struct OpenLink {
    pub sender: LinkSender,
    pub reader: FrameReader,
    /// Task that writes queued frames to the connection.
    pub writer: JoinHandle<()>,
}

/// Turns a connection into a link, and spawns its writer.
///
/// # Errors
///
/// Fails if the socket options cannot be set.
pub fn open(stream: TcpStream) -> io::Result<OpenLink> {
    stream.set_nodelay(true)?;
    let options = socket2::SockRef::from(&stream);
    options.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let (read, write) = stream.into_split();
    let (sender, frames) = mpsc::channel(SEND_QUEUE_FRAMES);
    let writer = tokio::task::spawn_local(write_frames(write, frames));
    Ok(OpenLink {
        sender: LinkSender::new(sender),
        reader: FrameReader(FramedRead::with_capacity(read, codec(), READ_BUFFER_BYTES)),
        writer,
    })
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(FRAME_BYTES_MAX)
        .new_codec()
}

type Writer = FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>;

async fn flush(framed: &mut Writer) -> io::Result<()> {
    SinkExt::<Bytes>::flush(framed).await
}

async fn write_frames(write: OwnedWriteHalf, mut frames: mpsc::Receiver<QueuedFrame>) {
    let mut framed = FramedWrite::new(write, codec());
    while let Some(frame) = frames.recv().await {
        let mut sent = framed.feed(frame.bytes).await;
        while let Ok(frame) = frames.try_recv() {
            if sent.is_ok() {
                sent = framed.feed(frame.bytes).await;
            }
        }
        if sent.is_err() || flush(&mut framed).await.is_err() {
            return;
        }
    }
}

/// Reads frames from one peer.
pub struct FrameReader(FramedRead<OwnedReadHalf, LengthDelimitedCodec>);

impl FrameReader {
    /// Reads the next frame; returns `None` once the peer has closed the link.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or a frame cannot be decoded.
    pub async fn next(&mut self) -> io::Result<Option<Frame>> {
        match self.0.next().await {
            Some(bytes) => Ok(Some(Frame::decode(bytes?)?)),
            None => Ok(None),
        }
    }
}

/// Closes a link when dropped, by aborting the tasks that serve it.
#[derive(Debug)]
pub struct LinkGuard {
    tasks: Vec<JoinHandle<()>>,
}

impl LinkGuard {
    /// Guards the tasks that serve a link.
    pub fn new(tasks: Vec<JoinHandle<()>>) -> Self {
        Self { tasks }
    }
}

impl Drop for LinkGuard {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}
