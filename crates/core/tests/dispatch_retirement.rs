//! Graceful close of links: two ends in simulated time, with jobs that are submitted
//! while either side may be about to close the link.

use arbtest::arbtest;
use trefoil_core::dispatch::retirement::{Retirement, Side, Step};

/// Period at which an end checks whether it needs the link.
const CHECK_PERIOD_MS: u64 = 100;
/// From then on neither side needs the link.
const UNNEEDED_FROM_MS: u64 = 20_000;
/// The link must be closed by then.
const END_MS: u64 = UNNEEDED_FROM_MS + 8_000;
const LATENCY_MAX_MS: u64 = 300;
const JOB_MAX_MS: u64 = 1500;

/// One side of the link.
struct End {
    retirement: Retirement,
    /// When each of its jobs ends.
    job_ends_ms: Vec<u64>,
    /// When the peer's offer arrives.
    offer_at_ms: Option<u64>,
    is_closed: bool,
}

impl End {
    fn new(side: Side) -> Self {
        Self {
            retirement: Retirement::new(0, side),
            job_ends_ms: Vec::new(),
            offer_at_ms: None,
            is_closed: false,
        }
    }
}

#[test]
fn no_job_is_in_progress_on_a_link_that_is_closed_gracefully() {
    arbtest(|choices| {
        let mut ends = [End::new(Side::Dialed), End::new(Side::Accepted)];
        let mut closed_ms = None;
        for now_ms in (0..END_MS).step_by(10) {
            for me in 0..2 {
                let is_desired = now_ms < UNNEEDED_FROM_MS && choices.ratio(1, 8)?;
                let end = &mut ends[me];
                if end.offer_at_ms.is_some_and(|at_ms| now_ms >= at_ms) {
                    end.retirement.on_offer_received();
                }
                end.job_ends_ms.retain(|&until_ms| now_ms < until_ms);
                if now_ms.is_multiple_of(CHECK_PERIOD_MS) {
                    end.retirement.update_desired(now_ms, is_desired);
                }
                // An end may delegate a job at any time unless it is draining.
                if !end.retirement.is_draining()
                    && now_ms < UNNEEDED_FROM_MS
                    && choices.ratio(1, 20)?
                {
                    end.job_ends_ms
                        .push(now_ms + choices.int_in_range(10..=JOB_MAX_MS)?);
                }
                match end.retirement.next_step(!end.job_ends_ms.is_empty()) {
                    Some(Step::Offer) => {
                        end.retirement.on_offer_sent();
                        let latency_ms = choices.int_in_range(1..=LATENCY_MAX_MS)?;
                        ends[1 - me].offer_at_ms = Some(now_ms + latency_ms);
                    }
                    Some(Step::Close) => end.is_closed = true,
                    None => {}
                }
            }
            if ends.iter().any(|end| end.is_closed) {
                let jobs = ends.iter().map(|end| end.job_ends_ms.len()).sum::<usize>();
                assert_eq!(jobs, 0, "jobs in progress at {now_ms} ms");
                closed_ms = Some(now_ms);
                break;
            }
        }
        assert!(closed_ms.is_some(), "the unneeded link is not closed");
        Ok(())
    })
    .budget_ms(2000);
}

#[test]
fn peer_that_needs_the_link_keeps_it() {
    let mut accepted = Retirement::new(0, Side::Accepted);
    accepted.on_offer_received();
    for now_ms in (0..60_000).step_by(100) {
        accepted.update_desired(now_ms, true);
        assert_eq!(accepted.next_step(false), None);
    }
    accepted.update_desired(60_000, false);
    assert_eq!(accepted.next_step(true), None, "its jobs end first");
    assert_eq!(accepted.next_step(false), Some(Step::Close));
}

#[test]
fn link_that_is_needed_again_before_the_offer_is_kept() {
    let mut dialed = Retirement::new(0, Side::Dialed);
    dialed.update_desired(5000, false);
    assert!(dialed.is_draining());
    dialed.update_desired(5100, true);
    assert!(!dialed.is_draining());
}
