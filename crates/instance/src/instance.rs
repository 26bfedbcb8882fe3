//! The state of one instance and what changes it.
//!
//! All state is behind one cell on one thread: a quarter of a core serves an
//! instance, and one thread spares it every hand-over between threads. Each
//! event borrows the state, lets the decisions push commands, and carries
//! these out after the borrow has ended; commands to this instance itself are
//! events again.
//!
//! * [`effects`]: what the decisions' commands do.
//! * [`calls`]: orders to workers and claims to the store, and their answers.
//! * [`declared`]: declarations in force, and what they say of pools here.
//! * [`peers`]: links to other instances.
//! * [`retire`]: closing links that neither side needs.
//! * [`frames`]: what goes over them.
//! * [`beats`]: heartbeats to all of them.
//! * [`workers`]: the workers of pools, from the registry and from their owners.
//! * [`stop`]: the planned stop.

mod beats;
mod calls;
mod declared;
mod effects;
mod frames;
mod peers;
mod retire;
mod stop;
mod workers;

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use slog::{Logger, info, warn};
use tokio::sync::{Notify, oneshot};
use tokio::time::MissedTickBehavior;
use trefoil_core::dispatch::entry::{self, Answer, Entry, PoolOwner, RequestId};
use trefoil_core::dispatch::fence::Fence;
use trefoil_core::dispatch::job::Origin;
use trefoil_core::dispatch::limits::{
    HEARTBEAT_MS, POOL_CREATION_DELAY_MS, POOL_CREATION_STAGGER_MS,
};
use trefoil_core::dispatch::owner::{self, Owner};
use trefoil_core::dispatch::ownership::{self, Ownership};
use trefoil_core::dispatch::worker::WorkerRecord;
use trefoil_schema::dispatch::{Claim, Delegate, Job as JobSpec, Node, Outcome};

use crate::clock::Clock;
use crate::log::{WORK_TAG, unix_ms};
use crate::metrics::Metrics;
use crate::platform::{DeploymentState, Store, WorkerClient};
use crate::settings::InstanceSettings;
use effects::Effects;
use peers::Peers;
pub use stop::ShutdownOutcome;

/// Period of the instance's ticks: retries and lapses are decided this often.
const TICK_MS: u64 = 25;
/// A tick this much late is a stall of the process: peers have closed its links and
/// its leases may have expired. Peers run its jobs anew only after
/// [`LINK_TIMEOUT_MS`] and [`REDELEGATION_DELAY_MS`] together.
///
/// [`LINK_TIMEOUT_MS`]: trefoil_core::dispatch::limits::LINK_TIMEOUT_MS
/// [`REDELEGATION_DELAY_MS`]: trefoil_core::dispatch::limits::REDELEGATION_DELAY_MS
const STALL_MS: u64 = 900;

/// The store is read often for so long for the successor of an owner that was
/// lost: a claim takes two seconds at the most.
const UNSETTLED_MAX_MS: u64 = 5000;

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
    /// Tells that declarations came in force.
    declarations_changed: Notify,
    clock: Clock,
    state: RefCell<State>,
}

/// What changes.
pub(crate) struct State {
    ownership: Ownership,
    owners: BTreeMap<String, Owner>,
    entry: Entry,
    peers: Peers,
    declared: declared::Declared,
    worker_records: Vec<WorkerRecord>,
    /// Workers of the failure domain's pools, as their owners last told.
    pool_workers: HashMap<String, Vec<WorkerRecord>>,
    pool_count: u32,
    waiters: HashMap<RequestId, oneshot::Sender<Answer>>,
    next_ticket: RequestId,
    ticks: u64,
    ticked_ms: u64,
    /// When anything last happened here; ticks do all the while.
    active_ms: u64,
    store_read_ms: Option<u64>,
    /// Since when a wanted owner has not been linked.
    unsettled_since_ms: Option<u64>,
    leaving: bool,
    /// Failure domain of this instance.
    home: String,
}

