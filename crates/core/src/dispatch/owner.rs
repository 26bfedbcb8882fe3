//! The owner of one pool: its jobs, tasks and workers.
//!
//! [`Owner`] takes delegated jobs, the registry's workers and the outcomes of
//! orders, and pushes [`Command`]s. The steps are in the modules below:
//!
//! * [`admission`]: which jobs may wait, and what refused callers are told.
//! * [`admit`]: what that is decided by, and what follows.
//! * [`forecast`]: when waiting jobs can begin.
//! * [`shares`]: each class's share of the room.
//! * [`queue`]: the order in which waiting jobs are tried.
//! * [`run_times`]: how long tasks take.
//! * [`placement`]: which task starts where.
//! * [`reservation`]: room kept for begun jobs that are late.
//! * [`answer_timeout`]: how long to wait for answers.
//! * [`order_results`]: what became of starts and stops.
//! * [`lease_renewal`]: leases, ends, and the fate of orders without an answer.
//! * [`poison_tasks`]: tasks that crash the workers that start them.
//! * [`overdue`]: runs that take longer than they should.
//! * [`adopt`]: what an earlier owner left behind.
//! * [`closure`]: a failure domain that takes no new tasks.
//! * [`start_barrier`]: when a job is safe that an earlier owner had.
//! * [`origins`]: those who delegated jobs, and their links.
//! * [`completions`]: what a run's end means for its task and job.
//! * [`job_results`]: how jobs end.

mod admission;
mod admit;
mod adopt;
mod answer_timeout;
mod closure;
mod command;
mod completions;
mod forecast;
mod job_results;
mod lease_renewal;
mod log_event;
mod order_results;
mod origins;
mod overdue;
mod placement;
mod poison_tasks;
mod queue;
mod rate;
mod reservation;
mod run_times;
mod settings;
mod shares;
mod start_barrier;
mod stats;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::sync::Arc;

use slotmap::SlotMap;
use trefoil_schema::dispatch::{Holder, Job as JobSpec, Outcome};

use super::fence::Fence;
use super::job::{Job, Origin, Task, TaskState};
use super::limits::{
    ADOPTION_GRACE_MS, ENDED_JOB_RETENTION_MS, LINK_TIMEOUT_MS, ORIGIN_RECONNECT_GRACE_MS,
    RETRY_BACKOFF_MAX_MS,
};
use super::order::{
    JobKey, OrderOutcome, Rejection, RenewOrder, RunOutcome, StartOrder, StopOrder, Target,
    WorkerKey,
};
use super::ownership::{Predecessor, Roster};
use super::worker::{FencingState, RunOwner, RunState, Worker, WorkerRecord};
pub use command::{Command, JobResult, OrderResult};
pub use log_event::{LogEvent, LogTopic};
pub use settings::Settings;
pub use start_barrier::StartBarrier;
pub use stats::OwnerStats;

/// Added to run numbers when a worker knows a later run: an earlier owner's
/// clock was ahead. Covers half a minute.
const RUN_LEAP: u64 = 30_000;

/// The jobs and workers of one owner.
#[derive(Debug)]
pub struct Owner {
    pool: Arc<str>,
    /// Fence for workers that are new to the table: as high as that of any that
    /// has left it.
    fence: Fence,
    workers: SlotMap<WorkerKey, Worker>,
    worker_ids: HashMap<Arc<str>, WorkerKey>,
    jobs: SlotMap<JobKey, Job>,
    job_ids: HashMap<String, JobKey>,
    queue: queue::Queue,
    run_times: run_times::RunTimes,
    answer_times: answer_timeout::AnswerTimes,
    /// Ends of tasks that no job here has claimed, with their instants.
    orphan_ends: HashMap<Arc<str>, (RunOutcome, u64)>,
    losses: poison_tasks::Losses,
    /// Jobs that ended lately.
    ended: VecDeque<(u64, String, Outcome)>,
    dirty: BTreeSet<WorkerKey>,
    /// Until when each origin is known to have had its link.
    alive_ms: HashMap<Origin, u64>,
    /// Origins whose links broke lately, oldest first, with the instants.
    lost_origins: VecDeque<(u64, Origin)>,
    run_seed: u64,
    clearance: start_barrier::Clearance,
    closure: closure::Closure,
    /// Workers that may be used; none where every one may be.
    stored_roster: Option<Roster>,
    released: bool,
    admission: admission::Admission,
    settings: Settings,
}

