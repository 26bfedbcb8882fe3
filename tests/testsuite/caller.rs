//! Responses of the callers' API, and how often tasks are started.

use std::sync::Arc;
use std::time::Duration;

use expect_test::expect;
use poem::http::{Method, StatusCode};
use poem::{Body, Endpoint, IntoEndpoint, Request};
use serde_json::{Value, json};
use tokio::sync::Semaphore;
use trefoil_core::config::{ConfigSnapshot, Declared};
use trefoil_core::engine::{Engine, EngineSettings};
use trefoil_core::key::JobKey;
use trefoil_schema::resources::{BackendServerSpec, BackendServerState, ServiceSpec, TeamSpec};
use trefoil_schema::settings::{JobSettings, WorkerSettings};
use trefoilbay::http::body_budget::BodyBudget;
use trefoilbay::http::caller::{self, CallerContext};
use trefoilbay::runtime::dispatch::Dispatcher;
use trefoilbay::runtime::{Runtime, TickerGuard};
use trefoilbay::workers::WorkerClient;

use crate::workers::scripted_worker::{
    AfterResponse, ScriptedResponse, ScriptedWorker, response_text,
};

const DOMAIN: &str = "kingston-1";
const SERVICE: &str = "payroll";

/// An in-process instance with one worker.
struct Instance {
    runtime: Arc<Runtime>,
    context: CallerContext,
    worker: ScriptedWorker,
    _ticker: TickerGuard,
}

struct Answer {
    status: StatusCode,
    retry_after: Option<String>,
    body: Value,
    text: String,
}

impl Answer {
    fn verdict(&self) -> &str {
        self.body["verdict"].as_str().unwrap_or_default()
    }

    fn reason(&self) -> &str {
        let kind = self.body["type"].as_str().unwrap_or_default();
        kind.rsplit(':').next().unwrap_or_default()
    }
}

impl Instance {
    fn new(worker: ScriptedWorker) -> Self {
        let jobs = JobSettings {
            tasks_max: 20,
            body_bytes_max: 2000,
            ..JobSettings::default()
        };
        let engine = Engine::new(EngineSettings {
            failure_domain: DOMAIN.to_owned(),
            jobs: jobs.clone(),
            ..EngineSettings::default()
        });
        engine.set_admission_limit(u64::MAX);
        let runtime = Runtime::new(engine, WorkerClient::new(&WorkerSettings::default()));
        runtime.set_domain_members("entry-1", &["entry-1".to_owned()]);
        runtime.set_config(Arc::new(config(&worker.address)));
        let context = CallerContext {
            dispatch: Dispatcher::new(Arc::clone(&runtime)),
            jobs: Arc::new(jobs),
            bodies: BodyBudget::new(1 << 20),
            body_timeout: Duration::from_secs(10),
            failure_domain: DOMAIN.into(),
        };
        Self {
            _ticker: runtime.start_ticker(),
            runtime,
            context,
            worker,
        }
    }

    async fn send(&self, request: Request) -> Answer {
        let routes = caller::routes(self.context.clone()).into_endpoint();
        let response = routes.get_response(request).await;
        let status = response.status();
        let retry_after = response.header("retry-after").map(str::to_owned);
        let text = response.into_body().into_string().await.unwrap();
        Answer {
            status,
            retry_after,
            body: serde_json::from_str(&text).unwrap_or_default(),
            text,
        }
    }

    async fn submit(&self, key: &str, body: &Value) -> Answer {
        self.send(submission(key, body.to_string())).await
    }

    async fn fetch(&self, key: &str, query: &str) -> Answer {
        let uri = format!("/v1/jobs/{key}{query}");
        self.send(Request::builder().uri_str(uri).finish()).await
    }

    async fn cancel(&self, key: &str) -> Answer {
        let request = Request::builder().method(Method::DELETE);
        let uri = format!("/v1/jobs/{key}");
        self.send(request.uri_str(uri).finish()).await
    }

