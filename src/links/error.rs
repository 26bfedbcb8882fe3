//! Link errors.

use std::net::SocketAddr;
use std::sync::Arc;

use derive_more::{Display, Error};
use trefoil_core::verdict::Verdict;

/// Why a message was not queued, or why the links could not be started.
#[derive(Clone, Debug, Display, Error)]
#[display("{kind} ({verdict})")]
pub struct LinkError {
    /// Whether the work that the message requests may have run.
    pub verdict: Verdict,
    /// The cause.
    #[error(source)]
    pub kind: LinkErrorKind,
}

/// Cause of a [`LinkError`].
#[derive(Clone, Debug, Display, Error)]
pub enum LinkErrorKind {
    /// The peer has no address, or was removed.
    #[display("no address for peer {name}; is it in the instance list?")]
    UnknownPeer {
        /// The peer's configured name.
        name: String,
    },
    /// The peer's send queue is full.
    #[display("queue for peer {name} is full; the peer is down, cut off or slow")]
    QueueFull {
        /// The peer's configured name.
        name: String,
    },
    /// The message exceeds `message_bytes_max`.
    #[display("message of {bytes} bytes exceeds the limit of {bytes_max} bytes")]
    TooLarge {
        /// Size of the message in bytes.
        bytes: usize,
        /// The limit in bytes.
        bytes_max: usize,
    },
    /// The listen address cannot be bound.
    #[display("cannot listen on {address}: {source}; is the address in use?")]
    Socket {
        /// The listen address.
        address: SocketAddr,
        /// The error of the operating system.
        source: Arc<std::io::Error>,
    },
    /// A thread could not be started.
    #[display("cannot start the link thread; is the number of threads limited?")]
    Thread,
}

impl LinkError {
    pub(crate) fn not_run(kind: LinkErrorKind) -> Self {
        Self {
            verdict: Verdict::NotRun,
            kind,
        }
    }

    pub(crate) fn unknown_peer(name: &str) -> Self {
        let name = name.to_owned();
        Self::not_run(LinkErrorKind::UnknownPeer { name })
    }

    pub(crate) fn queue_full(name: &str) -> Self {
        let name = name.to_owned();
        Self::not_run(LinkErrorKind::QueueFull { name })
    }

    pub(crate) fn socket(address: SocketAddr, source: std::io::Error) -> Self {
        let source = Arc::new(source);
        Self::not_run(LinkErrorKind::Socket { address, source })
    }
}
