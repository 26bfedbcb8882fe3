//! The page on the API names every reason that the code can send, each with
//! its status.

use trefoil_core::engine::{FailureReason, JobAnswer, JobState, RefusalReason};
use trefoil_core::verdict::Verdict;
use trefoilbay::http::caller::answer::refusal_status;
use trefoilbay::peers::convert::{self, FAILURE_UNKNOWN};

const PAGE: &str = include_str!("../../docs/API.md");
const COMMANDS: &str = include_str!("../../crates/core/src/engine/command.rs");
const FAILURES: &str = include_str!("../../crates/core/src/engine/failure.rs");
const OPERATOR: &str = include_str!("../../src/http/operator/problems.rs");

/// Variants of an enum without fields, in snake case, read from its source.
fn variants(source: &str, name: &str) -> Vec<String> {
    let start = format!("enum {name} {{\n");
    let body = source.split_once(&start).unwrap().1;
    let body = body.split_once("\n}").unwrap().0;
    let lines = body.lines().map(str::trim);
    let names = lines.filter(|line| !line.starts_with("///") && !line.is_empty());
    names
        .map(|line| snake(line.trim_end_matches(',')))
        .collect()
}

fn snake(name: &str) -> String {
    let mut text = String::new();
    for (index, letter) in name.char_indices() {
        if letter.is_uppercase() && index > 0 {
            text.push('_');
        }
        text.extend(letter.to_lowercase());
    }
    text
}

/// The row of `status` in the table of one section.
fn row<'a>(section: &str, status: u16) -> &'a str {
    let section = PAGE.split_once(&format!("## {section}\n")).unwrap().1;
    let section = section.split("\n## ").next().unwrap();
    let start = format!("| {status} |");
    let mut lines = section.lines();
    lines.find(|line| line.starts_with(&start)).unwrap_or("")
}

fn has(row: &str, reason: &str) -> bool {
    row.contains(&format!("`{reason}`"))
}

#[test]
fn every_refusal_of_a_job_is_on_the_page_with_its_status() {
    let names = variants(COMMANDS, "RefusalReason");
    assert!(names.len() > 15, "{names:?}");
    for name in names {
        let reason: RefusalReason = name.parse().unwrap();
        assert_eq!(reason.to_string(), name);
        let status = refusal_status(reason).as_u16();
        assert!(has(row("Callers", status), &name), "{status} {name}");
    }
}

/// The reason that an entry tells when the owner told it `reason`.
fn passed_on(reason: FailureReason) -> &'static str {
    let failed = JobAnswer::Known {
        state: JobState::Failed,
        verdict: Verdict::MayHaveRun,
        results: Vec::new().into(),
        reason: reason.name(),
        detail: String::new(),
        replayed: false,
        tasks_done: 0,
        tasks_total: 1,
    };
    match convert::answer(convert::answer_message(1, "key", &failed)) {
        JobAnswer::Known { reason, .. } => reason,
        JobAnswer::Refused(refusal) => panic!("{refusal:?}"),
    }
}

#[test]
fn every_failure_of_a_job_is_on_the_page() {
    let names = variants(FAILURES, "FailureReason");
    assert!(names.len() > 5, "{names:?}");
    for name in names {
        let reason: FailureReason = name.parse().unwrap();
        assert_eq!((reason.name(), reason.to_string()), (&*name, name.clone()));
        let status = match reason {
            FailureReason::Deadline => 504,
            FailureReason::Cancelled => 499,
            FailureReason::ResultDropped => 410,
            _ => 502,
        };
        assert!(has(row("Callers", status), &name), "{status} {name}");
        assert_eq!(passed_on(reason), reason.name(), "between instances");
    }
    assert!(has(row("Callers", 502), FAILURE_UNKNOWN));
}

#[test]
fn every_refusal_about_resources_is_on_the_page() {
    let names = variants(OPERATOR, "Reason");
    assert!(names.len() > 5, "{names:?}");
    for name in names {
        let statuses = [400, 404, 409, 412, 413, 422, 500, 503];
        let mut rows = statuses.map(|status| row("Operators", status)).into_iter();
        assert!(rows.any(|row| has(row, &name)), "{name}");
    }
}