impl<E: Store + WorkerClient + 'static> Instance<E> {
    /// An instance that knows nothing yet.
    pub fn new(settings: InstanceSettings, log: Logger, metrics: Metrics, edge: E) -> Rc<Self> {
        Self::with_clock(settings, log, metrics, edge, Clock::start())
    }

    /// The same with a clock of the caller's.
    pub fn with_clock(
        settings: InstanceSettings,
        log: Logger,
        metrics: Metrics,
        edge: E,
        clock: Clock,
    ) -> Rc<Self> {
        let me = Node {
            name: settings.instance.clone(),
            incarnation: unix_ms(),
            failure_domain: settings.failure_domain.clone(),
            address: settings.links_advertised_address().to_string(),
            weight_millicores: settings.weight_millicores(),
        };
        let state = State {
            ownership: Ownership::new(0, me.clone()),
            owners: BTreeMap::new(),
            entry: Entry::new(&settings.failure_domain),
            peers: Peers::default(),
            declared: declared::Declared::default(),
            worker_records: Vec::new(),
            pool_workers: HashMap::new(),
            pool_count: 0,
            waiters: HashMap::new(),
            next_ticket: 0,
            ticks: 0,
            ticked_ms: 0,
            active_ms: 0,
            store_read_ms: None,
            unsettled_since_ms: None,
            leaving: false,
            home: settings.failure_domain.clone(),
        };
        Rc::new(Self {
            settings,
            log,
            metrics,
            edge,
            me,
            store_poke: Notify::new(),
            declarations_changed: Notify::new(),
            clock,
            state: RefCell::new(state),
        })
    }

    /// Milliseconds since the start, suspensions included.
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
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
            state.each_owner(effects, |owner, out| owner.tick(now_ms, out));
            state.ticks += 1;
            // A busy process reads heartbeats late.
            let late_ms = now_ms.saturating_sub(state.ticked_ms + TICK_MS);
            state.peers.extend_silence_limits(late_ms);
            state.entry.extend_liveness_timeouts(late_ms);
            state.ticked_ms = now_ms;
        });
        if self
            .state
            .borrow()
            .ticks
            .is_multiple_of(HEARTBEAT_MS / TICK_MS)
        {
            self.beat();
            self.measure();
        }
    }

    /// Discards all beliefs that rest on time if the process stalled: it was frozen,
    /// or the machine suspended.
    fn detect_stall(self: &Rc<Self>, state: &mut State, now_ms: u64, effects: &mut Effects) {
        let late_ms = now_ms.saturating_sub(state.active_ms + TICK_MS);
        state.active_ms = now_ms;
        if late_ms < STALL_MS {
            return;
        }
        warn!(self.log, "process stalled"; "late_ms" => late_ms);
        state.ownership.release_all(now_ms, &mut effects.ownership);
        self.drop_links(state, now_ms, effects);
        // What was read of the store is as old.
        state.store_read_ms = None;
        self.store_poke.notify_waiters();
    }

    /// Lets one event change the state, then carries out what was decided.
    fn change<T>(self: &Rc<Self>, event: impl FnOnce(&mut State, u64, &mut Effects) -> T) -> T {
        let now_ms = self.now_ms();
        let mut effects = Effects::default();
        let result = {
            let mut state = self.state.borrow_mut();
            self.detect_stall(&mut state, now_ms, &mut effects);
            event(&mut state, now_ms, &mut effects)
        };
        self.carry_out(effects);
        result
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

    /// Whether callers' requests can be served here.
    pub fn is_ready(&self) -> bool {
        let state = self.state.borrow();
        !state.leaving && state.declared.table().is_some() && state.entry.is_ready()
    }

    /// Whether a planned stop is under way.
    pub fn is_leaving(&self) -> bool {
        self.state.borrow().leaving
    }

    /// Whether it owns any pool.
    pub fn owns_pools(&self) -> bool {
        !self.state.borrow().owners.is_empty()
    }

    /// Whether it is this instance's turn to lay out the pools of its failure
    /// domain.
    pub fn may_lay_out(&self) -> bool {
        let state = self.state.borrow();
        let pairs_before = state.ownership.rank_in_domain() as u64 / 2;
        let turn_ms = POOL_CREATION_DELAY_MS + pairs_before * POOL_CREATION_STAGGER_MS;
        state.pool_count == 0 && self.now_ms() >= turn_ms
    }

    /// Takes in the store's instances and claims.
    ///
    /// The reading began at `began_ms`.
    pub fn deployment_read(self: &Rc<Self>, deployment: DeploymentState, began_ms: u64) {
        self.change(|state, now_ms, effects| {
            state.store_read_ms = Some(began_ms);
            for (failure_domain, &count) in &deployment.pool_counts {
                state.ownership.set_pool_count(failure_domain, count);
            }
            let count = deployment.pool_counts.get(&self.me.failure_domain);
            state.pool_count = count.copied().unwrap_or(state.pool_count);
            state.ownership.set_members(now_ms, deployment.nodes);
            state.entry.set_local_pools(state.ownership.local_pools());
            let failure_domains = deployment.pool_counts.into_keys();
            state.entry.set_failure_domains(failure_domains);
            for (pool, revision) in deployment.unreadable_claims {
                state.ownership.learn_unreadable_record(&pool, revision);
            }
            for (record, revision) in deployment.claims {
                let out = &mut effects.ownership;
                state
                    .ownership
                    .learn_stored_claim(now_ms, record, revision, out);
            }
        });
    }

    /// Takes in the registry's workers of this failure domain.
    pub fn workers_read(self: &Rc<Self>, records: Vec<WorkerRecord>) {
        self.change(|state, now_ms, effects| {
            state.worker_records = records;
            state.deal_workers(now_ms, effects);
        });
    }

    /// Whether an owner that this instance wants a link with may have a
    /// successor that only the store tells of; only for a while, since it may
    /// have none.
    pub fn is_unsettled(&self) -> bool {
        let mut state = self.state.borrow_mut();
        if state.ownership.is_linked_to_owners() {
            state.unsettled_since_ms = None;
            return false;
        }
        let now_ms = self.now_ms();
        let since_ms = *state.unsettled_since_ms.get_or_insert(now_ms);
        now_ms < since_ms + UNSETTLED_MAX_MS
    }

    /// Whether some owner read the store in the last second, so that this
    /// instance can leave that to it.
    pub fn store_is_watched(&self) -> bool {
        self.state.borrow().peers.store_is_fresh(self.now_ms())
    }

    fn measure(&self) {
        let state = self.state.borrow();
        let sizes = state.owners.values().map(Owner::stats);
        self.metrics.sizes(state.entry.len(), sizes.sum());
        self.metrics.closed(state.is_closed());
        self.metrics.unreadable(self.edge.unreadable_entries());
    }
}

