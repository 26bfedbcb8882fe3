//! Orders at the workers, and their answers.

use trefoil_core::dispatch::limits::RENEW_WAIT_MS;
use trefoil_core::dispatch::order::{
    OrderOutcome, Rejection, RenewOrder, RenewOutcome, RunOutcome, StartOrder, StopOrder,
};
use trefoil_core::dispatch::owner::OrderResult;

use super::{Event, PATH_MS, World};
use crate::worker::WaitingHold;

impl World<'_> {
    fn worker_of(&self, id: &str) -> usize {
        self.worker_positions[id]
    }

    pub(super) fn start(&mut self, pool: usize, order: StartOrder) {
        let worker = self.worker_of(&order.target.worker_id);
        self.orders += 1;
        if self.is_unanswered(self.orders) {
            // It is carried out late, under an outranked fence: never.
            let answered = answered_start(&order, OrderOutcome::NoAnswer);
            return self.after(
                order.answer_timeout_ms,
                Event::StartAnswer { pool, answered },
            );
        }
        let outcome = match self.workers[worker].up && self.workers[worker].start(&order) {
            true => {
                self.begin_run(worker, &order);
                OrderOutcome::Done {
                    clock_ms: self.now_ms,
                }
            }
            false => OrderOutcome::Rejected(Rejection::Unhealthy),
        };
        let answered = answered_start(&order, outcome);
        self.after(PATH_MS, Event::StartAnswer { pool, answered });
    }

    fn begin_run(&mut self, worker: usize, order: &StartOrder) {
        let (job, index) = position_of(&order.task);
        let arrival = &self.arrivals[job];
        let run_ms = arrival.runs_ms[index] as f64 * self.workers[worker].slowness;
        let how = if arrival.fails {
            RunOutcome::Failed
        } else {
            RunOutcome::Done
        };
        let ends = Event::RunEnds {
            worker,
            task: order.task.clone(),
            run_id: order.run_id,
            how,
        };
        self.after(run_ms as u64, ends);
    }

    pub(super) fn stop(&mut self, pool: usize, order: StopOrder) {
        let worker = self.worker_of(&order.target.worker_id);
        if self.workers[worker].end(&order.task, order.run_id, RunOutcome::Stopped) {
            self.answer_waiting(worker);
        }
        let answered = OrderResult {
            worker: order.target.worker,
            fence: order.target.fence,
            task: order.task,
            run_id: order.run_id,
            outcome: OrderOutcome::Done {
                clock_ms: self.now_ms,
            },
        };
        self.after(PATH_MS, Event::StopAnswer { pool, answered });
    }

    pub(super) fn hold(&mut self, pool: usize, order: RenewOrder) {
        let worker = self.worker_of(&order.target.worker_id);
        self.orders += 1;
        if !self.workers[worker].up || self.is_unanswered(self.orders) {
            return self.answer_hold(pool, &order, RenewOutcome::NoAnswer);
        }
        self.workers[worker].take_hold(&order);
        if order.wait_ms > 0 && self.workers[worker].has_no_news() {
            let number = self.next_hold;
            self.next_hold += 1;
            let wait_ms = order.wait_ms.min(RENEW_WAIT_MS);
            self.workers[worker].waiting = Some(WaitingHold { order, number });
            return self.after(wait_ms, Event::HoldWaited { worker, number });
        }
        let listing = self.workers[worker].listing(self.now_ms);
        self.answer_hold(pool, &order, listing);
    }

    pub(super) fn answer_waiting(&mut self, worker: usize) {
        if let Some(hold) = self.workers[worker].waiting.take() {
            let pool = self.worker_pools[worker];
            let listing = self.workers[worker].listing(self.now_ms);
            self.answer_hold(pool, &hold.order, listing);
        }
    }

    fn answer_hold(&mut self, pool: usize, order: &RenewOrder, outcome: RenewOutcome) {
        let answer = Event::HoldAnswer {
            pool,
            worker: order.target.worker,
            fence: order.target.fence,
            number: order.number,
            outcome,
        };
        let late_ms = match answer_is_missing(&answer) {
            true => order.wait_ms + order.answer_timeout_ms,
            false => PATH_MS,
        };
        self.after(late_ms, answer);
    }
}

fn answered_start(order: &StartOrder, outcome: OrderOutcome) -> OrderResult {
    OrderResult {
        worker: order.target.worker,
        fence: order.target.fence,
        task: order.task.clone(),
        run_id: order.run_id,
        outcome,
    }
}

fn answer_is_missing(answer: &Event) -> bool {
    matches!(
        answer,
        Event::HoldAnswer {
            outcome: RenewOutcome::NoAnswer,
            ..
        }
    )
}

/// Positions of the job and the task that a task's name holds.
fn position_of(task: &str) -> (usize, usize) {
    let mut parts = task.split('.');
    let job = parts
        .next()
        .and_then(|id| usize::from_str_radix(id, 16).ok());
    let index = parts.next_back().and_then(|index| index.parse().ok());
    (job.unwrap_or(0), index.unwrap_or(0))
}
