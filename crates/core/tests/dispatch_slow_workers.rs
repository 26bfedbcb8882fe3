//! Slow workers: the test statistic, and what the owner does about a suspected worker.

mod dispatch_support;

use std::collections::BTreeSet;

use dispatch_support::orders::{
    LINK, Order, answer_renewal, answer_start, answer_stop, completion, fenced_owner, renewed,
};
use dispatch_support::{SimWorker, holder, job, owner_after, renewals, starts, stops};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use trefoil_core::dispatch::order::{OrderOutcome, RenewOrder, RunOutcome, StartOrder, StopOrder};
use trefoil_core::dispatch::owner::{
    Command, Owner, RunTimeModel, STALL_FACTOR, SUSPICION_THRESHOLD, shared_estimate_bound,
};
use trefoil_schema::dispatch::{Load, Outcome};

const TICK_MS: u64 = 25;
/// Answer time of a worker.
const ANSWER_MS: u64 = 2;
/// Longest time that a worker delays the answer to a renewal.
const RENEW_WAIT_MS: u64 = 10;
/// Duration of a task on a worker that is not slow.
const TASK_MS: u64 = 100;
const SLOW_TASK_MS: u64 = 6 * TASK_MS;
/// Interval between jobs of two tasks; half of the capacity of five workers.
const JOB_INTERVAL_MS: u64 = 40;
/// Tasks of the tail, and number of jobs of them.
const TAIL_TASK_MS: u64 = 7 * TASK_MS;
const TAIL_JOBS: usize = 1;
const WORKERS: [&str; 5] = ["w1", "w2", "w3", "w4", "w5"];

/// Guards against a test that a single run of the tail decides.
#[test]
fn one_run_is_never_enough_for_a_suspicion() {
    let model = RunTimeModel::default();
    for ratio in [1.0, 3.0, 7.0, 14.0, 100.0, f64::INFINITY] {
        assert!(model.running_evidence(ratio) < SUSPICION_THRESHOLD / 2.0);
        assert!(model.completed_evidence(ratio) < SUSPICION_THRESHOLD / 2.0);
    }
    let without_tail = RunTimeModel::with_tail_share(0.0);
    assert!(without_tail.running_evidence(1e9) < SUSPICION_THRESHOLD);
    assert!(without_tail.running_evidence(f64::NAN).abs() < 0.001);
}

#[test]
fn a_run_in_progress_is_no_evidence_until_it_is_overdue() {
    let model = RunTimeModel::default();
    assert!(model.running_evidence(0.0) < 0.001);
    assert!(model.running_evidence(1.0) < 1.0);
    assert!(model.running_evidence(3.0) > 2.5);
    assert!(model.completed_evidence(1.0) < -2.0);
    assert!(model.completed_evidence(6.0) > 2.0);
}

/// Guards against taking an estimate that is wrong for a whole job for slowness.
#[test]
fn runs_of_one_job_count_for_less_than_the_error_of_its_estimate() {
    assert!(shared_estimate_bound(2.0) < SUSPICION_THRESHOLD / 2.0);
    assert!(shared_estimate_bound(4.0) > 7.0);
}

/// Guards against stopping runs of the tail, which take 7 times as long on any worker.
#[test]
fn two_in_a_thousand_runs_take_longer_than_the_stall_timeout() {
    let model = RunTimeModel::default();
    assert!((0.001..0.002).contains(&model.survival(STALL_FACTOR, 1.0)));
}

/// Guards against a threshold that stands for another rate of false suspicions than stated.
#[test]
fn regular_runs_reach_the_threshold_at_most_once_in_the_stated_number() {
    const RUNS: u32 = 600_000;
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let model = RunTimeModel::default();
    let (mut score, mut alarms) = (0.0_f64, 0);
    for _ in 0..RUNS {
        // Sum of 12 uniform variables: a normal variable of variance 1.
        let normal = (0..12).map(|_| random.random::<f64>()).sum::<f64>() - 6.0;
        let tail = if random.random::<f64>() < 0.03 {
            7.0
        } else {
            1.0
        };
        let ratio = (0.4 * normal).exp() * tail;
        score = (score + model.completed_evidence(ratio)).max(0.0);
        if score >= SUSPICION_THRESHOLD {
            alarms += 1;
            score = 0.0;
        }
    }
    let allowed = f64::from(RUNS) / SUSPICION_THRESHOLD.exp();
    assert!(f64::from(alarms) <= allowed, "{alarms} of {allowed:.0}");
}

/// An owner and its simulated workers in virtual time, under a steady load.
struct Pool {
    owner: Owner,
    workers: Vec<SimWorker>,
    orders: Vec<(u64, Order)>,
    started: Vec<(u64, StartOrder)>,
    stopped: Vec<(u64, StopOrder)>,
    ended: Vec<(String, Outcome)>,
    /// Whether stops are neither carried out nor answered.
    stops_lost: bool,
    delegated: BTreeSet<String>,
    delegates: bool,
    now_ms: u64,
}

