//! The platform's store and its workers, as the product sees them.
//!
//! Implementations translate names and formats and decide nothing.

use std::collections::HashMap;

use derive_more::{Display, Error};
use trefoil_core::dispatch::order::{
    OrderOutcome, RenewOrder, RenewOutcome, StartOrder, StopOrder,
};
use trefoil_core::dispatch::ownership::{ClaimRecord, ClaimWriteOutcome};
use trefoil_core::dispatch::worker::WorkerRecord;
use trefoil_schema::dispatch::Node;

use crate::declarations::DeclarationsUpdate;

/// Why the store could not be used.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum StoreError {
    /// No answer: down, slow or cut off.
    #[display("the store did not answer: {cause}")]
    NoAnswer {
        /// What the connection said.
        cause: String,
    },
    /// It answered that it does not serve this call now.
    #[display("the store refused with status {status}")]
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// It holds something that cannot be read.
    #[display("the store holds an unreadable value at {key}: {cause}")]
    Unreadable {
        /// The key.
        key: String,
        /// What is wrong with it.
        cause: String,
    },
}

/// Instances and claims, as the store holds them.
#[derive(Clone, Debug, Default)]
pub struct DeploymentState {
    /// Registered instances.
    pub nodes: Vec<Node>,
    /// Claims with the revisions of their records.
    pub claims: Vec<(ClaimRecord, u64)>,
    /// Pools whose records cannot be read, with their revisions.
    pub unreadable_claims: Vec<(String, u64)>,
    /// Numbers of pools by failure domain.
    pub pool_counts: HashMap<String, u32>,
}

/// The platform's store.
#[allow(async_fn_in_trait)]
pub trait Store {
    /// The newest declarations.
    async fn declarations(&self) -> Result<DeclarationsUpdate, StoreError>;
    /// All instances and claims.
    async fn deployment_state(&self) -> Result<DeploymentState, StoreError>;
    /// Registered workers of a failure domain.
    async fn workers(&self, failure_domain: &str) -> Result<Vec<WorkerRecord>, StoreError>;
    /// Entries of the last readings that cannot be read, and are passed over.
    fn unreadable_entries(&self) -> usize;
    /// Registers an instance, or renews its registration.
    async fn register(&self, node: &Node) -> Result<(), StoreError>;
    /// Ends the registration.
    async fn deregister(&self) -> Result<(), StoreError>;
    /// Lays out a failure domain's pools, unless that has been done.
    async fn create_pools(&self, failure_domain: &str, pools: u32) -> Result<(), StoreError>;
    /// Writes a claim if its record still has `revision` (0: none).
    async fn write_claim(&self, record: &ClaimRecord, revision: u64) -> ClaimWriteOutcome;
}

/// The platform's workers.
#[allow(async_fn_in_trait)]
pub trait WorkerClient {
    /// Starts a run.
    async fn start(&self, order: &StartOrder) -> OrderOutcome;
    /// Stops a run.
    async fn stop(&self, order: &StopOrder) -> OrderOutcome;
    /// Renews leases and lists runs and ends.
    async fn renew(&self, order: &RenewOrder) -> RenewOutcome;
}
