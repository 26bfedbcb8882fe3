//! The sending side: one connection to each peer, one frame in flight at a time.
//!
//! For each peer, a task dials, waits for the greeting and sends batches of
//! messages. The greeting shows that the process is running: the kernel also
//! accepts connections for a frozen process, which would read the messages much
//! later.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::SinkExt;
use prost::Message as _;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::runtime::Handle;
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio::time::timeout;
use tokio_util::codec::{FramedWrite, LengthDelimitedCodec};
use trefoil_schema::peer::{Frame, Message};

use super::error::{LinkError, LinkErrorKind};
use super::queue::Queue;
use super::settings::LinkSettings;
use super::stats::{Counter, Counters};
use super::{GREETING, codec, lock};

/// Minimum timeout for writing a frame to a connection.
const SEND_TIMEOUT_MIN: Duration = Duration::from_millis(50);

/// State shared by all links of an instance.
pub(crate) struct Context {
    pub(crate) settings: LinkSettings,
    pub(crate) counters: Counters,
    /// Runtime of the link tasks.
    pub(crate) handle: Handle,
    pub(crate) log: slog::Logger,
}

impl Context {
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    pub(crate) fn new(settings: LinkSettings, log: slog::Logger) -> Self {
        Self {
            settings,
            counters: Counters::default(),
            handle: Handle::current(),
            log,
        }
    }
}

/// A peer and its send queue.
pub(crate) struct Peer {
    name: String,
    context: Arc<Context>,
    state: Mutex<State>,
    /// Wakes the sender task.
    queued: Notify,
}

struct State {
    address: SocketAddr,
    /// Sequence number of the last frame sent.
    sequence: u64,
    queue: Queue,
    /// The task that dials and sends.
    sender_task: Option<AbortHandle>,
    removed: bool,
}

type Writer = FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>;

/// An encoded frame.
struct OutgoingFrame {
    bytes: Bytes,
    messages: usize,
    timeout: Duration,
}

/// Counts its messages as lost when dropped, unless `finish` was called.
struct InFlight<'a> {
    messages: usize,
    lost: &'a Counter,
}

impl InFlight<'_> {
    fn finish(mut self) -> usize {
        std::mem::take(&mut self.messages)
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.lost.add(self.messages);
    }
}

impl Peer {
    pub(crate) fn new(
        name: &str,
        address: SocketAddr,
        sequence: u64,
        context: Arc<Context>,
    ) -> Arc<Self> {
        let state = State {
            address,
            sequence,
            queue: Queue::default(),
            sender_task: None,
            removed: false,
        };
        Arc::new(Self {
            name: name.to_owned(),
            context,
            state: Mutex::new(state),
            queued: Notify::new(),
        })
    }

    /// Changes the address; queued messages are sent to the new one.
    pub(crate) fn set_address(self: &Arc<Self>, address: SocketAddr) {
        let mut state = lock(&self.state);
        if state.address == address {
            return;
        }
        state.address = address;
        if let Some(old) = state.sender_task.take() {
            old.abort();
            state.sender_task = Some(self.start_sender_task(address));
        }
    }

    /// Queues a message for the next frame.
    pub(crate) fn send(self: &Arc<Self>, message: Message) -> Result<(), LinkError> {
        self.check_size(&message)?;
        let mut state = lock(&self.state);
        if state.removed {
            return Err(LinkError::unknown_peer(&self.name));
        }
        if state.sender_task.is_none() {
            state.sender_task = Some(self.start_sender_task(state.address));
        }
        let now = Instant::now();
        self.drop_expired(&mut state, now);
        if !state.queue.push(message, now, &self.context.settings) {
            self.context.counters.queue_full.add(1);
            return Err(LinkError::queue_full(&self.name));
        }
        self.queued.notify_one();
        Ok(())
    }

    /// Rejects further messages, drops the queued ones and returns the sequence
    /// number of the last frame sent.
    pub(crate) fn mark_removed(&self) -> u64 {
        let mut state = lock(&self.state);
        state.removed = true;
        let count = state.queue.clear();
        self.context.counters.removed.add(count);
        state.sequence
    }

    /// Closes the connection.
    pub(crate) fn close(&self) {
        if let Some(task) = lock(&self.state).sender_task.take() {
            task.abort();
        }
    }

    fn check_size(&self, message: &Message) -> Result<(), LinkError> {
        let bytes = message.encoded_len();
        let bytes_max = self.context.settings.message_bytes_max;
        if bytes <= bytes_max {
            return Ok(());
        }
        let kind = LinkErrorKind::TooLarge { bytes, bytes_max };
        Err(LinkError::not_run(kind))
    }

