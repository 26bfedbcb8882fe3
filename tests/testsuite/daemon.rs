//! The daemon's health endpoints, drain and exit codes.

use std::net::TcpListener;
use std::process::{Child, Command, Output, Stdio};
use std::sync::Arc;
use std::time::Duration;

use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper::body::Bytes;
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::TokioExecutor;
use slog::{Discard, Logger, o};
use tokio::time::{Instant, sleep, timeout};
use trefoil_core::drain::DrainOutcome;
use trefoil_fakes::platform::{self, PlatformOptions};
use trefoil_schema::settings::DrainSettings;
use trefoilbay::server::drain::DrainController;
use trefoilbay::util::clock::Clock;

use crate::support::address::free_address;

const POLL_INTERVAL: Duration = Duration::from_millis(20);
const POLLS_MAX: u32 = 250;

/// A daemon that is killed when the test ends.
struct Daemon {
    child: Option<Child>,
    address: String,
}

impl Daemon {
    async fn start(overrides: &[&str]) -> Self {
        let address = free_address().to_string();
        let child = command(&address, overrides).spawn().unwrap();
        let daemon = Self {
            child: Some(child),
            address,
        };
        daemon
            .wait_for_response(|status, _| status == 200, "/healthz")
            .await;
        daemon
    }

    async fn get(&self, path: &str) -> (u16, String) {
        self.call("GET", path).await
    }

    async fn call(&self, method: &str, path: &str) -> (u16, String) {
        let client: Client<HttpConnector, Empty<Bytes>> =
            Client::builder(TokioExecutor::new()).build_http();
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address));
        let request = request.body(Empty::new()).unwrap();
        let Ok(response) = client.request(request).await else {
            return (0, String::new());
        };
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.unwrap().to_bytes();
        (status, String::from_utf8(body.to_vec()).unwrap())
    }

    async fn wait_for_response(&self, matches: impl Fn(u16, &str) -> bool, path: &str) -> String {
        for _ in 0..POLLS_MAX {
            let (status, body) = self.get(path).await;
            if matches(status, &body) {
                return body;
            }
            sleep(POLL_INTERVAL).await;
        }
        panic!("{path} never answered as expected");
    }

    fn signal(&self, name: &str) {
        let id = self.child.as_ref().unwrap().id().to_string();
        let killed = Command::new("kill").args(["-s", name, &id]).status();
        assert!(killed.unwrap().success());
    }

    async fn wait_for_exit(mut self) -> Output {
        let child = self.child.take().unwrap();
        let ended = tokio::task::spawn_blocking(|| child.wait_with_output());
        let ended = timeout(POLL_INTERVAL * POLLS_MAX, ended).await;
        ended.unwrap().unwrap().unwrap()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            drop(child.kill());
            drop(child.wait());
        }
    }
}

fn command(address: &str, overrides: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_trefoild"));
    command.args(["--set", &format!("http_address={address}")]);
    command.args(["--set", &format!("peer_address={}", free_address())]);
    overrides.iter().for_each(|item| {
        command.args(["--set", item]);
    });
    command.stderr(Stdio::piped());
    command
}

