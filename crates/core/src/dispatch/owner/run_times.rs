//! Mean run times by job class, learned from completed tasks.
//!
//! A caller's estimate and the mean of its class are off by about the same
//! factor, so the two are combined by their geometric mean. Run times are divided by the
//! worker's speed, which is learned from the same runs. An error of their common scale
//! halves with each step of the combination, so the callers' estimates fix the scale.

use std::collections::HashMap;

use trefoil_schema::dispatch::Job as JobSpec;

/// Weight of the newest sample in a class's moving average.
const WEIGHT: f64 = 0.05;
/// Samples needed before a class's mean is used.
const SAMPLES_MIN: u32 = 10;
/// A run of more than this multiple of the class's mean is long. Estimates that are off by
/// 0.4 (lognormal) reach it once in 4,000 runs.
const LONG_FACTOR: f64 = 4.0;
/// Weight of the newest sample in the moving average of the share of long runs.
const LONG_WEIGHT: f64 = 0.01;
/// Share of long runs from which a class is heavy-tailed.
const HEAVY_TAIL_SHARE: f64 = 0.004;
/// Bound on the number of classes for which statistics are kept.
const CLASSES_MAX: usize = 1024;

#[derive(Clone, Copy, Debug, Default)]
struct ClassStats {
    /// Mean of the natural logarithms of run times in milliseconds.
    mean_log_ms: f64,
    samples: u32,
    /// Moving average of the share of runs that are long.
    long_share: f64,
}

#[derive(Debug, Default)]
pub(super) struct RunTimes {
    classes: HashMap<String, ClassStats>,
}

impl RunTimes {
    /// Records a task that completed after `took_ms` on a worker whose run times
    /// are `slowdown` times the estimates.
    pub(super) fn record(&mut self, class: &str, took_ms: u64, slowdown: f64) {
        let log_ms = (took_ms.max(1) as f64 / slowdown).ln();
        if !self.classes.contains_key(class) {
            if self.classes.len() >= CLASSES_MAX {
                return;
            }
            self.classes.insert(class.to_owned(), ClassStats::default());
        }
        self.record_length(class, took_ms, slowdown);
        if let Some(known) = self.classes.get_mut(class) {
            known.samples = known.samples.saturating_add(1);
            let weight = WEIGHT.max(1.0 / f64::from(known.samples));
            known.mean_log_ms += weight * (log_ms - known.mean_log_ms);
        }
    }

    /// Records only whether a completed task was long.
    pub(super) fn record_length(&mut self, class: &str, took_ms: u64, slowdown: f64) {
        let log_ms = (took_ms.max(1) as f64 / slowdown).ln();
        let known = self.classes.get_mut(class);
        if let Some(known) = known.filter(|known| known.samples >= SAMPLES_MIN) {
            let is_long = log_ms - known.mean_log_ms > LONG_FACTOR.ln();
            known.long_share += LONG_WEIGHT * (f64::from(is_long) - known.long_share);
        }
    }

    /// Geometric mean of a class's run times; `None` before there are enough samples.
    pub(super) fn mean_ms(&self, class: &str) -> Option<f64> {
        let class = self.classes.get(class)?;
        (class.samples >= SAMPLES_MIN).then(|| class.mean_log_ms.exp())
    }

    /// Whether tasks of the class take several times as long by themselves now and then, so
    /// that a long run says little about its worker.
    pub(super) fn is_heavy_tailed(&self, class: &str) -> bool {
        let class = self.classes.get(class);
        class.is_some_and(|class| class.long_share >= HEAVY_TAIL_SHARE)
    }

    /// Combines a job's estimates with the mean of its class.
    pub(super) fn refine_estimates(&self, spec: &mut JobSpec) {
        let Some(mean_ms) = self.mean_ms(&spec.class) else {
            return;
        };
        for phase in &mut spec.phases {
            let estimate_ms = phase.estimate_ms.max(1) as f64;
            phase.estimate_ms = (estimate_ms * mean_ms).sqrt() as u64;
        }
    }
}
