//! Delegations over one of several links to the same owner.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::{JoinHandle, spawn_local};
use trefoil_core::dispatch::entry::Answer;
use trefoil_core::dispatch::limits::REDELEGATION_DELAY_MS;
use trefoil_instance::instance::Instance;
use trefoil_schema::dispatch::frame::Body;
use trefoil_schema::dispatch::{Beat, Job, Outcome, Phase};

use crate::support::peer::{Peer, PeerLink, wait_until};
use crate::support::{FakePlatform, run, start_instance};

/// Longer than a job waits before another pool can have it.
const LONGER_THAN_REDELEGATION: Duration = Duration::from_millis(REDELEGATION_DELAY_MS + 300);

/// Longer than a heartbeat period, and shorter than the time after which a link is closed.
const SILENCE: Duration = Duration::from_millis(200);

/// An instance that knows pools from its links only.
async fn start() -> (Rc<Instance<FakePlatform>>, SocketAddr) {
    let (instance, address) = start_instance(FakePlatform::default()).await;
    spawn_local(Rc::clone(&instance).tick_forever());
    (instance, address)
}

fn submit(instance: &Rc<Instance<FakePlatform>>) -> JoinHandle<Answer> {
    let spec = Job {
        id: "x".to_owned(),
        attempts_max: 3,
        phases: vec![Phase {
            count: 1,
            cpu_millicores: 1000,
            estimate_ms: 3400,
            ..Phase::default()
        }],
        ..Job::default()
    };
    let instance = Rc::clone(instance);
    spawn_local(async move { instance.submit(spec, 8000).await })
}

/// Opens links of an owner and submits a job, which is delegated over one of them. Then the
/// owner takes no further jobs, and the other pool does. Returns the link that carried the
/// job, and the others.
async fn delegate_over_one_of(
    count: usize,
    instance: &Rc<Instance<FakePlatform>>,
    address: SocketAddr,
    owner: &Peer,
    other: &Peer,
) -> (PeerLink, Vec<PeerLink>, JoinHandle<Answer>) {
    let mut links = Vec::new();
    for _ in 0..count {
        links.push(owner.open(address).await);
    }
    let answer = submit(instance);
    let carriers = |links: &[PeerLink]| {
        let carries = |link: &PeerLink| !link.delegations().is_empty();
        links.iter().position(carries)
    };
    wait_until("the job is delegated", || carriers(&links).is_some()).await;
    let carrier = links.remove(carriers(&links).unwrap());
    owner.set_serving(false);
    other.set_serving(true);
    tokio::time::sleep(Duration::from_millis(150)).await;
    (carrier, links, answer)
}

/// Guards against a task that runs in two pools: the break of one link to an owner revoked
/// the jobs that the owner had from another link and went on with.
#[test]
fn a_job_stays_with_its_owner_when_another_link_to_it_breaks() {
    run(async {
        for count in [2, 3] {
            let (instance, address) = start().await;
            let owner = Peer::new("b", 0, true);
            let other = Peer::new("c", 1, false);
            let other_link = other.open(address).await;
            let (carrier, others, answer) =
                delegate_over_one_of(count, &instance, address, &owner, &other).await;
            drop(others);
            tokio::time::sleep(LONGER_THAN_REDELEGATION).await;
            assert!(other_link.delegations().is_empty(), "the job runs twice");
            let [delegate] = &carrier.delegations()[..] else {
                panic!("delegated again: {:?}", carrier.delegations());
            };
            carrier.end(delegate, Outcome::Completed).await;
            assert_eq!(answer.await.unwrap(), Answer::Completed);
        }
    });
}

/// Guards against lost work: the owner keeps a job for a moment after the loss of its link,
/// also in a pool that takes no other jobs.
#[test]
fn a_job_whose_link_breaks_is_delegated_to_its_owner_over_another_link() {
    run(async {
        let (instance, address) = start().await;
        let owner = Peer::new("b", 0, true);
        let other = Peer::new("c", 1, false);
        let other_link = other.open(address).await;
        let (carrier, others, answer) =
            delegate_over_one_of(2, &instance, address, &owner, &other).await;
        drop(carrier);
        let [remaining] = &others[..] else {
            panic!("two links were opened");
        };
        wait_until("the job is delegated again", || {
            !remaining.delegations().is_empty()
        })
        .await;
        tokio::time::sleep(LONGER_THAN_REDELEGATION).await;
        assert!(other_link.delegations().is_empty(), "the job runs twice");
        let delegations = remaining.delegations();
        remaining.end(&delegations[0], Outcome::Completed).await;
        assert_eq!(answer.await.unwrap(), Answer::Completed);
    });
}

/// Guards against jobs that are revoked from an owner that goes on with them: a heartbeat from
/// before the owner acquired the pool arrived late over another link.
#[test]
fn a_delayed_heartbeat_of_another_link_revokes_nothing() {
    run(async {
        let (instance, address) = start().await;
        let owner = Peer::new("b", 0, true);
        let other = Peer::new("c", 1, false);
        let other_link = other.open(address).await;
        let (carrier, others, answer) =
            delegate_over_one_of(2, &instance, address, &owner, &other).await;
        let delayed = Beat {
            number: 1,
            ..Beat::default()
        };
        others[0].send(Body::Beat(delayed)).await;
        tokio::time::sleep(LONGER_THAN_REDELEGATION).await;
        assert!(other_link.delegations().is_empty(), "the job runs twice");
        let delegations = carrier.delegations();
        assert_eq!(delegations.len(), 1);
        carrier.end(&delegations[0], Outcome::Completed).await;
        assert_eq!(answer.await.unwrap(), Answer::Completed);
    });
}

/// Guards against late jobs: one was delegated over a link that had fallen silent, although
/// another link to its owner was alive.
#[test]
fn jobs_are_delegated_over_the_link_that_was_heard_last() {
    run(async {
        for _ in 0..8 {
            let (instance, address) = start().await;
            let owner = Peer::new("b", 0, true);
            let silent = owner.open(address).await;
            let alive = owner.open(address).await;
            silent.fall_silent();
            tokio::time::sleep(SILENCE).await;
            let _answer = submit(&instance);
            wait_until("the job is delegated", || {
                !silent.delegations().is_empty() || !alive.delegations().is_empty()
            })
            .await;
            assert!(silent.delegations().is_empty());
        }
    });
}
