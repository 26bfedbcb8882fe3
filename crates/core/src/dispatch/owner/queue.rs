//! The order in which waiting jobs are tried.
//!
//! A job that has begun comes first: its room is taken already, and only its
//! end makes that worth anything. The others are ordered by
//!
//! 1. whether they can still meet their objective, or only the late one;
//! 2. whether their class uses more than its share of the room ([`shares`]);
//! 3. their declared priority;
//! 4. their latest start: the instant by which a job's longest chain must begin
//!    to meet its objective.
//!
//! Load pattern: more comes than there is room for. By latest start alone every
//! job is tried just before it is of no use, and most that begin end late.
//!
//! The order is kept between events and made anew when a job or a task begins
//! to wait and with each tick: a long queue is scanned often and changes rarely.
//!
//! [`shares`]: super::shares

use slotmap::SlotMap;

use super::super::job::Job;
use super::super::order::JobKey;
use super::shares::Shares;

/// Shortest time between sorts that only new jobs cause: a backlog that arrives at
/// once would otherwise cost a sort of all for each job.
const AGED_MS: u64 = 5;

/// Place in the order: smaller is tried first.
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
    /// Its own.
    InTime,
    /// The late one.
    Late,
    /// None.
    TooLate,
}

/// Waiting jobs, most urgent first.
#[derive(Debug, Default)]
pub(super) struct Queue {
    order: Vec<(Rank, JobKey)>,
    /// A task waits that the order may not hold.
    stale: bool,
    /// Ranks may have changed.
    aged: bool,
    sorted_ms: u64,
    /// How often the order was made.
    sorts: u64,
    /// Smallest processor share that a waiting task takes.
    smallest_millicores: u64,
}

impl Queue {
    /// Something began to wait, or time has passed.
    pub(super) fn invalidate(&mut self) {
        self.stale = true;
    }

    /// Jobs came or began, which may change the ranks of others.
    pub(super) fn age(&mut self) {
        self.aged = true;
    }

    /// Whether the order has to be made anew.
    pub(super) fn is_due(&self, now_ms: u64) -> bool {
        self.stale || (self.aged && now_ms >= self.sorted_ms + AGED_MS)
    }

    /// Makes the order anew; `fenced` tells whether all workers obey, so that
    /// unsafe jobs may start.
    pub(super) fn refresh(
        &mut self,
        jobs: &SlotMap<JobKey, Job>,
        shares: &Shares,
        now_ms: u64,
        fenced: bool,
    ) {
        self.stale = false;
        self.aged = false;
        self.sorted_ms = now_ms;
        self.sorts += 1;
        self.order.clear();
        self.smallest_millicores = u64::MAX;
        for (key, job) in jobs {
            let Some(smallest) = smallest_waiting(job, now_ms, fenced) else {
                continue;
            };
            self.smallest_millicores = self.smallest_millicores.min(smallest);
            self.order.push((rank(job, shares, now_ms), key));
        }
        self.order.sort_unstable();
    }

    /// Whether nothing waits.
    pub(super) fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// A job began to wait: it takes its place in the order as it is.
    pub(super) fn insert(
        &mut self,
        key: JobKey,
        job: &Job,
        shares: &Shares,
        now_ms: u64,
        fenced: bool,
    ) {
        let Some(smallest) = smallest_waiting(job, now_ms, fenced) else {
            return;
        };
        self.smallest_millicores = match self.order.is_empty() {
            true => smallest,
            false => self.smallest_millicores.min(smallest),
        };
        let place = (rank(job, shares, now_ms), key);
        let position = self.order.partition_point(|known| *known < place);
        self.order.insert(position, place);
        self.age();
    }

    /// How often the order was made.
    pub(super) fn sorts(&self) -> u64 {
        self.sorts
    }

    /// The jobs in order.
    pub(super) fn jobs(&self) -> impl Iterator<Item = JobKey> + '_ {
        self.order.iter().map(|&(_, key)| key)
    }

    /// Whether no waiting task fits into so much.
    pub(super) fn none_fits(&self, free_millicores: u64) -> bool {
        self.order.is_empty() || free_millicores < self.smallest_millicores
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
        over_share: shares.is_over(&job.spec.class),
        priority: job.spec.priority,
        latest_start_ms: end_ms.saturating_sub(job.remaining_ms()),
    }
}

/// What a job that begins at an instant can still meet.
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

/// The smallest share that a waiting task of a job takes; none where nothing
/// of it may be started.
fn smallest_waiting(job: &Job, now_ms: u64, fenced: bool) -> Option<u64> {
    if !job.is_safe(now_ms, fenced) || job.stopping || job.paused {
        return None;
    }
    let tasks = job.tasks.iter().filter(|task| task.is_waiting());
    tasks.map(|task| job.phase(task).cpu_millicores).min()
}
