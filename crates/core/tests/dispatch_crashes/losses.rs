//! Workers that are lost for reasons other than their tasks.

use std::collections::BTreeMap;

use trefoil_schema::dispatch::Outcome;

use crate::pool::{CRASH_DELAY_MS, Pool};

/// Runs until a task has started `starts` times.
fn run_until_started(pool: &mut Pool, job: &str, starts: usize) {
    while pool.workers_of(job).len() < starts && pool.now_ms < 6000 {
        pool.run_until(pool.now_ms + 1);
    }
}

// Guards against a crash that is attributed to a start which never reached the worker.
#[test]
fn a_start_that_its_crashed_worker_never_received_does_not_fail_its_job() {
    let mut pool = Pool::new(&["w1", "w2", "w3", "w4"]);
    pool.delegate("a", 1);
    // The first worker crashes under the run. The second one crashes while the start is on
    // its way.
    pool.run_until(pool.now_ms + CRASH_DELAY_MS);
    let first = pool.workers_of("a")[0].clone();
    pool.crash(&first);
    run_until_started(&mut pool, "a", 2);
    let second = pool.workers_of("a")[1].clone();
    pool.crash(&second);
    pool.run_until(8000);
    assert_eq!(pool.ended, [("a".to_owned(), Outcome::Completed)]);
    assert_eq!(pool.workers_of("a").len(), 3);
}

// Guards against a crash that is attributed to a run which had ended with its lease before.
#[test]
fn a_crash_after_the_lease_has_expired_does_not_fail_a_job() {
    const CRASH_AFTER_CUT_MS: u64 = 1200;
    const ANSWER_AFTER_CUT_MS: u64 = 1500;
    let mut pool = Pool::new(&["w1", "w2", "w3", "w4"]);
    pool.restart_ms = ANSWER_AFTER_CUT_MS - CRASH_AFTER_CUT_MS;
    pool.delegate("a", 1);
    for start in 1..=2 {
        run_until_started(&mut pool, "a", start);
        pool.run_until(pool.now_ms + CRASH_DELAY_MS);
        // Cut off; the run's lease expires, and the worker crashes behind the cut.
        let worker = pool.workers_of("a")[start - 1].clone();
        pool.dead.insert(worker.clone());
        let crash_ms = pool.now_ms + CRASH_AFTER_CUT_MS;
        pool.crashes_due.push((crash_ms, worker));
    }
    while pool.now_ms < 8000 {
        let now_ms = pool.now_ms;
        let crashed = pool.crashed.clone();
        pool.dead.retain(|id| {
            crashed
                .get(id)
                .is_none_or(|&restarted_ms| now_ms < restarted_ms)
        });
        pool.run_until(now_ms + 1);
    }
    assert_eq!(pool.crashed.len(), 2);
    assert_eq!(pool.ended, [("a".to_owned(), Outcome::Completed)]);
}

#[test]
fn a_job_whose_workers_were_cut_off_is_not_failed() {
    // Two workers become unreachable under one task, one after the other, for longer than
    // both runs take to be given up. They run on, and answer again later.
    const CUT_MS: u64 = 2500;
    let mut pool = Pool::new(&["w1", "w2", "w3", "w4"]);
    pool.delegate("a", 1);
    let mut cut: BTreeMap<String, u64> = BTreeMap::new();
    while pool.now_ms < 6000 {
        let now_ms = pool.now_ms;
        if let Some(worker) = pool.workers_of("a").last()
            && cut.len() < 2
            && !cut.contains_key(worker)
        {
            cut.insert(worker.clone(), now_ms + CUT_MS);
        }
        pool.dead = cut
            .iter()
            .filter(|(_, until_ms)| now_ms < **until_ms)
            .map(|(id, _)| id.clone())
            .collect();
        pool.run_until(now_ms + 1);
    }
    assert_eq!(cut.len(), 2);
    assert_eq!(pool.ended, [("a".to_owned(), Outcome::Completed)]);
}

#[test]
fn a_worker_that_another_one_replaces_at_its_address_has_started_again() {
    for is_still_listed in [false, true] {
        let mut pool = Pool::new(&["w1", "w2", "w3", "w4", "w5"]);
        pool.delegate("a", 1);
        for _ in 0..2 {
            let runs = pool.workers_of("a").len();
            pool.dead.insert(pool.workers_of("a")[runs - 1].clone());
            while pool.workers_of("a").len() == runs && pool.now_ms < 2000 {
                pool.run_until(pool.now_ms + 1);
            }
        }
        // Two workers are lost; the registry lists others at their addresses.
        let lost = pool.dead.clone();
        let records = pool.workers.iter().map(|worker| worker.record.clone());
        let records: Vec<_> = records
            .flat_map(|record| {
                let mut replacement = record.clone();
                replacement.id = format!("{}-replacement", record.id).into();
                match lost.contains(&*record.id) {
                    true if is_still_listed => vec![record, replacement],
                    true => vec![replacement],
                    false => vec![record],
                }
            })
            .collect();
        let mut out = Vec::new();
        pool.owner.set_workers(pool.now_ms, records, &mut out);
        pool.take(out);
        // The task need not wait for another explanation. Its runs had ended with their leases,
        // so that nothing shows a crash under them.
        let starts_again = pool.workers_of("a").len() == 3;
        assert_eq!(starts_again, !is_still_listed, "{:?}", pool.started);
        assert!(pool.ended.is_empty(), "{:?}", pool.ended);
    }
}

