//! Measurements of links.

use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use prost::Message as _;
use tokio::sync::mpsc::Receiver;
use trefoil_schema::peer::{
    CancelJob, ForwardJob, Frame, Heartbeat, InstanceRef, InstanceSummary, JobAnswer, Message,
    TaskSpec, message::Body,
};
use trefoilbay::links::{Incoming, LinkSettings, Links};

use crate::{JOB_TASKS, Run, SMALL_BYTES, cpu_ns, proc_status, threads_by_name};

const FLOOD_MESSAGES: u64 = 300_000;
const FOOTPRINT_PEERS: u64 = 200;

fn start(name: &str) -> (Links, Receiver<Incoming>, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let listen = listener.local_addr().unwrap();
    drop(listener);
    let settings = LinkSettings {
        local_instance: instance_ref(name),
        listen,
        ..LinkSettings::default()
    };
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let (links, receiver) = Links::start(settings, log).unwrap();
    (links, receiver, listen)
}

fn instance_ref(name: &str) -> InstanceRef {
    InstanceRef {
        name: name.to_owned(),
        incarnation: 1,
    }
}

fn request(load: &str, request_id: u64) -> Body {
    if load == "small" {
        let key = "k".repeat(SMALL_BYTES);
        return Body::CancelJob(CancelJob { request_id, key });
    }
    let task = TaskSpec {
        payload: vec![1; SMALL_BYTES].into(),
        declared_run_ms: 100,
    };
    Body::ForwardJob(ForwardJob {
        request_id,
        timeout_ms: 10_000,
        tasks: vec![task; JOB_TASKS],
        ..ForwardJob::default()
    })
}

fn answer(request: Body) -> Body {
    match request {
        Body::ForwardJob(job) => Body::JobAnswer(JobAnswer {
            request_id: job.request_id,
            results: job.tasks.into_iter().map(|task| task.payload).collect(),
            ..JobAnswer::default()
        }),
        other => other,
    }
}

fn request_id(body: &Body) -> usize {
    let id = match body {
        Body::CancelJob(cancel) => cancel.request_id,
        Body::ForwardJob(job) => job.request_id,
        Body::JobAnswer(answer) => answer.request_id,
        _ => 0,
    };
    usize::try_from(id).unwrap()
}

/// Measures the time from `send` to the receiving side, with `depth` messages in flight.
pub async fn one_way(load: &str, depth: usize, count: usize) {
    let (a, _at_a, _) = start("a");
    let (_b, at_b, address) = start("b");
    a.set_peer("b", address);
    exchange(&a, at_b, load, depth, count)
        .await
        .print("links one way", load, depth);
}

/// Measures the time from a request to its answer, with `depth` requests in flight.
pub async fn round_trip(load: &str, depth: usize, count: usize) {
    let (a, at_a, a_address) = start("a");
    let (b, mut at_b, b_address) = start("b");
    a.set_peer("b", b_address);
    b.set_peer("a", a_address);
    let server = tokio::spawn(async move {
        while let Some(incoming) = at_b.recv().await {
            b.send_to_any("a", answer(incoming.message)).unwrap();
        }
    });
    exchange(&a, at_a, load, depth, count)
        .await
        .print("links round trip", load, depth);
    server.abort();
}

async fn exchange(
    a: &Links,
    mut arrivals: Receiver<Incoming>,
    load: &str,
    depth: usize,
    count: usize,
) -> Run {
    // Not measured, because the first message establishes the connection.
    a.send_to_any("b", request(load, 0)).unwrap();
    arrivals.recv().await.unwrap();
    let mut sent_at = Vec::with_capacity(count);
    let mut latencies = Vec::with_capacity(count);
    let started = Instant::now();
    while latencies.len() < count {
        while sent_at.len() < count && sent_at.len() - latencies.len() < depth {
            let body = request(load, sent_at.len() as u64);
            sent_at.push(Instant::now());
            a.send_to_any("b", body).unwrap();
        }
        let incoming = arrivals.recv().await.unwrap();
        latencies.push(sent_at[request_id(&incoming.message)].elapsed());
    }
    Run::new(latencies, started)
}

