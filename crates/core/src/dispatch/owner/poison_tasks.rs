//! Poison tasks: tasks that crash the workers that start them.
//!
//! Prevents a poison task from taking down one worker after another, with all runs
//! there. A lost worker may also be unreachable, so a loss only makes a task suspect: it
//! is retried, on an otherwise idle worker if possible, and never beside another suspect
//! task, which would be suspected along with it. If every worker that has room runs a
//! suspect task, other tasks wait for its end while their jobs can still end in time.
//!
//! The second worker that has crashed under a task fails its job. A worker has crashed if a
//! later incarnation answers or registers at its address, but that does not tell when: a run
//! that was lost may never have begun, as its start was never answered, or may have ended with
//! its lease, behind a cut, before the worker crashed. A crash counts only if the run was
//! known to have begun and the later incarnation answers while the run still held a lease
//! that the worker had confirmed. So only workers that start again at once convict a task; one
//! that lost its runs in any other way is given up after the third, without a verdict.
//!
//! A worker that answers again in the same incarnation has not crashed; its loss is
//! forgotten. After two losses that are not both explained the task waits for the
//! explanation, for a limited time: a poison task would take down a third worker, but a task
//! whose workers were cut off must not wait for as long as the cut lasts.
//!
//! Losses that coincide do not make tasks suspect, since their cause is a rack, a failure
//! domain, or this instance's own network. They count as lost runs, as several poison tasks
//! can also be the cause. The loss of a draining worker, which has announced that it exits,
//! does not count.

use super::super::job::{LossCause, Task, WorkerLoss};
use super::super::worker::Run;
use super::placement::Candidate;
use super::*;

/// Workers that crashed under one task after which its job fails.
const CRASHES_MAX: usize = 2;
/// Losses under one task after which it waits until those that are unexplained are
/// explained.
const LOSSES_MAX: usize = 2;
/// Lost runs of one task after which its job is given up, unless one of the workers answers
/// again. The platform expects no three further starts after three crashes.
const LOST_RUNS_MAX: usize = 3;
/// Longest wait for the explanation of a loss. Together with the lease of the last run
/// it is shorter than the 3 s in which the platform expects a job to make progress.
const EXPLANATION_TIMEOUT_MS: u64 = 2000;
/// Losses within [`CORRELATION_WINDOW_MS`] that are assumed to have a common cause.
const CORRELATED_MIN: usize = 3;
/// Window in which losses are correlated: longer than the differences between the
/// lease expiries of workers that are lost at the same time.
const CORRELATION_WINDOW_MS: u64 = 1000;

/// Why a job is given up without a verdict on its task.
const LOST_TOO_OFTEN: &str = "workers were lost under a task too often";

/// Incarnations of workers that were lost recently, oldest first, and when.
#[derive(Debug, Default)]
pub(super) struct WorkerLosses(VecDeque<(u64, Arc<str>)>);

impl WorkerLosses {
    /// Records a loss, unless it is recorded already.
    fn record(&mut self, now_ms: u64, worker_id: &Arc<str>) {
        let is_old = |lost_ms: u64| lost_ms + CORRELATION_WINDOW_MS < now_ms;
        while self.0.front().is_some_and(|loss| is_old(loss.0)) {
            self.0.pop_front();
        }
        if !self.0.iter().any(|(_, id)| id == worker_id) {
            self.0.push_back((now_ms, worker_id.clone()));
        }
    }

    fn are_correlated(&self) -> bool {
        self.0.len() >= CORRELATED_MIN
    }
}

impl Owner {
    /// Requeues the tasks of workers that do not answer, after their leases have expired, and
    /// records the losses.
    pub(super) fn on_workers_lost(
        &mut self,
        now_ms: u64,
        lost: Vec<(WorkerKey, Vec<Run>)>,
        out: &mut Vec<Command>,
    ) {
        for (key, _) in &lost {
            let worker_id = &self.workers[*key].record.id;
            self.worker_losses.record(now_ms, worker_id);
        }
        let cause = match self.worker_losses.are_correlated() {
            true => LossCause::Correlated,
            false => LossCause::Unknown,
        };
        for (key, runs) in lost {
            let worker = &self.workers[key];
            let is_planned = worker.record.draining;
            let record = worker.record.clone();
            let lease_ms = confirmed_lease_ms(now_ms, worker);
            for run in runs {
                self.requeue(now_ms, &run.owner, 0);
                if !is_planned {
                    let loss = WorkerLoss::new(&record, run.run_id, cause);
                    self.record_worker_loss(now_ms, loss, &run, lease_ms, out);
                }
            }
        }
    }

    /// Requeues the tasks of a worker of which a later incarnation has answered, and records
    /// the loss. A start that the later incarnation rejects clears its loss again.
    pub(super) fn on_worker_crashed(
        &mut self,
        now_ms: u64,
        worker: Worker,
        out: &mut Vec<Command>,
    ) {
        self.worker_losses.record(now_ms, &worker.record.id);
        let is_planned = worker.record.draining;
        let lease_ms = confirmed_lease_ms(now_ms, &worker);
        for run in worker.runs {
            self.requeue(now_ms, &run.owner, 0);
            let cause = match run.state {
                _ if self.worker_losses.are_correlated() => LossCause::Correlated,
                RunState::Running if lease_ms > 0 => LossCause::CrashedUnderRun,
                _ => LossCause::Restarted,
            };
            let loss = WorkerLoss::new(&worker.record, run.run_id, cause);
            if !is_planned {
                self.record_worker_loss(now_ms, loss, &run, lease_ms, out);
            }
        }
        self.confirm_restart(now_ms, &worker.record, out);
    }

