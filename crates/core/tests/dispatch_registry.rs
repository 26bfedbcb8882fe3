//! Workers that the registry lists, lists no more, and lists again.

mod dispatch_support;

use dispatch_support::orders::{
    LINK, answer_hold, answer_start, delegate, done, ended, fenced_owner, held,
};
use dispatch_support::{holder, holds, job, owner_after, record, starts};
use trefoil_core::dispatch::limits::{REDELEGATION_DELAY_MS, UNLISTED_GRACE_MS};
use trefoil_core::dispatch::order::OrderOutcome;

#[test]
fn a_new_owner_with_a_part_of_the_registry_waits_for_the_gap() {
    // Seen on haugland-reg trouble-2: after a zone cut the registry had lost
    // workers that ran on, and a task started twice.
    let mut owner = owner_after(2, &["w1", "w2"]);
    let mut out = Vec::new();
    owner.set_workers(0, vec![record("w1")], &mut out);
    let hold = &holds(&out)[0];
    answer_hold(&mut owner, 1, hold, held(vec![], vec![]));
    let mut out = Vec::new();
    let spec = job("a", 1, 100);
    let before = holder(1);
    owner.delegate(
        2,
        LINK,
        spec,
        REDELEGATION_DELAY_MS,
        Some(&before),
        &mut out,
    );
    assert!(starts(&out).is_empty(), "w2 may still run the task");
    owner.set_workers(3, vec![record("w1"), record("w2")], &mut out);
    let hold = &holds(&out)[0];
    let out = answer_hold(&mut owner, 4, hold, held(vec![], vec![]));
    assert_eq!(starts(&out).len(), 1);
}

#[test]
fn a_draining_worker_gets_nothing_new() {
    let mut owner = fenced_owner(1, &["w1"]);
    let mut leaving = record("w1");
    leaving.draining = true;
    let mut out = Vec::new();
    owner.set_workers(5, vec![leaving], &mut out);
    assert!(starts(&delegate(&mut owner, 10, "a", 1)).is_empty());
}

#[test]
fn a_worker_whose_entry_lapsed_with_the_store_goes_on_until_it_should_be_back() {
    // Seen on mahoe-pay-grown, mix 961380225612: after each outage of the
    // store most workers were left alone until they had registered again.
    let mut owner = fenced_owner(1, &["w1"]);
    let mut out = Vec::new();
    owner.set_workers(5, vec![], &mut out);
    assert!(owner.load(6).serving);
    assert_eq!(starts(&delegate(&mut owner, 10, "a", 1)).len(), 1);
    let gone_ms = 5 + UNLISTED_GRACE_MS;
    assert!(!owner.load(gone_ms).serving);
    assert!(starts(&delegate(&mut owner, gone_ms, "b", 1)).is_empty());
    owner.set_workers(gone_ms + 5, vec![record("w1")], &mut out);
    assert_eq!(starts(&out).len(), 1);
}

#[test]
fn a_worker_that_was_draining_when_its_entry_went_gets_nothing_new() {
    let mut owner = fenced_owner(1, &["w1"]);
    let mut leaving = record("w1");
    leaving.draining = true;
    let mut out = Vec::new();
    owner.set_workers(5, vec![leaving], &mut out);
    owner.set_workers(6, vec![], &mut out);
    assert!(starts(&delegate(&mut owner, 10, "a", 1)).is_empty());
}

#[test]
fn a_worker_that_no_stored_roster_names_gets_nothing() {
    // A successor would not know that it has to fence it.
    let mut owner = fenced_owner(1, &["w1"]);
    owner.on_roster_sent(owner.roster());
    let mut out = Vec::new();
    owner.set_workers(5, vec![record("w1"), record("w2")], &mut out);
    answer_hold(&mut owner, 6, &holds(&out)[0], held(vec![], vec![]));
    let started = starts(&delegate(&mut owner, 10, "a", 4));
    assert_eq!(started.len(), 2, "w1 has room for two");
    assert!(started.iter().all(|start| &*start.target.worker_id == "w1"));
    let roster = owner.roster();
    owner.on_roster_sent(roster.clone());
    assert!(starts(&delegate(&mut owner, 20, "b", 1)).is_empty());
    let mut out = Vec::new();
    owner.on_roster_stored(30, roster, &mut out);
    assert_eq!(starts(&out).len(), 2);
}

#[test]
fn a_worker_that_comes_back_to_the_registry_is_held_under_its_last_fence() {
    // Workers that are cut from the registry for four seconds leave the table and
    // come back: under a fence that it has seen outranked, the worker says so, and
    // that was taken for another owner's claim on the whole pool.
    let mut owner = fenced_owner(1, &["w1"]);
    let started = starts(&delegate(&mut owner, 10, "a", 1));
    let out = answer_start(&mut owner, 35, &started[0], OrderOutcome::NoAnswer);
    let raised = holds(&out)[0].clone();
    assert!(raised.target.fence > started[0].target.fence);
    let out = answer_hold(&mut owner, 37, &raised, held(vec![], vec![]));
    let again = starts(&out)[0].clone();
    let out = answer_start(
        &mut owner,
        40,
        &again,
        OrderOutcome::Done { clock_ms: 50_040 },
    );
    let ends = vec![done(1, &again)];
    let out = answer_hold(&mut owner, 150, &holds(&out)[0], held(vec![], ends));
    assert!(!ended(&out).is_empty());
    owner.set_workers(200, vec![], &mut Vec::new());
    let mut out = Vec::new();
    owner.tick(300, &mut out);
    answer_hold(&mut owner, 302, &holds(&out)[0], held(vec![], vec![]));
    owner.tick(201 + UNLISTED_GRACE_MS, &mut Vec::new());
    assert_eq!(owner.stats().workers, 0, "it has left the table");
    let mut out = Vec::new();
    owner.set_workers(5000, vec![record("w1")], &mut out);
    assert!(holds(&out)[0].target.fence >= raised.target.fence);
}
