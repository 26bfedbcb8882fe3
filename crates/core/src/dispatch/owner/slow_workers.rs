//! Workers that have become slow while their health checks still succeed.
//!
//! Load: workers run 6 to 8 times slower for some seconds. A slow worker completes few
//! runs, so its runs in progress count as well ([`evidence`]). Page's test keeps a sum of
//! the evidence of completed runs, which never falls below 0; the evidence of the runs in
//! progress is added whenever the worker is judged. Run times are compared with those of
//! the same class on the other workers of the pool ([`SlowWorkers::offset`]).
//!
//! A suspected worker gets one probe at a time. Only a probe clears it: runs that began
//! before say how slow it was. Runs on it are restarted on another worker when that ends
//! sooner by expectation and the job can still end on time or late. A run is stopped
//! first; its task is requeued when the worker lists the end of the run.
//!
//! Trade-offs: a worker needs two or three overdue runs to be suspected, so one with a single
//! run is found only once it has completed others. If more than [`SLOW_SHARE_MAX`] of all
//! workers look slow, the load or the estimates are to blame, and nobody is suspected.

mod evidence;

use std::collections::HashMap;

pub use evidence::{RunTimeModel, STALL_FACTOR, SUSPICION_THRESHOLD, shared_estimate_bound};

use super::super::job::LATE_FACTOR;
use super::super::limits::RESTART_DELAY_MS;
use super::super::worker::{Resources, Run};
use super::overdue::LISTING_AGE_MAX_MS;
use super::*;

/// Probability that a worker is slow before its runs are considered, if no other worker
/// looks slow; otherwise the share of those that do.
const SLOW_PRIOR_MIN: f64 = 0.005;
/// Evidence of a failed probe.
const FAILED_PROBE_EVIDENCE: f64 = 3.0;
/// Assumed factor on the run times of a suspected worker: slow workers are 6 to 8 times
/// slower.
const DEGRADATION: f64 = 6.0;
/// Bound on the sum of evidence, so that two regular runs show that a worker which looks
/// slow is not.
const SCORE_MAX: f64 = SUSPICION_THRESHOLD + 4.0;
/// Time of two calls, which is no evidence in short runs.
const CALLS_MS: u64 = 10;
/// Share of all workers that may look slow at once. A quarter was seen slow at a time;
/// above the limit the remaining workers cannot take their load anyway.
const SLOW_SHARE_MAX: f64 = 0.4;
/// How long nobody is suspected after the limit was exceeded, so that owners do not
/// alternate between both states with each report.
const SUSPENSION_MS: u64 = 1000;
/// First interval between probes if the worker is probably not slow: the suspicion costs
/// capacity.
const PROBE_INTERVAL_WEAK_MS: u64 = 100;
/// First interval between probes if the worker is probably slow: workers stay slow for
/// seconds, and each failed probe delays a job.
const PROBE_INTERVAL_STRONG_MS: u64 = 800;
/// Probability from which a worker is probably slow.
const PROBABLY_SLOW: f64 = 0.7;
/// The interval doubles with each failed probe up to this: capacity that is lost after a
/// recovery, against one late job for each failed probe.
const PROBE_INTERVAL_MAX_MS: u64 = 1600;
/// A probe that takes longer than this multiple of its expected time has failed: 4 % of
/// the regular runs outside the tail, and on a worker 6 times slower all but 0.3 %.
const PROBE_FAILED_RATIO: f64 = 2.0;
/// Longest task that serves as a probe at once: stopped and restarted, it still ends
/// within its objective, which is 1.6 times its duration and 60 ms.
const PROBE_TASK_STRONG_MS: u64 = 40;
/// The same if the worker is probably not slow.
const PROBE_TASK_WEAK_MS: u64 = 200;
/// Growth of that limit while no task is short enough, per millisecond.
const PROBE_TASK_GROWTH: f64 = 0.1;
/// Cost of a probe in placement: it is preferred, since a suspected worker is never the
/// cheapest.
const PROBE_COST: f64 = -100.0;
/// Cost of a worker without recent success for a task that has failed before.
const UNPROVEN_COST: f64 = 10.0;
/// Age up to which a success counts as recent.
const SUCCESS_AGE_MAX_MS: u64 = 2000;
/// A worker that stays slow for this long is slow for good: its lasting speed is lowered,
/// and it gets tasks again.
const SUSPICION_MAX_MS: u64 = 30_000;
/// Restarts of runs per worker of the pool and second, if no worker of the deployment
/// looks slow; the rate falls to 0 at [`SLOW_SHARE_MAX`]. A worker has two or three runs.
const RESTARTS_PER_WORKER: f64 = 2.0;
/// Restarts of one task: afterwards its own work is the likely cause.
const RESTARTS_MAX: u32 = 2;
/// A run that took longer than this multiple of its expected time does not change the
/// lasting speed of its worker: it is of the tail, or the worker is about to be suspected.
const LASTING_RATIO_MAX: f64 = 3.0;
/// Weight of the latest run in the moving average of a class's deviation.
const OFFSET_WEIGHT: f64 = 0.02;
/// Bound on the deviation of one run in that average, so that slow runs hardly count.
const DEVIATION_MAX: f64 = 0.8;
/// Bound on the number of classes for which deviations are kept.
const CLASSES_MAX: usize = 1024;

