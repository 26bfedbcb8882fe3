//! The metrics endpoint's text, trace spans, OTLP export and the cost of a span.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use opentelemetry_sdk::error::OTelSdkResult;
use opentelemetry_sdk::trace::{Sampler, SdkTracerProvider, SpanData, SpanExporter};
use poem::listener::{Acceptor, Listener, TcpListener};
use poem::{Endpoint, Request, Response, endpoint};
use trefoil_core::engine::{EngineStats, JobState, RefusalReason};
use trefoilbay::links::{self, LinkStats};
use trefoilbay::util::settings;
use trefoilbay::util::telemetry::Telemetry;
use trefoilbay::util::telemetry::metrics::{Gauges, Outcome, StoreCall, WastedMessage};
use trefoilbay::util::telemetry::totals::{Total, Totals};
use trefoilbay::util::telemetry::trace::{Hop, TraceParent, Traces};

pub(crate) const SAMPLED: &str = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
pub(crate) const UNSAMPLED: &str = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-00";

/// Keeps all exported spans.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecordingExporter {
    pub(crate) spans: Arc<Mutex<Vec<SpanData>>>,
}

impl SpanExporter for RecordingExporter {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        self.spans.lock().unwrap().extend(batch);
        Ok(())
    }
}

#[derive(Debug)]
struct DiscardingExporter;

impl SpanExporter for DiscardingExporter {
    async fn export(&self, _: Vec<SpanData>) -> OTelSdkResult {
        Ok(())
    }
}

impl RecordingExporter {
    pub(crate) fn traces(&self, sample_percent: u32) -> Traces {
        let provider = SdkTracerProvider::builder()
            .with_sampler(Sampler::ParentBased(Box::new(Sampler::AlwaysOn)))
            .with_simple_exporter(self.clone())
            .build();
        Traces::new(provider, sample_percent)
    }

    fn names(&self) -> Vec<String> {
        let spans = self.spans.lock().unwrap();
        spans.iter().map(|span| span.name.to_string()).collect()
    }
}

fn totals(count: u64) -> Totals {
    let mut totals = Totals::default();
    totals.push_engine_stats(&EngineStats {
        jobs_complete: count,
        jobs_failed: 3 * count,
        jobs_past_deadline: count,
        jobs_cancelled: 3,
        tasks_started: count,
        tasks_retried: 4 * count,
        outcomes_dropped: 2 * count,
        jobs_replayed: 3,
        ..EngineStats::default()
    });
    totals.push_link_stats(&LinkStats {
        frames_out: count,
        bytes_out: 300 * count,
        messages_in: 7 * count,
        gaps: 6 * count,
        connects: 8 * count,
        dropped: links::DropStats {
            queue_full: 9 * count,
            ..links::DropStats::default()
        },
        ..LinkStats::default()
    });
    for (total, count) in [
        (Total::Wasted(WastedMessage::CrossedAnswer), count),
        (Total::Wasted(WastedMessage::NotStarted), 5 * count),
        (Total::Wasted(WastedMessage::Misrouted), 0),
        (Total::StoreCalls(StoreCall::Watch), count),
        (Total::StoreFailures, 2 * count),
    ] {
        totals.push(total, count);
    }
    totals
}

