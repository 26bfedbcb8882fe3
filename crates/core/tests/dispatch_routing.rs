//! Where an entry sends jobs by the loads that owners report, and what it refuses.

mod dispatch_support;

use dispatch_support::job;
use dispatch_support::orders::fenced_owner;
use trefoil_core::dispatch::entry::{
    Answer, Command, Entry, PoolOwner, RevocationCause, RoutingOutcome,
};
use trefoil_core::dispatch::job::Origin;
use trefoil_core::dispatch::limits::{HEARTBEAT_MS, REDELEGATION_DELAY_MS};
use trefoil_core::dispatch::owner::{self, JobResult, Owner};
use trefoil_schema::dispatch::{Claim, FreeCpu, Job, Load, Node, Outcome};

const FAR_MS: u64 = 1_000_000;

/// Free CPU by amount in cores and number of workers.
fn shape(amounts: &[(u32, u32)]) -> Vec<FreeCpu> {
    let amounts = amounts.iter();
    amounts
        .map(|&(cores, workers)| FreeCpu {
            millicores: cores * 1000,
            workers,
        })
        .collect()
}

fn load(free_cpu: Vec<FreeCpu>, begin_delay_ms: u32) -> Load {
    let free = free_cpu.iter();
    let free = free.map(|amount| u64::from(amount.millicores) * u64::from(amount.workers));
    Load {
        serving: true,
        capacity_millicores: 100_000,
        free_millicores: free.sum(),
        free_cpu,
        begin_delay_ms,
        ..Load::default()
    }
}

fn idle() -> Load {
    load(shape(&[(10, 10)]), 0)
}

/// All workers are in use, and jobs wait.
fn full(begin_delay_ms: u32) -> Load {
    load(shape(&[(0, 10)]), begin_delay_ms)
}

fn claim(pool: &str) -> Claim {
    Claim {
        pool: pool.to_owned(),
        failure_domain: pool.split('/').next().unwrap_or(pool).to_owned(),
        term: 1,
        owner: Some(Node {
            name: format!("owner of {pool}"),
            ..Node::default()
        }),
    }
}

fn owner_of(pool: &str) -> PoolOwner {
    PoolOwner {
        pool: pool.to_owned(),
        owner: format!("owner of {pool}"),
    }
}

fn report(entry: &mut Entry, now_ms: u64, pool: &str, load: Load) -> Vec<Command> {
    let mut out = Vec::new();
    entry.update_pool(now_ms, &claim(pool), load, &mut out);
    out
}

/// A job with two tasks of `cores` each, 100 ms long, that must begin within 60 ms.
fn urgent(id: &str, cores: u64) -> Job {
    let mut spec = job(id, 2, 100);
    spec.stretch = 1.0;
    spec.phases[0].cpu_millicores = cores * 1000;
    spec
}

fn submit(entry: &mut Entry, now_ms: u64, spec: Job) -> Vec<Command> {
    let mut out = Vec::new();
    entry.submit(now_ms, 1, spec, now_ms + FAR_MS, &mut out);
    out
}

fn delegated_to(commands: &[Command]) -> Option<&str> {
    commands.iter().find_map(|command| match command {
        Command::Delegate { to, .. } => Some(to.pool.as_str()),
        _ => None,
    })
}

fn outcome(commands: &[Command]) -> Option<&RoutingOutcome> {
    commands.iter().find_map(|command| match command {
        Command::Routing(event) => Some(&event.outcome),
        _ => None,
    })
}

fn retry_after_ms(commands: &[Command]) -> Option<u64> {
    commands.iter().find_map(|command| match command {
        Command::Answer {
            answer: Answer::NotRun { retry_after_ms, .. },
            ..
        } => Some(*retry_after_ms),
        _ => None,
    })
}

fn refuse(entry: &mut Entry, now_ms: u64, pool: &str, id: &str, load: Load) -> Vec<Command> {
    let mut out = Vec::new();
    let from = owner_of(pool);
    entry.on_refusal_load(now_ms, &from, load, &mut out);
    let result = JobResult {
        job_id: id.to_owned(),
        delegation: 0,
        outcome: Outcome::NotRun,
        retry_after_ms: 2500,
    };
    entry.on_job_ended(now_ms, &from, &result, &mut out);
    out
}

/// Guards against sending jobs to a full local pool whose free CPU is in pieces that are
/// too small for any task, while another failure domain is idle.
#[test]
fn pool_with_small_pieces_is_not_free_for_large_tasks() {
    let mut entry = Entry::new("a");
    report(&mut entry, 0, "a/0", load(shape(&[(2, 20)]), 0));
    report(&mut entry, 0, "b/0", idle());
    let out = submit(&mut entry, 1, urgent("large", 6));
    assert_eq!(delegated_to(&out), Some("b/0"));
    let out = submit(&mut entry, 1, urgent("small", 2));
    assert_eq!(delegated_to(&out), Some("a/0"));
}

