//! Whether a run on a worker that is about to exit is stopped.

use trefoil_core::dispatch::owner::{DepartureAction, RunOutlook};

/// A long run that has just begun on a worker that exits before it ends.
const CUT_SHORT: RunOutlook = RunOutlook {
    elapsed_ms: 100,
    expected_ms: 4000,
    remaining_ms: 1500,
    restart_ms: Some(4000),
    on_time_for_ms: 6000,
    useful_for_ms: 18_000,
};

#[test]
fn a_run_that_cannot_end_before_the_exit_is_restarted() {
    assert_eq!(CUT_SHORT.action(), DepartureAction::Restart);
}

/// Guards against giving up work that is nearly done.
#[test]
fn a_run_that_likely_ends_before_the_exit_is_left() {
    let action = |elapsed_ms, expected_ms| {
        let outlook = RunOutlook {
            elapsed_ms,
            expected_ms,
            ..CUT_SHORT
        };
        outlook.action()
    };
    assert_eq!(action(100, 200), DepartureAction::LeaveToEnd);
    assert_eq!(action(3500, 4000), DepartureAction::LeaveToEnd);
    // An underestimated run that is overdue has much progress as well.
    assert_eq!(action(4800, 4000), DepartureAction::LeaveToEnd);
}

/// Guards against stopping every run that is estimated to end shortly after the exit: the
/// estimates are off by 0.4 in the logarithm.
#[test]
fn the_margin_for_wrong_estimates_is_in_both_directions() {
    let with_expected = |expected_ms| RunOutlook {
        elapsed_ms: 0,
        expected_ms,
        restart_ms: Some(expected_ms),
        ..CUT_SHORT
    };
    // Estimated to end before the exit, but it does not in more than a third of the cases.
    let tight = with_expected(1300);
    assert!(tight.left_end_ms(1300) > 1300);
    assert_eq!(with_expected(500).action(), DepartureAction::LeaveToEnd);
    assert_eq!(with_expected(3000).action(), DepartureAction::Restart);
}

/// Guards against work for jobs that no caller needs any more.
#[test]
fn a_run_whose_job_would_be_of_no_use_after_a_restart_is_left() {
    let outlook = RunOutlook {
        on_time_for_ms: 0,
        useful_for_ms: 2000,
        ..CUT_SHORT
    };
    assert_eq!(outlook.action(), DepartureAction::LeaveTooLate);
}

/// Guards against stopping a run whose task could not start elsewhere.
#[test]
fn a_run_is_left_while_there_is_no_capacity_elsewhere() {
    let outlook = RunOutlook {
        restart_ms: None,
        ..CUT_SHORT
    };
    assert_eq!(outlook.action(), DepartureAction::LeaveNoCapacity);
}

/// Guards against a restart that turns a job that might be on time into a late one.
#[test]
fn a_restart_has_to_be_worth_more_than_the_chance_to_end_in_time() {
    let outlook = RunOutlook {
        elapsed_ms: 1500,
        expected_ms: 3000,
        remaining_ms: 1600,
        restart_ms: Some(3000),
        on_time_for_ms: 2500,
        useful_for_ms: 9000,
    };
    assert_eq!(outlook.action(), DepartureAction::LeaveToEnd);
}

/// Guards against panics and wrong arithmetic on extreme values.
#[test]
fn extreme_values_have_a_decision() {
    for elapsed_ms in [0, 1, 1 << 40] {
        for expected_ms in [0, 1, 1 << 40] {
            for remaining_ms in [0, 1, 86_400_000] {
                for useful_for_ms in [0, u64::MAX] {
                    let outlook = RunOutlook {
                        elapsed_ms,
                        expected_ms,
                        remaining_ms,
                        restart_ms: Some(expected_ms),
                        on_time_for_ms: useful_for_ms,
                        useful_for_ms,
                    };
                    outlook.action();
                }
            }
        }
    }
}
