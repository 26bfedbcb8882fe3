//! Events of a simulated history.

use trefoil_core::dispatch::order::{
    OrderOutcome, RenewOrder, RenewOutcome, StartOrder, StopOrder,
};
use trefoil_core::dispatch::ownership::Roster;
use trefoil_schema::dispatch::Holder;

use crate::dispatch_support::holder;
use crate::dispatch_support::orders::Order;

#[derive(Clone, Debug)]
pub enum Event {
    /// An order reaches a worker; its answer may be lost.
    Arrive {
        owner: usize,
        order: Order,
        answered: bool,
    },
    /// An owner learns the outcome of a start.
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
    Renew {
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
    /// A worker's capacity changes.
    Resize {
        worker: usize,
        cpu_millicores: u64,
    },
    /// A worker starts again under its id, with this capacity.
    StartAgain {
        worker: usize,
        cpu_millicores: u64,
    },
    /// The entry considers the current owner lost; it may still act for a while.
    ReplaceOwner,
    /// The lost owner detects that its link is down.
    OriginLost {
        owner: usize,
    },
    /// An owner reads the registry.
    ReadRegistry {
        owner: usize,
    },
    /// An owner sends its roster to the store.
    SendRoster {
        owner: usize,
    },
    /// A roster reaches the store.
    WriteRoster {
        owner: usize,
        roster: Roster,
        answered: bool,
    },
    /// The operator closes the failure domain, or opens it again.
    CloseDomain,
    ReopenDomain,
    /// The entry delegates the returned jobs again.
    Redelegate,
    /// An owner learns whether the failure domain is closed.
    LearnClosure {
        owner: usize,
    },
    /// An owner learns that the store holds its roster.
    RosterStored {
        owner: usize,
        roster: Roster,
    },
}

/// The pool's record in the store.
#[derive(Clone, Debug, Default)]
pub struct Record {
    pub owner: usize,
    pub roster: Option<Roster>,
}

/// The entry's state of a job.
#[derive(Clone, Debug)]
pub struct EntryJob {
    pub tasks: u32,
    /// The owner that it is delegated to.
    pub owner: usize,
    pub unsafe_until_ms: u64,
    pub unsafe_owner: Option<usize>,
}

pub fn holder_of(owner: usize) -> Holder {
    holder(owner as u64 + 1)
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
        Order::Renew(order) => Event::Renew {
            owner,
            order,
            outcome: RenewOutcome::NoAnswer,
        },
    }
}
