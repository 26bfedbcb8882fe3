//! Stand-in for backend servers: one process serves many, on consecutive ports.
//!
//! A task's payload may hold `run_ms`, `result` and `fail`. The task holds a
//! slot for its run time, whatever becomes of the connection. Every start is
//! recorded, for the checker of histories.

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

use crate::http::{self, Answer, Server};
use faults::{WorkerFaultUpdate, WorkerFaults};
use record::{TaskStart, WorkerCounters};

pub use run::TASK_HEADER;

/// How the stand-ins behave.
#[derive(Clone, Debug)]
pub struct WorkerOptions {
    /// Backend servers of this process.
    pub count: usize,
    /// Slots of each: tasks that run at once.
    pub slots: usize,
    /// Faults of all of them from the start.
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

/// What the backend servers of a process share. Where both locks are taken,
/// that of the starts comes first.
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

    fn update_faults(&self, order: &WorkerFaultUpdate) {
        self.servers
            .iter()
            .enumerate()
            .filter(|(index, _)| order.worker.is_none_or(|worker| worker == *index))
            .for_each(|(_, server)| order.apply(&mut lock(&server.faults)));
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Running backend servers, which stop when dropped.
#[derive(Debug)]
pub struct WorkersHandle {
    /// Addresses served, one a backend server.
    pub addresses: Vec<SocketAddr>,
    shared: Arc<Shared>,
    servers: Vec<Server>,
}

impl WorkersHandle {
    /// Changes the faults in force.
    pub fn update_faults(&self, order: &WorkerFaultUpdate) {
        self.shared.update_faults(order);
    }

    /// Every start so far, in order.
    pub fn starts(&self) -> Vec<TaskStart> {
        self.shared.starts().clone()
    }

    /// Counters so far.
    pub fn counters(&self) -> WorkerCounters {
        *self.shared.counters()
    }

    /// Stops one backend server, closing its connections; it stays away.
    pub fn kill(&mut self, worker: usize) {
        let address = self.addresses.get(worker).copied();
        self.servers
            .retain(|server| Some(server.address()) != address);
    }

    /// Waits for as long as the backend servers run.
    pub async fn wait(&mut self) {
        for server in &mut self.servers {
            server.wait().await;
        }
    }

    /// Stops, closing every connection.
    pub fn stop(self) {}
}

/// Starts backend servers on `address` and the ports after it; port 0 takes
/// free ones.
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

async fn handle(shared: Arc<Shared>, index: usize, request: Request<Incoming>) -> Answer {
    if let Some(order) = request.uri().path().strip_prefix("/fake/") {
        let order = order.to_owned();
        let body = http::read_body(request).await?;
        return control(&shared, &order, &body);
    }
    let server = Arc::clone(&shared.servers[index]);
    let headers = request.headers().clone();
    let body = http::read_body(request).await?;
    run::run(shared, server, headers, body).await
}

fn control(shared: &Shared, order: &str, body: &Bytes) -> Answer {
    match order {
        "counters" => http::ok_json(&*shared.counters()),
        "starts" => http::ok_json(&*shared.starts()),
        "faults" => match http::from_json::<WorkerFaultUpdate>(body) {
            Ok(order) => {
                shared.update_faults(&order);
                http::ok_json(&order)
            }
            Err(error) => http::error(StatusCode::BAD_REQUEST, &error.to_string()),
        },
        _ => http::error(StatusCode::NOT_FOUND, "no such order"),
    }
}
