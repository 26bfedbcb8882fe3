//! The sending side: one connection a peer, one frame on its way at a time.
//!
//! A task a peer dials, waits for the other side's greeting, and then sends
//! batch after batch. The greeting tells a peer that runs from one whose
//! kernel alone accepts connections: a frozen process gets nothing that it
//! would read much later.

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
use trefoil_schema::peer::{Frame, Message, message::Body};

use super::error::{LinkError, LinkErrorKind};
use super::queue::Queue;
use super::settings::LinkSettings;
use super::stats::{Counter, Counters};
use super::{GREETING, codec, lock};

/// Shortest time that a connection has to take a frame.
const SEND_TIMEOUT_MIN: Duration = Duration::from_millis(50);

/// What all peers of one instance share.
pub(crate) struct Context {
    pub(crate) settings: LinkSettings,
    pub(crate) counters: Counters,
    /// Where the tasks of the links run.
    pub(crate) handle: Handle,
    log: slog::Logger,
}

impl Context {
    /// # Panics
    ///
    /// Outside a tokio runtime.
    pub(crate) fn new(settings: LinkSettings, log: slog::Logger) -> Self {
        Self {
            settings,
            counters: Counters::default(),
            handle: Handle::current(),
            log,
        }
    }
}

/// One peer and what waits for it.
pub(crate) struct Peer {
    name: String,
    context: Arc<Context>,
    state: Mutex<State>,
    /// Wakes the task that sends.
    queued: Notify,
}

struct State {
    address: SocketAddr,
    /// Sequence number of the last frame.
    sequence: u64,
    queue: Queue,
    /// The task that dials and sends.
    carrier: Option<AbortHandle>,
    retired: bool,
}

type Writer = FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>;

/// A frame and what is to be counted of it.
struct Outgoing {
    bytes: Bytes,
    messages: usize,
    limit: Duration,
}

/// Counts messages as lost unless their frame's fate was counted otherwise.
struct InFlight<'a> {
    messages: usize,
    lost: &'a Counter,
}

