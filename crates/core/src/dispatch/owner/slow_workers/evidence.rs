//! Likelihood-ratio test of whether a worker is slow.
//!
//! The logarithm of a run's time relative to its expected time is normally distributed
//! with deviation [`SIGMA`]; a share of [`TAIL_SHARE`] of the tasks takes [`TAIL_FACTOR`]
//! times as long on any worker. On a slow worker, all times are longer by [`SLOW_FACTOR`].
//! A completed run contributes the ratio of the densities, a run in progress the ratio of
//! the probabilities that it has not ended yet. Under the hypothesis that the worker is
//! not slow, the expected likelihood ratio of each run is 1, so the test may look at runs
//! in progress at any time.
//!
//! The tail bounds what one run can contribute: however late it is, its logarithm stays
//! at about ln(1 / 0.03) = 3.5, and [`SUSPICION_THRESHOLD`] takes two such runs.

use std::f64::consts::FRAC_1_SQRT_2;

/// Standard deviation of the logarithm of run times relative to the expectation: class
/// means and callers' estimates are each off by 0.4, and their geometric mean by 0.28;
/// tasks of a job differ by 0.15. Before a class's mean is known, the error is 0.43.
const SIGMA: f64 = 0.4;
/// Share of tasks that take [`TAIL_FACTOR`] times as long by themselves.
const TAIL_SHARE: f64 = 0.03;
const TAIL_FACTOR: f64 = 7.0;
/// Slowness that the test looks for. Slow workers are 6 to 8 times slower, but runs that
/// began before the slowness are delayed by less.
const SLOW_FACTOR: f64 = 4.0;
/// Bounds on the contribution of one run. One regular run outweighs a late one.
const CONTRIBUTION_RANGE: std::ops::RangeInclusive<f64> = -3.0..=3.5;
/// Sum from which a worker is suspected. By Page's bound, a worker that is not slow is
/// suspected at most once in exp(6) = 403 runs.
pub const SUSPICION_THRESHOLD: f64 = 6.0;
/// Multiple of the expected time after which a run is stalled even if nothing else is
/// known against its worker. Of the runs on workers that are not slow, 2 in 1,000 take
/// longer, nearly all of the tail.
pub const STALL_FACTOR: f64 = 13.0;

/// Probability that a standard normal variable exceeds `z`.
fn upper_tail(z: f64) -> f64 {
    0.5 * libm::erfc(z * FRAC_1_SQRT_2)
}

/// Weights and means of the components of the logarithm of relative run times on a
/// worker that is `slow_factor` times slower.
fn components(slow_factor: f64) -> [(f64, f64); 2] {
    let shift = slow_factor.ln();
    [
        (1.0 - TAIL_SHARE, shift),
        (TAIL_SHARE, shift + TAIL_FACTOR.ln()),
    ]
}

fn density(log_ratio: f64, slow_factor: f64) -> f64 {
    let density = |mean: f64| (-0.5 * ((log_ratio - mean) / SIGMA).powi(2)).exp();
    let parts = components(slow_factor);
    parts
        .iter()
        .map(|(weight, mean)| weight * density(*mean))
        .sum()
}

/// Probability that a run takes longer than `ratio` times its expected time on a worker
/// that is `slow_factor` times slower.
pub fn survival(ratio: f64, slow_factor: f64) -> f64 {
    let log_ratio = ratio.max(f64::MIN_POSITIVE).ln();
    let survival = |mean: f64| upper_tail((log_ratio - mean) / SIGMA);
    let parts = components(slow_factor);
    parts
        .iter()
        .map(|(weight, mean)| weight * survival(*mean))
        .sum()
}

fn bounded(log_likelihood_ratio: f64) -> f64 {
    let (min, max) = CONTRIBUTION_RANGE.into_inner();
    match log_likelihood_ratio.is_nan() {
        true => 0.0,
        false => log_likelihood_ratio.clamp(min, max),
    }
}

/// Evidence of a run that took `ratio` times its expected time: natural logarithm of the
/// likelihood ratio of a slow worker to one that is not.
pub fn completed_evidence(ratio: f64) -> f64 {
    let log_ratio = ratio.max(f64::MIN_POSITIVE).ln();
    // Outside this range a density underflows, or the tail of a tail is judged.
    let log_ratio = log_ratio.clamp(-2.0, (SLOW_FACTOR * TAIL_FACTOR).ln());
    bounded((density(log_ratio, SLOW_FACTOR) / density(log_ratio, 1.0)).ln())
}

/// Evidence of a run that has been in progress for `ratio` times its expected time; never
/// negative.
pub fn running_evidence(ratio: f64) -> f64 {
    let ratio = ratio.min(SLOW_FACTOR * TAIL_FACTOR);
    bounded((survival(ratio, SLOW_FACTOR) / survival(ratio, 1.0)).ln()).max(0.0)
}

/// Upper bound on the summed evidence of several runs of one job: the job's estimate may
/// be wrong for all of them. `ratio` is the smallest one among the runs.
pub fn shared_estimate_bound(ratio: f64) -> f64 {
    let probability = upper_tail(ratio.max(f64::MIN_POSITIVE).ln() / SIGMA);
    -probability.max(1e-9).ln()
}

/// Expected total time of a run as a multiple of its expected time, given that it has been
/// in progress for `ratio` times its expected time, on a worker that is `slow_factor` times
/// slower.
pub fn mean_total(ratio: f64, slow_factor: f64) -> f64 {
    let log_ratio = ratio.max(f64::MIN_POSITIVE).ln();
    let mut probability = 0.0;
    let mut total = 0.0;
    for (weight, mean) in components(slow_factor) {
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
