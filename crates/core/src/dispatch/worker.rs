//! What an owner knows of one worker.
//!
//! A worker's room is what its capacity leaves beside every run that *may* be
//! there: one that was ordered and not answered, one that is being stopped,
//! one of an earlier owner. A run leaves the table only when the worker lists
//! its end, when a hold under a newer fence shows that it is not there, when
//! the worker's life is over, or when its lease has lapsed.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::fence::Fence;
use super::limits::{
    CLOCK_DRIFT_MAX, IDLE_RETRY_BACKOFF_MAX_MS, RETRY_BACKOFF_MAX_MS, RETRY_BACKOFF_MIN_MS,
    UNLISTED_GRACE_MS,
};
use super::order::JobKey;

/// What the platform's registry says of a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerRecord {
    /// Names one life of the worker.
    pub id: Arc<str>,
    /// `ip:port`.
    pub address: Arc<str>,
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// Service whose tasks it runs.
    pub service: Arc<str>,
    /// Whether it leaves soon and takes nothing new.
    pub draining: bool,
    /// Room for tasks.
    pub capacity: Resources,
    /// Its kind, its rack.
    pub labels: BTreeSet<Arc<str>>,
}

/// Resources of a worker or a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Resources {
    /// Thousandths of a core.
    pub cpu_millicores: u64,
    /// Megabytes of memory.
    pub memory_mb: u64,
    /// Accelerators.
    pub gpus: u64,
}

impl Resources {
    /// Whether `other` fits into this.
    pub fn fits(&self, other: &Self) -> bool {
        self.cpu_millicores >= other.cpu_millicores
            && self.memory_mb >= other.memory_mb
            && self.gpus >= other.gpus
    }

    /// Both together.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            cpu_millicores: self.cpu_millicores + other.cpu_millicores,
            memory_mb: self.memory_mb + other.memory_mb,
            gpus: self.gpus + other.gpus,
        }
    }

    /// What is left without `other`.
    #[must_use]
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            cpu_millicores: self.cpu_millicores.saturating_sub(other.cpu_millicores),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            gpus: self.gpus.saturating_sub(other.gpus),
        }
    }
}

/// How far a run has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// Ordered under this fence; the answer is awaited.
    Starting(Fence),
    /// The start was answered, or a hold listed it.
    Running,
    /// A stop was ordered.
    Stopping {
        /// When, milliseconds of the steady clock.
        ordered_ms: u64,
    },
}

/// Whose run it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOwner {
    /// A task of a job here, by its position.
    Task(JobKey, usize),
    /// Nobody's here: an earlier owner's, or of a job that ended meanwhile.
    Orphan {
        /// When it is stopped if no job claims it.
        stop_at_ms: u64,
    },
}

/// A run that may be on the worker.
#[derive(Clone, Debug)]
pub struct Run {
    /// Name of its task.
    pub task: Arc<str>,
    /// Its number.
    pub run_id: u64,
    /// Whose it is.
    pub owner: RunOwner,
    /// How far it has come.
    pub state: RunState,
    /// What it takes; unknown of an earlier owner's runs.
    pub resources: Option<Resources>,
    /// When its start was ordered.
    pub ordered_ms: u64,
    /// When it was first known to be there, by an answer.
    pub confirmed_ms: u64,
    /// How long it should take on a worker of common speed.
    pub estimate_ms: u64,
    /// How long it should take here.
    pub expected_ms: u64,
    /// How long it may take before something is done about it.
    pub timeouts: RunTimeouts,
}

/// How long a run may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunTimeouts {
    /// After this time its end should have been told: the worker is asked.
    pub check_ms: u64,
    /// After this time it is taken for stalled.
    pub stall_ms: u64,
}

/// Whether the worker can be ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FencingState {
    /// It has not yet answered a hold under the present fence.
    Unfenced,
    /// It has; what runs there is known.
    Fenced,
    /// Another owner outranks this one.
    Superseded,
}

/// The hold that is on its way or open at the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenRenewal {
    /// Tells it apart from earlier ones.
    pub number: u64,
    /// Fence that it went out with.
    pub fence: Fence,
    /// Last end that it acknowledges.
    pub acked_completion: u64,
    /// When it was sent.
    pub sent_ms: u64,
    /// How long its answer may wait for something to end.
    pub wait_ms: u64,
}

