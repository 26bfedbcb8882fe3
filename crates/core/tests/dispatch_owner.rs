//! Owner of a pool: fencing, leases, unanswered orders, adoption, stalled runs.

mod dispatch_support;

use dispatch_support::orders::{
    LINK, answer_renewal, answer_start, completion, delegate, fenced_owner, job_outcomes, renewed,
};
use dispatch_support::{
    SimWorker, holder, job, owner_after, renewals, starts, stops, worker_record,
};
use trefoil_core::dispatch::job::Origin;
use trefoil_core::dispatch::limits::{ADOPTION_GRACE_MS, REDELEGATION_DELAY_MS, START_LEASE_MS};
use trefoil_core::dispatch::order::{
    ListedRun, OrderOutcome, Rejection, RenewOrder, RenewOutcome, RunOutcome,
};
use trefoil_core::dispatch::owner::{Command, Owner};
use trefoil_schema::dispatch::Outcome;

#[test]
fn a_job_runs_to_completion() {
    let mut owner = fenced_owner(1, &["w1"]);
    let started = starts(&delegate(&mut owner, 10, "a", 2));
    assert_eq!(started.len(), 2);
    let clock_ms = 50_010;
    let first = answer_start(&mut owner, 12, &started[0], OrderOutcome::Done { clock_ms });
    answer_start(&mut owner, 12, &started[1], OrderOutcome::Done { clock_ms });
    let renewal = &renewals(&first)[0];
    let completions = vec![completion(1, &started[0]), completion(2, &started[1])];
    let out = answer_renewal(&mut owner, 110, renewal, renewed(vec![], completions));
    assert_eq!(job_outcomes(&out), [("a".to_owned(), Outcome::Completed)]);
}

#[test]
fn an_unanswered_start_occupies_capacity_until_a_newer_fence_is_accepted() {
    let mut owner = fenced_owner(1, &["w1"]);
    let started = starts(&delegate(&mut owner, 10, "a", 2));
    let out = answer_start(&mut owner, 210, &started[0], OrderOutcome::NoAnswer);
    // The start may have been carried out, so it occupies capacity under a raised fence.
    assert!(starts(&out).is_empty());
    let renewal = &renewals(&out)[0];
    assert!(renewal.target.fence > started[0].target.fence);
    assert!(starts(&delegate(&mut owner, 211, "b", 1)).is_empty());
    let listed = ListedRun {
        task: started[1].task.clone(),
        run_id: started[1].run_id,
    };
    let out = answer_renewal(&mut owner, 212, renewal, renewed(vec![listed], vec![]));
    let restarted = starts(&out);
    assert_eq!(restarted.len(), 1, "one task fits beside the listed run");
    assert!(restarted[0].run_id > started[0].run_id);
}

#[test]
fn runs_of_an_unresponsive_worker_are_not_restarted_before_their_leases_expire() {
    let mut owner = fenced_owner(1, &["w1", "w2"]);
    let started = starts(&delegate(&mut owner, 10, "a", 1));
    let out = answer_start(&mut owner, 210, &started[0], OrderOutcome::NoAnswer);
    let renewal = &renewals(&out)[0];
    answer_renewal(&mut owner, 212, renewal, RenewOutcome::NoAnswer);
    // The lease is not renewed while the start may or may not have been carried out.
    assert_eq!(renewal.deadline_ms, None);
    let lapse_ms = 10 + START_LEASE_MS * 100 / 98;
    owner.tick(lapse_ms - 100, &mut Vec::new());
    let mut early = Vec::new();
    owner.tick(lapse_ms - 1, &mut early);
    assert!(starts(&early).is_empty());
    let mut late = Vec::new();
    owner.tick(lapse_ms + 2, &mut late);
    let restarted = starts(&late);
    assert_eq!(restarted.len(), 1);
    assert_ne!(restarted[0].target.worker, started[0].target.worker);
}

/// Late objective of a task of 60 ms: three times its objective, which is 1.6 times its
/// duration and 60 ms more.
const LATE_OBJECTIVE_MS: u64 = 3 * (60 * 16 / 10 + 60);

