//! Cases of the third review: `review-case CASE RECORD`.
//!
//! Exits with 1 if a rule was broken, 0 if it held, and 2 if the case could not run. With
//! `TROUBLE=0` in the environment, the disruptions are left out; with `cut` or `restart`, only
//! that one comes.

mod deployment;
mod http;
mod record;
mod relay;
mod store;
mod worker;

use std::collections::HashSet;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

use deployment::{Deployment, Entry, Shape};
use record::{Record, RunRecord};
use worker::Worker;

const ZONES: &[(&str, usize, usize)] = &[
    ("half-way-tree", 3, 16),
    ("new-kingston", 3, 16),
    ("portmore", 2, 16),
];

/// Which disruptions come.
#[derive(Clone, Copy, Default)]
struct Trouble {
    /// A partition, or a step of the time of day.
    cut: bool,
    restart: bool,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        return ExitCode::from(2);
    };
    let Ok(record) = Record::new(Path::new(path)) else {
        return ExitCode::from(2);
    };
    let record = Arc::new(record);
    let trouble = match std::env::var("TROUBLE").as_deref() {
        Ok("0") => Trouble::default(),
        Ok("cut") => Trouble {
            cut: true,
            ..Trouble::default()
        },
        Ok("restart") => Trouble {
            restart: true,
            ..Trouble::default()
        },
        _ => Trouble {
            cut: true,
            restart: true,
        },
    };
    let result = match case.as_str() {
        "stale-owner" => stale_owner(&record, trouble),
        "drain-earlier" => drain_earlier(&record, trouble),
        "born-earlier" => born_earlier(&record, trouble),
        "twice-reborn" => twice_reborn(&record, trouble),
        _ => Err(format!("no case {case}")),
    };
    match result {
        Err(error) => {
            record.note(&format!("could not run: {error}"));
            eprintln!("{error}");
            ExitCode::from(2)
        }
        Ok(()) if record.breaks() > 0 => ExitCode::from(1),
        Ok(()) => {
            record.note("held");
            println!("held");
            ExitCode::SUCCESS
        }
    }
}

/// A replaced owner, which is cut off, and its successor use workers that have started again
/// under their ids and forgotten the successor's fence.
fn stale_owner(record: &Arc<Record>, trouble: Trouble) -> Result<(), String> {
    const CORES: u64 = 16;
    /// Twice as many as workers, so that all are used.
    const TASKS: u64 = 32;
    let shape = Shape {
        zones: ZONES,
        cores: CORES,
        tells_born: true,
    };
    let deployment = Deployment::start(&shape, record)?;
    let zone = ZONES[0].0;
    sleep(Duration::from_secs(2));
    let workers: Vec<_> = deployment.workers_of(zone).take(4).cloned().collect();
    let owner = deployment.leader(zone).ok_or("no owner")?;
    record.note(&format!("{} owns the pool", owner.name));
    if trouble.cut {
        owner.gate.set_cut(true);
        deployment.links.set_cut(Some(&owner.name));
        record.note(&format!(
            "{} is cut off from the store and from all other instances",
            owner.name
        ));
    }
    sleep(Duration::from_millis(1500));
    let successor = deployment.leader(zone).ok_or("no owner")?;
    if trouble.cut && successor.name == owner.name {
        return Err(format!("{} has no successor", owner.name));
    }
    record.note(&format!("{} owns the pool", successor.name));
    if trouble.restart {
        for worker in &workers {
            worker.crash();
        }
        sleep(Duration::from_millis(700));
    }
    deployment.store.wait_for_registry_read(&successor.name)?;
    sleep(Duration::from_millis(10));
    if trouble.restart {
        workers.iter().for_each(|worker| worker.start_again(CORES));
    }
    sleep(Duration::from_millis(50));
    record.note(&format!(
        "{} answers the readiness check: {:?}",
        owner.name,
        owner.ready()
    ));
    let other = deployment
        .entries_of(zone)
        .find(|entry| entry.name != owner.name);
    let other = other.ok_or("no other instance")?;
    deployment.submit_aside(owner.callers, TASKS, 6800, 900);
    sleep(Duration::from_millis(50));
    deployment.submit_aside(other.callers, TASKS, 6800, 900);
    sleep(Duration::from_millis(2000));
    if trouble.cut {
        owner.gate.set_cut(false);
        deployment.links.set_cut(None);
        record.note("the cut has healed");
    }
    sleep(Duration::from_secs(2));
    note_over_capacity(record, |_| CORES);
    note_double_runs(record);
    Ok(())
}

