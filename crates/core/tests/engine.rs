//! Deduplication by key, verdicts, ends of jobs and expiry of keys.

mod engine_support;

use bytes::Bytes;
use engine_support::*;
use trefoil_core::engine::*;
use trefoil_core::verdict::Verdict;

fn harness() -> EngineHarness {
    EngineHarness::new(EngineSettings::default(), 2, 2)
}

#[test]
fn answers_whole_and_replays_without_a_second_start() {
    let mut harness = harness();
    let job = key(0, "one");
    harness.submit(submission(&job, 6, 1000), true);
    harness.submit(submission(&job, 6, 1000), true);
    assert_eq!(harness.starts.len(), 4);
    assert_eq!(harness.finish_all(), 6);
    assert_eq!(harness.answers.len(), 2);
    harness.submit(submission(&job, 6, 1000), true);
    assert_eq!(harness.finish_all(), 0);
    let answers: Vec<_> = harness.answers.drain(..).collect();
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
    let mut harness = harness();
    let job = key(0, "one");
    harness.submit(submission(&job, 1, 1000), true);
    let other = Submission {
        fingerprint: 8,
        ..submission(&job, 1, 1000)
    };
    harness.submit(other, true);
    let refusal = harness.refusal();
    assert_eq!(refusal.reason, RefusalReason::KeyReused);
    assert_eq!(refusal.verdict, Verdict::NotRun);
    assert_eq!(harness.starts.len(), 1);
}

#[test]
fn keys_outside_their_time_never_start() {
    let mut harness = harness();
    let limit_ms = START_WALL_MS - 500;
    harness.engine.set_admission_limit(limit_ms);
    let cases = [
        (600_001, RefusalReason::KeyExpired, Verdict::MayHaveRun),
        (400, RefusalReason::NotVouched, Verdict::NotRun),
    ];
    for (age_ms, reason, verdict) in cases {
        harness.submit(submission(&key(age_ms, "x"), 1, 1000), true);
        let refusal = harness.refusal();
        assert_eq!((refusal.reason, refusal.verdict), (reason, verdict));
    }
    let ahead = format!("{}-x", START_WALL_MS + 1001);
    let ahead = trefoil_core::key::JobKey::parse(&ahead).unwrap();
    harness.submit(submission(&ahead, 1, 1000), true);
    assert_eq!(harness.refusal().reason, RefusalReason::KeyAhead);
    assert!(harness.starts.is_empty());
}

#[test]
fn a_forgotten_key_never_starts_again_even_if_the_wall_clock_goes_back() {
    let mut harness = harness();
    let job = key(0, "one");
    harness.submit(submission(&job, 1, 1000), true);
    harness.finish_all();
    harness.advance_ms(600_001);
    assert_eq!(harness.engine.stats().keys, 0);
    harness.now.wall_ms = START_WALL_MS;
    harness.answers.clear();
    harness.submit(submission(&job, 1, 1000), true);
    assert_eq!(harness.refusal().reason, RefusalReason::KeyExpired);
    assert!(harness.starts.is_empty());
}

#[test]
fn a_job_fails_with_its_first_task_and_drops_the_rest() {
    let lost = TaskOutcome::MayHaveRun("timeout".to_owned());
    let failed = TaskOutcome::Failed("500".to_owned());
    for (outcome, reason) in [(lost, "task_lost"), (failed, "task_failed")] {
        let mut harness = harness();
        harness.submit(submission(&key(0, "one"), 100, 1000), true);
        let first = harness.starts.pop_front().unwrap();
        harness.finish(first.task, outcome);
        let answer = harness.answer();
        let expected = (JobState::Failed, Verdict::MayHaveRun, reason);
        assert_eq!(state_of(&answer), expected);
        assert_eq!(harness.engine.stats().tasks_queued, 0);
        assert_eq!(harness.finish_all(), 3);
        assert_eq!(harness.engine.stats().outcomes_dropped, 3);
        assert!(harness.answers.is_empty());
    }
}

#[test]
fn a_passed_deadline_fails_the_job_with_the_right_verdict() {
    let mut harness = harness();
    harness.submit(submission(&key(0, "starts"), 4, 1000), true);
    harness.submit(submission(&key(0, "waits"), 1, 1000), true);
    harness.advance_ms(999);
    assert!(harness.answers.is_empty());
    harness.advance_ms(1);
    let answers: Vec<_> = harness.answers.drain(..).collect();
    let started = (JobState::Failed, Verdict::MayHaveRun, "deadline");
    let waited = (JobState::Failed, Verdict::NotRun, "deadline");
    assert_eq!(state_of(&answers[0].1), started);
    assert_eq!(state_of(&answers[1].1), waited);
    assert_eq!(harness.finish_all(), 4);
}