/// Guards against sending two jobs to the same piece before the next report.
#[test]
fn pieces_that_the_entry_has_used_are_not_used_again() {
    let mut entry = Entry::new("a");
    report(&mut entry, 0, "a/0", load(shape(&[(7, 2), (2, 20)]), 0));
    report(&mut entry, 0, "b/0", idle());
    assert_eq!(
        delegated_to(&submit(&mut entry, 1, urgent("x", 6))),
        Some("a/0")
    );
    assert_eq!(
        delegated_to(&submit(&mut entry, 1, urgent("y", 6))),
        Some("b/0")
    );
    report(&mut entry, 100, "a/0", load(shape(&[(7, 2)]), 0));
    assert_eq!(
        delegated_to(&submit(&mut entry, 101, urgent("z", 6))),
        Some("a/0")
    );
}

/// Guards against herding: a remote pool is not filled up to what its own callers need.
#[test]
fn remote_pool_keeps_capacity_for_its_own_callers() {
    let mut entry = Entry::new("a");
    report(&mut entry, 0, "a/0", full(1));
    report(&mut entry, 0, "b/0", load(shape(&[(10, 2)]), 500));
    let remote = (0..50).filter(|number| {
        let out = submit(&mut entry, 1, urgent(&format!("x{number}"), 10));
        delegated_to(&out) == Some("b/0")
    });
    // One in a few hundred by the longer delay alone.
    assert!(remote.count() < 5);
}

/// Guards against a domain being flooded within one heartbeat when it is reachable again.
#[test]
fn domain_that_returns_gets_its_share_gradually() {
    let sent_home = |returned_ms: u64| {
        let mut entry = Entry::new("a");
        report(&mut entry, 0, "b/0", idle());
        let lost = owner_of("b/0");
        entry.on_pool_lost(10, &lost, RevocationCause::LinkLost, &mut Vec::new());
        // Heartbeats continue until then.
        for now_ms in (5000..5000 + returned_ms).step_by(100) {
            report(&mut entry, now_ms, "b/0", full(20));
        }
        let jobs = 0..200;
        let local = jobs.filter(|number| {
            // New reports, so that own delegations do not change the delays.
            report(&mut entry, 5000 + returned_ms, "a/0", full(20));
            report(&mut entry, 5000 + returned_ms, "b/0", full(20));
            let spec = urgent(&format!("x{number}"), 1);
            delegated_to(&submit(&mut entry, 5000 + returned_ms, spec)) == Some("a/0")
        });
        local.count()
    };
    assert!(sent_home(0) > 150, "{} of 200 at home", sent_home(0));
    assert!(sent_home(3000) < 150, "{} of 200 at home", sent_home(3000));
}

/// Guards against sending a refused job round pools that refuse it too.
#[test]
fn refused_job_is_sent_on_once_and_only_where_it_can_begin() {
    let mut entry = Entry::new("a");
    report(&mut entry, 0, "a/0", idle());
    for pool in ["b/0", "c/0", "d/0"] {
        report(&mut entry, 0, pool, full(10_000));
    }
    submit(&mut entry, 1, urgent("x", 6));
    let out = refuse(&mut entry, 3, "a/0", "x", full(200));
    assert_eq!(delegated_to(&out), None);
    assert_eq!(retry_after_ms(&out), Some(2500));
    assert!(matches!(
        outcome(&out),
        Some(RoutingOutcome::NotSentOn { .. })
    ));

    report(&mut entry, 100, "a/0", idle());
    report(&mut entry, 100, "b/0", idle());
    report(&mut entry, 100, "c/0", idle());
    submit(&mut entry, 101, urgent("y", 6));
    let out = refuse(&mut entry, 103, "a/0", "y", full(200));
    let second = delegated_to(&out).unwrap().to_owned();
    assert!(matches!(outcome(&out), Some(RoutingOutcome::SentOn { .. })));
    let out = refuse(&mut entry, 105, &second, "y", full(200));
    assert_eq!(delegated_to(&out), None, "a third pool is not tried");
    assert_eq!(retry_after_ms(&out), Some(2500));
}

#[test]
fn refused_job_is_not_sent_on_after_its_latest_start() {
    let mut entry = Entry::new("a");
    report(&mut entry, 0, "a/0", idle());
    submit(&mut entry, 1, urgent("x", 6));
    report(&mut entry, 70, "b/0", idle());
    let out = refuse(&mut entry, 70, "a/0", "x", full(200));
    assert_eq!(delegated_to(&out), None);
    assert_eq!(retry_after_ms(&out), Some(2500));
}

