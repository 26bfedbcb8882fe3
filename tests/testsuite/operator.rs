//! The operators' API against a store with injected faults.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use poem::http::{Method, StatusCode, header};
use poem::{Endpoint, Request, Route};
use serde_json::{Value, json};
use slog::{Discard, Logger, o};
use tokio::task::JoinSet;
use tokio::time::timeout;
use trefoil_fakes::platform::faults::FaultUpdate;
use trefoil_fakes::platform::{self, PlatformHandle, PlatformOptions};
use trefoil_schema::api::{InstanceStateName, InstanceStatus, StatusResponse};
use trefoil_schema::settings::{PlatformSettings, Settings};
use trefoilbay::http::operator::{OperatorContext, routes};
use trefoilbay::sources::config::{ConfigHandle, ConfigSync};
use trefoilbay::sources::platform::PlatformStore;
use trefoilbay::sources::platform::etcd::EtcdClient;

/// Timeout for a change to take effect.
pub(crate) const IN_FORCE_WAIT: Duration = Duration::from_secs(5);

/// An instance that serves only the operators' API.
pub(crate) struct Instance {
    pub(crate) config: ConfigHandle,
    pub(crate) store: EtcdClient,
    api: Route,
}

pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) etag: String,
    pub(crate) body: Value,
}

pub(crate) async fn start_platform() -> PlatformHandle {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    // etcd omits default values from its JSON.
    let options = PlatformOptions {
        omit_defaults: true,
        ..PlatformOptions::default()
    };
    platform::start(address, options).await.unwrap()
}

impl Instance {
    pub(crate) fn start(name: &str, platform: SocketAddr) -> Self {
        let settings = Settings {
            instance: name.to_owned(),
            platform: PlatformSettings {
                address: platform.to_string(),
                backoff_min_ms: 10,
                backoff_max_ms: 100,
                call_timeout_ms: 500,
                ..PlatformSettings::default()
            },
            ..Settings::default()
        };
        let store = EtcdClient::new(&settings);
        let shared_store: Arc<dyn PlatformStore> = Arc::new(store.clone());
        let log = Logger::root(Discard, o!());
        let config = ConfigSync::start(Arc::clone(&shared_store), &settings, log);
        let context = OperatorContext {
            config: config.clone(),
            store: shared_store,
            platform: settings.platform.clone(),
            status: Arc::new({
                let (name, config) = (name.to_owned(), config.clone());
                move || status(&name, &config)
            }),
            conditions: Arc::new(|_| Vec::new()),
        };
        let api = routes(context);
        Self { config, store, api }
    }

    async fn call(&self, method: Method, path: &str, precondition: &str, body: Value) -> Answer {
        let (name, value) = precondition.split_once(": ").unwrap_or(("x-none", ""));
        let request = Request::builder()
            .method(method)
            .uri_str(path)
            .header(name, value)
            .body(body.to_string());
        let mut response = self.api.get_response(request).await;
        let etag = response.headers().get(header::ETAG);
        let etag = etag.map_or("", |tag| tag.to_str().unwrap()).to_owned();
        let text = response.take_body().into_string().await.unwrap();
        Answer {
            status: response.status(),
            etag,
            body: serde_json::from_str(&text).unwrap_or_default(),
        }
    }

    /// Eight concurrent writes from one revision, each with its own run time.
    async fn put_concurrently(self: &Arc<Self>, etag: &str) -> Vec<(u64, Answer)> {
        let mut writers = JoinSet::new();
        for run_ms in 10..18 {
            let (instance, precondition) = (Arc::clone(self), format!("if-match: {etag}"));
            writers.spawn(async move { (run_ms, instance.put(&precondition, run_ms).await) });
        }
        writers.join_all().await
    }

    pub(crate) async fn get(&self, path: &str) -> Answer {
        self.call(Method::GET, path, "", Value::Null).await
    }

    pub(crate) async fn put(&self, precondition: &str, run_ms: u64) -> Answer {
        let path = "/v1/services/pay";
        self.call(Method::PUT, path, precondition, service(run_ms))
            .await
    }

    /// Waits until the configuration in force satisfies `predicate`.
    async fn in_force(&self, predicate: impl Fn(&trefoil_core::config::ConfigSnapshot) -> bool) {
        let mut snapshots = self.config.subscribe();
        let wait = snapshots.wait_for(|snapshot| predicate(snapshot));
        timeout(IN_FORCE_WAIT, wait).await.unwrap().unwrap();
    }

