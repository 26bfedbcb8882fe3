//! Validation reports every invalid field of a declaration and what is allowed.

use expect_test::{Expect, expect};
use serde_json::{Value, json};
use trefoil_core::config::validation::{changed_paths, validate};

fn expect_errors(declared: Value, expected: Expect) {
    let errors = validate(&declared).unwrap_err();
    let lines: Vec<String> = errors
        .iter()
        .map(|error| {
            format!(
                "{}: {}; allowed: {}\n",
                error.path, error.found, error.allowed
            )
        })
        .collect();
    expected.assert_eq(&lines.concat());
}

#[test]
fn valid_declarations_are_accepted() {
    let valid = [
        json!({"kind": "team", "name": "payroll", "spec": {}}),
        json!({"kind": "service", "name": "pay-run", "labels": {"owner": "x"},
            "spec": {"idempotent": true, "targets": {"response_p99_ms": 900}}}),
        json!({"kind": "backend_server", "name": "w1", "spec": {"service": "pay-run",
            "failure_domain": "Portmore", "address": "[::1]:80", "state": "leaving"}}),
    ];
    for declared in valid {
        assert_eq!(validate(&declared).map(|_| ()), Ok(()), "{declared}");
    }
}

#[test]
fn all_invalid_fields_are_reported_at_once() {
    let declared = json!({"kind": "service", "name": "Pay_Run", "labels": {"owner": 1}, "extra": 0,
        "spec": {"path": "run", "declared_run_ms": 0, "task_timeout_ms": -1, "idempotent": "yes",
            "targets": {"refused_percent_max": 101, "p50": 3}}});
    expect_errors(
        declared,
        expect![[r#"
            extra: an unknown field; allowed: one of the fields kind, labels, name, spec
            labels.owner: 1; allowed: a string
            spec.idempotent: "yes"; allowed: true or false
            spec.targets.p50: an unknown field; allowed: one of the fields refused_percent_max, response_p99_ms
            name: "Pay_Run"; allowed: 1 to 63 of a-z, 0-9 and '-', starting and ending with a letter or digit
            spec.path: "run"; allowed: an absolute path of visible ASCII, such as /run
            spec.declared_run_ms: 0; allowed: a whole number from 1 to 3600000
            spec.task_timeout_ms: -1; allowed: a whole number from 1 to 3600000
            spec.targets.refused_percent_max: 101; allowed: a whole number from 0 to 100
        "#]],
    );
}

#[test]
fn missing_fields_of_a_backend_server_are_reported() {
    let declared = json!({"kind": "backend_server", "name": "w1",
        "spec": {"address": "host:80", "slots": 5_000_000_000u64, "state": "gone"}});
    expect_errors(
        declared,
        expect![[r#"
            spec.service: nothing; allowed: a value; it is required
            spec.failure_domain: nothing; allowed: a value; it is required
            spec.state: "gone"; allowed: one of "serving", "leaving"
            spec.address: "host:80"; allowed: IP:PORT with a port above 0, such as 10.0.0.7:8080
            spec.slots: 5000000000; allowed: a whole number from 1 to 10000
        "#]],
    );
}

#[test]
fn unknown_kind_is_reported() {
    let declared = json!({"kind": "worker", "spec": 1});
    expect_errors(
        declared,
        expect![[r#"
        name: nothing; allowed: a value; it is required
        kind: "worker"; allowed: one of "team", "service", "backend_server"
    "#]],
    );
}

#[test]
fn changed_fields_are_listed() {
    let before = json!({"name": "a", "spec": {"path": "/run", "targets": {"x": 1}}});
    let after = json!({"name": "a", "spec": {"targets": {"x": 2}, "slots": 3}});
    let paths = changed_paths(&before, &after);
    assert_eq!(paths, ["spec.path", "spec.targets.x", "spec.slots"]);
}
