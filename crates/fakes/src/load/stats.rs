//! What a run measured.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::{
    job::{JobAnswer, Outcome},
    waste::Waste,
};

const MICROS_PER_MILLI: f64 = 1_000.0;
/// Ratios are kept in thousandths.
const RATIO_SCALE: f64 = 1_000.0;
const SIGNIFICANT_DIGITS: u8 = 3;

/// A histogram of times or ratios that has no upper bound.
#[derive(Clone, Debug)]
pub struct Values {
    histogram: Histogram<u64>,
    scale: f64,
}

impl Values {
    fn new(scale: f64) -> Self {
        let histogram = Histogram::new(SIGNIFICANT_DIGITS);
        Self {
            // The number of digits is a constant within the library's bounds.
            histogram: histogram.unwrap_or_else(|_| unreachable!()),
            scale,
        }
    }

    fn record(&mut self, value: f64) {
        let scaled = (value.max(0.0) * self.scale).round() as u64;
        // A histogram that resizes itself takes any value.
        let _ = self.histogram.record(scaled);
    }

    fn summary(&self) -> Summary {
        let quantile = |share| self.histogram.value_at_quantile(share) as f64 / self.scale;
        Summary {
            count: self.histogram.len(),
            mean: self.histogram.mean() / self.scale,
            p50: quantile(0.5),
            p99: quantile(0.99),
            p999: quantile(0.999),
            max: self.histogram.max() as f64 / self.scale,
        }
    }
}

/// A distribution in short.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Summary {
    /// Values recorded.
    pub count: u64,
    /// Mean.
    pub mean: f64,
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
    /// Largest.
    pub max: f64,
}

/// Counters and histograms of a run under way.
#[derive(Clone, Debug)]
pub(super) struct Stats {
    pub jobs: u64,
    pub not_sent: u64,
    pub requests: u64,
    pub resubmissions: u64,
    pub cancellations: u64,
    pub asked_again: u64,
    pub keys_not_minted: u64,
    complete: u64,
    complete_tasks: u64,
    complete_late: u64,
    cancelled: u64,
    lost: u64,
    replayed: u64,
    over_ideal: Values,
    excess_ms: Values,
    response_ms: Values,
    pub send_lag_ms: Values,
    refusals: BTreeMap<String, Values>,
    failures: BTreeMap<String, u64>,
}

impl Default for Stats {
    fn default() -> Self {
        let times = Values::new(MICROS_PER_MILLI);
        Self {
            jobs: 0,
            not_sent: 0,
            requests: 0,
            resubmissions: 0,
            cancellations: 0,
            asked_again: 0,
            keys_not_minted: 0,
            complete: 0,
            complete_tasks: 0,
            complete_late: 0,
            cancelled: 0,
            lost: 0,
            replayed: 0,
            over_ideal: Values::new(RATIO_SCALE),
            excess_ms: times.clone(),
            response_ms: times.clone(),
            send_lag_ms: times,
            refusals: BTreeMap::new(),
            failures: BTreeMap::new(),
        }
    }
}

/// A job's end, as measured.
#[derive(Clone, Copy, Debug)]
pub(super) struct JobEnd {
    pub tasks: usize,
    pub response_ms: f64,
    pub ideal_ms: f64,
    /// Time the caller allowed; 0 for no bound.
    pub deadline_ms: u64,
}

impl Stats {
    /// Counts one answer to a submission; a refusal with its latency.
    pub fn answered(&mut self, answer: &JobAnswer, latency_ms: f64) {
        self.requests += 1;
        self.replayed += u64::from(answer.replayed);
        if answer.outcome() == Outcome::Refused {
            self.refusals
                .entry(answer.reason.clone())
                .or_insert_with(|| Values::new(MICROS_PER_MILLI))
                .record(latency_ms);
        }
    }

    /// Counts the lag of a submission behind its plan.
    pub fn sent(&mut self, lag_ms: f64) {
        self.jobs += 1;
        self.send_lag_ms.record(lag_ms);
    }

