//! Conditions that an instance derives from its own observations, and their
//! presence in the operators' API.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use trefoil_core::config::{ConfigSnapshot, Declared, ResourceKey};
use trefoil_core::engine::{Engine, EngineSettings, JobAnswer, JobState, Refusal, RefusalReason};
use trefoil_core::verdict::Verdict;
use trefoil_schema::resources::{
    BackendServerSpec, BackendServerState, ConditionStatus, Kind, ServiceSpec, StoredResource,
    Targets, TeamSpec,
};
use trefoil_schema::settings::WorkerSettings;
use trefoilbay::runtime::Runtime;
use trefoilbay::runtime::service_windows::{ServiceWindows, WINDOW_MS, WindowStats};
use trefoilbay::server::conditions::Conditions;
use trefoilbay::util::telemetry::Telemetry;
use trefoilbay::workers::WorkerClient;

use crate::metrics::Worker;
use crate::support::pair::InstancePair;

const DOMAIN: &str = "local";
const TARGET_MS: u64 = 400;

fn declared<T>(spec: T) -> Declared<T> {
    Declared { spec, revision: 1 }
}

fn server(service: &str, domain: &str, state: BackendServerState) -> Declared<BackendServerSpec> {
    declared(BackendServerSpec {
        service: service.to_owned(),
        failure_domain: domain.to_owned(),
        address: "127.0.0.1:9".to_owned(),
        slots: 4,
        state,
    })
}

fn service(response_p99_ms: u64, refused_percent_max: u32) -> Declared<ServiceSpec> {
    declared(ServiceSpec {
        targets: Targets {
            response_p99_ms,
            refused_percent_max,
        },
        ..ServiceSpec::default()
    })
}

fn config() -> ConfigSnapshot {
    use BackendServerState::{Leaving, Serving};
    ConfigSnapshot {
        revision: 1,
        teams: [("default".into(), declared(TeamSpec::default()))].into(),
        services: [
            ("pay".into(), service(TARGET_MS, 10)),
            ("free".into(), service(0, 100)),
            ("bare".into(), service(0, 100)),
            ("going".into(), service(0, 100)),
        ]
        .into(),
        backend_servers: [
            ("here".into(), server("pay", DOMAIN, Serving)),
            ("there".into(), server("bare", "other", Serving)),
            ("leaving".into(), server("going", DOMAIN, Leaving)),
        ]
        .into(),
    }
}

fn conditions() -> Conditions {
    let engine = Engine::new(EngineSettings {
        failure_domain: DOMAIN.to_owned(),
        ..EngineSettings::default()
    });
    let workers = WorkerClient::new(&WorkerSettings::default());
    let runtime = Runtime::new(engine, workers);
    runtime.set_domain_members("entry-1", &["entry-1".to_owned()]);
    runtime.set_config(Arc::new(config()));
    Conditions {
        runtime,
        failure_domain: DOMAIN.into(),
    }
}

fn complete(replayed: bool) -> JobAnswer {
    JobAnswer::Known {
        state: JobState::Complete,
        verdict: Verdict::Ran,
        results: vec![Bytes::from_static(b"1")].into(),
        reason: "",
        detail: String::new(),
        replayed,
        tasks_done: 1,
        tasks_total: 1,
    }
}

fn refused(reason: RefusalReason) -> JobAnswer {
    JobAnswer::Refused(Refusal {
        reason,
        detail: String::new(),
        verdict: Verdict::NotRun,
        retry_after_ms: 0,
    })
}

/// Status and reason of the condition of type `condition_type`.
fn reason(
    conditions: &Conditions,
    kind: Kind,
    name: &str,
    condition_type: &str,
) -> (ConditionStatus, String) {
    let found = conditions.of(&ResourceKey::new(kind, name));
    let condition = found
        .into_iter()
        .find(|condition| condition.type_ == condition_type)
        .unwrap();
    (condition.status, condition.reason)
}

