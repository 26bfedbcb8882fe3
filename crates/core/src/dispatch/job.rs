//! A job's tasks and their order.

use std::cmp::Reverse;
use std::sync::Arc;

use trefoil_schema::dispatch::{Job as JobSpec, Phase};

use super::order::WorkerKey;
use super::owner::StartBarrier;

/// Up to this multiple of the objective, an answer is late but not worthless.
pub const LATE_FACTOR: f64 = 3.0;
/// A job that has not started is given up when the late objective, which rests
/// on a rough estimate, has passed by this factor.
const HOPELESS_FACTOR: f64 = 1.5;

/// Whoever delegated a job and awaits its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Origin {
    /// This instance's own entry.
    Local,
    /// A link that another instance dialed.
    Link(u64),
}

/// Where one task stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskState {
    /// To be started, not before this instant.
    Waiting {
        /// Milliseconds of the steady clock.
        not_before_ms: u64,
    },
    /// On a worker, or on its way there.
    Assigned(WorkerKey),
    /// Done.
    Done,
}

/// One task.
#[derive(Clone, Debug)]
pub struct Task {
    /// Position of its phase in the job.
    pub phase: u16,
    /// Name that workers know it by.
    pub name: Arc<str>,
    /// Where it stands.
    pub state: TaskState,
    /// Runs that ended as failed.
    pub failures: u32,
    /// Runs that were stopped because they took far too long.
    pub stalls: u32,
    /// Workers that were lost while a run of it was there, and not heard since.
    pub lost_on: Vec<WorkerKey>,
    /// Number of its last run; 0 before the first.
    pub run_id: u64,
}

impl Task {
    /// Whether it is to be started.
    pub fn is_waiting(&self) -> bool {
        matches!(self.state, TaskState::Waiting { .. })
    }

    /// Whether a worker was lost under it, so that it may crash the next one.
    pub fn is_suspect(&self) -> bool {
        !self.lost_on.is_empty()
    }
}

/// One job at its owner.
#[derive(Clone, Debug)]
pub struct Job {
    /// What the caller asked for.
    pub spec: JobSpec,
    /// The caller's text for the tasks, shared by their starts.
    pub task_spec: Arc<str>,
    /// Who awaits the end; none once the origin has gone.
    pub origin: Option<Origin>,
    /// All tasks, by phase and index.
    pub tasks: Vec<Task>,
    /// When the caller's request was read.
    pub arrived_ms: u64,
    /// Until then tasks that an earlier owner started may run ...
    pub unsafe_until_ms: u64,
    /// ... unless this makes it safe sooner.
    pub start_barrier: StartBarrier,
    /// Whether the job's runs are being stopped.
    pub stopping: bool,
    /// Whether the origin's link broke: nothing new starts until it is back.
    pub paused: bool,
    /// Whether any task was ever ordered to start.
    pub started: bool,
    /// Workers on which tasks of it failed, each once; others are tried first.
    pub failed_on: Vec<WorkerKey>,
}