impl Pool {
    fn new() -> Self {
        Self {
            owner: fenced_owner(1, &WORKERS),
            workers: WORKERS
                .iter()
                .map(|id| SimWorker::new(id, 50_000, TASK_MS))
                .collect(),
            orders: Vec::new(),
            started: Vec::new(),
            stopped: Vec::new(),
            ended: Vec::new(),
            stops_lost: false,
            delegated: BTreeSet::new(),
            delegates: true,
            now_ms: 10,
        }
    }

    /// A pool whose class is heavy-tailed, and whose first workers have become slow. Runs of
    /// other classes are stopped as stalled before their worker is suspected.
    fn with_slow_workers(slow: usize) -> Self {
        let mut pool = Self::new();
        pool.run_until(1000);
        pool.delegates = false;
        for number in 0..TAIL_JOBS {
            pool.run_until(pool.now_ms + 1000);
            pool.set_task_ms(WORKERS.len(), TAIL_TASK_MS);
            pool.delegate(&format!("tail{number}"), 0);
            pool.run_until(pool.now_ms + 3000);
            pool.set_task_ms(WORKERS.len(), TASK_MS);
        }
        pool.delegates = true;
        pool.run_until(pool.now_ms + 1500);
        assert_eq!(pool.owner.stats().suspicions, 0);
        pool.set_task_ms(slow, SLOW_TASK_MS);
        pool
    }

    fn set_task_ms(&mut self, workers: usize, task_ms: u64) {
        let workers = self.workers.iter_mut().take(workers);
        workers.for_each(|worker| worker.task_ms = task_ms);
    }

    fn take(&mut self, commands: Vec<Command>) {
        for start in starts(&commands) {
            self.started.push((self.now_ms, start.clone()));
            let at_ms = self.now_ms + ANSWER_MS;
            self.orders.push((at_ms, Order::Start(start)));
        }
        for stop in stops(&commands) {
            self.stopped.push((self.now_ms, stop.clone()));
            let wait_ms = match self.stops_lost {
                true => stop.answer_timeout_ms,
                false => ANSWER_MS,
            };
            self.orders.push((self.now_ms + wait_ms, Order::Stop(stop)));
        }
        for renewal in renewals(&commands) {
            let at_ms = self.now_ms + ANSWER_MS + renewal.wait_ms.min(RENEW_WAIT_MS);
            self.orders.push((at_ms, Order::Renew(renewal)));
        }
        for command in commands {
            if let Command::JobEnded { result, .. } = command {
                self.ended.push((result.job_id, result.outcome));
            }
        }
    }

    fn answer(&mut self, order: Order) -> Vec<Command> {
        let now_ms = self.now_ms;
        let id = order.worker_id().clone();
        let worker = self.workers.iter_mut().find(|it| it.record.id == id);
        let Some(worker) = worker else {
            return Vec::new();
        };
        match order {
            Order::Start(start) => {
                let outcome = worker.start(now_ms, &start);
                answer_start(&mut self.owner, now_ms, &start, outcome)
            }
            Order::Stop(stop) => {
                let outcome = match self.stops_lost {
                    true => OrderOutcome::NoAnswer,
                    false => worker.stop(now_ms, &stop),
                };
                answer_stop(&mut self.owner, now_ms, &stop, outcome)
            }
            Order::Renew(renewal) => {
                let outcome = worker.renew(now_ms, &renewal);
                answer_renewal(&mut self.owner, now_ms, &renewal, outcome)
            }
        }
    }

    fn delegate(&mut self, id: &str, unsafe_for_ms: u64) {
        let mut out = Vec::new();
        let holder = holder(1);
        let spec = job(id, 2, TASK_MS);
        let unsafe_holder = Some(&holder);
        self.delegated.insert(id.to_owned());
        self.owner.delegate(
            self.now_ms,
            LINK,
            spec,
            unsafe_for_ms,
            unsafe_holder,
            &mut out,
        );
        self.take(out);
    }

    fn run_until(&mut self, end_ms: u64) {
        while self.now_ms < end_ms {
            self.now_ms += 1;
            let now_ms = self.now_ms;
            if self.delegates && now_ms.is_multiple_of(JOB_INTERVAL_MS) {
                self.delegate(&format!("job{now_ms}"), 0);
            }
            let due: Vec<(u64, Order)> = self
                .orders
                .extract_if(.., |(at_ms, _)| *at_ms <= now_ms)
                .collect();
            for (_, order) in due {
                let out = self.answer(order);
                self.take(out);
            }
            if now_ms.is_multiple_of(TICK_MS) {
                let mut out = Vec::new();
                self.owner.tick(now_ms, &mut out);
                self.take(out);
            }
            self.assert_single_runs();
        }
    }

