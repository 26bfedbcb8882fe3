//! How each service's jobs were answered here lately.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::util::clock::duration_ms;
use hdrhistogram::Histogram;
use trefoil_core::engine::{FailureReason, JobAnswer, JobState, RefusalReason};
use xxhash_rust::xxh3::xxh3_64;

const SHARDS: usize = 8;
/// Slices of the window; the oldest is forgotten whole.
const SLICES: usize = 6;
/// Length of a slice.
const SLICE_MS: u64 = 10_000;
/// Length of the window.
pub const WINDOW_MS: u64 = SLICES as u64 * SLICE_MS;
/// Longest response time that is told apart.
const RESPONSE_MAX_MS: u64 = 600_000;
/// Digits kept of a response time: it is told within one part in a hundred.
const DIGITS: u8 = 2;
const P99: f64 = 0.99;

type Shard = HashMap<Arc<str>, VecDeque<Slice>>;

/// The last minute of each service's answers to callers of this instance.
#[derive(Debug, Default)]
pub struct ServiceWindows {
    shards: [Mutex<Shard>; SHARDS],
}

/// What a service's callers had lately.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Recent {
    /// Jobs answered or refused.
    pub jobs: u64,
    /// Jobs refused through no fault of their callers.
    pub refused: u64,
    /// Response times known: of jobs that callers waited for.
    pub timed: u64,
    /// Response time at the 99th percentile in milliseconds; 0 without any.
    pub response_p99_ms: u64,
}

#[derive(Debug)]
struct Slice {
    number: u64,
    jobs: u64,
    refused: u64,
    responses: Histogram<u32>,
}

/// What an answer says of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Seen {
    Timed,
    Untimed,
    Refused,
}

impl ServiceWindows {
    /// Takes an answer that a caller got `elapsed` after it asked.
    pub fn record(&self, mono_ms: u64, service: &Arc<str>, elapsed: Duration, answer: &JobAnswer) {
        let Some(seen) = seen(answer) else {
            return;
        };
        let mut shard = self.shard(service);
        let slices = match shard.get_mut(service) {
            Some(slices) => slices,
            None => shard.entry(Arc::clone(service)).or_default(),
        };
        let slice = newest(slices, mono_ms / SLICE_MS);
        slice.jobs += 1;
        match seen {
            Seen::Timed => {
                let response_ms = duration_ms(elapsed);
                slice.responses.saturating_record(response_ms);
            }
            Seen::Refused => slice.refused += 1,
            Seen::Untimed => {}
        }
    }

    /// A service's answers of the window.
    pub fn recent(&self, mono_ms: u64, service: &str) -> Recent {
        let shard = self.shard(service);
        let mut responses = histogram();
        let mut recent = Recent::default();
        let slices = shard.get(service).into_iter().flatten();
        for slice in slices.filter(|slice| is_recent(slice, mono_ms)) {
            recent.jobs += slice.jobs;
            recent.refused += slice.refused;
            // Both have the same bounds, so that nothing is out of range.
            let _ = responses.add(&slice.responses);
        }
        recent.timed = responses.len();
        if recent.timed > 0 {
            recent.response_p99_ms = responses.value_at_quantile(P99);
        }
        recent
    }

    /// Forgets services without a recent answer.
    pub fn sweep(&self, mono_ms: u64) {
        for shard in &self.shards {
            lock(shard).retain(|_, slices| slices.iter().any(|slice| is_recent(slice, mono_ms)));
        }
    }

    fn shard(&self, service: &str) -> MutexGuard<'_, Shard> {
        let hash = xxh3_64(service.as_bytes()) as usize;
        lock(&self.shards[hash % SHARDS])
    }
}

/// The slice of `number`, made if it is not there; a clock read by another
/// thread a moment earlier counts in the newest.
fn newest(slices: &mut VecDeque<Slice>, number: u64) -> &mut Slice {
    if slices.back().is_none_or(|slice| slice.number < number) {
        if slices.len() == SLICES {
            slices.pop_front();
        }
        slices.push_back(Slice {
            number,
            jobs: 0,
            refused: 0,
            responses: histogram(),
        });
    }
    let last = slices.len() - 1;
    &mut slices[last]
}

fn is_recent(slice: &Slice, mono_ms: u64) -> bool {
    slice.number + SLICES as u64 > mono_ms / SLICE_MS
}

fn histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(1, RESPONSE_MAX_MS, DIGITS).expect("the bounds are constant")
}

/// `None` for a replay, and for refusals that the caller brought about.
fn seen(answer: &JobAnswer) -> Option<Seen> {
    match answer {
        JobAnswer::Known { replayed: true, .. } => None,
        JobAnswer::Known { state, reason, .. } => match state {
            JobState::Complete => Some(Seen::Timed),
            JobState::Failed if *reason == FailureReason::Deadline.name() => Some(Seen::Timed),
            JobState::Failed | JobState::Cancelled | JobState::Running => Some(Seen::Untimed),
        },
        JobAnswer::Refused(refusal) => is_ours(refusal.reason).then_some(Seen::Refused),
    }
}

/// Whether a refusal is for the service's state, not for the request.
fn is_ours(reason: RefusalReason) -> bool {
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
