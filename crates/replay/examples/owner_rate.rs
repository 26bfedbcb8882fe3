//! Benchmarks the events of an owner by the length of its queue.
//!
//! `cargo run --release -p trefoil-replay --example owner_rate`

use std::sync::Arc;
use std::time::Instant;

use trefoil_core::dispatch::fence::Fence;
use trefoil_core::dispatch::job::Origin;
use trefoil_core::dispatch::order::RenewOutcome;
use trefoil_core::dispatch::owner::{Command, Owner};
use trefoil_core::dispatch::worker::{Resources, WorkerRecord};
use trefoil_schema::dispatch::{Job, Phase};

/// Workers of the pool, as many as the largest pools have.
const WORKERS: usize = 60;
const ORIGIN: Origin = Origin::Link(1);
/// Events averaged for each result.
const EVENTS: usize = 200;

fn main() {
    println!("{:>7} {:>12} {:>9}", "waiting", "delegate us", "tick us");
    for waiting in [0, 10, 30, 100, 300] {
        let mut owner = owner();
        // Distant objectives, so that every job is admitted and waits.
        fill(&mut owner, 100, 100_000.0, "running");
        fill(&mut owner, waiting, 100_000.0, "waiting");
        let begun = Instant::now();
        for index in 0..EVENTS {
            let mut out = Vec::new();
            let spec = job(&format!("{index:016x}"), 1.6);
            owner.delegate(1000, ORIGIN, spec, 0, None, &mut out);
        }
        let delegate_us = begun.elapsed().as_secs_f64() * 1e6 / EVENTS as f64;
        let begun = Instant::now();
        for _ in 0..EVENTS {
            owner.tick(1000, &mut Vec::new());
        }
        let tick_us = begun.elapsed().as_secs_f64() * 1e6 / EVENTS as f64;
        println!("{waiting:>7} {delegate_us:>12.1} {tick_us:>9.1}");
    }
}

fn fill(owner: &mut Owner, jobs: usize, stretch: f64, name: &str) {
    for index in 0..jobs {
        let spec = job(&format!("{name}{index}"), stretch);
        owner.delegate(10, ORIGIN, spec, 0, None, &mut Vec::new());
    }
}

fn job(id: &str, stretch: f64) -> Job {
    Job {
        id: id.to_owned(),
        service: "service".to_owned(),
        attempts_max: 4,
        stretch,
        slo_ms: 60,
        class: "class".to_owned(),
        phases: vec![Phase {
            count: 4,
            cpu_millicores: 8000,
            memory_mb: 64,
            estimate_ms: 5000,
            ..Phase::default()
        }],
        ..Job::default()
    }
}

/// An owner with fenced, idle workers.
fn owner() -> Owner {
    let mut owner = Owner::new("pool", Fence::new(1, "owner"), 1);
    let records = (0..WORKERS).map(|index| WorkerRecord {
        id: Arc::from(format!("w{index}")),
        address: Arc::from("address"),
        failure_domain: Arc::from("domain"),
        service: Arc::from("service"),
        draining: false,
        departure: None,
        capacity: Resources {
            cpu_millicores: 16_000,
            memory_mb: 65_536,
            gpus: 0,
        },
        labels: [Arc::from("a")].into_iter().collect(),
        born_ms: None,
        revision: 0,
    });
    let mut out = Vec::new();
    owner.set_workers(0, records.collect(), &mut out);
    for command in out {
        if let Command::Renew(order) = command {
            let held = RenewOutcome::Renewed {
                born_ms: None,
                clock_ms: 1,
                running: Vec::new(),
                completions: Vec::new(),
            };
            let (worker, fence) = (order.target.worker, order.target.fence);
            let number = order.number;
            owner.on_renew_result(1, worker, fence, number, held, &mut Vec::new());
        }
    }
    owner
}
