//! Measures the overhead per task of each layer between caller and worker:
//! `cargo run --release --example caller_overhead`.
//!
//! Workers, instance and callers run in one process and communicate over loopback. Each
//! measurement adds one layer to the previous one.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use poem::listener::{Acceptor, Listener, TcpListener as PoemListener};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use trefoil_core::config::{ConfigSnapshot, Declared};
use trefoil_core::engine::{
    Command, Engine, EngineSettings, JobAnswer, JobState, Submission, Task, TaskOutcome, WaiterId,
};
use trefoil_core::key::JobKey;
use trefoil_schema::resources::{BackendServerSpec, BackendServerState, ServiceSpec, TeamSpec};
use trefoil_schema::settings::{HttpSettings, JobSettings, WorkerSettings};
use trefoilbay::http::body_budget::BodyBudget;
use trefoilbay::http::caller::{self, CallerContext};
use trefoilbay::runtime::dispatch::{Dispatcher, fingerprint};
use trefoilbay::runtime::{RequestContext, Runtime};
use trefoilbay::util::clock::Clock;
use trefoilbay::workers::{WorkerCall, WorkerClient};

const DOMAIN: &str = "kingston-1";
const SERVICE: &str = "payroll";
const PAYLOAD: &str = r#"{"employer":"84-1177","week":49,"hours":[8,8,8,8,6]}"#;
const WORKERS: usize = 8;
const TASKS: usize = 20_000;

/// Starts a backend server that responds immediately; returns its address.
async fn start_worker() -> Arc<str> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            stream.set_nodelay(true).unwrap();
            let serving = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service_fn(run_task));
            tokio::spawn(serving);
        }
    });
    address.into()
}

async fn run_task(request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
    let task = request.headers().get("trefoil-task").cloned();
    request.into_body().collect().await.ok();
    let mut response = Response::new(Full::new(Bytes::from_static(b"{\"net\":1}")));
    if let Some(task) = task {
        response.headers_mut().insert("trefoil-task", task);
    }
    Ok(response)
}

/// User and system CPU time of this process so far.
fn cpu_time() -> Duration {
    const TICKS_PER_SECOND: u64 = 100;
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap();
    let (_, fields) = stat.rsplit_once(") ").unwrap();
    let fields: Vec<&str> = fields.split(' ').collect();
    let ticks: u64 = fields[11..13]
        .iter()
        .map(|t| t.parse::<u64>().unwrap())
        .sum();
    Duration::from_millis(ticks * 1000 / TICKS_PER_SECOND)
}

/// Runs `unit` repeatedly in `concurrency` parallel loops, and prints latency and throughput.
async fn measure<F, R>(name: &str, concurrency: usize, tasks_per_unit: usize, unit: F)
where
    F: Fn(usize) -> R + Clone + Send + 'static,
    R: Future<Output = ()> + Send + 'static,
{
    let units = TASKS / tasks_per_unit / concurrency;
    let (start, cpu_start) = (Instant::now(), cpu_time());
    let mut runs = JoinSet::new();
    for run in 0..concurrency {
        let unit = unit.clone();
        runs.spawn(async move {
            let mut latencies = Histogram::<u64>::new(3).unwrap();
            for _ in 0..units {
                let start = Instant::now();
                unit(run).await;
                latencies
                    .record(start.elapsed().as_micros() as u64)
                    .unwrap();
            }
            latencies
        });
    }
    let mut latencies = Histogram::<u64>::new(3).unwrap();
    while let Some(run) = runs.join_next().await {
        latencies.add(run.unwrap()).unwrap();
    }
    let tasks = (units * tasks_per_unit * concurrency) as f64;
    let (elapsed, cpu) = (start.elapsed(), cpu_time() - cpu_start);
    println!(
        "{name:34} concurrency {concurrency:3}: p50 {:6} us, p99 {:6} us, {:7.0} tasks/s, CPU {:5.1} us/task",
        latencies.value_at_quantile(0.5),
        latencies.value_at_quantile(0.99),
        tasks / elapsed.as_secs_f64(),
        cpu.as_secs_f64() * 1e6 / tasks,
    );
}

type Sender = hyper::client::conn::http1::SendRequest<Full<Bytes>>;

