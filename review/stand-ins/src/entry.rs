//! Processes of the project, started with the command of the deploy file.

use std::fs::{self, File};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use crate::http;
use crate::json::Value;

/// Program that `deploy/system.toml` runs, relative to the repository.
const PROGRAM: &str = "target/release/trefoil-entry";

/// A running instance; dropping it kills the process.
pub struct Entry {
    pub name: String,
    pub zone: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
}

impl Entry {
    /// Starts an instance with these settings in the repository's root.
    ///
    /// # Errors
    ///
    /// If a file cannot be written or the program cannot be started.
    pub fn start(
        root: &Path,
        directory: &Path,
        name: &str,
        zone: &str,
        addresses: (SocketAddr, SocketAddr),
        settings: &Value,
    ) -> io::Result<Self> {
        let path: PathBuf = directory.join(format!("{name}.json"));
        fs::write(&path, settings.to_string())?;
        let log = File::create(directory.join(format!("{name}.log")))?;
        let child = Command::new(root.join(PROGRAM))
            .arg("--settings")
            .arg(&path)
            .current_dir(root)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            callers: addresses.0,
            ready: addresses.1,
            child,
        })
    }

    /// Whether it reports itself ready.
    pub fn is_ready(&self) -> bool {
        let timeout = Duration::from_millis(500);
        let response = http::call(self.ready, "GET", "/api/ready", &[], "", timeout);
        response.is_ok_and(|(status, _)| status == 200)
    }

    /// Whether the process is still there.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
