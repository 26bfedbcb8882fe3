//! Workers that start again under the id that they had.

mod dispatch_support;

use std::collections::BTreeMap;

use dispatch_support::orders::{
    answer_renewal, answer_start, completion, delegate, job_outcomes, renewed,
};
use dispatch_support::{owner, renewals, starts, worker_record};
use trefoil_core::dispatch::limits::{LEASE_MAX_MS, LEASE_MS};
use trefoil_core::dispatch::order::{
    ListedRun, OrderOutcome, RenewOrder, RenewOutcome, RunCompletion, StartOrder,
};
use trefoil_core::dispatch::owner::{Command, Owner};
use trefoil_core::dispatch::worker::{Resources, WorkerRecord};
use trefoil_schema::dispatch::Outcome;

const BORN_MS: u64 = 1_700_000_000_000;
const REBORN_MS: u64 = BORN_MS + 600_000;
/// Clock of an incarnation that has just started.
const NEW_CLOCK_MS: u64 = 40;

fn record(id: &str, born_ms: u64) -> WorkerRecord {
    WorkerRecord {
        born_ms: Some(born_ms),
        ..worker_record(id)
    }
}

/// An answer of the incarnation that started at [`BORN_MS`].
fn earlier_answer(running: Vec<ListedRun>, completions: Vec<RunCompletion>) -> RenewOutcome {
    let mut answer = renewed(running, completions);
    if let RenewOutcome::Renewed { born_ms, .. } = &mut answer {
        *born_ms = Some(BORN_MS);
    }
    answer
}

/// An answer of the incarnation that started at [`REBORN_MS`].
fn later_answer(running: Vec<ListedRun>, completions: Vec<RunCompletion>) -> RenewOutcome {
    RenewOutcome::Renewed {
        born_ms: Some(REBORN_MS),
        clock_ms: NEW_CLOCK_MS,
        running,
        completions,
    }
}

fn list(owner: &mut Owner, now_ms: u64, records: Vec<WorkerRecord>) -> Vec<Command> {
    let mut out = Vec::new();
    owner.set_workers(now_ms, records, &mut out);
    out
}

/// An owner whose workers, of the earlier incarnation, have no runs.
fn owner_of(ids: &[&str]) -> Owner {
    let mut owner = owner(1);
    let records = ids.iter().map(|id| record(id, BORN_MS)).collect();
    for renewal in renewals(&list(&mut owner, 0, records)) {
        answer_renewal(&mut owner, 1, &renewal, earlier_answer(vec![], vec![]));
    }
    owner
}

fn accept_start(owner: &mut Owner, now_ms: u64, start: &StartOrder) -> Vec<Command> {
    let clock_ms = 50_000 + now_ms;
    answer_start(owner, now_ms, start, OrderOutcome::Done { clock_ms })
}

fn listed(start: &StartOrder) -> ListedRun {
    ListedRun {
        task: start.task.clone(),
        run_id: start.run_id,
    }
}

/// Lets a task start on w1, the only worker; returns its start and the renewal that is then open.
fn owner_with_run() -> (Owner, StartOrder, RenewOrder) {
    let mut owner = owner_of(&["w1"]);
    let start = starts(&delegate(&mut owner, 10, "a", 1))[0].clone();
    let out = accept_start(&mut owner, 12, &start);
    let renewal = renewals(&out)[0].clone();
    (owner, start, renewal)
}

fn has_event(commands: &[Command], name: &str) -> bool {
    let is_event =
        |command: &Command| matches!(command, Command::Log(event) if event.event == name);
    commands.iter().any(is_event)
}

// Guards against leases that are requested by the clock of the ended incarnation, so that the
// owner takes runs for lapsed that go on.
#[test]
fn leases_are_counted_by_the_clock_of_the_later_incarnation() {
    let (mut owner, _, open) = owner_with_run();
    let out = answer_renewal(&mut owner, 20, &open, later_answer(vec![], vec![]));
    let fencing = renewals(&out)[0].clone();
    answer_renewal(&mut owner, 22, &fencing, later_answer(vec![], vec![]));
    let out = list(&mut owner, 30, vec![record("w1", REBORN_MS)]);
    let again = starts(&out)[0].clone();
    assert!(again.deadline_ms <= NEW_CLOCK_MS + LEASE_MS, "{again:?}");
}

