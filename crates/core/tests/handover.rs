//! Handover of job memory: successors, scopes, and the memory's limits.

mod engine_support;

use engine_support::{EngineHarness, START_WALL_MS, key, state_of, submission};
use trefoil_core::engine::{EngineSettings, JobState, Refusal, RefusalReason, WaiterId};
use trefoil_core::handover::{Absence, Scope, Scopes};
use trefoil_core::key::JobKey;
use trefoil_core::membership::{Event, ListedInstance, Membership, MembershipParams};
use trefoil_core::time::Now;
use trefoil_core::verdict::Verdict;
use trefoil_core::view::{Member, ViewLog};
use trefoil_schema::settings::JobSettings;

fn member(name: &str) -> Member {
    Member::new(name, 1)
}

fn members(names: &[&str]) -> Vec<Member> {
    names.iter().map(|name| member(name)).collect()
}

/// Creates a log of views with these members, which start one second apart.
fn log(views: &[&[&str]]) -> ViewLog {
    let mut log = ViewLog::default();
    for (number, names) in views.iter().enumerate() {
        log = log.with_view(START_WALL_MS + 1_000 * number as u64, members(names));
    }
    log
}

/// Keys that `owner` owns in the first view.
fn keys_owned_by(log: &ViewLog, owner: &str) -> Vec<JobKey> {
    let keys = (0..400).map(|number| JobKey::parse(&format!("{START_WALL_MS}-{number}")).unwrap());
    let owned = |key: &JobKey| *log.owner(key).unwrap() == member(owner);
    keys.filter(owned).collect()
}

fn never_gone(_: &Member) -> bool {
    false
}

#[test]
fn the_successor_is_a_member_of_the_first_view_without_the_owner() {
    let left = log(&[&["a", "b", "c"], &["b", "c"]]);
    let joined = log(&[&["a", "b", "c"], &["b", "c"], &["b", "c", "d"]]);
    for key in keys_owned_by(&left, "a") {
        let holder = left.succession(&key, never_gone).unwrap().holder;
        let later = joined.succession(&key, never_gone).unwrap();
        assert_eq!((later.holder, later.path), (holder, members(&["a"])));
        assert!(later.stored);
    }
    for key in keys_owned_by(&joined, "b") {
        assert_eq!(joined.succession(&key, never_gone), None);
    }
    assert_eq!(joined.successors(&member("a")), members(&["b", "c"]));
}

#[test]
fn memory_moves_whenever_its_holder_leaves() {
    let views = log(&[&["a", "b", "c"], &["b", "c"], &["b", "c", "d"], &["c", "d"]]);
    let mut through_b = 0;
    for key in keys_owned_by(&views, "a") {
        let succession = views.succession(&key, never_gone).unwrap();
        match succession.path.len() {
            1 => assert_eq!(succession.holder, member("c")),
            _ => {
                assert_eq!(succession.path, members(&["a", "b"]));
                assert_ne!(succession.holder, member("b"));
                through_b += 1;
            }
        }
    }
    assert!(through_b > 0);
}

#[test]
fn scopes_do_not_apply_if_the_owner_is_still_in_the_newest_view() {
    let views = log(&[&["a", "b", "c"]]);
    for key in keys_owned_by(&views, "a") {
        let succession = views.succession(&key, |m| *m == member("a")).unwrap();
        assert!(!succession.stored);
        assert_ne!(succession.holder, member("a"));
        let mut scopes = Scopes::default();
        let scope = Scope {
            from_ms: 0,
            until_ms: u64::MAX,
            view_version: 1,
        };
        insert_outgoing(&mut scopes, &Scopes::default(), "a", scope);
        assert_eq!(scopes.absence(&key, &succession, 1), Absence::Unknown);
    }
}

#[test]
fn the_scope_of_a_leaving_instance_extends_to_the_first_view_without_it() {
    // Otherwise keys issued between the admission limit and the next view would be
    // reported as lost.
    let views = log(&[&["a", "b"], &["b"], &["b", "c"]]);
    let next_from_ms = views.covering(u64::MAX).map(|newest| newest.from_ms);
    let until_ms = views.covered_until_ms(&member("a")).unwrap();
    assert!(views.covering(until_ms).unwrap().contains(&member("a")));
    assert!(!views.covering(until_ms + 1).unwrap().contains(&member("a")));
    assert!(Some(until_ms) < next_from_ms);
    assert_eq!(views.covered_until_ms(&member("b")), None);
    assert_eq!(views.covered_until_ms(&member("d")), None);
}