#[test]
fn refused_placements_are_retried_elsewhere_and_lost_ones_are_not() {
    let mut harness = harness();
    harness.submit(submission(&key(0, "one"), 1, 1000), true);
    let first = harness.starts.pop_front().unwrap();
    harness.finish(first.task, TaskOutcome::NotRun("503".to_owned()));
    let second = harness.starts.pop_front().unwrap();
    assert_eq!((second.index, second.attempt), (0, 2));
    assert_ne!(second.worker, first.worker);
    harness.finish(second.task, TaskOutcome::MayHaveRun("reset".to_owned()));
    assert!(harness.starts.is_empty());
    assert_eq!(state_of(&harness.answer()).1, Verdict::MayHaveRun);
}

#[test]
fn a_cancelled_job_answers_everyone_and_starts_nothing_more() {
    let mut harness = harness();
    let job = key(0, "one");
    harness.submit(submission(&job, 10, 1000), true);
    harness.cancel(&job);
    let expected = (JobState::Cancelled, Verdict::MayHaveRun, "cancelled");
    for (_, answer) in harness.answers.drain(..) {
        assert_eq!(state_of(&answer), expected);
    }
    assert_eq!(harness.finish_all(), 4);
}

#[test]
fn results_beyond_the_limit_are_dropped_and_the_verdict_is_kept() {
    let mut settings = EngineSettings::default();
    settings.jobs.shards = 1;
    settings.jobs.results_bytes_max = 2;
    let mut harness = EngineHarness::new(settings, 1, 1);
    for name in ["one", "two", "three"] {
        harness.submit(submission(&key(0, name), 1, 1000), true);
        harness.finish_all();
    }
    assert_eq!(harness.engine.stats().results_bytes, 2);
    harness.answers.clear();
    harness.submit(submission(&key(0, "one"), 1, 1000), true);
    let expected = (JobState::Complete, Verdict::Ran, "result_dropped");
    assert_eq!(state_of(&harness.answer()), expected);
}

#[test]
fn beyond_keys_max_new_jobs_are_refused_and_known_ones_answered() {
    let mut settings = EngineSettings::default();
    settings.jobs.keys_max = 1;
    let mut harness = EngineHarness::new(settings, 1, 1);
    harness.submit(submission(&key(0, "one"), 1, 1000), true);
    harness.submit(submission(&key(0, "two"), 1, 1000), true);
    let refusal = harness.refusal();
    assert_eq!(refusal.reason, RefusalReason::MemoryFull);
    assert_eq!(refusal.verdict, Verdict::NotRun);
    harness.finish_all();
    assert_eq!(state_of(&harness.answer()).0, JobState::Complete);
}

#[test]
fn a_leaving_instance_answers_known_keys_and_refuses_new_ones() {
    let mut harness = harness();
    let job = key(0, "one");
    harness.submit(submission(&job, 1, 1000), true);
    harness.engine.set_leaving(true);
    harness.submit(submission(&key(0, "two"), 1, 1000), true);
    let refusal = harness.refusal();
    assert_eq!(refusal.reason, RefusalReason::Leaving);
    assert_eq!(refusal.verdict, Verdict::NotRun);
    harness.submit(submission(&job, 1, 1000), true);
    harness.finish_all();
    assert_eq!(harness.answers.len(), 2);
}

#[test]
fn a_leaving_worker_gets_no_new_work() {
    let mut harness = harness();
    let mut leaving = config(2, 2);
    let first = leaving.backend_servers.values_mut().next().unwrap();
    first.spec.state = trefoil_schema::resources::BackendServerState::Leaving;
    harness.set_config(&leaving);
    harness.submit(submission(&key(0, "one"), 4, 1000), true);
    assert_eq!(harness.starts.len(), 2);
    assert_eq!(harness.starts[0].worker, harness.starts[1].worker);
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
            let assigned: u32 = shares.iter().map(|share| share[worker]).sum();
            assert_eq!(assigned, *total);
        }
        let totals = shares.iter().map(|share| share.iter().sum::<u32>());
        let (least, most) = (totals.clone().min().unwrap(), totals.max().unwrap());
        assert!(most - least <= 1);
        Ok(())
    });
}