    async fn wait_for_worker_requests(&self, requests: usize) {
        while self.worker.requests().len() < requests {
            tokio::task::yield_now().await;
        }
    }
}

fn config(address: &str) -> ConfigSnapshot {
    let worker = BackendServerSpec {
        service: SERVICE.to_owned(),
        failure_domain: DOMAIN.to_owned(),
        address: address.to_owned(),
        slots: 8,
        state: BackendServerState::Serving,
    };
    let service = ServiceSpec {
        payload_bytes_max: 100,
        ..ServiceSpec::default()
    };
    ConfigSnapshot {
        revision: 1,
        teams: [("default".into(), declared(TeamSpec::default()))].into(),
        services: [(SERVICE.into(), declared(service))].into(),
        backend_servers: [("worker-1".into(), declared(worker))].into(),
    }
}

fn declared<T>(spec: T) -> Declared<T> {
    Declared { spec, revision: 1 }
}

fn submission(key: &str, body: impl Into<Body>) -> Request {
    let request = Request::builder().method(Method::POST).uri_str("/v1/jobs");
    match key {
        "" => request.body(body),
        key => request.header("idempotency-key", key).body(body),
    }
}

fn job_body(payloads: &[Value]) -> Value {
    let task = |payload: &Value| json!({ "payload": payload });
    let tasks: Vec<Value> = payloads.iter().map(task).collect();
    json!({ "service": SERVICE, "tasks": tasks })
}

fn mint_key() -> String {
    let now = std::time::SystemTime::now();
    let issued = now.duration_since(std::time::UNIX_EPOCH).unwrap();
    JobKey::mint(DOMAIN, issued.as_millis() as u64, rand::random()).to_string()
}

/// A worker that answers each task with its own payload.
async fn echo_worker() -> ScriptedWorker {
    gated_worker(Arc::new(Semaphore::new(Semaphore::MAX_PERMITS))).await
}

/// An echo worker that acquires a permit of `gate` before each answer.
async fn gated_worker(gate: Arc<Semaphore>) -> ScriptedWorker {
    ScriptedWorker::start(move |request| {
        let gate = Arc::clone(&gate);
        async move {
            gate.acquire().await.unwrap().forget();
            let task = format!("trefoil-task: {}\r\n", request.task());
            ScriptedResponse {
                text: response_text("200 OK", &task, &request.body),
                after: AfterResponse::KeepOpen,
            }
        }
    })
    .await
}

#[tokio::test]
async fn results_are_returned_in_task_order() {
    let instance = Instance::new(echo_worker().await);
    let payloads: Vec<Value> = (0..20).map(|index| json!({ "index": index })).collect();
    let key = mint_key();
    let answer = instance.submit(&key, &job_body(&payloads)).await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.body["results"], json!(payloads));
    assert_eq!(answer.body["key"], json!(key));
    assert_eq!(
        (answer.verdict(), &answer.body["replayed"]),
        ("ran", &json!(false))
    );
    let starts = instance.worker.starts();
    assert_eq!(starts.len(), 20);
    assert!(starts.values().all(|count| *count == 1));
}

