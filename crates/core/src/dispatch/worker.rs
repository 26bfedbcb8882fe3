//! An owner's state of one worker.
//!
//! The free resources of a worker are its capacity minus the resources of every run
//! that *may* be there, including runs whose start is unanswered, that are being
//! stopped, or that an earlier owner started. A run is removed only when the worker
//! lists its completion, when a renewal under a newer fence does not list it, when
//! the worker's incarnation has ended, or when its lease has expired.

mod health;
mod incarnation;

use std::collections::BTreeSet;
use std::sync::Arc;

use trefoil_schema::dispatch::Phase;

use super::fence::Fence;
use super::limits::{
    CLOCK_DRIFT_MAX, IDLE_RETRY_BACKOFF_MAX_MS, RETRY_BACKOFF_MAX_MS, RETRY_BACKOFF_MIN_MS,
    UNLISTED_GRACE_MS,
};
use super::order::JobKey;
use super::owner::Slowness;
pub use health::{SLOWDOWN_RANGE, WorkerHealth};
pub use incarnation::{Evidence, Rebirth, Succession, is_earlier};

/// A worker's entry in the platform's registry.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerRecord {
    /// Identifies the worker and, unless it starts again under the same id, one incarnation.
    pub id: Arc<str>,
    /// `ip:port`.
    pub address: Arc<str>,
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// Service whose tasks it runs.
    pub service: Arc<str>,
    /// Whether it is about to leave and accepts no new tasks.
    pub draining: bool,
    /// The exit that a draining worker has announced; `None` if the time is unknown.
    pub departure: Option<Departure>,
    /// Total resources for tasks.
    pub capacity: Resources,
    /// Labels for its kind and its rack.
    pub labels: BTreeSet<Arc<str>>,
    /// Start of the incarnation in Unix milliseconds; `None` if unknown. A worker may start
    /// again under the same id.
    pub born_ms: Option<u64>,
    /// Revision of the entry in the registry, which increases with each write; 0 if unknown, as
    /// in the reports of other owners.
    pub revision: u64,
}

/// The announced exit of a draining worker. Everything that runs on the worker ends with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Departure {
    /// Minimum time from the report until the exit.
    pub remaining_ms: u64,
    /// The worker's clock when it reported `remaining_ms`; `None` if unknown.
    pub reported_clock_ms: Option<u64>,
}

/// When a worker may exit, by the owner's monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpectedExit {
    /// Earliest time of the exit.
    pub earliest_ms: u64,
    /// When the worker reported it, as far as known.
    pub reported_ms: u64,
}

/// Resources of a worker or a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[expect(missing_docs, reason = "fields explain themselves")]
pub struct Resources {
    pub cpu_millicores: u64,
    pub memory_mb: u64,
    pub gpus: u64,
}

impl Resources {
    /// Whether `other` fits into these resources.
    pub fn fits(&self, other: &Self) -> bool {
        self.cpu_millicores >= other.cpu_millicores
            && self.memory_mb >= other.memory_mb
            && self.gpus >= other.gpus
    }

    /// The sum.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            cpu_millicores: self.cpu_millicores + other.cpu_millicores,
            memory_mb: self.memory_mb + other.memory_mb,
            gpus: self.gpus + other.gpus,
        }
    }

    /// The difference, with a minimum of 0 for each resource.
    #[must_use]
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            cpu_millicores: self.cpu_millicores.saturating_sub(other.cpu_millicores),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            gpus: self.gpus.saturating_sub(other.gpus),
        }
    }
}

/// State of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// The start was ordered with this fence and is not answered yet.
    Starting(Fence),
    /// The start was answered, or a renewal listed the run.
    Running,
    /// A stop was ordered.
    Stopping {
        /// When, in milliseconds of the monotonic clock.
        ordered_ms: u64,
    },
}

/// What a run belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOwner {
    /// The task with this index of a job.
    Task(JobKey, usize),
    /// No job: an earlier owner started it, or its job has ended.
    Orphan {
        /// When it is stopped if no job claims it.
        stop_at_ms: u64,
    },
}

