//! The workers of pools: dealt to the owners here, and told to others.
//!
//! Only owners read the registry. They tell the workers of their pools to the
//! other instances of their failure domain, so that whoever owns a pool next
//! can go on while the store is away.

use std::sync::Arc;

use trefoil_core::dispatch::pool;
use trefoil_core::dispatch::worker::Resources;
use trefoil_schema::dispatch::frame::Body;
use trefoil_schema::dispatch::{PoolWorkers, Worker};

use super::peers::{Link, encode};
use super::*;

impl State {
    /// Gives each owner here the workers of its pool. A worker of a service that
    /// is not declared is nobody's: its entry may be another writer's.
    pub(super) fn deal_workers(&mut self, now_ms: u64, effects: &mut Effects) {
        let count = self.pool_count;
        let mut dealt: HashMap<u32, Vec<WorkerRecord>> = HashMap::new();
        let declared = self.declared.table();
        let is_known = |record: &&WorkerRecord| {
            declared.is_none_or(|table| table.has_service(&record.service))
        };
        for record in self.worker_records.iter().filter(is_known) {
            let index = pool::index_of(&record.id, count);
            dealt.entry(index).or_default().push(record.clone());
        }
        for index in 0..count {
            let records = dealt.remove(&index).unwrap_or_default();
            let pool = pool::name(&self.home, index);
            if self.owners.contains_key(&pool) {
                self.give_workers(&pool, records, now_ms, effects);
            }
        }
    }

    /// Gives the owner of a pool what its former owner told of its workers,
    /// where the registry has not been read.
    pub(super) fn give_told_workers(&mut self, pool: &str, now_ms: u64, effects: &mut Effects) {
        if let Some(records) = self.pool_workers.get(pool).cloned() {
            self.give_workers(pool, records, now_ms, effects);
        }
    }

    fn give_workers(
        &mut self,
        pool: &str,
        records: Vec<WorkerRecord>,
        now_ms: u64,
        effects: &mut Effects,
    ) {
        let known = self.pool_workers.get(pool);
        if known != Some(&records) {
            self.pool_workers.insert(pool.to_owned(), records.clone());
            let links = self.peers.links.values();
            for link in links.filter(|link| link.peer.failure_domain == self.home) {
                self.send_workers_of(link, pool);
            }
        }
        let roster = self.with_owner(pool, effects, |owner, out| {
            owner.set_workers(now_ms, records, out);
            owner.roster()
        });
        if let Some(roster) = roster {
            self.ownership.set_roster(pool, roster);
        }
    }

    /// Tells a new peer of the failure domain the workers of all pools here.
    pub(super) fn send_pool_workers(&self, link: &Link) {
        if link.peer.failure_domain == self.home {
            for pool in self.owners.keys() {
                self.send_workers_of(link, pool);
            }
        }
    }

    fn send_workers_of(&self, link: &Link, pool: &str) {
        let records = self.pool_workers.get(pool).into_iter().flatten();
        // A peer that does not keep up is cut off by its heartbeats.
        link.sender.send(encode(Body::PoolWorkers(PoolWorkers {
            pool: pool.to_owned(),
            workers: records.map(worker_of).collect(),
        })));
    }

    /// Takes in what the owner of a pool tells of its workers.
    pub(super) fn take_workers(&mut self, told: PoolWorkers) {
        if self.owners.contains_key(&told.pool) {
            return;
        }
        let records = told.workers.into_iter();
        let records = records.map(|worker| record_of(worker, &self.home));
        self.pool_workers.insert(told.pool, records.collect());
    }
}

fn worker_of(record: &WorkerRecord) -> Worker {
    Worker {
        id: record.id.to_string(),
        address: record.address.to_string(),
        service: record.service.to_string(),
        draining: record.draining,
        cpu_millicores: record.capacity.cpu_millicores,
        memory_mb: record.capacity.memory_mb,
        gpus: record.capacity.gpus,
        labels: record.labels.iter().map(ToString::to_string).collect(),
    }
}

fn record_of(worker: Worker, failure_domain: &str) -> WorkerRecord {
    WorkerRecord {
        id: Arc::from(worker.id),
        address: Arc::from(worker.address),
        failure_domain: Arc::from(failure_domain),
        service: Arc::from(worker.service),
        draining: worker.draining,
        capacity: Resources {
            cpu_millicores: worker.cpu_millicores,
            memory_mb: worker.memory_mb,
            gpus: worker.gpus,
        },
        labels: worker.labels.into_iter().map(Arc::from).collect(),
    }
}
