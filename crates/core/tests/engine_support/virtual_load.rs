//! A load of jobs on the engines of one failure domain, in virtual time.
//!
//! Workers refuse what exceeds their slots; nothing else of a network is
//! modelled. Run times lie between 50 ms and 1 s, evenly over their logarithm,
//! and one in 200 between 2 and 5 s.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use bytes::Bytes;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use trefoil_core::engine::*;
use trefoil_core::key::JobKey;
use trefoil_core::time::Now;

use super::{START_WALL_MS, config, declared};
use trefoil_schema::resources::TeamSpec;

/// Period of ticks.
const TICK_MS: u64 = 10;
/// Time after which a worker's refusal or failure is known.
const REFUSAL_MS: u64 = 1;

/// What the load is like.
#[derive(Clone, Debug)]
pub struct Load {
    pub seed: u64,
    pub engine: EngineSettings,
    pub instances: usize,
    pub workers: usize,
    pub slots: u32,
    pub teams: usize,
    /// Share of the jobs that the first team submits beyond its own.
    pub greedy_share: f64,
    /// Work offered, as a share of what the workers can do.
    pub offered: f64,
    /// Time during which jobs arrive, after `warm_up_ms` that does not count.
    pub arrivals_ms: u64,
    pub warm_up_ms: u64,
    pub timeout_ms: u64,
    /// Run time that the service's declaration claims.
    pub declared_run_ms: u64,
    /// When the last instance is lost; its tasks run on, its jobs do not count.
    pub lost_at_ms: Option<u64>,
    /// Workers that take five times as long.
    pub slow_workers: usize,
    /// Workers that fail whatever they start.
    pub failing_workers: usize,
    /// Every failing worker refuses instead, so that its tasks can go on.
    pub failing_refuse: bool,
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
            failing_refuse: false,
        }
    }
}

/// What came of a load; jobs of the warm-up do not count.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub submitted: u64,
    pub refused: u64,
    pub complete: u64,
    pub late: u64,
    pub failed: u64,
    /// Response time over the job's longest run time, sorted.
    pub slowdowns: Vec<f64>,
    /// Slot time of complete jobs, in milliseconds.
    pub useful_ms: u64,
    /// Slot time of all jobs submitted.
    pub offered_ms: u64,
    pub starts: u64,
    /// Starts that a worker refused.
    pub wasted: u64,
    /// Messages between instances about slots.
    pub slot_messages: u64,
    /// Asked for slots in vain.
    pub slot_refusals: u64,
    pub starts_by_worker: HashMap<String, u64>,
    /// Jobs submitted and refused, by team.
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

    /// Jobs past their deadline, of those admitted.
    pub fn late_share(&self) -> f64 {
        self.late as f64 / (self.submitted - self.refused).max(1) as f64
    }

    /// Slot time spent on complete jobs, of what all slots offer.
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
        ends: End,
    },
    Arrival,
    Tick,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum End {
    Done,
    Failed,
    Refused,
}

struct RunningJob {
    instance: usize,
    submitted_ms: u64,
    run_ms: Vec<u64>,
    team: usize,
    counted: bool,
}

/// The failure domain under load.
struct Domain<'a> {
    load: &'a Load,
    rng: ChaCha8Rng,
    engines: Vec<Engine>,
    busy: Vec<u32>,
    jobs: HashMap<WaiterId, RunningJob>,
    by_key: HashMap<String, WaiterId>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    outcome: Outcome,
}

/// Runs a load to its end.
pub fn run(load: &Load) -> Outcome {
    let mut domain = Domain::new(load);
    domain.push(0, Event::Arrival);
    domain.push(0, Event::Tick);
    let end_ms = load.warm_up_ms + load.arrivals_ms;
    let drained_ms = end_ms + load.timeout_ms + 10_000;
    while let Some(Reverse((now_ms, _, event))) = domain.events.pop() {
        match event {
            Event::Arrival if now_ms < end_ms => domain.arrive(now_ms),
            Event::Arrival => {}
            Event::Tick if now_ms < drained_ms => domain.tick(now_ms),
            Event::Tick => {}
            Event::Finish {
                instance,
                task,
                worker,
                ends,
            } => domain.finish(now_ms, instance, task, worker, ends),
        }
    }
    domain.outcome.slowdowns.sort_by(f64::total_cmp);
    domain.outcome
}

impl<'a> Domain<'a> {
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
            busy: vec![0; load.workers],
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

