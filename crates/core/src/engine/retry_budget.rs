//! Limit on retries as a percentage of first placements.

/// Initial tokens, for retries before many first starts.
const INITIAL_CENTITOKENS: u64 = 10 * CENTITOKENS_PER_RETRY;
/// Capacity of the bucket.
const CENTITOKENS_MAX: u64 = 200 * CENTITOKENS_PER_RETRY;
/// Cost of one retry.
const CENTITOKENS_PER_RETRY: u64 = 100;

/// A token bucket, filled by first starts and drained by retries.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    centitokens: u64,
    percent: u64,
}

impl RetryBudget {
    /// Allows `percent` retries per hundred first starts; none if it is 0.
    pub fn new(percent: u32) -> Self {
        Self {
            centitokens: INITIAL_CENTITOKENS,
            percent: u64::from(percent),
        }
    }

    /// Adds the tokens of a first start.
    pub fn first_start(&mut self) {
        self.centitokens = (self.centitokens + self.percent).min(CENTITOKENS_MAX);
    }

    /// Takes the tokens of one retry; false if there are too few.
    pub fn try_retry(&mut self) -> bool {
        let allowed = self.percent > 0 && self.centitokens >= CENTITOKENS_PER_RETRY;
        if allowed {
            self.centitokens -= CENTITOKENS_PER_RETRY;
        }
        allowed
    }
}
