//! Suspension of the machine: the instance's clock includes the suspended time, the
//! runtime's timers do not.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use trefoil_instance::clock::Clock;
use trefoil_instance::instance::Instance;
use trefoil_instance::metrics::Metrics;
use trefoil_instance::store_polling;

use crate::support::{FakePlatform, run, settings};

/// Long enough for peers to close their links and take over the pool.
const SUSPENDED_MS: u64 = 3000;
const TIMEOUT: Duration = Duration::from_secs(20);

async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let began = std::time::Instant::now();
    while !condition() {
        assert!(began.elapsed() < TIMEOUT, "timed out: {what}");
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// Advances the clock in real time, by at most 20 ms at once, so that a busy machine
/// does not look like a suspension.
async fn run_clock(now_ms: Rc<Cell<u64>>) {
    let mut before = std::time::Instant::now();
    loop {
        tokio::time::sleep(Duration::from_millis(1)).await;
        let passed = before.elapsed().as_millis() as u64;
        before += Duration::from_millis(passed);
        now_ms.set(now_ms.get() + passed.min(20));
    }
}

#[test]
fn a_suspended_owner_releases_its_pool_and_claims_it_again() {
    run(async {
        let now_ms = Rc::new(Cell::new(0));
        spawn_local(run_clock(Rc::clone(&now_ms)));
        let platform = FakePlatform::default();
        let claims = Rc::clone(&platform.claims);
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let clock = Clock::Manual(Rc::clone(&now_ms));
        let metrics = Metrics::new().unwrap();
        let instance = Instance::with_clock(settings(), log, metrics, platform, clock);
        spawn_local(Rc::clone(&instance).tick_forever());
        store_polling::start(&instance);
        wait_until("ownership acquired", || instance.owns_pools()).await;
        let before = claims.get();
        now_ms.set(now_ms.get() + SUSPENDED_MS);
        wait_until("ownership released", || !instance.owns_pools()).await;
        wait_until("ownership acquired again", || instance.owns_pools()).await;
        assert!(claims.get() > before, "the pool is claimed again");
    });
}

#[test]
fn clock_starts_at_zero_and_is_monotonic() {
    let clock = Clock::start();
    assert!(matches!(clock, Clock::BootTime { .. }), "{clock:?}");
    let first_ms = clock.now_ms();
    assert!(first_ms < 1000);
    std::thread::sleep(Duration::from_millis(20));
    assert!(clock.now_ms() >= first_ms + 20);
}
