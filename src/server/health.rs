//! Liveness, readiness and the metrics page.

use std::sync::Arc;

use poem::http::StatusCode;
use poem::web::Data;
use poem::{Response, Route, get, handler};
use serde::Serialize;
use trefoil_core::drain::DrainState;

use super::Context;

const JSON: &str = "application/json";
/// Media type of the Prometheus text format.
const METRICS_TEXT: &str = "text/plain; version=0.0.4";

/// Why an instance is not ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum NotReady {
    /// No configuration is in force yet.
    NoConfiguration,
    /// The current view does not include this instance, which owns no keys.
    NoView,
    /// The drain is announced; new work is still accepted.
    Leaving,
    /// The drain refuses new work.
    Refusing,
}

/// Body of `/readyz`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Readiness {
    /// Whether a load balancer should send new work to this instance.
    pub ready: bool,
    /// Reasons for not being ready; empty if ready.
    pub reasons: Vec<NotReady>,
    /// Requests of callers and peers not yet answered.
    pub in_flight: u64,
}

/// Adds the health routes to `route`.
pub fn routes(route: Route) -> Route {
    route
        .at("/healthz", get(healthz))
        .at("/readyz", get(readyz))
        .at("/metrics", get(metrics))
}

/// Determines the readiness of an instance.
pub fn readiness(context: &Context) -> Readiness {
    let leaving = match context.drain.state() {
        DrainState::Serving => None,
        DrainState::Announcing { .. } => Some(NotReady::Leaving),
        DrainState::Refusing { .. } | DrainState::Finished(_) => Some(NotReady::Refusing),
    };
    let configured = context.is_configured();
    let no_configuration = (!configured).then_some(NotReady::NoConfiguration);
    let no_view = (leaving.is_none() && !context.is_in_view()).then_some(NotReady::NoView);
    let reasons: Vec<_> = no_configuration
        .into_iter()
        .chain(no_view)
        .chain(leaving)
        .collect();
    Readiness {
        ready: reasons.is_empty(),
        reasons,
        in_flight: context.drain.in_flight(),
    }
}

#[handler]
fn healthz() -> &'static str {
    "ok\n"
}

#[handler]
fn readyz(context: Data<&Arc<Context>>) -> Response {
    let readiness = readiness(&context);
    let status = match readiness.ready {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    };
    Response::builder()
        .status(status)
        .content_type(JSON)
        .body(serde_json::to_vec(&readiness).unwrap_or_default())
}

#[handler]
fn metrics(context: Data<&Arc<Context>>) -> Response {
    match context.telemetry.metrics_page() {
        Ok(text) => Response::builder().content_type(METRICS_TEXT).body(text),
        Err(error) => Response::builder()
            .status(StatusCode::INTERNAL_SERVER_ERROR)
            .body(error.to_string()),
    }
}
