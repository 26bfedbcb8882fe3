//! Simulates a load of jobs on the engines of one failure domain in virtual time.
//!
//! Workers refuse tasks beyond their slots; the network is not modelled. Run
//! times are log-uniform between 50 ms and 1 s; one in 200 is uniform between 2
//! and 5 s.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use bytes::Bytes;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use trefoil_core::engine::*;
use trefoil_core::key::JobKey;
use trefoil_core::time::Now;
use trefoil_core::view::Member;

use super::{START_WALL_MS, config, declared};
use trefoil_schema::resources::TeamSpec;

const TICK_MS: u64 = 10;
/// Time until the engine learns of a worker's refusal or failure.
const REFUSAL_MS: u64 = 1;

/// Parameters of a simulation.
#[derive(Clone, Debug)]
pub struct Load {
    pub seed: u64,
    pub engine: EngineSettings,
    pub instances: usize,
    pub workers: usize,
    pub slots: u32,
    pub teams: usize,
    /// Share of the jobs that the first team submits in addition to its equal part.
    pub greedy_share: f64,
    /// Offered load as a share of the workers' capacity.
    pub offered: f64,
    /// Time during which jobs arrive, after `warm_up_ms` that is not measured.
    pub arrivals_ms: u64,
    pub warm_up_ms: u64,
    pub timeout_ms: u64,
    /// Run time in the service's declaration.
    pub declared_run_ms: u64,
    /// When the last instance is lost. Its tasks continue on the workers; its jobs
    /// are not measured.
    pub lost_at_ms: Option<u64>,
    /// Workers that take five times as long.
    pub slow_workers: usize,
    /// Workers that fail every task.
    pub failing_workers: usize,
    /// Failing workers refuse tasks instead, so that these can be retried.
    pub failing_workers_refuse: bool,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            seed: 1,
            engine: EngineSettings::default(),
            instances: 3,
            workers: 50,
            slots: 8,
            teams: 20,
            greedy_share: 0.0,
            offered: 0.8,
            arrivals_ms: 60_000,
            warm_up_ms: 5_000,
            timeout_ms: 30_000,
            declared_run_ms: 200,
            lost_at_ms: None,
            slow_workers: 0,
            failing_workers: 0,
            failing_workers_refuse: false,
        }
    }
}

/// Results of a simulation, without the jobs of the warm-up.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub submitted: u64,
    pub refused: u64,
    pub complete: u64,
    pub late: u64,
    pub failed: u64,
    /// Response times divided by the job's longest run time, sorted.
    pub slowdowns: Vec<f64>,
    /// Run time of the tasks of complete jobs.
    pub useful_ms: u64,
    /// Run time of the tasks of all submitted jobs.
    pub offered_ms: u64,
    pub starts: u64,
    /// Starts that a worker refused.
    pub wasted: u64,
    /// Messages between instances about slots.
    pub slot_messages: u64,
    /// Requests for slots that were answered without any.
    pub slot_refusals: u64,
    pub starts_by_worker: HashMap<String, u64>,
    /// Numbers of submitted and refused jobs by team.
    pub by_team: Vec<(u64, u64)>,
}

impl Outcome {
    pub fn mean(&self) -> f64 {
        self.slowdowns.iter().sum::<f64>() / self.slowdowns.len().max(1) as f64
    }

    pub fn quantile(&self, quantile: f64) -> f64 {
        let last = self.slowdowns.len().saturating_sub(1);
        self.slowdowns[(last as f64 * quantile).round() as usize]
    }

    /// Share of the admitted jobs that missed their deadline.
    pub fn late_share(&self) -> f64 {
        self.late as f64 / (self.submitted - self.refused).max(1) as f64
    }

    /// Run time of complete jobs as a share of the workers' capacity.
    pub fn goodput(&self, load: &Load) -> f64 {
        let slots = load.workers as f64 * f64::from(load.slots);
        self.useful_ms as f64 / (slots * load.arrivals_ms as f64)
    }

