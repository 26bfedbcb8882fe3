//! The owner of a pool, which schedules delegated jobs onto the pool's workers.
//!
//! [`Owner`] takes delegated jobs, the registry's workers and the results of
//! orders, and pushes [`Command`]s. Its parts:
//!
//! * [`admission`]: admission control and retry delays of refused callers.
//! * [`admit`]: applies admission control to waiting jobs.
//! * [`forecast`]: when waiting jobs can begin.
//! * [`shares`]: fair sharing between job classes.
//! * [`queue`]: the order in which waiting jobs are placed.
//! * [`run_times`]: run times learned by job class.
//! * [`placement`]: which task starts on which worker.
//! * [`packing`]: placements that strand no CPU.
//! * [`reservation`]: workers reserved for late jobs that have begun.
//! * [`answer_timeout`]: adaptive timeout of workers' answers.
//! * [`order_results`]: results of start and stop orders.
//! * [`lease_renewal`]: lease renewal, and recovery of unanswered orders.
//! * [`poison_tasks`]: tasks that crash the workers that start them.
//! * [`lost_runs`]: lost runs of jobs that may be submitted again.
//! * [`restart_targets`]: where runs that are stopped can start again.
//! * [`departure`]: runs on workers that are about to exit.
//! * [`overdue`]: polling and stopping of overdue runs.
//! * [`slow_workers`]: workers that have become slow.
//! * [`peer_loads`]: loads of other pools.
//! * [`adopt`]: adoption of a predecessor's runs.
//! * [`closure`]: evacuation of a closed failure domain.
//! * [`start_barrier`]: when a job that an earlier owner had may start.
//! * [`origins`]: liveness of the origins that delegated jobs.
//! * [`worker_speed`]: speeds of workers by label.
//! * [`completions`]: effects of a completed run on its task, job and worker.
//! * [`job_results`]: how jobs end.

mod admission;
mod admit;
mod adopt;
mod answer_timeout;
mod closure;
mod command;
mod completions;
mod departure;
mod forecast;
mod job_results;
mod lease_renewal;
mod log_event;
mod lost_runs;
mod order_results;
mod origins;
mod overdue;
pub mod packing;
mod peer_loads;
pub mod placement;
mod poison_tasks;
mod queue;
mod rate;
mod rebirth;
mod reservation;
mod restart_targets;
mod run_times;
mod settings;
mod shares;
mod slow_workers;
mod start_barrier;
mod stats;
pub mod worker_speed;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::sync::Arc;

use slotmap::SlotMap;
use trefoil_schema::dispatch::{Holder, Job as JobSpec, Load, Outcome};

use super::fence::Fence;
use super::footprint;
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
use super::worker::{
    Evidence, FencingState, RunOwner, RunState, Succession, Worker, WorkerRecord, is_earlier,
};
pub use command::{Command, JobResult, OrderResult};
pub use departure::{DepartureAction, RunOutlook};
pub use log_event::{LogEvent, LogTopic};
pub use placement::PlacementStats;
pub use settings::Settings;
pub(crate) use slow_workers::Slowness;
pub use slow_workers::{RunTimeModel, STALL_FACTOR, SUSPICION_THRESHOLD, shared_estimate_bound};
pub use start_barrier::StartBarrier;
pub use stats::OwnerStats;

/// Added to the run id counter when a worker knows a later run, since the clock of
/// an earlier owner was ahead. Run ids start at Unix time in milliseconds, so that this
/// covers half a minute.
const RUN_ID_LEAP: u64 = 30_000;

