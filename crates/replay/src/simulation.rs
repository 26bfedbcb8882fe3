//! Discrete-event simulation of a deployment in virtual time.
//!
//! * [`callers`]: requests, answers and retries.
//! * [`commands`]: effects of the commands of entries and owners.
//! * [`orders`]: how workers carry out orders, and their answers.
//! * [`topology`]: pools, workers and their capacity.

mod callers;
mod commands;
mod orders;
mod topology;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::sync::Arc;

use trefoil_core::dispatch::entry::{Entry, PoolOwner};
use trefoil_core::dispatch::fence::Fence;
use trefoil_core::dispatch::job::Origin;
use trefoil_core::dispatch::limits::HEARTBEAT_MS;
use trefoil_core::dispatch::order::{
    RenewOrder, RenewOutcome, RunOutcome, StartOrder, StopOrder, WorkerKey,
};
use trefoil_core::dispatch::owner::{self, OrderResult, Owner};
use trefoil_core::dispatch::worker::{Departure, WorkerRecord};
use trefoil_schema::dispatch::{Claim, Job, Node};
use xxhash_rust::xxh3::xxh3_64;

use crate::arrivals::Arrival;
use crate::pattern::{Disturbance, Pattern};
use crate::stats::CallerOutcome;
use crate::worker::Worker;
use callers::Attempt;
pub use callers::{ReplayOutcomes, RetryOutcome};
pub use topology::capacity_at;

/// One-way latency between two instances, or an instance and a worker.
const ONE_WAY_MS: u64 = 1;
/// Tick interval of entries and owners.
const TICK_MS: u64 = 25;
/// Interval at which owners read the worker registry.
const REGISTRY_POLL_MS: u64 = 700;
/// Time from a worker's drain announcement to its exit, unless it has announced another.
const WORKER_DRAIN_MS: u64 = 4000;
/// Virtual time of the first request; before it, owners fence their workers.
const WARM_UP_MS: u64 = 1000;
/// Time after the last arrival in which outstanding jobs can end.
const COOL_DOWN_MS: u64 = 12_000;

#[derive(Debug)]
enum Event {
    Request(Attempt),
    CallerAbandons(Attempt),
    Delegate {
        entry: usize,
        pool: usize,
        spec: Box<Job>,
        unsafe_for_ms: u64,
    },
    Cancel {
        entry: usize,
        pool: usize,
        job_id: String,
    },
    JobEnded {
        entry: usize,
        pool: usize,
        result: owner::JobResult,
    },
    Start {
        pool: usize,
        order: StartOrder,
    },
    Stop {
        pool: usize,
        order: StopOrder,
    },
    Renew {
        pool: usize,
        order: RenewOrder,
    },
    StartResult {
        pool: usize,
        result: OrderResult,
    },
    StopResult {
        pool: usize,
        result: OrderResult,
    },
    RenewResult {
        pool: usize,
        worker: WorkerKey,
        fence: Fence,
        number: u64,
        outcome: RenewOutcome,
    },
    RunEnds {
        worker: usize,
        task: Arc<str>,
        run_id: u64,
        outcome: RunOutcome,
    },
    RenewWaitEnds {
        worker: usize,
        number: u64,
    },
    Tick,
    Heartbeat,
    RegistryPoll,
    WorkerLeaves {
        worker: usize,
        notice_ms: Option<u64>,
    },
    WorkerGone {
        worker: usize,
    },
    WorkersJoin {
        workers: u32,
    },
}

struct Simulation<'a> {
    pattern: &'a Pattern,
    arrivals: &'a [Arrival],
    outcomes: ReplayOutcomes,
    now_ms: u64,
    end_ms: u64,
    queue: BinaryHeap<Reverse<(u64, usize)>>,
    events: HashMap<usize, Event>,
    next_event: usize,
    next_renewal: u64,
    /// Number of orders delivered or lost so far.
    orders_sent: u64,
    entries: Vec<Entry>,
    owners: Vec<Owner>,
    pools: Vec<String>,
    pool_positions: HashMap<String, usize>,
    workers: Vec<Worker>,
    worker_positions: HashMap<Arc<str>, usize>,
    worker_pools: Vec<usize>,
}

/// Replays the arrivals with the given owner settings.
pub fn run(pattern: &Pattern, arrivals: &[Arrival], settings: owner::Settings) -> ReplayOutcomes {
    let mut simulation = Simulation::new(pattern, arrivals, settings);
    simulation.run();
    simulation.outcomes
}

/// A number in `0.0..1.0`, deterministic for each input.
fn unit_hash(number: u64) -> f64 {
    (xxh3_64(&number.to_le_bytes()) >> 11) as f64 / (1_u64 << 53) as f64
}

