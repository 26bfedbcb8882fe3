//! A TCP relay that injects link faults, such as network partitions.

use std::{io, net::SocketAddr, sync::Arc};

use hyper::{Request, StatusCode, body::Incoming};
use serde::{Deserialize, Serialize};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    task::{JoinHandle, JoinSet},
};

use crate::http::{self, HandlerResult, Server};

const BUFFER_BYTES: usize = 16 * 1024;

/// How a relay treats its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkState {
    /// Bytes are forwarded.
    #[default]
    Forwarding,
    /// Bytes are held back and connections stay open, as in a network partition.
    Paused,
    /// [`Paused`](Self::Paused) only towards the relay's target.
    PausedUpstream,
    /// [`Paused`](Self::Paused) only from the relay's target.
    PausedDownstream,
    /// Connections are closed, and new ones are closed at once.
    Closed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    Upstream,
    Downstream,
}

impl LinkState {
    fn blocks(self, direction: Direction) -> bool {
        match self {
            Self::Paused => true,
            Self::PausedUpstream => direction == Direction::Upstream,
            Self::PausedDownstream => direction == Direction::Downstream,
            Self::Forwarding | Self::Closed => false,
        }
    }
}

/// State shared by all connections of a relay.
#[derive(Clone, Copy, Debug, Default)]
struct RelayState {
    link: LinkState,
    /// Connections of an earlier generation are paused for good.
    generation: u64,
}

#[derive(Clone)]
struct Connection {
    state: watch::Receiver<RelayState>,
    generation: u64,
}

impl Connection {
    fn new(state: watch::Receiver<RelayState>) -> Self {
        let generation = state.borrow().generation;
        Self { state, generation }
    }

    /// Waits until bytes may be forwarded.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is to be closed.
    async fn wait_until_forwarding(&mut self, direction: Direction) -> io::Result<()> {
        let generation = self.generation;
        let is_forwarding =
            |state: &RelayState| generation == state.generation && !state.link.blocks(direction);
        let state = self.state.wait_for(is_forwarding).await;
        match state.map_err(io::Error::other)?.link {
            LinkState::Closed => Err(io::ErrorKind::ConnectionReset.into()),
            _ => Ok(()),
        }
    }
}

/// Body of `POST /fake/cut` at the control address.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CutRequest {
    /// Whether the link is paused or closed.
    pub cut: bool,
    /// Closes the connections in place of pausing them.
    pub close: bool,
}

impl From<CutRequest> for LinkState {
    fn from(request: CutRequest) -> Self {
        match (request.cut, request.close) {
            (false, _) => Self::Forwarding,
            (true, false) => Self::Paused,
            (true, true) => Self::Closed,
        }
    }
}

/// A running relay. Dropping it stops the relay and closes its connections.
#[derive(Debug)]
pub struct RelayHandle {
    /// Address that the relay listens on.
    pub address: SocketAddr,
    /// Address of the HTTP control endpoint, if it has one.
    pub control_address: Option<SocketAddr>,
    state: Arc<watch::Sender<RelayState>>,
    task: JoinHandle<()>,
    _control: Option<Server>,
}

impl RelayHandle {
    /// Changes the state of the link.
    pub fn set_state(&self, link: LinkState) {
        self.state.send_modify(|state| state.link = link);
    }

    /// Pauses the connections that are open now for good; new ones are forwarded.
    pub fn pause_open_connections(&self) {
        self.state.send_modify(|state| state.generation += 1);
    }

    /// Waits until the relay stops.
    pub async fn wait(&mut self) {
        let _ = (&mut self.task).await;
    }

    /// Stops the relay and closes its connections.
    pub fn stop(self) {}
}

impl Drop for RelayHandle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Starts a relay from `listen` to `to`, with an HTTP control endpoint if `control` is given.
pub async fn start(
    listen: SocketAddr,
    to: SocketAddr,
    control: Option<SocketAddr>,
) -> io::Result<RelayHandle> {
    let listener = TcpListener::bind(listen).await?;
    let address = listener.local_addr()?;
    let state = Arc::new(watch::Sender::new(RelayState::default()));
    let control = match control {
        Some(control) => Some(serve_control(control, Arc::clone(&state)).await?),
        None => None,
    };
    Ok(RelayHandle {
        address,
        control_address: control.as_ref().map(Server::address),
        task: tokio::spawn(accept_connections(listener, to, state.subscribe())),
        state,
        _control: control,
    })
}

async fn serve_control(
    address: SocketAddr,
    state: Arc<watch::Sender<RelayState>>,
) -> io::Result<Server> {
    let listener = TcpListener::bind(address).await?;
    Server::start(listener, move |request| {
        handle_control(Arc::clone(&state), request)
    })
}

async fn handle_control(
    state: Arc<watch::Sender<RelayState>>,
    request: Request<Incoming>,
) -> HandlerResult {
    if request.uri().path() != "/fake/cut" {
        return http::error(StatusCode::NOT_FOUND, "no such control endpoint");
    }
    let body = http::read_body(request).await?;
    match http::parse_json::<CutRequest>(&body) {
        Ok(cut) => {
            state.send_modify(|state| state.link = cut.into());
            http::ok_json(&cut)
        }
        Err(error) => http::error(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}

async fn accept_connections(
    listener: TcpListener,
    to: SocketAddr,
    state: watch::Receiver<RelayState>,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(relay_connection(stream, to, Connection::new(state.clone())));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn relay_connection(client: TcpStream, to: SocketAddr, mut connection: Connection) {
    if connection
        .wait_until_forwarding(Direction::Upstream)
        .await
        .is_err()
    {
        return;
    }
    let Ok(server) = TcpStream::connect(to).await else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    // The end of either direction closes the whole connection.
    tokio::select! {
        _ = forward(client_read, server_write, connection.clone(), Direction::Upstream) => {}
        _ = forward(server_read, client_write, connection, Direction::Downstream) => {}
    }
}

async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut connection: Connection,
    direction: Direction,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        connection.wait_until_forwarding(direction).await?;
        let count = tokio::select! {
            count = from.read(&mut buffer) => count?,
            _ = connection.state.changed() => continue,
        };
        if count == 0 {
            return Ok(());
        }
        // The link may have been paused while the bytes were read.
        connection.wait_until_forwarding(direction).await?;
        to.write_all(&buffer[..count]).await?;
    }
}
