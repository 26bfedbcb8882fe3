//! The operations of `trefoilctl` against the operator API and a fake of the platform's
//! store, in one process.

use std::path::Path;

use trefoil_fakes::platform::faults::FaultUpdate;
use trefoil_schema::resources::Kind;
use trefoilbay::ops::apply::{self, Change, Step};
use trefoilbay::ops::client::{Client, ClientSettings};
use trefoilbay::ops::error::ExitStatus;
use trefoilbay::ops::{declare, resources, rollout};

use crate::support::api_stub::ApiStub;

const WAIT_MS: u64 = 10_000;

fn client(stub: &ApiStub) -> Client {
    let settings = ClientSettings {
        entries: vec![stub.address.clone()],
        ..ClientSettings::default()
    };
    Client::new(settings).expect("valid entries")
}

async fn plan(client: &Client, text: &str) -> Vec<Step> {
    let resources = declare::parse_resources(text).expect("valid");
    apply::plan(client, resources).await.expect("planned")
}

fn changes(steps: &[Step]) -> Vec<Change> {
    steps.iter().map(|step| step.change).collect()
}

async fn apply_all(client: &Client, steps: &[Step]) -> u64 {
    let mut revision = 0;
    for step in steps {
        let applied = apply::apply(client, step, false).await.expect("applied");
        revision = revision.max(applied.revision);
    }
    revision
}

const TEAM_100: &str = r#"{"kind":"team","name":"families","spec":{"weight":100}}"#;
const TEAM_200: &str = r#"{"kind":"team","name":"families","spec":{"weight":200}}"#;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn applied_resources_come_into_force_and_are_then_unchanged() {
    let stub = ApiStub::start().await;
    let client = &client(&stub);
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/blue-mahoe");
    let paths = [root.join("backend-servers"), root];
    let declared = declare::load(&paths).expect("valid");
    let steps = apply::plan(client, declared.clone())
        .await
        .expect("planned");
    assert_eq!(changes(&steps), [Change::Create; 10]);
    let revision = apply_all(client, &steps).await;

    let deployment = rollout::wait(client, revision, WAIT_MS, |_| ()).await;
    assert_eq!(deployment.expect("in force").counts(revision), (1, 1));
    let steps = apply::plan(client, declared).await.expect("planned");
    assert_eq!(changes(&steps), [Change::Unchanged; 10]);
    assert_eq!(apply_all(client, &steps).await, revision);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_second_of_two_concurrent_plans_is_a_conflict() {
    let stub = ApiStub::start().await;
    let client = &client(&stub);
    apply_all(client, &plan(client, TEAM_100).await).await;
    let first = plan(client, TEAM_200).await;
    let second = plan(
        client,
        r#"{"kind":"team","name":"families","spec":{"weight":300}}"#,
    )
    .await;
    assert_eq!(changes(&second), [Change::Update]);
    apply_all(client, &first).await;

    let error = apply::apply(client, &second[0], false).await;
    let error = error.expect_err("the revision has changed");
    assert_eq!(error.exit_status(), ExitStatus::Conflict, "{error}");
    let live = resources::get(client, Kind::Team, "families")
        .await
        .expect("there");
    assert_eq!(live.spec["weight"], 200);

    let stale = resources::delete(client, Kind::Team, "families", 1).await;
    assert_eq!(
        stale.expect_err("stale").exit_status(),
        ExitStatus::Conflict
    );
    let revision = live.status.revision;
    resources::delete(client, Kind::Team, "families", revision)
        .await
        .expect("removed");
    let found = resources::find(client, Kind::Team, "families").await;
    assert!(found.expect("an answer").is_none());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn apply_fails_while_the_store_is_unreachable_even_if_nothing_changed() {
    let stub = ApiStub::start().await;
    let client = &client(&stub);
    let revision = apply_all(client, &plan(client, TEAM_100).await).await;
    rollout::wait(client, revision, WAIT_MS, |_| ())
        .await
        .expect("in force");
    stub.platform.update_faults(&FaultUpdate {
        down: Some(true),
        ..FaultUpdate::default()
    });

    let steps = plan(client, TEAM_100).await;
    assert_eq!(changes(&steps), [Change::Unchanged]);
    let error = apply::apply(client, &steps[0], false).await;
    let error = error.expect_err("the store is down");
    assert_eq!(error.refused_status(), Some(503), "{error}");
    assert_eq!(error.exit_status(), ExitStatus::NotRun);
}
