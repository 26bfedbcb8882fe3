//! The load generator's plan depends only on its seed, and its histories pass the checker.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use hyper::{Request, StatusCode, body::Incoming};
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use trefoil_fakes::{
    check::check,
    http::{self, CloseConnection, HandlerResult, Server},
    load::{self, Bursts, LoadOptions, Policy, distribution::Distribution, plan::Plan},
    worker::{self, WorkerOptions, faults::WorkerFaultUpdate},
};

const SAMPLES: usize = 20_000;

fn local() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn short_run() -> LoadOptions {
    LoadOptions {
        rate_jobs_per_s: 100.0,
        tasks: Distribution::Uniform { min: 1.0, max: 4.0 },
        run_time: Distribution::Fixed(5.0),
        duration_ms: 300,
        deadline_ms: 2_000,
        history: true,
        ..LoadOptions::default()
    }
}

fn mean(text: &str) -> f64 {
    let distribution: Distribution = text.parse().unwrap();
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let sum: f64 = (0..SAMPLES).map(|_| distribution.sample(&mut random)).sum();
    sum / SAMPLES as f64
}

#[test]
fn distributions_have_their_means() {
    assert_eq!(mean("250"), 250.0);
    assert!((mean("uniform:50:150") - 100.0).abs() < 2.0);
    assert!((mean("lognormal:200:0.5") - 200.0).abs() < 4.0);
    assert!((mean("bimodal:100:2000:5") - 195.0).abs() < 12.0);
    assert!("uniform:5".parse::<Distribution>().is_err());
}

#[test]
fn plan_is_reproducible_and_follows_bursts() {
    let options = LoadOptions {
        duration_ms: 20_000,
        bursts: Some(Bursts {
            factor: 5.0,
            every_ms: 2_000.0,
            for_ms: 500.0,
        }),
        resubmit_percent: 10.0,
        ..short_run()
    };
    let plan: Vec<_> = Plan::new(&options).collect();
    assert_eq!(plan, Plan::new(&options).collect::<Vec<_>>());
    let in_bursts = plan.iter().filter(|job| job.at_ms % 2_000.0 < 500.0);
    // Ten bursts of 0.5 s at 500 jobs/s, and 15 s at 100 jobs/s.
    let (in_bursts, all) = (in_bursts.count() as f64, plan.len() as f64);
    assert!((in_bursts - 2_500.0).abs() < 250.0, "{in_bursts}");
    assert!((all - 4_000.0).abs() < 320.0, "{all}");
}

#[tokio::test]
async fn baseline_completes_its_jobs_and_passes_the_checker() {
    let options = WorkerOptions {
        count: 3,
        // Enough that no task is refused for lack of a slot, even on a loaded machine.
        slots: 1_000,
        ..WorkerOptions::default()
    };
    let workers = worker::start(local(), options).await.unwrap();
    workers.update_faults(&WorkerFaultUpdate {
        worker: Some(0),
        refuse_all: Some(true),
        ..WorkerFaultUpdate::default()
    });
    let options = LoadOptions {
        direct: workers.addresses.clone(),
        policy: Policy::TwoChoices,
        worker_counters: workers.addresses[..1].to_vec(),
        ..short_run()
    };
    let (report, history) = load::run(&options).await;
    assert!(report.jobs > 0);
    assert_eq!(report.complete, report.jobs);
    assert_eq!(report.waste.starts, workers.counters().starts);
    assert_eq!(
        report.waste.worker_messages,
        workers.counters().refused_ordered
    );
    assert!(report.waste.worker_messages > 0);
    assert_eq!(workers.counters().refused_busy, 0);
    assert_eq!(report.waste.unread, 0);
    let checked = check(&history, &workers.starts());
    assert_eq!(checked.violations, []);
    assert_eq!(checked.complete as u64, report.complete);
}

/// Refuses every other submission and completes the others.
async fn handle(requests: Arc<AtomicUsize>, request: Request<Incoming>) -> HandlerResult {
    if request.uri().path() == "/metrics" {
        return http::ok_json(&0);
    }
    let key = request.headers().get("idempotency-key").cloned();
    let key = key.ok_or(CloseConnection)?;
    let body = http::read_body(request).await?;
    let body: Value = http::parse_json(&body).map_err(|_| CloseConnection)?;
    if requests.fetch_add(1, Ordering::Relaxed).is_multiple_of(2) {
        let problem = json!({
            "type": "urn:trefoilbay:problem:overload", "verdict": "not_run", "retry_after_ms": 1,
        });
        return http::json(StatusCode::TOO_MANY_REQUESTS, &problem);
    }
    let tasks = body["tasks"].as_array().ok_or(CloseConnection)?;
    let results: Vec<_> = tasks
        .iter()
        .map(|task| json!({"worker": "w", "result": task["payload"]["result"]}))
        .collect();
    http::ok_json(&json!({
        "key": key.to_str().unwrap_or_default(), "state": "complete", "verdict": "ran",
        "tasks_total": results.len(), "tasks_done": results.len(), "replayed": false,
        "results": results,
    }))
}

fn start_entry() -> Server {
    let listener = std::net::TcpListener::bind(local()).unwrap();
    listener.set_nonblocking(true).unwrap();
    let requests = Arc::new(AtomicUsize::new(0));
    let listener = TcpListener::from_std(listener).unwrap();
    Server::start(listener, move |request| {
        handle(Arc::clone(&requests), request)
    })
    .unwrap()
}

#[tokio::test]
async fn refusals_are_counted_by_reason_and_retried() {
    let entry = start_entry();
    let options = LoadOptions {
        entries: vec![entry.address()],
        obey_retry_after: true,
        retries_max: 100,
        ..short_run()
    };
    let (report, history) = load::run(&options).await;
    assert!(report.jobs > 0);
    assert_eq!(report.complete, report.jobs);
    assert_eq!(report.refusals["overload"].count, report.asked_again);
    assert_eq!(report.requests, report.jobs + report.asked_again);
    assert_eq!(history.len() as u64, report.requests);
    let refused = history.iter().find(|entry| entry.status == 429).unwrap();
    assert_eq!(
        (refused.verdict.as_str(), refused.reason.as_str()),
        ("not_run", "overload")
    );
    let complete = history.iter().find(|entry| entry.status == 200).unwrap();
    assert_eq!(complete.results.len(), complete.tokens.len());
}

#[tokio::test]
async fn reused_key_is_sent_with_another_body() {
    let entry = start_entry();
    let options = LoadOptions {
        entries: vec![entry.address()],
        reuse_percent: 100.0,
        ..short_run()
    };
    let (report, history) = load::run(&options).await;
    assert!(report.jobs > 0);
    assert_eq!(history.len() as u64, 2 * report.jobs);
    for first in &history {
        let other = history
            .iter()
            .find(|other| other.key == first.key && other.body_hash != first.body_hash);
        assert_ne!(other.unwrap().tokens, first.tokens);
    }
}
