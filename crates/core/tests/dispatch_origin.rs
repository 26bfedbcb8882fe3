//! Whoever delegated a job goes away, for a moment or for good.

mod dispatch_support;

use dispatch_support::orders::{
    LINK, answer_hold, answer_start, delegate, done, ended, fenced_owner, held,
};
use dispatch_support::{SimWorker, holds, job, starts, stops};
use trefoil_core::dispatch::job::Origin;
use trefoil_core::dispatch::limits::{
    LEASE_MS, LINK_TIMEOUT_MS, ORIGIN_RECONNECT_GRACE_MS, START_LEASE_MS,
};
use trefoil_core::dispatch::order::{ListedRun, OrderOutcome, Rejection, RunOutcome};
use trefoil_schema::dispatch::Outcome;

/// Another link of the same instance.
const NEXT_LINK: Origin = Origin::Link(8);

#[test]
fn a_lease_ends_with_the_origins_last_echo_however_late_the_loss_is_noticed() {
    let mut owner = fenced_owner(1, &["w1"]);
    owner.on_origin_heartbeat(LINK, 0);
    let started = starts(&delegate(&mut owner, 10, "a", 1));
    let clock_ms = 50_010;
    let out = answer_start(&mut owner, 12, &started[0], OrderOutcome::Done { clock_ms });
    let hold = &holds(&out)[0];
    let there = ListedRun {
        task: started[0].task.clone(),
        run_id: started[0].run_id,
    };
    // This instance lagged: most of a lease is spent since the origin was overdue.
    let lag_ms = LEASE_MS * 2 / 3;
    let now_ms = LINK_TIMEOUT_MS + lag_ms;
    let out = answer_hold(&mut owner, now_ms, hold, held(vec![there], vec![]));
    let deadline_ms = holds(&out)[0].deadline_ms.expect("something is left");
    assert!(deadline_ms <= 50_000 + now_ms + LEASE_MS - lag_ms);
}

#[test]
fn a_job_whose_origin_is_lost_is_stopped_and_may_come_again() {
    let mut owner = fenced_owner(1, &["w1"]);
    let started = starts(&delegate(&mut owner, 10, "a", 1));
    let clock_ms = 50_010;
    let out = answer_start(&mut owner, 12, &started[0], OrderOutcome::Done { clock_ms });
    let hold = holds(&out)[0].clone();
    let mut out = Vec::new();
    owner.on_origin_lost(20, LINK, &mut out);
    assert_eq!(stops(&out).len(), 1);
    // It comes again while its run is being stopped: nothing starts yet.
    let mut out = Vec::new();
    owner.delegate(21, Origin::Link(8), job("a", 1, 100), 0, None, &mut out);
    assert!(starts(&out).is_empty());
    let mut end = done(1, &started[0]);
    end.outcome = RunOutcome::Stopped;
    let out = answer_hold(&mut owner, 30, &hold, held(vec![], vec![end]));
    assert_eq!(starts(&out).len(), 1);
}

#[test]
fn an_origin_that_comes_back_by_another_link_finds_its_job_at_work() {
    let mut owner = fenced_owner(1, &["w1"]);
    owner.on_origin_heartbeat(LINK, 9);
    let started = starts(&delegate(&mut owner, 10, "a", 2));
    let clock_ms = 50_010;
    let out = answer_start(&mut owner, 12, &started[0], OrderOutcome::Done { clock_ms });
    answer_start(&mut owner, 12, &started[1], OrderOutcome::Done { clock_ms });
    let first_hold = holds(&out)[0].clone();
    let mut out = Vec::new();
    owner.on_origin_lost(20, LINK, &mut out);
    owner.tick(19 + ORIGIN_RECONNECT_GRACE_MS, &mut out);
    // Meanwhile the worker may have been asked what became of the runs.
    let hold = &holds(&out).pop().unwrap_or(first_hold);
    owner.delegate(
        19 + ORIGIN_RECONNECT_GRACE_MS,
        NEXT_LINK,
        job("a", 2, 100),
        0,
        None,
        &mut out,
    );
    owner.tick(20 + ORIGIN_RECONNECT_GRACE_MS, &mut out);
    assert!(stops(&out).is_empty() && starts(&out).is_empty());
    let ends = vec![done(1, &started[0]), done(2, &started[1])];
    let out = answer_hold(
        &mut owner,
        21 + ORIGIN_RECONNECT_GRACE_MS,
        hold,
        held(vec![], ends),
    );
    assert_eq!(ended(&out), [("a".to_owned(), Outcome::Completed)]);
}

#[test]
fn nothing_starts_for_an_origin_that_is_away_and_its_runs_are_stopped_in_time() {
    let mut owner = fenced_owner(1, &["w1"]);
    owner.on_origin_heartbeat(LINK, 9);
    // The worker takes two tasks at once, so one waits.
    let started = starts(&delegate(&mut owner, 10, "a", 3));
    assert_eq!(started.len(), 2);
    let clock_ms = 50_010;
    let out = answer_start(&mut owner, 12, &started[0], OrderOutcome::Done { clock_ms });
    answer_start(&mut owner, 12, &started[1], OrderOutcome::Done { clock_ms });
    let hold = &holds(&out)[0];
    let mut out = Vec::new();
    owner.on_origin_lost(20, LINK, &mut out);
    let still = ListedRun {
        task: started[1].task.clone(),
        run_id: started[1].run_id,
    };
    let ends = vec![done(1, &started[0])];
    out.extend(answer_hold(&mut owner, 30, hold, held(vec![still], ends)));
    owner.tick(31, &mut out);
    assert!(starts(&out).is_empty() && stops(&out).is_empty());
    owner.tick(20 + ORIGIN_RECONNECT_GRACE_MS, &mut out);
    assert_eq!(stops(&out).len(), 1);
    assert!(starts(&out).is_empty());
}

#[test]
fn a_start_that_is_carried_out_after_its_jobs_end_does_nothing() {
    let mut owner = fenced_owner(1, &["w1"]);
    let mut worker = SimWorker::new("w1", 50_000, 5000);
    let started = starts(&delegate(&mut owner, 10, "a", 1));
    let out = answer_start(&mut owner, 110, &started[0], OrderOutcome::NoAnswer);
    owner.cancel(111, LINK, "a", &mut Vec::new());
    let raised = holds(&out);
    assert_eq!(raised.len(), 1, "asked at once, under a raised fence");
    worker.hold(112, &raised[0]);
    assert_eq!(worker.start(113, &started[0]), OrderOutcome::Fenced);
    assert!(worker.runs.is_empty());
}

#[test]
fn a_run_whose_starter_is_gone_ends_with_its_lease() {
    let mut owner = fenced_owner(1, &["w1"]);
    let mut worker = SimWorker::new("w1", 50_000, 5000);
    let started = starts(&delegate(&mut owner, 10, "a", 1));
    drop(owner);
    // The order arrives late, as its lease allows ...
    let outcome = worker.start(START_LEASE_MS - 50, &started[0]);
    assert!(matches!(outcome, OrderOutcome::Done { .. }));
    worker.advance(10 + START_LEASE_MS * 102 / 100 + 20);
    assert!(worker.runs.is_empty());
    // ... or later than that.
    let mut worker = SimWorker::new("w1", 50_000, 5000);
    let outcome = worker.start(2010, &started[0]);
    assert_eq!(outcome, OrderOutcome::Rejected(Rejection::Late));
}
