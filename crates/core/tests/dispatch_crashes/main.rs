//! Poison tasks, distinguished from workers that are lost for other reasons.

#[path = "../dispatch_support/mod.rs"]
mod dispatch_support;
mod losses;
mod pool;

use std::collections::BTreeMap;

use dispatch_support::orders::LINK;
use dispatch_support::worker_record;
use pool::{PoisonCrash, Pool, RESTART_MS, TASK_MS};
use trefoil_core::dispatch::worker::Resources;
use trefoil_schema::dispatch::Outcome;

/// Most workers that a poison task may take down if they start again.
const CRASHES_MAX: usize = 3;
/// The same if they take longer than the wait for an explanation, and nothing shows that the
/// starts arrived.
const LOST_STARTS_MAX: usize = 5;
/// Times until a crashed worker starts again: within a lease, and after it.
const RESTARTS_MS: [u64; 6] = [1, 50, 100, RESTART_MS, 800, 1600];

/// Pools that differ in when poison tasks crash their workers, and when these start again.
fn poison_pools(ids: &[&str]) -> impl Iterator<Item = (String, Pool)> {
    let crashes = [PoisonCrash::BeforeAnswer, PoisonCrash::AfterAnswer];
    let cases = crashes
        .into_iter()
        .flat_map(|crash| RESTARTS_MS.map(|restart_ms| (crash, restart_ms)));
    cases.map(|(poison_crash, restart_ms)| {
        let mut pool = Pool::new(ids);
        pool.poison_crash = poison_crash;
        pool.restart_ms = restart_ms;
        pool.poison.insert("bad");
        (format!("{poison_crash:?} restart {restart_ms}"), pool)
    })
}

fn outcomes(pool: &Pool) -> BTreeMap<&str, Outcome> {
    let ended = pool.ended.iter();
    ended.map(|(id, outcome)| (id.as_str(), *outcome)).collect()
}

// Nothing proves that its workers crashed under it, so that it is not reported as failed.
#[test]
fn a_poison_task_is_given_up_after_the_third_worker() {
    for (case, mut pool) in poison_pools(&["w1", "w2", "w3", "w4", "w5", "w6"]) {
        pool.delegate("bad", 1);
        pool.run_until(8000);
        assert_eq!(pool.workers_of("bad").len(), CRASHES_MAX, "{case}");
        assert_eq!(pool.crashed.len(), CRASHES_MAX, "{case}");
        let abandoned = [("bad".to_owned(), Outcome::Abandoned)];
        assert_eq!(pool.ended, abandoned, "{case}");
    }
}

#[test]
fn jobs_beside_a_poison_task_complete() {
    for (case, mut pool) in poison_pools(&["w1", "w2", "w3", "w4"]) {
        pool.delegate("good", 1);
        pool.delegate("bad", 1);
        pool.delegate("fine", 4);
        pool.run_until(8000);
        let expected = [
            ("bad", Outcome::Abandoned),
            ("fine", Outcome::Completed),
            ("good", Outcome::Completed),
        ];
        assert_eq!(outcomes(&pool), BTreeMap::from(expected), "{case}");
        assert!(pool.crashed.len() <= CRASHES_MAX, "{case}");
    }
}

#[test]
fn suspect_tasks_do_not_share_a_worker() {
    // A task that ran beside the poison task is suspect, too. If both ran on the next
    // worker, the loss of that one would be attributed to both.
    for (case, mut pool) in poison_pools(&["w1", "w2"]) {
        pool.delegate("good", 1);
        pool.delegate("bad", 1);
        assert_eq!(pool.workers_of("good"), pool.workers_of("bad"), "{case}");
        pool.run_until(1000);
        pool.add_worker("w3");
        pool.add_worker("w4");
        pool.run_until(8000);
        let expected = [("bad", Outcome::Abandoned), ("good", Outcome::Completed)];
        assert_eq!(outcomes(&pool), BTreeMap::from(expected), "{case}");
    }
}

// Guards against a task that takes down one worker after another while none of them starts
// again, or each after a long time.
#[test]
fn a_poison_task_is_given_up_if_workers_do_not_start_again_soon() {
    let ids = ["w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8"];
    for (poison_crash, restart_ms, crashes_max) in [
        (PoisonCrash::AfterAnswer, 2400, CRASHES_MAX),
        (PoisonCrash::AfterAnswer, u64::MAX / 2, CRASHES_MAX),
        (PoisonCrash::BeforeAnswer, 2400, LOST_STARTS_MAX),
        (PoisonCrash::BeforeAnswer, u64::MAX / 2, LOST_STARTS_MAX),
    ] {
        let case = format!("{poison_crash:?} restart {restart_ms}");
        let mut pool = Pool::new(&ids);
        pool.restart_ms = restart_ms;
        pool.poison_crash = poison_crash;
        pool.poison.insert("bad");
        pool.delegate("bad", 1);
        pool.run_until(12_000);
        let crashed = pool.crashed.len();
        assert!(crashed <= crashes_max, "{crashed}: {case}");
        let abandoned = [("bad".to_owned(), Outcome::Abandoned)];
        assert_eq!(pool.ended, abandoned, "{case}");
        // Submitted again, it does not start either.
        pool.delegate("bad", 1);
        pool.run_until(13_000);
        assert_eq!(pool.crashed.len(), crashed, "{case}");
        assert_eq!(pool.ended.len(), 2, "{case}");
    }
}

