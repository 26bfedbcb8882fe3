//! Jobs and tasks of one instance, from submission to answer.
//!
//! [`event`] defines the inputs and [`command`] the outputs. The state has two
//! kinds of shards, each with its own lock: job table shards, selected by the
//! hash of the key, and one pool with a queue and workers per service.
//! Lock order: a job table shard before a pool.

mod admission;
pub mod command;
mod ejection;
pub mod event;
pub mod failure;
pub mod health;
mod job;
mod job_table;
pub mod lending;
mod loans;
mod placement;
mod pool;
mod queue;
mod refusal;
mod registry;
mod remembered;
mod retry_budget;
mod run_times;
pub mod settings;
pub mod shares;
pub mod stats;
mod teams;
mod worker_set;

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock, RwLockReadGuard};

use trefoil_schema::resources::TeamSpec;

pub use command::{Command, JobAnswer, JobState, Refusal, RefusalReason};
pub use event::{Submission, Task, TaskId, TaskOutcome, WaiterId, WorkerId};
pub use failure::FailureReason;
pub use lending::{Recipient, SlotMessage, SlotMessageBody, WorkerSlots};
pub use remembered::{RememberedJob, RememberedJobs};
pub use settings::{EngineSettings, QueueOrder};
pub use stats::EngineStats;

use crate::config::ConfigSnapshot;
use crate::key::JobKey;
use crate::time::Now;
use crate::verdict::Verdict;
use job::EndedJob;
use job_table::{JobShard, KeyEntry, KeyState, RunningJob, Waiter};
use pool::Pool;
use registry::Registry;

/// The jobs and tasks of one instance.
///
/// Every method may be called from any thread and appends the commands for the
/// runtime to `out`.
pub struct Engine {
    settings: Arc<EngineSettings>,
    shards: Box<[Mutex<JobShard>]>,
    registry: RwLock<Registry>,
    keys: AtomicU64,
    refused: AtomicU64,
    replayed: AtomicU64,
    admission_limit_ms: AtomicU64,
    leaving: AtomicBool,
}

impl Engine {
    /// Creates an engine without declarations. It admits no job until
    /// [`Self::set_admission_limit`] is called.
    pub fn new(settings: EngineSettings) -> Self {
        let shards = (0..settings.jobs.shards.max(1))
            .map(|_| Mutex::default())
            .collect();
        Self {
            settings: Arc::new(settings),
            shards,
            registry: RwLock::default(),
            keys: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            replayed: AtomicU64::new(0),
            admission_limit_ms: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
        }
    }

    /// Admits or refuses a new job, or answers a resubmission.
    ///
    /// With `wait`, the waiter is answered when the job is final, otherwise
    /// immediately.
    pub fn submit(
        &self,
        now: Now,
        submission: Submission,
        waiter: WaiterId,
        wait: bool,
        out: &mut Vec<Command>,
    ) {
        let mut shard = self.shard(&submission.key);
        shard.raise_horizon(self.horizon_ms(now));
        if let Some(entry) = shard.get(&submission.key) {
            self.replayed.fetch_add(1, Ordering::Relaxed);
            if entry.fingerprint != submission.fingerprint {
                return self.refuse(waiter, refusal::key_reused(), out);
            }
            return attach(entry, waiter, wait, true, out);
        }
        let key = submission.key.clone();
        match self.admit(now, &mut shard, submission, out) {
            Err(refusal) => self.refuse(waiter, refusal, out),
            Ok(()) => {
                if let Some(entry) = shard.get(&key) {
                    attach(entry, waiter, wait, false, out);
                }
            }
        }
    }

    fn admit(
        &self,
        now: Now,
        shard: &mut JobShard,
        submission: Submission,
        out: &mut Vec<Command>,
    ) -> Result<(), Refusal> {
        let (pool, team) = self.check_admissible(now, shard, &submission)?;
        let key = Arc::new(submission.key.clone());
        let fingerprint = submission.fingerprint;
        let tasks_total = submission.tasks.len() as u32;
        let job = pool
            .lock()
            .admit(now, Arc::clone(&key), submission, &team, out)?;
        let running = RunningJob {
            pool,
            job,
            tasks_total,
            waiters: Vec::new(),
        };
        shard.insert_running(key, fingerprint, running);
        self.keys.fetch_add(1, Ordering::Relaxed);
        Ok(())
    }

