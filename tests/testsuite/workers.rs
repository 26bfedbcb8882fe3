//! Whether the worker client reports correctly that a task may have run.

pub mod scripted_worker;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use scripted_worker::{AfterResponse, ScriptedResponse, ScriptedWorker, response_text};
use tokio::net::TcpSocket;
use tokio::sync::Semaphore;
use trefoil_core::engine::TaskOutcome;
use trefoil_core::key::JobKey;
use trefoil_schema::settings::WorkerSettings;
use trefoilbay::workers::connection::RESULT_BYTES_MAX;
use trefoilbay::workers::{WorkerCall, WorkerClient};

const KEY: &str = "1764691200000-week-49";
const TIMEOUT_MS: u64 = 5000;

fn client() -> WorkerClient {
    WorkerClient::new(&WorkerSettings::default())
}

fn call(address: &str, index: u32) -> WorkerCall {
    WorkerCall {
        key: Arc::new(JobKey::parse(KEY).unwrap()),
        index,
        attempt: 1,
        address: address.into(),
        path: "/run".into(),
        payload: Bytes::from_static(b"{\"pay\":12.50}"),
        timeout_ms: TIMEOUT_MS,
        traceparent: None,
    }
}

/// Name of an outcome, without its detail.
fn outcome_name(outcome: &TaskOutcome) -> &'static str {
    match outcome {
        TaskOutcome::Done(_) => "done",
        TaskOutcome::Failed(_) => "failed",
        TaskOutcome::NotRun(_) => "not_run",
        TaskOutcome::MayHaveRun(_) => "may_have_run",
    }
}

/// Outcome of a call to a worker with a fixed response, and the number of
/// requests that the worker read.
async fn outcome_of(text: &str, after: AfterResponse) -> (&'static str, usize) {
    let worker = ScriptedWorker::fixed(text, after).await;
    let outcome = client().call(&call(&worker.address, 0)).await;
    (outcome_name(&outcome), worker.requests().len())
}

#[tokio::test]
async fn responses_map_to_outcomes() {
    let long = format!("\"{}\"", "x".repeat(RESULT_BYTES_MAX));
    let rows = [
        (
            "200 echo",
            response_text("200 OK", "trefoil-task: 1764691200000-week-49/0/1\r\n", "1"),
            "done",
        ),
        (
            "200 no echo",
            response_text("200 OK", "", "{\"a\":[1]}"),
            "done",
        ),
        ("200 empty", response_text("200 OK", "", ""), "done"),
        (
            "200 chunked",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\n12\r\n0\r\n\r\n".into(),
            "done",
        ),
        (
            "200 other task",
            response_text("200 OK", "trefoil-task: 1764691200000-week-49/1/1\r\n", "1"),
            "may_have_run",
        ),
        (
            "200 other attempt",
            response_text("200 OK", "trefoil-task: 1764691200000-week-49/0/2\r\n", "1"),
            "may_have_run",
        ),
        ("200 not JSON", response_text("200 OK", "", "1 2"), "failed"),
        (
            "200 oversized",
            response_text("200 OK", "", &long),
            "may_have_run",
        ),
        (
            "200 truncated",
            "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n[1,2".into(),
            "may_have_run",
        ),
        (
            "200 chunks truncated",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\n12\r\n".into(),
            "may_have_run",
        ),
        (
            "200 unframed",
            "HTTP/1.1 200 OK\r\n\r\n12".into(),
            "may_have_run",
        ),
        ("head truncated", "HTTP/1.1 200 O".into(), "may_have_run"),
        ("not HTTP", "hello\r\n\r\n".into(), "may_have_run"),
        ("no answer", String::new(), "may_have_run"),
        (
            "429",
            response_text("429 Too Many Requests", "", ""),
            "not_run",
        ),
        (
            "503",
            response_text("503 Service Unavailable", "", "busy"),
            "not_run",
        ),
        (
            "503 other task",
            response_text("503 Service Unavailable", "trefoil-task: x/0/1\r\n", ""),
            "may_have_run",
        ),
        (
            "500",
            response_text("500 Internal Server Error", "", "no"),
            "failed",
        ),
        ("404", response_text("404 Not Found", "", ""), "failed"),
        (
            "302",
            response_text("302 Found", "location: /\r\n", ""),
            "failed",
        ),
    ];
    for (name, text, expected) in rows {
        let outcome = outcome_of(&text, AfterResponse::Close).await;
        assert_eq!(outcome, (expected, 1), "{name}");
    }
}

