//! A job at its owner: its tasks, phases and latency objective.

use std::cmp::Reverse;
use std::sync::Arc;

use trefoil_schema::dispatch::{Job as JobSpec, Phase};

use super::footprint;
use super::link::LinkId;
use super::order::WorkerKey;
use super::owner::StartBarrier;
use super::worker::WorkerRecord;

/// Up to this multiple of the latency objective, an answer is late but still useful.
pub const LATE_FACTOR: f64 = 3.0;
/// Multiple of the late objective after which a job that has not started expires. The
/// objective is based on rough estimates.
const EXPIRY_FACTOR: f64 = 1.5;

/// Where a job was delegated from, and its outcome is reported to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Origin {
    /// The entry of this instance.
    Local,
    /// A link from another instance.
    Link(LinkId),
}

/// State of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskState {
    /// To be started.
    Waiting {
        /// Earliest start, in milliseconds of the monotonic clock.
        not_before_ms: u64,
    },
    /// Running on a worker, or ordered to start there.
    Assigned(WorkerKey),
    /// Completed.
    Done,
}

/// A worker that was lost while a task may have run there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerLoss {
    /// Id of the lost incarnation.
    pub worker_id: Arc<str>,
    /// Its `ip:port`.
    pub address: Arc<str>,
    /// Its start in Unix milliseconds; `None` if unknown.
    pub born_ms: Option<u64>,
    /// Id of the run.
    pub run_id: u64,
    /// Whether the run had begun: its start was answered, or the worker listed it. Otherwise
    /// the start may never have arrived.
    pub has_begun: bool,
    /// Whether others were lost at the same time, likely for a common cause.
    pub is_correlated: bool,
    /// Whether a later incarnation has been seen, so that the worker has crashed. Otherwise it
    /// may also be unreachable.
    pub has_restarted: bool,
}

impl WorkerLoss {
    /// Whether it is the loss of this incarnation, as far as known.
    pub fn is_of(&self, record: &WorkerRecord) -> bool {
        let starts = self.born_ms.zip(record.born_ms);
        self.worker_id == record.id && starts.is_none_or(|(lost_ms, born_ms)| lost_ms == born_ms)
    }
}

/// A task of a job.
#[derive(Clone, Debug)]
pub struct Task {
    /// Index of its phase in the job.
    pub phase: u16,
    /// Name in orders to workers.
    pub name: Arc<str>,
    /// Current state.
    pub state: TaskState,
    /// Number of runs that failed.
    pub failures: u32,
    /// Number of runs that were stopped as stalled.
    pub stalls: u32,
    /// Workers that were lost during a run of it and have not answered since.
    pub losses: Vec<WorkerLoss>,
    /// Id of the last run; 0 before the first.
    pub run_id: u64,
}

impl Task {
    /// Whether it is to be started.
    pub fn is_waiting(&self) -> bool {
        matches!(self.state, TaskState::Waiting { .. })
    }

    /// Number of workers that it may have crashed.
    pub fn suspect_losses(&self) -> usize {
        self.count_losses(|loss| !loss.is_correlated)
    }

    /// Whether a worker was lost during a run of it, so that it may crash others.
    pub fn is_suspect(&self) -> bool {
        self.suspect_losses() > 0
    }

    /// Number of its losses that meet a condition.
    pub fn count_losses(&self, condition: impl Fn(&WorkerLoss) -> bool) -> usize {
        self.losses.iter().filter(|loss| condition(loss)).count()
    }
}

/// A job at its owner.
#[derive(Clone, Debug)]
pub struct Job {
    /// The delegated job.
    pub spec: JobSpec,
    /// The caller's specification of the tasks, shared by all start orders.
    pub task_spec: Arc<str>,
    /// Where the outcome is reported to; `None` once the origin is gone.
    pub origin: Option<Origin>,
    /// All tasks, ordered by phase and index.
    pub tasks: Vec<Task>,
    /// When the caller submitted the job.
    pub arrived_ms: u64,
    /// Until then, tasks that an earlier owner started may be running, unless
    /// `start_barrier` is passed sooner.
    pub unsafe_until_ms: u64,
    /// What must happen before tasks may start.
    pub start_barrier: StartBarrier,
    /// Whether the job's runs are being stopped.
    pub stopping: bool,
    /// Whether the origin's link is down; no tasks are started meanwhile.
    pub paused: bool,
    /// Whether a start was ever ordered for any task.
    pub started: bool,
    /// Memory that it occupies, estimated.
    pub footprint_bytes: u64,
    /// Workers on which tasks of the job failed, without duplicates. Others are
    /// preferred.
    pub failed_on: Vec<WorkerKey>,
}

