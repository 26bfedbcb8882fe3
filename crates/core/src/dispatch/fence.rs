//! Fencing tokens.
//!
//! A worker obeys only the highest token that it has seen. The high bits are the
//! owner's term, so that a new owner's orders supersede those of its predecessor.
//! The middle bits distinguish instances that claimed the same term while they
//! could not reach each other. The low bits are a counter, with which an owner
//! supersedes its own orders whose outcome is unknown.

use xxhash_rust::xxh3::xxh3_64;

const COUNTER_BITS: u32 = 16;
const CLAIMANT_BITS: u32 = 12;

/// A fencing token; a higher one supersedes lower ones.
///
/// It has at most 53 bits, so that it is exact as a JSON number.
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
    /// The fence of a worker that never answers is raised about ten times a second,
    /// so the counter lasts almost two hours. It then overflows into the claimant's
    /// bits, which still supersedes all earlier fences.
    #[must_use]
    pub fn raised(self) -> Self {
        Self(self.0 + 1)
    }

    /// Whether both have the same term and claimant.
    pub fn same_ownership(self, other: Self) -> bool {
        self.0 >> COUNTER_BITS == other.0 >> COUNTER_BITS
    }

    /// The numeric token that is sent to workers.
    pub fn token(self) -> u64 {
        self.0
    }
}
