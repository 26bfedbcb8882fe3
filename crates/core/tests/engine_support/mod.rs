//! Test harness for an engine with declared workers in virtual time.

#![allow(dead_code)]

pub mod virtual_load;

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;
use trefoil_core::config::{ConfigSnapshot, Declared};
use trefoil_core::engine::*;
use trefoil_core::key::JobKey;
use trefoil_core::time::Now;
use trefoil_schema::resources::{BackendServerSpec, BackendServerState, ServiceSpec, TeamSpec};

/// Wall clock time at which every test starts.
pub const START_WALL_MS: u64 = 1_700_000_000_000;

/// Declarations of `workers` workers with `slots` slots each, and two teams.
pub fn config(workers: usize, slots: u32) -> ConfigSnapshot {
    let mut config = ConfigSnapshot::default();
    for team in ["red", "blue"] {
        config
            .teams
            .insert(team.into(), declared(TeamSpec::default()));
    }
    config
        .services
        .insert("payroll".into(), declared(ServiceSpec::default()));
    for number in 0..workers {
        let spec = backend_server(number, slots);
        let name = format!("worker-{number:03}");
        config
            .backend_servers
            .insert(name.as_str().into(), declared(spec));
    }
    config
}

fn backend_server(number: usize, slots: u32) -> BackendServerSpec {
    BackendServerSpec {
        address: format!("10.0.0.{number}:80"),
        failure_domain: "local".to_owned(),
        service: "payroll".to_owned(),
        slots,
        state: BackendServerState::Serving,
    }
}

/// Declares `spec` at revision 1.
pub fn declared<T>(spec: T) -> Declared<T> {
    Declared { spec, revision: 1 }
}

/// A key issued `age_ms` before the start of the test.
pub fn key(age_ms: u64, text: &str) -> JobKey {
    JobKey::parse(&format!("{}-{text}", START_WALL_MS - age_ms)).unwrap()
}

/// A submission of `tasks` tasks for team `red`.
pub fn submission(key: &JobKey, tasks: usize, timeout_ms: u64) -> Submission {
    let task = Task {
        payload: Bytes::from_static(b"{}"),
        declared_run_ms: 0,
    };
    Submission {
        key: key.clone(),
        fingerprint: 7,
        service: "payroll".into(),
        team: "red".into(),
        timeout_ms,
        tasks: vec![task; tasks],
    }
}

/// A placement started by the engine.
#[derive(Clone, Debug)]
pub struct Start {
    pub task: TaskId,
    pub key: Arc<JobKey>,
    pub index: u32,
    pub attempt: u32,
    pub worker: WorkerId,
}

/// An engine, its clock, and the commands not yet consumed by the test.
pub struct EngineHarness {
    pub engine: Engine,
    pub now: Now,
    pub starts: VecDeque<Start>,
    pub answers: VecDeque<(WaiterId, JobAnswer)>,
    next_waiter: u64,
}

impl EngineHarness {
    /// Creates the only instance of its failure domain, with `workers` workers.
    pub fn new(settings: EngineSettings, workers: usize, slots: u32) -> Self {
        let mut harness = Self {
            engine: Engine::new(settings),
            now: Now {
                mono_ms: 1000,
                wall_ms: START_WALL_MS,
            },
            starts: VecDeque::new(),
            answers: VecDeque::new(),
            next_waiter: 0,
        };
        harness.engine.set_admission_limit(u64::MAX);
        harness.set_members(&["a"]);
        harness.set_config(&config(workers, slots));
        harness
    }

    /// Runs `call` and queues its commands by type.
    pub fn call(&mut self, call: impl FnOnce(&Engine, Now, &mut Vec<Command>)) {
        let mut out = Vec::new();
        call(&self.engine, self.now, &mut out);
        for command in out {
            match command {
                Command::StartTask {
                    task,
                    key,
                    index,
                    attempt,
                    worker,
                    ..
                } => self.starts.push_back(Start {
                    task,
                    key,
                    index,
                    attempt,
                    worker,
                }),
                Command::Answer { waiter, answer } => self.answers.push_back((waiter, answer)),
            }
        }
    }

    pub fn set_config(&mut self, config: &ConfigSnapshot) {
        self.call(|engine, now, out| engine.set_config(now, config, out));
    }

    pub fn set_members(&mut self, members: &[&str]) {
        let members: Vec<String> = members.iter().map(|name| name.to_string()).collect();
        self.call(|engine, now, out| engine.set_domain_members(now, "a", &members, out));
    }

    pub fn submit(&mut self, submission: Submission, wait: bool) -> WaiterId {
        self.next_waiter += 1;
        let waiter = WaiterId(self.next_waiter);
        self.call(|engine, now, out| engine.submit(now, submission, waiter, wait, out));
        waiter
    }

    pub fn fetch(&mut self, key: &JobKey, wait: bool) -> WaiterId {
        self.next_waiter += 1;
        let waiter = WaiterId(self.next_waiter);
        self.call(|engine, now, out| engine.fetch(now, key, waiter, wait, out));
        waiter
    }

    pub fn cancel(&mut self, key: &JobKey) -> WaiterId {
        self.next_waiter += 1;
        let waiter = WaiterId(self.next_waiter);
        self.call(|engine, now, out| engine.cancel(now, key, waiter, out));
        waiter
    }

    pub fn finish(&mut self, task: TaskId, outcome: TaskOutcome) {
        self.call(|engine, now, out| engine.task_finished(now, task, outcome, out));
    }

    /// Finishes all tasks, including those that start in consequence, with their
    /// index as the result; returns their number.
    pub fn finish_all(&mut self) -> usize {
        let mut finished = 0;
        while let Some(start) = self.starts.pop_front() {
            let result = Bytes::from(start.index.to_string());
            self.finish(start.task, TaskOutcome::Done(result));
            finished += 1;
        }
        finished
    }

    pub fn advance_ms(&mut self, ms: u64) {
        self.now = self.now.plus_ms(ms);
        self.call(|engine, now, out| engine.tick(now, out));
    }

    /// Consumes the only pending answer.
    pub fn answer(&mut self) -> JobAnswer {
        assert_eq!(self.answers.len(), 1, "{:?}", self.answers);
        self.answers.pop_front().unwrap().1
    }

    /// Consumes the only pending answer, which must be a refusal.
    pub fn refusal(&mut self) -> Refusal {
        match self.answer() {
            JobAnswer::Refused(refusal) => refusal,
            known => panic!("not refused: {known:?}"),
        }
    }
}

/// State, verdict and reason of an answer about a known job.
pub fn state_of(answer: &JobAnswer) -> (JobState, trefoil_core::verdict::Verdict, &'static str) {
    match answer {
        JobAnswer::Known {
            state,
            verdict,
            reason,
            ..
        } => (*state, *verdict, reason),
        JobAnswer::Refused(refusal) => panic!("refused: {refusal:?}"),
    }
}