/// Jobs and workers of one pool.
#[derive(Debug)]
pub struct Owner {
    pool: Arc<str>,
    /// Initial fence of workers: at least that of any worker that has left the table.
    fence: Fence,
    workers: SlotMap<WorkerKey, Worker>,
    worker_ids: HashMap<Arc<str>, WorkerKey>,
    jobs: SlotMap<JobKey, Job>,
    job_ids: HashMap<String, JobKey>,
    queue: queue::Queue,
    run_times: run_times::RunTimes,
    departures: departure::Departures,
    answer_timeout: answer_timeout::AnswerTimeout,
    /// Outcomes of runs that no job here has claimed, and when they were listed.
    orphan_completions: HashMap<Arc<str>, (RunOutcome, u64)>,
    worker_losses: poison_tasks::WorkerLosses,
    lost_runs: lost_runs::LostRuns,
    /// Incarnations that have ended and whose entries the registry still lists, with their
    /// addresses and starts.
    ended_incarnations: HashMap<Arc<str>, (Arc<str>, Option<u64>)>,
    /// Jobs that ended recently, oldest first.
    ended_jobs: VecDeque<(u64, String, Outcome)>,
    /// Jobs that this owner has given up, oldest first.
    abandoned_jobs: VecDeque<(u64, String)>,
    /// Workers whose lease renewal has to be reconsidered.
    dirty_workers: BTreeSet<WorkerKey>,
    /// When each origin was last known to be connected.
    origin_heartbeats: HashMap<Origin, u64>,
    /// When the first delegation of each origin arrived that has not sent a heartbeat yet.
    unconfirmed_origins: HashMap<Origin, u64>,
    /// Origins whose links broke recently and when, oldest first.
    lost_origins: VecDeque<(u64, Origin)>,
    /// Lower bound of new run ids.
    run_id_counter: u64,
    predecessor: start_barrier::PredecessorFencing,
    closure: closure::Closure,
    /// Workers that may be used; `None` permits all.
    stored_roster: Option<Roster>,
    released: bool,
    admission: admission::Admission,
    peer_loads: peer_loads::PeerLoads,
    slow_workers: slow_workers::SlowWorkers,
    worker_speeds: worker_speed::WorkerSpeeds,
    placement_stats: PlacementStats,
    settings: Settings,
    /// Memory that its jobs may occupy.
    jobs_bytes_max: u64,
}

impl Owner {
    /// Creates the owner of a pool. `run_id_counter` must exceed the run ids of earlier
    /// owners; instances pass Unix time in milliseconds.
    pub fn new(pool: &str, fence: Fence, run_id_counter: u64) -> Self {
        Self {
            pool: Arc::from(pool),
            fence,
            workers: SlotMap::with_key(),
            worker_ids: HashMap::new(),
            jobs: SlotMap::with_key(),
            job_ids: HashMap::new(),
            queue: queue::Queue::default(),
            run_times: run_times::RunTimes::default(),
            departures: departure::Departures::default(),
            answer_timeout: answer_timeout::AnswerTimeout::default(),
            orphan_completions: HashMap::new(),
            worker_losses: poison_tasks::WorkerLosses::default(),
            lost_runs: lost_runs::LostRuns::default(),
            ended_incarnations: HashMap::new(),
            ended_jobs: VecDeque::new(),
            abandoned_jobs: VecDeque::new(),
            dirty_workers: BTreeSet::new(),
            origin_heartbeats: HashMap::new(),
            unconfirmed_origins: HashMap::new(),
            lost_origins: VecDeque::new(),
            run_id_counter,
            predecessor: start_barrier::PredecessorFencing::default(),
            closure: closure::Closure::default(),
            stored_roster: None,
            released: false,
            admission: admission::Admission::default(),
            peer_loads: peer_loads::PeerLoads::default(),
            slow_workers: slow_workers::SlowWorkers::default(),
            worker_speeds: worker_speed::WorkerSpeeds::default(),
            placement_stats: PlacementStats::default(),
            settings: Settings::default(),
            jobs_bytes_max: u64::MAX,
        }
    }

    /// Sets the ownership that the owner holds, and the one before it with the roster
    /// that it stored.
    #[must_use]
    pub fn with_predecessor(
        mut self,
        holder: Option<Holder>,
        predecessor: Option<Predecessor>,
    ) -> Self {
        self.predecessor = start_barrier::PredecessorFencing::new(holder, predecessor);
        self
    }

    /// Replaces the default settings.
    #[must_use]
    pub fn with_settings(mut self, settings: Settings) -> Self {
        self.settings = settings;
        self
    }

    /// Name of the pool.
    pub fn pool(&self) -> &str {
        &self.pool
    }

    /// Sets how much memory the jobs may occupy, in bytes; further jobs are refused. Unlimited
    /// by default.
    pub fn set_jobs_bytes_max(&mut self, bytes_max: u64) {
        self.jobs_bytes_max = bytes_max;
    }

    /// Memory that the jobs occupy, in bytes, estimated.
    pub fn jobs_bytes(&self) -> u64 {
        self.jobs.values().map(|job| job.footprint_bytes).sum()
    }

    /// Records the load of another owner's pool, from its heartbeat.
    pub fn observe_pool_load(&mut self, now_ms: u64, pool: &str, load: &Load) {
        if pool != &*self.pool {
            self.peer_loads.observe(now_ms, pool, load);
            self.observe_abandoned_jobs(now_ms, &load.abandoned_jobs);
        }
    }