    /// Counts the last answer to a job.
    pub fn ended(&mut self, answer: &JobAnswer, end: JobEnd) {
        match answer.outcome() {
            Outcome::Complete => self.completed(end),
            Outcome::Cancelled => self.cancelled += 1,
            Outcome::Lost => self.lost += 1,
            Outcome::Failed => {
                let reason = match answer.reason.is_empty() {
                    true => format!("status {}", answer.status),
                    false => answer.reason.clone(),
                };
                *self.failures.entry(reason).or_default() += 1;
            }
            // Counted with its latency when it was answered.
            Outcome::Refused => {}
        }
    }

    fn completed(&mut self, end: JobEnd) {
        self.complete += 1;
        self.complete_tasks += end.tasks as u64;
        if end.deadline_ms > 0 && end.response_ms > end.deadline_ms as f64 {
            self.complete_late += 1;
        }
        self.response_ms.record(end.response_ms);
        self.excess_ms.record(end.response_ms - end.ideal_ms);
        if end.ideal_ms > 0.0 {
            self.over_ideal.record(end.response_ms / end.ideal_ms);
        }
    }

    /// The whole run in figures.
    pub fn report(&self, times: RunTimes, cut_off: u64, waste: Waste) -> LoadReport {
        let on_time = self.complete - self.complete_late;
        let run_s = times.arrivals_s;
        LoadReport {
            run_s,
            whole_s: times.whole_s,
            jobs: self.jobs,
            not_sent: self.not_sent,
            requests: self.requests,
            resubmissions: self.resubmissions,
            cancellations: self.cancellations,
            asked_again: self.asked_again,
            keys_not_minted: self.keys_not_minted,
            complete: self.complete,
            complete_late: self.complete_late,
            cancelled: self.cancelled,
            lost: self.lost,
            replayed: self.replayed,
            cut_off,
            goodput_jobs_per_s: on_time as f64 / run_s,
            goodput_tasks_per_s: self.complete_tasks as f64 / run_s,
            response_over_ideal: self.over_ideal.summary(),
            excess_ms: self.excess_ms.summary(),
            response_ms: self.response_ms.summary(),
            send_lag_ms: self.send_lag_ms.summary(),
            refusals: self
                .refusals
                .iter()
                .map(|(reason, latency)| (reason.clone(), latency.summary()))
                .collect(),
            failures: self.failures.clone(),
            waste,
        }
    }
}

/// How long a run took.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunTimes {
    pub arrivals_s: f64,
    /// Until the last answer.
    pub whole_s: f64,
}

/// Figures of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LoadReport {
    /// Time of arrivals, in seconds; figures a second are over this.
    pub run_s: f64,
    /// Time from the first arrival to the last answer, in seconds.
    pub whole_s: f64,
    /// Jobs sent.
    pub jobs: u64,
    /// Jobs planned but not sent, because too many were in flight.
    pub not_sent: u64,
    /// Submissions answered or lost.
    pub requests: u64,
    /// Submissions of a key while or after the first.
    pub resubmissions: u64,
    /// Cancellations sent.
    pub cancellations: u64,
    /// Submissions made again after a refusal or a lost answer.
    pub asked_again: u64,
    /// Jobs sent under a key of the caller's for want of a minted one.
    pub keys_not_minted: u64,
    /// Jobs complete.
    pub complete: u64,
    /// Of these, later than the deadline asked for.
    pub complete_late: u64,
    /// Jobs cancelled.
    pub cancelled: u64,
    /// Jobs without an answer.
    pub lost: u64,
    /// Answers that repeat those of an earlier submission.
    pub replayed: u64,
    /// Jobs still without an answer when the run was cut off.
    pub cut_off: u64,
    /// Jobs complete in time, a second.
    pub goodput_jobs_per_s: f64,
    /// Tasks of complete jobs, a second.
    pub goodput_tasks_per_s: f64,
    /// Response time of complete jobs as a multiple of the ideal.
    pub response_over_ideal: Summary,
    /// Response time of complete jobs beyond the ideal, in milliseconds.
    pub excess_ms: Summary,
    /// Response time of complete jobs, in milliseconds.
    pub response_ms: Summary,
    /// Lag of this tool's sending behind its plan, in milliseconds.
    pub send_lag_ms: Summary,
    /// Refused submissions by reason: latency in milliseconds.
    pub refusals: BTreeMap<String, Summary>,
    /// Failed jobs by reason.
    pub failures: BTreeMap<String, u64>,
    /// Messages that did no work.
    pub waste: Waste,
}
