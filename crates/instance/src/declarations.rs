//! Routes and services in force.
//!
//! They come from the platform's store, or from another instance that read a
//! newer version; a version is never replaced by an older one.

use serde::{Deserialize, Serialize};

/// The operator's declarations in one version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Declarations {
    /// Rises with each change.
    pub version: u64,
    /// Queues that callers submit to.
    pub routes: Vec<Route>,
    /// Largest body of a request.
    pub body_bytes_max: u64,
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

impl Declarations {
    /// The route with the longest prefix that a request matches.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let matching = self.routes.iter();
        let matching = matching.filter(|route| route.host.eq_ignore_ascii_case(host));
        let matching = matching.filter(|route| path.starts_with(&route.path_prefix));
        matching.max_by_key(|route| route.path_prefix.len())
    }
}
