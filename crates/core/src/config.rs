//! The declared resources as of one store revision.
//!
//! * [`change`]: one change of one resource, and the format of its key.
//! * [`log`]: applies changes in revision order and keeps recent ones for peers.
//! * [`validation`]: validates declarations.
//! * [`write_outcome`]: determines the outcome of a write whose response was lost.
//! * [`status`]: the status of a declared resource.

use std::collections::BTreeMap;
use std::sync::Arc;

use trefoil_schema::resources::{BackendServerSpec, ServiceSpec, TeamSpec};

pub mod change;
pub mod log;
pub mod status;
pub mod validation;
pub mod write_outcome;

pub use change::{Change, ResourceKey};
pub use log::{ConfigLog, StoredValue};

/// A resource's declaration and the store revision that created or changed it.
#[derive(Clone, Debug, PartialEq)]
#[expect(missing_docs, reason = "fields explain themselves")]
pub struct Declared<T> {
    pub spec: T,
    pub revision: u64,
}

/// All declared resources as of one store revision.
#[derive(Clone, Debug, Default, PartialEq)]
#[expect(missing_docs, reason = "fields explain themselves")]
pub struct ConfigSnapshot {
    /// Highest store revision applied.
    pub revision: u64,
    pub teams: BTreeMap<Arc<str>, Declared<TeamSpec>>,
    pub services: BTreeMap<Arc<str>, Declared<ServiceSpec>>,
    pub backend_servers: BTreeMap<Arc<str>, Declared<BackendServerSpec>>,
}
