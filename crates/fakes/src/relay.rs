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
    Whole,
    /// Bytes are held back and connections stay open, as in a partition.
    Silent,
    /// The same for bytes towards the relayed address only.
    SilentForth,
    /// The same for bytes from the relayed address only.
    SilentBack,
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
            Self::Silent => true,
            Self::SilentForth => way == Way::Forth,
            Self::SilentBack => way == Way::Back,
            Self::Whole | Self::Closed => false,
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
            (false, _) => Self::Whole,
            (true, false) => Self::Silent,
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
    state: Arc<watch::Sender<LinkState>>,
    task: JoinHandle<()>,
    _control: Option<Server>,
}

impl RelayHandle {
    /// Changes the state of the link.
    pub fn set(&self, state: LinkState) {
        self.state.send_replace(state);
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
    let state = Arc::new(watch::Sender::new(LinkState::default()));
    let control = match control {
        Some(control) => Some(serve_control(control, Arc::clone(&state)).await?),
        None => None,
    };
    Ok(RelayHandle {
        address,
        control_address: control.as_ref().map(Server::address),
        task: tokio::spawn(accept_all(listener, to, state.subscribe())),
        state,
        _control: control,
    })
}

async fn serve_control(
    address: SocketAddr,
    state: Arc<watch::Sender<LinkState>>,
) -> io::Result<Server> {
    let listener = TcpListener::bind(address).await?;
    Server::start(listener, move |request| order(Arc::clone(&state), request))
}

async fn order(state: Arc<watch::Sender<LinkState>>, request: Request<Incoming>) -> Answer {
    if request.uri().path() != "/fake/cut" {
        return http::error(StatusCode::NOT_FOUND, "no such order");
    }
    let body = http::read_body(request).await?;
    match http::from_json::<CutOrder>(&body) {
        Ok(order) => {
            state.send_replace(order.into());
            http::ok_json(&order)
        }
        Err(error) => http::error(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}

async fn accept_all(listener: TcpListener, to: SocketAddr, state: watch::Receiver<LinkState>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(relay(stream, to, state.clone()));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn relay(near: TcpStream, to: SocketAddr, mut state: watch::Receiver<LinkState>) {
    if wait_whole(&mut state, Way::Forth).await.is_err() {
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
        _ = pass(near_read, far_write, state.clone(), Way::Forth) => {}
        _ = pass(far_read, near_write, state, Way::Back) => {}
    }
}

/// Waits until bytes may pass; an error closes the connection.
async fn wait_whole(state: &mut watch::Receiver<LinkState>, way: Way) -> io::Result<()> {
    let state = state
        .wait_for(|state| !state.holds_back(way))
        .await
        .map_err(io::Error::other)?;
    match *state {
        LinkState::Closed => Err(io::ErrorKind::ConnectionReset.into()),
        _ => Ok(()),
    }
}

async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<LinkState>,
    way: Way,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        wait_whole(&mut state, way).await?;
        let count = tokio::select! {
            count = from.read(&mut buffer) => count?,
            _ = state.changed() => continue,
        };
        if count == 0 {
            return Ok(());
        }
        // Bytes read before a cut are held back with the rest.
        wait_whole(&mut state, way).await?;
        to.write_all(&buffer[..count]).await?;
    }
}
