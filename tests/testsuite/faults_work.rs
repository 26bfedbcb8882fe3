//! Workers that misbehave, bursts, cancellations and reused keys, over real
//! processes.

use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;
use tokio::task::JoinSet;
use tokio::time::sleep;
use trefoil_fakes::worker::faults::WorkerFaultUpdate;

use crate::support::callers::{Callers, reason_of};
use crate::support::deployment::{Deployment, DeploymentOptions, wait_until};

const PERIOD_MS: u64 = 30;
const FAULT: Duration = Duration::from_millis(1_200);

/// One fault of one worker, and its end.
fn faults() -> [(WorkerFaultUpdate, WorkerFaultUpdate); 6] {
    let none = WorkerFaultUpdate {
        fail_all: Some(false),
        wrong_task: Some(false),
        drop_after_start: Some(false),
        late_ms: Some(0),
        refuse_all: Some(false),
        hang: Some(false),
        ..WorkerFaultUpdate::default()
    };
    let fault = |worker, set: fn(&mut WorkerFaultUpdate)| {
        let mut end = none.clone();
        end.worker = Some(worker);
        let mut order = end.clone();
        set(&mut order);
        (order, end)
    };
    // A worker that was ejected may get no work for a while, so each fault has
    // one of its own.
    [
        fault(0, |order| order.fail_all = Some(true)),
        fault(1, |order| order.wrong_task = Some(true)),
        fault(2, |order| order.drop_after_start = Some(true)),
        fault(3, |order| order.refuse_all = Some(true)),
        fault(4, |order| order.late_ms = Some(1_500)),
        // Its hung tasks hold their slots for good.
        fault(5, |order| order.hang = Some(true)),
    ]
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn workers_that_misbehave_start_nothing_twice_and_cross_no_answers() {
    let size = DeploymentOptions {
        workers_per_domain: faults().len(),
        ..DeploymentOptions::default()
    };
    let deployment = Deployment::start(size).await;
    let callers = Callers::start(&deployment.client, vec![0, 1, 2], PERIOD_MS);
    let requests_at = |worker: usize| {
        let name = deployment.workers[0].addresses[worker].to_string();
        let starts = deployment.starts();
        let starts = starts.iter().filter(|start| start.worker == name).count();
        starts as u64 + deployment.workers[0].counters().refused_ordered
    };
    for (order, end) in faults() {
        let worker = order.worker.unwrap();
        let before = requests_at(worker);
        deployment.update_worker_faults(&order);
        wait_until("the fault is felt", async || requests_at(worker) > before).await;
        sleep(FAULT).await;
        deployment.update_worker_faults(&end);
        deployment.wait_until_serving().await;
    }
    assert!(callers.finish().await.complete > 50);
    let tally = deployment.check_history();
    assert!(tally.count(&["task_failed"]) > 0, "{tally:?}");
    assert!(tally.count(&["task_lost"]) > 0, "{tally:?}");
    let counters = deployment.workers[0].counters();
    assert!(counters.failed > 0 && counters.dropped > 0, "{counters:?}");
    assert!(counters.refused_ordered > 0, "{counters:?}");
}

/// Status, reason and verdict of an answer.
fn word(answer: &Value) -> (Value, String, Value) {
    let status = answer["status"].clone();
    (status, reason_of(answer), answer["verdict"].clone())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_failed_job_is_told_alike_through_every_instance() {
    let all = WorkerFaultUpdate {
        fail_all: Some(false),
        wrong_task: Some(false),
        drop_after_start: Some(false),
        ..WorkerFaultUpdate::default()
    };
    let fail = WorkerFaultUpdate {
        fail_all: Some(true),
        ..all.clone()
    };
    let cross = WorkerFaultUpdate {
        wrong_task: Some(true),
        ..all.clone()
    };
    let close = WorkerFaultUpdate {
        drop_after_start: Some(true),
        ..all.clone()
    };
    let deployment = Deployment::start(DeploymentOptions::default()).await;
    let client = &deployment.client;
    let faults = [
        (fail, "task_failed"),
        (cross, "task_lost"),
        (close, "task_lost"),
    ];
    for (fault, reason) in faults {
        deployment.update_worker_faults(&fault);
        for owner in 0..3 {
            let key = deployment.key_owned_by(owner, true);
            let job = client.job(&key, 2, 10);
            let first = client.submit(owner, &job).await;
            assert_eq!(first["status"], 502, "{first}");
            assert_eq!(reason_of(&first), reason, "{first}");
            assert_ne!(first["verdict"], "not_run", "{first}");
            for answer in client.resubmit_through_others(owner, &job).await {
                assert_eq!(word(&answer), word(&first), "{answer}");
            }
        }
        deployment.update_worker_faults(&all);
        deployment.wait_until_serving().await;
    }
    deployment.check_history();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_key_reused_with_another_body_runs_the_first_alone() {
    let deployment = Deployment::start(DeploymentOptions::default()).await;
    let client = &deployment.client;
    for entry in 0..3 {
        let key = client.new_key(entry, entry != 1).await.unwrap();
        let first = client.job(&key, 3, 100);
        let other = client.job_with_other_body(&key, 2, 10);
        assert!(client.submit_until_final(entry, &first).await);
        for turn in 0..3 {
            let answer = client.submit((entry + turn) % 3, &other).await;
            assert_eq!(reason_of(&answer), "key_reused", "{answer}");
        }
        for answer in client.resubmit_through_others(entry, &first).await {
            assert_eq!(answer["state"], "complete", "{answer}");
            assert_eq!(answer["replayed"], true, "{answer}");
        }
    }
    // Both bodies at once, through every instance: whichever comes first.
    for round in 0..6 {
        let key = client.new_key(round % 3, round % 2 == 0).await.unwrap();
        let mut submissions = JoinSet::new();
        for entry in 0..3 {
            for job in [
                client.job(&key, 3, 50),
                client.job_with_other_body(&key, 3, 50),
            ] {
                let client = Arc::clone(client);
                submissions.spawn(async move { client.submit(entry, &job).await });
            }
        }
        let answers = submissions.join_all().await;
        let complete = answers
            .iter()
            .filter(|answer| answer["state"] == "complete");
        assert_eq!(complete.count(), 3, "{answers:?}");
        let reused = answers
            .iter()
            .filter(|answer| reason_of(answer) == "key_reused");
        assert_eq!(reused.count(), 3, "{answers:?}");
    }
    deployment.check_history();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_burst_and_a_wave_of_cancellations_are_answered_truthfully() {
    const JOBS: usize = 150;
    let deployment = Deployment::start(DeploymentOptions::default()).await;
    let mut jobs = JoinSet::new();
    for number in 0..JOBS {
        let client = Arc::clone(&deployment.client);
        jobs.spawn(async move {
            let entry = number % 3;
            let key = client.new_key(entry, number % 2 == 0).await.unwrap();
            let job = client.job(&key, 10, 100);
            let submitted = client.submit(entry, &job);
            let cancelled = async {
                if number % 3 == 0 {
                    sleep(Duration::from_millis(400)).await;
                    client.cancel((entry + 1) % 3, &job).await;
                }
            };
            let (answer, ()) = tokio::join!(submitted, cancelled);
            client.resubmit_through_others(entry, &job).await;
            answer
        });
    }
    let answers = jobs.join_all().await;
    assert!(answers.iter().all(|answer| !answer.is_null()));
    deployment.wait_until_serving().await;
    let tally = deployment.check_history();
    assert!(tally.count(&["complete"]) > 0, "{tally:?}");
    assert!(tally.count(&["overload", "quota"]) > 0, "{tally:?}");
    assert!(tally.count(&["cancelled"]) > 0, "{tally:?}");
}
