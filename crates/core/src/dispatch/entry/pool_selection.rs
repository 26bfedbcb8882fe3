//! Selection of the pool for a job.
//!
//! Answers loads that differ between failure domains, and pools whose free CPU is in
//! pieces that are too small for a task. In this order, a job goes to
//!
//! 1. a pool of the local failure domain in which all its tasks fit now, by the shape of
//!    the free CPU;
//! 2. a remote one in which they fit and which keeps [`SPARE_SHARE`] of its CPU free for
//!    its own callers;
//! 3. the pool in which it is forecast to begin soonest.
//!
//! Loads are up to a heartbeat old, and other entries see the same ones. If all took the
//! best pool, it would be flooded until the next heartbeat. Pools are therefore drawn by
//! weighted rendezvous hashing of the job's id: by free CPU where the job fits, and
//! otherwise by capacity, reduced exponentially with the forecast delay.
//!
//! Owners that do not report the shape of their free CPU are used by its sum.

use trefoil_schema::dispatch::{Holder, Job as JobSpec, Load};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::super::limits::HEARTBEAT_MS;
use super::pool_room::{PoolRoom, ReportedRoom};

/// Penalty of a pool in another failure domain, in milliseconds: the network latency
/// and the greater age of its load.
const REMOTE_PENALTY_MS: f64 = 15.0;
/// Difference in delay by which a pool becomes less likely by the factor e.
const DELAY_SCALE_MS: f64 = 40.0;
/// Delay of a job in a pool without waiting jobs into which it does not fit by shape:
/// until a few runs have ended.
const NO_FIT_DELAY_MS: f64 = 10.0;
/// Share of the CPU of a remote pool that stays free for callers of its own domain.
const SPARE_SHARE: f64 = 0.25;
/// Number of full pools whose waits are compared for a job if an owner does not report
/// the shape of its free CPU. If all were compared, every entry would send its jobs to
/// the same pool until the next heartbeat.
const FULL_POOLS_COMPARED: usize = 2;

/// Time over which the share of jobs sent to a remote pool that was unreachable grows to
/// its full value. The loads of a domain that was partitioned show it as idle, and all
/// other domains would send their surplus there within one heartbeat.
const RETURN_RAMP_MS: u64 = 2000;
/// Share at the beginning of [`RETURN_RAMP_MS`].
const RETURN_SHARE_MIN: f64 = 0.05;
/// Time without a heartbeat after which a failure domain counts as having been
/// unreachable: longer than a change of all its owners.
const UNREACHABLE_AFTER_MS: u64 = 1000;

/// Time without a message from an owner after which it is used only if no other owner
/// takes the job: one heartbeat period plus a CPU throttling pause.
///
/// When an owner is lost, its link is closed after [`LINK_TIMEOUT_MS`]. Jobs delegated in
/// the meantime can run elsewhere only [`REDELEGATION_DELAY_MS`] later, which is too late
/// for most of them.
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
    /// When it was reported.
    pub(super) reported_ms: u64,
    /// When the owner was last heard from.
    pub(super) last_heard_ms: u64,
    /// Since when its failure domain is reachable again; 0 if it was never unreachable.
    pub(super) reachable_since_ms: u64,
    /// Work that this entry has delegated since the last load report, in thousandths of
    /// a core times milliseconds.
    pub(super) delegated_millicore_ms: u64,
    /// CPU that this work needs at first, in thousandths of a core.
    pub(super) delegated_millicores: u64,
    /// Free CPU by shape, less what this entry has delegated since the report; `None` if
    /// the owner does not report it.
    pub(super) room: Option<PoolRoom>,
}

impl PoolView {
    /// Replaces the load. Returns `false` if it has a malformed part, which is ignored.
    pub(super) fn set_load(&mut self, now_ms: u64, load: Load) -> bool {
        let reported = PoolRoom::parse(&load);
        let is_valid = reported != ReportedRoom::Malformed;
        self.room = match reported {
            ReportedRoom::Known(room) => Some(room),
            ReportedRoom::Absent | ReportedRoom::Malformed => None,
        };
        self.load = load;
        self.reported_ms = now_ms;
        self.last_heard_ms = self.last_heard_ms.max(now_ms);
        self.delegated_millicore_ms = 0;
        self.delegated_millicores = 0;
        is_valid
    }

    /// Accounts for a job that is delegated to the pool.
    pub(super) fn record_delegated(&mut self, spec: &JobSpec) {
        let work = total_millicore_ms(spec);
        self.delegated_millicore_ms = self.delegated_millicore_ms.saturating_add(work);
        let millicores = initial_millicores(spec);
        self.delegated_millicores = self.delegated_millicores.saturating_add(millicores);
        if let Some(room) = &mut self.room {
            room.take(spec);
        }
    }

