//! Start of a run: its order, its lease and its timeouts.

use super::super::super::limits::START_LEASE_MS;
use super::super::super::worker::{Run, RunTimeouts};
use super::super::slow_workers::STALL_FACTOR;
use super::super::*;
use super::resources_of;

/// A run is stalled after this multiple of its expected time, plus [`STALL_SLACK_MS`],
/// unless its class is heavy-tailed or its worker is suspected as slow.
const REGULAR_STALL_FACTOR: f64 = 3.0;
/// Added to the stall timeouts. Estimates are off by 0.4, and tasks of a job differ by 0.15.
const STALL_SLACK_MS: u64 = 150;
/// A worker is polled for a run's completion after this multiple of the run's expected
/// time, plus [`CHECK_SLACK_MS`].
const CHECK_FACTOR: f64 = 1.6;
/// Nine in ten runs have ended and reported it by then.
const CHECK_SLACK_MS: u64 = 50;
/// Bound on the doublings of the stall timeout.
const STALL_DOUBLINGS_MAX: u32 = 6;

/// Timeouts of a run. Each earlier stall of its task doubles the stall timeout, since
/// the estimate may be wrong.
pub(in super::super) fn run_timeouts(
    expected_ms: u64,
    stalls: u32,
    heavy_tailed: bool,
) -> RunTimeouts {
    let times = |factor: f64| (expected_ms as f64 * factor) as u64;
    let stall_ms = |factor| (times(factor) + STALL_SLACK_MS) << stalls.min(STALL_DOUBLINGS_MAX);
    RunTimeouts {
        check_ms: times(CHECK_FACTOR) + CHECK_SLACK_MS,
        stall_ms: stall_ms(REGULAR_STALL_FACTOR),
        long_stall_ms: stall_ms(STALL_FACTOR),
        heavy_tailed,
    }
}

impl Owner {
    /// Orders the start of a task on a worker, unless its lease cannot be extended.
    pub(super) fn start(
        &mut self,
        now_ms: u64,
        key: JobKey,
        index: usize,
        worker_key: WorkerKey,
        out: &mut Vec<Command>,
    ) {
        let overdue_ms = self.origin_overdue_ms(now_ms, self.jobs[key].origin);
        let overdue_ms = overdue_ms.max(self.max_origin_overdue_ms(now_ms, worker_key));
        let worker = &mut self.workers[worker_key];
        let Some(deadline_ms) = worker.extend_lease(now_ms, START_LEASE_MS, overdue_ms) else {
            return;
        };
        self.run_id_counter += 1;
        let job = &mut self.jobs[key];
        job.started = true;
        let phase = job.phase(&job.tasks[index]);
        let resources = resources_of(phase);
        let estimate_ms = phase.estimate_ms;
        let expected_ms = worker.expected_ms(estimate_ms);
        // The estimate may be far too low; the timeouts also allow for the class's mean.
        let mean_ms = self.run_times.mean_ms(&job.spec.class);
        let heavy_tailed = self.run_times.is_heavy_tailed(&job.spec.class);
        let mean_ms = mean_ms.map_or(0, |mean_ms| worker.expected_ms(mean_ms as u64));
        let task = &mut job.tasks[index];
        task.run_id = self.run_id_counter.max(task.run_id + 1);
        task.state = TaskState::Assigned(worker_key);
        worker.runs.push(Run {
            task: task.name.clone(),
            run_id: task.run_id,
            owner: RunOwner::Task(key, index),
            state: RunState::Starting(worker.fence),
            resources: Some(resources),
            ordered_ms: now_ms,
            confirmed_ms: now_ms,
            estimate_ms,
            expected_ms,
            timeouts: run_timeouts(expected_ms.max(mean_ms), task.stalls, heavy_tailed),
        });
        worker.slowness.record_start(&task.name, task.run_id);
        out.push(Command::Start(StartOrder {
            target: target_of(worker_key, worker),
            task: task.name.clone(),
            run_id: task.run_id,
            spec: job.task_spec.clone(),
            deadline_ms,
            answer_timeout_ms: self.answer_timeout.timeout_ms(),
        }));
    }
}
