//! Which task starts where.
//!
//! Jobs are tried in the queue's order. A task goes to the worker that it fits
//! best, slow ones last; workers in doubt are not among them.

use trefoil_schema::dispatch::Phase;

use super::super::limits::START_LEASE_MS;
use super::super::worker::{Resources, Run, RunTimeouts};
use super::shares::Shares;
use super::*;

/// Weight of the room that a placement strands, against the time that it takes.
const STRANDED_WEIGHT: f64 = 0.3;
/// Cost of a worker on which a task of the job failed before.
const AVOID_COST: f64 = 100.0;
/// Cost of starting a suspect task beside others, or another task beside it.
const SUSPECT_COST: f64 = 10.0;
/// Factor on run time away from the task's data; the platform's contract says
/// 1.5 to 3.
const REMOTE_FACTOR: f64 = 1.5;

/// A run is stalled once it has taken this many times what is expected ...
const STALL_FACTOR: f64 = 3.0;
/// ... and this much longer. Estimates are off by 0.4, tasks differ by 0.15.
const STALL_SLACK_MS: u64 = 150;
/// A run's end is asked for once it has taken this many times what is expected
/// ...
const CHECK_FACTOR: f64 = 1.6;
/// ... and this much longer: nine in ten have ended and told it by then.
const CHECK_SLACK_MS: u64 = 50;
/// Largest doubling of the patience with a task that has stalled before.
const STALLS_MAX: u32 = 6;

/// How long a run may take. Each stall of its task doubles the time after which
/// it is taken for stalled: then the estimate may be wrong, and not the worker.
pub(super) fn patience(expected_ms: u64, stalls: u32) -> RunTimeouts {
    let times = |factor: f64| (expected_ms as f64 * factor) as u64;
    let once_ms = times(STALL_FACTOR) + STALL_SLACK_MS;
    RunTimeouts {
        check_ms: times(CHECK_FACTOR) + CHECK_SLACK_MS,
        stall_ms: once_ms << stalls.min(STALLS_MAX),
    }
}

/// What a task of a phase takes.
pub(super) fn room_of(phase: &Phase) -> Resources {
    Resources {
        cpu_millicores: phase.cpu_millicores,
        memory_mb: phase.memory_mb,
        gpus: phase.gpus,
    }
}

/// A worker that takes tasks, and the room left there.
pub(super) struct Open {
    pub(super) key: WorkerKey,
    pub(super) free: Resources,
    runs: usize,
    /// Whether a suspect task is among them.
    has_suspect: bool,
}

impl Owner {
    /// Starts every waiting task that fits, most urgent first.
    pub(super) fn place(&mut self, now_ms: u64, out: &mut Vec<Command>) {
        if self.queue.is_due(now_ms) {
            let fenced = self.all_fenced();
            let shares = self.shares();
            self.queue.refresh(&self.jobs, &shares, now_ms, fenced);
        }
        let mut open = self.open_workers(now_ms);
        if self.queue.none_fits(widest(&open)) {
            return;
        }
        let queue = std::mem::take(&mut self.queue);
        let mut begun = 0;
        for key in queue.jobs() {
            begun += u32::from(self.place_job(now_ms, key, &mut open, out));
            self.reserve(now_ms, key, &mut open);
            if queue.none_fits(widest(&open)) {
                break;
            }
        }
        self.queue = queue;
        if begun > 0 {
            self.queue.age();
        }
    }

    /// Puts a job that has just come into the queue.
    pub(super) fn enqueue(&mut self, now_ms: u64, key: JobKey) {
        let fenced = self.all_fenced();
        let shares = self.shares();
        let job = &self.jobs[key];
        self.queue.insert(key, job, &shares, now_ms, fenced);
    }

    /// Room in use by the classes that have jobs.
    pub(super) fn shares(&self) -> Shares {
        let mut shares = Shares::default();
        for job in self.jobs.values().filter(|job| !job.stopping) {
            shares.uses(&job.spec.class, 0);
        }
        for run in self.workers.values().flat_map(|worker| &worker.runs) {
            if let (RunOwner::Task(key, _), Some(room)) = (run.owner, run.resources)
                && let Some(job) = self.jobs.get(key)
            {
                shares.uses(&job.spec.class, room.cpu_millicores);
            }
        }
        shares
    }

    /// Starts the waiting tasks of a job that fit; whether it began with that.
    fn place_job(
        &mut self,
        now_ms: u64,
        key: JobKey,
        open: &mut [Open],
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
        // Tasks of one phase take the same: where one does not fit, none does.
        let mut full_phase = None;
        for index in 0..tasks {
            let phase = Some(self.jobs[key].tasks[index].phase);
            if phase == full_phase || !self.task_waits(key, index, now_ms) {
                continue;
            }
            if !self.place_task(now_ms, key, index, open, out) {
                full_phase = phase;
            }
        }
        self.jobs[key].started && !had_begun
    }

    fn open_workers(&self, now_ms: u64) -> Vec<Open> {
        let open = self.workers.iter();
        let open = open.filter(|(_, worker)| worker.accepts_tasks(now_ms));
        let open = open.map(|(key, worker)| Open {
            key,
            free: worker.free_resources(),
            runs: worker.runs.len(),
            has_suspect: self.has_suspect(worker),
        });
        let some_fits = |open: &Open| !self.queue.none_fits(open.free.cpu_millicores);
        open.filter(some_fits).collect()
    }

