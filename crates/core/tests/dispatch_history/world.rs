//! A pool, its owners and its workers in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};

use arbtest::arbitrary::{self, Unstructured};
use trefoil_core::dispatch::job::Origin;
use trefoil_core::dispatch::limits::{LINK_TIMEOUT_MS, REDELEGATION_DELAY_MS};
use trefoil_core::dispatch::owner::{Command, Owner};
use trefoil_core::dispatch::ownership::Roster;
use trefoil_schema::dispatch::Outcome;

use crate::WORKERS;
use crate::dispatch_support::{SimWorker, job, owner, owner_after};
use crate::events::{EntryJob, Event, Order, Record, answered, holder_of, unanswered, worker_of};

/// A history is given up as stuck after this time.
const END_MS: u64 = 60_000;
/// Period of the owners' ticks.
const TICK_MS: u64 = 25;
/// An operator's closing is in force after this time.
const CLOSE_WITHIN_MS: u64 = 5000;
/// How long begun jobs go on in a failure domain that was closed.
const BEGUN_MS: u64 = 1500;
/// A capacity that has shrunk counts this much later: the platform's time for contact
/// and one of its workers' heartbeats.
const SHRUNK_COUNTS_MS: u64 = 3000 + 1500;
/// Period at which owners read the registry.
pub const REGISTRY_MS: u64 = 700;
const ENTRY: Origin = Origin::Link(1);

pub struct History<'a, 'b> {
    pub choices: &'a mut Unstructured<'b>,
    pub now_ms: u64,
    pub events: BinaryHeap<Reverse<(u64, usize)>>,
    pub stored: HashMap<usize, Event>,
    pub next_event: usize,
    pub workers: Vec<SimWorker>,
    /// When each is added.
    pub added_ms: Vec<u64>,
    /// When the capacity of each last changed.
    pub resized_ms: Vec<u64>,
    pub record: Record,
    /// Since when the failure domain is closed.
    pub closed_ms: Option<u64>,
    /// Jobs that an owner gave back for it.
    pub sent_away: Vec<String>,
    pub owners: Vec<Owner>,
    /// Whether each owner still acts.
    pub acts: Vec<bool>,
    /// Until when an owner cannot reach a worker.
    pub cuts: HashMap<(usize, String), u64>,
    pub open_jobs: BTreeMap<String, EntryJob>,
    pub trouble: bool,
}

impl History<'_, '_> {
    pub fn at(&mut self, at_ms: u64, event: Event) {
        self.stored.insert(self.next_event, event);
        self.events.push(Reverse((at_ms, self.next_event)));
        self.next_event += 1;
    }

    fn chance(&mut self, percent: u8) -> arbitrary::Result<bool> {
        Ok(self.trouble && self.choices.int_in_range(0..=99_u8)? < percent)
    }

    fn send(&mut self, owner: usize, order: Order) -> arbitrary::Result<()> {
        if let (Order::Start(start), Some(closed_ms)) = (&order, self.closed_ms) {
            let late = self.now_ms > closed_ms + CLOSE_WITHIN_MS;
            assert!(
                !late,
                "{} starts {} ms after",
                start.task,
                self.now_ms - closed_ms
            );
        }
        let path_ms = self.choices.int_in_range(1..=3)?;
        let cut_until_ms = self.cuts.get(&(owner, worker_of(&order)));
        let is_cut = cut_until_ms.is_some_and(|&until_ms| self.now_ms < until_ms);
        let fate = match (is_cut || self.chance(6)?, is_cut || self.chance(6)?) {
            // Lost on the way.
            (true, true) => None,
            // Not answered, and carried out late.
            (true, false) => Some((self.choices.int_in_range(2000..=9000)?, false)),
            // Carried out, and not answered.
            (false, true) => Some((path_ms, false)),
            (false, false) => Some((path_ms, true)),
        };
        if fate.is_none_or(|(_, answered)| !answered) {
            let answer_ms = match &order {
                Order::Hold(hold) => hold.wait_ms + hold.answer_timeout_ms,
                Order::Start(start) => start.answer_timeout_ms,
                Order::Stop(stop) => stop.answer_timeout_ms,
            };
            let event = unanswered(owner, order.clone());
            self.at(self.now_ms + answer_ms, event);
        }
        if let Some((delay_ms, answered)) = fate {
            let event = Event::Arrive {
                owner,
                order,
                answered,
            };
            self.at(self.now_ms + delay_ms, event);
        }
        Ok(())
    }

