//! Network partitions between failure domains.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;
use trefoil_fakes::platform::faults::FaultUpdate;
use trefoil_fakes::relay::LinkState;

use crate::support::callers::{Callers, reason_of};
use crate::support::deployment::{Deployment, DeploymentOptions, wait_until};

const PERIOD_MS: u64 = 50;
const PARTITION_DURATION: Duration = Duration::from_millis(1_500);

async fn two_domains() -> Deployment {
    let options = DeploymentOptions {
        domains: 2,
        ..DeploymentOptions::default()
    };
    Deployment::start(options).await
}

/// Waits until both failure domains have detected the partition.
async fn wait_until_partition_detected(deployment: &Deployment) {
    wait_until("each domain reports the other as silent", async || {
        deployment.silent_remote_instances(0).await == 3
            && deployment.silent_remote_instances(3).await == 3
    })
    .await;
}

/// Asserts that the instances of each failure domain complete jobs under keys that
/// they minted, except for the instance `suspended`.
async fn assert_both_domains_serve(deployment: &Deployment, suspended: Option<usize>) {
    for domain in 0..2 {
        let serving = deployment.instances_of_domain(domain);
        for &entry in serving.iter().filter(|entry| Some(**entry) != suspended) {
            let key = deployment.client.new_key(entry, true).await.unwrap();
            let job = deployment.client.job(&key, 2, 20);
            let complete = deployment.client.submit_until_final(entry, &job).await;
            assert!(complete, "domain {domain}, entry {entry}");
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn partitioned_domains_both_serve_and_give_true_verdicts() {
    let deployment = two_domains().await;
    let all = (0..deployment.instances.len()).collect();
    let callers = Callers::start(&deployment.client, all, PERIOD_MS);
    for state in [LinkState::Paused, LinkState::Closed] {
        // A job that is running in the other domain when the link is cut.
        let key = deployment.key_owned_by(3, true);
        let cross_domain_job = deployment.client.job(&key, 3, 400);
        let client = Arc::clone(&deployment.client);
        let job = cross_domain_job.clone();
        let response = tokio::spawn(async move { client.submit(0, &job).await });
        sleep(Duration::from_millis(150)).await;
        deployment.set_domain_links(state);
        wait_until_partition_detected(&deployment).await;
        assert_both_domains_serve(&deployment, None).await;
        let key = deployment.key_owned_by(4, true);
        let answer = deployment
            .client
            .submit(1, &deployment.client.job(&key, 2, 20))
            .await;
        assert_ne!(answer["state"], "complete", "{answer}");
        assert_ne!(answer["verdict"], "ran", "{answer}");
        sleep(PARTITION_DURATION).await;
        deployment.set_domain_links(LinkState::Forwarding);
        response.await.unwrap();
        deployment.wait_until_serving().await;
        // The job's results are available after the partition.
        let complete = deployment
            .client
            .submit_until_final(0, &cross_domain_job)
            .await;
        assert!(complete, "{state:?}");
    }
    assert!(callers.finish().await.complete > 20);
    let outcomes = deployment.check_history();
    // A partition must not make a job with enough time look impossible.
    assert_eq!(outcomes.count(&["impossible"]), 0, "{outcomes:?}");
    assert!(
        outcomes.count(&["answer_lost", "owner_unreachable"]) > 0,
        "{outcomes:?}"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn partition_with_a_suspended_owner_starts_no_task_twice() {
    const SUSPENDED: usize = 4;
    let deployment = two_domains().await;
    let all = (0..deployment.instances.len()).collect();
    let callers = Callers::start(&deployment.client, all, PERIOD_MS);
    deployment.set_domain_links(LinkState::Paused);
    deployment.instances[SUSPENDED].suspend();
    wait_until_partition_detected(&deployment).await;
    sleep(PARTITION_DURATION).await;
    assert_both_domains_serve(&deployment, Some(SUSPENDED)).await;
    // This domain has not received the view without the suspended instance.
    let key = deployment.key_owned_by(SUSPENDED, true);
    let job = deployment.client.job(&key, 2, 20);
    let client = Arc::clone(&deployment.client);
    let remote_job = job.clone();
    let remote_response = tokio::spawn(async move { client.submit(0, &remote_job).await });
    deployment.client.submit(3, &job).await;
    deployment.instances[SUSPENDED].resume();
    sleep(Duration::from_millis(100)).await;
    deployment.set_domain_links(LinkState::Forwarding);
    remote_response.await.unwrap();
    deployment.wait_until_serving().await;
    deployment.client.submit_until_final(1, &job).await;
    assert!(callers.finish().await.complete > 20);
    deployment.check_history();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn domain_partitioned_from_peers_and_store_keeps_serving() {
    let deployment = two_domains().await;
    let all = (0..deployment.instances.len()).collect();
    let callers = Callers::start(&deployment.client, all, PERIOD_MS);
    let blocked = |names| FaultUpdate {
        block_instances: Some(names),
        ..FaultUpdate::default()
    };
    deployment.update_platform_faults(&blocked(deployment.instance_names(1)));
    deployment.set_domain_links(LinkState::Paused);
    wait_until_partition_detected(&deployment).await;
    sleep(PARTITION_DURATION).await;
    assert_both_domains_serve(&deployment, None).await;
    // In the isolated domain, writes are refused because the store is unreachable.
    let team = serde_json::json!({"kind": "team", "name": "late", "spec": {"weight": 1}});
    assert_eq!(deployment.try_create(4, &team).await, 503);
    let before = deployment.wait_for_common_revision(0).await;
    assert_eq!(deployment.try_create(1, &team).await, 200);
    deployment.set_domain_links(LinkState::Forwarding);
    deployment.wait_for_common_revision(before + 1).await;
    // Peers pass on the configuration and views while the store is still
    // unreachable.
    deployment.wait_until_serving().await;
    deployment.update_platform_faults(&blocked(Vec::new()));
    deployment.wait_until_serving().await;
    assert!(callers.finish().await.complete > 20);
    deployment.check_history();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn loss_of_a_whole_domain_affects_only_its_keys() {
    let mut deployment = two_domains().await;
    let remaining = deployment.instances_of_domain(0);
    let callers = Callers::start(&deployment.client, remaining.clone(), PERIOD_MS);
    let killed = deployment.instances_of_domain(1);
    for &index in &killed {
        deployment.instances[index].kill();
    }
    sleep(PARTITION_DURATION).await;
    for &entry in &remaining {
        let key = deployment.client.new_key(entry, true).await.unwrap();
        let job = deployment.client.job(&key, 2, 20);
        assert!(deployment.client.submit_until_final(entry, &job).await);
        let key = deployment.key_owned_by(killed[0], true);
        let answer = deployment
            .client
            .submit(entry, &deployment.client.job(&key, 2, 20))
            .await;
        assert_ne!(answer["state"], "complete", "{}", reason_of(&answer));
    }
    for &index in &killed {
        deployment.instances[index].restart();
    }
    deployment.publish_instance_list().await;
    deployment.wait_until_serving().await;
    assert!(callers.finish().await.complete > 20);
    deployment.check_history();
}
