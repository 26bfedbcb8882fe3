//! The planned stop of an instance.

use std::time::Duration;

use hyper::Method;
use tokio::time::Instant;

use super::client::{Call, Client};
use super::error::OpsError;

/// Pause between two looks at the instance.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Longest time to wait for one answer, in milliseconds.
const LOOK_TIMEOUT_MS: u64 = 2000;

/// Tells the instance at `entry` to leave. Leaving twice is leaving once, but
/// the request goes to no other instance.
pub async fn drain(client: &Client, entry: &str) -> Result<(), OpsError> {
    let call = Call::new(Method::POST, "/v1/drain");
    client.only(entry)?.send(&call).await?.accept()?;
    Ok(())
}

/// Waits until nothing accepts a connection at `entry`.
pub async fn wait_gone(client: &Client, entry: &str, timeout_ms: u64) -> Result<(), OpsError> {
    let client = client.only(entry)?;
    let call = Call::new(Method::GET, "/healthz").timeout_ms(LOOK_TIMEOUT_MS);
    let until = Instant::now() + Duration::from_millis(timeout_ms);
    while !matches!(client.send(&call).await, Err(OpsError::Connect { .. })) {
        if Instant::now() >= until {
            return Err(OpsError::TimedOut {
                message: format!("{entry} still accepts connections after {timeout_ms} ms"),
            });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}
