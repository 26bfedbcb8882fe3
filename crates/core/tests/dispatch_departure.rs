//! Runs on workers that are about to exit: the effects of a decision, and its failures halfway.

mod dispatch_support;

use std::sync::Arc;

use dispatch_support::orders::{
    LINK, answer_renewal, answer_start, answer_stop, ended_run, fenced_owner, job_outcomes, renewed,
};
use dispatch_support::{job, owner_after, renewals, starts, stops, worker_record};
use trefoil_core::dispatch::order::{
    ListedRun, OrderOutcome, RenewOrder, RenewOutcome, RunOutcome, StartOrder, StopOrder,
};
use trefoil_core::dispatch::owner::{Command, LogEvent, Owner};
use trefoil_core::dispatch::worker::{Departure, WorkerRecord};
use trefoil_schema::dispatch::Outcome;

/// Time of the start of the task, and of its estimated duration.
const START_MS: u64 = 10;
const TASK_MS: u64 = 4000;

fn draining(id: &str, remaining_ms: Option<u64>) -> WorkerRecord {
    WorkerRecord {
        draining: true,
        departure: remaining_ms.map(|remaining_ms| Departure {
            remaining_ms,
            reported_clock_ms: None,
        }),
        ..worker_record(id)
    }
}

fn listed(order: &StartOrder) -> ListedRun {
    ListedRun {
        task: order.task.clone(),
        run_id: order.run_id,
    }
}

/// An owner with a long task on one of two workers, the start order, and the renewal that is
/// open there.
struct Scene {
    owner: Owner,
    start: StartOrder,
    renewal: RenewOrder,
    leaving: Arc<str>,
    staying: &'static str,
}

fn scene() -> Scene {
    scene_on(&["w1", "w2"])
}

