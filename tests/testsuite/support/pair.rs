//! Two instances of one failure domain in the test's process, with a fake
//! platform.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::header::{HeaderName, HeaderValue};
use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use slog::{Discard, Logger, o};
use tokio::task::JoinHandle;
use tokio::time::sleep;
use trefoil_fakes::client::{Client, Reply, request};
use trefoil_fakes::platform::{self, PlatformHandle, PlatformOptions};
use trefoil_schema::settings::{PeerSettings, Settings};
use trefoilbay::server;
use trefoilbay::util::settings;
use trefoilbay::util::telemetry::Telemetry;

use super::address::free_address;

const POLL_INTERVAL: Duration = Duration::from_millis(20);
const POLLS_MAX: u32 = 500;
const NAMES: [&str; 2] = ["entry-1", "entry-2"];
/// Prefix of the metrics line that counts completed jobs.
const COMPLETED_JOBS_PREFIX: &str = "trefoil_jobs_ended_total{end=\"complete\"";

/// Two running instances; both stop when dropped.
pub struct InstancePair {
    pub entries: [SocketAddr; 2],
    pub peers: [SocketAddr; 2],
    /// Number of jobs refused during [`Self::start`], while keys had no owners.
    pub setup_jobs_refused: usize,
    client: Client,
    servers: Vec<JoinHandle<()>>,
    _platform: PlatformHandle,
}

impl Drop for InstancePair {
    fn drop(&mut self) {
        self.servers.iter().for_each(JoinHandle::abort);
    }
}

impl InstancePair {
    /// Starts both instances and waits until they are ready. The backend server at
    /// `worker` is declared for the service `pay`.
    pub async fn start(worker: SocketAddr, telemetry: impl Fn(&Settings) -> Telemetry) -> Self {
        let any = "127.0.0.1:0".parse().unwrap();
        let platform = platform::start(any, PlatformOptions::default());
        let platform = platform.await.unwrap();
        let entries = [free_address(), free_address()];
        let peers = [free_address(), free_address()];
        let server = |index: usize| {
            let settings = instance_settings(index, &entries, &peers, platform.address);
            let telemetry = telemetry(&settings);
            let log = Logger::root(Discard, o!());
            tokio::spawn(async move {
                server::run(settings, log, telemetry).await.unwrap();
            })
        };
        let servers = vec![server(0), server(1)];
        let mut pair = Self {
            entries,
            peers,
            client: Client::default(),
            setup_jobs_refused: 0,
            servers,
            _platform: platform,
        };
        pair.declare_resources(worker).await;
        pair.wait_until_ready().await;
        pair.setup_jobs_refused = pair.wait_until_keys_have_owners().await;
        pair
    }

    async fn declare_resources(&self, worker: SocketAddr) {
        let server = json!({
            "service": "pay", "failure_domain": "local", "address": worker, "slots": 4,
        });
        self.declare_resource("teams", "default", "team", json!({}))
            .await;
        self.declare_resource("services", "pay", "service", json!({}))
            .await;
        self.declare_resource("backend-servers", "worker-1", "backend_server", server)
            .await;
    }

