//! Interfaces to the platform: its store and its workers.
//!
//! Implementations translate names and formats only; they make no decisions.

use std::collections::HashMap;

use derive_more::{Display, Error};
use trefoil_core::dispatch::order::{
    OrderOutcome, RenewOrder, RenewOutcome, StartOrder, StopOrder,
};
use trefoil_core::dispatch::ownership::{ClaimRecord, ClaimWriteOutcome};
use trefoil_core::dispatch::worker::WorkerRecord;
use trefoil_schema::dispatch::Node;

use crate::declarations::DeclarationsUpdate;

/// Error from a call to the store.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum StoreError {
    /// The store is down, too slow or unreachable.
    #[display("the store did not answer: {cause}")]
    NoAnswer {
        /// Error of the connection.
        cause: String,
    },
    /// The store answered with an error status.
    #[display("the store refused with status {status}")]
    Refused {
        /// HTTP status code.
        status: u16,
    },
    /// A stored value cannot be decoded.
    #[display("cannot decode the store's value at {key}: {cause}")]
    Unreadable {
        /// Key of the entry.
        key: String,
        /// Error of the decoder.
        cause: String,
    },
}

/// Instances, claims and pool counts, as read from the store.
#[derive(Clone, Debug, Default)]
pub struct DeploymentState {
    /// Registered instances.
    pub nodes: Vec<Node>,
    /// Claims, each with the revision of its record.
    pub claims: Vec<(ClaimRecord, u64)>,
    /// Pools whose claim records cannot be decoded, with the records' revisions.
    pub unreadable_claims: Vec<(String, u64)>,
    /// Number of pools by failure domain.
    pub pool_counts: HashMap<String, u32>,
}

/// The platform's store.
#[allow(async_fn_in_trait)]
pub trait Store {
    /// Reads the newest declarations.
    async fn declarations(&self) -> Result<DeclarationsUpdate, StoreError>;
    /// Reads all instances, claims and pool counts.
    async fn deployment_state(&self) -> Result<DeploymentState, StoreError>;
    /// Reads the registered workers of a failure domain.
    async fn workers(&self, failure_domain: &str) -> Result<Vec<WorkerRecord>, StoreError>;
    /// Number of entries in the last reads that could not be decoded and were skipped.
    fn unreadable_entries(&self) -> usize;
    /// Registers an instance, or renews its registration.
    async fn register(&self, node: &Node) -> Result<(), StoreError>;
    /// Removes the instance's registration.
    async fn deregister(&self) -> Result<(), StoreError>;
    /// Sets the number of a failure domain's pools, unless it is already set.
    async fn create_pools(&self, failure_domain: &str, pools: u32) -> Result<(), StoreError>;
    /// Writes a claim if its record still has `revision`; 0 means that there is none.
    async fn write_claim(&self, record: &ClaimRecord, revision: u64) -> ClaimWriteOutcome;
}

/// Client of the workers' API.
#[allow(async_fn_in_trait)]
pub trait WorkerClient {
    /// Starts a run of a task.
    async fn start(&self, order: &StartOrder) -> OrderOutcome;
    /// Stops a run.
    async fn stop(&self, order: &StopOrder) -> OrderOutcome;
    /// Renews the leases and lists the worker's runs and completions.
    async fn renew(&self, order: &RenewOrder) -> RenewOutcome;
}
