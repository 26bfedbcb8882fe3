//! The sending side: one PUSH socket a peer, one frame on its way at a time.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use nng::options::{Options, ReconnectMaxTime, ReconnectMinTime, transport::tcp::NoDelay};
use nng::{Aio, AioResult, PipeEvent, Protocol, Socket};
use prost::Message as _;
use trefoil_schema::peer::{Frame, Message, message::Body};

use super::error::{LinkError, LinkReason};
use super::lock;
use super::queue::{Batch, Queue};
use super::settings::LinkSettings;
use super::stats::Counters;

/// nng needs some time to start an operation before it may give it up.
const SEND_TIMEOUT_MIN: Duration = Duration::from_millis(50);

/// What all links of this instance share.
pub(crate) struct Context {
    pub(crate) settings: LinkSettings,
    pub(crate) counters: Counters,
    log: slog::Logger,
}

impl Context {
    pub(crate) fn new(settings: LinkSettings, log: slog::Logger) -> Self {
        Self {
            settings,
            counters: Counters::default(),
            log,
        }
    }
}

/// One peer as this instance sends to it.
pub(crate) struct Peer {
    name: String,
    context: Arc<Context>,
    state: Mutex<State>,
}

struct State {
    address: SocketAddr,
    sequence: u64,
    queue: Queue,
    /// None before the first message and after the close.
    wire: Option<Wire>,
    /// Tells the callbacks of one wire from those of its successors.
    generation: u64,
    retired: bool,
}

struct Wire {
    socket: Socket,
    aio: Aio,
    dialled: Instant,
    connected: bool,
    /// Messages in the frame that nng has not yet taken.
    in_flight: Option<usize>,
    /// The connection took nothing for as long as a message may wait.
    stuck: bool,
}

