//! Limits on the memory of an owner's jobs.

mod dispatch_support;

use dispatch_support::orders::{delegate_job, fenced_owner, job_outcomes};
use dispatch_support::wide_job;
use trefoil_core::dispatch::footprint;
use trefoil_core::dispatch::owner::Command;
use trefoil_schema::dispatch::Outcome;

#[test]
fn jobs_beyond_the_memory_are_refused() {
    let mut owner = fenced_owner(1, &["w1"]);
    let large = wide_job("large-1", 2000);
    let large_bytes = footprint::owned_job_bytes(&large);
    owner.set_jobs_bytes_max(large_bytes * 2);
    assert!(job_outcomes(&delegate_job(&mut owner, 10, large)).is_empty());
    assert_eq!(owner.jobs_bytes(), large_bytes);
    // A quarter is reserved for small jobs.
    let out = delegate_job(&mut owner, 11, wide_job("large-2", 2000));
    assert_eq!(
        job_outcomes(&out),
        [("large-2".to_owned(), Outcome::NotRun)]
    );
    assert!(
        matches!(&out[..], [Command::JobEnded { result, .. }] if result.retry_after_ms >= 1000)
    );
    assert!(job_outcomes(&delegate_job(&mut owner, 12, wide_job("small", 1))).is_empty());
    // The same job again is not another one.
    assert!(job_outcomes(&delegate_job(&mut owner, 13, wide_job("large-1", 2000))).is_empty());
    owner.set_jobs_bytes_max(large_bytes * 4);
    assert!(job_outcomes(&delegate_job(&mut owner, 14, wide_job("large-2", 2000))).is_empty());
}

#[test]
fn a_job_larger_than_the_memory_is_taken_alone() {
    let mut owner = fenced_owner(1, &["w1"]);
    owner.set_jobs_bytes_max(1000);
    assert!(job_outcomes(&delegate_job(&mut owner, 10, wide_job("large", 2000))).is_empty());
    let out = delegate_job(&mut owner, 11, wide_job("small", 1));
    assert_eq!(job_outcomes(&out), [("small".to_owned(), Outcome::NotRun)]);
}