impl RunOwner {
    /// The job that the run is for, if it is known.
    pub fn job(&self) -> Option<JobKey> {
        match *self {
            Self::Task(job, _) => Some(job),
            Self::Orphan { .. } => None,
        }
    }
}

/// A run that may be on the worker.
#[derive(Clone, Debug)]
pub struct Run {
    /// Name of the task.
    pub task: Arc<str>,
    /// Id of the run.
    pub run_id: u64,
    /// What it belongs to.
    pub owner: RunOwner,
    /// Current state.
    pub state: RunState,
    /// Resources that it uses; unknown for runs of an earlier owner.
    pub resources: Option<Resources>,
    /// When its start was ordered.
    pub ordered_ms: u64,
    /// When an answer first showed that it is on the worker.
    pub confirmed_ms: u64,
    /// Estimated run time on a worker of average speed.
    pub estimate_ms: u64,
    /// Estimated run time on this worker.
    pub expected_ms: u64,
    /// When action is taken if it has not ended.
    pub timeouts: RunTimeouts,
}

/// Remaining time that is assumed of an overdue run, as a share of its expected time.
pub(super) const OVERDUE_SHARE: f64 = 0.2;

impl Run {
    /// Expected end, as of `now_ms`.
    pub fn expected_end_ms(&self, now_ms: u64) -> u64 {
        let overdue_end_ms = now_ms + (self.expected_ms as f64 * OVERDUE_SHARE) as u64;
        overdue_end_ms.max(self.ordered_ms + self.expected_ms)
    }
}

/// Timeouts of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunTimeouts {
    /// Time after which the worker is polled for the completion.
    pub check_ms: u64,
    /// Time after which the run is considered stalled.
    pub stall_ms: u64,
    /// The same if the run may take several times longer by itself.
    pub long_stall_ms: u64,
    /// Whether tasks of its class take several times longer by themselves now and then.
    pub heavy_tailed: bool,
}

/// Whether the worker accepts orders of this owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FencingState {
    /// No renewal has been answered under the current fence.
    Unfenced,
    /// A renewal has been answered; the worker's runs are known.
    Fenced,
    /// The worker has seen a higher fence of another owner.
    Superseded,
}

/// The renewal that is waiting for its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenRenewal {
    /// Unique among the renewals sent to the worker.
    pub number: u64,
    /// Fence that it was sent with.
    pub fence: Fence,
    /// Number of the last completion that it acknowledges.
    pub acked_completion: u64,
    /// When it was sent.
    pub sent_ms: u64,
    /// How long the worker may delay the answer until a run ends.
    pub wait_ms: u64,
}

/// Longest time of the owner's clock that a lease of `lease_ms` of a worker's clock takes.
fn longest_lease_ms(lease_ms: u64) -> u64 {
    (lease_ms as f64 / (1.0 - CLOCK_DRIFT_MAX)) as u64 + 1
}

