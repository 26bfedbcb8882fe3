//! Planned stop of an instance, with a time limit.
//!
//! A stop first makes the instance not ready. It still accepts work for a while, so that
//! requests of callers and peers that have not noticed the change yet do not fail.
//! Then it refuses new work, and the stop ends when nothing is in flight or the time
//! budget, counted from the first request to stop, is spent. A second signal ends it
//! immediately.

use derive_more::Display;
use trefoil_schema::settings::DrainSettings;

use crate::time::Now;

/// Phase of a stop. Times are on the clock of [`Now::mono_ms`].
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum DrainState {
    /// No stop was requested.
    #[display("serving")]
    Serving,
    /// The instance is not ready, but accepts new work.
    #[display("announcing")]
    Announcing {
        /// Time from which new work is refused.
        until_ms: u64,
        /// End of the budget.
        deadline_ms: u64,
    },
    /// New work is refused; work in flight continues.
    #[display("refusing")]
    Refusing {
        /// End of the budget.
        deadline_ms: u64,
    },
    /// The instance may exit.
    #[display("{_0}")]
    Finished(DrainOutcome),
}

/// How a stop ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum DrainOutcome {
    /// No work was in flight.
    #[display("drained")]
    Drained,
    /// The budget was spent while work was in flight.
    #[display("budget_spent")]
    BudgetSpent,
    /// A second signal was received.
    #[display("at_once")]
    AtOnce,
}

/// The planned stop of one instance.
#[derive(Clone, Debug)]
pub struct Drain {
    announce_ms: u64,
    budget_ms: u64,
    deadline_ms: Option<u64>,
    state: DrainState,
}

impl Drain {
    /// Creates the state of an instance that is not stopping.
    pub fn new(settings: &DrainSettings) -> Self {
        Self {
            announce_ms: settings.announce_ms.min(settings.budget_ms),
            budget_ms: settings.budget_ms,
            deadline_ms: None,
            state: DrainState::Serving,
        }
    }

    #[expect(missing_docs, reason = "a plain accessor")]
    pub fn state(&self) -> DrainState {
        self.state
    }

    /// Whether the instance reports itself as ready.
    pub fn is_ready(&self) -> bool {
        self.state == DrainState::Serving
    }

    /// Whether new work is accepted.
    pub fn accepts_work(&self) -> bool {
        matches!(
            self.state,
            DrainState::Serving | DrainState::Announcing { .. }
        )
    }

    /// Handles an operator's request to stop. Repeated requests have no effect.
    pub fn request(&mut self, now: Now) -> DrainState {
        if self.state == DrainState::Serving {
            let deadline_ms = now.mono_ms.saturating_add(self.budget_ms);
            let until_ms = now.mono_ms.saturating_add(self.announce_ms);
            self.deadline_ms = Some(deadline_ms);
            self.state = DrainState::Announcing {
                until_ms,
                deadline_ms,
            };
        }
        self.state
    }

    /// Handles a signal: starts a stop, or ends a stop in progress immediately.
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

    /// Updates the phase after time has passed or `in_flight`, the number of unanswered
    /// jobs and requests, has changed.
    ///
    /// Each call advances by at most one phase, so that the caller can count `in_flight`
    /// again after new work is refused.
    pub fn step(&mut self, now: Now, in_flight: u64) -> DrainState {
        match self.state {
            DrainState::Announcing {
                until_ms,
                deadline_ms,
            } if now.mono_ms >= until_ms => {
                self.state = DrainState::Refusing { deadline_ms };
            }
            DrainState::Refusing { .. } if in_flight == 0 => {
                self.state = DrainState::Finished(DrainOutcome::Drained);
            }
            DrainState::Refusing { deadline_ms } if now.mono_ms >= deadline_ms => {
                self.state = DrainState::Finished(DrainOutcome::BudgetSpent);
            }
            _ => {}
        }
        self.state
    }

    /// Remaining budget in milliseconds, or 0 if no stop was requested.
    pub fn budget_left_ms(&self, now: Now) -> u64 {
        let deadline_ms = self.deadline_ms.unwrap_or_default();
        deadline_ms.saturating_sub(now.mono_ms)
    }

    /// Time at which [`Self::step`] is due even if `in_flight` does not change.
    pub fn next_step_ms(&self) -> Option<u64> {
        match self.state {
            DrainState::Announcing { until_ms, .. } => Some(until_ms),
            DrainState::Refusing { deadline_ms } => Some(deadline_ms),
            DrainState::Serving | DrainState::Finished(_) => None,
        }
    }
}
