//! Status of a declared resource.

use trefoil_schema::resources::{Condition, ConditionStatus, Kind, Resource, ResourceStatus};

use super::ConfigSnapshot;

/// Progress of a declaration's rollout to the instances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RolloutProgress {
    /// Live instances that have applied the declaration.
    pub instances_in_force: u32,
    /// All live instances.
    pub instances_live: u32,
}

/// Status of a resource that was declared at `revision`.
pub fn resource_status(
    snapshot: &ConfigSnapshot,
    resource: &Resource,
    revision: u64,
    progress: RolloutProgress,
) -> ResourceStatus {
    let mut conditions = vec![in_force(progress)];
    conditions.extend(referenced(snapshot, resource));
    ResourceStatus {
        revision,
        instances_in_force: progress.instances_in_force,
        instances_live: progress.instances_live,
        conditions,
    }
}

fn in_force(progress: RolloutProgress) -> Condition {
    let RolloutProgress {
        instances_in_force,
        instances_live,
    } = progress;
    let message = format!("in force at {instances_in_force} of {instances_live} live instances");
    if instances_live == 0 {
        return condition("InForce", ConditionStatus::Unknown, "NoInstances", message);
    }
    if instances_in_force < instances_live {
        return condition("InForce", ConditionStatus::False, "Spreading", message);
    }
    condition("InForce", ConditionStatus::True, "Everywhere", message)
}

/// Whether a service has backend servers, or a backend server its service.
fn referenced(snapshot: &ConfigSnapshot, resource: &Resource) -> Option<Condition> {
    match resource.kind {
        Kind::Team => None,
        Kind::Service => Some(servers_declared(snapshot, &resource.name)),
        Kind::BackendServer => {
            let service = resource.spec.get("service")?.as_str()?;
            Some(service_declared(snapshot, service))
        }
    }
}

fn service_declared(snapshot: &ConfigSnapshot, service: &str) -> Condition {
    if snapshot.services.contains_key(service) {
        let message = format!("service {service} is declared");
        return condition("Referenced", ConditionStatus::True, "Declared", message);
    }
    let message = format!("service {service} is not declared; declare it to use this server");
    condition(
        "Referenced",
        ConditionStatus::False,
        "UnknownService",
        message,
    )
}

fn servers_declared(snapshot: &ConfigSnapshot, service: &str) -> Condition {
    let servers = snapshot.backend_servers.values();
    let count = servers
        .filter(|server| server.spec.service == service)
        .count();
    let message = format!("{count} backend servers are declared for it");
    if count == 0 {
        return condition("Referenced", ConditionStatus::False, "NoServers", message);
    }
    condition("Referenced", ConditionStatus::True, "Declared", message)
}

fn condition(kind: &str, status: ConditionStatus, reason: &str, message: String) -> Condition {
    Condition {
        type_: kind.to_owned(),
        status,
        reason: reason.to_owned(),
        message,
    }
}