impl Job {
    /// Creates a job without any known runs.
    pub fn new(spec: JobSpec, origin: Origin, now_ms: u64) -> Self {
        let tasks = tasks_of(&spec);
        let arrived_ms = now_ms.saturating_sub(spec.age_ms);
        Self {
            task_spec: Arc::from(spec.spec.as_str()),
            footprint_bytes: footprint::owned_job_bytes(&spec),
            spec,
            origin: Some(origin),
            tasks,
            arrived_ms,
            unsafe_until_ms: now_ms,
            start_barrier: StartBarrier::LeaseExpiry,
            stopping: false,
            paused: false,
            started: false,
            failed_on: Vec::new(),
        }
    }

    /// Whether the same entry delegated it as `spec` before it delegated it as it is here.
    /// Frames of one link can be overtaken by those of another.
    pub fn is_earlier_delegation(&self, spec: &JobSpec) -> bool {
        let is_same_entry = spec.delegator != 0 && spec.delegator == self.spec.delegator;
        is_same_entry && spec.delegation < self.spec.delegation
    }

    /// Whether no order of an earlier owner can start a task of it any more.
    /// `predecessor_fenced` is whether all workers of the predecessor's roster are
    /// fenced.
    pub fn is_safe(&self, now_ms: u64, predecessor_fenced: bool) -> bool {
        let is_passed = match self.start_barrier {
            StartBarrier::LeaseExpiry => false,
            StartBarrier::None => true,
            StartBarrier::PredecessorFenced => predecessor_fenced,
        };
        is_passed || now_ms >= self.unsafe_until_ms
    }

    /// The phase of a task.
    pub fn phase(&self, task: &Task) -> &Phase {
        &self.spec.phases[usize::from(task.phase)]
    }

    /// The phases whose tasks may start, since all phases that they depend on are done.
    pub fn ready_phases(&self) -> ReadyPhases {
        let phases = &self.spec.phases;
        if phases.iter().all(|phase| phase.after.is_empty()) {
            return ReadyPhases::All;
        }
        let mut is_done = vec![true; phases.len()];
        let unfinished = |task: &&Task| task.state != TaskState::Done;
        for task in self.tasks.iter().filter(unfinished) {
            is_done[usize::from(task.phase)] = false;
        }
        let is_prior_done = |prior: &u32| is_done.get(*prior as usize).is_none_or(|done| *done);
        let ready = phases.iter();
        let ready = ready.map(|phase| phase.after.iter().all(is_prior_done));
        ReadyPhases::Some(ready.collect())
    }

    /// Records that a task failed on a worker.
    pub fn record_failure(&mut self, on: WorkerKey) {
        if !self.failed_on.contains(&on) {
            self.failed_on.push(on);
        }
    }

    /// Whether its failures are likely caused by the job itself: tasks have failed on
    /// several workers and none has completed.
    pub fn is_suspect(&self) -> bool {
        let done = |task: &Task| task.state == TaskState::Done;
        self.failed_on.len() > 1 && !self.tasks.iter().any(done)
    }

    /// Index of the task that is tried first in a suspect job: the one with the most
    /// failures.
    pub fn probe_task(&self) -> Option<usize> {
        let tasks = self.tasks.iter().enumerate();
        let most = tasks.max_by_key(|(index, task)| (task.failures, Reverse(*index)));
        most.map(|(index, _)| index)
    }

    /// Whether every task is done.
    pub fn is_done(&self) -> bool {
        self.tasks.iter().all(|task| task.state == TaskState::Done)
    }

    /// Whether a task is running on a worker, or may be.
    pub fn has_assigned_tasks(&self) -> bool {
        let is_assigned = |task: &Task| matches!(task.state, TaskState::Assigned(_));
        self.tasks.iter().any(is_assigned)
    }

