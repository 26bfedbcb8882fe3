//! Links that are closed on purpose: two ends in virtual time, with jobs that
//! come while either side may be about to give the link up.

use arbtest::arbtest;
use trefoil_core::dispatch::retirement::{Retirement, Side, Step};

/// Period at which an end looks at its links.
const BEAT_MS: u64 = 100;
/// Both sides have lost interest by then.
const QUIET_MS: u64 = 20_000;
/// An unneeded link is closed by then.
const END_MS: u64 = QUIET_MS + 8_000;
/// Longest time on the way.
const PATH_MAX_MS: u64 = 300;
const JOB_MAX_MS: u64 = 1500;

/// One side of the link.
struct End {
    retirement: Retirement,
    /// When each of its jobs ends.
    jobs: Vec<u64>,
    /// When the peer's offer arrives.
    offer_at_ms: Option<u64>,
    is_closed: bool,
}

impl End {
    fn new(side: Side) -> Self {
        Self {
            retirement: Retirement::new(0, side),
            jobs: Vec::new(),
            offer_at_ms: None,
            is_closed: false,
        }
    }
}

#[test]
fn no_job_is_on_a_link_that_is_closed_on_purpose() {
    arbtest(|choices| {
        let mut ends = [End::new(Side::Dialed), End::new(Side::Accepted)];
        let mut closed_ms = None;
        for now_ms in (0..END_MS).step_by(10) {
            for me in 0..2 {
                let is_desired = now_ms < QUIET_MS && choices.ratio(1, 8)?;
                let end = &mut ends[me];
                if end.offer_at_ms.is_some_and(|at_ms| now_ms >= at_ms) {
                    end.retirement.released_by_peer();
                }
                end.jobs.retain(|&until_ms| now_ms < until_ms);
                if now_ms.is_multiple_of(BEAT_MS) {
                    end.retirement.observe(now_ms, is_desired);
                }
                // An end that knows the peer may have a job for it at any time.
                if !end.retirement.is_draining() && now_ms < QUIET_MS && choices.ratio(1, 20)? {
                    end.jobs
                        .push(now_ms + choices.int_in_range(10..=JOB_MAX_MS)?);
                }
                match end.retirement.next_step(!end.jobs.is_empty()) {
                    Some(Step::Offer) => {
                        end.retirement.offered();
                        let path_ms = choices.int_in_range(1..=PATH_MAX_MS)?;
                        ends[1 - me].offer_at_ms = Some(now_ms + path_ms);
                    }
                    Some(Step::Close) => end.is_closed = true,
                    None => {}
                }
            }
            if ends.iter().any(|end| end.is_closed) {
                let jobs = ends.iter().map(|end| end.jobs.len()).sum::<usize>();
                assert_eq!(jobs, 0, "jobs under way at {now_ms} ms");
                closed_ms = Some(now_ms);
                break;
            }
        }
        assert!(closed_ms.is_some(), "nobody needs the link, and it is kept");
        Ok(())
    })
    .budget_ms(2000);
}

#[test]
fn a_peer_that_needs_the_link_keeps_it() {
    let mut accepted = Retirement::new(0, Side::Accepted);
    accepted.released_by_peer();
    for now_ms in (0..60_000).step_by(100) {
        accepted.observe(now_ms, true);
        assert_eq!(accepted.next_step(false), None);
    }
    accepted.observe(60_000, false);
    assert_eq!(accepted.next_step(true), None, "its jobs end first");
    assert_eq!(accepted.next_step(false), Some(Step::Close));
}

#[test]
fn a_link_that_is_needed_again_before_the_offer_is_kept() {
    let mut dialed = Retirement::new(0, Side::Dialed);
    dialed.observe(5000, false);
    assert!(dialed.is_draining());
    dialed.observe(5100, true);
    assert!(!dialed.is_draining());
}
