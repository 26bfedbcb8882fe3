//! The monotonic and wall clocks of an instance.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;
use trefoil_core::time::Now;

/// Reads monotonic time since the clock's creation, and wall-clock time.
///
/// Monotonic time is tokio's, so that tests can pause it.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Creates a clock whose monotonic time starts at 0 now.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Reads both clocks.
    pub fn now(&self) -> Now {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH);
        Now {
            mono_ms: duration_ms(self.start.elapsed()),
            wall_ms: duration_ms(wall.unwrap_or_default()),
        }
    }

    /// Waits until the monotonic clock reaches `mono_ms`.
    pub async fn sleep_until_ms(&self, mono_ms: u64) {
        let deadline = self.start + Duration::from_millis(mono_ms);
        tokio::time::sleep_until(deadline).await;
    }
}

/// Returns the duration in whole milliseconds, saturating at `u64::MAX`.
pub fn duration_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