async fn connect(address: &str) -> Arc<tokio::sync::Mutex<Sender>> {
    let stream = TcpStream::connect(address).await.unwrap();
    stream.set_nodelay(true).unwrap();
    let io = TokioIo::new(stream);
    let (sender, connection) = hyper::client::conn::http1::handshake(io).await.unwrap();
    tokio::spawn(connection);
    Arc::new(tokio::sync::Mutex::new(sender))
}

async fn exchange(
    sender: &tokio::sync::Mutex<Sender>,
    request: Request<Full<Bytes>>,
) -> StatusCode {
    let mut sender = sender.lock().await;
    sender.ready().await.unwrap();
    let response = sender.send_request(request).await.unwrap();
    let status = response.status();
    response.into_body().collect().await.unwrap();
    status
}

async fn post(sender: &tokio::sync::Mutex<Sender>, request: Request<Full<Bytes>>) {
    assert!(exchange(sender, request).await.is_success());
}

fn key() -> JobKey {
    let now = std::time::SystemTime::now();
    let issued = now.duration_since(std::time::UNIX_EPOCH).unwrap();
    JobKey::mint(DOMAIN, issued.as_millis() as u64, rand::random())
}

fn submission(tasks: usize) -> Submission {
    let task = Task {
        payload: Bytes::from_static(PAYLOAD.as_bytes()),
        declared_run_ms: 0,
    };
    let tasks = vec![task; tasks];
    Submission {
        key: key(),
        fingerprint: fingerprint(SERVICE, "default", &tasks),
        service: SERVICE.into(),
        team: "default".into(),
        timeout_ms: 10_000,
        tasks,
    }
}

fn config(workers: &[Arc<str>]) -> ConfigSnapshot {
    let declare = |(index, address): (usize, &Arc<str>)| {
        let spec = BackendServerSpec {
            service: SERVICE.to_owned(),
            failure_domain: DOMAIN.to_owned(),
            address: address.to_string(),
            slots: 8,
            state: BackendServerState::Serving,
        };
        (
            format!("worker-{index}").into(),
            Declared { spec, revision: 1 },
        )
    };
    let team = Declared {
        spec: TeamSpec::default(),
        revision: 1,
    };
    let service = Declared {
        spec: ServiceSpec::default(),
        revision: 1,
    };
    ConfigSnapshot {
        revision: 1,
        teams: [("default".into(), team)].into(),
        services: [(SERVICE.into(), service)].into(),
        backend_servers: workers.iter().enumerate().map(declare).collect(),
    }
}

fn call(address: &Arc<str>) -> WorkerCall {
    WorkerCall {
        key: Arc::new(key()),
        index: 0,
        attempt: 1,
        address: Arc::clone(address),
        path: "/run".into(),
        payload: Bytes::from_static(PAYLOAD.as_bytes()),
        timeout_ms: 10_000,
        traceparent: None,
    }
}

/// Submits a job to the engine alone; each task completes as soon as it is placed.
fn submit_to_engine(engine: &Engine, tasks: usize) {
    let now = Clock::start().now();
    let mut out = Vec::new();
    engine.submit(now, submission(tasks), WaiterId(1), true, &mut out);
    while let Some(command) = out.pop() {
        if let Command::StartTask { task, .. } = command {
            let done = TaskOutcome::Done(Bytes::from_static(b"1"));
            engine.task_finished(now, task, done, &mut out);
        }
    }
}

async fn submit(runtime: &Arc<Runtime>, tasks: usize) {
    let answer = runtime
        .submit(submission(tasks), true, RequestContext::default())
        .await;
    let complete =
        matches!(&answer, JobAnswer::Known { state, .. } if *state == JobState::Complete);
    assert!(complete, "{answer:?}");
}

/// Starts the callers' HTTP API; returns its address.
async fn start_server(runtime: &Arc<Runtime>) -> String {
    let http = HttpSettings::default();
    let context = CallerContext {
        dispatch: Dispatcher::new(Arc::clone(runtime)),
        jobs: Arc::new(JobSettings::default()),
        bodies: BodyBudget::new(http.bodies_bytes_max),
        body_timeout: Duration::from_millis(http.body_timeout_ms),
        failure_domain: DOMAIN.into(),
    };
    let acceptor = PoemListener::bind("127.0.0.1:0")
        .into_acceptor()
        .await
        .unwrap();
    let address = acceptor.local_addr()[0]
        .as_socket_addr()
        .unwrap()
        .to_string();
    tokio::spawn(poem::Server::new_with_acceptor(acceptor).run(caller::routes(context)));
    address
}

