//! TCP relay in front of an instance's link address.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

/// One way between zones.
const DELAY: Duration = Duration::from_micros(1400);

/// Name of the instance that opened a connection, and both sides of it.
type Connection = (String, TcpStream, TcpStream);

/// Handle to a relay.
#[derive(Clone)]
pub struct Relay {
    pub address: SocketAddr,
    connections: Arc<Mutex<Vec<Connection>>>,
}

impl Relay {
    /// Forwards each connection of a listener to `target`.
    pub fn start(listener: TcpListener, target: SocketAddr) -> Self {
        let relay = Self {
            address: listener.local_addr().expect("a bound listener"),
            connections: Arc::default(),
        };
        let accepting = relay.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let relay = accepting.clone();
                // A connection that cannot be forwarded is closed.
                thread::spawn(move || drop(relay.forward_connection(&client, target)));
            }
        });
        relay
    }

    fn forward_connection(&self, client: &TcpStream, target: SocketAddr) -> io::Result<()> {
        let server = TcpStream::connect(target)?;
        client.set_nodelay(true)?;
        server.set_nodelay(true)?;
        let back = (server.try_clone()?, client.try_clone()?);
        thread::spawn(move || forward(back.0, back.1));
        // An instance introduces itself by its name before anything else.
        let mut hello = [0; 16 * 1024];
        let count = client.try_clone()?.read(&mut hello)?;
        let connection = (
            name_in(&hello[..count]),
            client.try_clone()?,
            server.try_clone()?,
        );
        self.connections().push(connection);
        thread::sleep(DELAY);
        server.try_clone()?.write_all(&hello[..count])?;
        forward(client.try_clone()?, server);
        Ok(())
    }

    fn connections(&self) -> MutexGuard<'_, Vec<Connection>> {
        self.connections
            .lock()
            .expect("no thread panics with the lock")
    }

    /// Names of the instances that have opened connections.
    pub fn peers(&self) -> Vec<String> {
        let connections = self.connections();
        let open = connections
            .iter()
            .filter(|(_, client, _)| client.peer_addr().is_ok());
        open.map(|(name, ..)| name.clone()).collect()
    }

    /// Breaks the connections that an instance has opened; new ones work.
    pub fn break_connections_of(&self, name: &str) {
        for (_, client, server) in self.connections().iter().filter(|(peer, ..)| peer == name) {
            let _ = client.shutdown(Shutdown::Both);
            let _ = server.shutdown(Shutdown::Both);
        }
    }
}

/// The first name of an instance in a message.
fn name_in(message: &[u8]) -> String {
    let prefix = b"front-";
    let start = message
        .windows(prefix.len())
        .position(|window| window == prefix);
    let bytes = message.iter().skip(start.unwrap_or(message.len()));
    let is_part = |byte: &&u8| byte.is_ascii_alphanumeric() || **byte == b'-';
    let name: Vec<u8> = bytes.take_while(is_part).copied().collect();
    String::from_utf8_lossy(&name).into_owned()
}

fn forward(mut from: TcpStream, mut to: TcpStream) {
    let mut buffer = [0; 16 * 1024];
    while let Ok(count @ 1..) = from.read(&mut buffer) {
        thread::sleep(DELAY);
        if to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