    pub fn wasted_per_task(&self) -> f64 {
        self.wasted as f64 / self.starts.max(1) as f64
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Finish {
        instance: usize,
        task: TaskId,
        worker: usize,
        end: TaskEnd,
    },
    Arrival,
    Tick,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum TaskEnd {
    Done,
    Failed,
    Refused,
}

struct RunningJob {
    instance: usize,
    submitted_ms: u64,
    run_ms: Vec<u64>,
    team: usize,
    measured: bool,
}

struct Simulation<'a> {
    load: &'a Load,
    rng: ChaCha8Rng,
    engines: Vec<Engine>,
    busy_slots: Vec<u32>,
    jobs: HashMap<WaiterId, RunningJob>,
    by_key: HashMap<String, WaiterId>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    outcome: Outcome,
}

/// Runs a simulation until all jobs have ended.
pub fn run(load: &Load) -> Outcome {
    let mut simulation = Simulation::new(load);
    simulation.push(0, Event::Arrival);
    simulation.push(0, Event::Tick);
    let end_ms = load.warm_up_ms + load.arrivals_ms;
    let drained_ms = end_ms + load.timeout_ms + 10_000;
    while let Some(Reverse((now_ms, _, event))) = simulation.events.pop() {
        match event {
            Event::Arrival if now_ms < end_ms => simulation.submit_job(now_ms),
            Event::Arrival => {}
            Event::Tick if now_ms < drained_ms => simulation.tick(now_ms),
            Event::Tick => {}
            Event::Finish {
                instance,
                task,
                worker,
                end,
            } => simulation.finish(now_ms, instance, task, worker, end),
        }
    }
    simulation.outcome.slowdowns.sort_by(f64::total_cmp);
    simulation.outcome
}

impl<'a> Simulation<'a> {
    fn new(load: &'a Load) -> Self {
        let names = instance_names(load.instances);
        let mut config = config(load.workers, load.slots);
        for service in config.services.values_mut() {
            service.spec.declared_run_ms = load.declared_run_ms;
        }
        for team in 0..load.teams {
            let name = format!("team-{team}");
            config
                .teams
                .insert(name.as_str().into(), declared(TeamSpec::default()));
        }
        let engines = names.iter().map(|me| {
            let engine = Engine::new(load.engine.clone());
            engine.set_admission_limit(u64::MAX);
            engine.set_domain_members(now(0), me, &names, &mut Vec::new());
            engine.set_config(now(0), &config, &mut Vec::new());
            engine
        });
        Self {
            load,
            rng: ChaCha8Rng::seed_from_u64(load.seed),
            engines: engines.collect(),
            busy_slots: vec![0; load.workers],
            jobs: HashMap::new(),
            by_key: HashMap::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            outcome: Outcome {
                by_team: vec![(0, 0); load.teams],
                ..Outcome::default()
            },
        }
    }

