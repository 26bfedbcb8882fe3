//! The operator has a zone emptied; then one of the two connections that instances have with the
//! owner of its workers breaks.

use std::process::ExitCode;
use std::thread::sleep;
use std::time::Duration;

use review_stand_ins::clients::{Clients, JobKind};
use review_stand_ins::deployment::{Case, Deployment, HOST, Plan, run};
use review_stand_ins::json::object;
use review_stand_ins::ledger::Ledger;

/// Like the sheet, at a smaller size: 24 instances in 3 zones, 84 workers.
const PLAN: Plan = Plan {
    zones: &[("half-way-tree", 8), ("new-kingston", 8), ("portmore", 8)],
    workers_per_zone: 28,
    service: "household-payroll",
    worker_cpu: 16_000,
    worker_uptime_ms: 600_000,
    remote_penalty: 1.5,
    evacuate_ms: Some(5000),
    routes: &[("weekly-pay-run", "/weekly/")],
};

/// One task of 3.4 s on 6.8 cores: within the spread of the sheet's longest kind.
const KIND: JobKind = JobKind {
    prefix: "/weekly/",
    tasks: 1,
    run_ms: 3400,
    cpu: 6_800,
    deadline: Duration::from_millis(7400),
    interval: Duration::from_millis(36),
};

/// Time from the acknowledgement of an evacuation until the connections break. Owners read the
/// store each 0.7 s.
const BREAK_AFTER: Duration = Duration::from_millis(800);
/// How long a zone stays empty.
const EVACUATED: Duration = Duration::from_secs(5);
/// Time between a zone's return and the next one's evacuation.
const PAUSE: Duration = Duration::from_secs(4);

fn play(case: &Case, deployment: &Deployment) -> Clients {
    let clients = Clients::start(HOST, &[KIND], &deployment.callers(), &deployment.ledger);
    let mut clients = clients;
    let ledger = &deployment.ledger;
    sleep(Duration::from_secs(4));
    for (zone, _) in PLAN.zones {
        let key = format!("op/evacuate/{zone}");
        if case.wants("evacuate") {
            ledger.note(format!("TROUBLE: zone {zone} is to be emptied"));
            deployment.store.put(&key, &object([]));
        }
        sleep(BREAK_AFTER);
        if case.wants("reset") {
            break_half(deployment, zone);
        }
        sleep(EVACUATED - BREAK_AFTER);
        if case.wants("evacuate") {
            ledger.note(format!("TROUBLE: zone {zone} is taken back"));
            deployment.store.remove(&key);
        }
        sleep(PAUSE);
    }
    clients.stop();
    sleep(KIND.deadline);
    clients
}

/// Breaks one of the two connections between the owner of a zone's workers and each instance
/// that has two with it.
fn break_half(deployment: &Deployment, zone: &str) {
    let Some(owner) = deployment.owner_index(zone) else {
        return;
    };
    let (entries, relays) = (&deployment.entries, &deployment.relays);
    let name = &entries[owner].name;
    let accepted = relays[owner].peers();
    for (peer, relay) in entries.iter().zip(relays) {
        if accepted.contains(&peer.name) && relay.peers().contains(name) {
            relays[owner].break_connections_of(&peer.name);
            deployment.ledger.note(format!(
                "TROUBLE: of the two connections between {name} and {}, one breaks",
                peer.name
            ));
        }
    }
}

fn main() -> ExitCode {
    run("TWICE", &PLAN, play, Ledger::twice_breaks)
}
