//! The declarations in force and the pools of the declared services.

use std::collections::HashMap;
use std::sync::Arc;

use trefoil_schema::resources::{BackendServerSpec, BackendServerState, TeamSpec};
use xxhash_rust::xxh3::xxh3_64;

use super::command::Command;
use super::event::{Worker, WorkerId};
use super::pool::{Pool, ServiceParams};
use super::settings::EngineSettings;
use super::shares::divide_slots;
use super::teams::share_of_limit;
use super::worker_set::WorkerAssignment;
use crate::config::ConfigSnapshot;
use crate::time::Now;

/// Keeps the high bits of the seed clear, so that the draw counter cannot overflow.
const DRAW_SEED_SHIFT: u32 = 8;

/// Declarations in force, with one pool for every service ever declared.
#[derive(Default)]
pub(crate) struct Registry {
    config: ConfigSnapshot,
    me: String,
    members: Vec<String>,
    pools: Vec<Arc<Pool>>,
    by_service: HashMap<Arc<str>, usize>,
    worker_ids: HashMap<Arc<str>, WorkerId>,
    last_worker_id: u32,
    /// Whether other instances may still use the slots that this one gains.
    joining: bool,
}

impl Registry {
    /// The pool of a service; `None` if the service is not declared.
    pub fn pool(&self, service: &str) -> Option<&Arc<Pool>> {
        self.config.services.get(service)?;
        self.pools.get(*self.by_service.get(service)?)
    }

    pub fn pool_by_number(&self, number: usize) -> Option<&Arc<Pool>> {
        self.pools.get(number)
    }

    pub fn pools(&self) -> &[Arc<Pool>] {
        &self.pools
    }

    /// The pool and id of a declared worker of this failure domain.
    pub fn worker_pool(&self, name: &str) -> Option<(&Arc<Pool>, WorkerId)> {
        let declared = self.config.backend_servers.get(name)?;
        let pool = self.pool(&declared.spec.service)?;
        Some((pool, *self.worker_ids.get(name)?))
    }

    /// A team's declaration, with its limits reduced to this instance's share.
    pub fn team(&self, team: &str) -> Option<TeamSpec> {
        let spec = &self.config.teams.get(team)?.spec;
        let members = self.members.len() as u32;
        let position = self.members.binary_search(&self.me).unwrap_or(0) as u32;
        Some(TeamSpec {
            slots_max: share_of_limit(spec.slots_max, position, members),
            queued_tasks_max: share_of_limit(spec.queued_tasks_max, position, members),
            ..spec.clone()
        })
    }

    pub fn set_config(
        &mut self,
        settings: &Arc<EngineSettings>,
        now: Now,
        config: &ConfigSnapshot,
        out: &mut Vec<Command>,
    ) {
        let first = self.config.backend_servers.is_empty();
        self.joining = first && self.members.len() > 1;
        self.config = config.clone();
        self.remove_undeclared_workers();
        self.apply(settings, now, out);
        self.joining = false;
    }

    pub fn set_members(
        &mut self,
        settings: &Arc<EngineSettings>,
        now: Now,
        me: &str,
        members: &[String],
        out: &mut Vec<Command>,
    ) {
        self.me = me.to_owned();
        self.members = members.to_vec();
        self.members.sort_unstable();
        self.members.dedup();
        self.joining = self.members.len() > 1;
        self.apply(settings, now, out);
        self.joining = false;
    }

    fn remove_undeclared_workers(&mut self) {
        let declared = &self.config.backend_servers;
        self.worker_ids
            .retain(|name, _| declared.contains_key(name));
    }

    fn apply(&mut self, settings: &Arc<EngineSettings>, now: Now, out: &mut Vec<Command>) {
        let mut workers = self.workers_by_service(settings);
        let services: Vec<_> = self
            .config
            .services
            .iter()
            .map(|(name, declared)| (Arc::clone(name), ServiceParams::from(&declared.spec)))
            .collect();
        for (service, params) in services {
            let assignment = WorkerAssignment {
                workers: workers.remove(&service).unwrap_or_default(),
                draw_seed: xxh3_64(self.me.as_bytes()) >> DRAW_SEED_SHIFT,
                joining: self.joining,
            };
            let pool = self.pool_or_new(settings, &service, &params);
            let mut pool = pool.lock();
            pool.set_members(&self.me, &self.members);
            pool.configure(now, params, assignment, out);
        }
        for (service, number) in &self.by_service {
            if !self.config.services.contains_key(service) {
                self.pools[*number].lock().undeclare(now, out);
            }
        }
    }

    fn pool_or_new(
        &mut self,
        settings: &Arc<EngineSettings>,
        service: &Arc<str>,
        params: &ServiceParams,
    ) -> Arc<Pool> {
        if let Some(number) = self.by_service.get(service) {
            return Arc::clone(&self.pools[*number]);
        }
        let number = self.pools.len();
        let pool = Pool::new(number as u64, Arc::clone(settings), params.clone());
        let pool = Arc::new(pool);
        self.pools.push(Arc::clone(&pool));
        self.by_service.insert(Arc::clone(service), number);
        pool
    }

    /// Workers of this failure domain by service, each with the number of its
    /// slots assigned to this instance.
    fn workers_by_service(
        &mut self,
        settings: &EngineSettings,
    ) -> HashMap<Arc<str>, Vec<(WorkerId, Worker, u32)>> {
        let mut by_service: HashMap<Arc<str>, Vec<Worker>> = HashMap::new();
        for (name, declared) in &self.config.backend_servers {
            let spec = &declared.spec;
            if spec.failure_domain != settings.failure_domain {
                continue;
            }
            let worker = worker(name, spec);
            let service = Arc::clone(&worker.service);
            by_service.entry(service).or_default().push(worker);
        }
        by_service
            .into_iter()
            .map(|(service, workers)| (service, self.with_shares(workers)))
            .collect()
    }

    fn with_shares(&mut self, workers: Vec<Worker>) -> Vec<(WorkerId, Worker, u32)> {
        let slots: Vec<u32> = workers.iter().map(Worker::assignable_slots).collect();
        let shares = divide_slots(&slots, &self.me, &self.members);
        workers
            .into_iter()
            .zip(shares)
            .map(|(worker, share)| (self.worker_id(&worker.name), worker, share))
            .collect()
    }

    pub fn services(&self) -> impl Iterator<Item = (&Arc<str>, &Arc<Pool>)> {
        let services = self.by_service.iter();
        services.map(|(service, number)| (service, &self.pools[*number]))
    }

    /// A declared worker of this failure domain.
    pub fn worker(&self, name: &str) -> Option<(WorkerId, Worker)> {
        let id = *self.worker_ids.get(name)?;
        let (name, declared) = self.config.backend_servers.get_key_value(name)?;
        Some((id, worker(name, &declared.spec)))
    }

    fn worker_id(&mut self, name: &Arc<str>) -> WorkerId {
        if let Some(id) = self.worker_ids.get(name) {
            return *id;
        }
        self.last_worker_id += 1;
        let id = WorkerId(self.last_worker_id);
        self.worker_ids.insert(Arc::clone(name), id);
        id
    }
}

fn worker(name: &Arc<str>, spec: &BackendServerSpec) -> Worker {
    Worker {
        name: Arc::clone(name),
        service: spec.service.as_str().into(),
        address: spec.address.as_str().into(),
        slots: spec.slots,
        leaving: spec.state == BackendServerState::Leaving,
    }
}
