//! The receiving side: one listener, a task a connection.

use std::io;
use std::net::{Shutdown, TcpListener as StdListener};
use std::sync::{Arc, Mutex};

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use prost::Message as _;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinSet};
use tokio_util::codec::FramedRead;
use trefoil_schema::peer::Frame;

use super::error::LinkError;
use super::filter::{Fate, Filter};
use super::outbound::Context;
use super::{GREETING, Incoming, codec, lock};

/// Receives frames until it is closed.
pub(crate) struct Inbound {
    listener: StdListener,
    accepting: AbortHandle,
}

struct Reader {
    context: Arc<Context>,
    deliver: mpsc::Sender<Incoming>,
    filter: Mutex<Filter>,
}

impl Inbound {
    /// Listens; what arrives goes to `deliver`.
    pub(crate) fn start(
        context: &Arc<Context>,
        deliver: mpsc::Sender<Incoming>,
    ) -> Result<Self, LinkError> {
        let address = context.settings.listen;
        let socket = |error: io::Error| LinkError::socket(address, error);
        let listener = StdListener::bind(address).map_err(socket)?;
        listener.set_nonblocking(true).map_err(socket)?;
        let reader = Arc::new(Reader {
            context: context.clone(),
            deliver,
            filter: Mutex::default(),
        });
        let own = listener.try_clone().map_err(socket)?;
        let _inside = context.handle.enter();
        let tokio_listener = TcpListener::from_std(own).map_err(socket)?;
        let accepting = context.handle.spawn(accept_all(reader, tokio_listener));
        Ok(Self {
            listener,
            accepting: accepting.abort_handle(),
        })
    }

    /// Stops listening at once, and ends all connections.
    pub(crate) fn close(&self) {
        // The task's own listener goes only when the task is next run.
        let _ = socket2::SockRef::from(&self.listener).shutdown(Shutdown::Both);
        self.accepting.abort();
    }
}

/// Serves connections; they end with this task.
async fn accept_all(reader: Arc<Reader>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(reader.clone().read_all(stream));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

impl Reader {
    async fn read_all(self: Arc<Self>, mut stream: TcpStream) {
        if stream.write_all(GREETING).await.is_ok() {
            let mut frames = FramedRead::new(stream, codec(&self.context.settings));
            while let Some(Ok(bytes)) = frames.next().await {
                self.accept(bytes);
            }
        }
        self.context.counters.disconnects.add(1);
    }

    fn accept(&self, bytes: BytesMut) {
        let counters = &self.context.counters;
        counters.frames_in.add(1);
        counters.bytes_in.add(bytes.len());
        // One copy of the frame, that keeps no more of the read buffer alive;
        // payloads then share it instead of one each.
        let Ok(frame) = Frame::decode(Bytes::copy_from_slice(&bytes)) else {
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
