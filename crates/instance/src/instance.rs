//! State and event handling of one instance.
//!
//! All state is in one cell on one thread, since an instance needs a fraction of a
//! core. Each event borrows the state and collects commands of the dispatch logic,
//! which are executed after the borrow has ended. Commands that concern this
//! instance itself produce further commands.
//!
//! * [`effects`]: executes the commands of the dispatch logic.
//! * [`calls`]: orders to workers and claim writes to the store.
//! * [`declared`]: the declarations in force.
//! * [`transfer`]: declarations sent to and received from peers.
//! * [`peers`]: links to other instances.
//! * [`retire`]: closes links that neither side needs.
//! * [`frames`]: sends and handles frames.
//! * [`heartbeats`]: sends heartbeats and closes silent links.
//! * [`workers`]: assigns workers to the owners of their pools.
//! * [`shutdown`]: graceful shutdown.

mod calls;
mod declared;
mod effects;
mod frames;
mod heartbeats;
mod peers;
mod retire;
mod shutdown;
mod transfer;
mod workers;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use slog::{Logger, info, warn};
use tokio::sync::{Notify, oneshot};
use tokio::time::MissedTickBehavior;
use trefoil_core::dispatch::entry::{self, Answer, Entry, PoolOwner, RequestId};
use trefoil_core::dispatch::fence::Fence;
use trefoil_core::dispatch::footprint;
use trefoil_core::dispatch::job::Origin;
use trefoil_core::dispatch::limits::{
    HEARTBEAT_MS, POOL_CREATION_DELAY_MS, POOL_CREATION_STAGGER_MS, RETRY_AFTER_MS,
};
use trefoil_core::dispatch::owner::{self, Owner};
use trefoil_core::dispatch::ownership::{self, Ownership};
use trefoil_core::dispatch::store_reads::ReadDemand;
use trefoil_core::dispatch::worker::WorkerRecord;
use trefoil_schema::dispatch::{Claim, Delegate, Job as JobSpec, Node, Outcome};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::Clock;
use crate::connections::ConnectionLimits;
use crate::log::{WORK_TAG, unix_ms};
use crate::memory_budget::MemoryBudget;
use crate::metrics::{JobMemory, Metrics};
use crate::platform::{DeploymentState, Store, WorkerClient};
use crate::resource_limits::ResourceLimits;
use crate::settings::InstanceSettings;
use effects::Effects;
use peers::Peers;
pub use shutdown::ShutdownOutcome;

/// Interval of the instance's timer, which drives retries and timeouts.
const TICK_MS: u64 = 25;
/// A tick that is this late counts as a stall of the process: peers have closed its
/// links, and its leases may have expired. Peers run its jobs again only after
/// [`LINK_TIMEOUT_MS`] plus [`REDELEGATION_DELAY_MS`].
///
/// [`LINK_TIMEOUT_MS`]: trefoil_core::dispatch::limits::LINK_TIMEOUT_MS
/// [`REDELEGATION_DELAY_MS`]: trefoil_core::dispatch::limits::REDELEGATION_DELAY_MS
const STALL_THRESHOLD_MS: u64 = 900;

/// How long the store is read often to find the successor of a lost owner. A claim
/// takes at most two seconds.
const SUCCESSOR_WAIT_MAX_MS: u64 = 5000;

/// One instance; `P` implements the interfaces to the platform.
#[expect(missing_docs, reason = "fields explain themselves")]
pub struct Instance<P> {
    pub settings: InstanceSettings,
    pub log: Logger,
    pub metrics: Metrics,
    pub(crate) platform: P,
    /// Identity of this incarnation, as other instances see it.
    pub(crate) node: Node,
    /// Requests a read of the store before the next periodic one.
    pub(crate) store_read_requested: Notify,
    /// Notifies that new declarations are in force.
    declarations_changed: Notify,
    clock: Clock,
    pub resource_limits: ResourceLimits,
    entry_jobs: Rc<MemoryBudget>,
    /// Delegations that wait to be written to their links.
    queued_delegations: Rc<MemoryBudget>,
    /// Number of the last heartbeat.
    heartbeats_built: Cell<u64>,
    state: RefCell<State>,
}

