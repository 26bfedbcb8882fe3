//! Loans of slots between two instances of a failure domain.

mod engine_support;

use engine_support::{START_WALL_MS, config, key, submission};
use trefoil_core::engine::*;
use trefoil_core::time::Now;
use trefoil_core::view::Member;

const LOAN_MS: u64 = 1_000;
/// Longer than the delay after which a joining instance uses its share.
const SHARE_DELAY_MS: u64 = 2_000;

/// Two engines that share one worker with eight slots, four each.
struct EnginePair {
    engines: [Engine; 2],
    now: Now,
    starts: [Vec<TaskId>; 2],
}

impl EnginePair {
    fn new() -> Self {
        let members = ["a".to_owned(), "b".to_owned()];
        let engines = ["a", "b"].map(|_| Engine::new(EngineSettings::default()));
        let mut pair = Self {
            engines,
            now: Now {
                mono_ms: 1_000,
                wall_ms: START_WALL_MS,
            },
            starts: [Vec::new(), Vec::new()],
        };
        for (number, me) in ["a", "b"].iter().enumerate() {
            let declared = config(1, 8);
            pair.call(number, |engine, now, out| {
                engine.set_admission_limit(u64::MAX);
                engine.set_domain_members(now, me, &members, out);
                engine.set_config(now, &declared, out);
            });
        }
        pair.now = pair.now.plus_ms(SHARE_DELAY_MS);
        pair
    }

    fn call<T>(
        &mut self,
        number: usize,
        call: impl FnOnce(&Engine, Now, &mut Vec<Command>) -> T,
    ) -> T {
        let mut out = Vec::new();
        let value = call(&self.engines[number], self.now, &mut out);
        let started = out.into_iter().filter_map(|command| match command {
            Command::StartTask { task, .. } => Some(task),
            Command::Answer { .. } => None,
        });
        self.starts[number].extend(started);
        value
    }

    fn submit(&mut self, number: usize, tasks: usize, name: &str) {
        let job = submission(&key(0, name), tasks, 60_000);
        self.call(number, |engine, now, out| {
            engine.submit(now, job, WaiterId(1), true, out);
        });
    }

    fn finish_one(&mut self, number: usize) {
        let task = self.starts[number].remove(0);
        self.call(number, |engine, now, out| {
            let done = TaskOutcome::Done(Default::default());
            engine.task_finished(now, task, done, out);
        });
    }

    fn balance(&mut self, number: usize) -> Vec<SlotMessage> {
        self.call(number, |engine, now, out| engine.balance_slots(now, out))
    }

    /// Sends the borrower's request and the lender's answer; returns the number of
    /// slots lent.
    fn borrow(&mut self) -> u32 {
        let messages = self.balance(0);
        let [
            SlotMessage {
                to,
                body: SlotMessageBody::Request(slots),
                ..
            },
        ] = &messages[..]
        else {
            panic!("no request: {messages:?}");
        };
        assert_eq!(*to, Recipient::Current("b".into()));
        let slots = *slots;
        let lent = self.call(1, |engine, now, _| {
            engine.lend_slots(now, &Member::new("a", 1), "payroll", slots)
        });
        self.call(0, |engine, now, out| {
            engine.borrow_slots(now, &Member::new("b", 1), "payroll", &lent, LOAN_MS, out);
        });
        lent.iter().map(|lent| lent.slots).sum()
    }

    fn return_slots(&mut self) -> u32 {
        let mut returned = 0;
        for message in self.balance(0) {
            let SlotMessageBody::Return(slots) = message.body else {
                panic!("not returned: {message:?}");
            };
            returned += slots.iter().map(|slots| slots.slots).sum::<u32>();
            self.call(1, |engine, now, out| {
                engine.reclaim_slots(now, &Member::new("a", 1), "payroll", &slots, out);
            });
        }
        returned
    }
}

#[test]
fn half_of_the_free_slots_are_lent_and_returned_when_idle() {
    let mut pair = EnginePair::new();
    pair.submit(0, 6, "six");
    assert_eq!(pair.starts[0].len(), 4);
    assert_eq!(pair.borrow(), 2);
    assert_eq!(pair.starts[0].len(), 6);
    assert!(pair.balance(0).is_empty());
    pair.submit(1, 4, "four");
    assert_eq!(
        pair.starts[1].len(),
        2,
        "lent slots must not be used by the lender"
    );
    pair.finish_one(0);
    assert_eq!(pair.return_slots(), 1);
    assert_eq!(pair.starts[1].len(), 3);
}

#[test]
fn nothing_is_lent_while_tasks_are_queued() {
    let mut pair = EnginePair::new();
    pair.submit(0, 6, "six");
    pair.submit(1, 5, "five");
    assert_eq!(pair.borrow(), 0);
    assert!(pair.balance(0).is_empty(), "no request during the backoff");
    pair.now = pair.now.plus_ms(50);
    assert_eq!(pair.balance(0).len(), 1);
}

#[test]
fn an_expired_loan_gets_no_new_tasks() {
    let mut pair = EnginePair::new();
    pair.submit(0, 8, "eight");
    assert_eq!(pair.borrow(), 2);
    assert_eq!(pair.starts[0].len(), 6);
    pair.now = pair.now.plus_ms(LOAN_MS);
    pair.balance(0);
    pair.finish_one(0);
    pair.finish_one(0);
    assert_eq!(pair.starts[0].len(), 4, "as many as the share allows");
    let returned = pair.balance(0);
    let is_return = |message: &SlotMessage| matches!(message.body, SlotMessageBody::Return(_));
    assert!(returned.iter().any(is_return), "{returned:?}");
}

#[test]
fn slots_that_are_never_returned_are_reclaimed() {
    let mut pair = EnginePair::new();
    pair.submit(0, 6, "six");
    assert_eq!(pair.borrow(), 2);
    pair.submit(1, 4, "four");
    assert_eq!(pair.starts[1].len(), 2);
    pair.now = pair.now.plus_ms(5 * LOAN_MS);
    pair.balance(1);
    assert_eq!(pair.starts[1].len(), 4);
}
