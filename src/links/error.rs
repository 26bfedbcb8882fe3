//! Errors of the links.

use std::net::SocketAddr;
use std::sync::Arc;

use derive_more::{Display, Error};
use trefoil_core::verdict::Verdict;

/// A message that was not queued, or links that did not start.
#[derive(Clone, Debug, Display, Error)]
#[display("{kind} ({verdict})")]
pub struct LinkError {
    /// What is known about the work behind the message.
    pub verdict: Verdict,
    /// Why.
    #[error(source)]
    pub kind: LinkErrorKind,
}

/// Why a message was not queued, or why the links did not start.
#[derive(Clone, Debug, Display, Error)]
pub enum LinkErrorKind {
    /// No address is known for the peer.
    #[display("no address for peer {name}; is it in the instance list?")]
    UnknownPeer {
        /// The peer's configured name.
        name: String,
    },
    /// As much waits for the peer as may wait.
    #[display("queue for peer {name} is full; the peer is down, cut off or slow")]
    QueueFull {
        /// The peer's configured name.
        name: String,
    },
    /// The message is larger than a message may be.
    #[display("message of {bytes} bytes is over the bound of {bytes_max}")]
    TooLarge {
        /// Its size in bytes.
        bytes: usize,
        /// The bound in bytes.
        bytes_max: usize,
    },
    /// The address cannot be listened on.
    #[display("links at {address} failed: {source}; is the address in use?")]
    Socket {
        /// The address listened on or dialled.
        address: SocketAddr,
        /// What the system said.
        source: Arc<std::io::Error>,
    },
    /// The housekeeping thread did not start.
    #[display("thread of the links did not start; are threads limited?")]
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
