//! Faulty workers, bursts, cancellations and reused keys.

use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;
use tokio::task::JoinSet;
use tokio::time::sleep;
use trefoil_fakes::worker::faults::WorkerFaultUpdate;

use crate::support::callers::{Callers, reason_of};
use crate::support::deployment::{Deployment, DeploymentOptions, wait_until};

const PERIOD_MS: u64 = 30;
const FAULT_DURATION: Duration = Duration::from_millis(1_200);

/// Updates that start and end each fault.
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
        let mut start = end.clone();
        set(&mut start);
        (start, end)
    };
    // Each fault affects a different worker, because an ejected worker may get no
    // tasks for a while.
    [
        fault(0, |update| update.fail_all = Some(true)),
        fault(1, |update| update.wrong_task = Some(true)),
        fault(2, |update| update.drop_after_start = Some(true)),
        fault(3, |update| update.refuse_all = Some(true)),
        fault(4, |update| update.late_ms = Some(1_500)),
        // Hung tasks never release their slots.
        fault(5, |update| update.hang = Some(true)),
    ]
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn faulty_workers_cause_no_double_starts_or_wrong_results() {
    let options = DeploymentOptions {
        workers_per_domain: faults().len(),
        ..DeploymentOptions::default()
    };
    let deployment = Deployment::start(options).await;
    let callers = Callers::start(&deployment.client, vec![0, 1, 2], PERIOD_MS);
    let requests_at = |worker: usize| {
        let name = deployment.workers[0].addresses[worker].to_string();
        let starts = deployment.starts();
        let starts = starts.iter().filter(|start| start.worker == name).count();
        starts as u64 + deployment.workers[0].counters().refused_ordered
    };
    for (start, end) in faults() {
        let worker = start.worker.unwrap();
        let before = requests_at(worker);
        deployment.update_worker_faults(&start);
        wait_until("the faulty worker gets a request", async || {
            requests_at(worker) > before
        })
        .await;
        sleep(FAULT_DURATION).await;
        deployment.update_worker_faults(&end);
        deployment.wait_until_serving().await;
    }
    assert!(callers.finish().await.complete > 50);
    let outcomes = deployment.check_history();
    assert!(outcomes.count(&["task_failed"]) > 0, "{outcomes:?}");
    assert!(outcomes.count(&["task_lost"]) > 0, "{outcomes:?}");
    let counters = deployment.workers[0].counters();
    assert!(counters.failed > 0 && counters.dropped > 0, "{counters:?}");
    assert!(counters.refused_ordered > 0, "{counters:?}");
}

/// Status, reason and verdict of a response.
fn status_reason_and_verdict(answer: &Value) -> (Value, String, Value) {
    let status = answer["status"].clone();
    (status, reason_of(answer), answer["verdict"].clone())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn failed_job_is_reported_equally_by_every_instance() {
    let none = WorkerFaultUpdate {
        fail_all: Some(false),
        wrong_task: Some(false),
        drop_after_start: Some(false),
        ..WorkerFaultUpdate::default()
    };
    let fail = WorkerFaultUpdate {
        fail_all: Some(true),
        ..none.clone()
    };
    let wrong_task = WorkerFaultUpdate {
        wrong_task: Some(true),
        ..none.clone()
    };
    let drop_after_start = WorkerFaultUpdate {
        drop_after_start: Some(true),
        ..none.clone()
    };
    let deployment = Deployment::start(DeploymentOptions::default()).await;
    let client = &deployment.client;
    let faults = [
        (fail, "task_failed"),
        (wrong_task, "task_lost"),
        (drop_after_start, "task_lost"),
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
                assert_eq!(
                    status_reason_and_verdict(&answer),
                    status_reason_and_verdict(&first),
                    "{answer}"
                );
            }
        }
        deployment.update_worker_faults(&none);
        deployment.wait_until_serving().await;
    }
    deployment.check_history();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn key_reused_with_another_body_runs_only_the_first_body() {
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
    // Both bodies are submitted concurrently through every instance; either may win.
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
async fn burst_with_cancellations_gets_true_verdicts() {
    const JOBS: usize = 150;
    let deployment = Deployment::start(DeploymentOptions::default()).await;
    let mut jobs = JoinSet::new();
    for number in 0..JOBS {
        let client = Arc::clone(&deployment.client);
        jobs.spawn(async move {
            let entry = number % 3;
            let key = client.new_key(entry, number % 2 == 0).await.unwrap();
            let job = client.job(&key, 10, 100);
            let submission = client.submit(entry, &job);
            let cancellation = async {
                if number % 3 == 0 {
                    sleep(Duration::from_millis(400)).await;
                    client.cancel((entry + 1) % 3, &job).await;
                }
            };
            let (answer, ()) = tokio::join!(submission, cancellation);
            client.resubmit_through_others(entry, &job).await;
            answer
        });
    }
    let answers = jobs.join_all().await;
    assert!(answers.iter().all(|answer| !answer.is_null()));
    deployment.wait_until_serving().await;
    let outcomes = deployment.check_history();
    assert!(outcomes.count(&["complete"]) > 0, "{outcomes:?}");
    assert!(outcomes.count(&["overload", "quota"]) > 0, "{outcomes:?}");
    assert!(outcomes.count(&["cancelled"]) > 0, "{outcomes:?}");
}