fn scene_on(ids: &[&'static str]) -> Scene {
    let mut owner = fenced_owner(1, ids);
    let mut out = Vec::new();
    owner.delegate(START_MS, LINK, job("a", 1, TASK_MS), 0, None, &mut out);
    let start = starts(&out).remove(0);
    let clock_ms = 50_010;
    let out = answer_start(
        &mut owner,
        START_MS + 2,
        &start,
        OrderOutcome::Done { clock_ms },
    );
    let leaving = start.target.worker_id.clone();
    let staying = ids.iter().copied().find(|id| **id != *leaving);
    Scene {
        renewal: renewals(&out).remove(0),
        owner,
        start,
        staying: staying.unwrap_or("w0"),
        leaving,
    }
}

impl Scene {
    /// Reads the registry with the worker of the task as draining.
    fn announce(&mut self, now_ms: u64, remaining_ms: Option<u64>) -> Vec<Command> {
        let records = vec![
            draining(&self.leaving, remaining_ms),
            worker_record(self.staying),
        ];
        let mut out = Vec::new();
        self.owner.set_workers(now_ms, records, &mut out);
        out
    }

    fn tick(&mut self, now_ms: u64) -> Vec<Command> {
        let mut out = Vec::new();
        self.owner.tick(now_ms, &mut out);
        out
    }

    /// Announces an exit in two seconds; returns the order to stop the task there.
    fn stop_for_exit(&mut self, now_ms: u64) -> StopOrder {
        assert!(stops(&self.announce(now_ms, Some(2000))).is_empty());
        let out = self.tick(now_ms + 1);
        assert!(starts(&out).is_empty(), "its end is not known yet");
        stops(&out).remove(0)
    }
}

fn decisions(commands: &[Command]) -> Vec<&LogEvent> {
    let events = commands.iter().filter_map(|command| match command {
        Command::Log(event) if event.event == "run on leaving worker" => Some(event),
        _ => None,
    });
    events.collect()
}

/// Guards against two runs at a time, and against a restart only after the exit.
#[test]
fn a_task_starts_elsewhere_once_the_stop_is_listed() {
    let mut scene = scene();
    let stop = scene.stop_for_exit(100);
    assert_eq!(stop.run_id, scene.start.run_id);
    let clock_ms = 50_110;
    let out = answer_stop(
        &mut scene.owner,
        110,
        &stop,
        OrderOutcome::Done { clock_ms },
    );
    assert!(starts(&out).is_empty(), "the answer alone is not the end");
    let ended = ended_run(1, &scene.start, RunOutcome::Stopped);
    let renewal = scene.renewal.clone();
    let out = answer_renewal(
        &mut scene.owner,
        120,
        &renewal,
        renewed(vec![], vec![ended]),
    );
    let restarted = starts(&out);
    assert_eq!(restarted.len(), 1);
    assert_eq!(&*restarted[0].target.worker_id, scene.staying);
    assert_eq!(scene.owner.take_departure_restarts(), 1);
    assert_eq!(scene.owner.take_departure_restarts(), 0);
}

/// Guards against decisions that operators cannot follow, and against a line in each tick.
#[test]
fn each_decision_is_logged_once_with_its_inputs() {
    let mut scene = scene();
    scene.announce(100, Some(60_000));
    let out = scene.tick(101);
    let events = decisions(&out);
    assert_eq!(events.len(), 1);
    assert_eq!(events[0].subject, &*scene.start.task);
    assert_eq!(events[0].worker, &*scene.leaving);
    for part in [
        "LeaveToEnd",
        "remaining_ms",
        "reported_ms_ago",
        "ends_in_ms",
    ] {
        assert!(events[0].detail.contains(part), "{}", events[0].detail);
    }
    assert!(decisions(&scene.tick(126)).is_empty());
}

/// Guards against stops where the cause is absent or the time is not known.
#[test]
fn nothing_is_stopped_without_an_announced_exit() {
    let mut scene = scene();
    scene.announce(100, None);
    assert!(stops(&scene.tick(101)).is_empty());
}

/// Guards against stopping more runs than there is capacity for.
#[test]
fn runs_are_stopped_only_as_far_as_there_is_free_capacity() {
    let mut scene = scene();
    // One core of the other worker is in use; half of the free CPU is for arriving jobs.
    let mut out = Vec::new();
    let other = job("b", 3, TASK_MS);
    scene.owner.delegate(20, LINK, other, 0, None, &mut out);
    scene.announce(100, Some(2000));
    let out = scene.tick(101);
    assert!(stops(&out).is_empty());
    assert!(decisions(&out)[0].detail.contains("LeaveNoCapacity"));
}

/// Guards against a stop of all runs at once when several workers leave.
#[test]
fn stops_in_progress_count_against_the_free_capacity() {
    let mut scene = scene_on(&["w1", "w2", "w3"]);
    let mut out = Vec::new();
    let other = job("b", 3, TASK_MS);
    scene.owner.delegate(20, LINK, other, 0, None, &mut out);
    let clock_ms = 50_030;
    for order in starts(&out) {
        answer_start(
            &mut scene.owner,
            22,
            &order,
            OrderOutcome::Done { clock_ms },
        );
    }
    // Four runs on two workers that leave; the third has capacity for two.
    let used: Vec<Arc<str>> = starts(&out)
        .iter()
        .chain([&scene.start])
        .map(|order| order.target.worker_id.clone())
        .collect();
    let records = ["w1", "w2", "w3"].map(|id| match used.iter().any(|used| **used == *id) {
        true => draining(id, Some(2000)),
        false => worker_record(id),
    });
    scene
        .owner
        .set_workers(100, records.to_vec(), &mut Vec::new());
    let mut stopped = 0;
    for tick in 0..4 {
        stopped += stops(&scene.tick(101 + 25 * tick)).len();
    }
    assert_eq!(stopped, 1, "half of the capacity for two");
}

/// Failure: the answer to the stop is lost. The run may go on, so the task must not start
/// elsewhere before the worker has listed its end.
#[test]
fn a_stop_without_an_answer_starts_nothing_until_the_end_is_listed() {
    let mut scene = scene();
    let stop = scene.stop_for_exit(100);
    let out = answer_stop(&mut scene.owner, 150, &stop, OrderOutcome::NoAnswer);
    assert!(starts(&out).is_empty());
    let renewal = renewals(&out).remove(0);
    assert!(renewal.target.fence > stop.target.fence);
    // The stop was not carried out: it is repeated.
    let still_there = listed(&scene.start);
    let out = answer_renewal(
        &mut scene.owner,
        152,
        &renewal,
        renewed(vec![still_there], vec![]),
    );
    assert!(starts(&out).is_empty());
    let next = renewals(&out).remove(0);
    let out = scene.tick(260);
    assert_eq!(stops(&out).len(), 1);
    assert!(starts(&out).is_empty());
    let ended = ended_run(1, &scene.start, RunOutcome::Stopped);
    let out = answer_renewal(&mut scene.owner, 270, &next, renewed(vec![], vec![ended]));
    assert_eq!(starts(&out).len(), 1);
}

/// Failure: the run ends by itself while the stop is on its way. Its result counts.
#[test]
fn a_run_that_ends_before_the_stop_completes_its_job() {
    let mut scene = scene();
    scene.stop_for_exit(100);
    let done = ended_run(1, &scene.start, RunOutcome::Done);
    let renewal = scene.renewal.clone();
    let out = answer_renewal(&mut scene.owner, 120, &renewal, renewed(vec![], vec![done]));
    assert_eq!(job_outcomes(&out), [("a".to_owned(), Outcome::Completed)]);
    assert!(starts(&out).is_empty());
}

/// Fails all calls to the leaving worker from `from_ms` on; returns when its task starts
/// elsewhere.
fn restart_after_exit(scene: &mut Scene, mut open: Vec<RenewOrder>, from_ms: u64) -> u64 {
    for now_ms in (from_ms..from_ms + 6000).step_by(25) {
        let mut out = scene.tick(now_ms);
        for renewal in std::mem::take(&mut open) {
            let outcome = RenewOutcome::NoAnswer;
            out.extend(answer_renewal(&mut scene.owner, now_ms, &renewal, outcome));
        }
        let leaving = renewals(&out).into_iter();
        open.extend(leaving.filter(|order| order.target.worker_id == scene.leaving));
        if let Some(start) = starts(&out).first() {
            assert_eq!(&*start.target.worker_id, scene.staying);
            return now_ms;
        }
    }
    panic!("the task waits for a worker that has gone");
}

/// Failure: the worker exits earlier than it said, with the stop on its way. The task must
/// start elsewhere once the lease has expired, and not before.
#[test]
fn a_worker_that_exits_early_is_not_waited_for() {
    let mut scene = scene();
    scene.stop_for_exit(100);
    let open = vec![scene.renewal.clone()];
    let restarted_ms = restart_after_exit(&mut scene, open, 125);
    // The start lease of 300 ms and the renewal of 500 ms right after it.
    let lease_ms = START_MS + 2 + 500;
    assert!((lease_ms..lease_ms + 100).contains(&restarted_ms));
}

/// Guards against a planned exit taken for a crash that the task caused, after which a task
/// waits up to two seconds for an explanation, and its job fails after the second one.
#[test]
fn the_exit_of_a_draining_worker_does_not_make_its_tasks_suspect() {
    let mut scene = scene();
    scene.announce(100, Some(60_000));
    let mut open = vec![scene.renewal.clone()];
    let mut lost_events = 0;
    for now_ms in (125..1000).step_by(25) {
        let mut out = scene.tick(now_ms);
        for renewal in std::mem::take(&mut open) {
            let outcome = RenewOutcome::NoAnswer;
            out.extend(answer_renewal(&mut scene.owner, now_ms, &renewal, outcome));
        }
        open.extend(
            renewals(&out)
                .into_iter()
                .filter(|order| order.target.worker_id == scene.leaving),
        );
        let is_loss = |command: &&Command| matches!(command, Command::Log(event) if event.event == "worker lost under task");
        lost_events += out.iter().filter(is_loss).count();
    }
    assert_eq!(lost_events, 0);
}

/// Failure: the worker stays longer than it said. What runs there goes on, since nothing is
/// known of its exit any more.
#[test]
fn a_worker_that_stays_longer_ends_what_runs_there() {
    let mut scene = scene();
    let mut out = Vec::new();
    let other = job("b", 2, TASK_MS);
    scene.owner.delegate(20, LINK, other, 0, None, &mut out);
    // No capacity elsewhere, so the run is left.
    scene.announce(100, Some(1500));
    assert!(stops(&scene.tick(101)).is_empty());
    let gone_ms = 100 + 1500;
    for now_ms in (gone_ms..gone_ms + 500).step_by(25) {
        let out = scene.tick(now_ms);
        assert!(stops(&out).is_empty());
    }
    let done = ended_run(1, &scene.start, RunOutcome::Done);
    let renewal = scene.renewal.clone();
    let out = answer_renewal(
        &mut scene.owner,
        gone_ms + 500,
        &renewal,
        renewed(vec![], vec![done]),
    );
    assert!(job_outcomes(&out).contains(&("a".to_owned(), Outcome::Completed)));
}

/// Failure: the owner changes between the stop and its end. The next owner learns from the
/// worker what has become of the run, and starts the task only then.
#[test]
fn a_new_owner_does_not_start_a_task_whose_stop_it_does_not_know() {
    let mut scene = scene();
    let stop = scene.stop_for_exit(100);
    let mut next = owner_after(2, &["w1", "w2"]);
    let records = vec![
        draining(&scene.leaving, Some(1800)),
        worker_record(scene.staying),
    ];
    let mut out = Vec::new();
    next.set_workers(300, records, &mut out);
    let fencing = renewals(&out);
    let mut spec = job("a", 1, TASK_MS);
    spec.delegation = 2;
    let mut out = Vec::new();
    let holder = dispatch_support::holder(1);
    next.delegate(310, LINK, spec, 1000, Some(&holder), &mut out);
    assert!(starts(&out).is_empty(), "the run may be there");
    let mut out = Vec::new();
    for renewal in fencing {
        let is_leaving = renewal.target.worker_id == scene.leaving;
        // The worker had carried out the stop; its completion is not acknowledged yet.
        let ended = ended_run(1, &scene.start, RunOutcome::Stopped);
        let completions = if is_leaving { vec![ended] } else { vec![] };
        out.extend(answer_renewal(
            &mut next,
            320,
            &renewal,
            renewed(vec![], completions),
        ));
    }
    let restarted = starts(&out);
    assert_eq!(restarted.len(), 1);
    assert!(restarted[0].target.fence > stop.target.fence);
    assert_eq!(&*restarted[0].target.worker_id, scene.staying);
}

/// Guards against counting from the read where the worker's clock tells an older report.
#[test]
fn the_age_of_a_report_is_taken_from_the_clock_of_the_worker() {
    let mut scene = scene();
    // The worker's clock read 50,010 at 12.
    let record = |reported_clock_ms, remaining_ms| WorkerRecord {
        departure: Some(Departure {
            remaining_ms,
            reported_clock_ms,
        }),
        ..draining(&scene.leaving, None)
    };
    let records = [
        record(Some(50_010), 2000),
        // Not a clock of a report that was read just now: counted as an unknown age.
        record(Some(1), 2001),
        record(Some(u64::MAX), 2002),
    ];
    let mut remaining = Vec::new();
    for record in records {
        let records = vec![record, worker_record(scene.staying)];
        scene.owner.set_workers(512, records, &mut Vec::new());
        remaining.push(scene.owner.remaining_ms(512, &scene.leaving).unwrap());
    }
    // The clock may run slow by 2 %.
    assert!((1500..=1510).contains(&remaining[0]), "{remaining:?}");
    assert_eq!(remaining[1], 2001 - 700);
    assert!(remaining[2] <= 2002);
    // The same report read again is counted down, not counted anew.
    let again = scene.owner.remaining_ms(612, &scene.leaving).unwrap();
    assert_eq!(again, remaining[2] - 100);
}

/// Guards against admission by the capacity of workers that are about to exit.
#[test]
fn the_capacity_of_draining_workers_is_not_free() {
    let mut scene = scene();
    assert_eq!(scene.owner.load(50).free_millicores, 3000);
    scene.announce(100, Some(2000));
    assert_eq!(scene.owner.load(100).free_millicores, 2000);
    assert_eq!(scene.owner.load(100).capacity_millicores, 2000);
    // A job for which only the draining worker has capacity waits or is refused.
    let mut out = Vec::new();
    let wide = job("b", 3, 100);
    scene.owner.delegate(110, LINK, wide, 0, None, &mut out);
    let started = starts(&out);
    assert_eq!(started.len(), 2);
    let is_staying = |order: &StartOrder| &*order.target.worker_id == scene.staying;
    assert!(started.iter().all(is_staying));
}
