//! Delegation of callers' jobs by an entry, loss of owners, and callers' answers.

mod dispatch_support;

use dispatch_support::job;
use trefoil_core::dispatch::entry::{Answer, Command, Entry, PoolOwner, RevocationCause};
use trefoil_core::dispatch::limits::{
    HEARTBEAT_MS, LINK_TIMEOUT_MS, PLACEMENT_TIMEOUT_MS, REDELEGATION_DELAY_MS, VACANT_POOL_WAIT_MS,
};
use trefoil_core::dispatch::link::LinkId;
use trefoil_core::dispatch::owner::JobResult;
use trefoil_schema::dispatch::{Claim, Load, Node, Outcome};

const FAR_MS: u64 = 1_000_000;

fn pool_owner(pool: &str, owner: &str) -> PoolOwner {
    PoolOwner {
        pool: pool.to_owned(),
        owner: owner.to_owned(),
    }
}

/// The first claim of an owner.
fn claim(pool: &str, owner: &str) -> Claim {
    let domain = pool.split('/').next().unwrap_or(pool);
    Claim {
        pool: pool.to_owned(),
        failure_domain: domain.to_owned(),
        term: 1,
        owner: Some(Node {
            name: owner.to_owned(),
            ..Node::default()
        }),
    }
}

fn result(job_id: &str, outcome: Outcome) -> JobResult {
    JobResult {
        job_id: job_id.to_owned(),
        delegation: 0,
        outcome,
        retry_after_ms: 0,
    }
}

fn load(backlog_millicore_ms: u64) -> Load {
    let idle = backlog_millicore_ms == 0;
    Load {
        serving: true,
        closed: false,
        capacity_millicores: 10_000,
        backlog_millicore_ms,
        free_millicores: if idle { 10_000 } else { 0 },
        ..Load::default()
    }
}

/// The only link to an owner.
fn link_to(owner: &str) -> LinkId {
    LinkId::from(owner.as_bytes()[0])
}

/// Sends delegations over the links to their owners.
fn send(entry: &mut Entry, out: &[Command]) {
    for command in out {
        if let Command::Delegate { to, spec, .. } = command {
            entry.on_delegation_sent(&spec.id, spec.delegation, link_to(&to.owner));
        }
    }
}

/// Ends the only link to an owner.
fn lose_owner(entry: &mut Entry, now_ms: u64, owner: &str, out: &mut Vec<Command>) {
    entry.on_link_lost(now_ms, link_to(owner), owner, None, out);
    send(entry, out);
}

fn update_pool(
    entry: &mut Entry,
    now_ms: u64,
    pool: &str,
    owner: &str,
    backlog: u64,
) -> Vec<Command> {
    let mut out = Vec::new();
    entry.update_pool(now_ms, &claim(pool, owner), load(backlog), &mut out);
    send(entry, &out);
    out
}

/// As [`update_pool`], with resources for all jobs of a test.
fn update_large_pool(entry: &mut Entry, now_ms: u64, pool: &str, owner: &str) {
    let large = Load {
        capacity_millicores: 1_000_000,
        free_millicores: 1_000_000,
        ..load(0)
    };
    entry.update_pool(now_ms, &claim(pool, owner), large, &mut Vec::new());
}

fn submit(entry: &mut Entry, now_ms: u64, request_id: u64, id: &str) -> Vec<Command> {
    let mut out = Vec::new();
    entry.submit(now_ms, request_id, job(id, 1, 100), FAR_MS, &mut out);
    send(entry, &out);
    out
}

fn delegated(commands: &[Command]) -> Vec<(PoolOwner, u64, Option<String>)> {
    let delegated = commands.iter().filter_map(|command| match command {
        Command::Delegate {
            to,
            unsafe_for_ms,
            unsafe_holder,
            ..
        } => {
            let holder = unsafe_holder.as_ref().map(|holder| holder.owner.clone());
            Some((to.clone(), *unsafe_for_ms, holder))
        }
        _ => None,
    });
    delegated.collect()
}

fn answers(commands: &[Command]) -> Vec<(u64, Answer)> {
    let answers = commands.iter().filter_map(|command| match command {
        Command::Answer { request_id, answer } => Some((*request_id, *answer)),
        _ => None,
    });
    answers.collect()
}

#[test]
fn job_is_delegated_to_the_pool_with_the_shortest_wait() {
    let mut entry = Entry::new("forde");
    update_pool(&mut entry, 0, "forde/0", "a", 1_000_000);
    update_pool(&mut entry, 0, "bergen/0", "b", 0);
    let out = submit(&mut entry, 1, 1, "x");
    assert_eq!(delegated(&out)[0].0, pool_owner("bergen/0", "b"));
}