    /// Whether the owner may be lost.
    pub(super) fn is_stale(&self, now_ms: u64) -> bool {
        now_ms > self.last_heard_ms + STALE_AFTER_MS
    }

    /// Age of the load, in milliseconds.
    pub(super) fn report_age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.reported_ms)
    }

    fn free_millicores(&self) -> u64 {
        self.load
            .free_millicores
            .saturating_sub(self.delegated_millicores)
    }

    /// Whether the owner reports the shape of its free CPU.
    pub(super) fn reports_room(&self) -> bool {
        self.room.is_some()
    }

    /// Whether the load is too old to refuse jobs by.
    pub(super) fn is_report_stale(&self, now_ms: u64) -> bool {
        self.report_age_ms(now_ms) > STALE_AFTER_MS
    }

    /// Whether all tasks that can start at once fit now, as far as this entry knows.
    pub(super) fn fits(&self, spec: &JobSpec) -> bool {
        match &self.room {
            Some(room) => room.fits(spec),
            None => self.free_millicores() >= initial_millicores(spec),
        }
    }

    /// Whether a remote job leaves enough CPU free for the pool's own callers.
    fn can_spare(&self, spec: &JobSpec) -> bool {
        let kept = self.load.capacity_millicores as f64 * SPARE_SHARE;
        let left = self
            .free_millicores()
            .saturating_sub(initial_millicores(spec));
        self.room.is_none() || left as f64 >= kept
    }

    /// Forecast delay until a job begins in the pool, in milliseconds.
    pub(super) fn begin_delay_ms(&self, request: Request) -> f64 {
        let overdue_ms = self
            .report_age_ms(request.now_ms)
            .saturating_sub(HEARTBEAT_MS);
        let delay_ms = match self.fits(request.spec) {
            true if self.reports_room() => 0.0,
            _ => self.reported_delay_ms(request),
        };
        let distance_ms = match self.failure_domain == request.local_domain {
            true => 0.0,
            false => REMOTE_PENALTY_MS,
        };
        delay_ms + overdue_ms as f64 + distance_ms
    }

    /// Delay of a job that does not fit now, by the last report and what was delegated
    /// since. The other entries are assumed to have delegated as much as this one.
    pub(super) fn reported_delay_ms(&self, request: Request) -> f64 {
        let capacity = self.load.capacity_millicores.max(1) as f64;
        let delegated_ms = self.delegated_millicore_ms as f64 / capacity;
        match self.room {
            Some(_) => {
                let reported_ms = f64::from(self.load.begin_delay_ms);
                reported_ms.max(NO_FIT_DELAY_MS) + delegated_ms * request.entries as f64
            }
            None => self.load.backlog_millicore_ms as f64 / capacity + delegated_ms,
        }
    }

    /// Share of its full weight that a remote pool has after it was unreachable.
    fn return_share(&self, now_ms: u64, local_domain: &str) -> f64 {
        if self.reachable_since_ms == 0 || self.failure_domain == local_domain {
            return 1.0;
        }
        let reachable_ms = now_ms.saturating_sub(self.reachable_since_ms);
        let share = reachable_ms as f64 / RETURN_RAMP_MS as f64;
        share.clamp(RETURN_SHARE_MIN, 1.0)
    }
}

/// When a failure domain was reachable.
#[derive(Clone, Copy, Debug)]
pub(super) struct DomainContact {
    /// When one of its owners was last heard from.
    pub(super) last_heard_ms: u64,
    /// Since when it is reachable again; 0 if it was never unreachable.
    pub(super) reachable_since_ms: u64,
}

impl DomainContact {
    /// The first contact.
    pub(super) fn new(now_ms: u64) -> Self {
        Self {
            last_heard_ms: now_ms,
            reachable_since_ms: 0,
        }
    }

    /// Records a heartbeat of an owner in the failure domain.
    pub(super) fn record(&mut self, now_ms: u64) {
        if now_ms > self.last_heard_ms + UNREACHABLE_AFTER_MS {
            self.reachable_since_ms = now_ms;
        }
        self.last_heard_ms = self.last_heard_ms.max(now_ms);
    }
}

/// A job to be delegated.
#[derive(Clone, Copy, Debug)]
pub(super) struct Request<'a> {
    pub(super) now_ms: u64,
    pub(super) local_domain: &'a str,
    pub(super) spec: &'a JobSpec,
    /// Number of entries that are assumed to send jobs to the same pools.
    pub(super) entries: usize,
}

