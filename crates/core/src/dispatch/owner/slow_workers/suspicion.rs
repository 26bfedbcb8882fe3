//! Suspicion of one worker, and the probes by which it is cleared.

use std::sync::Arc;

use super::super::super::job::Task;
use super::super::super::worker::Run;
use super::evidence::SUSPICION_THRESHOLD;

/// Evidence of a failed probe.
pub(super) const FAILED_PROBE_EVIDENCE: f64 = 3.0;
/// Bound on the sum of evidence, so that two regular runs show that a worker which looks
/// slow is not.
const SCORE_MAX: f64 = SUSPICION_THRESHOLD + 4.0;
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
pub(super) const PROBE_FAILED_RATIO: f64 = 2.0;
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

/// What is known about the temporary slowness of one worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct Slowness {
    /// Sum of the evidence of completed runs; at least 0.
    pub(super) score: f64,
    /// That and the evidence of the runs in progress, as of the last listing.
    pub(super) evidence: f64,
    pub(super) looks_slow: bool,
    pub(super) suspicion: Option<Suspicion>,
    /// Lasting slowdown before `score` began to grow.
    pub(super) slowdown_before: Option<f64>,
    pub(super) last_success_ms: Option<u64>,
}

#[derive(Clone, Debug)]
pub(super) struct Suspicion {
    pub(super) since_ms: u64,
    next_probe_ms: u64,
    probe_interval_ms: u64,
    /// Longest task that serves as a probe at once.
    probe_task_ms: u64,
    /// Task and run id of the probe in progress.
    probe: Option<(Arc<str>, u64)>,
}

impl Suspicion {
    pub(super) fn new(now_ms: u64, probability: f64) -> Self {
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

    pub(super) fn is_probe(&self, run: &Run) -> bool {
        let probe = self.probe.as_ref();
        probe.is_some_and(|(task, run_id)| *task == run.task && *run_id == run.run_id)
    }

    pub(super) fn record_failed_probe(&mut self, now_ms: u64) {
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
    pub(crate) fn looks_slow(&self) -> bool {
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
    pub(super) fn record_end(&mut self, now_ms: u64, run: &Run) {
        if let Some(suspicion) = &mut self.suspicion
            && suspicion.is_probe(run)
        {
            suspicion.record_failed_probe(now_ms);
            self.record_evidence(FAILED_PROBE_EVIDENCE);
        }
    }

    pub(super) fn record_evidence(&mut self, evidence: f64) {
        self.score = (self.score + evidence).clamp(0.0, SCORE_MAX);
    }
}
