//! Whether anything listens at a peer's address.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time;

/// What a connection attempt showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Probe {
    /// A process (or its kernel, while it is frozen) took the connection.
    Accepts,
    /// The host answered that nothing listens there: the process is gone.
    Refused,
    /// No answer, or an error on the way; says nothing about the process.
    Silent,
}

/// Connects to `address` and closes at once; waits at most `timeout`.
pub async fn probe(address: SocketAddr, timeout: Duration) -> Probe {
    match time::timeout(timeout, TcpStream::connect(address)).await {
        Ok(Ok(_)) => Probe::Accepts,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => Probe::Refused,
        _ => Probe::Silent,
    }
}