/// One worker of an owner.
#[derive(Clone, Debug)]
pub struct Worker {
    /// What the registry says.
    pub record: WorkerRecord,
    /// Since when the registry lists it no more.
    pub unlisted_since_ms: Option<u64>,
    /// Highest fence used there.
    pub fence: Fence,
    /// Whether it can be ordered.
    pub fencing: FencingState,
    /// Whether the owner may use it: a successor would know that it did.
    pub in_stored_roster: bool,
    /// What may run there.
    pub runs: Vec<Run>,
    /// The hold that is open, if any.
    pub renewal: Option<OpenRenewal>,
    /// Holds sent so far.
    pub renewals_sent: u64,
    /// Whether it is to be asked at once what runs there, beside the open hold.
    pub poll_due: bool,
    /// Holds without an answer since the last one that had one.
    pub unanswered_renewals: u32,
    /// When a hold was last answered.
    pub last_heard_ms: u64,
    /// Whether the last hold had no answer: leases are not renewed blindly,
    /// or what runs there would never be known to have lapsed.
    pub last_renewal_unanswered: bool,
    /// No call goes there before this instant.
    pub backoff_until_ms: u64,
    /// Number of the last end taken in.
    pub last_completion: u64,
    /// Number of the last end that an answered hold has acknowledged.
    pub acked_completion: u64,
    /// When the last end was taken in.
    pub last_completion_ms: u64,
    /// Its clock, and the instant of its reading.
    clock: Option<(u64, u64)>,
    /// When all leases granted so far have lapsed.
    pub leases_expire_ms: u64,
    /// Recent evidence on it.
    pub health: WorkerHealth,
}

impl Worker {
    /// A worker that this owner has not yet talked to.
    pub fn new(record: WorkerRecord, fence: Fence) -> Self {
        Self {
            record,
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
        }
    }

    /// Room beside all that may run there; none with a run of unknown size.
    pub fn free_resources(&self) -> Resources {
        let mut free = self.record.capacity;
        for run in &self.runs {
            match run.resources {
                Some(room) => free = free.minus(&room),
                None => return Resources::default(),
            }
        }
        free
    }

    /// Whether the registry has not listed it for so long that it has left.
    pub fn has_left(&self, now_ms: u64) -> bool {
        let since_ms = self.unlisted_since_ms;
        since_ms.is_some_and(|since_ms| now_ms >= since_ms + UNLISTED_GRACE_MS)
    }

    /// Whether new tasks may go there.
    pub fn accepts_tasks(&self, now_ms: u64) -> bool {
        self.fencing == FencingState::Fenced
            && self.in_stored_roster
            && !self.has_left(now_ms)
            && !self.record.draining
            && self.health.allows_task(now_ms, self.runs.len())
    }

    /// Whether new tasks may go there, or may once it has answered a call that
    /// is on its way.
    pub fn accepts_tasks_soon(&self, now_ms: u64) -> bool {
        self.fencing != FencingState::Superseded
            && !self.last_renewal_unanswered
            && !self.has_left(now_ms)
            && !self.record.draining
            && !self.health.is_on_probation()
    }

    /// A hold had no answer: when the next one may go out.
    pub fn record_unanswered_renewal(&mut self, now_ms: u64) {
        let pause_ms = RETRY_BACKOFF_MIN_MS << self.unanswered_renewals.min(8);
        self.unanswered_renewals += 1;
        let longest_ms = match self.runs.is_empty() {
            true => IDLE_RETRY_BACKOFF_MAX_MS,
            false => RETRY_BACKOFF_MAX_MS,
        };
        self.backoff_until_ms = now_ms + pause_ms.min(longest_ms);
    }

    /// Position of a run.
    pub fn position(&self, task: &str, run_id: u64) -> Option<usize> {
        let same = |run: &Run| run.run_id == run_id && &*run.task == task;
        self.runs.iter().position(same)
    }

