//! Defaults, overrides and validation of settings.

use std::process::{Command, Output};

use expect_test::expect;
use serde_json::{Value, json};
use trefoilbay::util::settings::{self, InvalidSetting, from_value};

fn invalid_settings(overrides: &[&str]) -> Vec<InvalidSetting> {
    let overrides: Vec<_> = overrides.iter().map(|&item| item.to_owned()).collect();
    match from_value(json!({}), &overrides) {
        Ok(_) => Vec::new(),
        Err(error) => error.invalid().to_vec(),
    }
}

fn paths(overrides: &[&str]) -> Vec<String> {
    let invalid_settings = invalid_settings(overrides).into_iter();
    invalid_settings.map(|setting| setting.path).collect()
}

#[test]
fn missing_sections_take_the_schema_defaults() {
    let settings = settings::defaults();
    assert_eq!(settings.drain.budget_ms, 30_000);
    assert_eq!(settings.jobs.tasks_max, 1_800);
    assert_eq!(settings.platform.address, "127.0.0.1:2379");
    assert_eq!(from_value(json!({}), &[]).unwrap(), settings);
    assert_eq!(from_value(json!({"drain": {}}), &[]).unwrap(), settings);
}

#[test]
fn overrides_accept_json_strings_and_list_indices() {
    let base = json!({
        "peers": [{"instance": "b", "failure_domain": "local", "peer_address": "127.0.0.1:9"}],
        "drain": {"budget_ms": 7000},
    });
    let overrides = [
        "peers.0.instance=c",
        "drain.announce_ms=5",
        "placement.lending=false",
        "log.level=debug",
    ];
    let settings = from_value(base, &overrides.map(str::to_owned)).unwrap();
    assert_eq!(settings.peers[0].instance, "c");
    assert_eq!(settings.drain.announce_ms, 5);
    assert_eq!(settings.drain.budget_ms, 7000);
    assert!(!settings.placement.lending);
    assert_eq!(settings.log.level.to_string(), "debug");
}