impl<'a> Simulation<'a> {
    fn new(pattern: &'a Pattern, arrivals: &'a [Arrival], settings: owner::Settings) -> Self {
        let topology = pattern.topology;
        let mut simulation = Self {
            pattern,
            arrivals,
            outcomes: ReplayOutcomes {
                first_attempts: vec![CallerOutcome::Abandoned; arrivals.len()],
                retries: vec![None; arrivals.len()],
            },
            now_ms: 0,
            end_ms: WARM_UP_MS + pattern.duration_ms + COOL_DOWN_MS,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next_event: 0,
            next_renewal: 0,
            orders_sent: 0,
            entries: Vec::new(),
            owners: Vec::new(),
            pools: Vec::new(),
            pool_positions: HashMap::new(),
            workers: Vec::new(),
            worker_positions: HashMap::new(),
            worker_pools: Vec::new(),
        };
        for domain in 0..topology.domains {
            simulation.add_domain(domain, topology, settings);
        }
        simulation.schedule_initial_events();
        simulation
    }

    fn schedule_initial_events(&mut self) {
        self.schedule_at(0, Event::RegistryPoll);
        self.schedule_at(0, Event::Tick);
        self.schedule_at(HEARTBEAT_MS, Event::Heartbeat);
        for (index, arrival) in self.arrivals.iter().enumerate() {
            let attempt = Attempt::first(index);
            self.schedule_at(WARM_UP_MS + arrival.at_ms, Event::Request(attempt));
            let abandons_ms = WARM_UP_MS + arrival.abandons_ms.max(arrival.at_ms);
            self.schedule_at(abandons_ms, Event::CallerAbandons(attempt));
        }
        for disturbance in &self.pattern.disturbances {
            match *disturbance {
                Disturbance::WorkersJoin { workers, at_ms } => {
                    self.schedule_at(WARM_UP_MS + at_ms, Event::WorkersJoin { workers });
                }
                Disturbance::WorkersLeave {
                    share,
                    domain,
                    notice_ms,
                    at_ms,
                } => {
                    let workers = self.workers_of(domain);
                    let leaving = (workers.len() as f64 * share) as usize;
                    let stride = workers.len() / leaving.max(1);
                    for &worker in workers.iter().step_by(stride.max(1)).take(leaving) {
                        let leaves = Event::WorkerLeaves { worker, notice_ms };
                        self.schedule_at(WARM_UP_MS + at_ms, leaves);
                    }
                }
                _ => {}
            }
        }
    }

    /// Whether the order with this number gets no answer; deterministic for each number.
    fn is_unanswered(&self, order_number: u64) -> bool {
        let now_ms = self.now_ms.saturating_sub(WARM_UP_MS);
        let shares =
            self.pattern
                .disturbances
                .iter()
                .filter_map(|disturbance| match *disturbance {
                    Disturbance::Unanswered {
                        share,
                        from_ms,
                        to_ms,
                    } if (from_ms..to_ms).contains(&now_ms) => Some(share),
                    _ => None,
                });
        unit_hash(order_number) < shares.sum()
    }

    fn schedule_at(&mut self, at_ms: u64, event: Event) {
        self.events.insert(self.next_event, event);
        self.queue.push(Reverse((at_ms, self.next_event)));
        self.next_event += 1;
    }

    fn schedule_after(&mut self, delay_ms: u64, event: Event) {
        self.schedule_at(self.now_ms + delay_ms, event);
    }

