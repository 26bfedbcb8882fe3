//! Queue of waiting jobs, in the order in which their placement is tried.
//!
//! A job that has begun comes first, since it occupies capacity until it completes.
//! The others are ordered by
//!
//! 1. whether they can still meet their objective, or only the late one;
//! 2. whether their class uses more than its fair share of CPU ([`shares`]);
//! 3. their declared priority;
//! 4. their latest start: when the critical path of the job must begin for it to
//!    meet its objective.
//!
//! Under overload, ordering by latest start alone would begin every job just before
//! it expires, and most would finish late.
//!
//! The queue is sorted when a job or a task begins to wait and on each tick, not on
//! every event: a long queue is scanned often and changes rarely.
//!
//! [`shares`]: super::shares

use slotmap::SlotMap;

use super::super::job::Job;
use super::super::order::JobKey;
use super::packing::Packing;
use super::shares::Shares;

/// Minimum interval of sorts that only new jobs cause, so that a backlog which arrives
/// at once does not cost a full sort for each job.
const SORT_INTERVAL_MS: u64 = 5;

/// Position in the queue; smaller ranks are tried first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    unbegun: bool,
    lateness: Lateness,
    over_share: bool,
    priority: u32,
    latest_start_ms: u64,
}

/// Which objective a job can still meet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Lateness {
    /// The caller's objective.
    InTime,
    /// The late objective, after which an answer is worthless.
    Late,
    TooLate,
}

#[derive(Debug, Default)]
pub(super) struct Queue {
    order: Vec<(Rank, JobKey)>,
    /// Whether a waiting task may be missing from `order`.
    is_incomplete: bool,
    /// Whether ranks may have changed.
    is_unsorted: bool,
    sorted_ms: u64,
    /// Number of sorts so far.
    sorts: u64,
    /// Smallest CPU request of a waiting task.
    min_millicores: u64,
}

impl Queue {
    /// Requests a sort before the next placement: a task began to wait, or time has
    /// passed.
    pub(super) fn invalidate(&mut self) {
        self.is_incomplete = true;
    }

    /// Requests a sort within [`SORT_INTERVAL_MS`]: jobs arrived or began, which may
    /// change the ranks of others.
    pub(super) fn mark_unsorted(&mut self) {
        self.is_unsorted = true;
    }

    pub(super) fn is_sort_due(&self, now_ms: u64) -> bool {
        self.is_incomplete || (self.is_unsorted && now_ms >= self.sorted_ms + SORT_INTERVAL_MS)
    }

    /// Collects and sorts the waiting jobs; `fenced` tells whether all workers of the
    /// predecessor are fenced ([`Job::is_safe`]).
    pub(super) fn sort(
        &mut self,
        jobs: &SlotMap<JobKey, Job>,
        shares: &Shares,
        now_ms: u64,
        fenced: bool,
    ) {
        self.is_incomplete = false;
        self.is_unsorted = false;
        self.sorted_ms = now_ms;
        self.sorts += 1;
        self.order.clear();
        self.min_millicores = u64::MAX;
        for (key, job) in jobs {
            let Some(min_millicores) = min_waiting_millicores(job, now_ms, fenced) else {
                continue;
            };
            self.min_millicores = self.min_millicores.min(min_millicores);
            self.order.push((rank(job, shares, now_ms), key));
        }
        self.order.sort_unstable();
    }

    pub(super) fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Inserts a job that began to wait, without a sort of the others.
    pub(super) fn insert(
        &mut self,
        key: JobKey,
        job: &Job,
        shares: &Shares,
        now_ms: u64,
        fenced: bool,
    ) {
        let Some(min_millicores) = min_waiting_millicores(job, now_ms, fenced) else {
            return;
        };
        self.min_millicores = match self.order.is_empty() {
            true => min_millicores,
            false => self.min_millicores.min(min_millicores),
        };
        let entry = (rank(job, shares, now_ms), key);
        let position = self.order.partition_point(|known| *known < entry);
        self.order.insert(position, entry);
        self.mark_unsorted();
    }

    /// Number of sorts so far.
    pub(super) fn sorts(&self) -> u64 {
        self.sorts
    }

    /// The jobs in queue order.
    pub(super) fn jobs(&self) -> impl Iterator<Item = JobKey> + '_ {
        self.order.iter().map(|&(_, key)| key)
    }

    /// How placements avoid stranding CPU for the tasks that wait.
    pub(super) fn packing(&self) -> Packing {
        Packing::new(self.min_millicores)
    }

    /// Whether no waiting task fits into `free_millicores`.
    pub(super) fn none_fits(&self, free_millicores: u64) -> bool {
        self.order.is_empty() || free_millicores < self.min_millicores
    }
}

fn rank(job: &Job, shares: &Shares, now_ms: u64) -> Rank {
    let lateness = lateness(job, now_ms);
    let end_ms = match lateness {
        Lateness::InTime => job.objective_ms(1.0),
        Lateness::Late | Lateness::TooLate => job.expiry_ms(),
    };
    Rank {
        unbegun: !job.started,
        lateness,
        over_share: shares.is_over_share(&job.spec.class),
        priority: job.spec.priority,
        latest_start_ms: end_ms.saturating_sub(job.remaining_ms()),
    }
}

/// Which objective a job that begins at `begin_ms` can still meet.
pub(super) fn lateness(job: &Job, begin_ms: u64) -> Lateness {
    let end_ms = begin_ms + job.remaining_ms();
    if end_ms <= job.objective_ms(1.0) {
        Lateness::InTime
    } else if end_ms <= job.expiry_ms() && end_ms <= job.caller_deadline_ms() {
        Lateness::Late
    } else {
        Lateness::TooLate
    }
}

/// Smallest CPU request of a job's waiting tasks; `None` if none of them may start.
fn min_waiting_millicores(job: &Job, now_ms: u64, fenced: bool) -> Option<u64> {
    if !job.is_safe(now_ms, fenced) || job.stopping || job.paused {
        return None;
    }
    let tasks = job.tasks.iter().filter(|task| task.is_waiting());
    tasks.map(|task| job.phase(task).cpu_millicores).min()
}
