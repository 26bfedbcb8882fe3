//! The policies under load and faults, in virtual time; each bound is the
//! users' target or a comparison with a baseline.

mod engine_support;

use engine_support::virtual_load::{Load, run};
use trefoil_core::engine::{EngineSettings, QueueOrder};

/// A load short enough for an unoptimised build.
fn load() -> Load {
    Load {
        arrivals_ms: 20_000,
        ..Load::default()
    }
}

#[test]
fn urgency_order_beats_arrival_order_at_95_percent() {
    let urgency = Load {
        offered: 0.95,
        ..load()
    };
    let mut arrival = urgency.clone();
    arrival.engine.order = QueueOrder::Fifo;
    arrival.engine.admission = false;
    let (urgency, arrival) = (run(&urgency), run(&arrival));
    assert_eq!(urgency.refused + urgency.late + urgency.failed, 0);
    assert_eq!(urgency.wasted, 0);
    assert!(urgency.mean() < 0.7 * arrival.mean());
    assert!(urgency.quantile(0.99) < 0.7 * arrival.quantile(0.99));
    assert!(urgency.quantile(0.999) < arrival.quantile(0.999));
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
fn a_slow_worker_gets_fewer_tasks_than_its_speed_earns() {
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
        failing_refuse: true,
        ..load()
    };
    let outcome = run(&load);
    assert_eq!(outcome.failed + outcome.late, 0);
    assert!(outcome.wasted_per_task() < 0.01);
}

#[test]
fn a_fault_that_all_workers_show_ejects_nobody() {
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
fn the_same_seed_gives_the_same_history() {
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
fn declared_run_times_wrong_by_ten_change_nothing_once_learned() {
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
fn a_team_that_floods_leaves_room_for_the_others() {
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
fn lending_brings_small_pools_near_one_that_has_all_slots() {
    let mut lending = Load {
        workers: 17,
        ..load()
    };
    let mut apart = lending.clone();
    apart.engine.placement.lending = false;
    let whole = Load {
        instances: 1,
        ..lending.clone()
    };
    let (apart, whole) = (run(&apart), run(&whole));
    lending.engine.placement.lending = true;
    let lent = run(&lending);
    assert_eq!(lent.refused + lent.late + lent.failed + lent.wasted, 0);
    assert!(lent.mean() < 1.1 * whole.mean(), "{}", lent.mean());
    assert!(lent.quantile(0.99) < 0.6 * apart.quantile(0.99));
    assert!(2 * lent.slot_refusals * 10 < lent.starts);
}
