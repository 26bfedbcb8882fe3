//! Simulated histories of a pool with changing owners, in which orders are lost or
//! delayed, or their answers are lost. No worker may exceed its capacity, no task may
//! have two runs at the same time or start in a failure domain that was closed long
//! before, and every job must end.

#[path = "../dispatch_support/mod.rs"]
mod dispatch_support;
mod events;
mod simulation;
mod takeover;

use std::collections::{BTreeMap, BinaryHeap, HashMap};

use arbtest::arbitrary::{self, Unstructured};
use dispatch_support::SimWorker;
use events::{Event, Record};
use rand::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use simulation::{History, REGISTRY_PERIOD_MS};

const INITIAL_WORKERS: usize = 4;
const ADDED_WORKERS: usize = 2;
const JOBS: usize = 12;
/// Amount of random data for the choices of one history.
const CHOICE_BYTES: usize = 100_000;

/// What happens to workers in a history, besides partitions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Change {
    None,
    /// Their capacities shrink and grow.
    Resize,
    /// They start again under their ids.
    StartAgain,
}

fn run_history(choices: &mut Unstructured<'_>, change: Change) -> arbitrary::Result<()> {
    let mut workers = Vec::new();
    let mut added_ms = vec![0; INITIAL_WORKERS];
    for _ in 0..ADDED_WORKERS {
        added_ms.push(choices.int_in_range(0..=3500)?);
    }
    for number in 0..INITIAL_WORKERS + ADDED_WORKERS {
        let clock_from_ms = choices.int_in_range(0..=100_000)?;
        let task_ms = choices.int_in_range(30..=900)?;
        let mut worker = SimWorker::new(&format!("w{number}"), clock_from_ms, task_ms);
        worker.record.born_ms = (change == Change::StartAgain).then_some(1);
        workers.push(worker);
    }
    let mut history = History {
        choices,
        now_ms: 0,
        events: BinaryHeap::new(),
        stored: HashMap::new(),
        next_event: 0,
        workers,
        resized_ms: vec![0; added_ms.len()],
        added_ms,
        record: Record::default(),
        closed_ms: None,
        returned_jobs: Vec::new(),
        owners: Vec::new(),
        active: Vec::new(),
        partitions: HashMap::new(),
        unfinished_jobs: BTreeMap::new(),
        faults_enabled: true,
        rebirths: 0,
    };
    history.take_over(INITIAL_WORKERS)?;
    history.schedule(REGISTRY_PERIOD_MS, Event::ReadRegistry { owner: 0 });
    for job in 0..JOBS {
        let latest_ms = match change {
            Change::None => 2500,
            Change::Resize | Change::StartAgain => 9000,
        };
        let at_ms = history.choices.int_in_range(1..=latest_ms)?;
        history.schedule(at_ms, Event::Submit { job });
    }
    for _ in 0..history.choices.int_in_range(0..=3)? {
        let at_ms = history.choices.int_in_range(100..=3000)?;
        history.schedule(at_ms, Event::ReplaceOwner);
    }
    if history.choices.ratio(1, 2)? {
        let close_ms = history.choices.int_in_range(100..=3000)?;
        let reopen_ms = close_ms + history.choices.int_in_range(500..=8000)?;
        history.schedule(close_ms, Event::CloseDomain);
        history.schedule(reopen_ms, Event::ReopenDomain);
    }
    if change == Change::Resize {
        for _ in 0..history.choices.int_in_range(1..=4)? {
            let worker = history.choices.int_in_range(0..=INITIAL_WORKERS - 1)?;
            let shrink_ms = history.choices.int_in_range(0..=3000)?;
            let grow_ms = shrink_ms + history.choices.int_in_range(5000..=12_000_u64)?;
            for (at_ms, cpu_millicores) in [(shrink_ms, 1000), (grow_ms, 2000)] {
                let event = Event::Resize {
                    worker,
                    cpu_millicores,
                };
                history.schedule(at_ms, event);
            }
        }
    }
    if change == Change::StartAgain {
        for _ in 0..history.choices.int_in_range(1..=8)? {
            let event = Event::StartAgain {
                worker: history.choices.int_in_range(0..=INITIAL_WORKERS - 1)?,
                cpu_millicores: 1000 * history.choices.int_in_range(1..=2)?,
            };
            let at_ms = history.choices.int_in_range(10..=9000)?;
            history.schedule(at_ms, event);
        }
    }
    history.run()
}

/// Runs one history for each seed; the seed is printed if it fails.
fn run_histories(seeds: std::ops::Range<u64>, change: Change) {
    for seed in seeds {
        let mut bytes = vec![0; CHOICE_BYTES];
        ChaCha8Rng::seed_from_u64(seed).fill_bytes(&mut bytes);
        println!("seed {seed}");
        let ended = run_history(&mut Unstructured::new(&bytes), change);
        assert!(
            ended.is_ok(),
            "all random data is used; increase CHOICE_BYTES"
        );
    }
}

#[test]
fn no_worker_exceeds_its_capacity_and_no_task_has_two_runs_at_once() {
    run_histories(0..400, Change::None);
}

#[test]
fn no_start_exceeds_a_reduced_capacity() {
    run_histories(1000..1200, Change::Resize);
}

// Guards against a worker that starts again under its id and is taken for the one before.
#[test]
fn no_task_has_two_runs_at_once_although_workers_start_again() {
    run_histories(2000..2400, Change::StartAgain);
}

// Guards against an owner that goes on for a job whose origin was lost before its first heartbeat.
#[test]
fn no_task_has_two_runs_at_once_when_an_origin_is_lost_before_its_first_heartbeat() {
    run_histories(7261..7262, Change::StartAgain);
}
