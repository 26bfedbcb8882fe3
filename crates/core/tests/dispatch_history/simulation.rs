//! A pool, its owners and its workers in simulated time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};

use arbtest::arbitrary::{self, Unstructured};
use trefoil_core::dispatch::job::Origin;
use trefoil_core::dispatch::limits::REDELEGATION_DELAY_MS;
use trefoil_core::dispatch::owner::{Command, Owner};
use trefoil_schema::dispatch::Outcome;

use crate::dispatch_support::orders::{Order, order_result};
use crate::dispatch_support::{SimWorker, job};
use crate::events::{EntryJob, Event, Record, holder_of, unanswered};

/// All jobs must have ended by then.
const END_MS: u64 = 60_000;
/// Longest time to a worker of an order that is not delayed.
const LATENCY_MAX_MS: u64 = 3;
pub const TICK_PERIOD_MS: u64 = 25;
/// Time by which a closure of the failure domain must be in force.
const CLOSE_WITHIN_MS: u64 = 5000;
/// How long started jobs may start further tasks in a closed failure domain.
const STARTED_JOBS_MS: u64 = 1500;
/// When a reduced capacity must be respected: the platform's contact time plus a
/// heartbeat of a worker.
const REDUCED_CAPACITY_DELAY_MS: u64 = 3000 + 1500;
pub const REGISTRY_PERIOD_MS: u64 = 700;
const ENTRY: Origin = Origin::Link(1);

pub struct History<'a, 'b> {
    pub choices: &'a mut Unstructured<'b>,
    pub now_ms: u64,
    /// Times and numbers of the scheduled events, whose contents are in `stored`.
    pub events: BinaryHeap<Reverse<(u64, usize)>>,
    pub stored: HashMap<usize, Event>,
    pub next_event: usize,
    pub workers: Vec<SimWorker>,
    /// When each worker is added.
    pub added_ms: Vec<u64>,
    /// When the capacity of each worker last changed.
    pub resized_ms: Vec<u64>,
    pub record: Record,
    /// Since when the failure domain is closed.
    pub closed_ms: Option<u64>,
    /// Jobs that owners have returned because of the closure.
    pub returned_jobs: Vec<String>,
    pub owners: Vec<Owner>,
    /// Whether each owner is still running.
    pub active: Vec<bool>,
    /// Until when an owner cannot reach a worker.
    pub partitions: HashMap<(usize, String), u64>,
    pub unfinished_jobs: BTreeMap<String, EntryJob>,
    pub faults_enabled: bool,
    /// Number of workers that have started again.
    pub rebirths: usize,
}

impl History<'_, '_> {
    pub fn schedule(&mut self, at_ms: u64, event: Event) {
        self.stored.insert(self.next_event, event);
        self.events.push(Reverse((at_ms, self.next_event)));
        self.next_event += 1;
    }

    pub fn fault_occurs(&mut self, percent: u8) -> arbitrary::Result<bool> {
        Ok(self.faults_enabled && self.choices.int_in_range(0..=99_u8)? < percent)
    }

    fn send(&mut self, owner: usize, order: Order) -> arbitrary::Result<()> {
        if let (Order::Start(start), Some(closed_ms)) = (&order, self.closed_ms) {
            let late = self.now_ms > closed_ms + CLOSE_WITHIN_MS;
            assert!(
                !late,
                "{} starts {} ms after the closure",
                start.task,
                self.now_ms - closed_ms
            );
        }
        let latency_ms = self.choices.int_in_range(1..=LATENCY_MAX_MS)?;
        let partition_until_ms = self.partitions.get(&(owner, order.worker_id().to_string()));
        let is_partitioned = partition_until_ms.is_some_and(|&until_ms| self.now_ms < until_ms);
        let delivery = match (
            is_partitioned || self.fault_occurs(6)?,
            is_partitioned || self.fault_occurs(6)?,
        ) {
            // The order is lost.
            (true, true) => None,
            // The order is delayed and its answer is lost.
            (true, false) => Some((self.choices.int_in_range(2000..=9000)?, false)),
            // The answer is lost.
            (false, true) => Some((latency_ms, false)),
            (false, false) => Some((latency_ms, true)),
        };
        if delivery.is_none_or(|(_, answered)| !answered) {
            let answer_ms = match &order {
                Order::Renew(renew) => renew.wait_ms + renew.answer_timeout_ms,
                Order::Start(start) => start.answer_timeout_ms,
                Order::Stop(stop) => stop.answer_timeout_ms,
            };
            let event = unanswered(owner, order.clone());
            self.schedule(self.now_ms + answer_ms, event);
        }
        if let Some((delay_ms, answered)) = delivery {
            let event = Event::Arrive {
                owner,
                order,
                answered,
            };
            self.schedule(self.now_ms + delay_ms, event);
        }
        Ok(())
    }

