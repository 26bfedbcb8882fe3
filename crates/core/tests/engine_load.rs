//! Scheduling policies under load and faults in virtual time, compared with
//! targets or baselines.

mod engine_support;

use engine_support::virtual_load::{Load, run};
use trefoil_core::engine::{EngineSettings, QueueOrder};

/// A load that is short enough for an unoptimised build.
fn load() -> Load {
    Load {
        arrivals_ms: 20_000,
        ..Load::default()
    }
}

#[test]
fn priority_order_beats_fifo_at_95_percent_load() {
    let priority = Load {
        offered: 0.95,
        ..load()
    };
    let mut fifo = priority.clone();
    fifo.engine.order = QueueOrder::Fifo;
    fifo.engine.admission = false;
    let (priority, fifo) = (run(&priority), run(&fifo));
    assert_eq!(priority.refused + priority.late + priority.failed, 0);
    assert_eq!(priority.wasted, 0);
    assert!(priority.mean() < 0.7 * fifo.mean());
    assert!(priority.quantile(0.99) < 0.7 * fifo.quantile(0.99));
    assert!(priority.quantile(0.999) < fifo.quantile(0.999));
}

#[test]
fn overload_keeps_goodput_and_admitted_jobs_are_in_time() {
    let load = Load {
        offered: 2.0,
        timeout_ms: 10_000,
        arrivals_ms: 40_000,
        ..Load::default()
    };
    let outcome = run(&load);
    let goodput = outcome.goodput(&load);
    assert!(goodput >= 0.9, "goodput {goodput}");
    assert!(outcome.late_share() <= 0.01, "{}", outcome.late_share());
}

#[test]
fn a_slow_worker_gets_disproportionately_few_tasks() {
    let load = Load {
        slow_workers: 1,
        ..load()
    };
    let outcome = run(&load);
    let slow = outcome.starts_by_worker["10.0.0.49:80"];
    let mean = outcome.starts / 50;
    assert!(slow * 5 < mean, "{slow} of {mean}");
    assert_eq!(outcome.late, 0);
}

#[test]
fn a_worker_that_fails_everything_ruins_few_jobs() {
    let load = Load {
        failing_workers: 1,
        ..load()
    };
    let outcome = run(&load);
    let failing = outcome.starts_by_worker["10.0.0.0:80"];
    assert!(failing < 60, "{failing} starts");
    assert!(outcome.failed * 50 < outcome.submitted);
}

#[test]
fn a_worker_that_refuses_everything_ruins_no_job() {
    let load = Load {
        failing_workers: 1,
        failing_workers_refuse: true,
        ..load()
    };
    let outcome = run(&load);
    assert_eq!(outcome.failed + outcome.late, 0);
    assert!(outcome.wasted_per_task() < 0.01);
}

#[test]
fn a_failure_common_to_all_workers_ejects_none() {
    let load = Load {
        failing_workers: 50,
        arrivals_ms: 5_000,
        ..Load::default()
    };
    let outcome = run(&load);
    assert_eq!(outcome.failed, outcome.submitted);
    let fewest = outcome.starts_by_worker.values().min().unwrap();
    assert_eq!(outcome.starts_by_worker.len(), 50);
    assert!(*fewest > 5, "{fewest}");
}

#[test]
fn the_same_seed_gives_the_same_result() {
    let load = Load {
        arrivals_ms: 3_000,
        engine: EngineSettings::default(),
        ..Load::default()
    };
    let (one, two) = (run(&load), run(&load));
    assert_eq!(one.slowdowns, two.slowdowns);
    assert_eq!(one.starts_by_worker, two.starts_by_worker);
}

#[test]
fn wrong_declared_run_times_have_no_effect_after_warm_up() {
    for seed in 1..=2 {
        let declared = |declared_run_ms| Load {
            seed,
            declared_run_ms,
            timeout_ms: 10_000,
            warm_up_ms: 20_000,
            ..load()
        };
        let right = run(&declared(334));
        for declared_run_ms in [33, 3340] {
            let wrong = run(&declared(declared_run_ms));
            assert_eq!(wrong.late, right.late);
            assert_eq!(wrong.refused, right.refused, "seed {seed}");
            let change = (wrong.mean() - right.mean()).abs();
            assert!(change < 0.02, "seed {seed}: {change}");
        }
    }
}

#[test]
fn an_overloading_team_does_not_crowd_out_others() {
    let load = Load {
        offered: 2.0,
        greedy_share: 0.8,
        timeout_ms: 10_000,
        ..load()
    };
    let outcome = run(&load);
    let (greedy, others) = outcome.by_team.split_first().unwrap();
    let submitted: u64 = others.iter().map(|team| team.0).sum();
    let refused: u64 = others.iter().map(|team| team.1).sum();
    assert!(greedy.1 * 4 > greedy.0, "{greedy:?}");
    assert!(refused * 10 < submitted, "{refused} of {submitted}");
}

#[test]
fn the_slots_of_a_lost_instance_are_taken_over_without_a_failed_job() {
    for seed in 1..=3 {
        let load = Load {
            seed,
            lost_at_ms: Some(10_000),
            ..load()
        };
        let outcome = run(&load);
        assert_eq!((outcome.failed, outcome.late), (0, 0), "seed {seed}");
        assert!(outcome.wasted_per_task() < 0.01);
    }
}

#[test]
fn lending_brings_split_pools_near_a_single_pool() {
    let mut with_lending = Load {
        workers: 17,
        ..load()
    };
    let mut without_lending = with_lending.clone();
    without_lending.engine.placement.lending = false;
    let single_pool = Load {
        instances: 1,
        ..with_lending.clone()
    };
    let (without_lending, single_pool) = (run(&without_lending), run(&single_pool));
    with_lending.engine.placement.lending = true;
    let lent = run(&with_lending);
    assert_eq!(lent.refused + lent.late + lent.failed + lent.wasted, 0);
    assert!(lent.mean() < 1.1 * single_pool.mean(), "{}", lent.mean());
    assert!(lent.quantile(0.99) < 0.6 * without_lending.quantile(0.99));
    assert!(2 * lent.slot_refusals * 10 < lent.starts);
}
