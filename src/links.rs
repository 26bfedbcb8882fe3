//! Links between instances over TCP.
//!
//! Each instance listens on one address and opens one connection to each peer. A
//! connection carries length-delimited frames in one direction, after a greeting.
//! Messages queued while a frame is being sent are batched into the next frame, so
//! batching adds no delay. Messages are never retransmitted: callers match answers
//! to requests and apply their own timeouts.
//!
//! A message names the incarnation that it is meant for. Queued messages outlive the
//! connection, and the connection is opened to an address, so that a restarted peer
//! would otherwise read messages meant for its previous incarnation.

mod error;
mod filter;
mod inbound;
mod outbound;
mod probe;
mod queue;
mod settings;
mod stats;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};

use tokio::sync::mpsc;
use tokio_util::codec::LengthDelimitedCodec;
use trefoil_schema::peer::{InstanceRef, Message, message::Body};

pub use error::{LinkError, LinkErrorKind};
pub use probe::{ProbeResult, probe};
pub use settings::LinkSettings;
pub use stats::{DropStats, LinkStats};

use inbound::Inbound;
use outbound::{Context, Peer};

/// Value of `to_incarnation` of a message that any incarnation may read.
pub(crate) const ANY_INCARNATION: u64 = 0;

/// A message received from a peer; delivered at most once.
#[derive(Clone, Debug, PartialEq)]
pub struct Incoming {
    /// The sending instance and its incarnation.
    pub from: InstanceRef,
    /// The message. Payloads and results share the memory of the received frame;
    /// copy them to keep them for longer than a job runs.
    pub message: Body,
}

/// Handle to all links of this instance; dropping the last clone closes them.
#[derive(Clone)]
pub struct Links {
    shared: Arc<Shared>,
}

struct Shared {
    context: Arc<Context>,
    peers: Arc<PeerTable>,
    inbound: Inbound,
}

/// Peers by name, and the last sequence numbers of removed peers.
#[derive(Default)]
pub(crate) struct PeerTable {
    by_name: RwLock<HashMap<String, Arc<Peer>>>,
    removed_sequences: Mutex<HashMap<String, u64>>,
}

impl PeerTable {
    fn get(&self, name: &str) -> Option<Arc<Peer>> {
        let peers = self.by_name.read().unwrap_or_else(PoisonError::into_inner);
        peers.get(name).cloned()
    }

    /// All peers, cloned so that callers do not hold the lock.
    pub(crate) fn all(&self) -> Vec<Arc<Peer>> {
        let peers = self.by_name.read().unwrap_or_else(PoisonError::into_inner);
        peers.values().cloned().collect()
    }

    fn get_or_insert(&self, name: &str, context: &Arc<Context>, address: SocketAddr) -> Arc<Peer> {
        let mut peers = self.by_name.write().unwrap_or_else(PoisonError::into_inner);
        if let Some(peer) = peers.get(name) {
            return peer.clone();
        }
        let sequence = lock(&self.removed_sequences)
            .get(name)
            .copied()
            .unwrap_or(0);
        let peer = Peer::new(name, address, sequence, context.clone());
        peers.insert(name.to_owned(), peer.clone());
        peer
    }

    fn remove(&self, name: &str) {
        let mut peers = self.by_name.write().unwrap_or_else(PoisonError::into_inner);
        let Some(peer) = peers.remove(name) else {
            return;
        };
        let sequence = peer.mark_removed();
        lock(&self.removed_sequences).insert(name.to_owned(), sequence);
        drop(peers);
        peer.close();
    }
}

impl Links {
    /// Listens on `settings.listen`; returns a handle and the receiver of incoming
    /// messages.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub fn start(
        settings: LinkSettings,
        log: slog::Logger,
    ) -> Result<(Self, mpsc::Receiver<Incoming>), LinkError> {
        let (inbox, incoming) = mpsc::channel(settings.inbox_capacity);
        let context = Arc::new(Context::new(settings, log));
        let inbound = Inbound::start(&context, inbox)?;
        let peers = Arc::new(PeerTable::default());
        let shared = Shared {
            context,
            peers,
            inbound,
        };
        let links = Self {
            shared: Arc::new(shared),
        };
        Ok((links, incoming))
    }

    /// Adds a peer or changes its address. The connection is opened when the first
    /// message is sent.
    pub fn set_peer(&self, name: &str, address: SocketAddr) {
        let peer = self
            .shared
            .peers
            .get_or_insert(name, &self.shared.context, address);
        peer.set_address(address);
    }

    /// Removes a peer, drops its queued messages and closes the connection.
    pub fn remove_peer(&self, name: &str) {
        self.shared.peers.remove(name);
    }

    /// Queues a message for the peer's next frame; never blocks. A later incarnation
    /// of the peer drops the message.
    ///
    /// # Errors
    ///
    /// Fails if the peer is unknown, its queue is full, or the message is too
    /// large. The verdict is always "not run", as nothing was sent.
    pub fn send(&self, to: &InstanceRef, message: Body) -> Result<(), LinkError> {
        self.send_message(&to.name, to.incarnation, message)
    }

    /// Like [`Self::send`], for a message that any incarnation of the peer may read.
    ///
    /// # Errors
    ///
    /// Those of [`Self::send`].
    pub fn send_to_any(&self, to: &str, message: Body) -> Result<(), LinkError> {
        self.send_message(to, ANY_INCARNATION, message)
    }

    fn send_message(&self, to: &str, incarnation: u64, body: Body) -> Result<(), LinkError> {
        let peer = self.shared.peers.get(to);
        let peer = peer.ok_or_else(|| LinkError::unknown_peer(to))?;
        peer.send(Message {
            body: Some(body),
            to_incarnation: incarnation,
        })
    }

    /// Counters since the start, summed over all peers.
    pub fn stats(&self) -> LinkStats {
        self.shared.context.counters.read()
    }
}

impl Drop for Shared {
    fn drop(&mut self) {
        self.inbound.close();
        for peer in self.peers.all() {
            peer.mark_removed();
            peer.close();
        }
    }
}

/// Bytes that the accepting side sends first on each connection.
pub const GREETING: &[u8; 8] = b"trefoil1";

pub(crate) fn codec(settings: &LinkSettings) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(settings.receive_bytes_max())
        .new_codec()
}

/// Locks and ignores poisoning; a panic does not leave the queues or counters
/// inconsistent.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