#[tokio::test]
async fn instance_without_store_is_live_but_not_ready() {
    let platform = format!("platform.address={}", free_address());
    let daemon = Daemon::start(&[&platform]).await;
    let (status, body) = daemon.get("/readyz").await;
    assert_eq!(status, 503);
    let reasons = r#""reasons":["no_configuration","no_view"]"#;
    assert!(body.contains(reasons), "{body}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_is_announced_and_then_exits_with_zero() {
    let any = "127.0.0.1:0".parse().unwrap();
    let platform = platform::start(any, PlatformOptions::default());
    let platform = platform.await.unwrap();
    let address = format!("platform.address={}", platform.address);
    let daemon = Daemon::start(&["drain.announce_ms=400", &address]).await;
    let ready = daemon
        .wait_for_response(|status, _| status == 200, "/readyz")
        .await;
    assert_eq!(ready, r#"{"ready":true,"reasons":[],"in_flight":0}"#);
    assert!(daemon.get("/metrics").await.1.contains("target_info"));
    daemon.signal("TERM");
    let leaving = daemon
        .wait_for_response(|status, _| status == 503, "/readyz")
        .await;
    assert!(leaving.contains(r#""reasons":["leaving"]"#), "{leaving}");
    assert_eq!(daemon.get("/healthz").await.0, 200);
    let output = daemon.wait_for_exit().await;
    assert_eq!(output.status.code(), Some(0));
    let lines = String::from_utf8(output.stderr).unwrap();
    let last: serde_json::Value = serde_json::from_str(lines.lines().last().unwrap()).unwrap();
    assert_eq!(last["msg"], "stopped");
    assert_eq!(last["ending"], "drained");
    assert_eq!(last["instance"], "entry-1");
    assert_eq!(last["failure_domain"], "local");
}

#[tokio::test]
async fn second_signal_exits_immediately() {
    let daemon = Daemon::start(&["drain.announce_ms=20000"]).await;
    daemon.signal("INT");
    daemon
        .wait_for_response(|status, _| status == 503, "/readyz")
        .await;
    daemon.signal("TERM");
    assert_eq!(daemon.wait_for_exit().await.status.code(), Some(3));
}

#[tokio::test]
async fn address_in_use_is_reported_with_a_hint() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let output = command(&address, &[]).output().unwrap();
    assert_eq!(output.status.code(), Some(1));
    let report = String::from_utf8(output.stderr).unwrap();
    assert!(report.contains("hint: check http_address"), "{report}");
}

fn controller() -> Arc<DrainController> {
    let settings = DrainSettings {
        announce_ms: 200,
        budget_ms: 1_000,
    };
    Arc::new(DrainController::new(Clock::start(), &settings))
}

fn discard_logger() -> Logger {
    Logger::root(Discard, o!())
}

#[tokio::test(start_paused = true)]
async fn drain_waits_for_work_in_flight() {
    let controller = controller();
    let start = Instant::now();
    controller.signal();
    let early = controller.try_accept().unwrap();
    let runner = controller.clone();
    let drain = tokio::spawn(async move { runner.run_until_finished(&discard_logger()).await });
    sleep(Duration::from_millis(100)).await;
    let late = controller
        .try_accept()
        .expect("still accepts while announcing");
    sleep(Duration::from_millis(150)).await;
    assert!(
        controller.try_accept().is_none(),
        "refuses after the announcement"
    );
    drop(early);
    sleep(Duration::from_millis(50)).await;
    assert!(!drain.is_finished());
    drop(late);
    assert_eq!(drain.await.unwrap(), DrainOutcome::Drained);
    assert_eq!(start.elapsed(), Duration::from_millis(300));
}

#[tokio::test(start_paused = true)]
async fn drain_ends_when_the_budget_is_spent() {
    let controller = controller();
    let start = Instant::now();
    controller.request();
    let _unfinished = controller.try_accept().unwrap();
    assert_eq!(
        controller.run_until_finished(&discard_logger()).await,
        DrainOutcome::BudgetSpent
    );
    assert_eq!(start.elapsed(), Duration::from_millis(1_000));
    assert_eq!(controller.budget_left(), Duration::ZERO);
}

#[tokio::test(start_paused = true)]
async fn drain_waits_for_holds_without_counting_them_as_in_flight() {
    let controller = controller();
    let hold = controller.hold();
    assert_eq!(controller.in_flight(), 0);
    controller.signal();
    let runner = controller.clone();
    let drain = tokio::spawn(async move { runner.run_until_finished(&discard_logger()).await });
    sleep(Duration::from_millis(700)).await;
    assert!(!drain.is_finished());
    drop(hold);
    assert_eq!(drain.await.unwrap(), DrainOutcome::Drained);
}

#[tokio::test]
async fn submissions_and_refusals_are_counted() {
    let platform = format!("platform.address={}", free_address());
    let daemon = Daemon::start(&[&platform]).await;
    assert_eq!(daemon.call("POST", "/v1/jobs").await.0, 400);
    assert_eq!(daemon.call("POST", "/v1/jobs").await.0, 400);
    let page = daemon.get("/metrics").await.1;
    let line = |name: &str| page.lines().find(|line| line.starts_with(name)).unwrap();
    assert!(
        line("trefoil_jobs_submitted_total{").ends_with(" 2"),
        "{page}"
    );
    let refusals = line("trefoil_refusals_total{");
    assert!(refusals.contains("reason=\"malformed\""), "{refusals}");
    assert!(refusals.ends_with(" 2"), "{refusals}");
}
