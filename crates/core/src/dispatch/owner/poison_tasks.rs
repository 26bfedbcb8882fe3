//! Poison tasks: tasks that crash the workers that start them.
//!
//! Prevents a poison task from taking down one worker after another, with all runs
//! there. A lost worker may also be unreachable, so a loss only makes a task suspect: it
//! is retried, on an otherwise idle worker if possible, and never beside another suspect
//! task, which would be suspected along with it. If every worker that has room runs a
//! suspect task, other tasks wait for its end while their jobs can still end in time.
//!
//! No lost run counts as a failure of its task. A later incarnation shows that the worker has
//! crashed, but not when: a start that was never answered may not have arrived before, and a run
//! that had begun may have ended before, by itself or with its lease behind a cut. So after
//! [`LOST_RUNS_MAX`] lost runs the job is given up, and its caller is told that it may have run.
//! The price is that a job is never reported as failed for a task that does crash its workers.
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

use super::super::job::{Task, WorkerLoss};
use super::super::worker::Run;
use super::placement::Candidate;
use super::*;

/// Lost runs of one task after which its job is given up: those that had begun, and those
/// whose workers have started again since.
const LOST_RUNS_MAX: usize = 3;
/// The same, counting starts that were never answered by workers that are still silent. The
/// platform allows five starts of a task that crashes each worker.
const LOST_STARTS_MAX: usize = 5;
/// Losses under one task after which it waits until those that are unexplained are
/// explained.
const LOSSES_MAX: usize = 2;
/// Longest wait for the explanation of a loss. Together with the lease of the last run
/// it is shorter than the 3 s in which the platform expects a job to make progress.
const EXPLANATION_TIMEOUT_MS: u64 = 2000;
/// Losses within [`CORRELATION_WINDOW_MS`] that are assumed to have a common cause.
const CORRELATED_MIN: usize = 3;
/// Window in which losses are correlated: longer than the differences between the
/// lease expiries of workers that are lost at the same time.
const CORRELATION_WINDOW_MS: u64 = 1000;
/// How long a lost incarnation is remembered, so that it is not counted again when a later
/// one answers.
const LOSS_RETENTION_MS: u64 = 10_000;
/// Why a job is given up.
const LOST_TOO_OFTEN: &str = "workers were lost under a task too often";

/// Incarnations of workers that were lost recently, oldest first, and when.
#[derive(Debug, Default)]
pub(super) struct WorkerLosses(VecDeque<(u64, Arc<str>)>);

impl WorkerLosses {
    /// Records a loss, unless it is recorded already.
    pub(super) fn record(&mut self, now_ms: u64, worker_id: &Arc<str>) {
        let is_old = |lost_ms: u64| lost_ms + LOSS_RETENTION_MS < now_ms;
        while self.0.front().is_some_and(|loss| is_old(loss.0)) {
            self.0.pop_front();
        }
        if !self.0.iter().any(|(_, id)| id == worker_id) {
            self.0.push_back((now_ms, worker_id.clone()));
        }
    }

