//! Prometheus metrics of an instance.

use std::cell::Cell;

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};
use trefoil_core::dispatch::owner::OwnerStats;

use crate::connections::{ConnectionStats, Connections};

/// Bucket bounds of latency histograms in milliseconds, from a call inside a
/// failure domain to the longest job.
const BUCKETS_MS: [f64; 12] = [
    0.5, 1.0, 2.0, 5.0, 10.0, 25.0, 50.0, 100.0, 250.0, 500.0, 1000.0, 2500.0,
];

/// Whose memory a refused job did not fit into.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobMemory {
    /// Unanswered jobs of callers.
    Entry,
    /// Delegations that wait to be written.
    Links,
}

impl JobMemory {
    fn label(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Links => "links",
        }
    }
}

/// The metrics registry of one instance.
pub struct Metrics {
    registry: Registry,
    /// Callers' requests, labeled by outcome.
    pub answers: IntCounterVec,
    /// Milliseconds from a fully received request to its answer.
    pub answer_ms: Histogram,
    /// Start orders sent to workers.
    pub(crate) starts: IntCounter,
    /// Milliseconds until a worker answered a start order.
    pub(crate) start_answer_ms: Histogram,
    /// Stop orders sent to workers.
    pub(crate) stops: IntCounter,
    /// Runs stopped and started elsewhere because their workers were about to exit.
    pub(crate) departure_restarts: IntCounter,
    /// Lease renewals sent to workers.
    pub(crate) lease_renewals: IntCounter,
    /// Results of earlier delegations of a job, which are ignored.
    pub(crate) stale_results: IntCounter,
    /// Reads of the declarations because no peer confirmed them.
    pub(crate) unconfirmed_reads: IntCounter,
    /// Failed reads of the declarations.
    pub(crate) declaration_read_failures: IntCounter,
    /// Requests for declarations sent to peers.
    pub(crate) declaration_requests: IntCounter,
    /// Bytes of declarations sent to peers.
    pub(crate) declaration_bytes_sent: IntCounter,
    /// Requests that are malformed, match no route or come before the declarations.
    pub bad_requests: IntCounter,
    memory_refusals: IntCounterVec,
    connections: IntGauge,
    bodies_bytes: IntGauge,
    connections_closed: IntCounterVec,
    bodies_given_up: IntCounterVec,
    /// Totals at the last call of [`Self::set_connections`].
    last_connections: Cell<ConnectionStats>,
    jobs_awaited: IntGauge,
    jobs_bytes: IntGauge,
    jobs_owned: IntGauge,
    jobs_waiting: IntGauge,
    workers: IntGauge,
    workers_fenced: IntGauge,
    runs: IntGauge,
    workers_suspected: IntGauge,
    suspicions: IntCounter,
    slow_run_restarts: IntCounter,
    /// Totals at the last call of [`Self::set_stats`]. They fall when an owner is released.
    last_suspicions: Cell<u64>,
    last_slow_run_restarts: Cell<u64>,
    waits_for_faster: IntGauge,
    waits_for_rack: IntGauge,
    kinds_ignored: IntGauge,
    closed: IntGauge,
    declarations_version: IntGauge,
    declarations_confirmed_age_ms: IntGauge,
    unreadable: IntGauge,
}

