//! Workers that the registry lists, lists no more, and lists again.

mod dispatch_support;

use dispatch_support::orders::{LINK, answer_hold, delegate, fenced_owner, held};
use dispatch_support::{holder, holds, job, owner_after, record, starts};
use trefoil_core::dispatch::limits::{DELEGATED_GAP_MS, REGISTRY_GAP_MS};

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
    owner.delegate(2, LINK, spec, DELEGATED_GAP_MS, Some(&before), &mut out);
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
    let gone_ms = 5 + REGISTRY_GAP_MS;
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
    owner.roster_sent(owner.roster());
    let mut out = Vec::new();
    owner.set_workers(5, vec![record("w1"), record("w2")], &mut out);
    answer_hold(&mut owner, 6, &holds(&out)[0], held(vec![], vec![]));
    let started = starts(&delegate(&mut owner, 10, "a", 4));
    assert_eq!(started.len(), 2, "w1 has room for two");
    assert!(started.iter().all(|start| &*start.target.worker_id == "w1"));
    let roster = owner.roster();
    owner.roster_sent(roster.clone());
    assert!(starts(&delegate(&mut owner, 20, "b", 1)).is_empty());
    let mut out = Vec::new();
    owner.roster_stored(30, roster, &mut out);
    assert_eq!(starts(&out).len(), 2);
}
