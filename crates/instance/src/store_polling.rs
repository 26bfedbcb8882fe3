//! Periodic reads of the store, and registration of the instance.
//!
//! The store is polled instead of watched, so that a compacted history needs no
//! special case. [`store_reads`] decides when, since each call to the store has a cost.
//!
//! [`store_reads`]: trefoil_core::dispatch::store_reads

use std::rc::Rc;
use std::time::Duration;

use slog::{info, warn};
use trefoil_core::dispatch::pool;
use trefoil_core::dispatch::store_reads::{ReadSchedule, ScheduledRead, StoreRead};
use trefoil_core::dispatch::worker::WorkerRecord;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::instance::Instance;
use crate::platform::{Store, StoreError, WorkerClient};

/// Interval at which the time of the next read is determined again; heartbeats, which confirm
/// declarations, come as often.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Duration from which a read of the declarations is logged; the store answers in 4 ms.
const SLOW_READ_MS: u64 = 250;
/// Interval between renewals of the registration; a third of its TTL.
const REGISTRATION_INTERVAL: Duration = Duration::from_millis(1500);
/// Delay after a failed registration.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Maximum number of doublings of [`RETRY_DELAY`] after failed registrations, which
/// keeps the delay well below the registration's TTL.
const REGISTRATION_DOUBLINGS_MAX: u32 = 2;

/// The number of registered workers counts as stable once it has grown by no more
/// than this percentage during [`STABLE_MS`].
const STABLE_GROWTH_PERCENT: usize = 5;
/// Longer than the interval at which workers register, 1500 ms.
const STABLE_MS: u64 = 1600;

/// Remembers whether the last call failed, so that only changes are logged.
#[derive(Default)]
struct StoreHealth {
    failed: bool,
}

impl StoreHealth {
    fn log_change<P>(
        &mut self,
        instance: &Instance<P>,
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

/// Spawns the tasks that poll the store and renew the registration.
pub fn start<P: Store + WorkerClient + 'static>(instance: &Rc<Instance<P>>) {
    tokio::task::spawn_local(poll_store(Rc::clone(instance)));
    tokio::task::spawn_local(keep_registered(Rc::clone(instance)));
}

async fn poll_store<P: Store + WorkerClient + 'static>(instance: Rc<Instance<P>>) {
    let mut health = StoreHealth::default();
    let mut worker_count = WorkerCount::default();
    let mut schedule = ReadSchedule::new(&instance.node.name);
    let mut read = StoreRead::Everything;
    loop {
        let read_requested = instance.store_read_requested.notified();
        let result = match read {
            StoreRead::Everything => read_everything(&instance, &mut worker_count).await,
            StoreRead::Declarations => {
                instance.metrics.unconfirmed_reads.inc();
                read_declarations(&instance).await
            }
        };
        let failed = result.is_err();
        schedule.on_read_ended(instance.now_ms(), read, !failed);
        health.log_change(&instance, "reads", result);
        health.failed = failed;
        read = tokio::select! {
            read = wait_until_due(&instance, &schedule) => read,
            () = read_requested => StoreRead::Everything,
        };
    }
}

/// Waits until the next read is due. A peer's heartbeat may put it off, and becoming an owner
/// may advance it.
async fn wait_until_due<P: Store + WorkerClient + 'static>(
    instance: &Instance<P>,
    schedule: &ReadSchedule,
) -> StoreRead {
    loop {
        let ScheduledRead { read, due_ms } = schedule.next_read(instance.read_demand());
        let remaining_ms = due_ms.saturating_sub(instance.now_ms());
        if remaining_ms == 0 {
            return read;
        }
        let remaining = Duration::from_millis(remaining_ms);
        tokio::time::sleep(remaining.min(CHECK_INTERVAL)).await;
    }
}

async fn read_everything<P: Store + WorkerClient + 'static>(
    instance: &Rc<Instance<P>>,
    worker_count: &mut WorkerCount,
) -> Result<(), StoreError> {
    let workers = read_workers(instance);
    let deployment = async {
        let began_ms = instance.now_ms();
        instance.apply_deployment_state(instance.platform.deployment_state().await?, began_ms);
        if instance.should_create_pools() {
            create_pools(instance, worker_count).await?;
        }
        Ok(())
    };
    let declarations = read_declarations(instance);
    // A failing read does not cancel the others: declarations must arrive in time.
    let (workers, deployment, declarations) = tokio::join!(workers, deployment, declarations);
    let workers = match workers {
        Ok(Some(reborn)) => apply_reborn_workers(instance, reborn).await,
        Ok(None) => Ok(()),
        Err(error) => Err(error),
    };
    workers.and(deployment).and(declarations)
}