/// Inserts the outgoing scopes of `from` into `scopes`.
fn insert_outgoing(scopes: &mut Scopes, from: &Scopes, name: &str, own: Scope) {
    let handed = from.outgoing_scopes(&member(name), own, START_WALL_MS - 500);
    handed.iter().for_each(|scope| scopes.insert(scope));
}

#[test]
fn a_scope_applies_only_to_its_path_issue_times_and_views() {
    let views = log(&[&["a", "b"], &["b"]]);
    let of_a = keys_owned_by(&views, "a");
    let succession = views.succession(&of_a[0], never_gone).unwrap();
    let scope = Scope {
        from_ms: START_WALL_MS,
        until_ms: START_WALL_MS,
        view_version: 2,
    };
    let absence = |sender: &str, scope: Scope, version: u64| {
        let mut scopes = Scopes::default();
        insert_outgoing(&mut scopes, &Scopes::default(), sender, scope);
        scopes.absence(&of_a[0], &succession, version)
    };
    let later = Scope {
        from_ms: START_WALL_MS + 1,
        ..scope
    };
    let earlier = Scope {
        until_ms: START_WALL_MS - 1,
        ..scope
    };
    assert_eq!(absence("a", scope, 2), Absence::NeverStarted);
    assert_eq!(absence("a", scope, 3), Absence::NeverStarted);
    assert_eq!(absence("a", scope, 1), Absence::Unknown);
    assert_eq!(absence("c", scope, 2), Absence::Unknown);
    assert_eq!(absence("a", later, 2), Absence::Unknown);
    assert_eq!(absence("a", earlier, 2), Absence::Unknown);
}

#[test]
fn a_forwarded_scope_applies_only_to_the_longer_path() {
    let views = log(&[&["a", "b", "c"], &["b", "c"], &["c"]]);
    let scope = Scope {
        from_ms: 0,
        until_ms: START_WALL_MS + 9_000,
        view_version: 2,
    };
    let (mut at_b, mut at_c) = (Scopes::default(), Scopes::default());
    insert_outgoing(&mut at_b, &Scopes::default(), "a", scope);
    insert_outgoing(
        &mut at_c,
        &at_b,
        "b",
        Scope {
            view_version: 3,
            ..scope
        },
    );
    for key in keys_owned_by(&views, "a") {
        let succession = views.succession(&key, never_gone).unwrap();
        let expected = match succession.path.len() {
            // These keys would come from a directly, which sent no scope to c.
            1 => Absence::Unknown,
            _ => Absence::NeverStarted,
        };
        assert_eq!(at_c.absence(&key, &succession, 3), expected);
    }
    at_c.expire_before(START_WALL_MS + 9_001);
    let succession = views
        .succession(&keys_owned_by(&views, "a")[0], never_gone)
        .unwrap();
    assert_eq!(
        at_c.absence(&keys_owned_by(&views, "a")[0], &succession, 3),
        Absence::Unknown
    );
}

#[test]
fn a_successor_does_not_consider_itself_gone() {
    let views = log(&[&["a", "b"], &["b"]]);
    let domains = ["d".to_owned()];
    let params = MembershipParams::default();
    let lag_ms = params.list_lag_max_ms;
    let mut membership = Membership::new(params, member("b"), "d", &domains, "");
    let read = Event::StoreRead {
        domain: "d".to_owned(),
        log: Some(views.clone()),
        mod_revision: 1,
    };
    let mut handle = |mono_ms, event| {
        let now = Now {
            mono_ms,
            wall_ms: START_WALL_MS + mono_ms,
        };
        membership.handle(now, event, &mut Vec::new());
    };
    handle(0, read);
    for mono_ms in [0, lag_ms, 2 * lag_ms] {
        let own = ListedInstance {
            member: member("b"),
            domain: "d".to_owned(),
            address: String::new(),
            leaving: false,
        };
        handle(mono_ms, Event::PlatformList(vec![own]));
    }
    for key in keys_owned_by(&views, "a") {
        let (succession, version) = membership.succession(&key).unwrap();
        assert_eq!(succession.path, members(&["a"]));
        assert_eq!((succession.holder, version), (member("b"), 2));
    }
}