#[test]
fn local_pool_is_preferred_until_its_resources_are_delegated() {
    let mut entry = Entry::new("forde");
    update_pool(&mut entry, 0, "bergen/0", "b", 0);
    update_pool(&mut entry, 0, "forde/0", "a", 0);
    // Each job needs one of the ten cores that are free in either pool.
    let mut local = 0;
    for number in 0..20 {
        let out = submit(&mut entry, 1, number, &format!("x{number}"));
        local += usize::from(delegated(&out)[0].0 == pool_owner("forde/0", "a"));
    }
    assert_eq!(local, 10);
}

#[test]
fn after_a_loss_the_pools_next_owner_gets_the_job_at_once_and_others_after_a_delay() {
    let mut entry = Entry::new("forde");
    update_pool(&mut entry, 0, "forde/0", "a", 0);
    submit(&mut entry, 1, 1, "x");
    let mut out = Vec::new();
    lose_owner(&mut entry, 100, "a", &mut out);
    assert!(delegated(&update_pool(&mut entry, 110, "bergen/0", "b", 0)).is_empty());
    let out = update_pool(&mut entry, 120, "forde/0", "c", 0);
    let expected = (
        pool_owner("forde/0", "c"),
        REDELEGATION_DELAY_MS - 20,
        Some("a".to_owned()),
    );
    assert_eq!(delegated(&out), [expected]);
    lose_owner(&mut entry, 200, "c", &mut Vec::new());
    // Runs of two owners may continue: no successor knows all of them.
    let out = update_pool(&mut entry, 210, "forde/0", "d", 0);
    assert_eq!(delegated(&out)[0].2, None);
    lose_owner(&mut entry, 200, "d", &mut Vec::new());
    let mut out = Vec::new();
    entry.tick(200 + REDELEGATION_DELAY_MS, &mut out);
    assert_eq!(delegated(&out)[0].0, pool_owner("bergen/0", "b"));
}

#[test]
fn only_a_job_that_cannot_have_run_is_answered_as_not_run() {
    for (outcome, may_have_run) in [(Outcome::Returned, false), (Outcome::Stopped, true)] {
        let mut entry = Entry::new("forde");
        update_pool(&mut entry, 0, "forde/0", "a", 0);
        submit(&mut entry, 1, 1, "x");
        let mut out = Vec::new();
        entry.on_job_ended(
            2,
            &pool_owner("forde/0", "a"),
            &result("x", outcome),
            &mut out,
        );
        lose_owner(&mut entry, 3, "a", &mut out);
        entry.tick(3 + PLACEMENT_TIMEOUT_MS, &mut out);
        let (_, answer) = answers(&out)[0];
        assert_eq!(matches!(answer, Answer::MayHaveRun { .. }), may_have_run);
        assert_eq!(matches!(answer, Answer::NotRun { .. }), !may_have_run);
    }
}

// Guards against a job that loses the workers of one pool after the other.
#[test]
fn a_job_that_its_owner_has_given_up_is_not_delegated_again() {
    let mut entry = Entry::new("forde");
    update_pool(&mut entry, 0, "forde/0", "a", 0);
    update_pool(&mut entry, 0, "forde/1", "b", 0);
    let out = submit(&mut entry, 1, 1, "x");
    let (owner, ..) = &delegated(&out)[0];
    let mut out = Vec::new();
    entry.on_job_ended(2, owner, &result("x", Outcome::Abandoned), &mut out);
    assert!(delegated(&out).is_empty());
    let (_, answer) = answers(&out)[0];
    assert!(matches!(answer, Answer::MayHaveRun { .. }), "{answer:?}");
    assert!(entry.is_empty());
}

#[test]
fn job_is_cancelled_when_its_last_caller_disconnects() {
    let mut entry = Entry::new("forde");
    update_pool(&mut entry, 0, "forde/0", "a", 0);
    submit(&mut entry, 1, 1, "x");
    assert!(submit(&mut entry, 2, 2, "x").is_empty(), "delegated once");
    let mut out = Vec::new();
    entry.on_caller_disconnected(1, &mut out);
    assert!(out.is_empty(), "a caller still waits");
    entry.on_caller_disconnected(2, &mut out);
    assert!(matches!(out[0], Command::Cancel { .. }));
    assert!(entry.is_empty());
}

#[test]
fn a_lost_job_awaits_the_next_owner_of_its_pool() {
    let mut entry = Entry::new("forde");
    let owner = pool_owner("forde/0", "a");
    update_pool(&mut entry, 0, "forde/0", "a", 0);
    submit(&mut entry, 1, 1, "x");
    assert!(entry.awaited_pools(1).is_empty());
    entry.on_job_ended(2, &owner, &result("x", Outcome::Lost), &mut Vec::new());
    assert!(entry.awaited_pools(3).contains("forde/0"));
    // Afterwards any owner can have it.
    assert!(entry.awaited_pools(2 + REDELEGATION_DELAY_MS).is_empty());
    let out = update_pool(&mut entry, 150, "forde/0", "b", 0);
    assert_eq!(delegated(&out)[0].0, pool_owner("forde/0", "b"));
    assert!(entry.awaited_pools(151).is_empty());
}

