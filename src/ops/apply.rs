//! Plans and applies declarations.
//!
//! A plan compares declarations with the live resources. Each change is conditional on
//! the revision it was planned against, so that it never overwrites a concurrent change
//! by another operator.

use derive_more::Display;
use serde_json::Value;
use trefoil_schema::resources::{Kind, Resource, StoredResource};

use super::client::Client;
use super::declare::spec_with_defaults;
use super::error::OpsError;
use super::resources::{self, Precondition};

/// The change that a declaration makes to a resource.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Change {
    /// The resource does not exist.
    #[display("create")]
    Create,
    /// The live declaration differs.
    #[display("update")]
    Update,
    /// The live declaration is the same.
    #[display("unchanged")]
    Unchanged,
}

/// The planned change of one resource.
#[derive(Clone, Debug)]
pub struct Step {
    /// The declaration to apply.
    pub resource: Resource,
    /// The live resource, if it exists.
    pub live: Option<StoredResource>,
    /// The change from `live` to `resource`.
    pub change: Change,
}

/// The result of an applied step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Applied {
    /// Store revision of the declaration; 0 after a dry run of a new resource.
    pub revision: u64,
    /// Whether the response was lost and the change confirmed by a read.
    pub read_back: bool,
}

/// Compares declarations with the live resources. Steps keep the declarations' order.
pub async fn plan(client: &Client, resources: Vec<Resource>) -> Result<Vec<Step>, OpsError> {
    let mut live = Vec::new();
    for kind in [Kind::Team, Kind::Service, Kind::BackendServer] {
        if resources.iter().any(|resource| resource.kind == kind) {
            live.extend(resources::list(client, kind).await?);
        }
    }
    Ok(resources
        .into_iter()
        .map(|resource| step(resource, &live))
        .collect())
}

/// Applies a step. With `dry_run`, the instance only validates it.
pub async fn apply(client: &Client, step: &Step, dry_run: bool) -> Result<Applied, OpsError> {
    let precondition = match (&step.live, step.change) {
        (Some(live), Change::Unchanged) if resources::is_current(live) => {
            return Ok(Applied {
                revision: live.status.revision,
                read_back: false,
            });
        }
        (Some(live), _) => Precondition::Revision(live.status.revision),
        (None, _) => Precondition::Absent,
    };
    match resources::put(client, &step.resource, precondition, dry_run).await {
        Ok(stored) => Ok(Applied {
            revision: stored.status.revision,
            read_back: false,
        }),
        Err(lost @ OpsError::ResponseLost { .. }) if !dry_run => {
            read_back(client, step, lost).await
        }
        Err(error) => Err(error),
    }
}

/// Whether a live resource equals the declaration, once defaults are filled in.
pub fn matches_live(resource: &Resource, live: &StoredResource) -> bool {
    let declared = normalized_spec(resource.kind, &resource.spec);
    declared == normalized_spec(live.kind, &live.spec) && resource.labels == live.labels
}

/// Returns a spec with its defaults filled in, or unchanged if it is invalid.
pub fn normalized_spec(kind: Kind, spec: &Value) -> Value {
    spec_with_defaults(kind, spec).unwrap_or_else(|_| spec.clone())
}

fn step(resource: Resource, live: &[StoredResource]) -> Step {
    let live = live
        .iter()
        .find(|live| live.kind == resource.kind && live.name == resource.name)
        .cloned();
    let change = match &live {
        None => Change::Create,
        Some(live) if matches_live(&resource, live) => Change::Unchanged,
        Some(_) => Change::Update,
    };
    Step {
        resource,
        live,
        change,
    }
}

/// Resolves a lost response: if the declaration is live, it took effect. Otherwise it may
/// still take effect later, so the error is returned.
async fn read_back(client: &Client, step: &Step, lost: OpsError) -> Result<Applied, OpsError> {
    let found = resources::find(client, step.resource.kind, &step.resource.name).await;
    match found {
        Ok(Some(live)) if matches_live(&step.resource, &live) => Ok(Applied {
            revision: live.status.revision,
            read_back: true,
        }),
        _ => Err(lost),
    }
}
