//! A `trefoild` process that is killed when its handle is dropped.

use std::fs::File;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use tokio::time::sleep;

use trefoil_schema::settings::PeerSettings;

/// Environment variable with the directory for instance logs; without it, logs
/// are discarded.
const LOG_DIRECTORY_ENV: &str = "TREFOIL_FAULT_LOGS";

/// Environment variable with the path of another `trefoild` binary to test.
const PROGRAM_ENV: &str = "TREFOIL_FAULT_PROGRAM";

#[derive(Clone, Debug)]
pub struct InstanceOptions {
    pub name: String,
    pub domain: String,
    pub domains: Vec<String>,
    pub http_address: SocketAddr,
    pub peer_address: SocketAddr,
    pub platform: SocketAddr,
    pub peers: Vec<PeerSettings>,
    pub announce_ms: u64,
    /// Further settings, as `PATH=VALUE`.
    pub settings: &'static [&'static str],
}

/// An instance, which may be stopped.
pub struct Instance {
    pub options: InstanceOptions,
    child: Option<Child>,
}

impl Instance {
    pub fn start(options: InstanceOptions) -> Self {
        let mut instance = Self {
            options,
            child: None,
        };
        instance.restart();
        instance
    }

    /// Kills the process if it runs, and starts it as a new incarnation.
    pub fn restart(&mut self) {
        self.kill();
        self.child = Some(command(&self.options).spawn().unwrap());
    }

    /// Sends `SIGKILL` and waits for the process to exit.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().unwrap();
            child.wait().unwrap();
        }
    }

    /// Id of the process, if it runs.
    #[allow(dead_code, reason = "used by the tests of resource limits")]
    pub fn id(&mut self) -> Option<u32> {
        let child = self.child.as_mut()?;
        child.try_wait().unwrap().is_none().then(|| child.id())
    }

    /// Sends `SIGTERM`, which starts a planned stop.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Waits for the process to exit. Returns its exit code, or `None` if it still
    /// runs after `timeout`.
    pub async fn wait_for_exit(&mut self, timeout: Duration) -> Option<i32> {
        let start = Instant::now();
        while start.elapsed() < timeout {
            let exited = self.child.as_mut().unwrap().try_wait().unwrap();
            if let Some(status) = exited {
                self.child = None;
                return status.code();
            }
            sleep(Duration::from_millis(5)).await;
        }
        None
    }

    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Sends `SIGSTOP`.
    pub fn suspend(&self) {
        self.signal("STOP");
    }

    /// Sends `SIGCONT`.
    pub fn resume(&self) {
        self.signal("CONT");
    }

    fn signal(&self, name: &str) {
        let id = self.child.as_ref().unwrap().id().to_string();
        let sent = Command::new("kill").args(["-s", name, &id]).status();
        assert!(sent.unwrap().success());
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            drop(child.kill());
            drop(child.wait());
        }
    }
}

fn command(options: &InstanceOptions) -> Command {
    let default_program = env!("CARGO_BIN_EXE_trefoild").to_owned();
    let mut command = Command::new(std::env::var(PROGRAM_ENV).unwrap_or(default_program));
    let domains = serde_json::to_string(&options.domains).unwrap();
    let peers = serde_json::to_string(&options.peers).unwrap();
    let overrides = [
        format!("instance={}", options.name),
        format!("failure_domain={}", options.domain),
        format!("failure_domains={domains}"),
        format!("peers={peers}"),
        format!("http_address={}", options.http_address),
        format!("peer_address={}", options.peer_address),
        format!("platform.address={}", options.platform),
        "platform.call_timeout_ms=500".to_owned(),
        "platform.backoff_min_ms=20".to_owned(),
        "platform.backoff_max_ms=200".to_owned(),
        "platform.instance_list_poll_ms=200".to_owned(),
        "membership.heartbeat_ms=50".to_owned(),
        "membership.suspect_ms=400".to_owned(),
        "membership.vouch_ahead_ms=300".to_owned(),
        "membership.view_change_margin_ms=200".to_owned(),
        "membership.gone_clock_bound_ms=1000".to_owned(),
        "workers.probation_ms=300".to_owned(),
        format!("drain.announce_ms={}", options.announce_ms),
    ];
    for setting in overrides {
        command.args(["--set", &setting]);
    }
    for setting in options.settings {
        command.args(["--set", setting]);
    }
    command.stderr(log_output(options)).stdout(Stdio::null());
    command
}

fn log_output(options: &InstanceOptions) -> Stdio {
    let Ok(directory) = std::env::var(LOG_DIRECTORY_ENV) else {
        return Stdio::null();
    };
    let path = format!("{directory}/{}-{}.log", options.http_address, options.name);
    let file = File::options().create(true).append(true).open(path);
    file.map_or_else(|_| Stdio::null(), Stdio::from)
}
