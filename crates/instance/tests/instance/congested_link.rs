//! A link whose peer does not read.

use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use trefoil_schema::dispatch::frame::Body;
use trefoil_schema::dispatch::{Beat, Job, Load, OwnedPool, Phase};

use crate::support::link::Link;
use crate::support::{FakePlatform, owned_pool, run, start_instance};

/// More frames than a link queues, with more bytes than the kernel buffers.
const JOBS: usize = 6000;
const SPEC_BYTES: usize = 4000;

fn heartbeat() -> Body {
    let load = Load {
        serving: true,
        capacity_millicores: 1_000_000_000,
        free_millicores: 1_000_000_000,
        ..Load::default()
    };
    Body::Beat(Beat {
        owned: vec![OwnedPool {
            load: Some(load),
            ..owned_pool("b", 0)
        }],
        ..Beat::default()
    })
}

fn job(number: usize) -> Job {
    Job {
        id: format!("x{number}"),
        spec: "x".repeat(SPEC_BYTES),
        attempts_max: 3,
        phases: vec![Phase {
            count: 1,
            cpu_millicores: 1000,
            estimate_ms: 100,
            ..Phase::default()
        }],
        ..Job::default()
    }
}

/// Guards against results and cancellations that are lost while both sides rely on the link: it
/// stayed open if its peer read on before the next heartbeat.
#[test]
fn a_link_that_has_dropped_a_frame_is_closed() {
    run(async {
        let (instance, address) = start_instance(FakePlatform::default()).await;
        let mut link = Link::open(address, 1).await;
        link.read_heartbeat().await;
        link.send(heartbeat()).await;
        sleep(Duration::from_millis(20)).await;
        for number in 0..JOBS {
            let instance = Rc::clone(&instance);
            spawn_local(async move { instance.submit(job(number), 60_000).await });
        }
        sleep(Duration::from_millis(20)).await;
        let mut delegated = 0;
        while let Ok(Some(body)) = timeout(Duration::from_millis(200), link.next()).await {
            delegated += usize::from(matches!(body, Body::Delegate(_)));
        }
        assert!(delegated < JOBS, "no frame was dropped");
        spawn_local(Rc::clone(&instance).tick_forever());
        let closing = async {
            loop {
                link.send(heartbeat()).await;
                while let Ok(body) = timeout(Duration::from_millis(50), link.next()).await {
                    if body.is_none() {
                        return;
                    }
                }
            }
        };
        let closed = timeout(Duration::from_secs(2), closing).await;
        assert!(closed.is_ok(), "the link is still open");
    });
}