    fn task_waits(&self, key: JobKey, index: usize, now_ms: u64) -> bool {
        let job = &self.jobs[key];
        let task = &job.tasks[index];
        let due =
            matches!(task.state, TaskState::Waiting { not_before_ms } if not_before_ms <= now_ms);
        // One run at a time shows whether it can be done at all.
        let held =
            job.is_suspect() && (job.probe_task() != Some(index) || job.has_assigned_tasks());
        due && !held && job.is_phase_ready(usize::from(task.phase))
    }

    /// Starts a task where it costs least; false where it fits nowhere.
    fn place_task(
        &mut self,
        now_ms: u64,
        key: JobKey,
        index: usize,
        open: &mut [Open],
        out: &mut Vec<Command>,
    ) -> bool {
        let job = &self.jobs[key];
        let task = &job.tasks[index];
        let phase = job.phase(task);
        let room = room_of(phase);
        let is_suspect = task.is_suspect();
        let costs = open.iter().enumerate().filter_map(|(position, open)| {
            let cost = self.cost(open, job, index, phase, &room, now_ms)?;
            Some((cost, position))
        });
        let Some((_, position)) = costs.min_by(|left, right| left.0.total_cmp(&right.0)) else {
            return false;
        };
        open[position].free = open[position].free.minus(&room);
        open[position].runs += 1;
        open[position].has_suspect |= is_suspect;
        self.start(now_ms, key, index, open[position].key, out);
        true
    }

    /// Cost of a task on a worker; none where it may not go.
    fn cost(
        &self,
        open: &Open,
        job: &Job,
        index: usize,
        phase: &Phase,
        room: &Resources,
        now_ms: u64,
    ) -> Option<f64> {
        let worker = &self.workers[open.key];
        let label = phase.required_label.as_str();
        let is_suspect = job.tasks[index].is_suspect();
        let allowed = open.free.fits(room)
            && !(is_suspect && open.has_suspect)
            && *worker.record.service == *job.spec.service
            && worker.health.allows_task(now_ms, open.runs)
            && (label.is_empty() || worker.record.labels.contains(label))
            && (phase.per_worker_max == 0
                || self.count_on(open.key, job, index) < phase.per_worker_max);
        if !allowed {
            return None;
        }
        let rack = phase.data_rack.as_str();
        let remote = !rack.is_empty() && !worker.record.labels.contains(rack);
        let distance = if remote { REMOTE_FACTOR } else { 1.0 };
        let left = open.free.minus(room).cpu_millicores as f64;
        let stranded = left / worker.record.capacity.cpu_millicores.max(1) as f64;
        let avoided = job.failed_on.contains(&open.key);
        let avoid = if avoided { AVOID_COST } else { 0.0 };
        let shares = open.has_suspect || (is_suspect && open.runs > 0);
        let risk = if shares { SUSPECT_COST } else { 0.0 };
        Some(worker.health.slowdown * distance + STRANDED_WEIGHT * stranded + avoid + risk)
    }

    /// Tasks of the same phase that may run on a worker.
    fn count_on(&self, key: WorkerKey, job: &Job, index: usize) -> u32 {
        let phase = job.tasks[index].phase;
        let there = job.tasks.iter().filter(|task| task.phase == phase);
        there
            .filter(|task| task.state == TaskState::Assigned(key))
            .count() as u32
    }

    fn start(
        &mut self,
        now_ms: u64,
        key: JobKey,
        index: usize,
        worker_key: WorkerKey,
        out: &mut Vec<Command>,
    ) {
        let overdue_ms = self.overdue_ms(now_ms, self.jobs[key].origin);
        let overdue_ms = overdue_ms.max(self.overdue_on(now_ms, worker_key));
        let worker = &mut self.workers[worker_key];
        let Some(deadline_ms) = worker.extend_lease(now_ms, START_LEASE_MS, overdue_ms) else {
            return;
        };
        self.run_seed += 1;
        let job = &mut self.jobs[key];
        job.started = true;
        let phase = job.phase(&job.tasks[index]);
        let room = room_of(phase);
        let estimate_ms = phase.estimate_ms;
        let expected_ms = (estimate_ms as f64 * worker.health.slowdown) as u64;
        // A caller's estimate may be far too low for its class.
        let mean_ms = self.run_times.mean_ms(&job.spec.class);
        let mean_ms = mean_ms.map_or(0, |mean_ms| (mean_ms * worker.health.slowdown) as u64);
        let task = &mut job.tasks[index];
        task.run_id = self.run_seed.max(task.run_id + 1);
        task.state = TaskState::Assigned(worker_key);
        worker.runs.push(Run {
            task: task.name.clone(),
            run_id: task.run_id,
            owner: RunOwner::Task(key, index),
            state: RunState::Starting(worker.fence),
            resources: Some(room),
            ordered_ms: now_ms,
            confirmed_ms: now_ms,
            estimate_ms,
            expected_ms,
            timeouts: patience(expected_ms.max(mean_ms), task.stalls),
        });
        out.push(Command::Start(StartOrder {
            target: target_of(worker_key, worker),
            task: task.name.clone(),
            run_id: task.run_id,
            spec: job.task_spec.clone(),
            deadline_ms,
            answer_timeout_ms: self.answer_times.limit_ms(),
        }));
    }
}

/// The largest free processor share of a worker.
fn widest(open: &[Open]) -> u64 {
    let free = open.iter().map(|open| open.free.cpu_millicores);
    free.max().unwrap_or(0)
}
