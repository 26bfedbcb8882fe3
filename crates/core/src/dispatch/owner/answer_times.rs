//! How long workers' answers take, and how many orders get none.
//!
//! Load pattern: a share of all orders is left unanswered for seconds. An order
//! without an answer holds its room and its job until it is given up on, and the
//! end of a run is not told when the hold that would have told it was lost. A
//! fixed limit that outlasts every pause is some 40 times the usual answer. So
//! the limit follows the answers seen lately: a late answer costs one more call,
//! which is answered in a few milliseconds. And while many orders get none,
//! workers are asked sooner for the ends of runs.
//!
//! A pause of this process lengthens every answer that is on its way; the
//! deviation takes that in, and the caller reads what has arrived before it gives
//! an answer up.

use super::super::limits::ANSWER_MAX_MS;

/// Weight of the newest answer in the means: some 20 answers, a tenth of a second
/// at 200 starts a second.
const WEIGHT: f64 = 0.05;
/// Deviations beyond the mean after which an answer is given up on.
const DEVIATIONS: f64 = 6.0;
/// Shortest limit: an answer takes 2 to 3, and a queue on a thin link as long
/// again as a few heartbeats of 2 KB at 25 Mbit/s, and the processor of an
/// instance is away for 10 to 20.
const ANSWER_MIN_MS: f64 = 25.0;
/// The same while many orders get no answer: a call too many costs less than the
/// wait for one that does not come.
const LOSSY_MIN_MS: f64 = 10.0;
/// Share of orders without an answer from which on ends are asked for sooner. A
/// tenth of the workers silent is a hundredth of the orders: silent workers get
/// none.
const LOSSY_SHARE: f64 = 0.04;

/// What has been seen lately.
#[derive(Clone, Copy, Debug)]
pub(super) struct AnswerTimes {
    mean_ms: f64,
    deviation_ms: f64,
    lost_share: f64,
}

impl Default for AnswerTimes {
    /// Nothing yet: as patient as may be.
    fn default() -> Self {
        Self {
            mean_ms: ANSWER_MAX_MS as f64,
            deviation_ms: 0.0,
            lost_share: 0.0,
        }
    }
}

impl AnswerTimes {
    /// An answer took so long.
    pub(super) fn answered(&mut self, took_ms: u64) {
        let off_ms = took_ms as f64 - self.mean_ms;
        self.mean_ms += WEIGHT * off_ms;
        self.deviation_ms += WEIGHT * (off_ms.abs() - self.deviation_ms);
        self.lost_share -= WEIGHT * self.lost_share;
    }

    /// An order got none.
    pub(super) fn unanswered(&mut self) {
        self.lost_share += WEIGHT * (1.0 - self.lost_share);
    }

    /// After this time an answer is given up on.
    pub(super) fn limit_ms(&self) -> u64 {
        let limit_ms = self.mean_ms + DEVIATIONS * self.deviation_ms;
        let shortest_ms = match self.is_lossy() {
            true => LOSSY_MIN_MS,
            false => ANSWER_MIN_MS,
        };
        limit_ms.clamp(shortest_ms, ANSWER_MAX_MS as f64) as u64
    }

    /// Whether many orders get no answer.
    pub(super) fn is_lossy(&self) -> bool {
        self.lost_share > LOSSY_SHARE
    }
}
