//! Routes and services in force.
//!
//! They come from the platform's store, or from another instance that read them
//! there later; declarations are never replaced by earlier ones.

use std::collections::{BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

/// The operator's declarations in one version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Declarations {
    /// Rises with each change of routes.
    pub version: u64,
    /// Revision of the store at which all this was so; rises with each change.
    pub revision: u64,
    /// Services that workers may belong to.
    pub services: BTreeSet<String>,
    /// Failure domains whose workers are to be given no new tasks.
    pub closed_domains: BTreeSet<String>,
    /// Queues that callers submit to.
    pub routes: Vec<Route>,
    /// Largest body of a request.
    pub body_bytes_max: u64,
}

/// What one reading of the store says of the declarations.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DeclarationsUpdate {
    /// Revision of the store that the reading is no older than.
    pub confirmed_revision: u64,
    /// The declarations, unless they were told before; none either while the
    /// operator has written none.
    pub changed: Option<Declarations>,
}

/// A queue: where its requests come in, and how its jobs are run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name, for people.
    pub name: String,
    /// Host that requests name.
    pub host: String,
    /// Start of their paths.
    pub path_prefix: String,
    /// Service whose workers run the tasks.
    pub service: String,
    /// Longest time of a request.
    pub timeout_ms: u64,
    /// Added to the stretched work, it is the latency objective.
    pub slo_ms: u64,
    /// Factor on the longest chain of work in the objective.
    pub stretch: f64,
    /// 0 comes first.
    pub priority: u32,
    /// Runs of a task that may fail.
    pub attempts_max: u32,
    /// Whether another service decides which workers may run a task.
    pub needs_advice: bool,
}

/// Declarations in force, with their routes by host: there may be thousands,
/// and every request looks one up.
#[derive(Debug, Default)]
pub struct RouteTable {
    declarations: Declarations,
    by_host: HashMap<String, Vec<usize>>,
}

impl RouteTable {
    /// Indexes declarations.
    pub fn new(declarations: Declarations) -> Self {
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in declarations.routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase();
            by_host.entry(host).or_default().push(index);
        }
        Self {
            declarations,
            by_host,
        }
    }

    /// The declarations.
    pub fn declarations(&self) -> &Declarations {
        &self.declarations
    }

    /// Revision of the store at which they were in force.
    pub fn revision(&self) -> u64 {
        self.declarations.revision
    }

    /// Whether a service is declared; workers of others are not used.
    pub fn has_service(&self, service: &str) -> bool {
        self.declarations.services.contains(service)
    }

    /// Whether workers of a failure domain are to be given no new tasks.
    pub fn is_closed(&self, failure_domain: &str) -> bool {
        self.declarations.closed_domains.contains(failure_domain)
    }

    /// The route with the longest prefix that a request matches.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.by_host.get(&host.to_ascii_lowercase())?;
        let routes = routes.iter().map(|&index| &self.declarations.routes[index]);
        let matching = routes.filter(|route| path.starts_with(&route.path_prefix));
        matching.max_by_key(|route| route.path_prefix.len())
    }
}