#[test]
fn metrics_page_has_all_recorded_values() {
    let telemetry = Telemetry::start(&settings::defaults()).unwrap();
    let metrics = telemetry.metrics();
    metrics.record_submission();
    metrics.record_submission();
    metrics.record_response_time(JobState::Complete, 42.0);
    metrics.record_totals(&totals(1), &totals(2));
    metrics.record_refusal(RefusalReason::UnknownTeam);
    metrics.record_admission_overhead(12.0);
    metrics.record_task_outcome(Outcome::MayHaveRun);
    metrics.set_config_revision(9);
    metrics.set_gauges(&Gauges {
        tasks_queued: 5,
        tasks_running: 3,
        workers_ejected: 2,
        view_version: 11,
        admission_lead_ms: -40,
        ..Gauges::default()
    });
    metrics.set_instances("silent", 4);
    let page = telemetry.metrics_page().unwrap();
    for (name, label, value) in [
        ("trefoil_jobs_submitted_total", "", "2"),
        ("trefoil_jobs_ended_total", "end=\"complete\"", "1"),
        ("trefoil_jobs_ended_total", "end=\"failed\"", "2"),
        ("trefoil_jobs_ended_total", "end=\"deadline\"", "1"),
        ("trefoil_refusals_total", "reason=\"unknown_team\"", "1"),
        ("trefoil_task_starts_total", "", "1"),
        ("trefoil_task_retries_total", "", "4"),
        (
            "trefoil_task_outcomes_total",
            "outcome=\"may_have_run\"",
            "1",
        ),
        ("trefoil_wasted_messages_total", "kind=\"not_started\"", "5"),
        ("trefoil_wasted_messages_total", "kind=\"late_answer\"", "2"),
        (
            "trefoil_wasted_messages_total",
            "kind=\"crossed_answer\"",
            "1",
        ),
        ("trefoil_peer_frames_total", "direction=\"sent\"", "1"),
        ("trefoil_peer_bytes_total", "direction=\"sent\"", "300"),
        ("trefoil_peer_messages_total", "direction=\"received\"", "7"),
        ("trefoil_peer_gaps_total", "", "6"),
        ("trefoil_peer_connections_total", "event=\"opened\"", "8"),
        ("trefoil_peer_dropped_total", "reason=\"queue_full\"", "9"),
        ("trefoil_store_calls_total", "kind=\"watch\"", "1"),
        ("trefoil_store_failures_total", "", "2"),
        ("trefoil_config_revision", "", "9"),
        ("trefoil_tasks_queued", "", "5"),
        ("trefoil_tasks_running", "", "3"),
        ("trefoil_workers_ejected", "", "2"),
        ("trefoil_view_version", "", "11"),
        ("trefoil_admission_lead_ms", "", "-40"),
        ("trefoil_instances", "state=\"silent\"", "4"),
        ("trefoil_response_time_ms_count", "state=\"complete\"", "1"),
        ("trefoil_admission_overhead_us_sum", "", "12"),
    ] {
        let is_match = |line: &str| {
            line.starts_with(&format!("{name}{{"))
                && line.contains(label)
                && line.ends_with(&format!("}} {value}"))
        };
        assert!(page.lines().any(is_match), "{name} {label} {value}\n{page}");
    }
    assert!(
        !page.contains("resubmission") && !page.contains("cancelled"),
        "totals that did not grow must not be exported"
    );
}

#[test]
fn traceparent_is_parsed_and_formatted_per_w3c_trace_context() {
    for text in [SAMPLED, UNSAMPLED] {
        assert_eq!(TraceParent::parse(text).unwrap().to_string(), text);
    }
    let later = format!("01{}-extra", &SAMPLED[2..]);
    assert_eq!(TraceParent::parse(&later).unwrap().to_string(), SAMPLED);
    for text in [
        "",
        "00",
        "00-00000000000000000000000000000000-00f067aa0ba902b7-01",
        "00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01",
        "00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01",
        "00-4bf92f3577b34da6a3ce929d0e0e473-00f067aa0ba902b7-01",
        "ff-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
        "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-extra",
    ] {
        assert_eq!(TraceParent::parse(text), None, "{text}");
    }
}

#[test]
fn hops_of_a_sampled_request_are_one_trace() {
    let exporter = RecordingExporter::default();
    let traces = exporter.traces(0);
    let caller = traces.span(Hop::Caller, TraceParent::parse(SAMPLED));
    let entry = traces.span(Hop::Entry, caller.trace_parent());
    let mut backend = traces.span(Hop::BackendServer, entry.trace_parent());
    backend.set_attribute("attempt", 1);
    backend.set_error("connection refused");
    drop((backend, entry, caller));
    assert_eq!(exporter.names(), ["backend_server", "entry", "caller"]);
    let spans = exporter.spans.lock().unwrap();
    let trace_ids: BTreeSet<_> = spans
        .iter()
        .map(|span| span.span_context.trace_id().to_string())
        .collect();
    assert_eq!(trace_ids.len(), 1);
    assert!(trace_ids.contains(&SAMPLED[3..35]));
    assert_eq!(spans[0].parent_span_id, spans[1].span_context.span_id());
    assert_eq!(spans[1].parent_span_id, spans[2].span_context.span_id());
}

