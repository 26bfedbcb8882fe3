//! The workers of a zone are taken away at short notice; after the notice, one of the two
//! connections that instances have with their owner breaks.

use std::process::ExitCode;
use std::thread::sleep;
use std::time::Duration;

use review_stand_ins::clients::{Clients, JobKind};
use review_stand_ins::deployment::{Case, Deployment, HOST, Plan, run};
use review_stand_ins::ledger::Ledger;

/// Like the sheet, at a smaller size: 24 instances in 3 zones, 84 workers.
const PLAN: Plan = Plan {
    zones: &[("kochi-a", 8), ("kochi-b", 8), ("kochi-c", 8)],
    workers_per_zone: 28,
    service: "lipi-publish",
    worker_cpu: 16_000,
    worker_uptime_ms: 600_000,
    remote_penalty: 3.0,
    evacuate_ms: None,
    routes: &[("build-verify", "/verify/")],
};

/// One task of 3.4 s on 6.8 cores: within the spread of the sheet's longest kind.
const KIND: JobKind = JobKind {
    prefix: "/verify/",
    tasks: 1,
    run_ms: 3400,
    cpu: 6_800,
    deadline: Duration::from_millis(7400),
    interval: Duration::from_millis(36),
};

/// Time from the notice until the connections break. Owners read the store each 0.7 s.
const BREAK_AFTER: Duration = Duration::from_millis(800);
/// Time from the notice until the workers are gone.
const NOTICE: Duration = Duration::from_millis(2500);
/// How long no others are to be had.
const GONE: Duration = Duration::from_secs(5);
/// Time between the return of one zone's workers and the notice of the next.
const PAUSE: Duration = Duration::from_secs(6);

fn play(case: &Case, deployment: &Deployment) -> Clients {
    let clients = Clients::start(HOST, &[KIND], &deployment.callers(), &deployment.ledger);
    let mut clients = clients;
    let ledger = &deployment.ledger;
    sleep(Duration::from_secs(4));
    for (zone, _) in PLAN.zones {
        let workers = deployment.workers.iter();
        let reclaimed = workers.filter(|worker| worker.zone == *zone && case.wants("reclaim"));
        let reclaimed: Vec<_> = reclaimed.collect();
        ledger.note(format!(
            "TROUBLE: notice for {} workers of {zone}",
            reclaimed.len()
        ));
        reclaimed.iter().for_each(|worker| worker.reclaim(NOTICE));
        sleep(BREAK_AFTER);
        if case.wants("reset") {
            break_half(deployment, zone);
        }
        sleep(NOTICE - BREAK_AFTER);
        reclaimed.iter().for_each(|worker| worker.take_away());
        sleep(GONE);
        reclaimed
            .iter()
            .for_each(|worker| worker.replace(PLAN.worker_cpu));
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
