//! Creates and connects the components of an instance.

use std::sync::Arc;
use std::time::Duration;

use poem::http::{Method, StatusCode};
use poem::web::Data;
use poem::{
    Endpoint, EndpointExt, IntoEndpoint, IntoResponse, Request, Response, Route, handler, post,
};
use tokio::sync::watch;
use tokio::time::MissedTickBehavior;
use trefoil_core::drain::DrainState;
use trefoil_core::engine::{Engine, EngineSettings, RefusalReason};
use trefoil_core::verdict::Verdict;

use super::conditions::Conditions;
use super::drain::DrainHold;
use super::metrics::MetricsReporter;
use super::{Context, ServerError};
use crate::http::body_budget::BodyBudget;
use crate::http::caller::{self, CallerContext};
use crate::http::operator::{self, OperatorContext};
use crate::http::problem::Problem;
use crate::peers::{Peers, PeersContext};
use crate::runtime::dispatch::Dispatcher;
use crate::runtime::{Runtime, TickerGuard};
use crate::sources::config::{ConfigHandle, ConfigSync};
use crate::sources::instances;
use crate::sources::platform::PlatformStore;
use crate::sources::platform::etcd::EtcdClient;
use crate::workers::WorkerClient;

/// Interval between checks of the drain, and between updates of the metrics.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout for handing over ended jobs, in case a successor does not respond.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(5);
/// Part of the drain budget reserved for closing connections and telemetry.
const CLOSE_RESERVE: Duration = Duration::from_millis(1_500);
/// Delay after which a client of a leaving instance should try another one.
const LEAVING_RETRY_MS: u64 = 100;

/// The components that serve requests.
pub struct Components {
    pub(super) etcd: EtcdClient,
    pub(super) runtime: Arc<Runtime>,
    pub(super) peers: Arc<Peers>,
    store: Arc<dyn PlatformStore>,
    config: ConfigHandle,
    _ticker: TickerGuard,
}

impl Components {
    /// Starts all components.
    ///
    /// # Errors
    ///
    /// Fails if the peer address cannot be bound.
    pub fn start(context: &Arc<Context>) -> Result<Arc<Self>, ServerError> {
        let settings = &context.settings;
        let etcd = EtcdClient::new(settings);
        let store: Arc<dyn PlatformStore> = Arc::new(etcd.clone());
        let config = ConfigSync::start(store.clone(), settings, context.log.clone());
        let engine = Engine::new(EngineSettings::from(settings));
        let workers = WorkerClient::new(&settings.workers);
        let telemetry = Some(context.telemetry.clone());
        let runtime = Runtime::with_telemetry(engine, workers, telemetry);
        let (list_polling, polling) = watch::channel(true);
        let instances =
            instances::start_while(polling, store.clone(), settings, context.log.clone());
        let peers = Peers::start(PeersContext {
            settings: settings.clone(),
            store: store.clone(),
            instances,
            list_polling,
            config: config.clone(),
            runtime: runtime.clone(),
            stop: context.drain.clone(),
            log: context.log.clone(),
        });
        let peers = peers.map_err(|source| ServerError::Peers { source })?;
        let ticker = runtime.start_ticker();
        let components = Arc::new(Self {
            etcd,
            runtime,
            peers,
            store,
            config,
            _ticker: ticker,
        });
        tokio::spawn(apply_config_changes(context.clone(), components.clone()));
        let hold = context.drain.hold();
        tokio::spawn(watch_drain(context.clone(), components.clone(), hold));
        Ok(components)
    }

    /// Adds the callers' and the operators' routes below `/v1`.
    pub fn routes(&self, context: &Arc<Context>) -> impl Endpoint + use<> {
        let peers = self.peers.clone();
        let conditions = Conditions {
            runtime: self.runtime.clone(),
            failure_domain: Arc::from(context.settings.failure_domain.as_str()),
        };
        let operator = OperatorContext {
            config: self.config.clone(),
            store: self.store.clone(),
            platform: context.settings.platform.clone(),
            status: Arc::new(move || peers.status()),
            conditions: Arc::new(move |key| conditions.of(key)),
        };
        let caller = CallerContext {
            dispatch: Dispatcher::with_peers(self.runtime.clone(), self.peers.clone()),
            jobs: Arc::new(context.settings.jobs.clone()),
            bodies: BodyBudget::new(context.settings.http.bodies_bytes_max),
            body_timeout: Duration::from_millis(context.settings.http.body_timeout_ms),
            failure_domain: Arc::from(context.settings.failure_domain.as_str()),
        };
        let route = Route::new().at("/v1/drain", post(drain));
        let route = operator::add_routes(route, operator);
        caller::add_routes(route, caller)
            .around(refuse_when_leaving)
            .into_endpoint()
    }
}

