//! The span of a placement continues the job's trace and is propagated to the backend
//! server.

use std::sync::{Arc, Mutex};

use bytes::Bytes;
use poem::listener::{Acceptor, Listener, TcpListener};
use poem::{Endpoint, Request, endpoint};
use trefoil_core::config::{ConfigSnapshot, Declared};
use trefoil_core::engine::{Engine, EngineSettings, JobAnswer, JobState, Submission, Task};
use trefoil_core::key::JobKey;
use trefoil_schema::resources::{BackendServerSpec, BackendServerState, ServiceSpec, TeamSpec};
use trefoil_schema::settings::WorkerSettings;
use trefoilbay::runtime::{RequestContext, Runtime};
use trefoilbay::util::settings;
use trefoilbay::util::telemetry::Telemetry;
use trefoilbay::util::telemetry::trace::TRACEPARENT;
use trefoilbay::workers::WorkerClient;

use crate::telemetry::{RecordingExporter, SAMPLED};

const DOMAIN: &str = "local";
const SERVICE: &str = "register";

type ReceivedHeaders = Arc<Mutex<Vec<String>>>;

/// A backend server that stores the `traceparent` headers it receives.
fn backend(received: ReceivedHeaders) -> impl Endpoint {
    endpoint::make_sync(move |request: Request| {
        let header = request.header(TRACEPARENT).unwrap_or_default();
        received.lock().unwrap().push(header.to_owned());
        "1"
    })
}

fn declared<T>(spec: T) -> Declared<T> {
    Declared { spec, revision: 1 }
}

fn config(address: &str) -> ConfigSnapshot {
    let worker = BackendServerSpec {
        service: SERVICE.to_owned(),
        failure_domain: DOMAIN.to_owned(),
        address: address.to_owned(),
        slots: 8,
        state: BackendServerState::Serving,
    };
    ConfigSnapshot {
        revision: 1,
        teams: [("default".into(), declared(TeamSpec::default()))].into(),
        services: [(SERVICE.into(), declared(ServiceSpec::default()))].into(),
        backend_servers: [("worker-1".into(), declared(worker))].into(),
    }
}

fn submission(now_ms: u64) -> Submission {
    Submission {
        key: JobKey::mint(DOMAIN, now_ms, 7),
        fingerprint: 1,
        service: SERVICE.into(),
        team: "default".into(),
        timeout_ms: 5_000,
        tasks: vec![Task {
            payload: Bytes::from_static(b"{}"),
            declared_run_ms: 0,
        }],
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn placement_span_is_the_parent_that_the_backend_server_receives() {
    let received = ReceivedHeaders::default();
    let acceptor = TcpListener::bind("127.0.0.1:0").into_acceptor();
    let acceptor = acceptor.await.unwrap();
    let address = acceptor.local_addr()[0].to_string();
    let address = address.trim_start_matches("socket://");
    let server = poem::Server::new_with_acceptor(acceptor).run(backend(received.clone()));
    let server = tokio::spawn(server);
    let exporter = RecordingExporter::default();
    let telemetry = Telemetry::with_traces(&settings::defaults(), exporter.traces(0)).unwrap();
    let engine = Engine::new(EngineSettings {
        failure_domain: DOMAIN.to_owned(),
        ..EngineSettings::default()
    });
    engine.set_admission_limit(u64::MAX);
    let workers = WorkerClient::new(&WorkerSettings::default());
    let runtime = Runtime::with_telemetry(engine, workers, Some(telemetry.clone()));
    runtime.set_domain_members("entry-1", &["entry-1".to_owned()]);
    runtime.set_config(Arc::new(config(address)));
    let submission = submission(runtime.now().wall_ms);
    let request = RequestContext {
        traceparent: Some(SAMPLED.into()),
        received_at: None,
    };
    let answer = runtime.submit(submission, true, request).await;
    server.abort();
    let complete = matches!(answer, JobAnswer::Known { state, .. } if state == JobState::Complete);
    assert!(complete, "{answer:?}");
    let span = exporter.spans.lock().unwrap().pop().unwrap();
    assert_eq!(span.name, "backend_server");
    assert_eq!(span.parent_span_id.to_string(), &SAMPLED[36..52]);
    let parent = format!("{}-{}-01", &SAMPLED[..35], span.span_context.span_id());
    assert_eq!(*received.lock().unwrap(), [parent]);
    let page = telemetry.metrics_page().unwrap();
    assert!(page.contains("outcome=\"done\""), "{page}");
}
