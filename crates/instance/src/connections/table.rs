//! State of the open connections of a listener.

use std::rc::Rc;

use slotmap::{SlotMap, new_key_type};
use tokio::sync::Notify;
use tokio::task::AbortHandle;

/// Maximum time from the first to the last byte of a request body.
const BODY_TIMEOUT_MS: u64 = 30_000;
/// Initial size of the buffer of a body.
const BODY_BUFFER_BYTES: usize = 4096;

new_key_type! {
    /// Key of a connection in its [`ConnectionTable`].
    pub struct ConnectionKey;
}

/// Limits of a [`ConnectionTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Maximum number of connections.
    pub connections_max: usize,
    /// Maximum memory of all bodies that are being received.
    pub bodies_bytes_max: u64,
    /// Maximum size of a request's line and headers.
    pub header_bytes_max: u64,
    /// Maximum time from the first byte of a request until the end of its headers.
    pub header_timeout_ms: u64,
    /// Maximum time without a request, and between two parts of a body.
    pub idle_timeout_ms: u64,
}

/// What a connection is used for at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Activity {
    /// Waits for a request, or for the caller to read a response.
    Idle,
    ReceivingHead,
    ReceivingBody,
    /// A complete request is being handled.
    Handling,
}

/// Why a body is not received any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// The body exceeds the size limit.
    TooLarge,
    /// Its memory is needed for other bodies.
    Evicted,
    /// It takes too long to arrive.
    TimedOut,
}

#[derive(Debug)]
struct Connection {
    activity: Activity,
    /// When the activity began.
    since_ms: u64,
    /// When a part of the body was last received.
    progress_ms: u64,
    /// The part of the body received so far.
    body: Vec<u8>,
    /// Set while the body is being received.
    body_error: Option<BodyError>,
    /// Notifies the receiver of the body that `body_error` is set.
    interrupted: Rc<Notify>,
    /// Closes the connection; `None` until its task has been spawned.
    task: Option<AbortHandle>,
}

/// Counters since the table was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionStats {
    /// Connections closed to make room for new ones.
    pub evicted: u64,
    /// Connections refused because all others were in use.
    pub refused: u64,
    /// Connections closed because a request took too long to arrive, or none came.
    pub timed_out: u64,
    /// Bodies given up to make room for others.
    pub bodies_evicted: u64,
    /// Bodies given up because they took too long to arrive.
    pub bodies_timed_out: u64,
}

/// The open connections of one listener. Times are in milliseconds of a monotonic clock.
#[derive(Debug, Default)]
pub struct ConnectionTable {
    connections: SlotMap<ConnectionKey, Connection>,
    /// Memory of all bodies that are being received.
    bodies_bytes: u64,
    stats: ConnectionStats,
}

impl ConnectionTable {
    /// Number of open connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Memory of all bodies that are being received.
    pub fn bodies_bytes(&self) -> u64 {
        self.bodies_bytes
    }

    /// Returns the counters.
    pub fn stats(&self) -> ConnectionStats {
        self.stats
    }

    /// Adds a connection, if need be in the place of another one. Returns `None` if the requests
    /// of all others are being handled.
    pub fn open(&mut self, now_ms: u64, limits: &ConnectionLimits) -> Option<ConnectionKey> {
        while self.connections.len() >= limits.connections_max {
            let Some(key) = self.oldest(|connection| connection.activity != Activity::Handling)
            else {
                self.stats.refused += 1;
                return None;
            };
            self.stats.evicted += 1;
            self.abort(key);
        }
        Some(self.connections.insert(Connection {
            activity: Activity::Idle,
            since_ms: now_ms,
            progress_ms: now_ms,
            body: Vec::new(),
            body_error: None,
            interrupted: Rc::default(),
            task: None,
        }))
    }

    /// Sets the task that serves a connection.
    pub fn set_task(&mut self, key: ConnectionKey, task: AbortHandle) {
        match self.connections.get_mut(key) {
            Some(connection) => connection.task = Some(task),
            // It has been closed already.
            None => task.abort(),
        }
    }

    /// Removes a connection.
    pub fn close(&mut self, key: ConnectionKey) {
        self.discard_body(key);
        self.connections.remove(key);
    }

    /// Records that bytes were received.
    pub fn on_received(&mut self, key: ConnectionKey, now_ms: u64) {
        if let Some(connection) = self.connections.get_mut(key)
            && connection.activity == Activity::Idle
        {
            connection.begin(Activity::ReceivingHead, now_ms);
        }
    }

