//! Pools: fixed partitions of a failure domain's workers.
//!
//! The number of a failure domain's pools is written to the store once and never
//! changes, so that every instance maps a worker to the same pool.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::limits::POOL_WORKERS_MAX;

/// Name of a pool.
pub fn name(failure_domain: &str, index: u32) -> String {
    format!("{failure_domain}/{index}")
}

/// The failure domain in a pool's name.
pub fn domain_of(name: &str) -> &str {
    name.rsplit_once('/').map_or(name, |(domain, _)| domain)
}

/// Number of pools for `workers` workers.
pub fn count_for(workers: usize) -> u32 {
    workers.div_ceil(POOL_WORKERS_MAX).max(1) as u32
}

/// Index of a worker's pool, by rendezvous hashing: another number of pools would move as
/// few workers as possible.
pub fn index_of(worker_id: &str, count: u32) -> u32 {
    let hash = |index: &u32| xxh3_64_with_seed(worker_id.as_bytes(), u64::from(*index));
    (0..count).max_by_key(hash).unwrap_or(0)
}