// Guards against ends of the later incarnation that are ignored until their numbers exceed
// those of the ended one.
#[test]
fn ends_are_numbered_anew_by_the_later_incarnation() {
    let (mut owner, first, open) = owner_with_run();
    let ends = vec![completion(70, &first)];
    answer_renewal(&mut owner, 15, &open, earlier_answer(vec![], ends));
    let mut out = delegate(&mut owner, 16, "b", 1);
    let second = starts(&out)[0].clone();
    out = accept_start(&mut owner, 18, &second);
    let open = renewals(&out)[0].clone();
    assert_eq!(open.acked_completion, 70);
    let ends = vec![completion(1, &second)];
    let out = answer_renewal(&mut owner, 20, &open, later_answer(vec![], ends));
    assert_eq!(job_outcomes(&out), [("b".to_owned(), Outcome::Completed)]);
    assert_eq!(renewals(&out)[0].acked_completion, 1);
}

// Guards against tasks that are placed by the capacity of the ended incarnation.
#[test]
fn nothing_starts_on_a_later_incarnation_until_its_entry_is_read() {
    let (mut owner, _, open) = owner_with_run();
    let out = answer_renewal(&mut owner, 20, &open, later_answer(vec![], vec![]));
    let fencing = renewals(&out)[0].clone();
    let out = answer_renewal(&mut owner, 22, &fencing, later_answer(vec![], vec![]));
    assert!(starts(&out).is_empty());
    assert!(starts(&delegate(&mut owner, 30, "b", 1)).is_empty());
    // The entry of the ended incarnation says nothing of the later one.
    let out = list(&mut owner, 40, vec![record("w1", BORN_MS)]);
    assert!(starts(&out).is_empty());
    let smaller = WorkerRecord {
        capacity: Resources {
            cpu_millicores: 1000,
            memory_mb: 1000,
            gpus: 0,
        },
        ..record("w1", REBORN_MS)
    };
    let out = list(&mut owner, 50, vec![smaller]);
    assert_eq!(starts(&out).len(), 1, "there is room for one task");
}

// Guards against two runs of a task whose start the later incarnation has carried out.
#[test]
fn a_task_that_a_later_incarnation_runs_does_not_start_elsewhere() {
    let (mut owner, start, open) = owner_with_run();
    let answer = later_answer(vec![listed(&start)], vec![]);
    let both = vec![record("w1", BORN_MS), record("w2", BORN_MS)];
    let out = list(&mut owner, 18, both);
    let other = renewals(&out)[0].clone();
    answer_renewal(&mut owner, 19, &other, earlier_answer(vec![], vec![]));
    let out = answer_renewal(&mut owner, 20, &open, answer.clone());
    assert!(starts(&out).is_empty());
    let fencing = renewals(&out)[0].clone();
    let out = answer_renewal(&mut owner, 22, &fencing, answer);
    assert!(starts(&out).is_empty());
    let deadline_ms = renewals(&out)[0].deadline_ms;
    assert!(
        deadline_ms.is_some_and(|at_ms| at_ms <= NEW_CLOCK_MS + 2 * LEASE_MS),
        "{deadline_ms:?}"
    );
}

// Guards against a second run while the start may still be carried out by the later incarnation,
// which has seen no fence.
#[test]
fn a_start_in_flight_is_not_repeated_before_the_later_incarnation_rejects_it() {
    let mut owner = owner_of(&["w1", "w2"]);
    let start = starts(&delegate(&mut owner, 10, "a", 1))[0].clone();
    let reborn = &*start.target.worker_id;
    let records = vec![
        record("w1", if reborn == "w1" { REBORN_MS } else { BORN_MS }),
        record("w2", if reborn == "w2" { REBORN_MS } else { BORN_MS }),
    ];
    let out = list(&mut owner, 12, records);
    assert!(starts(&out).is_empty());
    let fencing = renewals(&out)[0].clone();
    assert!(fencing.target.fence > start.target.fence);
    let out = answer_renewal(&mut owner, 15, &fencing, later_answer(vec![], vec![]));
    assert_eq!(starts(&out).len(), 1);
}

