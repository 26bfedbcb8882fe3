//! The receiving side: one PULL socket, one receive at a time.

use std::sync::{Arc, Mutex};

use bytes::Bytes;
use nng::options::{Options, RecvBufferSize, RecvMaxSize, transport::tcp::NoDelay};
use nng::{Aio, AioResult, PipeEvent, Protocol, Socket};
use prost::Message as _;
use tokio::sync::mpsc;
use trefoil_schema::peer::Frame;

use super::error::LinkError;
use super::filter::{Fate, Filter};
use super::outbound::Context;
use super::{Incoming, lock};

/// Frames that nng may hold for the reader; each is at most the frame bound.
const RECEIVE_BUFFER_FRAMES: i32 = 1;

/// The listening socket; closed by [`Inbound::close`].
pub(crate) struct Inbound {
    reader: Arc<Reader>,
}

struct Reader {
    context: Arc<Context>,
    deliver: mpsc::Sender<Incoming>,
    filter: Mutex<Filter>,
    /// Taken out at the close, which also ends the cycle socket-callback-reader.
    wire: Mutex<Option<(Socket, Aio)>>,
}

impl Inbound {
    /// Listens and receives from now on.
    pub(crate) fn start(
        context: &Arc<Context>,
        deliver: mpsc::Sender<Incoming>,
    ) -> Result<Self, LinkError> {
        let listen = context.settings.listen;
        let reader = Arc::new(Reader {
            context: context.clone(),
            deliver,
            filter: Mutex::default(),
            wire: Mutex::default(),
        });
        open(&reader).map_err(|error| LinkError::socket(listen, error))?;
        Ok(Self { reader })
    }

    /// Closes the socket and waits for the last callback to end.
    pub(crate) fn close(&self) {
        let wire = lock(&self.reader.wire).take();
        if let Some((socket, aio)) = wire {
            socket.close();
            aio.wait();
        }
    }
}

fn open(reader: &Arc<Reader>) -> Result<(), nng::Error> {
    let settings = &reader.context.settings;
    let socket = Socket::new(Protocol::Pull0)?;
    socket.set_opt::<RecvMaxSize>(settings.receive_bytes_max())?;
    socket.set_opt::<NoDelay>(true)?;
    // Not every socket type buffers; then there is nothing to bound.
    let _ = socket.set_opt::<RecvBufferSize>(RECEIVE_BUFFER_FRAMES);
    let context = reader.context.clone();
    socket.pipe_notify(move |_, event| {
        if matches!(event, PipeEvent::RemovePost) {
            context.counters.disconnects.add(1);
        }
    })?;
    let on_receive = reader.clone();
    let aio = Aio::new(move |_, result| on_receive.received(result))?;
    socket.listen(&format!("tcp://{}", settings.listen))?;
    socket.recv_async(&aio)?;
    *lock(&reader.wire) = Some((socket, aio));
    // A receive that ended before this point found no wire to go on with.
    reader.receive_next();
    Ok(())
}

impl Reader {
    fn received(&self, result: AioResult) {
        match result {
            AioResult::Recv(Ok(bytes)) => self.accept(&bytes),
            AioResult::Recv(Err(nng::Error::Closed)) => return,
            _ => {}
        }
        self.receive_next();
    }

    /// Starts the next receive unless one runs or the socket is closed.
    fn receive_next(&self) {
        if let Some((socket, aio)) = &*lock(&self.wire) {
            let _ = socket.recv_async(aio);
        }
    }

    fn accept(&self, bytes: &[u8]) {
        let counters = &self.context.counters;
        counters.frames_in.add(1);
        counters.bytes_in.add(bytes.len());
        // One copy of the frame; payloads then share it instead of one each.
        let Ok(frame) = Frame::decode(Bytes::copy_from_slice(bytes)) else {
            return counters.rubbish.add(1);
        };
        let fate = lock(&self.filter).judge(&frame, self.context.settings.senders_max);
        match fate {
            Fate::Deliver { gap } => {
                counters
                    .gaps
                    .add(usize::try_from(gap).unwrap_or(usize::MAX));
                self.deliver(frame);
            }
            Fate::Rubbish => counters.rubbish.add(1),
            Fate::Doubled => counters.doubled.add(1),
            Fate::Stale => counters.stale.add(1),
            Fate::Crowded => counters.senders.add(1),
        }
    }

    fn deliver(&self, frame: Frame) {
        let counters = &self.context.counters;
        let from = frame.from.unwrap_or_default();
        for message in frame.messages {
            let Some(message) = message.body else {
                counters.unknown.add(1);
                continue;
            };
            let Ok(place) = self.deliver.try_reserve() else {
                counters.inbox_full.add(1);
                continue;
            };
            // Counted first: a reader that has the message finds it counted.
            counters.messages_in.add(1);
            let from = from.clone();
            place.send(Incoming { from, message });
        }
    }
}
