//! Callers' jobs at an entry: delegation, losses, and what callers are told.

mod dispatch_support;

use dispatch_support::job;
use trefoil_core::dispatch::entry::{Answer, Command, Entry, PoolOwner, RevocationCause};
use trefoil_core::dispatch::limits::{
    HEARTBEAT_MS, LINK_TIMEOUT_MS, PLACEMENT_TIMEOUT_MS, REDELEGATION_DELAY_MS, VACANT_POOL_WAIT_MS,
};
use trefoil_core::dispatch::owner::JobResult;
use trefoil_schema::dispatch::{Claim, Load, Node, Outcome};

const FAR_MS: u64 = 1_000_000;

fn owned(pool: &str, owner: &str) -> PoolOwner {
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

fn ending(job_id: &str, outcome: Outcome) -> JobResult {
    JobResult {
        job_id: job_id.to_owned(),
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
    }
}

fn seen(entry: &mut Entry, now_ms: u64, pool: &str, owner: &str, backlog: u64) -> Vec<Command> {
    let mut out = Vec::new();
    entry.update_pool(now_ms, &claim(pool, owner), load(backlog), &mut out);
    out
}

/// As [`seen`], a pool with room for all jobs of a test.
fn seen_wide(entry: &mut Entry, now_ms: u64, pool: &str, owner: &str) {
    let wide = Load {
        capacity_millicores: 1_000_000,
        free_millicores: 1_000_000,
        ..load(0)
    };
    entry.update_pool(now_ms, &claim(pool, owner), wide, &mut Vec::new());
}

fn submit(entry: &mut Entry, now_ms: u64, ticket: u64, id: &str) -> Vec<Command> {
    let mut out = Vec::new();
    entry.submit(now_ms, ticket, job(id, 1, 100), FAR_MS, &mut out);
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
        Command::Answer {
            request_id: ticket,
            answer,
        } => Some((*ticket, *answer)),
        _ => None,
    });
    answers.collect()
}

#[test]
fn a_job_goes_to_the_pool_with_the_shortest_wait() {
    let mut entry = Entry::new("forde");
    seen(&mut entry, 0, "forde/0", "a", 1_000_000);
    seen(&mut entry, 0, "bergen/0", "b", 0);
    let out = submit(&mut entry, 1, 1, "x");
    assert_eq!(delegated(&out)[0].0, owned("bergen/0", "b"));
}

#[test]
fn room_at_home_comes_first_and_is_not_given_away_twice() {
    let mut entry = Entry::new("forde");
    seen(&mut entry, 0, "bergen/0", "b", 0);
    seen(&mut entry, 0, "forde/0", "a", 0);
    // Each job takes a core of the ten that either pool has free.
    let mut at_home = 0;
    for number in 0..20 {
        let out = submit(&mut entry, 1, number, &format!("x{number}"));
        at_home += usize::from(delegated(&out)[0].0 == owned("forde/0", "a"));
    }
    assert_eq!(at_home, 10);
}

#[test]
fn after_a_loss_the_same_pool_may_have_it_at_once_and_others_after_the_gap() {
    let mut entry = Entry::new("forde");
    seen(&mut entry, 0, "forde/0", "a", 0);
    submit(&mut entry, 1, 1, "x");
    let mut out = Vec::new();
    entry.owner_lost(100, "a", &mut out);
    assert!(delegated(&seen(&mut entry, 110, "bergen/0", "b", 0)).is_empty());
    let out = seen(&mut entry, 120, "forde/0", "c", 0);
    let expected = (
        owned("forde/0", "c"),
        REDELEGATION_DELAY_MS - 20,
        Some("a".to_owned()),
    );
    assert_eq!(delegated(&out), [expected]);
    entry.owner_lost(200, "c", &mut Vec::new());
    // Runs of two owners may go on: no successor knows all of them.
    let out = seen(&mut entry, 210, "forde/0", "d", 0);
    assert_eq!(delegated(&out)[0].2, None);
    entry.owner_lost(200, "d", &mut Vec::new());
    let mut out = Vec::new();
    entry.tick(200 + REDELEGATION_DELAY_MS, &mut out);
    assert_eq!(delegated(&out)[0].0, owned("bergen/0", "b"));
}

#[test]
fn only_a_job_of_which_nothing_ran_is_said_not_to_have_run() {
    for (outcome, may_have_run) in [(Outcome::Returned, false), (Outcome::Stopped, true)] {
        let mut entry = Entry::new("forde");
        seen(&mut entry, 0, "forde/0", "a", 0);
        submit(&mut entry, 1, 1, "x");
        let mut out = Vec::new();
        entry.on_job_ended(2, &owned("forde/0", "a"), &ending("x", outcome), &mut out);
        entry.owner_lost(3, "a", &mut out);
        entry.tick(3 + PLACEMENT_TIMEOUT_MS, &mut out);
        let (_, answer) = answers(&out)[0];
        assert_eq!(matches!(answer, Answer::MayHaveRun { .. }), may_have_run);
        assert_eq!(matches!(answer, Answer::NotRun { .. }), !may_have_run);
    }
}

#[test]
fn a_caller_that_leaves_cancels_its_job_and_others_keep_theirs() {
    let mut entry = Entry::new("forde");
    seen(&mut entry, 0, "forde/0", "a", 0);
    submit(&mut entry, 1, 1, "x");
    assert!(
        submit(&mut entry, 2, 2, "x").is_empty(),
        "the same job once"
    );
    let mut out = Vec::new();
    entry.on_caller_disconnected(1, &mut out);
    assert!(out.is_empty(), "somebody still waits");
    entry.on_caller_disconnected(2, &mut out);
    assert!(matches!(out[0], Command::Cancel { .. }));
    assert!(entry.is_empty());
}

