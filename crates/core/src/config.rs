//! The configuration in force: resources in the order of the store.
//!
//! * [`change`]: one change of one resource, and how its key is written.
//! * [`log`]: applies changes in revision order and keeps the newest for peers.
//! * [`check`]: finds every wrong field of a declaration.
//! * [`settle`]: what became of a write whose answer was lost.
//! * [`condition`]: what is known of a resource that is in force.

use std::collections::BTreeMap;
use std::sync::Arc;

use trefoil_schema::resources::{BackendServerSpec, ServiceSpec, TeamSpec};

pub mod change;
pub mod check;
pub mod condition;
pub mod log;
pub mod settle;

pub use change::{Change, ResourceKey};
pub use log::{ConfigLog, StoredValue};

/// A resource's declaration and the store revision that accepted it.
#[derive(Clone, Debug, PartialEq)]
pub struct Declared<T> {
    /// What the operator declared.
    pub spec: T,
    /// Store revision of the declaration.
    pub revision: u64,
}

/// Everything declared, as of one store revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigSnapshot {
    /// Highest store revision applied.
    pub revision: u64,
    /// Teams by name.
    pub teams: BTreeMap<Arc<str>, Declared<TeamSpec>>,
    /// Services by name.
    pub services: BTreeMap<Arc<str>, Declared<ServiceSpec>>,
    /// Backend servers by name.
    pub backend_servers: BTreeMap<Arc<str>, Declared<BackendServerSpec>>,
}
