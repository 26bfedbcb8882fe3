//! When a job that an earlier owner had is safe to start: no order of that owner can
//! still start any of its tasks.
//!
//! Every job is safe once the leases of earlier owners have expired. A job that only
//! one ownership had is safe sooner: at once if it was this ownership, which knows all
//! its runs; if it was the predecessor, once every worker of the predecessor's
//! [roster] has accepted the new fence.
//!
//! [roster]: crate::dispatch::ownership::Roster

use std::collections::HashSet;

use super::*;

/// What must hold before a job that an earlier owner had may start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StartBarrier {
    /// The leases of earlier owners must have expired.
    #[default]
    LeaseExpiry,
    /// Nothing: only this owner has had the job.
    None,
    /// All workers that the predecessor used must have accepted the new fence.
    PredecessorFenced,
}

/// Fencing of the workers that the predecessor used.
#[derive(Debug, Default)]
pub(super) struct PredecessorFencing {
    own: Option<Holder>,
    predecessor: Option<Holder>,
    /// Workers of the predecessor that have not accepted the new fence yet.
    unfenced: HashSet<Arc<str>>,
}

impl PredecessorFencing {
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

    /// The barrier of a job of which only `holder` may have started tasks.
    pub(super) fn barrier_for(&self, holder: Option<&Holder>) -> StartBarrier {
        match holder {
            None => StartBarrier::LeaseExpiry,
            holder if holder == self.own.as_ref() => StartBarrier::None,
            holder if holder == self.predecessor.as_ref() => StartBarrier::PredecessorFenced,
            Some(_) => StartBarrier::LeaseExpiry,
        }
    }

    /// Records that a worker has accepted the new fence, or that its incarnation has
    /// ended. Returns whether it was the last one.
    pub(super) fn record_fenced(&mut self, worker_id: &str) -> bool {
        self.unfenced.remove(worker_id) && self.unfenced.is_empty()
    }

    pub(super) fn is_complete(&self) -> bool {
        self.unfenced.is_empty()
    }
}

impl Owner {
    /// Whether all workers that the predecessor used have accepted the new fence.
    pub(super) fn predecessor_fenced(&self) -> bool {
        self.predecessor.is_complete()
    }

    /// Ids of all workers in the table, to be stored before they are used.
    pub fn roster(&self) -> Roster {
        let workers = self.workers.values();
        workers.map(|worker| worker.record.id.clone()).collect()
    }

    /// A write of `roster` to the store has begun. Until it has completed, only workers
    /// that are in both rosters may be used, since the store may hold either.
    pub fn on_roster_sent(&mut self, roster: Roster) {
        self.stored_roster = Some(match self.stored_roster.take() {
            Some(before) => before.intersection(&roster).cloned().collect(),
            None => roster,
        });
        self.update_in_stored_roster();
    }

    /// The store holds `roster`: all of its workers may be used.
    pub fn on_roster_stored(&mut self, now_ms: u64, roster: Roster, out: &mut Vec<Command>) {
        self.stored_roster = Some(roster);
        self.update_in_stored_roster();
        self.schedule(now_ms, out);
    }

    pub(super) fn is_in_stored_roster(&self, worker_id: &str) -> bool {
        let stored_roster = self.stored_roster.as_ref();
        stored_roster.is_none_or(|roster| roster.contains(worker_id))
    }

    fn update_in_stored_roster(&mut self) {
        let stored_roster = self.stored_roster.as_ref();
        for worker in self.workers.values_mut() {
            let id = &worker.record.id;
            worker.in_stored_roster = stored_roster.is_none_or(|roster| roster.contains(id));
        }
    }
}
