//! A worker starts again under its id; later it is cut off and runs on.

use std::process::ExitCode;
use std::thread::sleep;
use std::time::{Duration, Instant};

use review_stand_ins::clients::{Clients, JobKind};
use review_stand_ins::deployment::{Case, Deployment, HOST, Plan, run};
use review_stand_ins::ledger::Ledger;
use review_stand_ins::worker::Worker;

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

/// Four tasks of 1.6 s on 6.8 cores: within the spread of the sheet's longest kind.
const KIND: JobKind = JobKind {
    prefix: "/verify/",
    tasks: 4,
    run_ms: 1600,
    cpu: 6_800,
    deadline: Duration::from_millis(6000),
    interval: Duration::from_millis(320),
};

/// How long the worker is down.
const DOWN: Duration = Duration::from_millis(300);
/// How long it is cut off each time.
const CUT: Duration = Duration::from_millis(2500);
const CUTS: usize = 5;
/// Longest wait for a run on the worker, so that a busy worker is cut off.
const BUSY_WAIT: Duration = Duration::from_secs(2);

fn wait_until_busy(worker: &Worker) {
    let began = Instant::now();
    while worker.run_count() == 0 && began.elapsed() < BUSY_WAIT {
        sleep(Duration::from_millis(20));
    }
}

fn play(case: &Case, deployment: &Deployment) -> Clients {
    let mut clients = Clients::start(HOST, &[KIND], &deployment.callers(), &deployment.ledger);
    let worker = &deployment.workers[0];
    sleep(Duration::from_secs(6));
    if case.wants("restart") {
        worker.crash();
        sleep(DOWN);
        worker.restart(PLAN.worker_cpu);
    }
    for _ in 0..CUTS {
        sleep(Duration::from_secs(4));
        if case.wants("cut") {
            wait_until_busy(worker);
            worker.set_cut(true);
            sleep(CUT);
            worker.set_cut(false);
        }
    }
    sleep(Duration::from_secs(3));
    clients.stop();
    sleep(Duration::from_secs(4));
    clients
}

fn main() -> ExitCode {
    run("TWICE", &PLAN, play, Ledger::twice_breaks)
}