#[tokio::test]
async fn payloads_and_results_are_passed_on_unchanged() {
    let instance = Instance::new(echo_worker().await);
    let payload = r#"{"z":1234567890123456789012345.10, "a":1e-7,"a":[ ]}"#;
    let body = format!(r#"{{"service":"{SERVICE}","tasks":[{{"payload":{payload}}}]}}"#);
    let answer = instance.send(submission(&mint_key(), body)).await;
    assert_eq!(answer.status, StatusCode::OK, "{}", answer.text);
    assert_eq!(instance.worker.requests()[0].body, payload);
    assert!(answer.text.contains(payload));
}

#[tokio::test]
async fn malformed_submissions_are_rejected() {
    let instance = Instance::new(echo_worker().await);
    let good = job_body(&[json!(1)]).to_string();
    let with = |field: &str, value: Value| {
        let mut body = job_body(&[json!(1)]);
        body[field] = value;
        body.to_string()
    };
    let key = mint_key();
    let rows = [
        ("no key", "", good.clone()),
        ("blank key", " ", good.clone()),
        ("opaque key", "week-49", good.clone()),
        ("future key", "4102444800000-x", good.clone()),
        ("old key", "1000000000000-x", good.clone()),
        ("not JSON", &key, "{".to_owned()),
        ("trailing text", &key, format!("{good} x")),
        ("unknown field", &key, with("urgent", json!(true))),
        ("wrong type", &key, with("deadline_ms", json!("soon"))),
        (
            "wrong task",
            &key,
            with("tasks", json!([{ "payload": 1 }, { "body": 1 }])),
        ),
        ("long deadline", &key, with("deadline_ms", json!(300_001))),
        ("no tasks", &key, with("tasks", json!([]))),
        (
            "many tasks",
            &key,
            job_body(&vec![json!(1); 21]).to_string(),
        ),
        (
            "large payload",
            &key,
            job_body(&[json!(1), json!("x".repeat(99))]).to_string(),
        ),
        ("large body", &key, " ".repeat(2001)),
        ("unknown service", &key, with("service", json!("customs"))),
        ("unknown team", &key, with("team", json!("night"))),
    ];
    let mut table = String::new();
    for (name, key, body) in rows {
        let answer = instance.send(submission(key, body)).await;
        let (status, reason) = (answer.status.as_u16(), answer.reason());
        let errors = answer.body.get("errors").unwrap_or(&Value::Null);
        table += &format!("{name}: {status} {reason} {} {errors}\n", answer.verdict());
    }
    expect![[r#"
        no key: 400 malformed not_run null
        blank key: 400 malformed not_run null
        opaque key: 400 malformed not_run null
        future key: 422 key_ahead not_run null
        old key: 410 key_expired may_have_run null
        not JSON: 400 malformed not_run [{"allowed":"JSON","found":"EOF while parsing an object","path":"?"}]
        trailing text: 400 malformed not_run null
        unknown field: 400 malformed not_run [{"allowed":"one of `service`, `team`, `deadline_ms`, `wait`, `tasks`","found":"unknown field `urgent`","path":"urgent"}]
        wrong type: 400 malformed not_run [{"allowed":"u64","found":"invalid type: string \"soon\"","path":"deadline_ms"}]
        wrong task: 400 malformed not_run [{"allowed":"`payload` or `declared_run_ms`","found":"unknown field `body`","path":"tasks[1].body"}]
        long deadline: 400 malformed not_run [{"allowed":"0 to 300000","found":"300001","path":"deadline_ms"}]
        no tasks: 400 malformed not_run [{"allowed":"1 to 20 tasks","found":"0 tasks","path":"tasks"}]
        many tasks: 422 too_many_tasks not_run [{"allowed":"1 to 20 tasks","found":"21 tasks","path":"tasks"}]
        large payload: 413 too_large not_run [{"allowed":"100 bytes","found":"101 bytes","path":"tasks[1].payload"}]
        large body: 413 too_large not_run null
        unknown service: 404 unknown_service not_run null
        unknown team: 404 unknown_team not_run null
    "#]].assert_eq(&table);
    assert!(instance.worker.requests().is_empty());
}

/// Guards against reading a body that its `Content-Length` declares too large.
#[tokio::test]
async fn content_length_is_checked_before_the_body_is_read() {
    let instance = Instance::new(echo_worker().await);
    let (_sender, receiver) = tokio::io::duplex(1);
    let mut request = submission(&mint_key(), Body::from_async_read(receiver));
    let headers = request.headers_mut();
    headers.insert("content-length", "2001".parse().unwrap());
    assert_eq!(
        instance.send(request).await.status,
        StatusCode::PAYLOAD_TOO_LARGE
    );
}

#[tokio::test]
async fn concurrent_submissions_under_one_key_start_tasks_once() {
    let gate = Arc::new(Semaphore::new(0));
    let instance = Instance::new(gated_worker(Arc::clone(&gate)).await);
    let (key, body) = (mint_key(), job_body(&[json!(1), json!(2)]));
    let open = async {
        instance.wait_for_worker_requests(2).await;
        gate.add_permits(100);
    };
    let (first, second, ()) = tokio::join!(
        instance.submit(&key, &body),
        instance.submit(&key, &body),
        open
    );
    assert_eq!(first.body["results"], json!([1, 2]));
    assert_eq!(second.body["results"], json!([1, 2]));
    assert_eq!(second.body["replayed"], json!(true));
    let third = instance.submit(&key, &body).await;
    assert_eq!(third.body["results"], json!([1, 2]));
    assert_eq!(instance.worker.requests().len(), 2);
}

#[tokio::test]
async fn reused_key_with_another_body_is_rejected() {
    let instance = Instance::new(echo_worker().await);
    let key = mint_key();
    instance.submit(&key, &job_body(&[json!(1)])).await;
    let answer = instance.submit(&key, &job_body(&[json!(2)])).await;
    assert_eq!(answer.status, StatusCode::CONFLICT);
    assert_eq!(instance.worker.requests().len(), 1);
}

/// Guards against a "not run" verdict for a malformed request under a key that ran.
#[tokio::test]
async fn malformed_resubmission_reports_the_verdict_of_the_key() {
    let instance = Instance::new(echo_worker().await);
    let key = mint_key();
    let before = instance.send(submission(&key, "{")).await;
    assert_eq!((before.status.as_u16(), before.verdict()), (400, "not_run"));
    instance.submit(&key, &job_body(&[json!(1)])).await;
    let after = instance.send(submission(&key, "{")).await;
    assert_eq!((after.status.as_u16(), after.verdict()), (400, "ran"));
    assert_eq!(after.body["request_verdict"], json!("not_run"));
    assert_eq!(after.body["key"], json!(key));
}

#[tokio::test]
async fn disconnected_caller_removes_its_waiter_but_not_its_job() {
    let gate = Arc::new(Semaphore::new(0));
    let instance = Instance::new(gated_worker(Arc::clone(&gate)).await);
    let (key, body) = (mint_key(), job_body(&[json!(1)]));
    tokio::select! {
        _ = instance.submit(&key, &body) => panic!("answered early"),
        () = instance.wait_for_worker_requests(1) => {}
    }
    assert_eq!(instance.runtime.waiter_count(), 0);
    let state = instance.fetch(&key, "").await;
    assert_eq!(state.body["state"], json!("running"));
    gate.add_permits(1);
    let again = instance.submit(&key, &body).await;
    assert_eq!(again.body["results"], json!([1]));
    assert_eq!(instance.worker.requests().len(), 1);
}

#[tokio::test]
async fn state_is_returned_at_once_or_when_final() {
    let gate = Arc::new(Semaphore::new(0));
    let instance = Instance::new(gated_worker(Arc::clone(&gate)).await);
    let key = mint_key();
    let unknown = instance.fetch(&key, "").await;
    assert_eq!(
        (unknown.status.as_u16(), unknown.verdict()),
        (404, "not_run")
    );
    let mut body = job_body(&[json!(1)]);
    body["wait"] = json!(false);
    let accepted = instance.submit(&key, &body).await;
    assert_eq!(accepted.status, StatusCode::ACCEPTED);
    let running = instance.fetch(&key, "?wait_ms=20").await;
    assert_eq!(running.body["state"], json!("running"));
    assert_eq!(instance.runtime.waiter_count(), 0);
    gate.add_permits(1);
    let done = instance.fetch(&key, "?wait_ms=5000").await;
    assert_eq!(done.body["results"], json!([1]));
    let wrong = instance.fetch(&key, "?wait=1").await;
    assert_eq!((wrong.status.as_u16(), wrong.verdict()), (400, "ran"));
}

#[tokio::test]
async fn cancelled_job_starts_no_queued_task() {
    let gate = Arc::new(Semaphore::new(0));
    let instance = Instance::new(gated_worker(Arc::clone(&gate)).await);
    let (key, body) = (mint_key(), job_body(&vec![json!(1); 20]));
    let cancel = async {
        instance.wait_for_worker_requests(8).await;
        instance.cancel(&key).await
    };
    let (submitted, cancelled) = tokio::join!(instance.submit(&key, &body), cancel);
    assert_eq!(submitted.status.as_u16(), 499);
    assert_eq!(submitted.verdict(), "may_have_run");
    assert_eq!(cancelled.body["state"], json!("cancelled"));
    gate.add_permits(100);
    while instance.runtime.engine().stats().tasks_running > 0 {
        tokio::task::yield_now().await;
    }
    assert_eq!(instance.worker.requests().len(), 8);
}

#[tokio::test]
async fn job_past_its_deadline_returns_no_partial_results() {
    let gate = Arc::new(Semaphore::new(1));
    let instance = Instance::new(gated_worker(gate).await);
    let mut body = job_body(&[json!(1), json!(2)]);
    body["deadline_ms"] = json!(300);
    let answer = instance.submit(&mint_key(), &body).await;
    assert_eq!((answer.status.as_u16(), answer.reason()), (504, "deadline"));
    assert_eq!(answer.verdict(), "may_have_run");
    assert!(answer.body.get("results").is_none());
}

#[tokio::test]
async fn job_refused_by_the_only_worker_is_not_run() {
    let refusing = response_text("503 Service Unavailable", "", "");
    let instance = Instance::new(ScriptedWorker::fixed(&refusing, AfterResponse::KeepOpen).await);
    let mut body = job_body(&[json!(1)]);
    body["deadline_ms"] = json!(500);
    let answer = instance.submit(&mint_key(), &body).await;
    assert!(answer.status.is_server_error(), "{}", answer.text);
    assert_eq!(answer.verdict(), "not_run", "{}", answer.text);
}

#[tokio::test]
async fn retry_after_is_rounded_up() {
    let instance = Instance::new(echo_worker().await);
    instance.runtime.engine().set_leaving(true);
    let answer = instance.submit(&mint_key(), &job_body(&[json!(1)])).await;
    assert_eq!((answer.status.as_u16(), answer.reason()), (503, "leaving"));
    assert_eq!(answer.retry_after.as_deref(), Some("1"));
    assert_eq!(answer.verdict(), "not_run");
}

#[tokio::test]
async fn trace_context_reaches_the_worker() {
    let instance = Instance::new(echo_worker().await);
    let traceparent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    let mut request = submission(&mint_key(), job_body(&[json!(1)]).to_string());
    let headers = request.headers_mut();
    headers.insert("traceparent", traceparent.parse().unwrap());
    assert_eq!(instance.send(request).await.status, StatusCode::OK);
    let requests = instance.worker.requests();
    assert_eq!(requests[0].header("traceparent"), Some(traceparent));
    instance.submit(&mint_key(), &job_body(&[json!(1)])).await;
    assert_eq!(instance.worker.requests()[1].header("traceparent"), None);
}

#[tokio::test]
async fn minted_keys_name_this_failure_domain() {
    let instance = Instance::new(echo_worker().await);
    let mint = |uri: &str| {
        Request::builder()
            .method(Method::POST)
            .uri_str(uri)
            .finish()
    };
    let answer = instance.send(mint("/v1/keys?count=3")).await;
    let keys = answer.body["keys"].as_array().unwrap();
    assert_eq!(keys.len(), 3);
    let domains = ["elsewhere".to_owned(), DOMAIN.to_owned()];
    for key in keys {
        let key = JobKey::parse(key.as_str().unwrap()).unwrap();
        assert_eq!(key.home_domain(&domains), Some(DOMAIN));
    }
    for uri in ["/v1/keys?count=0", "/v1/keys?count=10001", "/v1/keys?n=1"] {
        assert_eq!(
            instance.send(mint(uri)).await.status,
            StatusCode::BAD_REQUEST
        );
    }
}
