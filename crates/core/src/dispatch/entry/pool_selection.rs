//! Selection of the pool for a job.

use trefoil_schema::dispatch::{Holder, Job as JobSpec, Load};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Penalty of a pool in another failure domain, in milliseconds: the network latency
/// and the greater age of its load.
const REMOTE_PENALTY_MS: f64 = 15.0;
/// Number of full pools whose waits are compared for a job. If all were compared, every
/// entry would send its jobs to the same pool until the next heartbeat.
const FULL_POOLS_COMPARED: usize = 2;

/// Time without a message from an owner after which it is used only if no other owner
/// takes the job: one heartbeat period plus a CPU throttling pause.
///
/// When an owner is lost, its link is closed after [`LINK_TIMEOUT_MS`]. Jobs delegated in
/// the meantime can run elsewhere only [`REDELEGATION_DELAY_MS`] later, which is too late
/// for most of them. An owner that is only slow loses little, since other pools are as near.
///
/// [`LINK_TIMEOUT_MS`]: crate::dispatch::limits::LINK_TIMEOUT_MS
/// [`REDELEGATION_DELAY_MS`]: crate::dispatch::limits::REDELEGATION_DELAY_MS
const STALE_AFTER_MS: u64 = 150;

/// This entry's view of a pool.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct PoolView {
    pub(super) holder: Holder,
    pub(super) failure_domain: String,
    /// Last load that the owner reported.
    pub(super) load: Load,
    /// When the owner was last heard from.
    pub(super) last_heard_ms: u64,
    /// Work that this entry has delegated since the last load report, in thousandths of
    /// a core times milliseconds.
    pub(super) delegated_millicore_ms: u64,
    /// CPU that this work needs at first, in thousandths of a core.
    pub(super) delegated_millicores: u64,
}

impl PoolView {
    /// Whether the owner may be lost.
    pub(super) fn is_stale(&self, now_ms: u64) -> bool {
        now_ms > self.last_heard_ms + STALE_AFTER_MS
    }

    fn free_millicores(&self) -> u64 {
        self.load
            .free_millicores
            .saturating_sub(self.delegated_millicores)
    }

    /// Estimated wait of a new job if it does not fit at once.
    fn wait_ms(&self, local_domain: &str) -> f64 {
        let work = self.load.backlog_millicore_ms + self.delegated_millicore_ms;
        let wait_ms = work as f64 / self.load.capacity_millicores.max(1) as f64;
        match self.failure_domain == local_domain {
            true => wait_ms,
            false => wait_ms + REMOTE_PENALTY_MS,
        }
    }
}

/// Selects the pool for a job: a local one into which it fits, a remote one into which
/// it fits, or the one of a few with the shortest wait.
///
/// Ties are broken by a hash of the job's id, so that entries with the same view spread
/// their jobs.
pub(super) fn select_pool<'a>(
    pools: impl Iterator<Item = (&'a String, &'a PoolView)>,
    local_domain: &str,
    spec: &JobSpec,
) -> Option<String> {
    let needed = initial_millicores(spec);
    let mut ranked: Vec<(f64, &String, &PoolView)> = pools
        .map(|(pool, view)| (rendezvous_score(&spec.id, pool, view), pool, view))
        .collect();
    ranked.sort_by(|left, right| right.0.total_cmp(&left.0));
    let fits = |view: &PoolView| view.free_millicores() >= needed;
    let local = ranked
        .iter()
        .find(|(_, _, view)| fits(view) && view.failure_domain == local_domain);
    let fitting = local.or_else(|| ranked.iter().find(|(_, _, view)| fits(view)));
    let selected = fitting.or_else(|| {
        let few = ranked.iter().take(FULL_POOLS_COMPARED);
        few.min_by(|left, right| {
            left.2
                .wait_ms(local_domain)
                .total_cmp(&right.2.wait_ms(local_domain))
        })
    });
    selected.map(|(_, pool, _)| (*pool).clone())
}

/// Score of a pool for a job by weighted rendezvous hashing: pools with more free
/// resources are more likely to have the highest score.
fn rendezvous_score(job_id: &str, pool: &str, view: &PoolView) -> f64 {
    let hash = xxh3_64_with_seed(pool.as_bytes(), xxh3_64(job_id.as_bytes()));
    let unit = (hash >> 11) as f64 / (1_u64 << 53) as f64;
    let weight = match view.free_millicores() {
        0 => view.load.capacity_millicores as f64 / 1e3,
        free => free as f64,
    };
    unit.max(f64::MIN_POSITIVE).ln() / weight.max(1.0)
}

/// CPU demand of the phases that can start at once, in thousandths of a core.
pub(super) fn initial_millicores(spec: &JobSpec) -> u64 {
    let first = spec.phases.iter().filter(|phase| phase.after.is_empty());
    first
        .map(|phase| u64::from(phase.count) * phase.cpu_millicores)
        .sum()
}
