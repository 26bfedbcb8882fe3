//! Baseline without entry instances: independent dispatchers send tasks directly to backend
//! servers.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use derive_more::Display;
use hyper::{Method, StatusCode, header::HeaderValue};
use rand::Rng;
use serde_json::Value;
use tokio::{
    task::JoinSet,
    time::{sleep, timeout},
};

use super::{
    Run,
    entries::elapsed_ms,
    job::{self, JobAnswer, Payload, TokenResult},
    plan::JobPlan,
    stats::JobTiming,
};
use crate::{
    check::history::{HistoryEntry, RequestKind},
    client::{CallError, request},
    worker::TASK_HEADER,
};

/// Attempts of a task between pauses.
const ATTEMPTS_PER_ROUND: u64 = 8;
const ROUND_PAUSE_MS: u64 = 1;
/// Timeout of jobs without a deadline.
const DEFAULT_DEADLINE_MS: u64 = 60_000;

/// How a baseline dispatcher chooses a backend server.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
pub enum Policy {
    /// A random one.
    #[default]
    #[display("random")]
    Random,
    /// Of two random ones, the one with fewer tasks of this dispatcher.
    #[display("two-choices")]
    TwoChoices,
}

/// A baseline dispatcher, which knows only its own tasks at each backend server.
#[derive(Debug)]
pub(super) struct Dispatcher {
    in_flight: Vec<AtomicU64>,
}

impl Dispatcher {
    pub fn new(workers: usize) -> Self {
        Self {
            in_flight: (0..workers).map(|_| AtomicU64::new(0)).collect(),
        }
    }

    fn choose(&self, policy: Policy) -> usize {
        let mut random = rand::rng();
        let mut random_worker = || random.random_range(0..self.in_flight.len());
        match policy {
            Policy::Random => random_worker(),
            Policy::TwoChoices => {
                let (first, second) = (random_worker(), random_worker());
                match self.load(first) <= self.load(second) {
                    true => first,
                    false => second,
                }
            }
        }
    }

    fn load(&self, worker: usize) -> u64 {
        self.in_flight[worker].load(Ordering::Relaxed)
    }

    fn begin_task(&self, worker: usize) -> InFlightGuard<'_> {
        let in_flight = &self.in_flight[worker];
        in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard(in_flight)
    }
}

/// Counts a task at a backend server until dropped.
struct InFlightGuard<'a>(&'a AtomicU64);

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Runs one job to its end.
pub(super) async fn run_job(run: Arc<Run>, plan: JobPlan) {
    let key = job::uuid7(&plan.key_random);
    let tokens = job::tokens(&key, job::FIRST_BODY_MARK, plan.run_ms.len());
    let (sent, sent_ms) = (Instant::now(), job::unix_ms());
    let deadline_ms = match run.options.deadline_ms {
        0 => DEFAULT_DEADLINE_MS,
        deadline_ms => deadline_ms,
    };
    let tasks = run_tasks(&run, &plan, &key, &tokens);
    let answer = match timeout(Duration::from_millis(deadline_ms), tasks).await {
        Ok(answer) => answer,
        Err(_) => failed("deadline"),
    };
    let timing = JobTiming {
        tasks: plan.run_ms.len(),
        response_ms: elapsed_ms(sent),
        ideal_ms: plan.longest_ms() + run.options.path_ms,
        deadline_ms: run.options.deadline_ms,
    };
    run.stats().record_answer(&answer, timing.response_ms);
    run.stats().record_end(&answer, timing);
    run.record_request(|| HistoryEntry {
        kind: RequestKind::Submit,
        key,
        entry: "direct".to_owned(),
        sent_ms,
        answered_ms: job::unix_ms(),
        status: answer.status,
        verdict: answer.verdict,
        reason: answer.reason,
        state: answer.state,
        tokens,
        results: answer.results,
        ..HistoryEntry::default()
    });
}

async fn run_tasks(run: &Arc<Run>, plan: &JobPlan, key: &str, tokens: &[String]) -> JobAnswer {
    let mut running = JoinSet::new();
    for (index, (&run_ms, token)) in plan.run_ms.iter().zip(tokens).enumerate() {
        let task = Task {
            name: format!("{key}/{index}"),
            body: task_body(run_ms, token),
            dispatcher: plan.number % run.dispatchers.len(),
        };
        let run = Arc::clone(run);
        running.spawn(async move { (index, run_task(&run, &task).await) });
    }
    let mut results = vec![Value::Null; tokens.len()];
    while let Some(joined) = running.join_next().await {
        match joined {
            Ok((index, Some(result))) => results[index] = result,
            Ok((_, None)) | Err(_) => return failed("task_failed"),
        }
    }
    JobAnswer {
        status: StatusCode::OK.as_u16(),
        state: "complete".to_owned(),
        verdict: "ran".to_owned(),
        results,
        ..JobAnswer::default()
    }
}

fn failed(reason: &str) -> JobAnswer {
    JobAnswer {
        status: StatusCode::BAD_GATEWAY.as_u16(),
        verdict: "may_have_run".to_owned(),
        reason: reason.to_owned(),
        ..JobAnswer::default()
    }
}

struct Task {
    name: String,
    body: Vec<u8>,
    dispatcher: usize,
}

fn task_body(run_ms: f64, token: &str) -> Vec<u8> {
    let payload = Payload {
        run_ms,
        result: TokenResult { token },
    };
    // Serialization of numbers and strings cannot fail.
    serde_json::to_vec(&payload).unwrap_or_default()
}

/// Tries backend servers until one accepts the task; `None` if the task fails.
async fn run_task(run: &Run, task: &Task) -> Option<Value> {
    let dispatcher = &run.dispatchers[task.dispatcher];
    for attempt in 1.. {
        let worker = dispatcher.choose(run.options.policy);
        let in_flight = dispatcher.begin_task(worker);
        match attempt_task(run, task, run.options.direct[worker], attempt).await {
            AttemptOutcome::Done(result) => return Some(result),
            AttemptOutcome::Failed => return None,
            AttemptOutcome::Refused => drop(in_flight),
        }
        if attempt % ATTEMPTS_PER_ROUND == 0 {
            sleep(Duration::from_millis(ROUND_PAUSE_MS)).await;
        }
    }
    None
}

enum AttemptOutcome {
    Done(Value),
    Refused,
    Failed,
}

async fn attempt_task(run: &Run, task: &Task, worker: SocketAddr, attempt: u64) -> AttemptOutcome {
    let mut request = request(Method::POST, worker, "/run", task.body.clone());
    let name = format!("{}/{attempt}", task.name);
    if let Ok(name) = HeaderValue::from_str(&name) {
        request.headers_mut().insert(TASK_HEADER, name);
    }
    match run.client.send(request).await {
        Ok(reply) if reply.status.is_success() => {
            serde_json::from_slice(&reply.body).map_or(AttemptOutcome::Failed, AttemptOutcome::Done)
        }
        Ok(reply) if reply.status == StatusCode::SERVICE_UNAVAILABLE => AttemptOutcome::Refused,
        Err(CallError::Connect { .. }) => AttemptOutcome::Refused,
        Ok(_) | Err(CallError::Broken { .. }) => AttemptOutcome::Failed,
    }
}