    fn push(&mut self, at_ms: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at_ms, self.sequence, event)));
    }

    fn submit_job(&mut self, now_ms: u64) {
        let tasks = self.draw_tasks();
        let run_ms: Vec<u64> = (0..tasks).map(|_| self.draw_run_ms()).collect();
        let random = self.rng.random();
        let key = JobKey::mint("local", now(now_ms).wall_ms, random);
        let lost = self.is_lost(now_ms, self.load.instances - 1);
        let serving = self.load.instances - usize::from(lost);
        let instance = self.rng.random_range(0..serving);
        let team = self.draw_team();
        let measured = now_ms >= self.load.warm_up_ms;
        self.sequence += 1;
        let waiter = WaiterId(self.sequence);
        if measured {
            self.outcome.submitted += 1;
            self.outcome.offered_ms += run_ms.iter().sum::<u64>();
        }
        self.by_key.insert(key.to_string(), waiter);
        let job = RunningJob {
            instance,
            submitted_ms: now_ms,
            run_ms,
            team,
            measured,
        };
        self.jobs.insert(waiter, job);
        let submission = Submission {
            team: format!("team-{team}").as_str().into(),
            ..super::submission(&key, tasks, self.load.timeout_ms)
        };
        self.call(now_ms, instance, |engine, now, out| {
            engine.submit(now, submission, waiter, true, out)
        });
        let slots = self.load.workers as f64 * f64::from(self.load.slots);
        let jobs_per_ms = self.load.offered * slots / (MEAN_TASKS * mean_run_ms());
        let gap_ms = -self.rng.random::<f64>().max(1e-12).ln() / jobs_per_ms;
        self.push(now_ms + gap_ms.round() as u64, Event::Arrival);
    }

    fn draw_team(&mut self) -> usize {
        match self.rng.random_bool(self.load.greedy_share) {
            true => 0,
            false => self.rng.random_range(0..self.load.teams),
        }
    }

    /// 50% of the jobs have 1 to 4 tasks, 40% have 5 to 40, 10% have 50 to 200.
    fn draw_tasks(&mut self) -> usize {
        match self.rng.random_range(0..10) {
            0..5 => self.rng.random_range(1..=4),
            5..9 => self.rng.random_range(5..=40),
            _ => self.rng.random_range(50..=200),
        }
    }

    fn draw_run_ms(&mut self) -> u64 {
        if self.rng.random_range(0..200) == 0 {
            return self.rng.random_range(2000..=5000);
        }
        (50.0 * 20_f64.powf(self.rng.random::<f64>())) as u64
    }

    /// Removes the last instance; the others divide its slots.
    fn lose_last_instance(&mut self, now_ms: u64) {
        let names = instance_names(self.load.instances - 1);
        for (instance, me) in names.iter().enumerate() {
            self.call(now_ms, instance, |engine, now, out| {
                engine.set_domain_members(now, me, &names, out)
            });
        }
        let lost = self.load.instances - 1;
        let of_lost = self.jobs.values_mut().filter(|job| job.instance == lost);
        for job in of_lost.filter(|job| job.measured) {
            job.measured = false;
            self.outcome.submitted -= 1;
        }
    }

    fn is_lost(&self, now_ms: u64, instance: usize) -> bool {
        let lost = self.load.lost_at_ms.is_some_and(|at_ms| now_ms >= at_ms);
        lost && instance + 1 == self.load.instances
    }

    fn tick(&mut self, now_ms: u64) {
        if self.load.lost_at_ms == Some(now_ms) {
            self.lose_last_instance(now_ms);
        }
        for instance in 0..self.load.instances {
            self.call(now_ms, instance, |engine, now, out| engine.tick(now, out));
            self.balance(now_ms, instance);
        }
        self.push(now_ms + TICK_MS, Event::Tick);
    }

    /// Delivers an instance's messages about slots without delay.
    fn balance(&mut self, now_ms: u64, instance: usize) {
        let mut messages = Vec::new();
        self.call(now_ms, instance, |engine, now, out| {
            messages = engine.balance_slots(now, out);
        });
        let me = Member::new(&format!("i{instance}"), 1);
        for SlotMessage { to, service, body } in messages {
            self.outcome.slot_messages += 1;
            let lender = Member::new(to.name(), 1);
            let peer: usize = to.name()[1..].parse().expect("is a number");
            match body {
                SlotMessageBody::Request(slots) => {
                    self.outcome.slot_messages += 1;
                    let lent = self.engines[peer].lend_slots(now(now_ms), &me, &service, slots);
                    self.outcome.slot_refusals += u64::from(lent.is_empty());
                    let loan_ms = self.load.engine.placement.loan_ms;
                    self.call(now_ms, instance, |engine, now, out| {
                        engine.borrow_slots(now, &lender, &service, &lent, loan_ms, out);
                    });
                }
                SlotMessageBody::Return(returned) => {
                    self.call(now_ms, peer, |engine, now, out| {
                        engine.reclaim_slots(now, &me, &service, &returned, out);
                    });
                }
            }
        }
    }

    fn finish(&mut self, now_ms: u64, instance: usize, task: TaskId, worker: usize, end: TaskEnd) {
        if end != TaskEnd::Refused {
            self.busy_slots[worker] -= 1;
        }
        let outcome = match end {
            TaskEnd::Done => TaskOutcome::Done(Bytes::new()),
            TaskEnd::Failed => TaskOutcome::Failed("500".to_owned()),
            TaskEnd::Refused => TaskOutcome::NotRun("503".to_owned()),
        };
        self.call(now_ms, instance, |engine, now, out| {
            engine.task_finished(now, task, outcome, out)
        });
    }

    fn call(
        &mut self,
        now_ms: u64,
        instance: usize,
        call: impl FnOnce(&Engine, Now, &mut Vec<Command>),
    ) {
        if self.is_lost(now_ms, instance) {
            return;
        }
        let mut out = Vec::new();
        call(&self.engines[instance], now(now_ms), &mut out);
        for command in out {
            match command {
                Command::StartTask {
                    task,
                    key,
                    index,
                    address,
                    ..
                } => self.start(now_ms, instance, task, &key, index, &address),
                Command::Answer { waiter, answer } => self.record_answer(now_ms, waiter, &answer),
            }
        }
    }

    fn start(
        &mut self,
        now_ms: u64,
        instance: usize,
        task: TaskId,
        key: &JobKey,
        index: u32,
        address: &str,
    ) {
        let worker = worker_number(address);
        self.outcome.starts += 1;
        let starts = &mut self.outcome.starts_by_worker;
        *starts.entry(address.to_owned()).or_default() += 1;
        let (end, ms) = self.run_task(worker, key, index);
        match end {
            TaskEnd::Refused => self.outcome.wasted += 1,
            TaskEnd::Done | TaskEnd::Failed => self.busy_slots[worker] += 1,
        }
        let finish = Event::Finish {
            instance,
            task,
            worker,
            end,
        };
        self.push(now_ms + ms, finish);
    }

    /// Failing workers are the first ones, slow workers the last.
    fn run_task(&self, worker: usize, key: &JobKey, index: u32) -> (TaskEnd, u64) {
        if worker < self.load.failing_workers {
            return match self.load.failing_workers_refuse {
                true => (TaskEnd::Refused, REFUSAL_MS),
                false => (TaskEnd::Failed, REFUSAL_MS),
            };
        }
        if self.busy_slots[worker] >= self.load.slots {
            return (TaskEnd::Refused, REFUSAL_MS);
        }
        let job = self.by_key.get(key.as_str());
        let job = job.and_then(|waiter| self.jobs.get(waiter));
        let run_ms = job.map_or(1, |job| job.run_ms[index as usize]);
        let slow = worker + self.load.slow_workers >= self.load.workers;
        (TaskEnd::Done, if slow { 5 * run_ms } else { run_ms })
    }

    fn record_answer(&mut self, now_ms: u64, waiter: WaiterId, answer: &JobAnswer) {
        let job = self.jobs.remove(&waiter).expect("answered once");
        if !job.measured {
            return;
        }
        let outcome = &mut self.outcome;
        outcome.by_team[job.team].0 += 1;
        match answer {
            JobAnswer::Refused(_) => {
                outcome.refused += 1;
                outcome.by_team[job.team].1 += 1;
            }
            JobAnswer::Known {
                state: JobState::Complete,
                ..
            } => {
                let ideal_ms = *job.run_ms.iter().max().expect("has tasks");
                let response_ms = now_ms - job.submitted_ms;
                outcome.complete += 1;
                outcome.slowdowns.push(response_ms as f64 / ideal_ms as f64);
                let useful_ms: u64 = job.run_ms.iter().sum();
                outcome.useful_ms += useful_ms;
            }
            JobAnswer::Known {
                reason: "deadline", ..
            } => outcome.late += 1,
            JobAnswer::Known { .. } => outcome.failed += 1,
        }
    }
}

/// Mean of [`Domain::draw_tasks`].
const MEAN_TASKS: f64 = 0.5 * 2.5 + 0.4 * 22.5 + 0.1 * 125.0;

/// Mean of [`Domain::draw_run_ms`].
fn mean_run_ms() -> f64 {
    let short_ms = (1000.0 - 50.0) / 20_f64.ln();
    0.995 * short_ms + 0.005 * 3500.0
}

fn instance_names(instances: usize) -> Vec<String> {
    (0..instances).map(|number| format!("i{number}")).collect()
}

fn worker_number(address: &str) -> usize {
    let host = address.split(':').next().expect("has a host");
    let number = host.rsplit('.').next().expect("has four parts");
    number.parse().expect("is a number")
}

fn now(ms: u64) -> Now {
    Now {
        mono_ms: ms,
        wall_ms: START_WALL_MS + ms,
    }
}
