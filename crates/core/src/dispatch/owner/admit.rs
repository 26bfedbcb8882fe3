//! Judging waiting jobs: what [`admission`] decides by, and what follows.
//!
//! [`admission`]: super::admission

use super::admission::{Prospect, RoomInUse};
use super::forecast::Forecast;
use super::shares::Shares;
use super::*;

/// A worker whose fence was raised, or that is new, takes tasks again after one
/// call, and a pause of this instance's processor at the most.
const FENCING_MS: u64 = 50;

/// The load at one instant; jobs that may wait are added to it in their order.
struct LoadNow {
    room: RoomInUse,
    shares: Shares,
    forecast: Forecast,
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
        self.admission.offer(now_ms, work);
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
        if self.waiting_jobs() > 0 {
            let room = self.room_in_use(now_ms);
            self.admission.saturated(room);
            self.judge(now_ms, None, out);
        }
    }

    /// Jobs that wait for room.
    pub(super) fn waiting_jobs(&self) -> usize {
        let jobs = self.queue.jobs().filter_map(|key| self.jobs.get(key));
        jobs.filter(|job| job.waiting_millicores() > 0).count()
    }

    /// Judges the waiting jobs in their order, and refuses those of which
    /// nothing has begun and that have no prospects; where one has just come
    /// (`new`), only that one is decided on.
    fn judge(&mut self, now_ms: u64, new: Option<JobKey>, out: &mut Vec<Command>) {
        if self.settings.admit_all || self.queue.is_empty() || self.workers.is_empty() {
            return;
        }
        let mut load = self.load_now(now_ms);
        let keys: Vec<JobKey> = self.queue.jobs().collect();
        for key in keys {
            let Some(job) = self.jobs.get(key) else {
                continue;
            };
            let millicores = job.waiting_millicores();
            if millicores == 0 {
                continue;
            }
            let is_new = new == Some(key);
            let prospect = self.prospect(now_ms, &mut load, job, is_new);
            if prospect.is_of_use(job) {
                load.forecast.take(millicores, job.remaining_ms());
            } else if is_new || new.is_none() {
                out.push(Command::Log(self.refusal(now_ms, &load, job, prospect)));
                self.refuse(now_ms, key, "its turn would come too late", out);
            }
            if is_new {
                return;
            }
        }
    }

    fn prospect(&self, now_ms: u64, load: &mut LoadNow, job: &Job, is_new: bool) -> Prospect {
        let admission = &self.admission;
        let begin_ms = load.forecast.begin_ms(job.waiting_millicores());
        let prospect = Prospect {
            begin_ms,
            late_begin_ms: admission.late_begin_ms(now_ms, load.room, begin_ms),
        };
        match is_new {
            true => admission.newcomer(now_ms, load.room, &load.shares, job, prospect),
            false => prospect,
        }
    }

    /// A line on a refusal and what decided it.
    fn refusal(&self, now_ms: u64, load: &LoadNow, job: &Job, prospect: Prospect) -> LogEvent {
        let from_now = |at_ms: u64| at_ms as i64 - now_ms as i64;
        let mut note = LogEvent::job("refused", &job.spec.id);
        note.detail = format!(
            "class {} takes_ms {} due_in_ms {} begins_in_ms {} late_begins_in_ms {:?} \
             usable_millicores {:.0} offered_millicores {:.0} over_share {}",
            job.spec.class,
            job.remaining_ms(),
            from_now(job.objective_ms(1.0)),
            from_now(prospect.begin_ms),
            prospect.late_begin_ms.map(from_now),
            self.admission.usable_millicores(load.room),
            self.admission.offered_millicores(now_ms),
            load.shares.is_over(&job.spec.class),
        );
        note
    }

    /// When the caller of a job that is refused now should come back.
    pub(super) fn retry_after_ms(&mut self, now_ms: u64, key: JobKey) -> u64 {
        let room = self.room_in_use(now_ms);
        let work = self.jobs[key].waiting_millicore_ms();
        self.admission.retry_after_ms(now_ms, room, work)
    }

    fn load_now(&self, now_ms: u64) -> LoadNow {
        LoadNow {
            room: self.room_in_use(now_ms),
            shares: self.shares(),
            forecast: self.forecast(now_ms),
        }
    }

    /// Room that comes free on workers that take tasks.
    fn forecast(&self, now_ms: u64) -> Forecast {
        let mut forecast = Forecast::new(now_ms);
        let usable = self.workers.values();
        for worker in usable.filter(|worker| worker.accepts_tasks_soon(now_ms)) {
            if worker.fencing == FencingState::Unfenced {
                forecast.frees(now_ms + FENCING_MS, worker.free_resources().cpu_millicores);
            }
            for run in &worker.runs {
                let millicores = run.resources.map_or(0, |room| room.cpu_millicores);
                forecast.runs(run.ordered_ms, run.expected_ms, millicores);
            }
        }
        forecast
    }

    /// Room of the workers that take tasks.
    fn room_in_use(&self, now_ms: u64) -> RoomInUse {
        let usable = self.workers.values();
        let usable = usable.filter(|worker| worker.accepts_tasks_soon(now_ms));
        usable.fold(RoomInUse::default(), |sum, worker| RoomInUse {
            capacity_millicores: sum.capacity_millicores + worker.record.capacity.cpu_millicores,
            free_millicores: sum.free_millicores + worker.free_resources().cpu_millicores,
        })
    }
}
