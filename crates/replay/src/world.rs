//! The events of a replay, and what callers are told.
//!
//! * [`callers`]: their requests, and who comes back.
//! * [`fleet`]: the workers and their room.
//! * [`orders`]: what the workers do with orders.

mod callers;
mod fleet;
mod orders;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::sync::Arc;

use trefoil_core::dispatch::entry::{self, Answer, Entry, PoolOwner};
use trefoil_core::dispatch::fence::Fence;
use trefoil_core::dispatch::job::Origin;
use trefoil_core::dispatch::limits::HEARTBEAT_MS;
use trefoil_core::dispatch::order::{
    RenewOrder, RenewOutcome, RunOutcome, StartOrder, StopOrder, WorkerKey,
};
use trefoil_core::dispatch::owner::{self, OrderResult, Owner};
use trefoil_core::dispatch::worker::WorkerRecord;
use trefoil_schema::dispatch::{Claim, Job, Node};
use xxhash_rust::xxh3::xxh3_64;

use crate::arrivals::Arrival;
use crate::figures::Seen;
use crate::pattern::{Change, Pattern};
use crate::worker::Worker;
use callers::Visit;
pub use callers::{Played, Returned};
pub use fleet::room_at;

/// One way between two instances, or an instance and a worker.
const PATH_MS: u64 = 1;
/// Period of the ticks of entries and owners.
const TICK_MS: u64 = 25;
/// Period at which owners read the registry.
const REGISTRY_MS: u64 = 700;
/// A worker that announces that it leaves does so after this time.
const LEAVING_MS: u64 = 4000;
/// Before this instant owners fence their workers; jobs come after it.
const START_MS: u64 = 1000;
/// Time after the last job, for all to end.
const END_MS: u64 = 12_000;

#[derive(Debug)]
enum Event {
    Request(Visit),
    CallerLeaves(Visit),
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
    Ended {
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
    Hold {
        pool: usize,
        order: RenewOrder,
    },
    StartAnswer {
        pool: usize,
        answered: OrderResult,
    },
    StopAnswer {
        pool: usize,
        answered: OrderResult,
    },
    HoldAnswer {
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
        how: RunOutcome,
    },
    HoldWaited {
        worker: usize,
        number: u64,
    },
    Tick,
    Beat,
    Registry,
    Leave {
        worker: usize,
    },
    Gone {
        worker: usize,
    },
    Join {
        workers: u32,
    },
}

/// A deployment in virtual time.
pub struct World<'a> {
    pattern: &'a Pattern,
    arrivals: &'a [Arrival],
    played: Played,
    now_ms: u64,
    end_ms: u64,
    queue: BinaryHeap<Reverse<(u64, usize)>>,
    events: HashMap<usize, Event>,
    next_event: usize,
    next_hold: u64,
    /// Orders that have reached workers or were lost.
    orders: u64,
    entries: Vec<Entry>,
    owners: Vec<Owner>,
    pools: Vec<String>,
    pool_positions: HashMap<String, usize>,
    workers: Vec<Worker>,
    worker_positions: HashMap<Arc<str>, usize>,
    worker_pools: Vec<usize>,
}

/// Replays jobs under a policy; what became of each of them.
pub fn run(pattern: &Pattern, arrivals: &[Arrival], settings: owner::Settings) -> Played {
    let mut world = World::new(pattern, arrivals, settings);
    world.run();
    world.played
}

impl<'a> World<'a> {
    fn new(pattern: &'a Pattern, arrivals: &'a [Arrival], settings: owner::Settings) -> Self {
        let fleet = pattern.fleet;
        let mut world = Self {
            pattern,
            arrivals,
            played: Played {
                seen: vec![Seen::Left; arrivals.len()],
                returned: vec![None; arrivals.len()],
            },
            now_ms: 0,
            end_ms: START_MS + pattern.length_ms + END_MS,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next_event: 0,
            next_hold: 0,
            orders: 0,
            entries: Vec::new(),
            owners: Vec::new(),
            pools: Vec::new(),
            pool_positions: HashMap::new(),
            workers: Vec::new(),
            worker_positions: HashMap::new(),
            worker_pools: Vec::new(),
        };
        for domain in 0..fleet.domains {
            world.add_domain(domain, fleet, settings);
        }
        world.schedule();
        world
    }

