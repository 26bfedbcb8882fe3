//! Lasting speed of workers by label.
//!
//! Answers deployments whose workers differ in speed, where a new owner, a new worker or a
//! new incarnation would otherwise start from the mean and take a dozen runs to learn its
//! speed. A worker without runs starts from the mean of the workers that share a label with
//! it, or else of the pool, and its own runs take over as they come: a label may cover several
//! speeds.
//!
//! Labels also name racks, and a rack mixes kinds. A label is used only if enough workers
//! carry it and their speeds differ less from each other than those of all workers do.
//! Owners report their labels in `Load.kinds`. An owner's own figures come before those of
//! others. Of the others' figures it takes the median, so that a single wrong report has
//! no effect, and only labels with a plausible speed.
//!
//! Speeds are relative to callers' estimates, which are the same at all pools. They are not
//! centered on the mean of a pool, since pools with other workers have another mean.

use std::collections::BTreeMap;

use trefoil_schema::dispatch::KindSpeed;

use super::super::worker::SLOWDOWN_RANGE;
use super::*;

/// Workers that must carry a label before it is used. Fewer say more about the workers
/// than about the label.
const LABEL_WORKERS_MIN: usize = 4;
/// Runs after which the speed of a worker is evidence for its labels.
const WORKER_RUNS_MIN: u32 = 3;
/// A label explains speed if the variance among its workers is at most this share of the
/// variance among all: half leaves room for a label that covers two speeds.
const VARIANCE_SHARE_MAX: f64 = 0.5;
/// Differences of less than this are noise of the estimates (variance of the logarithm).
const VARIANCE_MIN: f64 = 0.01;
/// Maximum number of labels in a report, which is part of each heartbeat.
const KINDS_MAX: usize = 16;
/// Interval at which speeds by label are computed. Runs change them slowly.
const UPDATE_INTERVAL_MS: u64 = 250;

/// What the runs of one worker say about its labels.
#[derive(Clone, Copy, Debug)]
pub struct WorkerSample<'a> {
    /// Labels of the worker.
    pub labels: &'a BTreeSet<Arc<str>>,
    /// Logarithm of the factor on its run times.
    pub log_slowdown: f64,
}

/// Speed of the workers with one label.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LabelSpeed {
    /// Mean logarithm of the factor on run times.
    pub log_slowdown: f64,
    /// Variance among its workers; infinite if only other owners know the label.
    pub variance: f64,
    /// Number of other owners that reported it.
    pub reports: usize,
}

/// Speeds by label.
pub type LabelSpeeds = BTreeMap<Arc<str>, LabelSpeed>;

/// Speeds of the labels that explain the speeds of these workers.
pub fn explained_speeds(workers: &[WorkerSample<'_>]) -> LabelSpeeds {
    let (_, variance_all) = mean_and_variance(workers.iter().map(|worker| worker.log_slowdown));
    if variance_all < VARIANCE_MIN {
        return LabelSpeeds::new();
    }
    let mut by_label: BTreeMap<&Arc<str>, Vec<f64>> = BTreeMap::new();
    for worker in workers {
        for label in worker.labels {
            by_label.entry(label).or_default().push(worker.log_slowdown);
        }
    }
    let explained = by_label.into_iter().filter_map(|(label, logs)| {
        let (log_slowdown, variance) = mean_and_variance(logs.iter().copied());
        let explains =
            logs.len() >= LABEL_WORKERS_MIN && variance <= VARIANCE_SHARE_MAX * variance_all;
        let speed = LabelSpeed {
            log_slowdown,
            variance,
            reports: 0,
        };
        explains.then(|| (label.clone(), speed))
    });
    explained.collect()
}

/// Adds the labels that only other owners know, by the median of their reports. Returns the
/// number of items that were ignored as implausible.
pub fn merge_reports<'a>(
    speeds: &mut LabelSpeeds,
    reports: impl Iterator<Item = &'a [KindSpeed]>,
) -> u64 {
    let mut ignored = 0;
    let mut by_label: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
    for report in reports {
        ignored += report.len().saturating_sub(KINDS_MAX) as u64;
        for kind in report.iter().take(KINDS_MAX) {
            let slowdown = f64::from(kind.slowdown_percent) / 100.0;
            if kind.label.is_empty() || !SLOWDOWN_RANGE.contains(&slowdown) {
                ignored += 1;
                continue;
            }
            let logs = by_label.entry(&kind.label).or_default();
            logs.push(slowdown.ln());
        }
    }
    for (label, mut logs) in by_label {
        logs.sort_by(f64::total_cmp);
        let speed = LabelSpeed {
            log_slowdown: logs[logs.len() / 2],
            variance: f64::INFINITY,
            reports: logs.len(),
        };
        speeds.entry(Arc::from(label)).or_insert(speed);
    }
    ignored
}

