//! Sliding-window statistics of each service's responses to callers.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::util::clock::duration_ms;
use hdrhistogram::Histogram;
use trefoil_core::engine::{FailureReason, JobAnswer, JobState, RefusalReason};
use xxhash_rust::xxh3::xxh3_64;

const SHARDS: usize = 8;
/// Number of buckets of the window; the oldest is dropped as a whole.
const BUCKETS: usize = 6;
const BUCKET_MS: u64 = 10_000;
/// Length of the window, in milliseconds.
pub const WINDOW_MS: u64 = BUCKETS as u64 * BUCKET_MS;
/// Maximum response time recorded; longer ones count as this long.
const RESPONSE_MAX_MS: u64 = 600_000;
/// Precision of recorded response times: within 1%.
const SIGNIFICANT_DIGITS: u8 = 2;
const P99: f64 = 0.99;

type Shard = HashMap<Arc<str>, VecDeque<Bucket>>;

/// Statistics of each service's responses in the last [`WINDOW_MS`].
#[derive(Debug, Default)]
pub struct ServiceWindows {
    shards: [Mutex<Shard>; SHARDS],
}

/// Statistics of one service's responses in the window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WindowStats {
    /// Number of jobs answered or refused.
    pub jobs: u64,
    /// Number of jobs refused for a reason that the caller did not cause.
    pub refused: u64,
    /// Number of response times recorded: of jobs whose callers waited.
    pub timed: u64,
    /// 99th percentile of the response times, in milliseconds; 0 if there are none.
    pub response_p99_ms: u64,
}

#[derive(Debug)]
struct Bucket {
    number: u64,
    jobs: u64,
    refused: u64,
    responses: Histogram<u32>,
}

/// How an answer counts in the statistics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sample {
    Timed,
    Untimed,
    Refused,
}

impl ServiceWindows {
    /// Records an answer given `elapsed` after the submission.
    pub fn record(&self, mono_ms: u64, service: &Arc<str>, elapsed: Duration, answer: &JobAnswer) {
        let Some(sample) = classify(answer) else {
            return;
        };
        let mut shard = self.shard(service);
        let buckets = match shard.get_mut(service) {
            Some(buckets) => buckets,
            None => shard.entry(Arc::clone(service)).or_default(),
        };
        let bucket = current_bucket(buckets, mono_ms / BUCKET_MS);
        bucket.jobs += 1;
        match sample {
            Sample::Timed => {
                let response_ms = duration_ms(elapsed);
                bucket.responses.saturating_record(response_ms);
            }
            Sample::Refused => bucket.refused += 1,
            Sample::Untimed => {}
        }
    }

    /// Statistics of a service at `mono_ms`.
    pub fn stats(&self, mono_ms: u64, service: &str) -> WindowStats {
        let shard = self.shard(service);
        let mut responses = histogram();
        let mut stats = WindowStats::default();
        let buckets = shard.get(service).into_iter().flatten();
        for bucket in buckets.filter(|bucket| is_recent(bucket, mono_ms)) {
            stats.jobs += bucket.jobs;
            stats.refused += bucket.refused;
            // Cannot fail: both histograms have the same bounds.
            let _ = responses.add(&bucket.responses);
        }
        stats.timed = responses.len();
        if stats.timed > 0 {
            stats.response_p99_ms = responses.value_at_quantile(P99);
        }
        stats
    }

    /// Removes services without an answer in the window.
    pub fn remove_expired(&self, mono_ms: u64) {
        for shard in &self.shards {
            lock(shard)
                .retain(|_, buckets| buckets.iter().any(|bucket| is_recent(bucket, mono_ms)));
        }
    }

    fn shard(&self, service: &str) -> MutexGuard<'_, Shard> {
        let hash = xxh3_64(service.as_bytes()) as usize;
        lock(&self.shards[hash % SHARDS])
    }
}

/// The newest bucket, after adding the one with `number` if it is newer. A
/// slightly older time, read by another thread, counts in the newest bucket.
fn current_bucket(buckets: &mut VecDeque<Bucket>, number: u64) -> &mut Bucket {
    if buckets.back().is_none_or(|bucket| bucket.number < number) {
        if buckets.len() == BUCKETS {
            buckets.pop_front();
        }
        buckets.push_back(Bucket {
            number,
            jobs: 0,
            refused: 0,
            responses: histogram(),
        });
    }
    let last = buckets.len() - 1;
    &mut buckets[last]
}

fn is_recent(bucket: &Bucket, mono_ms: u64) -> bool {
    bucket.number + BUCKETS as u64 > mono_ms / BUCKET_MS
}

fn histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(1, RESPONSE_MAX_MS, SIGNIFICANT_DIGITS)
        .expect("the bounds are constant")
}

/// `None` for replays and for refusals that the caller caused.
fn classify(answer: &JobAnswer) -> Option<Sample> {
    match answer {
        JobAnswer::Known { replayed: true, .. } => None,
        JobAnswer::Known { state, reason, .. } => match state {
            JobState::Complete => Some(Sample::Timed),
            JobState::Failed if *reason == FailureReason::Deadline.name() => Some(Sample::Timed),
            JobState::Failed | JobState::Cancelled | JobState::Running => Some(Sample::Untimed),
        },
        JobAnswer::Refused(refusal) => is_service_fault(refusal.reason).then_some(Sample::Refused),
    }
}

/// Whether a refusal is caused by the service rather than by the request.
fn is_service_fault(reason: RefusalReason) -> bool {
    match reason {
        RefusalReason::OwnerLost
        | RefusalReason::OwnerLeft
        | RefusalReason::OwnerUnreachable
        | RefusalReason::AnswerLost
        | RefusalReason::NotVouched
        | RefusalReason::Leaving
        | RefusalReason::Overload
        | RefusalReason::Quota
        | RefusalReason::NoWorkers
        | RefusalReason::MemoryFull => true,
        RefusalReason::Malformed
        | RefusalReason::TooLarge
        | RefusalReason::TooManyTasks
        | RefusalReason::UnknownService
        | RefusalReason::UnknownTeam
        | RefusalReason::UnknownJob
        | RefusalReason::KeyReused
        | RefusalReason::KeyExpired
        | RefusalReason::KeyAhead
        | RefusalReason::Impossible => false,
    }
}

fn lock(shard: &Mutex<Shard>) -> MutexGuard<'_, Shard> {
    shard.lock().unwrap_or_else(PoisonError::into_inner)
}
