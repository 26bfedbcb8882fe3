//! Bounded connection pool of one worker.
//!
//! Each connection in use holds a permit. A connection is opened only if none is
//! idle, and is returned before its permit is released, so the number of open
//! connections never exceeds the number of permits.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hyper::header::HeaderValue;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;

use super::connection::Connection;
use super::outcome::CallError;

/// Idle time after which a connection is closed. Shorter than the usual
/// keep-alive timeout of servers, because a request that crosses the server's
/// close may have run.
pub(crate) const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Connections to one worker.
#[derive(Debug)]
pub(crate) struct Pool {
    address: Arc<str>,
    host: HeaderValue,
    permits: Arc<Semaphore>,
    state: Mutex<PoolState>,
}

#[derive(Debug, Default)]
struct PoolState {
    /// Idle connections, most recently used last.
    idle: Vec<IdleConnection>,
    /// Total number of permits.
    connections_max: usize,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    since: Instant,
}

impl Pool {
    /// Creates an empty pool for the worker at `address`.
    pub(crate) fn new(address: Arc<str>) -> Self {
        let host = HeaderValue::from_str(&address).unwrap_or(HeaderValue::from_static(""));
        Self {
            address,
            host,
            permits: Arc::new(Semaphore::new(0)),
            state: Mutex::default(),
        }
    }

    pub(crate) fn host(&self) -> &HeaderValue {
        &self.host
    }

    /// Waits until fewer than `connections_max` connections are in use, then
    /// takes an idle connection or opens one.
    pub(crate) async fn checkout(
        self: &Arc<Self>,
        connections_max: u32,
        connect_timeout: Duration,
    ) -> Result<PooledConnection, CallError> {
        self.resize(connections_max as usize);
        let permit = Arc::clone(&self.permits)
            .acquire_owned()
            .await
            .map_err(|error| CallError::NotSent(error.to_string()))?;
        let reused = self.take_usable_idle().await;
        let is_new = reused.is_none();
        let connection = match reused {
            Some(connection) => connection,
            None => self.open(connect_timeout).await?,
        };
        Ok(PooledConnection {
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
                Err(CallError::NotSent(text))
            })
    }

    async fn take_usable_idle(&self) -> Option<Connection> {
        while let Some(mut idle) = self.pop_idle() {
            if idle.since.elapsed() < IDLE_TIMEOUT && idle.connection.is_usable().await {
                return Some(idle.connection);
            }
        }
        None
    }

    fn pop_idle(&self) -> Option<IdleConnection> {
        self.state().idle.pop()
    }

    /// Closes connections past the idle timeout; returns whether any is left.
    pub(crate) fn evict_idle(&self) -> bool {
        let mut state = self.state();
        state
            .idle
            .retain(|idle| idle.since.elapsed() < IDLE_TIMEOUT);
        !state.idle.is_empty()
    }

    /// Changes the limit. Permits in use are withdrawn by a later call, once
    /// they have been released.
    fn resize(&self, connections_max: usize) {
        let mut state = self.state();
        let current_max = state.connections_max;
        if current_max < connections_max {
            self.permits.add_permits(connections_max - current_max);
            state.connections_max = connections_max;
        } else if current_max > connections_max {
            state.connections_max -= self.permits.forget_permits(current_max - connections_max);
        }
    }

    fn state(&self) -> MutexGuard<'_, PoolState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A connection in use. Dropping it closes the connection;
/// [`PooledConnection::release`] returns it to the pool.
#[derive(Debug)]
pub(crate) struct PooledConnection {
    pool: Arc<Pool>,
    connection: Connection,
    is_new: bool,
    permit: OwnedSemaphorePermit,
}

impl PooledConnection {
    /// Whether the connection was newly opened.
    pub(crate) fn is_new(&self) -> bool {
        self.is_new
    }

    pub(crate) fn connection(&mut self) -> &mut Connection {
        &mut self.connection
    }

    /// Returns the connection to the pool for reuse.
    pub(crate) fn release(self) {
        let idle = IdleConnection {
            connection: self.connection,
            since: Instant::now(),
        };
        self.pool.state().idle.push(idle);
        drop(self.permit);
    }
}
