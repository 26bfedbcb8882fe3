//! A `trefoild` process under clients that misbehave: large submissions, most of which stop short
//! of their end, and connections without requests.
//!
//! Each test checks that the process is alive, that its memory or its descriptors stayed below a
//! bound, and that ordinary jobs are completed while the crowd's connections are open.

#[allow(dead_code, reason = "shared with the test suite")]
#[path = "../testsuite/support/mod.rs"]
mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use support::deployment::{Deployment, DeploymentOptions, SERVICE, TEAM};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};
use trefoil_fakes::process_usage::{PeakUse, unread_bytes};

/// Half of the memory that an instance may use.
const MEMORY_BYTES_MAX: u64 = 128 << 20;
const DESCRIPTORS_MAX: u64 = 250;
const SETTINGS: &[&str] = &["http.connections_max=100", "http.bodies_bytes_max=16777216"];
/// Size limit of a submission's body.
const BODY_BYTES_MAX: usize = 8 << 20;
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// How long a connection waits until it can send more.
const WRITE_TIMEOUT: Duration = Duration::from_secs(20);
const WRITE_BYTES: usize = 64 * 1024;
/// Interval of the checks whether callers' bytes are still being read.
const READ_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Number of equal samples after which nothing more is read.
const UNCHANGED_SAMPLES: u32 = 20;

/// Tests that run at the same time would share the machine's memory and descriptors.
static SERIAL: Mutex<()> = Mutex::const_new(());

/// Returns the connection even if the process has closed it, or takes no more.
async fn send(address: SocketAddr, request: Arc<[u8]>) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    for part in request.chunks(WRITE_BYTES) {
        let written = timeout(WRITE_TIMEOUT, stream.write_all(part)).await;
        if !matches!(written, Ok(Ok(()))) {
            break;
        }
    }
    Some(stream)
}

/// Waits until the process has read everything from callers, or reads no more.
async fn wait_until_read(address: SocketAddr) {
    let mut unchanged = 0;
    let mut last_bytes = u64::MAX;
    while unchanged < UNCHANGED_SAMPLES {
        sleep(READ_CHECK_INTERVAL).await;
        let bytes = unread_bytes(address);
        unchanged = if bytes == last_bytes {
            unchanged + 1
        } else {
            0
        };
        last_bytes = bytes;
    }
}

/// Starts an instance, sends it requests over many connections at once and checks it.
async fn check_with_crowd(connections: usize, request: impl AsyncFn(&Deployment) -> Vec<u8>) {
    let _serial = SERIAL.lock().await;
    let options = DeploymentOptions {
        instances_per_domain: 1,
        settings: SETTINGS,
        ..DeploymentOptions::default()
    };
    let mut deployment = Deployment::start(options).await;
    let address = deployment.client.entries[0];
    let pid = deployment.instances[0].id().unwrap();
    let peak = Arc::<PeakUse>::default();
    let sampled = Arc::clone(&peak);
    let sampling = tokio::spawn(async move {
        loop {
            sampled.sample(pid, address);
            sleep(SAMPLE_INTERVAL).await;
        }
    });
    let mut sends = JoinSet::new();
    for _ in 0..connections {
        let request = request(&deployment).await.into();
        sends.spawn(send(address, request));
    }
    let crowd = sends.join_all().await;
    wait_until_read(address).await;
    deployment.wait_until_serving_at(&[0]).await;
    drop(crowd);
    sampling.abort();
    let ended = "the process has ended";
    assert_eq!(deployment.instances[0].id(), Some(pid), "{ended}");
    let (memory_bytes, descriptors) = (peak.memory_bytes(), peak.descriptors());
    println!("{memory_bytes} bytes, {descriptors} descriptors");
    assert!(
        memory_bytes <= MEMORY_BYTES_MAX,
        "{memory_bytes} bytes used"
    );
    assert!(descriptors <= DESCRIPTORS_MAX, "{descriptors} descriptors");
}

/// A submission of the maximum size: its headers, without their end, and its body.
async fn submission(deployment: &Deployment) -> (String, Vec<u8>) {
    let key = deployment.client.new_key(0, false).await.unwrap();
    let payload = format!("\"{}\"", "x".repeat(4000));
    let tasks = vec![format!("{{\"payload\":{payload}}}"); 1800].join(",");
    let fields = format!("\"service\":\"{SERVICE}\",\"team\":\"{TEAM}\",\"deadline_ms\":20000");
    let mut body = format!("{{{fields},\"tasks\":[{tasks}]}}").into_bytes();
    body.resize(BODY_BYTES_MAX, b' ');
    let address = deployment.client.entries[0];
    let head = format!("POST /v1/jobs HTTP/1.1\r\nHost: {address}\r\nIdempotency-Key: {key}\r\n");
    (head, body)
}

#[tokio::test]
async fn unfinished_submissions_of_declared_length() {
    check_with_crowd(40, async |deployment| {
        let (head, body) = submission(deployment).await;
        let head = format!("{head}Content-Length: {}\r\n\r\n", body.len());
        [head.as_bytes(), &body[..body.len() - 1]].concat()
    })
    .await;
}

#[tokio::test]
async fn unfinished_submissions_in_chunks() {
    check_with_crowd(40, async |deployment| {
        let (head, body) = submission(deployment).await;
        let head = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
        let chunk = |data: &[u8]| {
            let size = format!("{:x}\r\n", data.len());
            [size.as_bytes(), data, b"\r\n"].concat()
        };
        let chunks = body.chunks(WRITE_BYTES).flat_map(chunk).collect();
        [head.into_bytes(), chunks].concat()
    })
    .await;
}

#[tokio::test]
async fn whole_submissions() {
    check_with_crowd(40, async |deployment| {
        let (head, body) = submission(deployment).await;
        let head = format!("{head}Content-Length: {}\r\n\r\n", body.len());
        [head.as_bytes(), &body].concat()
    })
    .await;
}

#[tokio::test]
async fn unfinished_request_heads() {
    check_with_crowd(300, async |deployment| {
        let (head, _) = submission(deployment).await;
        head.into_bytes()
    })
    .await;
}
