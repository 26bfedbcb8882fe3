//! Which jobs may wait.
//!
//! Load pattern: more comes than there is room for, for longer than callers
//! wait. A queue without limit then holds only jobs that are about to be of no
//! use, and their callers learn it last. So each job is judged when it comes,
//! once placing has found no room for it, and again with each tick, by when it
//! can begin ([`forecast`]):
//!
//! * in time: it waits;
//! * late: it waits only if room is left beside all the work that comes, since
//!   what is in time goes first. After a burst there is, and late answers are
//!   better than none; within one there is not, and its caller would only wait
//!   for the refusal;
//! * never: it is refused at once.
//!
//! A new job is judged more strictly than one that waits already, so that few
//! are let in and refused later: jobs that come after it and go before it take
//! room too, as much as their classes have lately.
//!
//! A refused caller is told when to come back: when the work that was refused
//! before it would have been done, had it waited. Callers so come back one after
//! the other at the speed at which the workers can serve them.
//!
//! [`forecast`]: super::forecast

use std::collections::HashMap;

use super::super::job::Job;
use super::queue::{Lateness, lateness};
use super::rate::Rate;
use super::shares::Shares;

/// Share of the workers' room that tasks of about half a worker can use, until
/// it has been seen.
const USABLE_SHARE: f64 = 0.85;
/// Weight of the newest reading of that share; it is read with each tick.
const USABLE_WEIGHT: f64 = 0.05;
/// Share of the time that it has to spare in which a new job of a class over
/// its share must be forecast to begin: the others' jobs go before it.
const SLACK_SHARE: f64 = 0.5;
/// Memory of the work that each class was let in with: a newcomer's turn comes
/// within half a second or not in time.
const ADMITTED_MEMORY_MS: f64 = 500.0;
/// Memory of the work that comes, by which late jobs are let in: a longer one refuses
/// fewer and makes more of them late.
const OFFERED_MEMORY_MS: f64 = 1000.0;
/// Share of the room that a job can count on in any case.
const OWN_SHARE_MIN: f64 = 0.25;
/// Classes whose work is counted; a deployment has a few dozen queues in use.
const CLASSES_MAX: usize = 1024;
/// Longest time after which a refused caller is told to come back: a burst
/// that lasts longer is no burst any more.
const RETRY_AFTER_MAX_MS: u64 = 20_000;
/// Shortest such time; what is refused now has missed its objective by then.
const RETRY_AFTER_MIN_MS: u64 = 1000;

/// What is known of the load.
#[derive(Clone, Debug)]
pub(super) struct Admission {
    /// Work of all jobs that came.
    offered: Rate,
    /// Work of the jobs that were let in, by class.
    admitted: HashMap<String, Admitted>,
    /// Share of the room that was in use whenever jobs waited for room.
    usable_share: f64,
    /// When the work refused so far would have been done.
    owed_until_ms: u64,
}

/// What was let in of one class.
#[derive(Clone, Copy, Debug)]
struct Admitted {
    priority: u32,
    work: Rate,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            offered: Rate::over(OFFERED_MEMORY_MS),
            admitted: HashMap::new(),
            usable_share: USABLE_SHARE,
            owed_until_ms: 0,
        }
    }
}

/// When a waiting job can begin.
#[derive(Clone, Copy, Debug)]
pub(super) struct Prospect {
    /// Among the jobs in time.
    pub(super) begin_ms: u64,
    /// After all that is in time; none where no room is left beside that.
    pub(super) late_begin_ms: Option<u64>,
}

impl Prospect {
    /// Whether the job can be of use to its caller. One that has begun is not
    /// given up for its prospects: its room is taken already.
    pub(super) fn is_of_use(&self, job: &Job) -> bool {
        let in_time = lateness(job, self.begin_ms) == Lateness::InTime;
        let late = self.late_begin_ms;
        let late = late.is_some_and(|at_ms| lateness(job, at_ms) != Lateness::TooLate);
        job.started || in_time || late
    }
}

/// Room of the workers that take tasks, thousandths of a core.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RoomInUse {
    pub(super) capacity_millicores: u64,
    pub(super) free_millicores: u64,
}

