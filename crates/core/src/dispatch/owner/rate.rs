//! How much work comes, lately.

/// A decaying sum of work over time, and with it the rate at which it comes.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rate {
    /// Time after which an amount counts for a third of what it did.
    memory_ms: f64,
    /// Thousandths of a core times milliseconds.
    work: f64,
    at_ms: u64,
}

impl Rate {
    /// A rate that forgets within about `memory_ms`.
    pub(super) fn over(memory_ms: f64) -> Self {
        Self {
            memory_ms,
            work: 0.0,
            at_ms: 0,
        }
    }

    /// So much work came, thousandths of a core times milliseconds.
    pub(super) fn add(&mut self, now_ms: u64, work: u64) {
        self.work = self.work_at(now_ms) + work as f64;
        self.at_ms = now_ms;
    }

    /// Room that the work takes as it comes, thousandths of a core.
    pub(super) fn millicores(&self, now_ms: u64) -> f64 {
        self.work_at(now_ms) / self.memory_ms
    }

    fn work_at(&self, now_ms: u64) -> f64 {
        let since_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.work * (-since_ms / self.memory_ms).exp()
    }
}