/// Guards against callers that wait until their deadline: jobs at an owner whose link was being
/// drained were not revoked when that link broke.
#[test]
fn jobs_of_a_draining_link_are_revoked_when_it_breaks() {
    let mut entry = Entry::new("forde");
    update_pool(&mut entry, 0, "forde/0", "a", 0);
    submit(&mut entry, 1, 1, "x");
    entry.stop_delegating_to("a");
    update_pool(&mut entry, 2, "forde/1", "b", 0);
    lose_owner(&mut entry, 3, "a", &mut Vec::new());
    let mut out = Vec::new();
    entry.tick(3 + REDELEGATION_DELAY_MS, &mut out);
    assert_eq!(delegated(&out)[0].0, pool_owner("forde/1", "b"));
}

#[test]
fn the_result_of_an_earlier_delegation_is_ignored() {
    // The owner returns a job over one link after it was revoked and delegated to the same
    // owner again over another link. If the late result were taken for that of the current
    // delegation, the job would be started by two owners.
    let delegation = |out: &[Command]| match out {
        [.., Command::Delegate { spec, .. }] => spec.delegation,
        other => panic!("not delegated: {other:?}"),
    };
    let mut entry = Entry::new("forde");
    let owner = pool_owner("forde/0", "a");
    update_pool(&mut entry, 0, "forde/0", "a", 0);
    let first = delegation(&submit(&mut entry, 1, 1, "x"));
    entry.on_pool_lost(2, &owner, RevocationCause::OwnerChanged, &mut Vec::new());
    let second = delegation(&update_pool(&mut entry, 3, "forde/0", "a", 0));
    update_pool(&mut entry, 4, "forde/1", "b", 0);
    for outcome in [Outcome::Returned, Outcome::NotRun, Outcome::Failed] {
        let late = JobResult {
            delegation: first,
            ..result("x", outcome)
        };
        let mut out = Vec::new();
        entry.on_job_ended(5, &owner, &late, &mut out);
        assert!(
            matches!(&out[..], [Command::StaleResult { delegation, .. }] if *delegation == second),
            "{out:?}"
        );
    }
    let current = JobResult {
        delegation: second,
        ..result("x", Outcome::Completed)
    };
    let mut out = Vec::new();
    entry.on_job_ended(6, &owner, &current, &mut out);
    assert_eq!(answers(&out), [(1, Answer::Completed)]);
}

#[test]
fn reused_id_of_a_different_job_is_rejected() {
    let mut entry = Entry::new("forde");
    update_pool(&mut entry, 0, "forde/0", "a", 0);
    submit(&mut entry, 1, 1, "x");
    let mut out = Vec::new();
    entry.submit(2, 2, job("x", 2, 100), FAR_MS, &mut out);
    assert_eq!(answers(&out), [(2, Answer::OtherJob)]);
}

#[test]
fn results_of_an_owner_that_no_longer_has_the_job_are_ignored() {
    let mut entry = Entry::new("forde");
    update_pool(&mut entry, 0, "forde/0", "a", 0);
    submit(&mut entry, 1, 1, "x");
    let mut out = Vec::new();
    let other = pool_owner("forde/0", "b");
    entry.on_job_ended(2, &other, &result("x", Outcome::Completed), &mut out);
    assert!(out.is_empty());
    let owner = pool_owner("forde/0", "a");
    entry.on_job_ended(3, &owner, &result("x", Outcome::Completed), &mut out);
    assert_eq!(answers(&out), [(1, Answer::Completed)]);
}

fn refuse(entry: &mut Entry, now_ms: u64, pool: &str, owner: &str, id: &str) -> Vec<Command> {
    let mut out = Vec::new();
    let result = JobResult {
        retry_after_ms: 2500,
        ..result(id, Outcome::NotRun)
    };
    entry.on_job_ended(now_ms, &pool_owner(pool, owner), &result, &mut out);
    out
}

#[test]
fn refused_job_is_delegated_to_other_owners() {
    let mut entry = Entry::new("forde");
    update_pool(&mut entry, 0, "forde/0", "a", 0);
    submit(&mut entry, 1, 1, "x");
    update_pool(&mut entry, 2, "forde/1", "b", 9);
    let out = refuse(&mut entry, 3, "forde/0", "a", "x");
    assert_eq!(delegated(&out)[0].0, pool_owner("forde/1", "b"));
    let out = refuse(&mut entry, 4, "forde/1", "b", "x");
    let not_run = Answer::NotRun {
        retry_after_ms: 2500,
        reason: "no worker comes free in time",
    };
    assert_eq!(answers(&out), [(1, not_run)]);
}

