//! Poison tasks, distinguished from workers that are lost for other reasons.

mod dispatch_support;

use std::collections::{BTreeMap, BTreeSet};

use dispatch_support::orders::{
    LINK, Order, answer_renewal, answer_start, answer_stop, fenced_owner,
};
use dispatch_support::{SimWorker, job, renewals, starts, stops, worker_record};
use trefoil_core::dispatch::order::{OrderOutcome, RenewOutcome, StartOrder};
use trefoil_core::dispatch::owner::{Command, Owner};
use trefoil_core::dispatch::worker::Resources;
use trefoil_schema::dispatch::Outcome;

const TICK_MS: u64 = 25;
/// Answer time of a worker.
const ANSWER_MS: u64 = 2;
/// Duration of a task.
const TASK_MS: u64 = 60;
/// Time until a crashed worker runs again, as a new incarnation: longer than a lease, so that
/// nothing shows whether it crashed under its runs.
const RESTART_MS: u64 = 600;
/// The same, short enough that the runs of the crashed incarnation still held their leases.
const QUICK_RESTART_MS: u64 = 1;
/// Time from the answer to a poison task's start until its worker crashes.
const CRASH_DELAY_MS: u64 = 20;
/// Most workers that a poison task may take down.
const LOST_RUNS_MAX: usize = 3;

/// When a poison task crashes its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PoisonCrash {
    /// Before the start is answered: the owner cannot tell it from a start that never arrived.
    BeforeAnswer,
    /// [`CRASH_DELAY_MS`] after the answer.
    AfterAnswer,
}

/// An owner and its simulated workers in virtual time.
struct Pool {
    owner: Owner,
    workers: Vec<SimWorker>,
    /// Workers that do not answer.
    dead: BTreeSet<String>,
    /// Workers whose incarnation has ended, and when the next one answers.
    crashed: BTreeMap<String, u64>,
    restart_ms: u64,
    /// Jobs whose tasks crash the workers that start them.
    poison: BTreeSet<&'static str>,
    poison_crash: PoisonCrash,
    /// Crashes to come, and when.
    crashes_due: Vec<(u64, String)>,
    /// Orders in flight, and when their results arrive.
    orders: Vec<(u64, Order)>,
    started: Vec<(u64, StartOrder)>,
    ended: Vec<(String, Outcome)>,
    now_ms: u64,
}

impl Pool {
    fn new(ids: &[&str]) -> Self {
        Self {
            owner: fenced_owner(1, ids),
            workers: ids
                .iter()
                .map(|id| SimWorker::new(id, 50_000, TASK_MS))
                .collect(),
            dead: BTreeSet::new(),
            crashed: BTreeMap::new(),
            restart_ms: RESTART_MS,
            poison: BTreeSet::new(),
            poison_crash: PoisonCrash::BeforeAnswer,
            crashes_due: Vec::new(),
            orders: Vec::new(),
            started: Vec::new(),
            ended: Vec::new(),
            now_ms: 10,
        }
    }

    /// A pool whose poison tasks crash their workers in a way that their owner can prove.
    fn with_provable_crashes(ids: &[&str]) -> Self {
        Self {
            restart_ms: QUICK_RESTART_MS,
            poison_crash: PoisonCrash::AfterAnswer,
            ..Self::new(ids)
        }
    }

    fn delegate(&mut self, id: &str, tasks: u32) {
        let mut out = Vec::new();
        let spec = job(id, tasks, TASK_MS);
        self.owner
            .delegate(self.now_ms, LINK, spec, 0, None, &mut out);
        self.take(out);
    }

    fn add_worker(&mut self, id: &str) {
        self.workers.push(SimWorker::new(id, 50_000, TASK_MS));
        let records = self.workers.iter().map(|worker| worker.record.clone());
        let mut out = Vec::new();
        self.owner
            .set_workers(self.now_ms, records.collect(), &mut out);
        self.take(out);
    }

    fn take(&mut self, commands: Vec<Command>) {
        for start in starts(&commands) {
            self.started.push((self.now_ms, start.clone()));
            let answer_timeout_ms = start.answer_timeout_ms;
            self.send(Order::Start(start), answer_timeout_ms);
        }
        for stop in stops(&commands) {
            let answer_timeout_ms = stop.answer_timeout_ms;
            self.send(Order::Stop(stop), answer_timeout_ms);
        }
        for renewal in renewals(&commands) {
            let answer_timeout_ms = renewal.wait_ms + renewal.answer_timeout_ms;
            self.send(Order::Renew(renewal), answer_timeout_ms);
        }
        for command in commands {
            if let Command::JobEnded { result, .. } = command {
                self.ended.push((result.job_id, result.outcome));
            }
        }
    }