    fn record_worker_loss(
        &mut self,
        now_ms: u64,
        loss: WorkerLoss,
        run: &Run,
        confirmed_lease_ms: i64,
        out: &mut Vec<Command>,
    ) {
        let RunOwner::Task(key, index) = run.owner else {
            return;
        };
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let task = &mut job.tasks[index];
        let mut event = LogEvent::job("worker lost under task", &task.name);
        event.worker = loss.worker_id.to_string();
        task.losses.push(loss);
        let state = match run.state {
            RunState::Starting(_) => "unanswered",
            RunState::Running => "begun",
            RunState::Stopping { .. } => "stopping",
        };
        let losses = losses_detail(task);
        event.detail = format!("{state} confirmed_lease_ms {confirmed_lease_ms} {losses}");
        out.push(Command::Log(event));
        if awaits_explanation(task) {
            let not_before_ms = now_ms + EXPLANATION_TIMEOUT_MS;
            task.state = TaskState::Waiting { not_before_ms };
            self.queue.invalidate();
        }
        self.end_if_poison(now_ms, key, index, out);
    }

    /// Ends a job if a task of it crashes the workers that start it, or may do so and has
    /// lost too many runs.
    fn end_if_poison(&mut self, now_ms: u64, key: JobKey, index: usize, out: &mut Vec<Command>) {
        let job = &self.jobs[key];
        if job.stopping {
            return;
        }
        let task = &job.tasks[index];
        if task.crashes() >= CRASHES_MAX {
            let reason = "a task crashes the workers that start it";
            self.end_job(now_ms, key, Outcome::Failed, reason, out);
        } else if task.losses.len() >= LOST_RUNS_MAX && !awaits_explanation(task) {
            self.end_job(now_ms, key, Outcome::Abandoned, LOST_TOO_OFTEN, out);
        }
    }

    /// Gives up the jobs of tasks that have lost too many runs and have waited for an
    /// explanation.
    pub(super) fn abandon_suspects(&mut self, now_ms: u64, out: &mut Vec<Command>) {
        let is_hopeless = |task: &Task| {
            task.losses.len() >= LOST_RUNS_MAX
                && matches!(task.state, TaskState::Waiting { not_before_ms } if not_before_ms <= now_ms)
        };
        let hopeless = self.jobs.iter();
        let hopeless =
            hopeless.filter(|(_, job)| !job.stopping && job.tasks.iter().any(is_hopeless));
        let keys: Vec<JobKey> = hopeless.map(|(key, _)| key).collect();
        for key in keys {
            self.end_job(now_ms, key, Outcome::Abandoned, LOST_TOO_OFTEN, out);
        }
    }

    /// Whether a task may start again after the runs that it has lost.
    pub(super) fn may_start_again(&self, task: &Task) -> bool {
        task.losses.len() < LOST_RUNS_MAX
    }

    /// Records that a worker has started again, as a later incarnation has answered.
    fn confirm_restart(&mut self, now_ms: u64, record: &WorkerRecord, out: &mut Vec<Command>) {
        self.explain_losses(now_ms, out, |loss| match loss.worker_id == record.id {
            true => Explanation::Restarted,
            false => Explanation::None,
        });
    }

    /// Records that a lost worker has started again if a newly listed one has its address and it
    /// is no longer listed itself. While both are listed, the new one may be the earlier
    /// incarnation, whose entry has not expired yet.
    pub(super) fn confirm_replaced(
        &mut self,
        now_ms: u64,
        record: &WorkerRecord,
        listed: &HashSet<Arc<str>>,
        out: &mut Vec<Command>,
    ) {
        self.explain_losses(now_ms, out, |loss| {
            let is_replaced = loss.address == record.address && !listed.contains(&loss.worker_id);
            match is_replaced {
                true => Explanation::Restarted,
                false => Explanation::None,
            }
        });
    }

    /// Forgets the loss of a worker that answers again in the same incarnation.
    pub(super) fn clear_suspicion(
        &mut self,
        now_ms: u64,
        worker_id: &Arc<str>,
        out: &mut Vec<Command>,
    ) {
        self.explain_losses(now_ms, out, |loss| match loss.worker_id == *worker_id {
            true => Explanation::Unreachable,
            false => Explanation::None,
        });
    }

    /// Forgets the loss of a run that never began.
    pub(super) fn clear_loss_of_run(&mut self, now_ms: u64, task: &str, run_id: u64) {
        let Some((key, index)) = self.find_task(task) else {
            return;
        };
        let task = &mut self.jobs[key].tasks[index];
        if task.losses.iter().any(|loss| loss.run_id == run_id) {
            let awaited = awaits_explanation(task);
            task.losses.retain(|loss| loss.run_id != run_id);
            end_wait_if_explained(now_ms, task, awaited);
            self.queue.invalidate();
        }
    }

