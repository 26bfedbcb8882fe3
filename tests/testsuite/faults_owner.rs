//! Owners of keys that crash or are suspended.

use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::sleep;
use trefoil_fakes::platform::faults::FaultUpdate;

use crate::support::callers::{Callers, Job, reason_of};
use crate::support::deployment::{Deployment, DeploymentOptions, wait_until};

const VICTIM: usize = 1;
/// Longer than `suspect_ms` plus the time to write a view without the instance.
const SUSPEND_DURATION: Duration = Duration::from_millis(1_800);
const PERIOD_MS: u64 = 40;

/// Starts jobs that the victim owns through all instances, and waits until their
/// tasks run.
async fn start_victim_jobs(deployment: &Deployment) -> (Vec<Job>, JoinSet<bool>) {
    let client = &deployment.client;
    let before = deployment.starts().len();
    let mut jobs = Vec::new();
    let mut callers = JoinSet::new();
    for number in 0..6 {
        let key = deployment.key_owned_by(VICTIM, number % 2 == 0);
        let job = client.job(&key, 3, 600);
        jobs.push(job.clone());
        let client = Arc::clone(client);
        callers.spawn(async move {
            let entry = number % client.entries.len();
            let complete = client.submit_until_final(entry, &job).await;
            client.resubmit_through_others(entry, &job).await;
            complete
        });
    }
    wait_until("tasks of the victim run", async || {
        deployment.starts().len() >= before + 9
    })
    .await;
    (jobs, callers)
}

