//! Bounded connections to one worker.
//!
//! A permit stands for one open connection in use. A connection is opened only
//! when none is idle, and goes back before its permit does, so the open ones
//! never exceed the permits.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hyper::header::HeaderValue;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;

use super::connection::Connection;
use super::outcome::CallError;

/// Longest idle time of a connection, below the usual keep-alive of servers: a
/// request sent just as the server closes would be lost at `may_have_run`.
pub const IDLE_MAX: Duration = Duration::from_secs(4);

/// Connections to one worker.
#[derive(Debug)]
pub struct Pool {
    address: Arc<str>,
    host: HeaderValue,
    permits: Arc<Semaphore>,
    state: Mutex<PoolState>,
}

#[derive(Debug, Default)]
struct PoolState {
    /// Idle connections, the last used one last.
    idle: Vec<Idle>,
    /// Permits in all.
    connections_max: usize,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
}

impl Pool {
    /// A pool without connections for the worker at `address`.
    pub fn new(address: Arc<str>) -> Self {
        let host = HeaderValue::from_str(&address).unwrap_or(HeaderValue::from_static(""));
        Self {
            address,
            host,
            permits: Arc::new(Semaphore::new(0)),
            state: Mutex::default(),
        }
    }

    /// Value of the `Host` header.
    pub fn host(&self) -> &HeaderValue {
        &self.host
    }

    /// Takes an idle connection or opens one, once fewer than
    /// `connections_max` are in use.
    pub async fn checkout(
        self: &Arc<Self>,
        connections_max: u32,
        connect_timeout: Duration,
    ) -> Result<Lease, CallError> {
        self.resize(connections_max as usize);
        let permit = Arc::clone(&self.permits)
            .acquire_owned()
            .await
            .map_err(|error| CallError::NotConnected(error.to_string()))?;
        let reused = self.usable_idle().await;
        let is_new = reused.is_none();
        let connection = match reused {
            Some(connection) => connection,
            None => self.open(connect_timeout).await?,
        };
        Ok(Lease {
            pool: Arc::clone(self),
            connection,
            is_new,
            permit,
        })
    }

    async fn open(&self, connect_timeout: Duration) -> Result<Connection, CallError> {
        tokio::time::timeout(connect_timeout, Connection::open(&self.address))
            .await
            .unwrap_or_else(|_| {
                let text = "no connection within the connect timeout".to_owned();
                Err(CallError::NotConnected(text))
            })
    }

    async fn usable_idle(&self) -> Option<Connection> {
        while let Some(mut idle) = self.pop_idle() {
            if idle.since.elapsed() < IDLE_MAX && idle.connection.is_usable().await {
                return Some(idle.connection);
            }
        }
        None
    }

    fn pop_idle(&self) -> Option<Idle> {
        self.state().idle.pop()
    }

    /// Closes connections that were idle for too long; whether any is left.
    pub fn sweep(&self) -> bool {
        let mut state = self.state();
        state.idle.retain(|idle| idle.since.elapsed() < IDLE_MAX);
        !state.idle.is_empty()
    }

    /// Moves the bound; permits in use are taken back when they are free.
    fn resize(&self, connections_max: usize) {
        let mut state = self.state();
        let have = state.connections_max;
        if have < connections_max {
            self.permits.add_permits(connections_max - have);
            state.connections_max = connections_max;
        } else if have > connections_max {
            state.connections_max -= self.permits.forget_permits(have - connections_max);
        }
    }

    fn state(&self) -> MutexGuard<'_, PoolState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A connection in use. Dropping it closes the connection; [`Lease::keep`]
/// gives it back.
#[derive(Debug)]
pub struct Lease {
    pool: Arc<Pool>,
    connection: Connection,
    is_new: bool,
    permit: OwnedSemaphorePermit,
}

impl Lease {
    /// Whether the connection was opened for this lease.
    pub fn is_new(&self) -> bool {
        self.is_new
    }

    /// The connection.
    pub fn connection(&mut self) -> &mut Connection {
        &mut self.connection
    }

    /// Gives the connection back for reuse.
    pub fn keep(self) {
        let idle = Idle {
            connection: self.connection,
            since: Instant::now(),
        };
        self.pool.state().idle.push(idle);
        drop(self.permit);
    }
}
