//! Accepts connections, with a delay after each failure.

use std::time::{Duration, Instant};

use slog::{Logger, warn};
use tokio::net::{TcpListener, TcpStream};

/// Delay after the first failure; it doubles with each further one.
const BACKOFF_MIN: Duration = Duration::from_millis(10);
const BACKOFF_MAX: Duration = Duration::from_millis(500);
/// Minimum interval between two log records of failures.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// A listener that outlasts failures, such as a lack of descriptors.
pub struct Acceptor {
    listener: TcpListener,
    log: Logger,
    /// Failures since the last connection.
    failures: u32,
    /// Failures since the last log record.
    unlogged_failures: u64,
    logged_at: Option<Instant>,
}

impl Acceptor {
    /// Accepts connections of `listener`, and logs failures to `log`.
    pub fn new(listener: TcpListener, log: Logger) -> Self {
        Self {
            listener,
            log,
            failures: 0,
            unlogged_failures: 0,
            logged_at: None,
        }
    }

    /// Waits for the next connection.
    pub async fn accept(&mut self) -> TcpStream {
        loop {
            match self.listener.accept().await {
                Ok((stream, _)) => {
                    self.failures = 0;
                    return stream;
                }
                Err(error) => {
                    self.log_failure(&error);
                    let backoff = BACKOFF_MIN * 2_u32.pow(self.failures.min(10));
                    self.failures += 1;
                    tokio::time::sleep(backoff.min(BACKOFF_MAX)).await;
                }
            }
        }
    }

    fn log_failure(&mut self, error: &std::io::Error) {
        self.unlogged_failures += 1;
        let logged_at = self.logged_at;
        if logged_at.is_some_and(|logged_at| logged_at.elapsed() < LOG_INTERVAL) {
            return;
        }
        warn!(self.log, "cannot accept connections"; "error" => %error,
            "address" => ?self.listener.local_addr().ok(), "failures" => self.unlogged_failures);
        self.logged_at = Some(Instant::now());
        self.unlogged_failures = 0;
    }
}