async fn wait_until_others_serve(deployment: &Deployment) {
    let others: Vec<usize> = deployment
        .instances_of_domain(0)
        .into_iter()
        .filter(|index| *index != VICTIM)
        .collect();
    deployment.wait_until_serving_at(&others).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killed_owners_tasks_start_once_and_its_successor_serves() {
    let mut deployment = Deployment::start(DeploymentOptions::default()).await;
    let callers = Callers::start(
        &deployment.client,
        deployment.instances_of_domain(0),
        PERIOD_MS,
    );
    let (jobs, in_flight) = start_victim_jobs(&deployment).await;
    deployment.instances[VICTIM].kill();
    let complete = in_flight.join_all().await;
    assert!(complete.iter().all(|complete| !complete), "{complete:?}");
    for job in &jobs {
        for answer in deployment.client.resubmit_through_others(VICTIM, job).await {
            assert_eq!(reason_of(&answer), "owner_lost", "{answer}");
            assert_eq!(answer["verdict"], "may_have_run", "{answer}");
        }
    }
    wait_until_others_serve(&deployment).await;
    deployment.instances[VICTIM].restart();
    deployment.publish_instance_list().await;
    deployment.wait_until_serving().await;
    for job in &jobs {
        let answer = deployment.client.submit(VICTIM, job).await;
        assert_eq!(reason_of(&answer), "owner_lost", "{answer}");
    }
    assert!(callers.finish().await.complete > 20);
    let outcomes = deployment.check_history();
    assert!(
        outcomes.count(&["owner_lost"]) >= jobs.len(),
        "{outcomes:?}"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restarted_owner_refuses_keys_of_its_previous_incarnation() {
    let mut deployment = Deployment::start(DeploymentOptions::default()).await;
    let callers = Callers::start(
        &deployment.client,
        deployment.instances_of_domain(0),
        PERIOD_MS,
    );
    let (jobs, in_flight) = start_victim_jobs(&deployment).await;
    deployment.instances[VICTIM].restart();
    in_flight.join_all().await;
    deployment.wait_until_serving().await;
    for job in &jobs {
        let answer = deployment.client.submit(VICTIM, job).await;
        assert_eq!(reason_of(&answer), "owner_lost", "{answer}");
    }
    assert!(callers.finish().await.complete > 20);
    // Only keys of the restarted owner are lost.
    for key in deployment.client.incomplete_keys() {
        assert!(
            deployment.owns(VICTIM, &key),
            "{key}: {:#?}",
            deployment.client.describe_incomplete_jobs()
        );
    }
    let outcomes = deployment.check_history();
    assert!(
        outcomes.count(&["owner_lost"]) >= jobs.len(),
        "{outcomes:?}"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn owner_suspended_past_its_vouches_starts_no_task_twice() {
    let deployment = Deployment::start(DeploymentOptions::default()).await;
    let callers = Callers::start(
        &deployment.client,
        deployment.instances_of_domain(0),
        PERIOD_MS,
    );
    let (_, in_flight) = start_victim_jobs(&deployment).await;
    for _ in 0..2 {
        deployment.instances[VICTIM].suspend();
        // Sent to the suspended owner, which reads it after it was replaced.
        let key = deployment.key_owned_by(VICTIM, true);
        let late_job = deployment.client.job(&key, 3, 20);
        let client = Arc::clone(&deployment.client);
        let late_response =
            tokio::spawn(async move { client.submit_until_final(VICTIM, &late_job).await });
        sleep(SUSPEND_DURATION).await;
        wait_until_others_serve(&deployment).await;
        deployment.instances[VICTIM].resume();
        late_response.await.unwrap();
        deployment.wait_until_serving().await;
    }
    in_flight.join_all().await;
    assert!(callers.finish().await.complete > 20);
    let outcomes = deployment.check_history();
    let reasons = [
        "owner_lost",
        "answer_lost",
        "not_vouched",
        "owner_unreachable",
    ];
    assert!(outcomes.count(&reasons) > 0, "{outcomes:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn kill_while_the_store_is_down_loses_only_the_killed_owners_keys() {
    let mut deployment = Deployment::start(DeploymentOptions::default()).await;
    let down = |down| FaultUpdate {
        down: Some(down),
        ..FaultUpdate::default()
    };
    let callers = Callers::start(
        &deployment.client,
        deployment.instances_of_domain(0),
        PERIOD_MS,
    );
    deployment.update_platform_faults(&down(true));
    let (_, in_flight) = start_victim_jobs(&deployment).await;
    deployment.instances[VICTIM].kill();
    let complete = in_flight.join_all().await;
    assert!(complete.iter().all(|complete| !complete), "{complete:?}");
    // Keys of the remaining owners are served without the store.
    for owner in [0, 2] {
        for entry in [0, 2] {
            let key = deployment.key_owned_by(owner, true);
            let job = deployment.client.job(&key, 2, 20);
            let complete = deployment.client.submit_until_final(entry, &job).await;
            assert!(complete, "owner {owner} through {entry}");
        }
    }
    deployment.update_platform_faults(&down(false));
    wait_until_others_serve(&deployment).await;
    deployment.instances[VICTIM].restart();
    deployment.wait_until_serving().await;
    assert!(callers.finish().await.complete > 20);
    deployment.check_history();
}

/// A restarted instance numbers its requests from 1 again, while its peers still send
/// answers to the requests of its previous incarnation.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restarted_entry_ignores_answers_to_its_previous_incarnation() {
    const ENTRY: usize = 2;
    const OWNER: usize = 0;
    const ROUNDS: usize = 3;
    let mut deployment = Deployment::start(DeploymentOptions::default()).await;
    for round in 0..ROUNDS {
        let mut callers = JoinSet::new();
        for _ in 0..8 {
            let job = deployment
                .client
                .job(&deployment.key_owned_by(OWNER, true), 4, 300);
            let client = Arc::clone(&deployment.client);
            callers.spawn(async move { client.submit(ENTRY, &job).await });
        }
        sleep(Duration::from_millis(60)).await;
        deployment.instances[ENTRY].restart();
        for _ in 0..50 {
            let job = deployment
                .client
                .job(&deployment.key_owned_by(OWNER, true), 2, 400);
            let client = Arc::clone(&deployment.client);
            callers.spawn(async move { client.submit(ENTRY, &job).await });
            sleep(Duration::from_millis(20)).await;
        }
        callers.join_all().await;
        deployment.check_history();
        if round + 1 < ROUNDS {
            // Requests of the next round get the same low IDs.
            deployment.instances[ENTRY].restart();
            deployment.wait_until_serving().await;
        }
    }
}
