//! Drains an instance: the planned stop.

use std::time::Duration;

use hyper::Method;
use tokio::time::Instant;

use super::client::{ApiRequest, Client};
use super::error::OpsError;

const POLL_INTERVAL: Duration = Duration::from_millis(200);
const POLL_TIMEOUT_MS: u64 = 2000;

/// Starts draining the instance at `entry`. The request goes to no other instance.
pub async fn drain(client: &Client, entry: &str) -> Result<(), OpsError> {
    let request = ApiRequest::new(Method::POST, "/v1/drain");
    client
        .for_entry(entry)?
        .send(&request)
        .await?
        .error_for_status()?;
    Ok(())
}

/// Waits until `entry` refuses connections.
pub async fn wait_stopped(client: &Client, entry: &str, timeout_ms: u64) -> Result<(), OpsError> {
    let client = client.for_entry(entry)?;
    let request = ApiRequest::new(Method::GET, "/healthz").timeout_ms(POLL_TIMEOUT_MS);
    let deadline = Instant::now() + Duration::from_millis(timeout_ms);
    while !matches!(client.send(&request).await, Err(OpsError::Connect { .. })) {
        if Instant::now() >= deadline {
            return Err(OpsError::TimedOut {
                message: format!("{entry} still accepts connections after {timeout_ms} ms"),
            });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}
