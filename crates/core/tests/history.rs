//! Simulates random histories of a failure domain. No key may be started by two
//! instances, and after faults have ended every new key must be started.
//!
//! `TREFOIL_HISTORIES` is the number of histories (default: 60), `TREFOIL_SEED` the
//! first seed.

mod history_support;

use history_support::Simulation;
use history_support::faults::{
    FaultModel, STEP_MS, end_faults, inject_fault, randomize_clock, submit_random_keys,
};
use trefoil_core::key::JobKey;
use trefoil_core::membership::{MembershipParams, Mutation};

const DEFAULT_HISTORIES: u64 = 60;
const FAULT_STEPS: u32 = 40;
/// Time after the last fault at which every new key must be started.
const RECOVERY_MS: u64 = 45_000;

/// Result of a history.
#[derive(Debug, Default, PartialEq)]
struct Outcome {
    /// Keys started by more than one instance.
    started_twice: Vec<String>,
    /// Number of new keys after the faults that were not started.
    unserved: usize,
    started: usize,
    views: u64,
}

fn env(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn run_history(seed: u64, mutation: Option<Mutation>) -> Outcome {
    let params = MembershipParams {
        mutation,
        ..MembershipParams::default()
    };
    let count = 1 + (seed % 5) as usize;
    let mut sim = Simulation::new(seed, count, params);
    let model = FaultModel::of(seed);
    sim.platform_reports_exits = model == FaultModel::PlatformReports;
    for index in 0..count {
        randomize_clock(&mut sim, index, model);
    }
    let mut keys = Vec::new();
    for _ in 0..FAULT_STEPS {
        inject_fault(&mut sim, model);
        submit_random_keys(&mut sim, &mut keys);
        sim.run(STEP_MS);
    }
    end_faults(&mut sim, model);
    sim.run(RECOVERY_MS);
    let new_keys = submit_new_keys(&mut sim);
    let unserved = new_keys.iter().filter(|key| !sim.starts.contains_key(key));
    Outcome {
        unserved: unserved.count(),
        started: sim.starts.len(),
        views: sim.store.log.as_ref().map_or(0, |log| log.version()),
        started_twice: started_twice(&sim),
    }
}

fn started_twice(sim: &Simulation) -> Vec<String> {
    let twice = sim.starts.iter().filter(|(_, by)| by.len() > 1);
    twice.map(|(key, by)| format!("{key} by {by:?}")).collect()
}

/// Submits new keys at all instances, with retries.
fn submit_new_keys(sim: &mut Simulation) -> Vec<JobKey> {
    let mut new_keys = Vec::new();
    for node in sim.alive() {
        let wall_ms = sim.wall_ms(node);
        for _ in 0..8 {
            let key = sim.key(wall_ms);
            for attempt in 0..8 {
                sim.submit(node, &key, 300 * attempt);
            }
            new_keys.push(key);
        }
    }
    sim.run(3_000);
    new_keys
}

#[test]
fn no_key_is_started_twice_and_new_keys_are_served() {
    let first = env("TREFOIL_SEED", 1);
    let count = env("TREFOIL_HISTORIES", DEFAULT_HISTORIES);
    let (mut started, mut views, mut failed) = (0, 0, Vec::new());
    for seed in first..first + count {
        let outcome = run_history(seed, None);
        started += outcome.started;
        views += outcome.views;
        let served = outcome.unserved == 0 || FaultModel::of(seed) == FaultModel::UnboundedClocks;
        if !outcome.started_twice.is_empty() || !served {
            failed.push(format!("seed {seed}: {outcome:?}"));
        }
    }
    println!("{count} histories, {started} keys started, {views} views");
    let failures = failed.len();
    failed.truncate(5);
    assert!(failures == 0, "{failures} failed, first {failed:#?}");
}

/// First seed, starting at `first`, whose history has a key that is started twice.
fn first_detecting_seed(mutation: Mutation, first: u64, histories: u64) -> Option<u64> {
    let mut seeds = first..first + histories;
    seeds.find(|seed| !run_history(*seed, Some(mutation)).started_twice.is_empty())
}

/// Mutations, each with a seed from which the next [`DEFAULT_HISTORIES`] detect it. If
/// `TREFOIL_HISTORIES` is set, the search starts at seed 1 instead.
const MUTATIONS: [(Mutation, u64); 11] = [
    (Mutation::QuorumOfOne, 1),
    (Mutation::NoSeals, 1),
    (Mutation::ViewFromLocalClock, 4),
    (Mutation::VouchAfterSeal, 357),
    (Mutation::UnknownIsFailure, 24),
    (Mutation::UnknownIsDone, 18),
    (Mutation::NoIncarnationCheck, 1),
    (Mutation::NoJoinWait, 1),
    (Mutation::NewestViewOnly, 1079),
    (Mutation::SilentIsGone, 19),
    (Mutation::NoCompare, 22),
];

#[test]
fn mutations_are_detected() {
    let histories = env("TREFOIL_HISTORIES", 0);
    let mut undetected = Vec::new();
    for (mutation, first_seed) in MUTATIONS {
        let (first, count) = match histories {
            0 => (first_seed, DEFAULT_HISTORIES),
            count => (1, count),
        };
        let seed = first_detecting_seed(mutation, first, count);
        println!("{mutation:?}: detected at seed {seed:?}, searched from {first}");
        if seed.is_none() {
            undetected.push(mutation);
        }
    }
    assert_eq!(undetected, []);
}
