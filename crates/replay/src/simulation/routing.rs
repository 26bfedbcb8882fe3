//! Counts of the decisions of entries.

use trefoil_core::dispatch::entry::RoutingOutcome;

/// What the entries of a replay decided.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RoutingStats {
    /// Delegations of jobs to owners, first and further ones.
    pub delegations: u64,
    /// Jobs that an owner refused and that were delegated to another one.
    pub sent_on: u64,
    /// Jobs that the entry refused without asking an owner.
    pub refused_by_entry: u64,
    /// Jobs that an owner refused and that were answered at once.
    pub not_sent_on: u64,
}

impl RoutingStats {
    pub(super) fn record(&mut self, outcome: &RoutingOutcome) {
        match outcome {
            RoutingOutcome::SentOn { .. } => self.sent_on += 1,
            RoutingOutcome::RefusedByEntry { .. } => self.refused_by_entry += 1,
            RoutingOutcome::NotSentOn { .. } => self.not_sent_on += 1,
        }
    }

    /// Share of the delegations that were revoked to try another pool.
    pub fn sent_on_share(&self) -> f64 {
        self.sent_on as f64 / self.delegations.max(1) as f64
    }
}
