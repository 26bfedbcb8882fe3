//! How workers carry out orders, and their answers.

use trefoil_core::dispatch::limits::RENEW_WAIT_MS;
use trefoil_core::dispatch::order::{
    OrderOutcome, Rejection, RenewOrder, RenewOutcome, RunOutcome, StartOrder, StopOrder,
};
use trefoil_core::dispatch::owner::OrderResult;

use super::{Event, ONE_WAY_MS, Simulation};
use crate::worker::PendingRenewal;

impl Simulation<'_> {
    fn position_of_worker(&self, id: &str) -> usize {
        self.worker_positions[id]
    }

    pub(super) fn on_start(&mut self, pool: usize, order: StartOrder) {
        let worker = self.position_of_worker(&order.target.worker_id);
        self.orders_sent += 1;
        if self.is_unanswered(self.orders_sent) {
            // The worker would reject the late order because its fencing token is superseded.
            let result = start_result(&order, OrderOutcome::NoAnswer);
            return self
                .schedule_after(order.answer_timeout_ms, Event::StartResult { pool, result });
        }
        let outcome = match self.workers[worker].up && self.workers[worker].start_run(&order) {
            true => {
                self.schedule_run_end(worker, &order);
                OrderOutcome::Done {
                    clock_ms: self.now_ms,
                }
            }
            false => OrderOutcome::Rejected(Rejection::Unhealthy),
        };
        let result = start_result(&order, outcome);
        self.schedule_after(ONE_WAY_MS, Event::StartResult { pool, result });
    }

    fn schedule_run_end(&mut self, worker: usize, order: &StartOrder) {
        let (job, index) = parse_task_name(&order.task);
        let arrival = &self.arrivals[job];
        let run_ms = arrival.run_times_ms[index] as f64 * self.workers[worker].slowdown;
        let outcome = if arrival.always_fails {
            RunOutcome::Failed
        } else {
            RunOutcome::Done
        };
        let run_ends = Event::RunEnds {
            worker,
            task: order.task.clone(),
            run_id: order.run_id,
            outcome,
        };
        self.schedule_at(self.run_end_ms(worker, run_ms), run_ends);
    }

    pub(super) fn on_stop(&mut self, pool: usize, order: StopOrder) {
        let worker = self.position_of_worker(&order.target.worker_id);
        if self.workers[worker].finish_run(&order.task, order.run_id, RunOutcome::Stopped) {
            self.answer_pending_renewal(worker);
        }
        let result = OrderResult {
            worker: order.target.worker,
            fence: order.target.fence,
            task: order.task,
            run_id: order.run_id,
            outcome: OrderOutcome::Done {
                clock_ms: self.now_ms,
            },
        };
        self.schedule_after(ONE_WAY_MS, Event::StopResult { pool, result });
    }

    pub(super) fn on_renew(&mut self, pool: usize, order: RenewOrder) {
        let worker = self.position_of_worker(&order.target.worker_id);
        self.orders_sent += 1;
        if !self.workers[worker].up || self.is_unanswered(self.orders_sent) {
            return self.answer_renewal(pool, &order, RenewOutcome::NoAnswer);
        }
        self.workers[worker].apply_renewal(&order);
        if order.wait_ms > 0 && self.workers[worker].has_no_completions() {
            let number = self.next_renewal;
            self.next_renewal += 1;
            let wait_ms = order.wait_ms.min(RENEW_WAIT_MS);
            self.workers[worker].pending_renewal = Some(PendingRenewal { order, number });
            return self.schedule_after(wait_ms, Event::RenewWaitEnds { worker, number });
        }
        let renewed = self.workers[worker].renew_outcome(self.now_ms);
        self.answer_renewal(pool, &order, renewed);
    }

    pub(super) fn answer_pending_renewal(&mut self, worker: usize) {
        if let Some(renewal) = self.workers[worker].pending_renewal.take() {
            let pool = self.worker_pools[worker];
            let renewed = self.workers[worker].renew_outcome(self.now_ms);
            self.answer_renewal(pool, &renewal.order, renewed);
        }
    }

    /// Lets a worker exit; its open renewal gets no answer.
    pub(super) fn remove_worker(&mut self, worker: usize) {
        if let Some(renewal) = self.workers[worker].exit() {
            let pool = self.worker_pools[worker];
            self.answer_renewal(pool, &renewal.order, RenewOutcome::NoAnswer);
        }
    }

    fn answer_renewal(&mut self, pool: usize, order: &RenewOrder, outcome: RenewOutcome) {
        let result = Event::RenewResult {
            pool,
            worker: order.target.worker,
            fence: order.target.fence,
            number: order.number,
            outcome,
        };
        let delay_ms = match is_unanswered_renewal(&result) {
            true => order.wait_ms + order.answer_timeout_ms,
            false => ONE_WAY_MS,
        };
        self.schedule_after(delay_ms, result);
    }
}

fn start_result(order: &StartOrder, outcome: OrderOutcome) -> OrderResult {
    OrderResult {
        worker: order.target.worker,
        fence: order.target.fence,
        task: order.task.clone(),
        run_id: order.run_id,
        outcome,
    }
}

fn is_unanswered_renewal(result: &Event) -> bool {
    matches!(
        result,
        Event::RenewResult {
            outcome: RenewOutcome::NoAnswer,
            ..
        }
    )
}

/// Position of the job and index of the task in a task name.
fn parse_task_name(task: &str) -> (usize, usize) {
    let mut parts = task.split('.');
    let job = parts
        .next()
        .and_then(|id| usize::from_str_radix(id, 16).ok());
    let index = parts.next_back().and_then(|index| index.parse().ok());
    (job.unwrap_or(0), index.unwrap_or(0))
}
