//! Order of a peer's heartbeats that arrive over several links.

use trefoil_core::dispatch::link::HeartbeatOrder;
use trefoil_schema::dispatch::Node;

fn peer(incarnation: u64) -> Node {
    Node {
        name: "b".to_owned(),
        incarnation,
        ..Node::default()
    }
}

#[test]
fn only_the_latest_heartbeat_of_a_peer_tells_its_state() {
    let mut order = HeartbeatOrder::default();
    assert!(order.observe(&peer(1), 7));
    assert!(order.observe(&peer(1), 7), "the same over another link");
    assert!(!order.observe(&peer(1), 6));
    assert!(order.observe(&peer(1), 8));
    // Each incarnation numbers its heartbeats from the beginning.
    assert!(order.observe(&peer(2), 1));
    assert!(!order.observe(&peer(1), 9));
    order.forget("b");
    assert!(order.observe(&peer(2), 1));
}

#[test]
fn heartbeats_without_a_number_are_taken_as_they_arrive() {
    let mut order = HeartbeatOrder::default();
    assert!(order.observe(&peer(1), 0));
    assert!(order.observe(&peer(1), 0));
}