    /// Whether losses coincide with the latest one of a task, other than its own earlier ones.
    fn are_correlated(&self, now_ms: u64, task: &Task) -> bool {
        let is_recent = |lost_ms: u64| lost_ms + CORRELATION_WINDOW_MS >= now_ms;
        let is_own = |id: &Arc<str>| task.losses.iter().any(|loss| loss.worker_id == *id);
        let losses = self.0.iter();
        let others = losses.filter(|(lost_ms, id)| is_recent(*lost_ms) && !is_own(id));
        others.count() >= CORRELATED_MIN
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
        for (key, runs) in lost {
            let record = self.workers[key].record.clone();
            self.lose_runs(now_ms, &record, runs, false, out);
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
        self.lose_runs(now_ms, &worker.record, worker.runs, true, out);
        self.confirm_restart(now_ms, &worker.record, out);
    }

    fn lose_runs(
        &mut self,
        now_ms: u64,
        record: &WorkerRecord,
        runs: Vec<Run>,
        has_restarted: bool,
        out: &mut Vec<Command>,
    ) {
        for run in runs {
            self.requeue(now_ms, &run.owner, 0);
            self.record_worker_loss(now_ms, record, &run, has_restarted, out);
        }
    }

    /// Records the loss of a worker with this entry for the task of a run there.
    pub(super) fn record_worker_loss(
        &mut self,
        now_ms: u64,
        record: &WorkerRecord,
        run: &Run,
        has_restarted: bool,
        out: &mut Vec<Command>,
    ) {
        let RunOwner::Task(key, index) = run.owner else {
            return;
        };
        let Some(job) = self.jobs.get_mut(key).filter(|_| !record.draining) else {
            return;
        };
        let task = &mut job.tasks[index];
        let mut event = LogEvent::job("worker lost under task", &task.name);
        event.worker = record.id.to_string();
        let has_begun = !matches!(run.state, RunState::Starting(_));
        let state = if has_begun { "begun" } else { "unanswered" };
        let is_correlated = self.worker_losses.are_correlated(now_ms, task);
        task.losses.push(WorkerLoss {
            worker_id: record.id.clone(),
            address: record.address.clone(),
            born_ms: record.born_ms,
            run_id: run.run_id,
            has_begun,
            is_correlated,
            has_restarted,
        });
        event.detail = format!("{state} {}", losses_detail(task));
        out.push(Command::Log(event));
        self.await_explanation(now_ms, key, index, out);
    }

    /// Makes a task wait for the explanation of its losses if it has too many, or gives up its
    /// job.
    fn await_explanation(
        &mut self,
        now_ms: u64,
        key: JobKey,
        index: usize,
        out: &mut Vec<Command>,
    ) {
        let task = &mut self.jobs[key].tasks[index];
        if awaits_explanation(task) {
            let not_before_ms = now_ms + EXPLANATION_TIMEOUT_MS;
            task.state = TaskState::Waiting { not_before_ms };
            self.queue.invalidate();
        }
        self.abandon_if_hopeless(now_ms, key, index, out);
    }

    /// Gives up a job if a task of it has lost too many runs and waits for nothing.
    fn abandon_if_hopeless(
        &mut self,
        now_ms: u64,
        key: JobKey,
        index: usize,
        out: &mut Vec<Command>,
    ) {
        let job = &self.jobs[key];
        let task = &job.tasks[index];
        if has_lost_too_often(task) && !awaits_explanation(task) && !job.stopping {
            self.end_job(now_ms, key, Outcome::Abandoned, LOST_TOO_OFTEN, out);
        }
    }

    /// Gives up the jobs of tasks that have lost too many runs and have waited for an
    /// explanation.
    pub(super) fn abandon_suspects(&mut self, now_ms: u64, out: &mut Vec<Command>) {
        let is_hopeless = |task: &Task| {
            has_lost_too_often(task)
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

    /// Restores the losses of the tasks of a job that is submitted again.
    pub(super) fn restore_losses(&mut self, now_ms: u64, key: JobKey, out: &mut Vec<Command>) {
        let losses = self.lost_runs.take(&self.jobs[key].spec.id);
        for (index, losses) in losses {
            let Some(job) = self.jobs.get_mut(key) else {
                return;
            };
            if let Some(task) = job.tasks.get_mut(index) {
                task.losses.extend(losses);
                self.await_explanation(now_ms, key, index, out);
            }
        }
    }

    /// Records that a worker has started again, as a later incarnation has answered.
    pub(super) fn confirm_restart(
        &mut self,
        now_ms: u64,
        record: &WorkerRecord,
        out: &mut Vec<Command>,
    ) {
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
        record: &WorkerRecord,
        out: &mut Vec<Command>,
    ) {
        self.explain_losses(now_ms, out, |loss| match loss.is_of(record) {
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
        self.lost_runs.retain(|loss| apply(loss, explain(loss)));
        let mut explained = Vec::new();
        for (key, job) in &mut self.jobs {
            for (index, task) in job.tasks.iter_mut().enumerate() {
                let awaited = awaits_explanation(task);
                let explanations = apply_explanation(task, &explain);
                for (worker_id, explanation) in &explanations {
                    let mut event = LogEvent::job("worker loss explained", &task.name);
                    event.worker = worker_id.to_string();
                    event.detail = format!("{explanation:?} {}", losses_detail(task));
                    out.push(Command::Log(event));
                }
                if !explanations.is_empty() {
                    end_wait_if_explained(now_ms, task, awaited);
                    explained.push((key, index));
                }
            }
        }
        if !explained.is_empty() {
            self.queue.invalidate();
        }
        for (key, index) in explained {
            if self.jobs.contains_key(key) {
                self.abandon_if_hopeless(now_ms, key, index, out);
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

/// Applies an explanation to a loss; returns whether the loss remains.
fn apply(loss: &mut WorkerLoss, explanation: Explanation) -> bool {
    loss.has_restarted |= explanation == Explanation::Restarted;
    explanation != Explanation::Unreachable
}

/// Applies explanations to the losses of a task; returns those that were news.
fn apply_explanation(
    task: &mut Task,
    explain: impl Fn(&WorkerLoss) -> Explanation,
) -> Vec<(Arc<str>, Explanation)> {
    let mut explanations = Vec::new();
    task.losses.retain_mut(|loss| {
        let explanation = explain(loss);
        let is_news = match explanation {
            Explanation::None => false,
            Explanation::Restarted => !loss.has_restarted,
            Explanation::Unreachable => true,
        };
        if is_news {
            explanations.push((loss.worker_id.clone(), explanation));
        }
        apply(loss, explanation)
    });
    explanations
}

/// Whether a task may not start again after the runs that it has lost.
pub(super) fn has_lost_too_often(task: &Task) -> bool {
    let lost_runs = task.count_losses(|loss| loss.has_begun || loss.has_restarted);
    lost_runs >= LOST_RUNS_MAX || task.losses.len() >= LOST_STARTS_MAX
}

/// Whether a task waits for the explanation of a loss before it starts again or its job is
/// given up.
fn awaits_explanation(task: &Task) -> bool {
    let unexplained = if has_lost_too_often(task) {
        // These workers may be unreachable as well.
        task.count_losses(|loss| !loss.has_restarted)
    } else if task.losses.len() >= LOSSES_MAX {
        task.count_losses(|loss| !loss.has_restarted && !loss.is_correlated)
    } else {
        0
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

fn losses_detail(task: &Task) -> String {
    format!(
        "restarted {} correlated {} unexplained {}",
        task.count_losses(|loss| loss.has_restarted),
        task.count_losses(|loss| loss.is_correlated),
        task.count_losses(|loss| !loss.has_restarted)
    )
}