/// What is known about the temporary slowness of one worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct Slowness {
    /// Sum of the evidence of completed runs; at least 0.
    score: f64,
    /// That and the evidence of the runs in progress, as of the last listing.
    evidence: f64,
    looks_slow: bool,
    suspicion: Option<Suspicion>,
    /// Lasting slowdown before `score` began to grow.
    slowdown_before: Option<f64>,
    last_success_ms: Option<u64>,
}

#[derive(Clone, Debug)]
struct Suspicion {
    since_ms: u64,
    next_probe_ms: u64,
    probe_interval_ms: u64,
    /// Longest task that serves as a probe at once.
    probe_task_ms: u64,
    /// Task and run id of the probe in progress.
    probe: Option<(Arc<str>, u64)>,
}

impl Suspicion {
    fn new(now_ms: u64, probability: f64) -> Self {
        let (interval_ms, probe_task_ms) = match probability >= PROBABLY_SLOW {
            true => (PROBE_INTERVAL_STRONG_MS, PROBE_TASK_STRONG_MS),
            false => (PROBE_INTERVAL_WEAK_MS, PROBE_TASK_WEAK_MS),
        };
        Self {
            since_ms: now_ms,
            next_probe_ms: now_ms + interval_ms,
            probe_interval_ms: interval_ms,
            probe_task_ms,
            probe: None,
        }
    }

    fn is_probe(&self, run: &Run) -> bool {
        let probe = self.probe.as_ref();
        probe.is_some_and(|(task, run_id)| *task == run.task && *run_id == run.run_id)
    }

    fn record_failed_probe(&mut self, now_ms: u64) {
        self.probe = None;
        self.probe_task_ms = PROBE_TASK_STRONG_MS;
        self.probe_interval_ms = (self.probe_interval_ms * 2).min(PROBE_INTERVAL_MAX_MS);
        self.next_probe_ms = now_ms + self.probe_interval_ms;
    }
}

impl Slowness {
    /// Whether the worker gets no tasks but probes.
    pub(crate) fn is_suspected(&self) -> bool {
        self.suspicion.is_some()
    }

    /// Whether the evidence suffices for a suspicion.
    pub(super) fn looks_slow(&self) -> bool {
        self.looks_slow
    }

    /// Whether a task may be started: always if the worker is not suspected, otherwise if
    /// a probe is due.
    pub(crate) fn accepts_task(&self, now_ms: u64) -> bool {
        let is_due =
            |suspicion: &Suspicion| suspicion.probe.is_none() && now_ms >= suspicion.next_probe_ms;
        self.suspicion.as_ref().is_none_or(is_due)
    }