    /// Runs until a run of a slow worker is stopped.
    fn run_until_restart(&mut self) {
        let end_ms = self.now_ms + 3000;
        while self.owner.stats().slow_run_restarts == 0 {
            assert!(self.now_ms < end_ms, "no run was restarted");
            self.run_until(self.now_ms + 1);
        }
    }

    fn assert_single_runs(&mut self) {
        let now_ms = self.now_ms;
        self.workers
            .iter_mut()
            .for_each(|worker| worker.advance(now_ms));
        let mut tasks = BTreeSet::new();
        for run in self.workers.iter().flat_map(|worker| &worker.runs) {
            assert!(tasks.insert(run.task.clone()), "{} runs twice", run.task);
        }
    }

    /// Ends the load and checks that every job has completed.
    fn assert_all_complete(mut self) {
        self.delegates = false;
        self.run_until(self.now_ms + 5000);
        let completed = self
            .ended
            .iter()
            .filter(|(_, outcome)| *outcome == Outcome::Completed);
        let completed: BTreeSet<String> = completed.map(|(id, _)| id.clone()).collect();
        assert_eq!(completed, self.delegated);
    }

    fn starts_on(&self, id: &str, from_ms: u64) -> usize {
        let starts = self.started.iter().filter(|(at_ms, _)| *at_ms >= from_ms);
        starts
            .filter(|(_, start)| *start.target.worker_id == *id)
            .count()
    }

    fn observe_peer(&mut self, slow_workers: u32) {
        let load = Load {
            capacity_millicores: 10_000,
            slow_workers,
            ..Load::default()
        };
        self.owner.observe_pool_load(self.now_ms, "forde/1", &load);
    }
}

#[test]
fn a_slow_worker_gets_probes_only_and_its_runs_are_restarted() {
    let mut pool = Pool::with_slow_workers(1);
    pool.run_until_restart();
    assert_eq!(pool.owner.stats().suspected_workers, 1);
    assert!(pool.owner.load(pool.now_ms).slow_workers == 1);
    let from_ms = pool.now_ms;
    pool.run_until(from_ms + 4000);
    let probes = pool.starts_on("w1", from_ms);
    assert!((1..=6).contains(&probes), "{probes} probes in 4 s");
    pool.assert_all_complete();
}

/// Guards against a worker that stays unused, or is taken for slow, after it has recovered:
/// the fastest worker is the first choice again.
#[test]
fn a_worker_that_has_recovered_gets_tasks_again_and_keeps_its_lasting_speed() {
    const FAST_TASK_MS: u64 = TASK_MS / 2;
    let mut pool = Pool::new();
    pool.set_task_ms(1, FAST_TASK_MS);
    pool.run_until(2000);
    let before = pool.starts_on("w1", 1000);
    assert!(before > 20, "{before} of 50 tasks on the fastest worker");
    pool.set_task_ms(1, 6 * FAST_TASK_MS);
    pool.run_until_restart();
    pool.run_until(pool.now_ms + 1000);
    pool.set_task_ms(1, FAST_TASK_MS);
    pool.run_until(pool.now_ms + 2000);
    assert_eq!(pool.owner.stats().suspected_workers, 0);
    let from_ms = pool.now_ms;
    pool.run_until(from_ms + 1000);
    let after = pool.starts_on("w1", from_ms);
    assert!(after + 5 > before, "{before} before, {after} after");
    assert_eq!(pool.owner.stats().suspicions, 1);
    pool.assert_all_complete();
}

/// Guards against a second run while the end of the first one is unknown.
#[test]
fn a_run_is_not_restarted_while_stops_are_lost() {
    let mut pool = Pool::with_slow_workers(1);
    pool.stops_lost = true;
    pool.run_until_restart();
    let (stopped_ms, stop) = pool.stopped.last().expect("a run was stopped").clone();
    pool.run_until(stopped_ms + 200);
    let restarted = |pool: &Pool| {
        let mut starts = pool.started.iter();
        starts.any(|(at_ms, start)| *at_ms >= stopped_ms && start.task == stop.task)
    };
    assert!(!restarted(&pool));
    pool.stops_lost = false;
    pool.assert_all_complete();
}

#[test]
fn an_owner_that_takes_over_during_a_restart_runs_no_task_twice() {
    let mut pool = Pool::with_slow_workers(1);
    pool.run_until_restart();
    let ended: BTreeSet<String> = pool.ended.iter().map(|(id, _)| id.clone()).collect();
    let open: Vec<String> = pool.delegated.difference(&ended).cloned().collect();
    assert!(!open.is_empty());
    pool.owner = owner_after(2, &WORKERS);
    let records = pool.workers.iter().map(|worker| worker.record.clone());
    let mut out = Vec::new();
    let records = records.collect();
    pool.owner.set_workers(pool.now_ms, records, &mut out);
    pool.take(out);
    for id in open {
        pool.delegate(&id, 600);
    }
    pool.run_until(pool.now_ms + 2000);
    pool.assert_all_complete();
}

