//! What is read from the store, and when.
//!
//! Reads are plain and periodic: they survive a forgotten history and cost the
//! same whatever changes. Owners read everything often; others leave that to
//! the owners that they hear from, which push newer declarations, and read
//! rarely. Each call is priced, so the periods are as long as the limits allow.

use std::rc::Rc;
use std::time::Duration;

use slog::{info, warn};
use trefoil_core::dispatch::pool;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::instance::Instance;
use crate::platform::{Store, StoreError, WorkerClient};

/// Period of an owner's reads: two fit into the two seconds in which
/// declarations must be in force and draining workers be left alone.
const OWNER_PERIOD: Duration = Duration::from_millis(700);
/// Period of the others' reads while an owner tells that it reads.
const WATCHED_PERIOD: Duration = Duration::from_millis(4000);
/// Pause after a read that failed.
const RETRY: Duration = Duration::from_millis(250);
/// Period of renewing the registration; a third of its life.
const REGISTER_PERIOD: Duration = Duration::from_millis(1500);

/// Longest pause after a registration that failed, as doublings of [`RETRY`]: a
/// second, a fifth of the registration's life.
const REGISTER_DOUBLINGS_MAX: u32 = 2;

/// The number of registered workers has settled when it has grown by no more
/// than this ...
const SETTLED_GROWTH_PERCENT: usize = 5;
/// ... for so long: a worker registers with its heartbeat, each 1500 ms.
const SETTLED_MS: u64 = 1600;

/// Remembers whether a dependency answered, to tell of changes only.
#[derive(Default)]
struct Health {
    failed: bool,
}

impl Health {
    fn note<E>(
        &mut self,
        instance: &Instance<E>,
        feed: &'static str,
        result: Result<(), StoreError>,
    ) {
        match result {
            Ok(()) if self.failed => info!(instance.log, "store regained"; "feed" => feed),
            Err(error) if !self.failed => {
                warn!(instance.log, "store lost"; "feed" => feed, "error" => %error);
            }
            Ok(()) | Err(_) => {}
        }
    }
}

/// Reads the store until the process ends.
pub fn start<E: Store + WorkerClient + 'static>(instance: &Rc<Instance<E>>) {
    tokio::task::spawn_local(read_forever(Rc::clone(instance)));
    tokio::task::spawn_local(register_forever(Rc::clone(instance)));
}

async fn read_forever<E: Store + WorkerClient + 'static>(instance: Rc<Instance<E>>) {
    let mut health = Health::default();
    let mut registered = Registered::default();
    loop {
        let poked = instance.store_poke.notified();
        let result = read_once(&instance, &mut registered).await;
        let failed = result.is_err();
        health.note(&instance, "reads", result);
        health.failed = failed;
        let left_to_others =
            !instance.owns_pools() && instance.store_is_watched() && !instance.is_unsettled();
        let period = match (failed, left_to_others) {
            (true, _) => RETRY,
            (false, true) => WATCHED_PERIOD,
            (false, false) => OWNER_PERIOD,
        };
        tokio::select! {
            () = tokio::time::sleep(period) => {}
            () = poked => {}
        }
    }
}

async fn read_once<E: Store + WorkerClient + 'static>(
    instance: &Rc<Instance<E>>,
    registered: &mut Registered,
) -> Result<(), StoreError> {
    let domain = &instance.settings.failure_domain;
    let workers = async {
        if instance.owns_pools() {
            instance.workers_read(instance.edge.workers(domain).await?);
        }
        Ok(())
    };
    let deployment = async {
        let began_ms = instance.now_ms();
        instance.deployment_read(instance.edge.deployment_state().await?, began_ms);
        if instance.may_lay_out() {
            lay_out(instance, registered).await?;
        }
        Ok(())
    };
    let declarations = async {
        let began_ms = instance.now_ms();
        instance.declarations_read(instance.edge.declarations().await?, began_ms);
        Ok(())
    };
    // One that fails does not end the others: declarations have a time limit.
    let (workers, deployment, declarations) = tokio::join!(workers, deployment, declarations);
    workers.and(deployment).and(declarations)
}

/// How many workers were registered, and since when hardly more came.
#[derive(Default)]
struct Registered {
    workers: usize,
    since_ms: u64,
}

impl Registered {
    /// Whether the number has settled: workers register over some seconds when
    /// everything starts together.
    fn settles(&mut self, workers: usize, now_ms: u64) -> bool {
        if workers * 100 > self.workers * (100 + SETTLED_GROWTH_PERCENT) {
            self.workers = workers;
            self.since_ms = now_ms;
        }
        workers > 0 && now_ms >= self.since_ms + SETTLED_MS
    }
}

/// Lays out the failure domain's pools once its workers have registered.
async fn lay_out<E: Store + WorkerClient + 'static>(
    instance: &Rc<Instance<E>>,
    registered: &mut Registered,
) -> Result<(), StoreError> {
    let domain = &instance.settings.failure_domain;
    let workers = instance.edge.workers(domain).await?.len();
    if !registered.settles(workers, instance.now_ms()) {
        return Ok(());
    }
    let pools = pool::count_for(workers);
    info!(instance.log, "laying out pools"; "workers" => workers, "pools" => pools);
    instance.edge.create_pools(domain, pools).await?;
    let began_ms = instance.now_ms();
    instance.deployment_read(instance.edge.deployment_state().await?, began_ms);
    Ok(())
}

async fn register_forever<E: Store + WorkerClient + 'static>(instance: Rc<Instance<E>>) {
    let mut health = Health::default();
    let mut failures = 0;
    loop {
        let result = instance.edge.register(&instance.me).await;
        let failed = result.is_err();
        health.note(&instance, "registration", result);
        health.failed = failed;
        failures = if failed { failures + 1 } else { 0 };
        let period = match failures {
            0 => REGISTER_PERIOD,
            _ => backoff(&instance.me.name, failures),
        };
        tokio::time::sleep(period).await;
        if instance.is_leaving() {
            return;
        }
    }
}

/// Pause after a registration that failed so many times: all instances of a
/// large deployment that start together make more writes than the store takes
/// in a second, so each waits longer and for a time of its own.
fn backoff(name: &str, failures: u32) -> Duration {
    let longest = RETRY * 2_u32.pow(failures.min(REGISTER_DOUBLINGS_MAX));
    let draw = xxh3_64_with_seed(name.as_bytes(), u64::from(failures)) >> 11;
    longest.mul_f64((1.0 + draw as f64 / (1_u64 << 53) as f64) / 2.0)
}
