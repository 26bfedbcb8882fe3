//! Claims on pools: by which instance, when, and what ends an ownership.

use std::sync::Arc;

use trefoil_core::dispatch::limits::{
    CLAIM_STAGGER_MS, CLAIM_STORE_TIMEOUT_MS, OWNER_LOST_TIMEOUT_MS,
};
use trefoil_core::dispatch::ownership::{
    ClaimRecord, ClaimWriteOutcome, Command, Ownership, Roster,
};
use trefoil_schema::dispatch::{Claim, Node};

const POOL: &str = "forde/0";

fn node(name: &str, incarnation: u64, weight_millicores: u64) -> Node {
    Node {
        name: name.to_owned(),
        incarnation,
        failure_domain: "forde".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        weight_millicores,
    }
}

fn claim(owner: &Node, term: u64) -> Claim {
    Claim {
        pool: POOL.to_owned(),
        failure_domain: "forde".to_owned(),
        term,
        owner: Some(owner.clone()),
    }
}

/// The record of a claim, without a roster.
fn record(claim: Claim) -> ClaimRecord {
    ClaimRecord {
        claim,
        roster: None,
    }
}

fn acquired(claim: &Claim) -> Command {
    Command::Acquired {
        claim: claim.clone(),
        predecessor: None,
    }
}

/// An instance that has read from the store one pool and the other instances.
fn instance(me: &Node, others: &[Node]) -> Ownership {
    let mut ownership = Ownership::new(0, me.clone());
    ownership.set_pool_count("forde", 1);
    ownership.set_listed_instances(0, others.to_vec());
    ownership
}

fn tick(ownership: &mut Ownership, now_ms: u64) -> Vec<Command> {
    let mut out = Vec::new();
    ownership.tick(now_ms, &mut out);
    out
}

/// The first time, in steps of 10 ms, at which a claim is written.
fn claims_at(ownership: &mut Ownership, from_ms: u64, until_ms: u64) -> Option<u64> {
    let mut instants = (from_ms..until_ms).step_by(10);
    instants.find(|&now_ms| !tick(ownership, now_ms).is_empty())
}

#[test]
fn vacant_pool_is_owned_once_the_store_holds_the_claim() {
    let me = node("a", 1, 250);
    let mut ownership = instance(&me, &[]);
    let out = tick(&mut ownership, 10);
    let Command::WriteClaim { record, revision } = &out[0] else {
        panic!("{out:?}");
    };
    assert_eq!((record.claim.term, *revision), (1, 0));
    let mut out = Vec::new();
    let written = ClaimWriteOutcome::Written { revision: 7 };
    ownership.on_claim_written(20, record, &written, &mut out);
    assert_eq!(out, [acquired(&record.claim)]);
    assert!(ownership.owns_any());
}

#[test]
fn strongest_candidate_comes_first_and_then_the_most_recently_started() {
    let (old, young) = (node("a", 1, 250), node("b", 2, 250));
    let strong = node("c", 0, 500);
    let mut first = instance(&young, std::slice::from_ref(&old));
    first.on_link_up(0, &old);
    assert_eq!(claims_at(&mut first, 0, 1000), Some(0));
    let mut second = instance(&old, &[young.clone(), strong.clone()]);
    second.on_link_up(0, &young);
    second.on_link_up(0, &strong);
    assert_eq!(claims_at(&mut second, 0, 1000), Some(2 * CLAIM_STAGGER_MS));
}

#[test]
fn pool_is_claimed_after_a_timeout_when_the_owners_link_breaks() {
    let (me, owner) = (node("a", 1, 250), node("b", 2, 250));
    let mut ownership = instance(&me, std::slice::from_ref(&owner));
    ownership.on_link_up(0, &owner);
    ownership.learn_stored_claim(0, record(claim(&owner, 1)), 5, &mut Vec::new());
    assert_eq!(claims_at(&mut ownership, 0, 2000), None);
    ownership.on_link_down(2000, "b");
    let at_ms = claims_at(&mut ownership, 2000, 4000);
    assert_eq!(at_ms, Some(2000 + OWNER_LOST_TIMEOUT_MS));
}

#[test]
fn owner_that_was_never_linked_gets_time_to_be_dialed() {
    // Guards against an instance that starts during an outage of the store and takes the
    // pool from an owner that it does not know.
    let (me, owner) = (node("a", 1, 250), node("b", 2, 250));
    let mut ownership = instance(&me, &[]);
    let started_ms = 5000;
    ownership.set_listed_instances(started_ms, vec![]);
    ownership.learn_stored_claim(started_ms, record(claim(&owner, 1)), 5, &mut Vec::new());
    assert_eq!(
        claims_at(&mut ownership, started_ms, started_ms + 600),
        None
    );
    assert!(
        ownership.peers().any(|peer| peer.name == "b"),
        "it is dialed"
    );
    ownership.on_link_up(started_ms + 600, &owner);
    assert_eq!(claims_at(&mut ownership, started_ms + 600, 9000), None);
}