#[tokio::test]
async fn targets_are_compared_with_recent_answers() {
    let conditions = conditions();
    let meets = |name| reason(&conditions, Kind::Service, name, "MeetsTargets");
    let is = |status, reason: &str| (status, reason.to_owned());
    assert_eq!(meets("free"), is(ConditionStatus::True, "NoTargets"));
    assert_eq!(meets("pay"), is(ConditionStatus::Unknown, "NoJobs"));
    let mono_ms = conditions.runtime.now().mono_ms;
    let answer = |response_ms, answer: &JobAnswer| {
        let windows = conditions.runtime.service_windows();
        let elapsed = Duration::from_millis(response_ms);
        windows.record(mono_ms, &"pay".into(), elapsed, answer);
    };
    (0..99).for_each(|_| answer(TARGET_MS / 2, &complete(false)));
    answer(10 * TARGET_MS, &complete(false));
    assert_eq!(meets("pay"), is(ConditionStatus::True, "Met"));
    // Neither replays nor refusals caused by the caller count.
    (0..50).for_each(|_| answer(10 * TARGET_MS, &complete(true)));
    (0..50).for_each(|_| answer(0, &refused(RefusalReason::KeyReused)));
    assert_eq!(meets("pay"), is(ConditionStatus::True, "Met"));
    answer(10 * TARGET_MS, &complete(false));
    assert_eq!(meets("pay"), is(ConditionStatus::False, "TooSlow"));
    (0..12).for_each(|_| answer(0, &refused(RefusalReason::Overload)));
    assert_eq!(
        meets("pay"),
        is(ConditionStatus::False, "TooSlowAndRefused")
    );
    (0..500).for_each(|_| answer(1, &complete(false)));
    assert_eq!(meets("pay"), is(ConditionStatus::True, "Met"));
}

#[test]
fn old_answers_leave_the_window() {
    let windows = ServiceWindows::default();
    let record = |mono_ms, response_ms| {
        let elapsed = Duration::from_millis(response_ms);
        windows.record(mono_ms, &"pay".into(), elapsed, &complete(false));
    };
    record(0, 900);
    record(WINDOW_MS / 2, 100);
    let stats = windows.stats(WINDOW_MS - 1, "pay");
    assert_eq!(stats.jobs, 2);
    assert!(stats.response_p99_ms.abs_diff(900) <= 9, "{stats:?}");
    let expected = WindowStats {
        jobs: 1,
        timed: 1,
        response_p99_ms: 100,
        refused: 0,
    };
    assert_eq!(windows.stats(WINDOW_MS, "pay"), expected);
    windows.remove_expired(2 * WINDOW_MS);
    assert_eq!(windows.stats(WINDOW_MS, "pay"), WindowStats::default());
}

#[tokio::test]
async fn worker_conditions_depend_on_failure_domain_and_state() {
    let conditions = conditions();
    let healthy = |name| reason(&conditions, Kind::BackendServer, name, "Healthy");
    let unknown = |reason: &str| (ConditionStatus::Unknown, reason.to_owned());
    assert_eq!(healthy("here"), unknown("NoCalls"));
    assert_eq!(healthy("there"), unknown("OtherDomain"));
    assert_eq!(healthy("leaving"), unknown("NotUsedHere"));
    let has = |name| reason(&conditions, Kind::Service, name, "HasWorkers");
    let serving = (ConditionStatus::True, "Serving".to_owned());
    assert_eq!(has("pay"), serving);
    for (name, reason) in [
        ("free", "NoServers"),
        ("bare", "NoServers"),
        ("going", "AllLeaving"),
    ] {
        assert_eq!(has(name), (ConditionStatus::False, reason.to_owned()));
    }
    assert!(conditions.of(&ResourceKey::new(Kind::Team, "x")).is_empty());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn conditions_appear_in_the_operators_api() {
    let worker = Worker::start().await;
    let telemetry = |settings: &_| Telemetry::start(settings).unwrap();
    let pair = InstancePair::start(worker.address, telemetry).await;
    for (path, condition_type) in [
        ("/v1/backend-servers/worker-1", "Healthy"),
        ("/v1/services/pay", "HasWorkers"),
        ("/v1/services/pay", "MeetsTargets"),
    ] {
        let has_condition = |text: &str| text.contains(condition_type);
        let text = pair
            .wait_for_response(pair.entries[0], path, has_condition)
            .await;
        let found: StoredResource = serde_json::from_str(&text).unwrap();
        let mut conditions = found.status.conditions.iter();
        let condition = conditions
            .find(|condition| condition.type_ == condition_type)
            .unwrap();
        // The pair's own probes count; a refused probe violates the target.
        let target_missed =
            condition_type == "MeetsTargets" && condition.reason == "TooManyRefused";
        let expected = match target_missed && pair.setup_jobs_refused > 0 {
            true => ConditionStatus::False,
            false => ConditionStatus::True,
        };
        assert_eq!(condition.status, expected, "{condition:?}");
    }
}
