//! Failure domains that are closed to new tasks, and reopened.

mod dispatch_support;

use dispatch_support::orders::{
    answer_renewal, answer_start, completion, delegate, fenced_owner, job_outcomes, renewed,
};
use dispatch_support::{job, renewals, starts, stops};
use trefoil_core::dispatch::entry::{Answer, Command as EntryCommand, Entry};
use trefoil_core::dispatch::order::OrderOutcome;
use trefoil_schema::dispatch::{Claim, Load, Node, Outcome};

#[test]
fn jobs_that_have_not_begun_are_returned_at_once() {
    let mut owner = fenced_owner(1, &["w1"]);
    delegate(&mut owner, 10, "begun", 2);
    delegate(&mut owner, 11, "waits", 1);
    let mut out = Vec::new();
    owner.close(20, 1500, &mut out);
    assert_eq!(
        job_outcomes(&out),
        [("waits".to_owned(), Outcome::Returned)]
    );
    assert!(stops(&out).is_empty(), "runs are not stopped");
    let out = delegate(&mut owner, 30, "late", 1);
    assert_eq!(job_outcomes(&out), [("late".to_owned(), Outcome::Returned)]);
    let load = owner.load(31);
    assert!(load.closed && !load.serving);
}

#[test]
fn a_begun_job_starts_tasks_only_during_the_grace_period() {
    for at_ms in [100, 2000] {
        let mut owner = fenced_owner(1, &["w1"]);
        let out = delegate(&mut owner, 10, "a", 3);
        let started = starts(&out);
        assert_eq!(started.len(), 2, "two tasks fit");
        let mut open_renewals = Vec::new();
        for start in &started {
            let clock_ms = 50_011;
            let out = answer_start(&mut owner, 11, start, OrderOutcome::Done { clock_ms });
            open_renewals.extend(renewals(&out));
        }
        owner.close(20, 1500, &mut Vec::new());
        let completions = vec![completion(1, &started[0])];
        let out = answer_renewal(
            &mut owner,
            at_ms,
            &open_renewals[0],
            renewed(vec![], completions),
        );
        let mut later = Vec::new();
        owner.tick(at_ms + 1, &mut later);
        match at_ms < 1500 {
            true => assert_eq!(starts(&out).len(), 1),
            false => {
                assert!(starts(&out).is_empty() && starts(&later).is_empty());
                assert_eq!(job_outcomes(&later), [("a".to_owned(), Outcome::Lost)]);
            }
        }
    }
}

#[test]
fn a_reopened_owner_starts_tasks() {
    let mut owner = fenced_owner(1, &["w1"]);
    owner.close(5, 5, &mut Vec::new());
    assert!(starts(&delegate(&mut owner, 10, "a", 1)).is_empty());
    owner.reopen(20, &mut Vec::new());
    assert!(owner.load(21).serving);
    assert_eq!(starts(&delegate(&mut owner, 30, "a", 1)).len(), 1);
}

fn update_pool(entry: &mut Entry, pool: &str, closed: bool, out: &mut Vec<EntryCommand>) {
    let (domain, _) = pool.split_once('/').unwrap();
    let claim = Claim {
        pool: pool.to_owned(),
        failure_domain: domain.to_owned(),
        term: 1,
        owner: Some(Node {
            name: format!("owner of {pool}"),
            ..Node::default()
        }),
    };
    let load = Load {
        serving: !closed,
        closed,
        capacity_millicores: 10_000,
        free_millicores: 10_000,
        backlog_millicore_ms: 0,
        ..Load::default()
    };
    entry.update_pool(0, &claim, load, out);
}

#[test]
fn callers_of_a_closed_failure_domain_are_served_by_another() {
    let mut entry = Entry::new("forde");
    let mut out = Vec::new();
    update_pool(&mut entry, "forde/0", true, &mut out);
    update_pool(&mut entry, "bergen/0", false, &mut out);
    entry.submit(1, 1, job("a", 1, 100), 1000, &mut out);
    assert!(matches!(&out[0], EntryCommand::Delegate { to, .. } if to.pool == "bergen/0"));
}

