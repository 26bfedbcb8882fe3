//! Workers that the registry lists, no longer lists, and lists again.

mod dispatch_support;

use dispatch_support::orders::{
    LINK, answer_renewal, answer_start, completion, delegate, fenced_owner, job_outcomes, renewed,
};
use dispatch_support::{holder, job, owner_after, renewals, starts, worker_record};
use trefoil_core::dispatch::limits::{REDELEGATION_DELAY_MS, UNLISTED_GRACE_MS};
use trefoil_core::dispatch::order::{OrderOutcome, RenewOutcome};
use trefoil_core::dispatch::owner::Command;

#[test]
fn a_new_owner_waits_until_all_workers_of_its_predecessor_are_fenced() {
    // Guards against starting a task twice when the registry has lost a worker that
    // still runs it.
    let mut owner = owner_after(2, &["w1", "w2"]);
    let mut out = Vec::new();
    owner.set_workers(0, vec![worker_record("w1")], &mut out);
    let renewal = &renewals(&out)[0];
    answer_renewal(&mut owner, 1, renewal, renewed(vec![], vec![]));
    let mut out = Vec::new();
    let spec = job("a", 1, 100);
    let previous_holder = holder(1);
    owner.delegate(
        2,
        LINK,
        spec,
        REDELEGATION_DELAY_MS,
        Some(&previous_holder),
        &mut out,
    );
    assert!(starts(&out).is_empty(), "w2 may still run the task");
    owner.set_workers(3, vec![worker_record("w1"), worker_record("w2")], &mut out);
    let renewal = &renewals(&out)[0];
    let out = answer_renewal(&mut owner, 4, renewal, renewed(vec![], vec![]));
    assert_eq!(starts(&out).len(), 1);
}

#[test]
fn a_draining_worker_starts_no_tasks() {
    let mut owner = fenced_owner(1, &["w1"]);
    let mut draining_record = worker_record("w1");
    draining_record.draining = true;
    let mut out = Vec::new();
    owner.set_workers(5, vec![draining_record], &mut out);
    assert!(starts(&delegate(&mut owner, 10, "a", 1)).is_empty());
}

#[test]
fn an_unlisted_worker_stays_in_use_during_the_grace_period() {
    // Guards against losing most capacity after an outage of the store, until the workers
    // have registered again.
    let mut owner = fenced_owner(1, &["w1"]);
    let mut out = Vec::new();
    owner.set_workers(5, vec![], &mut out);
    assert!(owner.load(6).serving);
    assert_eq!(starts(&delegate(&mut owner, 10, "a", 1)).len(), 1);
    let gone_ms = 5 + UNLISTED_GRACE_MS;
    assert!(!owner.load(gone_ms).serving);
    assert!(starts(&delegate(&mut owner, gone_ms, "b", 1)).is_empty());
    owner.set_workers(gone_ms + 5, vec![worker_record("w1")], &mut out);
    assert_eq!(starts(&out).len(), 1);
}

#[test]
fn an_unlisted_draining_worker_starts_no_tasks() {
    let mut owner = fenced_owner(1, &["w1"]);
    let mut draining_record = worker_record("w1");
    draining_record.draining = true;
    let mut out = Vec::new();
    owner.set_workers(5, vec![draining_record], &mut out);
    owner.set_workers(6, vec![], &mut out);
    assert!(starts(&delegate(&mut owner, 10, "a", 1)).is_empty());
}

#[test]
fn a_worker_outside_the_stored_roster_starts_no_tasks() {
    // A successor would not know that it has to fence w2.
    let mut owner = fenced_owner(1, &["w1"]);
    owner.on_roster_sent(owner.roster());
    let mut out = Vec::new();
    owner.set_workers(5, vec![worker_record("w1"), worker_record("w2")], &mut out);
    answer_renewal(&mut owner, 6, &renewals(&out)[0], renewed(vec![], vec![]));
    let started = starts(&delegate(&mut owner, 10, "a", 4));
    assert_eq!(started.len(), 2, "two tasks fit on w1");
    assert!(started.iter().all(|start| &*start.target.worker_id == "w1"));
    let roster = owner.roster();
    owner.on_roster_sent(roster.clone());
    assert!(starts(&delegate(&mut owner, 20, "b", 1)).is_empty());
    let mut out = Vec::new();
    owner.on_roster_stored(30, roster, &mut out);
    assert_eq!(starts(&out).len(), 2);
}

#[test]
fn a_relisted_worker_is_fenced_with_its_last_fence_at_least() {
    // Guards against giving up the pool: under an older fence the worker would answer
    // that a newer one was accepted, which looks like another owner's.
    let mut owner = fenced_owner(1, &["w1"]);
    let started = starts(&delegate(&mut owner, 10, "a", 1));
    let out = answer_start(&mut owner, 35, &started[0], OrderOutcome::NoAnswer);
    let raised = renewals(&out)[0].clone();
    assert!(raised.target.fence > started[0].target.fence);
    let out = answer_renewal(&mut owner, 37, &raised, renewed(vec![], vec![]));
    let restarted = starts(&out)[0].clone();
    let out = answer_start(
        &mut owner,
        40,
        &restarted,
        OrderOutcome::Done { clock_ms: 50_040 },
    );
    let completions = vec![completion(1, &restarted)];
    let out = answer_renewal(
        &mut owner,
        150,
        &renewals(&out)[0],
        renewed(vec![], completions),
    );
    assert!(!job_outcomes(&out).is_empty());
    owner.set_workers(200, vec![], &mut Vec::new());
    let mut out = Vec::new();
    owner.tick(300, &mut out);
    answer_renewal(&mut owner, 302, &renewals(&out)[0], renewed(vec![], vec![]));
    owner.tick(201 + UNLISTED_GRACE_MS, &mut Vec::new());
    assert_eq!(owner.stats().workers, 0, "the worker was removed");
    let mut out = Vec::new();
    owner.set_workers(5000, vec![worker_record("w1")], &mut out);
    assert!(renewals(&out)[0].target.fence >= raised.target.fence);
}

// Guards against an ended incarnation that counts as lost once more each time the registry,
// which still lists it, is read.
#[test]
fn an_incarnation_that_has_ended_is_not_used_while_the_registry_still_lists_it() {
    let mut owner = fenced_owner(1, &["w1", "w2"]);
    let mut out = delegate(&mut owner, 10, "a", 2);
    answer_start(
        &mut owner,
        11,
        &starts(&out)[0],
        OrderOutcome::WrongIncarnation,
    );
    out.clear();
    let listed = vec![worker_record("w1"), worker_record("w2")];
    owner.set_workers(20, listed.clone(), &mut out);
    let is_listed =
        |command: &Command| matches!(command, Command::Log(event) if event.event == "listed");
    assert!(!out.iter().any(is_listed), "{out:?}");
    assert!(renewals(&out).is_empty());
    // Once the entry has gone, the id is as good as any other.
    owner.set_workers(30, vec![worker_record("w2")], &mut out);
    owner.set_workers(40, listed, &mut out);
    let renewal = &renewals(&out)[0];
    let outcome = answer_renewal(&mut owner, 41, renewal, RenewOutcome::WrongIncarnation);
    assert!(renewals(&outcome).is_empty());
}
