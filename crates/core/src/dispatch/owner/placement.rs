//! Placement of waiting tasks on workers.
//!
//! Jobs that have begun are tried first, in queue order. While several jobs wait, those
//! whose tasks all fit without stranding CPU come next ([`packing`]), then the others. A
//! task goes to the worker where it costs least, by expected run time and fragmentation.
//! Workers on probation get one task at a time.
//!
//! Workers on which the job would miss its objective cost more. If the cheapest worker is
//! such a worker, or away from the task's data, the task may wait for a busy worker
//! ([`waiting`]).
//!
//! [`packing`]: super::packing

mod start;
mod waiting;

use trefoil_schema::dispatch::Phase;

use super::super::job::ReadyPhases;
use super::super::limits::{RUNS_PER_WORKER_MAX, STARTS_IN_FLIGHT_MAX};
use super::super::worker::{Resources, Run};
use super::packing::Packing;
use super::queue::{Lateness, Queue, lateness};
use super::shares::Shares;
use super::*;
pub(super) use start::run_timeouts;
pub use waiting::{Prospect, should_wait};

/// Weight of the CPU share that a placement leaves unused, relative to run time.
const FRAGMENTATION_WEIGHT: f64 = 0.3;
/// Cost of a worker on which the job would miss its objective.
const LATE_COST: f64 = 3.0;
/// Cost of a worker on which a task of the job failed before.
const PRIOR_FAILURE_COST: f64 = 100.0;
/// Cost of starting a suspect task beside others, or another task beside it.
const SUSPECT_COLOCATION_COST: f64 = 10.0;
/// Bound on the waiting jobs for which a packed placement is tried in one event, so that
/// a long queue costs an owner of a tenth of a core little.
const PACKED_JOBS_MAX: usize = 60;

/// Resources that a task of a phase requests.
pub(super) fn resources_of(phase: &Phase) -> Resources {
    Resources {
        cpu_millicores: phase.cpu_millicores,
        memory_mb: phase.memory_mb,
        gpus: phase.gpus,
    }
}

/// A worker that accepts tasks, with the tasks placed so far taken into account.
#[derive(Clone, Copy)]
pub(super) struct Candidate {
    pub(super) key: WorkerKey,
    pub(super) free: Resources,
    runs: usize,
    /// Number of starts that are not answered yet.
    starting: usize,
    /// Highest number of losses of a suspect task there; 0 if there is none.
    pub(super) suspect_losses: usize,
}

impl Candidate {
    /// Whether another start may be ordered there now.
    fn accepts_start(&self) -> bool {
        self.starting < STARTS_IN_FLIGHT_MAX && self.runs < RUNS_PER_WORKER_MAX
    }
}

/// Properties of a job that all its tasks share while they are placed.
pub(super) struct JobOutlook {
    ready_phases: ReadyPhases,
    /// Estimated time of the critical path through the unfinished tasks.
    pub(super) remaining_ms: u64,
    pub(super) objective_ms: u64,
}

impl JobOutlook {
    fn new(job: &Job) -> Self {
        Self {
            ready_phases: job.ready_phases(),
            remaining_ms: job.remaining_ms(),
            objective_ms: job.objective_ms(1.0),
        }
    }
}

/// Counters of placement since the owner was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlacementStats {
    /// Times that a task was held back for a faster worker.
    pub waited_for_faster: u64,
    /// Times that a task was held back for a worker near its data.
    pub waited_for_rack: u64,
    /// Speeds by label that other owners reported and that were ignored as implausible.
    pub kinds_ignored: u64,
}

impl PlacementStats {
    /// The sum.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            waited_for_faster: self.waited_for_faster + other.waited_for_faster,
            waited_for_rack: self.waited_for_rack + other.waited_for_rack,
            kinds_ignored: self.kinds_ignored + other.kinds_ignored,
        }
    }
}

/// Where a task was planned to start, and the candidate as it was before.
struct PlannedStart {
    index: usize,
    position: usize,
    before: Candidate,
}