    fn run(&mut self) {
        while let Some(Reverse((at_ms, number))) = self.queue.pop() {
            if at_ms > self.end_ms {
                return;
            }
            self.now_ms = at_ms;
            if let Some(event) = self.events.remove(&number) {
                self.handle(event);
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Request(attempt) => self.submit(attempt),
            Event::CallerAbandons(attempt) => {
                let entry = self.entry_of(attempt.job);
                self.with_entry(entry, |entry, _, out| {
                    entry.on_caller_disconnected(attempt.request_id(), out);
                });
            }
            Event::Delegate {
                entry,
                pool,
                spec,
                unsafe_for_ms,
            } => self.with_owner(pool, |owner, now_ms, out| {
                let origin = Origin::Link(entry as u64);
                owner.delegate(now_ms, origin, *spec, unsafe_for_ms, None, out);
            }),
            Event::Cancel {
                entry,
                pool,
                job_id,
            } => self.with_owner(pool, |owner, now_ms, out| {
                owner.cancel(now_ms, Origin::Link(entry as u64), &job_id, out);
            }),
            Event::JobEnded {
                entry,
                pool,
                result,
            } => {
                let from = self.owner_of(pool);
                self.with_entry(entry, |entry, now_ms, out| {
                    entry.on_job_ended(now_ms, &from, &result, out);
                });
            }
            Event::Start { pool, order } => self.on_start(pool, order),
            Event::Stop { pool, order } => self.on_stop(pool, order),
            Event::Renew { pool, order } => self.on_renew(pool, order),
            Event::StartResult { pool, result } => self.with_owner(pool, |owner, now_ms, out| {
                owner.on_start_result(now_ms, &result, out);
            }),
            Event::StopResult { pool, result } => self.with_owner(pool, |owner, now_ms, out| {
                owner.on_stop_result(now_ms, &result, out);
            }),
            Event::RenewResult {
                pool,
                worker,
                fence,
                number,
                outcome,
            } => self.with_owner(pool, |owner, now_ms, out| {
                owner.on_renew_result(now_ms, worker, fence, number, outcome, out);
            }),
            Event::RunEnds {
                worker,
                task,
                run_id,
                outcome,
            } => {
                if self.workers[worker].finish_run(&task, run_id, outcome) {
                    self.answer_pending_renewal(worker);
                }
            }
            Event::RenewWaitEnds { worker, number } => {
                let pending = self.workers[worker].pending_renewal.as_ref();
                if pending.is_some_and(|renewal| renewal.number == number) {
                    self.answer_pending_renewal(worker);
                }
            }
            Event::Tick => self.tick(),
            Event::Heartbeat => self.send_heartbeats(),
            Event::RegistryPoll => {
                self.schedule_after(REGISTRY_POLL_MS, Event::RegistryPoll);
                self.poll_registry();
            }
            Event::WorkerLeaves { worker, notice_ms } => {
                let record = &mut self.workers[worker].record;
                record.draining = true;
                record.departure = notice_ms.map(|remaining_ms| Departure {
                    remaining_ms,
                    reported_clock_ms: Some(self.now_ms),
                });
                let exits_after_ms = notice_ms.unwrap_or(WORKER_DRAIN_MS);
                self.schedule_after(exits_after_ms, Event::WorkerGone { worker });
            }
            Event::WorkerGone { worker } => {
                // Patterns without a notice keep their results: there, an open renewal of the
                // worker is still answered.
                match self.workers[worker].record.departure {
                    Some(_) => self.remove_worker(worker),
                    None => self.workers[worker].up = false,
                }
            }
            Event::WorkersJoin { workers } => {
                for pool in 0..self.pattern.topology.pools_per_domain as usize {
                    (0..workers).for_each(|index| self.add_worker(pool, index));
                }
            }
        }
    }

    /// The owner's claim on a pool, which is the same for the whole replay.
    fn claim_on(&self, pool: usize) -> Claim {
        let PoolOwner { pool, owner } = self.owner_of(pool);
        let domain = pool.split('/').next().unwrap_or("").to_owned();
        let owner = Node {
            name: owner,
            ..Node::default()
        };
        Claim {
            pool,
            failure_domain: domain,
            term: 1,
            owner: Some(owner),
        }
    }

    fn owner_of(&self, pool: usize) -> PoolOwner {
        PoolOwner {
            pool: self.pools[pool].clone(),
            owner: format!("owner-{pool}"),
        }
    }

    fn tick(&mut self) {
        self.schedule_after(TICK_MS, Event::Tick);
        for pool in 0..self.owners.len() {
            self.with_owner(pool, |owner, now_ms, out| owner.tick(now_ms, out));
        }
        for entry in 0..self.entries.len() {
            self.with_entry(entry, |entry, now_ms, out| entry.tick(now_ms, out));
        }
    }

    fn send_heartbeats(&mut self) {
        self.schedule_after(HEARTBEAT_MS, Event::Heartbeat);
        for pool in 0..self.owners.len() {
            let load = self.owners[pool].load(self.now_ms);
            let claim = self.claim_on(pool);
            for owner in &mut self.owners {
                owner.observe_pool_load(self.now_ms, &claim.pool, &load);
            }
            for entry in 0..self.entries.len() {
                self.with_entry(entry, |entry, now_ms, out| {
                    entry.update_pool(now_ms, &claim, load.clone(), out);
                });
            }
        }
    }

    fn poll_registry(&mut self) {
        let mut records: BTreeMap<usize, Vec<WorkerRecord>> = BTreeMap::new();
        for (position, worker) in self.workers.iter().enumerate() {
            if worker.up {
                let pool = self.worker_pools[position];
                records.entry(pool).or_default().push(worker.record.clone());
            }
        }
        for (pool, records) in records {
            self.with_owner(pool, |owner, now_ms, out| {
                owner.set_workers(now_ms, records, out);
            });
        }
    }
}
