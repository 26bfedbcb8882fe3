//! A running instance: HTTP server, signal handling and drain.
//!
//! [`run`] starts the components, [`routes`] collects the HTTP routes, and
//! [`Context`] is the state shared by handlers and background tasks.

mod components;
pub mod conditions;
pub mod drain;
pub mod health;
mod metrics;
mod observe;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use derive_more::{Display, Error};
use poem::http::{HeaderValue, header};
use poem::listener::{Listener, TcpAcceptor, TcpListener};
use poem::{Endpoint, EndpointExt, Request, Response, Route};
use slog::{Logger, info, warn};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::oneshot;
use trefoil_core::drain::{DrainOutcome, DrainState};
use trefoil_schema::settings::Settings;

use crate::http::connections::{Connections, LimitedAcceptor};
use crate::peers::PeersError;
use crate::util::clock::Clock;
use crate::util::telemetry::Telemetry;
use components::Components;
use drain::DrainController;

/// Timeout for connections to close once nothing is in flight.
const CONNECTION_CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Why an instance cannot run.
#[derive(Debug, Display, Error)]
#[expect(missing_docs, reason = "the messages explain the variants")]
pub enum ServerError {
    #[display("cannot listen on {address}: {source}; hint: check http_address")]
    Listen {
        address: String,
        source: std::io::Error,
    },
    #[display("cannot install signal handlers: {source}")]
    Signals { source: std::io::Error },
    #[display("cannot start the links to peers: {source}")]
    Peers { source: PeersError },
}

/// State shared by all components of an instance.
#[derive(Debug)]
pub struct Context {
    /// The validated settings.
    pub settings: Settings,
    /// The root logger.
    pub log: Logger,
    /// Metrics and traces.
    pub telemetry: Telemetry,
    /// The clock shared by all components.
    pub clock: Clock,
    /// Counts work in flight and runs the drain.
    pub drain: Arc<DrainController>,
    /// Connections of callers and operators.
    pub connections: Arc<Connections>,
    configured: AtomicBool,
    in_view: AtomicBool,
}

impl Context {
    /// Creates the context of an instance that is not draining.
    pub fn new(settings: Settings, log: Logger, telemetry: Telemetry) -> Self {
        let clock = Clock::start();
        let drain = Arc::new(DrainController::new(clock, &settings.drain));
        let connections = Connections::new(&settings.http);
        Self {
            settings,
            log,
            telemetry,
            clock,
            drain,
            connections,
            configured: AtomicBool::new(false),
            in_view: AtomicBool::new(false),
        }
    }

    /// Whether a configuration is in force.
    pub fn is_configured(&self) -> bool {
        self.configured.load(Ordering::Relaxed)
    }

    /// Whether the current view includes this instance, so that it owns keys.
    pub fn is_in_view(&self) -> bool {
        self.in_view.load(Ordering::Relaxed)
    }

    /// Sets whether the current view includes this instance.
    pub fn set_in_view(&self, in_view: bool) {
        self.in_view.store(in_view, Ordering::Relaxed);
    }

    /// Records that a configuration is in force; this cannot be undone.
    pub fn set_configured(&self) {
        self.configured.store(true, Ordering::Relaxed);
    }
}

/// Runs an instance until its drain has finished.
pub async fn run(
    settings: Settings,
    log: Logger,
    telemetry: Telemetry,
) -> Result<DrainOutcome, ServerError> {
    let context = Arc::new(Context::new(settings, log, telemetry));
    let acceptor = listen(&context.settings.http_address).await?;
    install_signal_handlers(&context)?;
    let components = Components::start(&context)?;
    info!(context.log, "serving"; "http_address" => &context.settings.http_address);
    let outcome = serve(&context, &components, acceptor).await;
    info!(context.log, "stopped"; "ending" => %outcome);
    if outcome == DrainOutcome::Drained {
        let limit = context.drain.budget_left();
        context.telemetry.shutdown(limit).await;
    }
    Ok(outcome)
}

async fn listen(address: &str) -> Result<TcpAcceptor, ServerError> {
    let bound = TcpListener::bind(address.to_owned()).into_acceptor().await;
    bound.map_err(|source| ServerError::Listen {
        address: address.to_owned(),
        source,
    })
}

/// Serves until the drain has finished, then closes connections.
async fn serve(
    context: &Arc<Context>,
    components: &Components,
    acceptor: TcpAcceptor,
) -> DrainOutcome {
    let (close, closing) = oneshot::channel::<()>();
    let closed = async move { drop(closing.await) };
    let connections = Arc::clone(&context.connections);
    let acceptor = LimitedAcceptor::new(acceptor, connections, context.log.clone());
    let server = poem::Server::new_with_acceptor(acceptor).run_with_graceful_shutdown(
        routes(context, components),
        closed,
        Some(CONNECTION_CLOSE_TIMEOUT),
    );
    let server = tokio::spawn(server);
    let outcome = context.drain.run_until_finished(&context.log).await;
    if outcome == DrainOutcome::Drained {
        drop(close);
        let limit = CONNECTION_CLOSE_TIMEOUT.min(context.drain.budget_left());
        wait_for_close(server, limit, &context.log).await;
    }
    outcome
}

async fn wait_for_close<T>(server: tokio::task::JoinHandle<T>, limit: Duration, log: &Logger) {
    if tokio::time::timeout(limit, server).await.is_err() {
        warn!(log, "connections were left open"; "limit_ms" => limit.as_millis() as u64);
    }
}

/// Collects all routes of an instance.
fn routes(context: &Arc<Context>, components: &Components) -> impl Endpoint + use<> {
    let health = health::routes(Route::new());
    let work = components
        .routes(context)
        .around(observe::observe_submission)
        .around(track_request);
    health
        .nest_no_strip("/v1", work)
        .around(track_connection)
        .data(context.clone())
}

/// Keeps the connection open until the request is answered.
async fn track_connection<E: Endpoint>(next: Arc<E>, request: Request) -> poem::Result<E::Output> {
    let context: Option<&Arc<Context>> = request.data();
    let client = request.remote_addr().as_socket_addr();
    let guard = context
        .zip(client)
        .and_then(|(context, client)| context.connections.begin_request(client));
    let response = next.call(request).await;
    drop(guard);
    response
}

/// Delays the end of the drain until the request is answered.
///
/// During the drain, responses also close their connections; otherwise a
/// request sent over a kept-alive connection at the end would be lost.
async fn track_request<E: Endpoint>(next: Arc<E>, request: Request) -> poem::Result<Response> {
    let drain = request
        .data()
        .map(|context: &Arc<Context>| context.drain.clone());
    let guard = drain.as_ref().map(|drain| drain.track());
    let mut response = next.get_response(request).await;
    if drain.is_some_and(|drain| drain.state() != DrainState::Serving) {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    drop(guard);
    Ok(response)
}

fn install_signal_handlers(context: &Arc<Context>) -> Result<(), ServerError> {
    let failed = |source| ServerError::Signals { source };
    let terminate = signal(SignalKind::terminate()).map_err(failed)?;
    let interrupt = signal(SignalKind::interrupt()).map_err(failed)?;
    tokio::spawn(forward_signals(context.drain.clone(), terminate, interrupt));
    Ok(())
}

async fn forward_signals(
    drain: Arc<DrainController>,
    mut terminate: Signal,
    mut interrupt: Signal,
) {
    while !matches!(drain.state(), DrainState::Finished(_)) {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        drain.signal();
    }
}