    fn check_admissible(
        &self,
        now: Now,
        shard: &JobShard,
        submission: &Submission,
    ) -> Result<(Arc<Pool>, TeamSpec), Refusal> {
        let jobs = &self.settings.jobs;
        let key = &submission.key;
        if shard.is_expired(key) {
            return Err(refusal::key_expired());
        }
        if key.issued_ms() > now.wall_ms + jobs.key_ahead_max_ms {
            return Err(refusal::key_ahead());
        }
        if self.leaving.load(Ordering::Acquire) {
            return Err(refusal::leaving());
        }
        if key.issued_ms() > self.admission_limit_ms.load(Ordering::Acquire) {
            return Err(refusal::not_vouched(key));
        }
        if submission.tasks.is_empty() {
            return Err(refusal::malformed("a job has at least one task"));
        }
        if submission.tasks.len() > jobs.tasks_max as usize {
            return Err(refusal::too_many_tasks(jobs.tasks_max));
        }
        if self.keys.load(Ordering::Relaxed) >= jobs.keys_max {
            return Err(refusal::memory_full(key));
        }
        let registry = self.registry();
        let team = registry
            .team(&submission.team)
            .ok_or_else(|| refusal::unknown_team(&submission.team))?;
        let pool = registry
            .pool(&submission.service)
            .ok_or_else(|| refusal::unknown_service(&submission.service))?;
        Ok((Arc::clone(pool), team))
    }

    /// Answers with a job's current state or, with `wait`, its final state.
    pub fn fetch(
        &self,
        now: Now,
        key: &JobKey,
        waiter: WaiterId,
        wait: bool,
        out: &mut Vec<Command>,
    ) {
        let mut shard = self.shard(key);
        shard.raise_horizon(self.horizon_ms(now));
        if let Some(entry) = shard.get(key) {
            return attach(entry, waiter, wait, true, out);
        }
        let expired = shard.is_expired(key);
        out.push(refused(waiter, refusal::unknown_job(expired)));
    }

    /// Cancels a job; its queued tasks never start.
    pub fn cancel(&self, now: Now, key: &JobKey, waiter: WaiterId, out: &mut Vec<Command>) {
        let mut shard = self.shard(key);
        shard.raise_horizon(self.horizon_ms(now));
        let Some(entry) = shard.get(key) else {
            let expired = shard.is_expired(key);
            return out.push(refused(waiter, refusal::unknown_job(expired)));
        };
        let ended = match &entry.state {
            KeyState::Running(job) => job.pool.lock().cancel(now, job.job, out),
            KeyState::Ended(_) => None,
        };
        attach(entry, waiter, true, true, out);
        if let Some(ended) = ended {
            shard.end(ended, self.shard_results_bytes_max(), out);
        }
    }

    /// Removes a waiter whose request was dropped; the job continues.
    pub fn remove_waiter(&self, key: &JobKey, waiter: WaiterId) {
        let mut shard = self.shard(key);
        let Some(entry) = shard.get(key) else {
            return;
        };
        if let KeyState::Running(job) = &mut entry.state {
            job.waiters.retain(|known| known.id != waiter);
        }
    }

    /// Processes the outcome of a placement; outcomes of unknown placements
    /// are dropped.
    pub fn task_finished(
        &self,
        now: Now,
        task: TaskId,
        outcome: TaskOutcome,
        out: &mut Vec<Command>,
    ) {
        let Some(pool) = self
            .registry()
            .pool_by_number(Pool::pool_number(task))
            .cloned()
        else {
            return;
        };
        let ended = pool.lock().task_finished(now, task, outcome, out);
        if let Some(ended) = ended {
            self.end(ended, out);
        }
    }

    /// Ends jobs past their deadline and removes a batch of expired keys.
    pub fn tick(&self, now: Now, out: &mut Vec<Command>) {
        let pools = self.registry().pools().to_vec();
        for pool in pools {
            let ended = pool.lock().tick(now, out);
            for job in ended {
                self.end(job, out);
            }
        }
        for shard in &self.shards {
            let mut shard = lock(shard);
            shard.raise_horizon(self.horizon_ms(now));
            let removed = shard.remove_expired();
            self.keys.fetch_sub(removed as u64, Ordering::Relaxed);
        }
    }

