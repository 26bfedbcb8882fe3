//! What the engine tells people of its workers.

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

fn standing(bench: &EngineHarness, worker: usize) -> HealthState {
    let health = bench.engine.worker_health(bench.now, &name(worker));
    health.unwrap().state
}

/// Runs a job with one task on each free slot; `end` gives the outcome and the
/// time of each worker's task.
fn round(bench: &mut EngineHarness, number: usize, end: impl Fn(WorkerId) -> (u64, TaskOutcome)) {
    let job = key(0, &format!("job-{number}"));
    bench.submit(submission(&job, WORKERS, 60_000), false);
    let mut ends: Vec<_> = bench.starts.drain(..).collect();
    ends.sort_by_key(|start| end(start.worker).0);
    let begin_ms = bench.now.mono_ms;
    for start in ends {
        let (run_ms, outcome) = end(start.worker);
        let left_ms = (begin_ms + run_ms).saturating_sub(bench.now.mono_ms);
        bench.now = bench.now.plus_ms(left_ms);
        bench.finish(start.task, outcome);
    }
    bench.starts.clear();
    bench.answers.clear();
}

fn done() -> TaskOutcome {
    TaskOutcome::Done(Bytes::from_static(b"1"))
}

#[test]
fn a_worker_is_unseen_then_serving_or_slow() {
    let mut bench = EngineHarness::new(EngineSettings::default(), WORKERS, 1);
    assert_eq!(standing(&bench, 0), HealthState::Unobserved);
    assert_eq!(bench.engine.worker_health(bench.now, "other"), None);
    let slow = WorkerId(1);
    for number in 0..10 {
        round(&mut bench, number, |worker| match worker == slow {
            true => (2 * RUN_MS, done()),
            false => (RUN_MS, done()),
        });
    }
    let standings: Vec<_> = (0..WORKERS)
        .map(|worker| standing(&bench, worker))
        .collect();
    let count = |wanted| standings.iter().filter(|one| **one == wanted).count();
    assert_eq!(count(HealthState::Slow), 1, "{standings:?}");
    assert_eq!(count(HealthState::Serving), 3, "{standings:?}");
    let health: Vec<_> = (0..WORKERS)
        .filter_map(|worker| bench.engine.worker_health(bench.now, &name(worker)))
        .collect();
    let typical: Vec<_> = health.iter().map(|one| one.typical_ms).collect();
    assert_eq!(typical.iter().sum::<u64>(), 5 * RUN_MS, "{typical:?}");
    assert!(health.iter().all(|one| one.slots_owned == 1));
}

#[test]
fn a_worker_that_fails_everything_is_ejected_for_a_time() {
    let mut bench = EngineHarness::new(EngineSettings::default(), WORKERS, 1);
    let bad = WorkerId(1);
    for number in 0..20 {
        round(&mut bench, number, |worker| match worker == bad {
            true => (RUN_MS, TaskOutcome::Failed("broken".to_owned())),
            false => (RUN_MS, done()),
        });
    }
    let standings: Vec<_> = (0..WORKERS)
        .map(|worker| standing(&bench, worker))
        .collect();
    let out = |standing: &&HealthState| {
        matches!(
            standing,
            HealthState::Ejected { .. } | HealthState::Probation
        )
    };
    assert_eq!(standings.iter().filter(out).count(), 1, "{standings:?}");
    let expected = ServiceHealth {
        workers: WORKERS as u32,
        workers_ejected: 1,
        slots_owned: WORKERS as u64,
    };
    assert_eq!(bench.engine.service_health("payroll"), Some(expected));
    assert_eq!(bench.engine.service_health("other"), None);
}
