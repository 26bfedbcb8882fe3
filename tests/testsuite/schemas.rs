//! The schemas that `trefoilctl schema` prints: examples, default settings and API responses
//! conform to them.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;

use jsonschema::Validator;
use serde_json::{Value, json};
use trefoil_fakes::client::Client;
use trefoilbay::util::telemetry::Telemetry;

use crate::metrics::Worker;
use crate::support::pair::InstancePair;

const EXAMPLES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/examples");

fn print_schema(name: &str) -> Value {
    let ctl = Command::new(env!("CARGO_BIN_EXE_trefoilctl"))
        .args(["schema", name])
        .output()
        .unwrap();
    assert!(ctl.status.success(), "{name}");
    serde_json::from_slice(&ctl.stdout).unwrap()
}

fn validator(schema: &Value) -> Validator {
    jsonschema::draft7::new(schema).unwrap()
}

/// Returns a validator for a definition of a schema.
fn definition_validator(schema: &Value, name: &str) -> Validator {
    assert!(schema["definitions"][name].is_object(), "{name}");
    validator(&json!({
        "$schema": schema["$schema"],
        "definitions": schema["definitions"],
        "$ref": format!("#/definitions/{name}"),
    }))
}

fn assert_valid(validator: &Validator, value: &Value, what: &str) {
    let errors: Vec<String> = validator
        .iter_errors(value)
        .map(|error| format!("{}: {error}", error.instance_path()))
        .collect();
    assert!(errors.is_empty(), "{what}: {errors:#?}");
}

/// Returns all JSON files below `dir`, sorted.
fn json_files(dir: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in fs::read_dir(dir).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            files.extend(json_files(&path));
        } else if path
            .extension()
            .is_some_and(|extension| extension == "json")
        {
            files.push(path);
        }
    }
    files.sort();
    files
}

fn read_json(file: &Path) -> Value {
    serde_json::from_slice(&fs::read(file).unwrap()).unwrap()
}

/// Returns the resources of a file, which contains one or a list of them.
fn resources(value: Value) -> Vec<Value> {
    match value {
        Value::Array(items) => items,
        single => vec![single],
    }
}

#[test]
fn examples_are_valid() {
    let schema = print_schema("resources");
    let resource = validator(&schema);
    let job = validator(&print_schema("api"));
    let spec = |kind: &str| match kind {
        "team" => definition_validator(&schema, "TeamSpec"),
        "service" => definition_validator(&schema, "ServiceSpec"),
        "backend_server" => definition_validator(&schema, "BackendServerSpec"),
        other => panic!("{other}"),
    };
    let (mut declared, mut jobs) = (0, 0);
    for file in json_files(Path::new(EXAMPLES)) {
        let name = file.display().to_string();
        if file.parent().is_some_and(|dir| dir.ends_with("jobs")) {
            assert_valid(&job, &read_json(&file), &name);
            jobs += 1;
            continue;
        }
        for declared_resource in resources(read_json(&file)) {
            assert_valid(&resource, &declared_resource, &name);
            let kind = declared_resource["kind"].as_str().unwrap();
            assert_valid(&spec(kind), &declared_resource["spec"], &name);
            declared += 1;
        }
    }
    assert!(declared > 10 && jobs > 2, "{declared} {jobs}");
}

#[test]
fn invalid_resources_and_jobs_are_rejected() {
    let resource = validator(&print_schema("resources"));
    assert!(!resource.is_valid(&json!({"kind": "queue", "name": "x", "spec": {}})));
    assert!(!resource.is_valid(&json!({"kind": "team", "name": "x", "spec": {}, "more": 1})));
    let job = validator(&print_schema("api"));
    assert!(!job.is_valid(&json!({"service": "pay"})));
    assert!(!job.is_valid(&json!({"service": "pay", "tasks": [{"payload": 1, "extra": 2}]})));
}

#[test]
fn default_settings_are_valid() {
    let daemon = Command::new(env!("CARGO_BIN_EXE_trefoild"))
        .arg("--print-defaults")
        .output()
        .unwrap();
    let defaults = serde_json::from_slice(&daemon.stdout).unwrap();
    assert_valid(&validator(&print_schema("settings")), &defaults, "defaults");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn responses_of_an_instance_are_valid() {
    let worker = Worker::start().await;
    let telemetry = |settings: &_| Telemetry::start(settings).unwrap();
    let pair = InstancePair::start(worker.address, telemetry).await;
    let (api, resources) = (print_schema("api"), print_schema("resources"));
    let entry = pair.entries[0];
    let client = Client::default();
    let parse = |body: &[u8]| -> Value { serde_json::from_slice(body).unwrap() };
    let keys = client.post(entry, "/v1/keys?count=2", "").await.unwrap();
    assert_valid(
        &definition_validator(&api, "KeysResponse"),
        &parse(&keys.body),
        "keys",
    );
    let job = pair.submit(entry, &pair.mint_key().await, "").await;
    assert_valid(&definition_validator(&api, "JobResponse"), &job, "job");
    let refused = client.post(entry, "/v1/jobs", "{}").await.unwrap();
    assert_valid(
        &definition_validator(&api, "Problem"),
        &parse(&refused.body),
        "problem",
    );
    let status = client.get(entry, "/v1/status").await.unwrap();
    assert_valid(
        &definition_validator(&api, "StatusResponse"),
        &parse(&status.body),
        "status",
    );
    let stored = definition_validator(&resources, "StoredResource");
    for path in [
        "/v1/services/pay",
        "/v1/backend-servers/worker-1",
        "/v1/teams/default",
    ] {
        let found = client.get(entry, path).await.unwrap();
        assert_valid(&stored, &parse(&found.body), path);
    }
}
