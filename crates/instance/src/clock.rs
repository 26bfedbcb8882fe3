//! The clock by which an instance measures the age of leases, heartbeats and reads
//! of the store.
//!
//! `CLOCK_MONOTONIC`, and with it [`std::time::Instant`], stops while the machine is
//! suspended, so that after resuming all of these would look too recent.
//! `CLOCK_BOOTTIME` includes the suspended time and is not affected by changes to
//! the time of day.
//!
//! Timers stay on the runtime's own clock: after a suspension they fire late, and
//! the first event that follows detects the gap.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

use nix::time::{ClockId, clock_gettime};

/// A monotonic clock that starts at 0.
#[derive(Clone, Debug)]
pub enum Clock {
    /// `CLOCK_BOOTTIME`, which includes suspensions.
    BootTime {
        /// Milliseconds of the system's clock at the start.
        origin_ms: u64,
    },
    /// Fallback where `CLOCK_BOOTTIME` is unavailable.
    Monotonic {
        /// Time of the start.
        origin: Instant,
    },
    /// A clock set by a test, in milliseconds.
    Manual(Rc<Cell<u64>>),
}

impl Clock {
    /// Starts the best clock that the system has.
    pub fn start() -> Self {
        match boot_time_ms() {
            Some(origin_ms) => Self::BootTime { origin_ms },
            None => Self::Monotonic {
                origin: Instant::now(),
            },
        }
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        match self {
            // A clock that was available at the start stays available.
            Self::BootTime { origin_ms } => boot_time_ms().unwrap_or(0).saturating_sub(*origin_ms),
            Self::Monotonic { origin } => origin.elapsed().as_millis() as u64,
            Self::Manual(now_ms) => now_ms.get(),
        }
    }
}

fn boot_time_ms() -> Option<u64> {
    let now = clock_gettime(ClockId::CLOCK_BOOTTIME).ok()?;
    let (seconds, nanoseconds) = (now.tv_sec(), now.tv_nsec());
    Some(seconds as u64 * 1000 + nanoseconds as u64 / 1_000_000)
}
