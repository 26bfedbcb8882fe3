//! Instances receive configuration changes after a watch is interrupted, or from
//! their peers.

use std::time::Duration;

use tokio::time::timeout;
use trefoil_fakes::platform::faults::FaultUpdate;
use trefoilbay::sources::platform::etcd::CallKind;

use crate::operator::{IN_FORCE_WAIT, Instance, down, start_platform};

#[tokio::test]
async fn a_watch_resumes_after_an_interruption_without_listing_again() {
    let platform = start_platform().await;
    let (one, two) = (
        Instance::start("one", platform.address),
        Instance::start("two", platform.address),
    );
    one.put("", 1).await;
    two.run_ms_in_force(1).await;
    let range_calls = two.store.calls().of(CallKind::Range);
    platform.update_faults(&FaultUpdate {
        block_instances: Some(vec!["two".to_owned()]),
        ..FaultUpdate::default()
    });
    one.put("", 2).await;
    one.run_ms_in_force(2).await;
    assert_eq!(two.config.current().services["pay"].spec.declared_run_ms, 1);
    platform.update_faults(&FaultUpdate {
        block_instances: Some(Vec::new()),
        ..FaultUpdate::default()
    });
    two.run_ms_in_force(2).await;
    let range_calls_after = two.store.calls().of(CallKind::Range);
    assert_eq!(range_calls_after, range_calls);
}

#[tokio::test]
async fn a_new_instance_is_configured_by_a_peer_while_the_store_is_down() {
    let platform = start_platform().await;
    let one = Instance::start("one", platform.address);
    one.put("", 3).await;
    one.run_ms_in_force(3).await;
    down(&platform, true);
    let new = Instance::start("fresh", platform.address);
    new.config.set_watching(false);
    let revision = one.config.current().revision;
    let request = new.config.request_if_behind(revision).unwrap();
    let changes = one.config.changes_after(request.after_revision);
    assert_eq!(new.config.apply_from_peer(&changes), None);
    assert_eq!(new.config.current(), one.config.current());
    assert_eq!(new.config.request_if_behind(revision), None);
    assert_eq!(
        new.get("/v1/services/pay").await.body["spec"]["declared_run_ms"],
        3
    );
}

#[tokio::test]
async fn an_instance_that_does_not_watch_is_updated_by_its_peers() {
    let platform = start_platform().await;
    let one = Instance::start("one", platform.address);
    let two = Instance::start("two", platform.address);
    one.put("", 1).await;
    two.run_ms_in_force(1).await;
    two.config.set_watching(false);
    let one_watch = async {
        while platform.counters().watches_waiting != 1 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(IN_FORCE_WAIT, one_watch).await.unwrap();
    one.put("", 2).await;
    one.run_ms_in_force(2).await;
    let revision = one.config.current().revision;
    let request = two.config.request_if_behind(revision).unwrap();
    let changes = one.config.changes_after(request.after_revision);
    assert_eq!(
        (changes.from_revision, changes.changes.len()),
        (request.after_revision, 1)
    );
    two.config.apply_from_peer(&changes);
    two.run_ms_in_force(2).await;
    one.put("", 3).await;
    two.config.set_watching(true);
    two.run_ms_in_force(3).await;
}
