//! Memory and descriptors that a process uses, from the kernel's tables.

use std::fs;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// State of a listening socket in the kernel's table.
const LISTENING: &str = "0A";

/// Highest use of resources seen.
#[derive(Debug, Default)]
pub struct PeakUse {
    memory_bytes: AtomicU64,
    descriptors: AtomicU64,
    sockets: AtomicU64,
}

impl PeakUse {
    /// Resident memory in bytes, with received bytes that were not read.
    pub fn memory_bytes(&self) -> u64 {
        self.memory_bytes.load(Relaxed)
    }

    /// Number of open descriptors.
    pub fn descriptors(&self) -> u64 {
        self.descriptors.load(Relaxed)
    }

    /// Number of open sockets.
    pub fn sockets(&self) -> u64 {
        self.sockets.load(Relaxed)
    }

    /// Takes a sample of a process that listens for callers at an address; does nothing once it
    /// has exited.
    pub fn sample(&self, pid: u32, callers: SocketAddr) {
        let raise = |peak: &AtomicU64, value: u64| {
            peak.fetch_max(value, Relaxed);
        };
        if let Some(memory_bytes) = status_bytes(pid, "VmRSS:") {
            raise(&self.memory_bytes, memory_bytes + unread_bytes(callers));
        }
        if let Some(peak_bytes) = status_bytes(pid, "VmHWM:") {
            raise(&self.memory_bytes, peak_bytes);
        }
        let Ok(descriptors) = fs::read_dir(format!("/proc/{pid}/fd")) else {
            return;
        };
        let targets = descriptors
            .flatten()
            .map(|entry| fs::read_link(entry.path()));
        let targets: Vec<PathBuf> = targets.flatten().collect();
        raise(&self.descriptors, targets.len() as u64);
        let sockets = targets
            .iter()
            .filter(|path| path.to_string_lossy().starts_with("socket:"));
        raise(&self.sockets, sockets.count() as u64);
    }
}

/// A figure from the status of a process.
fn status_bytes(pid: u32, name: &str) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with(name))?;
    let kilobytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kilobytes * 1024)
}

/// Bytes that connections to `address` have received and no process has read.
pub fn unread_bytes(address: SocketAddr) -> u64 {
    let IpAddr::V4(ip) = address.ip() else {
        return 0;
    };
    let local = format!(
        "{:08X}:{:04X}",
        u32::from_le_bytes(ip.octets()),
        address.port()
    );
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let rows = table
        .lines()
        .map(|line| line.split_whitespace().collect::<Vec<_>>());
    let rows = rows.filter(|row| row.len() > 4 && row[1] == local && row[3] != LISTENING);
    let unread = rows.filter_map(|row| u64::from_str_radix(row[4].split(':').nth(1)?, 16).ok());
    unread.sum()
}
