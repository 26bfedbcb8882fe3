//! What owners tell the instances of their failure domain about their workers.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::timeout;
use trefoil_core::dispatch::worker::{Departure, Resources, WorkerRecord};
use trefoil_instance::instance::Instance;
use trefoil_instance::store_polling;
use trefoil_schema::dispatch::frame::Body;
use trefoil_schema::dispatch::{PoolWorkers, Worker};

use crate::support::link::Link;
use crate::support::{DOMAIN, FakePlatform, run, start_instance};

const REMAINING_MS: u64 = 5000;
/// Longer than an instance takes to acquire a vacant pool and to report its workers.
const TIMEOUT: Duration = Duration::from_secs(3);

/// A worker of the failure domain.
pub fn worker_record() -> WorkerRecord {
    WorkerRecord {
        draining: false,
        departure: None,
        ..draining_record()
    }
}

fn draining_record() -> WorkerRecord {
    WorkerRecord {
        id: Arc::from("w1"),
        address: Arc::from("w1:80"),
        failure_domain: Arc::from(DOMAIN),
        service: Arc::from("register"),
        draining: true,
        departure: Some(Departure {
            remaining_ms: REMAINING_MS,
            reported_clock_ms: None,
        }),
        capacity: Resources::default(),
        labels: Default::default(),
        born_ms: None,
        revision: 0,
    }
}

/// Lets the instance own the pool; returns the time until the exit of its worker that it then
/// reports.
async fn reported_remaining_ms(
    instance: &Rc<Instance<FakePlatform>>,
    address: std::net::SocketAddr,
) -> u64 {
    reported_worker(instance, address).await.remaining_ms
}

/// Lets the instance own the pool; returns its worker as it then reports it.
async fn reported_worker(
    instance: &Rc<Instance<FakePlatform>>,
    address: std::net::SocketAddr,
) -> Worker {
    spawn_local(Rc::clone(instance).tick_forever());
    store_polling::start(instance);
    for incarnation in 2.. {
        let mut link = Link::open(address, incarnation).await;
        // The link is closed after a while, since the peer sends no heartbeats.
        while let Some(body) = link.next().await {
            if let Body::PoolWorkers(reported) = body
                && let [worker] = reported.workers.as_slice()
            {
                return worker.clone();
            }
        }
    }
    unreachable!("the loop has no end")
}

/// Guards against a successor that does not know when the workers of its pool exit.
#[test]
fn an_owner_reports_when_a_draining_worker_exits() {
    run(async {
        let platform = FakePlatform {
            workers: Some(vec![draining_record()]),
            ..FakePlatform::default()
        };
        let (instance, address) = start_instance(platform).await;
        let remaining_ms = reported_remaining_ms(&instance, address).await;
        // The age of the report is not known.
        assert!((1..REMAINING_MS).contains(&remaining_ms), "{remaining_ms}");
    });
}

/// Guards against the loss of the time, or its use as if it were new, when the owner changes
/// while the registry cannot be read.
#[test]
fn a_successor_counts_down_the_reported_time() {
    run(async {
        let platform = FakePlatform {
            workers: None,
            ..FakePlatform::default()
        };
        let (instance, address) = start_instance(platform).await;
        let mut link = Link::open(address, 1).await;
        link.read_heartbeat().await;
        let worker = Worker {
            id: "w1".to_owned(),
            address: "w1:80".to_owned(),
            service: "register".to_owned(),
            draining: true,
            remaining_ms: REMAINING_MS,
            ..Worker::default()
        };
        let reported = PoolWorkers {
            pool: format!("{DOMAIN}/0"),
            workers: vec![worker],
            ..PoolWorkers::default()
        };
        link.send(Body::PoolWorkers(reported)).await;
        let waited = Duration::from_millis(300);
        tokio::time::sleep(waited).await;
        let remaining_ms = reported_remaining_ms(&instance, address).await;
        let passed_ms = REMAINING_MS - waited.as_millis() as u64;
        assert!((1..=passed_ms).contains(&remaining_ms), "{remaining_ms}");
    });
}

/// Guards against a successor that uses an outdated list of workers: it arrived late over one of
/// two links to the owner.
#[test]
fn an_earlier_report_of_another_link_is_ignored() {
    run(async {
        let platform = FakePlatform {
            workers: None,
            ..FakePlatform::default()
        };
        let (instance, address) = start_instance(platform).await;
        let mut links = [Link::open(address, 1).await, Link::open(address, 1).await];
        for link in &mut links {
            link.read_heartbeat().await;
        }
        let worker = Worker {
            id: "w1".to_owned(),
            address: "w1:80".to_owned(),
            service: "register".to_owned(),
            draining: true,
            remaining_ms: REMAINING_MS,
            ..Worker::default()
        };
        let [first, second] = &mut links;
        for (link, number, workers) in [(first, 2, vec![worker]), (second, 1, vec![])] {
            let reported = PoolWorkers {
                pool: format!("{DOMAIN}/0"),
                workers,
                number,
            };
            link.send(Body::PoolWorkers(reported)).await;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let remaining_ms = timeout(TIMEOUT, reported_remaining_ms(&instance, address)).await;
        assert!(remaining_ms.is_ok(), "the worker is not known");
    });
}

/// Guards against a successor that takes a worker which has started again for the one before, as it
/// does not know from which incarnation the list is.
#[test]
fn a_report_tells_the_incarnation_of_a_worker() {
    const BORN_MS: u64 = 1_700_000_000_000;
    run(async {
        let platform = FakePlatform {
            workers: None,
            ..FakePlatform::default()
        };
        let (instance, address) = start_instance(platform).await;
        let mut link = Link::open(address, 1).await;
        link.read_heartbeat().await;
        let worker = Worker {
            id: "w1".to_owned(),
            address: "w1:80".to_owned(),
            service: "register".to_owned(),
            born_ms: BORN_MS,
            ..Worker::default()
        };
        let reported = PoolWorkers {
            pool: format!("{DOMAIN}/0"),
            workers: vec![worker],
            ..PoolWorkers::default()
        };
        link.send(Body::PoolWorkers(reported)).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        let reported = timeout(TIMEOUT, reported_worker(&instance, address)).await;
        let born_ms = reported.map(|worker| worker.born_ms);
        assert_eq!(born_ms, Ok(BORN_MS));
    });
}