#[test]
fn an_id_with_another_job_is_told_apart() {
    let mut entry = Entry::new("forde");
    seen(&mut entry, 0, "forde/0", "a", 0);
    submit(&mut entry, 1, 1, "x");
    let mut out = Vec::new();
    entry.submit(2, 2, job("x", 2, 100), FAR_MS, &mut out);
    assert_eq!(answers(&out), [(2, Answer::OtherJob)]);
}

#[test]
fn answers_of_an_owner_that_no_longer_has_the_job_are_dropped() {
    let mut entry = Entry::new("forde");
    seen(&mut entry, 0, "forde/0", "a", 0);
    submit(&mut entry, 1, 1, "x");
    let mut out = Vec::new();
    let other = owned("forde/0", "b");
    entry.on_job_ended(2, &other, &ending("x", Outcome::Completed), &mut out);
    assert!(out.is_empty());
    let owner = owned("forde/0", "a");
    entry.on_job_ended(3, &owner, &ending("x", Outcome::Completed), &mut out);
    assert_eq!(answers(&out), [(1, Answer::Completed)]);
}

fn refused(entry: &mut Entry, now_ms: u64, pool: &str, owner: &str, id: &str) -> Vec<Command> {
    let mut out = Vec::new();
    let ending = JobResult {
        retry_after_ms: 2500,
        ..ending(id, Outcome::NotRun)
    };
    entry.on_job_ended(now_ms, &owned(pool, owner), &ending, &mut out);
    out
}

#[test]
fn a_refused_job_is_offered_to_other_owners() {
    let mut entry = Entry::new("forde");
    seen(&mut entry, 0, "forde/0", "a", 0);
    submit(&mut entry, 1, 1, "x");
    seen(&mut entry, 2, "forde/1", "b", 9);
    let out = refused(&mut entry, 3, "forde/0", "a", "x");
    assert_eq!(delegated(&out)[0].0, owned("forde/1", "b"));
    let out = refused(&mut entry, 4, "forde/1", "b", "x");
    let not_run = Answer::NotRun {
        retry_after_ms: 2500,
        reason: "no worker comes free in time",
    };
    assert_eq!(answers(&out), [(1, not_run)]);
}

#[test]
fn a_refused_job_waits_a_little_for_a_pool_that_has_no_owner() {
    let mut entry = Entry::new("forde");
    entry.set_local_pools(vec!["forde/0".to_owned(), "forde/1".to_owned()]);
    seen(&mut entry, 0, "forde/0", "a", 0);
    for id in ["x", "y"] {
        submit(&mut entry, 1, u64::from(id == "y"), id);
    }
    let out = refused(&mut entry, 3, "forde/0", "a", "x");
    let silent = |command: &Command| matches!(command, Command::Revoked { .. });
    assert!(
        out.iter().all(silent),
        "the other pool is about to have an owner"
    );
    let out = seen(&mut entry, 100, "forde/1", "b", 0);
    assert_eq!(delegated(&out)[0].0, owned("forde/1", "b"));
    let from = owned("forde/1", "b");
    entry.pool_lost(101, &from, RevocationCause::OwnerChanged, &mut Vec::new());
    let out = refused(&mut entry, 102, "forde/0", "a", "y");
    assert!(out.iter().all(silent));
    let mut out = Vec::new();
    entry.tick(1 + VACANT_POOL_WAIT_MS - 1, &mut out);
    assert!(answers(&out).is_empty());
    entry.tick(1 + VACANT_POOL_WAIT_MS, &mut out);
    let (ticket, answer) = answers(&out)[0];
    assert!(matches!((ticket, answer), (1, Answer::NotRun { .. })));
}

#[test]
fn a_job_goes_past_an_owner_that_has_fallen_silent() {
    // Load pattern: a failure domain is cut off without a word. Of the jobs that
    // another one's entries sent there until the link was given up, nearly all
    // could be of no use after the gap that follows.
    let mut entry = Entry::new("forde");
    let mut sent_to_silent = 0;
    seen_wide(&mut entry, 0, "bergen/0", "b");
    for now_ms in (0..LINK_TIMEOUT_MS).step_by(10) {
        if now_ms.is_multiple_of(HEARTBEAT_MS) {
            seen_wide(&mut entry, now_ms, "stavanger/0", "s");
        }
        let id = format!("{now_ms:x}");
        let out = submit(&mut entry, now_ms, now_ms, &id);
        let is_silent =
            |command: &Command| matches!(command, Command::Delegate { to, .. } if to.owner == "b");
        sent_to_silent += out.iter().filter(|command| is_silent(command)).count();
    }
    assert!((5..20).contains(&sent_to_silent), "{sent_to_silent} of 45");
}

#[test]
fn a_silent_owner_is_used_where_there_is_no_other() {
    let mut entry = Entry::new("forde");
    seen(&mut entry, 0, "forde/0", "a", 0);
    let out = submit(&mut entry, LINK_TIMEOUT_MS, 1, "j");
    assert!(matches!(&out[..], [Command::Delegate { to, .. }] if to.owner == "a"));
}

#[test]
fn an_entry_that_stood_still_takes_no_owner_for_silent() {
    let mut entry = Entry::new("forde");
    seen(&mut entry, 0, "forde/0", "a", 0);
    entry.extend_liveness_timeouts(LINK_TIMEOUT_MS);
    seen(&mut entry, LINK_TIMEOUT_MS, "bergen/0", "b", 0);
    let out = submit(&mut entry, LINK_TIMEOUT_MS, 1, "j");
    assert!(matches!(&out[..], [Command::Delegate { to, .. }] if to.owner == "a"));
}
