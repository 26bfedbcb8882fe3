//! Origins that disconnect, for a moment or for good.

mod dispatch_support;

use dispatch_support::orders::{
    LINK, answer_renewal, answer_start, completion, delegate, fenced_owner, job_outcomes, renewed,
};
use dispatch_support::{SimWorker, job, renewals, starts, stops};
use trefoil_core::dispatch::job::Origin;
use trefoil_core::dispatch::limits::{
    LEASE_MS, LINK_TIMEOUT_MS, ORIGIN_RECONNECT_GRACE_MS, START_LEASE_MS,
};
use trefoil_core::dispatch::order::{ListedRun, OrderOutcome, Rejection, RenewOrder, RunOutcome};
use trefoil_core::dispatch::owner::{Command, Owner};
use trefoil_schema::dispatch::{Job, Outcome};

/// Another link of the same instance.
const NEXT_LINK: Origin = Origin::Link(8);

/// Delegates a job at 10 ms and starts it. Returns the renewal that is then open, and the run.
fn start_job(owner: &mut Owner) -> (RenewOrder, ListedRun) {
    let started = starts(&delegate(owner, 10, "a", 1));
    let clock_ms = 50_010;
    let out = answer_start(owner, 12, &started[0], OrderOutcome::Done { clock_ms });
    let listed = ListedRun {
        task: started[0].task.clone(),
        run_id: started[0].run_id,
    };
    (renewals(&out)[0].clone(), listed)
}

#[test]
fn leases_are_bounded_by_the_origins_last_heartbeat() {
    let mut owner = fenced_owner(1, &["w1"]);
    owner.on_origin_heartbeat(LINK, 0);
    let (renewal, listed) = start_job(&mut owner);
    // This instance notices late: two thirds of a lease have passed since the origin
    // became overdue.
    let lag_ms = LEASE_MS * 2 / 3;
    let now_ms = LINK_TIMEOUT_MS + lag_ms;
    let out = answer_renewal(&mut owner, now_ms, &renewal, renewed(vec![listed], vec![]));
    let deadline_ms = renewals(&out)[0]
        .deadline_ms
        .expect("part of the lease is left");
    assert!(deadline_ms <= 50_000 + now_ms + LEASE_MS - lag_ms);
}

/// Guards against leases that are renewed for as long as the loss of a link goes unnoticed, if the
/// origin delegated a job and was lost before its first heartbeat.
#[test]
fn leases_are_bounded_by_the_delegation_of_an_origin_without_heartbeats() {
    let mut owner = fenced_owner(1, &["w1"]);
    owner.on_origin_delegated(10, LINK);
    let (renewal, listed) = start_job(&mut owner);
    let lag_ms = LEASE_MS * 2 / 3;
    let now_ms = 10 + LINK_TIMEOUT_MS + lag_ms;
    let out = answer_renewal(&mut owner, now_ms, &renewal, renewed(vec![listed], vec![]));
    let deadline_ms = renewals(&out)[0].deadline_ms;
    assert!(deadline_ms.is_some_and(|at_ms| at_ms <= 50_000 + now_ms + LEASE_MS - lag_ms));
}

#[test]
fn a_job_of_a_lost_origin_is_stopped_and_can_be_delegated_again() {
    let mut owner = fenced_owner(1, &["w1"]);
    let started = starts(&delegate(&mut owner, 10, "a", 1));
    let clock_ms = 50_010;
    let out = answer_start(&mut owner, 12, &started[0], OrderOutcome::Done { clock_ms });
    let renewal = renewals(&out)[0].clone();
    let mut out = Vec::new();
    owner.on_origin_lost(20, LINK, &mut out);
    assert_eq!(stops(&out).len(), 1);
    // The job is delegated again while its run is being stopped: nothing starts yet.
    let mut out = Vec::new();
    owner.delegate(21, Origin::Link(8), job("a", 1, 100), 0, None, &mut out);
    assert!(starts(&out).is_empty());
    let mut end = completion(1, &started[0]);
    end.outcome = RunOutcome::Stopped;
    let out = answer_renewal(&mut owner, 30, &renewal, renewed(vec![], vec![end]));
    assert_eq!(starts(&out).len(), 1);
}

#[test]
fn a_job_continues_when_its_origin_reconnects_in_time() {
    let mut owner = fenced_owner(1, &["w1"]);
    owner.on_origin_heartbeat(LINK, 9);
    let started = starts(&delegate(&mut owner, 10, "a", 2));
    let clock_ms = 50_010;
    let out = answer_start(&mut owner, 12, &started[0], OrderOutcome::Done { clock_ms });
    answer_start(&mut owner, 12, &started[1], OrderOutcome::Done { clock_ms });
    let first_renewal = renewals(&out)[0].clone();
    let mut out = Vec::new();
    owner.on_origin_lost(20, LINK, &mut out);
    owner.tick(19 + ORIGIN_RECONNECT_GRACE_MS, &mut out);
    // The worker may have been polled for completions in the meantime.
    let renewal = &renewals(&out).pop().unwrap_or(first_renewal);
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
    let completions = vec![completion(1, &started[0]), completion(2, &started[1])];
    let out = answer_renewal(
        &mut owner,
        21 + ORIGIN_RECONNECT_GRACE_MS,
        renewal,
        renewed(vec![], completions),
    );
    assert_eq!(job_outcomes(&out), [("a".to_owned(), Outcome::Completed)]);
}