/// Guards against delegations to a pool whose refusal has shown it to be full.
#[test]
fn refusal_updates_the_view_of_the_pool() {
    let mut entry = Entry::new("a");
    report(&mut entry, 0, "a/0", idle());
    report(&mut entry, 0, "b/0", idle());
    assert_eq!(
        delegated_to(&submit(&mut entry, 1, urgent("x", 6))),
        Some("a/0")
    );
    refuse(&mut entry, 3, "a/0", "x", full(300));
    assert_eq!(
        delegated_to(&submit(&mut entry, 4, urgent("y", 6))),
        Some("b/0")
    );
}

/// Guards against asking owners about jobs that none can begin in time, and against
/// callers that all return at the same time.
#[test]
fn job_that_no_pool_can_begin_in_time_is_refused_at_once() {
    let mut entry = Entry::new("a");
    report(&mut entry, 0, "a/0", full(10_000));
    report(&mut entry, 0, "b/0", full(10_000));
    let mut last_ms = 0;
    for number in 0..10 {
        let out = submit(&mut entry, 1, urgent(&format!("x{number}"), 6));
        assert_eq!(delegated_to(&out), None);
        assert!(matches!(
            outcome(&out),
            Some(RoutingOutcome::RefusedByEntry { .. })
        ));
        let after_ms = retry_after_ms(&out).unwrap();
        assert!(after_ms > last_ms, "callers are spread");
        last_ms = after_ms;
    }
    assert!(entry.is_empty());
}

/// Guards against refusals by reports of an owner that is lost, or from before this
/// instance was suspended: the owner is asked.
#[test]
fn job_is_not_refused_by_old_reports() {
    let mut entry = Entry::new("a");
    report(&mut entry, 0, "a/0", full(10_000));
    report(&mut entry, 0, "b/0", full(10_000));
    // Only one report is old.
    report(&mut entry, 1000, "a/0", full(10_000));
    let out = submit(&mut entry, 1001, urgent("x", 6));
    assert!(delegated_to(&out).is_some());
    // All reports are old: the instance was suspended for ten seconds.
    entry.extend_liveness_timeouts(10_000);
    let out = submit(&mut entry, 11_001, urgent("y", 6));
    assert!(delegated_to(&out).is_some());
    // The first heartbeats afterwards make the reports valid again.
    report(&mut entry, 11_002, "a/0", full(10_000));
    report(&mut entry, 11_002, "b/0", full(10_000));
    let out = submit(&mut entry, 11_003, urgent("z", 6));
    assert!(retry_after_ms(&out).is_some());
}

/// The margin of a refusal grows with the age of the report.
#[test]
fn older_reports_need_a_longer_delay_for_a_refusal() {
    let refused = |delay_ms: u32, age_ms: u64| {
        let mut entry = Entry::new("a");
        report(&mut entry, 0, "a/0", full(delay_ms));
        retry_after_ms(&submit(&mut entry, age_ms, urgent("x", 6))).is_some()
    };
    let shortest = |age_ms: u64| (0..1000).find(|&delay_ms| refused(delay_ms, age_ms));
    let (fresh, old) = (shortest(1).unwrap(), shortest(HEARTBEAT_MS).unwrap());
    assert!(old > fresh + 50, "{fresh} and {old} ms");
}

/// Guards against refusals while a pool, or all owners of a domain, are unknown.
#[test]
fn job_is_not_refused_while_an_owner_is_missing_or_does_not_report_shapes() {
    let mut entry = Entry::new("a");
    entry.set_local_pools(vec!["a/0".to_owned(), "a/1".to_owned()]);
    report(&mut entry, 0, "a/0", full(10_000));
    assert!(delegated_to(&submit(&mut entry, 1, urgent("vacant", 6))).is_some());
    report(&mut entry, 2, "a/1", full(10_000));
    assert!(delegated_to(&submit(&mut entry, 3, urgent("x", 6))).is_none());
    entry.set_failure_domains(["a", "b"].map(str::to_owned).into_iter());
    assert!(delegated_to(&submit(&mut entry, 3, urgent("domain", 6))).is_some());
    let older = Load {
        free_cpu: Vec::new(),
        ..full(0)
    };
    report(&mut entry, 4, "b/0", older);
    assert!(delegated_to(&submit(&mut entry, 5, urgent("older", 6))).is_some());
}

