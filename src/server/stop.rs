//! What is in flight, and the planned stop that waits for it.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use slog::{Logger, info};
use tokio::sync::Notify;
use trefoil_core::drain::{Drain, DrainOutcome, DrainState};
use trefoil_core::time::Now;
use trefoil_schema::settings::DrainSettings;

use crate::util::clock::Clock;

/// Counts work in flight and steps the drain.
#[derive(Debug)]
pub struct StopControl {
    clock: Clock,
    drain: Mutex<Drain>,
    accepts: AtomicBool,
    in_flight: AtomicU64,
    holds: AtomicU64,
    changed: Notify,
}

/// Work in flight until it is dropped.
#[derive(Debug)]
pub struct InFlight {
    control: Arc<StopControl>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if self.control.in_flight.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.control.changed.notify_one();
        }
    }
}

/// Keeps a planned stop from finishing until it is dropped.
///
/// Unlike [`InFlight`] it is no request: a part takes it when it starts, and
/// drops it when the stop may finish as far as that part is concerned.
#[derive(Debug)]
pub struct Hold {
    control: Arc<StopControl>,
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.control.holds.fetch_sub(1, Ordering::SeqCst);
        self.control.changed.notify_one();
    }
}

impl StopControl {
    /// An instance that serves.
    pub fn new(clock: Clock, settings: &DrainSettings) -> Self {
        Self {
            clock,
            drain: Mutex::new(Drain::new(settings)),
            accepts: AtomicBool::new(true),
            in_flight: AtomicU64::new(0),
            holds: AtomicU64::new(0),
            changed: Notify::new(),
        }
    }

    /// Counts new work as in flight; `None` once new work is refused.
    pub fn accept(self: &Arc<Self>) -> Option<InFlight> {
        let guard = self.track();
        // Counted before the check, so that the drain cannot miss it.
        self.accepts.load(Ordering::SeqCst).then_some(guard)
    }

    /// Counts something that is finished in any phase, such as a read.
    pub fn track(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        InFlight {
            control: self.clone(),
        }
    }

    /// Keeps the planned stop from finishing while the guard lives.
    pub fn hold(self: &Arc<Self>) -> Hold {
        self.holds.fetch_add(1, Ordering::SeqCst);
        Hold {
            control: self.clone(),
        }
    }

    /// What is in flight now.
    pub fn in_flight(&self) -> u64 {
        self.in_flight.load(Ordering::SeqCst)
    }

    fn unfinished(&self) -> u64 {
        self.in_flight() + self.holds.load(Ordering::SeqCst)
    }

    /// Where the stop stands.
    pub fn state(&self) -> DrainState {
        self.drain().state()
    }

    /// An operator asks for the stop; asking again changes nothing.
    pub fn request(&self) -> DrainState {
        self.update(|drain, now| drain.request(now))
    }

    /// A signal asks for the stop, or ends it at once.
    pub fn signal(&self) -> DrainState {
        self.update(|drain, now| drain.signal(now))
    }

    /// Steps the stop until it is finished; logs each change of phase.
    pub async fn finished(&self, log: &Logger) -> DrainOutcome {
        let mut logged = DrainState::Serving;
        loop {
            let state = self.step();
            if state != logged {
                info!(log, "drain"; "phase" => %state, "in_flight" => self.in_flight());
                logged = state;
            }
            if let DrainState::Finished(ending) = state {
                return ending;
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
        let after = drain.step(now, self.unfinished());
        self.accepts.store(drain.accepts_work(), Ordering::SeqCst);
        if before == after {
            return after;
        }
        // Counted again now that new work is refused.
        drain.step(now, self.unfinished())
    }

    /// What is left of the stop's budget.
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
