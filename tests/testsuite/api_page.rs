//! docs/API.md lists every reason that the server can send, with its status.

use trefoil_core::engine::{FailureReason, JobAnswer, JobState, RefusalReason};
use trefoil_core::verdict::Verdict;
use trefoilbay::http::caller::answer::refusal_status;
use trefoilbay::peers::convert::{self, FAILURE_UNKNOWN};

const PAGE: &str = include_str!("../../docs/API.md");
const COMMANDS: &str = include_str!("../../crates/core/src/engine/command.rs");
const FAILURES: &str = include_str!("../../crates/core/src/engine/failure.rs");
const OPERATOR: &str = include_str!("../../src/http/operator/problems.rs");

/// Names of the variants of a fieldless enum in snake case, parsed from its source.
fn variant_names(source: &str, name: &str) -> Vec<String> {
    let start = format!("enum {name} {{\n");
    let body = source.split_once(&start).unwrap().1;
    let body = body.split_once("\n}").unwrap().0;
    let lines = body.lines().map(str::trim);
    let names = lines.filter(|line| !line.starts_with("///") && !line.is_empty());
    names
        .map(|line| snake_case(line.trim_end_matches(',')))
        .collect()
}

fn snake_case(name: &str) -> String {
    let mut text = String::new();
    for (index, letter) in name.char_indices() {
        if letter.is_uppercase() && index > 0 {
            text.push('_');
        }
        text.extend(letter.to_lowercase());
    }
    text
}

/// The table row of `status` in a section of the page; empty if there is none.
fn table_row<'a>(section: &str, status: u16) -> &'a str {
    let section = PAGE.split_once(&format!("## {section}\n")).unwrap().1;
    let section = section.split("\n## ").next().unwrap();
    let start = format!("| {status} |");
    let mut lines = section.lines();
    lines.find(|line| line.starts_with(&start)).unwrap_or("")
}

fn lists_reason(row: &str, reason: &str) -> bool {
    row.contains(&format!("`{reason}`"))
}

#[test]
fn page_lists_every_job_refusal_with_its_status() {
    let names = variant_names(COMMANDS, "RefusalReason");
    assert!(names.len() > 15, "{names:?}");
    for name in names {
        let reason: RefusalReason = name.parse().unwrap();
        assert_eq!(reason.to_string(), name);
        let status = refusal_status(reason).as_u16();
        assert!(
            lists_reason(table_row("Callers", status), &name),
            "{status} {name}"
        );
    }
}

/// The reason after a round trip through the peer protocol.
fn reason_via_peer(reason: FailureReason) -> &'static str {
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
fn page_lists_every_job_failure() {
    let names = variant_names(FAILURES, "FailureReason");
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
        assert!(
            lists_reason(table_row("Callers", status), &name),
            "{status} {name}"
        );
        assert_eq!(
            reason_via_peer(reason),
            reason.name(),
            "reason sent between instances"
        );
    }
    assert!(lists_reason(table_row("Callers", 502), FAILURE_UNKNOWN));
}

#[test]
fn page_lists_every_resource_refusal() {
    let names = variant_names(OPERATOR, "Reason");
    assert!(names.len() > 5, "{names:?}");
    for name in names {
        let statuses = [400, 404, 409, 412, 413, 422, 500, 503];
        let mut rows = statuses
            .map(|status| table_row("Operators", status))
            .into_iter();
        assert!(rows.any(|row| lists_reason(row, &name)), "{name}");
    }
}