/// Guards against a panic or an overflow by what a faulty peer sends.
#[test]
fn malformed_reports_are_ignored_and_counted() {
    let max = FreeCpu {
        millicores: u32::MAX,
        workers: u32::MAX,
    };
    let malformed = [
        vec![max; 3],
        vec![max],
        shape(&[(1, 1), (2, 1)]),
        shape(&[(1, 0)]),
        (0..100)
            .rev()
            .map(|cores| shape(&[(cores, 1)])[0])
            .collect(),
    ];
    for free_cpu in malformed {
        let mut entry = Entry::new("a");
        let extreme = Load {
            serving: true,
            capacity_millicores: 1000,
            backlog_millicore_ms: u64::MAX,
            free_millicores: u64::MAX,
            begin_delay_ms: u32::MAX,
            free_cpu,
            ..Load::default()
        };
        let out = report(&mut entry, 0, "a/0", extreme.clone());
        assert!(matches!(&out[..], [Command::MalformedLoad]), "{out:?}");
        report(&mut entry, 0, "b/0", extreme);
        let mut spec = urgent("x", 6);
        spec.phases[0].count = u32::MAX;
        spec.phases[0].estimate_ms = 1 << 40;
        spec.stretch = f64::MAX;
        assert!(delegated_to(&submit(&mut entry, 1, spec)).is_some());
        refuse(&mut entry, 2, "a/0", "x", full(u32::MAX));
        submit(&mut entry, 3, urgent("y", 6));
    }
}

fn delegate(owner: &mut Owner, now_ms: u64, spec: Job) -> Vec<Outcome> {
    let mut out = Vec::new();
    owner.delegate(now_ms, Origin::Link(1), spec, 0, None, &mut out);
    let ended = out.iter().filter_map(|command| match command {
        owner::Command::JobEnded { result, .. } => Some(result.outcome),
        _ => None,
    });
    ended.collect()
}

#[test]
fn owner_reports_free_cpu_by_shape_and_when_a_job_begins() {
    let mut owner = fenced_owner(1, &["w1", "w2"]);
    let load = owner.load(2);
    assert_eq!((load.free_cpu, load.begin_delay_ms), (shape(&[(2, 2)]), 0));
    delegate(&mut owner, 2, job("x", 1, 100));
    let load = owner.load(2);
    assert_eq!(
        (load.free_cpu, load.begin_delay_ms),
        (shape(&[(2, 1), (1, 1)]), 0)
    );
    delegate(&mut owner, 2, job("y", 3, 100));
    assert_eq!(owner.load(2).begin_delay_ms, 0, "no job waits");
    delegate(&mut owner, 2, job("z", 4, 100));
    let load = owner.load(2);
    assert_eq!(load.free_cpu, shape(&[(0, 2)]));
    let expected = 100..=250;
    assert!(expected.contains(&load.begin_delay_ms), "{load:?}");
}

/// Two entries that see the same free piece send their jobs there: the owner starts one
/// and refuses the other, which the entry then sends to another pool.
#[test]
fn two_entries_that_choose_the_same_piece_lose_no_job() {
    let mut owner = fenced_owner(1, &["w1", "w2"]);
    let mut entries = [Entry::new("forde"), Entry::new("forde")];
    let spec = |id: &str| {
        let mut spec = urgent(id, 2);
        spec.phases[0].estimate_ms = 1000;
        spec
    };
    let load = owner.load(2);
    let mut refused = 0;
    for (entry, id) in entries.iter_mut().zip(["x", "y"]) {
        report(entry, 2, "forde/0", load.clone());
        report(entry, 2, "bergen/0", idle());
        let out = submit(entry, 3, spec(id));
        assert_eq!(delegated_to(&out), Some("forde/0"));
        if delegate(&mut owner, 4, spec(id)) == [Outcome::NotRun] {
            refused += 1;
            let load = owner.refusal_load(4);
            let out = refuse(entry, 5, "forde/0", id, load);
            assert_eq!(delegated_to(&out), Some("bergen/0"));
        }
    }
    assert_eq!(refused, 1);
}

/// An owner that is lost between the delegation and the start may have started the job:
/// it is not refused by the loads of other pools, and runs elsewhere only after the
/// leases have expired.
#[test]
fn job_of_a_lost_owner_is_not_refused_by_the_entry() {
    let mut entry = Entry::new("a");
    report(&mut entry, 0, "a/0", idle());
    submit(&mut entry, 1, urgent("x", 6));
    report(&mut entry, 90, "b/0", full(10_000));
    let mut out = Vec::new();
    entry.on_owner_lost(100, &owner_of("a/0").owner, &mut out);
    assert!(retry_after_ms(&out).is_none() && delegated_to(&out).is_none());
    let safe_ms = 100 + REDELEGATION_DELAY_MS;
    report(&mut entry, safe_ms - 1, "b/0", full(10_000));
    entry.tick(safe_ms - 1, &mut out);
    assert!(retry_after_ms(&out).is_none() && delegated_to(&out).is_none());
    entry.tick(safe_ms, &mut out);
    assert_eq!(delegated_to(&out), Some("b/0"));
}