    pub(crate) async fn run_ms_in_force(&self, run_ms: u64) {
        self.in_force(|snapshot| {
            let service = snapshot.services.get("pay");
            service.is_some_and(|service| service.spec.declared_run_ms == run_ms)
        })
        .await;
    }
}

fn service(run_ms: u64) -> Value {
    json!({"kind": "service", "name": "pay", "spec": {"declared_run_ms": run_ms}})
}

fn status(name: &str, config: &ConfigHandle) -> StatusResponse {
    let config_revision = config.current().revision;
    let own = InstanceStatus {
        instance: name.to_owned(),
        incarnation: 1,
        failure_domain: "local".to_owned(),
        state: InstanceStateName::Serving,
        config_revision,
        heard_ms: 0,
    };
    StatusResponse {
        instance: name.to_owned(),
        config_revision,
        store_reachable: config.store_reachable(),
        view_version: 0,
        instances: vec![own],
    }
}

pub(crate) fn down(platform: &PlatformHandle, down: bool) {
    platform.update_faults(&FaultUpdate {
        down: Some(down),
        ..FaultUpdate::default()
    });
}

pub(crate) fn drop_answers(platform: &PlatformHandle, drop_answers: u64) {
    platform.update_faults(&FaultUpdate {
        drop_answers: Some(drop_answers),
        ..FaultUpdate::default()
    });
}

#[tokio::test]
async fn declaration_takes_effect_and_can_be_changed_and_removed() {
    let platform = start_platform().await;
    let (one, two) = (
        Instance::start("one", platform.address),
        Instance::start("two", platform.address),
    );
    let created = one.put("if-none-match: *", 100).await;
    assert_eq!(created.status, StatusCode::OK);
    two.run_ms_in_force(100).await;
    let read = two.get("/v1/services/pay").await;
    assert_eq!(read.etag, created.etag);
    assert_eq!(read.body["status"]["conditions"][0]["status"], "true");
    assert_eq!(read.body["status"]["conditions"][1]["reason"], "NoServers");
    let changed = two.put(&format!("if-match: {}", read.etag), 200).await;
    assert_eq!(changed.status, StatusCode::OK);
    one.run_ms_in_force(200).await;
    let list = one.get("/v1/services").await;
    assert_eq!(list.body.as_array().unwrap().len(), 1);
    let path = "/v1/services/pay";
    let stale = format!("if-match: {}", created.etag);
    let refused = one.call(Method::DELETE, path, &stale, Value::Null).await;
    assert_eq!(refused.status, StatusCode::PRECONDITION_FAILED);
    let removed = one.call(Method::DELETE, path, "", Value::Null).await;
    assert_eq!(removed.status, StatusCode::NO_CONTENT);
    two.in_force(|snapshot| snapshot.services.is_empty()).await;
    assert_eq!(two.get(path).await.status, StatusCode::NOT_FOUND);
}

