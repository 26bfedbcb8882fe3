//! Renders resources as the API returns them.

use poem::http::{HeaderValue, StatusCode, header};
use poem::{IntoResponse, Response};
use trefoil_core::config::ResourceKey;
use trefoil_core::config::status::{RolloutProgress, resource_status};
use trefoil_schema::api::{InstanceStateName, InstanceStatus};
use trefoil_schema::resources::{Condition, ConditionStatus, Resource, StoredResource};

use super::OperatorContext;

/// A declaration and the store revision that accepted it.
#[derive(Clone, Debug)]
pub(super) struct Declaration {
    pub(super) resource: Resource,
    pub(super) revision: u64,
}

/// Where a declaration was read from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Source {
    Store,
    Memory,
}

/// Renders resources against one snapshot of the deployment's status.
pub(super) struct Renderer<'a> {
    context: &'a OperatorContext,
    instances: Vec<InstanceStatus>,
}

impl<'a> Renderer<'a> {
    pub(super) fn new(context: &'a OperatorContext) -> Self {
        let instances = (context.status)().instances;
        Self { context, instances }
    }

    pub(super) fn render(&self, declaration: Declaration, source: Source) -> StoredResource {
        let Declaration { resource, revision } = declaration;
        let snapshot = self.context.config.current();
        let mut status = resource_status(
            &snapshot,
            &resource,
            revision,
            self.rollout_progress(revision),
        );
        let key = ResourceKey::new(resource.kind, resource.name.as_str());
        status.conditions.extend((self.context.conditions)(&key));
        if source == Source::Memory {
            status
                .conditions
                .push(store_unreachable_condition(snapshot.revision));
        }
        StoredResource {
            kind: resource.kind,
            labels: resource.labels,
            name: resource.name,
            spec: resource.spec,
            status,
        }
    }

    // A silent instance counts as live because it may still be serving.
    fn rollout_progress(&self, revision: u64) -> RolloutProgress {
        let gone = InstanceStateName::Gone;
        let live = self.instances.iter().filter(|one| one.state != gone);
        let (mut instances_live, mut instances_in_force) = (0, 0);
        for instance in live {
            instances_live += 1;
            instances_in_force += u32::from(instance.config_revision >= revision);
        }
        RolloutProgress {
            instances_in_force,
            instances_live,
        }
    }
}

/// A JSON response with the resource's revision as `ETag`.
pub(super) fn json_with_etag(resource: &StoredResource) -> Response {
    let tag = format!("\"{}\"", resource.status.revision);
    let mut response = json(resource);
    if let Ok(tag) = HeaderValue::try_from(tag) {
        response.headers_mut().insert(header::ETAG, tag);
    }
    response
}

/// A JSON response.
pub(super) fn json(body: &impl serde::Serialize) -> Response {
    match serde_json::to_vec(body) {
        Ok(text) => Response::builder()
            .content_type("application/json")
            .body(text),
        Err(_) => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
    }
}

fn store_unreachable_condition(revision: u64) -> Condition {
    Condition {
        type_: "Current".to_owned(),
        status: ConditionStatus::Unknown,
        reason: "StoreUnreachable".to_owned(),
        message: format!(
            "the store cannot be reached; showing the configuration in force here at revision \
             {revision}"
        ),
    }
}
