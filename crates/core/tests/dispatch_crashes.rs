//! Tasks that crash the workers that start them, told apart from workers that are
//! lost for another reason.

mod dispatch_support;

use std::collections::BTreeSet;

use dispatch_support::orders::{LINK, answer_hold, answer_start, fenced_owner};
use dispatch_support::{SimWorker, holds, job, record, starts, stops};
use trefoil_core::dispatch::order::{
    OrderOutcome, RenewOrder, RenewOutcome, StartOrder, StopOrder,
};
use trefoil_core::dispatch::owner::{Command, OrderResult, Owner};
use trefoil_core::dispatch::worker::Resources;
use trefoil_schema::dispatch::Outcome;

const TICK_MS: u64 = 25;
/// An answer of a worker that lives.
const ANSWER_MS: u64 = 2;
/// How long a task takes.
const TASK_MS: u64 = 60;

enum Order {
    Start(StartOrder),
    Stop(StopOrder),
    Hold(RenewOrder),
}

/// An owner and its workers in virtual time.
struct Pool {
    owner: Owner,
    workers: Vec<SimWorker>,
    dead: BTreeSet<String>,
    /// What jobs crash the workers that start their tasks.
    poison: BTreeSet<&'static str>,
    /// Orders whose outcome the owner learns at an instant.
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
            poison: BTreeSet::new(),
            orders: Vec::new(),
            started: Vec::new(),
            ended: Vec::new(),
            now_ms: 10,
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
            let answer_ms = start.answer_timeout_ms;
            self.send(Order::Start(start), answer_ms);
        }
        for stop in stops(&commands) {
            let answer_ms = stop.answer_timeout_ms;
            self.send(Order::Stop(stop), answer_ms);
        }
        for hold in holds(&commands) {
            let answer_ms = hold.wait_ms + hold.answer_timeout_ms;
            self.send(Order::Hold(hold), answer_ms);
        }
        for command in commands {
            if let Command::JobEnded { result, .. } = command {
                self.ended.push((result.job_id, result.outcome));
            }
        }
    }

    /// An order is carried out at once, and its outcome known later.
    fn send(&mut self, order: Order, limit_ms: u64) {
        let id = match &order {
            Order::Start(start) => start.target.worker_id.to_string(),
            Order::Stop(stop) => stop.target.worker_id.to_string(),
            Order::Hold(hold) => hold.target.worker_id.to_string(),
        };
        if let Order::Start(start) = &order
            && self.poison.iter().any(|job| start.task.starts_with(job))
        {
            self.dead.insert(id.clone());
        }
        let wait_ms = match (&order, self.dead.contains(&id)) {
            (_, true) => limit_ms,
            (Order::Hold(hold), false) => ANSWER_MS + hold.wait_ms.min(TASK_MS),
            (_, false) => ANSWER_MS,
        };
        self.orders.push((self.now_ms + wait_ms, order));
    }

    fn answer(&mut self, order: Order) -> Vec<Command> {
        let now_ms = self.now_ms;
        let dead = &self.dead;
        let mut workers = self.workers.iter_mut();
        let mut living = |id: &str| {
            let worker = workers.find(|worker| &*worker.record.id == id);
            worker.filter(|_| !dead.contains(id))
        };
        match order {
            Order::Start(start) => {
                let worker = living(&start.target.worker_id);
                let outcome = worker.map_or(OrderOutcome::NoAnswer, |worker| {
                    worker.start(now_ms, &start)
                });
                answer_start(&mut self.owner, now_ms, &start, outcome)
            }
            Order::Stop(stop) => {
                let worker = living(&stop.target.worker_id);
                let outcome =
                    worker.map_or(OrderOutcome::NoAnswer, |worker| worker.stop(now_ms, &stop));
                let answer = OrderResult {
                    worker: stop.target.worker,
                    fence: stop.target.fence,
                    task: stop.task,
                    run_id: stop.run_id,
                    outcome,
                };
                let mut out = Vec::new();
                self.owner.on_stop_result(now_ms, &answer, &mut out);
                out
            }
            Order::Hold(hold) => {
                let worker = living(&hold.target.worker_id);
                let outcome =
                    worker.map_or(RenewOutcome::NoAnswer, |worker| worker.hold(now_ms, &hold));
                answer_hold(&mut self.owner, now_ms, &hold, outcome)
            }
        }
    }

    fn run_until(&mut self, end_ms: u64) {
        while self.now_ms < end_ms {
            self.now_ms += 1;
            let now_ms = self.now_ms;
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

    fn workers_of(&self, job: &str) -> Vec<String> {
        let starts = self.started.iter();
        let starts = starts.filter(|(_, start)| start.task.starts_with(job));
        starts
            .map(|(_, start)| start.target.worker_id.to_string())
            .collect()
    }
}

#[test]
fn a_task_that_crashes_its_workers_is_given_up_after_the_second() {
    let mut pool = Pool::new(&["w1", "w2", "w3", "w4"]);
    pool.poison.insert("bad");
    pool.delegate("bad", 1);
    pool.run_until(5000);
    assert_eq!(pool.workers_of("bad").len(), 2);
    assert_eq!(pool.dead.len(), 2);
    assert_eq!(pool.ended, [("bad".to_owned(), Outcome::Failed)]);
}

#[test]
fn jobs_beside_a_poison_task_are_done() {
    let mut pool = Pool::new(&["w1", "w2", "w3", "w4"]);
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
    assert_eq!(pool.dead.len(), 2);
}

#[test]
fn suspects_do_not_share_a_worker() {
    // A task that was beside the poison task is suspect too; with it on the next
    // worker, it would be blamed for that one.
    let mut pool = Pool::new(&["w1", "w2"]);
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
fn a_suspect_task_and_others_keep_apart_while_there_is_room() {
    let mut pool = Pool::new(&["w1", "w2", "w3"]);
    pool.poison.insert("bad");
    pool.delegate("bad", 1);
    let mut number = 0;
    while pool.now_ms < 2000 {
        pool.delegate(&format!("busy{number}"), 1);
        pool.run_until(pool.now_ms + 70);
        number += 1;
    }
    let bad: Vec<&(u64, StartOrder)> = pool
        .started
        .iter()
        .filter(|(_, start)| start.task.starts_with("bad"))
        .collect();
    let (again_ms, again) = bad[1];
    let beside = pool.started.iter().filter(|(at_ms, start)| {
        start.target.worker == again.target.worker
            && start.task != again.task
            && at_ms + TASK_MS > *again_ms
            && *at_ms < again_ms + TASK_MS
    });
    assert_eq!(beside.count(), 0);
}

#[test]
fn workers_that_are_lost_together_are_no_tasks_fault() {
    // Load pattern: a rack goes, and while its tasks start elsewhere, another one.
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
fn workers_that_were_only_silent_are_no_tasks_fault() {
    // Load pattern: orders and their answers are lost for a while, on one worker
    // after the other.
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
    let mut shrunk = record("w1");
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
    // Both runs are left to end; then one at a time has room.
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
    pool.owner.set_workers(400, vec![record("w1")], &mut out);
    pool.take(out);
    pool.delegate("c", 2);
    let of_c = pool.workers_of("c.");
    assert_eq!(of_c.len(), 2, "room that grows is used at once");
}