    /// Records that a request is being handled.
    pub fn on_handling(&mut self, key: ConnectionKey, now_ms: u64) {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.begin(Activity::Handling, now_ms);
        }
    }

    /// Records that the request has been handled.
    pub fn on_handled(&mut self, key: ConnectionKey, now_ms: u64) {
        self.discard_body(key);
        if let Some(connection) = self.connections.get_mut(key) {
            connection.begin(Activity::Idle, now_ms);
        }
    }

    /// Begins to receive a body. Returns what notifies of a [`body_error`](Self::body_error).
    pub fn begin_body(&mut self, key: ConnectionKey, now_ms: u64) -> Rc<Notify> {
        let Some(connection) = self.connections.get_mut(key) else {
            return Rc::default();
        };
        connection.begin(Activity::ReceivingBody, now_ms);
        connection.progress_ms = now_ms;
        connection.body_error = None;
        Rc::clone(&connection.interrupted)
    }

    /// Why the body is not received any further, if so.
    pub fn body_error(&self, key: ConnectionKey) -> Option<BodyError> {
        self.connections.get(key)?.body_error
    }

    /// Adds a part to the body that is being received, if need be in the place of other bodies.
    ///
    /// # Errors
    ///
    /// If the body exceeds `body_bytes_max`, or is the first to make room for others.
    pub fn push_body(
        &mut self,
        key: ConnectionKey,
        now_ms: u64,
        part: &[u8],
        body_bytes_max: usize,
        limits: &ConnectionLimits,
    ) -> Result<(), BodyError> {
        let Some(connection) = self.connections.get_mut(key) else {
            return Err(BodyError::Evicted);
        };
        if let Some(error) = connection.body_error {
            return Err(error);
        }
        connection.progress_ms = now_ms;
        let (length, capacity) = (connection.body.len(), connection.body.capacity());
        let needed = length + part.len();
        if needed > body_bytes_max {
            return Err(BodyError::TooLarge);
        }
        if needed > capacity {
            let doubled = (capacity * 2).max(BODY_BUFFER_BYTES);
            let new_capacity = doubled.min(body_bytes_max).max(needed);
            self.make_room(key, (new_capacity - capacity) as u64, limits)?;
            let body = &mut self.connections[key].body;
            body.reserve_exact(new_capacity - length);
            self.bodies_bytes += (body.capacity() - capacity) as u64;
        }
        self.connections[key].body.extend_from_slice(part);
        Ok(())
    }

    /// Takes the complete body, whose request is handled from here on.
    ///
    /// # Errors
    ///
    /// If it was given up before its end arrived.
    pub fn finish_body(&mut self, key: ConnectionKey, now_ms: u64) -> Result<Vec<u8>, BodyError> {
        let Some(connection) = self.connections.get_mut(key) else {
            return Err(BodyError::Evicted);
        };
        if let Some(error) = connection.body_error {
            return Err(error);
        }
        connection.begin(Activity::Handling, now_ms);
        let body = std::mem::take(&mut connection.body);
        self.bodies_bytes -= body.capacity() as u64;
        Ok(body)
    }

    /// Closes the connections, and gives up the bodies, that have exceeded a timeout.
    pub fn expire(&mut self, now_ms: u64, limits: &ConnectionLimits) {
        let keys: Vec<ConnectionKey> = self.connections.keys().collect();
        for key in keys {
            let connection = &self.connections[key];
            let elapsed_ms = now_ms.saturating_sub(connection.since_ms);
            let stalled_ms = now_ms.saturating_sub(connection.progress_ms);
            match connection.activity {
                Activity::Idle if elapsed_ms > limits.idle_timeout_ms => {
                    self.stats.timed_out += 1;
                    self.abort(key);
                }
                Activity::ReceivingHead if elapsed_ms > limits.header_timeout_ms => {
                    self.stats.timed_out += 1;
                    self.abort(key);
                }
                Activity::ReceivingBody
                    if elapsed_ms > BODY_TIMEOUT_MS || stalled_ms > limits.idle_timeout_ms =>
                {
                    self.stats.bodies_timed_out += 1;
                    self.interrupt_body(key, BodyError::TimedOut);
                }
                _ => {}
            }
        }
    }

    /// Gives up the oldest bodies until `bytes` more fit.
    fn make_room(
        &mut self,
        key: ConnectionKey,
        bytes: u64,
        limits: &ConnectionLimits,
    ) -> Result<(), BodyError> {
        while self.bodies_bytes + bytes > limits.bodies_bytes_max {
            let has_body = |connection: &Connection| connection.body.capacity() > 0;
            let oldest = self.oldest(has_body).unwrap_or(key);
            self.stats.bodies_evicted += 1;
            self.interrupt_body(oldest, BodyError::Evicted);
            if oldest == key {
                return Err(BodyError::Evicted);
            }
        }
        Ok(())
    }

    /// The connection whose activity began first, of those that match.
    fn oldest(&self, matches: impl Fn(&Connection) -> bool) -> Option<ConnectionKey> {
        let connections = self.connections.iter();
        let matching = connections.filter(|(_, connection)| matches(connection));
        let oldest = matching.min_by_key(|(_, connection)| connection.since_ms);
        oldest.map(|(key, _)| key)
    }

    fn interrupt_body(&mut self, key: ConnectionKey, error: BodyError) {
        self.discard_body(key);
        if let Some(connection) = self.connections.get_mut(key) {
            connection.body_error = Some(error);
            connection.interrupted.notify_one();
        }
    }

    fn discard_body(&mut self, key: ConnectionKey) {
        if let Some(connection) = self.connections.get_mut(key) {
            let body = std::mem::take(&mut connection.body);
            self.bodies_bytes -= body.capacity() as u64;
        }
    }

    /// Removes a connection and closes it.
    fn abort(&mut self, key: ConnectionKey) {
        self.discard_body(key);
        let connection = self.connections.remove(key);
        if let Some(task) = connection.and_then(|connection| connection.task) {
            task.abort();
        }
    }
}

impl Connection {
    fn begin(&mut self, activity: Activity, now_ms: u64) {
        self.activity = activity;
        self.since_ms = now_ms;
    }
}