/// Guards against a job that is stopped while its caller waits for it: a delegation that was
/// delayed on a link that is about to end arrived after the one that replaced it.
#[test]
fn an_earlier_delegation_does_not_replace_a_later_one() {
    let mut owner = fenced_owner(1, &["w1"]);
    owner.on_origin_heartbeat(LINK, 9);
    owner.on_origin_heartbeat(NEXT_LINK, 9);
    let delegation = |number| Job {
        delegation: number,
        delegator: 5,
        ..job("a", 1, 100)
    };
    let mut out = Vec::new();
    owner.delegate(10, NEXT_LINK, delegation(2), 0, None, &mut out);
    owner.delegate(11, LINK, delegation(1), 0, None, &mut out);
    let started = starts(&out);
    let clock_ms = 50_010;
    let out = answer_start(&mut owner, 12, &started[0], OrderOutcome::Done { clock_ms });
    let renewal = &renewals(&out)[0];
    let mut out = Vec::new();
    owner.on_origin_lost(13, LINK, &mut out);
    owner.on_origin_heartbeat(NEXT_LINK, 13 + ORIGIN_RECONNECT_GRACE_MS);
    owner.tick(13 + ORIGIN_RECONNECT_GRACE_MS, &mut out);
    assert!(stops(&out).is_empty());
    let now_ms = 14 + ORIGIN_RECONNECT_GRACE_MS;
    let completions = vec![completion(1, &started[0])];
    let out = answer_renewal(&mut owner, now_ms, renewal, renewed(vec![], completions));
    let ended = out.iter().find_map(|command| match command {
        Command::JobEnded { origin, result, .. } => Some((*origin, result.delegation)),
        _ => None,
    });
    assert_eq!(ended, Some((NEXT_LINK, 2)));
}

#[test]
fn jobs_of_a_disconnected_origin_start_nothing_and_are_stopped_in_time() {
    let mut owner = fenced_owner(1, &["w1"]);
    owner.on_origin_heartbeat(LINK, 9);
    // Two tasks fit, so one waits.
    let started = starts(&delegate(&mut owner, 10, "a", 3));
    assert_eq!(started.len(), 2);
    let clock_ms = 50_010;
    let out = answer_start(&mut owner, 12, &started[0], OrderOutcome::Done { clock_ms });
    answer_start(&mut owner, 12, &started[1], OrderOutcome::Done { clock_ms });
    let renewal = &renewals(&out)[0];
    let mut out = Vec::new();
    owner.on_origin_lost(20, LINK, &mut out);
    let listed = ListedRun {
        task: started[1].task.clone(),
        run_id: started[1].run_id,
    };
    let completions = vec![completion(1, &started[0])];
    out.extend(answer_renewal(
        &mut owner,
        30,
        renewal,
        renewed(vec![listed], completions),
    ));
    owner.tick(31, &mut out);
    assert!(starts(&out).is_empty() && stops(&out).is_empty());
    owner.tick(20 + ORIGIN_RECONNECT_GRACE_MS, &mut out);
    assert_eq!(stops(&out).len(), 1);
    assert!(starts(&out).is_empty());
}

#[test]
fn a_start_that_arrives_after_its_job_was_cancelled_is_rejected() {
    let mut owner = fenced_owner(1, &["w1"]);
    let mut worker = SimWorker::new("w1", 50_000, 5000);
    let started = starts(&delegate(&mut owner, 10, "a", 1));
    let out = answer_start(&mut owner, 110, &started[0], OrderOutcome::NoAnswer);
    owner.cancel(111, LINK, "a", &mut Vec::new());
    let raised = renewals(&out);
    assert_eq!(
        raised.len(),
        1,
        "the worker is polled at once, under a raised fence"
    );
    worker.renew(112, &raised[0]);
    assert_eq!(worker.start(113, &started[0]), OrderOutcome::Fenced);
    assert!(worker.runs.is_empty());
}

#[test]
fn runs_of_a_lost_owner_end_with_their_lease() {
    let mut owner = fenced_owner(1, &["w1"]);
    let mut worker = SimWorker::new("w1", 50_000, 5000);
    let started = starts(&delegate(&mut owner, 10, "a", 1));
    drop(owner);
    // The order arrives late, but before its deadline ...
    let outcome = worker.start(START_LEASE_MS - 50, &started[0]);
    assert!(matches!(outcome, OrderOutcome::Done { .. }));
    worker.advance(10 + START_LEASE_MS * 102 / 100 + 20);
    assert!(worker.runs.is_empty());
    // ... or after its deadline.
    let mut worker = SimWorker::new("w1", 50_000, 5000);
    let outcome = worker.start(2010, &started[0]);
    assert_eq!(outcome, OrderOutcome::Rejected(Rejection::Late));
}
