//! The state of one instance and what changes it.
//!
//! All state is behind one cell on one thread: a quarter of a core serves an
//! instance, and one thread spares it every hand-over between threads. Each
//! event borrows the state, lets the decisions push commands, and carries
//! these out after the borrow has ended; commands to this instance itself are
//! events again.
//!
//! * [`calls`]: orders to workers and claims to the store, and their answers.
//! * [`peers`]: links to other instances and their frames.
//! * [`stop`]: the planned stop.

mod calls;
mod peers;
mod stop;

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use slog::{Logger, info, warn};
use tokio::sync::{Notify, oneshot};
use tokio::time::MissedTickBehavior;
use trefoil_core::dispatch::entry::{self, Answer, Entry, Ticket};
use trefoil_core::dispatch::fence::Fence;
use trefoil_core::dispatch::job::Origin;
use trefoil_core::dispatch::limits::{BEAT_MS, LINK_SILENT_MS};
use trefoil_core::dispatch::owner::{self, Owner};
use trefoil_core::dispatch::ownership::{self, Ownership};
use trefoil_core::dispatch::worker::WorkerRecord;
use trefoil_schema::dispatch::{Claim, Job as JobSpec, Node, Outcome};

use crate::declarations::Declarations;
use crate::edge::{Store, Workers};
use crate::log::unix_ms;
use crate::metrics::Metrics;
use crate::settings::InstanceSettings;
use peers::Peers;
pub use stop::Ending;

/// Period of the instance's ticks: retries and lapses are decided this often.
const TICK_MS: u64 = 25;
/// A tick that comes this much late means that the process stood still: others
/// have given up its links, and its leases may have lapsed.
const FROZEN_MS: u64 = LINK_SILENT_MS;

/// One instance; `E` reaches the platform.
pub struct Instance<E> {
    /// What it runs with.
    pub settings: InstanceSettings,
    /// The root logger.
    pub log: Logger,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// The platform.
    pub edge: E,
    /// This start of the instance.
    pub me: Node,
    /// Wakes the feeds that read the store.
    pub store_poke: Notify,
    started: Instant,
    state: RefCell<State>,
}

/// What changes.
pub(crate) struct State {
    ownership: Ownership,
    owner: Option<Owner>,
    entry: Entry,
    peers: Peers,
    declarations: Option<Rc<Declarations>>,
    worker_records: Vec<WorkerRecord>,
    waiters: HashMap<Ticket, oneshot::Sender<Answer>>,
    next_ticket: Ticket,
    ticks: u64,
    ticked_ms: u64,
    store_read_ms: Option<u64>,
    leaving: bool,
}

/// Commands of the decisions, to be carried out after the borrow.
#[derive(Default)]
struct Effects {
    entry: Vec<entry::Command>,
    owner: Vec<owner::Command>,
    ownership: Vec<ownership::Command>,
}

/// One command, whoever gave it.
enum Effect {
    Entry(entry::Command),
    Owner(owner::Command),
    Ownership(ownership::Command),
}