    pub fn carry_out(&mut self, owner: usize, commands: Vec<Command>) -> arbitrary::Result<()> {
        for command in commands {
            match command {
                Command::Start(order) => self.send(owner, Order::Start(order))?,
                Command::Stop(order) => self.send(owner, Order::Stop(order))?,
                Command::Renew(order) => self.send(owner, Order::Renew(order))?,
                Command::JobEnded { result, .. } => {
                    self.ended(owner, &result.job_id, result.outcome);
                }
                Command::Superseded | Command::Log(_) => {}
            }
        }
        Ok(())
    }

    fn ended(&mut self, owner: usize, job_id: &str, outcome: Outcome) {
        let is_current = owner + 1 == self.owners.len();
        match outcome {
            Outcome::Completed if is_current => {
                self.unfinished_jobs.remove(job_id);
            }
            Outcome::Completed => {}
            Outcome::Returned | Outcome::Lost if is_current => {
                self.revoke(job_id, owner, outcome == Outcome::Lost);
                self.returned_jobs.push(job_id.to_owned());
            }
            // A task is given up after three lost runs.
            Outcome::Abandoned if is_current && self.rebirths > 0 => {
                self.unfinished_jobs.remove(job_id);
            }
            // Only an owner that was replaced is superseded.
            other => assert!(!is_current, "{job_id} {other:?}"),
        }
    }

    fn arrive(&mut self, owner: usize, order: Order, answered: bool) -> arbitrary::Result<()> {
        let now_ms = self.now_ms;
        let back_ms = now_ms + self.choices.int_in_range(1..=3)?;
        let id = order.worker_id().clone();
        let found = self
            .workers
            .iter()
            .position(|worker| worker.record.id == id);
        let position = found.expect("orders go to known workers");
        let counts = now_ms > self.resized_ms[position] + REDUCED_CAPACITY_DELAY_MS;
        let worker = &mut self.workers[position];
        let event = match order {
            Order::Start(order) => {
                let before = worker.runs.len();
                let outcome = worker.start(now_ms, &order);
                let used = worker.runs.len() as u64 * 1000;
                let is_over = used > worker.record.capacity.cpu_millicores;
                assert!(
                    !(counts && is_over && worker.runs.len() > before),
                    "{} exceeds the capacity when started at {now_ms} ms",
                    order.task
                );
                Event::Start {
                    owner,
                    order,
                    outcome,
                }
            }
            Order::Stop(order) => {
                let outcome = worker.stop(now_ms, &order);
                Event::Stop {
                    owner,
                    order,
                    outcome,
                }
            }
            Order::Renew(order) => {
                let outcome = worker.renew(now_ms, &order);
                let event = Event::Renew {
                    owner,
                    order,
                    outcome,
                };
                if answered {
                    // The worker may delay the answer.
                    let wait_ms: u64 = self.choices.int_in_range(0..=40)?;
                    self.schedule(back_ms + wait_ms, event);
                }
                return Ok(());
            }
        };
        if answered {
            self.schedule(back_ms, event);
        }
        Ok(())
    }