/// Expected factor on the run times of a worker without runs, as a logarithm: that of the
/// label that varies least, or else of the label that most other owners report. A label of
/// a kind is known to many owners, that of a rack to one.
pub fn prior_log_slowdown(speeds: &LabelSpeeds, labels: &BTreeSet<Arc<str>>) -> Option<f64> {
    let known = labels.iter().filter_map(|label| speeds.get(label));
    let best = known.min_by(|left, right| {
        let by_variance = left.variance.total_cmp(&right.variance);
        by_variance.then(right.reports.cmp(&left.reports))
    });
    best.map(|speed| speed.log_slowdown)
}

fn mean_and_variance(values: impl Iterator<Item = f64> + Clone) -> (f64, f64) {
    let count = values.clone().count().max(1) as f64;
    let mean = values.clone().sum::<f64>() / count;
    let squares = values.map(|value| (value - mean).powi(2)).sum::<f64>();
    (mean, squares / (count - 1.0).max(1.0))
}

/// Speeds by label that an owner knows.
#[derive(Debug, Default)]
pub(super) struct WorkerSpeeds {
    /// By the runs of this pool only: what is reported.
    own: LabelSpeeds,
    /// With the labels that only other owners know.
    merged: LabelSpeeds,
    /// Mean logarithm of this pool's workers, for workers whose labels say nothing.
    mean_log_slowdown: Option<f64>,
    /// `None` before the first update.
    updated_ms: Option<u64>,
}

impl Owner {
    /// Updates the speeds by label, and the workers that have no runs of their own.
    pub(super) fn update_worker_speeds(&mut self, now_ms: u64) {
        let updated_ms = self.worker_speeds.updated_ms;
        if updated_ms.is_some_and(|updated_ms| now_ms < updated_ms + UPDATE_INTERVAL_MS) {
            return;
        }
        let workers = self.workers.values();
        let known = workers.filter(|worker| worker.health.runs() >= WORKER_RUNS_MIN);
        let samples: Vec<WorkerSample<'_>> = known
            .map(|worker| WorkerSample {
                labels: &worker.record.labels,
                log_slowdown: worker.health.slowdown.ln(),
            })
            .collect();
        let logs = samples.iter().map(|sample| sample.log_slowdown);
        let mean_log_slowdown = (!samples.is_empty()).then(|| mean_and_variance(logs).0);
        let own = explained_speeds(&samples);
        let mut merged = own.clone();
        let reports = self.peer_loads.current(now_ms);
        let ignored = merge_reports(&mut merged, reports.map(|load| load.kinds.as_slice()));
        self.placement_stats.kinds_ignored += ignored;
        self.worker_speeds = WorkerSpeeds {
            own,
            merged,
            mean_log_slowdown,
            updated_ms: Some(now_ms),
        };
        for worker in self.workers.values_mut() {
            worker.set_prior(&self.worker_speeds);
        }
    }

    /// The speeds by label that this pool's runs show, for [`Load::kinds`].
    pub(super) fn kind_speeds(&self) -> Vec<KindSpeed> {
        let own = self.worker_speeds.own.iter().take(KINDS_MAX);
        own.map(|(label, speed)| KindSpeed {
            label: label.to_string(),
            slowdown_percent: (speed.log_slowdown.exp() * 100.0).round() as u32,
        })
        .collect()
    }
}

impl Worker {
    /// Sets the speed of a worker that has no runs of its own from its labels.
    pub(super) fn set_prior(&mut self, speeds: &WorkerSpeeds) {
        let prior = prior_log_slowdown(&speeds.merged, &self.record.labels);
        if self.health.runs() == 0
            && let Some(log_slowdown) = prior.or(speeds.mean_log_slowdown)
        {
            self.health.set_prior(log_slowdown);
        }
    }
}