/// Reads the registered workers if this instance owns pools. Returns them if some have started
/// again, whose entries are not applied yet.
async fn read_workers<P: Store + WorkerClient + 'static>(
    instance: &Rc<Instance<P>>,
) -> Result<Option<Vec<WorkerRecord>>, StoreError> {
    if !instance.owns_pools() {
        return Ok(None);
    }
    let domain = &instance.settings.failure_domain;
    let records = instance.platform.workers(domain).await?;
    Ok(instance.apply_known_incarnations(records))
}

/// Applies the entries of workers that have started again, if this instance still owns their
/// pools. Such a worker knows no fence, so that nothing but the claims, read after its entry,
/// keeps it from an owner that was replaced.
async fn apply_reborn_workers<P: Store + WorkerClient + 'static>(
    instance: &Rc<Instance<P>>,
    records: Vec<WorkerRecord>,
) -> Result<(), StoreError> {
    let began_ms = instance.now_ms();
    instance.apply_deployment_state(instance.platform.deployment_state().await?, began_ms);
    instance.apply_workers(records);
    Ok(())
}

async fn read_declarations<P: Store + WorkerClient + 'static>(
    instance: &Rc<Instance<P>>,
) -> Result<(), StoreError> {
    let began_ms = instance.now_ms();
    let read = instance.platform.declarations().await;
    let took_ms = instance.now_ms().saturating_sub(began_ms);
    match &read {
        Ok(_) if took_ms < SLOW_READ_MS => {}
        Ok(_) => info!(instance.log, "slow read of the declarations"; "took_ms" => took_ms),
        Err(error) => {
            instance.metrics.declaration_read_failures.inc();
            instance.on_declarations_read_failed();
            info!(instance.log, "read of the declarations failed"; "took_ms" => took_ms,
                "error" => %error);
        }
    }
    instance.apply_stored_declarations(read?, began_ms);
    Ok(())
}

/// Number of registered workers, and since when it has been stable.
#[derive(Default)]
struct WorkerCount {
    workers: usize,
    since_ms: u64,
}

impl WorkerCount {
    /// Updates the count and returns whether it is stable. Workers that start at once
    /// register over several seconds.
    fn observe(&mut self, workers: usize, now_ms: u64) -> bool {
        if workers * 100 > self.workers * (100 + STABLE_GROWTH_PERCENT) {
            self.workers = workers;
            self.since_ms = now_ms;
        }
        workers > 0 && now_ms >= self.since_ms + STABLE_MS
    }
}

/// Creates the failure domain's pools once the number of its workers is stable.
async fn create_pools<P: Store + WorkerClient + 'static>(
    instance: &Rc<Instance<P>>,
    worker_count: &mut WorkerCount,
) -> Result<(), StoreError> {
    let domain = &instance.settings.failure_domain;
    let workers = instance.platform.workers(domain).await?.len();
    if !worker_count.observe(workers, instance.now_ms()) {
        return Ok(());
    }
    let pools = pool::count_for(workers);
    info!(instance.log, "creating pools"; "workers" => workers, "pools" => pools);
    instance.platform.create_pools(domain, pools).await?;
    let began_ms = instance.now_ms();
    instance.apply_deployment_state(instance.platform.deployment_state().await?, began_ms);
    Ok(())
}

async fn keep_registered<P: Store + WorkerClient + 'static>(instance: Rc<Instance<P>>) {
    let mut health = StoreHealth::default();
    let mut failures = 0;
    loop {
        let result = instance.platform.register(&instance.node).await;
        let failed = result.is_err();
        health.log_change(&instance, "registration", result);
        health.failed = failed;
        failures = if failed { failures + 1 } else { 0 };
        let delay = match failures {
            0 => REGISTRATION_INTERVAL,
            _ => registration_backoff(&instance.node.name, failures),
        };
        tokio::time::sleep(delay).await;
        if instance.is_leaving() {
            return;
        }
    }
}

/// Exponential delay with jitter after consecutive failed registrations: when all
/// instances of a large deployment start at once, their writes exceed the store's rate
/// limit.
fn registration_backoff(name: &str, failures: u32) -> Duration {
    let delay_max = RETRY_DELAY * 2_u32.pow(failures.min(REGISTRATION_DOUBLINGS_MAX));
    let jitter = xxh3_64_with_seed(name.as_bytes(), u64::from(failures)) >> 11;
    delay_max.mul_f64((1.0 + jitter as f64 / (1_u64 << 53) as f64) / 2.0)
}
