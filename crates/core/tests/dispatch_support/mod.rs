//! Workers, jobs and a clock for the tests of dispatch, in virtual time.

#![allow(dead_code)]

pub mod orders;

use std::sync::Arc;

use trefoil_core::dispatch::fence::Fence;
use trefoil_core::dispatch::order::{
    ListedRun, OrderOutcome, Rejection, RenewOrder, RenewOutcome, RunCompletion, RunOutcome,
    StartOrder, StopOrder,
};
use trefoil_core::dispatch::owner::{Command, Owner};
use trefoil_core::dispatch::ownership::Predecessor;
use trefoil_core::dispatch::worker::{Resources, WorkerRecord};
use trefoil_schema::dispatch::{Holder, Job, Phase};

/// Pool of all tests.
pub const POOL: &str = "forde/0";
/// Longest lease that a worker grants, milliseconds of its clock.
const LEASE_MAX_MS: u64 = 1000;
/// A worker's clock runs this much slow, in thousandths.
const SLOW_THOUSANDTHS: u64 = 20;

/// A registry entry with room for two tasks of [`job`].
pub fn record(id: &str) -> WorkerRecord {
    WorkerRecord {
        id: Arc::from(id),
        address: Arc::from(format!("{id}:80")),
        failure_domain: Arc::from("forde"),
        service: Arc::from("register"),
        draining: false,
        capacity: Resources {
            cpu_millicores: 2000,
            memory_mb: 1000,
            gpus: 0,
        },
        labels: ["a", "r1"].into_iter().map(Arc::from).collect(),
    }
}

/// A job of one phase with tasks of a core each.
pub fn job(id: &str, count: u32, estimate_ms: u64) -> Job {
    Job {
        id: id.to_owned(),
        spec: "text".to_owned(),
        service: "register".to_owned(),
        attempts_max: 3,
        patience_ms: 0,
        // The histories may take long: no job is hopeless in them.
        stretch: 1000.0,
        slo_ms: 60,
        phases: vec![Phase {
            count,
            cpu_millicores: 1000,
            memory_mb: 100,
            estimate_ms,
            ..Phase::default()
        }],
        ..Job::default()
    }
}

/// The ownership of a term.
pub fn holder(term: u64) -> Holder {
    Holder {
        term,
        owner: "entry-1".to_owned(),
        incarnation: 0,
    }
}

/// An owner in a term that knows nothing of the owner before it.
pub fn owner(term: u64) -> Owner {
    let fence = Fence::new(term, "entry-1");
    Owner::new(POOL, fence, term * 100_000).with_predecessor(Some(holder(term)), None)
}

/// An owner in a term; the one of the term before used these workers.
pub fn owner_after(term: u64, used: &[&str]) -> Owner {
    let fence = Fence::new(term, "entry-1");
    let predecessor = Predecessor {
        holder: holder(term - 1),
        roster: used.iter().map(|&id| Arc::from(id)).collect(),
    };
    let owner = Owner::new(POOL, fence, term * 100_000);
    owner.with_predecessor(Some(holder(term)), Some(predecessor))
}

/// A run on a [`SimWorker`].
#[derive(Clone, Debug)]
pub struct SimRun {
    /// Task.
    pub task: Arc<str>,
    /// Number.
    pub run_id: u64,
    ends_ms: u64,
}

/// A worker that keeps the platform's contract.
#[derive(Clone, Debug)]
pub struct SimWorker {
    /// Its registry entry.
    pub record: WorkerRecord,
    /// What runs there.
    pub runs: Vec<SimRun>,
    /// How long each task takes.
    pub task_ms: u64,
    fence: u64,
    over: Vec<(Arc<str>, u64)>,
    ended: Vec<RunCompletion>,
    ends: u64,
    lease_ms: u64,
    clock_from_ms: u64,
}

impl SimWorker {
    /// An empty worker whose clock stood at `clock_from_ms` at time zero.
    pub fn new(id: &str, clock_from_ms: u64, task_ms: u64) -> Self {
        Self {
            record: record(id),
            runs: Vec::new(),
            task_ms,
            fence: 0,
            over: Vec::new(),
            ended: Vec::new(),
            ends: 0,
            lease_ms: 0,
            clock_from_ms,
        }
    }

    /// Its clock at a true time.
    pub fn clock_ms(&self, now_ms: u64) -> u64 {
        self.clock_from_ms + now_ms - now_ms * SLOW_THOUSANDTHS / 1000
    }

