//! An owner and its simulated workers, some of which crash, in virtual time.

use std::collections::{BTreeMap, BTreeSet};

use trefoil_core::dispatch::order::{OrderOutcome, RenewOutcome, StartOrder};
use trefoil_core::dispatch::owner::{Command, Owner};
use trefoil_schema::dispatch::Outcome;

use crate::dispatch_support::orders::{
    LINK, Order, answer_renewal, answer_start, answer_stop, fenced_owner,
};
use crate::dispatch_support::{SimWorker, job, renewals, starts, stops};

pub const TICK_MS: u64 = 25;
/// Answer time of a worker.
pub const ANSWER_MS: u64 = 2;
/// Duration of a task.
pub const TASK_MS: u64 = 60;
/// Time until a crashed worker runs again, as a new incarnation.
pub const RESTART_MS: u64 = 400;
/// Time from the answer to a poison task's start until its worker crashes.
pub const CRASH_DELAY_MS: u64 = 20;

/// When a poison task crashes its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoisonCrash {
    /// Before the start is answered.
    BeforeAnswer,
    /// [`CRASH_DELAY_MS`] after the answer.
    AfterAnswer,
}

/// An owner and its simulated workers in virtual time.
pub struct Pool {
    pub owner: Owner,
    pub workers: Vec<SimWorker>,
    /// Workers that do not answer.
    pub dead: BTreeSet<String>,
    /// Workers whose incarnation has ended, and when the next one answers.
    pub crashed: BTreeMap<String, u64>,
    pub restart_ms: u64,
    /// Jobs whose tasks crash the workers that start them.
    pub poison: BTreeSet<&'static str>,
    pub poison_crash: PoisonCrash,
    /// Crashes to come, and when.
    pub crashes_due: Vec<(u64, String)>,
    /// Orders in flight, and when their results arrive.
    pub orders: Vec<(u64, Order)>,
    pub started: Vec<(u64, StartOrder)>,
    pub ended: Vec<(String, Outcome)>,
    pub now_ms: u64,
}

impl Pool {
    pub fn new(ids: &[&str]) -> Self {
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

    pub fn delegate(&mut self, id: &str, tasks: u32) {
        let mut out = Vec::new();
        let spec = job(id, tasks, TASK_MS);
        self.owner
            .delegate(self.now_ms, LINK, spec, 0, None, &mut out);
        self.take(out);
    }

    /// Starts a crashed worker again under its id. Returns false if it has not crashed.
    pub fn start_again(&mut self, id: &str) -> bool {
        if self.crashed.remove(id).is_none() {
            return false;
        }
        let now_ms = self.now_ms;
        let mut workers = self.workers.iter_mut();
        if let Some(worker) = workers.find(|worker| &*worker.record.id == id) {
            worker.start_again(now_ms, now_ms);
        }
        self.list_workers();
        true
    }

    /// Lets the owner read the registry.
    pub fn list_workers(&mut self) {
        let records = self.workers.iter().map(|worker| worker.record.clone());
        let mut out = Vec::new();
        self.owner
            .set_workers(self.now_ms, records.collect(), &mut out);
        self.take(out);
    }

    pub fn add_worker(&mut self, id: &str) {
        self.workers.push(SimWorker::new(id, 50_000, TASK_MS));
        self.list_workers();
    }

    pub fn take(&mut self, commands: Vec<Command>) {
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
    pub fn send(&mut self, order: Order, answer_timeout_ms: u64) {
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
    pub fn crash(&mut self, id: &str) {
        let restarted_ms = self.now_ms + self.restart_ms;
        self.crashed.entry(id.to_owned()).or_insert(restarted_ms);
    }

    pub fn is_poison(&self, start: &StartOrder) -> bool {
        self.poison.iter().any(|job| start.task.starts_with(job))
    }

    pub fn is_silent(&self, id: &str) -> bool {
        let restarted_ms = self.crashed.get(id);
        self.dead.contains(id) || restarted_ms.is_some_and(|&at_ms| self.now_ms < at_ms)
    }

    pub fn answer(&mut self, order: Order) -> Vec<Command> {
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

    pub fn run_until(&mut self, end_ms: u64) {
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
    pub fn run_busy_jobs_until(&mut self, end_ms: u64) {
        let mut number = 0;
        while self.now_ms < end_ms {
            self.delegate(&format!("busy{number}"), 1);
            self.run_until(self.now_ms + 70);
            number += 1;
        }
    }

    /// Number of other runs on the same worker during the second run of the task whose name
    /// begins with `task`.
    pub fn runs_beside_second_run(&self, task: &str) -> usize {
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

    pub fn workers_of(&self, job: &str) -> Vec<String> {
        let starts = self.started.iter();
        let starts = starts.filter(|(_, start)| start.task.starts_with(job));
        starts
            .map(|(_, start)| start.target.worker_id.to_string())
            .collect()
    }
}