/// Measures the maximum rate of small messages in one direction.
pub async fn throughput() {
    let (a, _at_a, _) = start("a");
    let (b, mut at_b, address) = start("b");
    a.set_peer("b", address);
    let started = Instant::now();
    let sender = a.clone();
    tokio::spawn(async move {
        let mut sent = 0;
        let mut retry_interval = tokio::time::interval(Duration::from_millis(1));
        while sent < FLOOD_MESSAGES {
            match sender.send_to_any("b", request("small", sent)) {
                Ok(()) => sent += 1,
                Err(_) => drop(retry_interval.tick().await),
            }
        }
    });
    let mut arrived = 0;
    let idle = Duration::from_secs(1);
    let mut last = started;
    while let Ok(Some(_)) = tokio::time::timeout(idle, at_b.recv()).await {
        arrived += 1;
        last = Instant::now();
        if arrived == FLOOD_MESSAGES {
            break;
        }
    }
    let rate = arrived as f64 / (last - started).as_secs_f64();
    let stats = a.stats();
    let inbox_full = b.stats().dropped.inbox_full;
    let batch = stats.messages_out as f64 / stats.frames_out as f64;
    let lost = FLOOD_MESSAGES - arrived;
    println!(
        "flood one way: {rate:.0} messages/s, {batch:.1} per frame, {lost} not delivered, {inbox_full} of them because of a full inbox"
    );
}

/// Measures threads and resident memory of many connected links, both ends.
pub async fn footprint() {
    let (a, _at_a, _) = start("a");
    let (_b, mut at_b, address) = start("b");
    let before_kib = proc_status("VmRSS");
    for peer in 0..FOOTPRINT_PEERS {
        let name = format!("peer-{peer}");
        a.set_peer(&name, address);
        a.send_to_any(&name, request("small", peer)).unwrap();
        // All peers share one receiver and send sequence number 1, so only one message is
        // delivered.
    }
    at_b.recv().await.unwrap();
    while a.stats().connects < FOOTPRINT_PEERS {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let kib = proc_status("VmRSS").saturating_sub(before_kib) as f64 / FOOTPRINT_PEERS as f64;
    println!("{FOOTPRINT_PEERS} links: {kib:.1} KiB per link, both ends");
    println!("threads with them: {:?}", threads_by_name());
    let start = (Instant::now(), cpu_ns());
    tokio::time::sleep(Duration::from_secs(2)).await;
    let share = (cpu_ns() - start.1) as f64 / start.0.elapsed().as_nanos() as f64;
    println!("idle: {:.3} % of a core", share * 100.0);
}

/// Prints the size of a heartbeat's frame.
pub fn heartbeat_bytes() {
    for others in [0, 8] {
        let summary = InstanceSummary {
            instance: Some(instance_ref("instance-000-a")),
            domain: "domain-00".to_owned(),
            state: 1,
            config_revision: 1 << 20,
            age_ms: 1_000,
            address: "10.100.100.100:7100".to_owned(),
        };
        let heartbeat = Heartbeat {
            domain: "domain-00".to_owned(),
            state: 1,
            view_version: 1 << 10,
            vouch_until_ms: 1 << 41,
            config_revision: 1 << 20,
            queued_tasks: 1_000,
            running_tasks: 1_000,
            others: vec![summary; others],
            ..Heartbeat::default()
        };
        let frame = Frame {
            from: Some(instance_ref("instance-000-a")),
            sequence: 1 << 20,
            messages: vec![Message {
                body: Some(Body::Heartbeat(heartbeat)),
                ..Message::default()
            }],
        };
        println!(
            "heartbeat with {others} others: {} bytes",
            frame.encoded_len()
        );
    }
}
