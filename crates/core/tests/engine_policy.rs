//! Quotas, fair shares, retries and shares of slots, and at most one start
//! whatever the history.

mod engine_support;

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex};
use std::thread;

use arbtest::arbitrary::{Result as Drawn, Unstructured};
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
    let mut bench = EngineHarness::new(without_admission(), 2, 4);
    bench.submit(submission(&key(0, "one"), 100, 60_000), true);
    assert_eq!(bench.starts.len(), 8);
    bench.set_members(&["a", "b"]);
    assert_eq!(bench.engine.stats().slots_owned, 4);
    for finished in 1..=8_usize {
        let start = bench.starts.pop_front().unwrap();
        bench.finish(start.task, TaskOutcome::Done(Bytes::new()));
        assert!(bench.engine.stats().tasks_running >= 4);
        assert!(bench.starts.len() <= 8 - finished.min(4));
    }
    assert_eq!(bench.engine.stats().tasks_running, 4);
}

#[test]
fn a_larger_share_waits_for_the_tasks_of_whoever_had_it() {
    let mut bench = EngineHarness::new(without_admission(), 2, 4);
    bench.set_members(&["a", "b"]);
    bench.submit(submission(&key(0, "one"), 100, 60_000), true);
    assert_eq!(bench.starts.len(), 4);
    bench.set_members(&["a"]);
    bench.advance_ms(999);
    assert_eq!(bench.engine.stats().tasks_running, 4);
    bench.advance_ms(1);
    assert_eq!(bench.engine.stats().tasks_running, 8);
}

#[test]
fn an_instance_that_joins_waits_for_the_tasks_of_the_others() {
    let mut bench = EngineHarness::new(without_admission(), 2, 4);
    bench.set_members(&["b"]);
    bench.set_members(&["a", "b"]);
    bench.submit(submission(&key(0, "one"), 100, 60_000), true);
    assert!(bench.starts.is_empty());
    bench.advance_ms(1000);
    assert_eq!(bench.starts.len(), 4);
}

#[test]
fn an_instance_that_is_not_a_member_starts_nothing() {
    let mut bench = EngineHarness::new(without_admission(), 2, 4);
    bench.set_members(&["b"]);
    bench.submit(submission(&key(0, "one"), 1, 1000), true);
    let refusal = bench.refusal();
    assert_eq!(refusal.reason, RefusalReason::NoWorkers);
    assert_eq!(refusal.verdict, Verdict::NotRun);
}

#[test]
fn a_team_keeps_within_its_slots_and_others_use_the_rest() {
    let mut bench = EngineHarness::new(without_admission(), 2, 4);
    let mut bounded = config(2, 4);
    bounded.teams.get_mut("red").unwrap().spec.slots_max = 3;
    bench.set_config(&bounded);
    for name in ["one", "two"] {
        bench.submit(submission(&key(0, name), 10, 60_000), true);
    }
    assert_eq!(bench.starts.len(), 3);
    let blue = Submission {
        team: "blue".into(),
        ..submission(&key(0, "blue"), 10, 60_000)
    };
    bench.submit(blue, true);
    assert_eq!(bench.starts.len(), 8);
    assert_eq!(bench.finish_all(), 30);
    assert_eq!(bench.answers.len(), 3);
}

#[test]
fn a_job_set_aside_goes_on_when_the_one_before_it_is_cancelled() {
    let mut bench = EngineHarness::new(without_admission(), 2, 1);
    let mut bounded = config(2, 1);
    bounded.teams.get_mut("red").unwrap().spec.slots_max = 1;
    bench.set_config(&bounded);
    for name in ["first", "second", "third"] {
        bench.submit(submission(&key(0, name), 1, 60_000), true);
    }
    let urgent = Submission {
        team: "blue".into(),
        ..submission(&key(0, "urgent"), 2, 3000)
    };
    bench.submit(urgent, true);
    let first = bench.starts.pop_front().unwrap();
    bench.finish(first.task, TaskOutcome::Done(Bytes::new()));
    bench.cancel(&key(0, "second"));
    assert_eq!(bench.finish_all(), 3);
    // The cancelled job answers its submitter and whoever cancelled it.
    assert_eq!(bench.answers.len(), 5);
}