/// A worker of an owner.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Last entry in the registry. `born_ms` is that of the latest known incarnation.
    pub record: WorkerRecord,
    /// When the known incarnation was first seen, by the owner's clock; 0 for the first one.
    shown_ms: u64,
    /// Start that its last entry in the registry tells.
    listed_born_ms: Option<u64>,
    /// Whether the registry has not listed the entry of this incarnation yet, so that its
    /// capacity and labels are unknown.
    pub awaits_entry: bool,
    /// Its last rebirth that this owner has seen.
    pub rebirth: Option<Rebirth>,
    /// Fence that it was first called with in this incarnation. Orders under lower ones may have
    /// been answered by an earlier one.
    first_fence: Fence,
    /// When it may exit, if it has announced that.
    pub exit: Option<ExpectedExit>,
    /// Since when the registry has not listed it.
    pub unlisted_since_ms: Option<u64>,
    /// Highest fence used for it.
    pub fence: Fence,
    /// Whether it accepts orders.
    pub fencing: FencingState,
    /// Whether tasks may be started there: the stored roster must name the worker, so
    /// that a successor knows that it may have runs of this owner.
    pub in_stored_roster: bool,
    /// Runs that may be there.
    pub runs: Vec<Run>,
    /// The renewal that is waiting for its answer.
    pub renewal: Option<OpenRenewal>,
    /// Number of renewals sent.
    pub renewals_sent: u64,
    /// Whether to poll its runs at once, in addition to the open renewal.
    pub poll_due: bool,
    /// Number of unanswered renewals since the last answered one.
    pub unanswered_renewals: u32,
    /// When a renewal was last answered.
    pub last_heard_ms: u64,
    /// Whether the last renewal was not answered. Until one is, renewals do not extend
    /// the lease: otherwise the runs there would never be certain to have expired.
    pub last_renewal_unanswered: bool,
    /// Earliest time of the next call.
    pub backoff_until_ms: u64,
    /// Number of the last completion that was processed.
    pub last_completion: u64,
    /// Number of the last completion that an answered renewal has acknowledged.
    pub acked_completion: u64,
    /// When the last completion was processed.
    pub last_completion_ms: u64,
    /// Last reading of its clock, and when it was read.
    clock: Option<(u64, u64)>,
    /// When all leases granted so far have expired.
    pub leases_expire_ms: u64,
    /// Recent failures and speed.
    pub health: WorkerHealth,
    /// Factor on run times while the worker is temporarily slow; 1 if it is not.
    pub degradation: f64,
    /// Evidence for that, and probes while it is suspected.
    pub(crate) slowness: Slowness,
}

impl Worker {
    /// Creates a worker that this owner has not called yet.
    pub fn new(record: WorkerRecord, fence: Fence) -> Self {
        Self {
            shown_ms: 0,
            listed_born_ms: record.born_ms,
            record,
            awaits_entry: false,
            rebirth: None,
            first_fence: fence,
            exit: None,
            unlisted_since_ms: None,
            fence,
            fencing: FencingState::Unfenced,
            in_stored_roster: true,
            runs: Vec::new(),
            renewal: None,
            renewals_sent: 0,
            poll_due: false,
            unanswered_renewals: 0,
            last_heard_ms: 0,
            last_renewal_unanswered: false,
            backoff_until_ms: 0,
            last_completion: 0,
            acked_completion: 0,
            last_completion_ms: 0,
            clock: None,
            leases_expire_ms: 0,
            health: WorkerHealth::default(),
            degradation: 1.0,
            slowness: Slowness::default(),
        }
    }

    /// Expected run time here of a task that takes `estimate_ms` on a worker of average
    /// speed.
    pub fn expected_ms(&self, estimate_ms: u64) -> u64 {
        (estimate_ms as f64 * self.run_time_factor()) as u64
    }

    /// Factor on run times here, relative to a worker of average speed.
    pub fn run_time_factor(&self) -> f64 {
        self.health.slowdown * self.degradation
    }

    /// Capacity that no run may be using; zero if the resources of a run are unknown.
    pub fn free_resources(&self) -> Resources {
        let mut free = self.record.capacity;
        for run in &self.runs {
            match run.resources {
                Some(used) => free = free.minus(&used),
                None => return Resources::default(),
            }
        }
        free
    }

    /// Number of runs whose starts are not answered yet.
    pub fn starting_runs(&self) -> usize {
        let is_starting = |run: &&Run| matches!(run.state, RunState::Starting(_));
        self.runs.iter().filter(is_starting).count()
    }

    /// Whether tasks of a phase of a job for `service` may run there at all.
    pub fn can_run(&self, service: &str, phase: &Phase) -> bool {
        let label = phase.required_label.as_str();
        *self.record.service == *service && (label.is_empty() || self.record.labels.contains(label))
    }

