//! Pools, workers and their capacity.

use std::sync::Arc;

use trefoil_core::dispatch::entry::Entry;
use trefoil_core::dispatch::fence::Fence;
use trefoil_core::dispatch::owner::{Owner, Settings};
use trefoil_core::dispatch::pool;
use trefoil_core::dispatch::worker::{Resources, WorkerRecord};

use super::{Simulation, WORKER_DRAIN_MS};
use crate::pattern::{Disturbance, Pattern, Topology};
use crate::worker::Worker;

/// CPU capacity of a standard worker.
const WORKER_MILLICORES: u64 = 16_000;
/// Capacity of a large worker relative to a standard one; every third worker is large.
const LARGE_FACTOR: f64 = 1.5;
/// Factor on run times at a large worker.
const LARGE_SLOWDOWN: f64 = 1.3;

/// Total capacity of the workers at a time after the first request, in millicores of a standard
/// worker. Input of the [upper bound](crate::bound).
pub fn capacity_at(pattern: &Pattern, at_ms: u64) -> f64 {
    let topology = pattern.topology;
    let pools = topology.domains * topology.pools_per_domain;
    let initial = f64::from(pools) * pool_capacity(topology.workers_per_pool);
    let changes = pattern
        .disturbances
        .iter()
        .map(|disturbance| match *disturbance {
            Disturbance::WorkersLeave { share, at_ms: from } if at_ms >= from + WORKER_DRAIN_MS => {
                -initial * share
            }
            Disturbance::WorkersJoin {
                workers,
                at_ms: from,
            } if at_ms >= from => f64::from(topology.pools_per_domain) * pool_capacity(workers),
            _ => 0.0,
        });
    initial + changes.sum::<f64>()
}

fn pool_capacity(workers: u32) -> f64 {
    let effective = |index: u32| capacity_of(index) as f64 / slowdown_of(index);
    (0..workers).map(effective).sum()
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

fn slowdown_of(index: u32) -> f64 {
    if is_large(index) { LARGE_SLOWDOWN } else { 1.0 }
}

impl Simulation<'_> {
    pub(super) fn add_domain(&mut self, domain: u32, topology: Topology, settings: Settings) {
        let domain_name = format!("d{domain}");
        for _ in 0..topology.entries_per_domain {
            self.entries.push(Entry::new(&domain_name));
        }
        for index in 0..topology.pools_per_domain {
            let position = self.pools.len();
            let name = pool::name(&domain_name, index);
            let fence = Fence::new(1, "owner");
            let owner = Owner::new(&name, fence, 1).with_settings(settings);
            self.owners.push(owner);
            self.pool_positions.insert(name.clone(), position);
            self.pools.push(name);
            for worker in 0..topology.workers_per_pool {
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
        self.workers.push(Worker::new(record, slowdown_of(index)));
        self.worker_pools.push(pool);
    }
}