impl Metrics {
    /// Registers all metrics, with initial value zero.
    ///
    /// # Errors
    ///
    /// Fails if two metrics have the same name.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let answers = Opts::new("trefoil_answers_total", "Callers' requests by outcome.");
        let answers = IntCounterVec::new(answers, &["outcome"])?;
        registry.register(Box::new(answers.clone()))?;
        let connections_closed = Opts::new(
            "trefoil_connections_closed_total",
            "Callers' connections closed by a limit.",
        );
        let connections_closed = IntCounterVec::new(connections_closed, &["cause"])?;
        registry.register(Box::new(connections_closed.clone()))?;
        let bodies_given_up = Opts::new(
            "trefoil_bodies_given_up_total",
            "Request bodies that were not received to their end because of a limit.",
        );
        let bodies_given_up = IntCounterVec::new(bodies_given_up, &["cause"])?;
        registry.register(Box::new(bodies_given_up.clone()))?;
        let memory_refusals = Opts::new(
            "trefoil_jobs_refused_for_memory_total",
            "Jobs refused because others occupy the memory.",
        );
        let memory_refusals = IntCounterVec::new(memory_refusals, &["at"])?;
        registry.register(Box::new(memory_refusals.clone()))?;
        Ok(Self {
            answers,
            answer_ms: histogram(&registry, "trefoil_answer_ms", "Whole request to answer.")?,
            starts: counter(&registry, "trefoil_starts_total", "Starts ordered.")?,
            start_answer_ms: histogram(&registry, "trefoil_start_answer_ms", "Start to answer.")?,
            stops: counter(&registry, "trefoil_stops_total", "Stops ordered.")?,
            departure_restarts: counter(
                &registry,
                "trefoil_departure_restarts_total",
                "Runs moved off workers that were about to exit.",
            )?,
            lease_renewals: counter(&registry, "trefoil_holds_total", "Holds ordered.")?,
            stale_results: counter(
                &registry,
                "trefoil_stale_results_total",
                "Results of earlier delegations.",
            )?,
            unconfirmed_reads: counter(
                &registry,
                "trefoil_unconfirmed_reads_total",
                "Reads of the declarations because no peer confirmed them.",
            )?,
            declaration_read_failures: counter(
                &registry,
                "trefoil_declaration_read_failures_total",
                "Failed reads of the declarations from the store.",
            )?,
            declaration_requests: counter(
                &registry,
                "trefoil_declaration_requests_total",
                "Requests for declarations sent to peers.",
            )?,
            declaration_bytes_sent: counter(
                &registry,
                "trefoil_declaration_bytes_sent_total",
                "Bytes of declarations sent to peers.",
            )?,
            bad_requests: counter(
                &registry,
                "trefoil_bad_requests_total",
                "Unusable requests.",
            )?,
            memory_refusals,
            connections: gauge(
                &registry,
                "trefoil_connections",
                "Open connections of callers.",
            )?,
            bodies_bytes: gauge(
                &registry,
                "trefoil_bodies_bytes",
                "Memory of request bodies that are being received.",
            )?,
            connections_closed,
            bodies_given_up,
            last_connections: Cell::default(),
            jobs_bytes: gauge(
                &registry,
                "trefoil_jobs_owned_bytes",
                "Estimated memory of the jobs at this owner.",
            )?,
            jobs_awaited: gauge(&registry, "trefoil_jobs_awaited", "Callers' jobs here.")?,
            jobs_owned: gauge(&registry, "trefoil_jobs_owned", "Jobs at this owner.")?,
            jobs_waiting: gauge(
                &registry,
                "trefoil_jobs_waiting",
                "Jobs at this owner that wait for room.",
            )?,
            workers: gauge(&registry, "trefoil_workers", "Workers of this owner.")?,
            workers_fenced: gauge(&registry, "trefoil_workers_fenced", "Workers that obey.")?,
            runs: gauge(&registry, "trefoil_runs", "Runs that may be on workers.")?,
            workers_suspected: gauge(
                &registry,
                "trefoil_workers_suspected",
                "Workers suspected as slow, which get probes only.",
            )?,
            suspicions: counter(
                &registry,
                "trefoil_worker_suspicions_total",
                "Times that a worker was suspected as slow.",
            )?,
            slow_run_restarts: counter(
                &registry,
                "trefoil_slow_run_restarts_total",
                "Runs of slow workers stopped to be restarted elsewhere.",
            )?,
            last_suspicions: Cell::new(0),
            last_slow_run_restarts: Cell::new(0),
            waits_for_faster: gauge(
                &registry,
                "trefoil_waits_for_faster_worker",
                "Times that a task was held back for a faster worker, at the pools owned now.",
            )?,
            waits_for_rack: gauge(
                &registry,
                "trefoil_waits_for_rack",
                "Times that a task was held back for a worker near its data, at the pools owned now.",
            )?,
            kinds_ignored: gauge(
                &registry,
                "trefoil_kind_speeds_ignored",
                "Implausible worker speeds reported by other owners, at the pools owned now.",
            )?,
            closed: gauge(
                &registry,
                "trefoil_failure_domain_closed",
                "Whether this failure domain takes no new tasks.",
            )?,
            declarations_version: gauge(
                &registry,
                "trefoil_declarations_version",
                "Version of the declarations in force.",
            )?,
            declarations_confirmed_age_ms: gauge(
                &registry,
                "trefoil_declarations_confirmed_age_ms",
                "Milliseconds since the store last confirmed the declarations in force.",
            )?,
            unreadable: gauge(
                &registry,
                "trefoil_store_entries_unreadable",
                "Entries of the store that were passed over.",
            )?,
            registry,
        })
    }

    /// Sets the figures of callers' connections.
    pub fn set_connections(&self, connections: &Connections) {
        self.connections.set(connections.len() as i64);
        self.bodies_bytes.set(connections.bodies_bytes() as i64);
        let stats = connections.stats();
        let last = self.last_connections.replace(stats);
        let closed = [
            ("evicted", stats.evicted - last.evicted),
            ("refused", stats.refused - last.refused),
            ("timed_out", stats.timed_out - last.timed_out),
        ];
        let given_up = [
            ("evicted", stats.bodies_evicted - last.bodies_evicted),
            ("timed_out", stats.bodies_timed_out - last.bodies_timed_out),
        ];
        for (cause, count) in closed {
            let counter = self.connections_closed.with_label_values(&[cause]);
            counter.inc_by(count);
        }
        for (cause, count) in given_up {
            let counter = self.bodies_given_up.with_label_values(&[cause]);
            counter.inc_by(count);
        }
    }

    /// Counts a job that was refused because others occupy the memory.
    pub(crate) fn record_memory_refusal(&self, memory: JobMemory) {
        let label = memory.label();
        self.memory_refusals.with_label_values(&[label]).inc();
    }

    /// Sets whether the failure domain is closed to new tasks.
    pub(crate) fn set_closed(&self, is_closed: bool) {
        self.closed.set(i64::from(is_closed));
    }

    /// Sets the version of the declarations in force, and the age of their confirmation.
    pub(crate) fn set_declarations(&self, version: u64, confirmed_age_ms: u64) {
        self.declarations_version.set(version as i64);
        self.declarations_confirmed_age_ms
            .set(confirmed_age_ms as i64);
    }

    /// Sets the number of store entries that cannot be decoded.
    pub(crate) fn set_unreadable_entries(&self, entries: usize) {
        self.unreadable.set(entries as i64);
    }

    /// Sets the gauges of jobs, workers and runs.
    pub(crate) fn set_stats(&self, jobs_awaited: usize, owned: OwnerStats) {
        self.jobs_awaited.set(jobs_awaited as i64);
        self.jobs_owned.set(owned.jobs as i64);
        self.jobs_bytes.set(owned.jobs_bytes as i64);
        self.jobs_waiting.set(owned.waiting as i64);
        self.workers.set(owned.workers as i64);
        self.workers_fenced.set(owned.workers_fenced as i64);
        self.runs.set(owned.runs as i64);
        self.workers_suspected.set(owned.suspected_workers as i64);
        let last = self.last_suspicions.replace(owned.suspicions);
        self.suspicions
            .inc_by(owned.suspicions.saturating_sub(last));
        let last = self.last_slow_run_restarts.replace(owned.slow_run_restarts);
        self.slow_run_restarts
            .inc_by(owned.slow_run_restarts.saturating_sub(last));
        let placement = owned.placement;
        self.waits_for_faster
            .set(placement.waited_for_faster as i64);
        self.waits_for_rack.set(placement.waited_for_rack as i64);
        self.kinds_ignored.set(placement.kinds_ignored as i64);
    }

    /// Encodes all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails if a metric cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, prometheus::Error> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}

fn counter(registry: &Registry, name: &str, help: &str) -> Result<IntCounter, prometheus::Error> {
    let counter = IntCounter::new(name, help)?;
    registry.register(Box::new(counter.clone()))?;
    Ok(counter)
}

fn gauge(registry: &Registry, name: &str, help: &str) -> Result<IntGauge, prometheus::Error> {
    let gauge = IntGauge::new(name, help)?;
    registry.register(Box::new(gauge.clone()))?;
    Ok(gauge)
}

fn histogram(registry: &Registry, name: &str, help: &str) -> Result<Histogram, prometheus::Error> {
    let options = HistogramOpts::new(name, help).buckets(BUCKETS_MS.to_vec());
    let histogram = Histogram::with_opts(options)?;
    registry.register(Box::new(histogram.clone()))?;
    Ok(histogram)
}
