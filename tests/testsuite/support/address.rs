//! Loopback addresses to listen on.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU8, Ordering::Relaxed};

/// A loopback address that no other test uses. Otherwise an outgoing connection
/// could take the port before it is listened on.
pub fn free_address() -> SocketAddr {
    static USED: AtomicU8 = AtomicU8::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, high | 0x80, low, USED.fetch_add(1, Relaxed));
    let listener = TcpListener::bind((ip, 0)).unwrap();
    listener.local_addr().unwrap()
}
