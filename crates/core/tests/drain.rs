//! Phases of a planned stop, in virtual time.

use trefoil_core::drain::{Drain, DrainOutcome, DrainState};
use trefoil_core::time::Now;
use trefoil_schema::settings::DrainSettings;

const START_MS: u64 = 5_000;
const ANNOUNCE_MS: u64 = 200;
const BUDGET_MS: u64 = 1_000;

fn drain() -> Drain {
    Drain::new(&DrainSettings {
        announce_ms: ANNOUNCE_MS,
        budget_ms: BUDGET_MS,
    })
}

fn at(ms: u64) -> Now {
    Now {
        mono_ms: START_MS + ms,
        wall_ms: 0,
    }
}

#[test]
fn serves_until_a_stop_is_requested() {
    let mut drain = drain();
    assert_eq!(drain.step(at(1_000_000), 0), DrainState::Serving);
    assert!(drain.is_ready() && drain.accepts_work());
    assert_eq!(drain.next_step_ms(), None);
}

#[test]
fn announces_before_it_refuses() {
    let mut drain = drain();
    drain.signal(at(0));
    assert!(!drain.is_ready());
    drain.step(at(ANNOUNCE_MS - 1), 0);
    assert!(
        drain.accepts_work(),
        "work must be accepted while the stop is announced"
    );
    drain.step(at(ANNOUNCE_MS), 1);
    assert!(!drain.accepts_work());
    assert_eq!(drain.next_step_ms(), Some(START_MS + BUDGET_MS));
}

#[test]
fn finishes_as_soon_as_nothing_is_in_flight() {
    let mut drain = drain();
    drain.signal(at(0));
    drain.step(at(ANNOUNCE_MS), 2);
    drain.step(at(ANNOUNCE_MS + 1), 1);
    assert!(matches!(drain.state(), DrainState::Refusing { .. }));
    let last = drain.step(at(ANNOUNCE_MS + 2), 0);
    assert_eq!(last, DrainState::Finished(DrainOutcome::Drained));
}

#[test]
fn budget_counts_from_the_first_request() {
    let mut drain = drain();
    drain.request(at(0));
    drain.request(at(150));
    drain.step(at(ANNOUNCE_MS), 1);
    drain.request(at(900));
    let early = drain.step(at(BUDGET_MS - 1), 1);
    assert!(matches!(early, DrainState::Refusing { .. }));
    let last = drain.step(at(BUDGET_MS), 1);
    assert_eq!(last, DrainState::Finished(DrainOutcome::BudgetSpent));
}

#[test]
fn second_signal_ends_a_stop_in_any_phase() {
    for (steps_ms, requested) in [(0, false), (ANNOUNCE_MS, false), (ANNOUNCE_MS, true)] {
        let mut drain = drain();
        match requested {
            true => drain.request(at(0)),
            false => drain.signal(at(0)),
        };
        drain.step(at(steps_ms), 1);
        let last = drain.signal(at(steps_ms + 1));
        assert_eq!(last, DrainState::Finished(DrainOutcome::AtOnce));
    }
}

#[test]
fn in_flight_is_counted_again_after_new_work_is_refused() {
    let mut drain = drain();
    drain.signal(at(0));
    let first = drain.step(at(ANNOUNCE_MS), 0);
    assert!(matches!(first, DrainState::Refusing { .. }));
    let second = drain.step(at(ANNOUNCE_MS), 1);
    assert!(matches!(second, DrainState::Refusing { .. }));
}

#[test]
fn idle_instance_is_drained_even_if_the_budget_is_spent() {
    let mut drain = drain();
    drain.signal(at(0));
    drain.step(at(BUDGET_MS), 0);
    let last = drain.step(at(BUDGET_MS), 0);
    assert_eq!(last, DrainState::Finished(DrainOutcome::Drained));
}

#[test]
fn remaining_budget_covers_the_whole_stop() {
    let mut drain = drain();
    assert_eq!(drain.budget_left_ms(at(0)), 0);
    drain.signal(at(0));
    drain.step(at(ANNOUNCE_MS), 0);
    drain.step(at(ANNOUNCE_MS), 0);
    let left_ms = drain.budget_left_ms(at(ANNOUNCE_MS));
    assert_eq!(left_ms, BUDGET_MS - ANNOUNCE_MS);
    assert_eq!(drain.budget_left_ms(at(BUDGET_MS + 1)), 0);
}

#[test]
fn outcome_is_final() {
    let mut drain = drain();
    drain.signal(at(0));
    drain.step(at(ANNOUNCE_MS), 0);
    drain.step(at(ANNOUNCE_MS), 0);
    drain.signal(at(ANNOUNCE_MS));
    drain.request(at(ANNOUNCE_MS));
    let last = drain.step(at(BUDGET_MS), 7);
    assert_eq!(last, DrainState::Finished(DrainOutcome::Drained));
}

#[test]
fn announcement_does_not_exceed_the_budget() {
    let mut drain = Drain::new(&DrainSettings {
        announce_ms: 500,
        budget_ms: 100,
    });
    drain.signal(at(0));
    drain.step(at(100), 1);
    let last = drain.step(at(100), 1);
    assert_eq!(last, DrainState::Finished(DrainOutcome::BudgetSpent));
}

#[test]
fn phases_are_in_order_and_within_the_budget() {
    arbtest::arbtest(|u| {
        let mut drain = drain();
        let mut now_ms = 0;
        let mut requested_ms = None;
        let mut rank = 0;
        for _ in 0..u.int_in_range(1..=40)? {
            now_ms += u.int_in_range(0..=300)?;
            match u.int_in_range(0..=9)? {
                0 => drop(drain.signal(at(now_ms))),
                1 => drop(drain.request(at(now_ms))),
                _ => drop(drain.step(at(now_ms), u.int_in_range(0..=2)?)),
            }
            if !drain.is_ready() {
                requested_ms.get_or_insert(now_ms);
            }
            let next = phase(drain.state());
            assert!(next >= rank, "a stop must not return to an earlier phase");
            rank = next;
        }
        if let Some(requested_ms) = requested_ms {
            let end = at(now_ms.max(requested_ms + BUDGET_MS));
            drain.step(end, 1);
            let last = drain.step(end, 1);
            assert!(matches!(last, DrainState::Finished(_)));
        }
        Ok(())
    });
}

fn phase(state: DrainState) -> u8 {
    match state {
        DrainState::Serving => 0,
        DrainState::Announcing { .. } => 1,
        DrainState::Refusing { .. } => 2,
        DrainState::Finished(_) => 3,
    }
}