#[test]
fn dial_timeout_of_a_long_known_owner_starts_with_its_claim() {
    // In a large deployment an owner may be listed long before its first claim, and it is
    // dialed only after that.
    let (me, owner) = (node("a", 1, 250), node("b", 2, 250));
    let mut ownership = instance(&me, std::slice::from_ref(&owner));
    let claimed_ms = 8000;
    let stored = record(claim(&owner, 1));
    ownership.learn_stored_claim(claimed_ms, stored, 5, &mut Vec::new());
    assert_eq!(
        claims_at(&mut ownership, claimed_ms, claimed_ms + 600),
        None
    );
    assert!(claims_at(&mut ownership, claimed_ms + 600, 12_000).is_some());
}

#[test]
fn graceful_close_of_a_link_is_not_taken_for_a_loss_of_the_owner() {
    let (me, owner) = (node("a", 1, 250), node("b", 2, 250));
    let mut ownership = instance(&me, std::slice::from_ref(&owner));
    ownership.on_link_up(0, &owner);
    ownership.on_link_closed(5000, "b");
    ownership.learn_stored_claim(6000, record(claim(&owner, 1)), 5, &mut Vec::new());
    assert_eq!(claims_at(&mut ownership, 6000, 6600), None);
}

#[test]
fn pool_of_a_restarted_owner_is_claimed_at_once() {
    let (me, owner) = (node("a", 1, 250), node("b", 2, 250));
    let mut ownership = instance(&me, std::slice::from_ref(&owner));
    ownership.learn_stored_claim(0, record(claim(&owner, 1)), 5, &mut Vec::new());
    ownership.set_listed_instances(100, vec![node("b", 3, 250)]);
    assert_eq!(claims_at(&mut ownership, 100, 2000), Some(100));
}

#[test]
fn pool_of_a_leaving_owner_is_claimed_at_once() {
    let (me, owner) = (node("a", 1, 250), node("b", 2, 250));
    let mut ownership = instance(&me, std::slice::from_ref(&owner));
    ownership.on_link_up(0, &owner);
    ownership.learn_stored_claim(0, record(claim(&owner, 1)), 5, &mut Vec::new());
    ownership.set_peer_leaving("b", true);
    assert_eq!(claims_at(&mut ownership, 10, 2000), Some(10));
}

#[test]
fn without_the_store_only_an_instance_that_reaches_a_majority_claims() {
    let me = node("a", 1, 250);
    let others = [node("b", 0, 250), node("c", 0, 250)];
    for (linked, claims) in [(2, true), (0, false)] {
        let mut ownership = instance(&me, &others);
        for other in &others[..linked] {
            ownership.on_link_up(0, other);
        }
        let out = tick(&mut ownership, 2000);
        let Command::WriteClaim { record, .. } = &out[0] else {
            panic!("{out:?}");
        };
        let record = record.clone();
        let mut out = Vec::new();
        ownership.on_claim_written(2100, &record, &ClaimWriteOutcome::NoAnswer, &mut out);
        out.extend(tick(&mut ownership, 2000 + CLAIM_STORE_TIMEOUT_MS));
        assert_eq!(out.contains(&acquired(&record.claim)), claims);
    }
}

#[test]
fn higher_claim_ends_ownership() {
    let (me, other) = (node("a", 1, 250), node("b", 2, 250));
    let mut ownership = instance(&me, std::slice::from_ref(&other));
    let out = tick(&mut ownership, 2000);
    let Command::WriteClaim { record: own, .. } = &out[0] else {
        panic!("{out:?}");
    };
    let written = ClaimWriteOutcome::Written { revision: 7 };
    ownership.on_claim_written(2010, own, &written, &mut Vec::new());
    let mut out = Vec::new();
    ownership.learn_claim(2020, claim(&other, 2), false, &mut out);
    assert_eq!(out[0], Command::Released(POOL.to_owned()));
    assert!(!ownership.owns_any());
}

fn roster(ids: &[&str]) -> Roster {
    ids.iter().map(|&id| Arc::from(id)).collect()
}

/// An instance that owns the pool, and its stored record.
fn owning(me: &Node) -> (Ownership, ClaimRecord) {
    let mut ownership = instance(me, &[]);
    let out = tick(&mut ownership, 10);
    let Command::WriteClaim { record, .. } = &out[0] else {
        panic!("{out:?}");
    };
    let written = ClaimWriteOutcome::Written { revision: 7 };
    ownership.on_claim_written(20, record, &written, &mut Vec::new());
    (ownership, record.clone())
}

