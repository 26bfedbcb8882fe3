//! A stand-in for an instance's HTTP API, for tests of the command line: it
//! keeps resources, answers a status it is given, and counts what it gets.

use std::collections::BTreeMap;
use std::future::pending;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use poem::http::StatusCode;
use poem::listener::{Acceptor, Listener, TcpListener};
use poem::web::{Data, Json, Path, Query};
use poem::{EndpointExt, IntoResponse, Request, Response, Route, Server, get, handler, post};
use serde_json::{Value, json};
use tokio::net::TcpSocket;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use trefoil_core::verdict::Verdict;
use trefoil_schema::api::{InstanceStateName, InstanceStatus, JobRequest, StatusResponse};
use trefoilbay::http::problem::Problem;

/// A running stand-in; ends when dropped.
pub struct ApiStub {
    pub address: String,
    pub state: Arc<Mutex<StubState>>,
    server: JoinHandle<std::io::Result<()>>,
}

/// What the stand-in knows and how it misbehaves.
#[derive(Default)]
pub struct StubState {
    pub resources: BTreeMap<(String, String), Value>,
    pub revision: u64,
    pub status: Option<StatusResponse>,
    /// Take effect, then never answer.
    pub swallow_answers: bool,
    /// Refuse jobs with this status, reason, verdict and request verdict.
    pub refuse_jobs: Option<(u16, &'static str, Verdict, Verdict)>,
    /// Change requests, as METHOD PATH, in order.
    pub changes: Vec<String>,
    /// Told once the stand-in is to stop.
    pub leaving: Arc<Notify>,
    /// Keys of the jobs submitted, in order.
    pub keys: Vec<String>,
}

type Shared = Arc<Mutex<StubState>>;

impl ApiStub {
    pub async fn start() -> Self {
        let state = Shared::default();
        let acceptor = TcpListener::bind("127.0.0.1:0")
            .into_acceptor()
            .await
            .expect("a free port");
        let local = acceptor.local_addr().remove(0);
        let address = local.as_socket_addr().expect("TCP").to_string();
        let routes = Route::new()
            .at("/v1/status", get(show_status))
            .at("/v1/keys", post(mint_keys))
            .at("/v1/jobs", post(submit))
            .at("/v1/jobs/:key", get(one_job).delete(one_job))
            .at("/v1/drain", post(drain))
            .at("/v1/:collection", get(list))
            .at("/v1/:collection/:name", get(one).put(put).delete(delete))
            .data(state.clone());
        let leaving = state.lock().unwrap().leaving.clone();
        let signal = async move { leaving.notified().await };
        let server = Server::new_with_acceptor(acceptor);
        let server = tokio::spawn(server.run_with_graceful_shutdown(routes, signal, None));
        Self {
            address,
            state,
            server,
        }
    }

