//! ArrivalRate at which work arrives.

/// An exponentially decaying sum of work, from which its arrival rate follows.
#[derive(Clone, Copy, Debug)]
pub(super) struct ArrivalRate {
    /// Time constant of the decay.
    time_constant_ms: f64,
    decayed_millicore_ms: f64,
    updated_ms: u64,
}

impl ArrivalRate {
    /// A rate of zero, averaged over about `time_constant_ms`.
    pub(super) fn new(time_constant_ms: f64) -> Self {
        Self {
            time_constant_ms,
            decayed_millicore_ms: 0.0,
            updated_ms: 0,
        }
    }

    /// Adds work that arrived at `now_ms`.
    pub(super) fn add(&mut self, now_ms: u64, millicore_ms: u64) {
        self.decayed_millicore_ms = self.decayed_at(now_ms) + millicore_ms as f64;
        self.updated_ms = now_ms;
    }

    /// CPU needed to keep up with arrivals, in millicores.
    pub(super) fn millicores(&self, now_ms: u64) -> f64 {
        self.decayed_at(now_ms) / self.time_constant_ms
    }

    fn decayed_at(&self, now_ms: u64) -> f64 {
        let since_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.decayed_millicore_ms * (-since_ms / self.time_constant_ms).exp()
    }
}
