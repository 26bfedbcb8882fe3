//! How much work comes, lately.

/// Time after which an amount counts for a third of what it did. Shorter than
/// a burst, longer than the gaps between jobs.
const MEMORY_MS: f64 = 500.0;

/// A decaying sum of work over time, and with it the rate at which it comes.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Rate {
    /// Thousandths of a core times milliseconds.
    work: f64,
    at_ms: u64,
}

impl Rate {
    /// So much work came, thousandths of a core times milliseconds.
    pub(super) fn add(&mut self, now_ms: u64, work: u64) {
        self.work = self.work_at(now_ms) + work as f64;
        self.at_ms = now_ms;
    }

    /// Room that the work takes as it comes, thousandths of a core.
    pub(super) fn millicores(&self, now_ms: u64) -> f64 {
        self.work_at(now_ms) / MEMORY_MS
    }

    fn work_at(&self, now_ms: u64) -> f64 {
        let since_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.work * (-since_ms / MEMORY_MS).exp()
    }
}