#[tokio::test]
async fn invalid_declarations_and_dry_runs_write_nothing() {
    let platform = start_platform().await;
    let instance = Instance::start("one", platform.address);
    let (path, wrong) = ("/v1/services/pay", service(0));
    let refused = instance.call(Method::PUT, path, "", wrong).await;
    assert_eq!(refused.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(refused.body["errors"][0]["path"], "spec.declared_run_ms");
    assert_eq!(refused.body["verdict"], "not_run");
    let other = instance
        .call(Method::PUT, "/v1/services/other", "", service(1))
        .await;
    assert_eq!(other.body["errors"][0]["path"], "name");
    let text = instance
        .call(Method::PUT, path, "if-match: 7", service(1))
        .await;
    assert_eq!(text.status, StatusCode::BAD_REQUEST);
    let path = "/v1/services/pay?dry_run=true";
    let dry = instance.call(Method::PUT, path, "", service(1)).await;
    assert_eq!(dry.status, StatusCode::OK);
    assert_eq!(platform.counters().txn, 0);
}

#[tokio::test]
async fn one_of_several_concurrent_writes_succeeds() {
    let platform = start_platform().await;
    let instance = Arc::new(Instance::start("one", platform.address));
    let first = instance.put("if-none-match: *", 1).await;
    let answers = instance.put_concurrently(&first.etag).await;
    let (won, lost): (Vec<_>, Vec<_>) = answers
        .into_iter()
        .partition(|(_, answer)| answer.status == StatusCode::OK);
    assert_eq!((won.len(), lost.len()), (1, 7));
    for (_, answer) in lost {
        let reasons = [StatusCode::CONFLICT, StatusCode::PRECONDITION_FAILED];
        assert!(reasons.contains(&answer.status), "{}", answer.status);
        assert_eq!(answer.body["verdict"], "not_run");
        let detail = answer.body["detail"].as_str().unwrap();
        assert!(detail.contains("differs from the request in spec.declared_run_ms"));
        assert!(detail.contains(won[0].1.etag.trim_matches('"')));
    }
    let stored = instance.get("/v1/services/pay").await;
    assert_eq!(stored.body["spec"]["declared_run_ms"], won[0].0);
}

#[tokio::test]
async fn concurrent_writes_with_lost_answers_report_correct_verdicts() {
    let platform = start_platform().await;
    let instance = Arc::new(Instance::start("one", platform.address));
    let first = instance.put("if-none-match: *", 1).await;
    drop_answers(&platform, 5);
    let answers = instance.put_concurrently(&first.etag).await;
    let stored = instance.get("/v1/services/pay").await;
    let stored = stored.body["spec"]["declared_run_ms"].as_u64().unwrap();
    let accepted = |answer: &Answer| answer.status == StatusCode::OK;
    let count = answers.iter().filter(|(_, one)| accepted(one)).count();
    assert_eq!(count, 1);
    for (run_ms, answer) in &answers {
        let verdict = answer.body["verdict"].as_str().unwrap_or("accepted");
        match verdict {
            "accepted" => assert_eq!(*run_ms, stored),
            "not_run" => assert_ne!(*run_ms, stored),
            other => panic!("unexpected verdict {other} for run time {run_ms}"),
        }
    }
    assert!(platform.counters().dropped_answers > 0);
}

#[tokio::test]
async fn write_with_lost_answer_is_resolved_by_reading_back() {
    let platform = start_platform().await;
    let instance = Instance::start("one", platform.address);
    drop_answers(&platform, 1);
    let created = instance.put("if-none-match: *", 1).await;
    assert_eq!(created.status, StatusCode::OK);
    drop_answers(&platform, 1);
    let changed = instance
        .put(&format!("if-match: {}", created.etag), 2)
        .await;
    assert_eq!(changed.status, StatusCode::OK);
    assert_eq!(instance.get("/v1/services/pay").await.etag, changed.etag);
    drop_answers(&platform, 1);
    let path = "/v1/services/pay";
    let removed = instance.call(Method::DELETE, path, "", Value::Null).await;
    assert_eq!(removed.status, StatusCode::NO_CONTENT);
    // No write was sent twice.
    let counters = platform.counters();
    assert_eq!((counters.txn, counters.dropped_answers), (3, 3));
}

#[tokio::test]
async fn write_of_unknown_outcome_is_reported_as_such() {
    let platform = start_platform().await;
    let instance = Arc::new(Instance::start("one", platform.address));
    let created = instance.put("", 1).await;
    drop_answers(&platform, 1);
    // The store goes down before the write can be read back.
    let watcher = async {
        while platform.counters().dropped_answers == 0 {
            tokio::task::yield_now().await;
        }
        down(&platform, true);
    };
    let tag = format!("if-match: {}", created.etag);
    let (answer, ()) = tokio::join!(instance.put(&tag, 2), watcher);
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(
        answer.body["type"],
        "urn:trefoilbay:problem:write_unsettled"
    );
    assert_eq!(answer.body["verdict"], "may_have_run");
}

#[tokio::test]
async fn reads_succeed_and_writes_fail_while_the_store_is_down() {
    let platform = start_platform().await;
    let instance = Instance::start("one", platform.address);
    let created = instance.put("", 7).await;
    instance.run_ms_in_force(7).await;
    down(&platform, true);
    let read = instance.get("/v1/services/pay").await;
    assert_eq!((read.status, read.etag), (StatusCode::OK, created.etag));
    let conditions = read.body["status"]["conditions"].as_array().unwrap();
    assert_eq!(conditions.last().unwrap()["reason"], "StoreUnreachable");
    assert_eq!(instance.get("/v1/services").await.body[0]["name"], "pay");
    let refused = instance.put("", 8).await;
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refused.body["verdict"], "not_run");
    assert!(refused.body["retry_after_ms"].as_u64().unwrap() > 0);
    let status = instance.get("/v1/status").await;
    assert_eq!(status.body["store_reachable"], false);
    down(&platform, false);
    assert_eq!(instance.put("", 9).await.status, StatusCode::OK);
    instance.run_ms_in_force(9).await;
}
