//! Limit on the memory of submissions' bodies.

use trefoilbay::http::body_budget::{BodyBudget, Evicted};

#[test]
fn the_oldest_incomplete_body_makes_room_for_others() {
    let budget = BodyBudget::new(100);
    let (mut first, mut second, mut third) = (budget.receive(), budget.receive(), budget.receive());
    first.grow(40).unwrap();
    second.grow(40).unwrap();
    third.grow(40).unwrap();
    assert_eq!(budget.used_bytes(), 80);
    assert_eq!(first.grow(1), Err(Evicted));
    assert!(first.finish(vec![0; 40]).is_err());
    let complete = second.finish(vec![1; 40]).unwrap();
    // A complete body is kept.
    assert_eq!(third.grow(40), Err(Evicted));
    assert_eq!(budget.used_bytes(), 40);
    drop(complete);
    assert_eq!(budget.used_bytes(), 0);
}

#[test]
fn memory_is_released_with_the_last_slice_of_a_body() {
    let budget = BodyBudget::new(100);
    let mut receiving = budget.receive();
    receiving.grow(64).unwrap();
    let body = receiving.finish(b"payload".to_vec()).unwrap();
    let slice = body.slice(..3);
    drop(body);
    assert_eq!((&slice[..], budget.used_bytes()), (&b"pay"[..], 64));
    drop(slice);
    assert_eq!(budget.used_bytes(), 0);
}

#[test]
fn a_body_larger_than_the_budget_is_received_alone() {
    let budget = BodyBudget::new(100);
    let mut large = budget.receive();
    large.grow(150).unwrap();
    large.grow(150).unwrap();
    let mut small = budget.receive();
    small.grow(1).unwrap();
    assert_eq!(large.grow(1), Err(Evicted));
    drop(small);
    assert_eq!(budget.used_bytes(), 0);
}

#[test]
fn a_body_that_is_dropped_unfinished_releases_its_memory() {
    let budget = BodyBudget::new(100);
    let mut receiving = budget.receive();
    receiving.grow(64).unwrap();
    drop(receiving);
    assert_eq!(budget.used_bytes(), 0);
}
