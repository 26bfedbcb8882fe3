//! The engine: dedupe, verdicts, ends of jobs and the memory of them.

mod engine_support;

use bytes::Bytes;
use engine_support::*;
use trefoil_core::engine::*;
use trefoil_core::verdict::Verdict;

fn bench() -> EngineHarness {
    EngineHarness::new(EngineSettings::default(), 2, 2)
}

#[test]
fn answers_whole_and_replays_without_a_second_start() {
    let mut bench = bench();
    let job = key(0, "one");
    bench.submit(submission(&job, 6, 1000), true);
    bench.submit(submission(&job, 6, 1000), true);
    assert_eq!(bench.starts.len(), 4);
    assert_eq!(bench.finish_all(), 6);
    assert_eq!(bench.answers.len(), 2);
    bench.submit(submission(&job, 6, 1000), true);
    assert_eq!(bench.finish_all(), 0);
    let answers: Vec<_> = bench.answers.drain(..).collect();
    let expected: Vec<Bytes> = (0..6).map(|index| Bytes::from(index.to_string())).collect();
    for (number, (_, answer)) in answers.iter().enumerate() {
        let JobAnswer::Known {
            results, replayed, ..
        } = answer
        else {
            panic!("refused");
        };
        assert_eq!(results[..], expected[..]);
        assert_eq!(*replayed, number > 0);
        assert_eq!(state_of(answer), (JobState::Complete, Verdict::Ran, ""));
    }
}

#[test]
fn another_body_under_a_known_key_is_not_run() {
    let mut bench = bench();
    let job = key(0, "one");
    bench.submit(submission(&job, 1, 1000), true);
    let other = Submission {
        fingerprint: 8,
        ..submission(&job, 1, 1000)
    };
    bench.submit(other, true);
    let refusal = bench.refusal();
    assert_eq!(refusal.reason, RefusalReason::KeyReused);
    assert_eq!(refusal.verdict, Verdict::NotRun);
    assert_eq!(bench.starts.len(), 1);
}

#[test]
fn keys_outside_their_time_never_start() {
    let mut bench = bench();
    let limit_ms = START_WALL_MS - 500;
    bench.engine.set_admission_limit(limit_ms);
    let cases = [
        (600_001, RefusalReason::KeyExpired, Verdict::MayHaveRun),
        (400, RefusalReason::NotVouched, Verdict::NotRun),
    ];
    for (age_ms, reason, verdict) in cases {
        bench.submit(submission(&key(age_ms, "x"), 1, 1000), true);
        let refusal = bench.refusal();
        assert_eq!((refusal.reason, refusal.verdict), (reason, verdict));
    }
    let ahead = format!("{}-x", START_WALL_MS + 1001);
    let ahead = trefoil_core::key::JobKey::parse(&ahead).unwrap();
    bench.submit(submission(&ahead, 1, 1000), true);
    assert_eq!(bench.refusal().reason, RefusalReason::KeyAhead);
    assert!(bench.starts.is_empty());
}

#[test]
fn a_forgotten_key_never_starts_again_even_if_the_wall_clock_goes_back() {
    let mut bench = bench();
    let job = key(0, "one");
    bench.submit(submission(&job, 1, 1000), true);
    bench.finish_all();
    bench.advance_ms(600_001);
    assert_eq!(bench.engine.stats().keys, 0);
    bench.now.wall_ms = START_WALL_MS;
    bench.answers.clear();
    bench.submit(submission(&job, 1, 1000), true);
    assert_eq!(bench.refusal().reason, RefusalReason::KeyExpired);
    assert!(bench.starts.is_empty());
}

#[test]
fn a_job_fails_with_its_first_task_and_drops_the_rest() {
    let lost = TaskOutcome::MayHaveRun("timeout".to_owned());
    let failed = TaskOutcome::Failed("500".to_owned());
    for (outcome, reason) in [(lost, "task_lost"), (failed, "task_failed")] {
        let mut bench = bench();
        bench.submit(submission(&key(0, "one"), 100, 1000), true);
        let first = bench.starts.pop_front().unwrap();
        bench.finish(first.task, outcome);
        let answer = bench.answer();
        let expected = (JobState::Failed, Verdict::MayHaveRun, reason);
        assert_eq!(state_of(&answer), expected);
        assert_eq!(bench.engine.stats().tasks_queued, 0);
        assert_eq!(bench.finish_all(), 3);
        assert_eq!(bench.engine.stats().outcomes_dropped, 3);
        assert!(bench.answers.is_empty());
    }
}

#[test]
fn a_deadline_is_answered_and_its_verdict_is_true() {
    let mut bench = bench();
    bench.submit(submission(&key(0, "starts"), 4, 1000), true);
    bench.submit(submission(&key(0, "waits"), 1, 1000), true);
    bench.advance_ms(999);
    assert!(bench.answers.is_empty());
    bench.advance_ms(1);
    let answers: Vec<_> = bench.answers.drain(..).collect();
    let started = (JobState::Failed, Verdict::MayHaveRun, "deadline");
    let waited = (JobState::Failed, Verdict::NotRun, "deadline");
    assert_eq!(state_of(&answers[0].1), started);
    assert_eq!(state_of(&answers[1].1), waited);
    assert_eq!(bench.finish_all(), 4);
}

