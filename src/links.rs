//! Links between instances over TCP.
//!
//! Each instance listens at one address and dials one connection a peer. A
//! connection carries length-delimited frames one way, behind a greeting.
//! What is sent while a frame is on its way gathers into the next frame, so
//! batching adds no delay. Nothing is ever resent: the layer above matches
//! answers to requests and times out.

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
use trefoil_schema::peer::{InstanceRef, message::Body};

pub use error::{LinkError, LinkErrorKind};
pub use probe::{Probe, probe};
pub use settings::LinkSettings;
pub use stats::{DropStats, LinkStats};

use inbound::Inbound;
use outbound::{Context, Peer};

/// One message from a peer, delivered at most once.
#[derive(Clone, Debug, PartialEq)]
pub struct Incoming {
    /// The sender, with the number of its start.
    pub from: InstanceRef,
    /// What it says. Payloads and results share the memory of their frame:
    /// whoever keeps one for longer than a job lasts copies it.
    pub message: Body,
}

/// Handle on all links of this instance; the last clone dropped closes them.
#[derive(Clone)]
pub struct Links {
    shared: Arc<Shared>,
}

struct Shared {
    context: Arc<Context>,
    peers: Arc<Peers>,
    inbound: Inbound,
}

/// Peers by name, and the sequence numbers that removed peers had reached.
#[derive(Default)]
pub(crate) struct Peers {
    by_name: RwLock<HashMap<String, Arc<Peer>>>,
    reached: Mutex<HashMap<String, u64>>,
}

impl Peers {
    fn get(&self, name: &str) -> Option<Arc<Peer>> {
        let peers = self.by_name.read().unwrap_or_else(PoisonError::into_inner);
        peers.get(name).cloned()
    }

    /// All peers, for work that must not hold the map's lock.
    pub(crate) fn all(&self) -> Vec<Arc<Peer>> {
        let peers = self.by_name.read().unwrap_or_else(PoisonError::into_inner);
        peers.values().cloned().collect()
    }

    fn get_or_insert(&self, name: &str, context: &Arc<Context>, address: SocketAddr) -> Arc<Peer> {
        let mut peers = self.by_name.write().unwrap_or_else(PoisonError::into_inner);
        if let Some(peer) = peers.get(name) {
            return peer.clone();
        }
        let sequence = lock(&self.reached).get(name).copied().unwrap_or(0);
        let peer = Peer::new(name, address, sequence, context.clone());
        peers.insert(name.to_owned(), peer.clone());
        peer
    }

    fn remove(&self, name: &str) {
        let mut peers = self.by_name.write().unwrap_or_else(PoisonError::into_inner);
        let Some(peer) = peers.remove(name) else {
            return;
        };
        let sequence = peer.retire();
        lock(&self.reached).insert(name.to_owned(), sequence);
        drop(peers);
        peer.close();
    }
}

impl Links {
    /// Listens at `settings.listen` and returns the handle and what arrives.
    ///
    /// # Errors
    ///
    /// The address can't be listened on.
    pub fn start(
        settings: LinkSettings,
        log: slog::Logger,
    ) -> Result<(Self, mpsc::Receiver<Incoming>), LinkError> {
        let (deliver, incoming) = mpsc::channel(settings.inbox_capacity);
        let context = Arc::new(Context::new(settings, log));
        let inbound = Inbound::start(&context, deliver)?;
        let peers = Arc::new(Peers::default());
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

    /// Learns or changes a peer's address; dials at the first message to it.
    pub fn set_peer(&self, name: &str, address: SocketAddr) {
        let peer = self
            .shared
            .peers
            .get_or_insert(name, &self.shared.context, address);
        peer.set_address(address);
    }

    /// Forgets a peer: its queue is dropped and its connection closed.
    pub fn remove_peer(&self, name: &str) {
        self.shared.peers.remove(name);
    }

    /// Queues a message for the peer's next frame; never blocks.
    ///
    /// # Errors
    ///
    /// The peer has no address, its queue is full, or the message is too
    /// large. The verdict is always "not run": nothing has left.
    pub fn send(&self, to: &str, message: Body) -> Result<(), LinkError> {
        let peer = self.shared.peers.get(to);
        let peer = peer.ok_or_else(|| LinkError::unknown_peer(to))?;
        peer.send(message)
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
            peer.retire();
            peer.close();
        }
    }
}

/// Locks; a panic elsewhere leaves the counters and queues usable.
/// What the accepting side sends first.
pub const GREETING: &[u8; 8] = b"trefoil1";

/// How frames are delimited on the wire.
pub(crate) fn codec(settings: &LinkSettings) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(settings.receive_bytes_max())
        .new_codec()
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
