//! Proxies in front of the instances' links, which a partition stops.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The links between instances.
#[derive(Default)]
pub struct Links {
    /// Names of all instances.
    names: Mutex<Vec<String>>,
    /// The instance that is partitioned from all others.
    cut: Mutex<Option<String>>,
}

impl Links {
    pub fn add_name(&self, name: &str) {
        self.names.lock().unwrap().push(name.to_owned());
    }

    /// Partitions an instance from all others, or heals that.
    pub fn set_cut(&self, name: Option<&str>) {
        *self.cut.lock().unwrap() = name.map(str::to_owned);
    }

    fn is_cut(&self, ends: [Option<&str>; 2]) -> bool {
        let cut = self.cut.lock().unwrap();
        cut.is_some() && ends.contains(&cut.as_deref())
    }

    /// The dialing instance, which names itself first in its first message.
    fn dialer(&self, first: &[u8]) -> Option<String> {
        let names = self.names.lock().unwrap();
        let position = |name: &String| {
            let mut windows = first.windows(name.len());
            windows.position(|window| window == name.as_bytes())
        };
        let found = names
            .iter()
            .filter_map(|name| Some((position(name)?, name.clone())));
        found.min().map(|(_, name)| name)
    }

    /// Forwards connections from `listener` to an instance.
    pub fn forward(self: &Arc<Self>, listener: TcpListener, name: &str, to: SocketAddr) {
        let (links, name) = (Arc::clone(self), name.to_owned());
        thread::spawn(move || {
            for dialed in listener.incoming().flatten() {
                let (links, name) = (Arc::clone(&links), name.clone());
                thread::spawn(move || links.serve(&dialed, &name, to));
            }
        });
    }

    fn serve(self: &Arc<Self>, dialed: &TcpStream, name: &str, to: SocketAddr) -> Option<()> {
        let mut first = vec![0; 64 * 1024];
        let length = (&mut &*dialed).read(&mut first).ok()?;
        first.truncate(length);
        let dialer = self.dialer(&first);
        let ends = [Some(name.to_owned()), dialer];
        self.wait(&ends);
        let accepted = TcpStream::connect(to).ok()?;
        let _ = (dialed.set_nodelay(true), accepted.set_nodelay(true));
        (&mut &accepted).write_all(&first).ok()?;
        let back = (accepted.try_clone().ok()?, dialed.try_clone().ok()?);
        let (links, back_ends) = (Arc::clone(self), ends.clone());
        thread::spawn(move || links.copy(&back.0, &back.1, &back_ends));
        self.copy(dialed, &accepted, &ends);
        Some(())
    }

    /// Waits until the ends of a link can reach each other.
    fn wait(&self, ends: &[Option<String>; 2]) {
        while self.is_cut([ends[0].as_deref(), ends[1].as_deref()]) {
            thread::sleep(Duration::from_millis(2));
        }
    }

    fn copy(&self, from: &TcpStream, to: &TcpStream, ends: &[Option<String>; 2]) {
        let mut buffer = vec![0; 64 * 1024];
        while let Ok(length) = (&mut &*from).read(&mut buffer) {
            self.wait(ends);
            if length == 0 || (&mut &*to).write_all(&buffer[..length]).is_err() {
                break;
            }
        }
        let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
    }
}
