//! Cases of the third review: `review-case CASE RECORD`.
//!
//! Exits with 1 if a rule was broken, 0 if it held, and 2 if the case could not run. With
//! `TROUBLE=0` in the environment, the disruption is left out.

mod deployment;
mod http;
mod record;
mod store;
mod worker;

use std::collections::HashSet;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

use deployment::{Deployment, Shape};
use record::Record;

const ZONES: &[(&str, usize, usize)] = &[
    ("half-way-tree", 3, 16),
    ("new-kingston", 3, 16),
    ("portmore", 2, 16),
];

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        return ExitCode::from(2);
    };
    let Ok(record) = Record::new(Path::new(path)) else {
        return ExitCode::from(2);
    };
    let record = Arc::new(record);
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let result = match case.as_str() {
        "drain" => drain(&record, trouble),
        "limit-reborn" => limit_reborn(&record, trouble),
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

/// Workers drain while their pool's owner is cut off from the store, and then it is killed.
fn drain(record: &Arc<Record>, trouble: bool) -> Result<(), String> {
    const DRAIN_MS: u64 = 2000;
    let shape = Shape {
        zones: ZONES,
        cores: 16,
        tells_born: false,
    };
    let deployment = Deployment::start(&shape, record)?;
    let zone = ZONES[0].0;
    for (zone, _, _) in ZONES {
        deployment.start_load(zone, 8, 8, 6800, 60);
        deployment.start_load(zone, 20, 2, 6800, 200);
    }
    sleep(Duration::from_secs(5));
    let owner = deployment.leader(zone).ok_or("no owner")?;
    let name = owner.name.clone();
    record.note(&format!("{name} owns the pool"));
    let workers: Vec<_> = deployment.workers_of(zone).take(4).cloned().collect();
    if trouble {
        owner.gate.set_cut(true);
        record.note(&format!("{name} is cut off from the store"));
    }
    sleep(Duration::from_millis(300));
    for worker in &workers {
        worker.drain(Duration::from_millis(DRAIN_MS + 6000));
    }
    sleep(Duration::from_millis(DRAIN_MS + 100));
    let killed_ms = record.now_ms();
    if trouble {
        owner.kill();
        record.note(&format!("{name} is killed"));
    }
    sleep(Duration::from_millis(2800));
    if trouble {
        owner.gate.set_cut(false);
        record.note("the path to the store is whole again");
        deployment.restart(owner);
        record.note(&format!("{name} is started again"));
    }
    sleep(Duration::from_secs(4));
    deployment.stop_load();
    for entry in &deployment.entries {
        for line in entry.log_lines("ownership acquired") {
            record.note(&format!("log of {}: {line}", entry.name));
        }
    }
    for worker in &workers {
        let draining_ms = *worker.draining_ms.get().ok_or("not draining")?;
        for (started_ms, task) in worker.starts.lock().unwrap().iter() {
            // Until its end, the owner that was cut off may have sent it.
            let is_excused = trouble && *started_ms <= killed_ms + 50;
            if *started_ms > draining_ms + DRAIN_MS && !is_excused {
                record.note_break(format!(
                    "DRAIN: {task} was started on {} {} ms after the store accepted that it drains",
                    worker.id,
                    started_ms - draining_ms
                ));
            }
        }
    }
    record.note(&format!(
        "{} jobs served",
        deployment.served.load(std::sync::atomic::Ordering::SeqCst)
    ));
    Ok(())
}

/// Idle workers start again under their ids, with less capacity.
fn limit_reborn(record: &Arc<Record>, trouble: bool) -> Result<(), String> {
    const CORES: u64 = 24;
    const FEWER_CORES: u64 = 16;
    let shape = Shape {
        zones: ZONES,
        cores: CORES,
        tells_born: true,
    };
    let deployment = Deployment::start(&shape, record)?;
    let zone = ZONES[0].0;
    sleep(Duration::from_secs(2));
    let workers: Vec<_> = deployment.workers_of(zone).take(4).cloned().collect();
    let is_idle = workers.iter().all(|worker| worker.run_count() == 0);
    record.note(&format!("the workers are idle: {is_idle}"));
    if trouble {
        for worker in &workers {
            worker.crash();
        }
        sleep(Duration::from_millis(700));
        for worker in &workers {
            worker.start_again(FEWER_CORES);
        }
    }
    sleep(Duration::from_millis(100));
    let to = deployment
        .entries_of(zone)
        .next()
        .ok_or("no entry")?
        .callers;
    deployment.submit(to, 32, 8000, 300);
    sleep(Duration::from_secs(2));
    let mut over = HashSet::new();
    let runs = record.runs.lock().unwrap().clone();
    for run in &runs {
        let cores = match run.life {
            1 => CORES,
            _ => FEWER_CORES,
        };
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
    Ok(())
}

/// Idle workers start again under their ids, and are cut off as they start tasks.
fn twice_reborn(record: &Arc<Record>, trouble: bool) -> Result<(), String> {
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
    if trouble {
        for worker in &workers {
            worker.crash();
        }
        sleep(Duration::from_millis(700));
        deployment.store.wait_for_registry_read(&owner.name);
        sleep(Duration::from_millis(10));
        for worker in &workers {
            worker.start_again(CORES);
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
    for worker in &workers {
        worker.set_cut(false);
    }
    sleep(Duration::from_secs(1));
    note_double_runs(record);
    Ok(())
}

/// Notes the tasks of which two runs were at work at the same time.
fn note_double_runs(record: &Record) {
    let now_ms = record.now_ms();
    let runs = record.runs.lock().unwrap().clone();
    let end_ms = |run: &record::RunRecord| run.ended.map_or(now_ms, |(ended_ms, _)| ended_ms);
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
