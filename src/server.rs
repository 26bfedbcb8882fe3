//! One running instance: HTTP for health and metrics, signals, and the drain.

use std::sync::Arc;

use derive_more::{Display, Error};
use poem::listener::TcpListener;
use poem::web::Data;
use poem::{EndpointExt, IntoEndpoint, Response, Route, get, handler, http::StatusCode};
use slog::{Logger, info};
use tokio::signal::unix::{Signal, SignalKind, signal};
use trefoil_schema::settings::Settings;

use crate::util::telemetry::Telemetry;

/// How an instance stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stop {
    /// All that was in flight has finished.
    Drained,
    /// A second signal ended the drain.
    AtOnce,
    /// The budget ran out with work in flight.
    Unfinished,
}

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
}

/// Runs one instance until it is told to stop.
pub async fn run(
    settings: Settings,
    log: Logger,
    telemetry: Telemetry,
) -> Result<Stop, ServerError> {
    let context = Arc::new(Context {
        settings,
        log,
        telemetry,
    });
    let signals = |source| ServerError::Signals { source };
    let mut terminate = signal(SignalKind::terminate()).map_err(signals)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(signals)?;
    let address = context.settings.http_address.clone();
    info!(context.log, "serving"; "http_address" => &address);
    let stopped = async move { stop_signal(&mut terminate, &mut interrupt).await };
    poem::Server::new(TcpListener::bind(address.clone()))
        .run_with_graceful_shutdown(routes(&context), stopped, None)
        .await
        .map_err(|source| ServerError::Listen { address, source })?;
    info!(context.log, "stopped");
    context.telemetry.stop();
    Ok(Stop::Drained)
}

async fn stop_signal(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

fn routes(context: &Arc<Context>) -> impl IntoEndpoint<Endpoint: 'static> + use<> {
    Route::new()
        .at("/healthz", get(healthz))
        .at("/metrics", get(metrics))
        .data(context.clone())
}

#[handler]
fn healthz() -> &'static str {
    "ok\n"
}

#[handler]
fn metrics(context: Data<&Arc<Context>>) -> Response {
    match context.telemetry.page() {
        Ok(text) => Response::builder()
            .content_type("text/plain; version=0.0.4")
            .body(text),
        Err(error) => Response::builder()
            .status(StatusCode::INTERNAL_SERVER_ERROR)
            .body(error.to_string()),
    }
}