/// Mutable state of an instance.
pub(crate) struct State {
    ownership: Ownership,
    owners: BTreeMap<String, Owner>,
    entry: Entry,
    peers: Peers,
    declared: declared::DeclarationState,
    worker_records: Vec<WorkerRecord>,
    /// Workers of the own failure domain's pools, as last reported by their owners.
    pool_workers: HashMap<String, workers::ReportedWorkers>,
    /// Number of the last report of a pool's workers.
    last_report: u64,
    pool_count: u32,
    pending_requests: HashMap<RequestId, oneshot::Sender<Answer>>,
    next_request_id: RequestId,
    ticks: u64,
    last_tick_ms: u64,
    /// Time of the last event or tick, by which stalls are detected.
    last_active_ms: u64,
    store_read_ms: Option<u64>,
    /// Since when a link to the owner of some pool has been missing.
    awaiting_successor_since_ms: Option<u64>,
    leaving: bool,
    failure_domain: String,
    /// Memory that the jobs of all owners may occupy together.
    owned_jobs_bytes_max: u64,
}

impl<P: Store + WorkerClient + 'static> Instance<P> {
    /// Creates an instance that uses the system's clock.
    pub fn new(settings: InstanceSettings, log: Logger, metrics: Metrics, platform: P) -> Rc<Self> {
        Self::with_clock(settings, log, metrics, platform, Clock::start())
    }

    /// Creates an instance with the given clock.
    pub fn with_clock(
        settings: InstanceSettings,
        log: Logger,
        metrics: Metrics,
        platform: P,
        clock: Clock,
    ) -> Rc<Self> {
        let node = Node {
            name: settings.instance.clone(),
            incarnation: unix_ms(),
            failure_domain: settings.failure_domain.clone(),
            address: settings.links_advertised_address().to_string(),
            weight_millicores: settings.weight_millicores(),
        };
        let state = State {
            ownership: Ownership::new(0, node.clone()),
            owners: BTreeMap::new(),
            entry: Entry::new(&settings.failure_domain).with_identity(identity_of(&node)),
            peers: Peers::default(),
            declared: declared::DeclarationState::default(),
            worker_records: Vec::new(),
            pool_workers: HashMap::new(),
            last_report: 0,
            pool_count: 0,
            pending_requests: HashMap::new(),
            next_request_id: 0,
            ticks: 0,
            last_tick_ms: 0,
            last_active_ms: 0,
            store_read_ms: None,
            awaiting_successor_since_ms: None,
            leaving: false,
            failure_domain: settings.failure_domain.clone(),
            owned_jobs_bytes_max: ResourceLimits::new(&settings).owned_jobs_bytes_max,
        };
        let resource_limits = ResourceLimits::new(&settings);
        Rc::new(Self {
            settings,
            log,
            metrics,
            platform,
            node,
            store_read_requested: Notify::new(),
            declarations_changed: Notify::new(),
            clock,
            resource_limits,
            entry_jobs: MemoryBudget::new(resource_limits.entry_jobs_bytes_max),
            queued_delegations: MemoryBudget::new(resource_limits.delegations_bytes_max),
            heartbeats_built: Cell::new(0),
            state: RefCell::new(state),
        })
    }

    /// Milliseconds since the start, including suspensions.
    pub(crate) fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Runs the instance's timer until the process ends.
    pub async fn tick_forever(self: Rc<Self>) {
        let mut ticks = tokio::time::interval(Duration::from_millis(TICK_MS));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.tick();
        }
    }

    fn tick(self: &Rc<Self>) {
        self.update(|state, now_ms, effects| {
            state.entry.tick(now_ms, &mut effects.entry);
            state.ownership.tick(now_ms, &mut effects.ownership);
            state.for_each_owner(effects, |owner, out| owner.tick(now_ms, out));
            state.ticks += 1;
            // A tick that is late means that heartbeats were read late too.
            let late_ms = now_ms.saturating_sub(state.last_tick_ms + TICK_MS);
            state.peers.extend_liveness_timeouts(late_ms);
            state.entry.extend_liveness_timeouts(late_ms);
            state.last_tick_ms = now_ms;
        });
        if self
            .state
            .borrow()
            .ticks
            .is_multiple_of(HEARTBEAT_MS / TICK_MS)
        {
            self.send_heartbeats();
            self.update_metrics();
        }
    }

    /// Discards all state that may have expired if the process was stopped or the
    /// machine suspended.
    fn detect_stall(self: &Rc<Self>, state: &mut State, now_ms: u64, effects: &mut Effects) {
        let late_ms = now_ms.saturating_sub(state.last_active_ms + TICK_MS);
        state.last_active_ms = now_ms;
        if late_ms < STALL_THRESHOLD_MS {
            return;
        }
        warn!(self.log, "process stalled"; "late_ms" => late_ms);
        state.ownership.release_all(now_ms, &mut effects.ownership);
        self.close_all_links(state, now_ms, effects);
        // The last read of the store is outdated as well.
        state.store_read_ms = None;
        self.store_read_requested.notify_waiters();
    }

    /// Applies one event to the state, then executes the resulting commands.
    fn update<T>(self: &Rc<Self>, event: impl FnOnce(&mut State, u64, &mut Effects) -> T) -> T {
        let now_ms = self.now_ms();
        let mut effects = Effects::default();
        let result = {
            let mut state = self.state.borrow_mut();
            self.detect_stall(&mut state, now_ms, &mut effects);
            event(&mut state, now_ms, &mut effects)
        };
        self.execute(effects);
        result
    }

    /// Submits a caller's job and waits for its answer; dropping the future cancels
    /// the job. A job is refused at once if others occupy the memory.
    pub async fn submit(self: &Rc<Self>, spec: JobSpec, timeout_ms: u64) -> Answer {
        let Some(_reservation) = self.entry_jobs.try_reserve(footprint::spec_bytes(&spec)) else {
            self.metrics.record_memory_refusal(JobMemory::Entry);
            return Answer::NotRun {
                retry_after_ms: RETRY_AFTER_MS,
                reason: "the jobs in progress occupy the memory",
            };
        };
        let (sender, answer) = oneshot::channel();
        let request_id = self.update(|state, now_ms, effects| {
            let request_id = state.next_request_id;
            state.next_request_id += 1;
            state.pending_requests.insert(request_id, sender);
            let deadline_ms = now_ms + timeout_ms;
            state
                .entry
                .submit(now_ms, request_id, spec, deadline_ms, &mut effects.entry);
            request_id
        });
        let guard = RequestGuard {
            instance: Rc::clone(self),
            request_id,
        };
        let answer = answer.await.unwrap_or(Answer::MayHaveRun {
            reason: "the instance ends",
        });
        drop(guard);
        answer
    }

    /// Whether the instance can serve callers' requests.
    pub fn is_ready(&self) -> bool {
        let state = self.state.borrow();
        !state.leaving && state.declared.table().is_some() && state.entry.is_ready()
    }

    /// Limits on callers' connections, by the settings and the declarations in force.
    pub fn connection_limits(&self) -> ConnectionLimits {
        let declared = self.declarations();
        let declared = declared.map(|table| table.declarations().request_limits);
        let declared = declared.unwrap_or_default();
        let resources = &self.resource_limits;
        ConnectionLimits {
            connections_max: resources.connections_max(declared.header_bytes_max),
            bodies_bytes_max: resources.bodies_bytes_max,
            header_bytes_max: declared.header_bytes_max,
            header_timeout_ms: declared.header_timeout_ms,
            idle_timeout_ms: declared.idle_timeout_ms,
        }
    }

    /// Whether the instance is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.state.borrow().leaving
    }

    /// Whether the instance owns any pool.
    pub fn owns_pools(&self) -> bool {
        !self.state.borrow().owners.is_empty()
    }

    /// Whether the failure domain has no pools yet and it is this instance's turn to
    /// create them.
    pub(crate) fn should_create_pools(&self) -> bool {
        let state = self.state.borrow();
        let pairs_before = state.ownership.rank_in_domain() as u64 / 2;
        let turn_ms = POOL_CREATION_DELAY_MS + pairs_before * POOL_CREATION_STAGGER_MS;
        state.pool_count == 0 && self.now_ms() >= turn_ms
    }

    /// Applies the result of a read of the store that began at `began_ms`.
    pub(crate) fn apply_deployment_state(
        self: &Rc<Self>,
        deployment: DeploymentState,
        began_ms: u64,
    ) {
        self.update(|state, now_ms, effects| {
            state.store_read_ms = Some(began_ms);
            for (failure_domain, &count) in &deployment.pool_counts {
                state.ownership.set_pool_count(failure_domain, count);
            }
            let count = deployment.pool_counts.get(&self.node.failure_domain);
            state.pool_count = count.copied().unwrap_or(state.pool_count);
            state
                .ownership
                .set_listed_instances(now_ms, deployment.nodes);
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

    /// Applies the registered workers of this failure domain.
    pub(crate) fn apply_workers(self: &Rc<Self>, records: Vec<WorkerRecord>) {
        self.update(|state, now_ms, effects| {
            state.worker_records = records;
            state.assign_workers(now_ms, effects);
        });
    }

    /// Whether a lost owner may have a successor that is known only from the store.
    /// Returns `false` after [`SUCCESSOR_WAIT_MAX_MS`], since there may be none.
    fn is_awaiting_successor(&self) -> bool {
        let mut state = self.state.borrow_mut();
        if state.ownership.is_linked_to_owners() {
            state.awaiting_successor_since_ms = None;
            return false;
        }
        let now_ms = self.now_ms();
        let since_ms = *state.awaiting_successor_since_ms.get_or_insert(now_ms);
        now_ms < since_ms + SUCCESSOR_WAIT_MAX_MS
    }

    /// What the schedule of reads of the store depends on.
    pub(crate) fn read_demand(&self) -> ReadDemand {
        ReadDemand {
            reads_often: self.owns_pools() || self.is_awaiting_successor(),
            confirmed_ms: self.state.borrow().declared.confirmed_ms(),
        }
    }

    fn update_metrics(&self) {
        let mut state = self.state.borrow_mut();
        let restarts = state
            .owners
            .values_mut()
            .map(Owner::take_departure_restarts);
        self.metrics.departure_restarts.inc_by(restarts.sum());
        let stats = state.owners.values().map(Owner::stats);
        self.metrics.set_stats(state.entry.len(), stats.sum());
        self.metrics.set_closed(state.is_closed());
        if let Some(confirmed_age_ms) = state.declared.confirmed_age_ms(self.now_ms()) {
            let version = state.declared.version();
            self.metrics.set_declarations(version, confirmed_age_ms);
        }
        self.log_unconfirmed_declarations(&mut state);
        self.metrics
            .set_unreadable_entries(self.platform.unreadable_entries());
    }
}

impl State {
    /// Calls the owner of a pool, if this instance owns it, and queues its commands.
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

    /// Calls all owners of this instance, and queues their commands.
    fn for_each_owner(
        &mut self,
        effects: &mut Effects,
        mut event: impl FnMut(&mut Owner, &mut Vec<owner::Command>),
    ) {
        let pools: Vec<String> = self.owners.keys().cloned().collect();
        for pool in pools {
            self.with_owner(&pool, effects, &mut event);
        }
    }

    /// Delegates a job to the owner of a pool; returns `false` if this instance does
    /// not own the pool.
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
        let others = self
            .owners
            .iter()
            .filter(|(pool, _)| **pool != delegate.pool);
        let others_bytes: u64 = others.map(|(_, owner)| owner.jobs_bytes()).sum();
        let jobs_bytes_max = self.owned_jobs_bytes_max.saturating_sub(others_bytes);
        let unsafe_for_ms = delegate.unsafe_for_ms;
        let holder = delegate.unsafe_holder.as_ref();
        let taken = self.with_owner(&delegate.pool, effects, |owner, out| {
            owner.set_jobs_bytes_max(jobs_bytes_max);
            owner.on_origin_delegated(now_ms, origin);
            owner.delegate(now_ms, origin, spec, unsafe_for_ms, holder, out);
        });
        taken.is_some()
    }
}

/// Identifies an incarnation of an instance in the delegations of its entry; never 0.
fn identity_of(node: &Node) -> u64 {
    xxh3_64_with_seed(node.name.as_bytes(), node.incarnation).max(1)
}

/// Removes a caller's request when its future is dropped.
struct RequestGuard<P: Store + WorkerClient + 'static> {
    instance: Rc<Instance<P>>,
    request_id: RequestId,
}

impl<P: Store + WorkerClient + 'static> Drop for RequestGuard<P> {
    fn drop(&mut self) {
        self.instance.update(|state, _, effects| {
            state.pending_requests.remove(&self.request_id);
            state
                .entry
                .on_caller_disconnected(self.request_id, &mut effects.entry);
        });
    }
}