#[tokio::test]
async fn call_without_a_listener_is_not_run() {
    // Bound but not listening, so that no other process can use the port.
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let closed = socket.local_addr().unwrap().to_string();
    for address in [closed.as_str(), "no-address"] {
        let outcome = client().call(&call(address, 0)).await;
        assert_eq!(outcome_name(&outcome), "not_run", "{address}: {outcome:?}");
    }
}

#[tokio::test]
async fn connection_closed_before_reading_is_never_done() {
    let worker = ScriptedWorker::closing_connections().await;
    for index in 0..200 {
        let outcome = client().call(&call(&worker.address, index)).await;
        // The kernel decides whether the socket accepts bytes before it closes.
        assert!(
            ["not_run", "may_have_run"].contains(&outcome_name(&outcome)),
            "{outcome:?}"
        );
    }
}

#[tokio::test]
async fn silent_worker_may_have_run() {
    let worker = ScriptedWorker::start(|_| std::future::pending::<ScriptedResponse>()).await;
    let call = WorkerCall {
        timeout_ms: 50,
        ..call(&worker.address, 0)
    };
    assert_eq!(outcome_name(&client().call(&call).await), "may_have_run");
    assert_eq!(worker.requests().len(), 1);
}

#[tokio::test]
async fn response_naming_another_task_is_counted_and_closes_its_connection() {
    let crossed = response_text("200 OK", "trefoil-task: another/0/1\r\n", "1");
    let worker = ScriptedWorker::fixed(&crossed, AfterResponse::KeepOpen).await;
    let client = client();
    for index in 0..3 {
        let outcome = client.call(&call(&worker.address, index)).await;
        assert_eq!(outcome_name(&outcome), "may_have_run");
    }
    assert_eq!(client.counters().crossed_answers.load(Ordering::Relaxed), 3);
    assert_eq!(
        client.counters().connections_opened.load(Ordering::Relaxed),
        3
    );
}

/// Guards against a response that arrives after its call timed out being taken
/// for the response to the next call.
#[tokio::test]
async fn late_response_is_not_taken_for_the_next_call() {
    let gate = Arc::new(Semaphore::new(0));
    let task_gate = Arc::clone(&gate);
    let worker = ScriptedWorker::start(move |request| {
        let task_gate = Arc::clone(&task_gate);
        async move {
            if request.task().ends_with("/0/1") {
                task_gate.acquire().await.unwrap().forget();
            }
            let body = format!("\"{}\"", request.task());
            ScriptedResponse {
                text: response_text("200 OK", "", &body),
                after: AfterResponse::KeepOpen,
            }
        }
    })
    .await;
    let client = client();
    let timed_out = WorkerCall {
        timeout_ms: 50,
        ..call(&worker.address, 0)
    };
    assert_eq!(outcome_name(&client.call(&timed_out).await), "may_have_run");
    gate.add_permits(1);
    for index in 1..20 {
        let outcome = client.call(&call(&worker.address, index)).await;
        let expected = format!("\"{KEY}/{index}/1\"");
        assert_eq!(outcome, TaskOutcome::Done(expected.into()));
    }
}

#[tokio::test]
async fn unsolicited_response_on_an_idle_connection_is_ignored() {
    let repeated = response_text("200 OK", "", "1").repeat(2);
    let worker = ScriptedWorker::fixed(&repeated, AfterResponse::KeepOpen).await;
    let client = client();
    for index in 0..50 {
        let outcome = client.call(&call(&worker.address, index)).await;
        assert_eq!(outcome_name(&outcome), "done");
    }
    assert!(worker.starts().values().all(|starts| *starts == 1));
    assert_eq!(
        client.counters().connections_opened.load(Ordering::Relaxed),
        50
    );
}

