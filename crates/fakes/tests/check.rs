//! The history checker finds each kind of violation, and none in a valid history.

use serde_json::{Value, json};
use trefoil_fakes::{
    check::{
        Violation, check,
        history::{HistoryEntry, RequestKind},
    },
    worker::record::TaskStart,
};

const KEY: &str = "1700000000000-a/b";

fn start(index: u32, attempt: u32, wall_ms: u64) -> TaskStart {
    TaskStart {
        task: format!("{KEY}/{index}/{attempt}"),
        worker: "w".to_owned(),
        wall_ms,
        token: Some(format!("t{index}")),
        ..TaskStart::default()
    }
}

fn result(token: &str) -> Value {
    json!({"worker": "w", "result": {"token": token}})
}

fn complete() -> HistoryEntry {
    HistoryEntry {
        key: KEY.to_owned(),
        entry: "e1".to_owned(),
        sent_ms: 100.0,
        answered_ms: 200.0,
        status: 200,
        verdict: "ran".to_owned(),
        state: "complete".to_owned(),
        tokens: vec!["t0".to_owned(), "t1".to_owned()],
        results: vec![result("t0"), result("t1")],
        ..HistoryEntry::default()
    }
}

fn refused(sent_ms: f64) -> HistoryEntry {
    HistoryEntry {
        sent_ms,
        answered_ms: sent_ms + 1.0,
        status: 429,
        verdict: "not_run".to_owned(),
        reason: "overload".to_owned(),
        state: String::new(),
        results: Vec::new(),
        ..complete()
    }
}

fn violations(requests: &[HistoryEntry], starts: &[TaskStart]) -> Vec<Violation> {
    check(requests, starts).violations
}

fn both_starts() -> [TaskStart; 2] {
    [start(0, 1, 110), start(1, 1, 120)]
}

#[test]
fn valid_history_has_no_violations() {
    // Refused first, then accepted, then replayed to a resubmission.
    let requests = [refused(50.0), complete(), complete()];
    assert_eq!(violations(&requests, &both_starts()), []);
}

#[test]
fn second_start_under_another_attempt_is_a_double_start() {
    let mut starts = both_starts().to_vec();
    starts.push(start(1, 2, 150));
    let expected = Violation::DoubleStart {
        key: KEY.to_owned(),
        index: 1,
        starts: 2,
    };
    assert_eq!(violations(&[complete()], &starts), [expected]);
}

#[test]
fn final_not_run_is_false_if_a_task_started_at_any_time() {
    // The response to the first submission was lost, so the caller relies on the refusal.
    let lost = HistoryEntry {
        answered_ms: 140.0,
        status: 0,
        verdict: String::new(),
        ..refused(100.0)
    };
    let found = violations(&[lost, refused(150.0)], &[start(0, 1, 300)]);
    assert!(matches!(
        found[..],
        [Violation::FalseNotRun { starts: 1, .. }]
    ));
}

#[test]
fn unreachable_entry_gives_no_later_verdict() {
    let unreachable = HistoryEntry {
        status: 0,
        verdict: String::new(),
        reason: "unreachable".to_owned(),
        ..refused(200.0)
    };
    let requests = [refused(150.0), unreachable];
    let found = violations(&requests, &[start(0, 1, 300)]);
    assert!(matches!(
        found[..],
        [Violation::FalseNotRun { starts: 1, .. }]
    ));
}

#[test]
fn not_run_after_a_start_is_always_false() {
    let requests = [complete(), refused(150.0)];
    let found = violations(&requests, &both_starts());
    assert!(matches!(
        found[..],
        [Violation::FalseNotRun { starts: 2, .. }]
    ));
}

#[test]
fn no_task_may_start_after_a_cancel_answered_not_run() {
    let cancelled = HistoryEntry {
        kind: RequestKind::Cancel,
        ..refused(150.0)
    };
    let found = violations(&[cancelled], &[start(0, 1, 400)]);
    assert!(matches!(
        found[..],
        [Violation::FalseNotRun { starts: 1, .. }]
    ));
}

#[test]
fn key_reused_applies_only_to_the_other_body() {
    let other = HistoryEntry {
        status: 409,
        reason: "key_reused".to_owned(),
        tokens: vec!["other".to_owned()],
        ..refused(150.0)
    };
    let requests = [complete(), other];
    assert_eq!(violations(&requests, &both_starts()), []);
    let ran = TaskStart {
        token: Some("other".to_owned()),
        ..start(2, 1, 160)
    };
    let [first, second] = both_starts();
    let found = violations(&requests, &[first, second, ran]);
    assert!(matches!(
        found[..],
        [Violation::FalseNotRun { starts: 1, .. }]
    ));
}

#[test]
fn complete_answer_without_a_result_is_partial() {
    let mut answer = complete();
    answer.results.pop();
    let found = violations(&[answer], &both_starts());
    assert!(matches!(
        found[..],
        [Violation::PartialResults {
            results: 1,
            tasks: 2,
            ..
        }]
    ));
}

#[test]
fn failed_answer_with_results_is_partial() {
    let answer = HistoryEntry {
        state: "failed".to_owned(),
        ..complete()
    };
    let found = violations(&[answer], &both_starts());
    assert!(matches!(found[..], [Violation::PartialResults { .. }]));
}

#[test]
fn swapped_results_are_wrong_and_conflict_with_the_first_answer() {
    let mut swapped = complete();
    swapped.results.swap(0, 1);
    let found = violations(&[complete(), swapped], &both_starts());
    assert!(matches!(
        found[..],
        [
            Violation::WrongResult { index: 0, .. },
            Violation::WrongResult { index: 1, .. },
            Violation::ConflictingAnswers { .. },
        ]
    ));
}

#[test]
fn result_of_a_task_that_never_started_is_found() {
    let found = violations(&[complete()], &[start(0, 1, 110)]);
    assert!(matches!(
        found[..],
        [Violation::ResultWithoutStart { index: 1, .. }]
    ));
}