// Guards against runs that are given up while the later incarnation, cut off at once, may hold
// a lease as long as it grants: the deadline was one of the ended clock.
#[test]
fn runs_on_a_later_incarnation_that_is_cut_off_count_for_the_longest_lease() {
    let (mut owner, start, open) = owner_with_run();
    let answer = later_answer(vec![listed(&start)], vec![]);
    let out = answer_renewal(&mut owner, 20, &open, answer);
    let both = vec![record("w1", REBORN_MS), record("w2", BORN_MS)];
    let cut = renewals(&out)[0].clone();
    let out = list(&mut owner, 21, both);
    let other = renewals(&out)[0].clone();
    answer_renewal(&mut owner, 22, &other, earlier_answer(vec![], vec![]));
    answer_renewal(&mut owner, 60, &cut, RenewOutcome::NoAnswer);
    for now_ms in (100..20 + LEASE_MAX_MS).step_by(25) {
        let mut out = Vec::new();
        owner.tick(now_ms, &mut out);
        assert!(starts(&out).is_empty(), "started again at {now_ms} ms");
    }
    let mut out = Vec::new();
    owner.tick(20 + LEASE_MAX_MS + 30, &mut out);
    assert_eq!(starts(&out).len(), 1);
}

// Guards against a lease that is counted by the ended clock although the answer to a start has
// shown a clock that started anew, when the worker is cut off before it tells more.
#[test]
fn a_start_answered_by_a_clock_that_started_anew_counts_for_the_longest_lease() {
    let mut owner = owner_of(&["w1"]);
    let start = starts(&delegate(&mut owner, 10, "a", 1))[0].clone();
    let both = vec![record("w1", BORN_MS), record("w2", BORN_MS)];
    let other = renewals(&list(&mut owner, 11, both))[0].clone();
    answer_renewal(&mut owner, 12, &other, earlier_answer(vec![], vec![]));
    let clock_ms = NEW_CLOCK_MS;
    let out = answer_start(&mut owner, 13, &start, OrderOutcome::Done { clock_ms });
    let cut = renewals(&out)[0].clone();
    let requested_ms = cut.deadline_ms.unwrap_or(0);
    assert!(requested_ms <= NEW_CLOCK_MS + LEASE_MS, "{cut:?}");
    answer_renewal(&mut owner, 60, &cut, RenewOutcome::NoAnswer);
    for now_ms in (100..13 + LEASE_MAX_MS).step_by(25) {
        let mut out = Vec::new();
        owner.tick(now_ms, &mut out);
        assert!(starts(&out).is_empty(), "started again at {now_ms} ms");
    }
}

// Guards against late answers that bring back the clock, the ends or the runs of the ended
// incarnation.
#[test]
fn late_answers_of_an_ended_incarnation_change_nothing() {
    let (mut owner, first, open) = owner_with_run();
    let late = starts(&delegate(&mut owner, 14, "b", 1))[0].clone();
    let out = list(&mut owner, 20, vec![record("w1", REBORN_MS)]);
    let fencing = renewals(&out)[0].clone();
    let ends = vec![completion(9, &first)];
    let out = answer_renewal(&mut owner, 21, &open, earlier_answer(vec![], ends));
    assert!(job_outcomes(&out).is_empty());
    assert!(has_event(&out, "answer of an earlier incarnation ignored"));
    accept_start(&mut owner, 22, &late);
    let out = answer_renewal(&mut owner, 24, &fencing, later_answer(vec![], vec![]));
    let again = starts(&out);
    assert!(!again.is_empty());
    for start in again {
        assert!(start.deadline_ms <= NEW_CLOCK_MS + LEASE_MS, "{start:?}");
    }
}

