//! The jobs and workers of one service, under one lock.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use slotmap::SlotMap;
use trefoil_schema::resources::ServiceSpec;

use super::command::{Command, JobState};
use super::event::{Submission, TaskId, TaskOutcome, Worker, WorkerId};
use super::job::{EndedJob, JobEnd, JobId, JobWork, ReturnedTask};
use super::queue::JobQueue;
use super::settings::EngineSettings;
use super::stats::EngineStats;
use super::worker_set::WorkerSet;
use crate::key::JobKey;
use crate::time::Now;

/// Bits of a task id that count placements; the rest name the pool.
const TASK_COUNTER_BITS: u32 = 48;

/// One service's pool; its number is part of its task ids.
pub(crate) struct Pool {
    state: Mutex<PoolState>,
}

/// What the service's declaration says about its tasks.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ServiceTerms {
    pub path: Arc<str>,
    pub task_timeout_ms: u64,
    pub declared_run_ms: u64,
}

impl From<&ServiceSpec> for ServiceTerms {
    fn from(spec: &ServiceSpec) -> Self {
        Self {
            path: spec.path.as_str().into(),
            task_timeout_ms: spec.task_timeout_ms,
            declared_run_ms: spec.declared_run_ms,
        }
    }
}

/// A placement that is out.
#[derive(Clone, Copy, Debug)]
struct Placement {
    job: JobId,
    index: u32,
    attempt: u32,
    worker: WorkerId,
}

/// What a pool's lock guards.
pub(crate) struct PoolState {
    number: u64,
    settings: Arc<EngineSettings>,
    terms: ServiceTerms,
    workers: WorkerSet,
    jobs: SlotMap<JobId, JobWork>,
    queue: JobQueue,
    placements: HashMap<TaskId, Placement>,
    deadlines: BinaryHeap<Reverse<(u64, JobId)>>,
    next_placement: u64,
    stats: EngineStats,
}

impl Pool {
    /// An empty pool.
    pub fn new(number: u64, settings: Arc<EngineSettings>, terms: ServiceTerms) -> Self {
        let state = PoolState {
            number,
            settings,
            terms,
            workers: WorkerSet::default(),
            jobs: SlotMap::with_key(),
            queue: JobQueue::default(),
            placements: HashMap::new(),
            deadlines: BinaryHeap::new(),
            next_placement: 0,
            stats: EngineStats::default(),
        };
        Self {
            state: Mutex::new(state),
        }
    }

    /// Locks the pool; a job shard may be locked before it, never after.
    pub fn lock(&self) -> MutexGuard<'_, PoolState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The number of the pool that made a task id.
    pub fn number_of(task: TaskId) -> usize {
        (task.0 >> TASK_COUNTER_BITS) as usize
    }
}

impl PoolState {
    /// Takes the service's declaration and its workers with shares.
    pub fn configure(
        &mut self,
        terms: ServiceTerms,
        workers: Vec<(WorkerId, Worker, u32)>,
        out: &mut Vec<Command>,
    ) {
        self.terms = terms;
        self.workers.replace(workers);
        self.dispatch(out);
    }

    /// The service is no longer declared: nothing starts any more.
    pub fn withdraw(&mut self, out: &mut Vec<Command>) {
        self.workers.replace(Vec::new());
        self.dispatch(out);
    }

    /// Whether any slot may be used.
    pub fn has_slots(&self) -> bool {
        self.workers.slots() > 0
    }

    /// Queues a job's tasks and starts what has a slot.
    pub fn admit(
        &mut self,
        now: Now,
        key: Arc<JobKey>,
        submission: Submission,
        out: &mut Vec<Command>,
    ) -> JobId {
        let deadline_ms = now.mono_ms.saturating_add(submission.timeout_ms);
        let rank = self.queue.next_rank();
        let payloads = submission.tasks.into_iter().map(|task| task.payload);
        let job = self.jobs.insert(JobWork {
            key,
            rank,
            tasks: payloads.collect(),
            returned: Vec::new(),
            unplaced: 0,
            running: 0,
            done: 0,
            touched: false,
        });
        self.deadlines.push(Reverse((deadline_ms, job)));
        self.queue.insert(rank, job);
        self.stats.jobs_admitted += 1;
        self.stats.tasks_queued += u64::from(self.jobs[job].total());
        self.dispatch(out);
        job
    }

    /// Tasks done of a job, or `None` if it just ended.
    pub fn tasks_done(&self, job: JobId) -> Option<u32> {
        self.jobs.get(job).map(|work| work.done)
    }

    /// Ends a job at its caller's wish, or `None` if it just ended.
    pub fn cancel(&mut self, job: JobId) -> Option<EndedJob> {
        let ended = self.cut_short(job, JobState::Cancelled, "cancelled", String::new())?;
        self.stats.jobs_cancelled += 1;
        Some(ended)
    }

    /// Takes a placement's outcome; gives the job if that ended it.
    pub fn task_finished(
        &mut self,
        task: TaskId,
        outcome: TaskOutcome,
        out: &mut Vec<Command>,
    ) -> Option<EndedJob> {
        let Some(placement) = self.placements.remove(&task) else {
            self.stats.outcomes_dropped += 1;
            return None;
        };
        self.workers.finish(placement.worker);
        let ended = self.apply_outcome(placement, outcome);
        self.dispatch(out);
        ended
    }

