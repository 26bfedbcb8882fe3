//! Quotas, fair shares, retries, shares of slots, and at-most-once starts under
//! random histories.

mod engine_support;

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex};
use std::thread;

use arbtest::arbitrary::{Result as ArbitraryResult, Unstructured};
use bytes::Bytes;
use engine_support::*;
use trefoil_core::engine::*;
use trefoil_core::verdict::Verdict;

fn without_admission() -> EngineSettings {
    EngineSettings {
        admission: false,
        ..EngineSettings::default()
    }
}

fn refused() -> TaskOutcome {
    TaskOutcome::NotRun("503".to_owned())
}

#[test]
fn a_smaller_share_takes_effect_as_tasks_finish() {
    let mut harness = EngineHarness::new(without_admission(), 2, 4);
    harness.submit(submission(&key(0, "one"), 100, 60_000), true);
    assert_eq!(harness.starts.len(), 8);
    harness.set_members(&["a", "b"]);
    assert_eq!(harness.engine.stats().slots_owned, 4);
    for finished in 1..=8_usize {
        let start = harness.starts.pop_front().unwrap();
        harness.finish(start.task, TaskOutcome::Done(Bytes::new()));
        assert!(harness.engine.stats().tasks_running >= 4);
        assert!(harness.starts.len() <= 8 - finished.min(4));
    }
    assert_eq!(harness.engine.stats().tasks_running, 4);
}

#[test]
fn gained_slots_are_used_after_a_delay() {
    let mut harness = EngineHarness::new(without_admission(), 2, 4);
    harness.set_members(&["a", "b"]);
    harness.submit(submission(&key(0, "one"), 100, 60_000), true);
    assert_eq!(harness.starts.len(), 4);
    harness.set_members(&["a"]);
    harness.advance_ms(999);
    assert_eq!(harness.engine.stats().tasks_running, 4);
    harness.advance_ms(1);
    assert_eq!(harness.engine.stats().tasks_running, 8);
}

#[test]
fn a_joining_instance_uses_its_share_after_a_delay() {
    let mut harness = EngineHarness::new(without_admission(), 2, 4);
    harness.set_members(&["b"]);
    harness.set_members(&["a", "b"]);
    harness.submit(submission(&key(0, "one"), 100, 60_000), true);
    assert!(harness.starts.is_empty());
    harness.advance_ms(1000);
    assert_eq!(harness.starts.len(), 4);
}

#[test]
fn an_instance_that_is_not_a_member_starts_nothing() {
    let mut harness = EngineHarness::new(without_admission(), 2, 4);
    harness.set_members(&["b"]);
    harness.submit(submission(&key(0, "one"), 1, 1000), true);
    let refusal = harness.refusal();
    assert_eq!(refusal.reason, RefusalReason::NoWorkers);
    assert_eq!(refusal.verdict, Verdict::NotRun);
}

#[test]
fn a_team_stays_within_slots_max_and_others_use_the_rest() {
    let mut harness = EngineHarness::new(without_admission(), 2, 4);
    let mut limited = config(2, 4);
    limited.teams.get_mut("red").unwrap().spec.slots_max = 3;
    harness.set_config(&limited);
    for name in ["one", "two"] {
        harness.submit(submission(&key(0, name), 10, 60_000), true);
    }
    assert_eq!(harness.starts.len(), 3);
    let blue = Submission {
        team: "blue".into(),
        ..submission(&key(0, "blue"), 10, 60_000)
    };
    harness.submit(blue, true);
    assert_eq!(harness.starts.len(), 8);
    assert_eq!(harness.finish_all(), 30);
    assert_eq!(harness.answers.len(), 3);
}

#[test]
fn a_parked_job_resumes_when_the_one_before_it_is_cancelled() {
    let mut harness = EngineHarness::new(without_admission(), 2, 1);
    let mut limited = config(2, 1);
    limited.teams.get_mut("red").unwrap().spec.slots_max = 1;
    harness.set_config(&limited);
    for name in ["first", "second", "third"] {
        harness.submit(submission(&key(0, name), 1, 60_000), true);
    }
    let urgent = Submission {
        team: "blue".into(),
        ..submission(&key(0, "urgent"), 2, 3000)
    };
    harness.submit(urgent, true);
    let first = harness.starts.pop_front().unwrap();
    harness.finish(first.task, TaskOutcome::Done(Bytes::new()));
    harness.cancel(&key(0, "second"));
    assert_eq!(harness.finish_all(), 3);
    // The cancelled job answers both the submission and the cancellation.
    assert_eq!(harness.answers.len(), 5);
}

#[test]
fn a_team_beyond_queued_tasks_max_is_refused_and_others_are_not() {
    let mut harness = EngineHarness::new(without_admission(), 1, 1);
    let mut limited = config(1, 1);
    limited.teams.get_mut("red").unwrap().spec.queued_tasks_max = 5;
    harness.set_config(&limited);
    harness.submit(submission(&key(0, "one"), 5, 60_000), true);
    harness.submit(submission(&key(0, "two"), 5, 60_000), true);
    let refusal = harness.refusal();
    assert_eq!(refusal.reason, RefusalReason::Quota);
    assert_eq!(refusal.verdict, Verdict::NotRun);
    assert!(refusal.retry_after_ms > 0);
    let blue = Submission {
        team: "blue".into(),
        ..submission(&key(0, "blue"), 5, 60_000)
    };
    harness.submit(blue, true);
    assert!(harness.answers.is_empty());
}

