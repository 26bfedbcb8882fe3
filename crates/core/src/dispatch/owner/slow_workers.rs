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
mod restart;
mod suspicion;

use std::collections::HashMap;

pub use evidence::{RunTimeModel, STALL_FACTOR, SUSPICION_THRESHOLD, shared_estimate_bound};

use super::super::worker::Run;
use super::*;
pub(crate) use suspicion::Slowness;
use suspicion::{FAILED_PROBE_EVIDENCE, PROBE_FAILED_RATIO, Suspicion};

/// Probability that a worker is slow before its runs are considered, if no other worker
/// looks slow; otherwise the share of those that do.
const SLOW_PRIOR_MIN: f64 = 0.005;
/// Assumed factor on the run times of a suspected worker: slow workers are 6 to 8 times
/// slower.
const DEGRADATION: f64 = 6.0;
/// Time of two calls, which is no evidence in short runs.
const CALLS_MS: u64 = 10;
/// Share of all workers that may look slow at once. A quarter was seen slow at a time;
/// above the limit the remaining workers cannot take their load anyway.
const SLOW_SHARE_MAX: f64 = 0.4;
/// How long nobody is suspected after the limit was exceeded, so that owners do not
/// alternate between both states with each report.
const SUSPENSION_MS: u64 = 1000;
/// A worker that stays slow for this long is slow for good: its lasting speed is lowered,
/// and it gets tasks again.
const SUSPICION_MAX_MS: u64 = 30_000;
/// Restarts of runs per worker of the pool and second, if no worker of the deployment
/// looks slow; the rate falls to 0 at [`SLOW_SHARE_MAX`]. A worker has two or three runs.
const RESTARTS_PER_WORKER: f64 = 2.0;
/// A run that took longer than this multiple of its expected time does not change the
/// lasting speed of its worker: it is of the tail, or the worker is about to be suspected.
const LASTING_RATIO_MAX: f64 = 3.0;
/// Weight of the latest run in the moving average of a class's deviation.
const OFFSET_WEIGHT: f64 = 0.02;
/// Bound on the deviation of one run in that average, so that slow runs hardly count.
const DEVIATION_MAX: f64 = 0.8;
/// Bound on the number of classes for which deviations are kept.
const CLASSES_MAX: usize = 1024;

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
        let job = run.owner.job().and_then(|job| self.jobs.get(job));
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
