//! Workers that start again under their ids while their owner is replaced.

use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::task::spawn_local;
use trefoil_core::dispatch::worker::WorkerRecord;
use trefoil_instance::store_polling;
use trefoil_schema::dispatch::Claim;

use crate::pool_workers::worker_record;
use crate::support::{DOMAIN, FakePlatform, Takeover, node, run, start_instance};

const BORN_MS: u64 = 1_700_000_000_000;
const REBORN_MS: u64 = BORN_MS + 60_000;
const TIMEOUT: Duration = Duration::from_secs(5);

fn record(born_ms: u64) -> WorkerRecord {
    WorkerRecord {
        born_ms: Some(born_ms),
        ..worker_record()
    }
}

/// Guards against an owner that uses the next incarnation of a worker, which has not seen the
/// fence of its successor, since it has read its entry before its successor's claim.
#[test]
fn an_owner_reads_the_claims_before_it_uses_a_worker_that_has_started_again() {
    run(async {
        let platform = FakePlatform {
            workers: Some(vec![record(BORN_MS)]),
            ..FakePlatform::default()
        };
        let (takeover, renewed) = (Rc::clone(&platform.takeover), Rc::clone(&platform.renewed));
        let (instance, _) = start_instance(platform).await;
        spawn_local(Rc::clone(&instance).tick_forever());
        store_polling::start(&instance);
        let began = Instant::now();
        while !renewed.borrow().contains(&Some(BORN_MS)) {
            assert!(began.elapsed() < TIMEOUT, "the instance owns no pool");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let claim = Claim {
            pool: format!("{DOMAIN}/0"),
            failure_domain: DOMAIN.to_owned(),
            term: 9,
            owner: Some(node("b")),
        };
        let workers = vec![record(REBORN_MS)];
        takeover.replace(Some(Takeover { claim, workers }));
        while takeover.borrow().is_some() {
            assert!(began.elapsed() < TIMEOUT, "the registry is not read");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
        assert!(!renewed.borrow().contains(&Some(REBORN_MS)));
    });
}
