//! Fake backend servers limit concurrent tasks by slots, inject faults and record every start.

use std::{net::SocketAddr, time::Duration};

use hyper::{Method, StatusCode, header::HeaderValue};
use tokio::time::{sleep, timeout};
use trefoil_fakes::{
    client::{CallError, Client, Reply, request},
    worker::{self, TASK_HEADER, WorkerOptions, WorkersHandle, faults::WorkerFaultUpdate},
};

const TASK: &str = "1700000000000-k/0/1";

async fn start(slots: usize) -> (WorkersHandle, Client) {
    let options = WorkerOptions {
        count: 2,
        slots,
        ..WorkerOptions::default()
    };
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let workers = worker::start(address, options).await.unwrap();
    (workers, Client::default())
}

async fn run(client: &Client, address: SocketAddr, body: &'static str) -> Result<Reply, CallError> {
    let mut request = request(Method::POST, address, "/run", body);
    request
        .headers_mut()
        .insert(TASK_HEADER, HeaderValue::from_static(TASK));
    client.send(request).await
}

#[tokio::test]
async fn task_without_a_free_slot_is_refused_before_its_start() {
    let (workers, client) = start(1).await;
    let address = workers.addresses[0];
    let body = r#"{"run_ms":60000}"#;
    let running = tokio::spawn({
        let client = client.clone();
        async move { run(&client, address, body).await }
    });
    while workers.counters().starts == 0 {
        sleep(Duration::from_millis(1)).await;
    }
    let refused = run(&client, address, body).await.unwrap();
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    let elsewhere = run(&client, workers.addresses[1], r#"{"run_ms":0}"#).await;
    assert_eq!(elsewhere.unwrap().status, StatusCode::OK);
    let counters = workers.counters();
    assert_eq!((counters.starts, counters.refused_busy), (2, 1));
    running.abort();
}

#[tokio::test]
async fn response_echoes_the_task_and_its_result() {
    let (workers, client) = start(1).await;
    let body = r#"{"run_ms":1,"result":{"token":"t"}}"#;
    let reply = run(&client, workers.addresses[0], body).await.unwrap();
    assert_eq!(reply.headers[TASK_HEADER], TASK);
    let answer: serde_json::Value = serde_json::from_slice(&reply.body).unwrap();
    assert_eq!(answer["result"]["token"], "t");
    let starts = workers.starts();
    assert_eq!(starts[0].task, TASK);
    assert_eq!(starts[0].token.as_deref(), Some("t"));
    assert!(!starts[0].dropped);
}

#[tokio::test]
async fn faults_are_set_for_single_servers() {
    let (workers, client) = start(1).await;
    workers.update_faults(&WorkerFaultUpdate {
        worker: Some(0),
        drop_after_start: Some(true),
        ..WorkerFaultUpdate::default()
    });
    workers.update_faults(&WorkerFaultUpdate {
        worker: Some(1),
        wrong_task: Some(true),
        ..WorkerFaultUpdate::default()
    });
    let dropped = run(&client, workers.addresses[0], "{}").await;
    assert!(matches!(dropped, Err(CallError::Broken { .. })));
    assert!(workers.starts()[0].dropped);
    let wrong = run(&client, workers.addresses[1], "{}").await.unwrap();
    assert_ne!(wrong.headers[TASK_HEADER], TASK);
}

#[tokio::test]
async fn task_keeps_its_slot_after_its_client_disconnects() {
    let (workers, client) = start(1).await;
    let address = workers.addresses[0];
    let body = r#"{"run_ms":60000}"#;
    let timed_out = timeout(Duration::from_millis(50), run(&client, address, body)).await;
    assert!(timed_out.is_err());
    while workers.counters().dropped == 0 {
        sleep(Duration::from_millis(1)).await;
    }
    assert!(workers.starts()[0].dropped);
    let refused = run(&client, address, body).await.unwrap();
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
}