#[test]
fn a_team_beyond_its_queue_is_refused_alone() {
    let mut bench = EngineHarness::new(without_admission(), 1, 1);
    let mut bounded = config(1, 1);
    bounded.teams.get_mut("red").unwrap().spec.queued_tasks_max = 5;
    bench.set_config(&bounded);
    bench.submit(submission(&key(0, "one"), 5, 60_000), true);
    bench.submit(submission(&key(0, "two"), 5, 60_000), true);
    let refusal = bench.refusal();
    assert_eq!(refusal.reason, RefusalReason::Quota);
    assert_eq!(refusal.verdict, Verdict::NotRun);
    assert!(refusal.retry_after_ms > 0);
    let blue = Submission {
        team: "blue".into(),
        ..submission(&key(0, "blue"), 5, 60_000)
    };
    bench.submit(blue, true);
    assert!(bench.answers.is_empty());
}

#[test]
fn a_team_that_floods_does_not_hold_up_another() {
    let mut bench = EngineHarness::new(without_admission(), 1, 4);
    for number in 0..200 {
        let name = format!("red-{number}");
        bench.submit(submission(&key(0, &name), 4, 300_000), true);
    }
    let mut blue = Vec::new();
    for number in 0..10 {
        bench.now = bench.now.plus_ms(10);
        let submission = Submission {
            team: "blue".into(),
            ..submission(&key(0, &format!("blue-{number}")), 4, 300_000)
        };
        blue.push(bench.submit(submission, true));
    }
    bench.finish_all();
    let order = bench.answers.iter().map(|(waiter, _)| *waiter);
    let last_blue = order
        .enumerate()
        .filter(|(_, waiter)| blue.contains(waiter));
    let last_blue = last_blue.map(|(place, _)| place).max().unwrap();
    assert!(last_blue < 40, "{last_blue} of 210");
}

#[test]
fn retries_keep_within_their_budget_and_a_job_never_run_says_so() {
    let mut bench = EngineHarness::new(without_admission(), 10, 8);
    for number in 0..200 {
        let name = format!("job-{number}");
        bench.submit(submission(&key(0, &name), 1, 600_000), true);
    }
    for _ in 0..2000 {
        while let Some(start) = bench.starts.pop_front() {
            bench.finish(start.task, refused());
        }
        bench.advance_ms(10);
    }
    let stats = bench.engine.stats();
    assert_eq!(bench.answers.len(), 200);
    assert!(stats.tasks_retried <= 10 + 200 / 10, "{stats:?}");
    for (_, answer) in &bench.answers {
        let (state, verdict, reason) = state_of(answer);
        assert_eq!((state, verdict), (JobState::Failed, Verdict::NotRun));
        assert!(matches!(reason, "retry_budget" | "task_refused"));
    }
}

#[test]
fn a_wave_of_cancellations_frees_every_queue_place() {
    let mut bench = EngineHarness::new(without_admission(), 1, 1);
    for number in 0..1000 {
        let name = format!("job-{number}");
        bench.submit(submission(&key(0, &name), 10, 60_000), true);
    }
    for number in 0..1000 {
        bench.cancel(&key(0, &format!("job-{number}")));
    }
    let stats = bench.engine.stats();
    assert_eq!((stats.tasks_queued, stats.jobs_running), (0, 0));
    assert_eq!(bench.answers.len(), 2000);
    assert_eq!(bench.starts.len(), 1);
}

#[test]
fn a_refusal_for_overload_says_when_and_says_it_alike() {
    let mut bench = EngineHarness::new(EngineSettings::default(), 1, 1);
    bench.submit(submission(&key(0, "one"), 40, 60_000), true);
    let mut waits_ms = Vec::new();
    for _ in 0..2 {
        bench.submit(submission(&key(0, "two"), 1, 1000), true);
        bench.submit(submission(&key(0, "big"), 20, 5_000), true);
        bench
            .answers
            .retain(|(_, answer)| matches!(answer, JobAnswer::Refused(_)));
        let refusal = bench.refusal();
        assert_eq!(refusal.reason, RefusalReason::Overload);
        assert_eq!(refusal.verdict, Verdict::NotRun);
        waits_ms.push(refusal.retry_after_ms);
    }
    assert!(waits_ms[0] >= 100);
    assert_eq!(waits_ms[0], waits_ms[1]);
}

