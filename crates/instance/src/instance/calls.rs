//! Asynchronous calls: orders to workers, and claim writes to the store.

use std::sync::Arc;
use std::time::Instant;

use trefoil_core::dispatch::order::{OrderOutcome, RenewOrder, StartOrder, StopOrder, Target};
use trefoil_core::dispatch::owner::OrderResult;
use trefoil_core::dispatch::ownership::ClaimRecord;

use super::*;

impl<P: Store + WorkerClient + 'static> Instance<P> {
    pub(super) fn send_start(self: &Rc<Self>, pool: String, order: StartOrder) {
        info!(self.log, #WORK_TAG, "start"; "task" => &*order.task, "run" => order.run_id,
            "worker" => &*order.target.worker_id, "fence" => order.target.fence.token());
        self.metrics.starts.inc();
        let instance = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let sent = Instant::now();
            let outcome = instance.platform.start(&order).await;
            instance.metrics.start_answer_ms.observe(elapsed_ms(sent));
            let result = order_result(order.target, order.task, order.run_id, outcome);
            instance.with_owner(&pool, |owner, now_ms, out| {
                owner.on_start_result(now_ms, &result, out)
            });
        });
    }

    pub(super) fn send_stop(self: &Rc<Self>, pool: String, order: StopOrder) {
        info!(self.log, #WORK_TAG, "stop"; "task" => &*order.task, "run" => order.run_id,
            "worker" => &*order.target.worker_id, "fence" => order.target.fence.token());
        self.metrics.stops.inc();
        let instance = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let outcome = instance.platform.stop(&order).await;
            let result = order_result(order.target, order.task, order.run_id, outcome);
            instance.with_owner(&pool, |owner, now_ms, out| {
                owner.on_stop_result(now_ms, &result, out)
            });
        });
    }

    pub(super) fn send_renew(self: &Rc<Self>, pool: String, order: RenewOrder) {
        self.metrics.lease_renewals.inc();
        let instance = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let outcome = instance.platform.renew(&order).await;
            let (worker, fence) = (order.target.worker, order.target.fence);
            let number = order.number;
            instance.with_owner(&pool, |owner, now_ms, out| {
                owner.on_renew_result(now_ms, worker, fence, number, outcome, out);
            });
        });
    }

    /// Passes the result of a call to the owner of a pool, if this instance still owns
    /// it. The owner recognizes results for an earlier ownership by their fence.
    fn with_owner(
        self: &Rc<Self>,
        pool: &str,
        event: impl FnOnce(&mut Owner, u64, &mut Vec<owner::Command>),
    ) {
        self.update(|state, now_ms, effects| {
            state.with_owner(pool, effects, |owner, out| event(owner, now_ms, out));
        });
    }

    pub(super) fn send_claim(self: &Rc<Self>, record: ClaimRecord, revision: u64) {
        let instance = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let write = instance.platform.write_claim(&record, revision).await;
            let claim = &record.claim;
            info!(instance.log, "claim written"; "pool" => &claim.pool, "term" => claim.term, "outcome" => ?write);
            instance.update(|state, now_ms, effects| {
                let out = &mut effects.ownership;
                state
                    .ownership
                    .on_claim_written(now_ms, &record, &write, out);
            });
            instance.store_read_requested.notify_waiters();
        });
    }
}

fn order_result(target: Target, task: Arc<str>, run_id: u64, outcome: OrderOutcome) -> OrderResult {
    OrderResult {
        worker: target.worker,
        fence: target.fence,
        task,
        run_id,
        outcome,
    }
}

fn elapsed_ms(start: Instant) -> f64 {
    start.elapsed().as_secs_f64() * 1e3
}
