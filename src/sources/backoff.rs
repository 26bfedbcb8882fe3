//! Exponential backoff with jitter.

use std::time::Duration;

use trefoil_schema::settings::PlatformSettings;

/// Delays between retries, doubled after each failure.
#[derive(Clone, Debug)]
pub(super) struct Backoff {
    min_ms: u64,
    max_ms: u64,
    next_ms: u64,
}

impl Backoff {
    /// Creates a backoff with the limits of the settings.
    pub(super) fn new(settings: &PlatformSettings) -> Self {
        let min_ms = settings.backoff_min_ms.max(1);
        Self {
            min_ms,
            max_ms: settings.backoff_max_ms.max(min_ms),
            next_ms: min_ms,
        }
    }

    /// Returns the next delay. Half of it is random, so that instances whose calls
    /// failed at the same time do not retry at the same time.
    pub(super) fn next_delay(&mut self) -> Duration {
        let full_ms = self.next_ms;
        self.next_ms = full_ms.saturating_mul(2).min(self.max_ms);
        let jitter_ms = rand::random_range(0..=full_ms / 2);
        Duration::from_millis(full_ms.div_ceil(2) + jitter_ms)
    }

    /// Returns to the minimum delay after a success.
    pub(super) fn reset(&mut self) {
        self.next_ms = self.min_ms;
    }
}
