//! Tracks which configuration revision is in force at each instance.
//!
//! All entries are queried, because a partitioned instance knows little of the others.
//! The revision of an incarnation never decreases, so the highest one reported for an
//! instance's newest incarnation counts. A silent instance that was last known to have an
//! older revision is unknown.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;
use hyper::Method;
use tokio::time::Instant;
use trefoil_schema::api::{InstanceStateName, InstanceStatus, StatusResponse};

use super::client::{ApiRequest, ApiResponse, Client};
use super::error::OpsError;

const POLL_INTERVAL: Duration = Duration::from_millis(100);
const STATUS_TIMEOUT_MS: u64 = 2000;

/// State of the deployment, merged from the status of all entries.
#[derive(Clone, Debug, Default)]
pub struct DeploymentStatus {
    /// Instances by name, each with its most recent status.
    pub instances: BTreeMap<String, InstanceStatus>,
    /// Number of entries that responded.
    pub entries_responded: usize,
    /// Addresses of the entries that did not respond.
    pub entries_failed: Vec<String>,
    /// Names of instances that cannot reach the platform's store.
    pub store_unreachable: Vec<String>,
}

/// Whether a revision is in force at one instance.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum InForce {
    /// The revision or a later one is in force.
    #[display("in force")]
    Yes,
    /// An older revision is in force.
    #[display("not yet")]
    NotYet,
    /// The instance is silent.
    #[display("unknown")]
    Unknown,
    /// The instance has ended and does not count.
    #[display("gone")]
    Gone,
}

/// Queries all entries; fails if none responds.
pub async fn fetch_status(client: &Client) -> Result<DeploymentStatus, OpsError> {
    let request = ApiRequest::new(Method::GET, "/v1/status").timeout_ms(STATUS_TIMEOUT_MS);
    let mut deployment = DeploymentStatus::default();
    let mut last_error = None;
    for (entry, response) in client.send_all(&request).await {
        let status = response
            .map_err(|error| client.transport_error(&request, error))
            .and_then(ApiResponse::error_for_status)
            .and_then(|response| response.decode());
        match status {
            Ok(status) => deployment.add(status),
            Err(error) => {
                deployment.entries_failed.push(entry);
                last_error = Some(error);
            }
        }
    }
    match last_error {
        Some(error) if deployment.entries_responded == 0 => Err(error),
        _ => Ok(deployment),
    }
}

/// Waits until `revision` is in force at every instance that is not gone.
///
/// Calls `progress` after each poll. The error on timeout names the instances that lack
/// the revision.
pub async fn wait(
    client: &Client,
    revision: u64,
    timeout_ms: u64,
    mut progress: impl FnMut(&DeploymentStatus),
) -> Result<DeploymentStatus, OpsError> {
    let deadline = Instant::now() + Duration::from_millis(timeout_ms);
    loop {
        let deployment = fetch_status(client).await;
        if let Ok(deployment) = &deployment {
            progress(deployment);
            if deployment.is_complete(revision) {
                return Ok(deployment.clone());
            }
        }
        if Instant::now() >= deadline {
            return Err(timed_out(deployment, revision, timeout_ms));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn timed_out(
    deployment: Result<DeploymentStatus, OpsError>,
    revision: u64,
    timeout_ms: u64,
) -> OpsError {
    let known = match deployment {
        Ok(deployment) => deployment.describe(revision),
        Err(error) => format!("at unknown instances: {error}"),
    };
    OpsError::TimedOut {
        message: format!("after {timeout_ms} ms revision {revision} is in force {known}"),
    }
}

impl DeploymentStatus {
    /// Merges the status that one instance reports.
    pub fn add(&mut self, status: StatusResponse) {
        self.entries_responded += 1;
        if !status.store_reachable {
            self.store_unreachable.push(status.instance.clone());
        }
        for instance in status.instances {
            self.merge(instance);
        }
        if let Some(own) = self.instances.get_mut(&status.instance) {
            own.config_revision = own.config_revision.max(status.config_revision);
        }
    }

    /// Whether `revision` is in force at an instance.
    pub fn in_force(&self, instance: &InstanceStatus, revision: u64) -> InForce {
        if instance.state == InstanceStateName::Gone {
            return InForce::Gone;
        }
        if instance.config_revision >= revision {
            return InForce::Yes;
        }
        match instance.state {
            InstanceStateName::Silent => InForce::Unknown,
            _ => InForce::NotYet,
        }
    }

    /// Whether `revision` is in force at every instance that is not gone, and there is one.
    pub fn is_complete(&self, revision: u64) -> bool {
        let mut counted = self
            .instances
            .values()
            .map(|instance| self.in_force(instance, revision))
            .filter(|in_force| *in_force != InForce::Gone)
            .peekable();
        counted.peek().is_some() && counted.all(|in_force| in_force == InForce::Yes)
    }

    /// Number of instances with `revision` in force, and of all that are not gone.
    pub fn counts(&self, revision: u64) -> (usize, usize) {
        let count = |wanted: InForce| {
            self.instances
                .values()
                .filter(|instance| self.in_force(instance, revision) == wanted)
                .count()
        };
        let done = count(InForce::Yes);
        (done, self.instances.len() - count(InForce::Gone))
    }

    fn merge(&mut self, reported: InstanceStatus) {
        let Some(known) = self.instances.get_mut(&reported.instance) else {
            self.instances.insert(reported.instance.clone(), reported);
            return;
        };
        if reported.incarnation < known.incarnation {
            return;
        }
        if reported.incarnation > known.incarnation {
            *known = reported;
            return;
        }
        let config_revision = known.config_revision.max(reported.config_revision);
        if reported.heard_ms < known.heard_ms {
            *known = reported;
        }
        known.config_revision = config_revision;
    }

    /// Describes where `revision` is in force and which instances lack it.
    fn describe(&self, revision: u64) -> String {
        let missing = self
            .instances
            .values()
            .filter_map(|instance| self.describe_missing(instance, revision))
            .collect::<Vec<_>>();
        let (done, counted) = self.counts(revision);
        let missing = missing.join(", ");
        format!("at {done} of {counted} instances; missing: {missing}")
    }

    fn describe_missing(&self, instance: &InstanceStatus, revision: u64) -> Option<String> {
        let name = &instance.instance;
        let found = instance.config_revision;
        let heard_ms = instance.heard_ms;
        match self.in_force(instance, revision) {
            InForce::Yes | InForce::Gone => None,
            InForce::NotYet => Some(format!("{name} (at {found})")),
            InForce::Unknown => Some(format!(
                "{name} (unknown: silent for {heard_ms} ms, last at {found})"
            )),
        }
    }
}
