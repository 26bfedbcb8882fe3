//! Connections between instances.
//!
//! One TCP connection carries frames both ways; each frame is a message in
//! protocol buffers behind its length. A link that is silent for too long is
//! closed by the instance's tick, so that neither side waits for the kernel to
//! notice that a peer is gone.

use std::io;
use std::net::SocketAddr;
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

/// Longest wait for a connection to open: a crossing takes a few milliseconds,
/// and a lost opening packet is sent again after a second.
const DIAL: Duration = Duration::from_millis(400);
/// Longest frame: a handover of a thousand jobs with their texts.
const FRAME_BYTES_MAX: usize = 8 * 1024 * 1024;
/// Unacknowledged bytes end the connection after this time; the heartbeats'
/// limit comes first for a peer that is silent.
const USER_TIMEOUT: Duration = Duration::from_millis(2000);
/// Frames that wait for a peer that does not read; beyond them it is cut off.
const FRAMES_WAITING_MAX: usize = 4096;
/// First size of the buffer that frames are read into.
const READ_BYTES: usize = 4096;

/// Sends frames to one peer; the link closes when the last clone is dropped.
#[derive(Clone, Debug)]
pub struct LinkSender(mpsc::Sender<Bytes>);

impl LinkSender {
    /// Queues a frame; false if the peer does not keep up or the link is down.
    pub fn send(&self, frame: Bytes) -> bool {
        self.0.try_send(frame).is_ok()
    }
}

/// The bytes of a frame.
pub fn encode(frame: &Frame) -> Bytes {
    Bytes::from(frame.encode_to_vec())
}

/// Opens a connection to an instance.
///
/// # Errors
///
/// What the system says, or that it took too long.
pub async fn dial(address: SocketAddr) -> io::Result<TcpStream> {
    match tokio::time::timeout(DIAL, TcpStream::connect(address)).await {
        Ok(stream) => stream,
        Err(_) => Err(io::ErrorKind::TimedOut.into()),
    }
}

/// The two halves of an open link.
pub struct Opened {
    /// For frames to the peer.
    pub sender: LinkSender,
    /// For frames from the peer.
    pub reader: FrameReader,
    /// Ends the link's writer.
    pub writer: JoinHandle<()>,
}

/// Makes a link of a connection.
///
/// # Errors
///
/// When the connection's options cannot be set.
pub fn open(stream: TcpStream) -> io::Result<Opened> {
    stream.set_nodelay(true)?;
    let options = socket2::SockRef::from(&stream);
    options.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let (read, write) = stream.into_split();
    let (sender, frames) = mpsc::channel(FRAMES_WAITING_MAX);
    let writer = tokio::task::spawn_local(write_frames(write, frames));
    Ok(Opened {
        sender: LinkSender(sender),
        reader: FrameReader(FramedRead::with_capacity(read, codec(), READ_BYTES)),
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

async fn write_frames(write: OwnedWriteHalf, mut frames: mpsc::Receiver<Bytes>) {
    let mut framed = FramedWrite::new(write, codec());
    while let Some(frame) = frames.recv().await {
        let mut sent = framed.feed(frame).await;
        while let Ok(frame) = frames.try_recv() {
            if sent.is_ok() {
                sent = framed.feed(frame).await;
            }
        }
        if sent.is_err() || flush(&mut framed).await.is_err() {
            return;
        }
    }
}

/// Reads frames from a peer.
pub struct FrameReader(FramedRead<OwnedReadHalf, LengthDelimitedCodec>);

impl FrameReader {
    /// The next frame; none at the end of the link.
    ///
    /// # Errors
    ///
    /// When the connection breaks or the peer sends garbage.
    pub async fn next(&mut self) -> io::Result<Option<Frame>> {
        match self.0.next().await {
            Some(bytes) => Ok(Some(Frame::decode(bytes?)?)),
            None => Ok(None),
        }
    }
}

/// Closes a link when dropped.
#[derive(Debug)]
pub struct LinkGuard {
    tasks: Vec<JoinHandle<()>>,
}

impl LinkGuard {
    /// A guard of the tasks that serve a link.
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