// Guards against a stale list that takes a worker back to the incarnation that has ended.
#[test]
fn an_entry_of_an_ended_incarnation_is_ignored() {
    let (mut owner, _, open) = owner_with_run();
    let ended = vec![record("w1", BORN_MS)];
    list(&mut owner, 20, vec![record("w1", REBORN_MS)]);
    let out = list(&mut owner, 21, ended);
    assert!(!has_event(&out, "worker started again"));
    let out = answer_renewal(&mut owner, 22, &open, earlier_answer(vec![], vec![]));
    assert!(!has_event(&out, "worker started again"));
}

// Guards against a job that fails since workers which restart by themselves look like crashes
// under its task, and against an endless number of starts.
#[test]
fn runs_of_ended_incarnations_are_losses_without_a_proven_crash() {
    const INTERVAL_MS: u64 = 1500;
    let mut born: BTreeMap<String, u64> = ["w1", "w2", "w3", "w4"]
        .map(|id| (id.to_owned(), BORN_MS))
        .into();
    let mut owner = owner_of(&["w1", "w2", "w3", "w4"]);
    let mut out = delegate(&mut owner, 10, "a", 1);
    let mut now_ms = 10;
    let mut runs = 0;
    while let Some(start) = starts(&out).first().cloned() {
        runs += 1;
        accept_start(&mut owner, now_ms + 2, &start);
        now_ms += INTERVAL_MS;
        *born.get_mut(&*start.target.worker_id).unwrap() += INTERVAL_MS;
        let records = born.iter().map(|(id, &born_ms)| record(id, born_ms));
        out = list(&mut owner, now_ms, records.collect());
        for renewal in renewals(&out) {
            let mut answer = later_answer(vec![], vec![]);
            if let RenewOutcome::Renewed { born_ms, .. } = &mut answer {
                *born_ms = Some(born[&*renewal.target.worker_id]);
            }
            out.extend(answer_renewal(&mut owner, now_ms + 1, &renewal, answer));
        }
    }
    assert_eq!(runs, 3);
    assert_eq!(job_outcomes(&out), [("a".to_owned(), Outcome::Abandoned)]);
}

// Guards against a change for workers that do not tell when they started.
#[test]
fn a_worker_without_a_known_start_is_not_taken_for_a_later_incarnation() {
    let (mut owner, start, open) = owner_with_run();
    let answer = renewed(vec![listed(&start)], vec![]);
    let out = answer_renewal(&mut owner, 20, &open, answer);
    assert!(!has_event(&out, "worker started again"));
    let out = list(&mut owner, 30, vec![worker_record("w1")]);
    assert!(!has_event(&out, "worker started again"));
    assert_eq!(starts(&delegate(&mut owner, 40, "b", 1)).len(), 1);
}

// Guards against orders that an incarnation carries out which the owner does not know of: their
// deadlines are by another clock, and neither its capacity nor its fence is known.
#[test]
fn orders_name_the_incarnation_that_they_are_for() {
    let (mut owner, start, renewal) = owner_with_run();
    assert_eq!(start.target.born_ms, Some(BORN_MS));
    assert_eq!(renewal.target.born_ms, Some(BORN_MS));
    let out = list(&mut owner, 20, vec![record("w1", REBORN_MS)]);
    assert_eq!(renewals(&out)[0].target.born_ms, Some(REBORN_MS));
}

// Guards against a task that waits for the end of a lease which was never granted, or that starts
// again on the incarnation before its entry is read.
#[test]
fn a_start_that_another_incarnation_answers_is_repeated_elsewhere_at_once() {
    let mut owner = owner_of(&["w1", "w2"]);
    let start = starts(&delegate(&mut owner, 10, "a", 1))[0].clone();
    let outcome = OrderOutcome::OtherIncarnation { born_ms: REBORN_MS };
    let out = answer_start(&mut owner, 12, &start, outcome);
    assert!(has_event(&out, "worker started again"));
    let again = starts(&out);
    assert_eq!(again.len(), 1);
    assert_ne!(again[0].target.worker_id, start.target.worker_id);
    assert_eq!(renewals(&out)[0].target.born_ms, Some(REBORN_MS));
}

