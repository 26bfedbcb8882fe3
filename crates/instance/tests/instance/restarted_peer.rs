//! Links to several incarnations of one peer: only the latest is used.

use std::time::Duration;

use tokio::time::timeout;

use crate::support::link::Link;
use crate::support::{FakePlatform, run, start_instance};

#[test]
fn links_of_earlier_incarnations_are_closed() {
    run(async {
        let (_instance, address) = start_instance(FakePlatform::default()).await;

        // Without ticks, no link is closed for its silence.
        let mut first = Link::open(address, 1).await;
        first.read_heartbeat().await;
        let mut second = Link::open(address, 2).await;
        second.read_heartbeat().await;
        first.heartbeats_until_closed().await;
        let mut late = Link::open(address, 1).await;
        assert_eq!(late.heartbeats_until_closed().await, 0);
        // A second link of the latest incarnation closes no other.
        let mut third = Link::open(address, 2).await;
        third.read_heartbeat().await;
        assert!(
            timeout(Duration::from_millis(50), second.next())
                .await
                .is_err(),
            "the link is open and silent"
        );
    });
}