#[test]
fn a_refused_placement_goes_to_another_worker_a_lost_one_nowhere() {
    let mut bench = bench();
    bench.submit(submission(&key(0, "one"), 1, 1000), true);
    let first = bench.starts.pop_front().unwrap();
    bench.finish(first.task, TaskOutcome::NotRun("503".to_owned()));
    let second = bench.starts.pop_front().unwrap();
    assert_eq!((second.index, second.attempt), (0, 2));
    assert_ne!(second.worker, first.worker);
    bench.finish(second.task, TaskOutcome::MayHaveRun("reset".to_owned()));
    assert!(bench.starts.is_empty());
    assert_eq!(state_of(&bench.answer()).1, Verdict::MayHaveRun);
}

#[test]
fn a_cancelled_job_answers_everyone_and_starts_nothing_more() {
    let mut bench = bench();
    let job = key(0, "one");
    bench.submit(submission(&job, 10, 1000), true);
    bench.cancel(&job);
    let expected = (JobState::Cancelled, Verdict::MayHaveRun, "cancelled");
    for (_, answer) in bench.answers.drain(..) {
        assert_eq!(state_of(&answer), expected);
    }
    assert_eq!(bench.finish_all(), 4);
}

#[test]
fn results_are_dropped_within_the_bound_and_the_verdict_stays() {
    let mut settings = EngineSettings::default();
    settings.jobs.shards = 1;
    settings.jobs.results_bytes_max = 2;
    let mut bench = EngineHarness::new(settings, 1, 1);
    for name in ["one", "two", "three"] {
        bench.submit(submission(&key(0, name), 1, 1000), true);
        bench.finish_all();
    }
    assert_eq!(bench.engine.stats().results_bytes, 2);
    bench.answers.clear();
    bench.submit(submission(&key(0, "one"), 1, 1000), true);
    let expected = (JobState::Complete, Verdict::Ran, "result_dropped");
    assert_eq!(state_of(&bench.answer()), expected);
}

#[test]
fn beyond_keys_max_new_jobs_are_refused_and_known_ones_answered() {
    let mut settings = EngineSettings::default();
    settings.jobs.keys_max = 1;
    let mut bench = EngineHarness::new(settings, 1, 1);
    bench.submit(submission(&key(0, "one"), 1, 1000), true);
    bench.submit(submission(&key(0, "two"), 1, 1000), true);
    let refusal = bench.refusal();
    assert_eq!(refusal.reason, RefusalReason::MemoryFull);
    assert_eq!(refusal.verdict, Verdict::NotRun);
    bench.finish_all();
    assert_eq!(state_of(&bench.answer()).0, JobState::Complete);
}

#[test]
fn a_leaving_instance_answers_known_keys_and_refuses_new_ones() {
    let mut bench = bench();
    let job = key(0, "one");
    bench.submit(submission(&job, 1, 1000), true);
    bench.engine.set_leaving(true);
    bench.submit(submission(&key(0, "two"), 1, 1000), true);
    let refusal = bench.refusal();
    assert_eq!(refusal.reason, RefusalReason::Leaving);
    assert_eq!(refusal.verdict, Verdict::NotRun);
    bench.submit(submission(&job, 1, 1000), true);
    bench.finish_all();
    assert_eq!(bench.answers.len(), 2);
}

#[test]
fn a_leaving_worker_gets_no_new_work() {
    let mut bench = bench();
    let mut leaving = config(2, 2);
    let first = leaving.backend_servers.values_mut().next().unwrap();
    first.spec.state = trefoil_schema::resources::BackendServerState::Leaving;
    bench.set_config(&leaving);
    bench.submit(submission(&key(0, "one"), 4, 1000), true);
    assert_eq!(bench.starts.len(), 2);
    assert_eq!(bench.starts[0].worker, bench.starts[1].worker);
}

#[test]
fn instances_divide_slots_exactly_and_evenly() {
    arbtest::arbtest(|u| {
        let slots: Vec<u32> = u.arbitrary_iter::<u8>()?.flatten().map(u32::from).collect();
        let count = u.int_in_range(1..=9)?;
        let members: Vec<String> = (0..count).map(|number| format!("i{number}")).collect();
        let shares: Vec<Vec<u32>> = members
            .iter()
            .map(|me| shares::divide_slots(&slots, me, &members))
            .collect();
        for (worker, total) in slots.iter().enumerate() {
            let given: u32 = shares.iter().map(|share| share[worker]).sum();
            assert_eq!(given, *total);
        }
        let totals = shares.iter().map(|share| share.iter().sum::<u32>());
        let (least, most) = (totals.clone().min().unwrap(), totals.max().unwrap());
        assert!(most - least <= 1);
        Ok(())
    });
}