impl Owner {
    /// An owner of a pool; `run_seed` is larger than that of earlier owners.
    pub fn new(pool: &str, fence: Fence, run_seed: u64) -> Self {
        Self {
            pool: Arc::from(pool),
            fence,
            workers: SlotMap::with_key(),
            worker_ids: HashMap::new(),
            jobs: SlotMap::with_key(),
            job_ids: HashMap::new(),
            queue: queue::Queue::default(),
            run_times: run_times::RunTimes::default(),
            answer_times: answer_timeout::AnswerTimes::default(),
            orphan_ends: HashMap::new(),
            losses: poison_tasks::Losses::default(),
            ended: VecDeque::new(),
            dirty: BTreeSet::new(),
            alive_ms: HashMap::new(),
            lost_origins: VecDeque::new(),
            run_seed,
            clearance: start_barrier::Clearance::default(),
            closure: closure::Closure::default(),
            stored_roster: None,
            released: false,
            admission: admission::Admission::default(),
            settings: Settings::default(),
        }
    }

    /// The same owner under `holder`'s name, after a predecessor whose roster the
    /// store told.
    #[must_use]
    pub fn with_predecessor(
        mut self,
        holder: Option<Holder>,
        predecessor: Option<Predecessor>,
    ) -> Self {
        self.clearance = start_barrier::Clearance::new(holder, predecessor);
        self
    }

    /// The same owner with other settings.
    #[must_use]
    pub fn with_settings(mut self, settings: Settings) -> Self {
        self.settings = settings;
        self
    }

    /// The pool whose workers it owns.
    pub fn pool(&self) -> &str {
        &self.pool
    }

    /// Takes in the registry's workers of the pool.
    pub fn set_workers(&mut self, now_ms: u64, records: Vec<WorkerRecord>, out: &mut Vec<Command>) {
        let listed: HashSet<Arc<str>> = records.iter().map(|record| record.id.clone()).collect();
        for record in records {
            self.set_worker(record, out);
        }
        for (key, worker) in &mut self.workers {
            if worker.unlisted_since_ms.is_none() && !listed.contains(&worker.record.id) {
                worker.unlisted_since_ms = Some(now_ms);
                self.dirty.insert(key);
                out.push(Command::Log(LogEvent::worker("unlisted", worker)));
            }
        }
        self.settle(now_ms, out);
    }

    fn set_worker(&mut self, record: WorkerRecord, out: &mut Vec<Command>) {
        if let Some(&key) = self.worker_ids.get(&record.id) {
            let worker = &mut self.workers[key];
            if worker.record.draining != record.draining {
                out.push(Command::Log(LogEvent::worker("draining", worker)));
            }
            if worker.record.capacity != record.capacity {
                let mut note = LogEvent::worker("capacity changed", worker);
                note.detail = format!("{:?} to {:?}", worker.record.capacity, record.capacity);
                out.push(Command::Log(note));
            }
            worker.unlisted_since_ms = None;
            worker.record = record;
            return;
        }
        let id = record.id.clone();
        let mut worker = Worker::new(record, self.fence);
        worker.in_stored_roster = self.may_use(&id);
        out.push(Command::Log(LogEvent::worker("listed", &worker)));
        let key = self.workers.insert(worker);
        self.worker_ids.insert(id, key);
        self.dirty.insert(key);
    }

