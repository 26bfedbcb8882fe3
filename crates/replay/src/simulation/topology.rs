//! Pools, workers and their capacity.

use std::sync::Arc;

use trefoil_core::dispatch::entry::Entry;
use trefoil_core::dispatch::fence::Fence;
use trefoil_core::dispatch::owner::{Owner, Settings};
use trefoil_core::dispatch::pool;
use trefoil_core::dispatch::worker::{Resources, WorkerRecord};

use super::{Simulation, WARM_UP_MS, WORKER_DRAIN_MS, unit_hash};
use crate::pattern::{Disturbance, Pattern, Topology, WorkerKind};
use crate::worker::Worker;

/// CPU capacity of a standard worker.
const WORKER_MILLICORES: u64 = 16_000;
/// Total capacity of the workers at a time after the first request, in millicores of a standard
/// worker. Input of the [upper bound](crate::bound).
pub fn capacity_at(pattern: &Pattern, at_ms: u64) -> f64 {
    let topology = pattern.topology;
    let pools = topology.domains * topology.pools_per_domain;
    let initial = f64::from(pools) * pool_capacity(topology, topology.workers_per_pool);
    let changes = pattern
        .disturbances
        .iter()
        .map(|disturbance| match *disturbance {
            Disturbance::WorkersLeave {
                share,
                domain,
                notice_ms,
                at_ms: from,
            } if at_ms >= from + notice_ms.unwrap_or(WORKER_DRAIN_MS) => match domain {
                Some(_) => -initial * share / f64::from(topology.domains),
                None => -initial * share,
            },
            Disturbance::WorkersJoin {
                workers,
                at_ms: from,
            } if at_ms >= from => {
                f64::from(topology.pools_per_domain) * pool_capacity(topology, workers)
            }
            Disturbance::SlowWorkers {
                share,
                factor,
                from_ms,
                to_ms,
            } if (from_ms..to_ms).contains(&at_ms) => -initial * share * (1.0 - 1.0 / factor),
            _ => 0.0,
        });
    initial + changes.sum::<f64>()
}

fn pool_capacity(topology: Topology, workers: u32) -> f64 {
    let kinds = (0..workers).map(|index| kind_of(topology, index));
    let effective = kinds.map(|kind| WORKER_MILLICORES as f64 * kind.capacity / kind.slowdown);
    effective.sum()
}

fn kind_of(topology: Topology, index: u32) -> WorkerKind {
    topology.worker_kinds[index as usize % topology.worker_kinds.len()]
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

    /// Positions of the workers of a failure domain, or of all.
    pub(super) fn workers_of(&self, domain: Option<u32>) -> Vec<usize> {
        let pools_per_domain = self.pattern.topology.pools_per_domain as usize;
        let is_in = |worker: &usize| {
            let worker_domain = self.worker_pools[*worker] / pools_per_domain;
            domain.is_none_or(|domain| domain as usize == worker_domain)
        };
        (0..self.workers.len()).filter(is_in).collect()
    }

    /// When a run ends that starts now and takes `work_ms` on the worker while it is not slowed.
    pub(super) fn run_end_ms(&self, worker: usize, work_ms: f64) -> u64 {
        let now_ms = self.now_ms as f64;
        let slow = self.pattern.disturbances.iter().find_map(|disturbance| {
            let Disturbance::SlowWorkers {
                share,
                factor,
                from_ms,
                to_ms,
            } = *disturbance
            else {
                return None;
            };
            let window = ((WARM_UP_MS + from_ms) as f64, (WARM_UP_MS + to_ms) as f64);
            (unit_hash(worker as u64) < share).then_some((factor, window))
        });
        let Some((factor, (from_ms, to_ms))) = slow else {
            return (now_ms + work_ms) as u64;
        };
        let before_ms = (from_ms - now_ms).clamp(0.0, work_ms);
        let slowed_max_ms = (to_ms - from_ms.max(now_ms)).max(0.0) / factor;
        let slowed_ms = (work_ms - before_ms).min(slowed_max_ms);
        (now_ms + work_ms + slowed_ms * (factor - 1.0)) as u64
    }

    pub(super) fn add_worker(&mut self, pool: usize, index: u32) {
        let position = self.workers.len();
        let id: Arc<str> = Arc::from(format!("w{position}"));
        let kind = kind_of(self.pattern.topology, index);
        let record = WorkerRecord {
            id: id.clone(),
            address: id.clone(),
            failure_domain: Arc::from(self.pools[pool].split('/').next().unwrap_or("")),
            service: Arc::from("service"),
            draining: false,
            departure: None,
            capacity: Resources {
                cpu_millicores: (WORKER_MILLICORES as f64 * kind.capacity) as u64,
                memory_mb: 65_536,
                gpus: 0,
            },
            labels: [Arc::from(kind.label)].into_iter().collect(),
            born_ms: None,
            revision: 0,
        };
        self.worker_positions.insert(id, position);
        self.workers.push(Worker::new(record, kind.slowdown));
        self.worker_pools.push(pool);
    }
}
