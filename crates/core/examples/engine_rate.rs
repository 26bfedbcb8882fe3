//! Measures the engine alone: task starts a second on one and several threads,
//! and memory for each queued task and remembered key.
//!
//! `cargo run --release -p trefoil-core --example engine_rate [CASE]`, where
//! CASE is `rate`, `key`, `task` or `tasks`; the memory cases want a process of
//! their own, since memory freed by one would hide what the next takes.

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

/// Workers of each service.
const WORKERS: usize = 50;
/// Slots of each worker.
const SLOTS: u32 = 8;
/// Jobs in work for each service.
const JOBS_IN_WORK: i64 = 100;
/// Time measured for each case.
const TIME: Duration = Duration::from_secs(2);
/// Longest time a job has; nothing is late here.
const TIMEOUT_MS: u64 = 300_000;
/// Tasks queued for the memory figure.
const QUEUED_TASKS: u64 = 1_000_000;
/// Keys remembered for the memory figure.
const REMEMBERED_KEYS: u64 = 200_000;
/// Bytes of a page, in which the kernel counts memory.
const PAGE_BYTES: u64 = 4096;

fn main() {
    let case = std::env::args().nth(1).unwrap_or_default();
    match case.as_str() {
        "key" => println!("bytes a remembered key: {}", bytes_a_key()),
        "task" => println!("bytes a queued task, jobs of 1: {}", bytes_a_task(1)),
        "tasks" => println!("bytes a queued task, jobs of 100: {}", bytes_a_task(100)),
        _ => rates(),
    }
}

fn rates() {
    println!("{:44} {:>12} {:>12}", "case", "starts/s", "us a start");
    for tasks in [1, 10, 100, 1000] {
        let name = format!("1 thread, 1 service, jobs of {tasks}");
        report(&name, 1, rate(1, 1, tasks));
    }
    for threads in [2, 4] {
        let name = format!("{threads} threads, 1 service, jobs of 10");
        report(&name, threads, rate(threads, 1, 10));
        let name = format!("{threads} threads, {threads} services, jobs of 10");
        report(&name, threads, rate(threads, threads, 10));
    }
}

fn report(name: &str, threads: usize, starts_per_s: f64) {
    let us = threads as f64 * 1e6 / starts_per_s;
    println!("{name:44} {starts_per_s:12.0} {us:12.2}");
}

fn declaration(services: usize) -> ConfigSnapshot {
    let mut all = config(WORKERS, SLOTS);
    let workers: Vec<_> = all.backend_servers.values().cloned().collect();
    for service in 0..services {
        let name = format!("service-{service}");
        all.services
            .insert(name.as_str().into(), declared(ServiceSpec::default()));
        for (number, worker) in workers.iter().enumerate() {
            let mut worker = worker.clone();
            worker.spec.service = name.clone();
            let name = format!("{name}-{number}");
            all.backend_servers.insert(name.as_str().into(), worker);
        }
    }
    all
}

fn engine(services: usize) -> Engine {
    let mut settings = EngineSettings::default();
    settings.jobs.keys_max = u64::MAX;
    settings.placement.queue_tasks_max = u32::MAX;
    let engine = Engine::new(settings);
    engine.set_admission_limit(u64::MAX);
    engine.set_domain_members(now(0), "a", &["a".to_owned()], &mut Vec::new());
    engine.set_config(now(0), &declaration(services), &mut Vec::new());
    engine
}

fn now(ms: u64) -> Now {
    Now {
        mono_ms: ms,
        wall_ms: START_WALL_MS + ms,
    }
}

fn rate(threads: usize, services: usize, tasks: usize) -> f64 {
    let engine = Arc::new(engine(services));
    let in_work: Vec<_> = (0..services).map(|_| Arc::new(AtomicI64::new(0))).collect();
    let started = Instant::now();
    let drivers: Vec<_> = (0..threads)
        .map(|number| {
            let engine = Arc::clone(&engine);
            let in_work = Arc::clone(&in_work[number % services]);
            let service = format!("service-{}", number % services);
            thread::spawn(move || Driver::new(&engine, number, &service, tasks, in_work).drive())
        })
        .collect();
    let starts: u64 = drivers
        .into_iter()
        .map(|driver| driver.join().expect("no panic"))
        .sum();
    starts as f64 / started.elapsed().as_secs_f64()
}

/// One thread that submits jobs and answers tasks at once.
struct Driver<'a> {
    engine: &'a Engine,
    number: usize,
    service: Arc<str>,
    tasks: usize,
    submitted: u64,
    /// Jobs in work for the service, of all threads.
    in_work: Arc<AtomicI64>,
    out: Vec<Command>,
    placed: VecDeque<TaskId>,
}

impl<'a> Driver<'a> {
    fn new(
        engine: &'a Engine,
        number: usize,
        service: &str,
        tasks: usize,
        in_work: Arc<AtomicI64>,
    ) -> Self {
        Self {
            engine,
            number,
            service: service.into(),
            tasks,
            submitted: 0,
            in_work,
            out: Vec::new(),
            placed: VecDeque::new(),
        }
    }

    fn drive(mut self) -> u64 {
        let started = Instant::now();
        let mut starts = 0;
        let mut now_ms = 1;
        while started.elapsed() < TIME {
            now_ms += 1;
            for _ in self.in_work.load(Ordering::Relaxed)..JOBS_IN_WORK {
                self.submit(now(now_ms));
            }
            for _ in 0..100 {
                let Some(task) = self.placed.pop_front() else {
                    break;
                };
                starts += 1;
                let outcome = TaskOutcome::Done(Bytes::new());
                self.engine
                    .task_finished(now(now_ms), task, outcome, &mut self.out);
                self.take_commands();
            }
            self.engine.tick(now(now_ms), &mut self.out);
            self.take_commands();
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
        self.in_work.fetch_add(1, Ordering::Relaxed);
        self.engine
            .submit(now, submission, WaiterId(random), true, &mut self.out);
        self.take_commands();
    }

    fn take_commands(&mut self) {
        for command in self.out.drain(..) {
            match command {
                Command::StartTask { task, .. } => self.placed.push_back(task),
                // What ends here may be another thread's job.
                Command::Answer { answer, .. } => {
                    assert!(matches!(answer, JobAnswer::Known { .. }), "{answer:?}");
                    self.in_work.fetch_sub(1, Ordering::Relaxed);
                }
            }
        }
    }
}

fn bytes_a_task(tasks: usize) -> u64 {
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

fn bytes_a_key() -> u64 {
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
    let statm = fs::read_to_string("/proc/self/statm").expect("the kernel counts memory");
    let pages = statm.split_whitespace().nth(1).expect("has a second field");
    pages.parse::<u64>().expect("is a number") * PAGE_BYTES
}