impl Admission {
    /// A job came that takes so much work.
    pub(super) fn offer(&mut self, now_ms: u64, work: u64) {
        self.offered.add(now_ms, work);
    }

    /// Room that the jobs that come would take, thousandths of a core.
    pub(super) fn offered_millicores(&self, now_ms: u64) -> f64 {
        self.offered.millicores(now_ms)
    }

    /// A job was let in that takes so much work.
    pub(super) fn admit(&mut self, now_ms: u64, job: &Job, work: u64) {
        let class = &job.spec.class;
        if let Some(known) = self.admitted.get_mut(class) {
            known.priority = job.spec.priority;
            return known.work.add(now_ms, work);
        }
        if self.admitted.len() < CLASSES_MAX {
            let priority = job.spec.priority;
            let mut rate = Rate::over(ADMITTED_MEMORY_MS);
            rate.add(now_ms, work);
            let admitted = Admitted {
                priority,
                work: rate,
            };
            self.admitted.insert(class.clone(), admitted);
        }
    }

    /// The prospects of a job that comes now and would begin at `begin_ms` if
    /// none came after it.
    pub(super) fn newcomer(
        &self,
        now_ms: u64,
        room: RoomInUse,
        shares: &Shares,
        job: &Job,
        prospect: Prospect,
    ) -> Prospect {
        let usable = self.usable_millicores(room);
        let longer = usable / self.own_millicores(now_ms, usable, job, shares);
        let slack_share = match shares.is_over(&job.spec.class) {
            true => SLACK_SHARE,
            false => 1.0,
        };
        let wait_ms = prospect.begin_ms.saturating_sub(now_ms) as f64;
        Prospect {
            begin_ms: now_ms + (wait_ms * longer / slack_share) as u64,
            ..prospect
        }
    }

    /// Room that a job can count on, beside the classes whose jobs go before
    /// it, thousandths of a core.
    fn own_millicores(&self, now_ms: u64, usable: f64, job: &Job, shares: &Shares) -> f64 {
        let place = |class: &str, priority: u32| (shares.is_over(class), priority);
        let own = place(&job.spec.class, job.spec.priority);
        let ahead = self.admitted.iter().filter(|(class, admitted)| {
            **class != job.spec.class && place(class, admitted.priority) < own
        });
        let ahead: f64 = ahead
            .map(|(_, admitted)| admitted.work.millicores(now_ms))
            .sum();
        f64::max(usable - ahead, usable * OWN_SHARE_MIN)
    }

    /// Takes in how much room is in use while jobs wait for room.
    pub(super) fn saturated(&mut self, room: RoomInUse) {
        let capacity = room.capacity_millicores.max(1) as f64;
        let used = 1.0 - room.free_millicores as f64 / capacity;
        self.usable_share += USABLE_WEIGHT * (used - self.usable_share);
    }

    /// Room that tasks can use, thousandths of a core.
    pub(super) fn usable_millicores(&self, room: RoomInUse) -> f64 {
        f64::max(room.capacity_millicores as f64 * self.usable_share, 1.0)
    }

    /// When a job can begin that could at `begin_ms`, but gives way to all that
    /// comes in time; none where that takes all room.
    pub(super) fn late_begin_ms(&self, now_ms: u64, room: RoomInUse, begin_ms: u64) -> Option<u64> {
        let usable = self.usable_millicores(room);
        let spare = usable - self.offered.millicores(now_ms);
        let wait_ms = begin_ms.saturating_sub(now_ms) as f64;
        (spare > 0.0).then(|| now_ms + (wait_ms * usable / spare) as u64)
    }

    /// When the caller of a job that is refused now should come back.
    pub(super) fn retry_after_ms(&mut self, now_ms: u64, room: RoomInUse, work: u64) -> u64 {
        let takes_ms = work as f64 / self.usable_millicores(room);
        let from_ms = self.owed_until_ms.max(now_ms + RETRY_AFTER_MIN_MS);
        self.owed_until_ms = (from_ms + takes_ms.ceil() as u64).min(now_ms + RETRY_AFTER_MAX_MS);
        self.owed_until_ms - now_ms
    }
}
