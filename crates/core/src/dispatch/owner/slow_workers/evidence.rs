//! Likelihood-ratio test of whether a worker is slow.
//!
//! The logarithm of a run's time relative to its expected time is normally distributed
//! with deviation [`SIGMA`]; a learned share of the tasks, initially [`TAIL_SHARE`], takes
//! [`TAIL_FACTOR`] times as long on any worker. On a slow worker, all times are
//! longer by [`SLOW_FACTOR`].
//! A completed run contributes the ratio of the densities, a run in progress the ratio of
//! the probabilities that it has not ended yet. Under the hypothesis that the worker is
//! not slow, the expected likelihood ratio of each run is 1, so the test may look at runs
//! in progress at any time.
//!
//! The tail bounds what one run can contribute: with a share of 0.03, its logarithm stays
//! at about ln(1 / 0.03) = 3.5 however late it is.

use std::f64::consts::FRAC_1_SQRT_2;

/// Standard deviation of the logarithm of run times relative to the expectation: class
/// means and callers' estimates are each off by 0.4, and their geometric mean by 0.28;
/// tasks of a job differ by 0.15. Before a class's mean is known, the error is 0.43.
const SIGMA: f64 = 0.4;
/// Factor on the run times of tasks that take longer by themselves.
const TAIL_FACTOR: f64 = 7.0;
/// Initial share of such tasks.
const TAIL_SHARE: f64 = 0.03;
/// Range of the learned share. A share of 0 would make a single run decide.
const TAIL_SHARE_RANGE: std::ops::RangeInclusive<f64> = 0.004..=0.1;
/// Weight of the latest run in the moving average of the share: an owner of 44 workers
/// completes 350 runs per second.
const TAIL_WEIGHT: f64 = 0.002;
/// Relative run time from which a run is of the tail: its geometric middle.
const TAIL_RATIO: f64 = 4.0;
/// Slowness that the test looks for. Slow workers are 6 to 8 times slower, but runs that
/// began before the slowness are delayed by less.
const SLOW_FACTOR: f64 = 4.0;
/// Bounds on the contribution of one run. One regular run outweighs a late one where the
/// tail is heavy.
const CONTRIBUTION_RANGE: std::ops::RangeInclusive<f64> = -3.0..=6.0;
/// Sum from which a worker is suspected. By Page's bound, a worker that is not slow is
/// suspected at most once in exp(8) = 2,981 completed runs if the model holds. On the replay
/// `uneven-workers`, whose speeds are unknown at first, 42 of 352 workers were in 18 s; a
/// threshold of 6 gave ten times as many and cost 0.04 of the goodput.
pub const SUSPICION_THRESHOLD: f64 = 8.0;
/// Multiple of the expected time after which a run of a heavy-tailed class is stalled even
/// if nothing else is known against its worker. Of the runs on workers that are not slow,
/// 2 in 1,000 take longer, nearly all of the tail.
pub const STALL_FACTOR: f64 = 13.0;

/// Probability that a standard normal variable exceeds `z`.
fn upper_tail(z: f64) -> f64 {
    0.5 * libm::erfc(z * FRAC_1_SQRT_2)
}

fn bounded(log_likelihood_ratio: f64) -> f64 {
    let (min, max) = CONTRIBUTION_RANGE.into_inner();
    match log_likelihood_ratio.is_nan() {
        true => 0.0,
        false => log_likelihood_ratio.clamp(min, max),
    }
}

/// Upper bound on the summed evidence of several runs of one job: the job's estimate may
/// be wrong for all of them. `ratio` is the smallest one among the runs.
pub fn shared_estimate_bound(ratio: f64) -> f64 {
    let probability = upper_tail(ratio.max(f64::MIN_POSITIVE).ln() / SIGMA);
    -probability.max(1e-9).ln()
}

/// Distribution of run times relative to the expected time.
#[derive(Clone, Copy, Debug)]
pub struct RunTimeModel {
    /// Share of the tasks that take longer by themselves.
    tail_share: f64,
}

