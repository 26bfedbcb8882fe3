//! Pauses between failed calls: doubling, with jitter.

use std::time::Duration;

use trefoil_schema::settings::PlatformSettings;

/// The next pause, longer after each failure.
#[derive(Clone, Debug)]
pub struct Backoff {
    min_ms: u64,
    max_ms: u64,
    next_ms: u64,
}

impl Backoff {
    /// Pauses between the settings' bounds.
    pub fn new(settings: &PlatformSettings) -> Self {
        let min_ms = settings.backoff_min_ms.max(1);
        Self {
            min_ms,
            max_ms: settings.backoff_max_ms.max(min_ms),
            next_ms: min_ms,
        }
    }

    /// The next pause: half of it fixed, half drawn at random, so that
    /// instances that failed together do not come back together.
    pub fn next_pause(&mut self) -> Duration {
        let full_ms = self.next_ms;
        self.next_ms = full_ms.saturating_mul(2).min(self.max_ms);
        let jitter_ms = rand::random_range(0..=full_ms / 2);
        Duration::from_millis(full_ms.div_ceil(2) + jitter_ms)
    }

    /// Starts over after a success.
    pub fn reset(&mut self) {
        self.next_ms = self.min_ms;
    }
}