#[test]
fn a_task_on_a_dead_worker_is_restarted_within_its_late_objective() {
    let mut owner = fenced_owner(1, &["w1", "w2"]);
    train_answer_timeout(&mut owner);
    let sent_ms = 1000;
    let started = starts(&delegate(&mut owner, sent_ms, "a", 1));
    let dead = started[0].target.worker;
    let mut unanswered = vec![(sent_ms + started[0].answer_timeout_ms, started[0].clone())];
    let mut restarted_ms = None;
    let mut open_renewals: Vec<(u64, RenewOrder)> = Vec::new();
    for now_ms in sent_ms..sent_ms + 2000 {
        let mut out = Vec::new();
        for (_, start) in unanswered.extract_if(.., |(at_ms, _)| *at_ms <= now_ms) {
            out.extend(answer_start(
                &mut owner,
                now_ms,
                &start,
                OrderOutcome::NoAnswer,
            ));
        }
        for (_, renewal) in open_renewals.extract_if(.., |(at_ms, _)| *at_ms <= now_ms) {
            out.extend(answer_renewal(
                &mut owner,
                now_ms,
                &renewal,
                RenewOutcome::NoAnswer,
            ));
        }
        if now_ms % 25 == 0 {
            owner.tick(now_ms, &mut out);
        }
        let renewals = renewals(&out).into_iter();
        let renewals = renewals.filter(|renewal| renewal.target.worker == dead);
        open_renewals.extend(renewals.map(|renewal| {
            (
                now_ms + renewal.wait_ms + renewal.answer_timeout_ms,
                renewal,
            )
        }));
        if let Some(restarted) = starts(&out).first() {
            assert_ne!(restarted.target.worker, dead);
            restarted_ms = Some(now_ms);
            break;
        }
    }
    let took_ms = restarted_ms.expect("the task is restarted") - sent_ms + 60;
    assert!(took_ms < LATE_OBJECTIVE_MS, "{took_ms} ms");
}

/// Lets the owner learn that its workers answer within a millisecond.
fn train_answer_timeout(owner: &mut Owner) {
    for number in 0..100 {
        let now_ms = 2 + number * 5;
        let started = starts(&delegate(owner, now_ms, &format!("early{number}"), 1));
        let outcome = OrderOutcome::Done {
            clock_ms: 50_000 + now_ms,
        };
        let mut out = answer_start(owner, now_ms + 1, &started[0], outcome);
        let end = completion(number + 1, &started[0]);
        let renewal = renewals(&out).pop();
        if let Some(renewal) = renewal {
            out = answer_renewal(owner, now_ms + 2, &renewal, renewed(vec![], vec![end]));
        }
        assert!(!job_outcomes(&out).is_empty());
    }
}

#[test]
fn results_of_orders_from_an_earlier_ownership_are_ignored() {
    let mut earlier = fenced_owner(1, &["w1"]);
    let started = starts(&delegate(&mut earlier, 10, "a", 1));
    let mut owner = fenced_owner(2, &["w1"]);
    // Both owners use the same worker key, under different fences.
    let out = answer_start(&mut owner, 12, &started[0], OrderOutcome::WrongIncarnation);
    assert!(out.is_empty());
    assert_eq!(owner.stats().workers_fenced, 1);
}

#[test]
fn a_new_owner_adopts_the_runs_of_a_redelegated_job() {
    let mut owner = owner_after(2, &["w1"]);
    let mut out = Vec::new();
    owner.set_workers(0, vec![worker_record("w1")], &mut out);
    let listed = ListedRun {
        task: "a.0.0.0".into(),
        run_id: 9,
    };
    let renewal = &renewals(&out)[0];
    answer_renewal(&mut owner, 1, renewal, renewed(vec![listed], vec![]));
    let mut out = Vec::new();
    let previous_holder = holder(1);
    let spec = job("a", 2, 100);
    owner.delegate(
        20,
        LINK,
        spec,
        REDELEGATION_DELAY_MS,
        Some(&previous_holder),
        &mut out,
    );
    let started = starts(&out);
    assert_eq!(started.len(), 1, "only the task without a run");
    assert_eq!(&*started[0].task, "a.0.0.1");
}