impl Owner {
    /// Starts every waiting task that fits, in queue order.
    pub(super) fn place(&mut self, now_ms: u64, out: &mut Vec<Command>) {
        if self.queue.is_sort_due(now_ms) {
            let fenced = self.predecessor_fenced();
            let shares = self.shares();
            self.queue.sort(&self.jobs, &shares, now_ms, fenced);
        }
        let mut candidates = self.candidates(now_ms);
        if nothing_fits(&self.queue, &candidates) {
            return;
        }
        let queue = std::mem::take(&mut self.queue);
        let mut begun = 0;
        let mut claimed = Vec::new();
        let is_started = |owner: &Self, key| owner.jobs.get(key).is_some_and(|job| job.started);
        let (started, unstarted): (Vec<JobKey>, Vec<JobKey>) =
            queue.jobs().partition(|&key| is_started(self, key));
        for &key in &started {
            self.place_job(now_ms, key, &mut candidates, &mut claimed, out);
            self.reserve(now_ms, key, &mut candidates);
            if nothing_fits(&queue, &candidates) {
                break;
            }
        }
        // A single job does not compete for capacity and gets the fastest workers.
        if unstarted.len() > 1 {
            let packing = queue.packing();
            for &key in unstarted.iter().take(PACKED_JOBS_MAX) {
                if nothing_fits(&queue, &candidates) {
                    break;
                }
                begun += u32::from(self.place_packed(now_ms, key, packing, &mut candidates, out));
            }
        }
        for &key in &unstarted {
            if nothing_fits(&queue, &candidates) {
                break;
            }
            begun += u32::from(self.place_job(now_ms, key, &mut candidates, &mut claimed, out));
            self.reserve(now_ms, key, &mut candidates);
        }
        self.queue = queue;
        if begun > 0 {
            self.queue.mark_unsorted();
        }
    }

    /// Inserts a new job into the queue.
    pub(super) fn enqueue(&mut self, now_ms: u64, key: JobKey) {
        let fenced = self.predecessor_fenced();
        let shares = self.shares();
        let job = &self.jobs[key];
        self.queue.insert(key, job, &shares, now_ms, fenced);
    }

    /// CPU in use by each class that has jobs.
    pub(super) fn shares(&self) -> Shares {
        let mut shares = Shares::default();
        for job in self.jobs.values().filter(|job| !job.stopping) {
            shares.record_usage(&job.spec.class, 0);
        }
        for run in self.workers.values().flat_map(|worker| &worker.runs) {
            if let (RunOwner::Task(key, _), Some(resources)) = (run.owner, run.resources)
                && let Some(job) = self.jobs.get(key)
            {
                shares.record_usage(&job.spec.class, resources.cpu_millicores);
            }
        }
        shares
    }

    /// Starts the waiting tasks of a job that fit. Returns whether the job has begun
    /// with one of them.
    fn place_job(
        &mut self,
        now_ms: u64,
        key: JobKey,
        candidates: &mut [Candidate],
        claimed: &mut Vec<WorkerKey>,
        out: &mut Vec<Command>,
    ) -> bool {
        let Some(job) = self.jobs.get(key) else {
            return false;
        };
        let had_begun = job.started;
        if !self.may_start(now_ms, had_begun) {
            return false;
        }
        let tasks = job.tasks.len();
        let outlook = JobOutlook::new(job);
        // All tasks of a phase request the same: if one does not fit, none does.
        let mut full_phase = None;
        for index in 0..tasks {
            let phase = Some(self.jobs[key].tasks[index].phase);
            if phase == full_phase || !self.can_start_task(key, index, &outlook, now_ms) {
                continue;
            }
            if !self.place_task(now_ms, key, index, &outlook, candidates, claimed, out) {
                full_phase = phase;
            }
        }
        self.jobs[key].started && !had_begun
    }

    fn candidates(&self, now_ms: u64) -> Vec<Candidate> {
        let workers = self.workers.iter();
        let workers = workers.filter(|(_, worker)| worker.accepts_tasks(now_ms));
        let candidates = workers.map(|(key, worker)| Candidate {
            key,
            free: worker.free_resources(),
            runs: worker.runs.len(),
            starting: worker.starting_runs(),
            suspect_losses: self.suspect_losses(worker),
        });
        let some_fits =
            |candidate: &Candidate| !self.queue.none_fits(candidate.free.cpu_millicores);
        candidates.filter(some_fits).collect()
    }