    fn arrive(&mut self, now_ms: u64) {
        let tasks = self.draw_tasks();
        let run_ms: Vec<u64> = (0..tasks).map(|_| self.draw_run_ms()).collect();
        let random = self.rng.random();
        let key = JobKey::mint("local", now(now_ms).wall_ms, random);
        let lost = self.is_lost(now_ms, self.load.instances - 1);
        let serving = self.load.instances - usize::from(lost);
        let instance = self.rng.random_range(0..serving);
        let team = self.draw_team();
        let counted = now_ms >= self.load.warm_up_ms;
        self.sequence += 1;
        let waiter = WaiterId(self.sequence);
        if counted {
            self.outcome.submitted += 1;
            self.outcome.offered_ms += run_ms.iter().sum::<u64>();
        }
        self.by_key.insert(key.to_string(), waiter);
        let job = RunningJob {
            instance,
            submitted_ms: now_ms,
            run_ms,
            team,
            counted,
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

    /// Half the jobs have 1 to 4 tasks, four in ten 5 to 40, the rest 50 to 200.
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

    /// The last instance is lost: the others divide its slots.
    fn lose(&mut self, now_ms: u64) {
        let names = instance_names(self.load.instances - 1);
        for (instance, me) in names.iter().enumerate() {
            self.call(now_ms, instance, |engine, now, out| {
                engine.set_domain_members(now, me, &names, out)
            });
        }
        let lost = self.load.instances - 1;
        let of_lost = self.jobs.values_mut().filter(|job| job.instance == lost);
        for job in of_lost.filter(|job| job.counted) {
            job.counted = false;
            self.outcome.submitted -= 1;
        }
    }

    fn is_lost(&self, now_ms: u64, instance: usize) -> bool {
        let lost = self.load.lost_at_ms.is_some_and(|at_ms| now_ms >= at_ms);
        lost && instance + 1 == self.load.instances
    }

    fn tick(&mut self, now_ms: u64) {
        if self.load.lost_at_ms == Some(now_ms) {
            self.lose(now_ms);
        }
        for instance in 0..self.load.instances {
            self.call(now_ms, instance, |engine, now, out| engine.tick(now, out));
            self.balance(now_ms, instance);
        }
        self.push(now_ms + TICK_MS, Event::Tick);
    }

    /// Delivers an instance's messages about slots at once.
    fn balance(&mut self, now_ms: u64, instance: usize) {
        let mut messages = Vec::new();
        self.call(now_ms, instance, |engine, now, out| {
            messages = engine.balance_slots(now, out);
        });
        let me = format!("i{instance}");
        for SlotMessage { to, service, body } in messages {
            self.outcome.slot_messages += 1;
            let peer: usize = to[1..].parse().expect("is a number");
            match body {
                SlotMessageBody::Request(slots) => {
                    self.outcome.slot_messages += 1;
                    let lent = self.engines[peer].lend_slots(now(now_ms), &me, &service, slots);
                    self.outcome.slot_refusals += u64::from(lent.is_empty());
                    let loan_ms = self.load.engine.placement.loan_ms;
                    self.call(now_ms, instance, |engine, now, out| {
                        engine.borrow_slots(now, &to, &service, &lent, loan_ms, out);
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

    fn finish(&mut self, now_ms: u64, instance: usize, task: TaskId, worker: usize, ends: End) {
        if ends != End::Refused {
            self.busy[worker] -= 1;
        }
        let outcome = match ends {
            End::Done => TaskOutcome::Done(Bytes::new()),
            End::Failed => TaskOutcome::Failed("500".to_owned()),
            End::Refused => TaskOutcome::NotRun("503".to_owned()),
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
                Command::Answer { waiter, answer } => self.answered(now_ms, waiter, &answer),
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
        let (ends, ms) = self.run_task(worker, key, index);
        match ends {
            End::Refused => self.outcome.wasted += 1,
            End::Done | End::Failed => self.busy[worker] += 1,
        }
        let finish = Event::Finish {
            instance,
            task,
            worker,
            ends,
        };
        self.push(now_ms + ms, finish);
    }

    /// Failing workers are the first ones, slow workers the last.
    fn run_task(&self, worker: usize, key: &JobKey, index: u32) -> (End, u64) {
        if worker < self.load.failing_workers {
            return match self.load.failing_refuse {
                true => (End::Refused, REFUSAL_MS),
                false => (End::Failed, REFUSAL_MS),
            };
        }
        if self.busy[worker] >= self.load.slots {
            return (End::Refused, REFUSAL_MS);
        }
        let job = self.by_key.get(key.as_str());
        let job = job.and_then(|waiter| self.jobs.get(waiter));
        let run_ms = job.map_or(1, |job| job.run_ms[index as usize]);
        let slow = worker + self.load.slow_workers >= self.load.workers;
        (End::Done, if slow { 5 * run_ms } else { run_ms })
    }

    fn answered(&mut self, now_ms: u64, waiter: WaiterId, answer: &JobAnswer) {
        let job = self.jobs.remove(&waiter).expect("answered once");
        if !job.counted {
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
