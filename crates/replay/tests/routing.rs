//! Where entries send jobs when load and capacity differ between failure domains.

mod support;

use support::Replay;

/// Guards against full pools that look free because the sum of their free CPU is large:
/// jobs are sent round from one full pool to the next. Before, 19 in 100 delegations were
/// sent on in `waves`, 26 in `domain-burst` and 11 in `small-edge`. The goal of 5 in 100 is
/// not reached in the first two.
#[test]
fn fewer_delegations_are_sent_on_to_another_pool() {
    for (pattern, max) in [
        ("waves", 0.08),
        ("domain-burst", 0.13),
        ("small-edge", 0.05),
        ("shift", 0.01),
    ] {
        let share = Replay::of(pattern, 1).routing.sent_on_share();
        assert!(share < max, "{pattern}: {share}");
    }
}

/// Guards against jobs that wait in full local pools while other domains are idle.
#[test]
fn callers_that_move_to_another_domain_are_served_on_time() {
    let replay = Replay::of("shift", 1);
    assert!(replay.share_of_bound() > 0.985);
}

/// Guards against entries that refuse jobs which owners would have served.
#[test]
fn entries_refuse_nothing_while_there_is_capacity() {
    for pattern in ["calm", "shift"] {
        let replay = Replay::of(pattern, 1);
        assert_eq!(replay.routing.refused_by_entry, 0, "{pattern}");
    }
}