#[test]
fn a_team_with_many_jobs_does_not_delay_another() {
    let mut harness = EngineHarness::new(without_admission(), 1, 4);
    for number in 0..200 {
        let name = format!("red-{number}");
        harness.submit(submission(&key(0, &name), 4, 300_000), true);
    }
    let mut blue = Vec::new();
    for number in 0..10 {
        harness.now = harness.now.plus_ms(10);
        let submission = Submission {
            team: "blue".into(),
            ..submission(&key(0, &format!("blue-{number}")), 4, 300_000)
        };
        blue.push(harness.submit(submission, true));
    }
    harness.finish_all();
    let order = harness.answers.iter().map(|(waiter, _)| *waiter);
    let last_blue = order
        .enumerate()
        .filter(|(_, waiter)| blue.contains(waiter));
    let last_blue = last_blue.map(|(position, _)| position).max().unwrap();
    assert!(last_blue < 40, "{last_blue} of 210");
}

#[test]
fn retries_stay_within_the_budget_and_jobs_never_run_report_not_run() {
    let mut harness = EngineHarness::new(without_admission(), 10, 8);
    for number in 0..200 {
        let name = format!("job-{number}");
        harness.submit(submission(&key(0, &name), 1, 600_000), true);
    }
    for _ in 0..2000 {
        while let Some(start) = harness.starts.pop_front() {
            harness.finish(start.task, refused());
        }
        harness.advance_ms(10);
    }
    let stats = harness.engine.stats();
    assert_eq!(harness.answers.len(), 200);
    assert!(stats.tasks_retried <= 10 + 200 / 10, "{stats:?}");
    for (_, answer) in &harness.answers {
        let (state, verdict, reason) = state_of(answer);
        assert_eq!((state, verdict), (JobState::Failed, Verdict::NotRun));
        assert!(matches!(reason, "retry_budget" | "task_refused"));
    }
}

#[test]
fn cancelling_all_jobs_empties_the_queue() {
    let mut harness = EngineHarness::new(without_admission(), 1, 1);
    for number in 0..1000 {
        let name = format!("job-{number}");
        harness.submit(submission(&key(0, &name), 10, 60_000), true);
    }
    for number in 0..1000 {
        harness.cancel(&key(0, &format!("job-{number}")));
    }
    let stats = harness.engine.stats();
    assert_eq!((stats.tasks_queued, stats.jobs_running), (0, 0));
    assert_eq!(harness.answers.len(), 2000);
    assert_eq!(harness.starts.len(), 1);
}

#[test]
fn an_overload_refusal_has_a_stable_retry_delay() {
    let mut harness = EngineHarness::new(EngineSettings::default(), 1, 1);
    harness.submit(submission(&key(0, "one"), 40, 60_000), true);
    let mut waits_ms = Vec::new();
    for _ in 0..2 {
        harness.submit(submission(&key(0, "two"), 1, 1000), true);
        harness.submit(submission(&key(0, "big"), 20, 5_000), true);
        harness
            .answers
            .retain(|(_, answer)| matches!(answer, JobAnswer::Refused(_)));
        let refusal = harness.refusal();
        assert_eq!(refusal.reason, RefusalReason::Overload);
        assert_eq!(refusal.verdict, Verdict::NotRun);
        waits_ms.push(refusal.retry_after_ms);
    }
    assert!(waits_ms[0] >= 100);
    assert_eq!(waits_ms[0], waits_ms[1]);
}

#[test]
fn concurrent_submissions_of_the_same_keys_start_each_task_once() {
    let engine = EngineHarness::new(without_admission(), 10, 8).engine;
    let engine = Arc::new(engine);
    let (starts, answers) = (
        Arc::new(Mutex::new(Vec::new())),
        Arc::new(Mutex::new(Vec::new())),
    );
    let threads: Vec<_> = (0..4_u64)
        .map(|number| {
            let (engine, starts, answers) = (engine.clone(), starts.clone(), answers.clone());
            thread::spawn(move || submit_and_finish(&engine, number, &starts, &answers))
        })
        .collect();
    for thread in threads {
        thread.join().unwrap();
    }
    let starts = starts.lock().unwrap();
    let distinct: HashSet<_> = starts.iter().collect();
    assert_eq!((starts.len(), distinct.len()), (1000, 1000));
    let answers = answers.lock().unwrap();
    let distinct: HashSet<_> = answers.iter().collect();
    assert_eq!((answers.len(), distinct.len()), (2000, 2000));
}