/// Idle workers go down and up twice, the second time with less capacity, after the time of day
/// of their machines has gone back in between, so that they tell an earlier start.
fn born_earlier(record: &Arc<Record>, trouble: Trouble) -> Result<(), String> {
    const CORES: u64 = 24;
    const FEWER_CORES: u64 = 16;
    const STEP_MS: u64 = 2000;
    /// `contact_ms` and one beat, for which a room that has shrunk still counts, and more.
    const PAUSE: Duration = Duration::from_millis(4000 + 1500 + 1500);
    let shape = Shape {
        zones: ZONES,
        cores: CORES,
        tells_born: true,
    };
    let deployment = Deployment::start(&shape, record)?;
    let zone = ZONES[0].0;
    sleep(Duration::from_secs(2));
    let workers: Vec<_> = deployment.workers_of(zone).take(4).cloned().collect();
    let owner = deployment.leader(zone).ok_or("no owner")?;
    restart_twice(
        &deployment,
        owner,
        &workers,
        trouble,
        [CORES, FEWER_CORES],
        STEP_MS,
    )?;
    sleep(Duration::from_millis(4000));
    workers.iter().for_each(|worker| worker.set_behind(0));
    sleep(PAUSE - Duration::from_millis(4000));
    let to = deployment.entries_of(zone).next().ok_or("no entry")?;
    deployment.submit_aside(to.callers, 32, 8000, 900);
    deployment.submit_aside(to.callers, 16, 8000, 900);
    sleep(Duration::from_secs(3));
    note_over_capacity(record, |run| match run.life {
        1 | 2 => CORES,
        _ => FEWER_CORES,
    });
    Ok(())
}

/// Workers go down and up twice, with these cores; in between, the time of day of their machines goes
/// back.
fn restart_twice(
    deployment: &Deployment,
    owner: &Entry,
    workers: &[Arc<Worker>],
    trouble: Trouble,
    cores: [u64; 2],
    step_ms: u64,
) -> Result<(), String> {
    if trouble.restart {
        workers.iter().for_each(|worker| worker.crash());
        sleep(Duration::from_millis(700));
        workers
            .iter()
            .for_each(|worker| worker.start_again(cores[0]));
        deployment.store.wait_for_registry_read(&owner.name)?;
    }
    if trouble.cut {
        workers.iter().for_each(|worker| worker.set_behind(step_ms));
    }
    sleep(Duration::from_millis(50));
    if trouble.restart {
        workers.iter().for_each(|worker| worker.crash());
        sleep(Duration::from_millis(700));
        workers
            .iter()
            .for_each(|worker| worker.start_again(cores[1]));
    }
    Ok(())
}

/// Workers that tell an earlier start than before, as above, drain.
fn drain_earlier(record: &Arc<Record>, trouble: Trouble) -> Result<(), String> {
    const CORES: u64 = 16;
    const STEP_MS: u64 = 2000;
    const DRAIN_MS: u64 = 3000;
    let shape = Shape {
        zones: ZONES,
        cores: CORES,
        tells_born: true,
    };
    let deployment = Deployment::start(&shape, record)?;
    let zone = ZONES[0].0;
    sleep(Duration::from_secs(2));
    let workers: Vec<_> = deployment.workers_of(zone).take(3).cloned().collect();
    let owner = deployment.leader(zone).ok_or("no owner")?;
    restart_twice(&deployment, owner, &workers, trouble, [CORES; 2], STEP_MS)?;
    sleep(Duration::from_millis(4000));
    workers.iter().for_each(|worker| worker.set_behind(0));
    let draining_ms = record.now_ms();
    workers
        .iter()
        .for_each(|worker| worker.drain(Duration::from_millis(DRAIN_MS)));
    sleep(Duration::from_millis(DRAIN_MS + 1500));
    let to = deployment.entries_of(zone).next().ok_or("no entry")?;
    deployment.submit_aside(to.callers, 32, 6800, 300);
    sleep(Duration::from_secs(3));
    let runs = record.runs.lock().unwrap().clone();
    for run in &runs {
        let is_draining = workers.iter().any(|worker| worker.id == run.worker);
        if is_draining && run.started_ms > draining_ms + DRAIN_MS {
            record.note_break(format!(
                "DRAIN: {} was started on {} {} ms after the store accepted that it drains",
                run.task,
                run.worker,
                run.started_ms - draining_ms
            ));
        }
    }
    Ok(())
}