impl Job {
    /// A job none of whose tasks is known to run.
    pub fn new(spec: JobSpec, origin: Origin, now_ms: u64) -> Self {
        let tasks = tasks_of(&spec);
        let arrived_ms = now_ms.saturating_sub(spec.age_ms);
        Self {
            task_spec: Arc::from(spec.spec.as_str()),
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

    /// Whether no earlier owner's order can start any of its tasks; `fenced`
    /// tells whether all workers obey that the predecessor may have ordered.
    pub fn is_safe(&self, now_ms: u64, fenced: bool) -> bool {
        let cleared = match self.start_barrier {
            StartBarrier::LeaseExpiry => false,
            StartBarrier::None => true,
            StartBarrier::PredecessorFenced => fenced,
        };
        cleared || now_ms >= self.unsafe_until_ms
    }

    /// The phase that a task belongs to.
    pub fn phase(&self, task: &Task) -> &Phase {
        &self.spec.phases[usize::from(task.phase)]
    }

    /// Whether all phases that `phase` comes after are done.
    pub fn is_phase_ready(&self, phase: usize) -> bool {
        let after = &self.spec.phases[phase].after;
        after.is_empty() || {
            let open = |task: &&Task| task.state != TaskState::Done;
            let mut tasks = self.tasks.iter().filter(open);
            !tasks.any(|task| after.contains(&u32::from(task.phase)))
        }
    }

    /// A task of it failed on a worker.
    pub fn record_failure(&mut self, on: WorkerKey) {
        if !self.failed_on.contains(&on) {
            self.failed_on.push(on);
        }
    }

    /// Whether its failures are likely its own fault: tasks have failed on
    /// several workers, and none was ever done.
    pub fn is_suspect(&self) -> bool {
        let done = |task: &Task| task.state == TaskState::Done;
        self.failed_on.len() > 1 && !self.tasks.iter().any(done)
    }

    /// The task by which a suspect job shows soonest whether it can be done:
    /// the one that has failed most often.
    pub fn probe_task(&self) -> Option<usize> {
        let tasks = self.tasks.iter().enumerate();
        let most = tasks.max_by_key(|(index, task)| (task.failures, Reverse(*index)));
        most.map(|(index, _)| index)
    }

    /// Whether every task is done.
    pub fn is_done(&self) -> bool {
        self.tasks.iter().all(|task| task.state == TaskState::Done)
    }

    /// Whether a task is on a worker, or may be.
    pub fn has_assigned_tasks(&self) -> bool {
        let on_worker = |task: &Task| matches!(task.state, TaskState::Assigned(_));
        self.tasks.iter().any(on_worker)
    }

    /// Longest time that the rest of the job takes, by its estimates.
    pub fn remaining_ms(&self) -> u64 {
        if let [only] = self.spec.phases.as_slice() {
            return only.estimate_ms;
        }
        let open = self
            .tasks
            .iter()
            .filter(|task| task.state != TaskState::Done);
        let mut phases_ms = vec![0_u64; self.spec.phases.len()];
        for task in open {
            phases_ms[usize::from(task.phase)] = self.phase(task).estimate_ms;
        }
        for phase in 0..phases_ms.len() {
            let after = self.spec.phases[phase].after.iter();
            let before = after.filter_map(|&prior| phases_ms.get(prior as usize));
            phases_ms[phase] += before.max().copied().unwrap_or(0);
        }
        phases_ms.into_iter().max().unwrap_or(0)
    }

    /// Whether an answer can no longer be of use: the caller will have left, or
    /// the late objective has passed by far. Estimates are off by half.
    pub fn is_expired(&self, now_ms: u64) -> bool {
        now_ms + self.remaining_ms() / 2 > self.caller_deadline_ms() || now_ms > self.expiry_ms()
    }

    /// From when on its answer is surely of no use, even if its work is
    /// underestimated.
    pub fn expiry_ms(&self) -> u64 {
        self.objective_ms(LATE_FACTOR * HOPELESS_FACTOR)
    }

    /// When the caller stops waiting for its answer.
    pub fn caller_deadline_ms(&self) -> u64 {
        match self.spec.patience_ms {
            0 => u64::MAX,
            patience_ms => self.arrived_ms + patience_ms,
        }
    }

    /// Processor that its waiting tasks take together, thousandths of a core:
    /// those of phases that may begin.
    pub fn waiting_millicores(&self) -> u64 {
        let tasks = self.tasks.iter().filter(|task| task.is_waiting());
        let ready = tasks.filter(|task| self.is_phase_ready(usize::from(task.phase)));
        ready.map(|task| self.phase(task).cpu_millicores).sum()
    }

    /// Work that is not begun, by its estimates: thousandths of a core times
    /// milliseconds.
    pub fn waiting_millicore_ms(&self) -> u64 {
        let tasks = self.tasks.iter().filter(|task| task.is_waiting());
        let phases = tasks.map(|task| self.phase(task));
        let work = phases.map(|phase| phase.cpu_millicores * phase.estimate_ms);
        work.sum()
    }

    /// When the caller's objective passes, by the estimates.
    pub fn objective_ms(&self, times: f64) -> u64 {
        let chain_ms = chain_ms(&self.spec.phases) as f64;
        let objective_ms = self.spec.stretch * chain_ms + self.spec.slo_ms as f64;
        self.arrived_ms + (objective_ms * times) as u64
    }
}

/// The longest chain of estimates through the phases.
fn chain_ms(phases: &[Phase]) -> u64 {
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
        lost_on: Vec::new(),
        run_id: 0,
    };
    indexed.map(task).collect()
}