    fn schedule(&mut self) {
        self.at(0, Event::Registry);
        self.at(0, Event::Tick);
        self.at(HEARTBEAT_MS, Event::Beat);
        for (index, arrival) in self.arrivals.iter().enumerate() {
            let visit = Visit::first(index);
            self.at(START_MS + arrival.at_ms, Event::Request(visit));
            let leaves_ms = START_MS + arrival.leaves_ms.max(arrival.at_ms);
            self.at(leaves_ms, Event::CallerLeaves(visit));
        }
        for change in &self.pattern.changes {
            match *change {
                Change::Join { workers, at_ms } => {
                    self.at(START_MS + at_ms, Event::Join { workers });
                }
                Change::Leave { share, at_ms } => {
                    let leaving = (self.workers.len() as f64 * share) as usize;
                    let stride = self.workers.len() / leaving.max(1);
                    for worker in (0..self.workers.len()).step_by(stride.max(1)).take(leaving) {
                        self.at(START_MS + at_ms, Event::Leave { worker });
                    }
                }
                _ => {}
            }
        }
    }

    /// Whether an order is left unanswered; `draw` tells orders apart.
    fn is_unanswered(&self, draw: u64) -> bool {
        let now_ms = self.now_ms.saturating_sub(START_MS);
        let shares = self
            .pattern
            .changes
            .iter()
            .filter_map(|change| match *change {
                Change::Unanswered {
                    share,
                    from_ms,
                    to_ms,
                } if (from_ms..to_ms).contains(&now_ms) => Some(share),
                _ => None,
            });
        let unit = (xxh3_64(&draw.to_le_bytes()) >> 11) as f64 / (1_u64 << 53) as f64;
        unit < shares.sum()
    }

    fn at(&mut self, at_ms: u64, event: Event) {
        self.events.insert(self.next_event, event);
        self.queue.push(Reverse((at_ms, self.next_event)));
        self.next_event += 1;
    }

    fn after(&mut self, delay_ms: u64, event: Event) {
        self.at(self.now_ms + delay_ms, event);
    }

