//! Adaptive timeout of workers' answers.
//!
//! An order that stays unanswered occupies capacity and delays its job until it times
//! out, so the timeout follows recent answer times; one that fires too early costs an
//! additional call. A fixed timeout longer than every pause would be about 40 times the
//! usual answer time. While many orders stay unanswered, workers are polled sooner for
//! completions, since a lost renewal hides them.
//!
//! A pause of this process delays all answers in flight, which the deviation covers;
//! the caller handles the answers that have arrived before it times out orders.

use super::super::limits::ANSWER_TIMEOUT_MAX_MS;

/// Weight of the newest answer in the moving averages.
const WEIGHT: f64 = 0.05;
/// Mean deviations above the mean at which an answer times out.
const DEVIATIONS: f64 = 6.0;
/// Lower bound of the timeout: longer than a queue on a slow link or a scheduling
/// pause.
const TIMEOUT_MIN_MS: f64 = 25.0;
/// Lower bound while many orders stay unanswered, when an additional call costs less
/// than the wait.
const LOSSY_TIMEOUT_MIN_MS: f64 = 10.0;
/// Share of unanswered orders above which the path to the workers counts as lossy.
const LOSSY_SHARE: f64 = 0.04;

/// Moving averages of answer times and losses.
#[derive(Clone, Copy, Debug)]
pub(super) struct AnswerTimeout {
    mean_ms: f64,
    deviation_ms: f64,
    lost_share: f64,
}

impl Default for AnswerTimeout {
    /// Starts from the maximum timeout until samples arrive.
    fn default() -> Self {
        Self {
            mean_ms: ANSWER_TIMEOUT_MAX_MS as f64,
            deviation_ms: 0.0,
            lost_share: 0.0,
        }
    }
}

impl AnswerTimeout {
    /// Records an answer that took `took_ms`.
    pub(super) fn record_answer(&mut self, took_ms: u64) {
        let off_ms = took_ms as f64 - self.mean_ms;
        self.mean_ms += WEIGHT * off_ms;
        self.deviation_ms += WEIGHT * (off_ms.abs() - self.deviation_ms);
        self.lost_share -= WEIGHT * self.lost_share;
    }

    /// Records an order that stayed unanswered.
    pub(super) fn record_unanswered(&mut self) {
        self.lost_share += WEIGHT * (1.0 - self.lost_share);
    }

    pub(super) fn timeout_ms(&self) -> u64 {
        let timeout_ms = self.mean_ms + DEVIATIONS * self.deviation_ms;
        let min_ms = match self.is_lossy() {
            true => LOSSY_TIMEOUT_MIN_MS,
            false => TIMEOUT_MIN_MS,
        };
        timeout_ms.clamp(min_ms, ANSWER_TIMEOUT_MAX_MS as f64) as u64
    }

    pub(super) fn is_lossy(&self) -> bool {
        self.lost_share > LOSSY_SHARE
    }
}
