//! Baselines without entry instances: dispatchers that send tasks straight to
//! backend servers, each knowing only its own work.

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
    stats::JobEnd,
};
use crate::{
    check::history::{HistoryEntry, RequestKind},
    client::{CallError, request},
    worker::TASK_HEADER,
};

/// Tries of a task at once; after each such round it pauses.
const TRIES_A_ROUND: u64 = 8;
const ROUND_PAUSE_MS: u64 = 1;
/// Time a job has where no deadline is asked for.
const DEADLINE_DEFAULT_MS: u64 = 60_000;

/// How a dispatcher picks a backend server.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
pub enum Policy {
    /// Any, at random.
    #[default]
    #[display("random")]
    Random,
    /// The one with fewer of this dispatcher's tasks, of two at random.
    #[display("two-choices")]
    TwoChoices,
}

/// One dispatcher's knowledge: its own tasks at each backend server.
#[derive(Debug)]
pub(super) struct Dispatcher {
    held: Vec<AtomicU64>,
}

impl Dispatcher {
    pub fn new(workers: usize) -> Self {
        Self {
            held: (0..workers).map(|_| AtomicU64::new(0)).collect(),
        }
    }

    fn pick(&self, policy: Policy) -> usize {
        let mut random = rand::rng();
        let mut any = || random.random_range(0..self.held.len());
        match policy {
            Policy::Random => any(),
            Policy::TwoChoices => {
                let (one, two) = (any(), any());
                match self.load(one) <= self.load(two) {
                    true => one,
                    false => two,
                }
            }
        }
    }

    fn load(&self, worker: usize) -> u64 {
        self.held[worker].load(Ordering::Relaxed)
    }

    fn hold(&self, worker: usize) -> Held<'_> {
        let held = &self.held[worker];
        held.fetch_add(1, Ordering::Relaxed);
        Held(held)
    }
}

/// Counts a task at a backend server until dropped.
struct Held<'a>(&'a AtomicU64);

impl Drop for Held<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Runs one job to its end.
pub(super) async fn run_job(run: Arc<Run>, plan: JobPlan) {
    let key = job::uuid7(&plan.key_random);
    let tokens = job::tokens(&key, job::OWN_BODY, plan.run_ms.len());
    let (sent, sent_ms) = (Instant::now(), job::unix_ms());
    let deadline_ms = match run.options.deadline_ms {
        0 => DEADLINE_DEFAULT_MS,
        deadline_ms => deadline_ms,
    };
    let tasks = run_tasks(&run, &plan, &key, &tokens);
    let answer = match timeout(Duration::from_millis(deadline_ms), tasks).await {
        Ok(answer) => answer,
        Err(_) => failed("deadline"),
    };
    let end = JobEnd {
        tasks: plan.run_ms.len(),
        response_ms: elapsed_ms(sent),
        ideal_ms: plan.longest_ms() + run.options.path_ms,
        deadline_ms: run.options.deadline_ms,
    };
    run.stats().answered(&answer, end.response_ms);
    run.stats().ended(&answer, end);
    run.remember(|| HistoryEntry {
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
        running.spawn(async move { (index, place(&run, &task).await) });
    }
    let mut results = vec![Value::Null; tokens.len()];
    while let Some(ended) = running.join_next().await {
        match ended {
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
    // A struct of numbers and texts always has a JSON form.
    serde_json::to_vec(&payload).unwrap_or_default()
}

/// Tries backend servers until one takes the task; `None` where it failed.
async fn place(run: &Run, task: &Task) -> Option<Value> {
    let dispatcher = &run.dispatchers[task.dispatcher];
    for attempt in 1.. {
        let worker = dispatcher.pick(run.options.policy);
        let held = dispatcher.hold(worker);
        match try_once(run, task, run.options.direct[worker], attempt).await {
            Attempt::Done(result) => return Some(result),
            Attempt::Failed => return None,
            Attempt::Refused => drop(held),
        }
        if attempt % TRIES_A_ROUND == 0 {
            sleep(Duration::from_millis(ROUND_PAUSE_MS)).await;
        }
    }
    None
}

enum Attempt {
    Done(Value),
    Refused,
    Failed,
}

async fn try_once(run: &Run, task: &Task, worker: SocketAddr, attempt: u64) -> Attempt {
    let mut request = request(Method::POST, worker, "/run", task.body.clone());
    let name = format!("{}/{attempt}", task.name);
    if let Ok(name) = HeaderValue::from_str(&name) {
        request.headers_mut().insert(TASK_HEADER, name);
    }
    match run.client.send(request).await {
        Ok(reply) if reply.status.is_success() => {
            serde_json::from_slice(&reply.body).map_or(Attempt::Failed, Attempt::Done)
        }
        Ok(reply) if reply.status == StatusCode::SERVICE_UNAVAILABLE => Attempt::Refused,
        Err(CallError::Connect { .. }) => Attempt::Refused,
        Ok(_) | Err(CallError::Broken { .. }) => Attempt::Failed,
    }
}
