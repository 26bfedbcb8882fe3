//! How long workers' answers take, and how many orders get none.
//!
//! Load pattern: a share of all orders stays unanswered for seconds. Such an order
//! occupies capacity and delays its job until it times out, and the completion of a
//! run goes unnoticed when the hold that would have reported it was lost. A fixed
//! timeout that outlasts every pause is some 40 times the usual answer, so the
//! timeout follows recent answers: a late one costs one more call. While many orders
//! stay unanswered, workers are polled sooner for completions.
//!
//! A pause of this process delays every answer in flight; the deviation accounts for
//! that, and the caller drains what has arrived before it times out.

use super::super::limits::ANSWER_TIMEOUT_MAX_MS;

/// Weight of the newest answer in the moving averages.
const WEIGHT: f64 = 0.05;
/// Deviations beyond the mean after which an answer has timed out.
const DEVIATIONS: f64 = 6.0;
/// Lower bound of the timeout: it outlasts a queue on a thin link and a pause of the
/// processor.
const ANSWER_MIN_MS: f64 = 25.0;
/// The same while many orders stay unanswered, when a superfluous call costs less
/// than the wait.
const LOSSY_MIN_MS: f64 = 10.0;
/// Share of unanswered orders from which on completions are polled for sooner.
const LOSSY_SHARE: f64 = 0.04;

/// What has been seen lately.
#[derive(Clone, Copy, Debug)]
pub(super) struct AnswerTimes {
    mean_ms: f64,
    deviation_ms: f64,
    lost_share: f64,
}

impl Default for AnswerTimes {
    /// Starts from the maximum timeout until samples arrive.
    fn default() -> Self {
        Self {
            mean_ms: ANSWER_TIMEOUT_MAX_MS as f64,
            deviation_ms: 0.0,
            lost_share: 0.0,
        }
    }
}

impl AnswerTimes {
    /// Records an answer that took `took_ms`.
    pub(super) fn answered(&mut self, took_ms: u64) {
        let off_ms = took_ms as f64 - self.mean_ms;
        self.mean_ms += WEIGHT * off_ms;
        self.deviation_ms += WEIGHT * (off_ms.abs() - self.deviation_ms);
        self.lost_share -= WEIGHT * self.lost_share;
    }

    /// Records an order that stayed unanswered.
    pub(super) fn unanswered(&mut self) {
        self.lost_share += WEIGHT * (1.0 - self.lost_share);
    }

    /// Timeout of an answer, milliseconds.
    pub(super) fn limit_ms(&self) -> u64 {
        let limit_ms = self.mean_ms + DEVIATIONS * self.deviation_ms;
        let shortest_ms = match self.is_lossy() {
            true => LOSSY_MIN_MS,
            false => ANSWER_MIN_MS,
        };
        limit_ms.clamp(shortest_ms, ANSWER_TIMEOUT_MAX_MS as f64) as u64
    }

    /// Whether many orders stay unanswered.
    pub(super) fn is_lossy(&self) -> bool {
        self.lost_share > LOSSY_SHARE
    }
}