#[test]
fn orphan_runs_are_stopped_after_the_grace_period() {
    let mut owner = owner_after(2, &["w1"]);
    let mut out = Vec::new();
    owner.set_workers(0, vec![worker_record("w1")], &mut out);
    let listed = ListedRun {
        task: "a.0.0.0".into(),
        run_id: 9,
    };
    let renewal = &renewals(&out)[0];
    answer_renewal(&mut owner, 1, renewal, renewed(vec![listed], vec![]));
    let mut out = Vec::new();
    owner.tick(ADOPTION_GRACE_MS, &mut out);
    assert!(stops(&out).is_empty());
    owner.tick(1 + ADOPTION_GRACE_MS, &mut out);
    assert_eq!(stops(&out).len(), 1);
}

#[test]
fn a_superseded_owner_reports_it_and_sends_no_more_orders() {
    let mut owner = fenced_owner(1, &["w1"]);
    let started = starts(&delegate(&mut owner, 10, "a", 1));
    let out = answer_start(&mut owner, 12, &started[0], OrderOutcome::Fenced);
    assert!(
        out.iter()
            .any(|command| matches!(command, Command::Superseded))
    );
    assert_eq!(job_outcomes(&out), [("a".to_owned(), Outcome::Lost)]);
    assert!(starts(&delegate(&mut owner, 13, "b", 1)).is_empty());
}

#[test]
fn a_failed_task_is_retried_on_another_worker() {
    let mut owner = fenced_owner(1, &["w1", "w2"]);
    let started = starts(&delegate(&mut owner, 10, "a", 1));
    let clock_ms = 50_010;
    let out = answer_start(&mut owner, 12, &started[0], OrderOutcome::Done { clock_ms });
    let mut end = completion(1, &started[0]);
    end.outcome = RunOutcome::Failed;
    let out = answer_renewal(
        &mut owner,
        20,
        &renewals(&out)[0],
        renewed(vec![], vec![end]),
    );
    let restarted = starts(&out);
    assert_eq!(restarted.len(), 1);
    assert_ne!(restarted[0].target.worker, started[0].target.worker);
}

#[test]
fn a_job_fails_when_a_task_has_no_attempts_left() {
    let mut owner = fenced_owner(1, &["w1", "w2", "w3"]);
    let mut started = starts(&delegate(&mut owner, 10, "a", 1));
    for attempt in 1..=3 {
        let clock_ms = 50_010;
        let outcome = OrderOutcome::Done { clock_ms };
        let out = answer_start(&mut owner, 12 * attempt, &started[0], outcome);
        let mut end = completion(1, &started[0]);
        end.outcome = RunOutcome::Failed;
        let renewal = &renewals(&out)[0];
        let out = answer_renewal(
            &mut owner,
            12 * attempt + 5,
            renewal,
            renewed(vec![], vec![end]),
        );
        if attempt == 3 {
            assert_eq!(job_outcomes(&out), [("a".to_owned(), Outcome::Failed)]);
        } else {
            started = starts(&out);
        }
    }
}

#[test]
fn a_start_rejected_as_old_is_retried_with_a_higher_run_id() {
    let mut owner = fenced_owner(1, &["w1"]);
    let started = starts(&delegate(&mut owner, 10, "a", 1));
    let outcome = OrderOutcome::Rejected(Rejection::OldRun);
    let out = answer_start(&mut owner, 12, &started[0], outcome);
    assert!(starts(&out).is_empty());
    let mut out = Vec::new();
    owner.tick(200, &mut out);
    assert!(starts(&out)[0].run_id > started[0].run_id + 1000);
}

