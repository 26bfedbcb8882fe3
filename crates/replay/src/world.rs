//! The events of a replay, and what callers are told.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::sync::Arc;

use trefoil_core::dispatch::entry::{self, Answer, Entry, Owned};
use trefoil_core::dispatch::fence::Fence;
use trefoil_core::dispatch::job::Origin;
use trefoil_core::dispatch::limits::{BEAT_MS, HOLD_WAIT_MS};
use trefoil_core::dispatch::order::{
    EndKind, HoldOrder, HoldOutcome, OrderOutcome, Rejection, StartOrder, StopOrder, WorkerKey,
};
use trefoil_core::dispatch::owner::{self, Answered, Owner};
use trefoil_core::dispatch::pool;
use trefoil_core::dispatch::worker::{Room, WorkerRecord};
use trefoil_schema::dispatch::Job;

use crate::arrivals::Arrival;
use crate::figures::Seen;
use crate::pattern::{Change, Fleet, Pattern};
use crate::worker::{WaitingHold, Worker};

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
/// Processor of a common worker, thousandths of a core.
const WORKER_MILLICORES: u64 = 16_000;
/// Every third worker is of another kind: larger by this factor, ...
const LARGE_FACTOR: f64 = 1.5;
/// ... and slower by this one.
const LARGE_SLOWNESS: f64 = 1.3;

#[derive(Debug)]
enum Event {
    Request(usize),
    CallerLeaves(usize),
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
        ending: owner::Ending,
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
        order: HoldOrder,
    },
    StartAnswer {
        pool: usize,
        answered: Answered,
    },
    StopAnswer {
        pool: usize,
        answered: Answered,
    },
    HoldAnswer {
        pool: usize,
        worker: WorkerKey,
        fence: Fence,
        outcome: HoldOutcome,
    },
    RunEnds {
        worker: usize,
        task: Arc<str>,
        run_id: u64,
        how: EndKind,
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
    seen: Vec<Seen>,
    now_ms: u64,
    end_ms: u64,
    queue: BinaryHeap<Reverse<(u64, usize)>>,
    events: HashMap<usize, Event>,
    next_event: usize,
    next_hold: u64,
    entries: Vec<Entry>,
    owners: Vec<Owner>,
    pools: Vec<String>,
    pool_positions: HashMap<String, usize>,
    workers: Vec<Worker>,
    worker_positions: HashMap<Arc<str>, usize>,
    worker_pools: Vec<usize>,
    /// Starts that were ordered.
    pub starts: u64,
    /// Work of runs that were stopped, thousandths of a core times milliseconds.
    pub wasted: u64,
    started: HashMap<(Arc<str>, u64), u64>,
}

/// Replays jobs under a policy; what became of each of them.
pub fn run(pattern: &Pattern, arrivals: &[Arrival], settings: owner::Settings) -> Vec<Seen> {
    let mut world = World::new(pattern, arrivals, settings);
    world.run();
    world.seen
}

/// Room of the workers at an instant after the first request, thousandths of a
/// core of common speed: for the bound.
pub fn room_at(pattern: &Pattern, at_ms: u64) -> f64 {
    let fleet = pattern.fleet;
    let pools = fleet.domains * fleet.pools_per_domain;
    let common = f64::from(pools) * pool_room(fleet.workers_per_pool);
    let changed = pattern.changes.iter().map(|change| match *change {
        Change::Leave { share, at_ms: from } if at_ms >= from + LEAVING_MS => -common * share,
        Change::Join {
            workers,
            at_ms: from,
        } if at_ms >= from => f64::from(fleet.pools_per_domain) * pool_room(workers),
        _ => 0.0,
    });
    common + changed.sum::<f64>()
}

fn pool_room(workers: u32) -> f64 {
    let of = |index: u32| capacity_of(index) as f64 / slowness_of(index);
    (0..workers).map(of).sum()
}

fn is_large(index: u32) -> bool {
    index % 3 == 2
}

fn capacity_of(index: u32) -> u64 {
    match is_large(index) {
        true => (WORKER_MILLICORES as f64 * LARGE_FACTOR) as u64,
        false => WORKER_MILLICORES,
    }
}

fn slowness_of(index: u32) -> f64 {
    if is_large(index) { LARGE_SLOWNESS } else { 1.0 }
}

impl<'a> World<'a> {
    fn new(pattern: &'a Pattern, arrivals: &'a [Arrival], settings: owner::Settings) -> Self {
        let fleet = pattern.fleet;
        let mut world = Self {
            pattern,
            arrivals,
            seen: vec![Seen::Left; arrivals.len()],
            now_ms: 0,
            end_ms: START_MS + pattern.length_ms + END_MS,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next_event: 0,
            next_hold: 0,
            entries: Vec::new(),
            owners: Vec::new(),
            pools: Vec::new(),
            pool_positions: HashMap::new(),
            workers: Vec::new(),
            worker_positions: HashMap::new(),
            worker_pools: Vec::new(),
            starts: 0,
            wasted: 0,
            started: HashMap::new(),
        };
        for domain in 0..fleet.domains {
            world.add_domain(domain, fleet, settings);
        }
        world.schedule();
        world
    }

