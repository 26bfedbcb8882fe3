//! Limits on the connections of callers and operators.
//!
//! A connection without a request is closed after a timeout, and when another one needs its
//! place: the one that has waited longest goes first. Connections with requests in progress are
//! kept.

use std::collections::HashMap;
use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use poem::http::uri::Scheme;
use poem::listener::{Acceptor, TcpAcceptor};
use poem::web::{LocalAddr, RemoteAddr};
use slog::{Logger, warn};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep};
use trefoil_schema::settings::HttpSettings;

/// Delay after a failure to accept a connection; it doubles with each further one.
const ACCEPT_BACKOFF_MIN: Duration = Duration::from_millis(10);
const ACCEPT_BACKOFF_MAX: Duration = Duration::from_millis(500);
/// Minimum interval between two log records of the same kind.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The open connections of the HTTP server, by the address of the client.
#[derive(Debug)]
pub struct Connections {
    connections_max: usize,
    request_timeout: Duration,
    open: Mutex<HashMap<SocketAddr, Arc<Connection>>>,
}

#[derive(Debug)]
struct Connection(Mutex<ConnectionState>);

#[derive(Debug)]
struct ConnectionState {
    /// Number of requests in progress; several over HTTP/2.
    requests: usize,
    /// Since when it has waited for a request, or for the client to read a response.
    waiting_since: Instant,
    is_evicted: bool,
    /// Wakes the task that serves the connection.
    waker: Option<Waker>,
}

impl Connection {
    fn lock(&self) -> MutexGuard<'_, ConnectionState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Since when it has waited for a request; `None` while a request is in progress.
    fn waiting_since(&self) -> Option<Instant> {
        let state = self.lock();
        (state.requests == 0).then_some(state.waiting_since)
    }

    fn evict(&self) {
        let mut state = self.lock();
        state.is_evicted = true;
        if let Some(waker) = state.waker.take() {
            waker.wake();
        }
    }
}

