//! Reads what the parts have counted and hands it to the instruments.

use std::sync::atomic::Ordering;

use trefoil_core::engine::EngineStats;
use trefoil_schema::api::InstanceStateName;

use super::parts::Parts;
use crate::peers::Peers;
use crate::sources::platform::etcd::CallKind;
use crate::util::telemetry::metrics::{Gauges, Metrics, StoreCall, WastedMessage};
use crate::util::telemetry::totals::{Total, Totals};

/// Periods between looks at the other instances, whose list is copied.
const PERIODS_PER_LOOK: u64 = 20;

/// States of instances, each with its label.
const STATES: [(InstanceStateName, &str); 4] = [
    (InstanceStateName::Serving, "serving"),
    (InstanceStateName::Leaving, "leaving"),
    (InstanceStateName::Silent, "silent"),
    (InstanceStateName::Gone, "gone"),
];

/// What was reported last; nothing at first, so that totals count from the
/// start of the parts.
#[derive(Debug, Default)]
pub(super) struct Report {
    totals: Totals,
    periods: u64,
}

impl Report {
    /// Reports what changed; called once a period.
    pub(super) fn send(&mut self, parts: &Parts, stats: &EngineStats, metrics: &Metrics) {
        let totals = totals(parts, stats);
        metrics.record_totals(&self.totals, &totals);
        self.totals = totals;
        metrics.set_gauges(&gauges(&parts.peers, stats));
        if self.periods.is_multiple_of(PERIODS_PER_LOOK) {
            count_instances(&parts.peers, metrics);
        }
        self.periods += 1;
    }
}

fn totals(parts: &Parts, stats: &EngineStats) -> Totals {
    let mut totals = Totals::default();
    totals.push_engine_stats(stats);
    totals.push_link_stats(&parts.peers.links().stats());
    push_store(&mut totals, parts);
    let workers = parts.runtime.workers().counters();
    let peers = parts.peers.counters();
    let wasted = [
        (
            WastedMessage::CrossedAnswer,
            workers.crossed_answers.load(Ordering::Relaxed),
        ),
        (
            WastedMessage::NotStarted,
            workers.not_run.load(Ordering::Relaxed),
        ),
        (WastedMessage::Misrouted, peers.misrouted()),
        (WastedMessage::Reasked, peers.reasked()),
        (WastedMessage::StalePeerMessage, peers.stale_answers()),
    ];
    for (kind, count) in wasted {
        totals.push(Total::Wasted(kind), count);
    }
    totals
}

fn push_store(totals: &mut Totals, parts: &Parts) {
    let calls = parts.etcd.calls();
    for (kind, call) in [
        (StoreCall::Range, CallKind::Range),
        (StoreCall::Txn, CallKind::Txn),
        (StoreCall::Watch, CallKind::Watch),
    ] {
        totals.push(Total::StoreCalls(kind), calls.of(call));
    }
    totals.push(Total::StoreFailures, calls.failed());
}

fn gauges(peers: &Peers, stats: &EngineStats) -> Gauges {
    Gauges {
        keys: stats.keys,
        jobs_running: stats.jobs_running,
        tasks_queued: stats.tasks_queued,
        tasks_running: stats.tasks_running,
        results_bytes: stats.results_bytes,
        slots_owned: stats.slots_owned,
        workers_ejected: stats.workers_ejected,
        view_version: peers.view_version(),
        admission_lead_ms: peers.admission_lead_ms(),
    }
}

fn count_instances(peers: &Peers, metrics: &Metrics) {
    let instances = peers.status().instances;
    for (state, label) in STATES {
        let count = instances.iter().filter(|one| one.state == state).count();
        metrics.set_instances(label, count as u64);
    }
}
