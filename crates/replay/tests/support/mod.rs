//! Replays for tests.

#![allow(dead_code, reason = "each test uses a part of this module")]

use trefoil_core::dispatch::owner::Settings;
use trefoil_replay::arrivals::{self, Arrival};
use trefoil_replay::pattern::{self, Pattern};
use trefoil_replay::simulation::{ReplayOutcomes, RetryOutcome};
use trefoil_replay::stats::{CallerOutcome, ClassStats, ReplayStats};
use trefoil_replay::{bound, simulation};

/// A replay of one pattern with one seed.
pub struct Replay {
    pub pattern: Pattern,
    pub arrivals: Vec<Arrival>,
    pub first_attempts: Vec<CallerOutcome>,
    pub retries: Vec<RetryOutcome>,
    pub stats: ReplayStats,
}

impl Replay {
    pub fn of(name: &str, seed: u64) -> Self {
        Self::of_pattern(pattern::find(name).unwrap(), seed)
    }

    pub fn of_pattern(pattern: Pattern, seed: u64) -> Self {
        let arrivals = arrivals::generate(&pattern, seed);
        let ReplayOutcomes {
            first_attempts,
            retries,
        } = simulation::run(&pattern, &arrivals, Settings::default());
        let stats = ReplayStats::new(&pattern, &arrivals, &first_attempts);
        Self {
            pattern,
            arrivals,
            first_attempts,
            retries: retries.into_iter().flatten().collect(),
            stats,
        }
    }

    /// Weighted goodput as a share of the upper bound.
    pub fn share_of_bound(&self) -> f64 {
        let capacity = |at_ms| simulation::capacity_at(&self.pattern, at_ms);
        let bound = bound::max_weighted_goodput(&self.pattern, &self.arrivals, capacity);
        let goodput = self.stats.weighted_goodput(&self.pattern);
        assert!(
            goodput <= bound,
            "goodput {goodput} exceeds the bound {bound}"
        );
        goodput / bound
    }

    /// Share of the retries that were refused again.
    pub fn retries_refused(&self) -> f64 {
        let is_refused =
            |retry: &&RetryOutcome| matches!(retry.outcome, CallerOutcome::Refused { .. });
        let refused = self.retries.iter().filter(is_refused).count();
        refused as f64 / self.retries.len() as f64
    }

    /// Share of the jobs that a count includes.
    pub fn share(&self, count: impl Fn(&ClassStats) -> u64) -> f64 {
        let eligible = self.stats.sum(|class| class.eligible);
        self.stats.sum(count) as f64 / eligible as f64
    }

    /// Share of a class's jobs that completed on time.
    pub fn on_time(&self, class: usize) -> f64 {
        let class = &self.stats.classes[class];
        class.on_time as f64 / class.eligible as f64
    }
}
