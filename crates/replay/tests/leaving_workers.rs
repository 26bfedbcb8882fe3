//! What callers get while workers leave at short notice.

mod support;

use support::Replay;

/// Position of the class of long jobs.
const LONG: usize = 2;

/// Guards against running tasks on a leaving worker until it exits although they cannot end
/// before, so that they start again only once their leases have expired.
#[test]
fn long_jobs_end_on_time_when_workers_leave_at_short_notice() {
    let replays = [3, 4, 6].map(|seed| Replay::of("short-notice", seed));
    let late: u64 = replays
        .iter()
        .map(|replay| replay.stats.classes[LONG].late + replay.stats.classes[LONG].too_late)
        .sum();
    // 19 if no run is stopped before its worker exits.
    assert!(late <= 15, "{late} long jobs are late");
    for replay in &replays {
        assert!(replay.share_of_bound() > 0.98);
        assert_eq!(replay.stats.sum(|class| class.failed), 0);
        assert_eq!(replay.stats.sum(|class| class.refused), 0);
    }
}
