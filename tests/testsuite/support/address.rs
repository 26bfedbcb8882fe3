//! Loopback addresses to listen on.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU16, Ordering::Relaxed};

/// Below the ports of outgoing connections.
const FIRST_PORT: u16 = 7000;
/// Number of host parts, from 1 on, for each port.
const HOSTS: u16 = 254;

/// A loopback address that no other test uses. It is not listened on to find a free port: a
/// process that is started meanwhile would hold a copy of the listener until it has begun.
pub fn free_address() -> SocketAddr {
    static USED: AtomicU16 = AtomicU16::new(0);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let number = USED.fetch_add(1, Relaxed);
    let host = 1 + (number % HOSTS) as u8;
    let ip = Ipv4Addr::new(127, high | 0x80, low, host);
    SocketAddr::from((ip, FIRST_PORT + number / HOSTS))
}

// Guards against an address whose port is still held by a copy of the listener that had found it
// free, in a process that another test has just started.
#[test]
fn a_free_address_can_be_listened_on_while_processes_start() {
    use std::net::TcpListener;
    use std::process::{Command, Stdio};
    use std::sync::atomic::AtomicBool;

    const ADDRESSES: usize = 20_000;
    let ended = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                while !ended.load(Relaxed) {
                    let mut command = Command::new("true");
                    // Sets the working directory, so that the process is forked.
                    command.current_dir("/").stdin(Stdio::null());
                    assert!(command.status().unwrap().success());
                }
            });
        }
        let failed = (0..ADDRESSES)
            .filter(|_| TcpListener::bind(free_address()).is_err())
            .count();
        ended.store(true, Relaxed);
        assert_eq!(failed, 0, "of {ADDRESSES} addresses");
    });
}
