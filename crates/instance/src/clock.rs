//! The clock by which an instance judges the age of what it knows.
//!
//! Leases, echoes, silences and readings of the store are all judged by their age.
//! A machine that is suspended stops `CLOCK_MONOTONIC`, and with it
//! [`std::time::Instant`]: on waking, all that it knows would look seconds younger
//! than it is. `CLOCK_BOOTTIME` counts that time, and no step of the time of day
//! changes it.
//!
//! Timers stay on the runtime's own clock: after a suspension they fire late, and
//! the first event that follows sees the gap.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

use nix::time::{ClockId, clock_gettime};

/// A clock that starts at 0 and never goes back.
#[derive(Clone, Debug)]
pub enum Clock {
    /// The system's clock that counts suspensions.
    Boot {
        /// Its reading at the start, milliseconds.
        origin_ms: u64,
    },
    /// Where the system has no such clock.
    Steady {
        /// The start.
        origin: Instant,
    },
    /// A clock that is moved by hand, milliseconds.
    Manual(Rc<Cell<u64>>),
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        match boot_ms() {
            Some(origin_ms) => Self::Boot { origin_ms },
            None => Self::Steady {
                origin: Instant::now(),
            },
        }
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        match self {
            // A clock that was there at the start does not go away.
            Self::Boot { origin_ms } => boot_ms().unwrap_or(0).saturating_sub(*origin_ms),
            Self::Steady { origin } => origin.elapsed().as_millis() as u64,
            Self::Manual(now_ms) => now_ms.get(),
        }
    }
}

fn boot_ms() -> Option<u64> {
    let now = clock_gettime(ClockId::CLOCK_BOOTTIME).ok()?;
    let (seconds, nanoseconds) = (now.tv_sec(), now.tv_nsec());
    Some(seconds as u64 * 1000 + nanoseconds as u64 / 1_000_000)
}
