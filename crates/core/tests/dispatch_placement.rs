//! Placement on workers of different size, speed and rack.

mod dispatch_support;

use std::collections::BTreeSet;
use std::sync::Arc;

use dispatch_support::orders::{LINK, answer_renewal, renewed};
use dispatch_support::{job, owner, renewals, starts, worker_record};
use trefoil_core::dispatch::order::StartOrder;
use trefoil_core::dispatch::owner::packing::Packing;
use trefoil_core::dispatch::owner::placement::{Prospect, should_wait};
use trefoil_core::dispatch::owner::worker_speed::{
    WorkerSample, explained_speeds, merge_reports, prior_log_slowdown,
};
use trefoil_core::dispatch::owner::{Command, Owner};
use trefoil_core::dispatch::worker::{WorkerHealth, WorkerRecord};
use trefoil_schema::dispatch::{Job, KindSpeed, Load, Phase};

fn labels(names: &[&str]) -> BTreeSet<Arc<str>> {
    names.iter().map(|&name| Arc::from(name)).collect()
}

fn kind(label: &str, slowdown_percent: u32) -> KindSpeed {
    KindSpeed {
        label: label.to_owned(),
        slowdown_percent,
    }
}

fn record(id: &str, names: &[&str]) -> WorkerRecord {
    WorkerRecord {
        labels: labels(names),
        ..worker_record(id)
    }
}

/// Lists the workers, and answers the renewals that fence them.
fn list_workers(owner: &mut Owner, now_ms: u64, records: Vec<WorkerRecord>) {
    let mut out = Vec::new();
    owner.set_workers(now_ms, records, &mut out);
    for renewal in renewals(&out) {
        answer_renewal(owner, now_ms, &renewal, renewed(vec![], vec![]));
    }
}

/// An owner that has heard the speeds of kind `slow` and `fast` from another pool.
fn informed_owner(records: Vec<WorkerRecord>) -> Owner {
    let mut owner = owner(1);
    let load = Load {
        kinds: vec![kind("slow", 300), kind("fast", 50)],
        ..Load::default()
    };
    owner.observe_pool_load(0, "other/0", &load);
    owner.tick(0, &mut Vec::new());
    list_workers(&mut owner, 1, records);
    owner
}

/// A job with an objective of 220 ms whose tasks take 100 ms on a worker of speed 1.
fn tight_job(id: &str, tasks: u32) -> Job {
    Job {
        stretch: 1.6,
        ..job(id, tasks, 100)
    }
}

fn delegate(owner: &mut Owner, now_ms: u64, spec: Job) -> Vec<StartOrder> {
    let mut out: Vec<Command> = Vec::new();
    owner.delegate(now_ms, LINK, spec, 0, None, &mut out);
    starts(&out)
}

fn tick(owner: &mut Owner, now_ms: u64) -> Vec<StartOrder> {
    let mut out = Vec::new();
    owner.tick(now_ms, &mut out);
    starts(&out)
}

fn workers_of(orders: &[StartOrder]) -> Vec<&str> {
    orders
        .iter()
        .map(|order| &*order.target.worker_id)
        .collect()
}

/// Guards against pieces of CPU that no waiting task fits into.
#[test]
fn a_remainder_is_stranded_if_it_is_neither_small_nor_of_use() {
    let packing = Packing::new(20_000);
    assert!(packing.strands(19_999, 64_000));
    assert!(!packing.strands(20_000, 64_000));
    assert!(!packing.strands(9_000, 64_000), "less than 15 %");
    assert!(!packing.strands(0, 0));
}

/// Guards against racks, which mix kinds, being taken for kinds.
#[test]
fn only_labels_that_explain_speed_are_used() {
    let worker_labels: Vec<_> = (0..24)
        .map(|index| {
            let kind = if index % 3 == 2 { "b" } else { "a" };
            labels(&[kind, &format!("r{}", index / 8)])
        })
        .collect();
    let log_of = |index: usize| match index % 3 {
        0 => (1.0_f64 / 0.8).ln(),
        1 => 0.0,
        _ => (1.0_f64 / 1.25).ln(),
    };
    let samples = |log_of: &dyn Fn(usize) -> f64| -> Vec<WorkerSample<'_>> {
        let workers = worker_labels.iter().enumerate();
        workers
            .map(|(index, labels)| WorkerSample {
                labels,
                log_slowdown: log_of(index),
            })
            .collect()
    };
    let speeds = explained_speeds(&samples(&log_of));
    let known: Vec<&str> = speeds.keys().map(|label| &**label).collect();
    assert_eq!(known, ["a", "b"]);
    let prior = prior_log_slowdown(&speeds, &labels(&["b", "r0"])).unwrap();
    assert!((prior.exp() - 0.8).abs() < 0.01);
    // Nothing to explain: one speed, or too few workers.
    assert!(explained_speeds(&samples(&|_| 0.3)).is_empty());
    assert!(explained_speeds(&samples(&log_of)[..3]).is_empty());
    assert!(explained_speeds(&[]).is_empty());
}

/// Guards against a single wrong report, and against malformed ones.
#[test]
fn reported_speeds_are_merged_by_their_median() {
    let reports = [
        vec![kind("a", 140), kind("", 100), kind("b", 0)],
        vec![kind("a", 150), kind("b", u32::MAX)],
        vec![kind("a", 1000)],
    ];
    let mut speeds = Default::default();
    let ignored = merge_reports(&mut speeds, reports.iter().map(Vec::as_slice));
    assert_eq!(ignored, 3);
    assert_eq!(speeds.len(), 1);
    let prior = prior_log_slowdown(&speeds, &labels(&["a"])).unwrap();
    assert!((prior.exp() - 1.5).abs() < 0.01);
    assert_eq!(prior_log_slowdown(&speeds, &labels(&["b"])), None);
}

