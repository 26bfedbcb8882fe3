//! The `trefoilctl` binary: its output, exit status and requests.

use std::path::PathBuf;
use std::process::Output;

use expect_test::{Expect, expect};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::process::Command;
use trefoil_core::verdict::Verdict;
use trefoil_schema::api::InstanceStateName::{Serving, Silent};
use trefoil_schema::api::JobResponse;

use crate::support::api_stub::{
    ApiStub, ClosedAddress, MINTED_KEY, instance_status, status_response,
};

const KEY: &str = "1764691200000-payrun";
const BLUE_MAHOE: &str = "-f examples/blue-mahoe/backend-servers -f examples/blue-mahoe";

/// Runs `trefoilctl` against `entries` with the words of `line` as arguments.
async fn run(entries: &[&str], line: &str) -> Output {
    Command::new(env!("CARGO_BIN_EXE_trefoilctl"))
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .env("TREFOIL_ENTRIES", entries.join(","))
        .args(line.split_whitespace())
        .kill_on_drop(true)
        .output()
        .await
        .expect("trefoilctl starts")
}

/// Formats exit status, stdout and stderr, with the stub's address replaced.
fn render(output: &Output, stub: &ApiStub) -> String {
    let text = format!(
        "exit {}\n{}--\n{}",
        output.status.code().expect("not killed"),
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr),
    );
    text.replace(&stub.address, "ENTRY")
}

async fn check(stub: &ApiStub, line: &str, expected: Expect) {
    let output = run(&[&stub.address], line).await;
    expected.assert_eq(&render(&output, stub));
}

async fn exit_code(entries: &[&str], line: &str) -> i32 {
    run(entries, line).await.status.code().expect("not killed")
}

fn write_file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("the test directory is writable");
    path
}

