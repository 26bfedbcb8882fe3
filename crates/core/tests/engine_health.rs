//! Reported health of workers.

mod engine_support;

use bytes::Bytes;
use engine_support::*;
use trefoil_core::engine::health::{HealthState, ServiceHealth};
use trefoil_core::engine::*;

const WORKERS: usize = 4;
const RUN_MS: u64 = 100;

fn name(worker: usize) -> String {
    format!("worker-{worker:03}")
}

fn health_state(harness: &EngineHarness, worker: usize) -> HealthState {
    let health = harness.engine.worker_health(harness.now, &name(worker));
    health.unwrap().state
}

/// Runs a job with one task per worker; `end` returns the run time and outcome of
/// a worker's task.
fn run_job(
    harness: &mut EngineHarness,
    number: usize,
    end: impl Fn(WorkerId) -> (u64, TaskOutcome),
) {
    let job = key(0, &format!("job-{number}"));
    harness.submit(submission(&job, WORKERS, 60_000), false);
    let mut ends: Vec<_> = harness.starts.drain(..).collect();
    ends.sort_by_key(|start| end(start.worker).0);
    let begin_ms = harness.now.mono_ms;
    for start in ends {
        let (run_ms, outcome) = end(start.worker);
        let left_ms = (begin_ms + run_ms).saturating_sub(harness.now.mono_ms);
        harness.now = harness.now.plus_ms(left_ms);
        harness.finish(start.task, outcome);
    }
    harness.starts.clear();
    harness.answers.clear();
}

fn done() -> TaskOutcome {
    TaskOutcome::Done(Bytes::from_static(b"1"))
}

#[test]
fn a_worker_is_unobserved_then_serving_or_slow() {
    let mut harness = EngineHarness::new(EngineSettings::default(), WORKERS, 1);
    assert_eq!(health_state(&harness, 0), HealthState::Unobserved);
    assert_eq!(harness.engine.worker_health(harness.now, "other"), None);
    let slow = WorkerId(1);
    for number in 0..10 {
        run_job(&mut harness, number, |worker| match worker == slow {
            true => (2 * RUN_MS, done()),
            false => (RUN_MS, done()),
        });
    }
    let states: Vec<_> = (0..WORKERS)
        .map(|worker| health_state(&harness, worker))
        .collect();
    let count = |wanted| states.iter().filter(|one| **one == wanted).count();
    assert_eq!(count(HealthState::Slow), 1, "{states:?}");
    assert_eq!(count(HealthState::Serving), 3, "{states:?}");
    let health: Vec<_> = (0..WORKERS)
        .filter_map(|worker| harness.engine.worker_health(harness.now, &name(worker)))
        .collect();
    let typical: Vec<_> = health.iter().map(|one| one.typical_ms).collect();
    assert_eq!(typical.iter().sum::<u64>(), 5 * RUN_MS, "{typical:?}");
    assert!(health.iter().all(|one| one.slots_owned == 1));
}

#[test]
fn a_worker_that_fails_everything_is_ejected() {
    let mut harness = EngineHarness::new(EngineSettings::default(), WORKERS, 1);
    let failing = WorkerId(1);
    for number in 0..20 {
        run_job(&mut harness, number, |worker| match worker == failing {
            true => (RUN_MS, TaskOutcome::Failed("broken".to_owned())),
            false => (RUN_MS, done()),
        });
    }
    let states: Vec<_> = (0..WORKERS)
        .map(|worker| health_state(&harness, worker))
        .collect();
    let is_ejected = |health_state: &&HealthState| {
        matches!(
            health_state,
            HealthState::Ejected { .. } | HealthState::Probation
        )
    };
    assert_eq!(states.iter().filter(is_ejected).count(), 1, "{states:?}");
    let expected = ServiceHealth {
        workers: WORKERS as u32,
        workers_ejected: 1,
        slots_owned: WORKERS as u64,
    };
    assert_eq!(harness.engine.service_health("payroll"), Some(expected));
    assert_eq!(harness.engine.service_health("other"), None);
}