#[test]
fn the_simulated_worker_rejects_a_completed_run() {
    let mut worker = SimWorker::new("w1", 0, 100);
    let mut owner = fenced_owner(3, &["w1"]);
    let started = starts(&delegate(&mut owner, 10, "a", 1));
    let mut order = started[0].clone();
    order.deadline_ms = 500;
    assert!(matches!(
        worker.start(10, &order),
        OrderOutcome::Done { .. }
    ));
    worker.advance(120);
    assert!(worker.runs.is_empty());
    let outcome = worker.start(121, &order);
    assert_eq!(outcome, OrderOutcome::Rejected(Rejection::OldRun));
}

#[test]
fn an_expired_job_is_refused_and_never_starts() {
    let mut owner = fenced_owner(1, &["w1"]);
    delegate(&mut owner, 10, "a", 2);
    let mut spec = job("b", 1, 100);
    spec.patience_ms = 400;
    let mut out = Vec::new();
    owner.delegate(10, LINK, spec, 0, None, &mut out);
    owner.tick(359, &mut out);
    assert!(
        job_outcomes(&out).is_empty(),
        "the job could still complete in half its estimate"
    );
    owner.tick(361, &mut out);
    assert_eq!(job_outcomes(&out), [("b".to_owned(), Outcome::NotRun)]);
    assert!(starts(&out).is_empty());
}

#[test]
fn a_job_far_beyond_its_late_objective_is_refused() {
    let mut owner = fenced_owner(1, &["w1"]);
    delegate(&mut owner, 10, "a", 2);
    let mut spec = job("b", 1, 100);
    spec.stretch = 1.6;
    let mut out = Vec::new();
    owner.delegate(10, LINK, spec, 0, None, &mut out);
    let late_ms = 10 + 3 * (160 + 60);
    owner.tick(late_ms, &mut out);
    assert!(job_outcomes(&out).is_empty(), "its estimate may be too low");
    owner.tick(late_ms * 3 / 2, &mut out);
    assert_eq!(job_outcomes(&out), [("b".to_owned(), Outcome::NotRun)]);
}

#[test]
fn a_partly_run_job_is_not_reported_as_returned() {
    // Guards against reporting a job as not run although a task had started.
    let mut owner = fenced_owner(1, &["w1"]);
    let started = starts(&delegate(&mut owner, 10, "a", 3));
    assert_eq!(started.len(), 2, "two tasks fit");
    let clock_ms = 50_010;
    let outcome = OrderOutcome::Done { clock_ms };
    let out = answer_start(&mut owner, 12, &started[0], outcome);
    answer_start(&mut owner, 12, &started[1], outcome);
    let mut draining_record = worker_record("w1");
    draining_record.draining = true;
    owner.set_workers(13, vec![draining_record], &mut Vec::new());
    let completions = vec![completion(1, &started[0]), completion(2, &started[1])];
    answer_renewal(
        &mut owner,
        110,
        &renewals(&out)[0],
        renewed(vec![], completions),
    );
    delegate(&mut owner, 111, "b", 1);
    let mut out = Vec::new();
    owner.release(120, &mut out);
    let mut outcomes = job_outcomes(&out);
    outcomes.sort();
    let expected = [
        ("a".to_owned(), Outcome::Stopped),
        ("b".to_owned(), Outcome::Returned),
    ];
    assert_eq!(outcomes, expected);
}

#[test]
fn order_results_do_not_cause_queue_sorts() {
    let mut owner = fenced_owner(1, &["w1"]);
    let started = starts(&delegate(&mut owner, 10, "first", 2));
    for number in 0..100 {
        delegate(&mut owner, 11, &format!("waits{number}"), 4);
    }
    let before = owner.stats().queue_sorts;
    let outcome = OrderOutcome::Done { clock_ms: 50_010 };
    for _ in 0..100 {
        answer_start(&mut owner, 12, &started[0], outcome);
    }
    assert_eq!(owner.stats().queue_sorts, before);
}

