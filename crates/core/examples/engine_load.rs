//! Simulates the engine in virtual time, and prints its response times relative to
//! the ideal, refusals and wasted messages, for each policy and load.
//!
//! `cargo run --release -p trefoil-core --example engine_load [SEED]`

#[path = "../tests/engine_support/mod.rs"]
mod engine_support;

use engine_support::virtual_load::{Load, Outcome, run};
use trefoil_core::engine::{EngineSettings, QueueOrder};
use trefoil_schema::settings::PlacementPolicy;

/// Attempts allowed under the baseline policies, which detect busy workers by their
/// refusals.
const BASELINE_ATTEMPTS_MAX: u32 = 1000;
/// Retry budget of the baseline policies, high for the same reason.
const BASELINE_RETRY_PERCENT: u32 = 10_000;

fn main() {
    let seed = std::env::args().nth(1).map_or(1, |seed| {
        seed.parse().expect("SEED must be a non-negative integer")
    });
    println!("seed {seed}");
    println!(
        "{:40} {:>6} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7}",
        "case",
        "load",
        "mean",
        "p50",
        "p99",
        "p99.9",
        "wasted",
        "refused",
        "late",
        "failed",
        "goodput"
    );
    for offered in [0.5, 0.8, 0.95] {
        for (name, engine) in policies() {
            print_outcome(
                name,
                &Load {
                    seed,
                    offered,
                    engine,
                    ..Load::default()
                },
            );
        }
    }
    for offered in [0.8, 0.95] {
        for (name, engine) in policies() {
            let name = format!("{name}, 1 of 50 slow");
            print_outcome(
                &name,
                &Load {
                    seed,
                    offered,
                    engine,
                    slow_workers: 1,
                    ..Load::default()
                },
            );
        }
        for (name, engine) in policies() {
            let name = format!("{name}, 1 of 50 failing");
            print_outcome(
                &name,
                &Load {
                    seed,
                    offered,
                    engine,
                    failing_workers: 1,
                    ..Load::default()
                },
            );
        }
    }
    for (name, engine) in policies() {
        let load = Load {
            seed,
            offered: 2.0,
            timeout_ms: 10_000,
            engine,
            ..Load::default()
        };
        print_outcome(name, &load);
    }
    print_greedy_team_load(seed);
}

/// Simulates overload at twice the capacity, where one team submits 80% of the jobs.
fn print_greedy_team_load(seed: u64) {
    let load = Load {
        seed,
        offered: 2.0,
        greedy_share: 0.8,
        timeout_ms: 10_000,
        ..Load::default()
    };
    let outcome = run(&load);
    let (greedy, others) = outcome
        .by_team
        .split_first()
        .expect("there is at least one team");
    let submitted: u64 = others.iter().map(|team| team.0).sum();
    let refused: u64 = others.iter().map(|team| team.1).sum();
    println!("greedy team: {} of {} jobs refused", greedy.1, greedy.0);
    println!("other teams: {refused} of {submitted} jobs refused");
    println!(
        "goodput {:.3}, late {:.4}",
        outcome.goodput(&load),
        outcome.late_share()
    );
}

fn policies() -> Vec<(&'static str, EngineSettings)> {
    let owned = EngineSettings::default();
    let fifo = EngineSettings {
        order: QueueOrder::Fifo,
        ..owned.clone()
    };
    let fifo_without_admission = EngineSettings {
        admission: false,
        ..fifo
    };
    vec![
        ("owned slots", owned.clone()),
        ("owned slots, FIFO, no admission", fifo_without_admission),
        ("two choices", baseline(PlacementPolicy::TwoChoices)),
        ("random", baseline(PlacementPolicy::Random)),
    ]
}

fn baseline(policy: PlacementPolicy) -> EngineSettings {
    let mut engine = EngineSettings::default();
    engine.placement.policy = policy;
    engine.placement.attempts_max = BASELINE_ATTEMPTS_MAX;
    engine.placement.retry_percent = BASELINE_RETRY_PERCENT;
    engine
}

fn print_outcome(name: &str, load: &Load) {
    let outcome: Outcome = run(load);
    println!(
        "{name:40} {:6.2} {:7.2} {:7.2} {:7.2} {:7.2} {:7.4} {:7.4} {:7.4} {:7.4} {:7.3}",
        load.offered,
        outcome.mean(),
        outcome.quantile(0.5),
        outcome.quantile(0.99),
        outcome.quantile(0.999),
        outcome.wasted_per_task(),
        outcome.refused as f64 / outcome.submitted as f64,
        outcome.late_share(),
        outcome.failed as f64 / outcome.submitted as f64,
        outcome.goodput(load),
    );
}
