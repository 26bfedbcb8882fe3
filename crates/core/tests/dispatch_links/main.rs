//! Simulated histories of an entry and two owners with one to three links to each, which
//! break, fall silent, become slow and are replaced while pools drain. Each side notices the
//! end of a link on its own. No task may have two runs at the same time, and every caller
//! must be answered soon after the last fault.

#[path = "../dispatch_support/mod.rs"]
mod dispatch_support;
mod network;
mod simulation;
mod workers;

use arbtest::arbitrary::{self, Unstructured};
use rand::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use simulation::{Event, FAULTS_END_MS, Simulation};

const JOBS: u64 = 12;
const FAULTS: u64 = 12;
/// Amount of random data for the choices of one history.
const CHOICE_BYTES: usize = 100_000;

fn run_history(choices: &mut Unstructured<'_>) -> arbitrary::Result<()> {
    let mut simulation = Simulation::new(choices);
    for owner in 0..2 {
        for _ in 0..simulation.choices.int_in_range(1..=3)? {
            simulation.open_link(owner)?;
        }
    }
    for job in 1..=JOBS {
        let at_ms = simulation.choices.int_in_range(20..=FAULTS_END_MS - 500)?;
        simulation.schedule(at_ms, Event::Submit { job });
    }
    for _ in 0..simulation.choices.int_in_range(1..=FAULTS)? {
        let at_ms = simulation.choices.int_in_range(100..=FAULTS_END_MS)?;
        simulation.schedule(at_ms, Event::Fault);
    }
    simulation.run()
}

/// Guards against jobs that one side counts by peer and the other by link, and against frames
/// of an old link that overtake or undo those of its successor.
#[test]
fn tasks_run_once_and_callers_are_answered_however_links_end() {
    for seed in 0..600 {
        let mut bytes = vec![0; CHOICE_BYTES];
        ChaCha8Rng::seed_from_u64(seed).fill_bytes(&mut bytes);
        println!("seed {seed}");
        let ended = run_history(&mut Unstructured::new(&bytes));
        assert!(
            ended.is_ok(),
            "all random data is used; increase CHOICE_BYTES"
        );
    }
}
