//! Loads that the owners of other pools report in their heartbeats.
//!
//! Decisions that concern the whole deployment (shares of classes, number of slow
//! workers, speeds by kind) are made by each owner alone, from its own figures and
//! these. A report that was not repeated for [`EXPIRY_MS`] is ignored: its owner is
//! lost or unreachable, or this process was suspended.

use std::collections::BTreeMap;

use trefoil_schema::dispatch::Load;

/// Maximum age of a report, in milliseconds: heartbeats are sent every 100, and a lost
/// owner is replaced within 500.
const EXPIRY_MS: u64 = 1000;

/// Last reports by pool.
#[derive(Debug, Default)]
pub(super) struct PeerLoads {
    reports: BTreeMap<String, (Load, u64)>,
}

impl PeerLoads {
    /// Records the load of another owner's pool.
    pub(super) fn observe(&mut self, now_ms: u64, pool: &str, load: &Load) {
        self.reports.insert(pool.to_owned(), (load.clone(), now_ms));
    }

    /// Removes reports that have expired.
    pub(super) fn expire(&mut self, now_ms: u64) {
        self.reports
            .retain(|_, (_, heard_ms)| now_ms <= *heard_ms + EXPIRY_MS);
    }

    /// The reports that have not expired.
    pub(super) fn current(&self, now_ms: u64) -> impl Iterator<Item = &Load> {
        let reports = self.reports.values();
        let current = reports.filter(move |(_, heard_ms)| now_ms <= *heard_ms + EXPIRY_MS);
        current.map(|(load, _)| load)
    }
}
