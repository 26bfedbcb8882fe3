//! Whether the worker client says truthfully that a task may have run.

pub mod script;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use script::{Reply, ScriptWorker, Then, answer};
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

/// The outcome without its text for people.
fn kind(outcome: &TaskOutcome) -> &'static str {
    match outcome {
        TaskOutcome::Done(_) => "done",
        TaskOutcome::Failed(_) => "failed",
        TaskOutcome::NotRun(_) => "not_run",
        TaskOutcome::MayHaveRun(_) => "may_have_run",
    }
}

/// Outcome and number of requests read for one call to a fixed answer.
async fn outcome_of(text: &str, then: Then) -> (&'static str, usize) {
    let worker = ScriptWorker::fixed(text, then).await;
    let outcome = client().call(&call(&worker.address, 0)).await;
    (kind(&outcome), worker.seen().len())
}

#[tokio::test]
async fn answers_are_classified() {
    let long = format!("\"{}\"", "x".repeat(RESULT_BYTES_MAX));
    let rows = [
        (
            "200 echo",
            answer("200 OK", "trefoil-task: 1764691200000-week-49/0/1\r\n", "1"),
            "done",
        ),
        ("200 no echo", answer("200 OK", "", "{\"a\":[1]}"), "done"),
        ("200 empty", answer("200 OK", "", ""), "done"),
        (
            "200 chunked",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\n12\r\n0\r\n\r\n".into(),
            "done",
        ),
        (
            "200 other task",
            answer("200 OK", "trefoil-task: 1764691200000-week-49/1/1\r\n", "1"),
            "may_have_run",
        ),
        (
            "200 other attempt",
            answer("200 OK", "trefoil-task: 1764691200000-week-49/0/2\r\n", "1"),
            "may_have_run",
        ),
        ("200 not JSON", answer("200 OK", "", "1 2"), "failed"),
        ("200 oversized", answer("200 OK", "", &long), "may_have_run"),
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
        ("429", answer("429 Too Many Requests", "", ""), "not_run"),
        (
            "503",
            answer("503 Service Unavailable", "", "busy"),
            "not_run",
        ),
        (
            "503 other task",
            answer("503 Service Unavailable", "trefoil-task: x/0/1\r\n", ""),
            "may_have_run",
        ),
        (
            "500",
            answer("500 Internal Server Error", "", "no"),
            "failed",
        ),
        ("404", answer("404 Not Found", "", ""), "failed"),
        ("302", answer("302 Found", "location: /\r\n", ""), "failed"),
    ];
    for (name, text, expected) in rows {
        let outcome = outcome_of(&text, Then::Close).await;
        assert_eq!(outcome, (expected, 1), "{name}");
    }
}

#[tokio::test]
async fn nothing_listens() {
    // Bound but not listening, so that nobody else can take the port.
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let closed = socket.local_addr().unwrap().to_string();
    for address in [closed.as_str(), "no-address"] {
        let outcome = client().call(&call(address, 0)).await;
        assert_eq!(kind(&outcome), "not_run", "{address}: {outcome:?}");
    }
}

#[tokio::test]
async fn closes_before_reading() {
    let worker = ScriptWorker::closing().await;
    for index in 0..200 {
        let outcome = client().call(&call(&worker.address, index)).await;
        // Whether the socket took bytes before it closed is up to the kernel.
        assert!(
            ["not_run", "may_have_run"].contains(&kind(&outcome)),
            "{outcome:?}"
        );
    }
}

#[tokio::test]
async fn silent_worker_may_have_run() {
    let worker = ScriptWorker::start(|_| std::future::pending::<Reply>()).await;
    let call = WorkerCall {
        timeout_ms: 50,
        ..call(&worker.address, 0)
    };
    assert_eq!(kind(&client().call(&call).await), "may_have_run");
    assert_eq!(worker.seen().len(), 1);
}

#[tokio::test]
async fn crossed_answer_is_counted_and_its_connection_closed() {
    let crossed = answer("200 OK", "trefoil-task: another/0/1\r\n", "1");
    let worker = ScriptWorker::fixed(&crossed, Then::KeepOpen).await;
    let client = client();
    for index in 0..3 {
        let outcome = client.call(&call(&worker.address, index)).await;
        assert_eq!(kind(&outcome), "may_have_run");
    }
    assert_eq!(client.counters().crossed_answers.load(Ordering::Relaxed), 3);
    assert_eq!(
        client.counters().connections_opened.load(Ordering::Relaxed),
        3
    );
}

