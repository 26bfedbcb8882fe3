//! The metrics page of running instances, and its description in docs/OPERATIONS.md.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use expect_test::expect;
use poem::listener::{Acceptor, Listener, TcpListener};
use poem::{Request, endpoint};
use serde_json::{Value, json};
use slog::{Discard, Logger, o};
use tokio::task::JoinHandle;
use trefoil_fakes::client::Client;
use trefoil_schema::peer::message::Body;
use trefoil_schema::peer::{ForwardJob, InstanceRef, JobAnswer, TaskSpec};
use trefoilbay::links::{LinkSettings, Links};
use trefoilbay::util::telemetry::Telemetry;

use crate::support::pair::InstancePair;

const OPERATIONS: &str = include_str!("../../docs/OPERATIONS.md");
/// Longer than the time after which an entry asks the owner of a key again.
const SLOW_RUN_MS: u64 = 1_300;
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const POLLS_MAX: u32 = 250;

/// A backend server that runs each task for the `run_ms` of its payload.
pub(crate) struct Worker {
    pub(crate) address: SocketAddr,
    server: JoinHandle<std::io::Result<()>>,
}

impl Worker {
    pub(crate) async fn start() -> Self {
        let acceptor = TcpListener::bind("127.0.0.1:0").into_acceptor().await;
        let acceptor = acceptor.unwrap();
        let address = *acceptor.local_addr()[0].as_socket_addr().unwrap();
        let server = poem::Server::new_with_acceptor(acceptor).run(endpoint::make(run));
        Self {
            address,
            server: tokio::spawn(server),
        }
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.server.abort();
    }
}

async fn run(mut request: Request) -> poem::Result<&'static str> {
    let payload: Value = request.take_body().into_json().await?;
    let run_ms = payload["run_ms"].as_u64().unwrap_or(0);
    tokio::time::sleep(Duration::from_millis(run_ms)).await;
    Ok("1")
}

async fn start_pair(worker: &Worker) -> InstancePair {
    InstancePair::start(worker.address, |settings| {
        Telemetry::start(settings).unwrap()
    })
    .await
}

/// Value of the first series of `name` that has `label`.
fn series_value(page: &str, name: &str, label: &str) -> Option<f64> {
    let start = format!("{name}{{");
    let mut lines = page.lines();
    let line = lines.find(|line| line.starts_with(&start) && line.contains(label))?;
    line.rsplit(' ').next()?.parse().ok()
}

/// Sum of [`series_value`] over both pages.
fn series_sum(pages: &[String; 2], name: &str, label: &str) -> f64 {
    let values = pages
        .iter()
        .filter_map(|page| series_value(page, name, label));
    values.sum()
}

