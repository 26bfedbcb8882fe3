//! How long tasks take, learned from those that were done.
//!
//! A caller's estimate is rough, and so is the mean of its class; both are off
//! by about the same factor. The best guess from both is their geometric mean.

use std::collections::HashMap;

use trefoil_schema::dispatch::Job as JobSpec;

/// Weight of the newest task in a class's mean.
const WEIGHT: f64 = 0.05;
/// Tasks that a class needs before its mean is used.
const TASKS_MIN: u32 = 10;
/// Classes kept; a deployment has a few dozen queues in use.
const CLASSES_MAX: usize = 1024;

/// One class of jobs.
#[derive(Clone, Copy, Debug, Default)]
struct Class {
    /// Mean of the logarithms of run times, milliseconds.
    mean_log_ms: f64,
    tasks: u32,
}

/// Run times by class.
#[derive(Debug, Default)]
pub(super) struct RunTimes {
    classes: HashMap<String, Class>,
}

impl RunTimes {
    /// A task was done in `took_ms`, on a worker that takes `slowness` times as
    /// long as others.
    pub(super) fn done(&mut self, class: &str, took_ms: u64, slowness: f64) {
        let log_ms = (took_ms.max(1) as f64 / slowness).ln();
        if !self.classes.contains_key(class) {
            if self.classes.len() >= CLASSES_MAX {
                return;
            }
            self.classes.insert(class.to_owned(), Class::default());
        }
        if let Some(known) = self.classes.get_mut(class) {
            known.tasks = known.tasks.saturating_add(1);
            let weight = WEIGHT.max(1.0 / f64::from(known.tasks));
            known.mean_log_ms += weight * (log_ms - known.mean_log_ms);
        }
    }

    /// Mean run time of a class; none while too little is known.
    pub(super) fn mean_ms(&self, class: &str) -> Option<f64> {
        let class = self.classes.get(class)?;
        (class.tasks >= TASKS_MIN).then(|| class.mean_log_ms.exp())
    }

    /// Puts the best guesses in place of a job's estimates.
    pub(super) fn refine(&self, spec: &mut JobSpec) {
        let Some(mean_ms) = self.mean_ms(&spec.class) else {
            return;
        };
        for phase in &mut spec.phases {
            let estimate_ms = phase.estimate_ms.max(1) as f64;
            phase.estimate_ms = (estimate_ms * mean_ms).sqrt() as u64;
        }
    }
}
