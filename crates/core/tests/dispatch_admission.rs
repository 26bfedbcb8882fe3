//! Admission control, queue order, and attribution of failures.

mod dispatch_support;

use dispatch_support::orders::{
    LINK, answer_renewal, answer_start, completion, fenced_owner, job_outcomes, renewed,
};
use dispatch_support::{SimWorker, job, renewals, starts};
use trefoil_core::dispatch::order::{OrderOutcome, RunOutcome, StartOrder};
use trefoil_core::dispatch::owner::{Command, Owner};
use trefoil_schema::dispatch::{Job, Outcome};

/// A job with an objective of 1.6 times its estimate and 60 ms more.
fn urgent(id: &str, count: u32, estimate_ms: u64) -> Job {
    Job {
        stretch: 1.6,
        patience_ms: 5000,
        ..job(id, count, estimate_ms)
    }
}

fn delegate(owner: &mut Owner, now_ms: u64, spec: Job) -> Vec<Command> {
    let mut out = Vec::new();
    owner.delegate(now_ms, LINK, spec, 0, None, &mut out);
    out
}

/// Completes a run, and returns the owner's commands.
fn complete_run(owner: &mut Owner, now_ms: u64, order: &StartOrder, number: u64) -> Vec<Command> {
    complete_run_as(owner, now_ms, order, number, RunOutcome::Done)
}

fn complete_run_as(
    owner: &mut Owner,
    now_ms: u64,
    order: &StartOrder,
    number: u64,
    how: RunOutcome,
) -> Vec<Command> {
    let clock_ms = SimWorker::new("w", 50_000, 0).clock_ms(now_ms);
    let out = answer_start(owner, now_ms - 1, order, OrderOutcome::Done { clock_ms });
    let mut end = completion(number, order);
    end.outcome = how;
    let renewal = &renewals(&out)[0];
    answer_renewal(owner, now_ms, renewal, renewed(vec![], vec![end]))
}

fn retry_after_ms(commands: &[Command]) -> Vec<u64> {
    let delays = commands.iter().filter_map(|command| match command {
        Command::JobEnded { result, .. } => Some(result.retry_after_ms),
        _ => None,
    });
    delays.collect()
}

#[test]
fn a_job_that_cannot_begin_in_time_is_refused_at_once() {
    let mut owner = fenced_owner(1, &["w1"]);
    delegate(&mut owner, 10, job("long", 2, 3000));
    let out = delegate(&mut owner, 11, urgent("a", 1, 100));
    assert_eq!(job_outcomes(&out), [("a".to_owned(), Outcome::NotRun)]);
    assert!(starts(&out).is_empty());
}

#[test]
fn a_job_that_can_begin_in_time_waits() {
    let mut owner = fenced_owner(1, &["w1"]);
    let long = starts(&delegate(&mut owner, 10, job("long", 2, 60)));
    let out = delegate(&mut owner, 11, urgent("a", 1, 100));
    assert!(job_outcomes(&out).is_empty());
    let out = complete_run(&mut owner, 70, &long[0], 1);
    assert_eq!(starts(&out).len(), 1);
}

#[test]
fn retry_delays_of_refused_callers_are_staggered() {
    let mut owner = fenced_owner(1, &["w1"]);
    delegate(&mut owner, 10, job("long", 2, 3000));
    let refused = (0..4).map(|index| {
        let out = delegate(&mut owner, 11, urgent(&format!("a{index}"), 2, 1000));
        retry_after_ms(&out)[0]
    });
    let refused: Vec<u64> = refused.collect();
    // Each job takes the worker for a second, or somewhat more due to fragmentation.
    for pair in refused.windows(2) {
        assert!((1000..1500).contains(&(pair[1] - pair[0])), "{refused:?}");
    }
}

