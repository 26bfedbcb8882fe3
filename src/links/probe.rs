//! Checks whether a process listens at a peer's address.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time;

/// Result of a connection attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The connection was accepted; the process exists, but may be frozen.
    Accepted,
    /// The host refused the connection: no process listens on the address.
    Refused,
    /// No answer within the timeout, or another error; the process may exist.
    Inconclusive,
}

/// Connects to `address` and closes the connection; waits for at most `timeout`.
pub async fn probe(address: SocketAddr, timeout: Duration) -> ProbeResult {
    match time::timeout(timeout, TcpStream::connect(address)).await {
        Ok(Ok(_)) => ProbeResult::Accepted,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => ProbeResult::Refused,
        _ => ProbeResult::Inconclusive,
    }
}
