//! Limits on callers' connections and request bodies, in virtual time.

use arbtest::arbtest;
use trefoil_instance::connections::{
    BodyError, ConnectionKey, ConnectionLimits, ConnectionStats, ConnectionTable,
};

const BODY_BYTES_MAX: usize = 100_000;
const LIMITS: ConnectionLimits = ConnectionLimits {
    connections_max: 3,
    bodies_bytes_max: 250_000,
    header_bytes_max: 16_384,
    header_timeout_ms: 3000,
    idle_timeout_ms: 15_000,
};

fn open(table: &mut ConnectionTable, now_ms: u64) -> ConnectionKey {
    table.open(now_ms, &LIMITS).unwrap()
}

/// Opens a connection that is receiving a body.
fn receiving(table: &mut ConnectionTable, now_ms: u64) -> ConnectionKey {
    let key = open(table, now_ms);
    table.on_received(key, now_ms);
    table.on_handling(key, now_ms);
    table.begin_body(key, now_ms);
    key
}

fn push(
    table: &mut ConnectionTable,
    key: ConnectionKey,
    now_ms: u64,
    bytes: usize,
) -> Result<(), BodyError> {
    table.push_body(key, now_ms, &vec![0; bytes], BODY_BYTES_MAX, &LIMITS)
}

#[test]
fn the_connection_that_waits_longest_makes_room_for_a_new_one() {
    let mut table = ConnectionTable::default();
    let handling = open(&mut table, 0);
    table.on_handling(handling, 0);
    let (old, new) = (open(&mut table, 1), open(&mut table, 2));
    let newest = open(&mut table, 3);
    assert_eq!(table.len(), 3);
    // Of the connections that are still open, `old` is none.
    table.close(old);
    assert_eq!(table.len(), 3);
    for key in [handling, new, newest] {
        table.on_handling(key, 4);
    }
    assert_eq!(table.open(5, &LIMITS), None);
    let stats = ConnectionStats {
        evicted: 1,
        refused: 1,
        ..ConnectionStats::default()
    };
    assert_eq!(table.stats(), stats);
    table.on_handled(new, 6);
    assert!(table.open(7, &LIMITS).is_some());
}

#[test]
fn the_oldest_body_makes_room_for_others() {
    let mut table = ConnectionTable::default();
    let (first, second) = (receiving(&mut table, 0), receiving(&mut table, 1));
    push(&mut table, first, 2, BODY_BYTES_MAX).unwrap();
    push(&mut table, second, 2, BODY_BYTES_MAX).unwrap();
    let third = receiving(&mut table, 3);
    push(&mut table, third, 4, BODY_BYTES_MAX).unwrap();
    assert_eq!(table.body_error(first), Some(BodyError::Evicted));
    assert_eq!(table.finish_body(first, 5), Err(BodyError::Evicted));
    assert_eq!(push(&mut table, first, 5, 1), Err(BodyError::Evicted));
    assert_eq!(
        table.finish_body(second, 5).map(|body| body.len()),
        Ok(BODY_BYTES_MAX)
    );
    assert_eq!(
        table.finish_body(third, 5).map(|body| body.len()),
        Ok(BODY_BYTES_MAX)
    );
    assert_eq!(table.bodies_bytes(), 0);
    assert_eq!(table.stats().bodies_evicted, 1);
}

#[test]
fn a_body_of_the_maximum_size_is_received_in_parts_of_any_size() {
    let mut table = ConnectionTable::default();
    let key = receiving(&mut table, 0);
    for now_ms in 0..BODY_BYTES_MAX as u64 / 10 {
        push(&mut table, key, now_ms, 10).unwrap();
    }
    assert_eq!(push(&mut table, key, 10_000, 1), Err(BodyError::TooLarge));
    assert_eq!(
        table.finish_body(key, 10_000).map(|body| body.len()),
        Ok(BODY_BYTES_MAX)
    );
}

#[test]
fn what_takes_too_long_is_closed() {
    let mut table = ConnectionTable::default();
    let (idle, head, body) = (
        open(&mut table, 0),
        open(&mut table, 0),
        receiving(&mut table, 0),
    );
    table.on_received(head, 1000);
    table.expire(4000, &LIMITS);
    assert_eq!(table.len(), 3);
    table.expire(4001, &LIMITS);
    assert_eq!(table.len(), 2, "the head has not arrived");
    push(&mut table, body, 10_000, 1).unwrap();
    table.expire(15_001, &LIMITS);
    assert_eq!(table.len(), 1, "no request has come");
    table.close(idle);
    assert_eq!(table.body_error(body), None);
    table.expire(25_001, &LIMITS);
    assert_eq!(table.body_error(body), Some(BodyError::TimedOut));
    let stats = table.stats();
    assert_eq!((stats.timed_out, stats.bodies_timed_out), (2, 1));
}

#[test]
fn a_body_that_never_ends_is_given_up() {
    let mut table = ConnectionTable::default();
    let key = receiving(&mut table, 0);
    for now_ms in (0..30_000).step_by(1000) {
        push(&mut table, key, now_ms, 1).unwrap();
        table.expire(now_ms, &LIMITS);
    }
    assert_eq!(table.body_error(key), None);
    table.expire(30_001, &LIMITS);
    assert_eq!(table.body_error(key), Some(BodyError::TimedOut));
}

#[test]
fn a_request_that_is_handled_may_take_any_time() {
    let mut table = ConnectionTable::default();
    let key = open(&mut table, 0);
    table.on_received(key, 0);
    table.on_handling(key, 0);
    table.expire(1_000_000, &LIMITS);
    assert_eq!(table.len(), 1);
    table.on_handled(key, 1_000_000);
    table.expire(1_015_000, &LIMITS);
    assert_eq!(table.len(), 1);
    table.expire(1_015_001, &LIMITS);
    assert_eq!(table.len(), 0);
}

/// Any order of events keeps to the limits, and leaves nothing behind.
#[test]
fn limits_hold_in_any_order_of_events() {
    arbtest(|choices| {
        let mut table = ConnectionTable::default();
        let mut keys = Vec::new();
        for now_ms in 0..200 {
            if keys.is_empty() || choices.ratio(1, 4)? {
                keys.extend(table.open(now_ms, &LIMITS));
                continue;
            }
            let key = *choices.choose(&keys)?;
            match choices.int_in_range(0..=6)? {
                0 => table.on_received(key, now_ms),
                1 => table.on_handling(key, now_ms),
                2 => drop(table.begin_body(key, now_ms)),
                3 => {
                    let bytes = choices.int_in_range(0..=BODY_BYTES_MAX)?;
                    let _ = push(&mut table, key, now_ms, bytes);
                }
                4 => {
                    let _ = table.finish_body(key, now_ms);
                }
                5 => table.on_handled(key, now_ms),
                _ => table.expire(now_ms * 100, &LIMITS),
            }
            assert!(table.len() <= LIMITS.connections_max);
            assert!(table.bodies_bytes() <= LIMITS.bodies_bytes_max);
        }
        keys.into_iter().for_each(|key| table.close(key));
        assert!(table.is_empty());
        assert_eq!(table.bodies_bytes(), 0);
        Ok(())
    });
}
