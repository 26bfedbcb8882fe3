//! Golden test of all commands of a session in virtual time.

mod engine_support;

use std::fmt::Write;

use bytes::Bytes;
use engine_support::*;
use expect_test::expect;
use trefoil_core::engine::*;
use trefoil_core::key::JobKey;

/// Logs every command of a session.
struct Session {
    harness: EngineHarness,
    log: String,
}

impl Session {
    fn new() -> Self {
        Self {
            harness: EngineHarness::new(EngineSettings::default(), 2, 1),
            log: String::new(),
        }
    }

    fn step(&mut self, title: &str, act: impl FnOnce(&mut EngineHarness)) {
        let started = self.harness.starts.len();
        act(&mut self.harness);
        let at_ms = self.harness.now.mono_ms;
        writeln!(self.log, "{at_ms} ms: {title}").unwrap();
        for start in self
            .harness
            .starts
            .range(started.min(self.harness.starts.len())..)
        {
            let Start {
                key,
                index,
                attempt,
                worker,
                ..
            } = start;
            writeln!(self.log, "  start {key}/{index}/{attempt} on {worker:?}").unwrap();
        }
        for (waiter, answer) in self.harness.answers.drain(..) {
            writeln!(self.log, "  {waiter:?}: {}", text(&answer)).unwrap();
        }
    }

    /// Ends the oldest running placement.
    fn finish(&mut self, title: &str, outcome: TaskOutcome) {
        let start = self
            .harness
            .starts
            .pop_front()
            .expect("a placement is running");
        self.step(title, |harness| harness.finish(start.task, outcome));
    }

    fn submit(&mut self, title: &str, key: &JobKey, tasks: usize, timeout_ms: u64) {
        let submission = submission(key, tasks, timeout_ms);
        self.step(title, |harness| {
            harness.submit(submission, true);
        });
    }
}

fn text(answer: &JobAnswer) -> String {
    match answer {
        JobAnswer::Known {
            state,
            verdict,
            results,
            reason,
            replayed,
            tasks_done,
            tasks_total,
            ..
        } => format!(
            "{state} {verdict} {reason:?} replayed={replayed} {tasks_done}/{tasks_total} {results:?}"
        ),
        JobAnswer::Refused(refusal) => format!(
            "refused {} {} retry after {} ms: {}",
            refusal.reason, refusal.verdict, refusal.retry_after_ms, refusal.detail
        ),
    }
}

fn done(result: &'static str) -> TaskOutcome {
    TaskOutcome::Done(Bytes::from_static(result.as_bytes()))
}

#[test]
fn a_session_from_the_first_job_to_a_drain() {
    let mut session = Session::new();
    let (pay, check) = (key(0, "pay"), key(0, "check"));
    session.submit("submit pay, 3 tasks", &pay, 3, 5000);
    session.submit("submit check, 1 task", &check, 1, 5000);
    session.submit("submit pay again", &pay, 3, 5000);
    session.harness.advance_ms(200);
    session.finish(
        "a worker refuses pay/0",
        TaskOutcome::NotRun("503".to_owned()),
    );
    session.finish("pay/1 is done", done("one"));
    session.harness.advance_ms(100);
    session.step("time passes", |harness| harness.advance_ms(100));
    while !session.harness.starts.is_empty() {
        let index = session.harness.starts[0].index;
        session.finish(&format!("a task of index {index} is done"), done("result"));
    }
    session.submit("submit pay a third time", &pay, 3, 5000);
    session.step("submit pay with another body", |harness| {
        let other = Submission {
            fingerprint: 8,
            ..submission(&pay, 3, 5000)
        };
        harness.submit(other, true);
    });
    session.submit("submit what cannot be in time", &key(0, "tight"), 100, 300);
    let lost = key(0, "lost");
    session.submit("submit lost, 1 task", &lost, 1, 5000);
    session.step("fetch lost", |harness| {
        harness.fetch(&lost, false);
    });
    session.step("start to leave", |harness| harness.engine.set_leaving(true));
    session.submit("submit a new key", &key(0, "new"), 1, 5000);
    session.submit("submit lost again", &lost, 1, 5000);
    session.finish(
        "no answer for lost/0",
        TaskOutcome::MayHaveRun("reset".to_owned()),
    );
    session.step("the key window passes", |harness| {
        harness.advance_ms(600_001)
    });
    session.submit("submit pay after its window", &pay, 3, 5000);
    expect![[r#"
        1000 ms: submit pay, 3 tasks
          start 1700000000000-pay/0/1 on WorkerId(1)
          start 1700000000000-pay/1/1 on WorkerId(2)
        1000 ms: submit check, 1 task
        1000 ms: submit pay again
        1200 ms: a worker refuses pay/0
        1200 ms: pay/1 is done
          start 1700000000000-pay/0/2 on WorkerId(2)
        1400 ms: time passes
        1400 ms: a task of index 0 is done
          start 1700000000000-check/0/1 on WorkerId(2)
        1400 ms: a task of index 2 is done
          WaiterId(1): complete ran "" replayed=false 3/3 [b"result", b"one", b"result"]
          WaiterId(3): complete ran "" replayed=true 3/3 [b"result", b"one", b"result"]
        1400 ms: a task of index 0 is done
          WaiterId(2): complete ran "" replayed=false 1/1 [b"result"]
        1400 ms: submit pay a third time
          WaiterId(4): complete ran "" replayed=true 3/3 [b"result", b"one", b"result"]
        1400 ms: submit pay with another body
          WaiterId(5): refused key_reused not_run retry after 0 ms: the key was submitted with another body; this body was not run
        1400 ms: submit what cannot be in time
          WaiterId(6): refused impossible not_run retry after 0 ms: the tasks need 10000 ms even on free slots; allow more time
        1400 ms: submit lost, 1 task
          start 1700000000000-lost/0/1 on WorkerId(1)
        1400 ms: fetch lost
          WaiterId(8): running may_have_run "" replayed=true 0/1 []
        1400 ms: start to leave
        1400 ms: submit a new key
          WaiterId(9): refused leaving not_run retry after 100 ms: this instance is leaving; submit through another one
        1400 ms: submit lost again
        1400 ms: no answer for lost/0
          WaiterId(7): failed may_have_run "task_lost" replayed=false 0/1 []
          WaiterId(10): failed may_have_run "task_lost" replayed=true 0/1 []
        601401 ms: the key window passes
        601401 ms: submit pay after its window
          WaiterId(11): refused key_expired may_have_run retry after 0 ms: the key is too old, and what became of it is forgotten
    "#]].assert_eq(&session.log);
}
