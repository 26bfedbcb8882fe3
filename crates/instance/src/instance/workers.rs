//! Assignment of registered workers to pools.
//!
//! Only owners read the registry. They send the workers of their pools to the other
//! instances of the failure domain, so that a pool's next owner can use them while
//! the store is unavailable.

use std::sync::Arc;

use trefoil_core::dispatch::pool;
use trefoil_core::dispatch::worker::{Departure, Resources};
use trefoil_schema::dispatch::frame::Body;
use trefoil_schema::dispatch::{PoolWorkers, Worker};

use super::peers::{Link, encode};
use super::*;

impl<P: Store + WorkerClient + 'static> Instance<P> {
    /// Applies the registered workers of this failure domain, with the former entries of those
    /// that have started again under their ids. Returns all records if there are such workers.
    pub(crate) fn apply_known_incarnations(
        self: &Rc<Self>,
        records: Vec<WorkerRecord>,
    ) -> Option<Vec<WorkerRecord>> {
        let known = self.state.borrow().known_incarnations(&records);
        match known {
            Some(known) => {
                self.apply_workers(known);
                Some(records)
            }
            None => {
                self.apply_workers(records);
                None
            }
        }
    }
}

impl State {
    /// Assigns the registered workers to the owners of their pools. Workers of
    /// undeclared services are ignored, since they may belong to another system.
    pub(super) fn assign_workers(&mut self, now_ms: u64, effects: &mut Effects) {
        let count = self.pool_count;
        let mut by_pool: HashMap<u32, Vec<WorkerRecord>> = HashMap::new();
        let declared = self.declared.table();
        let is_known = |record: &&WorkerRecord| {
            declared.is_none_or(|table| table.has_service(&record.service))
        };
        for record in self.worker_records.iter().filter(is_known) {
            let index = pool::index_of(&record.id, count);
            by_pool.entry(index).or_default().push(record.clone());
        }
        for index in 0..count {
            let records = by_pool.remove(&index).unwrap_or_default();
            let pool = pool::name(&self.failure_domain, index);
            if self.owners.contains_key(&pool) {
                self.set_pool_workers(&pool, records, now_ms, effects);
            }
        }
    }

    /// The records with the former entries of workers that have started again under their ids since
    /// the last read; `None` if there are no such workers.
    pub(super) fn known_incarnations(&self, records: &[WorkerRecord]) -> Option<Vec<WorkerRecord>> {
        let former = self.worker_records.iter();
        let former: HashMap<&str, &WorkerRecord> =
            former.map(|record| (&*record.id, record)).collect();
        let known_incarnation = |record: &WorkerRecord| {
            let former = former.get(&*record.id).copied();
            former.filter(|former| former.born_ms != record.born_ms)
        };
        let has_reborn = records
            .iter()
            .any(|record| known_incarnation(record).is_some());
        has_reborn.then(|| {
            let records = records.iter();
            records
                .map(|record| known_incarnation(record).unwrap_or(record).clone())
                .collect()
        })
    }

    /// Assigns the workers reported by the former owner to the new owner of a pool,
    /// for use before the registry has been read.
    pub(super) fn assign_reported_workers(
        &mut self,
        pool: &str,
        now_ms: u64,
        effects: &mut Effects,
    ) {
        if let Some(reported) = self.pool_workers.get(pool) {
            let records = reported.records_at(now_ms);
            self.set_pool_workers(pool, records, now_ms, effects);
        }
    }

    fn set_pool_workers(
        &mut self,
        pool: &str,
        records: Vec<WorkerRecord>,
        now_ms: u64,
        effects: &mut Effects,
    ) {
        self.last_report += 1;
        let reported = ReportedWorkers {
            reporter: None,
            number: self.last_report,
            received_ms: now_ms,
            records: records.clone(),
        };
        let known = self.pool_workers.insert(pool.to_owned(), reported);
        let is_news = known.is_none_or(|known| has_changed(&known.records, &records));
        let roster = self.with_owner(pool, effects, |owner, out| {
            owner.set_workers(now_ms, records, out);
            owner.roster()
        });
        if is_news {
            let links = self.peers.links.values();
            for link in links.filter(|link| link.peer.failure_domain == self.failure_domain) {
                self.send_workers_of_pool(now_ms, link, pool);
            }
        }
        if let Some(roster) = roster {
            self.ownership.set_roster(pool, roster);
        }
    }

    /// Sends the workers of all owned pools to a new peer of the same failure domain.
    pub(super) fn send_pool_workers(&self, now_ms: u64, link: &Link) {
        if link.peer.failure_domain == self.failure_domain {
            for pool in self.owners.keys() {
                self.send_workers_of_pool(now_ms, link, pool);
            }
        }
    }

