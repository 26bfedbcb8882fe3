//! The planned stop.
//!
//! The instance says at once that it leaves: the balancer stops sending new
//! connections, and another instance claims its workers. It serves until
//! callers have gone and no request is open, or until the budget is spent.

use super::*;

/// The balancer looks once a second and takes two misses: requests may come
/// for so long after the stop was asked for.
const BALANCER_MS: u64 = 2500;
/// Kept of the budget for the answers that are given up at its end.
const RESERVE_MS: u64 = 600;
/// Period of looking whether all is answered.
const LOOK_MS: u64 = 50;

/// How a planned stop ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownOutcome {
    /// Every request was answered.
    Drained,
    /// The budget was spent before.
    BudgetSpent,
}

impl<E: Store + WorkerClient + 'static> Instance<E> {
    /// Leaves the deployment, and returns when nothing is left to do.
    pub async fn shut_down(self: Rc<Self>) -> ShutdownOutcome {
        info!(self.log, "leaving"; "budget_ms" => self.settings.stop_budget_ms);
        let since_ms = self.now_ms();
        self.change(|state, _, _| {
            state.leaving = true;
            state.ownership.leave();
        });
        self.beat();
        let instance = Rc::clone(&self);
        tokio::task::spawn_local(async move {
            if let Err(error) = instance.edge.deregister().await {
                warn!(instance.log, "cannot deregister"; "error" => %error);
            }
        });
        let ending = self.drained(since_ms).await;
        self.change(|state, now_ms, effects| {
            state.entry.shut_down(&mut effects.entry);
            state.each_owner(effects, |owner, out| owner.release(now_ms, out));
        });
        // Lets the last answers reach their connections.
        tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
        ending
    }

    async fn drained(&self, since_ms: u64) -> ShutdownOutcome {
        let limit_ms = since_ms + self.settings.stop_budget_ms.saturating_sub(RESERVE_MS);
        loop {
            let now_ms = self.now_ms();
            let idle = {
                let state = self.state.borrow();
                let owned = state.owners.values().map(|owner| owner.stats().jobs);
                state.entry.is_empty() && owned.sum::<usize>() == 0
            };
            if idle && now_ms >= since_ms + BALANCER_MS {
                return ShutdownOutcome::Drained;
            }
            if now_ms >= limit_ms {
                return ShutdownOutcome::BudgetSpent;
            }
            tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
        }
    }
}
