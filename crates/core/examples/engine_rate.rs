//! Benchmarks the engine: task starts per second on one or more threads, and memory
//! per queued task and per remembered key.
//!
//! `cargo run --release -p trefoil-core --example engine_rate [CASE]`, where
//! CASE is `rate`, `key`, `task` or `tasks`. Each memory case needs a separate
//! process, because freed memory would be reused without showing up in the result.

#[path = "../tests/engine_support/mod.rs"]
mod engine_support;

use std::collections::VecDeque;
use std::fs;
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use engine_support::{START_WALL_MS, config, declared, submission};
use trefoil_core::config::ConfigSnapshot;
use trefoil_core::engine::*;
use trefoil_core::key::JobKey;
use trefoil_core::time::Now;
use trefoil_schema::resources::ServiceSpec;

const WORKERS_PER_SERVICE: usize = 50;
const SLOTS_PER_WORKER: u32 = 8;
/// Number of jobs per service that the threads keep in flight.
const JOBS_IN_FLIGHT: i64 = 100;
const DURATION_PER_CASE: Duration = Duration::from_secs(2);
/// Timeout of the jobs, long enough that none reaches it.
const TIMEOUT_MS: u64 = 300_000;
const QUEUED_TASKS: u64 = 1_000_000;
const REMEMBERED_KEYS: u64 = 200_000;
/// Size of the pages counted in `/proc/self/statm`.
const PAGE_BYTES: u64 = 4096;

fn main() {
    let case = std::env::args().nth(1).unwrap_or_default();
    match case.as_str() {
        "key" => println!("bytes per remembered key: {}", bytes_per_key()),
        "task" => println!("bytes per queued task, jobs of 1: {}", bytes_per_task(1)),
        "tasks" => println!(
            "bytes per queued task, jobs of 100: {}",
            bytes_per_task(100)
        ),
        _ => print_rates(),
    }
}

fn print_rates() {
    println!("{:44} {:>12} {:>12}", "case", "starts/s", "us/start");
    for tasks in [1, 10, 100, 1000] {
        let name = format!("1 thread, 1 service, jobs of {tasks}");
        print_rate(&name, 1, starts_per_second(1, 1, tasks));
    }
    for threads in [2, 4] {
        let name = format!("{threads} threads, 1 service, jobs of 10");
        print_rate(&name, threads, starts_per_second(threads, 1, 10));
        let name = format!("{threads} threads, {threads} services, jobs of 10");
        print_rate(&name, threads, starts_per_second(threads, threads, 10));
    }
}

fn print_rate(name: &str, threads: usize, starts_per_s: f64) {
    let us = threads as f64 * 1e6 / starts_per_s;
    println!("{name:44} {starts_per_s:12.0} {us:12.2}");
}

fn declarations(services: usize) -> ConfigSnapshot {
    let mut config = config(WORKERS_PER_SERVICE, SLOTS_PER_WORKER);
    let workers: Vec<_> = config.backend_servers.values().cloned().collect();
    for service in 0..services {
        let name = format!("service-{service}");
        config
            .services
            .insert(name.as_str().into(), declared(ServiceSpec::default()));
        for (number, worker) in workers.iter().enumerate() {
            let mut worker = worker.clone();
            worker.spec.service = name.clone();
            let name = format!("{name}-{number}");
            config.backend_servers.insert(name.as_str().into(), worker);
        }
    }
    config
}

fn engine(services: usize) -> Engine {
    let mut settings = EngineSettings::default();
    settings.jobs.keys_max = u64::MAX;
    settings.placement.queue_tasks_max = u32::MAX;
    let engine = Engine::new(settings);
    engine.set_admission_limit(u64::MAX);
    engine.set_domain_members(now(0), "a", &["a".to_owned()], &mut Vec::new());
    engine.set_config(now(0), &declarations(services), &mut Vec::new());
    engine
}

fn now(ms: u64) -> Now {
    Now {
        mono_ms: ms,
        wall_ms: START_WALL_MS + ms,
    }
}

fn starts_per_second(threads: usize, services: usize, tasks: usize) -> f64 {
    let engine = Arc::new(engine(services));
    let in_flight: Vec<_> = (0..services).map(|_| Arc::new(AtomicI64::new(0))).collect();
    let started = Instant::now();
    let generators: Vec<_> = (0..threads)
        .map(|number| {
            let engine = Arc::clone(&engine);
            let in_flight = Arc::clone(&in_flight[number % services]);
            let service = format!("service-{}", number % services);
            thread::spawn(move || {
                LoadGenerator::new(&engine, number, &service, tasks, in_flight).run()
            })
        })
        .collect();
    let starts: u64 = generators
        .into_iter()
        .map(|generator| generator.join().expect("load generators do not panic"))
        .sum();
    starts as f64 / started.elapsed().as_secs_f64()
}