    /// Estimated time of the critical path through the unfinished tasks.
    pub fn remaining_ms(&self) -> u64 {
        if let [only] = self.spec.phases.as_slice() {
            return only.estimate_ms;
        }
        let unfinished = self
            .tasks
            .iter()
            .filter(|task| task.state != TaskState::Done);
        let mut phases_ms = vec![0_u64; self.spec.phases.len()];
        for task in unfinished {
            phases_ms[usize::from(task.phase)] = self.phase(task).estimate_ms;
        }
        for phase in 0..phases_ms.len() {
            let after = self.spec.phases[phase].after.iter();
            let before = after.filter_map(|&prior| phases_ms.get(prior as usize));
            phases_ms[phase] += before.max().copied().unwrap_or(0);
        }
        phases_ms.into_iter().max().unwrap_or(0)
    }

    /// Whether an answer can no longer be useful: the caller will have stopped waiting,
    /// or the late objective was missed by far. Estimates may be twice too high.
    pub fn is_expired(&self, now_ms: u64) -> bool {
        now_ms + self.remaining_ms() / 2 > self.caller_deadline_ms() || now_ms > self.expiry_ms()
    }

    /// When an answer is of no use, even if the job's work was underestimated.
    pub fn expiry_ms(&self) -> u64 {
        self.objective_ms(LATE_FACTOR * EXPIRY_FACTOR)
    }

    /// When the caller stops waiting for the answer.
    pub fn caller_deadline_ms(&self) -> u64 {
        match self.spec.patience_ms {
            0 => u64::MAX,
            patience_ms => self.arrived_ms + patience_ms,
        }
    }

    /// CPU demand of the waiting tasks whose phases may start, in thousandths of a
    /// core.
    pub fn waiting_millicores(&self) -> u64 {
        let ready = self.ready_phases();
        let tasks = self.tasks.iter().filter(|task| task.is_waiting());
        let tasks = tasks.filter(|task| ready.contains(task.phase));
        tasks.map(|task| self.phase(task).cpu_millicores).sum()
    }

    /// Estimated work of the waiting tasks, in thousandths of a core times
    /// milliseconds.
    pub fn waiting_millicore_ms(&self) -> u64 {
        let tasks = self.tasks.iter().filter(|task| task.is_waiting());
        let phases = tasks.map(|task| self.phase(task));
        let work = phases.map(|phase| phase.cpu_millicores * phase.estimate_ms);
        work.sum()
    }

    /// When `factor` times the latency objective has passed since the submission.
    pub fn objective_ms(&self, factor: f64) -> u64 {
        let critical_path_ms = critical_path_ms(&self.spec.phases) as f64;
        let objective_ms = self.spec.stretch * critical_path_ms + self.spec.slo_ms as f64;
        self.arrived_ms + (objective_ms * factor) as u64
    }
}

/// The phases of a job whose tasks may start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadyPhases {
    /// All phases.
    All,
    /// Those whose index holds `true`.
    Some(Vec<bool>),
}

impl ReadyPhases {
    /// Whether the tasks of a phase may start.
    pub fn contains(&self, phase: u16) -> bool {
        match self {
            Self::All => true,
            Self::Some(ready) => ready[usize::from(phase)],
        }
    }
}

/// Estimated work of a job, in thousandths of a core times milliseconds.
pub(super) fn total_millicore_ms(spec: &JobSpec) -> u64 {
    let phases = spec.phases.iter();
    let work =
        phases.map(|phase| u64::from(phase.count) * phase.cpu_millicores * phase.estimate_ms);
    work.sum()
}

/// Estimated time of the critical path through the phases.
fn critical_path_ms(phases: &[Phase]) -> u64 {
    if let [only] = phases {
        return only.estimate_ms;
    }
    let mut ends_ms: Vec<u64> = Vec::with_capacity(phases.len());
    for phase in phases {
        let before = phase.after.iter();
        let before = before.filter_map(|&prior| ends_ms.get(prior as usize));
        let start_ms = before.max().copied().unwrap_or(0);
        ends_ms.push(start_ms + phase.estimate_ms);
    }
    ends_ms.into_iter().max().unwrap_or(0)
}

fn tasks_of(spec: &JobSpec) -> Vec<Task> {
    let phases = spec.phases.iter().enumerate();
    let indexed =
        phases.flat_map(|(phase, shape)| (0..shape.count).map(move |index| (phase, index)));
    let task = |(phase, index)| Task {
        phase: phase as u16,
        name: Arc::from(format!("{}.0.{phase}.{index}", spec.id)),
        state: TaskState::Waiting { not_before_ms: 0 },
        failures: 0,
        stalls: 0,
        losses: Vec::new(),
        run_id: 0,
    };
    indexed.map(task).collect()
}