    /// Cost of starting a task of `estimate_ms` here; `None` if it must not start. A task
    /// that was stopped or failed before is no probe.
    pub(crate) fn cost(&self, now_ms: u64, task: &Task, estimate_ms: u64) -> Option<f64> {
        let had_trouble = task.stalls + task.failures > 0 || task.is_suspect();
        if let Some(suspicion) = &self.suspicion {
            let due_for_ms = now_ms.saturating_sub(suspicion.next_probe_ms) as f64;
            let longest_ms = suspicion.probe_task_ms + (due_for_ms * PROBE_TASK_GROWTH) as u64;
            let is_probe = self.accepts_task(now_ms) && !had_trouble && estimate_ms <= longest_ms;
            return is_probe.then_some(PROBE_COST);
        }
        let recent = |ms: u64| now_ms <= ms + SUCCESS_AGE_MAX_MS;
        let is_proven = self.last_success_ms.is_some_and(recent) && self.score == 0.0;
        match task.failures > 0 && !is_proven {
            true => Some(UNPROVEN_COST),
            false => Some(0.0),
        }
    }

    /// Records the start of a run, which is a probe if the worker is suspected.
    pub(crate) fn record_start(&mut self, task: &Arc<str>, run_id: u64) {
        if let Some(suspicion) = &mut self.suspicion {
            suspicion.probe = Some((task.clone(), run_id));
        }
    }

    /// Records that a run ended without success, or was lost.
    fn record_end(&mut self, now_ms: u64, run: &Run) {
        if let Some(suspicion) = &mut self.suspicion
            && suspicion.is_probe(run)
        {
            suspicion.record_failed_probe(now_ms);
            self.record_evidence(FAILED_PROBE_EVIDENCE);
        }
    }

    fn record_evidence(&mut self, evidence: f64) {
        self.score = (self.score + evidence).clamp(0.0, SCORE_MAX);
    }
}

/// What the owner knows about slow workers as a whole.
#[derive(Debug, Default)]
pub(super) struct SlowWorkers {
    /// Moving average of the logarithm of relative run times by class, on workers that are
    /// not suspected.
    offsets: HashMap<String, f64>,
    model: RunTimeModel,
    /// Nobody is suspected until then.
    suspended_until_ms: u64,
    /// Restarts that are left of the budget, and when it was last increased.
    restarts_left: f64,
    refilled_ms: u64,
    /// Number of times that a worker was suspected.
    pub(super) suspicions: u64,
    /// Number of runs that were stopped to be restarted elsewhere.
    pub(super) restarts: u64,
}

impl SlowWorkers {
    /// Common factor on the run times of a class: that of its errors of estimation which
    /// are the same on all workers.
    fn offset(&self, class: &str) -> f64 {
        self.offsets.get(class).copied().unwrap_or(0.0).exp()
    }

    fn record_deviation(&mut self, class: &str, log_ratio: f64) {
        let deviation = log_ratio.clamp(-DEVIATION_MAX, DEVIATION_MAX);
        let is_full = self.offsets.len() >= CLASSES_MAX;
        match self.offsets.get_mut(class) {
            Some(offset) => *offset += OFFSET_WEIGHT * (deviation - *offset),
            None if is_full => {}
            None => {
                self.offsets
                    .insert(class.to_owned(), OFFSET_WEIGHT * deviation);
            }
        }
    }

    fn refill(&mut self, now_ms: u64, workers: usize, slow_share: f64) {
        let passed_ms = now_ms.saturating_sub(self.refilled_ms).min(1000);
        self.refilled_ms = now_ms;
        let per_s = workers as f64 * RESTARTS_PER_WORKER * (1.0 - slow_share / SLOW_SHARE_MAX);
        let per_s = per_s.max(0.0);
        self.restarts_left = (self.restarts_left + per_s * passed_ms as f64 / 1000.0).min(per_s);
    }
}

/// Probability that a worker is slow, if `share` of the workers look slow.
fn slow_probability(share: f64, evidence: f64) -> f64 {
    let prior = share.clamp(SLOW_PRIOR_MIN, SLOW_SHARE_MAX);
    let odds = prior / (1.0 - prior) * evidence.exp();
    odds / (1.0 + odds)
}

/// Expected time of a run if its worker is not degraded.
fn regular_ms(worker: &Worker, run: &Run, offset: f64) -> f64 {
    run.estimate_ms.max(1) as f64 * worker.health.slowdown * offset
}

/// Time relative to the expected time.
fn ratio(time_ms: u64, regular_ms: f64) -> f64 {
    time_ms as f64 / (regular_ms + CALLS_MS as f64)
}

