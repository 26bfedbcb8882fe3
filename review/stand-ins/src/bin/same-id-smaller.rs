//! The store turns the owner of a zone's workers away; meanwhile a worker starts again under its id,
//! as one of a smaller kind.

use std::process::ExitCode;
use std::thread::sleep;
use std::time::Duration;

use review_stand_ins::clients::{Clients, JobKind};
use review_stand_ins::deployment::{Case, Deployment, HOST, Plan, run};
use review_stand_ins::ledger::Ledger;

const PLAN: Plan = Plan {
    zones: &[("kochi-a", 2), ("kochi-b", 2), ("kochi-c", 2)],
    workers_per_zone: 4,
    service: "lipi-publish",
    worker_cpu: 16_000,
    worker_uptime_ms: 600_000,
    remote_penalty: 3.0,
    evacuate_ms: None,
    routes: &[("build-verify", "/verify/")],
};

/// Capacity of the smaller kind: one task fits instead of two.
const SMALLER_CPU: u64 = 10_700;

/// Four tasks of 0.9 s on 6.8 cores, like the longest kind of the sheets.
const KIND: JobKind = JobKind {
    prefix: "/verify/",
    tasks: 4,
    run_ms: 900,
    cpu: 6_800,
    deadline: Duration::from_millis(6000),
    interval: Duration::from_millis(210),
};

/// How long a worker is down.
const DOWN: Duration = Duration::from_millis(300);
/// How long the store turns the owner away.
const REFUSED: Duration = Duration::from_millis(8500);
/// Time between two zones.
const PAUSE: Duration = Duration::from_secs(4);

fn play(case: &Case, deployment: &Deployment) -> Clients {
    let clients = Clients::start(HOST, &[KIND], &deployment.callers(), &deployment.ledger);
    let mut clients = clients;
    sleep(Duration::from_secs(4));
    for (number, (zone, _)) in PLAN.zones.iter().enumerate() {
        let owner = deployment.owner_index(zone);
        let owner = owner.filter(|_| case.wants("refuse"));
        set_refused(deployment, owner, true);
        sleep(Duration::from_millis(200));
        if case.wants("restart") {
            let worker = &deployment.workers[number * PLAN.workers_per_zone];
            worker.crash();
            sleep(DOWN);
            worker.restart(SMALLER_CPU);
        }
        sleep(REFUSED);
        set_refused(deployment, owner, false);
        sleep(PAUSE);
    }
    clients.stop();
    sleep(Duration::from_secs(4));
    clients
}

fn set_refused(deployment: &Deployment, owner: Option<usize>, is_refused: bool) {
    let Some(owner) = owner else {
        return;
    };
    deployment.gates[owner].set_refused(is_refused);
    let name = &deployment.entries[owner].name;
    let verb = if is_refused { "turns away" } else { "serves" };
    let event = format!("TROUBLE: the store {verb} {name}, the owner of its zone's workers");
    deployment.ledger.note(event);
}

fn main() -> ExitCode {
    run("LIMIT", &PLAN, play, Ledger::limit_breaks)
}