    fn can_start_task(&self, key: JobKey, index: usize, outlook: &JobOutlook, now_ms: u64) -> bool {
        let job = &self.jobs[key];
        let task = &job.tasks[index];
        let due =
            matches!(task.state, TaskState::Waiting { not_before_ms } if not_before_ms <= now_ms);
        // Runs one task of a suspect job at a time, to see whether it can succeed.
        let is_held_back =
            job.is_suspect() && (job.probe_task() != Some(index) || job.has_assigned_tasks());
        due && !poison_tasks::has_lost_too_often(task)
            && !is_held_back
            && outlook.ready_phases.contains(task.phase)
    }

    /// Starts a task where it costs least. Returns false if it fits nowhere.
    #[expect(clippy::too_many_arguments, reason = "the state of one placement")]
    fn place_task(
        &mut self,
        now_ms: u64,
        key: JobKey,
        index: usize,
        outlook: &JobOutlook,
        candidates: &mut [Candidate],
        claimed: &mut Vec<WorkerKey>,
        out: &mut Vec<Command>,
    ) -> bool {
        let Some(position) = self.cheapest(now_ms, key, index, outlook, candidates, None, &[])
        else {
            return false;
        };
        if self.awaits_suspects(now_ms, key, index, &candidates[position]) {
            return false;
        }
        if let Some(awaited) =
            self.awaited_worker(now_ms, key, index, outlook, &candidates[position], claimed)
        {
            claimed.push(awaited);
            return false;
        }
        self.occupy(key, index, &mut candidates[position]);
        self.start(now_ms, key, index, candidates[position].key, out);
        true
    }

    /// Starts all tasks of a job that has not begun, if all of them fit now without
    /// stranding CPU and the job can still end in time. Returns whether it has begun.
    fn place_packed(
        &mut self,
        now_ms: u64,
        key: JobKey,
        packing: Packing,
        candidates: &mut [Candidate],
        out: &mut Vec<Command>,
    ) -> bool {
        let Some(job) = self.jobs.get(key) else {
            return false;
        };
        if job.started
            || job.is_suspect()
            || lateness(job, now_ms) != Lateness::InTime
            || !self.may_start(now_ms, false)
        {
            return false;
        }
        let outlook = JobOutlook::new(job);
        let mut planned: Vec<PlannedStart> = Vec::new();
        for index in 0..job.tasks.len() {
            let task = &job.tasks[index];
            if !outlook.ready_phases.contains(task.phase) {
                continue;
            }
            let position = self
                .can_start_task(key, index, &outlook, now_ms)
                .then(|| {
                    let packing = Some(packing);
                    self.cheapest(now_ms, key, index, &outlook, candidates, packing, &planned)
                })
                .flatten();
            let Some(position) = position else {
                for start in planned.iter().rev() {
                    candidates[start.position] = start.before;
                }
                return false;
            };
            planned.push(PlannedStart {
                index,
                position,
                before: candidates[position],
            });
            self.occupy(key, index, &mut candidates[position]);
        }
        for start in &planned {
            self.start(
                now_ms,
                key,
                start.index,
                candidates[start.position].key,
                out,
            );
        }
        self.jobs[key].started
    }

    /// Factor on the run time of a task by where its data is.
    pub(super) fn distance(&self, is_remote: bool) -> f64 {
        match is_remote {
            true => self.settings.remote_penalty,
            false => 1.0,
        }
    }

    fn occupy(&self, key: JobKey, index: usize, candidate: &mut Candidate) {
        let job = &self.jobs[key];
        let task = &job.tasks[index];
        candidate.free = candidate.free.minus(&resources_of(job.phase(task)));
        candidate.runs += 1;
        candidate.starting += 1;
        candidate.suspect_losses = candidate.suspect_losses.max(task.suspect_losses());
    }