#[test]
fn a_new_incarnation_of_a_suspected_worker_is_not_suspected() {
    let mut pool = Pool::with_slow_workers(1);
    pool.run_until_restart();
    pool.workers[0] = SimWorker::new("w1-restarted", 90_000, TASK_MS);
    let records: Vec<_> = pool
        .workers
        .iter()
        .map(|worker| worker.record.clone())
        .collect();
    let mut out = Vec::new();
    pool.owner.set_workers(pool.now_ms, records, &mut out);
    pool.take(out);
    let from_ms = pool.now_ms;
    // Jobs for the slots of all workers; a suspected one would get one probe, after 800 ms.
    pool.run_until(from_ms + 100);
    for number in 0..WORKERS.len() {
        pool.delegate(&format!("burst{number}"), 0);
    }
    pool.run_until(from_ms + 700);
    let starts = pool.starts_on("w1-restarted", from_ms);
    assert!(starts >= 2, "{starts} starts");
}

/// Guards against removing workers from service when the load or the estimates are to blame.
#[test]
fn nobody_is_suspected_if_most_workers_look_slow() {
    let mut pool = Pool::with_slow_workers(4);
    pool.run_until(pool.now_ms + 4000);
    assert_eq!(pool.owner.stats().suspected_workers, 0);
    pool.set_task_ms(4, TASK_MS);
    pool.assert_all_complete();
}

/// Guards against following reports of owners that are gone.
#[test]
fn stale_reports_of_slow_workers_elsewhere_are_ignored() {
    // The first worker is the fastest, so that it gets tasks.
    let fast_task_ms = TASK_MS / 2;
    let mut pool = Pool::new();
    pool.set_task_ms(1, fast_task_ms);
    pool.run_until(2000);
    pool.set_task_ms(1, 6 * fast_task_ms);
    for _ in 0..20 {
        pool.observe_peer(9);
        pool.run_until(pool.now_ms + 100);
        assert_eq!(pool.owner.stats().suspected_workers, 0);
    }
    assert_eq!(pool.owner.stats().suspicions, 0);
    // The worker recovers, is no longer on probation for its stalled runs, and is slow again
    // when the reports are stale.
    pool.set_task_ms(1, fast_task_ms);
    pool.run_until(pool.now_ms + 6000);
    assert_eq!(pool.owner.stats().suspicions, 0);
    pool.set_task_ms(1, 6 * fast_task_ms);
    pool.run_until_restart();
    assert_eq!(pool.owner.stats().suspected_workers, 1);
    pool.assert_all_complete();
}

/// Guards against a second attempt on a worker that may be as bad as the first one, while
/// another worker has just succeeded.
#[test]
fn a_task_that_failed_goes_to_a_worker_of_proven_health_next() {
    let mut owner = fenced_owner(1, &["w1", "w2", "w3"]);
    let mut out = Vec::new();
    owner.delegate(3000, LINK, job("a", 3, TASK_MS), 0, None, &mut out);
    let started = starts(&out);
    let open_renewals: Vec<RenewOrder> = started
        .iter()
        .flat_map(|start| {
            let outcome = OrderOutcome::Done { clock_ms: 53_000 };
            renewals(&answer_start(&mut owner, 3002, start, outcome))
        })
        .collect();
    // Two tasks run on one worker, which is slower but succeeds; the third fails.
    let (failing, proven): (Vec<_>, Vec<_>) = started.iter().partition(|start| {
        let same = started
            .iter()
            .filter(|other| other.target.worker == start.target.worker);
        same.count() == 1
    });
    assert_eq!((failing.len(), proven.len()), (1, 2));
    let renewal_of = |start: &StartOrder| {
        let mut renewals = open_renewals.iter();
        renewals
            .find(|renewal| renewal.target.worker == start.target.worker)
            .expect("a renewal is open")
    };
    let done = vec![completion(1, proven[0]), completion(2, proven[1])];
    let answer = renewed(vec![], done);
    answer_renewal(&mut owner, 3150, renewal_of(proven[0]), answer);
    let mut failed = completion(1, failing[0]);
    failed.outcome = RunOutcome::Failed;
    let answer = renewed(vec![], vec![failed]);
    let out = answer_renewal(&mut owner, 3160, renewal_of(failing[0]), answer);
    let restarted = starts(&out);
    assert_eq!(restarted.len(), 1);
    assert_eq!(restarted[0].target.worker, proven[0].target.worker);
}
