//! Callers' connections: limits on their number, on the memory of their request bodies, and on
//! the time that a request takes to arrive.
//!
//! When a limit is reached, the request that began to arrive first is given up for the newest
//! one: a request usually arrives within moments, so that the one which has been arriving for
//! longest is the least likely to end. Connections whose request is being handled are not closed.

mod table;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

use tokio::sync::Notify;
use tokio::task::AbortHandle;

pub use table::{BodyError, ConnectionKey, ConnectionLimits, ConnectionStats, ConnectionTable};

/// The open connections of a listener, shared by the tasks that serve them.
#[derive(Debug)]
pub struct Connections {
    table: RefCell<ConnectionTable>,
    started: Instant,
}

impl Connections {
    /// Creates an empty set.
    pub fn new() -> Rc<Self> {
        Rc::new(Self {
            table: RefCell::default(),
            started: Instant::now(),
        })
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Adds a connection, if need be in the place of another one. Returns `None` if the requests
    /// of all others are being handled.
    pub fn open(self: &Rc<Self>, limits: &ConnectionLimits) -> Option<ConnectionGuard> {
        let key = self.table.borrow_mut().open(self.now_ms(), limits)?;
        Some(ConnectionGuard {
            connections: Rc::clone(self),
            key,
        })
    }

    /// Sets the task that is aborted to close a connection.
    pub fn set_task(&self, key: ConnectionKey, task: AbortHandle) {
        self.table.borrow_mut().set_task(key, task);
    }

    /// Closes the connections, and gives up the bodies, that have exceeded a timeout.
    pub fn expire(&self, limits: &ConnectionLimits) {
        self.table.borrow_mut().expire(self.now_ms(), limits);
    }

    /// Number of open connections.
    pub fn len(&self) -> usize {
        self.table.borrow().len()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.table.borrow().is_empty()
    }

    /// Memory of all bodies that are being received, in bytes.
    pub fn bodies_bytes(&self) -> u64 {
        self.table.borrow().bodies_bytes()
    }

    /// Returns the counters.
    pub fn stats(&self) -> ConnectionStats {
        self.table.borrow().stats()
    }
}

/// Removes its connection from the set when dropped.
#[derive(Debug)]
pub struct ConnectionGuard {
    connections: Rc<Connections>,
    key: ConnectionKey,
}

impl ConnectionGuard {
    /// Key of the connection.
    pub fn key(&self) -> ConnectionKey {
        self.key
    }

    /// Records that bytes were received.
    pub fn on_received(&self) {
        let now_ms = self.connections.now_ms();
        self.table().on_received(self.key, now_ms);
    }

    /// Records that a request is being handled, until the returned guard is dropped.
    pub fn begin_request(self: &Rc<Self>) -> RequestGuard {
        let now_ms = self.connections.now_ms();
        self.table().on_handling(self.key, now_ms);
        RequestGuard {
            connection: Rc::clone(self),
        }
    }

    fn table(&self) -> std::cell::RefMut<'_, ConnectionTable> {
        self.connections.table.borrow_mut()
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.table().close(self.key);
    }
}

/// A request that is being handled; the connection is idle again when this is dropped.
#[derive(Debug)]
pub struct RequestGuard {
    connection: Rc<ConnectionGuard>,
}

impl RequestGuard {
    /// Begins to receive the body. Returns what notifies of a [`body_error`](Self::body_error).
    pub fn begin_body(&self) -> Rc<Notify> {
        let now_ms = self.connection.connections.now_ms();
        let mut table = self.connection.table();
        table.begin_body(self.connection.key, now_ms)
    }

    /// Why the body is not received any further, if so.
    pub fn body_error(&self) -> Option<BodyError> {
        self.connection.table().body_error(self.connection.key)
    }

    /// Adds a part to the body, if need be in the place of other bodies.
    ///
    /// # Errors
    ///
    /// If the body exceeds `body_bytes_max`, or has to make room for others.
    pub fn push_body(
        &self,
        part: &[u8],
        body_bytes_max: usize,
        limits: &ConnectionLimits,
    ) -> Result<(), BodyError> {
        let now_ms = self.connection.connections.now_ms();
        let mut table = self.connection.table();
        table.push_body(self.connection.key, now_ms, part, body_bytes_max, limits)
    }

    /// Takes the complete body.
    ///
    /// # Errors
    ///
    /// If it was given up before its end arrived.
    pub fn finish_body(&self) -> Result<Vec<u8>, BodyError> {
        let now_ms = self.connection.connections.now_ms();
        let mut table = self.connection.table();
        table.finish_body(self.connection.key, now_ms)
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let now_ms = self.connection.connections.now_ms();
        let mut table = self.connection.table();
        table.on_handled(self.connection.key, now_ms);
    }
}
