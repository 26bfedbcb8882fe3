//! How many placements may be repeated, as a share of first ones.

/// Hundredths of a retry allowed before any first start.
const INITIAL_CENTIRETRIES: u64 = 10 * CENTIRETRIES;
/// Most hundredths of a retry saved up.
const SAVED_CENTIRETRIES_MAX: u64 = 200 * CENTIRETRIES;
/// Hundredths in one retry.
const CENTIRETRIES: u64 = 100;

/// A token bucket that first starts fill and retries empty.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    centiretries: u64,
    percent: u64,
}

impl RetryBudget {
    /// Allows `percent` retries for every hundred first starts.
    pub fn new(percent: u32) -> Self {
        Self {
            centiretries: INITIAL_CENTIRETRIES,
            percent: u64::from(percent),
        }
    }

    /// Counts a first start.
    pub fn first_start(&mut self) {
        self.centiretries = (self.centiretries + self.percent).min(SAVED_CENTIRETRIES_MAX);
    }

    /// Takes a retry if one is left.
    pub fn try_retry(&mut self) -> bool {
        let allowed = self.percent > 0 && self.centiretries >= CENTIRETRIES;
        if allowed {
            self.centiretries -= CENTIRETRIES;
        }
        allowed
    }
}
