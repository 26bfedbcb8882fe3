//! The platform's store down, slow, or losing answers, and its instance list
//! late, over real processes.

use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::sleep;
use trefoil_fakes::platform::faults::FaultUpdate;

use crate::support::callers::Callers;
use crate::support::deployment::{Deployment, DeploymentOptions, wait_until};

const PERIOD_MS: u64 = 40;

fn down(down: bool) -> FaultUpdate {
    FaultUpdate {
        down: Some(down),
        ..FaultUpdate::default()
    }
}

fn team(name: &str) -> Value {
    json!({"kind": "team", "name": name, "spec": {"weight": 7}})
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn work_goes_on_while_the_store_is_down_and_a_newcomer_waits() {
    let mut deployment = Deployment::start(DeploymentOptions::default()).await;
    let before = deployment.wait_for_common_revision(1).await;
    let callers = Callers::start(&deployment.client, vec![0, 1], PERIOD_MS);
    deployment.update_platform_faults(&down(true));
    deployment.wait_until_serving().await;
    assert_eq!(deployment.try_create(0, &team("refused")).await, 503);
    deployment.instances[2].restart();
    wait_until("the newcomer lives", async || {
        deployment.status(2).await.is_some()
    })
    .await;
    sleep(Duration::from_millis(1_500)).await;
    // Told by its peers of the configuration, but member of no view.
    assert!(!deployment.is_ready(2).await);
    let status = deployment.status(2).await.unwrap();
    assert_eq!(status["config_revision"], before, "{status}");
    // Keys of the two that stayed are served, through the newcomer too.
    for owner in [0, 1] {
        let key = deployment.key_owned_by(owner, true);
        let job = deployment.client.job(&key, 2, 20);
        assert!(
            deployment.client.submit_until_final(2, &job).await,
            "owner {owner}"
        );
    }
    deployment.update_platform_faults(&down(false));
    deployment.wait_until_serving().await;
    assert_eq!(deployment.try_create(2, &team("accepted")).await, 200);
    let after = deployment.wait_for_common_revision(before + 1).await;
    assert!(after > before);
    assert!(callers.finish().await.complete > 20);
    deployment.check_history();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_lost_after_the_write_change_nothing_twice() {
    let mut deployment = Deployment::start(DeploymentOptions::default()).await;
    let callers = Callers::start(&deployment.client, vec![0, 1], PERIOD_MS);
    let lose = |count| FaultUpdate {
        drop_answers: Some(count),
        ..FaultUpdate::default()
    };
    let dropped = |deployment: &Deployment| deployment.platform.counters().dropped_answers;
    // A declaration.
    let before = deployment.wait_for_common_revision(1).await;
    deployment.update_platform_faults(&lose(1));
    let status = deployment.try_create(0, &team("once")).await;
    assert_eq!(status, 200);
    assert_eq!(dropped(&deployment), 1);
    let after = deployment.wait_for_common_revision(before + 1).await;
    assert_eq!(deployment.try_create(1, &team("once")).await, 412);
    assert_eq!(deployment.wait_for_common_revision(after).await, after);
    // The removal of a dead member, and its successor's entry.
    for _ in 0..2 {
        let before = dropped(&deployment);
        deployment.update_platform_faults(&lose(1));
        deployment.instances[2].kill();
        wait_until("the removal's answer is lost", async || {
            dropped(&deployment) > before
        })
        .await;
        deployment.wait_until_serving_at(&[0, 1]).await;
        deployment.update_platform_faults(&lose(1));
        deployment.instances[2].restart();
        wait_until("the entry's answer is lost", async || {
            dropped(&deployment) > before + 1
        })
        .await;
        deployment.wait_until_serving().await;
    }
    assert!(callers.finish().await.complete > 20);
    deployment.check_history();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_slow_store_and_a_late_list_delay_no_work() {
    let mut deployment = Deployment::start(DeploymentOptions::default()).await;
    let callers = Callers::start(&deployment.client, vec![0, 1], PERIOD_MS);
    let slow = |slow_ms, lag_ms| FaultUpdate {
        slow_ms: Some(slow_ms),
        instance_list_lag_ms: Some(lag_ms),
        ..FaultUpdate::default()
    };
    // Just within the limit of a call, so that some are given up.
    deployment.update_platform_faults(&slow(450, 3_000));
    deployment.wait_until_serving().await;
    // The list goes on naming the former incarnation for a while.
    deployment.instances[2].restart();
    deployment.publish_instance_list().await;
    deployment.wait_until_serving().await;
    deployment.instances[2].kill();
    deployment.wait_until_serving().await;
    deployment.update_platform_faults(&slow(0, 0));
    deployment.instances[2].restart();
    deployment.publish_instance_list().await;
    deployment.wait_until_serving().await;
    assert!(callers.finish().await.complete > 20);
    deployment.check_history();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn racing_operators_leave_one_declaration_in_force_everywhere() {
    let deployment = Deployment::start(DeploymentOptions::default()).await;
    let before = deployment.wait_for_common_revision(1).await;
    let mut accepted = Vec::new();
    for round in 0..5 {
        let name = format!("raced-{round}");
        let weighed = |weight| json!({"kind": "team", "name": name, "spec": {"weight": weight}});
        let (one, two, three) = (weighed(1), weighed(2), weighed(3));
        let statuses = tokio::join!(
            deployment.try_create(0, &one),
            deployment.try_create(1, &two),
            deployment.try_create(2, &three),
        );
        let statuses = [statuses.0, statuses.1, statuses.2];
        let lost = |status: &&u16| [409, 412].contains(*status);
        assert_eq!(statuses.iter().filter(lost).count(), 2, "{statuses:?}");
        let won = statuses.iter().position(|status| *status == 200);
        accepted.push(weighed(won.unwrap() + 1));
    }
    let after = deployment.wait_for_common_revision(before + 5).await;
    for _ in 0..2 {
        for entry in 0..3 {
            assert_eq!(raced_teams(&deployment, entry).await, accepted);
        }
        assert_eq!(deployment.wait_for_common_revision(after).await, after);
    }
}

/// Declarations of the race as an instance shows them, without their status.
async fn raced_teams(deployment: &Deployment, entry: usize) -> Vec<Value> {
    let address = deployment.client.entries[entry];
    let reply = deployment.client.http.get(address, "/v1/teams").await;
    let shown: Vec<Value> = serde_json::from_slice(&reply.unwrap().body).unwrap();
    let raced = shown
        .into_iter()
        .filter(|team| team["name"].as_str().unwrap().starts_with("raced-"));
    raced
        .map(|team| json!({"kind": team["kind"], "name": team["name"], "spec": team["spec"]}))
        .collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_accepted_declaration_outlives_its_acceptor_and_an_outage() {
    let mut deployment = Deployment::start(DeploymentOptions::default()).await;
    let before = deployment.wait_for_common_revision(1).await;
    assert_eq!(deployment.try_create(2, &team("raced-kept")).await, 200);
    deployment.instances[2].kill();
    let after = deployment.wait_for_common_revision(before + 1).await;
    deployment.update_platform_faults(&down(true));
    // All are replaced one after another, with nothing but each other to ask.
    for index in [2, 0, 1] {
        deployment.instances[index].restart();
        assert_eq!(deployment.wait_for_common_revision(after).await, after);
    }
    deployment.update_platform_faults(&down(false));
    deployment.publish_instance_list().await;
    deployment.wait_until_serving().await;
    for entry in 0..3 {
        let shown = raced_teams(&deployment, entry).await;
        assert_eq!(shown, [team("raced-kept")]);
    }
    assert!(deployment.wait_for_common_revision(after).await >= after);
}
