//! A trace spans the caller's request, both instances and the backend server.

use opentelemetry::trace::SpanKind;
use opentelemetry_sdk::trace::SpanData;
use poem::listener::{Acceptor, Listener, TcpListener};
use poem::{Endpoint, Request, endpoint};
use trefoilbay::util::telemetry::Telemetry;
use trefoilbay::util::telemetry::trace::TRACEPARENT;

use crate::support::pair::InstancePair;
use crate::telemetry::{RecordingExporter, SAMPLED, UNSAMPLED};

/// Spans of a job that another instance forwarded to its owner, outermost first.
const FORWARDED: [(&str, SpanKind); 5] = [
    ("caller", SpanKind::Server),
    ("entry", SpanKind::Internal),
    ("peer", SpanKind::Client),
    ("peer", SpanKind::Server),
    ("backend_server", SpanKind::Client),
];

/// Spans of a job submitted to its owner, outermost first.
const LOCAL: [(&str, SpanKind); 3] = [
    ("caller", SpanKind::Server),
    ("entry", SpanKind::Internal),
    ("backend_server", SpanKind::Client),
];

/// Upper bound of keys tried; each belongs to the other instance with probability 1/2.
const KEYS_MAX: u32 = 40;

/// A worker that returns the received `traceparent` as the task's result.
fn worker() -> impl Endpoint {
    endpoint::make_sync(|request: Request| {
        let header = request.header(TRACEPARENT).unwrap_or_default();
        format!("\"{header}\"")
    })
}

/// Returns the descendants of `outermost_parent`, each the parent of the next.
fn span_chain(spans: &[SpanData], outermost_parent: &str) -> Vec<SpanData> {
    let mut parent = outermost_parent.to_owned();
    let mut chain = Vec::new();
    while let Some(span) = spans
        .iter()
        .find(|span| span.parent_span_id.to_string() == parent)
    {
        parent = span.span_context.span_id().to_string();
        chain.push(span.clone());
    }
    chain
}

fn hops(chain: &[SpanData]) -> Vec<(&str, SpanKind)> {
    chain
        .iter()
        .map(|span| (span.name.as_ref(), span.span_kind.clone()))
        .collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn spans_of_a_forwarded_job_form_one_chain() {
    let acceptor = TcpListener::bind("127.0.0.1:0").into_acceptor().await;
    let acceptor = acceptor.unwrap();
    let address = *acceptor.local_addr()[0].as_socket_addr().unwrap();
    let worker = tokio::spawn(poem::Server::new_with_acceptor(acceptor).run(worker()));
    let exporter = RecordingExporter::default();
    let telemetry = |settings: &_| Telemetry::with_traces(settings, exporter.traces(0)).unwrap();
    let pair = InstancePair::start(address, telemetry).await;

    let key = pair.mint_key().await;
    for entry in pair.entries {
        pair.submit(entry, &key, UNSAMPLED).await;
    }
    assert!(exporter.spans.lock().unwrap().is_empty());
    for _ in 0..KEYS_MAX {
        exporter.spans.lock().unwrap().clear();
        let key = pair.mint_key().await;
        let answer = pair.submit(pair.entries[0], &key, SAMPLED).await;
        let spans = exporter.spans.lock().unwrap().clone();
        let chain = span_chain(&spans, &SAMPLED[36..52]);
        assert_eq!(chain.len(), spans.len(), "{spans:?}");
        let trace = |span: &SpanData| span.span_context.trace_id().to_string();
        assert!(chain.iter().all(|span| trace(span) == SAMPLED[3..35]));
        let received = answer["results"][0].as_str().unwrap();
        let innermost = chain.last().unwrap().span_context.span_id().to_string();
        assert_eq!(received[36..52], innermost);
        let hops = hops(&chain);
        if hops == FORWARDED {
            worker.abort();
            return;
        }
        assert_eq!(hops, LOCAL);
    }
    panic!("none of {KEYS_MAX} keys is owned by the other instance");
}