/// Polls both metrics pages until `matches` accepts them.
async fn wait_for_pages(
    pair: &InstancePair,
    matches: impl Fn(&[String; 2]) -> bool,
) -> [String; 2] {
    for _ in 0..POLLS_MAX {
        let pages = [pair.metrics_page(0).await, pair.metrics_page(1).await];
        if matches(&pages) {
            return pages;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("timed out waiting for the expected metrics");
}

/// Names and types of the metrics on a page.
fn metric_types(page: &str) -> String {
    let lines = page.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let types: BTreeSet<_> = lines.filter(|line| line.starts_with("trefoil_")).collect();
    types.into_iter().map(|line| format!("{line}\n")).collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn page_has_the_documented_metrics_after_a_job() {
    let worker = Worker::start().await;
    let pair = start_pair(&worker).await;
    let client = Client::default();
    let refused = client.post(pair.entries[0], "/v1/jobs", "{}");
    assert_eq!(refused.await.unwrap().status.as_u16(), 400, "without a key");
    let key = pair.mint_key().await;
    for entry in pair.entries {
        pair.submit(entry, &key, "").await;
    }
    let is_settled = |pages: &[String; 2]| {
        let resubmission = series_sum(pages, "trefoil_wasted_messages_total", "resubmission");
        let serving = series_sum(pages, "trefoil_instances", "state=\"serving\"");
        resubmission >= 1.0 && serving == 4.0
    };
    let pages = wait_for_pages(&pair, is_settled).await;
    for page in &pages {
        for (name, label, min) in [
            ("trefoil_store_calls_total", "range", 1.0),
            ("trefoil_store_calls_total", "watch", 1.0),
            ("trefoil_peer_messages_total", "sent", 1.0),
            ("trefoil_peer_messages_total", "received", 1.0),
            ("trefoil_peer_connections_total", "opened", 1.0),
            ("trefoil_view_version", "", 1.0),
            ("trefoil_slots_owned", "", 1.0),
            ("trefoil_admission_lead_ms", "", 1.0),
        ] {
            let found = series_value(page, name, label);
            assert!(found >= Some(min), "{name} {label}: {found:?}\n{page}");
        }
    }
    for (name, label) in [
        ("trefoil_store_calls_total", "txn"),
        ("trefoil_jobs_ended_total", "complete"),
        ("trefoil_keys", ""),
        ("trefoil_results_bytes", ""),
        ("trefoil_admission_overhead_us_count", ""),
    ] {
        assert!(series_sum(&pages, name, label) >= 1.0, "{name} {label}");
    }
    let types = metric_types(&pages.concat());
    for name in types.lines().filter_map(|line| line.split(' ').next()) {
        assert!(OPERATIONS.contains(&format!("`{name}`")), "{name}");
    }
    expect![[r#"
        trefoil_admission_lead_ms gauge
        trefoil_admission_overhead_us histogram
        trefoil_config_revision gauge
        trefoil_instances gauge
        trefoil_jobs_ended_total counter
        trefoil_jobs_running gauge
        trefoil_jobs_submitted_total counter
        trefoil_keys gauge
        trefoil_peer_bytes_total counter
        trefoil_peer_connections_total counter
        trefoil_peer_dropped_total counter
        trefoil_peer_frames_total counter
        trefoil_peer_gaps_total counter
        trefoil_peer_messages_total counter
        trefoil_refusals_total counter
        trefoil_response_time_ms histogram
        trefoil_results_bytes gauge
        trefoil_slots_owned gauge
        trefoil_store_calls_total counter
        trefoil_store_failures_total counter
        trefoil_task_outcomes_total counter
        trefoil_task_retries_total counter
        trefoil_task_starts_total counter
        trefoil_tasks_queued gauge
        trefoil_tasks_running gauge
        trefoil_view_version gauge
        trefoil_wasted_messages_total counter
        trefoil_workers_ejected gauge
    "#]]
    .assert_eq(&types);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn misrouted_and_stale_peer_messages_are_counted() {
    let worker = Worker::start().await;
    let pair = start_pair(&worker).await;
    let local_instance = InstanceRef {
        name: "stranger".to_owned(),
        incarnation: 1,
    };
    let settings = LinkSettings {
        local_instance,
        ..LinkSettings::default()
    };
    let log = Logger::root(Discard, o!());
    let (links, _incoming) = Links::start(settings, log).unwrap();
    let key = pair.mint_key().await;
    let job = ForwardJob {
        request_id: 1,
        key: key.clone(),
        service: "pay".to_owned(),
        team: "default".to_owned(),
        timeout_ms: 5_000,
        tasks: vec![TaskSpec::default()],
        wait: true,
        ..ForwardJob::default()
    };
    let unexpected_answer = JobAnswer {
        request_id: u64::MAX,
        key,
        ..JobAnswer::default()
    };
    for (index, address) in pair.peers.into_iter().enumerate() {
        let name = format!("entry-{}", index + 1);
        links.set_peer(&name, address);
        links
            .send_to_any(&name, Body::ForwardJob(job.clone()))
            .unwrap();
        links
            .send_to_any(&name, Body::JobAnswer(unexpected_answer.clone()))
            .unwrap();
    }
    let wasted = |page: &str, kind| series_value(page, "trefoil_wasted_messages_total", kind);
    let mut misrouted = 0.0;
    for entry in pair.entries {
        let has_stale = |page: &str| wasted(page, "stale_peer_message") >= Some(1.0);
        let page = pair.wait_for_response(entry, "/metrics", has_stale).await;
        misrouted += wasted(&page, "misrouted").unwrap();
    }
    assert_eq!(misrouted, 1.0, "one of the two instances owns the key");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entry_asks_again_about_a_slow_forwarded_job() {
    let worker = Worker::start().await;
    let pair = start_pair(&worker).await;
    let key = pair.mint_key().await;
    let submit_slow_job = |entry| pair.submit_payload(entry, &key, json!({"run_ms": SLOW_RUN_MS}));
    tokio::join!(
        submit_slow_job(pair.entries[0]),
        submit_slow_job(pair.entries[1])
    );
    let name = "trefoil_wasted_messages_total";
    let pages = wait_for_pages(&pair, |pages| series_sum(pages, name, "reasked") >= 1.0).await;
    let mut reasked = pages.map(|page| series_value(&page, name, "reasked").unwrap());
    reasked.sort_by(f64::total_cmp);
    assert_eq!(reasked, [0.0, 1.0]);
}