    fn add_domain(&mut self, domain: u32, fleet: Fleet, settings: owner::Settings) {
        let domain_name = format!("d{domain}");
        for _ in 0..fleet.entries_per_domain {
            self.entries.push(Entry::new(&domain_name));
        }
        for index in 0..fleet.pools_per_domain {
            let position = self.pools.len();
            let name = pool::name(&domain_name, index);
            let expected = fleet.workers_per_pool as usize;
            let fence = Fence::new(1, "owner");
            let owner = Owner::new(&name, fence, 1, expected).with_settings(settings);
            self.owners.push(owner);
            self.pool_positions.insert(name.clone(), position);
            self.pools.push(name);
            for worker in 0..fleet.workers_per_pool {
                self.add_worker(position, worker);
            }
        }
    }

    fn add_worker(&mut self, pool: usize, index: u32) {
        let position = self.workers.len();
        let id: Arc<str> = Arc::from(format!("w{position}"));
        let kind = if is_large(index) { "b" } else { "a" };
        let record = WorkerRecord {
            id: id.clone(),
            address: id.clone(),
            failure_domain: Arc::from(self.pools[pool].split('/').next().unwrap_or("")),
            service: Arc::from("service"),
            draining: false,
            capacity: Room {
                cpu_millicores: capacity_of(index),
                memory_mb: 65_536,
                gpus: 0,
            },
            labels: [Arc::from(kind)].into_iter().collect(),
        };
        self.worker_positions.insert(id, position);
        self.workers.push(Worker::new(record, slowness_of(index)));
        self.worker_pools.push(pool);
    }

