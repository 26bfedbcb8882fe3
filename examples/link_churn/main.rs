//! Stress test of links: a peer restarts repeatedly while others send to it.
//!
//! `cargo run --example link_churn -- SECONDS` prints the number of restarts. It fails if
//! the process crashes; see `docs/design/links.md`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use trefoil_schema::peer::message::Body;
use trefoil_schema::peer::{CancelJob, InstanceRef};
use trefoilbay::links::{LinkSettings, Links};

const SENDERS: usize = 8;
const DEFAULT_SECONDS: u64 = 10;

#[tokio::main]
async fn main() {
    let seconds = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let limit = Duration::from_secs(seconds.unwrap_or(DEFAULT_SECONDS));
    let started = Instant::now();
    let stop = Arc::new(AtomicBool::new(false));
    let target = address(0);
    let senders: Vec<Links> = (0..SENDERS).map(|index| sender(index, target)).collect();
    let threads: Vec<_> = senders
        .iter()
        .map(|links| {
            let (links, stop) = (links.clone(), stop.clone());
            std::thread::spawn(move || send_until(&links, &stop))
        })
        .collect();
    let mut restarts = 0;
    while started.elapsed() < limit {
        restarts += 1;
        let (links, mut incoming) = start("target", restarts, target);
        for index in 0..SENDERS {
            links.set_peer(&name(index), address(index + 1));
        }
        let deadline = Instant::now() + Duration::from_millis(5 + restarts % 40);
        while Instant::now() < deadline {
            for index in 0..SENDERS {
                let _ = links.send_to_any(&name(index), message());
            }
            let _ = tokio::time::timeout(Duration::from_millis(1), incoming.recv()).await;
        }
        tokio::task::spawn_blocking(move || drop(links))
            .await
            .unwrap();
    }
    stop.store(true, Ordering::Relaxed);
    threads
        .into_iter()
        .for_each(|thread| thread.join().unwrap());
    println!("{restarts} restarts in {:?}, no crash", started.elapsed());
}

fn sender(index: usize, target: SocketAddr) -> Links {
    let (links, mut incoming) = start(&name(index), 1, address(index + 1));
    tokio::spawn(async move { while incoming.recv().await.is_some() {} });
    links.set_peer("target", target);
    links
}

fn send_until(links: &Links, stop: &AtomicBool) {
    while !stop.load(Ordering::Relaxed) {
        let _ = links.send_to_any("target", message());
        std::thread::sleep(Duration::from_micros(200));
    }
}

fn start(
    name: &str,
    incarnation: u64,
    listen: SocketAddr,
) -> (
    Links,
    tokio::sync::mpsc::Receiver<trefoilbay::links::Incoming>,
) {
    let local_instance = InstanceRef {
        name: name.to_owned(),
        incarnation,
    };
    let settings = LinkSettings {
        local_instance,
        listen,
        ..LinkSettings::default()
    };
    let log = slog::Logger::root(slog::Discard, slog::o!());
    Links::start(settings, log).expect("a free address")
}

fn name(index: usize) -> String {
    format!("sender-{index}")
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from((
        [127, 3, 7, 1],
        7500 + u16::try_from(index).expect("few senders"),
    ))
}

fn message() -> Body {
    Body::CancelJob(CancelJob {
        request_id: 1,
        key: "k".repeat(200),
    })
}
