//! Fencing tokens.
//!
//! A worker obeys the highest token that it has seen. The token's high digits
//! are the owner's term, so that a new owner's orders outrank all of the old
//! one's; the middle ones tell apart two instances that claimed one term while
//! they could not reach each other; the low ones are a counter, with which an
//! owner outranks its own orders whose fate it does not know.

use xxhash_rust::xxh3::xxh3_64;

const COUNTER_BITS: u32 = 16;
const CLAIMANT_BITS: u32 = 12;

/// A fencing token; larger ones outrank smaller ones.
///
/// At most 53 bits are used, so that it passes through JSON numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fence(u64);

impl Fence {
    /// The lowest fence of `claimant` in `term`.
    pub fn new(term: u64, claimant: &str) -> Self {
        let claimant = xxh3_64(claimant.as_bytes()) & ((1 << CLAIMANT_BITS) - 1);
        Self((term << CLAIMANT_BITS | claimant) << COUNTER_BITS)
    }

    /// The next fence of the same term and claimant.
    ///
    /// At ten raises a second, which a worker that never answers causes, the
    /// counter lasts for almost two hours; beyond that it would count into the
    /// claimant's digits, which still outranks all before it.
    #[must_use]
    pub fn raised(self) -> Self {
        Self(self.0 + 1)
    }

    /// Whether both are of the same term and claimant.
    pub fn same_ownership(self, other: Self) -> bool {
        self.0 >> COUNTER_BITS == other.0 >> COUNTER_BITS
    }

    /// The number that goes to the worker.
    pub fn token(self) -> u64 {
        self.0
    }
}
