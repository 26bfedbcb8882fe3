//! Copies the counters of the components to the exported metrics.

use std::sync::atomic::Ordering;

use trefoil_core::engine::EngineStats;
use trefoil_schema::api::InstanceStateName;

use super::components::Components;
use crate::peers::Peers;
use crate::sources::platform::etcd::CallKind;
use crate::util::telemetry::metrics::{Gauges, Metrics, StoreCall, WastedMessage};
use crate::util::telemetry::totals::{Total, Totals};

/// Periods between counts of the instances, which copy the whole list.
const PERIODS_PER_INSTANCE_COUNT: u64 = 20;

/// States of instances with their metric labels.
const STATES: [(InstanceStateName, &str); 4] = [
    (InstanceStateName::Serving, "serving"),
    (InstanceStateName::Leaving, "leaving"),
    (InstanceStateName::Silent, "silent"),
    (InstanceStateName::Gone, "gone"),
];

/// Totals at the last report, initially zero.
#[derive(Debug, Default)]
pub(super) struct MetricsReporter {
    totals: Totals,
    periods: u64,
}

impl MetricsReporter {
    /// Reports changes since the last call; called once per period.
    pub(super) fn report(
        &mut self,
        components: &Components,
        stats: &EngineStats,
        metrics: &Metrics,
    ) {
        let totals = totals(components, stats);
        metrics.record_totals(&self.totals, &totals);
        self.totals = totals;
        metrics.set_gauges(&gauges(&components.peers, stats));
        if self.periods.is_multiple_of(PERIODS_PER_INSTANCE_COUNT) {
            count_instances(&components.peers, metrics);
        }
        self.periods += 1;
    }
}

fn totals(components: &Components, stats: &EngineStats) -> Totals {
    let mut totals = Totals::default();
    totals.push_engine_stats(stats);
    totals.push_link_stats(&components.peers.links().stats());
    push_store(&mut totals, components);
    let workers = components.runtime.workers().counters();
    let peers = components.peers.counters();
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
        (WastedMessage::MismatchedAnswer, peers.mismatched_answers()),
    ];
    for (kind, count) in wasted {
        totals.push(Total::Wasted(kind), count);
    }
    totals
}

fn push_store(totals: &mut Totals, components: &Components) {
    let calls = components.etcd.calls();
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
