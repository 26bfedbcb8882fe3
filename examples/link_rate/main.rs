//! Measures links between two instances on loopback and, as a baseline, TCP echo, in one
//! process: `cargo run --release --example link_rate`.

mod echo;
mod links;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Size of a small message and of a task's payload.
const SMALL_BYTES: usize = 200;
/// Tasks of a job, each with a payload in both directions.
const JOB_TASKS: usize = 100;
const DEPTHS: [usize; 2] = [1, 64];
const ROUNDS: usize = 3;

/// Sorted latencies of a run and its duration.
pub struct Run {
    latencies: Vec<Duration>,
    elapsed: Duration,
}

impl Run {
    fn new(mut latencies: Vec<Duration>, started: Instant) -> Self {
        let elapsed = started.elapsed();
        latencies.sort_unstable();
        Self { latencies, elapsed }
    }

    fn quantile_us(&self, quantile: f64) -> f64 {
        let last = self.latencies.len() - 1;
        let index = (last as f64 * quantile) as usize;
        self.latencies[index].as_secs_f64() * 1e6
    }

    fn print(&self, path: &str, load: &str, depth: usize) {
        let rate = self.latencies.len() as f64 / self.elapsed.as_secs_f64();
        let (p50, p99) = (self.quantile_us(0.5), self.quantile_us(0.99));
        println!("{path:<22} {load:<6} {depth:>5} {p50:>9.0} {p99:>9.0} {rate:>9.0}");
    }
}

/// Number of exchanges of a run.
fn exchange_count(load: &str, depth: usize) -> usize {
    match (load, depth) {
        ("small", 1) => 5_000,
        ("small", _) => 50_000,
        (_, 1) => 2_000,
        _ => 10_000,
    }
}

/// Reads a number from `/proc/self/status`.
fn proc_status(field: &str) -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with(field));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}

/// Number of threads of this process by name.
fn threads_by_name() -> BTreeMap<String, usize> {
    let mut names = BTreeMap::new();
    let tasks = std::fs::read_dir("/proc/self/task").into_iter().flatten();
    for task in tasks.flatten() {
        let name = std::fs::read_to_string(task.path().join("comm")).unwrap_or_default();
        *names.entry(name.trim().to_owned()).or_default() += 1;
    }
    names
}

/// CPU time of this process's threads, in nanoseconds.
fn cpu_ns() -> u64 {
    let tasks = std::fs::read_dir("/proc/self/task").into_iter().flatten();
    let thread_ns = |task: std::fs::DirEntry| {
        let text = std::fs::read_to_string(task.path().join("schedstat")).unwrap_or_default();
        let first = text.split_whitespace().next().map(str::parse::<u64>);
        first.and_then(Result::ok).unwrap_or(0)
    };
    tasks.flatten().map(thread_ns).sum()
}

#[tokio::main(worker_threads = 4)]
async fn main() {
    println!(
        "threads before the links: {}, load {}",
        proc_status("Threads"),
        std::fs::read_to_string("/proc/loadavg")
            .unwrap_or_default()
            .trim()
    );
    links::footprint().await;
    println!("path                   load   depth    p50 us    p99 us      per s");
    for _ in 0..ROUNDS {
        for (load, bytes) in [("small", SMALL_BYTES), ("job", SMALL_BYTES * JOB_TASKS)] {
            for depth in DEPTHS {
                let count = exchange_count(load, depth);
                links::one_way(load, depth, count).await;
                links::round_trip(load, depth, count).await;
                echo::round_trip(bytes, depth, count)
                    .await
                    .print("tcp echo", load, depth);
            }
        }
        links::throughput().await;
    }
    links::heartbeat_bytes();
}