impl<E: Store + Workers + 'static> Instance<E> {
    /// An instance that knows nothing yet.
    pub fn new(settings: InstanceSettings, log: Logger, metrics: Metrics, edge: E) -> Rc<Self> {
        let me = Node {
            name: settings.instance.clone(),
            incarnation: unix_ms(),
            failure_domain: settings.failure_domain.clone(),
            address: settings.links_address.to_string(),
        };
        let state = State {
            ownership: Ownership::new(0, me.clone()),
            owner: None,
            entry: Entry::new(&settings.failure_domain),
            peers: Peers::default(),
            declarations: None,
            worker_records: Vec::new(),
            waiters: HashMap::new(),
            next_ticket: 0,
            ticks: 0,
            ticked_ms: 0,
            store_read_ms: None,
            leaving: false,
        };
        Rc::new(Self {
            settings,
            log,
            metrics,
            edge,
            me,
            store_poke: Notify::new(),
            started: Instant::now(),
            state: RefCell::new(state),
        })
    }

    /// Milliseconds since the start, by the steady clock.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Passes time until the process ends.
    pub async fn tick_forever(self: Rc<Self>) {
        let mut ticks = tokio::time::interval(Duration::from_millis(TICK_MS));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.tick();
        }
    }

    fn tick(self: &Rc<Self>) {
        self.change(|state, now_ms, effects| {
            state.entry.tick(now_ms, &mut effects.entry);
            state.ownership.tick(now_ms, &mut effects.ownership);
            if let Some(owner) = &mut state.owner {
                owner.tick(now_ms, &mut effects.owner);
            }
            state.ticks += 1;
        });
        if self.state.borrow().ticks.is_multiple_of(BEAT_MS / TICK_MS) {
            self.beat();
            self.measure();
        }
    }

    /// Gives up everything that rests on time if the process stood still.
    fn thaw(self: &Rc<Self>, state: &mut State, now_ms: u64, effects: &mut Effects) {
        let late_ms = now_ms.saturating_sub(state.ticked_ms + TICK_MS);
        state.ticked_ms = now_ms;
        if late_ms < FROZEN_MS {
            return;
        }
        warn!(self.log, "process stood still"; "late_ms" => late_ms);
        state.ownership.outranked(now_ms, &mut effects.ownership);
        self.drop_links(state, now_ms, effects);
    }

    /// Lets one event change the state, then carries out what was decided.
    fn change<T>(self: &Rc<Self>, event: impl FnOnce(&mut State, u64, &mut Effects) -> T) -> T {
        let now_ms = self.now_ms();
        let mut effects = Effects::default();
        let result = {
            let mut state = self.state.borrow_mut();
            self.thaw(&mut state, now_ms, &mut effects);
            event(&mut state, now_ms, &mut effects)
        };
        self.carry_out(effects);
        result
    }

    fn carry_out(self: &Rc<Self>, effects: Effects) {
        let mut queue = VecDeque::new();
        enqueue(&mut queue, effects);
        while let Some(effect) = queue.pop_front() {
            let more = match effect {
                Effect::Entry(command) => self.carry_out_entry(command),
                Effect::Owner(command) => self.carry_out_owner(command),
                Effect::Ownership(command) => self.carry_out_ownership(command),
            };
            enqueue(&mut queue, more);
        }
    }

    fn carry_out_entry(self: &Rc<Self>, command: entry::Command) -> Effects {
        let mut effects = Effects::default();
        let now_ms = self.now_ms();
        match command {
            entry::Command::Answer { ticket, answer } => {
                let waiter = self.state.borrow_mut().waiters.remove(&ticket);
                if let Some(waiter) = waiter {
                    // A caller that has just left needs no answer.
                    let _ = waiter.send(answer);
                }
            }
            entry::Command::Delegate {
                owner,
                spec,
                unsafe_for_ms,
                unsafe_domain,
            } => {
                info!(self.log, "delegated"; "job" => &spec.id, "owner" => &owner,
                    "age_ms" => spec.age_ms, "unsafe_for_ms" => unsafe_for_ms);
                if owner != self.me.name {
                    self.send_delegate(&owner, spec, unsafe_for_ms, unsafe_domain, &mut effects);
                    return effects;
                }
                let mut state = self.state.borrow_mut();
                let clears = unsafe_domain == self.me.failure_domain;
                let Some(local) = &mut state.owner else {
                    let name = self.me.name.clone();
                    state.entry.owner_lost(now_ms, &name, &mut effects.entry);
                    return effects;
                };
                let out = &mut effects.owner;
                local.delegate(now_ms, Origin::Local, spec, unsafe_for_ms, clears, out);
            }
            entry::Command::Cancel { owner, job_id } => {
                if owner != self.me.name {
                    self.send_cancel(&owner, job_id);
                } else if let Some(local) = &mut self.state.borrow_mut().owner {
                    local.cancel(now_ms, Origin::Local, &job_id, &mut effects.owner);
                }
            }
        }
        effects
    }

    fn carry_out_owner(self: &Rc<Self>, command: owner::Command) -> Effects {
        let mut effects = Effects::default();
        match command {
            owner::Command::Start(order) => self.send_start(order),
            owner::Command::Stop(order) => self.send_stop(order),
            owner::Command::Hold(order) => self.send_hold(order),
            owner::Command::Ended {
                origin,
                job_id,
                outcome,
                reason,
            } => {
                info!(self.log, "job ended"; "job" => &job_id, "outcome" => ?outcome,
                    "reason" => reason);
                match origin {
                    Origin::Local => {
                        let name = &self.me.name;
                        let out = &mut effects.entry;
                        let mut state = self.state.borrow_mut();
                        state
                            .entry
                            .ended(self.now_ms(), name, &job_id, outcome, out);
                    }
                    Origin::Link(link) => self.send_ended(link, job_id, outcome, reason),
                }
            }
            owner::Command::Outranked => {
                let mut state = self.state.borrow_mut();
                let out = &mut effects.ownership;
                state.ownership.outranked(self.now_ms(), out);
                self.store_poke.notify_waiters();
            }
            owner::Command::Note(note) => info!(self.log, "{}", note.event;
                "task" => note.subject, "worker" => note.worker, "detail" => note.detail),
        }
        effects
    }

    fn carry_out_ownership(self: &Rc<Self>, command: ownership::Command) -> Effects {
        let mut effects = Effects::default();
        match command {
            ownership::Command::WriteClaim { claim, revision } => {
                info!(self.log, "claiming"; "term" => claim.term, "revision" => revision);
                self.send_claim(claim, revision);
            }
            ownership::Command::Acquired(claim) => self.acquired(&claim, &mut effects),
            ownership::Command::Released => self.released(&mut effects),
            ownership::Command::Learned(claim) => {
                let owner = claim.owner.as_ref().map_or("", |node| node.name.as_str());
                info!(self.log, "owner learned"; "domain" => &claim.failure_domain,
                    "term" => claim.term, "owner" => owner);
            }
        }
        effects
    }

    fn acquired(self: &Rc<Self>, claim: &Claim, effects: &mut Effects) {
        info!(self.log, "ownership acquired"; "term" => claim.term);
        let fence = Fence::new(claim.term, &self.me.name);
        let mut owner = Owner::new(&claim.failure_domain, fence, unix_ms());
        let mut state = self.state.borrow_mut();
        let records = state.worker_records.clone();
        if !records.is_empty() {
            owner.set_workers(self.now_ms(), records, &mut effects.owner);
        }
        state.owner = Some(owner);
        drop(state);
        self.store_poke.notify_waiters();
        self.beat();
    }

    fn released(self: &Rc<Self>, effects: &mut Effects) {
        info!(self.log, "ownership released");
        let now_ms = self.now_ms();
        let mut state = self.state.borrow_mut();
        if let Some(mut owner) = state.owner.take() {
            owner.release(now_ms, &mut effects.owner);
        }
        state.worker_records.clear();
        let name = self.me.name.clone();
        state.entry.owner_lost(now_ms, &name, &mut effects.entry);
        drop(state);
        self.store_poke.notify_waiters();
        self.beat();
    }

    /// Runs a caller's job and awaits its answer; a caller that goes away
    /// cancels it.
    pub async fn submit(self: &Rc<Self>, spec: JobSpec, timeout_ms: u64) -> Answer {
        let (sender, answer) = oneshot::channel();
        let ticket = self.change(|state, now_ms, effects| {
            let ticket = state.next_ticket;
            state.next_ticket += 1;
            state.waiters.insert(ticket, sender);
            let deadline_ms = now_ms + timeout_ms;
            state
                .entry
                .submit(now_ms, ticket, spec, deadline_ms, &mut effects.entry);
            ticket
        });
        let guard = TicketGuard {
            instance: Rc::clone(self),
            ticket,
        };
        let answer = answer.await.unwrap_or(Answer::MayHaveRun {
            reason: "the instance ends",
        });
        drop(guard);
        answer
    }

    /// Declarations in force; none before the first.
    pub fn declarations(&self) -> Option<Rc<Declarations>> {
        self.state.borrow().declarations.clone()
    }

    /// Puts declarations in force unless newer ones are.
    pub fn set_declarations(&self, declarations: Declarations) {
        let mut state = self.state.borrow_mut();
        let known = state.declarations.as_ref().map_or(0, |known| known.version);
        if state.declarations.is_some() && declarations.version <= known {
            return;
        }
        info!(self.log, "declarations in force"; "version" => declarations.version,
            "before" => known, "routes" => declarations.routes.len());
        state.declarations = Some(Rc::new(declarations));
        drop(state);
        self.push_declarations();
    }

    /// Whether callers' requests can be served here.
    pub fn is_ready(&self) -> bool {
        let state = self.state.borrow();
        !state.leaving && state.declarations.is_some() && state.entry.is_served()
    }

    /// Whether a planned stop is under way.
    pub fn is_leaving(&self) -> bool {
        self.state.borrow().leaving
    }

    /// Whether it owns its failure domain's workers.
    pub fn owns(&self) -> bool {
        self.state.borrow().owner.is_some()
    }

    /// Takes in the store's instances and claims.
    pub fn deployment_read(self: &Rc<Self>, nodes: Vec<Node>, claims: Vec<(Claim, u64)>) {
        self.change(|state, now_ms, effects| {
            state.store_read_ms = Some(now_ms);
            state.ownership.set_members(now_ms, nodes);
            for (claim, revision) in claims {
                let out = &mut effects.ownership;
                state.ownership.stored_claim(claim, revision, out);
            }
        });
    }

    /// Takes in the registry's workers of this failure domain.
    pub fn workers_read(self: &Rc<Self>, records: Vec<WorkerRecord>) {
        self.change(|state, now_ms, effects| {
            if let Some(owner) = &mut state.owner {
                owner.set_workers(now_ms, records.clone(), &mut effects.owner);
                state.worker_records = records;
            }
        });
    }

    /// Whether some owner read the store in the last second, so that this
    /// instance can leave that to it.
    pub fn store_is_watched(&self) -> bool {
        self.state.borrow().peers.store_is_fresh(self.now_ms())
    }

    fn measure(&self) {
        let state = self.state.borrow();
        let sizes = state.owner.as_ref().map(Owner::sizes).unwrap_or_default();
        self.metrics.sizes(state.entry.len(), sizes);
    }
}

/// Tells the entry when its caller's request is over.
struct TicketGuard<E: Store + Workers + 'static> {
    instance: Rc<Instance<E>>,
    ticket: Ticket,
}

impl<E: Store + Workers + 'static> Drop for TicketGuard<E> {
    fn drop(&mut self) {
        self.instance.change(|state, _, effects| {
            state.waiters.remove(&self.ticket);
            state.entry.caller_left(self.ticket, &mut effects.entry);
        });
    }
}

fn enqueue(queue: &mut VecDeque<Effect>, effects: Effects) {
    queue.extend(effects.ownership.into_iter().map(Effect::Ownership));
    queue.extend(effects.owner.into_iter().map(Effect::Owner));
    queue.extend(effects.entry.into_iter().map(Effect::Entry));
}

/// How an outcome reads in a frame.
fn outcome_of(number: i32) -> Outcome {
    Outcome::try_from(number).unwrap_or(Outcome::Unspecified)
}
