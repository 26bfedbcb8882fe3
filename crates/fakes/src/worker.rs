//! Fake backend servers; one process serves several, on consecutive ports.
//!
//! A task's payload may hold `run_ms`, `result` and `fail`. A task occupies its slot for its run
//! time, even if its connection closes. Every start is recorded for the history checker.

pub mod faults;
pub mod record;
mod run;

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use bytes::Bytes;
use hyper::{Request, StatusCode, body::Incoming};
use tokio::{net::TcpListener, sync::Semaphore};

use crate::http::{self, HandlerResult, Server};
use faults::{WorkerFaultUpdate, WorkerFaults};
use record::{TaskStart, WorkerCounters};

pub use run::TASK_HEADER;

/// Options of the fake backend servers of a process.
#[derive(Clone, Debug)]
pub struct WorkerOptions {
    /// Number of backend servers.
    pub count: usize,
    /// Slots of each, which is the number of tasks that it runs concurrently.
    pub slots: usize,
    /// Initial faults of all of them.
    pub faults: WorkerFaults,
}

impl Default for WorkerOptions {
    fn default() -> Self {
        Self {
            count: 1,
            slots: 8,
            faults: WorkerFaults::default(),
        }
    }
}

#[derive(Debug)]
struct BackendServer {
    name: String,
    slots: Arc<Semaphore>,
    faults: Mutex<WorkerFaults>,
}

impl BackendServer {
    fn faults(&self) -> WorkerFaults {
        lock(&self.faults).clone()
    }
}

/// State shared by the backend servers of a process. Lock order: `starts` before `counters`.
#[derive(Debug)]
struct Shared {
    slots: usize,
    started: Instant,
    servers: Vec<Arc<BackendServer>>,
    starts: Mutex<Vec<TaskStart>>,
    counters: Mutex<WorkerCounters>,
}

impl Shared {
    fn starts(&self) -> MutexGuard<'_, Vec<TaskStart>> {
        lock(&self.starts)
    }

    fn counters(&self) -> MutexGuard<'_, WorkerCounters> {
        lock(&self.counters)
    }

    fn update_faults(&self, update: &WorkerFaultUpdate) {
        self.servers
            .iter()
            .enumerate()
            .filter(|(index, _)| update.worker.is_none_or(|worker| worker == *index))
            .for_each(|(_, server)| update.apply(&mut lock(&server.faults)));
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Running backend servers. Dropping it stops them and closes their connections.
#[derive(Debug)]
pub struct WorkersHandle {
    /// Addresses of the backend servers, by index.
    pub addresses: Vec<SocketAddr>,
    shared: Arc<Shared>,
    servers: Vec<Server>,
}

impl WorkersHandle {
    /// Changes the injected faults.
    pub fn update_faults(&self, update: &WorkerFaultUpdate) {
        self.shared.update_faults(update);
    }

    /// All recorded starts, in order.
    pub fn starts(&self) -> Vec<TaskStart> {
        self.shared.starts().clone()
    }

    /// Current counters of all backend servers together.
    pub fn counters(&self) -> WorkerCounters {
        *self.shared.counters()
    }

    /// Stops one backend server for good and closes its connections.
    pub fn kill(&mut self, worker: usize) {
        let address = self.addresses.get(worker).copied();
        self.servers
            .retain(|server| Some(server.address()) != address);
    }

    /// Waits until all backend servers stop.
    pub async fn wait(&mut self) {
        for server in &mut self.servers {
            server.wait().await;
        }
    }

    /// Stops the backend servers and closes their connections.
    pub fn stop(self) {}
}

/// Starts backend servers on `address` and the following ports; port 0 chooses free ports.
pub async fn start(address: SocketAddr, options: WorkerOptions) -> io::Result<WorkersHandle> {
    let listeners = bind_all(address, options.count).await?;
    let addresses = listeners
        .iter()
        .map(TcpListener::local_addr)
        .collect::<io::Result<Vec<_>>>()?;
    let shared = Arc::new(Shared {
        slots: options.slots,
        started: Instant::now(),
        servers: addresses
            .iter()
            .map(|address| Arc::new(backend_server(address, &options)))
            .collect(),
        starts: Mutex::default(),
        counters: Mutex::default(),
    });
    let servers = listeners
        .into_iter()
        .enumerate()
        .map(|(index, listener)| serve(&shared, index, listener))
        .collect::<io::Result<Vec<_>>>()?;
    Ok(WorkersHandle {
        addresses,
        shared,
        servers,
    })
}

fn backend_server(address: &SocketAddr, options: &WorkerOptions) -> BackendServer {
    BackendServer {
        name: address.to_string(),
        slots: Arc::new(Semaphore::new(options.slots)),
        faults: Mutex::new(options.faults.clone()),
    }
}

async fn bind_all(first: SocketAddr, count: usize) -> io::Result<Vec<TcpListener>> {
    let mut listeners = Vec::with_capacity(count);
    let mut address = first;
    for _ in 0..count {
        listeners.push(TcpListener::bind(address).await?);
        if first.port() != 0 {
            address.set_port(address.port().saturating_add(1));
        }
    }
    Ok(listeners)
}

fn serve(shared: &Arc<Shared>, index: usize, listener: TcpListener) -> io::Result<Server> {
    let shared = Arc::clone(shared);
    Server::start(listener, move |request| {
        handle(Arc::clone(&shared), index, request)
    })
}

async fn handle(shared: Arc<Shared>, index: usize, request: Request<Incoming>) -> HandlerResult {
    if let Some(endpoint) = request.uri().path().strip_prefix("/fake/") {
        let endpoint = endpoint.to_owned();
        let body = http::read_body(request).await?;
        return handle_control(&shared, &endpoint, &body);
    }
    let server = Arc::clone(&shared.servers[index]);
    let headers = request.headers().clone();
    let body = http::read_body(request).await?;
    run::run_task(shared, server, headers, body).await
}

fn handle_control(shared: &Shared, endpoint: &str, body: &Bytes) -> HandlerResult {
    match endpoint {
        "counters" => http::ok_json(&*shared.counters()),
        "starts" => http::ok_json(&*shared.starts()),
        "faults" => match http::parse_json::<WorkerFaultUpdate>(body) {
            Ok(update) => {
                shared.update_faults(&update);
                http::ok_json(&update)
            }
            Err(error) => http::error(StatusCode::BAD_REQUEST, &error.to_string()),
        },
        _ => http::error(StatusCode::NOT_FOUND, "no such control endpoint"),
    }
}