    fn step(&mut self, event: Event) -> arbitrary::Result<()> {
        let now_ms = self.now_ms;
        let mut out = Vec::new();
        let owner = match event {
            Event::Arrive {
                owner,
                order,
                answered,
            } => return self.arrive(owner, order, answered),
            Event::Submit { job } => return self.submit(job),
            Event::Resize {
                worker,
                cpu_millicores,
            } => {
                self.workers[worker].record.capacity.cpu_millicores = cpu_millicores;
                self.resized_ms[worker] = now_ms;
                return Ok(());
            }
            Event::StartAgain {
                worker,
                cpu_millicores,
            } => {
                self.start_again(worker, cpu_millicores);
                return Ok(());
            }
            Event::ReplaceOwner => return self.replace_owner(),
            Event::Start { owner, .. }
            | Event::Stop { owner, .. }
            | Event::Renew { owner, .. }
            | Event::Tick { owner }
            | Event::OriginLost { owner }
            | Event::SendRoster { owner }
            | Event::RosterStored { owner, .. }
            | Event::LearnClosure { owner }
            | Event::ReadRegistry { owner } => owner,
            Event::CloseDomain => return self.set_closed(true),
            Event::ReopenDomain => return self.set_closed(false),
            Event::Redelegate => return self.redelegate(),
            Event::WriteRoster {
                owner,
                roster,
                answered,
            } => return self.write_roster(owner, roster, answered),
        };
        if !self.active[owner] {
            return Ok(());
        }
        let is_current = owner + 1 == self.owners.len();
        let acting_owner = &mut self.owners[owner];
        if is_current {
            acting_owner.on_origin_heartbeat(ENTRY, now_ms);
        }
        match event {
            Event::Start { order, outcome, .. } => {
                let answer = order_result(&order.target, &order.task, order.run_id, outcome);
                acting_owner.on_start_result(now_ms, &answer, &mut out);
            }
            Event::Stop { order, outcome, .. } => {
                let answer = order_result(&order.target, &order.task, order.run_id, outcome);
                acting_owner.on_stop_result(now_ms, &answer, &mut out);
            }
            Event::Renew { order, outcome, .. } => {
                let (worker, fence) = (order.target.worker, order.target.fence);
                acting_owner.on_renew_result(
                    now_ms,
                    worker,
                    fence,
                    order.number,
                    outcome,
                    &mut out,
                );
            }
            Event::Tick { .. } => {
                acting_owner.tick(now_ms, &mut out);
                self.schedule(now_ms + TICK_PERIOD_MS, Event::Tick { owner });
            }
            Event::OriginLost { .. } => acting_owner.on_origin_lost(now_ms, ENTRY, &mut out),
            // An owner applies the registry only if the claims that it reads after it are its own.
            Event::ReadRegistry { .. } if self.record.owner > owner => {
                acting_owner.release(now_ms, &mut out);
            }
            Event::ReadRegistry { .. } => {
                let listed = self.workers.iter().zip(&self.added_ms);
                let listed = listed.filter(|(_, added_ms)| **added_ms <= now_ms);
                let records = listed.map(|(worker, _)| worker.record.clone()).collect();
                acting_owner.set_workers(now_ms, records, &mut out);
                self.schedule(now_ms + REGISTRY_PERIOD_MS, Event::ReadRegistry { owner });
                self.schedule(now_ms, Event::SendRoster { owner });
            }
            Event::LearnClosure { .. } if self.closed_ms.is_some() => {
                acting_owner.close(now_ms, now_ms + STARTED_JOBS_MS, &mut out);
            }
            Event::LearnClosure { .. } => {
                acting_owner.reopen(now_ms, &mut out);
                self.schedule(now_ms, Event::Redelegate);
            }
            Event::SendRoster { .. } => {
                let roster = acting_owner.roster();
                acting_owner.on_roster_sent(roster.clone());
                self.send_roster(owner, roster)?;
            }
            Event::RosterStored { roster, .. } => {
                acting_owner.on_roster_stored(now_ms, roster, &mut out)
            }
            Event::Arrive { .. }
            | Event::Submit { .. }
            | Event::Resize { .. }
            | Event::StartAgain { .. }
            | Event::ReplaceOwner
            | Event::CloseDomain
            | Event::ReopenDomain
            | Event::Redelegate
            | Event::WriteRoster { .. } => {}
        }
        self.carry_out(owner, out)
    }

