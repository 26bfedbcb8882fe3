//! A TCP relay that can be cut and restored, to part instances from each other.

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

use crate::http::{self, Answer, Server};

const BUFFER_BYTES: usize = 16 * 1024;

/// Whether a link passes bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkState {
    /// Bytes pass.
    #[default]
    Forwarding,
    /// Bytes are held back and connections stay open, as in a partition.
    Paused,
    /// The same for bytes towards the relayed address only.
    PausedUpstream,
    /// The same for bytes from the relayed address only.
    PausedDownstream,
    /// Connections are closed and new ones refused.
    Closed,
}

/// Which way bytes go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    Forth,
    Back,
}

impl LinkState {
    fn holds_back(self, way: Way) -> bool {
        match self {
            Self::Paused => true,
            Self::PausedUpstream => way == Way::Forth,
            Self::PausedDownstream => way == Way::Back,
            Self::Forwarding | Self::Closed => false,
        }
    }
}

/// What every connection of a relay follows.
#[derive(Clone, Copy, Debug, Default)]
struct Orders {
    state: LinkState,
    /// Connections of an earlier generation are silent for good.
    generation: u64,
}

/// One connection's view of the relay's orders.
#[derive(Clone)]
struct Connection {
    orders: watch::Receiver<Orders>,
    generation: u64,
}

impl Connection {
    fn new(orders: watch::Receiver<Orders>) -> Self {
        let generation = orders.borrow().generation;
        Self { orders, generation }
    }

    /// Waits until bytes may pass; an error closes the connection.
    async fn wait_whole(&mut self, way: Way) -> io::Result<()> {
        let generation = self.generation;
        let passes =
            |orders: &Orders| generation == orders.generation && !orders.state.holds_back(way);
        let orders = self.orders.wait_for(passes).await;
        match orders.map_err(io::Error::other)?.state {
            LinkState::Closed => Err(io::ErrorKind::ConnectionReset.into()),
            _ => Ok(()),
        }
    }
}

/// An order over HTTP, `POST /fake/cut`.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CutOrder {
    /// Whether the link is cut.
    pub cut: bool,
    /// Whether a cut closes the connections.
    pub close: bool,
}

impl From<CutOrder> for LinkState {
    fn from(order: CutOrder) -> Self {
        match (order.cut, order.close) {
            (false, _) => Self::Forwarding,
            (true, false) => Self::Paused,
            (true, true) => Self::Closed,
        }
    }
}

/// A running relay, which stops when dropped.
#[derive(Debug)]
pub struct RelayHandle {
    /// Address relayed from.
    pub address: SocketAddr,
    /// Address of orders, where there is one.
    pub control_address: Option<SocketAddr>,
    orders: Arc<watch::Sender<Orders>>,
    task: JoinHandle<()>,
    _control: Option<Server>,
}

impl RelayHandle {
    /// Changes the state of the link.
    pub fn set_state(&self, state: LinkState) {
        self.orders.send_modify(|orders| orders.state = state);
    }

    /// Silences for good the connections that are open now; new ones work.
    pub fn pause_open_connections(&self) {
        self.orders.send_modify(|orders| orders.generation += 1);
    }

    /// Waits for as long as the relay runs.
    pub async fn wait(&mut self) {
        let _ = (&mut self.task).await;
    }

    /// Stops, closing every connection.
    pub fn stop(self) {}
}

impl Drop for RelayHandle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Relays `listen` to `to`; orders come over HTTP on `control` where given.
pub async fn start(
    listen: SocketAddr,
    to: SocketAddr,
    control: Option<SocketAddr>,
) -> io::Result<RelayHandle> {
    let listener = TcpListener::bind(listen).await?;
    let address = listener.local_addr()?;
    let orders = Arc::new(watch::Sender::new(Orders::default()));
    let control = match control {
        Some(control) => Some(serve_control(control, Arc::clone(&orders)).await?),
        None => None,
    };
    Ok(RelayHandle {
        address,
        control_address: control.as_ref().map(Server::address),
        task: tokio::spawn(accept_all(listener, to, orders.subscribe())),
        orders,
        _control: control,
    })
}

async fn serve_control(
    address: SocketAddr,
    orders: Arc<watch::Sender<Orders>>,
) -> io::Result<Server> {
    let listener = TcpListener::bind(address).await?;
    Server::start(listener, move |request| order(Arc::clone(&orders), request))
}

async fn order(orders: Arc<watch::Sender<Orders>>, request: Request<Incoming>) -> Answer {
    if request.uri().path() != "/fake/cut" {
        return http::error(StatusCode::NOT_FOUND, "no such order");
    }
    let body = http::read_body(request).await?;
    match http::from_json::<CutOrder>(&body) {
        Ok(order) => {
            orders.send_modify(|orders| orders.state = order.into());
            http::ok_json(&order)
        }
        Err(error) => http::error(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}

async fn accept_all(listener: TcpListener, to: SocketAddr, orders: watch::Receiver<Orders>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(relay(stream, to, Connection::new(orders.clone())));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn relay(near: TcpStream, to: SocketAddr, mut connection: Connection) {
    if connection.wait_whole(Way::Forth).await.is_err() {
        return;
    }
    let Ok(far) = TcpStream::connect(to).await else {
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    // Either way's end, by its peer or by an order, ends the connection.
    tokio::select! {
        _ = pass(near_read, far_write, connection.clone(), Way::Forth) => {}
        _ = pass(far_read, near_write, connection, Way::Back) => {}
    }
}

async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut connection: Connection,
    way: Way,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        connection.wait_whole(way).await?;
        let count = tokio::select! {
            count = from.read(&mut buffer) => count?,
            _ = connection.orders.changed() => continue,
        };
        if count == 0 {
            return Ok(());
        }
        // Bytes read before a cut are held back with the rest.
        connection.wait_whole(way).await?;
        to.write_all(&buffer[..count]).await?;
    }
}
