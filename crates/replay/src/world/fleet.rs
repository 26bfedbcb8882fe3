//! The workers of a pattern, and their room.

use std::sync::Arc;

use trefoil_core::dispatch::entry::Entry;
use trefoil_core::dispatch::fence::Fence;
use trefoil_core::dispatch::owner::{Owner, Settings};
use trefoil_core::dispatch::pool;
use trefoil_core::dispatch::worker::{Resources, WorkerRecord};

use super::{LEAVING_MS, World};
use crate::pattern::{Change, Fleet, Pattern};
use crate::worker::Worker;

/// Processor of a common worker, thousandths of a core.
const WORKER_MILLICORES: u64 = 16_000;
/// Every third worker is of another kind: larger by this factor, ...
const LARGE_FACTOR: f64 = 1.5;
/// ... and slower by this one.
const LARGE_SLOWNESS: f64 = 1.3;

/// Room of the workers at an instant after the first request, thousandths of a
/// core of common speed: for the bound.
pub fn room_at(pattern: &Pattern, at_ms: u64) -> f64 {
    let fleet = pattern.fleet;
    let pools = fleet.domains * fleet.pools_per_domain;
    let common = f64::from(pools) * pool_room(fleet.workers_per_pool);
    let changed = pattern.changes.iter().map(|change| match *change {
        Change::Leave { share, at_ms: from } if at_ms >= from + LEAVING_MS => -common * share,
        Change::Join {
            workers,
            at_ms: from,
        } if at_ms >= from => f64::from(fleet.pools_per_domain) * pool_room(workers),
        _ => 0.0,
    });
    common + changed.sum::<f64>()
}

fn pool_room(workers: u32) -> f64 {
    let of = |index: u32| capacity_of(index) as f64 / slowness_of(index);
    (0..workers).map(of).sum()
}

fn is_large(index: u32) -> bool {
    index % 3 == 2
}

fn capacity_of(index: u32) -> u64 {
    match is_large(index) {
        true => (WORKER_MILLICORES as f64 * LARGE_FACTOR) as u64,
        false => WORKER_MILLICORES,
    }
}

fn slowness_of(index: u32) -> f64 {
    if is_large(index) { LARGE_SLOWNESS } else { 1.0 }
}

impl World<'_> {
    pub(super) fn add_domain(&mut self, domain: u32, fleet: Fleet, settings: Settings) {
        let domain_name = format!("d{domain}");
        for _ in 0..fleet.entries_per_domain {
            self.entries.push(Entry::new(&domain_name));
        }
        for index in 0..fleet.pools_per_domain {
            let position = self.pools.len();
            let name = pool::name(&domain_name, index);
            let fence = Fence::new(1, "owner");
            let owner = Owner::new(&name, fence, 1).with_settings(settings);
            self.owners.push(owner);
            self.pool_positions.insert(name.clone(), position);
            self.pools.push(name);
            for worker in 0..fleet.workers_per_pool {
                self.add_worker(position, worker);
            }
        }
    }

    pub(super) fn add_worker(&mut self, pool: usize, index: u32) {
        let position = self.workers.len();
        let id: Arc<str> = Arc::from(format!("w{position}"));
        let kind = if is_large(index) { "b" } else { "a" };
        let record = WorkerRecord {
            id: id.clone(),
            address: id.clone(),
            failure_domain: Arc::from(self.pools[pool].split('/').next().unwrap_or("")),
            service: Arc::from("service"),
            draining: false,
            capacity: Resources {
                cpu_millicores: capacity_of(index),
                memory_mb: 65_536,
                gpus: 0,
            },
            labels: [Arc::from(kind)].into_iter().collect(),
        };
        self.worker_positions.insert(id, position);
        self.workers.push(Worker::new(record, slowness_of(index)));
        self.worker_pools.push(pool);
    }
}