    fn apply_outcome(&mut self, placement: Placement, outcome: TaskOutcome) -> Option<EndedJob> {
        let Some(work) = self.jobs.get_mut(placement.job) else {
            self.stats.outcomes_dropped += 1;
            return None;
        };
        work.running -= 1;
        work.touched |= !matches!(outcome, TaskOutcome::NotRun(_));
        match outcome {
            TaskOutcome::Done(result) => self.task_done(placement, result),
            TaskOutcome::NotRun(why) => self.task_refused(placement, why),
            TaskOutcome::Failed(why) => self.fail(placement.job, "task_failed", why),
            TaskOutcome::MayHaveRun(why) => self.fail(placement.job, "task_lost", why),
        }
    }

    fn task_done(&mut self, placement: Placement, result: Bytes) -> Option<EndedJob> {
        let work = self.jobs.get_mut(placement.job)?;
        work.tasks[placement.index as usize] = result;
        work.done += 1;
        if work.remaining() > 0 {
            return None;
        }
        let work = self.jobs.remove(placement.job)?;
        self.stats.jobs_complete += 1;
        Some(EndedJob {
            key: work.key,
            end: JobEnd::complete(work.tasks),
        })
    }

    fn task_refused(&mut self, placement: Placement, why: String) -> Option<EndedJob> {
        if placement.attempt >= self.settings.placement.attempts_max {
            return self.fail(placement.job, "task_refused", why);
        }
        let work = self.jobs.get_mut(placement.job)?;
        work.returned.push(ReturnedTask {
            index: placement.index,
            attempts: placement.attempt,
            refused_by: placement.worker,
        });
        self.queue.insert(work.rank, placement.job);
        self.stats.tasks_queued += 1;
        None
    }

    fn fail(&mut self, job: JobId, reason: &'static str, why: String) -> Option<EndedJob> {
        let ended = self.cut_short(job, JobState::Failed, reason, why)?;
        self.stats.jobs_failed += 1;
        Some(ended)
    }

    fn cut_short(
        &mut self,
        job: JobId,
        state: JobState,
        reason: &'static str,
        why: String,
    ) -> Option<EndedJob> {
        let work = self.jobs.remove(job)?;
        self.queue.remove(work.rank, job);
        self.stats.tasks_queued -= u64::from(work.queued());
        let end = JobEnd::cut_short(&work, state, reason, why);
        Some(EndedJob { key: work.key, end })
    }

    /// Ends jobs whose deadline has passed, and starts what has a slot.
    pub fn tick(&mut self, now: Now, out: &mut Vec<Command>) -> Vec<EndedJob> {
        let mut ended = Vec::new();
        while let Some(Reverse((deadline_ms, job))) = self.deadlines.peek().copied() {
            if deadline_ms > now.mono_ms {
                break;
            }
            self.deadlines.pop();
            let late = "the deadline passed before the last result";
            let Some(job) = self.fail(job, "deadline", late.to_owned()) else {
                continue;
            };
            self.stats.jobs_past_deadline += 1;
            ended.push(job);
        }
        self.dispatch(out);
        ended
    }

    fn dispatch(&mut self, out: &mut Vec<Command>) {
        while let Some(job) = self.queue.first() {
            let Some(next) = self.jobs.get(job).and_then(JobWork::peek) else {
                return;
            };
            let Some(worker) = self.workers.best(next.avoid) else {
                return;
            };
            self.start(job, worker, out);
        }
    }

    fn start(&mut self, job: JobId, worker: WorkerId, out: &mut Vec<Command>) {
        let work = &mut self.jobs[job];
        let (Some(next), Some(address)) = (work.peek(), self.workers.address(worker)) else {
            return;
        };
        work.take_next();
        if work.queued() == 0 {
            self.queue.remove(work.rank, job);
        }
        self.next_placement += 1;
        let task = TaskId(self.number << TASK_COUNTER_BITS | self.next_placement);
        let placement = Placement {
            job,
            index: next.index,
            attempt: next.attempt,
            worker,
        };
        self.placements.insert(task, placement);
        self.workers.start(worker);
        self.stats.tasks_queued -= 1;
        self.stats.tasks_started += 1;
        self.stats.tasks_retried += u64::from(next.attempt > 1);
        out.push(Command::StartTask {
            task,
            key: Arc::clone(&work.key),
            index: next.index,
            attempt: next.attempt,
            worker,
            address,
            path: Arc::clone(&self.terms.path),
            payload: work.tasks[next.index as usize].clone(),
            timeout_ms: self.terms.task_timeout_ms,
        });
    }

    /// Counters and sizes of this pool.
    pub fn stats(&self) -> EngineStats {
        EngineStats {
            jobs_running: self.jobs.len() as u64,
            tasks_running: self.placements.len() as u64,
            slots_owned: self.workers.slots(),
            ..self.stats
        }
    }
}
