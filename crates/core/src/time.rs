//! The instant handed to every decision.

/// The current instant, read once by the caller.
///
/// `mono_ms` never goes backwards and measures waits; `wall_ms` is Unix time
/// and is compared only with the issue times of keys.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Now {
    /// Milliseconds of a monotonic clock, from an arbitrary start.
    pub mono_ms: u64,
    /// Milliseconds of Unix time.
    pub wall_ms: u64,
}

impl Now {
    /// This instant `ms` milliseconds later on both clocks.
    #[must_use]
    pub fn plus_ms(self, ms: u64) -> Self {
        Self {
            mono_ms: self.mono_ms + ms,
            wall_ms: self.wall_ms + ms,
        }
    }
}