#[test]
fn refused_job_waits_for_a_vacant_pool() {
    let mut entry = Entry::new("forde");
    entry.set_local_pools(vec!["forde/0".to_owned(), "forde/1".to_owned()]);
    update_pool(&mut entry, 0, "forde/0", "a", 0);
    for id in ["x", "y"] {
        submit(&mut entry, 1, u64::from(id == "y"), id);
    }
    let out = refuse(&mut entry, 3, "forde/0", "a", "x");
    let is_revocation = |command: &Command| matches!(command, Command::Revoked { .. });
    assert!(
        out.iter().all(is_revocation),
        "the other pool is about to have an owner"
    );
    let out = update_pool(&mut entry, 100, "forde/1", "b", 0);
    assert_eq!(delegated(&out)[0].0, pool_owner("forde/1", "b"));
    let from = pool_owner("forde/1", "b");
    entry.on_pool_lost(101, &from, RevocationCause::OwnerChanged, &mut Vec::new());
    let out = refuse(&mut entry, 102, "forde/0", "a", "y");
    assert!(out.iter().all(is_revocation));
    let mut out = Vec::new();
    entry.tick(1 + VACANT_POOL_WAIT_MS - 1, &mut out);
    assert!(answers(&out).is_empty());
    entry.tick(1 + VACANT_POOL_WAIT_MS, &mut out);
    let (request_id, answer) = answers(&out)[0];
    assert!(matches!((request_id, answer), (1, Answer::NotRun { .. })));
}

#[test]
fn owner_without_heartbeats_is_avoided() {
    // Jobs delegated to a lost owner until its link is closed would be answered too late.
    let mut entry = Entry::new("forde");
    let mut sent_to_stale = 0;
    update_large_pool(&mut entry, 0, "bergen/0", "b");
    for now_ms in (0..LINK_TIMEOUT_MS).step_by(10) {
        if now_ms.is_multiple_of(HEARTBEAT_MS) {
            update_large_pool(&mut entry, now_ms, "stavanger/0", "s");
        }
        let id = format!("{now_ms:x}");
        let out = submit(&mut entry, now_ms, now_ms, &id);
        let is_to_stale =
            |command: &Command| matches!(command, Command::Delegate { to, .. } if to.owner == "b");
        sent_to_stale += out.iter().filter(|command| is_to_stale(command)).count();
    }
    assert!((5..20).contains(&sent_to_stale), "{sent_to_stale} of 45");
}

#[test]
fn owner_without_heartbeats_is_used_if_there_is_no_other() {
    let mut entry = Entry::new("forde");
    update_pool(&mut entry, 0, "forde/0", "a", 0);
    let out = submit(&mut entry, LINK_TIMEOUT_MS, 1, "j");
    assert!(matches!(&out[..], [Command::Delegate { to, .. }] if to.owner == "a"));
}

#[test]
fn owners_are_not_avoided_after_a_stall_of_the_entry() {
    let mut entry = Entry::new("forde");
    update_pool(&mut entry, 0, "forde/0", "a", 0);
    entry.extend_liveness_timeouts(LINK_TIMEOUT_MS);
    update_pool(&mut entry, LINK_TIMEOUT_MS, "bergen/0", "b", 0);
    let out = submit(&mut entry, LINK_TIMEOUT_MS, 1, "j");
    assert!(matches!(&out[..], [Command::Delegate { to, .. }] if to.owner == "a"));
}

/// Guards against a panic that left callers without answers: a refusal over one of two links
/// arrived behind the news, over the other one, that all failure domains are closed.
#[test]
fn a_refusal_after_all_failure_domains_were_closed_is_answered() {
    let mut entry = Entry::new("forde");
    entry.set_failure_domains(std::iter::once("forde".to_owned()));
    update_pool(&mut entry, 0, "forde/0", "a", 0);
    submit(&mut entry, 1, 1, "x");
    let closed = Load {
        serving: false,
        closed: true,
        ..load(0)
    };
    entry.update_pool(2, &claim("forde/0", "a"), closed, &mut Vec::new());
    let mut out = Vec::new();
    let refusal = result("x", Outcome::NotRun);
    entry.on_job_ended(3, &pool_owner("forde/0", "a"), &refusal, &mut out);
    assert!(
        matches!(answers(&out)[..], [(1, Answer::NotRun { .. })]),
        "{out:?}"
    );
    assert!(entry.is_empty());
}
