//! Shorthands for the events of an owner and for its orders.

use std::sync::Arc;

use trefoil_core::dispatch::job::Origin;
use trefoil_core::dispatch::order::{
    ListedRun, OrderOutcome, RenewOrder, RenewOutcome, RunCompletion, RunOutcome, StartOrder,
    StopOrder, Target,
};
use trefoil_core::dispatch::owner::{Command, OrderResult, Owner};
use trefoil_schema::dispatch::{Job, Outcome};

use super::{job, owner, renewals, worker_record};

pub const LINK: Origin = Origin::Link(7);

/// An order on its way to a worker.
#[derive(Clone, Debug)]
pub enum Order {
    Start(StartOrder),
    Stop(StopOrder),
    Renew(RenewOrder),
}

impl Order {
    pub fn worker_id(&self) -> &Arc<str> {
        match self {
            Self::Start(start) => &start.target.worker_id,
            Self::Stop(stop) => &stop.target.worker_id,
            Self::Renew(renewal) => &renewal.target.worker_id,
        }
    }
}

pub fn renewed(running: Vec<ListedRun>, completions: Vec<RunCompletion>) -> RenewOutcome {
    RenewOutcome::Renewed {
        born_ms: None,
        clock_ms: 50_000,
        running,
        completions,
    }
}

pub fn answer_renewal(
    owner: &mut Owner,
    now_ms: u64,
    order: &RenewOrder,
    outcome: RenewOutcome,
) -> Vec<Command> {
    let mut out = Vec::new();
    let (worker, fence) = (order.target.worker, order.target.fence);
    owner.on_renew_result(now_ms, worker, fence, order.number, outcome, &mut out);
    out
}

pub fn order_result(
    target: &Target,
    task: &Arc<str>,
    run_id: u64,
    outcome: OrderOutcome,
) -> OrderResult {
    OrderResult {
        worker: target.worker,
        fence: target.fence,
        task: task.clone(),
        run_id,
        outcome,
    }
}

pub fn answer_start(
    owner: &mut Owner,
    now_ms: u64,
    order: &StartOrder,
    outcome: OrderOutcome,
) -> Vec<Command> {
    let answer = order_result(&order.target, &order.task, order.run_id, outcome);
    let mut out = Vec::new();
    owner.on_start_result(now_ms, &answer, &mut out);
    out
}

pub fn answer_stop(
    owner: &mut Owner,
    now_ms: u64,
    order: &StopOrder,
    outcome: OrderOutcome,
) -> Vec<Command> {
    let answer = order_result(&order.target, &order.task, order.run_id, outcome);
    let mut out = Vec::new();
    owner.on_stop_result(now_ms, &answer, &mut out);
    out
}

/// An owner in a term whose workers are fenced and have no runs.
pub fn fenced_owner(term: u64, ids: &[&str]) -> Owner {
    let mut owner = owner(term);
    let mut out = Vec::new();
    owner.set_workers(
        0,
        ids.iter().map(|id| worker_record(id)).collect(),
        &mut out,
    );
    for renewal in renewals(&out) {
        answer_renewal(&mut owner, 1, &renewal, renewed(vec![], vec![]));
    }
    owner
}

pub fn delegate_job(owner: &mut Owner, now_ms: u64, spec: Job) -> Vec<Command> {
    let mut out = Vec::new();
    owner.delegate(now_ms, LINK, spec, 0, None, &mut out);
    out
}

pub fn delegate(owner: &mut Owner, now_ms: u64, id: &str, tasks: u32) -> Vec<Command> {
    let mut out = Vec::new();
    owner.delegate(now_ms, LINK, job(id, tasks, 100), 0, None, &mut out);
    out
}

pub fn job_outcomes(commands: &[Command]) -> Vec<(String, Outcome)> {
    let outcomes = commands.iter().filter_map(|command| match command {
        Command::JobEnded { result, .. } => Some((result.job_id.clone(), result.outcome)),
        _ => None,
    });
    outcomes.collect()
}

pub fn completion(number: u64, order: &StartOrder) -> RunCompletion {
    ended_run(number, order, RunOutcome::Done)
}

pub fn ended_run(number: u64, order: &StartOrder, outcome: RunOutcome) -> RunCompletion {
    RunCompletion {
        number,
        task: order.task.clone(),
        run_id: order.run_id,
        outcome,
    }
}