/// Guards against a task being sent twice when the worker closes a kept-alive
/// connection while it is reused.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn reuse_of_a_closing_connection_starts_a_task_at_most_once() {
    const CALLS: u32 = 2000;
    let worker = ScriptedWorker::start(|request| async move {
        let index: u64 = request.task().split('/').nth(1).unwrap().parse().unwrap();
        let after = match index % 2 {
            0 => AfterResponse::KeepOpen,
            _ => AfterResponse::CloseAfter(Duration::from_micros(index * 7 % 200)),
        };
        ScriptedResponse {
            text: response_text("200 OK", "", "1"),
            after,
        }
    })
    .await;
    let client = client();
    let mut outcomes = Vec::new();
    for index in 0..CALLS {
        let outcome = client.call(&call(&worker.address, index)).await;
        outcomes.push((index, outcome_name(&outcome)));
        scripted_worker::pause(Duration::from_micros(u64::from(index) * 11 % 200)).await;
    }
    let starts = worker.starts();
    for (index, outcome) in &outcomes {
        let started = starts
            .get(&format!("{KEY}/{index}/1"))
            .copied()
            .unwrap_or(0);
        match *outcome {
            "done" => assert_eq!(started, 1, "task {index}"),
            "not_run" => assert_eq!(started, 0, "task {index}"),
            "may_have_run" => assert!(started <= 1, "task {index}"),
            other => panic!("task {index}: {other}"),
        }
    }
    let count = |name: &str| outcomes.iter().filter(|(_, found)| *found == name).count();
    println!(
        "done {}, not run {}, may have run {}",
        count("done"),
        count("not_run"),
        count("may_have_run")
    );
    assert!(count("done") >= CALLS as usize / 2);
}

#[tokio::test]
async fn connections_are_bounded_and_reused() {
    const CONNECTIONS_MAX: usize = 4;
    let worker =
        ScriptedWorker::fixed(&response_text("200 OK", "", "1"), AfterResponse::KeepOpen).await;
    let client = Arc::new(client());
    client.set_connections_max(CONNECTIONS_MAX as u32);
    let calls: Vec<_> = (0..200)
        .map(|index| {
            let (client, call) = (Arc::clone(&client), call(&worker.address, index));
            tokio::spawn(async move { client.call(&call).await })
        })
        .collect();
    for call in calls {
        assert_eq!(outcome_name(&call.await.unwrap()), "done");
    }
    assert_eq!(worker.open_max(), CONNECTIONS_MAX);
    assert_eq!(
        client.counters().connections_opened.load(Ordering::Relaxed),
        CONNECTIONS_MAX as u64
    );
}

#[tokio::test]
async fn call_without_a_connection_in_time_is_not_run() {
    let worker = ScriptedWorker::start(|_| std::future::pending::<ScriptedResponse>()).await;
    let client = Arc::new(client());
    client.set_connections_max(1);
    let (first, held) = (Arc::clone(&client), call(&worker.address, 0));
    let held = tokio::spawn(async move { first.call(&held).await });
    while worker.requests().is_empty() {
        tokio::task::yield_now().await;
    }
    let second = WorkerCall {
        timeout_ms: 50,
        ..call(&worker.address, 1)
    };
    assert_eq!(outcome_name(&client.call(&second).await), "not_run");
    assert_eq!(worker.requests().len(), 1);
    held.abort();
}

#[tokio::test]
async fn request_names_its_task() {
    let worker =
        ScriptedWorker::fixed(&response_text("200 OK", "", "1"), AfterResponse::KeepOpen).await;
    let traceparent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    let call = WorkerCall {
        traceparent: Some(traceparent.into()),
        attempt: 3,
        ..call(&worker.address, 7)
    };
    client().call(&call).await;
    let request = &worker.requests()[0];
    assert!(request.head.starts_with("POST /run HTTP/1.1\r\n"));
    assert_eq!(request.task(), format!("{KEY}/7/3"));
    assert_eq!(request.header("traceparent"), Some(traceparent));
    assert_eq!(request.header("host"), Some(worker.address.as_str()));
    assert_eq!(request.body, "{\"pay\":12.50}");
}