fn owner_left() -> Refusal {
    Refusal {
        reason: RefusalReason::OwnerLeft,
        detail: String::new(),
        verdict: Verdict::NotRun,
        retry_after_ms: 0,
    }
}

fn recall(harness: &mut EngineHarness, key: &JobKey, fingerprint: Option<u64>) {
    harness.call(|engine, now, out| {
        engine.answer_without_admission(now, key, fingerprint, owner_left(), WaiterId(99), out);
    });
}

/// Creates a leaving engine with `count` completed jobs.
fn leaving_engine(count: usize) -> EngineHarness {
    let mut harness = EngineHarness::new(EngineSettings::default(), 2, 2);
    for number in 0..count {
        harness.submit(submission(&key(0, &number.to_string()), 2, 1_000), false);
        harness.finish_all();
    }
    harness.answers.clear();
    harness.engine.set_leaving(true);
    harness
}

#[test]
fn memory_is_available_only_if_new_keys_are_refused_and_no_job_runs() {
    let mut harness = EngineHarness::new(EngineSettings::default(), 1, 1);
    assert!(
        harness.engine.remembered_jobs(harness.now).is_none(),
        "new keys are accepted"
    );
    harness.submit(submission(&key(0, "one"), 1, 1_000), true);
    harness.engine.set_leaving(true);
    assert!(
        harness.engine.remembered_jobs(harness.now).is_none(),
        "a job is running"
    );
    harness.finish_all();
    let memory = harness.engine.remembered_jobs(harness.now).unwrap();
    assert_eq!(memory.jobs.len(), 1);
    assert_eq!(
        memory.from_ms,
        START_WALL_MS - JobSettings::default().key_window_ms
    );
}

#[test]
fn a_successor_answers_from_memory_and_starts_no_task() {
    let leaving = leaving_engine(3);
    let memory = leaving.engine.remembered_jobs(leaving.now).unwrap();
    let mut successor = EngineHarness::new(EngineSettings::default(), 2, 2);
    for job in memory.jobs {
        assert!(successor.engine.remember(successor.now, job.clone()));
        assert!(
            successor.engine.remember(successor.now, job),
            "remembering a job twice must succeed"
        );
    }
    assert_eq!(successor.engine.stats().keys, 3);
    recall(&mut successor, &key(0, "1"), Some(7));
    let answer = successor.answer();
    assert_eq!(state_of(&answer), (JobState::Complete, Verdict::Ran, ""));
    recall(&mut successor, &key(0, "1"), Some(8));
    assert_eq!(successor.refusal().reason, RefusalReason::KeyReused);
    recall(&mut successor, &key(0, "other"), Some(7));
    assert_eq!(successor.refusal().reason, RefusalReason::OwnerLeft);
    let window_ms = JobSettings::default().key_window_ms;
    recall(&mut successor, &key(window_ms + 1, "old"), None);
    assert_eq!(successor.refusal().verdict, Verdict::MayHaveRun);
    assert!(successor.starts.is_empty());
}

#[test]
fn received_memory_is_subject_to_the_limits() {
    let leaving = leaving_engine(4);
    let jobs = JobSettings {
        keys_max: 3,
        results_bytes_max: 3,
        shards: 1,
        ..JobSettings::default()
    };
    let settings = EngineSettings {
        jobs,
        ..EngineSettings::default()
    };
    let mut successor = EngineHarness::new(settings, 2, 2);
    let memory = leaving.engine.remembered_jobs(leaving.now).unwrap();
    let kept: Vec<bool> = memory
        .jobs
        .iter()
        .map(|job| successor.engine.remember(successor.now, job.clone()))
        .collect();
    assert_eq!(kept, [true, true, true, false]);
    let stats = successor.engine.stats();
    // Each job has two results of one byte, so only those of the newest job fit.
    assert_eq!((stats.keys, stats.results_bytes), (3, 2));
    recall(&mut successor, &memory.jobs[0].key, Some(7));
    let answer = successor.answer();
    let dropped = (JobState::Complete, Verdict::Ran, "result_dropped");
    assert_eq!(state_of(&answer), dropped);
}