/// Load generator of one thread, which submits jobs and completes each task as soon as
/// it starts.
struct LoadGenerator<'a> {
    engine: &'a Engine,
    number: usize,
    service: Arc<str>,
    tasks: usize,
    submitted: u64,
    /// Number of jobs of the service in flight, over all threads.
    in_flight: Arc<AtomicI64>,
    out: Vec<Command>,
    started_tasks: VecDeque<TaskId>,
}

impl<'a> LoadGenerator<'a> {
    fn new(
        engine: &'a Engine,
        number: usize,
        service: &str,
        tasks: usize,
        in_flight: Arc<AtomicI64>,
    ) -> Self {
        Self {
            engine,
            number,
            service: service.into(),
            tasks,
            submitted: 0,
            in_flight,
            out: Vec::new(),
            started_tasks: VecDeque::new(),
        }
    }

    /// Runs for [`DURATION_PER_CASE`] and returns the number of task starts.
    fn run(mut self) -> u64 {
        let started = Instant::now();
        let mut starts = 0;
        let mut now_ms = 1;
        while started.elapsed() < DURATION_PER_CASE {
            now_ms += 1;
            for _ in self.in_flight.load(Ordering::Relaxed)..JOBS_IN_FLIGHT {
                self.submit(now(now_ms));
            }
            for _ in 0..100 {
                let Some(task) = self.started_tasks.pop_front() else {
                    break;
                };
                starts += 1;
                let outcome = TaskOutcome::Done(Bytes::new());
                self.engine
                    .task_finished(now(now_ms), task, outcome, &mut self.out);
                self.process_commands();
            }
            self.engine.tick(now(now_ms), &mut self.out);
            self.process_commands();
        }
        starts
    }

    fn submit(&mut self, now: Now) {
        self.submitted += 1;
        let random = (self.number as u64) << 48 | self.submitted;
        let key = JobKey::mint("local", now.wall_ms, random);
        let submission = Submission {
            service: Arc::clone(&self.service),
            ..submission(&key, self.tasks, TIMEOUT_MS)
        };
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        self.engine
            .submit(now, submission, WaiterId(random), true, &mut self.out);
        self.process_commands();
    }

    fn process_commands(&mut self) {
        for command in self.out.drain(..) {
            match command {
                Command::StartTask { task, .. } => self.started_tasks.push_back(task),
                // The job may have been submitted by another thread.
                Command::Answer { answer, .. } => {
                    assert!(matches!(answer, JobAnswer::Known { .. }), "{answer:?}");
                    self.in_flight.fetch_sub(1, Ordering::Relaxed);
                }
            }
        }
    }
}

fn bytes_per_task(tasks: usize) -> u64 {
    let engine = engine(1);
    let mut out = Vec::new();
    let jobs = QUEUED_TASKS / tasks as u64;
    let before = resident_bytes();
    for number in 0..jobs {
        let key = JobKey::mint("local", START_WALL_MS, number);
        let submission = submission(&key, tasks, TIMEOUT_MS);
        engine.submit(now(0), submission, WaiterId(number), true, &mut out);
        out.clear();
    }
    let queued = engine.stats().tasks_queued;
    resident_bytes().saturating_sub(before) / queued
}

fn bytes_per_key() -> u64 {
    let engine = engine(1);
    let mut out = Vec::new();
    let before = resident_bytes();
    for number in 0..REMEMBERED_KEYS {
        let key = JobKey::mint("local", START_WALL_MS, number);
        let submission = submission(&key, 1, TIMEOUT_MS);
        engine.submit(now(0), submission, WaiterId(number), true, &mut out);
        for command in std::mem::take(&mut out) {
            if let Command::StartTask { task, .. } = command {
                let outcome = TaskOutcome::Done(Bytes::new());
                engine.task_finished(now(0), task, outcome, &mut Vec::new());
            }
        }
    }
    resident_bytes().saturating_sub(before) / engine.stats().keys
}

fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").expect("/proc/self/statm is readable");
    let pages = statm
        .split_whitespace()
        .nth(1)
        .expect("statm has a second field");
    pages.parse::<u64>().expect("page count is a number") * PAGE_BYTES
}