    /// Applies explanations to the losses of all tasks. A task that waited for one may
    /// start again, or its job is given up.
    fn explain_losses(
        &mut self,
        now_ms: u64,
        out: &mut Vec<Command>,
        explain: impl Fn(&WorkerLoss) -> Explanation,
    ) {
        let mut explained = Vec::new();
        for (key, job) in &mut self.jobs {
            for (index, task) in job.tasks.iter_mut().enumerate() {
                let explanations = apply_explanation(now_ms, task, &explain);
                for (worker_id, explanation) in &explanations {
                    let mut event = LogEvent::job("worker loss explained", &task.name);
                    event.worker = worker_id.to_string();
                    event.detail = format!("{explanation:?} {}", losses_detail(task));
                    out.push(Command::Log(event));
                }
                if !explanations.is_empty() {
                    explained.push((key, index));
                }
            }
        }
        if !explained.is_empty() {
            self.queue.invalidate();
        }
        for (key, index) in explained {
            if self.jobs.contains_key(key) {
                self.end_if_poison(now_ms, key, index, out);
            }
        }
    }

    /// Whether a task waits until the suspect tasks on the only workers that have room are
    /// expected to end, instead of being lost with them: only if its job can still end in
    /// time then.
    pub(super) fn awaits_suspects(
        &self,
        now_ms: u64,
        key: JobKey,
        index: usize,
        candidate: &Candidate,
    ) -> bool {
        let job = &self.jobs[key];
        if candidate.suspect_losses == 0 || job.tasks[index].is_suspect() {
            return false;
        }
        let worker = &self.workers[candidate.key];
        let suspects = worker.runs.iter().filter(|run| self.losses(run) > 0);
        let ends_ms = suspects.map(|run| run.ordered_ms + run.expected_ms);
        let free_ms = ends_ms.max().unwrap_or(0);
        let end_ms = free_ms + worker.expected_ms(job.remaining_ms());
        now_ms < free_ms && end_ms <= job.objective_ms(1.0)
    }

    /// Highest number of losses of a suspect task on a worker; 0 if there is none.
    pub(super) fn suspect_losses(&self, worker: &Worker) -> usize {
        let losses = worker.runs.iter().map(|run| self.losses(run));
        losses.max().unwrap_or(0)
    }

    /// Number of workers that a run's task may have crashed.
    fn losses(&self, run: &Run) -> usize {
        match run.owner {
            RunOwner::Task(key, index) => {
                let job = self.jobs.get(key);
                job.map_or(0, |job| job.tasks[index].suspect_losses())
            }
            RunOwner::Orphan { .. } => 0,
        }
    }
}

/// What became known of a lost worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Explanation {
    None,
    /// It answers again, and has run on meanwhile.
    Unreachable,
    Restarted,
}

/// Applies explanations to the losses of a task; returns those that were news.
fn apply_explanation(
    now_ms: u64,
    task: &mut Task,
    explain: impl Fn(&WorkerLoss) -> Explanation,
) -> Vec<(Arc<str>, Explanation)> {
    let mut explanations = Vec::new();
    let awaited = awaits_explanation(task);
    task.losses.retain_mut(|loss| {
        let explanation = explain(loss);
        let is_news = match explanation {
            Explanation::None => false,
            Explanation::Restarted => loss.cause == LossCause::Unknown,
            Explanation::Unreachable => true,
        };
        if is_news {
            explanations.push((loss.worker_id.clone(), explanation));
            loss.cause = LossCause::Restarted;
        }
        explanation != Explanation::Unreachable
    });
    end_wait_if_explained(now_ms, task, awaited);
    explanations
}

/// Whether a task waits for the explanation of a loss before it starts again or its job is
/// given up.
fn awaits_explanation(task: &Task) -> bool {
    let unexplained = match task.losses.len() {
        0..LOSSES_MAX => 0,
        LOSSES_MAX..LOST_RUNS_MAX => task.unexplained_losses(),
        // These workers may be unreachable as well.
        _ => task.unexplained_losses() + task.losses_by(LossCause::Correlated),
    };
    task.is_waiting() && unexplained > 0
}

/// Lets a task that has `awaited` an explanation start again if none is outstanding.
fn end_wait_if_explained(now_ms: u64, task: &mut Task, awaited: bool) {
    if awaited && !awaits_explanation(task) {
        task.state = TaskState::Waiting {
            not_before_ms: now_ms,
        };
    }
}

/// Time for which the runs of a worker still hold a lease that it has confirmed; negative
/// once it may have expired.
fn confirmed_lease_ms(now_ms: u64, worker: &Worker) -> i64 {
    worker.leases_hold_until_ms() as i64 - now_ms as i64
}

fn losses_detail(task: &Task) -> String {
    format!(
        "crashed {} restarted {} correlated {} unexplained {}",
        task.crashes(),
        task.losses_by(LossCause::Restarted),
        task.losses_by(LossCause::Correlated),
        task.unexplained_losses()
    )
}
