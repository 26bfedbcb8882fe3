//! Poison tasks, distinguished from workers that are lost for other reasons.

#[path = "../dispatch_support/mod.rs"]
mod dispatch_support;
mod losses;
mod pool;

use std::collections::{BTreeMap, BTreeSet};

use dispatch_support::worker_record;
use pool::{PoisonCrash, Pool, QUICK_RESTART_MS, RESTART_MS, TASK_MS};
use trefoil_core::dispatch::worker::Resources;
use trefoil_schema::dispatch::Outcome;

/// Most workers that a poison task may take down.
const LOST_RUNS_MAX: usize = 3;

#[test]
fn a_poison_task_fails_its_job_after_the_second_worker() {
    for restart_ms in [1, 50, 100] {
        let mut pool = Pool::with_provable_crashes(&["w1", "w2", "w3", "w4"]);
        pool.restart_ms = restart_ms;
        pool.poison.insert("bad");
        pool.delegate("bad", 1);
        pool.run_until(5000);
        assert_eq!(pool.workers_of("bad").len(), 2, "restart {restart_ms}");
        assert_eq!(pool.crashed.len(), 2);
        assert_eq!(pool.ended, [("bad".to_owned(), Outcome::Failed)]);
    }
}

// A poison task whose crashes cannot be told from other losses is bounded as well.
#[test]
fn a_poison_task_takes_few_workers_if_nothing_proves_its_crashes() {
    let crashes = [PoisonCrash::BeforeAnswer, PoisonCrash::AfterAnswer];
    for (poison_crash, restart_ms) in crashes
        .into_iter()
        .flat_map(|crash| [RESTART_MS, 2 * RESTART_MS, 4 * RESTART_MS].map(|ms| (crash, ms)))
        .chain([(PoisonCrash::BeforeAnswer, QUICK_RESTART_MS)])
    {
        let mut pool = Pool::new(&["w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8"]);
        pool.poison_crash = poison_crash;
        pool.restart_ms = restart_ms;
        pool.poison.insert("bad");
        pool.delegate("good", 1);
        pool.delegate("bad", 1);
        pool.delegate("fine", 4);
        pool.run_until(8000);
        let case = format!("{poison_crash:?} restart {restart_ms}");
        assert!(pool.workers_of("bad").len() <= LOST_RUNS_MAX, "{case}");
        assert!(pool.crashed.len() <= LOST_RUNS_MAX, "{case}");
        let ended: BTreeMap<_, _> = pool.ended.iter().cloned().collect();
        let expected = [
            ("bad", Outcome::Abandoned),
            ("fine", Outcome::Completed),
            ("good", Outcome::Completed),
        ];
        let expected = expected.map(|(id, outcome)| (id.to_owned(), outcome));
        assert_eq!(ended, BTreeMap::from(expected), "{case}");
    }
}

#[test]
fn a_poison_task_takes_few_workers_if_none_starts_again() {
    let mut pool = Pool::new(&["w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8"]);
    pool.restart_ms = u64::MAX / 2;
    pool.poison.insert("bad");
    pool.delegate("bad", 1);
    pool.run_until(4000);
    // Two at once, and one more after the longest wait for an explanation.
    assert!(pool.crashed.len() <= 3, "{:?}", pool.crashed);
    assert!(pool.ended.is_empty(), "{:?}", pool.ended);
}

// Guards against a task that takes down one worker after another while none of them starts
// again.
#[test]
fn a_task_is_given_up_after_three_lost_runs() {
    let mut pool = Pool::new(&["w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8"]);
    pool.restart_ms = u64::MAX / 2;
    pool.poison.insert("bad");
    pool.delegate("bad", 1);
    pool.run_until(8000);
    assert_eq!(pool.crashed.len(), 3);
    assert_eq!(pool.ended, [("bad".to_owned(), Outcome::Abandoned)]);
    // Submitted again, it does not start either.
    pool.delegate("bad", 1);
    pool.run_until(9000);
    assert_eq!(pool.crashed.len(), 3);
    assert_eq!(pool.ended.len(), 2);
}

