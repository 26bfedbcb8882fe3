//! The resource API.

use hyper::header::{HeaderValue, IF_MATCH, IF_NONE_MATCH};
use hyper::{Method, StatusCode};
use trefoil_schema::resources::{ConditionStatus, Kind, Resource, StoredResource};

use super::client::{Call, Client};
use super::error::OpsError;

/// Type of the condition that an instance sets when it cannot reach the store.
const CURRENT_CONDITION: &str = "Current";

/// What must hold for a change to be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Precondition {
    /// No resource has this kind and name.
    Absent,
    /// The resource's declaration has this store revision.
    Revision(u64),
}

/// Path of the collection of a kind.
pub fn collection(kind: Kind) -> &'static str {
    match kind {
        Kind::Team => "/v1/teams",
        Kind::Service => "/v1/services",
        Kind::BackendServer => "/v1/backend-servers",
    }
}

/// All resources of a kind, by name.
pub async fn list(client: &Client, kind: Kind) -> Result<Vec<StoredResource>, OpsError> {
    let call = Call::new(Method::GET, collection(kind));
    let mut resources: Vec<StoredResource> = client.send(&call).await?.accept()?.decode()?;
    resources.sort_by(|a, b| a.name.cmp(&b.name));
    Ok(resources)
}

/// One resource; a missing one is a refusal.
pub async fn get(client: &Client, kind: Kind, name: &str) -> Result<StoredResource, OpsError> {
    let call = Call::new(Method::GET, path(kind, name));
    client.send(&call).await?.accept()?.decode()
}

/// One resource, if there is one.
pub async fn find(
    client: &Client,
    kind: Kind,
    name: &str,
) -> Result<Option<StoredResource>, OpsError> {
    let call = Call::new(Method::GET, path(kind, name));
    let answer = client.send(&call).await?;
    if answer.status == StatusCode::NOT_FOUND {
        return Ok(None);
    }
    answer.accept()?.decode().map(Some)
}

/// Declares a resource. A `dry_run` is checked by the instance and not stored.
pub async fn put(
    client: &Client,
    resource: &Resource,
    precondition: Precondition,
    dry_run: bool,
) -> Result<StoredResource, OpsError> {
    let mut target = path(resource.kind, &resource.name);
    if dry_run {
        target += "?dry_run=true";
    }
    let call = Call::new(Method::PUT, target).json(resource);
    let call = guarded(call, precondition);
    client.send(&call).await?.accept()?.decode()
}

/// Removes a resource whose declaration has this store revision. A lost answer
/// stays unsettled: an instance that does not know the resource may be behind.
pub async fn delete(
    client: &Client,
    kind: Kind,
    name: &str,
    revision: u64,
) -> Result<(), OpsError> {
    let call = Call::new(Method::DELETE, path(kind, name));
    let call = guarded(call, Precondition::Revision(revision));
    client.send(&call).await?.accept()?;
    Ok(())
}

/// Whether an instance read the resource in the store, not in its memory.
pub fn is_current(resource: &StoredResource) -> bool {
    let mut conditions = resource.status.conditions.iter();
    !conditions.any(|condition| {
        condition.type_ == CURRENT_CONDITION && condition.status != ConditionStatus::True
    })
}

fn path(kind: Kind, name: &str) -> String {
    format!("{}/{name}", collection(kind))
}

fn guarded(call: Call, precondition: Precondition) -> Call {
    match precondition {
        Precondition::Absent => call.header(IF_NONE_MATCH, HeaderValue::from_static("*")),
        Precondition::Revision(revision) => {
            let quoted = format!("\"{revision}\"");
            let value = HeaderValue::try_from(quoted).expect("digits and quotes are visible ASCII");
            call.header(IF_MATCH, value)
        }
    }
}
