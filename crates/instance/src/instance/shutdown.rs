//! Graceful shutdown.
//!
//! The instance announces at once that it is leaving, so that the load balancer
//! stops sending new connections and another instance claims its pools. It serves
//! requests until none is open, or until the stop budget is spent.

use super::*;

/// How long the load balancer may send requests after the shutdown began: it checks
/// readiness once a second and removes an instance after two failed checks.
const LOAD_BALANCER_LAG_MS: u64 = 2500;
/// Part of the stop budget that is reserved for answering unfinished requests.
const ANSWER_RESERVE_MS: u64 = 600;
/// Interval between checks whether all requests have been answered.
const DRAIN_POLL_INTERVAL_MS: u64 = 50;

/// How a graceful shutdown ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownOutcome {
    /// Every request was answered.
    Drained,
    /// The stop budget was spent before every request was answered.
    BudgetSpent,
}

impl<P: Store + WorkerClient + 'static> Instance<P> {
    /// Shuts down gracefully; returns when all requests are answered or the stop budget
    /// is spent.
    pub async fn shut_down(self: Rc<Self>) -> ShutdownOutcome {
        info!(self.log, "leaving"; "budget_ms" => self.settings.stop_budget_ms);
        let since_ms = self.now_ms();
        self.update(|state, _, _| {
            state.leaving = true;
            state.ownership.leave();
        });
        self.send_heartbeats();
        let instance = Rc::clone(&self);
        tokio::task::spawn_local(async move {
            if let Err(error) = instance.platform.deregister().await {
                warn!(instance.log, "cannot deregister"; "error" => %error);
            }
        });
        let outcome = self.wait_until_drained(since_ms).await;
        self.update(|state, now_ms, effects| {
            state.entry.shut_down(&mut effects.entry);
            state.for_each_owner(effects, |owner, out| owner.release(now_ms, out));
        });
        // Leaves time to write the last answers to their connections.
        tokio::time::sleep(Duration::from_millis(DRAIN_POLL_INTERVAL_MS)).await;
        outcome
    }

    async fn wait_until_drained(&self, since_ms: u64) -> ShutdownOutcome {
        let limit_ms = since_ms
            + self
                .settings
                .stop_budget_ms
                .saturating_sub(ANSWER_RESERVE_MS);
        loop {
            let now_ms = self.now_ms();
            let idle = {
                let state = self.state.borrow();
                let owned = state.owners.values().map(|owner| owner.stats().jobs);
                state.entry.is_empty() && owned.sum::<usize>() == 0
            };
            if idle && now_ms >= since_ms + LOAD_BALANCER_LAG_MS {
                return ShutdownOutcome::Drained;
            }
            if now_ms >= limit_ms {
                return ShutdownOutcome::BudgetSpent;
            }
            tokio::time::sleep(Duration::from_millis(DRAIN_POLL_INTERVAL_MS)).await;
        }
    }
}
