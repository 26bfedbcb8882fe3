//! Failure domains that are closed to new tasks, and opened again.

mod dispatch_support;

use dispatch_support::orders::{
    answer_hold, answer_start, delegate, done, ended, fenced_owner, held,
};
use dispatch_support::{holds, job, starts, stops};
use trefoil_core::dispatch::entry::{Answer, Command as EntryCommand, Entry};
use trefoil_core::dispatch::order::OrderOutcome;
use trefoil_schema::dispatch::{Claim, Load, Node, Outcome};

#[test]
fn a_job_of_which_nothing_runs_goes_back_at_once() {
    // Load pattern: jobs come and wait while their failure domain is closed.
    let mut owner = fenced_owner(1, &["w1"]);
    delegate(&mut owner, 10, "begun", 2);
    delegate(&mut owner, 11, "waits", 1);
    let mut out = Vec::new();
    owner.close(20, 1500, &mut out);
    assert_eq!(ended(&out), [("waits".to_owned(), Outcome::Returned)]);
    assert!(stops(&out).is_empty(), "what runs ends by itself");
    let out = delegate(&mut owner, 30, "late", 1);
    assert_eq!(ended(&out), [("late".to_owned(), Outcome::Returned)]);
    let load = owner.load(31);
    assert!(load.closed && !load.serving);
}

#[test]
fn a_begun_job_starts_its_tasks_for_a_moment_and_then_goes_back() {
    for at_ms in [100, 2000] {
        let mut owner = fenced_owner(1, &["w1"]);
        let out = delegate(&mut owner, 10, "a", 3);
        let started = starts(&out);
        assert_eq!(started.len(), 2, "the worker has room for two");
        let mut now_held = Vec::new();
        for start in &started {
            let clock_ms = 50_011;
            let out = answer_start(&mut owner, 11, start, OrderOutcome::Done { clock_ms });
            now_held.extend(holds(&out));
        }
        owner.close(20, 1500, &mut Vec::new());
        let ends = vec![done(1, &started[0])];
        let out = answer_hold(&mut owner, at_ms, &now_held[0], held(vec![], ends));
        let mut later = Vec::new();
        owner.tick(at_ms + 1, &mut later);
        match at_ms < 1500 {
            true => assert_eq!(starts(&out).len(), 1),
            false => {
                assert!(starts(&out).is_empty() && starts(&later).is_empty());
                assert_eq!(ended(&later), [("a".to_owned(), Outcome::Lost)]);
            }
        }
    }
}

#[test]
fn an_owner_that_is_opened_again_starts_tasks() {
    let mut owner = fenced_owner(1, &["w1"]);
    owner.close(5, 5, &mut Vec::new());
    assert!(starts(&delegate(&mut owner, 10, "a", 1)).is_empty());
    owner.reopen(20, &mut Vec::new());
    assert!(owner.load(21).serving);
    assert_eq!(starts(&delegate(&mut owner, 30, "a", 1)).len(), 1);
}

fn seen(entry: &mut Entry, pool: &str, closed: bool, out: &mut Vec<EntryCommand>) {
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
    };
    entry.update_pool(0, &claim, load, out);
}

#[test]
fn callers_of_a_closed_failure_domain_are_served_by_another() {
    let mut entry = Entry::new("forde");
    let mut out = Vec::new();
    seen(&mut entry, "forde/0", true, &mut out);
    seen(&mut entry, "bergen/0", false, &mut out);
    entry.submit(1, 1, job("a", 1, 100), 1000, &mut out);
    assert!(matches!(&out[0], EntryCommand::Delegate { to, .. } if to.pool == "bergen/0"));
}

#[test]
fn callers_are_refused_at_once_while_all_failure_domains_are_closed() {
    let mut entry = Entry::new("forde");
    entry.set_failure_domains(["bergen", "forde"].map(str::to_owned).into_iter());
    let mut out = Vec::new();
    seen(&mut entry, "forde/0", true, &mut out);
    seen(&mut entry, "bergen/0", true, &mut out);
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
    assert!(entry.is_ready(), "it answers, so that callers may come");
}

#[test]
fn a_failure_domain_without_a_known_owner_is_not_taken_for_closed() {
    // Load pattern: all instances start at once; the owners of the closed failure
    // domain are heard of first, those of the others 10 to 400 ms later.
    let mut entry = Entry::new("forde");
    entry.set_failure_domains(["bergen", "forde"].map(str::to_owned).into_iter());
    let mut out = Vec::new();
    seen(&mut entry, "forde/0", true, &mut out);
    entry.submit(0, 1, job("a", 1, 100), 1000, &mut out);
    entry.tick(0, &mut out);
    assert!(out.is_empty(), "it waits: {out:?}");
    assert!(!entry.is_ready(), "others may have an owner");
    seen(&mut entry, "bergen/0", false, &mut out);
    let to_bergen = |command: &EntryCommand| matches!(command, EntryCommand::Delegate { to, .. } if to.pool == "bergen/0");
    assert!(out.iter().any(to_bergen), "{out:?}");
}

#[test]
fn nothing_is_taken_for_closed_before_failure_domains_are_known() {
    let mut entry = Entry::new("forde");
    let mut out = Vec::new();
    seen(&mut entry, "forde/0", true, &mut out);
    entry.submit(1, 1, job("a", 1, 100), 1000, &mut out);
    assert!(out.is_empty(), "it waits: {out:?}");
}

#[test]
fn an_owner_keeps_its_jobs_until_it_knows_declarations() {
    // Load pattern: all instances start at once, and callers come back. Callers
    // that were refused for it: 234 within 50 ms of one loss of all power.
    let mut owner = fenced_owner(1, &["w1"]);
    owner.await_declarations();
    let out = delegate(&mut owner, 10, "a", 1);
    assert!(starts(&out).is_empty() && ended(&out).is_empty());
    let load = owner.load(11);
    assert!(!load.closed && !load.serving);
    let mut out = Vec::new();
    owner.reopen(20, &mut out);
    assert_eq!(starts(&out).len(), 1);
}

#[test]
fn callers_wait_for_an_owner_that_does_not_know_declarations_yet() {
    let mut entry = Entry::new("forde");
    let mut out = Vec::new();
    seen(&mut entry, "forde/0", false, &mut out);
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