impl Wire {
    /// Closes the socket and waits for the last callback; no lock may be held.
    fn close(self) {
        self.socket.close();
        self.aio.wait();
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
            wire: None,
            generation: 0,
            retired: false,
        };
        Arc::new(Self {
            name: name.to_owned(),
            context,
            state: Mutex::new(state),
        })
    }

    /// Goes over to another address; what waits goes there.
    pub(crate) fn set_address(self: &Arc<Self>, address: SocketAddr) {
        let mut state = lock(&self.state);
        if state.address == address {
            return;
        }
        state.address = address;
        self.replace_wire(state);
    }

    /// Queues a message and sends it at once if nothing is on its way.
    pub(crate) fn send(self: &Arc<Self>, body: Body) -> Result<(), LinkError> {
        let message = Message { body: Some(body) };
        self.check_size(&message)?;
        let mut state = lock(&self.state);
        if state.retired {
            return Err(LinkError::unknown_peer(&self.name));
        }
        if state.wire.is_none() {
            let wire = self.dial(&mut state)?;
            state.wire = Some(wire);
        }
        let now = Instant::now();
        self.drop_late(&mut state, now);
        if !state.queue.push(message, now, &self.context.settings) {
            self.context.counters.queue_full.add(1);
            return Err(LinkError::queue_full(&self.name));
        }
        self.flush(&mut state, now);
        Ok(())
    }

    /// Drops what is late; dials anew where a dial or connection is stuck.
    pub(crate) fn tend(self: &Arc<Self>) {
        let mut state = lock(&self.state);
        let now = Instant::now();
        self.drop_late(&mut state, now);
        let redial = Duration::from_millis(self.context.settings.redial_ms);
        let stuck = state.wire.as_ref().is_some_and(|wire| {
            let unanswered = !wire.connected && now.duration_since(wire.dialled) > redial;
            unanswered || wire.stuck
        });
        if stuck {
            self.context.counters.redials.add(1);
            self.replace_wire(state);
        }
    }

    /// Refuses further messages and drops the waiting ones; returns the last
    /// sequence number used.
    pub(crate) fn retire(&self) -> u64 {
        let mut state = lock(&self.state);
        state.retired = true;
        let count = state.queue.clear();
        self.context.counters.removed.add(count);
        state.sequence
    }

    /// Closes the connection; no callback runs afterwards.
    pub(crate) fn close(&self) {
        let wire = lock(&self.state).wire.take();
        if let Some(wire) = wire {
            wire.close();
        }
    }

    fn check_size(&self, message: &Message) -> Result<(), LinkError> {
        let bytes = message.encoded_len();
        let bytes_max = self.context.settings.message_bytes_max;
        if bytes <= bytes_max {
            return Ok(());
        }
        let reason = LinkReason::TooLarge { bytes, bytes_max };
        Err(LinkError::not_run(reason))
    }

    /// Closes the wire, if there is one, and dials anew.
    fn replace_wire(self: &Arc<Self>, mut state: MutexGuard<'_, State>) {
        let Some(old) = state.wire.take() else {
            return;
        };
        if let Some(count) = old.in_flight {
            self.context.counters.lost.add(count);
        }
        // On failure the next message tries again.
        state.wire = self.dial(&mut state).ok();
        drop(state);
        old.close();
    }

    fn dial(self: &Arc<Self>, state: &mut State) -> Result<Wire, LinkError> {
        state.generation += 1;
        let address = state.address;
        self.open(address, state.generation)
            .map_err(|error| LinkError::socket(address, error))
    }

    fn open(self: &Arc<Self>, address: SocketAddr, generation: u64) -> Result<Wire, nng::Error> {
        let settings = &self.context.settings;
        let reconnect_min = Duration::from_millis(settings.reconnect_min_ms);
        let reconnect_max = Duration::from_millis(settings.reconnect_max_ms);
        let socket = Socket::new(Protocol::Push0)?;
        socket.set_opt::<NoDelay>(true)?;
        socket.set_opt::<ReconnectMinTime>(Some(reconnect_min))?;
        socket.set_opt::<ReconnectMaxTime>(Some(reconnect_max))?;
        let peer = self.clone();
        socket.pipe_notify(move |_, event| peer.notified(generation, event))?;
        let peer = self.clone();
        let aio = Aio::new(move |_, result| peer.sent(generation, result))?;
        socket.dial_async(&format!("tcp://{address}"))?;
        Ok(Wire {
            socket,
            aio,
            dialled: Instant::now(),
            connected: false,
            in_flight: None,
            stuck: false,
        })
    }

    /// A connection came or went.
    fn notified(&self, generation: u64, event: PipeEvent) {
        let connected = match event {
            PipeEvent::AddPost => true,
            PipeEvent::RemovePost => false,
            _ => return,
        };
        let counters = &self.context.counters;
        match connected {
            true => counters.connects.add(1),
            false => counters.disconnects.add(1),
        }
        let mut state = lock(&self.state);
        if state.generation != generation {
            return;
        }
        let now = Instant::now();
        let Some(wire) = &mut state.wire else {
            return;
        };
        wire.connected = connected;
        wire.dialled = now;
        slog::info!(self.context.log, "link"; "peer" => &self.name, "connected" => connected);
        self.drop_late(&mut state, now);
        self.flush(&mut state, now);
    }

    /// nng has taken the frame, or given it up.
    fn sent(&self, generation: u64, result: AioResult) {
        let mut state = lock(&self.state);
        if state.generation != generation {
            return;
        }
        let Some(wire) = &mut state.wire else {
            return;
        };
        let count = wire.in_flight.take().unwrap_or(0);
        match result {
            AioResult::Send(Err((_, nng::Error::TimedOut))) => {
                wire.stuck = true;
                self.context.counters.late.add(count);
            }
            AioResult::Send(Err(_)) => self.context.counters.lost.add(count),
            _ => self.context.counters.messages_out.add(count),
        }
        let now = Instant::now();
        self.drop_late(&mut state, now);
        self.flush(&mut state, now);
    }

    fn drop_late(&self, state: &mut State, now: Instant) {
        let count = state.queue.drop_late(now, &self.context.settings);
        self.context.counters.late.add(count);
    }

    /// Sends the next frame if the link is up and idle.
    fn flush(&self, state: &mut State, now: Instant) {
        let State { wire, queue, .. } = state;
        let Some(wire) = wire else {
            return;
        };
        if !wire.connected || wire.stuck || wire.in_flight.is_some() {
            return;
        }
        let Some(batch) = queue.take_batch(now, &self.context.settings) else {
            return;
        };
        state.sequence += 1;
        self.send_frame(wire, batch, state.sequence, now);
    }

    fn send_frame(&self, wire: &mut Wire, batch: Batch, sequence: u64, now: Instant) {
        let settings = &self.context.settings;
        let late = Duration::from_millis(settings.late_ms);
        let left = late.saturating_sub(now.duration_since(batch.oldest));
        let _ = wire.aio.set_timeout(Some(left.max(SEND_TIMEOUT_MIN)));
        let count = batch.messages.len();
        let frame = Frame {
            from: Some(settings.me.clone()),
            sequence,
            messages: batch.messages,
        };
        let bytes = frame.encode_to_vec();
        let counters = &self.context.counters;
        // Counted first: a receiver that has the frame finds it counted.
        counters.frames_out.add(1);
        counters.bytes_out.add(bytes.len());
        match wire.socket.send_async(&wire.aio, &bytes[..]) {
            Ok(()) => wire.in_flight = Some(count),
            Err(_) => counters.lost.add(count),
        }
    }
}
