//! Histories of a pool under changing owners, with orders that are lost,
//! carried out late, or answered to nobody: no worker is ever over its
//! capacity, no task ever runs twice at the same time, none starts in a failure
//! domain that has long been closed, and every job ends.

#[path = "../dispatch_support/mod.rs"]
mod dispatch_support;
mod events;
mod world;

use std::collections::{BTreeMap, BinaryHeap, HashMap};

use arbtest::arbitrary::{self, Unstructured};
use dispatch_support::SimWorker;
use events::{Event, Record};
use rand::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use world::{History, REGISTRY_MS};

/// Workers from the start on, and those that are added later.
const WORKERS: usize = 4;
const ADDED: usize = 2;
const JOBS: usize = 12;
/// Random choices of one history, bytes.
const CHOICE_BYTES: usize = 100_000;

fn history(choices: &mut Unstructured<'_>, resizes: bool) -> arbitrary::Result<()> {
    let mut workers = Vec::new();
    let mut added_ms = vec![0; WORKERS];
    for _ in 0..ADDED {
        added_ms.push(choices.int_in_range(0..=3500)?);
    }
    for number in 0..WORKERS + ADDED {
        let clock_from_ms = choices.int_in_range(0..=100_000)?;
        let task_ms = choices.int_in_range(30..=900)?;
        workers.push(SimWorker::new(
            &format!("w{number}"),
            clock_from_ms,
            task_ms,
        ));
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
        sent_away: Vec::new(),
        owners: Vec::new(),
        acts: Vec::new(),
        cuts: HashMap::new(),
        open_jobs: BTreeMap::new(),
        trouble: true,
    };
    history.take_over(WORKERS)?;
    history.at(REGISTRY_MS, Event::Registry { owner: 0 });
    for job in 0..JOBS {
        let latest_ms = if resizes { 9000 } else { 2500 };
        let at_ms = history.choices.int_in_range(1..=latest_ms)?;
        history.at(at_ms, Event::Submit { job });
    }
    for _ in 0..history.choices.int_in_range(0..=3)? {
        let at_ms = history.choices.int_in_range(100..=3000)?;
        history.at(at_ms, Event::Replace);
    }
    if history.choices.ratio(1, 2)? {
        let closes_ms = history.choices.int_in_range(100..=3000)?;
        let opens_ms = closes_ms + history.choices.int_in_range(500..=8000)?;
        history.at(closes_ms, Event::Close);
        history.at(opens_ms, Event::Reopen);
    }
    if resizes {
        for _ in 0..history.choices.int_in_range(1..=4)? {
            let worker = history.choices.int_in_range(0..=WORKERS - 1)?;
            let shrinks_ms = history.choices.int_in_range(0..=3000)?;
            let grows_ms = shrinks_ms + history.choices.int_in_range(5000..=12_000_u64)?;
            for (at_ms, cpu_millicores) in [(shrinks_ms, 1000), (grows_ms, 2000)] {
                let event = Event::Resize {
                    worker,
                    cpu_millicores,
                };
                history.at(at_ms, event);
            }
        }
    }
    history.run()
}

/// Runs the histories of some seeds; a failure names its seed.
fn histories(seeds: std::ops::Range<u64>, resizes: bool) {
    for seed in seeds {
        let mut bytes = vec![0; CHOICE_BYTES];
        ChaCha8Rng::seed_from_u64(seed).fill_bytes(&mut bytes);
        println!("seed {seed}");
        let ended = history(&mut Unstructured::new(&bytes), resizes);
        assert!(ended.is_ok(), "the choices are used up: raise CHOICE_BYTES");
    }
}

#[test]
fn no_worker_is_over_its_capacity_and_no_task_runs_twice_at_once() {
    histories(0..400, false);
}

#[test]
fn no_start_brings_a_worker_over_a_capacity_that_has_shrunk() {
    histories(1000..1200, true);
}
