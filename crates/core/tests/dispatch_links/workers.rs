//! The owners' workers of a simulated history, and orders to them.

use arbtest::arbitrary;
use trefoil_core::dispatch::order::{OrderOutcome, RenewOutcome};

use crate::dispatch_support::orders::{Order, order_result};
use crate::simulation::{Event, Simulation};

impl Simulation<'_, '_> {
    pub fn set_draining(&mut self, owner: usize, draining: bool) -> arbitrary::Result<()> {
        self.workers[owner].record.draining = draining;
        let record = self.workers[owner].record.clone();
        self.with_owner(owner, |owner, now_ms, out| {
            owner.set_workers(now_ms, vec![record], out);
        })
    }

    pub fn on_order(&mut self, owner: usize, order: Order) -> arbitrary::Result<()> {
        let now_ms = self.now_ms;
        let worker = &mut self.workers[owner];
        let (outcome, renewed, wait_ms) = match &order {
            Order::Start(start) => (Some(worker.start(now_ms, start)), None, 0),
            Order::Stop(stop) => (Some(worker.stop(now_ms, stop)), None, 0),
            Order::Renew(renewal) => {
                let wait_ms = renewal.wait_ms.min(40);
                (None, Some(worker.renew(now_ms, renewal)), wait_ms)
            }
        };
        let result = Event::OrderResult {
            owner,
            order,
            outcome,
            renewed,
        };
        let at_ms = now_ms + wait_ms + self.latency_ms()?;
        self.schedule(at_ms, result);
        Ok(())
    }

    pub fn on_order_result(
        &mut self,
        owner: usize,
        order: &Order,
        outcome: Option<OrderOutcome>,
        renewed: Option<RenewOutcome>,
    ) -> arbitrary::Result<()> {
        self.with_owner(owner, |owner, now_ms, out| {
            match (order, outcome, renewed) {
                (Order::Start(start), Some(outcome), _) => {
                    let result = order_result(&start.target, &start.task, start.run_id, outcome);
                    owner.on_start_result(now_ms, &result, out);
                }
                (Order::Stop(stop), Some(outcome), _) => {
                    let result = order_result(&stop.target, &stop.task, stop.run_id, outcome);
                    owner.on_stop_result(now_ms, &result, out);
                }
                (Order::Renew(renewal), _, Some(renewed)) => {
                    let (worker, fence) = (renewal.target.worker, renewal.target.fence);
                    owner.on_renew_result(now_ms, worker, fence, renewal.number, renewed, out);
                }
                _ => unreachable!("each order has a result"),
            }
        })
    }
}