#[test]
fn callers_are_refused_at_once_while_all_failure_domains_are_closed() {
    let mut entry = Entry::new("forde");
    entry.set_failure_domains(["bergen", "forde"].map(str::to_owned).into_iter());
    let mut out = Vec::new();
    update_pool(&mut entry, "forde/0", true, &mut out);
    update_pool(&mut entry, "bergen/0", true, &mut out);
    entry.submit(1, 1, job("a", 1, 100), 1000, &mut out);
    let answer = |command: &EntryCommand| match command {
        EntryCommand::Answer { answer, .. } => Some(*answer),
        _ => None,
    };
    let answers: Vec<Answer> = out.iter().filter_map(answer).collect();
    assert!(
        matches!(answers[..], [Answer::NotRun { .. }]),
        "{answers:?}"
    );
    assert!(entry.is_ready(), "the entry can answer callers");
}

#[test]
fn a_failure_domain_without_a_known_owner_is_not_considered_closed() {
    // Guards against refusing callers after a restart of all instances, when only the
    // owners of the closed failure domain are known yet.
    let mut entry = Entry::new("forde");
    entry.set_failure_domains(["bergen", "forde"].map(str::to_owned).into_iter());
    let mut out = Vec::new();
    update_pool(&mut entry, "forde/0", true, &mut out);
    entry.submit(0, 1, job("a", 1, 100), 1000, &mut out);
    entry.tick(0, &mut out);
    assert!(out.is_empty(), "the job waits: {out:?}");
    assert!(!entry.is_ready(), "other failure domains may have an owner");
    update_pool(&mut entry, "bergen/0", false, &mut out);
    let to_bergen = |command: &EntryCommand| matches!(command, EntryCommand::Delegate { to, .. } if to.pool == "bergen/0");
    assert!(out.iter().any(to_bergen), "{out:?}");
}

#[test]
fn nothing_is_considered_closed_before_failure_domains_are_known() {
    let mut entry = Entry::new("forde");
    let mut out = Vec::new();
    update_pool(&mut entry, "forde/0", true, &mut out);
    entry.submit(1, 1, job("a", 1, 100), 1000, &mut out);
    assert!(out.is_empty(), "the job waits: {out:?}");
}

#[test]
fn an_owner_without_declarations_keeps_its_jobs() {
    // Guards against refusing callers after a restart of all instances.
    let mut owner = fenced_owner(1, &["w1"]);
    owner.await_declarations();
    let out = delegate(&mut owner, 10, "a", 1);
    assert!(starts(&out).is_empty() && job_outcomes(&out).is_empty());
    let load = owner.load(11);
    assert!(!load.closed && !load.serving);
    let mut out = Vec::new();
    owner.reopen(20, &mut out);
    assert_eq!(starts(&out).len(), 1);
}

#[test]
fn callers_wait_for_an_owner_without_declarations() {
    let mut entry = Entry::new("forde");
    let mut out = Vec::new();
    update_pool(&mut entry, "forde/0", false, &mut out);
    let claim_of = |entry: &mut Entry, serving: bool, out: &mut Vec<EntryCommand>| {
        let claim = Claim {
            pool: "forde/0".to_owned(),
            failure_domain: "forde".to_owned(),
            term: 1,
            owner: Some(Node {
                name: "owner of forde/0".to_owned(),
                ..Node::default()
            }),
        };
        let load = Load {
            serving,
            capacity_millicores: 10_000,
            free_millicores: 10_000,
            ..Load::default()
        };
        entry.update_pool(2, &claim, load, out);
    };
    claim_of(&mut entry, false, &mut out);
    entry.submit(1, 1, job("a", 1, 100), 1000, &mut out);
    assert!(out.is_empty(), "{out:?}");
    claim_of(&mut entry, true, &mut out);
    assert!(matches!(out[0], EntryCommand::Delegate { .. }));
}