    /// Updates the workers that the registry lists for the pool. Workers that are no
    /// longer listed stay in use for a grace period.
    pub fn set_workers(&mut self, now_ms: u64, records: Vec<WorkerRecord>, out: &mut Vec<Command>) {
        let listed: HashSet<Arc<str>> = records.iter().map(|record| record.id.clone()).collect();
        self.ended_incarnations.retain(|id, _| listed.contains(id));
        for record in records {
            self.upsert_worker(now_ms, record, &listed, out);
        }
        for (key, worker) in &mut self.workers {
            if worker.unlisted_since_ms.is_none() && !listed.contains(&worker.record.id) {
                worker.unlisted_since_ms = Some(now_ms);
                self.dirty_workers.insert(key);
                out.push(Command::Log(LogEvent::worker("unlisted", worker)));
            }
        }
        self.schedule(now_ms, out);
    }

    fn upsert_worker(
        &mut self,
        now_ms: u64,
        record: WorkerRecord,
        listed: &HashSet<Arc<str>>,
        out: &mut Vec<Command>,
    ) {
        if let Some(&key) = self.worker_ids.get(&record.id) {
            let evidence = Evidence::Entry {
                revision: record.revision,
            };
            match self.workers[key].compare_incarnation(record.born_ms, evidence) {
                Succession::Earlier => return,
                Succession::Later => self.begin_incarnation(now_ms, key, record.born_ms, out),
                Succession::Same => {}
            }
            let worker = &mut self.workers[key];
            if worker.record.draining != record.draining {
                out.push(Command::Log(LogEvent::worker("draining", worker)));
            }
            if worker.record.capacity != record.capacity {
                let mut event = LogEvent::worker("capacity changed", worker);
                event.detail = format!("{:?} to {:?}", worker.record.capacity, record.capacity);
                out.push(Command::Log(event));
            }
            worker.unlisted_since_ms = None;
            if worker.record.departure != record.departure {
                worker.exit = departure::expected_exit(now_ms, worker, record.departure);
            }
            worker.set_record(record);
            if std::mem::take(&mut worker.awaits_entry) {
                worker.set_prior(&self.worker_speeds);
            }
            return;
        }
        let ended = self.ended_incarnations.get(&record.id);
        if ended.is_some_and(|(address, born_ms)| {
            *address == record.address && !is_earlier(*born_ms, record.born_ms)
        }) {
            return;
        }
        let id = record.id.clone();
        self.confirm_replaced(now_ms, &record, listed, out);
        let mut worker = Worker::new(record, self.fence);
        worker.exit = departure::expected_exit(now_ms, &worker, worker.record.departure);
        worker.in_stored_roster = self.is_in_stored_roster(&id);
        worker.set_prior(&self.worker_speeds);
        out.push(Command::Log(LogEvent::worker("listed", &worker)));
        let key = self.workers.insert(worker);
        self.worker_ids.insert(id, key);
        self.dirty_workers.insert(key);
    }