fn get_job_request(address: &str) -> Request<Full<Bytes>> {
    Request::get(format!("/v1/jobs/{}", key()))
        .header("host", address)
        .body(Full::default())
        .unwrap()
}

fn submit_request(address: &str, tasks: usize) -> Request<Full<Bytes>> {
    let task = format!(r#"{{"payload":{PAYLOAD}}}"#);
    let tasks = vec![task; tasks].join(",");
    let body = format!(r#"{{"service":"{SERVICE}","tasks":[{tasks}]}}"#);
    Request::post("/v1/jobs")
        .header("host", address)
        .header("idempotency-key", key().as_str())
        .body(Full::new(body.into()))
        .unwrap()
}

#[tokio::main(flavor = "multi_thread", worker_threads = 4)]
async fn main() {
    let mut workers = Vec::new();
    for _ in 0..WORKERS {
        workers.push(start_worker().await);
    }
    let client = Arc::new(WorkerClient::new(&WorkerSettings::default()));
    let engine = Engine::new(EngineSettings {
        failure_domain: DOMAIN.to_owned(),
        ..EngineSettings::default()
    });
    engine.set_admission_limit(u64::MAX);
    let runtime = Runtime::new(engine, WorkerClient::new(&WorkerSettings::default()));
    runtime.set_domain_members("entry-1", &["entry-1".to_owned()]);
    runtime.set_config(Arc::new(config(&workers)));
    let _ticker = runtime.start_ticker();
    let server = start_server(&runtime).await;
    for concurrency in [1, 32] {
        let mut direct = Vec::new();
        let mut callers = Vec::new();
        for run in 0..concurrency {
            direct.push(connect(&workers[run % WORKERS]).await);
            callers.push(connect(&server).await);
        }
        let addresses = workers.clone();
        measure("hyper to worker", concurrency, 1, move |run| {
            let sender = Arc::clone(&direct[run]);
            let request = Request::post("/run")
                .header("host", &*addresses[run % WORKERS])
                .header("trefoil-task", "1764691200000-week-49/0/1")
                .body(Full::new(Bytes::from_static(PAYLOAD.as_bytes())))
                .unwrap();
            async move { post(&sender, request).await }
        })
        .await;
        let (addresses, shared) = (workers.clone(), Arc::clone(&client));
        measure("worker client", concurrency, 1, move |run| {
            let (client, call) = (Arc::clone(&shared), call(&addresses[run % WORKERS]));
            async move { drop(client.call(&call).await) }
        })
        .await;
        let (states, address) = (callers.clone(), server.clone());
        measure(
            "HTTP, state of an unknown job",
            concurrency,
            1,
            move |run| {
                let (sender, request) = (Arc::clone(&states[run]), get_job_request(&address));
                async move { assert_eq!(exchange(&sender, request).await, StatusCode::NOT_FOUND) }
            },
        )
        .await;
        for tasks in [1, 100] {
            let shared = Arc::clone(&runtime);
            let name = format!("engine alone, jobs of {tasks}");
            measure(&name, concurrency, tasks, move |_| {
                let runtime = Arc::clone(&shared);
                async move { submit_to_engine(runtime.engine(), tasks) }
            })
            .await;
            let shared = Arc::clone(&runtime);
            let name = format!("runtime, jobs of {tasks}");
            measure(&name, concurrency, tasks, move |_| {
                let runtime = Arc::clone(&shared);
                async move { submit(&runtime, tasks).await }
            })
            .await;
            let (callers, server) = (callers.clone(), server.clone());
            let name = format!("HTTP and runtime, jobs of {tasks}");
            measure(&name, concurrency, tasks, move |run| {
                let (sender, request) = (Arc::clone(&callers[run]), submit_request(&server, tasks));
                async move { post(&sender, request).await }
            })
            .await;
        }
    }
}
