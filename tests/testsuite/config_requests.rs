//! Requests for changes of the configuration to peers.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::sleep;
use trefoil_schema::peer::ConfigChanges;

use crate::operator::Instance;

/// Number of peers that announce a change within one period of heartbeats.
const PEERS: usize = 8;
/// Longer than a peer may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(350);

/// Each peer would send everything that is missing, which for an instance that has just
/// started is the whole configuration.
#[tokio::test]
async fn changes_are_requested_from_one_peer_at_a_time() {
    let unreachable = SocketAddr::from(([127, 0, 0, 1], 9));
    let config = Instance::start("a", unreachable).config;
    let announce = || {
        (0..PEERS)
            .filter_map(|_| config.request_if_behind(5))
            .count()
    };
    assert_eq!(announce(), 1, "requests of one round of heartbeats");
    sleep(ANSWER_TIMEOUT).await;
    assert_eq!(announce(), 1, "requests after a peer did not answer");
    // An answer that does not bring it up to date allows the next request.
    config.apply_from_peer(&ConfigChanges::default());
    assert_eq!(announce(), 1, "requests after an answer");
}