    fn schedule(&mut self) {
        self.at(0, Event::Registry);
        self.at(0, Event::Tick);
        self.at(BEAT_MS, Event::Beat);
        for (index, arrival) in self.arrivals.iter().enumerate() {
            self.at(START_MS + arrival.at_ms, Event::Request(index));
            let leaves_ms = START_MS + arrival.leaves_ms.max(arrival.at_ms);
            self.at(leaves_ms, Event::CallerLeaves(index));
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
            Event::Request(index) => self.request(index),
            Event::CallerLeaves(index) => {
                let entry = self.entry_of(index);
                self.with_entry(entry, |entry, _, out| entry.caller_left(index as u64, out));
            }
            Event::Delegate {
                entry,
                pool,
                spec,
                unsafe_for_ms,
            } => self.with_owner(pool, |owner, now_ms, out| {
                let origin = Origin::Link(entry as u64);
                owner.delegate(now_ms, origin, *spec, unsafe_for_ms, false, out);
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
                ending,
            } => {
                let from = self.owned(pool);
                self.with_entry(entry, |entry, now_ms, out| {
                    entry.ended(now_ms, &from, &ending, out);
                });
            }
            Event::Start { pool, order } => self.start(pool, order),
            Event::Stop { pool, order } => self.stop(pool, order),
            Event::Hold { pool, order } => self.hold(pool, order),
            Event::StartAnswer { pool, answered } => self.with_owner(pool, |owner, now_ms, out| {
                owner.start_answered(now_ms, &answered, out);
            }),
            Event::StopAnswer { pool, answered } => self.with_owner(pool, |owner, now_ms, out| {
                owner.stop_answered(now_ms, &answered, out);
            }),
            Event::HoldAnswer {
                pool,
                worker,
                fence,
                outcome,
            } => self.with_owner(pool, |owner, now_ms, out| {
                owner.hold_answered(now_ms, worker, fence, outcome, out);
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

    fn owned(&self, pool: usize) -> Owned {
        Owned {
            pool: self.pools[pool].clone(),
            owner: format!("owner-{pool}"),
        }
    }

    fn entry_of(&self, job: usize) -> usize {
        let arrival = &self.arrivals[job];
        (arrival.domain * self.pattern.fleet.entries_per_domain + arrival.entry) as usize
    }

    fn request(&mut self, index: usize) {
        let entry = self.entry_of(index);
        let arrival = &self.arrivals[index];
        let spec = arrival.spec.clone();
        let deadline_ms = START_MS + arrival.leaves_ms + 1;
        self.with_entry(entry, |entry, now_ms, out| {
            entry.submit(now_ms, index as u64, spec, deadline_ms, out);
        });
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
            entry::Command::Answer { ticket, answer } => {
                let at_ms = self.now_ms - START_MS;
                self.seen[ticket as usize] = match answer {
                    Answer::Completed => Seen::Completed { at_ms },
                    Answer::NotRun { retry_after_ms, .. } => Seen::Refused {
                        at_ms,
                        retry_after_ms,
                    },
                    Answer::Failed | Answer::MayHaveRun { .. } | Answer::OtherJob => {
                        Seen::Failed { at_ms }
                    }
                };
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
            owner::Command::Hold(order) => self.after(PATH_MS, Event::Hold { pool, order }),
            owner::Command::Ended {
                origin: Origin::Link(entry),
                ending,
                ..
            } => {
                let ended = Event::Ended {
                    entry: entry as usize,
                    pool,
                    ending,
                };
                self.after(PATH_MS, ended);
            }
            owner::Command::Ended { .. } => {}
            owner::Command::Outranked | owner::Command::Note(_) => {}
        }
    }

    fn worker_of(&self, id: &Arc<str>) -> usize {
        self.worker_positions[id]
    }

    fn start(&mut self, pool: usize, order: StartOrder) {
        let worker = self.worker_of(&order.target.worker_id);
        let outcome = match self.workers[worker].up && self.workers[worker].start(&order) {
            true => {
                self.starts += 1;
                self.begin_run(worker, &order);
                OrderOutcome::Done {
                    clock_ms: self.now_ms,
                }
            }
            false => OrderOutcome::Rejected(Rejection::Unhealthy),
        };
        let answered = answered_start(&order, outcome);
        self.after(PATH_MS, Event::StartAnswer { pool, answered });
    }

    fn begin_run(&mut self, worker: usize, order: &StartOrder) {
        let (job, index) = position_of(&order.task);
        let arrival = &self.arrivals[job];
        let run_ms = arrival.runs_ms[index] as f64 * self.workers[worker].slowness;
        let how = if arrival.fails {
            EndKind::Failed
        } else {
            EndKind::Done
        };
        self.started
            .insert((order.task.clone(), order.run_id), self.now_ms);
        let ends = Event::RunEnds {
            worker,
            task: order.task.clone(),
            run_id: order.run_id,
            how,
        };
        self.after(run_ms as u64, ends);
    }

    fn stop(&mut self, pool: usize, order: StopOrder) {
        let worker = self.worker_of(&order.target.worker_id);
        if self.workers[worker].end(&order.task, order.run_id, EndKind::Stopped) {
            let (job, _) = position_of(&order.task);
            let cpu = self.arrivals[job].spec.phases[0].cpu_millicores;
            let begun_ms = self.started.get(&(order.task.clone(), order.run_id));
            let ran_ms = begun_ms.map_or(0, |&begun_ms| self.now_ms - begun_ms);
            self.wasted += cpu * ran_ms;
            self.answer_waiting(worker);
        }
        let answered = Answered {
            worker: order.target.worker,
            fence: order.target.fence,
            task: order.task,
            run_id: order.run_id,
            outcome: OrderOutcome::Done {
                clock_ms: self.now_ms,
            },
        };
        self.after(PATH_MS, Event::StopAnswer { pool, answered });
    }

    fn hold(&mut self, pool: usize, order: HoldOrder) {
        let worker = self.worker_of(&order.target.worker_id);
        if !self.workers[worker].up {
            return self.answer_hold(pool, &order, HoldOutcome::NoAnswer);
        }
        self.workers[worker].take_hold(&order);
        if order.wait_ms > 0 && self.workers[worker].has_no_news() {
            let number = self.next_hold;
            self.next_hold += 1;
            let wait_ms = order.wait_ms.min(HOLD_WAIT_MS);
            self.workers[worker].waiting = Some(WaitingHold { order, number });
            return self.after(wait_ms, Event::HoldWaited { worker, number });
        }
        let listing = self.workers[worker].listing(self.now_ms);
        self.answer_hold(pool, &order, listing);
    }

    fn answer_waiting(&mut self, worker: usize) {
        if let Some(hold) = self.workers[worker].waiting.take() {
            let pool = self.worker_pools[worker];
            let listing = self.workers[worker].listing(self.now_ms);
            self.answer_hold(pool, &hold.order, listing);
        }
    }

    fn answer_hold(&mut self, pool: usize, order: &HoldOrder, outcome: HoldOutcome) {
        let answer = Event::HoldAnswer {
            pool,
            worker: order.target.worker,
            fence: order.target.fence,
            outcome,
        };
        self.after(PATH_MS, answer);
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
        self.after(BEAT_MS, Event::Beat);
        for pool in 0..self.owners.len() {
            let load = self.owners[pool].load(self.now_ms);
            let owned = self.owned(pool);
            let domain = self.pools[pool].split('/').next().unwrap_or("").to_owned();
            for entry in 0..self.entries.len() {
                self.with_entry(entry, |entry, now_ms, out| {
                    entry.pool_seen(now_ms, &owned, &domain, load, out);
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

fn answered_start(order: &StartOrder, outcome: OrderOutcome) -> Answered {
    Answered {
        worker: order.target.worker,
        fence: order.target.fence,
        task: order.task.clone(),
        run_id: order.run_id,
        outcome,
    }
}

/// Positions of the job and the task that a task's name holds.
fn position_of(task: &str) -> (usize, usize) {
    let mut parts = task.split('.');
    let job = parts
        .next()
        .and_then(|id| usize::from_str_radix(id, 16).ok());
    let index = parts.next_back().and_then(|index| index.parse().ok());
    (job.unwrap_or(0), index.unwrap_or(0))
}