/// Evidence of the runs that are in progress on a worker as of `at_ms`.
fn evidence_in_progress(
    jobs: &SlotMap<JobKey, Job>,
    slow_workers: &SlowWorkers,
    worker: &Worker,
    at_ms: u64,
) -> f64 {
    let mut by_job: Vec<(JobKey, f64, f64)> = Vec::new();
    for run in &worker.runs {
        let (RunState::Running, RunOwner::Task(key, _)) = (run.state, run.owner) else {
            continue;
        };
        let Some(job) = jobs.get(key) else {
            continue;
        };
        let regular_ms = regular_ms(worker, run, slow_workers.offset(&job.spec.class));
        let ratio = ratio(at_ms.saturating_sub(run.ordered_ms), regular_ms);
        let evidence = slow_workers.model.running_evidence(ratio);
        match by_job.iter_mut().find(|(known, ..)| *known == key) {
            Some((_, sum, min_ratio)) => {
                *sum += evidence;
                *min_ratio = min_ratio.min(ratio);
            }
            None => by_job.push((key, evidence, ratio)),
        }
    }
    let bounded = |&(_, sum, ratio): &(JobKey, f64, f64)| {
        // A single run is bounded by the tail.
        sum.min(shared_estimate_bound(ratio).max(slow_workers.model.running_evidence(ratio)))
    };
    by_job.iter().map(bounded).sum()
}

impl Owner {
    /// Records the time of a completed run as evidence. Returns whether it counts for the
    /// lasting speed of the worker and for its class.
    pub(super) fn observe_run_time(
        &mut self,
        now_ms: u64,
        key: WorkerKey,
        run: &Run,
        took_ms: u64,
        out: &mut Vec<Command>,
    ) -> bool {
        let worker = &mut self.workers[key];
        worker.slowness.last_success_ms = Some(now_ms);
        let job = match run.owner {
            RunOwner::Task(job, _) => self.jobs.get(job),
            RunOwner::Orphan { .. } => None,
        };
        let Some(class) = job.map(|job| job.spec.class.as_str()) else {
            return false;
        };
        let regular_ms = regular_ms(worker, run, 1.0);
        let raw_ratio = ratio(took_ms, regular_ms);
        let ratio = raw_ratio / self.slow_workers.offset(class);
        let model = self.slow_workers.model;
        if let Some(suspicion) = &mut worker.slowness.suspicion {
            if suspicion.is_probe(run) {
                if ratio <= PROBE_FAILED_RATIO {
                    clear(now_ms, worker, "slow worker has recovered", ratio, out);
                } else {
                    suspicion.record_failed_probe(now_ms);
                    worker.slowness.record_evidence(FAILED_PROBE_EVIDENCE);
                }
            } else {
                let evidence = model.completed_evidence(ratio);
                worker.slowness.record_evidence(evidence);
            }
            return false;
        }
        if !worker.slowness.looks_slow {
            self.slow_workers.model.record(ratio);
        }
        let mut evidence = model.completed_evidence(ratio);
        if self.answer_timeout.is_lossy() {
            // The completion may have been listed late.
            evidence = evidence.min(0.0);
        }
        let slowness = &mut worker.slowness;
        if slowness.score == 0.0 {
            slowness.slowdown_before = Some(worker.health.slowdown);
        }
        slowness.record_evidence(evidence);
        self.slow_workers
            .record_deviation(class, raw_ratio.max(f64::MIN_POSITIVE).ln());
        ratio <= LASTING_RATIO_MAX
    }

