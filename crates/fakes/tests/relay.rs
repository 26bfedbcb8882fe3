//! A relay holds bytes back while paused, and closes connections on request.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::timeout,
};
use trefoil_fakes::relay::{self, LinkState, RelayHandle};

const LOCAL: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
const SHORT: Duration = Duration::from_millis(50);

async fn connect() -> (RelayHandle, TcpStream, TcpStream) {
    let listener = TcpListener::bind(LOCAL).await.unwrap();
    let to = listener.local_addr().unwrap();
    let relay = relay::start(LOCAL, to, None).await.unwrap();
    let client = TcpStream::connect(relay.address).await.unwrap();
    let (server, _) = listener.accept().await.unwrap();
    (relay, client, server)
}

#[tokio::test]
async fn paused_link_holds_bytes_back_until_resumed() {
    let (relay, mut client, mut server) = connect().await;
    relay.set_state(LinkState::Paused);
    client.write_all(b"x").await.unwrap();
    assert!(timeout(SHORT, server.read_u8()).await.is_err());
    relay.set_state(LinkState::Forwarding);
    assert_eq!(server.read_u8().await.unwrap(), b'x');
}

#[tokio::test]
async fn closed_link_closes_connections() {
    let (relay, mut client, mut server) = connect().await;
    relay.set_state(LinkState::Closed);
    assert!(server.read_u8().await.is_err());
    assert!(client.read_u8().await.is_err());
    let mut refused = TcpStream::connect(relay.address).await.unwrap();
    assert!(refused.read_u8().await.is_err());
}