    /// Whether the data of a phase's tasks is on another rack.
    pub fn is_remote(&self, phase: &Phase) -> bool {
        let rack = phase.data_rack.as_str();
        !rack.is_empty() && !self.record.labels.contains(rack)
    }

    /// Whether it has been missing from the registry for longer than the grace period.
    pub fn has_left(&self, now_ms: u64) -> bool {
        let since_ms = self.unlisted_since_ms;
        since_ms.is_some_and(|since_ms| now_ms >= since_ms + UNLISTED_GRACE_MS)
    }

    /// Whether new tasks may be started there.
    pub fn accepts_tasks(&self, now_ms: u64) -> bool {
        self.fencing == FencingState::Fenced
            && self.in_stored_roster
            && !self.awaits_entry
            && !self.has_left(now_ms)
            && !self.record.draining
            && self.health.allows_task(now_ms, self.runs.len())
            && self.slowness.accepts_task(now_ms)
    }

    /// Whether new tasks may be started there, or can be once it has answered a call
    /// that is in progress.
    pub fn accepts_tasks_soon(&self, now_ms: u64) -> bool {
        self.fencing != FencingState::Superseded
            && !self.last_renewal_unanswered
            && !self.awaits_entry
            && !self.has_left(now_ms)
            && !self.record.draining
            && !self.health.is_on_probation()
            && !self.slowness.is_suspected()
    }

    /// Records a renewal without an answer, and backs off.
    pub fn record_unanswered_renewal(&mut self, now_ms: u64) {
        let pause_ms = RETRY_BACKOFF_MIN_MS << self.unanswered_renewals.min(8);
        self.unanswered_renewals += 1;
        let longest_ms = match self.runs.is_empty() {
            true => IDLE_RETRY_BACKOFF_MAX_MS,
            false => RETRY_BACKOFF_MAX_MS,
        };
        self.backoff_until_ms = now_ms + pause_ms.min(longest_ms);
    }

    /// Index of a run.
    pub fn position(&self, task: &str, run_id: u64) -> Option<usize> {
        let same = |run: &Run| run.run_id == run_id && &*run.task == task;
        self.runs.iter().position(same)
    }

    /// Records a reading of its clock; one behind the known lower bound is ignored.
    pub fn observe_clock(&mut self, now_ms: u64, clock_ms: u64) {
        let known_ms = self.clock_ms(now_ms);
        if known_ms.is_none_or(|known_ms| clock_ms > known_ms) {
            self.clock = Some((clock_ms, now_ms));
        }
    }

    /// Lower bound of its current clock; `None` before its first answer.
    pub fn clock_ms(&self, now_ms: u64) -> Option<u64> {
        let (clock_ms, read_ms) = self.clock?;
        let since_ms = now_ms.saturating_sub(read_ms) as f64;
        Some(clock_ms + (since_ms * (1.0 - CLOCK_DRIFT_MAX)) as u64)
    }

    /// Records a lease of `lease_ms`, shortened by `reduction_ms`, and returns its
    /// deadline on the worker's clock; `None` if nothing is left of it or the clock is
    /// unknown.
    pub fn extend_lease(&mut self, now_ms: u64, lease_ms: u64, reduction_ms: u64) -> Option<u64> {
        let lease_ms = lease_ms.checked_sub(reduction_ms)?;
        let deadline_ms = self.clock_ms(now_ms)? + lease_ms;
        let expires_ms = now_ms + longest_lease_ms(lease_ms);
        self.leases_expire_ms = self.leases_expire_ms.max(expires_ms);
        Some(deadline_ms)
    }

    /// Requests a poll of its runs, unless one is in progress.
    pub fn request_poll(&mut self) {
        self.poll_due = self.renewal.is_none_or(|renewal| renewal.wait_ms > 0);
    }

    /// Raises the fence, so that the next answered renewal invalidates all earlier orders
    /// whose outcome is unknown.
    pub fn raise_fence(&mut self) {
        self.fence = self.fence.raised();
        self.fencing = FencingState::Unfenced;
    }
}
