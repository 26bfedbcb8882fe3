//! Backend servers that are to leave: no new work after a short time at every
//! instance, and what runs there ends.

use std::fs;
use std::path::Path;
use std::process::Output;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::process::Command;
use tokio::time::sleep;
use trefoil_fakes::platform::faults::FaultUpdate;
use trefoil_fakes::worker::record::unix_ms;

use crate::support::callers::Callers;
use crate::support::deployment::{DOMAINS, Deployment, DeploymentOptions, SERVICE, wait_until};

const PERIOD_MS: u64 = 10;
/// Longest time from the command's begin to the last start.
const LAST_START_MAX_MS: u64 = 3_000;
/// How long starts are watched beyond that.
const WATCHED: Duration = Duration::from_millis(3_500);
/// Starts at each server before anything changes.
const WARM_STARTS: usize = 20;

async fn ctl(deployment: &Deployment, args: &[&str]) -> Output {
    let entries: Vec<String> = deployment
        .client
        .entries
        .iter()
        .map(ToString::to_string)
        .collect();
    let output = Command::new(env!("CARGO_BIN_EXE_trefoilctl"))
        .env("TREFOIL_ENTRIES", entries.join(","))
        .args(args)
        .kill_on_drop(true)
        .output()
        .await
        .unwrap();
    let said = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{args:?}: {said}");
    output
}

fn server(deployment: &Deployment, index: usize, state: &str) -> Value {
    json!({
        "kind": "backend_server", "name": format!("{}-{index}", DOMAINS[0]),
        "spec": {
            "service": SERVICE, "failure_domain": DOMAINS[0], "slots": 8, "state": state,
            "address": deployment.workers[0].addresses[index].to_string(),
        }
    })
}

async fn apply(deployment: &Deployment, resource: &Value) {
    let name = resource["name"].as_str().unwrap();
    let own = deployment.client.entries[0]
        .to_string()
        .replace([':', '.'], "-");
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let file = directory.join(format!("leaving-{own}-{name}.json"));
    fs::write(&file, resource.to_string()).unwrap();
    ctl(deployment, &["apply", "-f", file.to_str().unwrap()]).await;
    fs::remove_file(&file).unwrap();
}

/// Unix times of the starts at one backend server, milliseconds.
fn starts_at(deployment: &Deployment, index: usize) -> Vec<u64> {
    let name = deployment.workers[0].addresses[index].to_string();
    let starts = deployment.starts().into_iter();
    let own = starts.filter(|start| start.worker == name);
    own.map(|start| start.wall_ms).collect()
}

/// Time from `since_ms` to the last start there; 0 for none after it.
fn last_start_ms(deployment: &Deployment, index: usize, since_ms: u64) -> u64 {
    let last = starts_at(deployment, index).into_iter().max();
    last.unwrap_or_default().saturating_sub(since_ms)
}

async fn warm(deployment: &Deployment) {
    wait_until("every server gets work", async || {
        (0..4).all(|index| starts_at(deployment, index).len() >= WARM_STARTS)
    })
    .await;
}

/// Others go on; those at `index` ended, and every job was answered whole.
async fn check_gone(deployment: &Deployment, callers: Callers, index: usize, since_ms: u64) {
    sleep(WATCHED).await;
    let others = starts_at(deployment, (index + 1) % 4).into_iter();
    let late = others.filter(|at_ms| *at_ms > since_ms + LAST_START_MAX_MS);
    assert!(late.count() > WARM_STARTS);
    let last_ms = last_start_ms(deployment, index, since_ms);
    eprintln!("last start {last_ms} ms after the command began");
    assert!(last_ms < LAST_START_MAX_MS, "{last_ms}");
    callers.finish().await;
    let dropped = deployment
        .starts()
        .iter()
        .filter(|start| start.dropped)
        .count();
    assert_eq!(dropped, 0, "a task was cut off at its backend server");
    let tally = deployment.check_history();
    let failures = ["task_failed", "deadline", "answer_lost", "owner_lost"];
    assert_eq!(tally.count(&failures), 0, "{tally:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_server_declared_leaving_gets_no_new_work() {
    let deployment = Deployment::start(DeploymentOptions::default()).await;
    let callers = Callers::start(&deployment.client, vec![0, 1, 2], PERIOD_MS);
    warm(&deployment).await;
    let declared_ms = unix_ms();
    apply(&deployment, &server(&deployment, 0, "leaving")).await;
    check_gone(&deployment, callers, 0, declared_ms).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_server_removed_gets_no_new_work() {
    let deployment = Deployment::start(DeploymentOptions::default()).await;
    let callers = Callers::start(&deployment.client, vec![0, 1, 2], PERIOD_MS);
    warm(&deployment).await;
    let name = format!("{}-1", DOMAINS[0]);
    let declared_ms = unix_ms();
    ctl(&deployment, &["delete", "backend-server", &name]).await;
    check_gone(&deployment, callers, 1, declared_ms).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_declaration_spreads_while_the_store_is_down() {
    let deployment = Deployment::start(DeploymentOptions::default()).await;
    let callers = Callers::start(&deployment.client, vec![0, 1, 2], PERIOD_MS);
    warm(&deployment).await;
    let declared_ms = unix_ms();
    apply(&deployment, &server(&deployment, 2, "leaving")).await;
    deployment.update_platform_faults(&FaultUpdate {
        down: Some(true),
        ..FaultUpdate::default()
    });
    check_gone(&deployment, callers, 2, declared_ms).await;
}
