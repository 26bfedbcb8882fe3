//! Counters and latency histograms, as text for a collector.

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};
use trefoil_core::dispatch::owner::OwnerStats;

/// Bounds of latency histograms, milliseconds: from a call inside a failure
/// domain to the longest job.
const BOUNDS_MS: [f64; 12] = [
    0.5, 1.0, 2.0, 5.0, 10.0, 25.0, 50.0, 100.0, 250.0, 500.0, 1000.0, 2500.0,
];

/// All metrics of one instance.
pub struct Metrics {
    registry: Registry,
    /// Callers' requests by outcome.
    pub answers: IntCounterVec,
    /// Time from a whole request to its answer.
    pub answer_ms: Histogram,
    /// Starts ordered.
    pub starts: IntCounter,
    /// Time until a worker answered a start.
    pub start_answer_ms: Histogram,
    /// Stops ordered.
    pub stops: IntCounter,
    /// Holds ordered.
    pub lease_renewals: IntCounter,
    /// Requests that could not be read, or name nothing that is there.
    pub bad_requests: IntCounter,
    jobs_awaited: IntGauge,
    jobs_owned: IntGauge,
    jobs_waiting: IntGauge,
    workers: IntGauge,
    workers_fenced: IntGauge,
    runs: IntGauge,
    closed: IntGauge,
    unreadable: IntGauge,
}

impl Metrics {
    /// Metrics that all stand at zero.
    ///
    /// # Errors
    ///
    /// When a name is used twice, which a test would find.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let answers = Opts::new("trefoil_answers_total", "Callers' requests by outcome.");
        let answers = IntCounterVec::new(answers, &["outcome"])?;
        registry.register(Box::new(answers.clone()))?;
        Ok(Self {
            answers,
            answer_ms: histogram(&registry, "trefoil_answer_ms", "Whole request to answer.")?,
            starts: counter(&registry, "trefoil_starts_total", "Starts ordered.")?,
            start_answer_ms: histogram(&registry, "trefoil_start_answer_ms", "Start to answer.")?,
            stops: counter(&registry, "trefoil_stops_total", "Stops ordered.")?,
            lease_renewals: counter(&registry, "trefoil_holds_total", "Holds ordered.")?,
            bad_requests: counter(
                &registry,
                "trefoil_bad_requests_total",
                "Unusable requests.",
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
            closed: gauge(
                &registry,
                "trefoil_failure_domain_closed",
                "Whether this failure domain takes no new tasks.",
            )?,
            unreadable: gauge(
                &registry,
                "trefoil_store_entries_unreadable",
                "Entries of the store that were passed over.",
            )?,
            registry,
        })
    }

    /// Notes whether the failure domain is closed to new tasks.
    pub fn closed(&self, is_closed: bool) {
        self.closed.set(i64::from(is_closed));
    }

    /// Notes how many entries of the store cannot be read.
    pub fn unreadable(&self, entries: usize) {
        self.unreadable.set(entries as i64);
    }

    /// Notes the sizes of the tables.
    pub fn sizes(&self, jobs_awaited: usize, owned: OwnerStats) {
        self.jobs_awaited.set(jobs_awaited as i64);
        self.jobs_owned.set(owned.jobs as i64);
        self.jobs_waiting.set(owned.waiting as i64);
        self.workers.set(owned.workers as i64);
        self.workers_fenced.set(owned.workers_fenced as i64);
        self.runs.set(owned.runs as i64);
    }

    /// All metrics in the text format of Prometheus.
    ///
    /// # Errors
    ///
    /// When a metric cannot be encoded.
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
    let options = HistogramOpts::new(name, help).buckets(BOUNDS_MS.to_vec());
    let histogram = Histogram::with_opts(options)?;
    registry.register(Box::new(histogram.clone()))?;
    Ok(histogram)
}
