//! Which jobs may wait.
//!
//! Load pattern: more comes than there is room for, for longer than callers
//! wait. A queue without limit then holds only jobs that are about to be of no
//! use, and their callers learn it last. So each job is judged when it comes,
//! once placing has found no room for it, and again with each tick, by when it
//! can begin ([`forecast`]):
//!
//! * in time: it waits;
//! * late: it waits only if room is left beside the work that is admitted in
//!   time, since such work goes first. After a burst there is, and late answers
//!   are better than none; within one there is not, and its caller would only
//!   wait for the refusal;
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

use super::forecast::Forecast;
use super::queue::{Lateness, lateness};
use super::rate::Rate;
use super::shares::Shares;
use super::*;

/// Share of the workers' room that tasks of about half a worker can use, until
/// it has been seen.
const USABLE_SHARE: f64 = 0.85;
/// Weight of the newest reading of that share; it is read with each tick.
const USABLE_WEIGHT: f64 = 0.05;
/// Share of the time that it has to spare in which a new job of a class over
/// its share must be forecast to begin: the others' jobs go before it. Of jobs
/// let in up to the last millisecond half begin too late, and their callers
/// learn it then: with 1.0 half of the refusals in a burst of all classes came
/// later than 69 ms, with 0.5 later than 34 ms, and no less is served.
const SLACK_SHARE: f64 = 0.5;
/// Share of the room that a job can count on in any case.
const OWN_SHARE_MIN: f64 = 0.25;
/// Classes whose work is counted; a deployment has a few dozen queues in use.
const CLASSES_MAX: usize = 1024;
/// Longest time after which a refused caller is told to come back: a burst
/// that lasts longer is no burst any more.
const RETRY_AFTER_MAX_MS: u64 = 20_000;
/// A worker whose fence was raised, or that is new, takes tasks again after one
/// call, and a pause of this instance's processor at the most.
const FENCING_MS: u64 = 50;
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
            offered: Rate::default(),
            admitted: HashMap::new(),
            usable_share: USABLE_SHARE,
            owed_until_ms: 0,
        }
    }
}

/// What becomes of a waiting job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Prospect {
    /// It waits.
    Waits,
    /// It would be of no use by its turn.
    Refused,
}

/// Room of the workers that take tasks, thousandths of a core.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RoomInUse {
    pub(super) capacity_millicores: u64,
    pub(super) free_millicores: u64,
}

impl Admission {
    /// A job was let in that takes so much work.
    fn admit(&mut self, now_ms: u64, job: &Job, work: u64) {
        let class = &job.spec.class;
        if let Some(known) = self.admitted.get_mut(class) {
            known.priority = job.spec.priority;
            return known.work.add(now_ms, work);
        }
        if self.admitted.len() < CLASSES_MAX {
            let priority = job.spec.priority;
            let mut rate = Rate::default();
            rate.add(now_ms, work);
            let admitted = Admitted {
                priority,
                work: rate,
            };
            self.admitted.insert(class.clone(), admitted);
        }
    }

    /// Room that a job can count on, beside the classes whose jobs go before
    /// it, thousandths of a core.
    fn own_millicores(&self, now_ms: u64, room: RoomInUse, job: &Job, shares: &Shares) -> f64 {
        let place = |class: &str, priority: u32| (shares.is_over(class), priority);
        let own = place(&job.spec.class, job.spec.priority);
        let ahead = self.admitted.iter().filter(|(class, admitted)| {
            **class != job.spec.class && place(class, admitted.priority) < own
        });
        let ahead: f64 = ahead
            .map(|(_, admitted)| admitted.work.millicores(now_ms))
            .sum();
        let usable = self.usable_millicores(room);
        f64::max(usable - ahead, usable * OWN_SHARE_MIN)
    }

    /// Takes in how much room is in use while jobs wait for room.
    pub(super) fn saturated(&mut self, room: RoomInUse) {
        let capacity = room.capacity_millicores.max(1) as f64;
        let used = 1.0 - room.free_millicores as f64 / capacity;
        self.usable_share += USABLE_WEIGHT * (used - self.usable_share);
    }

    fn usable_millicores(&self, room: RoomInUse) -> f64 {
        f64::max(room.capacity_millicores as f64 * self.usable_share, 1.0)
    }

    /// When a job can begin that comes after `backlog` (thousandths of a core
    /// times milliseconds) and gives way to all that is admitted in time.
    fn late_begin_ms(&self, now_ms: u64, room: RoomInUse, backlog: u64) -> Option<u64> {
        let spare = self.usable_millicores(room) - self.offered.millicores(now_ms);
        (spare > 0.0).then(|| now_ms + (backlog as f64 / spare) as u64)
    }

    /// When the caller of a job that is refused now should come back.
    fn retry_after_ms(&mut self, now_ms: u64, room: RoomInUse, work: u64) -> u64 {
        let takes_ms = work as f64 / self.usable_millicores(room);
        let from_ms = self.owed_until_ms.max(now_ms + RETRY_AFTER_MIN_MS);
        self.owed_until_ms = (from_ms + takes_ms.ceil() as u64).min(now_ms + RETRY_AFTER_MAX_MS);
        self.owed_until_ms - now_ms
    }
}

