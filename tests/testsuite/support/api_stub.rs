//! Stub of an instance's HTTP API for tests of the command line: the real
//! operator routes on a fake platform store, and stubs of the caller routes.

use std::future::pending;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use poem::http::StatusCode;
use poem::listener::{Acceptor, Listener, TcpListener};
use poem::web::{Data, Json, Path};
use poem::{
    Endpoint, EndpointExt, IntoEndpoint, IntoResponse, Request, Response, Route, Server, get,
    handler, post,
};
use serde_json::{Value, json};
use slog::{Discard, Logger, o};
use tokio::net::TcpSocket;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use trefoil_core::verdict::Verdict;
use trefoil_fakes::platform::{self, PlatformHandle, PlatformOptions};
use trefoil_schema::api::{InstanceStateName, InstanceStatus, JobRequest, StatusResponse};
use trefoil_schema::settings::{PlatformSettings, Settings};
use trefoilbay::http::operator::{self, OperatorContext};
use trefoilbay::http::problem::Problem;
use trefoilbay::sources::config::ConfigSync;
use trefoilbay::sources::platform::PlatformStore;
use trefoilbay::sources::platform::etcd::EtcdClient;

/// The key that the stub returns from `/v1/keys`.
pub const MINTED_KEY: &str = "01890a5d-ac96-8abc-8000-000000000001";

/// A running stub; stops serving when dropped.
pub struct ApiStub {
    pub address: String,
    pub state: Arc<Mutex<StubState>>,
    pub platform: PlatformHandle,
    server: JoinHandle<std::io::Result<()>>,
}

/// Recorded requests and configured faults.
#[derive(Default)]
pub struct StubState {
    /// Response to `/v1/status`; by default, the stub is the only instance.
    pub status: Option<StatusResponse>,
    /// Apply writes, but never respond to them.
    pub withhold_responses: bool,
    /// Refuse jobs with this status, reason, verdict and request verdict.
    pub refuse_jobs: Option<(u16, &'static str, Verdict, Verdict)>,
    /// Requests other than GET, as METHOD PATH, in order.
    pub write_requests: Vec<String>,
    /// Idempotency keys of the submissions, in order.
    pub submitted_keys: Vec<String>,
    /// Notified to shut the server down.
    pub shutdown: Arc<Notify>,
}

type SharedState = Arc<Mutex<StubState>>;

impl ApiStub {
    pub async fn start() -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = platform::start(any_port, PlatformOptions::default())
            .await
            .expect("a free port");
        let acceptor = TcpListener::bind(any_port)
            .into_acceptor()
            .await
            .expect("a free port");
        let bound_address = acceptor.local_addr().remove(0);
        let address = bound_address.as_socket_addr().expect("TCP").to_string();
        let state = SharedState::default();
        let shutdown = state.lock().unwrap().shutdown.clone();
        let signal = async move { shutdown.notified().await };
        let routes = routes(&platform, &state);
        let server = Server::new_with_acceptor(acceptor);
        let server = tokio::spawn(server.run_with_graceful_shutdown(routes, signal, None));
        Self {
            address,
            state,
            platform,
            server,
        }
    }

    /// Updates the stub's state.
    pub fn set(&self, change: impl FnOnce(&mut StubState)) {
        change(&mut self.state.lock().unwrap());
    }
}

impl Drop for ApiStub {
    fn drop(&mut self) {
        self.server.abort();
    }
}

fn routes(platform: &PlatformHandle, state: &SharedState) -> impl IntoEndpoint + use<> {
    let route = Route::new()
        .at("/v1/keys", post(mint_keys))
        .at("/v1/jobs", post(submit))
        .at("/v1/jobs/:key", get(job_status).delete(job_status))
        .at("/v1/drain", post(drain));
    operator::add_routes(route, operator_context(platform, state))
        .data(state.clone())
        .around({
            let state = state.clone();
            move |routes, request| record_writes(routes, request, state.clone())
        })
}

/// Records writes, and withholds their responses if configured.
async fn record_writes<E: Endpoint>(
    routes: Arc<E>,
    request: Request,
    state: SharedState,
) -> poem::Result<Response> {
    let is_write = request.method() != "GET";
    if is_write {
        let line = format!("{} {}", request.method(), request.uri());
        state.lock().unwrap().write_requests.push(line);
    }
    let response = routes.get_response(request).await;
    let withhold = is_write && state.lock().unwrap().withhold_responses;
    if withhold {
        pending::<()>().await;
    }
    Ok(response)
}

fn operator_context(platform: &PlatformHandle, state: &SharedState) -> OperatorContext {
    let settings = Settings {
        platform: PlatformSettings {
            address: platform.address.to_string(),
            backoff_min_ms: 10,
            backoff_max_ms: 50,
            call_timeout_ms: 300,
            ..PlatformSettings::default()
        },
        ..Settings::default()
    };
    let store: Arc<dyn PlatformStore> = Arc::new(EtcdClient::new(&settings));
    let log = Logger::root(Discard, o!());
    let config = ConfigSync::start(Arc::clone(&store), &settings, log);
    let status = {
        let (config, state) = (config.clone(), state.clone());
        move || {
            let configured = state.lock().unwrap().status.clone();
            configured.unwrap_or_else(|| {
                let revision = config.current().revision;
                let own = instance_status("a", InstanceStateName::Serving, revision, 0);
                status_response("a", revision, vec![own])
            })
        }
    };
    OperatorContext {
        config,
        store,
        platform: settings.platform,
        status: Arc::new(status),
        conditions: Arc::new(|_| Vec::new()),
    }
}

/// An address that refuses connections. The socket is bound without listening,
/// so that no other test is assigned the same port.
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

pub fn instance_status(
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

/// A `/v1/status` response from the instance `name`.
pub fn status_response(
    name: &str,
    revision: u64,
    instances: Vec<InstanceStatus>,
) -> StatusResponse {
    StatusResponse {
        instance: name.to_owned(),
        config_revision: revision,
        store_reachable: true,
        view_version: 1,
        instances,
    }
}

#[handler]
fn mint_keys() -> Json<Value> {
    Json(json!({ "keys": [MINTED_KEY] }))
}

#[handler]
async fn submit(
    request: &Request,
    state: Data<&SharedState>,
    Json(job): Json<JobRequest>,
) -> Response {
    let key = request.header("idempotency-key").expect("a key").to_owned();
    let (refusal, replayed) = {
        let mut state = state.lock().unwrap();
        let replayed = state.submitted_keys.contains(&key);
        state.submitted_keys.push(key.clone());
        (state.refuse_jobs, replayed)
    };
    if let Some((status, reason, verdict, request_verdict)) = refusal {
        let status = StatusCode::from_u16(status).unwrap();
        return Problem::new(status, reason, "as the test asked", verdict)
            .request_verdict(request_verdict)
            .key(&key)
            .retry_after_ms(40)
            .into_response();
    }
    let results: Vec<Value> = job.tasks.into_iter().map(|task| task.payload).collect();
    Json(json!({
        "key": key, "state": "complete", "verdict": "ran", "tasks_total": results.len(),
        "tasks_done": results.len(), "replayed": replayed, "results": results,
    }))
    .into_response()
}

/// Reports the job as cancelled after DELETE, and as running otherwise.
#[handler]
fn job_status(request: &Request, Path(key): Path<String>) -> Json<Value> {
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

/// Starts a graceful shutdown of the stub.
#[handler]
fn drain(state: Data<&SharedState>) -> StatusCode {
    state.lock().unwrap().shutdown.notify_one();
    StatusCode::ACCEPTED
}