    /// Sends an order, which is carried out when its result arrives.
    fn send(&mut self, order: Order, answer_timeout_ms: u64) {
        let id = order.worker_id().to_string();
        if let Order::Start(start) = &order
            && self.is_poison(start)
        {
            match self.poison_crash {
                PoisonCrash::BeforeAnswer => self.crash(&id),
                PoisonCrash::AfterAnswer => {
                    let crash_ms = self.now_ms + ANSWER_MS + CRASH_DELAY_MS;
                    self.crashes_due.push((crash_ms, id.clone()));
                }
            }
        }
        let wait_ms = match (&order, self.is_silent(&id)) {
            (_, true) => answer_timeout_ms,
            (Order::Renew(renewal), false) if !self.crashed.contains_key(&id) => {
                ANSWER_MS + renewal.wait_ms.min(TASK_MS)
            }
            (_, false) => ANSWER_MS,
        };
        self.orders.push((self.now_ms + wait_ms, order));
    }

    /// Ends the incarnation of a worker; the next one answers after the restart.
    fn crash(&mut self, id: &str) {
        let restarted_ms = self.now_ms + self.restart_ms;
        self.crashed.entry(id.to_owned()).or_insert(restarted_ms);
    }

    fn is_poison(&self, start: &StartOrder) -> bool {
        self.poison.iter().any(|job| start.task.starts_with(job))
    }

    fn is_silent(&self, id: &str) -> bool {
        let restarted_ms = self.crashed.get(id);
        self.dead.contains(id) || restarted_ms.is_some_and(|&at_ms| self.now_ms < at_ms)
    }

    fn answer(&mut self, order: Order) -> Vec<Command> {
        let now_ms = self.now_ms;
        let id = order.worker_id();
        let is_silent = self.is_silent(id);
        let no_answer = match self.crashed.contains_key(&**id) && !is_silent {
            true => OrderOutcome::WrongIncarnation,
            false => OrderOutcome::NoAnswer,
        };
        let crashed = &self.crashed;
        let mut workers = self.workers.iter_mut();
        let mut living = |id: &str| {
            let worker = workers.find(|worker| &*worker.record.id == id);
            worker.filter(|_| !is_silent && !crashed.contains_key(id))
        };
        match order {
            Order::Start(start) => {
                let worker = living(&start.target.worker_id);
                let poison = &self.poison;
                let is_poison = poison.iter().any(|job| start.task.starts_with(job));
                let outcome = match worker {
                    Some(worker) => worker.start(now_ms, &start),
                    // The worker crashed before it answered.
                    None if is_poison => OrderOutcome::NoAnswer,
                    None => no_answer,
                };
                answer_start(&mut self.owner, now_ms, &start, outcome)
            }
            Order::Stop(stop) => {
                let worker = living(&stop.target.worker_id);
                let outcome = worker.map_or(no_answer, |worker| worker.stop(now_ms, &stop));
                answer_stop(&mut self.owner, now_ms, &stop, outcome)
            }
            Order::Renew(renewal) => {
                let worker = living(&renewal.target.worker_id);
                let no_answer = match no_answer {
                    OrderOutcome::WrongIncarnation => RenewOutcome::WrongIncarnation,
                    _ => RenewOutcome::NoAnswer,
                };
                let outcome = worker.map_or(no_answer, |worker| worker.renew(now_ms, &renewal));
                answer_renewal(&mut self.owner, now_ms, &renewal, outcome)
            }
        }
    }

    fn run_until(&mut self, end_ms: u64) {
        while self.now_ms < end_ms {
            self.now_ms += 1;
            let now_ms = self.now_ms;
            let (crashing, later) = std::mem::take(&mut self.crashes_due)
                .into_iter()
                .partition(|(at_ms, _)| *at_ms <= now_ms);
            self.crashes_due = later;
            let crashing: Vec<(u64, String)> = crashing;
            for (_, id) in crashing {
                self.crash(&id);
            }
            let (due, later) = std::mem::take(&mut self.orders)
                .into_iter()
                .partition(|(at_ms, _)| *at_ms <= now_ms);
            self.orders = later;
            let due: Vec<(u64, Order)> = due;
            for (_, order) in due {
                let out = self.answer(order);
                self.take(out);
            }
            if now_ms.is_multiple_of(TICK_MS) {
                let mut out = Vec::new();
                self.owner.tick(now_ms, &mut out);
                self.take(out);
            }
        }
    }

    /// Delegates jobs of one task, named busy0 and so on, until `end_ms`.
    fn run_busy_jobs_until(&mut self, end_ms: u64) {
        let mut number = 0;
        while self.now_ms < end_ms {
            self.delegate(&format!("busy{number}"), 1);
            self.run_until(self.now_ms + 70);
            number += 1;
        }
    }

    /// Number of other runs on the same worker during the second run of the task whose name
    /// begins with `task`.
    fn runs_beside_second_run(&self, task: &str) -> usize {
        let starts = self.started.iter();
        let mut again = starts.filter(|(_, start)| start.task.starts_with(task));
        let (again_ms, again) = again.nth(1).expect("the task starts twice");
        let beside = self.started.iter().filter(|(at_ms, start)| {
            start.target.worker == again.target.worker
                && start.task != again.task
                && at_ms + TASK_MS > *again_ms
                && *at_ms < again_ms + TASK_MS
        });
        beside.count()
    }

    fn workers_of(&self, job: &str) -> Vec<String> {
        let starts = self.started.iter();
        let starts = starts.filter(|(_, start)| start.task.starts_with(job));
        starts
            .map(|(_, start)| start.target.worker_id.to_string())
            .collect()
    }
}

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