    /// Changes what it knows.
    pub fn set(&self, change: impl FnOnce(&mut StubState)) {
        change(&mut self.state.lock().unwrap());
    }
}

impl Drop for ApiStub {
    fn drop(&mut self) {
        self.server.abort();
    }
}

/// An address that refuses connections; bound and not listened on, so that no
/// other test gets it.
pub struct ClosedAddress {
    pub address: String,
    _socket: TcpSocket,
}

impl ClosedAddress {
    pub fn new() -> Self {
        let socket = TcpSocket::new_v4().expect("a socket");
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        socket.bind(any_port).expect("a free port");
        let address = socket.local_addr().expect("bound").to_string();
        Self {
            address,
            _socket: socket,
        }
    }
}

/// News of one instance.
pub fn instance(
    name: &str,
    state: InstanceStateName,
    revision: u64,
    heard_ms: u64,
) -> InstanceStatus {
    InstanceStatus {
        instance: name.to_owned(),
        incarnation: 1,
        failure_domain: "portmore".to_owned(),
        state,
        config_revision: revision,
        heard_ms,
    }
}

/// What `name` sees.
pub fn seen_by(name: &str, revision: u64, instances: Vec<InstanceStatus>) -> StatusResponse {
    StatusResponse {
        instance: name.to_owned(),
        config_revision: revision,
        store_reachable: true,
        view_version: 1,
        instances,
    }
}

#[handler]
fn show_status(state: Data<&Shared>) -> Json<StatusResponse> {
    let state = state.lock().unwrap();
    Json(state.status.clone().expect("the test sets a status"))
}

#[handler]
fn mint_keys() -> Json<Value> {
    Json(json!({ "keys": ["01890a5d-ac96-8abc-8000-000000000001"] }))
}

#[handler]
async fn submit(request: &Request, state: Data<&Shared>, Json(job): Json<JobRequest>) -> Response {
    let key = request.header("idempotency-key").expect("a key").to_owned();
    let (refusal, swallow) = {
        let mut state = state.lock().unwrap();
        state.keys.push(key.clone());
        (state.refuse_jobs, state.swallow_answers)
    };
    if swallow {
        pending::<()>().await;
    }
    if let Some((status, reason, verdict, request_verdict)) = refusal {
        let status = StatusCode::from_u16(status).unwrap();
        return Problem::new(status, reason, "as the test asked", verdict)
            .request_verdict(request_verdict)
            .key(&key)
            .retry_after_ms(40)
            .into_response();
    }
    let results: Vec<Value> = job.tasks.into_iter().map(|task| task.payload).collect();
    let replayed = state
        .lock()
        .unwrap()
        .keys
        .iter()
        .filter(|&k| *k == key)
        .count()
        > 1;
    Json(json!({
        "key": key, "state": "complete", "verdict": "ran", "tasks_total": results.len(),
        "tasks_done": results.len(), "replayed": replayed, "results": results,
    }))
    .into_response()
}

/// A job in the state that the request leaves it in.
#[handler]
fn one_job(request: &Request, Path(key): Path<String>) -> Json<Value> {
    let state = if request.method() == "DELETE" {
        "cancelled"
    } else {
        "running"
    };
    Json(json!({
        "key": key, "state": state, "verdict": "may_have_run", "tasks_total": 1, "tasks_done": 0,
        "replayed": false, "detail": request.uri().query().unwrap_or_default(),
    }))
}

/// Ends the stand-in, connections of later requests first.
#[handler]
fn drain(request: &Request, state: Data<&Shared>) -> StatusCode {
    let mut state = state.lock().unwrap();
    state.changes.push(format!("POST {}", request.uri()));
    state.leaving.notify_one();
    StatusCode::ACCEPTED
}

#[handler]
fn list(Path(collection): Path<String>, state: Data<&Shared>) -> Json<Vec<Value>> {
    let state = state.lock().unwrap();
    let of_kind = state
        .resources
        .iter()
        .filter(|((kind, _), _)| *kind == collection);
    Json(of_kind.map(|(_, resource)| resource.clone()).collect())
}

#[handler]
fn one(Path(place): Path<(String, String)>, state: Data<&Shared>) -> Response {
    match state.lock().unwrap().resources.get(&place) {
        Some(resource) => Json(resource.clone()).into_response(),
        None => missing(),
    }
}

#[handler]
async fn put(
    request: &Request,
    Path(place): Path<(String, String)>,
    Query(query): Query<BTreeMap<String, String>>,
    state: Data<&Shared>,
    Json(mut resource): Json<Value>,
) -> Response {
    let swallow = {
        let mut state = state.lock().unwrap();
        state.changes.push(format!("PUT {}", request.uri()));
        if !precondition_holds(request, state.resources.get(&place)) {
            return lost_race();
        }
        let dry_run = query.contains_key("dry_run");
        let revision = state.revision + u64::from(!dry_run);
        resource["status"] = json!({
            "revision": revision, "instances_in_force": 0, "instances_live": 1, "conditions": [],
        });
        if !dry_run {
            state.revision = revision;
            state.resources.insert(place, resource.clone());
        }
        state.swallow_answers
    };
    if swallow {
        pending::<()>().await;
    }
    Json(resource).into_response()
}

#[handler]
fn delete(
    request: &Request,
    Path(place): Path<(String, String)>,
    state: Data<&Shared>,
) -> Response {
    let mut state = state.lock().unwrap();
    state.changes.push(format!("DELETE {}", request.uri()));
    if !precondition_holds(request, state.resources.get(&place)) {
        return lost_race();
    }
    match state.resources.remove(&place) {
        Some(_) => StatusCode::NO_CONTENT.into_response(),
        None => missing(),
    }
}

fn precondition_holds(request: &Request, live: Option<&Value>) -> bool {
    match live {
        None => request.header("if-none-match") == Some("*"),
        Some(live) => {
            let etag = format!("\"{}\"", live["status"]["revision"]);
            request.header("if-match") == Some(&etag)
        }
    }
}

fn missing() -> Response {
    let detail = "no resource of this name";
    Problem::new(
        StatusCode::NOT_FOUND,
        "unknown_resource",
        detail,
        Verdict::NotRun,
    )
    .into_response()
}

fn lost_race() -> Response {
    let detail = "the resource has another revision";
    let status = StatusCode::PRECONDITION_FAILED;
    Problem::new(status, "precondition_failed", detail, Verdict::NotRun).into_response()
}