#[test]
fn a_job_with_a_long_objective_waits_even_if_no_capacity_is_forecast() {
    let mut owner = fenced_owner(1, &["w1"]);
    delegate(&mut owner, 10, job("long", 2, 3000));
    let patient = Job {
        stretch: 200.0,
        ..job("a", 3, 100)
    };
    assert!(job_outcomes(&delegate(&mut owner, 11, patient)).is_empty());
}

#[test]
fn a_job_that_has_begun_ranks_before_more_urgent_ones() {
    let mut owner = fenced_owner(1, &["w1"]);
    let begun = starts(&delegate(&mut owner, 10, job("begun", 3, 100)));
    assert_eq!(begun.len(), 2, "two tasks fit");
    delegate(&mut owner, 11, urgent("urgent", 1, 400));
    let out = complete_run(&mut owner, 110, &begun[0], 1);
    assert_eq!(&*starts(&out)[0].task, "begun.0.0.2");
}

#[test]
fn priority_ranks_before_latest_start() {
    let mut owner = fenced_owner(1, &["w1"]);
    let long = starts(&delegate(&mut owner, 10, job("long", 2, 60)));
    let second = Job {
        priority: 1,
        ..urgent("second", 1, 100)
    };
    delegate(&mut owner, 11, second);
    delegate(&mut owner, 11, urgent("first", 1, 200));
    let out = complete_run(&mut owner, 70, &long[0], 1);
    assert_eq!(&*starts(&out)[0].task, "first.0.0.0");
}

#[test]
fn a_class_over_its_share_ranks_behind_one_that_is_not() {
    let mut owner = fenced_owner(1, &["w1"]);
    let of_class = |spec: Job, class: &str| Job {
        class: class.to_owned(),
        ..spec
    };
    let greedy = starts(&delegate(
        &mut owner,
        10,
        of_class(job("g", 2, 60), "greedy"),
    ));
    delegate(&mut owner, 11, of_class(urgent("g2", 1, 100), "greedy"));
    let modest = Job {
        priority: 1,
        ..of_class(urgent("m", 1, 200), "modest")
    };
    delegate(&mut owner, 12, modest);
    let out = complete_run(&mut owner, 70, &greedy[0], 1);
    assert_eq!(&*starts(&out)[0].task, "m.0.0.0");
}

#[test]
fn probation_is_lifted_once_failures_are_attributed_to_a_job() {
    let mut owner = fenced_owner(1, &["w1", "w2"]);
    let failing = Job {
        attempts_max: 4,
        ..job("hopeless", 1, 100)
    };
    let first = starts(&delegate(&mut owner, 10, failing));
    let out = complete_run_as(&mut owner, 50, &first[0], 1, RunOutcome::Failed);
    let second = starts(&out);
    assert_ne!(second[0].target.worker, first[0].target.worker);
    complete_run_as(&mut owner, 90, &second[0], 1, RunOutcome::Failed);
    // Otherwise both workers would be on probation for 250 ms. The third attempt takes
    // one of the four slots.
    let started = starts(&delegate(&mut owner, 91, job("sound", 3, 100)));
    assert_eq!(started.len(), 3);
}

#[test]
fn a_suspect_job_runs_one_task_at_a_time() {
    let mut owner = fenced_owner(1, &["w1", "w2"]);
    let failing = Job {
        attempts_max: 4,
        ..job("hopeless", 4, 100)
    };
    let first = starts(&delegate(&mut owner, 10, failing));
    assert_eq!(first.len(), 4);
    let on = |worker| {
        first
            .iter()
            .filter(move |start| start.target.worker == worker)
    };
    let one = first[0].target.worker;
    let mut number = 0;
    let mut started = Vec::new();
    let others = first.iter().filter(|start| start.target.worker != one);
    for start in on(one).take(1).chain(others.take(1)) {
        number += 1;
        let out = complete_run_as(&mut owner, 50 + number, start, 1, RunOutcome::Failed);
        started.extend(starts(&out));
    }
    assert!(started.len() <= 1, "two tasks still run: {started:?}");
}
