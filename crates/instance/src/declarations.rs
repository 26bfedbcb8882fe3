//! Routes and services in force.
//!
//! They are read from the platform's store or received from another instance
//! that read them there. Declarations are never replaced by older ones.

use std::collections::{BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

/// One version of the operator's declarations.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Declarations {
    /// Version of the routes; increases with each change of them.
    pub version: u64,
    /// Store revision of the last change to any of these declarations.
    pub revision: u64,
    /// Declared services; workers of other services are ignored.
    pub services: BTreeSet<String>,
    /// Failure domains whose workers get no new tasks.
    pub closed_domains: BTreeSet<String>,
    /// Queues that callers submit jobs to.
    pub routes: Vec<Route>,
    /// Maximum size of a request body.
    pub body_bytes_max: u64,
    /// Further limits on callers' requests.
    #[serde(default)]
    pub request_limits: RequestLimits,
}

/// Limits on callers' requests besides the size of their bodies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RequestLimits {
    /// Maximum size of a request's line and headers.
    pub header_bytes_max: u64,
    /// Maximum time from the first byte of a request until the end of its headers.
    pub header_timeout_ms: u64,
    /// Maximum time that a connection is open without a request, or without progress.
    pub idle_timeout_ms: u64,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            header_bytes_max: 16_384,
            header_timeout_ms: 3000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// Result of one read of the declarations from the store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DeclarationsUpdate {
    /// Store revision as of which the declarations are known to be current.
    pub confirmed_revision: u64,
    /// The declarations if they changed since the last read; also `None` while the
    /// operator has declared nothing.
    pub changed: Option<Declarations>,
}

/// A queue: which requests it matches, and how its jobs are run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Display name.
    pub name: String,
    /// Host header of matching requests, compared case-insensitively.
    pub host: String,
    /// Path prefix of matching requests; the rest of the path is the job id.
    pub path_prefix: String,
    /// Service whose workers run the tasks.
    pub service: String,
    /// Timeout of a request that sets no deadline; 0 selects the default.
    pub timeout_ms: u64,
    /// Fixed part of the latency objective, added to `stretch` times the critical path.
    pub slo_ms: u64,
    /// Factor on the job's critical path in the latency objective.
    pub stretch: f64,
    /// Priority class; 0 is the highest.
    pub priority: u32,
    /// Maximum number of attempts per task.
    pub attempts_max: u32,
    /// Whether an external service decides which workers may run a task.
    pub needs_advice: bool,
}

/// Declarations with their routes indexed by host and path prefix, since every request
/// looks up one of possibly thousands of routes.
#[derive(Debug, Default)]
pub struct RouteTable {
    declarations: Declarations,
    by_host: HashMap<String, HostRoutes>,
}

/// The routes of one host, as indices into the declarations.
#[derive(Debug, Default)]
struct HostRoutes {
    by_prefix: HashMap<String, usize>,
    /// Lengths of the prefixes; there are far fewer than routes.
    prefix_bytes: BTreeSet<usize>,
}

impl HostRoutes {
    fn insert(&mut self, prefix: &str, index: usize) {
        self.by_prefix.insert(prefix.to_owned(), index);
        self.prefix_bytes.insert(prefix.len());
    }

    fn longest_match(&self, path: &str) -> Option<usize> {
        let lengths = self.prefix_bytes.range(..=path.len()).rev();
        let mut prefixes = lengths.filter_map(|&length| path.get(..length));
        prefixes.find_map(|prefix| self.by_prefix.get(prefix).copied())
    }
}

impl RouteTable {
    /// Builds the index. Of routes with the same host and prefix, the last one counts.
    pub fn new(declarations: Declarations) -> Self {
        let mut by_host: HashMap<String, HostRoutes> = HashMap::new();
        for (index, route) in declarations.routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase();
            let routes = by_host.entry(host).or_default();
            routes.insert(&route.path_prefix, index);
        }
        Self {
            declarations,
            by_host,
        }
    }

    /// Returns the underlying declarations.
    pub fn declarations(&self) -> &Declarations {
        &self.declarations
    }

    /// Store revision of the declarations.
    pub(crate) fn revision(&self) -> u64 {
        self.declarations.revision
    }

    /// Whether a service is declared; workers of undeclared services are not used.
    pub(crate) fn has_service(&self, service: &str) -> bool {
        self.declarations.services.contains(service)
    }

    /// Whether a failure domain is closed to new tasks.
    pub(crate) fn is_closed(&self, failure_domain: &str) -> bool {
        self.declarations.closed_domains.contains(failure_domain)
    }

    /// Finds the matching route with the longest path prefix.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.by_host.get(&host.to_ascii_lowercase())?;
        let index = routes.longest_match(path)?;
        self.declarations.routes.get(index)
    }
}