/// Guards against a new owner that treats all workers alike until it has learned.
#[test]
fn a_new_owner_learns_speeds_from_the_reports_of_others() {
    let records = vec![record("w1", &["slow"]), record("w2", &["fast"])];
    let mut owner = informed_owner(records);
    assert_eq!(
        workers_of(&delegate(&mut owner, 2, tight_job("a", 2))),
        ["w2", "w2"]
    );
}

/// Guards against the speed of a worker that was replaced by one of another kind.
#[test]
fn a_new_incarnation_of_another_kind_starts_from_its_own_label() {
    let mut owner = informed_owner(vec![record("w1", &["slow"]), record("w2", &["fast"])]);
    let replacement = |id, address, names| WorkerRecord {
        address: Arc::from(address),
        ..record(id, names)
    };
    let records = vec![
        replacement("w3", "w1:80", &["fast"]),
        replacement("w4", "w2:80", &["slow"]),
    ];
    list_workers(&mut owner, 10, records);
    let started = delegate(&mut owner, 3000, tight_job("a", 1));
    assert_eq!(workers_of(&started), ["w3"]);
}

/// Guards against reports that are stale or nonsensical: they are dropped, and tasks start.
#[test]
fn stale_and_nonsensical_reports_have_no_effect() {
    let mut owner = owner(1);
    let report = |kinds| Load {
        kinds,
        ..Load::default()
    };
    owner.observe_pool_load(0, "other/0", &report(vec![kind("slow", 50)]));
    let nonsense = vec![kind("fast", 0), kind("", 100), kind("slow", u32::MAX)];
    owner.observe_pool_load(1500, "other/1", &report(nonsense));
    owner.tick(1500, &mut Vec::new());
    assert!(owner.stats().placement.kinds_ignored >= 3);
    // By its stale report "slow" would be preferred; without reports the first one is.
    let records = vec![record("w1", &["fast"]), record("w2", &["slow"])];
    list_workers(&mut owner, 1501, records);
    let started = delegate(&mut owner, 1502, tight_job("a", 1));
    assert_eq!(workers_of(&started), ["w1"]);
}

/// Guards against a task of a heavy-tailed class being taken for a slow worker.
#[test]
fn speed_follows_a_slow_worker_and_not_single_long_tasks() {
    let mut health = WorkerHealth::default();
    for run in 0..300 {
        let took_ms = if run % 33 == 32 { 700 } else { 100 };
        health.record_run_time(100, took_ms);
        assert!(health.slowdown < 1.3, "{}", health.slowdown);
    }
    let before = health.slowdown;
    assert!((0.9..1.2).contains(&before));
    for _ in 0..6 {
        health.record_run_time(100, 600);
    }
    assert!(health.slowdown > 3.0, "{}", health.slowdown);
    let mut fast = WorkerHealth::default();
    for _ in 0..30 {
        fast.record_run_time(170, 100);
    }
    assert!((fast.slowdown - 0.59).abs() < 0.02);
    fast.record_run_time(0, 0);
    assert!(fast.slowdown.is_finite());
}

#[test]
fn a_task_waits_only_for_a_worker_where_its_job_ends_in_time() {
    let prospect = |end_ms, is_remote| Prospect { end_ms, is_remote };
    let late = prospect(300, false);
    let in_time = prospect(150, false);
    assert!(should_wait(late, in_time, 200));
    assert!(
        !should_wait(late, prospect(250, false), 200),
        "late there too"
    );
    assert!(
        !should_wait(in_time, prospect(100, false), 200),
        "in time here"
    );
    let remote = prospect(150, true);
    assert!(should_wait(remote, prospect(190, false), 200));
    assert!(!should_wait(remote, prospect(201, false), 200), "no slack");
    assert!(!should_wait(remote, prospect(100, true), 200));
}

/// Guards against jobs that are started where they must end late, and against jobs that
/// wait although they can no longer gain by it.
#[test]
fn a_job_waits_for_a_fast_worker_while_its_slack_allows() {
    let mut owner = informed_owner(vec![record("w1", &["slow"]), record("w2", &["fast"])]);
    assert_eq!(delegate(&mut owner, 2, tight_job("a", 2)).len(), 2);
    assert!(delegate(&mut owner, 3, tight_job("b", 1)).is_empty());
    assert!(owner.stats().placement.waited_for_faster > 0);
    // A job with slack takes the slow worker.
    let patient = job("c", 1, 100);
    assert_eq!(workers_of(&delegate(&mut owner, 4, patient)), ["w1"]);
    // The runs of the fast worker are overdue, so it has no expected time.
    assert_eq!(workers_of(&tick(&mut owner, 60)), ["w1"]);
}

/// Guards against jobs that wait for their own rack longer than their slack.
#[test]
fn a_job_waits_for_its_rack_while_its_slack_allows() {
    let mut owner = owner(1);
    let records = vec![record("w1", &["r1"]), record("w2", &["r2"])];
    list_workers(&mut owner, 1, records);
    let near = |id: &str, rack: &str, tasks, estimate_ms| {
        let spec = tight_job(id, tasks);
        let phases = vec![Phase {
            data_rack: rack.to_owned(),
            estimate_ms,
            ..spec.phases[0].clone()
        }];
        Job { phases, ..spec }
    };
    assert_eq!(
        workers_of(&delegate(&mut owner, 2, near("a", "r1", 2, 50))),
        ["w1", "w1"]
    );
    assert!(delegate(&mut owner, 3, near("b", "r1", 1, 100)).is_empty());
    assert_eq!(owner.stats().placement.waited_for_rack, 1);
    // Its rack can no longer be awaited.
    assert_eq!(workers_of(&tick(&mut owner, 60)), ["w2"]);
}