    fn run(&mut self) {
        while let Some(Reverse((at_ms, number))) = self.queue.pop() {
            if at_ms > self.end_ms {
                return;
            }
            self.now_ms = at_ms;
            if let Some(event) = self.events.remove(&number) {
                self.happen(event);
            }
        }
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Request(visit) => self.request(visit),
            Event::CallerLeaves(visit) => {
                let entry = self.entry_of(visit.job);
                self.with_entry(entry, |entry, _, out| {
                    entry.on_caller_disconnected(visit.ticket(), out);
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
            Event::Ended {
                entry,
                pool,
                result,
            } => {
                let from = self.owned(pool);
                self.with_entry(entry, |entry, now_ms, out| {
                    entry.on_job_ended(now_ms, &from, &result, out);
                });
            }
            Event::Start { pool, order } => self.start(pool, order),
            Event::Stop { pool, order } => self.stop(pool, order),
            Event::Hold { pool, order } => self.hold(pool, order),
            Event::StartAnswer { pool, answered } => self.with_owner(pool, |owner, now_ms, out| {
                owner.on_start_result(now_ms, &answered, out);
            }),
            Event::StopAnswer { pool, answered } => self.with_owner(pool, |owner, now_ms, out| {
                owner.on_stop_result(now_ms, &answered, out);
            }),
            Event::HoldAnswer {
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
                how,
            } => {
                if self.workers[worker].end(&task, run_id, how) {
                    self.answer_waiting(worker);
                }
            }
            Event::HoldWaited { worker, number } => {
                let waiting = self.workers[worker].waiting.as_ref();
                if waiting.is_some_and(|hold| hold.number == number) {
                    self.answer_waiting(worker);
                }
            }
            Event::Tick => self.tick(),
            Event::Beat => self.beat(),
            Event::Registry => {
                self.after(REGISTRY_MS, Event::Registry);
                self.read_registry();
            }
            Event::Leave { worker } => {
                self.workers[worker].record.draining = true;
                self.after(LEAVING_MS, Event::Gone { worker });
            }
            Event::Gone { worker } => self.workers[worker].up = false,
            Event::Join { workers } => {
                for pool in 0..self.pattern.fleet.pools_per_domain as usize {
                    (0..workers).for_each(|index| self.add_worker(pool, index));
                }
            }
        }
    }

    /// The claim of a pool's owner, which keeps it for the whole replay.
    fn claim(&self, pool: usize) -> Claim {
        let PoolOwner { pool, owner } = self.owned(pool);
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

    fn owned(&self, pool: usize) -> PoolOwner {
        PoolOwner {
            pool: self.pools[pool].clone(),
            owner: format!("owner-{pool}"),
        }
    }

    fn with_entry(
        &mut self,
        entry: usize,
        event: impl FnOnce(&mut Entry, u64, &mut Vec<entry::Command>),
    ) {
        let mut out = Vec::new();
        event(&mut self.entries[entry], self.now_ms, &mut out);
        for command in out {
            self.carry_out_entry(entry, command);
        }
    }

    fn carry_out_entry(&mut self, entry: usize, command: entry::Command) {
        match command {
            entry::Command::Delegate {
                to,
                spec,
                unsafe_for_ms,
                ..
            } => {
                let pool = self.pool_positions[&to.pool];
                let spec = Box::new(spec);
                self.after(
                    PATH_MS,
                    Event::Delegate {
                        entry,
                        pool,
                        spec,
                        unsafe_for_ms,
                    },
                );
            }
            entry::Command::Cancel { to, job_id } => {
                let pool = self.pool_positions[&to.pool];
                self.after(
                    PATH_MS,
                    Event::Cancel {
                        entry,
                        pool,
                        job_id,
                    },
                );
            }
            entry::Command::Revoked { .. } => {}
            entry::Command::Answer {
                request_id: ticket,
                answer,
            } => {
                let at_ms = self.now_ms - START_MS;
                let seen = match answer {
                    Answer::Completed => Seen::Completed { at_ms },
                    Answer::NotRun { retry_after_ms, .. } => Seen::Refused {
                        at_ms,
                        retry_after_ms,
                    },
                    Answer::Failed | Answer::MayHaveRun { .. } | Answer::OtherJob => {
                        Seen::Failed { at_ms }
                    }
                };
                self.answered(Visit::of_ticket(ticket), seen);
            }
        }
    }

    fn with_owner(
        &mut self,
        pool: usize,
        event: impl FnOnce(&mut Owner, u64, &mut Vec<owner::Command>),
    ) {
        let mut out = Vec::new();
        event(&mut self.owners[pool], self.now_ms, &mut out);
        for command in out {
            self.carry_out_owner(pool, command);
        }
    }

    fn carry_out_owner(&mut self, pool: usize, command: owner::Command) {
        match command {
            owner::Command::Start(order) => self.after(PATH_MS, Event::Start { pool, order }),
            owner::Command::Stop(order) => self.after(PATH_MS, Event::Stop { pool, order }),
            owner::Command::Renew(order) => self.after(PATH_MS, Event::Hold { pool, order }),
            owner::Command::JobEnded {
                origin: Origin::Link(entry),
                result,
                ..
            } => {
                let ended = Event::Ended {
                    entry: entry as usize,
                    pool,
                    result,
                };
                self.after(PATH_MS, ended);
            }
            owner::Command::JobEnded { .. } => {}
            owner::Command::Superseded | owner::Command::Log(_) => {}
        }
    }

    fn tick(&mut self) {
        self.after(TICK_MS, Event::Tick);
        for pool in 0..self.owners.len() {
            self.with_owner(pool, |owner, now_ms, out| owner.tick(now_ms, out));
        }
        for entry in 0..self.entries.len() {
            self.with_entry(entry, |entry, now_ms, out| entry.tick(now_ms, out));
        }
    }

    fn beat(&mut self) {
        self.after(HEARTBEAT_MS, Event::Beat);
        for pool in 0..self.owners.len() {
            let load = self.owners[pool].load(self.now_ms);
            let claim = self.claim(pool);
            for entry in 0..self.entries.len() {
                self.with_entry(entry, |entry, now_ms, out| {
                    entry.update_pool(now_ms, &claim, load, out);
                });
            }
        }
    }

    fn read_registry(&mut self) {
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
