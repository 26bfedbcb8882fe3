//! Counts work in flight and runs the drain, which waits for it.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use slog::{Logger, info};
use tokio::sync::Notify;
use trefoil_core::drain::{Drain, DrainOutcome, DrainState};
use trefoil_core::time::Now;
use trefoil_schema::settings::DrainSettings;

use crate::util::clock::Clock;

/// Counts work in flight and advances the drain.
#[derive(Debug)]
pub struct DrainController {
    clock: Clock,
    drain: Mutex<Drain>,
    accepts_work: AtomicBool,
    in_flight: AtomicU64,
    holds: AtomicU64,
    changed: Notify,
}

/// Counts as work in flight until dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    controller: Arc<DrainController>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        if self.controller.in_flight.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.controller.changed.notify_one();
        }
    }
}

/// Prevents the drain from finishing until dropped.
///
/// Unlike [`InFlightGuard`] it is not counted as a request: a component acquires
/// it at its start and drops it when its own work for the drain is done.
#[derive(Debug)]
pub struct DrainHold {
    controller: Arc<DrainController>,
}

impl Drop for DrainHold {
    fn drop(&mut self) {
        self.controller.holds.fetch_sub(1, Ordering::SeqCst);
        self.controller.changed.notify_one();
    }
}

impl DrainController {
    /// Creates the controller of an instance that is not draining.
    pub fn new(clock: Clock, settings: &DrainSettings) -> Self {
        Self {
            clock,
            drain: Mutex::new(Drain::new(settings)),
            accepts_work: AtomicBool::new(true),
            in_flight: AtomicU64::new(0),
            holds: AtomicU64::new(0),
            changed: Notify::new(),
        }
    }

    /// Counts new work as in flight; `None` if new work is refused.
    pub fn try_accept(self: &Arc<Self>) -> Option<InFlightGuard> {
        let guard = self.track();
        // Counted before the check, so that the drain cannot miss it.
        self.accepts_work.load(Ordering::SeqCst).then_some(guard)
    }

    /// Counts work as in flight that is accepted in any phase, such as a read.
    pub fn track(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        InFlightGuard {
            controller: self.clone(),
        }
    }

    /// Prevents the drain from finishing while the returned guard exists.
    pub fn hold(self: &Arc<Self>) -> DrainHold {
        self.holds.fetch_add(1, Ordering::SeqCst);
        DrainHold {
            controller: self.clone(),
        }
    }

    /// Amount of work in flight, without holds.
    pub fn in_flight(&self) -> u64 {
        self.in_flight.load(Ordering::SeqCst)
    }

    fn pending_work(&self) -> u64 {
        self.in_flight() + self.holds.load(Ordering::SeqCst)
    }

    /// Current phase of the drain.
    pub fn state(&self) -> DrainState {
        self.drain().state()
    }

    /// Starts the drain at an operator's request; idempotent.
    pub fn request(&self) -> DrainState {
        self.update(|drain, now| drain.request(now))
    }

    /// Handles a signal: starts the drain, or ends one that has started.
    pub fn signal(&self) -> DrainState {
        self.update(|drain, now| drain.signal(now))
    }

    /// Advances the drain until it is finished; logs each change of phase.
    pub async fn run_until_finished(&self, log: &Logger) -> DrainOutcome {
        let mut logged = DrainState::Serving;
        loop {
            let state = self.step();
            if state != logged {
                info!(log, "drain"; "phase" => %state, "in_flight" => self.in_flight());
                logged = state;
            }
            if let DrainState::Finished(outcome) = state {
                return outcome;
            }
            self.next_change().await;
        }
    }

    async fn next_change(&self) {
        let due_ms = self.drain().next_step_ms();
        let due = async {
            match due_ms {
                Some(due_ms) => self.clock.sleep_until_ms(due_ms).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = due => {}
            () = self.changed.notified() => {}
        }
    }

    fn step(&self) -> DrainState {
        let now = self.clock.now();
        let mut drain = self.drain();
        let before = drain.state();
        let after = drain.step(now, self.pending_work());
        self.accepts_work
            .store(drain.accepts_work(), Ordering::SeqCst);
        if before == after {
            return after;
        }
        // Counts again, because no more work can be accepted.
        drain.step(now, self.pending_work())
    }

    /// Remaining time of the drain's budget.
    pub fn budget_left(&self) -> Duration {
        Duration::from_millis(self.drain().budget_left_ms(self.clock.now()))
    }

    fn update(&self, change: impl FnOnce(&mut Drain, Now) -> DrainState) -> DrainState {
        let state = change(&mut self.drain(), self.clock.now());
        self.changed.notify_one();
        state
    }

    fn drain(&self) -> MutexGuard<'_, Drain> {
        self.drain.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