    /// Takes a job in, or attaches its origin to the job known by its id.
    pub fn delegate(
        &mut self,
        now_ms: u64,
        origin: Origin,
        spec: JobSpec,
        unsafe_for_ms: u64,
        unsafe_holder: Option<&Holder>,
        out: &mut Vec<Command>,
    ) {
        let known = self.job_ids.get(&spec.id).copied();
        if let Some(key) = known {
            let job = &mut self.jobs[key];
            if !job.stopping {
                job.origin = Some(origin);
                job.paused = false;
                self.queue.invalidate();
                return self.settle(now_ms, out);
            }
            // Its runs are being stopped; the new job waits for their ends.
            self.detach(key, now_ms);
        }
        if let Some(outcome) = self.remembered(&spec.id) {
            let reason = "it ended a moment ago";
            return self.tell(origin, spec.id, outcome, reason, out);
        }
        if self.released {
            return self.tell(
                origin,
                spec.id,
                Outcome::Returned,
                "ownership has ended",
                out,
            );
        }
        let id = spec.id.clone();
        let mut spec = spec;
        self.run_times.refine(&mut spec);
        let mut job = Job::new(spec, origin, now_ms);
        job.unsafe_until_ms = now_ms + unsafe_for_ms;
        job.start_barrier = self.clearance.of(unsafe_holder);
        let key = self.jobs.insert(job);
        self.job_ids.insert(id, key);
        self.adopt(key);
        self.enqueue(now_ms, key);
        if self.jobs[key].is_done() {
            self.finish(now_ms, key, Outcome::Completed, "its tasks were done", out);
        }
        let work = self.jobs.get(key).map_or(0, Job::waiting_millicore_ms);
        self.send_away(now_ms, out);
        self.settle(now_ms, out);
        self.judge_new(now_ms, key, work, out);
    }

    fn remembered(&self, job_id: &str) -> Option<Outcome> {
        let mut ended = self.ended.iter().rev();
        ended.find(|(_, id, _)| id == job_id).map(|ended| ended.2)
    }

    /// Ends a job that its origin no longer awaits; its runs are stopped.
    pub fn cancel(&mut self, now_ms: u64, origin: Origin, job_id: &str, out: &mut Vec<Command>) {
        let key = self.job_ids.get(job_id).copied();
        let key = key.filter(|&key| self.jobs[key].origin == Some(origin));
        let Some(key) = key else {
            return;
        };
        out.push(Command::Log(LogEvent::job("cancelled", job_id)));
        self.abandon(now_ms, key, out);
        self.settle(now_ms, out);
    }

    /// Passes time: retries, lapsed leases, stalled runs.
    pub fn tick(&mut self, now_ms: u64, out: &mut Vec<Command>) {
        if self.released {
            return;
        }
        self.dirty.extend(self.workers.keys());
        self.queue.invalidate();
        self.expire_origins(now_ms, out);
        self.expire(now_ms, out);
        self.send_away(now_ms, out);
        self.refuse_hopeless(now_ms, out);
        self.settle(now_ms, out);
        self.judge_all(now_ms, out);
        let old = |at_ms: u64| at_ms + ENDED_JOB_RETENTION_MS < now_ms;
        while self.ended.front().is_some_and(|ended| old(ended.0)) {
            self.ended.pop_front();
        }
        self.orphan_ends
            .retain(|_, end| end.1 + 4 * ADOPTION_GRACE_MS > now_ms);
    }

    /// Refuses jobs of which nothing has run and that are of no use any more,
    /// so that their callers know at once.
    fn refuse_hopeless(&mut self, now_ms: u64, out: &mut Vec<Command>) {
        let fenced = self.all_fenced();
        let hopeless = |job: &Job| {
            let safe = job.is_safe(now_ms, fenced);
            safe && !job.started && !job.stopping && job.is_expired(now_ms)
        };
        let keys: Vec<JobKey> = self
            .jobs
            .iter()
            .filter(|(_, job)| hopeless(job))
            .map(|(key, _)| key)
            .collect();
        for key in keys {
            self.refuse(now_ms, key, "no worker came free in time", out);
        }
    }

    /// Starts what fits and sends the holds that are due.
    fn settle(&mut self, now_ms: u64, out: &mut Vec<Command>) {
        if self.released {
            return;
        }
        self.place(now_ms, out);
        let dirty = std::mem::take(&mut self.dirty);
        for key in dirty {
            self.hold_if_due(now_ms, key, out);
        }
    }
}

fn target_of(key: WorkerKey, worker: &Worker) -> Target {
    Target {
        worker: key,
        worker_id: worker.record.id.clone(),
        address: worker.record.address.clone(),
        fence: worker.fence,
    }
}

fn stop_run(
    now_ms: u64,
    run: &mut super::worker::Run,
    target: Target,
    answer_ms: u64,
    out: &mut Vec<Command>,
) {
    run.state = RunState::Stopping { ordered_ms: now_ms };
    out.push(Command::Stop(StopOrder {
        target,
        task: run.task.clone(),
        run_id: run.run_id,
        answer_timeout_ms: answer_ms,
    }));
}
