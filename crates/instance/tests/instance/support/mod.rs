//! A fake platform, and the settings of an instance on it.

pub mod link;
pub mod peer;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::net::TcpListener;
use tokio::task::{LocalSet, spawn_local};
use trefoil_core::dispatch::order::{
    OrderOutcome, RenewOrder, RenewOutcome, StartOrder, StopOrder,
};
use trefoil_core::dispatch::ownership::{ClaimRecord, ClaimWriteOutcome};
use trefoil_core::dispatch::worker::WorkerRecord;
use trefoil_instance::declarations::{Declarations, DeclarationsUpdate};
use trefoil_instance::instance::Instance;
use trefoil_instance::metrics::Metrics;
use trefoil_instance::platform::{DeploymentState, Store, StoreError, WorkerClient};
use trefoil_instance::settings::InstanceSettings;
use trefoil_schema::dispatch::{Claim, Node, OwnedPool};

pub const DOMAIN: &str = "forde";

const UNAVAILABLE: StoreError = StoreError::Refused { status: 503 };

/// A platform whose workers answer no call and whose store accepts every claim.
pub struct FakePlatform {
    /// Number of pools of the failure domain.
    pub pools: u32,
    pub claims: Rc<Cell<u64>>,
    /// Number of reads of the declarations.
    pub reads: Rc<Cell<u64>>,
    /// Registered workers; `None` if neither they nor the declarations can be read.
    pub workers: Option<Vec<WorkerRecord>>,
    /// What the next read of the workers finds, after all reads that began with it.
    pub takeover: Rc<RefCell<Option<Takeover>>>,
    /// What the last such read has found.
    pub taken_over: RefCell<Option<Takeover>>,
    /// The incarnations that renewals were for.
    pub renewed: Rc<RefCell<Vec<Option<u64>>>>,
}

/// Another instance's claim, and workers that have started again since.
#[derive(Clone, Debug)]
pub struct Takeover {
    pub claim: Claim,
    pub workers: Vec<WorkerRecord>,
}

impl Default for FakePlatform {
    fn default() -> Self {
        Self {
            pools: 1,
            claims: Rc::default(),
            reads: Rc::default(),
            workers: Some(Vec::new()),
            takeover: Rc::default(),
            taken_over: RefCell::default(),
            renewed: Rc::default(),
        }
    }
}

impl Store for FakePlatform {
    async fn declarations(&self) -> Result<DeclarationsUpdate, StoreError> {
        self.reads.set(self.reads.get() + 1);
        if self.workers.is_none() {
            return Err(UNAVAILABLE);
        }
        let declarations = Declarations {
            services: std::iter::once("register".to_owned()).collect(),
            ..Declarations::default()
        };
        Ok(DeclarationsUpdate {
            confirmed_revision: 1,
            changed: (self.reads.get() == 1).then_some(declarations),
        })
    }

    async fn deployment_state(&self) -> Result<DeploymentState, StoreError> {
        let taken_over = self.taken_over.borrow();
        let claims = taken_over.iter().map(|takeover| {
            let record = ClaimRecord {
                claim: takeover.claim.clone(),
                roster: None,
            };
            (record, self.claims.get() + 1)
        });
        Ok(DeploymentState {
            claims: claims.collect(),
            pool_counts: HashMap::from([(DOMAIN.to_owned(), self.pools)]),
            ..DeploymentState::default()
        })
    }

    async fn workers(&self, _failure_domain: &str) -> Result<Vec<WorkerRecord>, StoreError> {
        if let Some(takeover) = self.takeover.take() {
            // The reads that began with this one end first.
            for _ in 0..10 {
                tokio::task::yield_now().await;
            }
            self.taken_over.replace(Some(takeover));
        }
        match &*self.taken_over.borrow() {
            Some(takeover) => Ok(takeover.workers.clone()),
            None => self.workers.clone().ok_or(UNAVAILABLE),
        }
    }

    fn unreadable_entries(&self) -> usize {
        0
    }

    async fn register(&self, _node: &Node) -> Result<(), StoreError> {
        Ok(())
    }

    async fn deregister(&self) -> Result<(), StoreError> {
        Ok(())
    }

    async fn create_pools(&self, _failure_domain: &str, _pools: u32) -> Result<(), StoreError> {
        Ok(())
    }

    async fn write_claim(&self, _record: &ClaimRecord, _revision: u64) -> ClaimWriteOutcome {
        self.claims.set(self.claims.get() + 1);
        ClaimWriteOutcome::Written {
            revision: self.claims.get(),
        }
    }
}

impl WorkerClient for FakePlatform {
    async fn start(&self, _order: &StartOrder) -> OrderOutcome {
        OrderOutcome::NoAnswer
    }

    async fn stop(&self, _order: &StopOrder) -> OrderOutcome {
        OrderOutcome::NoAnswer
    }

    async fn renew(&self, order: &RenewOrder) -> RenewOutcome {
        self.renewed.borrow_mut().push(order.target.born_ms);
        RenewOutcome::NoAnswer
    }
}

/// An instance of the failure domain.
pub fn node(name: &str) -> Node {
    Node {
        name: name.to_owned(),
        incarnation: 1,
        failure_domain: DOMAIN.to_owned(),
        ..Node::default()
    }
}

/// A pool of the failure domain, as its owner announces it.
pub fn owned_pool(owner: &str, number: usize) -> OwnedPool {
    let claim = Claim {
        pool: format!("{DOMAIN}/{number}"),
        failure_domain: DOMAIN.to_owned(),
        term: 1,
        owner: Some(node(owner)),
    };
    OwnedPool {
        claim: Some(claim),
        ..OwnedPool::default()
    }
}

pub fn settings() -> InstanceSettings {
    let any_port = "127.0.0.1:0".parse().unwrap();
    InstanceSettings {
        instance: "a".to_owned(),
        failure_domain: DOMAIN.to_owned(),
        callers_address: any_port,
        ready_address: any_port,
        links_address: any_port,
        links_advertised_address: None,
        metrics_address: None,
        store_address: any_port,
        seeds: Vec::new(),
        cpu_share: 1.0,
        cores: 1.0,
        // The congested link queues more than small instances allow.
        memory_mb: 512,
        descriptors_max: 3075,
        close_within_ms: 5000,
        remote_penalty: 1.5,
        stop_budget_ms: 6000,
    }
}

/// Starts an instance that accepts links at the returned address. It has no timer.
pub async fn start_instance(platform: FakePlatform) -> (Rc<Instance<FakePlatform>>, SocketAddr) {
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let instance = Instance::new(settings(), log, Metrics::new().unwrap(), platform);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    spawn_local(Rc::clone(&instance).accept_links(listener));
    (instance, address)
}

/// Runs a test on a single-threaded runtime.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, test);
}
