//! Simulated workers, jobs and owners for the dispatch tests, in virtual time.

#![allow(dead_code)]

pub mod orders;

use std::sync::Arc;

use trefoil_core::dispatch::fence::Fence;
use trefoil_core::dispatch::order::{
    ListedRun, OrderOutcome, Rejection, RenewOrder, RenewOutcome, RunCompletion, RunOutcome,
    StartOrder, StopOrder, Target,
};
use trefoil_core::dispatch::owner::{Command, Owner};
use trefoil_core::dispatch::ownership::Predecessor;
use trefoil_core::dispatch::worker::{Resources, WorkerRecord};
use trefoil_schema::dispatch::{Holder, Job, Phase};

/// Pool of all tests.
pub const POOL: &str = "forde/0";
/// Longest lease that a worker grants, in milliseconds of its clock.
const LEASE_MAX_MS: u64 = 1000;
/// By how much a worker's clock is slow, in thousandths.
const CLOCK_DRIFT_THOUSANDTHS: u64 = 20;

/// The registry record of a worker with capacity for two tasks of [`job`].
pub fn worker_record(id: &str) -> WorkerRecord {
    WorkerRecord {
        id: Arc::from(id),
        address: Arc::from(format!("{id}:80")),
        failure_domain: Arc::from("forde"),
        service: Arc::from("register"),
        draining: false,
        departure: None,
        capacity: Resources {
            cpu_millicores: 2000,
            memory_mb: 1000,
            gpus: 0,
        },
        labels: ["a", "r1"].into_iter().map(Arc::from).collect(),
        born_ms: None,
        revision: 0,
    }
}

