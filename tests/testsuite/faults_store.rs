//! Outages and delays of the platform's store, lost responses, and a stale instance
//! list.

use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::sleep;
use trefoil_fakes::platform::faults::FaultUpdate;
use trefoil_fakes::relay::{self, LinkState};

use crate::support::callers::Callers;
use crate::support::deployment::{Deployment, DeploymentOptions, wait_until};

const PERIOD_MS: u64 = 40;
/// Within which accepted declarations must be in force.
const IN_FORCE: Duration = Duration::from_secs(5);

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
async fn instances_serve_without_the_store_and_a_restarted_one_waits() {
    let mut deployment = Deployment::start(DeploymentOptions::default()).await;
    let before = deployment.wait_for_common_revision(1).await;
    let callers = Callers::start(&deployment.client, vec![0, 1], PERIOD_MS);
    deployment.update_platform_faults(&down(true));
    deployment.wait_until_serving().await;
    assert_eq!(deployment.try_create(0, &team("refused")).await, 503);
    deployment.instances[2].restart();
    wait_until("the restarted instance responds", async || {
        deployment.status(2).await.is_some()
    })
    .await;
    sleep(Duration::from_millis(1_500)).await;
    // It gets the configuration from its peers, but is not a member of a view.
    assert!(!deployment.is_ready(2).await);
    let status = deployment.status(2).await.unwrap();
    assert_eq!(status["config_revision"], before, "{status}");
    // The restarted instance forwards jobs to the two other owners.
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
    let drop_responses = |count| FaultUpdate {
        drop_answers: Some(count),
        ..FaultUpdate::default()
    };
    let dropped_responses =
        |deployment: &Deployment| deployment.platform.counters().dropped_answers;
    // The response to a declaration is lost.
    let before = deployment.wait_for_common_revision(1).await;
    deployment.update_platform_faults(&drop_responses(1));
    let status = deployment.try_create(0, &team("once")).await;
    assert_eq!(status, 200);
    assert_eq!(dropped_responses(&deployment), 1);
    let after = deployment.wait_for_common_revision(before + 1).await;
    assert_eq!(deployment.try_create(1, &team("once")).await, 412);
    assert_eq!(deployment.wait_for_common_revision(after).await, after);
    // The responses are lost to the removal of a killed member, and to the
    // registration of its next incarnation.
    for _ in 0..2 {
        let before = dropped_responses(&deployment);
        deployment.update_platform_faults(&drop_responses(1));
        deployment.instances[2].kill();
        wait_until("the response to the removal is lost", async || {
            dropped_responses(&deployment) > before
        })
        .await;
        deployment.wait_until_serving_at(&[0, 1]).await;
        deployment.update_platform_faults(&drop_responses(1));
        deployment.instances[2].restart();
        wait_until("the response to the registration is lost", async || {
            dropped_responses(&deployment) > before + 1
        })
        .await;
        deployment.wait_until_serving().await;
    }
    assert!(callers.finish().await.complete > 20);
    deployment.check_history();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slow_store_and_stale_instance_list_delay_no_jobs() {
    let mut deployment = Deployment::start(DeploymentOptions::default()).await;
    let callers = Callers::start(&deployment.client, vec![0, 1], PERIOD_MS);
    let slow = |slow_ms, lag_ms| FaultUpdate {
        slow_ms: Some(slow_ms),
        instance_list_lag_ms: Some(lag_ms),
        ..FaultUpdate::default()
    };
    // Slightly shorter than `platform.call_timeout_ms`, so that some calls time out.
    deployment.update_platform_faults(&slow(450, 3_000));
    deployment.wait_until_serving().await;
    // For a while, the list still contains the previous incarnation.
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
async fn one_of_concurrent_declarations_is_in_force_everywhere() {
    let deployment = Deployment::start(DeploymentOptions::default()).await;
    let before = deployment.wait_for_common_revision(1).await;
    let mut accepted = Vec::new();
    for round in 0..5 {
        let name = format!("concurrent-{round}");
        let team_with_weight =
            |weight| json!({"kind": "team", "name": name, "spec": {"weight": weight}});
        let (one, two, three) = (
            team_with_weight(1),
            team_with_weight(2),
            team_with_weight(3),
        );
        let statuses = tokio::join!(
            deployment.try_create(0, &one),
            deployment.try_create(1, &two),
            deployment.try_create(2, &three),
        );
        let statuses = [statuses.0, statuses.1, statuses.2];
        let refused = |status: &&u16| [409, 412].contains(*status);
        assert_eq!(statuses.iter().filter(refused).count(), 2, "{statuses:?}");
        let accepted_index = statuses.iter().position(|status| *status == 200);
        accepted.push(team_with_weight(accepted_index.unwrap() + 1));
    }
    let after = deployment.wait_for_common_revision(before + 5).await;
    for _ in 0..2 {
        for entry in 0..3 {
            assert_eq!(concurrent_teams(&deployment, entry).await, accepted);
        }
        assert_eq!(deployment.wait_for_common_revision(after).await, after);
    }
}

/// Teams named `concurrent-*` at an instance, without their status.
async fn concurrent_teams(deployment: &Deployment, entry: usize) -> Vec<Value> {
    let address = deployment.client.entries[entry];
    let reply = deployment.client.http.get(address, "/v1/teams").await;
    let teams: Vec<Value> = serde_json::from_slice(&reply.unwrap().body).unwrap();
    let concurrent = teams
        .into_iter()
        .filter(|team| team["name"].as_str().unwrap().starts_with("concurrent-"));
    concurrent
        .map(|team| json!({"kind": team["kind"], "name": team["name"], "spec": team["spec"]}))
        .collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn accepted_declaration_survives_its_instance_and_a_store_outage() {
    let mut deployment = Deployment::start(DeploymentOptions::default()).await;
    let before = deployment.wait_for_common_revision(1).await;
    assert_eq!(
        deployment.try_create(2, &team("concurrent-kept")).await,
        200
    );
    deployment.instances[2].kill();
    let after = deployment.wait_for_common_revision(before + 1).await;
    deployment.update_platform_faults(&down(true));
    // All instances restart one by one, and get the declarations from their peers.
    for index in [2, 0, 1] {
        deployment.instances[index].restart();
        assert_eq!(deployment.wait_for_common_revision(after).await, after);
    }
    deployment.update_platform_faults(&down(false));
    deployment.publish_instance_list().await;
    deployment.wait_until_serving().await;
    for entry in 0..3 {
        let teams = concurrent_teams(&deployment, entry).await;
        assert_eq!(teams, [team("concurrent-kept")]);
    }
    assert!(deployment.wait_for_common_revision(after).await >= after);
}

/// Instances that the store serves must not wait for those that it refuses.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn declarations_are_in_force_in_time_while_the_store_refuses_the_watchers() {
    let options = DeploymentOptions {
        instances_per_domain: 4,
        ..DeploymentOptions::default()
    };
    let mut deployment = Deployment::start(options).await;
    let mut store_links = Vec::new();
    for watcher in 0..2 {
        let any = "127.0.0.1:0".parse().unwrap();
        let relay = relay::start(any, deployment.platform.address, None);
        let relay = relay.await.unwrap();
        let instance = &mut deployment.instances[watcher];
        instance.options.platform = relay.address;
        instance.restart();
        store_links.push(relay);
    }
    deployment.publish_instance_list().await;
    deployment.wait_until_serving().await;
    let before = deployment.wait_for_common_revision(1).await;
    for link in &store_links {
        link.set_state(LinkState::Paused);
    }
    assert_eq!(deployment.try_create(2, &team("late")).await, 200);
    sleep(IN_FORCE).await;
    for entry in 0..4 {
        let status = deployment.status(entry).await.unwrap();
        let revision = status["config_revision"].as_u64().unwrap();
        assert!(revision > before, "instance {entry}: {revision}");
    }
}