/// Submits 500 jobs of two tasks and finishes every task that starts.
fn submit_and_finish(
    engine: &Engine,
    thread: u64,
    starts: &Mutex<Vec<(String, u32)>>,
    answers: &Mutex<Vec<WaiterId>>,
) {
    let now = trefoil_core::time::Now {
        mono_ms: 1000,
        wall_ms: START_WALL_MS,
    };
    let mut out = Vec::new();
    for number in 0..500 {
        let submission = submission(&key(0, &number.to_string()), 2, 60_000);
        let waiter = WaiterId(thread * 1000 + number);
        engine.submit(now, submission, waiter, true, &mut out);
        while let Some(command) = out.pop() {
            match command {
                Command::StartTask {
                    task, key, index, ..
                } => {
                    starts.lock().unwrap().push((key.to_string(), index));
                    let done = TaskOutcome::Done(Bytes::new());
                    engine.task_finished(now, task, done, &mut out);
                }
                Command::Answer { waiter, .. } => answers.lock().unwrap().push(waiter),
            }
        }
    }
}

#[test]
fn random_histories_never_start_a_task_twice_or_answer_a_waiter_twice() {
    arbtest::arbtest(|u| {
        let mut settings = without_admission();
        settings.jobs.keys_max = 6;
        settings.jobs.key_window_ms = 5000;
        let mut checked = CheckedHarness::new(EngineHarness::new(settings, 3, 2));
        while !u.is_empty() {
            checked.step(u)?;
            checked.check();
        }
        Ok(())
    });
}

/// A harness that checks every start and answer.
struct CheckedHarness {
    harness: EngineHarness,
    running: Vec<Start>,
    /// Started tasks, and whether their last placement was refused.
    tasks: HashMap<(String, u32), bool>,
    /// The key of each waiter's request.
    waiters: HashMap<WaiterId, String>,
    answered: HashSet<WaiterId>,
}

impl CheckedHarness {
    fn new(harness: EngineHarness) -> Self {
        Self {
            harness,
            running: Vec::new(),
            tasks: HashMap::new(),
            waiters: HashMap::new(),
            answered: HashSet::new(),
        }
    }

    fn step(&mut self, u: &mut Unstructured<'_>) -> ArbitraryResult<()> {
        let age_ms = u.int_in_range(0..=3)? * 1000;
        let job = key(age_ms, &u.int_in_range(0..=2)?.to_string());
        match u.int_in_range(0..=9)? {
            0..=3 => {
                let tasks = u.int_in_range(1..=5)?;
                let submission = submission(&job, tasks, 2000);
                let waiter = self.harness.submit(submission, true);
                self.waiters.insert(waiter, job.to_string());
            }
            4 => {
                let waiter = self.harness.cancel(&job);
                self.waiters.insert(waiter, job.to_string());
            }
            5 => self.harness.advance_ms(u.int_in_range(1..=1500)?),
            6 => {
                let members: &[&str] = if u.arbitrary()? { &["a"] } else { &["a", "b"] };
                self.harness.set_members(members);
            }
            _ => self.finish(u)?,
        }
        Ok(())
    }

    fn finish(&mut self, u: &mut Unstructured<'_>) -> ArbitraryResult<()> {
        if self.running.is_empty() {
            return Ok(());
        }
        let chosen = u.choose_index(self.running.len())?;
        let start = self.running.swap_remove(chosen);
        let outcome = match u.int_in_range(0..=5)? {
            0 => TaskOutcome::Failed("500".to_owned()),
            1 => TaskOutcome::MayHaveRun("reset".to_owned()),
            2 => {
                self.tasks
                    .insert((start.key.to_string(), start.index), true);
                refused()
            }
            _ => TaskOutcome::Done(Bytes::new()),
        };
        self.harness.finish(start.task, outcome);
        Ok(())
    }

    fn check(&mut self) {
        for start in self.harness.starts.drain(..) {
            let task = (start.key.to_string(), start.index);
            let before = self.tasks.insert(task, false);
            assert_ne!(before, Some(false), "started twice: {start:?}");
            self.running.push(start);
        }
        for (waiter, answer) in std::mem::take(&mut self.harness.answers) {
            assert!(self.answered.insert(waiter), "answered twice: {answer:?}");
            self.check_answer(&self.waiters[&waiter], &answer);
        }
        let stats = self.harness.engine.stats();
        assert_eq!(stats.tasks_running, self.running.len() as u64);
        assert!(stats.tasks_running <= 6);
        assert!(stats.keys <= 6);
    }

    fn check_answer(&self, key: &str, answer: &JobAnswer) {
        let verdict = match answer {
            JobAnswer::Refused(refusal) => refusal.verdict,
            JobAnswer::Known {
                state,
                verdict,
                results,
                tasks_total,
                ..
            } => {
                assert_eq!(*verdict == Verdict::Ran, *state == JobState::Complete);
                let whole = results.len() == *tasks_total as usize;
                assert!(whole || results.is_empty());
                *verdict
            }
        };
        let mut started = self.tasks.iter().filter(|((job, _), _)| job == key);
        if verdict == Verdict::NotRun {
            assert!(started.all(|(_, not_run)| *not_run), "{key}: {answer:?}");
        }
    }
}