    /// Ends what is done or whose lease has lapsed.
    pub fn advance(&mut self, now_ms: u64) {
        let lapsed = self.clock_ms(now_ms) > self.lease_ms;
        let runs = std::mem::take(&mut self.runs);
        for run in runs {
            if run.ends_ms <= now_ms {
                self.end(&run, RunOutcome::Done);
            } else if lapsed {
                self.end(&run, RunOutcome::LeaseExpired);
            } else {
                self.runs.push(run);
            }
        }
    }

    fn end(&mut self, run: &SimRun, how: RunOutcome) {
        self.ends += 1;
        self.over.push((run.task.clone(), run.run_id));
        self.ended.push(RunCompletion {
            number: self.ends,
            task: run.task.clone(),
            run_id: run.run_id,
            outcome: how,
        });
    }

    fn obeys(&mut self, fence: Fence) -> bool {
        if fence.token() < self.fence {
            return false;
        }
        self.fence = fence.token();
        true
    }

    fn extend(&mut self, now_ms: u64, deadline_ms: u64) {
        let longest_ms = self.clock_ms(now_ms) + LEASE_MAX_MS;
        self.lease_ms = self.lease_ms.max(deadline_ms.min(longest_ms));
    }

    /// Carries out a start.
    pub fn start(&mut self, now_ms: u64, order: &StartOrder) -> OrderOutcome {
        self.advance(now_ms);
        if !self.obeys(order.target.fence) {
            return OrderOutcome::Fenced;
        }
        let clock_ms = self.clock_ms(now_ms);
        if order.deadline_ms < clock_ms {
            return OrderOutcome::Rejected(Rejection::Late);
        }
        let known = |(task, run): &(Arc<str>, u64)| *task == order.task && *run >= order.run_id;
        if self.over.iter().any(known) {
            return OrderOutcome::Rejected(Rejection::OldRun);
        }
        self.extend(now_ms, order.deadline_ms);
        let there = |run: &SimRun| run.task == order.task && run.run_id == order.run_id;
        if !self.runs.iter().any(there) {
            self.runs.push(SimRun {
                task: order.task.clone(),
                run_id: order.run_id,
                ends_ms: now_ms + self.task_ms,
            });
        }
        OrderOutcome::Done { clock_ms }
    }

    /// Carries out a stop.
    pub fn stop(&mut self, now_ms: u64, order: &StopOrder) -> OrderOutcome {
        self.advance(now_ms);
        if !self.obeys(order.target.fence) {
            return OrderOutcome::Fenced;
        }
        let there = |run: &SimRun| run.task == order.task && run.run_id == order.run_id;
        match self.runs.iter().position(there) {
            Some(position) => {
                let run = self.runs.swap_remove(position);
                self.end(&run, RunOutcome::Stopped);
            }
            None => self.over.push((order.task.clone(), order.run_id)),
        }
        OrderOutcome::Done {
            clock_ms: self.clock_ms(now_ms),
        }
    }

    /// Answers a hold at once.
    pub fn hold(&mut self, now_ms: u64, order: &RenewOrder) -> RenewOutcome {
        self.advance(now_ms);
        if !self.obeys(order.target.fence) {
            return RenewOutcome::Fenced;
        }
        if let Some(deadline_ms) = order.deadline_ms {
            self.extend(now_ms, deadline_ms);
        }
        self.ended.retain(|end| end.number > order.acked_completion);
        RenewOutcome::Renewed {
            clock_ms: self.clock_ms(now_ms),
            running: self
                .runs
                .iter()
                .map(|run| ListedRun {
                    task: run.task.clone(),
                    run_id: run.run_id,
                })
                .collect(),
            completions: self.ended.clone(),
        }
    }
}

/// The starts among commands.
pub fn starts(commands: &[Command]) -> Vec<StartOrder> {
    let starts = commands.iter().filter_map(|command| match command {
        Command::Start(order) => Some(order.clone()),
        _ => None,
    });
    starts.collect()
}

/// The holds among commands.
pub fn holds(commands: &[Command]) -> Vec<RenewOrder> {
    let holds = commands.iter().filter_map(|command| match command {
        Command::Renew(order) => Some(order.clone()),
        _ => None,
    });
    holds.collect()
}

/// The stops among commands.
pub fn stops(commands: &[Command]) -> Vec<StopOrder> {
    let stops = commands.iter().filter_map(|command| match command {
        Command::Stop(order) => Some(order.clone()),
        _ => None,
    });
    stops.collect()
}
