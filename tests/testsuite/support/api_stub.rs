//! An instance's HTTP API for tests of the command line: the real operators'
//! routes on a stand-in of the platform's store, and stand-ins for the callers'
//! routes, with faults on order.

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
use trefoilbay::sources::platform::etcd::EtcdJson;

/// The only key it mints.
pub const MINTED_KEY: &str = "01890a5d-ac96-8abc-8000-000000000001";

/// A running instance's API; ends when dropped.
pub struct ApiStub {
    pub address: String,
    pub state: Arc<Mutex<StubState>>,
    pub platform: PlatformHandle,
    server: JoinHandle<std::io::Result<()>>,
}

/// What it was asked and how it misbehaves.
#[derive(Default)]
pub struct StubState {
    /// What it sees; the configuration in force at itself alone when not set.
    pub status: Option<StatusResponse>,
    /// Let a change take effect, then never answer.
    pub withhold_responses: bool,
    /// Refuse jobs with this status, reason, verdict and request verdict.
    pub refuse_jobs: Option<(u16, &'static str, Verdict, Verdict)>,
    /// Change requests, as METHOD PATH, in order.
    pub write_requests: Vec<String>,
    /// Keys of the jobs submitted, in order.
    pub submitted_keys: Vec<String>,
    /// Told once it is to stop.
    pub shutdown: Arc<Notify>,
}

type Shared = Arc<Mutex<StubState>>;

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
        let local = acceptor.local_addr().remove(0);
        let address = local.as_socket_addr().expect("TCP").to_string();
        let state = Shared::default();
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

    /// Changes how it behaves.
    pub fn set(&self, change: impl FnOnce(&mut StubState)) {
        change(&mut self.state.lock().unwrap());
    }
}

impl Drop for ApiStub {
    fn drop(&mut self) {
        self.server.abort();
    }
}

fn routes(platform: &PlatformHandle, state: &Shared) -> impl IntoEndpoint + use<> {
    let route = Route::new()
        .at("/v1/keys", post(mint_keys))
        .at("/v1/jobs", post(submit))
        .at("/v1/jobs/:key", get(one_job).delete(one_job))
        .at("/v1/drain", post(drain));
    operator::add_routes(route, operator_context(platform, state))
        .data(state.clone())
        .around({
            let state = state.clone();
            move |routes, request| record(routes, request, state.clone())
        })
}

/// Records a change and, when so ordered, keeps back the answer.
async fn record<E: Endpoint>(
    routes: Arc<E>,
    request: Request,
    state: Shared,
) -> poem::Result<Response> {
    let changes = request.method() != "GET";
    if changes {
        let title = format!("{} {}", request.method(), request.uri());
        state.lock().unwrap().write_requests.push(title);
    }
    let response = routes.get_response(request).await;
    let swallow = changes && state.lock().unwrap().withhold_responses;
    if swallow {
        pending::<()>().await;
    }
    Ok(response)
}

fn operator_context(platform: &PlatformHandle, state: &Shared) -> OperatorContext {
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
    let store: Arc<dyn PlatformStore> = Arc::new(EtcdJson::new(&settings));
    let log = Logger::root(Discard, o!());
    let config = ConfigSync::start(Arc::clone(&store), &settings, log);
    let status = {
        let (config, state) = (config.clone(), state.clone());
        move || {
            let ordered = state.lock().unwrap().status.clone();
            ordered.unwrap_or_else(|| {
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

/// What `name` sees.
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
async fn submit(request: &Request, state: Data<&Shared>, Json(job): Json<JobRequest>) -> Response {
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
fn drain(state: Data<&Shared>) -> StatusCode {
    state.lock().unwrap().shutdown.notify_one();
    StatusCode::ACCEPTED
}