    /// Accepts a job, or attaches the origin to the job with the same id. Runs that
    /// earlier owners started may exist for `unsafe_for_ms`; `unsafe_holder` is the
    /// only ownership that may have started them, if there is only one.
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
            if job.is_earlier_delegation(&spec) {
                let mut event = LogEvent::job("earlier delegation ignored", &spec.id);
                let (earlier, current) = (spec.delegation, job.spec.delegation);
                event.detail = format!("{origin:?} delegation {earlier} current {current}");
                return out.push(Command::Log(event));
            }
            if !job.stopping {
                job.origin = Some(origin);
                job.spec.delegation = spec.delegation;
                job.spec.delegator = spec.delegator;
                job.paused = false;
                self.queue.invalidate();
                return self.schedule(now_ms, out);
            }
            // The new job starts once the runs that are being stopped have ended.
            self.detach_runs(key, now_ms);
        }
        if let Some(outcome) = self.ended_outcome(&spec.id) {
            let reason = "it ended a moment ago";
            return job_results::report(origin, JobResult::new(&spec, outcome), reason, out);
        }
        if self.released {
            let result = JobResult::new(&spec, Outcome::Returned);
            return job_results::report(origin, result, "ownership has ended", out);
        }
        let bytes = footprint::owned_job_bytes(&spec);
        if !footprint::fits(self.jobs_bytes(), bytes, self.jobs_bytes_max) {
            return self.refuse_unqueued(now_ms, origin, &spec, out);
        }
        let id = spec.id.clone();
        let mut spec = spec;
        self.run_times.refine_estimates(&mut spec);
        let mut job = Job::new(spec, origin, now_ms);
        job.unsafe_until_ms = now_ms + unsafe_for_ms;
        job.start_barrier = self.predecessor.barrier_for(unsafe_holder);
        let key = self.jobs.insert(job);
        self.job_ids.insert(id, key);
        self.adopt(key);
        self.enqueue(now_ms, key);
        self.restore_losses(now_ms, key, out);
        if self.jobs.get(key).is_some_and(Job::is_done) {
            self.end_job(now_ms, key, Outcome::Completed, "its tasks were done", out);
        }
        let millicore_ms = self.jobs.get(key).map_or(0, Job::waiting_millicore_ms);
        self.return_jobs(now_ms, out);
        self.schedule(now_ms, out);
        self.admit_new(now_ms, key, millicore_ms, out);
    }

    fn ended_outcome(&self, job_id: &str) -> Option<Outcome> {
        let mut ended = self.ended_jobs.iter().rev();
        ended.find(|(_, id, _)| id == job_id).map(|ended| ended.2)
    }

    /// Cancels a job of `origin` and stops its runs.
    pub fn cancel(&mut self, now_ms: u64, origin: Origin, job_id: &str, out: &mut Vec<Command>) {
        let key = self.job_ids.get(job_id).copied();
        let key = key.filter(|&key| self.jobs[key].origin == Some(origin));
        let Some(key) = key else {
            return;
        };
        out.push(Command::Log(LogEvent::job("cancelled", job_id)));
        self.stop_job(now_ms, key, out);
        self.schedule(now_ms, out);
    }

    /// Handles everything that is due at `now_ms`: retries, expired leases, overdue
    /// runs, and expired jobs. Must be called periodically.
    pub fn tick(&mut self, now_ms: u64, out: &mut Vec<Command>) {
        if self.released {
            return;
        }
        self.dirty_workers.extend(self.workers.keys());
        self.peer_loads.expire(now_ms);
        self.update_worker_speeds(now_ms);
        self.queue.invalidate();
        self.expire_origins(now_ms, out);
        self.check_deadlines(now_ms, out);
        self.lost_runs.expire(now_ms);
        self.abandon_suspects(now_ms, out);
        self.judge_slow_workers(now_ms, out);
        self.return_jobs(now_ms, out);
        self.refuse_expired(now_ms, out);
        self.schedule(now_ms, out);
        self.restart_departing(now_ms, out);
        self.recheck_waiting(now_ms, out);
        let is_expired = |at_ms: u64| at_ms + ENDED_JOB_RETENTION_MS < now_ms;
        while self
            .ended_jobs
            .front()
            .is_some_and(|ended| is_expired(ended.0))
        {
            self.ended_jobs.pop_front();
        }
        while self
            .abandoned_jobs
            .front()
            .is_some_and(|ended| is_expired(ended.0))
        {
            self.abandoned_jobs.pop_front();
        }
        self.orphan_completions
            .retain(|_, end| end.1 + 4 * ADOPTION_GRACE_MS > now_ms);
    }

    /// Refuses expired jobs that have not begun, so that their callers need not wait
    /// for their own timeouts.
    fn refuse_expired(&mut self, now_ms: u64, out: &mut Vec<Command>) {
        let fenced = self.predecessor_fenced();
        let can_refuse = |job: &Job| {
            let safe = job.is_safe(now_ms, fenced);
            safe && !job.started && !job.stopping && job.is_expired(now_ms)
        };
        let keys: Vec<JobKey> = self
            .jobs
            .iter()
            .filter(|(_, job)| can_refuse(job))
            .map(|(key, _)| key)
            .collect();
        for key in keys {
            self.refuse(now_ms, key, "no worker came free in time", out);
        }
    }

    /// Places waiting tasks and sends the lease renewals that are due.
    fn schedule(&mut self, now_ms: u64, out: &mut Vec<Command>) {
        if self.released {
            return;
        }
        self.place(now_ms, out);
        let dirty = std::mem::take(&mut self.dirty_workers);
        for key in dirty {
            self.renew_if_due(now_ms, key, out);
        }
    }
}

fn target_of(key: WorkerKey, worker: &Worker) -> Target {
    Target {
        worker: key,
        worker_id: worker.record.id.clone(),
        address: worker.record.address.clone(),
        fence: worker.fence,
        born_ms: worker.record.born_ms,
    }
}

fn stop_run(
    now_ms: u64,
    run: &mut super::worker::Run,
    target: Target,
    answer_timeout_ms: u64,
    out: &mut Vec<Command>,
) {
    run.state = RunState::Stopping { ordered_ms: now_ms };
    out.push(Command::Stop(StopOrder {
        target,
        task: run.task.clone(),
        run_id: run.run_id,
        answer_timeout_ms,
    }));
}
