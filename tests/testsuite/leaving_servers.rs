//! Backend servers that are leaving or removed get no new tasks from any instance
//! after a short time, and their running tasks end normally.

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
/// Longest time from the start of the command to the last task start.
const LAST_START_MAX_MS: u64 = 3_000;
/// Time after the command for which task starts are observed.
const OBSERVATION_TIME: Duration = Duration::from_millis(3_500);
/// Task starts at each server before the test changes anything.
const WARM_UP_STARTS: usize = 20;

async fn run_ctl(deployment: &Deployment, args: &[&str]) -> Output {
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
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{args:?}: {stderr}");
    output
}

fn backend_server(deployment: &Deployment, index: usize, state: &str) -> Value {
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
    let deployment_id = deployment.client.entries[0]
        .to_string()
        .replace([':', '.'], "-");
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let file = directory.join(format!("leaving-{deployment_id}-{name}.json"));
    fs::write(&file, resource.to_string()).unwrap();
    run_ctl(deployment, &["apply", "-f", file.to_str().unwrap()]).await;
    fs::remove_file(&file).unwrap();
}

/// Unix times of the task starts at a backend server, in milliseconds.
fn start_times(deployment: &Deployment, index: usize) -> Vec<u64> {
    let name = deployment.workers[0].addresses[index].to_string();
    let starts = deployment.starts().into_iter();
    let starts = starts.filter(|start| start.worker == name);
    starts.map(|start| start.wall_ms).collect()
}

/// Time from `since_ms` to the last task start at a backend server; 0 if there is
/// none after `since_ms`.
fn last_start_ms(deployment: &Deployment, index: usize, since_ms: u64) -> u64 {
    let last = start_times(deployment, index).into_iter().max();
    last.unwrap_or_default().saturating_sub(since_ms)
}

async fn warm_up(deployment: &Deployment) {
    wait_until("every server runs tasks", async || {
        (0..4).all(|index| start_times(deployment, index).len() >= WARM_UP_STARTS)
    })
    .await;
}

/// Checks that task starts stopped at the backend server `index` and continued at
/// another, that no task was interrupted, and that no job failed.
async fn check_no_new_tasks(
    deployment: &Deployment,
    callers: Callers,
    index: usize,
    since_ms: u64,
) {
    sleep(OBSERVATION_TIME).await;
    let others = start_times(deployment, (index + 1) % 4).into_iter();
    let late = others.filter(|at_ms| *at_ms > since_ms + LAST_START_MAX_MS);
    assert!(late.count() > WARM_UP_STARTS);
    let last_ms = last_start_ms(deployment, index, since_ms);
    eprintln!("last task start {last_ms} ms after the command started");
    assert!(last_ms < LAST_START_MAX_MS, "{last_ms}");
    callers.finish().await;
    let dropped = deployment
        .starts()
        .iter()
        .filter(|start| start.dropped)
        .count();
    assert_eq!(dropped, 0, "a task was interrupted at its backend server");
    let outcomes = deployment.check_history();
    let failures = ["task_failed", "deadline", "answer_lost", "owner_lost"];
    assert_eq!(outcomes.count(&failures), 0, "{outcomes:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_server_gets_no_new_tasks() {
    let deployment = Deployment::start(DeploymentOptions::default()).await;
    let callers = Callers::start(&deployment.client, vec![0, 1, 2], PERIOD_MS);
    warm_up(&deployment).await;
    let declared_ms = unix_ms();
    apply(&deployment, &backend_server(&deployment, 0, "leaving")).await;
    check_no_new_tasks(&deployment, callers, 0, declared_ms).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn removed_server_gets_no_new_tasks() {
    let deployment = Deployment::start(DeploymentOptions::default()).await;
    let callers = Callers::start(&deployment.client, vec![0, 1, 2], PERIOD_MS);
    warm_up(&deployment).await;
    let name = format!("{}-1", DOMAINS[0]);
    let declared_ms = unix_ms();
    run_ctl(&deployment, &["delete", "backend-server", &name]).await;
    check_no_new_tasks(&deployment, callers, 1, declared_ms).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_state_propagates_while_the_store_is_down() {
    let deployment = Deployment::start(DeploymentOptions::default()).await;
    let callers = Callers::start(&deployment.client, vec![0, 1, 2], PERIOD_MS);
    warm_up(&deployment).await;
    let declared_ms = unix_ms();
    apply(&deployment, &backend_server(&deployment, 2, "leaving")).await;
    deployment.update_platform_faults(&FaultUpdate {
        down: Some(true),
        ..FaultUpdate::default()
    });
    check_no_new_tasks(&deployment, callers, 2, declared_ms).await;
}
