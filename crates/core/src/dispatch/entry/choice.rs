//! The pool for a job.

use trefoil_schema::dispatch::{Holder, Job as JobSpec, Load};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Extra wait, milliseconds, that a pool in another failure domain must save:
/// two crossings and one more heartbeat's age.
const REMOTE_COST_MS: f64 = 15.0;
/// Pools without room that are compared for one job. Comparing all of them
/// would send every entry's jobs to the same one until the next heartbeat.
const CHOICES: usize = 2;

/// An owner from which nothing has come for so long is given jobs only where no
/// other takes them. One heartbeat, and half of another's time for the pause of an
/// instance that has used up its share of a tenth of a second.
///
/// Load pattern: a failure domain is cut off, or an instance loses power, without
/// notice. Its link is closed after [`LINK_TIMEOUT_MS`]; jobs that were sent meanwhile
/// can run elsewhere only [`REDELEGATION_DELAY_MS`] after that, when most are of no use
/// any more. An owner that is only slow loses little: others are as near.
///
/// [`LINK_TIMEOUT_MS`]: crate::dispatch::limits::LINK_TIMEOUT_MS
/// [`REDELEGATION_DELAY_MS`]: crate::dispatch::limits::REDELEGATION_DELAY_MS
const SILENT_MS: u64 = 150;

/// A pool, as this entry sees it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolView {
    /// Its owner, and since when.
    pub holder: Holder,
    /// Failure domain of its workers.
    pub failure_domain: String,
    /// Its load, when last heard.
    pub load: Load,
    /// When its owner was last heard of.
    pub heard_ms: u64,
    /// Work that this entry delegated since, thousandths of a core times
    /// milliseconds.
    pub since_millicore_ms: u64,
    /// Room that this work takes, thousandths of a core.
    pub since_millicores: u64,
}

impl PoolView {
    /// Whether its owner may be gone, without a word.
    pub(super) fn is_silent(&self, now_ms: u64) -> bool {
        now_ms > self.heard_ms + SILENT_MS
    }

    fn free_millicores(&self) -> u64 {
        self.load
            .free_millicores
            .saturating_sub(self.since_millicores)
    }

    /// Wait of a job that comes now, if there is no room for it at once.
    fn wait_ms(&self, home: &str) -> f64 {
        let work = self.load.backlog_millicore_ms + self.since_millicore_ms;
        let wait_ms = work as f64 / self.load.capacity_millicores.max(1) as f64;
        match self.failure_domain == home {
            true => wait_ms,
            false => wait_ms + REMOTE_COST_MS,
        }
    }
}

/// The pool for a job: one of the own failure domain with room for all of it,
/// one of another with room, or the one with the shorter wait of a few.
///
/// The choice among equals is by a hash of the job's id, so that entries that
/// see the same loads spread their jobs.
pub(super) fn choose<'a>(
    pools: impl Iterator<Item = (&'a String, &'a PoolView)>,
    home: &str,
    spec: &JobSpec,
) -> Option<String> {
    let width = width_of(spec);
    let mut drawn: Vec<(f64, &String, &PoolView)> = pools
        .map(|(pool, view)| (draw(&spec.id, pool, view), pool, view))
        .collect();
    drawn.sort_by(|left, right| right.0.total_cmp(&left.0));
    let has_room = |view: &PoolView| view.free_millicores() >= width;
    let at_home = drawn
        .iter()
        .find(|(_, _, view)| has_room(view) && view.failure_domain == home);
    let with_room = at_home.or_else(|| drawn.iter().find(|(_, _, view)| has_room(view)));
    let chosen = with_room.or_else(|| {
        let few = drawn.iter().take(CHOICES);
        few.min_by(|left, right| left.2.wait_ms(home).total_cmp(&right.2.wait_ms(home)))
    });
    chosen.map(|(_, pool, _)| (*pool).clone())
}

/// A draw for a pool, larger ones first: pools with more room are drawn first
/// in proportion to it (weighted rendezvous hashing).
fn draw(job_id: &str, pool: &str, view: &PoolView) -> f64 {
    let hash = xxh3_64_with_seed(pool.as_bytes(), xxh3_64(job_id.as_bytes()));
    let unit = (hash >> 11) as f64 / (1_u64 << 53) as f64;
    let weight = match view.free_millicores() {
        0 => view.load.capacity_millicores as f64 / 1e3,
        free => free as f64,
    };
    unit.max(f64::MIN_POSITIVE).ln() / weight.max(1.0)
}

/// Processor that all first tasks of a job take, thousandths of a core.
pub(super) fn width_of(spec: &JobSpec) -> u64 {
    let first = spec.phases.iter().filter(|phase| phase.after.is_empty());
    first
        .map(|phase| u64::from(phase.count) * phase.cpu_millicores)
        .sum()
}

/// Work of a job by its estimates, thousandths of a core times milliseconds.
pub(super) fn work_of(spec: &JobSpec) -> u64 {
    let phases = spec.phases.iter();
    let work =
        phases.map(|phase| u64::from(phase.count) * phase.cpu_millicores * phase.estimate_ms);
    work.sum()
}
