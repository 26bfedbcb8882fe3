//! The jobs and workers of one service, under one lock.

mod admit;
mod lend;
mod outcome;
mod place;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use slotmap::SlotMap;
use trefoil_schema::resources::ServiceSpec;

use super::command::{Command, JobState};
use super::event::{TaskId, WorkerId};
use super::failure::FailureReason;
use super::health::{ServiceHealth, WorkerHealth};
use super::job::{ActiveJob, EndedJob, JobId};
use super::lending::Lending;
use super::queue::JobQueue;
use super::retry_budget::RetryBudget;
use super::run_times::RunTimes;
use super::settings::EngineSettings;
use super::stats::EngineStats;
use super::teams::{TeamIndex, Teams};
use super::worker_set::{WorkerAssignment, WorkerSet};
use crate::time::Now;

/// Low bits of a task id that number the placements; the high bits are the pool
/// number.
const TASK_COUNTER_BITS: u32 = 48;
/// Number of ended jobs' deadlines kept before the heap is cleaned up.
const STALE_DEADLINES_MAX: usize = 1024;

/// The pool of one service.
pub(crate) struct Pool {
    state: Mutex<PoolState>,
}

/// The parameters of a service's tasks, from its declaration.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ServiceParams {
    pub path: Arc<str>,
    pub task_timeout_ms: u64,
    pub declared_run_ms: u64,
}

impl From<&ServiceSpec> for ServiceParams {
    fn from(spec: &ServiceSpec) -> Self {
        Self {
            path: spec.path.as_str().into(),
            task_timeout_ms: spec.task_timeout_ms,
            declared_run_ms: spec.declared_run_ms,
        }
    }
}

/// A running placement of a task.
#[derive(Clone, Copy, Debug)]
struct Placement {
    job: JobId,
    team: TeamIndex,
    index: u32,
    attempt: u32,
    worker: WorkerId,
    started_ms: u64,
}

pub(crate) struct PoolState {
    /// High bits of this pool's task ids.
    number: u64,
    settings: Arc<EngineSettings>,
    params: ServiceParams,
    workers: WorkerSet,
    lending: Lending,
    jobs: SlotMap<JobId, ActiveJob>,
    queue: JobQueue,
    teams: Teams,
    placements: HashMap<TaskId, Placement>,
    deadlines: BinaryHeap<Reverse<(u64, JobId)>>,
    run_times: RunTimes,
    /// Time of the last result.
    last_done_ms: u64,
    retries: RetryBudget,
    last_placement: u64,
    stats: EngineStats,
}

impl Pool {
    pub fn new(number: u64, settings: Arc<EngineSettings>, params: ServiceParams) -> Self {
        let workers = WorkerSet::new(settings.placement.policy, settings.workers.clone());
        let state = PoolState {
            number,
            workers,
            lending: Lending::default(),
            jobs: SlotMap::with_key(),
            queue: JobQueue::default(),
            teams: Teams::default(),
            placements: HashMap::new(),
            deadlines: BinaryHeap::new(),
            run_times: RunTimes::new(params.declared_run_ms),
            last_done_ms: 0,
            retries: RetryBudget::new(settings.placement.retry_percent),
            last_placement: 0,
            stats: EngineStats::default(),
            settings,
            params,
        };
        Self {
            state: Mutex::new(state),
        }
    }

    /// Locks the pool. Lock order: a job table shard before a pool.
    pub fn lock(&self) -> MutexGuard<'_, PoolState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The number of the pool that made a task id.
    pub fn pool_number(task: TaskId) -> usize {
        (task.0 >> TASK_COUNTER_BITS) as usize
    }
}

impl PoolState {
    /// Applies the service's declaration and its workers with their shares.
    pub fn configure(
        &mut self,
        now: Now,
        params: ServiceParams,
        assignment: WorkerAssignment,
        out: &mut Vec<Command>,
    ) {
        if params.declared_run_ms != self.params.declared_run_ms {
            self.run_times.declare(params.declared_run_ms);
        }
        self.params = params;
        let run_log2 = self.run_times.mean_log2();
        self.workers.replace(now.mono_ms, run_log2, assignment);
        self.dispatch(now, out);
    }

    /// Stops new tasks, because the service is no longer declared.
    pub fn undeclare(&mut self, now: Now, out: &mut Vec<Command>) {
        let params = self.params.clone();
        self.configure(now, params, WorkerAssignment::default(), out);
    }

    /// Number of a job's tasks that are done; `None` if the job has ended.
    pub fn tasks_done(&self, job: JobId) -> Option<u32> {
        self.jobs.get(job).map(|active| active.done)
    }

    /// Cancels a job; `None` if it has ended already.
    pub fn cancel(&mut self, now: Now, job: JobId, out: &mut Vec<Command>) -> Option<EndedJob> {
        let detail = "the caller cancelled the job".to_owned();
        let ended =
            self.end_incomplete(job, JobState::Cancelled, FailureReason::Cancelled, detail)?;
        self.stats.jobs_cancelled += 1;
        self.dispatch(now, out);
        Some(ended)
    }

    /// Ends jobs whose deadline has passed and starts queued tasks.
    pub fn tick(&mut self, now: Now, out: &mut Vec<Command>) -> Vec<EndedJob> {
        let mut ended = Vec::new();
        while let Some(Reverse((deadline_ms, job))) = self.deadlines.peek().copied() {
            if deadline_ms > now.mono_ms {
                break;
            }
            self.deadlines.pop();
            let late = "the deadline passed before the last result";
            let Some(job) = self.fail(job, FailureReason::Deadline, late.to_owned()) else {
                continue;
            };
            self.stats.jobs_past_deadline += 1;
            ended.push(job);
        }
        self.clear_stale_deadlines();
        self.dispatch(now, out);
        ended
    }

    /// Bounds the heap to a multiple of the jobs, in amortised constant time.
    fn clear_stale_deadlines(&mut self) {
        if self.deadlines.len() > 2 * self.jobs.len() + STALE_DEADLINES_MAX {
            let jobs = &self.jobs;
            self.deadlines
                .retain(|Reverse((_, job))| jobs.contains_key(*job));
        }
    }

    pub fn worker_health(&self, now: Now, id: WorkerId) -> Option<WorkerHealth> {
        self.workers.health(now, self.run_times.mean_log2(), id)
    }

    pub fn service_health(&self) -> ServiceHealth {
        ServiceHealth {
            workers: self.workers.eligible_workers() as u32,
            workers_ejected: self.workers.ejected() as u32,
            slots_owned: self.workers.slots(),
        }
    }

    pub fn stats(&self) -> EngineStats {
        EngineStats {
            jobs_running: self.jobs.len() as u64,
            tasks_running: self.placements.len() as u64,
            slots_owned: self.workers.slots(),
            workers_ejected: self.workers.ejected(),
            ..self.stats
        }
    }
}
