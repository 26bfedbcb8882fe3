//! Current time, as passed to the state machines.

/// The current time of a monotonic and a wall clock.
///
/// Durations are measured with `mono_ms`; `wall_ms` is compared only with issue times
/// of keys.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Now {
    /// Monotonic time in milliseconds, with an arbitrary origin.
    pub mono_ms: u64,
    /// Unix time in milliseconds.
    pub wall_ms: u64,
}

impl Now {
    /// Returns the time `ms` milliseconds later, on both clocks.
    #[must_use]
    pub fn plus_ms(self, ms: u64) -> Self {
        Self {
            mono_ms: self.mono_ms + ms,
            wall_ms: self.wall_ms + ms,
        }
    }
}
