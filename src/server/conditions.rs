//! Conditions of resources, as observed by this instance.

use std::sync::Arc;

use trefoil_core::config::{ConfigSnapshot, ResourceKey};
use trefoil_core::engine::health::{HealthState, ServiceHealth, WorkerHealth};
use trefoil_schema::resources::{
    BackendServerState, Condition, ConditionStatus, Kind, ServiceSpec, Targets,
};

use crate::runtime::Runtime;
use crate::runtime::service_windows::{WINDOW_MS, WindowStats};

const PERCENT: u64 = 100;
const SECOND_MS: u64 = 1_000;

/// Derives conditions from the state of this instance.
#[derive(Clone)]
pub struct Conditions {
    /// Source of worker health and of recent response times.
    pub runtime: Arc<Runtime>,
    /// Failure domain of this instance.
    pub failure_domain: Arc<str>,
}

impl Conditions {
    /// The conditions of a resource; none if it is not declared.
    pub fn of(&self, key: &ResourceKey) -> Vec<Condition> {
        let config = self.runtime.config();
        match key.kind {
            Kind::Team => Vec::new(),
            Kind::Service => self.service_conditions(&config, &key.name),
            Kind::BackendServer => self.server_health(&config, &key.name).into_iter().collect(),
        }
    }

    fn service_conditions(&self, config: &ConfigSnapshot, name: &str) -> Vec<Condition> {
        let Some(declared) = config.services.get(name) else {
            return Vec::new();
        };
        vec![
            self.service_workers(config, name),
            self.service_targets(&declared.spec, name),
        ]
    }

    fn server_health(&self, config: &ConfigSnapshot, name: &str) -> Option<Condition> {
        let spec = &config.backend_servers.get(name)?.spec;
        if spec.failure_domain != *self.failure_domain {
            let message = format!(
                "instances of the failure domain {} use it; ask one of them",
                spec.failure_domain
            );
            return Some(healthy(ConditionStatus::Unknown, "OtherDomain", message));
        }
        let now = self.runtime.now();
        let health = self.runtime.engine().worker_health(now, name);
        Some(health.map_or_else(not_used_here, server_condition))
    }

    fn service_workers(&self, config: &ConfigSnapshot, service: &str) -> Condition {
        let (mut declared, mut leaving) = (0, 0);
        for server in config.backend_servers.values() {
            let spec = &server.spec;
            if spec.service == service && spec.failure_domain == *self.failure_domain {
                declared += 1;
                leaving += u32::from(spec.state == BackendServerState::Leaving);
            }
        }
        let domain = &self.failure_domain;
        if declared == 0 {
            let message = format!("no backend server of {domain} is declared for it");
            return has_workers(ConditionStatus::False, "NoServers", message);
        }
        if declared == leaving {
            let message = format!("all {declared} backend servers of {domain} are leaving");
            return has_workers(ConditionStatus::False, "AllLeaving", message);
        }
        let health = self.runtime.engine().service_health(service);
        workers_condition(health.unwrap_or_default(), declared, domain)
    }

    fn service_targets(&self, spec: &ServiceSpec, service: &str) -> Condition {
        let mono_ms = self.runtime.now().mono_ms;
        let stats = self.runtime.service_windows().stats(mono_ms, service);
        targets_condition(&spec.targets, stats)
    }
}

fn not_used_here() -> Condition {
    let message = "this instance uses no slot of it".to_owned();
    healthy(ConditionStatus::Unknown, "NotUsedHere", message)
}

fn server_condition(health: WorkerHealth) -> Condition {
    let WorkerHealth {
        typical_ms,
        service_typical_ms,
        ..
    } = health;
    let times = format!("its tasks take {typical_ms} ms here, the service's {service_typical_ms}");
    match health.state {
        HealthState::Unobserved => {
            let message = "no task has ended on it here yet".to_owned();
            healthy(ConditionStatus::Unknown, "NoCalls", message)
        }
        HealthState::Serving => healthy(ConditionStatus::True, "Serving", times),
        HealthState::Slow => {
            let message = format!("{times}; it is chosen after its peers");
            healthy(ConditionStatus::False, "Slow", message)
        }
        HealthState::Probation => {
            let message = "it was ejected, and gets one task at a time here".to_owned();
            healthy(ConditionStatus::False, "Probation", message)
        }
        HealthState::Ejected { for_ms } => {
            let message = format!(
                "it failed, or took far longer than its peers; no task here for {for_ms} ms"
            );
            healthy(ConditionStatus::False, "Ejected", message)
        }
    }
}

fn workers_condition(health: ServiceHealth, declared: u32, domain: &str) -> Condition {
    let ServiceHealth {
        workers,
        workers_ejected,
        slots_owned,
    } = health;
    let message = format!(
        "this instance owns {slots_owned} slots on {workers} of {declared} backend servers of \
         {domain}; {workers_ejected} of them are ejected"
    );
    match workers {
        0 => has_workers(ConditionStatus::False, "NoSlots", message),
        _ if workers_ejected == workers => {
            has_workers(ConditionStatus::False, "AllEjected", message)
        }
        _ => has_workers(ConditionStatus::True, "Serving", message),
    }
}

/// Compares the recent responses of this instance with the declared targets.
fn targets_condition(targets: &Targets, stats: WindowStats) -> Condition {
    let has_time_target = targets.response_p99_ms > 0;
    let refused_max = u64::from(targets.refused_percent_max);
    if !has_time_target && refused_max >= PERCENT {
        let message = "the service declares no targets".to_owned();
        return meets_targets(ConditionStatus::True, "NoTargets", message);
    }
    let window_s = WINDOW_MS / SECOND_MS;
    if stats.jobs == 0 {
        let message = format!("no job was answered here in the last {window_s} s");
        return meets_targets(ConditionStatus::Unknown, "NoJobs", message);
    }
    let message = format!(
        "of {} jobs here in the last {window_s} s, {} were refused (at most {refused_max} %); \
         p99 of {} response times {} ms (target {})",
        stats.jobs,
        stats.refused,
        stats.timed,
        stats.response_p99_ms,
        target_text(targets.response_p99_ms),
    );
    let too_slow = has_time_target && stats.response_p99_ms > targets.response_p99_ms;
    let too_many = stats.refused * PERCENT > refused_max * stats.jobs;
    match (too_slow, too_many) {
        (false, false) => meets_targets(ConditionStatus::True, "Met", message),
        (true, false) => meets_targets(ConditionStatus::False, "TooSlow", message),
        (false, true) => meets_targets(ConditionStatus::False, "TooManyRefused", message),
        (true, true) => meets_targets(ConditionStatus::False, "TooSlowAndRefused", message),
    }
}

fn target_text(response_p99_ms: u64) -> String {
    match response_p99_ms {
        0 => "none".to_owned(),
        target_ms => format!("{target_ms} ms"),
    }
}

fn healthy(status: ConditionStatus, reason: &str, message: String) -> Condition {
    condition("Healthy", status, reason, message)
}

fn has_workers(status: ConditionStatus, reason: &str, message: String) -> Condition {
    condition("HasWorkers", status, reason, message)
}

fn meets_targets(status: ConditionStatus, reason: &str, message: String) -> Condition {
    condition("MeetsTargets", status, reason, message)
}

fn condition(kind: &str, status: ConditionStatus, reason: &str, message: String) -> Condition {
    Condition {
        type_: kind.to_owned(),
        status,
        reason: reason.to_owned(),
        message,
    }
}
