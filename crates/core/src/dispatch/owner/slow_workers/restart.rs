//! Restarts of runs on suspected workers.
//!
//! Compares, by the distribution of run times, how long a run still takes if it is kept and
//! if it is stopped and started elsewhere, and whether its job can then still be of use.

use super::super::super::job::LATE_FACTOR;
use super::super::super::limits::RESTART_DELAY_MS;
use super::super::super::worker::Resources;
use super::super::overdue::LISTING_AGE_MAX_MS;
use super::super::restart_targets::RestartTarget;
use super::super::*;
use super::suspicion::PROBE_FAILED_RATIO;
use super::{DEGRADATION, ratio, regular_ms, slow_probability};

/// Restarts of one task: afterwards its own work is the likely cause.
const RESTARTS_MAX: u32 = 2;

/// A run that ends sooner elsewhere.
struct Restart {
    /// Position among the targets.
    target: usize,
    resources: Resources,
    task: Arc<str>,
    age_ms: u64,
    kept_ms: u64,
    moved_ms: u64,
}

impl Owner {
    /// Stops runs on suspected workers that end sooner elsewhere.
    pub(super) fn restart_slow_runs(&mut self, now_ms: u64, share: f64, out: &mut Vec<Command>) {
        let suspected: Vec<WorkerKey> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.slowness.is_suspected() && !worker.runs.is_empty())
            .map(|(key, _)| key)
            .collect();
        if suspected.is_empty() {
            return;
        }
        let mut targets = self.restart_targets(now_ms);
        let answer_timeout_ms = self.answer_timeout.timeout_ms();
        for key in suspected {
            let mut stopped = Vec::new();
            for position in 0..self.workers[key].runs.len() {
                if self.slow_workers.restarts_left < 1.0 {
                    break;
                }
                let Some(restart) = self.restart_of(now_ms, key, position, &targets, share) else {
                    continue;
                };
                let worker = &mut self.workers[key];
                if now_ms > worker.last_heard_ms + LISTING_AGE_MAX_MS {
                    worker.request_poll();
                    break;
                }
                targets[restart.target].take(&restart.resources);
                self.slow_workers.restarts_left -= 1.0;
                self.slow_workers.restarts += 1;
                let mut event = LogEvent::job("restarting run of slow worker", &restart.task);
                event.worker = worker.record.id.to_string();
                event.last_heard_ms = Some(now_ms - worker.last_heard_ms);
                event.detail = format!(
                    "age_ms {} left_if_kept_ms {} left_if_restarted_ms {}",
                    restart.age_ms, restart.kept_ms, restart.moved_ms
                );
                out.push(Command::Log(event));
                stopped.push(position);
            }
            for position in stopped {
                let worker = &mut self.workers[key];
                let target = target_of(key, worker);
                let run = &mut worker.runs[position];
                let owner = run.owner;
                stop_run(now_ms, run, target, answer_timeout_ms, out);
                let run = run.clone();
                worker.slowness.record_end(now_ms, &run);
                if let RunOwner::Task(job, index) = owner
                    && let Some(job) = self.jobs.get_mut(job)
                {
                    job.tasks[index].stalls += 1;
                }
            }
        }
    }

    /// Whether a run on a suspected worker should be restarted, and where.
    fn restart_of(
        &self,
        now_ms: u64,
        key: WorkerKey,
        position: usize,
        targets: &[RestartTarget],
        share: f64,
    ) -> Option<Restart> {
        let worker = &self.workers[key];
        let run = &worker.runs[position];
        let (job, index) = self.restartable(run)?;
        let job = &self.jobs[job];
        let resources = run.resources?;
        let task = &job.tasks[index];
        if task.stalls >= RESTARTS_MAX || worker.fencing != FencingState::Fenced {
            return None;
        }
        let offset = self.slow_workers.offset(&job.spec.class);
        let regular_ms = regular_ms(worker, run, offset);
        let age_ms = now_ms.saturating_sub(run.ordered_ms);
        let ratio = ratio(age_ms, regular_ms);
        let suspicion = worker.slowness.suspicion.as_ref()?;
        if suspicion.is_probe(run) && ratio <= PROBE_FAILED_RATIO {
            return None;
        }
        let phase = job.phase(task);
        let slowdown = |key: WorkerKey| self.workers[key].health.slowdown;
        let ends = targets.iter().enumerate().filter_map(|(index, target)| {
            let is_allowed = self.may_restart_on(target, job, phase);
            let wait_ms = target.available_at_ms(&resources)?.saturating_sub(now_ms);
            let end_ms = wait_ms + (run.estimate_ms as f64 * slowdown(target.key)) as u64;
            is_allowed.then_some((end_ms, wait_ms, index))
        });
        let (_, wait_ms, target) = ends.min()?;
        let target_key = targets[target].key;
        let model = &self.slow_workers.model;
        // How long the run takes if the worker is not slow, and the run is of the tail.
        let total_regular = model.mean_total(ratio, 1.0);
        // How long it takes elsewhere if the worker is slow.
        let total_moved = model.mean_total(ratio / DEGRADATION, 1.0);
        let total_slow = model.mean_total(ratio, DEGRADATION);
        let speed = slowdown(target_key) / worker.health.slowdown;
        let slow = slow_probability(share, worker.slowness.evidence);
        let mean = |if_slow: f64, if_regular: f64| slow * if_slow + (1.0 - slow) * if_regular;
        let kept_ms = (mean(total_slow, total_regular) - ratio) * regular_ms;
        let there_ms = mean(total_moved, total_regular) * regular_ms * speed;
        let moved_ms = there_ms + RESTART_DELAY_MS.max(wait_ms) as f64;
        // The objective grows with the work, of which the estimate may be too low.
        let work = mean(total_moved, total_regular) * offset;
        let excess_ms = (work - 1.0).max(0.0) * run.estimate_ms as f64;
        let excess_ms = excess_ms * job.spec.stretch * LATE_FACTOR;
        let late_ms = job.objective_ms(LATE_FACTOR) + excess_ms as u64;
        let late_ms = late_ms.min(job.caller_deadline_ms());
        let is_useful = now_ms + moved_ms as u64 <= late_ms;
        (moved_ms < kept_ms && is_useful).then(|| Restart {
            target,
            resources,
            task: run.task.clone(),
            age_ms,
            kept_ms: kept_ms as u64,
            moved_ms: moved_ms as u64,
        })
    }
}