/// The record that is written, and the roster that limits the owner from then on.
fn written(commands: &[Command]) -> Option<(ClaimRecord, Option<Roster>)> {
    let record = commands.iter().find_map(|command| match command {
        Command::WriteClaim { record, .. } => Some(record.clone()),
        _ => None,
    });
    let sent = commands.iter().find_map(|command| match command {
        Command::RosterSent { roster, .. } => Some(roster.clone()),
        _ => None,
    });
    record.map(|record| (record, sent))
}

#[test]
fn roster_is_stored_before_its_new_workers_are_used() {
    let (mut ownership, claimed) = owning(&node("a", 1, 250));
    assert_eq!(claimed.roster, None, "it may still use any worker");
    let first = roster(&["w1", "w2"]);
    ownership.set_roster(POOL, first.clone());
    let (record, sent) = written(&tick(&mut ownership, 50)).expect("it is written");
    assert_eq!(
        (&record.roster, &sent),
        (&Some(first.clone()), &Some(first))
    );
    assert_eq!(written(&tick(&mut ownership, 300)), None, "one at a time");
    let stored = ClaimWriteOutcome::Written { revision: 8 };
    let mut out = Vec::new();
    ownership.on_claim_written(310, &record, &stored, &mut out);
    let roster_stored = |roster: Option<Roster>| Command::RosterStored {
        pool: POOL.to_owned(),
        roster: roster.unwrap(),
    };
    assert_eq!(out, [roster_stored(record.roster)]);
    assert_eq!(written(&tick(&mut ownership, 9000)), None);
}

#[test]
fn roster_whose_write_was_not_answered_is_written_again_or_read() {
    let (mut ownership, _) = owning(&node("a", 1, 250));
    ownership.set_roster(POOL, roster(&["w1"]));
    let (record, _) = written(&tick(&mut ownership, 50)).unwrap();
    ownership.on_claim_written(150, &record, &ClaimWriteOutcome::NoAnswer, &mut Vec::new());
    let (again, _) = written(&tick(&mut ownership, 200)).unwrap();
    assert_eq!(again, record);
    // The first write took effect after all, so the second conflicts.
    ownership.on_claim_written(210, &again, &ClaimWriteOutcome::Conflict, &mut Vec::new());
    let mut out = Vec::new();
    ownership.learn_stored_claim(220, record, 8, &mut out);
    assert!(matches!(out[0], Command::RosterStored { .. }));
    assert_eq!(written(&tick(&mut ownership, 9000)), None);
}

#[test]
fn successor_knows_only_the_roster_that_its_claim_replaced() {
    let (me, other) = (node("a", 1, 250), node("b", 2, 250));
    let used = roster(&["w1"]);
    let of_other = ClaimRecord {
        roster: Some(used.clone()),
        ..record(claim(&other, 4))
    };
    for by_store in [true, false] {
        let mut ownership = instance(&me, &[node("c", 0, 250)]);
        ownership.on_link_up(0, &node("c", 0, 250));
        ownership.learn_stored_claim(0, of_other.clone(), 5, &mut Vec::new());
        let out = tick(&mut ownership, 2000);
        let (own, _) = written(&out).expect("the owner was never linked");
        let answer = match by_store {
            true => ClaimWriteOutcome::Written { revision: 6 },
            false => ClaimWriteOutcome::NoAnswer,
        };
        let mut out = Vec::new();
        ownership.on_claim_written(2100, &own, &answer, &mut out);
        ownership.tick(2100 + CLAIM_STORE_TIMEOUT_MS, &mut out);
        let Command::Acquired { predecessor, .. } = &out[0] else {
            panic!("{out:?}");
        };
        let roster = predecessor.as_ref().map(|known| known.roster.clone());
        assert_eq!(roster, by_store.then(|| used.clone()));
    }
}

#[test]
fn claim_whose_write_was_not_answered_takes_effect_when_it_is_read() {
    // Otherwise the term would rise with each lost answer.
    let me = node("a", 1, 250);
    let mut ownership = instance(&me, &[node("b", 0, 250)]);
    let out = tick(&mut ownership, 2000);
    let Command::WriteClaim { record, .. } = &out[0] else {
        panic!("{out:?}");
    };
    let mut out = Vec::new();
    ownership.on_claim_written(2010, record, &ClaimWriteOutcome::NoAnswer, &mut out);
    assert!(tick(&mut ownership, 2020).is_empty(), "it reaches no peer");
    ownership.learn_stored_claim(2030, record.clone(), 9, &mut out);
    assert!(out.contains(&acquired(&record.claim)));
    // After it was superseded, the same claim does not restore the ownership.
    ownership.on_superseded(2040, POOL, &mut Vec::new());
    let mut out = Vec::new();
    ownership.learn_stored_claim(2050, record.clone(), 9, &mut out);
    assert!(out.is_empty());
}