/// Handles `/v1/drain`: starts the drain of this instance.
#[handler]
fn drain(context: Data<&Arc<Context>>) -> Response {
    let state = context.drain.request();
    Response::builder()
        .status(StatusCode::ACCEPTED)
        .body(state.to_string())
}

/// Refuses submissions once the drain refuses new work.
async fn refuse_when_leaving<E: Endpoint>(
    next: Arc<E>,
    request: Request,
) -> poem::Result<Response> {
    let context: Option<&Arc<Context>> = request.data();
    let submits = request.method() == Method::POST && request.uri().path() == "/v1/jobs";
    let accepted = context.map(|context| context.drain.try_accept());
    if submits && matches!(accepted, Some(None)) {
        return Ok(leaving_problem().into_response());
    }
    let response = next.get_response(request).await;
    drop(accepted);
    Ok(response)
}

fn leaving_problem() -> Problem {
    let detail = "this instance is leaving; submit to another one under the same key";
    Problem::new(
        StatusCode::SERVICE_UNAVAILABLE,
        &RefusalReason::Leaving.to_string(),
        detail,
        Verdict::MayHaveRun,
    )
    .request_verdict(Verdict::NotRun)
    .retry_after_ms(LEAVING_RETRY_MS)
}

/// Applies each accepted configuration.
async fn apply_config_changes(context: Arc<Context>, components: Arc<Components>) {
    let mut snapshots = components.config.subscribe();
    loop {
        let snapshot = snapshots.borrow_and_update().clone();
        if snapshot.revision > 0 {
            context
                .telemetry
                .metrics()
                .set_config_revision(snapshot.revision);
            components.runtime.set_config(snapshot);
            context.set_configured();
        }
        if snapshots.changed().await.is_err() {
            return;
        }
    }
}

/// Starts the handover of keys when the drain begins, delays the end of the
/// drain while jobs run here, and updates the metrics.
async fn watch_drain(context: Arc<Context>, components: Arc<Components>, hold: DrainHold) {
    let mut ticks = tokio::time::interval(DRAIN_CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut hold = Some(hold);
    let mut has_announced_leaving = false;
    let mut is_admission_closed = false;
    let mut reporter = MetricsReporter::default();
    loop {
        ticks.tick().await;
        let state = context.drain.state();
        if state == DrainState::Serving {
            context.set_in_view(components.peers.in_view());
        } else if !has_announced_leaving {
            components.peers.leave();
            has_announced_leaving = true;
        }
        let stats = components.runtime.engine().stats();
        reporter.report(&components, &stats, context.telemetry.metrics());
        match state {
            DrainState::Serving | DrainState::Announcing { .. } => {}
            // One period later, so that no admission is still in progress.
            DrainState::Refusing { .. } if is_admission_closed && stats.jobs_running == 0 => {
                if let Some(hold) = hold.take() {
                    tokio::spawn(hand_over(context.clone(), components.clone(), hold));
                }
            }
            DrainState::Refusing { .. } => {
                components.runtime.engine().set_leaving(true);
                is_admission_closed = true;
            }
            DrainState::Finished(_) => return,
        }
    }
}

/// Hands the records of ended jobs over, then lets the drain finish.
async fn hand_over(context: Arc<Context>, components: Arc<Components>, hold: DrainHold) {
    let left = context.drain.budget_left().saturating_sub(CLOSE_RESERVE);
    components.peers.hand_over(left.min(HANDOVER_TIMEOUT)).await;
    components.peers.announce_exit();
    drop(hold);
}
