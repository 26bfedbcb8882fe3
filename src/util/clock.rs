//! The clocks of one instance.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;
use trefoil_core::time::Now;

/// Reads the monotonic clock, from its start on, and the wall clock.
///
/// The monotonic one is tokio's, so that tests can stop it.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock whose monotonic time starts now.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// The current instant.
    pub fn now(&self) -> Now {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH);
        Now {
            mono_ms: duration_ms(self.start.elapsed()),
            wall_ms: duration_ms(wall.unwrap_or_default()),
        }
    }

    /// Waits until the monotonic clock shows `mono_ms`.
    pub async fn sleep_until_ms(&self, mono_ms: u64) {
        let at = self.start + Duration::from_millis(mono_ms);
        tokio::time::sleep_until(at).await;
    }
}

/// Whole milliseconds of a duration; the largest number where there are more.
pub fn duration_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
