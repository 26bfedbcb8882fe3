//! Which task starts where, and when.
//!
//! Jobs are tried in order of their latest start: the instant by which a job's
//! longest chain must begin to meet its objective. Jobs that have missed it
//! come after all that have not, those that have missed even the late
//! objective last. A task goes to the worker that it fits best, slow and
//! doubted ones last.

use trefoil_schema::dispatch::Phase;

use super::super::worker::{Room, Run};
use super::*;

/// Up to this multiple of the objective, an answer is late but not worthless.
const LATE_FACTOR: f64 = 3.0;
/// Weight of the room that a placement strands, against the time that it takes.
const STRANDED_WEIGHT: f64 = 0.3;
/// Cost of the worker on which the task failed before.
const AVOID_COST: f64 = 100.0;
/// Factor on run time away from the task's data; the platform's contract says
/// 1.5 to 3.
const REMOTE_FACTOR: f64 = 1.5;

/// A run is stalled once it has taken this many times what is expected ...
const STALL_FACTOR: f64 = 3.0;
/// ... and this much longer. Estimates are off by 0.4, tasks differ by 0.15.
const STALL_SLACK_MS: u64 = 150;
/// Largest doubling of the patience with a task that has stalled before.
const STALLS_MAX: u32 = 6;

/// How long a run may take before it is taken for stalled. Each stall of its
/// task doubles it: then the estimate may be wrong, and not the worker.
pub(super) fn patience_ms(expected_ms: u64, stalls: u32) -> u64 {
    let once_ms = (expected_ms as f64 * STALL_FACTOR) as u64 + STALL_SLACK_MS;
    once_ms << stalls.min(STALLS_MAX)
}

/// What a task of a phase takes.
pub(super) fn room_of(phase: &Phase) -> Room {
    Room {
        cpu_millicores: phase.cpu_millicores,
        memory_mb: phase.memory_mb,
        gpus: phase.gpus,
    }
}

/// Order in which jobs are tried: smaller first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Urgency {
    tier: u8,
    latest_start_ms: u64,
}

fn urgency(job: &Job, now_ms: u64) -> Urgency {
    let remaining_ms = job.remaining_ms();
    let due_ms = job.objective_ms(1.0);
    let late_ms = job.objective_ms(LATE_FACTOR);
    let (tier, end_ms) = if now_ms + remaining_ms <= due_ms {
        (0, due_ms)
    } else if now_ms + remaining_ms <= late_ms {
        (1, late_ms)
    } else {
        (2, late_ms)
    };
    Urgency {
        tier,
        latest_start_ms: end_ms.saturating_sub(remaining_ms),
    }
}

/// A worker that takes tasks, and the room left there.
struct Open {
    key: WorkerKey,
    free: Room,
    runs: usize,
}

impl Owner {
    /// Starts every waiting task that fits, most urgent first.
    pub(super) fn place(&mut self, now_ms: u64, out: &mut Vec<Command>) {
        let mut open = self.open_workers(now_ms);
        if open.is_empty() || self.jobs.is_empty() {
            return;
        }
        let fenced = self.all_fenced();
        let mut jobs: Vec<(Urgency, JobKey)> = self
            .jobs
            .iter()
            .filter(|(_, job)| job_waits(job, now_ms, fenced))
            .map(|(key, job)| (urgency(job, now_ms), key))
            .collect();
        jobs.sort_unstable();
        for (_, key) in jobs {
            for index in 0..self.jobs[key].tasks.len() {
                if self.task_waits(key, index, now_ms) {
                    self.place_task(now_ms, key, index, &mut open, out);
                }
            }
        }
    }

    fn open_workers(&self, now_ms: u64) -> Vec<Open> {
        let open = self.workers.iter();
        let open = open.filter(|(_, worker)| worker.is_open(now_ms));
        let open = open.map(|(key, worker)| Open {
            key,
            free: worker.free(),
            runs: worker.runs.len(),
        });
        open.filter(|open| open.free.cpu_millicores > 0).collect()
    }

    fn task_waits(&self, key: JobKey, index: usize, now_ms: u64) -> bool {
        let job = &self.jobs[key];
        let task = &job.tasks[index];
        let due =
            matches!(task.state, TaskState::Waiting { not_before_ms } if not_before_ms <= now_ms);
        due && job.phase_ready(usize::from(task.phase))
    }

    fn place_task(
        &mut self,
        now_ms: u64,
        key: JobKey,
        index: usize,
        open: &mut [Open],
        out: &mut Vec<Command>,
    ) {
        let job = &self.jobs[key];
        let task = &job.tasks[index];
        let phase = job.phase(task);
        let room = room_of(phase);
        let costs = open.iter().enumerate().filter_map(|(position, open)| {
            let cost = self.cost(open, job, index, phase, &room, now_ms)?;
            Some((cost, position))
        });
        let Some((_, position)) = costs.min_by(|left, right| left.0.total_cmp(&right.0)) else {
            return;
        };
        open[position].free = open[position].free.minus(&room);
        open[position].runs += 1;
        self.start(now_ms, key, index, open[position].key, out);
    }

    /// Cost of a task on a worker; none where it may not go.
    fn cost(
        &self,
        open: &Open,
        job: &Job,
        index: usize,
        phase: &Phase,
        room: &Room,
        now_ms: u64,
    ) -> Option<f64> {
        let worker = &self.workers[open.key];
        let label = phase.required_label.as_str();
        let allowed = open.free.fits(room)
            && *worker.record.service == *job.spec.service
            && worker.trust.admits(now_ms, open.runs)
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
        let avoided = job.tasks[index].avoid == Some(open.key);
        let avoid = if avoided { AVOID_COST } else { 0.0 };
        Some(worker.trust.slowness * distance + STRANDED_WEIGHT * stranded + avoid)
    }

    /// Tasks of the same phase that may run on a worker.
    fn count_on(&self, key: WorkerKey, job: &Job, index: usize) -> u32 {
        let phase = job.tasks[index].phase;
        let there = job.tasks.iter().filter(|task| task.phase == phase);
        there
            .filter(|task| task.state == TaskState::OnWorker(key))
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
        let Some(deadline_ms) = worker.lease(now_ms, overdue_ms) else {
            return;
        };
        self.run_seed += 1;
        let job = &mut self.jobs[key];
        job.started = true;
        let phase = job.phase(&job.tasks[index]);
        let room = room_of(phase);
        let expected_ms = (phase.estimate_ms as f64 * worker.trust.slowness) as u64;
        let task = &mut job.tasks[index];
        task.run_id = self.run_seed.max(task.run_id + 1);
        task.state = TaskState::OnWorker(worker_key);
        worker.runs.push(Run {
            task: task.name.clone(),
            run_id: task.run_id,
            owner: RunOwner::Task(key, index),
            state: RunState::Starting(worker.fence),
            room: Some(room),
            ordered_ms: now_ms,
            confirmed_ms: now_ms,
            expected_ms,
            patience_ms: patience_ms(expected_ms, task.stalls),
        });
        out.push(Command::Start(StartOrder {
            target: target_of(worker_key, worker),
            task: task.name.clone(),
            run_id: task.run_id,
            spec: job.task_spec.clone(),
            deadline_ms,
        }));
    }
}

/// Whether any task of a job may be started now.
fn job_waits(job: &Job, now_ms: u64, fenced: bool) -> bool {
    let safe = now_ms >= job.unsafe_until_ms || (job.fencing_clears && fenced);
    let waiting = |task: &super::super::job::Task| matches!(task.state, TaskState::Waiting { .. });
    safe && !job.stopping && job.tasks.iter().any(waiting)
}