#[test]
fn the_stall_timeout_allows_for_the_mean_run_time_of_the_class() {
    // Guards against stopping a run as stalled because its estimate is far below the
    // mean of its class.
    let mut owner = fenced_owner(1, &["w1"]);
    let mut now_ms = 10;
    let pay = |id: String, estimate_ms| {
        let mut spec = job(&id, 1, estimate_ms);
        spec.class = "pay".to_owned();
        spec
    };
    let run = |owner: &mut Owner, now_ms: u64, id: String, estimate_ms| {
        let mut out = Vec::new();
        owner.delegate(
            now_ms,
            Origin::Local,
            pay(id, estimate_ms),
            0,
            None,
            &mut out,
        );
        let started = starts(&out)[0].clone();
        let clock_ms = 50_000 + now_ms;
        let out = answer_start(owner, now_ms, &started, OrderOutcome::Done { clock_ms });
        (started, renewals(&out))
    };
    for number in 0..12 {
        let (started, open_renewals) = run(&mut owner, now_ms, format!("learn{number}"), 900);
        now_ms += 900;
        let renewal = open_renewals[0].clone();
        answer_renewal(
            &mut owner,
            now_ms,
            &renewal,
            renewed(vec![], vec![completion(number + 1, &started)]),
        );
    }
    let (started, _) = run(&mut owner, now_ms, "short".to_owned(), 227);
    let mut out = Vec::new();
    owner.tick(now_ms + 900, &mut out);
    assert!(
        stops(&out).is_empty(),
        "the run takes as long as others of its class"
    );
    // The run is stopped only after the worker has just listed it.
    now_ms += 900 * 3 + 500;
    owner.tick(now_ms, &mut out);
    let listed = ListedRun {
        task: started.task.clone(),
        run_id: started.run_id,
    };
    let poll = renewals(&out).pop().expect("the worker is polled");
    answer_renewal(&mut owner, now_ms, &poll, renewed(vec![listed], vec![]));
    owner.tick(now_ms + 25, &mut out);
    assert_eq!(stops(&out).len(), 1);
}

#[test]
fn a_lost_completion_is_polled_for_and_not_treated_as_a_stall() {
    // Guards against treating completed runs as stalled, and putting their workers on
    // probation, when answers are lost.
    let mut owner = fenced_owner(1, &["w1"]);
    let started = starts(&delegate(&mut owner, 10, "a", 1));
    let clock_ms = 50_010;
    let out = answer_start(&mut owner, 12, &started[0], OrderOutcome::Done { clock_ms });
    let lost_renewal = &renewals(&out)[0];
    // The run takes 100 ms; the renewal that would list its completion is lost.
    let mut out = Vec::new();
    owner.tick(200, &mut out);
    assert!(out.is_empty(), "{out:?}");
    owner.tick(225, &mut out);
    let poll = &renewals(&out)[0];
    assert!(poll.wait_ms == 0 && poll.number > lost_renewal.number);
    assert_eq!(
        poll.target.fence, lost_renewal.target.fence,
        "orders in flight stay valid"
    );
    // The poll is lost, too: without an answer, nothing is stopped.
    let mut out = Vec::new();
    owner.tick(600, &mut out);
    assert!(stops(&out).is_empty());
    let out = answer_renewal(
        &mut owner,
        601,
        poll,
        renewed(vec![], vec![completion(1, &started[0])]),
    );
    assert_eq!(job_outcomes(&out), [("a".to_owned(), Outcome::Completed)]);
}

#[test]
fn an_overdue_run_is_stopped_once_a_fresh_answer_lists_it() {
    let mut owner = fenced_owner(1, &["w1"]);
    let started = starts(&delegate(&mut owner, 10, "a", 1));
    let clock_ms = 50_010;
    answer_start(&mut owner, 12, &started[0], OrderOutcome::Done { clock_ms });
    let listed = || ListedRun {
        task: started[0].task.clone(),
        run_id: started[0].run_id,
    };
    let mut out = Vec::new();
    owner.tick(500, &mut out);
    assert!(stops(&out).is_empty());
    let poll = &renewals(&out)[0];
    answer_renewal(&mut owner, 503, poll, renewed(vec![listed()], vec![]));
    let mut out = Vec::new();
    owner.tick(525, &mut out);
    assert_eq!(stops(&out).len(), 1);
}