/// Notes the workers on which a start used more than their capacity.
fn note_over_capacity(record: &Record, cores_of: impl Fn(&RunRecord) -> u64) {
    let mut over = HashSet::new();
    let runs = record.runs.lock().unwrap().clone();
    for run in &runs {
        let cores = cores_of(run);
        let at_work = runs.iter().filter(|other| {
            let ended_ms = other.ended.map_or(u64::MAX, |(ended_ms, _)| ended_ms);
            other.worker == run.worker
                && other.life == run.life
                && other.started_ms <= run.started_ms
                && ended_ms > run.started_ms
        });
        let used: u64 = at_work.map(|other| other.cpu).sum();
        if used > cores * 1000 && over.insert(run.worker.clone()) {
            record.note_break(format!(
                "LIMIT: {used} of {} thousandths of a core in use on {} at {} ms",
                cores * 1000,
                run.worker,
                run.started_ms
            ));
        }
    }
}

/// Idle workers start again under their ids, and are cut off as they start tasks.
fn twice_reborn(record: &Arc<Record>, trouble: Trouble) -> Result<(), String> {
    const CORES: u64 = 16;
    let shape = Shape {
        zones: ZONES,
        cores: CORES,
        tells_born: true,
    };
    let deployment = Deployment::start(&shape, record)?;
    let zone = ZONES[0].0;
    sleep(Duration::from_secs(2));
    let workers: Vec<_> = deployment.workers_of(zone).take(4).cloned().collect();
    let owner = deployment.leader(zone).ok_or("no owner")?;
    if trouble.restart {
        for worker in &workers {
            worker.crash();
        }
        sleep(Duration::from_millis(700));
    }
    deployment.store.wait_for_registry_read(&owner.name)?;
    sleep(Duration::from_millis(10));
    for worker in &workers {
        if trouble.restart {
            worker.start_again(CORES);
        }
        if trouble.cut {
            worker.cut_at_start();
        }
    }
    sleep(Duration::from_millis(100));
    let to = deployment
        .entries_of(zone)
        .next()
        .ok_or("no entry")?
        .callers;
    deployment.submit(to, 16, 6800, 900);
    sleep(Duration::from_secs(2));
    if trouble.cut {
        workers.iter().for_each(|worker| worker.heal());
    }
    sleep(Duration::from_secs(1));
    note_double_runs(record);
    Ok(())
}

/// Notes the tasks of which two runs were at work at the same time.
fn note_double_runs(record: &Record) {
    let now_ms = record.now_ms();
    let runs = record.runs.lock().unwrap().clone();
    let end_ms = |run: &RunRecord| run.ended.map_or(now_ms, |(ended_ms, _)| ended_ms);
    for (position, first) in runs.iter().enumerate() {
        for second in &runs[position + 1..] {
            let both_ms = end_ms(first)
                .min(end_ms(second))
                .saturating_sub(second.started_ms);
            if first.task == second.task && both_ms > 0 {
                record.note_break(format!(
                    "TWICE: run {} of {} on {} and run {} on {} were at work at the same time, \
                     for {both_ms} ms",
                    first.run_id, first.task, first.worker, second.run_id, second.worker
                ));
            }
        }
    }
}
