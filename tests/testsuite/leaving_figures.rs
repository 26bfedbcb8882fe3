//! Figures of planned stops. Not a check: run it with
//! `cargo test --release --test testsuite leaving_figures -- --ignored --nocapture`.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use crate::support::callers::Callers;
use crate::support::deployment::{Deployment, Size};

const ANNOUNCE_MS: [u64; 5] = [0, 200, 400, 600, 1_000];
const PERIOD_MS: u64 = 10;
const STOP_MAX: Duration = Duration::from_secs(10);

/// Replaces six instances one by one; prints one row of the table.
async fn replace_all(announce_ms: u64) {
    let size = Size {
        domains: 2,
        announce_ms,
        ..Size::default()
    };
    let mut deployment = Deployment::start(size).await;
    let warm = deployment.world.requests().len();
    let callers = Callers::start(&deployment.world, (0..6).collect(), PERIOD_MS);
    let mut longest = Duration::ZERO;
    for leaver in 0..6 {
        let begun = Instant::now();
        deployment.instances[leaver].terminate();
        let code = deployment.instances[leaver].exit_code(STOP_MAX).await;
        assert_eq!(code, Some(0));
        longest = longest.max(begun.elapsed());
        deployment.instances[leaver].restart();
        deployment.list_instances().await;
        deployment.until_served().await;
    }
    let complete = callers.finish().await.complete;
    let tally = deployment.verdict();
    let requests = &deployment.world.requests()[warm..];
    let keys: BTreeSet<&str> = requests.iter().map(|entry| entry.key.as_str()).collect();
    let of = |reason: &str| {
        let told = requests.iter().filter(|entry| entry.reason == reason);
        told.map(|entry| entry.key.as_str())
            .collect::<BTreeSet<_>>()
            .len()
    };
    println!(
        "announce {announce_ms} ms: {} keys, {complete} from callers complete, \
         keys told: leaving {}, owner_left {}, owner_lost {}, answer_lost {}; \
         longest stop {} ms; {tally:?}",
        keys.len(),
        of("leaving"),
        of("owner_left"),
        of("owner_lost"),
        of("answer_lost"),
        longest.as_millis(),
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "prints figures, checks nothing that other tests do not"]
async fn refusals_by_length_of_the_announcement() {
    for announce_ms in ANNOUNCE_MS {
        replace_all(announce_ms).await;
    }
}
