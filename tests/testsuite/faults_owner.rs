//! Owners of keys that die or pause, over real processes.

use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::sleep;
use trefoil_fakes::platform::faults::FaultUpdate;

use crate::support::callers::{Callers, Job, reason_of};
use crate::support::deployment::{Deployment, Size, until};

const VICTIM: usize = 1;
/// Beyond `suspect_ms` and the writing of a view without the instance.
const LONG_PAUSE: Duration = Duration::from_millis(1_800);
const PERIOD_MS: u64 = 40;

/// Jobs that the victim owns, submitted through all instances and running.
async fn jobs_in_flight(deployment: &Deployment) -> (Vec<Job>, JoinSet<bool>) {
    let world = &deployment.world;
    let before = deployment.starts().len();
    let mut jobs = Vec::new();
    let mut callers = JoinSet::new();
    for number in 0..6 {
        let key = deployment.key_owned_by(VICTIM, number % 2 == 0);
        let job = world.job(&key, 3, 600);
        jobs.push(job.clone());
        let world = Arc::clone(world);
        callers.spawn(async move {
            let entry = number % world.entries.len();
            let complete = world.submit_until_final(entry, &job).await;
            world.resubmit_through_others(entry, &job).await;
            complete
        });
    }
    until("tasks of the victim run", async || {
        deployment.starts().len() >= before + 9
    })
    .await;
    (jobs, callers)
}

async fn others_only(deployment: &Deployment) {
    let others: Vec<usize> = deployment
        .of_domain(0)
        .into_iter()
        .filter(|index| *index != VICTIM)
        .collect();
    deployment.until_served_at(&others).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_killed_owners_tasks_start_once_and_its_successor_serves() {
    let mut deployment = Deployment::start(Size::default()).await;
    let callers = Callers::start(&deployment.world, deployment.of_domain(0), PERIOD_MS);
    let (jobs, in_flight) = jobs_in_flight(&deployment).await;
    deployment.instances[VICTIM].kill();
    let complete = in_flight.join_all().await;
    assert!(complete.iter().all(|complete| !complete), "{complete:?}");
    for job in &jobs {
        for answer in deployment.world.resubmit_through_others(VICTIM, job).await {
            assert_eq!(reason_of(&answer), "owner_lost", "{answer}");
            assert_eq!(answer["verdict"], "may_have_run", "{answer}");
        }
    }
    others_only(&deployment).await;
    deployment.instances[VICTIM].restart();
    deployment.list_instances().await;
    deployment.until_served().await;
    for job in &jobs {
        let answer = deployment.world.submit(VICTIM, job).await;
        assert_eq!(reason_of(&answer), "owner_lost", "{answer}");
    }
    assert!(callers.finish().await.complete > 20);
    let tally = deployment.verdict();
    assert!(tally.of(&["owner_lost"]) >= jobs.len(), "{tally:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_owner_restarted_at_once_takes_no_earlier_key_up() {
    let mut deployment = Deployment::start(Size::default()).await;
    let callers = Callers::start(&deployment.world, deployment.of_domain(0), PERIOD_MS);
    let (jobs, in_flight) = jobs_in_flight(&deployment).await;
    deployment.instances[VICTIM].restart();
    in_flight.join_all().await;
    deployment.until_served().await;
    for job in &jobs {
        let answer = deployment.world.submit(VICTIM, job).await;
        assert_eq!(reason_of(&answer), "owner_lost", "{answer}");
    }
    assert!(callers.finish().await.complete > 20);
    // Of all keys only those of the restarted owner are lost.
    for key in deployment.world.incomplete_keys() {
        assert!(
            deployment.owns(VICTIM, &key),
            "{key}: {:#?}",
            deployment.world.incomplete()
        );
    }
    let tally = deployment.verdict();
    assert!(tally.of(&["owner_lost"]) >= jobs.len(), "{tally:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_owner_frozen_past_its_vouches_starts_nothing_twice() {
    let deployment = Deployment::start(Size::default()).await;
    let callers = Callers::start(&deployment.world, deployment.of_domain(0), PERIOD_MS);
    let (_, in_flight) = jobs_in_flight(&deployment).await;
    for _ in 0..2 {
        deployment.instances[VICTIM].freeze();
        // Sent to the frozen owner, and read by it long after it was replaced.
        let late = deployment.key_owned_by(VICTIM, true);
        let late = deployment.world.job(&late, 3, 20);
        let world = Arc::clone(&deployment.world);
        let late = tokio::spawn(async move { world.submit_until_final(VICTIM, &late).await });
        sleep(LONG_PAUSE).await;
        others_only(&deployment).await;
        deployment.instances[VICTIM].thaw();
        late.await.unwrap();
        deployment.until_served().await;
    }
    in_flight.join_all().await;
    assert!(callers.finish().await.complete > 20);
    let tally = deployment.verdict();
    let felt = [
        "owner_lost",
        "answer_lost",
        "not_vouched",
        "owner_unreachable",
    ];
    assert!(tally.of(&felt) > 0, "{tally:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_kill_while_the_store_is_down_loses_only_the_dead_owners_keys() {
    let mut deployment = Deployment::start(Size::default()).await;
    let down = |down| FaultUpdate {
        down: Some(down),
        ..FaultUpdate::default()
    };
    let callers = Callers::start(&deployment.world, deployment.of_domain(0), PERIOD_MS);
    deployment.order_platform(&down(true));
    let (_, in_flight) = jobs_in_flight(&deployment).await;
    deployment.instances[VICTIM].kill();
    let complete = in_flight.join_all().await;
    assert!(complete.iter().all(|complete| !complete), "{complete:?}");
    // Keys of the two that are left go on without the store.
    for owner in [0, 2] {
        for entry in [0, 2] {
            let key = deployment.key_owned_by(owner, true);
            let job = deployment.world.job(&key, 2, 20);
            let complete = deployment.world.submit_until_final(entry, &job).await;
            assert!(complete, "owner {owner} through {entry}");
        }
    }
    deployment.order_platform(&down(false));
    others_only(&deployment).await;
    deployment.instances[VICTIM].restart();
    deployment.until_served().await;
    assert!(callers.finish().await.complete > 20);
    deployment.verdict();
}
