//! A worker starts again under its id, as one of a smaller kind.

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
/// Workers that start again, one after the other.
const RESTARTS: usize = 3;

fn play(case: &Case, deployment: &Deployment) -> Clients {
    let mut clients = Clients::start(HOST, &[KIND], &deployment.callers(), &deployment.ledger);
    for zone in 0..RESTARTS {
        sleep(Duration::from_secs(5));
        if case.wants("restart") {
            let worker = &deployment.workers[zone * PLAN.workers_per_zone];
            worker.crash();
            sleep(DOWN);
            worker.restart(SMALLER_CPU);
        }
    }
    sleep(Duration::from_secs(4));
    clients.stop();
    sleep(Duration::from_secs(4));
    clients
}

fn main() -> ExitCode {
    run("LIMIT", &PLAN, play, Ledger::limit_breaks)
}