/// A pool of 30 workers that start again 4 s after they have crashed.
fn large_poison_pool() -> Pool {
    let ids: Vec<String> = (0..30).map(|id| format!("w{id}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let mut pool = Pool::new(&ids);
    pool.restart_ms = 4000;
    pool.poison.insert("bad");
    pool
}

// Guards against losses that are forgotten when workers start again under their ids.
#[test]
fn a_poison_task_takes_few_workers_that_start_again_under_their_ids() {
    let ids = ["w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8"];
    for poison_crash in [PoisonCrash::BeforeAnswer, PoisonCrash::AfterAnswer] {
        let mut pool = Pool::new(&ids);
        for worker in &mut pool.workers {
            worker.record.born_ms = Some(1);
        }
        pool.list_workers();
        pool.restart_ms = 800;
        pool.poison_crash = poison_crash;
        pool.poison.insert("bad");
        pool.delegate("bad", 1);
        let mut crashes = 0;
        while pool.now_ms < 20_000 {
            pool.run_until(pool.now_ms + 1);
            let now_ms = pool.now_ms;
            let due = pool.crashed.iter();
            let due = due.filter(|(_, restarted_ms)| **restarted_ms <= now_ms + 1);
            let due: Vec<String> = due.map(|(id, _)| id.clone()).collect();
            crashes += due.iter().filter(|id| pool.start_again(id)).count();
        }
        assert!(crashes <= LOST_STARTS_MAX, "{crashes}: {poison_crash:?}");
        let abandoned = [("bad".to_owned(), Outcome::Abandoned)];
        assert_eq!(pool.ended, abandoned, "{poison_crash:?}");
    }
}

// Guards against losses that are forgotten when a caller gives up and submits its job again.
#[test]
fn a_poison_task_that_is_submitted_again_takes_few_workers() {
    const DEADLINE_MS: u64 = 1500;
    const RETRY_MS: u64 = 1300;
    let mut pool = large_poison_pool();
    for _ in 0..5 {
        pool.delegate("bad", 1);
        pool.run_until(pool.now_ms + DEADLINE_MS);
        let mut out = Vec::new();
        pool.owner.cancel(pool.now_ms, LINK, "bad", &mut out);
        pool.take(out);
        pool.run_until(pool.now_ms + RETRY_MS);
    }
    assert!(pool.crashed.len() <= LOST_STARTS_MAX, "{:?}", pool.crashed);
}

// Guards against losses that are forgotten when the link of the job's origin breaks.
#[test]
fn a_poison_task_whose_links_break_takes_few_workers() {
    let mut pool = large_poison_pool();
    for _ in 0..4 {
        pool.delegate("bad", 1);
        pool.run_until(pool.now_ms + 1000);
        let mut out = Vec::new();
        pool.owner.on_origin_lost(pool.now_ms, LINK, &mut out);
        pool.take(out);
        pool.run_until(pool.now_ms + 1030);
    }
    assert!(pool.crashed.len() <= LOST_STARTS_MAX, "{:?}", pool.crashed);
}

// Guards against quick losses under several poison tasks that pass for a common cause.
#[test]
fn jobs_beside_several_poison_tasks_complete() {
    const BAD: [&str; 8] = [
        "bad0", "bad1", "bad2", "bad3", "bad4", "bad5", "bad6", "bad7",
    ];
    for (jobs, tasks) in [(1, 1), (8, 1), (1, 8), (4, 4)] {
        let ids: Vec<String> = (0..60).map(|id| format!("w{id}")).collect();
        let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
        let mut pool = Pool::new(&ids);
        pool.restart_ms = 1500;
        pool.poison_crash = PoisonCrash::AfterAnswer;
        for id in &BAD[..jobs] {
            pool.poison.insert(id);
            pool.delegate(id, tasks);
        }
        // Jobs of one task all the time: a third of the capacity.
        let mut good = 0;
        while pool.now_ms < 5000 {
            for _ in 0..8 {
                pool.delegate(&format!("good{good}"), 1);
                good += 1;
            }
            pool.run_until(pool.now_ms + 12);
        }
        pool.run_until(11_000);
        let of_good = |(id, outcome): &&(String, Outcome)| {
            id.starts_with("good") && *outcome == Outcome::Completed
        };
        let completed = pool.ended.iter().filter(of_good).count();
        assert_eq!(completed, good, "{jobs} jobs of {tasks} tasks");
        let starts_max = jobs * tasks as usize * CRASHES_MAX;
        let starts = pool.workers_of("bad").len();
        assert!(
            starts <= starts_max,
            "{starts}: {jobs} jobs of {tasks} tasks"
        );
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