    /// Records the end of a run that did not succeed.
    pub(super) fn observe_run_end(&mut self, now_ms: u64, key: WorkerKey, run: &Run) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.slowness.record_end(now_ms, run);
        }
    }

    /// Number of workers that look slow, whether they are suspected or not.
    pub(super) fn slow_workers(&self) -> u32 {
        let slow = |worker: &&Worker| worker.slowness.looks_slow;
        self.workers.values().filter(slow).count() as u32
    }

    /// Number of workers that get probes only.
    pub(super) fn suspected_workers(&self) -> usize {
        let suspected = |worker: &&Worker| worker.slowness.is_suspected();
        self.workers.values().filter(suspected).count()
    }

    /// Suspects workers that look slow, and restarts their runs where that ends sooner.
    pub(super) fn judge_slow_workers(&mut self, now_ms: u64, out: &mut Vec<Command>) {
        self.judge_evidence(now_ms);
        let share = self.slow_share(now_ms);
        if share > SLOW_SHARE_MAX {
            self.suspend_suspicion(now_ms, share, out);
        }
        self.slow_workers.refill(now_ms, self.workers.len(), share);
        let is_suspended = now_ms < self.slow_workers.suspended_until_ms;
        for worker in self.workers.values_mut() {
            end_overdue_suspicion(now_ms, worker, out);
            let slowness = &worker.slowness;
            if is_suspended || !slowness.looks_slow || slowness.is_suspected() {
                continue;
            }
            let probability = slow_probability(share, slowness.evidence);
            let mut event = LogEvent::worker("worker suspected as slow", worker);
            event.last_heard_ms = Some(now_ms.saturating_sub(worker.last_heard_ms));
            event.detail = format!(
                "evidence {:.1}, of completed runs {:.1}, runs in progress {}, share of slow \
                 workers {share:.2}, probability {probability:.2}",
                slowness.evidence,
                slowness.score,
                worker.runs.len()
            );
            out.push(Command::Log(event));
            worker.slowness.suspicion = Some(Suspicion::new(now_ms, probability));
            worker.degradation = DEGRADATION;
            if let Some(slowdown) = worker.slowness.slowdown_before {
                worker.health.slowdown = slowdown;
            }
            self.slow_workers.suspicions += 1;
        }
        self.restart_slow_runs(now_ms, share, out);
    }

    fn judge_evidence(&mut self, now_ms: u64) {
        for worker in self.workers.values_mut() {
            let score = worker.slowness.score;
            let evidence_at = |at_ms: u64| {
                score + evidence_in_progress(&self.jobs, &self.slow_workers, worker, at_ms)
            };
            // A run that has completed since the last listing must not count as overdue.
            let listed = evidence_at(worker.last_heard_ms);
            let is_poll_due = listed < SUSPICION_THRESHOLD
                && evidence_at(now_ms) >= SUSPICION_THRESHOLD
                && worker.fencing == FencingState::Fenced;
            let slowness = &mut worker.slowness;
            slowness.evidence = listed;
            slowness.looks_slow = slowness.is_suspected() || listed >= SUSPICION_THRESHOLD;
            if is_poll_due && !slowness.is_suspected() {
                worker.request_poll();
            }
        }
    }

    /// Share of the workers of the deployment that look slow. Reports of other owners state
    /// capacities; their workers are taken to be as large as those here.
    fn slow_share(&self, now_ms: u64) -> f64 {
        let here = self.workers.len() as f64;
        let millicores: u64 = self
            .workers
            .values()
            .map(|worker| worker.record.capacity.cpu_millicores)
            .sum();
        let per_worker = (millicores as f64 / here.max(1.0)).max(1.0);
        let mut slow = f64::from(self.slow_workers());
        let mut all = here;
        for load in self.peer_loads.current(now_ms) {
            slow += f64::from(load.slow_workers);
            // Suspected workers are not part of the reported capacity.
            all += load.capacity_millicores as f64 / per_worker + f64::from(load.slow_workers);
        }
        slow / all.max(1.0)
    }

    fn suspend_suspicion(&mut self, now_ms: u64, share: f64, out: &mut Vec<Command>) {
        let was_suspended = now_ms < self.slow_workers.suspended_until_ms;
        self.slow_workers.suspended_until_ms = now_ms + SUSPENSION_MS;
        if was_suspended {
            return;
        }
        let detail = format!(
            "share {share:.2} of the deployment, {} of {} workers here",
            self.slow_workers(),
            self.workers.len()
        );
        let event = LogEvent::pool("too many slow workers to suspect any", detail);
        out.push(Command::Log(event));
        for worker in self.workers.values_mut() {
            if worker.slowness.is_suspected() {
                clear(now_ms, worker, "suspicion suspended", share, out);
                // It looks slow until a regular run shows otherwise.
                worker.slowness.score = SUSPICION_THRESHOLD;
            }
        }
    }

    /// Stops runs on suspected workers that end sooner elsewhere.
    fn restart_slow_runs(&mut self, now_ms: u64, share: f64, out: &mut Vec<Command>) {
        let mut targets = Vec::new();
        let is_target =
            |worker: &&Worker| worker.accepts_tasks(now_ms) && !worker.slowness.is_suspected();
        let suspected: Vec<WorkerKey> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.slowness.is_suspected() && !worker.runs.is_empty())
            .map(|(key, _)| key)
            .collect();
        if suspected.is_empty() {
            return;
        }
        for (key, worker) in &self.workers {
            if is_target(&worker) {
                targets.push(RestartTarget::new(now_ms, key, worker));
            }
        }
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

    /// Whether a run on a suspected worker should be restarted, and where there is room.
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
        let (RunState::Running, RunOwner::Task(job, index)) = (run.state, run.owner) else {
            return None;
        };
        let job = self.jobs.get(job).filter(|job| !job.stopping)?;
        let resources = run.resources?;
        let task = &job.tasks[index];
        if task.stalls >= RESTARTS_MAX
            || task.is_suspect()
            || worker.fencing != FencingState::Fenced
        {
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
            let worker = &self.workers[target.key];
            let is_allowed =
                worker.can_run(&job.spec.service, phase) && !job.failed_on.contains(&target.key);
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

/// A worker that can take restarted runs. Their jobs have begun, so they are first in the
/// queue for capacity that comes free there.
struct RestartTarget {
    key: WorkerKey,
    /// Resources that come free, and when, soonest first.
    releases: Vec<(u64, Resources)>,
    /// Resources of the runs that were stopped to be restarted here.
    taken: Resources,
}

impl RestartTarget {
    fn new(now_ms: u64, key: WorkerKey, worker: &Worker) -> Self {
        let release = |run: &Run| {
            let resources = run.resources.unwrap_or_default();
            (run.expected_end_ms(now_ms), resources)
        };
        let mut releases: Vec<_> = worker.runs.iter().map(release).collect();
        releases.push((now_ms, worker.free_resources()));
        releases.sort_by_key(|&(at_ms, _)| at_ms);
        Self {
            key,
            releases,
            taken: Resources::default(),
        }
    }

    /// When `resources` are free here; `None` if never.
    fn available_at_ms(&self, resources: &Resources) -> Option<u64> {
        let needed = resources.plus(&self.taken);
        let mut free = Resources::default();
        let mut releases = self.releases.iter();
        let enough = releases.find(|(_, released)| {
            free = free.plus(released);
            free.fits(&needed)
        });
        enough.map(|&(at_ms, _)| at_ms)
    }

    fn take(&mut self, resources: &Resources) {
        self.taken = self.taken.plus(resources);
    }
}

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

/// Ends the suspicion of a worker.
fn clear(
    now_ms: u64,
    worker: &mut Worker,
    reason: &'static str,
    evidence: f64,
    out: &mut Vec<Command>,
) {
    let mut event = LogEvent::worker(reason, worker);
    if let Some(suspicion) = worker.slowness.suspicion.take() {
        event.detail = format!(
            "evidence {evidence:.2}, suspected for {} ms",
            now_ms.saturating_sub(suspicion.since_ms)
        );
    }
    event.last_heard_ms = Some(now_ms.saturating_sub(worker.last_heard_ms));
    out.push(Command::Log(event));
    worker.slowness.score = 0.0;
    worker.slowness.looks_slow = false;
    worker.degradation = 1.0;
}

/// Treats a worker that has been suspected for long as slow for good.
fn end_overdue_suspicion(now_ms: u64, worker: &mut Worker, out: &mut Vec<Command>) {
    let since_ms = worker.slowness.suspicion.as_ref().map(|it| it.since_ms);
    if since_ms.is_some_and(|since_ms| now_ms >= since_ms + SUSPICION_MAX_MS) {
        worker.health.slowdown *= worker.degradation;
        let slowdown = worker.health.slowdown;
        clear(now_ms, worker, "worker is slow for good", slowdown, out);
    }
}