impl Default for RunTimeModel {
    fn default() -> Self {
        Self {
            tail_share: TAIL_SHARE,
        }
    }
}

impl RunTimeModel {
    /// The model with a known share of tasks in the tail.
    pub fn with_tail_share(tail_share: f64) -> Self {
        let (min, max) = TAIL_SHARE_RANGE.into_inner();
        Self {
            tail_share: tail_share.clamp(min, max),
        }
    }

    /// Learns the share of the tail from a run on a worker that is not suspected.
    pub fn record(&mut self, ratio: f64) {
        let is_tail = f64::from(u8::from(ratio > TAIL_RATIO));
        let share = self.tail_share + TAIL_WEIGHT * (is_tail - self.tail_share);
        *self = Self::with_tail_share(share);
    }

    /// Weights and means of the components of the logarithm of relative run times on a
    /// worker that is `slow_factor` times slower.
    fn components(&self, slow_factor: f64) -> [(f64, f64); 2] {
        let shift = slow_factor.ln();
        [
            (1.0 - self.tail_share, shift),
            (self.tail_share, shift + TAIL_FACTOR.ln()),
        ]
    }

    /// Density of the logarithm of the ratio, up to a constant factor.
    fn density(&self, log_ratio: f64, slow_factor: f64) -> f64 {
        let density = |mean: f64| (-0.5 * ((log_ratio - mean) / SIGMA).powi(2)).exp();
        let parts = self.components(slow_factor);
        let parts = parts.iter().map(|(weight, mean)| weight * density(*mean));
        parts.sum()
    }

    /// Probability that a run takes longer than `ratio` times its expected time on a
    /// worker that is `slow_factor` times slower.
    pub fn survival(&self, ratio: f64, slow_factor: f64) -> f64 {
        let log_ratio = ratio.max(f64::MIN_POSITIVE).ln();
        let survival = |mean: f64| upper_tail((log_ratio - mean) / SIGMA);
        let parts = self.components(slow_factor);
        let parts = parts.iter().map(|(weight, mean)| weight * survival(*mean));
        parts.sum()
    }

    /// Evidence of a run that took `ratio` times its expected time: natural logarithm of
    /// the likelihood ratio of a slow worker to one that is not.
    pub fn completed_evidence(&self, ratio: f64) -> f64 {
        let log_ratio = ratio.max(f64::MIN_POSITIVE).ln();
        // Outside this range a density underflows, or the tail of a tail is judged.
        let log_ratio = log_ratio.clamp(-2.0, TAIL_FACTOR.ln());
        bounded((self.density(log_ratio, SLOW_FACTOR) / self.density(log_ratio, 1.0)).ln())
    }

    /// Evidence of a run that has been in progress for `ratio` times its expected time;
    /// never negative.
    pub fn running_evidence(&self, ratio: f64) -> f64 {
        // Beyond the tail, runs are stalled rather than slow.
        let ratio = if ratio.is_nan() {
            0.0
        } else {
            ratio.min(TAIL_FACTOR)
        };
        bounded((self.survival(ratio, SLOW_FACTOR) / self.survival(ratio, 1.0)).ln()).max(0.0)
    }

    /// Expected total time of a run as a multiple of its expected time, given that it has
    /// been in progress for `ratio` times its expected time, on a worker that is
    /// `slow_factor` times slower.
    pub fn mean_total(&self, ratio: f64, slow_factor: f64) -> f64 {
        let log_ratio = ratio.max(f64::MIN_POSITIVE).ln();
        let mut probability = 0.0;
        let mut total = 0.0;
        for (weight, mean) in self.components(slow_factor) {
            let z = (log_ratio - mean) / SIGMA;
            probability += weight * upper_tail(z);
            total += weight * (mean + SIGMA * SIGMA / 2.0).exp() * upper_tail(z - SIGMA);
        }
        match probability > 1e-9 {
            true => (total / probability).max(ratio),
            // Beyond what the distribution explains: it may take as long again.
            false => ratio * 2.0,
        }
    }
}
