//! `trefoilctl apply --wait` and `status`: the state reported for each instance.

use expect_test::expect;
use tokio::net::TcpListener;
use trefoil_schema::api::InstanceStateName::{Gone, Leaving, Serving, Silent};
use trefoilbay::ops::client::{Client, ClientSettings};
use trefoilbay::ops::error::{ExitStatus, OpsError};
use trefoilbay::ops::rollout::{self, DeploymentStatus, InForce};

use crate::support::api_stub::{ApiStub, ClosedAddress, instance_status, status_response};

fn client(stubs: &[&ApiStub]) -> Client {
    client_of(stubs.iter().map(|stub| stub.address.clone()).collect())
}

fn client_of(entries: Vec<String>) -> Client {
    Client::new(ClientSettings {
        entries,
        ..ClientSettings::default()
    })
    .expect("valid entries")
}

#[test]
fn a_silent_instance_is_unknown_until_a_newer_status() {
    let mut deployment = DeploymentStatus::default();
    let seen = vec![
        instance_status("a", Serving, 7, 0),
        instance_status("b", Silent, 6, 900),
        instance_status("c", Gone, 5, 9000),
    ];
    deployment.add(status_response("a", 7, seen));
    assert_eq!(
        deployment.in_force(&deployment.instances["b"], 7),
        InForce::Unknown
    );
    assert_eq!(
        deployment.in_force(&deployment.instances["b"], 6),
        InForce::Yes
    );
    assert!(!deployment.is_complete(7));
    assert_eq!(deployment.counts(7), (1, 2));

    deployment.add(status_response(
        "b",
        7,
        vec![instance_status("b", Leaving, 7, 0)],
    ));
    assert!(deployment.is_complete(7));
}

#[test]
fn a_restarted_instance_counts_by_its_newest_incarnation() {
    let mut deployment = DeploymentStatus::default();
    let mut restarted = instance_status("b", Serving, 0, 50);
    restarted.incarnation = 2;
    deployment.add(status_response("b", 0, vec![restarted]));
    deployment.add(status_response(
        "a",
        7,
        vec![
            instance_status("a", Serving, 7, 0),
            instance_status("b", Serving, 7, 10),
        ],
    ));
    assert_eq!(
        deployment.in_force(&deployment.instances["b"], 7),
        InForce::NotYet
    );
}

#[test]
fn a_deployment_without_known_instances_is_not_complete() {
    assert!(!DeploymentStatus::default().is_complete(0));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn wait_timeout_names_the_instances_that_lack_the_revision() {
    let stub = ApiStub::start().await;
    let seen = vec![
        instance_status("a", Serving, 7, 0),
        instance_status("b", Silent, 6, 900),
        instance_status("c", Serving, 6, 5),
    ];
    stub.set(|state| state.status = Some(status_response("a", 7, seen)));
    let error = rollout::wait(&client(&[&stub]), 7, 1, |_| ())
        .await
        .expect_err("not complete");
    assert_eq!(error.exit_status(), ExitStatus::TimedOut);
    expect!["after 1 ms revision 7 is in force at 1 of 3 instances; missing: b (unknown: silent for 900 ms, last at 6), c (at 6)"].assert_eq(&error.to_string());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn wait_ends_once_all_instances_have_the_revision() {
    let (a, b) = (ApiStub::start().await, ApiStub::start().await);
    a.set(|state| {
        let seen = vec![
            instance_status("a", Serving, 7, 0),
            instance_status("b", Silent, 6, 900),
        ];
        state.status = Some(status_response("a", 7, seen));
    });
    b.set(|state| {
        state.status = Some(status_response(
            "b",
            6,
            vec![instance_status("b", Serving, 6, 0)],
        ))
    });
    let both = client(&[&a, &b]);
    let mut polls = 0;
    let waited = rollout::wait(&both, 7, 20_000, |deployment| {
        polls += 1;
        assert_eq!(deployment.is_complete(7), polls == 2);
        b.set(|state| {
            state.status = Some(status_response(
                "b",
                7,
                vec![instance_status("b", Serving, 7, 0)],
            ))
        });
    });
    waited.await.expect("complete at the second poll");
    assert_eq!(polls, 2);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn status_fails_if_no_entry_responds() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound").to_string();
    let client = client_of(vec![address]);
    let accept = async { drop(listener.accept().await) };
    let (error, ()) = tokio::join!(rollout::fetch_status(&client), accept);
    let error = error.expect_err("the connection was closed");
    assert!(matches!(error, OpsError::ResponseLost { .. }), "{error}");
    assert_eq!(error.exit_status(), ExitStatus::Failed);

    let closed = ClosedAddress::new();
    let client = client_of(vec![closed.address.clone()]);
    let error = rollout::fetch_status(&client)
        .await
        .expect_err("nothing listens");
    assert!(matches!(error, OpsError::Connect { .. }), "{error}");
    let error = rollout::wait(&client, 7, 1, |_| ()).await;
    let error = error.expect_err("nothing is known");
    assert_eq!(error.exit_status(), ExitStatus::TimedOut);
}