    fn carry_out(&mut self, owner: usize, commands: Vec<Command>) -> arbitrary::Result<()> {
        for command in commands {
            match command {
                Command::Start(order) => self.send(owner, Order::Start(order))?,
                Command::Stop(order) => self.send(owner, Order::Stop(order))?,
                Command::Renew(order) => self.send(owner, Order::Hold(order))?,
                Command::JobEnded { result, .. } => {
                    self.ended(owner, &result.job_id, result.outcome);
                }
                Command::Superseded | Command::Log(_) => {}
            }
        }
        Ok(())
    }

    fn ended(&mut self, owner: usize, job_id: &str, outcome: Outcome) {
        let present = owner + 1 == self.owners.len();
        match outcome {
            Outcome::Completed if present => {
                self.open_jobs.remove(job_id);
            }
            Outcome::Completed => {}
            Outcome::Returned | Outcome::Lost if present => {
                self.take_back(job_id, owner, outcome == Outcome::Lost);
                self.sent_away.push(job_id.to_owned());
            }
            // Only an owner that was replaced is outranked.
            other => assert!(!present, "{job_id} {other:?}"),
        }
    }

    fn arrive(&mut self, owner: usize, order: Order, answered: bool) -> arbitrary::Result<()> {
        let now_ms = self.now_ms;
        let back_ms = now_ms + self.choices.int_in_range(1..=3)?;
        let id = worker_of(&order);
        let found = self
            .workers
            .iter()
            .position(|worker| *worker.record.id == *id);
        let position = found.expect("orders go to known workers");
        let counts = now_ms > self.resized_ms[position] + SHRUNK_COUNTS_MS;
        let worker = &mut self.workers[position];
        let event = match order {
            Order::Start(order) => {
                let before = worker.runs.len();
                let outcome = worker.start(now_ms, &order);
                let used = worker.runs.len() as u64 * 1000;
                let is_over = used > worker.record.capacity.cpu_millicores;
                assert!(
                    !(counts && is_over && worker.runs.len() > before),
                    "{} starts over the capacity at {now_ms} ms",
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
            Order::Hold(order) => {
                let outcome = worker.renew(now_ms, &order);
                let event = Event::Hold {
                    owner,
                    order,
                    outcome,
                };
                if answered {
                    // A worker with nothing to tell answers after a while.
                    let wait_ms: u64 = self.choices.int_in_range(0..=40)?;
                    self.at(back_ms + wait_ms, event);
                }
                return Ok(());
            }
        };
        if answered {
            self.at(back_ms, event);
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
            Event::Replace => return self.replace(),
            Event::Start { owner, .. }
            | Event::Stop { owner, .. }
            | Event::Hold { owner, .. }
            | Event::Tick { owner }
            | Event::Notice { owner }
            | Event::SendRoster { owner }
            | Event::RosterStored { owner, .. }
            | Event::Learn { owner }
            | Event::Registry { owner } => owner,
            Event::Close => return self.close(true),
            Event::Reopen => return self.close(false),
            Event::Resend => return self.resend(),
            Event::Roster {
                owner,
                roster,
                answered,
            } => return self.write_roster(owner, roster, answered),
        };
        if !self.acts[owner] {
            return Ok(());
        }
        let present = owner + 1 == self.owners.len();
        let actor = &mut self.owners[owner];
        if present {
            actor.on_origin_heartbeat(ENTRY, now_ms);
        }
        match event {
            Event::Start { order, outcome, .. } => {
                let answer = answered(order.target, order.task, order.run_id, outcome);
                actor.on_start_result(now_ms, &answer, &mut out);
            }
            Event::Stop { order, outcome, .. } => {
                let answer = answered(order.target, order.task, order.run_id, outcome);
                actor.on_stop_result(now_ms, &answer, &mut out);
            }
            Event::Hold { order, outcome, .. } => {
                let (worker, fence) = (order.target.worker, order.target.fence);
                actor.on_renew_result(now_ms, worker, fence, order.number, outcome, &mut out);
            }
            Event::Tick { .. } => {
                actor.tick(now_ms, &mut out);
                self.at(now_ms + TICK_MS, Event::Tick { owner });
            }
            Event::Notice { .. } => actor.on_origin_lost(now_ms, ENTRY, &mut out),
            Event::Registry { .. } => {
                let listed = self.workers.iter().zip(&self.added_ms);
                let listed = listed.filter(|(_, added_ms)| **added_ms <= now_ms);
                let records = listed.map(|(worker, _)| worker.record.clone()).collect();
                actor.set_workers(now_ms, records, &mut out);
                self.at(now_ms + REGISTRY_MS, Event::Registry { owner });
                self.at(now_ms, Event::SendRoster { owner });
            }
            Event::Learn { .. } if self.closed_ms.is_some() => {
                actor.close(now_ms, now_ms + BEGUN_MS, &mut out);
            }
            Event::Learn { .. } => {
                actor.reopen(now_ms, &mut out);
                self.at(now_ms, Event::Resend);
            }
            Event::SendRoster { .. } => {
                let roster = actor.roster();
                actor.on_roster_sent(roster.clone());
                self.send_roster(owner, roster)?;
            }
            Event::RosterStored { roster, .. } => actor.on_roster_stored(now_ms, roster, &mut out),
            Event::Arrive { .. }
            | Event::Submit { .. }
            | Event::Resize { .. }
            | Event::Replace
            | Event::Close
            | Event::Reopen
            | Event::Resend
            | Event::Roster { .. } => {}
        }
        self.carry_out(owner, out)
    }

    fn submit(&mut self, number: usize) -> arbitrary::Result<()> {
        let id = format!("job{number}");
        let entry_job = EntryJob {
            tasks: self.choices.int_in_range(1..=5)?,
            owner: self.owners.len() - 1,
            unsafe_until_ms: 0,
            unsafe_owner: None,
        };
        self.open_jobs.insert(id.clone(), entry_job.clone());
        self.delegate(&id, &entry_job)
    }

    fn delegate(&mut self, id: &str, known: &EntryJob) -> arbitrary::Result<()> {
        let now_ms = self.now_ms;
        let spec = job(id, known.tasks, 100);
        let unsafe_for_ms = known.unsafe_until_ms.saturating_sub(now_ms);
        let before = known.unsafe_owner.map(holder_of);
        let mut out = Vec::new();
        let owner = &mut self.owners[known.owner];
        owner.delegate(
            now_ms,
            ENTRY,
            spec,
            unsafe_for_ms,
            before.as_ref(),
            &mut out,
        );
        self.carry_out(known.owner, out)
    }

    /// The entry takes a job back, for the next owner.
    fn take_back(&mut self, id: &str, next: usize, may_run: bool) {
        let Some(job) = self.open_jobs.get_mut(id) else {
            return;
        };
        if may_run {
            let is_only = self.now_ms >= job.unsafe_until_ms || job.unsafe_owner == Some(job.owner);
            job.unsafe_owner = Some(job.owner).filter(|_| is_only);
            job.unsafe_until_ms = self.now_ms + REDELEGATION_DELAY_MS;
        }
        job.owner = next;
    }

    /// The operator closes the failure domain or opens it again; owners learn of
    /// it later, and the entry then sends again what they gave back.
    fn close(&mut self, closed: bool) -> arbitrary::Result<()> {
        self.closed_ms = closed.then_some(self.now_ms);
        self.at(self.now_ms, Event::Resend);
        for owner in 0..self.owners.len() {
            let learns_ms = self.now_ms + self.choices.int_in_range(0..=1500_u64)?;
            self.at(learns_ms, Event::Learn { owner });
        }
        Ok(())
    }

    /// The entry sends again what was given back.
    fn resend(&mut self) -> arbitrary::Result<()> {
        for id in std::mem::take(&mut self.sent_away) {
            if let Some(job) = self.open_jobs.get(&id).cloned() {
                self.delegate(&id, &job)?;
            }
        }
        Ok(())
    }

    /// A roster is on its way to the store; an owner whose claim the store does
    /// not hold writes nothing there.
    fn send_roster(&mut self, owner: usize, roster: Roster) -> arbitrary::Result<()> {
        let path_ms = self.choices.int_in_range(1..=600)?;
        let answered = !self.chance(20)?;
        let event = Event::Roster {
            owner,
            roster,
            answered,
        };
        self.at(self.now_ms + path_ms, event);
        Ok(())
    }

    fn write_roster(
        &mut self,
        owner: usize,
        roster: Roster,
        answered: bool,
    ) -> arbitrary::Result<()> {
        if self.record.owner != owner {
            return Ok(());
        }
        self.record.roster = Some(roster.clone());
        let path_ms = self.choices.int_in_range(1..=150)?;
        if answered {
            let event = Event::RosterStored { owner, roster };
            self.at(self.now_ms + path_ms, event);
        }
        Ok(())
    }

    fn replace(&mut self) -> arbitrary::Result<()> {
        let lost = self.owners.len() - 1;
        // It dies, or goes on until it notices, later than it should.
        if self.choices.ratio(1, 2)? {
            self.acts[lost] = false;
        } else {
            let late_ms = self.choices.int_in_range(0..=800)?;
            let notice_ms = self.now_ms + LINK_TIMEOUT_MS + late_ms;
            self.at(notice_ms, Event::Notice { owner: lost });
        }
        let next = self.owners.len();
        for worker in 0..WORKERS {
            if self.choices.ratio(1, 4)? {
                let until_ms = self.now_ms + self.choices.int_in_range(0..=3000_u64)?;
                self.cuts.insert((next, format!("w{worker}")), until_ms);
            }
        }
        let known = self.choices.int_in_range(1..=WORKERS)?;
        self.take_over(known)?;
        let whole_ms: u64 = self.choices.int_in_range(0..=2000)?;
        self.at(self.now_ms + whole_ms, Event::Registry { owner: next });
        for id in self.open_jobs.keys().cloned().collect::<Vec<_>>() {
            self.take_back(&id, next, true);
        }
        self.sent_away.clear();
        for (id, job) in self.open_jobs.clone() {
            self.delegate(&id, &job)?;
        }
        Ok(())
    }

    pub fn take_over(&mut self, known: usize) -> arbitrary::Result<()> {
        let term = self.owners.len() as u64 + 1;
        let by_store = self.choices.ratio(2, 3)?;
        let follows = self.record.owner + 1 == self.owners.len();
        let used = self.record.roster.clone().filter(|_| by_store && follows);
        let mut next = match used {
            Some(used) => {
                let used: Vec<&str> = used.iter().map(|id| &**id).collect();
                owner_after(term, &used)
            }
            None => owner(term),
        };
        if by_store {
            self.record = Record {
                owner: self.owners.len(),
                roster: None,
            };
        }
        let records = self.workers[..known].iter();
        let records = records.map(|worker| worker.record.clone());
        let mut out = Vec::new();
        next.set_workers(self.now_ms, records.collect(), &mut out);
        if self.closed_ms.is_some() {
            next.close(self.now_ms, self.now_ms, &mut out);
        }
        self.owners.push(next);
        self.acts.push(true);
        let number = self.owners.len() - 1;
        self.at(self.now_ms + TICK_MS, Event::Tick { owner: number });
        self.carry_out(number, out)
    }

    fn check(&mut self) {
        let mut running: BTreeMap<String, usize> = BTreeMap::new();
        for worker in &mut self.workers {
            worker.advance(self.now_ms);
            assert!(
                worker.runs.len() <= 2,
                "over capacity at {} ms",
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
            if self.open_jobs.is_empty() && at_ms > 3000 {
                return Ok(());
            }
            // Trouble ends in time for every job to end.
            self.trouble &= at_ms < END_MS / 2;
            assert!(at_ms < END_MS, "jobs without an end: {:?}", self.open_jobs);
        }
        Ok(())
    }
}