    fn send_workers_of_pool(&self, now_ms: u64, link: &Link, pool: &str) {
        let reported = self.pool_workers.get(pool);
        let records = reported.map_or(&[][..], |reported| &reported.records);
        let number = reported.map_or(0, |reported| reported.number);
        let owner = self.owners.get(pool);
        let encode_worker = |record: &WorkerRecord| {
            let remaining_ms = owner.and_then(|owner| owner.remaining_ms(now_ms, &record.id));
            encode_worker(record, remaining_ms)
        };
        // A link whose send queue is full is closed by the next heartbeat.
        link.sender.send(encode(Body::PoolWorkers(PoolWorkers {
            pool: pool.to_owned(),
            workers: records.iter().map(encode_worker).collect(),
            number,
        })));
    }

    /// Stores the workers reported by the owner of a pool, unless a later report of it came
    /// before over another link.
    pub(super) fn on_pool_workers(&mut self, now_ms: u64, owner: &Node, reported: PoolWorkers) {
        let reporter = Some((owner.name.clone(), owner.incarnation));
        let known = self.pool_workers.get(&reported.pool);
        let is_outdated =
            known.is_some_and(|known| known.reporter == reporter && known.number > reported.number);
        if self.owners.contains_key(&reported.pool) || is_outdated {
            return;
        }
        let records = reported.workers.into_iter();
        let records = records.map(|worker| decode_worker(worker, &self.failure_domain));
        let workers = ReportedWorkers {
            reporter,
            number: reported.number,
            received_ms: now_ms,
            records: records.collect(),
        };
        self.pool_workers.insert(reported.pool, workers);
    }
}

/// Workers of a pool, as its owner read or reported them.
#[derive(Clone, Debug)]
pub(super) struct ReportedWorkers {
    /// Name and incarnation of the owner; `None` if it is this instance.
    reporter: Option<(String, u64)>,
    /// Number of the report, which increases at each owner.
    number: u64,
    /// When they were read, or received from the owner.
    received_ms: u64,
    records: Vec<WorkerRecord>,
}

impl ReportedWorkers {
    /// The records with the times until announced exits as of `now_ms`.
    fn records_at(&self, now_ms: u64) -> Vec<WorkerRecord> {
        let age_ms = now_ms.saturating_sub(self.received_ms);
        let mut records = self.records.clone();
        for departure in records
            .iter_mut()
            .filter_map(|record| record.departure.as_mut())
        {
            departure.remaining_ms = departure.remaining_ms.saturating_sub(age_ms);
        }
        records
    }
}

/// Whether the records differ in more than the time until an announced exit and the revisions.
/// That time is not sent again, since the receiver counts it down, and both change with every
/// heartbeat of a worker.
fn has_changed(known: &[WorkerRecord], records: &[WorkerRecord]) -> bool {
    known.len() != records.len() || !known.iter().zip(records).all(is_same_entry)
}

fn is_same_entry((known, record): (&WorkerRecord, &WorkerRecord)) -> bool {
    let WorkerRecord {
        id,
        address,
        failure_domain,
        service,
        draining,
        departure,
        capacity,
        labels,
        born_ms,
        revision: _,
    } = known;
    *id == record.id
        && *address == record.address
        && *failure_domain == record.failure_domain
        && *service == record.service
        && *draining == record.draining
        && departure.is_some() == record.departure.is_some()
        && *capacity == record.capacity
        && *labels == record.labels
        && *born_ms == record.born_ms
}

/// `remaining_ms` is the time until an announced exit, as of now.
fn encode_worker(record: &WorkerRecord, remaining_ms: Option<u64>) -> Worker {
    Worker {
        id: record.id.to_string(),
        address: record.address.to_string(),
        service: record.service.to_string(),
        draining: record.draining,
        cpu_millicores: record.capacity.cpu_millicores,
        memory_mb: record.capacity.memory_mb,
        gpus: record.capacity.gpus,
        labels: record.labels.iter().map(ToString::to_string).collect(),
        // 0 means unknown.
        remaining_ms: remaining_ms.map_or(0, |remaining_ms| remaining_ms.max(1)),
        born_ms: record.born_ms.unwrap_or(0),
    }
}

fn decode_worker(worker: Worker, failure_domain: &str) -> WorkerRecord {
    WorkerRecord {
        id: Arc::from(worker.id),
        address: Arc::from(worker.address),
        failure_domain: Arc::from(failure_domain),
        service: Arc::from(worker.service),
        draining: worker.draining,
        departure: (worker.draining && worker.remaining_ms > 0).then_some(Departure {
            remaining_ms: worker.remaining_ms,
            reported_clock_ms: None,
        }),
        capacity: Resources {
            cpu_millicores: worker.cpu_millicores,
            memory_mb: worker.memory_mb,
            gpus: worker.gpus,
        },
        labels: worker.labels.into_iter().map(Arc::from).collect(),
        born_ms: (worker.born_ms > 0).then_some(worker.born_ms),
        revision: 0,
    }
}
