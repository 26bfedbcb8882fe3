//! What is known of a resource that is declared.

use trefoil_schema::resources::{Condition, ConditionStatus, Kind, Resource, ResourceStatus};

use super::ConfigSnapshot;

/// How many instances have a declaration in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Spread {
    /// Live instances that have it in force.
    pub instances_in_force: u32,
    /// Live instances.
    pub instances_live: u32,
}

/// The status of a resource declared at `revision`.
pub fn status(
    snapshot: &ConfigSnapshot,
    resource: &Resource,
    revision: u64,
    spread: Spread,
) -> ResourceStatus {
    let mut conditions = vec![in_force(spread)];
    conditions.extend(referenced(snapshot, resource));
    ResourceStatus {
        revision,
        instances_in_force: spread.instances_in_force,
        instances_live: spread.instances_live,
        conditions,
    }
}

fn in_force(spread: Spread) -> Condition {
    let Spread {
        instances_in_force,
        instances_live,
    } = spread;
    let message = format!("in force at {instances_in_force} of {instances_live} live instances");
    if instances_live == 0 {
        return condition("InForce", ConditionStatus::Unknown, "NoInstances", message);
    }
    if instances_in_force < instances_live {
        return condition("InForce", ConditionStatus::False, "Spreading", message);
    }
    condition("InForce", ConditionStatus::True, "Everywhere", message)
}

// Whether the resources that belong together are declared.
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