    fn start_sender_task(self: &Arc<Self>, address: SocketAddr) -> AbortHandle {
        let task = Arc::clone(self).run(address);
        self.context.handle.spawn(task).abort_handle()
    }

    /// Dials and sends until it is aborted.
    async fn run(self: Arc<Self>, address: SocketAddr) {
        let settings = &self.context.settings;
        let delay_min = Duration::from_millis(settings.reconnect_min_ms);
        let delay_max = Duration::from_millis(settings.reconnect_max_ms);
        let mut delay = delay_min;
        loop {
            if let Some((read, writer)) = self.dial(address).await {
                delay = delay_min;
                self.record_connected(true);
                self.send_batches(read, writer).await;
                self.record_connected(false);
            }
            self.drop_expired(&mut lock(&self.state), Instant::now());
            tokio::time::sleep(delay).await;
            delay = delay_max.min(delay * 2);
        }
    }

    /// Connects and waits for the greeting.
    async fn dial(&self, address: SocketAddr) -> Option<(OwnedReadHalf, Writer)> {
        let limit = Duration::from_millis(self.context.settings.dial_timeout_ms);
        let handshake = async {
            let stream = TcpStream::connect(address).await.ok()?;
            stream.set_nodelay(true).ok()?;
            let (mut read, write) = stream.into_split();
            let mut greeting = [0; GREETING.len()];
            read.read_exact(&mut greeting).await.ok()?;
            (greeting == *GREETING).then_some((read, write))
        };
        let Ok(connected) = timeout(limit, handshake).await else {
            self.context.counters.redials.add(1);
            return None;
        };
        let (read, write) = connected?;
        Some((read, FramedWrite::new(write, codec(&self.context.settings))))
    }

    fn record_connected(&self, connected: bool) {
        let counters = &self.context.counters;
        match connected {
            true => counters.connects.add(1),
            false => counters.disconnects.add(1),
        }
        slog::info!(self.context.log, "link"; "peer" => &self.name, "connected" => connected);
    }

    /// Sends queued messages until the connection is closed or a write fails.
    async fn send_batches(&self, mut read: OwnedReadHalf, mut writer: Writer) {
        let mut unused = [0; 1];
        loop {
            if let Some(frame) = self.next_frame() {
                if !self.send_frame(&mut writer, frame).await {
                    return;
                }
                continue;
            }
            // The peer sends nothing after the greeting, so that a completed read
            // means that the connection is closed or unusable.
            tokio::select! {
                () = self.queued.notified() => {}
                _ = read.read(&mut unused) => return,
            }
        }
    }

    fn next_frame(&self) -> Option<OutgoingFrame> {
        let settings = &self.context.settings;
        let mut state = lock(&self.state);
        let now = Instant::now();
        self.drop_expired(&mut state, now);
        let batch = state.queue.take_batch(now, settings)?;
        state.sequence += 1;
        let queue_timeout = Duration::from_millis(settings.queue_timeout_ms);
        let remaining = queue_timeout.saturating_sub(now.duration_since(batch.oldest));
        let messages = batch.messages.len();
        let frame = Frame {
            from: Some(settings.local_instance.clone()),
            sequence: state.sequence,
            messages: batch.messages,
        };
        Some(OutgoingFrame {
            bytes: frame.encode_to_vec().into(),
            messages,
            timeout: remaining.max(SEND_TIMEOUT_MIN),
        })
    }

    /// Writes a frame; returns whether it was written in time.
    async fn send_frame(&self, writer: &mut Writer, frame: OutgoingFrame) -> bool {
        let counters = &self.context.counters;
        // Counted before the write, so that the receiver sees it counted.
        counters.frames_out.add(1);
        counters.bytes_out.add(frame.bytes.len());
        let in_flight = InFlight {
            messages: frame.messages,
            lost: &counters.lost,
        };
        match timeout(frame.timeout, writer.send(frame.bytes)).await {
            Ok(Ok(())) => {
                counters.messages_out.add(in_flight.finish());
                true
            }
            Ok(Err(_)) => false,
            Err(_) => {
                counters.late.add(in_flight.finish());
                counters.redials.add(1);
                false
            }
        }
    }

    fn drop_expired(&self, state: &mut State, now: Instant) {
        let count = state.queue.drop_expired(now, &self.context.settings);
        self.context.counters.late.add(count);
    }
}