impl Owner {
    /// Judges a job that has just come, and placing has been tried; it takes
    /// `work`, thousandths of a core times milliseconds.
    pub(super) fn judge_new(
        &mut self,
        now_ms: u64,
        key: JobKey,
        work: u64,
        out: &mut Vec<Command>,
    ) {
        self.admission.offered.add(now_ms, work);
        let waits = |job: &Job| !job.stopping && job.waiting_millicores() > 0;
        if self.jobs.get(key).is_some_and(waits) {
            self.judge(now_ms, Some(key), out);
        }
        if let Some(job) = self.jobs.get(key) {
            self.admission.admit(now_ms, job, work);
        }
    }

    /// Judges all waiting jobs anew, since time has passed.
    pub(super) fn judge_all(&mut self, now_ms: u64, out: &mut Vec<Command>) {
        let waiting = self.queue.jobs().filter_map(|key| self.jobs.get(key));
        if waiting.map(Job::waiting_millicores).any(|waits| waits > 0) {
            let room = self.room_in_use(now_ms);
            self.admission.saturated(room);
            self.judge(now_ms, None, out);
        }
    }

    /// Judges the waiting jobs of which nothing has begun, in their order, and
    /// refuses those without prospects.
    fn judge(&mut self, now_ms: u64, new: Option<JobKey>, out: &mut Vec<Command>) {
        if self.settings.admits_all || self.queue.is_empty() || self.workers.is_empty() {
            return;
        }
        let room = self.room_in_use(now_ms);
        let mut forecast = self.forecast(now_ms);
        let mut backlog = self.running_work(now_ms);
        let shares = self.shares();
        let keys: Vec<JobKey> = self.queue.jobs().collect();
        for key in keys {
            let Some(job) = self.jobs.get(key) else {
                continue;
            };
            let millicores = job.waiting_millicores();
            if millicores == 0 {
                continue;
            }
            let begin_ms = forecast.begin_ms(millicores);
            let late_ms = self.admission.late_begin_ms(now_ms, room, backlog);
            let begin_ms = match new == Some(key) {
                true => {
                    let own = self.admission.own_millicores(now_ms, room, job, &shares);
                    let wait_ms = (begin_ms - now_ms) as f64;
                    let longer = self.admission.usable_millicores(room) / own;
                    let slack_share = match shares.is_over(&job.spec.class) {
                        true => SLACK_SHARE,
                        false => 1.0,
                    };
                    now_ms + (wait_ms * longer / slack_share) as u64
                }
                false => begin_ms,
            };
            match prospect(job, begin_ms, late_ms) {
                Prospect::Waits => {
                    backlog += job.waiting_work();
                    forecast.take(millicores, job.remaining_ms());
                }
                Prospect::Refused => {
                    self.refuse(now_ms, key, "its turn would come too late", out);
                }
            }
        }
    }

    /// When the caller of a job that is refused now should come back.
    pub(super) fn retry_after_ms(&mut self, now_ms: u64, key: JobKey) -> u64 {
        let room = self.room_in_use(now_ms);
        let work = self.jobs[key].waiting_work();
        self.admission.retry_after_ms(now_ms, room, work)
    }

    /// Room that comes free on workers that take tasks.
    fn forecast(&self, now_ms: u64) -> Forecast {
        let mut forecast = Forecast::new(now_ms);
        let usable = self.workers.values();
        for worker in usable.filter(|worker| worker.takes_tasks_soon(now_ms)) {
            if worker.standing == Standing::Unfenced {
                forecast.frees(now_ms + FENCING_MS, worker.free().cpu_millicores);
            }
            for run in &worker.runs {
                let millicores = run.room.map_or(0, |room| room.cpu_millicores);
                forecast.runs(run.ordered_ms, run.expected_ms, millicores);
            }
        }
        forecast
    }

    /// What is left to do of all runs, thousandths of a core times milliseconds.
    fn running_work(&self, now_ms: u64) -> u64 {
        let runs = self.workers.values().flat_map(|worker| &worker.runs);
        let work = runs.map(|run| {
            let left_ms = (run.ordered_ms + run.expected_ms).saturating_sub(now_ms);
            run.room.map_or(0, |room| room.cpu_millicores) * left_ms
        });
        work.sum()
    }

    /// Room of the workers that take tasks.
    pub(super) fn room_in_use(&self, now_ms: u64) -> RoomInUse {
        let usable = self.workers.values();
        let usable = usable.filter(|worker| worker.takes_tasks_soon(now_ms));
        usable.fold(RoomInUse::default(), |sum, worker| RoomInUse {
            capacity_millicores: sum.capacity_millicores + worker.record.capacity.cpu_millicores,
            free_millicores: sum.free_millicores + worker.free().cpu_millicores,
        })
    }
}

/// What becomes of a job that could begin at `begin_ms` among those in time, or
/// at `late_ms` after all of them.
fn prospect(job: &Job, begin_ms: u64, late_ms: Option<u64>) -> Prospect {
    let in_time = lateness(job, begin_ms) == Lateness::InTime;
    let late = late_ms.is_some_and(|at_ms| lateness(job, at_ms) != Lateness::TooLate);
    match job.started || in_time || late {
        true => Prospect::Waits,
        false => Prospect::Refused,
    }
}
