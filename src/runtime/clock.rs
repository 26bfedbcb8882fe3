//! The instant handed to the engine.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use trefoil_core::time::Now;

/// Reads both clocks of the machine.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Self {
            start: Instant::now(),
        }
    }
}

impl Clock {
    /// The current instant.
    pub fn now(&self) -> Now {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH);
        Now {
            mono_ms: self.start.elapsed().as_millis() as u64,
            wall_ms: wall.unwrap_or_default().as_millis() as u64,
        }
    }
}