#[test]
fn threads_that_submit_the_same_keys_start_each_once() {
    let engine = EngineHarness::new(without_admission(), 10, 8).engine;
    let engine = Arc::new(engine);
    let (starts, answers) = (
        Arc::new(Mutex::new(Vec::new())),
        Arc::new(Mutex::new(Vec::new())),
    );
    let threads: Vec<_> = (0..4_u64)
        .map(|number| {
            let (engine, starts, answers) = (engine.clone(), starts.clone(), answers.clone());
            thread::spawn(move || race(&engine, number, &starts, &answers))
        })
        .collect();
    for thread in threads {
        thread.join().unwrap();
    }
    let starts = starts.lock().unwrap();
    let once: HashSet<_> = starts.iter().collect();
    assert_eq!((starts.len(), once.len()), (1000, 1000));
    let answers = answers.lock().unwrap();
    let once: HashSet<_> = answers.iter().collect();
    assert_eq!((answers.len(), once.len()), (2000, 2000));
}

/// Submits 500 jobs of two tasks and finishes whatever starts.
fn race(
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
fn no_history_starts_a_task_twice_or_answers_a_waiter_twice() {
    arbtest::arbtest(|u| {
        let mut settings = without_admission();
        settings.jobs.keys_max = 6;
        settings.jobs.key_window_ms = 5000;
        let mut history = History::new(EngineHarness::new(settings, 3, 2));
        while !u.is_empty() {
            history.step(u)?;
            history.check();
        }
        Ok(())
    });
}

/// A bench whose every start and answer is checked.
struct History {
    bench: EngineHarness,
    out: Vec<Start>,
    /// Tasks started, and whether their last placement provably did not run.
    tasks: HashMap<(String, u32), bool>,
    /// The key that each waiter asked about.
    waiters: HashMap<WaiterId, String>,
    answered: HashSet<WaiterId>,
}

impl History {
    fn new(bench: EngineHarness) -> Self {
        Self {
            bench,
            out: Vec::new(),
            tasks: HashMap::new(),
            waiters: HashMap::new(),
            answered: HashSet::new(),
        }
    }

    fn step(&mut self, u: &mut Unstructured<'_>) -> Drawn<()> {
        let age_ms = u.int_in_range(0..=3)? * 1000;
        let job = key(age_ms, &u.int_in_range(0..=2)?.to_string());
        match u.int_in_range(0..=9)? {
            0..=3 => {
                let tasks = u.int_in_range(1..=5)?;
                let submission = submission(&job, tasks, 2000);
                let waiter = self.bench.submit(submission, true);
                self.waiters.insert(waiter, job.to_string());
            }
            4 => {
                let waiter = self.bench.cancel(&job);
                self.waiters.insert(waiter, job.to_string());
            }
            5 => self.bench.advance_ms(u.int_in_range(1..=1500)?),
            6 => {
                let members: &[&str] = if u.arbitrary()? { &["a"] } else { &["a", "b"] };
                self.bench.set_members(members);
            }
            _ => self.finish(u)?,
        }
        Ok(())
    }

    fn finish(&mut self, u: &mut Unstructured<'_>) -> Drawn<()> {
        if self.out.is_empty() {
            return Ok(());
        }
        let chosen = u.choose_index(self.out.len())?;
        let start = self.out.swap_remove(chosen);
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
        self.bench.finish(start.task, outcome);
        Ok(())
    }

    fn check(&mut self) {
        for start in self.bench.starts.drain(..) {
            let task = (start.key.to_string(), start.index);
            let before = self.tasks.insert(task, false);
            assert_ne!(before, Some(false), "started twice: {start:?}");
            self.out.push(start);
        }
        for (waiter, answer) in std::mem::take(&mut self.bench.answers) {
            assert!(self.answered.insert(waiter), "answered twice: {answer:?}");
            self.check_answer(&self.waiters[&waiter], &answer);
        }
        let stats = self.bench.engine.stats();
        assert_eq!(stats.tasks_running, self.out.len() as u64);
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
