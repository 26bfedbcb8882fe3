//! What happens in a history.

use std::sync::Arc;

use trefoil_core::dispatch::order::{
    OrderOutcome, RenewOrder, RenewOutcome, StartOrder, StopOrder, Target,
};
use trefoil_core::dispatch::owner::OrderResult;
use trefoil_core::dispatch::ownership::Roster;
use trefoil_schema::dispatch::Holder;

use crate::dispatch_support::holder;

#[derive(Clone, Debug)]
pub enum Order {
    Start(StartOrder),
    Stop(StopOrder),
    Hold(RenewOrder),
}

#[derive(Clone, Debug)]
pub enum Event {
    /// An order reaches a worker; its answer may not come back.
    Arrive {
        owner: usize,
        order: Order,
        answered: bool,
    },
    /// What an owner learns of an order.
    Start {
        owner: usize,
        order: StartOrder,
        outcome: OrderOutcome,
    },
    Stop {
        owner: usize,
        order: StopOrder,
        outcome: OrderOutcome,
    },
    Hold {
        owner: usize,
        order: RenewOrder,
        outcome: RenewOutcome,
    },
    Tick {
        owner: usize,
    },
    Submit {
        job: usize,
    },
    /// A worker's capacity shrinks, or grows back.
    Resize {
        worker: usize,
        cpu_millicores: u64,
    },
    /// The present owner is lost to the entry; it may live on for a while.
    Replace,
    /// The lost owner notices that its link is down.
    Notice {
        owner: usize,
    },
    /// An owner reads the registry, which lists all workers.
    Registry {
        owner: usize,
    },
    /// An owner sends its roster to the store.
    SendRoster {
        owner: usize,
    },
    /// A roster reaches the store.
    Roster {
        owner: usize,
        roster: Roster,
        answered: bool,
    },
    /// The operator closes the failure domain, or opens it again.
    Close,
    Reopen,
    /// The entry sends again what was given back.
    Resend,
    /// An owner learns of that.
    Learn {
        owner: usize,
    },
    /// An owner learns that the store holds its roster.
    RosterStored {
        owner: usize,
        roster: Roster,
    },
}

/// The store's record of the pool's claim.
#[derive(Clone, Debug, Default)]
pub struct Record {
    pub owner: usize,
    pub roster: Option<Roster>,
}

/// What the entry knows of a job.
#[derive(Clone, Debug)]
pub struct EntryJob {
    pub tasks: u32,
    /// The owner that has it.
    pub owner: usize,
    pub unsafe_until_ms: u64,
    pub unsafe_owner: Option<usize>,
}

pub fn holder_of(owner: usize) -> Holder {
    holder(owner as u64 + 1)
}

pub fn worker_of(order: &Order) -> String {
    let target = match order {
        Order::Start(order) => &order.target,
        Order::Stop(order) => &order.target,
        Order::Hold(order) => &order.target,
    };
    target.worker_id.to_string()
}

pub fn answered(target: Target, task: Arc<str>, run_id: u64, outcome: OrderOutcome) -> OrderResult {
    OrderResult {
        worker: target.worker,
        fence: target.fence,
        task,
        run_id,
        outcome,
    }
}

pub fn unanswered(owner: usize, order: Order) -> Event {
    let outcome = OrderOutcome::NoAnswer;
    match order {
        Order::Start(order) => Event::Start {
            owner,
            order,
            outcome,
        },
        Order::Stop(order) => Event::Stop {
            owner,
            order,
            outcome,
        },
        Order::Hold(order) => Event::Hold {
            owner,
            order,
            outcome: RenewOutcome::NoAnswer,
        },
    }
}