#[test]
fn children_follow_their_parent_and_only_callers_start_traces() {
    let exporter = RecordingExporter::default();
    let all = exporter.traces(100);
    let unsampled = all.span(Hop::Caller, TraceParent::parse(UNSAMPLED));
    assert!(!unsampled.is_recording());
    assert_eq!(unsampled.trace_parent(), TraceParent::parse(UNSAMPLED));
    assert!(!all.span(Hop::Peer, None).is_recording());
    let root = all.span(Hop::Caller, None);
    assert!(root.is_recording() && root.trace_parent().unwrap().is_sampled());
    let none = exporter.traces(0).span(Hop::Caller, None);
    assert!(!none.is_recording());
    assert_eq!(none.trace_parent(), None);
    let off = Traces::disabled().span(Hop::Caller, TraceParent::parse(SAMPLED));
    assert!(!off.is_recording());
    assert_eq!(off.trace_parent(), TraceParent::parse(SAMPLED));
}

#[test]
fn share_of_sampled_traces_is_close_to_the_setting() {
    let traces = RecordingExporter::default().traces(20);
    let sampled = (0..10_000).filter(|_| traces.span(Hop::Caller, None).is_recording());
    // The mean of 2000, plus or minus twelve standard deviations.
    assert!((1_520..=2_480).contains(&sampled.count()));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn spans_and_metrics_are_exported_to_a_collector() {
    let paths = Arc::new(Mutex::new(BTreeSet::new()));
    let acceptor = TcpListener::bind("127.0.0.1:0")
        .into_acceptor()
        .await
        .unwrap();
    let address = acceptor.local_addr()[0]
        .as_socket_addr()
        .unwrap()
        .to_owned();
    let collector = poem::Server::new_with_acceptor(acceptor).run(collector(paths.clone()));
    let collector = tokio::spawn(collector);
    let mut settings = settings::defaults();
    settings.telemetry.otlp_endpoint = format!("http://{address}/");
    settings.telemetry.trace_sample_percent = 100;
    let telemetry = Telemetry::start(&settings).unwrap();
    telemetry.metrics().record_submission();
    drop(telemetry.span(Hop::Caller, None));
    telemetry.shutdown(Duration::from_secs(5)).await;
    collector.abort();
    let paths: Vec<_> = paths.lock().unwrap().iter().cloned().collect();
    assert_eq!(paths, ["/v1/metrics", "/v1/traces"]);
}

fn collector(paths: Arc<Mutex<BTreeSet<String>>>) -> impl Endpoint {
    endpoint::make_sync(move |request: Request| {
        paths
            .lock()
            .unwrap()
            .insert(request.uri().path().to_owned());
        Response::default()
    })
}

/// Prints the cost of spans and metrics; run in release mode with `--nocapture`.
#[test]
fn span_and_metric_cost() {
    let exporter = RecordingExporter::default();
    let parent = TraceParent::parse(SAMPLED);
    let recorded = Traces::new(SdkTracerProvider::builder().build(), 1);
    let batched = SdkTracerProvider::builder()
        .with_batch_exporter(DiscardingExporter)
        .build();
    let batched = Traces::new(batched, 1);
    for (name, traces, parent) in [
        ("off", Traces::disabled(), None),
        (
            "parent not sampled",
            exporter.traces(1),
            TraceParent::parse(UNSAMPLED),
        ),
        ("no parent, 1 percent sampled", exporter.traces(1), None),
        ("sampled, no exporter", recorded, parent),
        ("sampled, exported in batches", batched, parent),
    ] {
        let cost = mean_ns(|| drop(traces.span(Hop::Caller, parent)));
        println!("span {name}: {cost:.0} ns");
    }
    println!(
        "parse: {:.0} ns",
        mean_ns(|| _ = TraceParent::parse(SAMPLED))
    );
    println!(
        "format: {:.0} ns",
        mean_ns(|| drop(parent.unwrap().to_string()))
    );
    let telemetry = Telemetry::start(&settings::defaults()).unwrap();
    let metrics = telemetry.metrics();
    println!("counter: {:.0} ns", mean_ns(|| metrics.record_submission()));
    let labelled = mean_ns(|| metrics.record_task_outcome(Outcome::Done));
    println!("counter with label: {labelled:.0} ns");
    println!(
        "histogram: {:.0} ns",
        mean_ns(|| metrics.record_admission_overhead(20.0))
    );
}

/// Returns the mean time of `work` in nanoseconds, the smallest of five rounds.
fn mean_ns(work: impl Fn()) -> f64 {
    const ITERATIONS: u32 = 20_000;
    let round = || {
        let start = Instant::now();
        (0..ITERATIONS).for_each(|_| work());
        start.elapsed().as_nanos() as f64 / f64::from(ITERATIONS)
    };
    (0..5).map(|_| round()).fold(f64::INFINITY, f64::min)
}
