//! Limits on the starts and the runs on a worker.

mod dispatch_support;

use dispatch_support::orders::{answer_start, delegate_job, fenced_owner};
use dispatch_support::{SimWorker, job, starts, wide_job};
use trefoil_core::dispatch::limits::{RUNS_PER_WORKER_MAX, STARTS_IN_FLIGHT_MAX};
use trefoil_core::dispatch::order::{OrderOutcome, Rejection, StartOrder};
use trefoil_core::dispatch::owner::Owner;

fn answer(owner: &mut Owner, now_ms: u64, order: &StartOrder) -> Vec<StartOrder> {
    let clock_ms = SimWorker::new("w", 50_000, 0).clock_ms(now_ms);
    let done = OrderOutcome::Done { clock_ms };
    starts(&answer_start(owner, now_ms, order, done))
}

#[test]
fn starts_wait_for_the_answers_to_earlier_ones() {
    let mut owner = fenced_owner(1, &["w1"]);
    let mut unanswered = starts(&delegate_job(&mut owner, 10, wide_job("a", 100)));
    assert_eq!(unanswered.len(), STARTS_IN_FLIGHT_MAX);
    let mut ordered = unanswered.len();
    while let Some(order) = unanswered.pop() {
        let next = answer(&mut owner, 11, &order);
        assert!(next.len() <= 1);
        ordered += next.len();
        unanswered.extend(next);
        assert!(unanswered.len() <= STARTS_IN_FLIGHT_MAX);
    }
    assert_eq!(ordered, 100);
}

#[test]
fn runs_on_a_worker_are_limited() {
    let mut owner = fenced_owner(1, &["w1"]);
    let tasks = RUNS_PER_WORKER_MAX as u32 + 100;
    let mut unanswered = starts(&delegate_job(&mut owner, 10, wide_job("a", tasks)));
    let mut ordered = unanswered.len();
    while let Some(order) = unanswered.pop() {
        let next = answer(&mut owner, 11, &order);
        ordered += next.len();
        unanswered.extend(next);
    }
    assert_eq!(ordered, RUNS_PER_WORKER_MAX);
}

#[test]
fn a_start_that_was_not_sent_is_ordered_again_under_the_same_fence() {
    let mut owner = fenced_owner(1, &["w1"]);
    let order = starts(&delegate_job(&mut owner, 10, job("a", 1, 100))).remove(0);
    let congested = OrderOutcome::Rejected(Rejection::Congested);
    assert!(starts(&answer_start(&mut owner, 20, &order, congested)).is_empty());
    let mut out = Vec::new();
    owner.tick(130, &mut out);
    let again = starts(&out);
    assert_eq!(again.len(), 1);
    assert_eq!(again[0].task, order.task);
    assert_eq!(again[0].target.fence, order.target.fence);
}