// Guards against a resubmitted poison task that takes down as many workers of each owner.
#[test]
fn a_job_that_another_owner_has_given_up_does_not_start() {
    let mut first = Pool::new(&["w1", "w2", "w3", "w4"]);
    first.poison.insert("bad");
    first.delegate("bad", 1);
    first.run_until(4000);
    assert_eq!(first.ended, [("bad".to_owned(), Outcome::Abandoned)]);
    let mut second = Pool::new(&["v1", "v2", "v3"]);
    second.now_ms = 4000;
    second
        .owner
        .observe_pool_load(4000, "other/0", &first.owner.load(4000));
    second.delegate("bad", 1);
    second.delegate("good", 1);
    second.run_until(5000);
    assert!(second.workers_of("bad").is_empty());
    let outcomes = BTreeMap::from_iter(second.ended);
    assert_eq!(outcomes["bad"], Outcome::Abandoned);
    assert_eq!(outcomes["good"], Outcome::Completed);
}

#[test]
fn jobs_beside_a_poison_task_complete() {
    let mut pool = Pool::with_provable_crashes(&["w1", "w2", "w3", "w4"]);
    pool.poison.insert("bad");
    pool.delegate("good", 1);
    pool.delegate("bad", 1);
    pool.delegate("fine", 4);
    pool.run_until(5000);
    let ended: BTreeSet<_> = pool
        .ended
        .iter()
        .cloned()
        .map(|(id, how)| (id, how as i32))
        .collect();
    let expected = [
        ("bad", Outcome::Failed),
        ("fine", Outcome::Completed),
        ("good", Outcome::Completed),
    ];
    let expected = expected.map(|(id, how)| (id.to_owned(), how as i32));
    assert_eq!(ended, BTreeSet::from(expected));
    assert_eq!(pool.crashed.len(), 2);
}

#[test]
fn suspect_tasks_do_not_share_a_worker() {
    // A task that ran beside the poison task is suspect, too. If both ran on the next
    // worker, the loss of that one would be attributed to both.
    let mut pool = Pool::with_provable_crashes(&["w1", "w2"]);
    pool.poison.insert("bad");
    pool.delegate("good", 1);
    pool.delegate("bad", 1);
    assert_eq!(pool.workers_of("good"), pool.workers_of("bad"));
    pool.run_until(1000);
    pool.add_worker("w3");
    pool.run_until(5000);
    assert!(pool.ended.contains(&("bad".to_owned(), Outcome::Failed)));
    assert!(
        pool.ended
            .contains(&("good".to_owned(), Outcome::Completed))
    );
}

#[test]
fn a_suspect_task_is_isolated_while_there_is_capacity() {
    let mut pool = Pool::new(&["w1", "w2", "w3"]);
    pool.poison.insert("bad");
    pool.delegate("bad", 1);
    pool.run_busy_jobs_until(2000);
    assert_eq!(pool.runs_beside_second_run("bad"), 0);
}

#[test]
fn each_suspect_task_is_isolated_while_a_worker_without_one_is_free() {
    // The loss of the first worker makes two tasks suspect. Each occupies a worker, and
    // the other jobs fit on the fourth.
    let mut pool = Pool::new(&["w1", "w2", "w3", "w4"]);
    pool.poison.insert("bad");
    pool.delegate("bad", 1);
    pool.run_busy_jobs_until(2000);
    for suspect in ["bad.", "busy0."] {
        let beside = pool.runs_beside_second_run(suspect);
        assert_eq!(beside, 0, "beside {suspect}");
    }
}

#[test]
fn a_worker_whose_capacity_shrank_starts_nothing_until_it_fits() {
    let mut pool = Pool::new(&["w1"]);
    pool.delegate("a", 2);
    let mut shrunk = worker_record("w1");
    shrunk.capacity = Resources {
        cpu_millicores: 1000,
        ..shrunk.capacity
    };
    pool.run_until(30);
    let mut out = Vec::new();
    pool.owner.set_workers(30, vec![shrunk], &mut out);
    pool.take(out);
    pool.delegate("b", 2);
    pool.run_until(400);
    // Both runs complete; after that, one task fits at a time.
    assert!(pool.ended.contains(&("a".to_owned(), Outcome::Completed)));
    let of_b: Vec<u64> = pool
        .started
        .iter()
        .filter(|(_, start)| start.task.starts_with("b."))
        .map(|(at_ms, _)| *at_ms)
        .collect();
    assert_eq!(of_b.len(), 2);
    assert!(
        of_b[0] >= 10 + TASK_MS && of_b[1] >= of_b[0] + TASK_MS,
        "{of_b:?}"
    );
    let mut out = Vec::new();
    pool.owner
        .set_workers(400, vec![worker_record("w1")], &mut out);
    pool.take(out);
    pool.delegate("c", 2);
    let of_c = pool.workers_of("c.");
    assert_eq!(of_c.len(), 2, "added capacity is used at once");
}
