//! Runs that take longer than they should.
//!
//! A run that should have ended may have: the answer that told its end may be
//! lost. So its worker is asked first, and only a run that the worker has just
//! listed as running is taken for stalled and stopped. Stops whose end is not
//! listed are ordered again.

use super::super::worker::{Run, RunTimeouts};
use super::*;

/// A stop whose end is not listed by then is ordered again: the contract
/// grants a stop 50, and an answer takes a few.
const STOP_AGAIN_MS: u64 = 150;
/// What a worker said of its runs holds for so long when one is about to be
/// taken for stalled; it is asked again otherwise.
const HEARD_FRESH_MS: u64 = 60;

/// While many orders stay unanswered, a worker is polled once a run has taken its
/// expected time, and again after this share of it ...
const AGAIN_SHARE: f64 = 0.15;
/// ... or this time, if that is longer: two calls fit into it.
const AGAIN_MIN_MS: u64 = 20;

/// What is to be done about a run.
enum Due {
    Nothing,
    /// Its worker is asked what became of it.
    Ask,
    /// It is stopped.
    Stop,
    /// It is stopped, and its worker and its task are remembered for it.
    Stalled(JobKey, usize),
}

/// What the passing of time asks for; the worker last spoke at `heard_ms`.
/// `is_lossy` tells whether many orders get no answer.
fn due(run: &Run, now_ms: u64, heard_ms: u64, is_lossy: bool) -> Due {
    let passed = |from_ms: u64, time_ms: u64| now_ms >= from_ms + time_ms;
    match (run.state, run.owner) {
        (RunState::Stopping { ordered_ms }, _) if passed(ordered_ms, STOP_AGAIN_MS) => Due::Stop,
        (RunState::Running, RunOwner::Orphan { stop_at_ms }) if now_ms >= stop_at_ms => Due::Stop,
        (RunState::Running, RunOwner::Task(job, index)) => {
            let RunTimeouts { check_ms, stall_ms } = run.timeouts;
            let (check_ms, again) = match is_lossy {
                true => (
                    check_ms.min(run.expected_ms),
                    passed(heard_ms, again_ms(run)),
                ),
                false => (check_ms, false),
            };
            let checked = heard_ms >= run.ordered_ms + check_ms && !again;
            match (passed(run.ordered_ms, stall_ms), checked) {
                (true, _) if !passed(heard_ms, HEARD_FRESH_MS) => Due::Stalled(job, index),
                (true, _) => Due::Ask,
                (false, false) if passed(run.ordered_ms, check_ms) => Due::Ask,
                (false, _) => Due::Nothing,
            }
        }
        (RunState::Starting(_) | RunState::Stopping { .. } | RunState::Running, _) => Due::Nothing,
    }
}

fn again_ms(run: &Run) -> u64 {
    ((run.expected_ms as f64 * AGAIN_SHARE) as u64).max(AGAIN_MIN_MS)
}

impl Owner {
    /// Stops a worker's runs that have taken too long, and asks for their ends.
    pub(super) fn stop_overdue(&mut self, now_ms: u64, key: WorkerKey, out: &mut Vec<Command>) {
        let answer_ms = self.answer_times.limit_ms();
        let is_lossy = self.answer_times.is_lossy();
        let worker = &mut self.workers[key];
        if worker.fencing != FencingState::Fenced {
            return;
        }
        let target = target_of(key, worker);
        let mut stalled = Vec::new();
        let mut asked_for = None;
        for run in &mut worker.runs {
            match due(run, now_ms, worker.last_heard_ms, is_lossy) {
                Due::Nothing => continue,
                Due::Ask => {
                    asked_for.get_or_insert_with(|| run.task.clone());
                    continue;
                }
                Due::Stop => {}
                Due::Stalled(job, index) => stalled.push((job, index)),
            }
            let mut note = LogEvent::job("run overdue", &run.task);
            note.detail = format!("{:?} expected_ms {}", run.state, run.expected_ms);
            note.worker = worker.record.id.to_string();
            out.push(Command::Log(note));
            stop_run(now_ms, run, target.clone(), answer_ms, out);
        }
        if !stalled.is_empty() {
            worker.health.record_failure(now_ms);
        }
        if let Some(task) = asked_for {
            let mut note = LogEvent::job("polling for completion", &task);
            note.worker = worker.record.id.to_string();
            note.last_heard_ms = Some(now_ms - worker.last_heard_ms);
            out.push(Command::Log(note));
            worker.request_poll();
        }
        for (job, index) in stalled {
            if let Some(job) = self.jobs.get_mut(job) {
                job.tasks[index].stalls += 1;
            }
        }
    }
}
