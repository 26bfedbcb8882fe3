//! Client of the resource API.

use hyper::header::{HeaderValue, IF_MATCH, IF_NONE_MATCH};
use hyper::{Method, StatusCode};
use trefoil_schema::resources::{ConditionStatus, Kind, Resource, StoredResource};

use super::client::{ApiRequest, Client};
use super::error::OpsError;

/// Condition type that an instance reports as not true while it cannot reach the store.
const CURRENT_CONDITION: &str = "Current";

/// A precondition of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Precondition {
    /// The resource does not exist.
    Absent,
    /// The declaration has this store revision.
    Revision(u64),
}

/// URL path of a kind's collection.
pub fn collection_path(kind: Kind) -> &'static str {
    match kind {
        Kind::Team => "/v1/teams",
        Kind::Service => "/v1/services",
        Kind::BackendServer => "/v1/backend-servers",
    }
}

/// Lists the resources of a kind, sorted by name.
pub async fn list(client: &Client, kind: Kind) -> Result<Vec<StoredResource>, OpsError> {
    let request = ApiRequest::new(Method::GET, collection_path(kind));
    let mut resources: Vec<StoredResource> =
        client.send(&request).await?.error_for_status()?.decode()?;
    resources.sort_by(|a, b| a.name.cmp(&b.name));
    Ok(resources)
}

/// Returns a resource; fails if it does not exist.
pub async fn get(client: &Client, kind: Kind, name: &str) -> Result<StoredResource, OpsError> {
    let request = ApiRequest::new(Method::GET, resource_path(kind, name));
    client.send(&request).await?.error_for_status()?.decode()
}

/// Returns a resource, or `None` if it does not exist.
pub async fn find(
    client: &Client,
    kind: Kind,
    name: &str,
) -> Result<Option<StoredResource>, OpsError> {
    let request = ApiRequest::new(Method::GET, resource_path(kind, name));
    let response = client.send(&request).await?;
    if response.status == StatusCode::NOT_FOUND {
        return Ok(None);
    }
    response.error_for_status()?.decode().map(Some)
}

/// Declares a resource. With `dry_run`, the instance validates it without storing it.
pub async fn put(
    client: &Client,
    resource: &Resource,
    precondition: Precondition,
    dry_run: bool,
) -> Result<StoredResource, OpsError> {
    let mut target = resource_path(resource.kind, &resource.name);
    if dry_run {
        target += "?dry_run=true";
    }
    let request = ApiRequest::new(Method::PUT, target).json(resource);
    let request = with_precondition(request, precondition);
    client.send(&request).await?.error_for_status()?.decode()
}

/// Deletes a resource if its declaration has this store revision.
///
/// A lost response cannot be resolved by a read: an instance that does not know the
/// resource may be lagging behind the store.
pub async fn delete(
    client: &Client,
    kind: Kind,
    name: &str,
    revision: u64,
) -> Result<(), OpsError> {
    let request = ApiRequest::new(Method::DELETE, resource_path(kind, name));
    let request = with_precondition(request, Precondition::Revision(revision));
    client.send(&request).await?.error_for_status()?;
    Ok(())
}

/// Whether the resource was read from the store, as opposed to an instance's cache.
pub fn is_current(resource: &StoredResource) -> bool {
    let mut conditions = resource.status.conditions.iter();
    !conditions.any(|condition| {
        condition.type_ == CURRENT_CONDITION && condition.status != ConditionStatus::True
    })
}

fn resource_path(kind: Kind, name: &str) -> String {
    format!("{}/{name}", collection_path(kind))
}

fn with_precondition(request: ApiRequest, precondition: Precondition) -> ApiRequest {
    match precondition {
        Precondition::Absent => request.header(IF_NONE_MATCH, HeaderValue::from_static("*")),
        Precondition::Revision(revision) => {
            let quoted = format!("\"{revision}\"");
            let value = HeaderValue::try_from(quoted).expect("digits and quotes are visible ASCII");
            request.header(IF_MATCH, value)
        }
    }
}
