//! When a job is safe that an earlier owner had: nothing that this one ordered
//! can start any of its tasks.
//!
//! Time makes every job safe: leases lapse. A job that only one ownership had is
//! safe sooner. Had this owner had it itself, it knows all runs. Had its
//! predecessor, it is safe once every worker of that one's [roster] obeys.
//!
//! [roster]: crate::dispatch::ownership::Roster

use std::collections::HashSet;

use super::*;

/// What makes a job safe before its time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StartBarrier {
    /// Nothing.
    #[default]
    LeaseExpiry,
    /// It is: only this owner has had it.
    None,
    /// The obedience of all workers that the predecessor may have ordered.
    PredecessorFenced,
}

/// What is known of the ownership that this one followed.
#[derive(Debug, Default)]
pub(super) struct Clearance {
    own: Option<Holder>,
    predecessor: Option<Holder>,
    /// Workers of the predecessor that do not obey yet.
    unfenced: HashSet<Arc<str>>,
}

impl Clearance {
    pub(super) fn new(own: Option<Holder>, predecessor: Option<Predecessor>) -> Self {
        let (predecessor, roster) = match predecessor {
            Some(known) => (Some(known.holder), known.roster),
            None => (None, Roster::new()),
        };
        Self {
            own,
            predecessor,
            unfenced: roster.into_iter().collect(),
        }
    }

    /// What makes a job safe that only `holder` may have had.
    pub(super) fn of(&self, holder: Option<&Holder>) -> StartBarrier {
        match holder {
            None => StartBarrier::LeaseExpiry,
            holder if holder == self.own.as_ref() => StartBarrier::None,
            holder if holder == self.predecessor.as_ref() => StartBarrier::PredecessorFenced,
            Some(_) => StartBarrier::LeaseExpiry,
        }
    }

    /// A worker obeys this owner, or its life is over; whether it was the last.
    pub(super) fn fenced(&mut self, worker_id: &str) -> bool {
        self.unfenced.remove(worker_id) && self.unfenced.is_empty()
    }

    /// Whether all workers obey that the predecessor may have ordered.
    pub(super) fn is_complete(&self) -> bool {
        self.unfenced.is_empty()
    }
}

impl Owner {
    /// Whether every worker that the predecessor may have ordered obeys.
    pub fn all_fenced(&self) -> bool {
        self.clearance.is_complete()
    }

    /// All workers that may be ordered here.
    pub fn roster(&self) -> Roster {
        let workers = self.workers.values();
        workers.map(|worker| worker.record.id.clone()).collect()
    }

    /// A roster is on its way to the store: it may hold, or the one before.
    pub fn on_roster_sent(&mut self, roster: Roster) {
        self.stored_roster = Some(match self.stored_roster.take() {
            Some(before) => before.intersection(&roster).cloned().collect(),
            None => roster,
        });
        self.mark_announced();
    }

    /// The store holds this roster.
    pub fn on_roster_stored(&mut self, now_ms: u64, roster: Roster, out: &mut Vec<Command>) {
        self.stored_roster = Some(roster);
        self.mark_announced();
        self.settle(now_ms, out);
    }

    pub(super) fn may_use(&self, worker_id: &str) -> bool {
        let announced = self.stored_roster.as_ref();
        announced.is_none_or(|roster| roster.contains(worker_id))
    }

    fn mark_announced(&mut self) {
        let announced = self.stored_roster.as_ref();
        for worker in self.workers.values_mut() {
            let id = &worker.record.id;
            worker.in_stored_roster = announced.is_none_or(|roster| roster.contains(id));
        }
    }
}