impl InFlight<'_> {
    fn settled(mut self) -> usize {
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
            carrier: None,
            retired: false,
        };
        Arc::new(Self {
            name: name.to_owned(),
            context,
            state: Mutex::new(state),
            queued: Notify::new(),
        })
    }

    /// Dials `address` from now on; what waits goes there.
    pub(crate) fn set_address(self: &Arc<Self>, address: SocketAddr) {
        let mut state = lock(&self.state);
        if state.address == address {
            return;
        }
        state.address = address;
        if let Some(old) = state.carrier.take() {
            old.abort();
            state.carrier = Some(self.start_carrier(address));
        }
    }

    /// Queues a message; it goes out as soon as the connection is free.
    pub(crate) fn send(self: &Arc<Self>, body: Body) -> Result<(), LinkError> {
        let message = Message { body: Some(body) };
        self.check_size(&message)?;
        let mut state = lock(&self.state);
        if state.retired {
            return Err(LinkError::unknown_peer(&self.name));
        }
        if state.carrier.is_none() {
            state.carrier = Some(self.start_carrier(state.address));
        }
        let now = Instant::now();
        self.drop_late(&mut state, now);
        if !state.queue.push(message, now, &self.context.settings) {
            self.context.counters.queue_full.add(1);
            return Err(LinkError::queue_full(&self.name));
        }
        self.queued.notify_one();
        Ok(())
    }

    /// Takes no more messages, drops those that wait and returns the sequence
    /// number of the last frame.
    pub(crate) fn retire(&self) -> u64 {
        let mut state = lock(&self.state);
        state.retired = true;
        let count = state.queue.clear();
        self.context.counters.removed.add(count);
        state.sequence
    }

    /// Closes the connection.
    pub(crate) fn close(&self) {
        if let Some(carrier) = lock(&self.state).carrier.take() {
            carrier.abort();
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

    fn start_carrier(self: &Arc<Self>, address: SocketAddr) -> AbortHandle {
        let carrier = Arc::clone(self).carry(address);
        self.context.handle.spawn(carrier).abort_handle()
    }

    /// Dials and sends until it is aborted.
    async fn carry(self: Arc<Self>, address: SocketAddr) {
        let settings = &self.context.settings;
        let pause_min = Duration::from_millis(settings.reconnect_min_ms);
        let pause_max = Duration::from_millis(settings.reconnect_max_ms);
        let mut pause = pause_min;
        loop {
            if let Some((read, writer)) = self.dial(address).await {
                pause = pause_min;
                self.connected(true);
                self.send_batches(read, writer).await;
                self.connected(false);
            }
            self.drop_late(&mut lock(&self.state), Instant::now());
            tokio::time::sleep(pause).await;
            pause = pause_max.min(pause * 2);
        }
    }

    /// Connects and awaits the greeting.
    async fn dial(&self, address: SocketAddr) -> Option<(OwnedReadHalf, Writer)> {
        let limit = Duration::from_millis(self.context.settings.dial_timeout_ms);
        let greeted = async {
            let stream = TcpStream::connect(address).await.ok()?;
            stream.set_nodelay(true).ok()?;
            let (mut read, write) = stream.into_split();
            let mut greeting = [0; GREETING.len()];
            read.read_exact(&mut greeting).await.ok()?;
            (greeting == *GREETING).then_some((read, write))
        };
        let Ok(greeted) = timeout(limit, greeted).await else {
            self.context.counters.redials.add(1);
            return None;
        };
        let (read, write) = greeted?;
        Some((read, FramedWrite::new(write, codec(&self.context.settings))))
    }

    fn connected(&self, connected: bool) {
        let counters = &self.context.counters;
        match connected {
            true => counters.connects.add(1),
            false => counters.disconnects.add(1),
        }
        slog::info!(self.context.log, "link"; "peer" => &self.name, "connected" => connected);
    }

    /// Sends what waits until the connection ends or takes nothing more.
    async fn send_batches(&self, mut read: OwnedReadHalf, mut writer: Writer) {
        let mut nothing = [0; 1];
        loop {
            if let Some(frame) = self.next_frame() {
                if !self.send_frame(&mut writer, frame).await {
                    return;
                }
                continue;
            }
            // The other side never sends: whatever comes is the end.
            tokio::select! {
                () = self.queued.notified() => {}
                _ = read.read(&mut nothing) => return,
            }
        }
    }

    fn next_frame(&self) -> Option<Outgoing> {
        let settings = &self.context.settings;
        let mut state = lock(&self.state);
        let now = Instant::now();
        self.drop_late(&mut state, now);
        let batch = state.queue.take_batch(now, settings)?;
        state.sequence += 1;
        let late = Duration::from_millis(settings.queue_timeout_ms);
        let left = late.saturating_sub(now.duration_since(batch.oldest));
        let messages = batch.messages.len();
        let frame = Frame {
            from: Some(settings.local_instance.clone()),
            sequence: state.sequence,
            messages: batch.messages,
        };
        Some(Outgoing {
            bytes: frame.encode_to_vec().into(),
            messages,
            limit: left.max(SEND_TIMEOUT_MIN),
        })
    }

    /// Whether the connection took the frame.
    async fn send_frame(&self, writer: &mut Writer, frame: Outgoing) -> bool {
        let counters = &self.context.counters;
        // Counted first: a receiver that has the frame finds it counted.
        counters.frames_out.add(1);
        counters.bytes_out.add(frame.bytes.len());
        let in_flight = InFlight {
            messages: frame.messages,
            lost: &counters.lost,
        };
        match timeout(frame.limit, writer.send(frame.bytes)).await {
            Ok(Ok(())) => {
                counters.messages_out.add(in_flight.settled());
                true
            }
            Ok(Err(_)) => false,
            Err(_) => {
                counters.late.add(in_flight.settled());
                counters.redials.add(1);
                false
            }
        }
    }

    fn drop_late(&self, state: &mut State, now: Instant) {
        let count = state.queue.drop_late(now, &self.context.settings);
        self.context.counters.late.add(count);
    }
}
