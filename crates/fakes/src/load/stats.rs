//! Measurements of a run.

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

/// A histogram of non-negative real values, stored as integers after scaling.
#[derive(Clone, Debug)]
pub struct ScaledHistogram {
    histogram: Histogram<u64>,
    scale: f64,
}

impl ScaledHistogram {
    fn new(scale: f64) -> Self {
        let histogram = Histogram::new(SIGNIFICANT_DIGITS);
        Self {
            // The number of digits is in the valid range.
            histogram: histogram.unwrap_or_else(|_| unreachable!()),
            scale,
        }
    }

    fn record(&mut self, value: f64) {
        let scaled = (value.max(0.0) * self.scale).round() as u64;
        // Cannot fail, because the histogram resizes itself.
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

/// Summary statistics of a distribution.
#[expect(missing_docs, reason = "the fields explain themselves")]
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Summary {
    pub count: u64,
    pub mean: f64,
    pub p50: f64,
    pub p99: f64,
    pub p999: f64,
    pub max: f64,
}

/// Counters and histograms of a running load.
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
    response_over_ideal: ScaledHistogram,
    excess_ms: ScaledHistogram,
    response_ms: ScaledHistogram,
    pub send_lag_ms: ScaledHistogram,
    refusals: BTreeMap<String, ScaledHistogram>,
    failures: BTreeMap<String, u64>,
}

impl Default for Stats {
    fn default() -> Self {
        let times = ScaledHistogram::new(MICROS_PER_MILLI);
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
            response_over_ideal: ScaledHistogram::new(RATIO_SCALE),
            excess_ms: times.clone(),
            response_ms: times.clone(),
            send_lag_ms: times,
            refusals: BTreeMap::new(),
            failures: BTreeMap::new(),
        }
    }
}

/// Timing of an ended job.
#[derive(Clone, Copy, Debug)]
pub(super) struct JobTiming {
    pub tasks: usize,
    pub response_ms: f64,
    pub ideal_ms: f64,
    /// Deadline after submission; 0 for none.
    pub deadline_ms: u64,
}

impl Stats {
    /// Records a response to a submission, and the latency of a refusal.
    pub fn record_answer(&mut self, answer: &JobAnswer, latency_ms: f64) {
        self.requests += 1;
        self.replayed += u64::from(answer.replayed);
        if answer.outcome() == Outcome::Refused {
            self.refusals
                .entry(answer.reason.clone())
                .or_insert_with(|| ScaledHistogram::new(MICROS_PER_MILLI))
                .record(latency_ms);
        }
    }

    /// Records a sent job and its lag behind the plan.
    pub fn record_sent(&mut self, lag_ms: f64) {
        self.jobs += 1;
        self.send_lag_ms.record(lag_ms);
    }

    /// Records the last response to a job.
    pub fn record_end(&mut self, answer: &JobAnswer, timing: JobTiming) {
        match answer.outcome() {
            Outcome::Complete => self.record_complete(timing),
            Outcome::Cancelled => self.cancelled += 1,
            Outcome::Lost => self.lost += 1,
            Outcome::Failed => {
                let reason = match answer.reason.is_empty() {
                    true => format!("status {}", answer.status),
                    false => answer.reason.clone(),
                };
                *self.failures.entry(reason).or_default() += 1;
            }
            // Already recorded by `record_answer`.
            Outcome::Refused => {}
        }
    }

    fn record_complete(&mut self, timing: JobTiming) {
        self.complete += 1;
        self.complete_tasks += timing.tasks as u64;
        if timing.deadline_ms > 0 && timing.response_ms > timing.deadline_ms as f64 {
            self.complete_late += 1;
        }
        self.response_ms.record(timing.response_ms);
        self.excess_ms.record(timing.response_ms - timing.ideal_ms);
        if timing.ideal_ms > 0.0 {
            self.response_over_ideal
                .record(timing.response_ms / timing.ideal_ms);
        }
    }

    /// Creates the report of the run.
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
            response_over_ideal: self.response_over_ideal.summary(),
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

/// Durations of a run.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunTimes {
    pub arrivals_s: f64,
    /// Until the last response.
    pub whole_s: f64,
}

/// Report of a run. A job's ideal response time is its longest run time plus the network time.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LoadReport {
    /// Time during which jobs were sent, in seconds; the base of all rates.
    pub run_s: f64,
    /// Time from the start to the last response, in seconds.
    pub whole_s: f64,
    /// Jobs sent.
    pub jobs: u64,
    /// Jobs not sent because too many were in flight.
    pub not_sent: u64,
    /// Submissions with a response or a lost response.
    pub requests: u64,
    /// Planned further submissions of a key, with the same or another body.
    pub resubmissions: u64,
    /// Cancellations sent.
    pub cancellations: u64,
    /// Retries after a refusal or a lost response.
    pub asked_again: u64,
    /// Jobs sent with a key of the caller because none could be minted.
    pub keys_not_minted: u64,
    /// Jobs completed.
    pub complete: u64,
    /// Jobs completed after their deadline; included in `complete`.
    pub complete_late: u64,
    /// Jobs cancelled.
    pub cancelled: u64,
    /// Jobs whose response was lost.
    pub lost: u64,
    /// Responses that replay that of an earlier submission.
    pub replayed: u64,
    /// Jobs outstanding when the run was cut off.
    pub cut_off: u64,
    /// Jobs completed within their deadline, per second.
    pub goodput_jobs_per_s: f64,
    /// Tasks of completed jobs, per second.
    pub goodput_tasks_per_s: f64,
    /// Response times of completed jobs as a multiple of the ideal.
    pub response_over_ideal: Summary,
    /// Response times of completed jobs in excess of the ideal, in milliseconds.
    pub excess_ms: Summary,
    /// Response times of completed jobs, in milliseconds.
    pub response_ms: Summary,
    /// Lag of submissions behind their plan, in milliseconds; large if the load generator itself is
    /// overloaded.
    pub send_lag_ms: Summary,
    /// Latencies of refusals in milliseconds, by reason.
    pub refusals: BTreeMap<String, Summary>,
    /// Number of failed jobs, by reason.
    pub failures: BTreeMap<String, u64>,
    /// Wasted messages.
    pub waste: Waste,
}
