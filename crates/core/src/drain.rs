//! A planned stop: announce, refuse, finish, under one absolute budget.
//!
//! The first request to stop starts the budget. While the stop is announced,
//! readiness is false but new work is still taken, so that callers and peers
//! that have not noticed yet lose nothing. Then new work is refused, and the
//! stop ends when nothing is in flight or the budget is spent, whichever comes
//! first. A second signal ends it at once.

use derive_more::Display;
use trefoil_schema::settings::DrainSettings;

use crate::time::Now;

/// Where a stop stands. Times are on the clock of [`Now::mono_ms`].
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum DrainState {
    /// No stop was asked for.
    #[display("serving")]
    Serving,
    /// Not ready, but new work is still taken.
    #[display("announcing")]
    Announcing {
        /// When new work is refused.
        until_ms: u64,
        /// When the budget is spent.
        ends_ms: u64,
    },
    /// New work is refused; what is in flight goes on.
    #[display("refusing")]
    Refusing {
        /// When the budget is spent.
        ends_ms: u64,
    },
    /// The instance may exit.
    #[display("{_0}")]
    Finished(DrainOutcome),
}

/// How a stop ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum DrainOutcome {
    /// Nothing was in flight any more.
    #[display("drained")]
    Drained,
    /// The budget was spent with work in flight.
    #[display("budget_spent")]
    BudgetSpent,
    /// A second signal came.
    #[display("at_once")]
    AtOnce,
}

/// The planned stop of one instance.
#[derive(Clone, Debug)]
pub struct Drain {
    announce_ms: u64,
    budget_ms: u64,
    ends_ms: Option<u64>,
    state: DrainState,
}

impl Drain {
    /// An instance that serves.
    pub fn new(settings: &DrainSettings) -> Self {
        Self {
            announce_ms: settings.announce_ms.min(settings.budget_ms),
            budget_ms: settings.budget_ms,
            ends_ms: None,
            state: DrainState::Serving,
        }
    }

    /// Where the stop stands.
    pub fn state(&self) -> DrainState {
        self.state
    }

    /// Whether the instance counts as ready.
    pub fn is_ready(&self) -> bool {
        self.state == DrainState::Serving
    }

    /// Whether new work is taken.
    pub fn accepts_work(&self) -> bool {
        matches!(
            self.state,
            DrainState::Serving | DrainState::Announcing { .. }
        )
    }

    /// An operator asks for the stop; asking again changes nothing.
    pub fn request(&mut self, now: Now) -> DrainState {
        if self.state == DrainState::Serving {
            let ends_ms = now.mono_ms.saturating_add(self.budget_ms);
            let until_ms = now.mono_ms.saturating_add(self.announce_ms);
            self.ends_ms = Some(ends_ms);
            self.state = DrainState::Announcing { until_ms, ends_ms };
        }
        self.state
    }

    /// A signal asks for the stop; a signal during a stop ends it at once.
    pub fn signal(&mut self, now: Now) -> DrainState {
        match self.state {
            DrainState::Serving => self.request(now),
            DrainState::Announcing { .. } | DrainState::Refusing { .. } => {
                self.state = DrainState::Finished(DrainOutcome::AtOnce);
                self.state
            }
            DrainState::Finished(_) => self.state,
        }
    }

    /// Time has passed, or `in_flight`, the jobs and requests not yet answered,
    /// has changed.
    ///
    /// One call moves at most one phase on, so that `in_flight` can be counted
    /// again once new work is refused.
    pub fn step(&mut self, now: Now, in_flight: u64) -> DrainState {
        match self.state {
            DrainState::Announcing { until_ms, ends_ms } if now.mono_ms >= until_ms => {
                self.state = DrainState::Refusing { ends_ms };
            }
            DrainState::Refusing { .. } if in_flight == 0 => {
                self.state = DrainState::Finished(DrainOutcome::Drained);
            }
            DrainState::Refusing { ends_ms } if now.mono_ms >= ends_ms => {
                self.state = DrainState::Finished(DrainOutcome::BudgetSpent);
            }
            _ => {}
        }
        self.state
    }

    /// What is left of the budget, for closing connections and the like; zero
    /// where no stop was asked for.
    pub fn budget_left_ms(&self, now: Now) -> u64 {
        let ends_ms = self.ends_ms.unwrap_or_default();
        ends_ms.saturating_sub(now.mono_ms)
    }

    /// When [`Self::step`] is due even if nothing else happens.
    pub fn next_step_ms(&self) -> Option<u64> {
        match self.state {
            DrainState::Announcing { until_ms, .. } => Some(until_ms),
            DrainState::Refusing { ends_ms } => Some(ends_ms),
            DrainState::Serving | DrainState::Finished(_) => None,
        }
    }
}
