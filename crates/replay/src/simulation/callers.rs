//! Callers: requests, answers and retries.

use trefoil_core::dispatch::entry::RequestId;

use super::{Event, Simulation, WARM_UP_MS};
use crate::pattern::RetryPolicy;
use crate::stats::CallerOutcome;

/// A caller's request for its job: the first one, or the retry after a refusal.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    /// Position of the job among the arrivals.
    pub(super) job: usize,
    is_retry: bool,
}

impl Attempt {
    pub(super) fn first(job: usize) -> Self {
        let is_retry = false;
        Self { job, is_retry }
    }

    pub(super) fn request_id(self) -> RequestId {
        self.job as u64 * 2 + u64::from(self.is_retry)
    }

    pub(super) fn from_request_id(request_id: RequestId) -> Self {
        Self {
            job: (request_id / 2) as usize,
            is_retry: request_id % 2 == 1,
        }
    }
}

/// How a retry ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryOutcome {
    /// Time of the retry.
    pub at_ms: u64,
    /// How it ended.
    pub outcome: CallerOutcome,
}

/// Outcomes of all jobs of a replay, in order of arrival.
#[derive(Clone, Debug)]
pub struct ReplayOutcomes {
    /// Outcome of each caller's first request.
    pub first_attempts: Vec<CallerOutcome>,
    /// Outcome of the retry, for callers that made one.
    pub retries: Vec<Option<RetryOutcome>>,
}

impl Simulation<'_> {
    pub(super) fn entry_of(&self, job: usize) -> usize {
        let arrival = &self.arrivals[job];
        (arrival.domain * self.pattern.topology.entries_per_domain + arrival.entry) as usize
    }

    pub(super) fn submit(&mut self, attempt: Attempt) {
        let entry = self.entry_of(attempt.job);
        let arrival = &self.arrivals[attempt.job];
        let spec = arrival.spec.clone();
        let patience_ms = arrival.abandons_ms.saturating_sub(arrival.at_ms);
        let deadline_ms = self.now_ms + patience_ms + 1;
        self.with_entry(entry, |entry, now_ms, out| {
            entry.submit(now_ms, attempt.request_id(), spec, deadline_ms, out);
        });
    }

    pub(super) fn on_answer(&mut self, attempt: Attempt, outcome: CallerOutcome) {
        match &mut self.outcomes.retries[attempt.job] {
            Some(retry) if attempt.is_retry => retry.outcome = outcome,
            _ => {
                self.outcomes.first_attempts[attempt.job] = outcome;
                self.schedule_retry(attempt.job, outcome);
            }
        }
    }

    /// Schedules the retry of a refused caller according to the pattern's retry policy.
    fn schedule_retry(&mut self, job: usize, outcome: CallerOutcome) {
        let CallerOutcome::Refused { retry_after_ms, .. } = outcome else {
            return;
        };
        let wait_ms = match self.pattern.retry_policy {
            RetryPolicy::Never => return,
            RetryPolicy::HonorRetryAfter => retry_after_ms,
            RetryPolicy::FixedDelay { wait_ms } => wait_ms,
        };
        let arrival = &self.arrivals[job];
        let patience_ms = arrival.abandons_ms.saturating_sub(arrival.at_ms);
        let is_retry = true;
        let attempt = Attempt { job, is_retry };
        self.outcomes.retries[job] = Some(RetryOutcome {
            at_ms: self.now_ms + wait_ms - WARM_UP_MS,
            outcome: CallerOutcome::Abandoned,
        });
        self.schedule_after(wait_ms, Event::Request(attempt));
        self.schedule_after(wait_ms + patience_ms, Event::CallerAbandons(attempt));
    }
}