/// A job of one phase whose tasks request one core each.
pub fn job(id: &str, count: u32, estimate_ms: u64) -> Job {
    Job {
        id: id.to_owned(),
        spec: "text".to_owned(),
        service: "register".to_owned(),
        attempts_max: 3,
        patience_ms: 0,
        // No job expires in the long histories.
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

/// A job whose tasks all fit on one worker.
pub fn wide_job(id: &str, count: u32) -> Job {
    let mut job = job(id, count, 100);
    job.phases[0].cpu_millicores = 0;
    job.phases[0].memory_mb = 0;
    job
}

/// The holder of the pool in a term.
pub fn holder(term: u64) -> Holder {
    Holder {
        term,
        owner: "entry-1".to_owned(),
        incarnation: 0,
    }
}

/// An owner in a term, without a known predecessor.
pub fn owner(term: u64) -> Owner {
    let fence = Fence::new(term, "entry-1");
    Owner::new(POOL, fence, term * 100_000).with_predecessor(Some(holder(term)), None)
}

/// An owner in a term whose predecessor, of the term before, used these workers.
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
    pub task: Arc<str>,
    pub run_id: u64,
    ends_ms: u64,
}

/// A simulated worker that honors the platform's contract.
#[derive(Clone, Debug)]
pub struct SimWorker {
    pub record: WorkerRecord,
    pub runs: Vec<SimRun>,
    /// Duration of each task.
    pub task_ms: u64,
    fence: u64,
    /// Runs that have ended or must not start any more.
    past_runs: Vec<(Arc<str>, u64)>,
    /// Completions that are not acknowledged yet.
    unacked: Vec<RunCompletion>,
    completion_count: u64,
    lease_ms: u64,
    clock_start_ms: u64,
    /// Virtual time at which the clock reads `clock_start_ms`.
    started_ms: u64,
}

impl SimWorker {
    /// A worker without runs whose clock reads `clock_start_ms` at time zero.
    pub fn new(id: &str, clock_start_ms: u64, task_ms: u64) -> Self {
        Self {
            record: worker_record(id),
            runs: Vec::new(),
            task_ms,
            fence: 0,
            past_runs: Vec::new(),
            unacked: Vec::new(),
            completion_count: 0,
            lease_ms: 0,
            clock_start_ms,
            started_ms: 0,
        }
    }

    /// Starts again under the same id: it holds nothing, and its counts and its clock start
    /// anew.
    pub fn start_again(&mut self, now_ms: u64, born_ms: u64) {
        let record = WorkerRecord {
            born_ms: Some(born_ms),
            ..self.record.clone()
        };
        *self = Self {
            record,
            started_ms: now_ms,
            ..Self::new(&self.record.id, 0, self.task_ms)
        };
    }

    /// The worker's clock at virtual time `now_ms`.
    pub fn clock_ms(&self, now_ms: u64) -> u64 {
        let up_ms = now_ms - self.started_ms;
        self.clock_start_ms + up_ms - up_ms * CLOCK_DRIFT_THOUSANDTHS / 1000
    }

    /// Ends the runs that have completed or whose lease has expired.
    pub fn advance(&mut self, now_ms: u64) {
        let is_expired = self.clock_ms(now_ms) > self.lease_ms;
        let runs = std::mem::take(&mut self.runs);
        for run in runs {
            if run.ends_ms <= now_ms {
                self.end(&run, RunOutcome::Done);
            } else if is_expired {
                self.end(&run, RunOutcome::LeaseExpired);
            } else {
                self.runs.push(run);
            }
        }
    }

    fn end(&mut self, run: &SimRun, outcome: RunOutcome) {
        self.completion_count += 1;
        self.past_runs.push((run.task.clone(), run.run_id));
        self.unacked.push(RunCompletion {
            number: self.completion_count,
            task: run.task.clone(),
            run_id: run.run_id,
            outcome,
        });
    }

    /// The start of this incarnation, if an order is for another one and thus does not reach it.
    fn unreached(&self, target: &Target) -> Option<u64> {
        let born_ms = self.record.born_ms?;
        target
            .born_ms
            .filter(|&target_ms| target_ms != born_ms)
            .map(|_| born_ms)
    }

    /// Accepts a fence unless a newer one was accepted before.
    fn accept_fence(&mut self, fence: Fence) -> bool {
        if fence.token() < self.fence {
            return false;
        }
        self.fence = fence.token();
        true
    }

    fn extend_lease(&mut self, now_ms: u64, deadline_ms: u64) {
        let max_ms = self.clock_ms(now_ms) + LEASE_MAX_MS;
        self.lease_ms = self.lease_ms.max(deadline_ms.min(max_ms));
    }

    /// Carries out a start.
    pub fn start(&mut self, now_ms: u64, order: &StartOrder) -> OrderOutcome {
        self.advance(now_ms);
        if let Some(born_ms) = self.unreached(&order.target) {
            return OrderOutcome::OtherIncarnation { born_ms };
        }
        if !self.accept_fence(order.target.fence) {
            return OrderOutcome::Fenced;
        }
        let clock_ms = self.clock_ms(now_ms);
        if order.deadline_ms < clock_ms {
            return OrderOutcome::Rejected(Rejection::Late);
        }
        let known = |(task, run): &(Arc<str>, u64)| *task == order.task && *run >= order.run_id;
        if self.past_runs.iter().any(known) {
            return OrderOutcome::Rejected(Rejection::OldRun);
        }
        self.extend_lease(now_ms, order.deadline_ms);
        let same_run = |run: &SimRun| run.task == order.task && run.run_id == order.run_id;
        if !self.runs.iter().any(same_run) {
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
        if let Some(born_ms) = self.unreached(&order.target) {
            return OrderOutcome::OtherIncarnation { born_ms };
        }
        if !self.accept_fence(order.target.fence) {
            return OrderOutcome::Fenced;
        }
        let same_run = |run: &SimRun| run.task == order.task && run.run_id == order.run_id;
        match self.runs.iter().position(same_run) {
            Some(position) => {
                let run = self.runs.swap_remove(position);
                self.end(&run, RunOutcome::Stopped);
            }
            None => self.past_runs.push((order.task.clone(), order.run_id)),
        }
        OrderOutcome::Done {
            clock_ms: self.clock_ms(now_ms),
        }
    }

    /// Carries out a lease renewal, without waiting for a completion.
    pub fn renew(&mut self, now_ms: u64, order: &RenewOrder) -> RenewOutcome {
        self.advance(now_ms);
        if !self.accept_fence(order.target.fence) {
            return RenewOutcome::Fenced;
        }
        // A renewal for another incarnation only lists.
        if self.unreached(&order.target).is_none() {
            if let Some(deadline_ms) = order.deadline_ms {
                self.extend_lease(now_ms, deadline_ms);
            }
            self.unacked
                .retain(|completion| completion.number > order.acked_completion);
        }
        RenewOutcome::Renewed {
            born_ms: self.record.born_ms,
            clock_ms: self.clock_ms(now_ms),
            running: self
                .runs
                .iter()
                .map(|run| ListedRun {
                    task: run.task.clone(),
                    run_id: run.run_id,
                })
                .collect(),
            completions: self.unacked.clone(),
        }
    }
}

/// The start orders among commands.
pub fn starts(commands: &[Command]) -> Vec<StartOrder> {
    let starts = commands.iter().filter_map(|command| match command {
        Command::Start(order) => Some(order.clone()),
        _ => None,
    });
    starts.collect()
}

/// The lease renewals among commands.
pub fn renewals(commands: &[Command]) -> Vec<RenewOrder> {
    let renewals = commands.iter().filter_map(|command| match command {
        Command::Renew(order) => Some(order.clone()),
        _ => None,
    });
    renewals.collect()
}

/// The stop orders among commands.
pub fn stops(commands: &[Command]) -> Vec<StopOrder> {
    let stops = commands.iter().filter_map(|command| match command {
        Command::Stop(order) => Some(order.clone()),
        _ => None,
    });
    stops.collect()
}