/// Starts an entry that closes each connection after reading a request.
async fn unresponsive_entry() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound").to_string();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.read(&mut [0; 4096]).await;
        }
    });
    address
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn apply_creates_in_order_and_is_then_a_no_op() {
    let stub = ApiStub::start().await;
    check(
        &stub,
        &format!("apply {BLUE_MAHOE}"),
        expect![[r#"
            exit 0
            team/families created revision 2
            team/payroll-office created revision 3
            service/payrun created revision 4
            service/payslip-lookup created revision 5
            backend_server/payrun-half-way-tree-1 created revision 6
            backend_server/payrun-new-kingston-1 created revision 7
            backend_server/payrun-portmore-1 created revision 8
            backend_server/payslip-half-way-tree-1 created revision 9
            backend_server/payslip-new-kingston-1 created revision 10
            backend_server/payslip-portmore-1 created revision 11
            --
        "#]],
    )
    .await;
    let again = run(&[&stub.address], &format!("apply {BLUE_MAHOE}")).await;
    let lines = String::from_utf8_lossy(&again.stdout);
    let unchanged = lines.lines().filter(|line| line.contains(" unchanged "));
    assert_eq!(unchanged.count(), 10, "{lines}");
    assert_eq!(stub.state.lock().unwrap().write_requests.len(), 10);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn dry_run_stores_nothing() {
    let stub = ApiStub::start().await;
    check(
        &stub,
        "apply --dry-run -f examples/haugland/services.json",
        expect![[r#"
            exit 0
            service/certificate-lookup created (dry run)
            service/revocation-notice created (dry run)
            --
        "#]],
    )
    .await;
    check(
        &stub,
        "get services",
        expect![[r#"
        exit 0
        NAME  REVISION  IN FORCE  IDEMPOTENT  PATH  DECLARED RUN MS  RESPONSE P99 MS
        --
    "#]],
    )
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn diff_shows_only_the_changed_field() {
    let stub = ApiStub::start().await;
    let before = r#"{"kind":"team","name":"grocers","spec":{"weight":200}}"#;
    let after = r#"{"kind":"team","name":"grocers","spec":{"weight":250,"slots_max":0}}"#;
    let before = write_file("diff_before.json", before);
    let after = write_file("diff_after.json", after);
    let applied = exit_code(
        &[&stub.address],
        &format!("apply --wait -f {}", before.display()),
    )
    .await;
    assert_eq!(applied, 0);
    check(
        &stub,
        &format!("diff -f {}", after.display()),
        expect![[r#"
            exit 0
            --- live/team/grocers
            +++ declared/team/grocers
            @@ -3,6 +3,6 @@
               "spec": {
                 "queued_tasks_max": 0,
                 "slots_max": 0,
            -    "weight": 200
            +    "weight": 250
               }
             }
            --
        "#]],
    )
    .await;
    check(
        &stub,
        "get teams",
        expect![[r#"
            exit 0
            NAME     REVISION  IN FORCE  WEIGHT  SLOTS MAX  QUEUED TASKS MAX
            grocers  2         1/1       200     0          0
            --
        "#]],
    )
    .await;
    check(
        &stub,
        "describe team grocers",
        expect![[r#"
            exit 0
            kind:     team
            name:     grocers
            revision: 2
            in force: 1 of 1 live instances
            spec:
            {
              "queued_tasks_max": 0,
              "slots_max": 0,
              "weight": 200
            }
            CONDITION  STATUS  REASON      MESSAGE
            InForce    true    Everywhere  in force at 1 of 1 live instances
            --
        "#]],
    )
    .await;
    check(
        &stub,
        "delete team grocers",
        expect![[r#"
        exit 0
        team/grocers deleted
        --
    "#]],
    )
    .await;
    check(
        &stub,
        "get team grocers",
        expect![[r#"
            exit 3
            --
            error: GET /v1/teams/grocers was refused
              caused by: 404 unknown resource: team/grocers is not declared (verdict not_run)
              hint: list what is declared with `trefoilctl get KIND`
        "#]],
    )
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_fields_are_reported_and_nothing_is_sent() {
    let stub = ApiStub::start().await;
    let text =
        r#"{"kind":"service","name":"payrun","spec":{"path":7,"targets":{"response_p99_ms":-1}}}"#;
    let path = write_file("invalid_field.json", text);
    let output = run(&[&stub.address], &format!("apply -f {}", path.display())).await;
    let shown = render(&output, &stub).replace(path.to_str().expect("UTF-8"), "FILE");
    expect![[r#"
        exit 2
        --
        error: `FILE` is not valid
          caused by: 2 invalid fields
            service/payrun `spec.targets.response_p99_ms`: found -1, allowed: a whole number from 0 to 18446744073709551615
            service/payrun `spec.path`: found 7, allowed: an absolute path of visible ASCII, such as /run
          hint: see `trefoilctl schema resources` or `schema api`
    "#]]
    .assert_eq(&shown);
    assert!(stub.state.lock().unwrap().write_requests.is_empty());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lost_response_to_a_declaration_is_resolved_by_a_read_not_a_retry() {
    let stub = ApiStub::start().await;
    stub.set(|state| state.withhold_responses = true);
    let line = "apply --request-timeout-ms 300 -f examples/haugland/teams.json";
    check(
        &stub,
        line,
        expect![[r#"
            exit 0
            team/grocers created revision 2 (answer lost, read back)
            team/importers created revision 3 (answer lost, read back)
            team/registry created revision 4 (answer lost, read back)
            --
        "#]],
    )
    .await;
    assert_eq!(stub.state.lock().unwrap().write_requests.len(), 3);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_declaration_that_may_have_been_sent_is_not_retried_at_another_entry() {
    let stub = ApiStub::start().await;
    let unresponsive = unresponsive_entry().await;
    let line = "apply -f examples/haugland/teams.json";
    assert_eq!(exit_code(&[&unresponsive, &stub.address], line).await, 4);
    assert!(stub.state.lock().unwrap().write_requests.is_empty());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn submit_mints_a_key_and_repeats_with_it() {
    let stub = ApiStub::start().await;
    let line = "submit --service payrun --tasks 2 --payload 7 --repeat 1";
    let output = run(&[&stub.address], line).await;
    assert!(
        output
            .stderr
            .starts_with(format!("key {MINTED_KEY}\n").as_bytes())
    );
    let answers: Vec<JobResponse> = serde_json::Deserializer::from_slice(&output.stdout)
        .into_iter()
        .collect::<Result<_, _>>()
        .expect("answers in JSON");
    let replayed: Vec<bool> = answers.iter().map(|answer| answer.replayed).collect();
    assert_eq!(replayed, [false, true]);
    assert!(answers.iter().all(|answer| answer.results == [7, 7]));
    assert_eq!(
        stub.state.lock().unwrap().submitted_keys,
        [MINTED_KEY, MINTED_KEY]
    );
    let line = "submit --no-wait -f examples/haugland/jobs/revocation.json";
    assert_eq!(exit_code(&[&stub.address], line).await, 0);
    let both = format!("{line} --service payrun");
    assert_eq!(exit_code(&[&stub.address], &both).await, 2);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn submit_retries_with_the_same_key_after_a_lost_response() {
    let stub = ApiStub::start().await;
    let unresponsive = unresponsive_entry().await;
    let closed = ClosedAddress::new();
    let line = format!("submit --service payrun --key {KEY}");
    assert_eq!(
        exit_code(&[&closed.address, &unresponsive, &stub.address], &line).await,
        0
    );
    assert_eq!(stub.state.lock().unwrap().submitted_keys, [KEY]);
    assert_eq!(exit_code(&[&unresponsive, &closed.address], &line).await, 4);
    assert_eq!(exit_code(&[&closed.address], &line).await, 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn exit_status_follows_the_verdict() {
    let stub = ApiStub::start().await;
    let line = format!("submit --service payrun --key {KEY}");
    let cases = [
        (429, "overload", Verdict::NotRun, 3),
        (503, "owner_lost", Verdict::MayHaveRun, 4),
        (502, "task_failed", Verdict::Ran, 1),
        (409, "key_reused", Verdict::NotRun, 5),
    ];
    for (status, reason, verdict, expected) in cases {
        stub.set(|state| state.refuse_jobs = Some((status, reason, verdict, verdict)));
        assert_eq!(
            exit_code(&[&stub.address], &line).await,
            expected,
            "{reason}"
        );
    }
    stub.set(|state| state.refuse_jobs = Some((429, "overload", Verdict::NotRun, Verdict::NotRun)));
    check(
        &stub,
        &line,
        expect![[r#"
        exit 3
        --
        key 1764691200000-payrun
        error: POST /v1/jobs was refused
          caused by: 429 overload: as the test asked (verdict not_run, retry after 40 ms)
          hint: nothing took effect; retry after the time given
    "#]],
    )
    .await;
    assert_eq!(
        exit_code(&[&stub.address], "submit --service a --key opaque").await,
        2
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refusal_of_the_only_request_with_a_key_has_the_request_verdict() {
    let stub = ApiStub::start().await;
    let unresponsive = unresponsive_entry().await;
    let refusal = (503, "owner_lost", Verdict::MayHaveRun, Verdict::NotRun);
    stub.set(|state| state.refuse_jobs = Some(refusal));
    let with_new_key = "submit --service payrun";
    check(&stub, with_new_key, expect![[r#"
        exit 3
        --
        key 01890a5d-ac96-8abc-8000-000000000001
        error: POST /v1/jobs was refused
          caused by: 503 owner lost: as the test asked (verdict may_have_run, of this request alone not_run, retry after 40 ms)
          hint: nothing took effect; submit it again under a new key
    "#]]).await;
    assert_eq!(
        exit_code(&[&unresponsive, &stub.address], with_new_key).await,
        4
    );
    let with_given_key = format!("{with_new_key} --key {KEY}");
    assert_eq!(exit_code(&[&stub.address], &with_given_key).await, 4);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn job_and_cancel_encode_the_key_in_the_path() {
    let stub = ApiStub::start().await;
    let key = "1764691200000-a/b?c%20";
    for line in [format!("job {key} --wait-ms 5"), format!("cancel {key}")] {
        let output = run(&[&stub.address], &line).await;
        let job: JobResponse = serde_json::from_slice(&output.stdout).expect("a job in JSON");
        assert_eq!(job.key, key);
    }
    let expected = "DELETE /v1/jobs/1764691200000-a%2Fb%3Fc%2520";
    assert_eq!(stub.state.lock().unwrap().write_requests, [expected]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_goes_to_the_given_instance_and_waits() {
    let (named, other) = (ApiStub::start().await, ApiStub::start().await);
    let line = format!("drain {} --wait", named.address);
    let output = run(&[&other.address], &line).await;
    expect![[r#"
        exit 0
        ENTRY is leaving
        ENTRY has gone
        --
    "#]]
    .assert_eq(&render(&output, &named));
    assert!(other.state.lock().unwrap().write_requests.is_empty());
    assert_eq!(exit_code(&[&other.address], &line).await, 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_silent_instance_is_never_reported_as_having_the_revision() {
    let stub = ApiStub::start().await;
    let seen = vec![
        instance_status("a", Serving, 9, 0),
        instance_status("b", Silent, 1, 900),
    ];
    stub.set(|state| state.status = Some(status_response("a", 9, seen)));
    check(
        &stub,
        "status",
        expect![[r#"
        exit 0
        INSTANCE  START  FAILURE DOMAIN  STATE    REVISION  HEARD MS AGO
        a         1      portmore        serving  9         0
        b         1      portmore        silent   1         900
        --
    "#]],
    )
    .await;
    let line = "apply -f examples/haugland/teams.json --wait --timeout-ms 1";
    check(&stub, line, expect![[r#"
        exit 6
        team/grocers created revision 2
        team/importers created revision 3
        team/registry created revision 4
        --
        revision 4 in force at 1 of 2 instances
        error: after 1 ms revision 4 is in force at 1 of 2 instances; missing: b (unknown: silent for 900 ms, last at 1)
          hint: check again with `trefoilctl status`
    "#]]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn examples_are_valid() {
    use trefoil_schema::api::JobRequest;
    use trefoilbay::ops::declare;
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("examples");
    for deployment in ["blue-mahoe", "haugland"] {
        let paths = [
            root.join(deployment),
            root.join(deployment).join("backend-servers"),
        ];
        let resources = declare::load(&paths).expect("valid resources");
        assert!(resources.len() >= 10);
        let jobs = std::fs::read_dir(root.join(deployment).join("jobs")).expect("jobs");
        for job in jobs {
            let job: JobRequest =
                declare::read_json(&job.expect("an entry").path()).expect("valid");
            assert!(
                resources
                    .iter()
                    .any(|resource| resource.name == job.service)
            );
            assert!(resources.iter().any(|resource| resource.name == job.team));
        }
    }
}