/// Selects the pool for a job; see the module documentation.
pub(super) fn select_pool<'a>(
    pools: impl Iterator<Item = (&'a String, &'a PoolView)>,
    request: Request,
) -> Option<String> {
    let Request {
        now_ms,
        local_domain,
        spec,
        ..
    } = request;
    let pools: Vec<(&String, &PoolView)> = pools.collect();
    let is_local = |view: &PoolView| view.failure_domain == local_domain;
    let fitting = pools.iter().filter(|(_, view)| view.fits(spec));
    let (local, remote): (Vec<_>, Vec<_>) = fitting.partition(|(_, view)| is_local(view));
    let by_free = |view: &PoolView| view.free_millicores() as f64;
    let selected = draw(&spec.id, local.into_iter(), by_free).or_else(|| {
        let spared = remote.into_iter().filter(|(_, view)| view.can_spare(spec));
        draw(&spec.id, spared, |view| {
            by_free(view) * view.return_share(now_ms, local_domain)
        })
    });
    let selected = selected.or_else(|| {
        let knows_shapes = pools.iter().all(|(_, view)| view.room.is_some());
        match knows_shapes {
            true => draw_by_delay(&pools, request),
            false => shortest_wait(&pools, request),
        }
    });
    selected.cloned()
}

/// Draws a pool by the forecast delay.
fn draw_by_delay<'a>(pools: &[(&'a String, &PoolView)], request: Request) -> Option<&'a String> {
    let delay_ms = |view: &PoolView| view.begin_delay_ms(request);
    let delays_ms = pools.iter().map(|(_, view)| delay_ms(view));
    let shortest_ms = delays_ms.fold(f64::INFINITY, f64::min);
    draw(&request.spec.id, pools.iter(), |view| {
        let longer_by_ms = delay_ms(view) - shortest_ms;
        let capacity = view.load.capacity_millicores as f64;
        let share = view.return_share(request.now_ms, request.local_domain);
        capacity * share * (-longer_by_ms / DELAY_SCALE_MS).exp()
    })
}

/// The pool with the shortest wait of a few.
fn shortest_wait<'a>(pools: &[(&'a String, &PoolView)], request: Request) -> Option<&'a String> {
    let weight = |view: &PoolView| match view.free_millicores() {
        0 => view.load.capacity_millicores as f64 / 1e3,
        free => free as f64,
    };
    let mut ranked: Vec<_> = pools
        .iter()
        .map(|(pool, view)| (score(&request.spec.id, pool, weight(view)), *pool, *view))
        .collect();
    ranked.sort_by(|left, right| right.0.total_cmp(&left.0));
    let delay_ms = |view: &PoolView| view.begin_delay_ms(request);
    let few = ranked.iter().take(FULL_POOLS_COMPARED);
    let shortest = few.min_by(|left, right| delay_ms(left.2).total_cmp(&delay_ms(right.2)));
    shortest.map(|&(_, pool, _)| pool)
}

/// Draws a pool with a probability in proportion to its weight.
fn draw<'a, 'b>(
    job_id: &str,
    pools: impl Iterator<Item = &'b (&'a String, &'b PoolView)>,
    weight: impl Fn(&PoolView) -> f64,
) -> Option<&'a String>
where
    'a: 'b,
{
    let scored = pools.map(|(pool, view)| (score(job_id, pool, weight(view)), *pool));
    let best = scored.max_by(|left, right| left.0.total_cmp(&right.0));
    best.map(|(_, pool)| pool)
}

/// Score of a pool for a job by weighted rendezvous hashing: pools with a larger weight
/// are more likely to have the highest score, and entries with the same view spread
/// their jobs.
fn score(job_id: &str, pool: &str, weight: f64) -> f64 {
    let hash = xxh3_64_with_seed(pool.as_bytes(), xxh3_64(job_id.as_bytes()));
    let unit = (hash >> 11) as f64 / (1_u64 << 53) as f64;
    unit.max(f64::MIN_POSITIVE).ln() / weight.max(1e-9)
}

/// CPU demand of the phases that can start at once, in thousandths of a core.
pub(super) fn initial_millicores(spec: &JobSpec) -> u64 {
    let first = spec.phases.iter().filter(|phase| phase.after.is_empty());
    first.fold(0, |sum, phase| {
        sum.saturating_add(u64::from(phase.count).saturating_mul(phase.cpu_millicores))
    })
}

/// Estimated work of a job, in thousandths of a core times milliseconds.
pub(super) fn total_millicore_ms(spec: &JobSpec) -> u64 {
    spec.phases.iter().fold(0, |sum, phase| {
        let millicores = u64::from(phase.count).saturating_mul(phase.cpu_millicores);
        sum.saturating_add(millicores.saturating_mul(phase.estimate_ms))
    })
}
