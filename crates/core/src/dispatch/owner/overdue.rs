//! Polling for completions, and stopping of stalled runs.
//!
//! A run that seems overdue may have completed, and the answer that listed its
//! completion may be lost. The worker is therefore polled first, and only a run that
//! it has just listed as running is stopped as stalled. A stop is repeated if the
//! run's completion is not listed in time.

use super::super::worker::{Run, RunTimeouts};
use super::*;

/// Interval at which a stop is repeated. The platform's contract grants a stop 50 ms,
/// besides the time of an answer.
const STOP_RETRY_MS: u64 = 150;
/// Maximum age of the listing on whose basis a run is treated as stalled or restarted. If it is
/// older, the worker is polled again.
pub(super) const LISTING_AGE_MAX_MS: u64 = 60;

/// While many orders stay unanswered, a worker is polled once a run has taken its
/// expected time, and again at intervals of this share of it.
const REPOLL_SHARE: f64 = 0.15;
/// Lower bound of the interval: the time of two calls.
const REPOLL_MIN_MS: u64 = 20;

/// What to do about a run.
enum OverdueAction {
    Wait,
    /// Poll its worker for its completion.
    Poll,
    Stop,
    /// Stop it, and record the stall against its worker and its task.
    Stalled(JobKey, usize),
}

/// What is known against the worker of a run that takes long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Evidence {
    /// Nothing: a run of a heavy-tailed class takes as long on any worker.
    None,
    /// It looks slow, or has failed a task since its last success.
    Doubtful,
    /// It is suspected as slow; [`slow_workers`] restarts its runs.
    Suspected,
}

impl Evidence {
    fn against(worker: &Worker) -> Self {
        if worker.health.is_on_probation() {
            Self::Doubtful
        } else if worker.slowness.is_suspected() {
            Self::Suspected
        } else if worker.slowness.looks_slow() {
            Self::Doubtful
        } else {
            Self::None
        }
    }
}

/// Decides what to do about a run of a worker that last answered at `heard_ms`.
fn overdue_action(
    run: &Run,
    now_ms: u64,
    heard_ms: u64,
    is_lossy: bool,
    evidence: Evidence,
) -> OverdueAction {
    let passed = |from_ms: u64, time_ms: u64| now_ms >= from_ms + time_ms;
    match (run.state, run.owner) {
        (RunState::Stopping { ordered_ms }, _) if passed(ordered_ms, STOP_RETRY_MS) => {
            OverdueAction::Stop
        }
        (RunState::Running, RunOwner::Orphan { stop_at_ms }) if now_ms >= stop_at_ms => {
            OverdueAction::Stop
        }
        (RunState::Running, RunOwner::Task(job, index)) => {
            let RunTimeouts {
                check_ms,
                stall_ms,
                long_stall_ms,
                heavy_tailed,
            } = run.timeouts;
            let stall_ms = match evidence {
                Evidence::Suspected => long_stall_ms,
                Evidence::None if heavy_tailed => long_stall_ms,
                Evidence::None | Evidence::Doubtful => stall_ms,
            };
            let (check_ms, is_repoll_due) = match is_lossy {
                true => (
                    check_ms.min(run.expected_ms),
                    passed(heard_ms, repoll_interval_ms(run)),
                ),
                false => (check_ms, false),
            };
            let was_polled = heard_ms >= run.ordered_ms + check_ms && !is_repoll_due;
            match (passed(run.ordered_ms, stall_ms), was_polled) {
                (true, _) if !passed(heard_ms, LISTING_AGE_MAX_MS) => {
                    OverdueAction::Stalled(job, index)
                }
                (true, _) => OverdueAction::Poll,
                (false, false) if passed(run.ordered_ms, check_ms) => OverdueAction::Poll,
                (false, _) => OverdueAction::Wait,
            }
        }
        (RunState::Starting(_) | RunState::Stopping { .. } | RunState::Running, _) => {
            OverdueAction::Wait
        }
    }
}

fn repoll_interval_ms(run: &Run) -> u64 {
    ((run.expected_ms as f64 * REPOLL_SHARE) as u64).max(REPOLL_MIN_MS)
}

impl Owner {
    /// Stops the stalled runs of a worker, and polls it for completions that are due.
    pub(super) fn stop_overdue(&mut self, now_ms: u64, key: WorkerKey, out: &mut Vec<Command>) {
        let answer_timeout_ms = self.answer_timeout.timeout_ms();
        let is_lossy = self.answer_timeout.is_lossy();
        let worker = &mut self.workers[key];
        if worker.fencing != FencingState::Fenced {
            return;
        }
        let target = target_of(key, worker);
        let evidence = Evidence::against(worker);
        let mut stalled = Vec::new();
        let mut polled_task = None;
        for run in &mut worker.runs {
            match overdue_action(run, now_ms, worker.last_heard_ms, is_lossy, evidence) {
                OverdueAction::Wait => continue,
                OverdueAction::Poll => {
                    polled_task.get_or_insert_with(|| run.task.clone());
                    continue;
                }
                OverdueAction::Stop => {}
                OverdueAction::Stalled(job, index) => stalled.push((job, index)),
            }
            let mut event = LogEvent::job("run overdue", &run.task);
            event.detail = format!("{:?} expected_ms {}", run.state, run.expected_ms);
            event.worker = worker.record.id.to_string();
            out.push(Command::Log(event));
            stop_run(now_ms, run, target.clone(), answer_timeout_ms, out);
        }
        if !stalled.is_empty() {
            worker.health.record_failure(now_ms);
        }
        if let Some(task) = polled_task {
            let mut event = LogEvent::job("polling for completion", &task);
            event.worker = worker.record.id.to_string();
            event.last_heard_ms = Some(now_ms - worker.last_heard_ms);
            out.push(Command::Log(event));
            worker.request_poll();
        }
        for (job, index) in stalled {
            if let Some(job) = self.jobs.get_mut(job) {
                job.tasks[index].stalls += 1;
            }
        }
    }
}