    /// Position of the candidate on which a task costs least; with `packing`, only among
    /// those on which it strands no CPU and the job ends in time, near its data and not beside a
    /// suspect task.
    #[expect(clippy::too_many_arguments, reason = "the state of one placement")]
    fn cheapest(
        &self,
        now_ms: u64,
        key: JobKey,
        index: usize,
        outlook: &JobOutlook,
        candidates: &[Candidate],
        packing: Option<Packing>,
        planned: &[PlannedStart],
    ) -> Option<usize> {
        let job = &self.jobs[key];
        let task = &job.tasks[index];
        let phase = job.phase(task);
        let resources = resources_of(phase);
        let is_planned = |start: &&PlannedStart, position: usize| {
            start.position == position && job.tasks[start.index].phase == task.phase
        };
        let (remaining_ms, objective_ms) = (outlook.remaining_ms, outlook.objective_ms);
        let mut best: Option<(f64, usize)> = None;
        for (position, candidate) in candidates.iter().enumerate() {
            if !candidate.accepts_start() || !candidate.free.fits(&resources) {
                continue;
            }
            let capacity = self.workers[candidate.key].record.capacity;
            let left = candidate.free.minus(&resources).cpu_millicores;
            let worker = &self.workers[candidate.key];
            let is_packed = |packing: Packing| {
                !packing.strands(left, capacity.cpu_millicores)
                    && !worker.is_remote(phase)
                    && candidate.suspect_losses == 0
                    && now_ms + worker.expected_ms(remaining_ms) <= objective_ms
            };
            if !packing.is_none_or(is_packed) {
                continue;
            }
            let planned_here = match phase.per_worker_max {
                0 => 0,
                _ => planned
                    .iter()
                    .filter(|start| is_planned(start, position))
                    .count(),
            };
            let cost = self.cost(
                candidate,
                (key, job),
                index,
                outlook,
                phase,
                &resources,
                planned_here as u32,
                now_ms,
            );
            let Some(cost) = cost else {
                continue;
            };
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, position));
            }
        }
        best.map(|(_, position)| position)
    }

    /// Cost of a task on a worker where it fits; `None` if it must not start there.
    /// `planned_here` is the number of tasks of its phase that are about to start there.
    #[expect(clippy::too_many_arguments, reason = "all are inputs of one formula")]
    fn cost(
        &self,
        candidate: &Candidate,
        (key, job): (JobKey, &Job),
        index: usize,
        outlook: &JobOutlook,
        phase: &Phase,
        resources: &Resources,
        planned_here: u32,
        now_ms: u64,
    ) -> Option<f64> {
        let worker = &self.workers[candidate.key];
        let is_suspect = job.tasks[index].is_suspect();
        let allowed = !(is_suspect && candidate.suspect_losses > 0)
            && worker.can_run(&job.spec.service, phase)
            && worker.health.allows_task(now_ms, candidate.runs)
            && (phase.per_worker_max == 0
                || count_assigned(worker, key, job, index) + planned_here < phase.per_worker_max);
        if !allowed {
            return None;
        }
        let factor = worker.run_time_factor() * self.distance(worker.is_remote(phase));
        let end_ms = now_ms + (outlook.remaining_ms as f64 * factor) as u64;
        let late_cost = match end_ms <= outlook.objective_ms {
            true => 0.0,
            false => LATE_COST,
        };
        let left = candidate.free.minus(resources).cpu_millicores as f64;
        let unused_share = left / worker.record.capacity.cpu_millicores.max(1) as f64;
        let slowness_cost = worker
            .slowness
            .cost(now_ms, &job.tasks[index], phase.estimate_ms)?;
        let has_failed = job.failed_on.contains(&candidate.key);
        let failure_cost = if has_failed { PRIOR_FAILURE_COST } else { 0.0 };
        // If all workers have a suspect task, the one with the fewest losses is the least likely
        // to be a poison task.
        let suspects = candidate
            .suspect_losses
            .max(usize::from(is_suspect && candidate.runs > 0));
        let suspect_cost = SUSPECT_COLOCATION_COST * suspects as f64;
        Some(
            factor
                + late_cost
                + FRAGMENTATION_WEIGHT * unused_share
                + failure_cost
                + suspect_cost
                + slowness_cost,
        )
    }
}

/// Number of tasks of the same phase that are assigned to a worker.
fn count_assigned(worker: &Worker, key: JobKey, job: &Job, index: usize) -> u32 {
    let phase = job.tasks[index].phase;
    let is_same_phase = |run: &&Run| match run.owner {
        RunOwner::Task(owner, index) => owner == key && job.tasks[index].phase == phase,
        RunOwner::Orphan { .. } => false,
    };
    worker.runs.iter().filter(is_same_phase).count() as u32
}

/// Whether no start of a waiting task can be ordered.
fn nothing_fits(queue: &Queue, candidates: &[Candidate]) -> bool {
    let accepting = candidates
        .iter()
        .filter(|candidate| candidate.accepts_start());
    let free = accepting.map(|candidate| candidate.free.cpu_millicores);
    free.max().is_none_or(|free| queue.none_fits(free))
}
