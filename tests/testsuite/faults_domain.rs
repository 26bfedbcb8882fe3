//! Failure domains cut off from each other, over real processes.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;
use trefoil_fakes::platform::faults::FaultUpdate;
use trefoil_fakes::relay::LinkState;

use crate::support::callers::{Callers, reason_of};
use crate::support::deployment::{Deployment, DeploymentOptions, wait_until};

const PERIOD_MS: u64 = 50;
const CUT: Duration = Duration::from_millis(1_500);

async fn two_domains() -> Deployment {
    let size = DeploymentOptions {
        domains: 2,
        ..DeploymentOptions::default()
    };
    Deployment::start(size).await
}

/// Waits until each side has noticed the cut.
async fn until_cut(deployment: &Deployment) {
    wait_until("both sides miss the other", async || {
        deployment.silent_remote_instances(0).await == 3
            && deployment.silent_remote_instances(3).await == 3
    })
    .await;
}

/// Each side serves keys minted there, through each of its instances.
async fn assert_both_sides_serve(deployment: &Deployment, frozen: Option<usize>) {
    for domain in 0..2 {
        let serving = deployment.instances_of_domain(domain);
        for &entry in serving.iter().filter(|entry| Some(**entry) != frozen) {
            let key = deployment.client.new_key(entry, true).await.unwrap();
            let job = deployment.client.job(&key, 2, 20);
            let complete = deployment.client.submit_until_final(entry, &job).await;
            assert!(complete, "domain {domain}, entry {entry}");
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn domains_cut_off_from_each_other_both_serve_and_refuse_truthfully() {
    let deployment = two_domains().await;
    let all = (0..deployment.instances.len()).collect();
    let callers = Callers::start(&deployment.client, all, PERIOD_MS);
    for state in [LinkState::Paused, LinkState::Closed] {
        // Running across the cut: started over there, asked for from here.
        let key = deployment.key_owned_by(3, true);
        let crossing = deployment.client.job(&key, 3, 400);
        let client = Arc::clone(&deployment.client);
        let job = crossing.clone();
        let crossed = tokio::spawn(async move { client.submit(0, &job).await });
        sleep(Duration::from_millis(150)).await;
        deployment.set_domain_links(state);
        until_cut(&deployment).await;
        assert_both_sides_serve(&deployment, None).await;
        let key = deployment.key_owned_by(4, true);
        let answer = deployment
            .client
            .submit(1, &deployment.client.job(&key, 2, 20))
            .await;
        assert_ne!(answer["state"], "complete", "{answer}");
        assert_ne!(answer["verdict"], "ran", "{answer}");
        sleep(CUT).await;
        deployment.set_domain_links(LinkState::Forwarding);
        crossed.await.unwrap();
        deployment.wait_until_serving().await;
        // The job that ran over there is found again, whole.
        let found = deployment.client.submit_until_final(0, &crossing).await;
        assert!(found, "{state:?}");
    }
    assert!(callers.finish().await.complete > 20);
    let tally = deployment.check_history();
    // Each job has time enough, so that a cut must not make it look hopeless.
    assert_eq!(tally.count(&["impossible"]), 0, "{tally:?}");
    assert!(
        tally.count(&["answer_lost", "owner_unreachable"]) > 0,
        "{tally:?}"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cut_and_a_frozen_owner_together_start_nothing_twice() {
    const FROZEN: usize = 4;
    let deployment = two_domains().await;
    let all = (0..deployment.instances.len()).collect();
    let callers = Callers::start(&deployment.client, all, PERIOD_MS);
    deployment.set_domain_links(LinkState::Paused);
    deployment.instances[FROZEN].suspend();
    until_cut(&deployment).await;
    sleep(CUT).await;
    assert_both_sides_serve(&deployment, Some(FROZEN)).await;
    // Here nobody has heard of the view without the frozen instance.
    let key = deployment.key_owned_by(FROZEN, true);
    let job = deployment.client.job(&key, 2, 20);
    let here = Arc::clone(&deployment.client);
    let from_here = job.clone();
    let from_here = tokio::spawn(async move { here.submit(0, &from_here).await });
    deployment.client.submit(3, &job).await;
    deployment.instances[FROZEN].resume();
    sleep(Duration::from_millis(100)).await;
    deployment.set_domain_links(LinkState::Forwarding);
    from_here.await.unwrap();
    deployment.wait_until_serving().await;
    deployment.client.submit_until_final(1, &job).await;
    assert!(callers.finish().await.complete > 20);
    deployment.check_history();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_domain_cut_off_from_the_others_and_the_store_goes_on() {
    let deployment = two_domains().await;
    let all = (0..deployment.instances.len()).collect();
    let callers = Callers::start(&deployment.client, all, PERIOD_MS);
    let blocked = |names| FaultUpdate {
        block_instances: Some(names),
        ..FaultUpdate::default()
    };
    deployment.update_platform_faults(&blocked(deployment.instance_names(1)));
    deployment.set_domain_links(LinkState::Paused);
    until_cut(&deployment).await;
    sleep(CUT).await;
    assert_both_sides_serve(&deployment, None).await;
    // An operator is told on the cut side that the store can't be reached.
    let team = serde_json::json!({"kind": "team", "name": "late", "spec": {"weight": 1}});
    assert_eq!(deployment.try_create(4, &team).await, 503);
    let before = deployment.wait_for_common_revision(0).await;
    assert_eq!(deployment.try_create(1, &team).await, 200);
    deployment.set_domain_links(LinkState::Forwarding);
    deployment.wait_for_common_revision(before + 1).await;
    // Configuration and views pass between instances while the store is
    // still out of reach.
    deployment.wait_until_serving().await;
    deployment.update_platform_faults(&blocked(Vec::new()));
    deployment.wait_until_serving().await;
    assert!(callers.finish().await.complete > 20);
    deployment.check_history();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_domain_that_dies_whole_is_lost_alone() {
    let mut deployment = two_domains().await;
    let here = deployment.instances_of_domain(0);
    let callers = Callers::start(&deployment.client, here.clone(), PERIOD_MS);
    let there = deployment.instances_of_domain(1);
    for &index in &there {
        deployment.instances[index].kill();
    }
    sleep(CUT).await;
    for &entry in &here {
        let key = deployment.client.new_key(entry, true).await.unwrap();
        let job = deployment.client.job(&key, 2, 20);
        assert!(deployment.client.submit_until_final(entry, &job).await);
        let key = deployment.key_owned_by(there[0], true);
        let answer = deployment
            .client
            .submit(entry, &deployment.client.job(&key, 2, 20))
            .await;
        assert_ne!(answer["state"], "complete", "{}", reason_of(&answer));
    }
    for &index in &there {
        deployment.instances[index].restart();
    }
    deployment.publish_instance_list().await;
    deployment.wait_until_serving().await;
    assert!(callers.finish().await.complete > 20);
    deployment.check_history();
}
