//! The receiving side: a listener, and one task for each connection.

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
use trefoil_schema::peer::{Frame, InstanceRef, Message, message::Body};

use super::error::LinkError;
use super::filter::{FrameCheck, FrameFilter};
use super::outbound::Context;
use super::{ANY_INCARNATION, GREETING, Incoming, codec, lock};

/// Accepts connections and receives frames until it is closed.
pub(crate) struct Inbound {
    listener: StdListener,
    accept_task: AbortHandle,
}

struct Reader {
    context: Arc<Context>,
    inbox: mpsc::Sender<Incoming>,
    filter: Mutex<FrameFilter>,
}

impl Inbound {
    /// Listens, and passes incoming messages to `inbox`.
    pub(crate) fn start(
        context: &Arc<Context>,
        inbox: mpsc::Sender<Incoming>,
    ) -> Result<Self, LinkError> {
        let address = context.settings.listen;
        let socket = |error: io::Error| LinkError::socket(address, error);
        let listener = StdListener::bind(address).map_err(socket)?;
        listener.set_nonblocking(true).map_err(socket)?;
        let reader = Arc::new(Reader {
            context: context.clone(),
            inbox,
            filter: Mutex::default(),
        });
        let clone = listener.try_clone().map_err(socket)?;
        let _runtime = context.handle.enter();
        let tokio_listener = TcpListener::from_std(clone).map_err(socket)?;
        let accept_task = context.handle.spawn(accept_all(reader, tokio_listener));
        Ok(Self {
            listener,
            accept_task: accept_task.abort_handle(),
        })
    }

    /// Stops listening immediately and closes all connections.
    pub(crate) fn close(&self) {
        // The aborted task drops its clone of the listener only when it is next
        // scheduled.
        let _ = socket2::SockRef::from(&self.listener).shutdown(Shutdown::Both);
        self.accept_task.abort();
    }
}

/// Accepts connections; they are closed when this task ends.
async fn accept_all(reader: Arc<Reader>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(reader.clone().read_frames(stream));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

impl Reader {
    async fn read_frames(self: Arc<Self>, mut stream: TcpStream) {
        if stream.write_all(GREETING).await.is_ok() {
            let mut frames = FramedRead::new(stream, codec(&self.context.settings));
            while let Some(Ok(bytes)) = frames.next().await {
                self.receive(bytes);
            }
        }
        self.context.counters.disconnects.add(1);
    }

    fn receive(&self, bytes: BytesMut) {
        let counters = &self.context.counters;
        counters.frames_in.add(1);
        counters.bytes_in.add(bytes.len());
        // Copies the frame once, so that its payloads share this copy and do not
        // keep the read buffer alive.
        let Ok(frame) = Frame::decode(Bytes::copy_from_slice(&bytes)) else {
            return counters.rubbish.add(1);
        };
        let check = lock(&self.filter).check(&frame, self.context.settings.senders_max);
        match check {
            FrameCheck::Deliver { gap } => {
                counters
                    .gaps
                    .add(usize::try_from(gap).unwrap_or(usize::MAX));
                self.deliver(frame);
            }
            FrameCheck::Malformed => counters.rubbish.add(1),
            FrameCheck::Duplicate => counters.doubled.add(1),
            FrameCheck::Stale => counters.stale.add(1),
            FrameCheck::TooManySenders => counters.senders.add(1),
        }
    }

    fn is_meant_for_this_incarnation(&self, message: &Message) -> bool {
        let local = self.context.settings.local_instance.incarnation;
        [ANY_INCARNATION, local].contains(&message.to_incarnation)
    }

    fn log_other_incarnation(&self, from: &InstanceRef, message: &Message) {
        slog::info!(self.context.log, "message for another incarnation dropped";
            "from" => &from.name, "from_incarnation" => from.incarnation,
            "to_incarnation" => message.to_incarnation,
            "incarnation" => self.context.settings.local_instance.incarnation,
            "request_id" => request_id(message), "key" => key(message));
    }

    fn deliver(&self, frame: Frame) {
        let counters = &self.context.counters;
        let from = frame.from.unwrap_or_default();
        for message in frame.messages {
            if !self.is_meant_for_this_incarnation(&message) {
                counters.other_incarnation.add(1);
                self.log_other_incarnation(&from, &message);
                continue;
            }
            let Some(message) = message.body else {
                counters.unknown.add(1);
                continue;
            };
            let Ok(permit) = self.inbox.try_reserve() else {
                counters.inbox_full.add(1);
                continue;
            };
            // Counted before delivery, so that the receiver sees it counted.
            counters.messages_in.add(1);
            let from = from.clone();
            permit.send(Incoming { from, message });
        }
    }
}

/// The request ID of a message about a job; 0 for other messages.
fn request_id(message: &Message) -> u64 {
    match &message.body {
        Some(Body::ForwardJob(job)) => job.request_id,
        Some(Body::FetchJob(request)) => request.request_id,
        Some(Body::CancelJob(request)) => request.request_id,
        Some(Body::JobAnswer(answer)) => answer.request_id,
        _ => 0,
    }
}

/// The key of a message about a job; empty for other messages.
fn key(message: &Message) -> &str {
    match &message.body {
        Some(Body::ForwardJob(job)) => &job.key,
        Some(Body::FetchJob(request)) => &request.key,
        Some(Body::CancelJob(request)) => &request.key,
        Some(Body::JobAnswer(answer)) => &answer.key,
        _ => "",
    }
}
