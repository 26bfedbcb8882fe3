//! Where entries send jobs when load and capacity differ between failure domains.

mod support;

use support::Replay;
use trefoil_replay::stats::quantile;

/// Guards against full pools that look free because the sum of their free CPU is large:
/// jobs are sent round from one full pool to the next. On `waves`, 7 in 100 delegations
/// were revoked to try another pool.
#[test]
fn few_delegations_are_sent_on_to_another_pool() {
    for pattern in ["waves", "domain-burst", "shift", "small-edge"] {
        let share = Replay::of(pattern, 1).routing.sent_on_share();
        assert!(share < 0.05, "{pattern}: {share}");
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

/// Guards against refusals by entries that cost callers more than they spare.
#[test]
fn entries_refuse_part_of_a_burst_without_a_loss_of_goodput() {
    let replay = Replay::of("contention", 1);
    assert!(replay.routing.refused_by_entry > 50);
    assert!(replay.stats.weighted_goodput(&replay.pattern) > 0.70);
    assert!(quantile(&replay.stats.refusal_latencies_ms(), 0.5) < 25);
}