    /// Takes in a reading of its clock.
    pub fn observe_clock(&mut self, now_ms: u64, clock_ms: u64) {
        let known_ms = self.clock_ms(now_ms);
        if known_ms.is_none_or(|known_ms| clock_ms > known_ms) {
            self.clock = Some((clock_ms, now_ms));
        }
    }

    /// A lower bound of its clock; none before its first answer.
    pub fn clock_ms(&self, now_ms: u64) -> Option<u64> {
        let (clock_ms, read_ms) = self.clock?;
        let since_ms = now_ms.saturating_sub(read_ms) as f64;
        Some(clock_ms + (since_ms * (1.0 - CLOCK_DRIFT_MAX)) as u64)
    }

    /// A deadline for an order that goes out now, and notes the lease of
    /// `lease_ms`, cut by `cut_ms`; none where nothing is left of it.
    pub fn extend_lease(&mut self, now_ms: u64, lease_ms: u64, cut_ms: u64) -> Option<u64> {
        let lease_ms = lease_ms.checked_sub(cut_ms)?;
        let deadline_ms = self.clock_ms(now_ms)? + lease_ms;
        let longest_ms = (lease_ms as f64 / (1.0 - CLOCK_DRIFT_MAX)) as u64 + 1;
        self.leases_expire_ms = self.leases_expire_ms.max(now_ms + longest_ms);
        Some(deadline_ms)
    }

    /// Asks it at once what runs there, unless that is being asked.
    pub fn request_poll(&mut self) {
        self.poll_due = self.renewal.is_none_or(|hold| hold.wait_ms > 0);
    }

    /// Raises the fence: earlier orders of unknown fate die with the next hold.
    pub fn raise_fence(&mut self) {
        self.fence = self.fence.raised();
        self.fencing = FencingState::Unfenced;
    }
}

/// Pause of a worker after its first failure; doubles with each further one.
const PROBATION_MS: u64 = 250;
/// Longest pause.
const PROBATION_MAX_MS: u64 = 4000;
/// Weight of the newest run in the average of speed.
const SPEED_WEIGHT: f64 = 0.2;
/// Bounds of the learned factor on run times.
const SLOWNESS: std::ops::RangeInclusive<f64> = 0.5..=12.0;

/// Evidence on a worker: outcomes and run times.
///
/// One failure is enough for a pause, since tasks rarely fail by themselves
/// and workers that fail everything start everything that they are given.
/// After the pause one task at a time goes there until one is done.
#[derive(Clone, Debug)]
pub struct WorkerHealth {
    failures: u32,
    paused_until_ms: u64,
    /// Run times there against the estimates; 1 is as estimated.
    pub slowdown: f64,
}

impl Default for WorkerHealth {
    fn default() -> Self {
        Self {
            failures: 0,
            paused_until_ms: 0,
            slowdown: 1.0,
        }
    }
}

impl WorkerHealth {
    /// Whether one more task may go there beside `runs` others.
    pub fn allows_task(&self, now_ms: u64, runs: usize) -> bool {
        self.failures == 0 || (now_ms >= self.paused_until_ms && runs == 0)
    }

    /// Whether it has failed since it last got a task done.
    pub fn is_on_probation(&self) -> bool {
        self.failures > 0
    }

    /// A task was done there that takes `estimate_ms` at common speed.
    pub fn record_success(&mut self, estimate_ms: u64, took_ms: u64) {
        self.failures = 0;
        let ratio = took_ms as f64 / (estimate_ms.max(1) as f64);
        let ratio = ratio.clamp(*SLOWNESS.start(), *SLOWNESS.end());
        self.slowdown += SPEED_WEIGHT * (ratio - self.slowdown);
    }

    /// Its only failure lately was its job's fault. Several are its own: they
    /// are of several jobs.
    pub fn clear_single_failure(&mut self) {
        if self.failures == 1 {
            self.failures = 0;
        }
    }

    /// A task failed or stalled there.
    pub fn record_failure(&mut self, now_ms: u64) {
        let pause_ms = PROBATION_MS << self.failures.min(8);
        self.failures += 1;
        self.paused_until_ms = now_ms + pause_ms.min(PROBATION_MAX_MS);
    }
}
