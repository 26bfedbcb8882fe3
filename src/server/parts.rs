//! The parts of a running instance, and how they are joined.

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
use super::report::Report;
use super::stop::Hold;
use super::{Context, ServerError};
use crate::http::caller::{self, CallerContext};
use crate::http::operator::{self, OperatorContext};
use crate::http::problem::Problem;
use crate::peers::{Peers, PeersContext};
use crate::runtime::dispatch::Dispatch;
use crate::runtime::{Runtime, TickerGuard};
use crate::sources::config::{ConfigHandle, ConfigSync};
use crate::sources::instances;
use crate::sources::platform::PlatformStore;
use crate::sources::platform::etcd::EtcdJson;
use crate::workers::WorkerClient;

/// Period of looks at the planned stop and the gauges.
const WATCH_PERIOD: Duration = Duration::from_millis(50);
/// Longest hand-over of memory, which a frozen successor may spend.
const HANDOVER_MAX: Duration = Duration::from_secs(5);
/// Part of the stop's budget kept for closing connections and telemetry.
const CLOSE_RESERVE: Duration = Duration::from_millis(1_500);
/// When a client of a leaving instance should ask another one.
const LEAVING_RETRY_MS: u64 = 100;

/// Everything that serves requests.
pub struct Parts {
    pub(super) etcd: EtcdJson,
    pub(super) runtime: Arc<Runtime>,
    pub(super) peers: Arc<Peers>,
    store: Arc<dyn PlatformStore>,
    config: ConfigHandle,
    _ticker: TickerGuard,
}

impl Parts {
    /// Starts all parts.
    ///
    /// # Errors
    ///
    /// The peer address cannot be listened on.
    pub fn start(context: &Arc<Context>) -> Result<Arc<Self>, ServerError> {
        let settings = &context.settings;
        let etcd = EtcdJson::new(settings);
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
            stop: context.stop.clone(),
            log: context.log.clone(),
        });
        let peers = peers.map_err(|source| ServerError::Peers { source })?;
        let ticker = runtime.start_ticker();
        let parts = Arc::new(Self {
            etcd,
            runtime,
            peers,
            store,
            config,
            _ticker: ticker,
        });
        tokio::spawn(follow_config(context.clone(), parts.clone()));
        let hold = context.stop.hold();
        tokio::spawn(watch_stop(context.clone(), parts.clone(), hold));
        Ok(parts)
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
            dispatch: Dispatch::with_peers(self.runtime.clone(), self.peers.clone()),
            jobs: Arc::new(context.settings.jobs.clone()),
            failure_domain: Arc::from(context.settings.failure_domain.as_str()),
        };
        let route = Route::new().at("/v1/drain", post(drain));
        let route = operator::add_routes(route, operator);
        caller::add_routes(route, caller)
            .around(refuse_when_leaving)
            .into_endpoint()
    }
}

/// Starts the planned stop of this instance.
#[handler]
fn drain(context: Data<&Arc<Context>>) -> Response {
    let state = context.stop.request();
    Response::builder()
        .status(StatusCode::ACCEPTED)
        .body(state.to_string())
}

/// Refuses submissions once the planned stop has got so far.
async fn refuse_when_leaving<E: Endpoint>(
    next: Arc<E>,
    request: Request,
) -> poem::Result<Response> {
    let context: Option<&Arc<Context>> = request.data();
    let submits = request.method() == Method::POST && request.uri().path() == "/v1/jobs";
    let accepted = context.map(|context| context.stop.accept());
    if submits && matches!(accepted, Some(None)) {
        return Ok(leaving().into_response());
    }
    let response = next.get_response(request).await;
    drop(accepted);
    Ok(response)
}

fn leaving() -> Problem {
    let detail = "this instance is leaving; ask another with the same key";
    Problem::new(
        StatusCode::SERVICE_UNAVAILABLE,
        &RefusalReason::Leaving.to_string(),
        detail,
        Verdict::MayHaveRun,
    )
    .request_verdict(Verdict::NotRun)
    .retry_after_ms(LEAVING_RETRY_MS)
}

/// Puts each accepted configuration in force.
async fn follow_config(context: Arc<Context>, parts: Arc<Parts>) {
    let mut snapshots = parts.config.subscribe();
    loop {
        let snapshot = snapshots.borrow_and_update().clone();
        if snapshot.revision > 0 {
            context
                .telemetry
                .metrics()
                .set_config_revision(snapshot.revision);
            parts.runtime.set_config(snapshot);
            context.set_configured();
        }
        if snapshots.changed().await.is_err() {
            return;
        }
    }
}

/// Hands keys over when the planned stop begins, and keeps the stop waiting
/// while jobs run here.
async fn watch_stop(context: Arc<Context>, parts: Arc<Parts>, hold: Hold) {
    let mut ticks = tokio::time::interval(WATCH_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut hold = Some(hold);
    let mut has_left = false;
    let mut has_refused = false;
    let mut report = Report::default();
    loop {
        ticks.tick().await;
        let state = context.stop.state();
        if state == DrainState::Serving {
            context.set_in_view(parts.peers.in_force());
        } else if !has_left {
            parts.peers.leave();
            has_left = true;
        }
        let stats = parts.runtime.engine().stats();
        report.send(&parts, &stats, context.telemetry.metrics());
        match state {
            DrainState::Serving | DrainState::Announcing { .. } => {}
            // Released one period later, when no admission is under way.
            DrainState::Refusing { .. } if has_refused && stats.jobs_running == 0 => {
                if let Some(hold) = hold.take() {
                    tokio::spawn(hand_over(context.clone(), parts.clone(), hold));
                }
            }
            DrainState::Refusing { .. } => {
                parts.runtime.engine().set_leaving(true);
                has_refused = true;
            }
            DrainState::Finished(_) => return,
        }
    }
}

/// Hands the memory of ended jobs over, then lets the stop finish.
async fn hand_over(context: Arc<Context>, parts: Arc<Parts>, hold: Hold) {
    let left = context.stop.budget_left().saturating_sub(CLOSE_RESERVE);
    parts.peers.hand_over(left.min(HANDOVER_MAX)).await;
    parts.peers.say_gone();
    drop(hold);
}
