//! What callers get under overload.

mod support;

use support::Replay;
use trefoil_replay::pattern::{self, Pattern, RetryPolicy};
use trefoil_replay::stats::{CallerOutcome, ClassStats, quantile};

#[test]
fn base_load_is_served_on_time() {
    let replay = Replay::of("calm", 1);
    assert!(replay.share_of_bound() > 0.99);
    assert_eq!(replay.stats.sum(|class| class.abandoned), 0);
    // Slightly above the medians of an unbounded queue.
    let max_medians_ms = [90, 225, 1080];
    for (class, max_median_ms) in replay.stats.classes.iter().zip(max_medians_ms) {
        assert!(quantile(&class.completion_latencies_ms, 0.5) < max_median_ms);
    }
}

/// Guards against queues that grow until callers time out.
#[test]
fn burst_of_all_classes_leaves_no_caller_without_an_answer() {
    let replay = Replay::of("burst-all", 1);
    assert!(replay.share_of_bound() > 0.72);
    assert_eq!(replay.stats.sum(|class| class.abandoned), 0);
    // Jobs whose run times are far underestimated complete too late; about one in a thousand.
    let too_late = replay.stats.sum(|class| class.too_late);
    assert!(too_late * 500 < replay.stats.sum(|class| class.eligible));
}

/// Guards against a loss of goodput when the load far exceeds capacity.
#[test]
fn burst_of_four_times_the_base_rate_is_served_up_to_capacity() {
    let replay = Replay::of("burst-twice", 1);
    assert!(replay.share_of_bound() > 0.62);
    assert_eq!(replay.stats.sum(|class| class.abandoned), 0);
}

/// Guards against scheduling by due times alone, which delays the other classes.
#[test]
fn burst_of_one_class_does_not_starve_the_others() {
    let replay = Replay::of("burst-wide", 1);
    assert!(replay.on_time(1) > 0.93);
    assert!(replay.on_time(2) > 0.93);
    assert!(replay.share_of_bound() > 0.70);
    let replay = Replay::of("burst-small", 1);
    assert!(replay.on_time(0) > 0.90);
    assert!(replay.on_time(2) > 0.93);
}

/// Guards against refusing jobs as soon as all capacity is in use, and against answers that come
/// too late.
#[test]
fn load_at_the_edge_of_capacity_is_served_late_rather_than_refused() {
    let replay = Replay::of("small-edge", 1);
    let eligible = replay.stats.sum(|class| class.eligible) as f64;
    let share = |count: fn(&ClassStats) -> u64| replay.stats.sum(count) as f64 / eligible;
    assert!(share(|class| class.on_time) > 0.88);
    assert!(share(|class| class.refused) < 0.03);
    assert!(share(|class| class.too_late + class.failed + class.abandoned) < 0.005);
}

/// Guards against attributing the failures of a job to its workers.
#[test]
fn jobs_that_always_fail_do_not_take_capacity_from_others() {
    let replay = Replay::of("hopeless", 1);
    assert!(replay.share_of_bound() > 0.70);
}

/// Guards against a loss of goodput when the number of workers changes during a burst.
#[test]
fn bursts_are_served_while_workers_leave_or_join() {
    assert!(Replay::of("burst-leaving", 1).share_of_bound() > 0.68);
    assert!(Replay::of("join", 1).share_of_bound() > 0.77);
}

#[test]
fn callers_that_move_to_another_failure_domain_are_served() {
    assert!(Replay::of("shift", 1).share_of_bound() > 0.95);
}

#[test]
fn refusals_spread_their_retry_times() {
    let replay = Replay::of("burst-twice", 1);
    let retry_times_ms = replay
        .first_attempts
        .iter()
        .filter_map(|outcome| match outcome {
            CallerOutcome::Refused {
                at_ms,
                retry_after_ms,
            } => Some(at_ms + retry_after_ms),
            _ => None,
        });
    let mut per_second = vec![0_u64; 60];
    retry_times_ms.for_each(|at_ms| per_second[at_ms as usize / 1000] += 1);
    // The workers serve at most about 850 jobs per second.
    let max = per_second.into_iter().max().unwrap();
    assert!(max < 850, "{max} retries in one second");
}

/// Guards against `Retry-After` delays after which callers are refused again.
#[test]
fn callers_that_honor_retry_after_are_seldom_refused_again() {
    let pattern = pattern::find("returning").unwrap();
    let fixed_delay = Pattern {
        retry_policy: RetryPolicy::FixedDelay { wait_ms: 1000 },
        ..pattern.clone()
    };
    let honored = Replay::of_pattern(pattern, 1);
    let fixed_delay = Replay::of_pattern(fixed_delay, 1);
    assert!(honored.retries_refused() < 0.25);
    assert!(honored.retries_refused() < fixed_delay.retries_refused() / 2.0);
    assert!(honored.share_of_bound() > 0.70);
    assert!(
        !honored
            .retries
            .iter()
            .any(|retry| retry.outcome == CallerOutcome::Abandoned)
    );
}

#[test]
fn the_same_seed_gives_the_same_stats() {
    assert_eq!(
        Replay::of("recovery", 3).stats,
        Replay::of("recovery", 3).stats
    );
}

/// Guards against order timeouts that hold up tasks when workers do not answer.
#[test]
fn unanswered_orders_cost_callers_little() {
    assert!(Replay::of("unanswered", 1).share_of_bound() > 0.95);
    assert!(Replay::of("unanswered-half", 1).share_of_bound() > 0.60);
}