    async fn declare_resource(&self, collection: &str, name: &str, kind: &str, spec: Value) {
        let body = json!({"kind": kind, "name": name, "spec": spec}).to_string();
        let path = format!("/v1/{collection}/{name}");
        for _ in 0..POLLS_MAX {
            let put = request(Method::PUT, self.entries[0], &path, body.clone());
            if let Ok(reply) = self.client.send(put).await {
                let text = String::from_utf8_lossy(&reply.body);
                assert!(reply.status.is_success(), "{text}");
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
        panic!("no response to PUT {path}");
    }

    /// Waits until both are ready and the worker's declaration is in force at both.
    async fn wait_until_ready(&self) {
        for entry in self.entries {
            self.wait_for_response(entry, "/readyz", |text| text.contains("\"ready\":true"))
                .await;
            let path = "/v1/backend-servers/worker-1";
            self.wait_for_response(entry, path, |text| text.contains("2 of 2 live"))
                .await;
        }
    }

    /// Polls `path` until `matches` accepts a response body, and returns the body.
    pub async fn wait_for_response(
        &self,
        entry: SocketAddr,
        path: &str,
        matches: impl Fn(&str) -> bool,
    ) -> String {
        let mut last = String::new();
        for _ in 0..POLLS_MAX {
            if let Ok(reply) = self.client.get(entry, path).await {
                last = String::from_utf8_lossy(&reply.body).into_owned();
                if matches(&last) {
                    return last;
                }
            }
            sleep(POLL_INTERVAL).await;
        }
        panic!("timed out waiting for the expected response from {path}; last: {last}");
    }

    /// Mints a key through the first instance.
    pub async fn mint_key(&self) -> String {
        let minted = self.client.post(self.entries[0], "/v1/keys?count=1", "");
        let body: Value = serde_json::from_slice(&minted.await.unwrap().body).unwrap();
        body["keys"][0].as_str().unwrap().to_owned()
    }

    /// Submits a job of one task with `payload`. Returns the response body.
    pub async fn submit_payload(&self, entry: SocketAddr, key: &str, payload: Value) -> Value {
        self.submit_job(entry, key, "", payload).await
    }

    /// Submits a job of one task with a `traceparent` header. Returns the response
    /// body.
    pub async fn submit(&self, entry: SocketAddr, key: &str, traceparent: &str) -> Value {
        self.submit_job(entry, key, traceparent, json!({})).await
    }

    async fn submit_job(
        &self,
        entry: SocketAddr,
        key: &str,
        traceparent: &str,
        payload: Value,
    ) -> Value {
        let reply = self.try_submit(entry, key, traceparent, payload).await;
        let text = String::from_utf8_lossy(&reply.body);
        assert_eq!(reply.status, StatusCode::OK, "{text}");
        serde_json::from_str(&text).unwrap()
    }

    async fn try_submit(
        &self,
        entry: SocketAddr,
        key: &str,
        traceparent: &str,
        payload: Value,
    ) -> Reply {
        let body = json!({"service": "pay", "tasks": [{"payload": payload}]}).to_string();
        let mut submission = request(Method::POST, entry, "/v1/jobs", body);
        for (name, value) in [("idempotency-key", key), ("traceparent", traceparent)] {
            let name = HeaderName::from_static(name);
            let value = HeaderValue::try_from(value).unwrap();
            submission.headers_mut().insert(name, value);
        }
        self.client.send(submission).await.unwrap()
    }

    /// Submits jobs until each instance has completed one. The view with both
    /// instances is then in force, and every later key has an owner.
    ///
    /// Returns the number of refused jobs; jobs may be refused until then.
    async fn wait_until_keys_have_owners(&self) -> usize {
        let mut refused = 0;
        for _ in 0..POLLS_MAX {
            let key = self.mint_key().await;
            let reply = self.try_submit(self.entries[0], &key, "", json!({})).await;
            refused += usize::from(!reply.status.is_success());
            let pages = [self.metrics_page(0).await, self.metrics_page(1).await];
            let has_completed = |page: &String| {
                let mut lines = page.lines();
                lines.any(|line| line.starts_with(COMPLETED_JOBS_PREFIX) && !line.ends_with(" 0"))
            };
            if pages.iter().all(has_completed) {
                return refused;
            }
            sleep(POLL_INTERVAL).await;
        }
        panic!("timed out waiting for both instances to complete a job");
    }

    pub async fn metrics_page(&self, index: usize) -> String {
        self.wait_for_response(self.entries[index], "/metrics", |_| true)
            .await
    }
}

fn instance_settings(
    index: usize,
    entries: &[SocketAddr; 2],
    peers: &[SocketAddr; 2],
    platform: SocketAddr,
) -> Settings {
    let other = 1 - index;
    let mut settings = settings::defaults();
    settings.instance = NAMES[index].to_owned();
    settings.http_address = entries[index].to_string();
    settings.peer_address = peers[index].to_string();
    settings.platform.address = platform.to_string();
    settings.peers = vec![PeerSettings {
        failure_domain: settings.failure_domain.clone(),
        instance: NAMES[other].to_owned(),
        peer_address: peers[other].to_string(),
        dial_address: String::new(),
    }];
    settings
}