/// An answer that comes after its call gave up must not reach the next call.
#[tokio::test]
async fn late_answer_is_not_the_next_calls() {
    let gate = Arc::new(Semaphore::new(0));
    let held = Arc::clone(&gate);
    let worker = ScriptWorker::start(move |seen| {
        let held = Arc::clone(&held);
        async move {
            if seen.task().ends_with("/0/1") {
                held.acquire().await.unwrap().forget();
            }
            let body = format!("\"{}\"", seen.task());
            Reply {
                text: answer("200 OK", "", &body),
                then: Then::KeepOpen,
            }
        }
    })
    .await;
    let client = client();
    let late = WorkerCall {
        timeout_ms: 50,
        ..call(&worker.address, 0)
    };
    assert_eq!(kind(&client.call(&late).await), "may_have_run");
    gate.add_permits(1);
    for index in 1..20 {
        let outcome = client.call(&call(&worker.address, index)).await;
        let expected = format!("\"{KEY}/{index}/1\"");
        assert_eq!(outcome, TaskOutcome::Done(expected.into()));
    }
}

#[tokio::test]
async fn unasked_answer_on_an_idle_connection_is_not_taken() {
    let twice = answer("200 OK", "", "1").repeat(2);
    let worker = ScriptWorker::fixed(&twice, Then::KeepOpen).await;
    let client = client();
    for index in 0..50 {
        let outcome = client.call(&call(&worker.address, index)).await;
        assert_eq!(kind(&outcome), "done");
    }
    assert!(worker.starts().values().all(|starts| *starts == 1));
    assert_eq!(
        client.counters().connections_opened.load(Ordering::Relaxed),
        50
    );
}

/// The worker closes kept-alive connections at any moment after its answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn idle_connection_closed_then_reused_starts_once() {
    const CALLS: u32 = 2000;
    let worker = ScriptWorker::start(|seen| async move {
        let index: u64 = seen.task().split('/').nth(1).unwrap().parse().unwrap();
        let then = match index % 2 {
            0 => Then::KeepOpen,
            _ => Then::CloseAfter(Duration::from_micros(index * 7 % 200)),
        };
        Reply {
            text: answer("200 OK", "", "1"),
            then,
        }
    })
    .await;
    let client = client();
    let mut outcomes = Vec::new();
    for index in 0..CALLS {
        let outcome = client.call(&call(&worker.address, index)).await;
        outcomes.push((index, kind(&outcome)));
        script::pause(Duration::from_micros(u64::from(index) * 11 % 200)).await;
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
    let count = |kind: &str| outcomes.iter().filter(|(_, found)| *found == kind).count();
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
    const BOUND: usize = 4;
    let worker = ScriptWorker::fixed(&answer("200 OK", "", "1"), Then::KeepOpen).await;
    let client = Arc::new(client());
    client.set_connections_max(BOUND as u32);
    let calls: Vec<_> = (0..200)
        .map(|index| {
            let (client, call) = (Arc::clone(&client), call(&worker.address, index));
            tokio::spawn(async move { client.call(&call).await })
        })
        .collect();
    for call in calls {
        assert_eq!(kind(&call.await.unwrap()), "done");
    }
    assert_eq!(worker.open_max(), BOUND);
    assert_eq!(
        client.counters().connections_opened.load(Ordering::Relaxed),
        BOUND as u64
    );
}

#[tokio::test]
async fn call_without_a_connection_in_time_is_not_run() {
    let worker = ScriptWorker::start(|_| std::future::pending::<Reply>()).await;
    let client = Arc::new(client());
    client.set_connections_max(1);
    let (first, held) = (Arc::clone(&client), call(&worker.address, 0));
    let held = tokio::spawn(async move { first.call(&held).await });
    while worker.seen().is_empty() {
        tokio::task::yield_now().await;
    }
    let second = WorkerCall {
        timeout_ms: 50,
        ..call(&worker.address, 1)
    };
    assert_eq!(kind(&client.call(&second).await), "not_run");
    assert_eq!(worker.seen().len(), 1);
    held.abort();
}

#[tokio::test]
async fn request_names_its_task() {
    let worker = ScriptWorker::fixed(&answer("200 OK", "", "1"), Then::KeepOpen).await;
    let traceparent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    let call = WorkerCall {
        traceparent: Some(traceparent.into()),
        attempt: 3,
        ..call(&worker.address, 7)
    };
    client().call(&call).await;
    let seen = &worker.seen()[0];
    assert!(seen.head.starts_with("POST /run HTTP/1.1\r\n"));
    assert_eq!(seen.task(), format!("{KEY}/7/3"));
    assert_eq!(seen.header("traceparent"), Some(traceparent));
    assert_eq!(seen.header("host"), Some(worker.address.as_str()));
    assert_eq!(seen.body, "{\"pay\":12.50}");
}