// Guards against an incarnation that tells an earlier start, as the time of day has been set back,
// and is ignored for as long as it lives.
#[test]
fn an_incarnation_that_answers_a_later_order_is_the_later_one_whatever_start_it_tells() {
    let mut owner = owner_of(&["w1"]);
    let start = starts(&delegate(&mut owner, 10, "a", 1))[0].clone();
    let born_ms = BORN_MS - 2000;
    let out = answer_start(
        &mut owner,
        12,
        &start,
        OrderOutcome::OtherIncarnation { born_ms },
    );
    let renewal = renewals(&out)[0].clone();
    assert_eq!(renewal.target.born_ms, Some(born_ms));
    let mut answer = later_answer(vec![], vec![]);
    if let RenewOutcome::Renewed { born_ms: told, .. } = &mut answer {
        *told = Some(born_ms);
    }
    let out = answer_renewal(&mut owner, 14, &renewal, answer);
    assert!(starts(&out).is_empty(), "its entry is not read");
}

// Guards against a task that is held until a lease ends although its start was not sent.
#[test]
fn a_start_that_was_not_sent_is_repeated_elsewhere_at_once() {
    let mut owner = owner_of(&["w1", "w2"]);
    let start = starts(&delegate(&mut owner, 10, "a", 1))[0].clone();
    let out = answer_start(&mut owner, 12, &start, OrderOutcome::NotSent);
    let again = starts(&out);
    assert_eq!(again.len(), 1);
    assert_ne!(again[0].target.worker_id, start.target.worker_id);
}

/// An entry that was written later than all before, by a worker that tells an earlier start.
fn set_back_record(id: &str, revision: u64) -> WorkerRecord {
    WorkerRecord {
        revision,
        capacity: Resources {
            cpu_millicores: 1000,
            memory_mb: 1000,
            gpus: 0,
        },
        ..record(id, BORN_MS - 2000)
    }
}

// Guards against entries that are dropped for as long as a worker lives, with its capacity and its
// drain, since the time of day of its machine has been set back.
#[test]
fn a_later_entry_counts_whatever_start_it_tells() {
    let mut owner = owner(1);
    let known = WorkerRecord {
        revision: 10,
        ..record("w1", BORN_MS)
    };
    let out = list(&mut owner, 0, vec![known.clone()]);
    answer_renewal(
        &mut owner,
        1,
        &renewals(&out)[0],
        earlier_answer(vec![], vec![]),
    );
    let out = list(&mut owner, 20, vec![set_back_record("w1", 11)]);
    assert!(has_event(&out, "worker started again"));
    let renewal = renewals(&out)[0].clone();
    assert_eq!(renewal.target.born_ms, Some(BORN_MS - 2000));
    let mut answer = later_answer(vec![], vec![]);
    if let RenewOutcome::Renewed { born_ms, .. } = &mut answer {
        *born_ms = Some(BORN_MS - 2000);
    }
    answer_renewal(&mut owner, 22, &renewal, answer);
    let out = delegate(&mut owner, 30, "a", 3);
    assert_eq!(starts(&out).len(), 1, "there is room for one task");
    // A stale list, and the same entry once more.
    for records in [vec![known], vec![set_back_record("w1", 11)]] {
        assert!(!has_event(
            &list(&mut owner, 40, records),
            "worker started again"
        ));
    }
}

// Guards against an entry that the later incarnation has not replaced yet, and that takes the
// worker back to the incarnation that has ended with each read.
#[test]
fn an_entry_that_has_not_been_replaced_does_not_end_the_incarnation_that_has_answered() {
    let known = WorkerRecord {
        revision: 10,
        ..record("w1", BORN_MS)
    };
    let mut owner = owner(1);
    let out = list(&mut owner, 0, vec![known.clone()]);
    let renewal = renewals(&out)[0].clone();
    answer_renewal(&mut owner, 5, &renewal, later_answer(vec![], vec![]));
    for revision in [10, 11] {
        let again = WorkerRecord {
            revision,
            ..known.clone()
        };
        let out = list(&mut owner, 20 + revision, vec![again]);
        assert!(!has_event(&out, "worker started again"));
        assert!(starts(&delegate(&mut owner, 40, "a", 1)).is_empty());
    }
}
