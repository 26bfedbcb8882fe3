//! How many placements may be repeated, as a share of first ones.

/// Hundredths of a retry allowed before any first start.
const INITIAL_CENTITOKENS: u64 = 10 * CENTITOKENS_PER_RETRY;
/// Most hundredths of a retry saved up.
const CENTITOKENS_MAX: u64 = 200 * CENTITOKENS_PER_RETRY;
/// Hundredths in one retry.
const CENTITOKENS_PER_RETRY: u64 = 100;

/// A token bucket that first starts fill and retries empty.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    centitokens: u64,
    percent: u64,
}

impl RetryBudget {
    /// Allows `percent` retries for every hundred first starts.
    pub fn new(percent: u32) -> Self {
        Self {
            centitokens: INITIAL_CENTITOKENS,
            percent: u64::from(percent),
        }
    }

    /// Counts a first start.
    pub fn first_start(&mut self) {
        self.centitokens = (self.centitokens + self.percent).min(CENTITOKENS_MAX);
    }

    /// Takes a retry if one is left.
    pub fn try_retry(&mut self) -> bool {
        let allowed = self.percent > 0 && self.centitokens >= CENTITOKENS_PER_RETRY;
        if allowed {
            self.centitokens -= CENTITOKENS_PER_RETRY;
        }
        allowed
    }
}