    /// Applies the declarations in force.
    pub fn set_config(&self, now: Now, config: &ConfigSnapshot, out: &mut Vec<Command>) {
        let mut registry = self
            .registry
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        registry.set_config(&self.settings, now, config, out);
    }

    /// Sets the instances of the failure domain; `me` is this instance.
    pub fn set_domain_members(
        &self,
        now: Now,
        me: &str,
        members: &[String],
        out: &mut Vec<Command>,
    ) {
        let mut registry = self
            .registry
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        registry.set_members(&self.settings, now, me, members, out);
    }

    /// Sets the newest key issue time that may be admitted, in Unix
    /// milliseconds.
    pub fn set_admission_limit(&self, limit_ms: u64) {
        self.admission_limit_ms.store(limit_ms, Ordering::Release);
    }

    /// While set, new keys are refused; known keys are still answered.
    pub fn set_leaving(&self, leaving: bool) {
        self.leaving.store(leaving, Ordering::Release);
    }

    /// Sums the counters of all pools and shards.
    pub fn stats(&self) -> EngineStats {
        let mut stats = EngineStats {
            keys: self.keys.load(Ordering::Relaxed),
            jobs_refused: self.refused.load(Ordering::Relaxed),
            jobs_replayed: self.replayed.load(Ordering::Relaxed),
            ..EngineStats::default()
        };
        for pool in self.registry().pools() {
            stats.add(&pool.lock().stats());
        }
        stats.results_bytes = self
            .shards
            .iter()
            .map(|shard| lock(shard).results_bytes)
            .sum();
        stats
    }

    fn end(&self, ended: EndedJob, out: &mut Vec<Command>) {
        let mut shard = self.shard(&ended.key);
        shard.end(ended, self.shard_results_bytes_max(), out);
    }

    fn refuse(&self, waiter: WaiterId, refusal: Refusal, out: &mut Vec<Command>) {
        self.refused.fetch_add(1, Ordering::Relaxed);
        out.push(refused(waiter, refusal));
    }

    fn shard(&self, key: &JobKey) -> MutexGuard<'_, JobShard> {
        lock(&self.shards[key.hash() as usize % self.shards.len()])
    }

    fn registry(&self) -> RwLockReadGuard<'_, Registry> {
        self.registry.read().unwrap_or_else(PoisonError::into_inner)
    }

    fn horizon_ms(&self, now: Now) -> u64 {
        now.wall_ms.saturating_sub(self.settings.jobs.key_window_ms)
    }

    fn shard_results_bytes_max(&self) -> u64 {
        self.settings.jobs.results_bytes_max / self.shards.len() as u64
    }
}

fn lock(shard: &Mutex<JobShard>) -> MutexGuard<'_, JobShard> {
    shard.lock().unwrap_or_else(PoisonError::into_inner)
}

fn refused(waiter: WaiterId, refusal: Refusal) -> Command {
    Command::Answer {
        waiter,
        answer: JobAnswer::Refused(refusal),
    }
}

/// Answers `waiter` now if the job is final or `wait` is false, otherwise
/// registers it for the job's end.
fn attach(
    entry: &mut KeyEntry,
    waiter: WaiterId,
    wait: bool,
    replayed: bool,
    out: &mut Vec<Command>,
) {
    match &mut entry.state {
        KeyState::Ended(end) => out.push(Command::Answer {
            waiter,
            answer: end.answer(replayed),
        }),
        KeyState::Running(job) if wait => job.waiters.push(Waiter {
            id: waiter,
            replayed,
        }),
        KeyState::Running(job) => out.push(Command::Answer {
            waiter,
            answer: running_answer(job, replayed),
        }),
    }
}

fn running_answer(job: &RunningJob, replayed: bool) -> JobAnswer {
    let tasks_done = job.pool.lock().tasks_done(job.job);
    JobAnswer::Known {
        state: JobState::Running,
        verdict: Verdict::MayHaveRun,
        results: Arc::default(),
        reason: "",
        detail: String::new(),
        replayed,
        tasks_done: tasks_done.unwrap_or(job.tasks_total),
        tasks_total: job.tasks_total,
    }
}