    fn start_again(&mut self, position: usize, cpu_millicores: u64) {
        let worker = &mut self.workers[position];
        self.rebirths += 1;
        worker.start_again(self.now_ms, self.now_ms);
        worker.record.capacity.cpu_millicores = cpu_millicores;
    }

    fn submit(&mut self, number: usize) -> arbitrary::Result<()> {
        let id = format!("job{number}");
        let entry_job = EntryJob {
            tasks: self.choices.int_in_range(1..=5)?,
            owner: self.owners.len() - 1,
            unsafe_until_ms: 0,
            unsafe_owner: None,
        };
        self.unfinished_jobs.insert(id.clone(), entry_job.clone());
        self.delegate(&id, &entry_job)
    }

    pub fn delegate(&mut self, id: &str, entry_job: &EntryJob) -> arbitrary::Result<()> {
        let now_ms = self.now_ms;
        let spec = job(id, entry_job.tasks, 100);
        let unsafe_for_ms = entry_job.unsafe_until_ms.saturating_sub(now_ms);
        let unsafe_holder = entry_job.unsafe_owner.map(holder_of);
        let mut out = Vec::new();
        let owner = &mut self.owners[entry_job.owner];
        owner.on_origin_delegated(now_ms, ENTRY);
        owner.delegate(
            now_ms,
            ENTRY,
            spec,
            unsafe_for_ms,
            unsafe_holder.as_ref(),
            &mut out,
        );
        self.carry_out(entry_job.owner, out)
    }

    /// The entry revokes a job, for the next owner.
    pub fn revoke(&mut self, id: &str, next: usize, may_run: bool) {
        let Some(job) = self.unfinished_jobs.get_mut(id) else {
            return;
        };
        if may_run {
            let is_only = self.now_ms >= job.unsafe_until_ms || job.unsafe_owner == Some(job.owner);
            job.unsafe_owner = Some(job.owner).filter(|_| is_only);
            job.unsafe_until_ms = self.now_ms + REDELEGATION_DELAY_MS;
        }
        job.owner = next;
    }

    /// The operator closes the failure domain or opens it again. Owners learn of it later.
    fn set_closed(&mut self, closed: bool) -> arbitrary::Result<()> {
        self.closed_ms = closed.then_some(self.now_ms);
        self.schedule(self.now_ms, Event::Redelegate);
        for owner in 0..self.owners.len() {
            let learns_ms = self.now_ms + self.choices.int_in_range(0..=1500_u64)?;
            self.schedule(learns_ms, Event::LearnClosure { owner });
        }
        Ok(())
    }

    /// The entry delegates the returned jobs again.
    fn redelegate(&mut self) -> arbitrary::Result<()> {
        for id in std::mem::take(&mut self.returned_jobs) {
            if let Some(job) = self.unfinished_jobs.get(&id).cloned() {
                self.delegate(&id, &job)?;
            }
        }
        Ok(())
    }

    fn check(&mut self) {
        let mut running: BTreeMap<String, usize> = BTreeMap::new();
        for worker in &mut self.workers {
            worker.advance(self.now_ms);
            assert!(
                worker.runs.len() <= 2,
                "capacity exceeded at {} ms",
                self.now_ms
            );
            for run in &worker.runs {
                *running.entry(run.task.to_string()).or_default() += 1;
            }
        }
        let twice = running.iter().find(|(_, count)| **count > 1);
        assert_eq!(
            twice, None,
            "two runs at the same time at {} ms",
            self.now_ms
        );
    }

    pub fn run(&mut self) -> arbitrary::Result<()> {
        while let Some(Reverse((at_ms, number))) = self.events.pop() {
            self.now_ms = at_ms;
            let event = self
                .stored
                .remove(&number)
                .expect("an event is stored once");
            self.step(event)?;
            self.check();
            if self.unfinished_jobs.is_empty() && at_ms > 3000 {
                return Ok(());
            }
            // Faults end early enough for every job to end.
            self.faults_enabled &= at_ms < END_MS / 2;
            assert!(
                at_ms < END_MS,
                "unfinished jobs: {:?}",
                self.unfinished_jobs
            );
        }
        Ok(())
    }
}
