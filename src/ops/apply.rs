//! Plan and apply declarations.
//!
//! A plan compares the declarations with what is live; each change then
//! carries the revision that it was planned against, so that a change that
//! another operator made in between is never overwritten.

use derive_more::Display;
use serde_json::Value;
use trefoil_schema::resources::{Kind, Resource, StoredResource};

use super::client::Client;
use super::declare::complete_spec;
use super::error::OpsError;
use super::resources::{self, Precondition};

/// What applying does to one resource.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Change {
    /// It is not there yet.
    #[display("create")]
    Create,
    /// It is there with another declaration.
    #[display("update")]
    Update,
    /// It is there as declared.
    #[display("unchanged")]
    Unchanged,
}

/// One resource of a plan.
#[derive(Clone, Debug)]
pub struct Step {
    /// What is declared.
    pub resource: Resource,
    /// What is live.
    pub live: Option<StoredResource>,
    /// What applying does.
    pub change: Change,
}

/// What became of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Applied {
    /// Store revision of the declaration; 0 after a dry run of a new resource.
    pub revision: u64,
    /// Whether the answer was lost and the outcome read back.
    pub read_back: bool,
}

/// Compares declarations, in their order, with what is live.
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

/// Carries out one step, or has an instance check it when `dry_run`.
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
        Err(lost @ OpsError::Lost { .. }) if !dry_run => read_back(client, step, lost).await,
        Err(error) => Err(error),
    }
}

/// Whether a live resource is as declared, defaults written out.
pub fn same(resource: &Resource, live: &StoredResource) -> bool {
    let declared = completed(resource.kind, &resource.spec);
    declared == completed(live.kind, &live.spec) && resource.labels == live.labels
}

/// A spec with its defaults written out, or as it is where it has another form.
pub fn completed(kind: Kind, spec: &Value) -> Value {
    complete_spec(kind, spec).unwrap_or_else(|_| spec.clone())
}

fn step(resource: Resource, live: &[StoredResource]) -> Step {
    let live = live
        .iter()
        .find(|live| live.kind == resource.kind && live.name == resource.name)
        .cloned();
    let change = match &live {
        None => Change::Create,
        Some(live) if same(&resource, live) => Change::Unchanged,
        Some(_) => Change::Update,
    };
    Step {
        resource,
        live,
        change,
    }
}

/// Settles a lost answer: if the declaration is live, it took effect; if not,
/// it may still do so, and the error stands.
async fn read_back(client: &Client, step: &Step, lost: OpsError) -> Result<Applied, OpsError> {
    let found = resources::find(client, step.resource.kind, &step.resource.name).await;
    match found {
        Ok(Some(live)) if same(&step.resource, &live) => Ok(Applied {
            revision: live.status.revision,
            read_back: true,
        }),
        _ => Err(lost),
    }
}