impl Connections {
    /// Creates an empty set with the limits of the settings.
    pub fn new(settings: &HttpSettings) -> Arc<Self> {
        Arc::new(Self {
            connections_max: settings.connections_max as usize,
            request_timeout: Duration::from_millis(settings.request_timeout_ms),
            open: Mutex::default(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Arc<Connection>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a request of a client is in progress until the returned guard is dropped.
    pub fn begin_request(&self, client: &SocketAddr) -> Option<RequestGuard> {
        let connection = Arc::clone(self.lock().get(client)?);
        connection.lock().requests += 1;
        Some(RequestGuard { connection })
    }

    /// Adds a connection, if need be in the place of another one. Returns it, and whether another
    /// one was closed for it; `None` if requests are in progress on all others.
    fn open(&self, client: SocketAddr) -> Option<(Arc<Connection>, bool)> {
        let mut open = self.lock();
        let mut has_evicted = false;
        while open.len() >= self.connections_max {
            let connections = open.iter();
            let waiting = connections
                .filter_map(|(client, connection)| Some((connection.waiting_since()?, *client)));
            let (_, oldest) = waiting.min()?;
            if let Some(connection) = open.remove(&oldest) {
                connection.evict();
                has_evicted = true;
            }
        }
        let connection = Arc::new(Connection(Mutex::new(ConnectionState {
            requests: 0,
            waiting_since: Instant::now(),
            is_evicted: false,
            waker: None,
        })));
        open.insert(client, Arc::clone(&connection));
        Some((connection, has_evicted))
    }

    fn close(&self, client: SocketAddr, connection: &Arc<Connection>) {
        let mut open = self.lock();
        if open
            .get(&client)
            .is_some_and(|known| Arc::ptr_eq(known, connection))
        {
            open.remove(&client);
        }
    }
}

/// A request in progress.
#[derive(Debug)]
pub struct RequestGuard {
    connection: Arc<Connection>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let mut state = self.connection.lock();
        state.requests -= 1;
        state.waiting_since = Instant::now();
    }
}

/// Accepts connections within the limits.
pub struct LimitedAcceptor {
    inner: TcpAcceptor,
    connections: Arc<Connections>,
    log: Logger,
    /// Failures to accept since the last connection.
    failures: u32,
    logged_at: Option<Instant>,
}

impl LimitedAcceptor {
    /// Accepts the connections of `inner`.
    pub fn new(inner: TcpAcceptor, connections: Arc<Connections>, log: Logger) -> Self {
        Self {
            inner,
            connections,
            log,
            failures: 0,
            logged_at: None,
        }
    }

    fn log(&mut self, event: &'static str, error: Option<&io::Error>) {
        let is_recent = |at: Instant| at.elapsed() < LOG_INTERVAL;
        if !self.logged_at.is_some_and(is_recent) {
            self.logged_at = Some(Instant::now());
            let error = error.map(ToString::to_string);
            warn!(self.log, "{}", event; "error" => error,
                "connections_max" => self.connections.connections_max);
        }
    }
}

impl Acceptor for LimitedAcceptor {
    type Io = LimitedStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.inner.local_addr()
    }

    async fn accept(&mut self) -> io::Result<(LimitedStream, LocalAddr, RemoteAddr, Scheme)> {
        loop {
            let (stream, local, remote, scheme) = match self.inner.accept().await {
                Ok(accepted) => accepted,
                Err(error) => {
                    self.log("cannot accept connections", Some(&error));
                    let backoff = ACCEPT_BACKOFF_MIN * 2_u32.pow(self.failures.min(10));
                    self.failures += 1;
                    tokio::time::sleep(backoff.min(ACCEPT_BACKOFF_MAX)).await;
                    continue;
                }
            };
            self.failures = 0;
            let client = stream.peer_addr().ok();
            let opened = client.and_then(|client| Some((client, self.connections.open(client)?)));
            let Some((client, (connection, has_evicted))) = opened else {
                self.log("connection refused", None);
                continue;
            };
            if has_evicted {
                self.log("connection closed for a new one", None);
            }
            let stream = LimitedStream {
                stream,
                client,
                connection,
                timeout: Box::pin(tokio::time::sleep(self.connections.request_timeout)),
                connections: Arc::clone(&self.connections),
            };
            return Ok((stream, local, remote, scheme));
        }
    }
}

/// A connection that fails when it has waited too long for a request, or is given up for another
/// one.
pub struct LimitedStream {
    stream: TcpStream,
    client: SocketAddr,
    connection: Arc<Connection>,
    timeout: Pin<Box<Sleep>>,
    connections: Arc<Connections>,
}

impl LimitedStream {
    /// Fails a write that is pending for too long. A response that the client reads, however
    /// slowly, is no idle connection.
    fn poll_written(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        match written {
            Poll::Ready(written) => {
                self.connection.lock().waiting_since = Instant::now();
                Poll::Ready(written)
            }
            Poll::Pending => self.poll_limits(context).map(Err),
        }
    }

    /// Called while the connection can neither be read nor written.
    fn poll_limits(&mut self, context: &mut Context<'_>) -> Poll<io::Error> {
        let mut state = self.connection.lock();
        if state.is_evicted {
            return Poll::Ready(io::ErrorKind::ConnectionAborted.into());
        }
        state.waker = Some(context.waker().clone());
        if state.requests > 0 {
            return Poll::Pending;
        }
        let deadline = state.waiting_since + self.connections.request_timeout;
        drop(state);
        if self.timeout.deadline() != deadline {
            self.timeout.as_mut().reset(deadline);
        }
        let expired = self.timeout.as_mut().poll(context);
        expired.map(|()| io::ErrorKind::TimedOut.into())
    }
}

impl Drop for LimitedStream {
    fn drop(&mut self) {
        self.connections.close(self.client, &self.connection);
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match Pin::new(&mut self.stream).poll_read(context, buffer) {
            Poll::Ready(read) => Poll::Ready(read),
            Poll::Pending => self.poll_limits(context).map(Err),
        }
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.poll_written(context, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.poll_written(context, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