#[test]
fn a_start_that_a_later_incarnation_rejects_does_not_blame_its_task() {
    // Workers that crashed by themselves shortly before the start.
    let mut pool = Pool::new(&["w1", "w2", "w3", "w4"]);
    pool.crashed
        .extend(["w1", "w2", "w3"].map(|id| (id.to_owned(), 0)));
    let mut number = 0;
    while pool.now_ms < 3000 {
        pool.delegate(&format!("job{number}"), 1);
        number += 1;
        pool.run_until(pool.now_ms + 1500);
    }
    pool.run_until(5000);
    let failed: Vec<_> = pool
        .ended
        .iter()
        .filter(|(_, outcome)| *outcome == Outcome::Failed)
        .collect();
    assert!(failed.is_empty(), "{failed:?}");
    assert_eq!(pool.ended.len(), number);
}

#[test]
fn correlated_worker_losses_are_not_attributed_to_tasks() {
    // Simulates the loss of one rack after another.
    let mut pool = Pool::new(&["w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8"]);
    pool.delegate("many", 6);
    let first: Vec<String> = pool.workers_of("many");
    pool.dead.extend(first);
    while pool.started.len() < 12 && pool.now_ms < 3000 {
        pool.run_until(pool.now_ms + 1);
    }
    let second: Vec<String> = pool.workers_of("many")[6..].to_vec();
    pool.dead.extend(second);
    pool.run_until(pool.now_ms + 900);
    pool.dead.clear();
    pool.run_until(6000);
    assert_eq!(pool.ended, [("many".to_owned(), Outcome::Completed)]);
}

#[test]
fn losses_of_workers_that_answer_again_are_forgotten() {
    // Simulates workers that are unreachable for a while, one after another.
    let mut pool = Pool::new(&["w1", "w2", "w3", "w4"]);
    pool.delegate("a", 1);
    for start in 1..4 {
        while pool.started.len() < start && pool.now_ms < 4000 {
            pool.run_until(pool.now_ms + 1);
        }
        let worker = pool.workers_of("a")[start - 1].clone();
        pool.dead.insert(worker.clone());
        while pool.started.len() <= start && pool.now_ms < 4000 {
            pool.run_until(pool.now_ms + 1);
        }
        pool.dead.remove(&worker);
    }
    pool.run_until(6000);
    assert!(pool.workers_of("a").len() > 3);
    assert_eq!(pool.ended, [("a".to_owned(), Outcome::Completed)]);
}

// Guards against a verdict on a run that was done, behind a cut, before its worker crashed.
#[test]
fn a_run_that_had_ended_before_its_worker_crashed_does_not_fail_its_job() {
    const CUT_AFTER_START_MS: u64 = 20;
    const CRASH_AFTER_START_MS: u64 = 120;
    let mut pool = Pool::new(&["w1", "w2", "w3", "w4"]);
    pool.restart_ms = 10;
    pool.delegate("a", 1);
    for start in 1..=2 {
        run_until_started(&mut pool, "a", start);
        let started_ms = pool.now_ms;
        let worker = pool.workers_of("a")[start - 1].clone();
        pool.run_until(started_ms + CUT_AFTER_START_MS);
        pool.dead.insert(worker.clone());
        pool.run_until(started_ms + CRASH_AFTER_START_MS);
        pool.crash(&worker);
        pool.run_until(started_ms + CRASH_AFTER_START_MS + 10);
        pool.dead.remove(&worker);
    }
    pool.run_until(8000);
    assert_eq!(pool.ended, [("a".to_owned(), Outcome::Completed)]);
}

// Guards against a job that is given up although none of its starts arrived: owners do not
// call idle workers, so that several may be gone unnoticed.
#[test]
fn a_job_whose_starts_never_arrived_is_not_given_up() {
    for restart_ms in [1000, u64::MAX / 2] {
        let mut pool = Pool::new(&["w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8"]);
        pool.restart_ms = restart_ms;
        pool.run_until(200);
        for id in ["w1", "w2", "w3"] {
            pool.crash(id);
        }
        pool.delegate("a", 1);
        pool.run_until(12_000);
        let completed = [("a".to_owned(), Outcome::Completed)];
        assert_eq!(pool.ended, completed, "{:?}", pool.workers_of("a"));
    }
}