impl State {
    /// Lets the owner of a pool decide, if this instance has it.
    fn with_owner<T>(
        &mut self,
        pool: &str,
        effects: &mut Effects,
        event: impl FnOnce(&mut Owner, &mut Vec<owner::Command>) -> T,
    ) -> Option<T> {
        let owner = self.owners.get_mut(pool)?;
        let mut out = Vec::new();
        let result = event(owner, &mut out);
        let commands = out.into_iter().map(|command| (pool.to_owned(), command));
        effects.owner.extend(commands);
        Some(result)
    }

    /// Lets every owner here decide.
    fn each_owner(
        &mut self,
        effects: &mut Effects,
        mut event: impl FnMut(&mut Owner, &mut Vec<owner::Command>),
    ) {
        let pools: Vec<String> = self.owners.keys().cloned().collect();
        for pool in pools {
            self.with_owner(&pool, effects, &mut event);
        }
    }

    /// Hands a job to the owner of a pool; false if that is not here.
    fn delegate(
        &mut self,
        origin: Origin,
        delegate: Delegate,
        now_ms: u64,
        effects: &mut Effects,
    ) -> bool {
        let Some(spec) = delegate.job else {
            return true;
        };
        let unsafe_for_ms = delegate.unsafe_for_ms;
        let holder = delegate.unsafe_holder.as_ref();
        let taken = self.with_owner(&delegate.pool, effects, |owner, out| {
            owner.delegate(now_ms, origin, spec, unsafe_for_ms, holder, out);
        });
        taken.is_some()
    }
}

/// Tells the entry when its caller's request is over.
struct TicketGuard<E: Store + WorkerClient + 'static> {
    instance: Rc<Instance<E>>,
    ticket: RequestId,
}

impl<E: Store + WorkerClient + 'static> Drop for TicketGuard<E> {
    fn drop(&mut self) {
        self.instance.change(|state, _, effects| {
            state.waiters.remove(&self.ticket);
            state
                .entry
                .on_caller_disconnected(self.ticket, &mut effects.entry);
        });
    }
}
