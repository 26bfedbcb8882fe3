//! One running instance: HTTP, signals, and the planned stop.
//!
//! [`run`] starts the parts, [`routes`] is where HTTP routes are added, and
//! [`Context`] is what handlers and tasks share.

pub mod conditions;
pub mod health;
mod observe;
pub mod parts;
mod report;
pub mod stop;

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

use crate::peers::PeersError;
use crate::util::clock::Clock;
use crate::util::telemetry::Telemetry;
use parts::Parts;
use stop::StopControl;

/// Longest wait for connections to close once nothing is in flight.
const CLOSE_MAX: Duration = Duration::from_millis(500);

/// Why an instance cannot run.
#[derive(Debug, Display, Error)]
pub enum ServerError {
    /// The HTTP address cannot be served.
    #[display("cannot serve on {address}: {source}; hint: check http_address")]
    Listen {
        /// The address asked for.
        address: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// Signals cannot be caught.
    #[display("cannot catch signals: {source}")]
    Signals {
        /// What the system said.
        source: std::io::Error,
    },
    /// The links between instances cannot be started.
    #[display("cannot take part in the deployment: {source}")]
    Peers {
        /// What went wrong.
        source: PeersError,
    },
}

/// What all parts of one instance share.
#[derive(Debug)]
pub struct Context {
    /// The checked settings.
    pub settings: Settings,
    /// The root logger.
    pub log: Logger,
    /// Metrics and traces.
    pub telemetry: Telemetry,
    /// The clocks of every decision.
    pub clock: Clock,
    /// What is in flight, and the planned stop.
    pub stop: Arc<StopControl>,
    configured: AtomicBool,
    in_view: AtomicBool,
}

impl Context {
    /// The context of an instance that serves.
    pub fn new(settings: Settings, log: Logger, telemetry: Telemetry) -> Self {
        let clock = Clock::start();
        let stop = Arc::new(StopControl::new(clock, &settings.drain));
        Self {
            settings,
            log,
            telemetry,
            clock,
            stop,
            configured: AtomicBool::new(false),
            in_view: AtomicBool::new(false),
        }
    }

    /// Whether declarations are in force.
    pub fn is_configured(&self) -> bool {
        self.configured.load(Ordering::Relaxed)
    }

    /// Whether this instance owns keys.
    pub fn is_in_view(&self) -> bool {
        self.in_view.load(Ordering::Relaxed)
    }

    /// Notes whether this instance owns keys.
    pub fn set_in_view(&self, in_view: bool) {
        self.in_view.store(in_view, Ordering::Relaxed);
    }

    /// Notes that declarations are in force; they never cease to be.
    pub fn set_configured(&self) {
        self.configured.store(true, Ordering::Relaxed);
    }
}

/// Runs one instance until its planned stop has ended.
pub async fn run(
    settings: Settings,
    log: Logger,
    telemetry: Telemetry,
) -> Result<DrainOutcome, ServerError> {
    let context = Arc::new(Context::new(settings, log, telemetry));
    let acceptor = listen(&context.settings.http_address).await?;
    catch_signals(&context)?;
    let parts = Parts::start(&context)?;
    info!(context.log, "serving"; "http_address" => &context.settings.http_address);
    let ending = serve(&context, &parts, acceptor).await;
    info!(context.log, "stopped"; "ending" => %ending);
    if ending == DrainOutcome::Drained {
        let limit = context.stop.budget_left();
        context.telemetry.shutdown(limit).await;
    }
    Ok(ending)
}

async fn listen(address: &str) -> Result<TcpAcceptor, ServerError> {
    let bound = TcpListener::bind(address.to_owned()).into_acceptor().await;
    bound.map_err(|source| ServerError::Listen {
        address: address.to_owned(),
        source,
    })
}

/// Serves until the planned stop has ended, then closes connections.
async fn serve(context: &Arc<Context>, parts: &Parts, acceptor: TcpAcceptor) -> DrainOutcome {
    let (close, closing) = oneshot::channel::<()>();
    let closed = async move { drop(closing.await) };
    let server = poem::Server::new_with_acceptor(acceptor).run_with_graceful_shutdown(
        routes(context, parts),
        closed,
        Some(CLOSE_MAX),
    );
    let server = tokio::spawn(server);
    let ending = context.stop.finished(&context.log).await;
    if ending == DrainOutcome::Drained {
        drop(close);
        let limit = CLOSE_MAX.min(context.stop.budget_left());
        close_within(server, limit, &context.log).await;
    }
    ending
}

async fn close_within<T>(server: tokio::task::JoinHandle<T>, limit: Duration, log: &Logger) {
    if tokio::time::timeout(limit, server).await.is_err() {
        warn!(log, "connections were left open"; "limit_ms" => limit.as_millis() as u64);
    }
}

/// All routes of an instance.
fn routes(context: &Arc<Context>, parts: &Parts) -> impl Endpoint + use<> {
    let health = health::routes(Route::new());
    let work = parts.routes(context).around(observe::observe).around(track);
    health.nest_no_strip("/v1", work).data(context.clone())
}

/// Keeps the planned stop waiting until the request is answered. Once it is
/// announced, answers also close their connections: a request that came over
/// a kept one at the very end would be cut off.
async fn track<E: Endpoint>(next: Arc<E>, request: Request) -> poem::Result<Response> {
    let stop = request
        .data()
        .map(|context: &Arc<Context>| context.stop.clone());
    let guard = stop.as_ref().map(|stop| stop.track());
    let mut response = next.get_response(request).await;
    if stop.is_some_and(|stop| stop.state() != DrainState::Serving) {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    drop(guard);
    Ok(response)
}

fn catch_signals(context: &Arc<Context>) -> Result<(), ServerError> {
    let failed = |source| ServerError::Signals { source };
    let terminate = signal(SignalKind::terminate()).map_err(failed)?;
    let interrupt = signal(SignalKind::interrupt()).map_err(failed)?;
    tokio::spawn(forward_signals(context.stop.clone(), terminate, interrupt));
    Ok(())
}

async fn forward_signals(stop: Arc<StopControl>, mut terminate: Signal, mut interrupt: Signal) {
    while !matches!(stop.state(), DrainState::Finished(_)) {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        stop.signal();
    }
}
