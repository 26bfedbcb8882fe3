//! Which jobs may wait, in which order they begin, and whose fault a failure is.

mod dispatch_support;

use dispatch_support::orders::{LINK, answer_hold, answer_start, done, ended, fenced_owner, held};
use dispatch_support::{SimWorker, holds, job, starts};
use trefoil_core::dispatch::order::{OrderOutcome, RunOutcome, StartOrder};
use trefoil_core::dispatch::owner::{Command, Owner};
use trefoil_schema::dispatch::{Job, Outcome};

/// A job with an objective of 1.6 times its run and 60 ms.
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

/// Ends a run; what the owner does then.
fn end(owner: &mut Owner, now_ms: u64, order: &StartOrder, number: u64) -> Vec<Command> {
    end_as(owner, now_ms, order, number, RunOutcome::Done)
}

fn end_as(
    owner: &mut Owner,
    now_ms: u64,
    order: &StartOrder,
    number: u64,
    how: RunOutcome,
) -> Vec<Command> {
    let clock_ms = SimWorker::new("w", 50_000, 0).clock_ms(now_ms);
    let out = answer_start(owner, now_ms - 1, order, OrderOutcome::Done { clock_ms });
    let mut end = done(number, order);
    end.outcome = how;
    let hold = &holds(&out)[0];
    answer_hold(owner, now_ms, hold, held(vec![], vec![end]))
}

fn retry_after_ms(commands: &[Command]) -> Vec<u64> {
    let ended = commands.iter().filter_map(|command| match command {
        Command::JobEnded { result, .. } => Some(result.retry_after_ms),
        _ => None,
    });
    ended.collect()
}

#[test]
fn a_job_whose_turn_comes_too_late_is_refused_at_once() {
    let mut owner = fenced_owner(1, &["w1"]);
    delegate(&mut owner, 10, job("long", 2, 3000));
    let out = delegate(&mut owner, 11, urgent("a", 1, 100));
    assert_eq!(ended(&out), [("a".to_owned(), Outcome::NotRun)]);
    assert!(starts(&out).is_empty());
}

#[test]
fn a_job_whose_turn_comes_in_time_waits() {
    let mut owner = fenced_owner(1, &["w1"]);
    let long = starts(&delegate(&mut owner, 10, job("long", 2, 60)));
    let out = delegate(&mut owner, 11, urgent("a", 1, 100));
    assert!(ended(&out).is_empty());
    let out = end(&mut owner, 70, &long[0], 1);
    assert_eq!(starts(&out).len(), 1);
}

#[test]
fn refused_callers_come_back_one_after_the_other() {
    let mut owner = fenced_owner(1, &["w1"]);
    delegate(&mut owner, 10, job("long", 2, 3000));
    let refused = (0..4).map(|index| {
        let out = delegate(&mut owner, 11, urgent(&format!("a{index}"), 2, 1000));
        retry_after_ms(&out)[0]
    });
    let refused: Vec<u64> = refused.collect();
    // Each takes the worker for a second, or a little more: room strands.
    for pair in refused.windows(2) {
        assert!((1000..1500).contains(&(pair[1] - pair[0])), "{refused:?}");
    }
}

#[test]
fn without_room_in_sight_a_job_waits_if_it_has_the_time() {
    let mut owner = fenced_owner(1, &["w1"]);
    delegate(&mut owner, 10, job("long", 2, 3000));
    let patient = Job {
        stretch: 200.0,
        ..job("a", 3, 100)
    };
    assert!(ended(&delegate(&mut owner, 11, patient)).is_empty());
}

#[test]
fn a_job_that_has_begun_goes_before_more_urgent_ones() {
    let mut owner = fenced_owner(1, &["w1"]);
    let begun = starts(&delegate(&mut owner, 10, job("begun", 3, 100)));
    assert_eq!(begun.len(), 2, "two fit");
    delegate(&mut owner, 11, urgent("urgent", 1, 400));
    let out = end(&mut owner, 110, &begun[0], 1);
    assert_eq!(&*starts(&out)[0].task, "begun.0.0.2");
}

#[test]
fn a_declared_priority_goes_before_an_earlier_due_time() {
    let mut owner = fenced_owner(1, &["w1"]);
    let long = starts(&delegate(&mut owner, 10, job("long", 2, 60)));
    let second = Job {
        priority: 1,
        ..urgent("second", 1, 100)
    };
    delegate(&mut owner, 11, second);
    delegate(&mut owner, 11, urgent("first", 1, 200));
    let out = end(&mut owner, 70, &long[0], 1);
    assert_eq!(&*starts(&out)[0].task, "first.0.0.0");
}

#[test]
fn a_class_over_its_share_waits_behind_one_that_is_not() {
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
    let out = end(&mut owner, 70, &greedy[0], 1);
    assert_eq!(&*starts(&out)[0].task, "m.0.0.0");
}

#[test]
fn workers_are_taken_back_once_their_failures_are_a_jobs_fault() {
    let mut owner = fenced_owner(1, &["w1", "w2"]);
    let hopeless = Job {
        attempts_max: 4,
        ..job("hopeless", 1, 100)
    };
    let first = starts(&delegate(&mut owner, 10, hopeless));
    let out = end_as(&mut owner, 50, &first[0], 1, RunOutcome::Failed);
    let second = starts(&out);
    assert_ne!(second[0].target.worker, first[0].target.worker);
    end_as(&mut owner, 90, &second[0], 1, RunOutcome::Failed);
    // Both workers would be paused for 250 ms otherwise; one of the four tasks
    // that fit there is the third attempt.
    let started = starts(&delegate(&mut owner, 91, job("sound", 3, 100)));
    assert_eq!(started.len(), 3);
}

#[test]
fn a_suspect_job_runs_one_task_at_a_time() {
    let mut owner = fenced_owner(1, &["w1", "w2"]);
    let hopeless = Job {
        attempts_max: 4,
        ..job("hopeless", 4, 100)
    };
    let first = starts(&delegate(&mut owner, 10, hopeless));
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
        let out = end_as(&mut owner, 50 + number, start, 1, RunOutcome::Failed);
        started.extend(starts(&out));
    }
    assert!(started.len() <= 1, "two still run: {started:?}");
}