#[test]
fn all_invalid_settings_are_reported_together() {
    let overrides = [
        "drain.budget_ms=x",
        "drain.announce_ms=99999999",
        "jobs.shards=0",
        "jobs.shrads=3",
        "log.level=warn",
        "placement.queue_tasks_max=5000000000",
        "peers=[{\"instance\":\"entry-1\",\"failure_domain\":\"q\"}]",
        "telemetry=5",
        "oops",
    ];
    let report: Vec<_> = invalid_settings(&overrides)
        .iter()
        .map(InvalidSetting::to_string)
        .collect();
    expect![[r#"
        drain.announce_ms: found 99999999; allowed: at most drain.budget_ms (30000)
        drain.budget_ms: found invalid type: string "x"; allowed: u64
        jobs.shards: found 0; allowed: 1 to 1024
        jobs.shrads: found unknown field `shrads`; allowed: one of body_bytes_max, deadline_default_ms, deadline_max_ms, key_ahead_max_ms, key_window_ms, keys_max, results_bytes_max, shards, tasks_max; hint: did you mean shards?
        log.level: found unknown variant `warn`; allowed: one of error, warning, info, debug; hint: did you mean warning?
        oops: found an override without a value; allowed: --set dotted.path=VALUE
        peers.0.failure_domain: found "q"; allowed: one of failure_domains (local)
        peers.0.instance: found "entry-1" again; allowed: each instance once
        peers.0.peer_address: found nothing; allowed: a value; the field is required
        placement.queue_tasks_max: found invalid value: integer `5000000000`; allowed: u32
        telemetry: found invalid type: integer `5`; allowed: struct TelemetrySettings"#]]
    .assert_eq(&report.join("\n"));
}

#[test]
fn each_range_error_names_its_field() {
    let cases = [
        ("instance=", "instance"),
        ("http_address=localhost:1", "http_address"),
        ("http_address=127.0.0.1:0", "http_address"),
        ("peer_address=0.0.0.0:7401", "peer_address"),
        ("peer_address=127.0.0.1:7400", "peer_address"),
        (
            r#"peers=[{"instance":"b","failure_domain":"local","peer_address":"127.0.0.1:9","dial_address":"0.0.0.0:9"}]"#,
            "peers.0.dial_address",
        ),
        ("failure_domain=elsewhere", "failure_domain"),
        ("failure_domains=[\"local\",\"local\"]", "failure_domains.1"),
        ("http.connections_max=0", "http.connections_max"),
        ("http.bodies_bytes_max=0", "http.bodies_bytes_max"),
        ("http.body_timeout_ms=0", "http.body_timeout_ms"),
        ("jobs.shards=1025", "jobs.shards"),
        ("jobs.keys_max=0", "jobs.keys_max"),
        (
            "jobs.deadline_default_ms=300001",
            "jobs.deadline_default_ms",
        ),
        ("jobs.deadline_max_ms=600001", "jobs.deadline_max_ms"),
        ("membership.heartbeat_ms=0", "membership.heartbeat_ms"),
        ("membership.vouch_ahead_ms=500", "membership.vouch_ahead_ms"),
        ("membership.suspect_ms=500", "membership.suspect_ms"),
        ("platform.backoff_min_ms=5001", "platform.backoff_min_ms"),
        ("platform.prefix=trefoil", "platform.prefix"),
        (
            "workers.eject_share_max_percent=101",
            "workers.eject_share_max_percent",
        ),
        ("workers.connections_max=0", "workers.connections_max"),
        ("placement.retry_percent=101", "placement.retry_percent"),
        (
            "telemetry.trace_sample_percent=101",
            "telemetry.trace_sample_percent",
        ),
        ("telemetry.export_period_ms=0", "telemetry.export_period_ms"),
        (
            "telemetry.otlp_endpoint=https://x",
            "telemetry.otlp_endpoint",
        ),
        ("drain.announce_ms=30001", "drain.announce_ms"),
        ("instance.name=x", "instance"),
    ];
    for (item, path) in cases {
        assert_eq!(paths(&[item]), [path], "{item}");
    }
}

#[test]
fn boundary_values_are_accepted() {
    let overrides = [
        "jobs.shards=1024",
        "membership.vouch_ahead_ms=501",
        "membership.suspect_ms=501",
        "placement.retry_percent=100",
        "telemetry.trace_sample_percent=0",
        "drain.announce_ms=30000",
        "jobs.key_ahead_max_ms=0",
    ];
    assert_eq!(invalid_settings(&overrides), []);
}

#[test]
fn a_field_of_the_wrong_type_does_not_hide_other_errors() {
    let defaults = serde_json::to_value(settings::defaults()).unwrap();
    let mut leaves = Vec::new();
    collect_leaves("", &defaults, &mut leaves);
    assert!(leaves.len() > 40);
    for leaf in leaves {
        let wrong = format!("{leaf}={{\"no\":1}}");
        assert_eq!(paths(&[&wrong, "zzz=1"]), [leaf.as_str(), "zzz"]);
    }
}

fn collect_leaves(path: &str, value: &Value, leaves: &mut Vec<String>) {
    let Value::Object(fields) = value else {
        return leaves.push(path.to_owned());
    };
    for (name, field) in fields {
        let dot = if path.is_empty() { "" } else { "." };
        collect_leaves(&format!("{path}{dot}{name}"), field, leaves);
    }
}

fn trefoild(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_trefoild"))
        .args(arguments)
        .output()
        .unwrap()
}

#[test]
fn printed_defaults_are_valid_settings() {
    let printed = trefoild(&["--print-defaults"]);
    assert!(printed.status.success());
    let value = serde_json::from_slice(&printed.stdout).unwrap();
    assert_eq!(from_value(value, &[]).unwrap(), settings::defaults());
}

#[test]
fn check_reports_invalid_settings_by_its_exit_status() {
    assert_eq!(trefoild(&["--check"]).status.code(), Some(0));
    let wrong = trefoild(&["--check", "--set", "jobs.shards=0", "--set", "bad=1"]);
    assert_eq!(wrong.status.code(), Some(1));
    let report = String::from_utf8(wrong.stderr).unwrap();
    assert!(report.contains("jobs.shards: found 0"), "{report}");
    assert!(report.contains("bad: found unknown field"), "{report}");
}

#[test]
fn missing_settings_file_is_reported_with_a_hint() {
    let output = trefoild(&["--check", "--settings", "/nonexistent/settings.json"]);
    assert_eq!(output.status.code(), Some(1));
    let report = String::from_utf8(output.stderr).unwrap();
    assert!(report.contains("hint: check --settings"), "{report}");
}
