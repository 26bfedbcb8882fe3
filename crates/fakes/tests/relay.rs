//! A relay holds bytes back while cut, and closes connections when told to.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::timeout,
};
use trefoil_fakes::relay::{self, LinkState, RelayHandle};

const LOCAL: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
const SHORT: Duration = Duration::from_millis(50);

async fn pair() -> (RelayHandle, TcpStream, TcpStream) {
    let listener = TcpListener::bind(LOCAL).await.unwrap();
    let to = listener.local_addr().unwrap();
    let relay = relay::start(LOCAL, to, None).await.unwrap();
    let near = TcpStream::connect(relay.address).await.unwrap();
    let (far, _) = listener.accept().await.unwrap();
    (relay, near, far)
}

#[tokio::test]
async fn a_silent_cut_holds_bytes_until_restored() {
    let (relay, mut near, mut far) = pair().await;
    relay.set_state(LinkState::Paused);
    near.write_all(b"x").await.unwrap();
    assert!(timeout(SHORT, far.read_u8()).await.is_err());
    relay.set_state(LinkState::Forwarding);
    assert_eq!(far.read_u8().await.unwrap(), b'x');
}

#[tokio::test]
async fn a_closing_cut_ends_connections() {
    let (relay, mut near, mut far) = pair().await;
    relay.set_state(LinkState::Closed);
    assert!(far.read_u8().await.is_err());
    assert!(near.read_u8().await.is_err());
    let mut refused = TcpStream::connect(relay.address).await.unwrap();
    assert!(refused.read_u8().await.is_err());
}
