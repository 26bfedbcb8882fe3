//! A deployment of `trefoild` processes, with a fake platform and fake workers
//! in the test's process, and fault injection.
//!
//! Instances of one failure domain connect to each other directly. Each link
//! between failure domains goes through a relay, which can interrupt it.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering::Relaxed};
use std::time::{Duration, Instant};

use hyper::Method;
use hyper::header::{HeaderValue, IF_NONE_MATCH};
use serde_json::{Value, json};
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::time::sleep;
use trefoil_core::key::JobKey;
use trefoil_fakes::check::check;
use trefoil_fakes::client::request;
use trefoil_fakes::platform::faults::FaultUpdate;
use trefoil_fakes::platform::{self, PlatformHandle, PlatformOptions};
use trefoil_fakes::relay::{self, LinkState, RelayHandle};
use trefoil_fakes::worker::faults::WorkerFaultUpdate;
use trefoil_fakes::worker::record::TaskStart;
use trefoil_fakes::worker::{self, WorkerOptions, WorkersHandle};
use trefoil_schema::settings::PeerSettings;

use super::callers::{OutcomeCounts, RecordingClient};
use super::instance::{Instance, InstanceOptions};

/// Longest wait for an expected state.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// First port of instances; below the ephemeral port range.
const FIRST_PORT: u16 = 7400;
/// Limits concurrent deployments, each of which runs several processes.
static CONCURRENT_DEPLOYMENTS: Semaphore = Semaphore::const_new(2);

pub const DOMAINS: [&str; 2] = ["half-way-tree", "portmore"];
pub const SERVICE: &str = "payrun";
pub const TEAM: &str = "families";

/// Size of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct DeploymentOptions {
    pub domains: usize,
    pub instances_per_domain: usize,
    pub workers_per_domain: usize,
    /// The setting `drain.announce_ms` of all instances.
    pub announce_ms: u64,
    /// Further settings of all instances, as `PATH=VALUE`.
    pub settings: &'static [&'static str],
}

impl Default for DeploymentOptions {
    fn default() -> Self {
        Self {
            domains: 1,
            instances_per_domain: 3,
            workers_per_domain: 4,
            // Longer than `vouch_ahead_ms`, as by default, so that keys are handed over.
            announce_ms: 700,
            settings: &[],
        }
    }
}

/// The relay through which all instances of a domain connect to an instance of
/// another domain.
struct InterDomainLink {
    from_domain: usize,
    to_instance: usize,
    relay: RelayHandle,
}

/// A running deployment; kills its processes when dropped.
pub struct Deployment {
    pub instances: Vec<Instance>,
    pub platform: PlatformHandle,
    pub workers: Vec<WorkersHandle>,
    pub client: Arc<RecordingClient>,
    options: DeploymentOptions,
    links: Vec<InterDomainLink>,
    _permit: SemaphorePermit<'static>,
}

/// An address in 127.0.0.0/8 that is unique to this deployment.
fn unique_loopback_address() -> Ipv4Addr {
    static USED: AtomicU8 = AtomicU8::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, high & 0x3f | 0x40, low, USED.fetch_add(1, Relaxed))
}

impl Deployment {
    /// Starts all processes and waits until every instance serves requests.
    pub async fn start(options: DeploymentOptions) -> Self {
        let permit = CONCURRENT_DEPLOYMENTS.acquire().await.unwrap();
        let ip = unique_loopback_address();
        let any = SocketAddr::from((ip, 0));
        let platform = platform::start(any, PlatformOptions::default());
        let platform = platform.await.unwrap();
        let mut workers = Vec::new();
        for _ in 0..options.domains {
            let worker_options = WorkerOptions {
                count: options.workers_per_domain,
                ..WorkerOptions::default()
            };
            workers.push(worker::start(any, worker_options).await.unwrap());
        }
        let mut instances = instance_options(options, ip, platform.address);
        let links = connect_instances(&mut instances, any).await;
        let entries = instances.iter().map(|instance| instance.http_address);
        let domains = DOMAINS[..options.domains].to_vec();
        let mut deployment = Self {
            client: Arc::new(RecordingClient::new(entries.collect(), domains)),
            instances: instances.into_iter().map(Instance::start).collect(),
            platform,
            workers,
            options,
            links,
            _permit: permit,
        };
        deployment.declare_resources().await;
        deployment.publish_instance_list().await;
        deployment.wait_until_serving().await;
        deployment
    }

    async fn declare_resources(&mut self) {
        let address = self.client.entries[0];
        wait_until("the first instance responds", async || {
            let reply = self.client.http.get(address, "/healthz").await;
            reply.is_ok_and(|reply| reply.status.is_success())
        })
        .await;
        let team = json!({"kind": "team", "name": TEAM, "spec": {"weight": 100}});
        self.create(0, &team).await;
        let spec = json!({
            "idempotent": false, "path": "/payrun",
            "declared_run_ms": 50, "task_timeout_ms": 1000,
        });
        self.create(
            0,
            &json!({"kind": "service", "name": SERVICE, "spec": spec}),
        )
        .await;
        for domain in 0..self.options.domains {
            for index in 0..self.options.workers_per_domain {
                let server = self.backend_server(domain, index);
                self.create(0, &server).await;
            }
        }
    }

    /// The `backend_server` resource of a fake worker.
    pub fn backend_server(&self, domain: usize, index: usize) -> Value {
        let name = DOMAINS[domain];
        let address = self.workers[domain].addresses[index].to_string();
        json!({
            "kind": "backend_server", "name": format!("{name}-{index}"),
            "spec": {
                "service": SERVICE, "failure_domain": name,
                "address": address, "slots": 8,
            }
        })
    }

    async fn create(&self, entry: usize, resource: &Value) {
        let status = self.try_create(entry, resource).await;
        assert!((200..300).contains(&status), "{status}: {resource}");
    }

    /// Declares a resource if it does not exist. Returns the HTTP status, or 0 if
    /// there is no response.
    pub async fn try_create(&self, entry: usize, resource: &Value) -> u16 {
        self.put_resource(entry, resource, true).await
    }

    /// Replaces a resource unconditionally.
    pub async fn replace_resource(&self, entry: usize, resource: &Value) {
        let status = self.put_resource(entry, resource, false).await;
        assert_eq!(status, 200, "{resource}");
    }

    async fn put_resource(&self, entry: usize, resource: &Value, must_be_absent: bool) -> u16 {
        let kind = match resource["kind"].as_str().unwrap() {
            "team" => "teams",
            "service" => "services",
            _ => "backend-servers",
        };
        let path = format!("/v1/{kind}/{}", resource["name"].as_str().unwrap());
        let address = self.client.entries[entry];
        let mut request = request(Method::PUT, address, &path, resource.to_string());
        if must_be_absent {
            let any = HeaderValue::from_static("*");
            request.headers_mut().insert(IF_NONE_MATCH, any);
        }
        let reply = self.client.http.send(request).await;
        reply.map_or(0, |reply| reply.status.as_u16())
    }

    /// Sets the platform's instance list to the running instances.
    pub async fn publish_instance_list(&self) {
        let mut listed = Vec::new();
        for (index, instance) in self.instances.iter().enumerate() {
            if instance.is_running() {
                self.wait_until_responding(index).await;
                let incarnation = self.incarnation(index).await;
                let options = &instance.options;
                listed.push(json!({
                    "name": options.name, "incarnation": incarnation,
                    "failure_domain": options.domain,
                    "http_address": options.http_address.to_string(),
                    "peer_address": options.peer_address.to_string(),
                    "state": "live",
                }));
            }
        }
        self.platform.set_instances(listed);
    }

    async fn wait_until_responding(&self, entry: usize) {
        wait_until("an instance responds", async || {
            self.status(entry).await.is_some()
        })
        .await;
    }

    /// The response of an instance to `/v1/status`, if there is one.
    pub async fn status(&self, entry: usize) -> Option<Value> {
        let address = self.client.entries[entry];
        let reply = self.client.http.get(address, "/v1/status").await.ok()?;
        serde_json::from_slice(&reply.body).ok()
    }

    async fn incarnation(&self, entry: usize) -> u64 {
        let status = self.status(entry).await.unwrap();
        let name = &self.instances[entry].options.name;
        let mut instances = status["instances"].as_array().unwrap().iter();
        let own = instances.find(|instance| instance["instance"] == **name);
        own.unwrap()["incarnation"].as_u64().unwrap()
    }

    /// Whether `/readyz` reports that an instance is ready.
    pub async fn is_ready(&self, entry: usize) -> bool {
        let address = self.client.entries[entry];
        let reply = self.client.http.get(address, "/readyz").await;
        reply.is_ok_and(|reply| reply.status.is_success())
    }

    /// Waits until the same configuration revision, at least `min_revision`, is in
    /// force at all running instances. Returns this revision.
    pub async fn wait_for_common_revision(&self, min_revision: u64) -> u64 {
        let revisions = async || {
            let mut revisions = Vec::new();
            for (entry, instance) in self.instances.iter().enumerate() {
                if instance.is_running() {
                    let status = self.status(entry).await.unwrap_or_default();
                    revisions.push(status["config_revision"].as_u64().unwrap_or(0));
                }
            }
            revisions
        };
        wait_until("one revision is in force everywhere", async || {
            let revisions = revisions().await;
            let common = revisions[0];
            common >= min_revision && revisions.iter().all(|revision| *revision == common)
        })
        .await;
        revisions().await[0]
    }

    /// Waits until every running instance is ready and completes several jobs in a
    /// row.
    pub async fn wait_until_serving(&self) {
        for index in 0..self.instances.len() {
            if self.instances[index].is_running() {
                wait_until("an instance is ready", async || self.is_ready(index).await).await;
            }
        }
        let running: Vec<usize> = (0..self.instances.len())
            .filter(|&index| self.instances[index].is_running())
            .collect();
        self.wait_until_serving_at(&running).await;
    }

    /// Waits until several jobs in a row, with minted keys and keys of callers,
    /// complete through each of `entries`.
    pub async fn wait_until_serving_at(&self, entries: &[usize]) {
        const JOBS_IN_A_ROW: usize = 6;
        for &entry in entries {
            let start = Instant::now();
            let mut completed = 0;
            while completed < JOBS_IN_A_ROW {
                let key = self
                    .client
                    .new_key(entry, completed.is_multiple_of(2))
                    .await;
                let answer = match key {
                    Some(key) => {
                        self.client
                            .submit(entry, &self.client.job(&key, 2, 5))
                            .await
                    }
                    None => Value::Null,
                };
                completed = match answer["state"] == "complete" {
                    true => completed + 1,
                    false => 0,
                };
                assert!(
                    start.elapsed() < WAIT_TIMEOUT,
                    "entry {entry}: last response {answer}"
                );
                if completed == 0 {
                    sleep(POLL_INTERVAL).await;
                }
            }
        }
    }

    /// Sets the state of all links between failure domains.
    pub fn set_domain_links(&self, state: LinkState) {
        for link in &self.links {
            link.relay.set_state(state);
        }
    }

    /// Number of instances in other failure domains that an instance reports as
    /// silent.
    pub async fn silent_remote_instances(&self, entry: usize) -> usize {
        let domain = &self.instances[entry].options.domain;
        let status = self.status(entry).await.unwrap_or_default();
        let instances = status["instances"].as_array().cloned();
        let instances = instances.unwrap_or_default().into_iter();
        let silent = instances.filter(|other| other["state"] == "silent");
        silent
            .filter(|other| other["failure_domain"] != **domain)
            .count()
    }

    pub fn update_platform_faults(&self, update: &FaultUpdate) {
        self.platform.update_faults(update);
    }

    /// Updates the faults of one worker in each failure domain, or of all workers.
    pub fn update_worker_faults(&self, update: &WorkerFaultUpdate) {
        self.workers
            .iter()
            .for_each(|workers| workers.update_faults(update));
    }

    /// Indexes of the instances in a failure domain.
    pub fn instances_of_domain(&self, domain: usize) -> Vec<usize> {
        let count = self.options.instances_per_domain;
        (domain * count..(domain + 1) * count).collect()
    }

    pub fn instance_names(&self, domain: usize) -> Vec<String> {
        let indexes = self.instances_of_domain(domain).into_iter();
        indexes
            .map(|index| self.instances[index].options.name.clone())
            .collect()
    }

    /// A new key that `owner` owns while all instances of its failure domain serve.
    pub fn key_owned_by(&self, owner: usize, minted: bool) -> String {
        let domain = owner / self.options.instances_per_domain;
        let name = &self.instances[owner].options.name;
        self.client
            .key_owned_by(DOMAINS[domain], &self.instance_names(domain), name, minted)
    }

    /// Whether `owner` owns a key while all instances of its failure domain serve.
    pub fn owns(&self, owner: usize, key: &str) -> bool {
        let domain = owner / self.options.instances_per_domain;
        let name = &self.instances[owner].options.name;
        let key = JobKey::parse(key).unwrap();
        self.client
            .owns(DOMAINS[domain], &self.instance_names(domain), name, &key)
    }

    pub fn starts(&self) -> Vec<TaskStart> {
        let starts = self.workers.iter().map(WorkersHandle::starts);
        starts.flatten().collect()
    }

    /// Checks all recorded responses against all task starts.
    ///
    /// # Panics
    ///
    /// Panics if the history has a violation.
    pub fn check_history(&self) -> OutcomeCounts {
        let starts = self.starts();
        let requests = self.client.requests();
        let report = check(&requests, &starts);
        assert!(report.violations.is_empty(), "{:#?}", report.violations);
        let false_verdicts = self.client.false_request_verdicts(&starts);
        assert!(false_verdicts.is_empty(), "{false_verdicts:#?}");
        let outcomes = OutcomeCounts::new(&requests);
        eprintln!(
            "{} requests, {} starts: {outcomes:?}",
            requests.len(),
            starts.len()
        );
        outcomes
    }
}

/// Polls until `condition` is true.
///
/// # Panics
///
/// Panics after [`WAIT_TIMEOUT`].
pub async fn wait_until(description: &str, condition: impl AsyncFn() -> bool) {
    let start = Instant::now();
    while !condition().await {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "timed out waiting until {description}"
        );
        sleep(POLL_INTERVAL).await;
    }
}

fn instance_options(
    options: DeploymentOptions,
    ip: Ipv4Addr,
    platform: SocketAddr,
) -> Vec<InstanceOptions> {
    let domains: Vec<String> = DOMAINS[..options.domains]
        .iter()
        .map(|&domain| domain.to_owned())
        .collect();
    let count = options.domains * options.instances_per_domain;
    (0..count)
        .map(|index| {
            let port = FIRST_PORT + 2 * u16::try_from(index).unwrap();
            InstanceOptions {
                name: format!("entry-{}", index + 1),
                domain: domains[index / options.instances_per_domain].clone(),
                domains: domains.clone(),
                http_address: SocketAddr::from((ip, port)),
                peer_address: SocketAddr::from((ip, port + 1)),
                platform,
                peers: Vec::new(),
                announce_ms: options.announce_ms,
                settings: options.settings,
            }
        })
        .collect()
}

/// Sets the peers of each instance, with relays between failure domains.
async fn connect_instances(
    instances: &mut [InstanceOptions],
    any: SocketAddr,
) -> Vec<InterDomainLink> {
    let all = instances.to_vec();
    let mut links: Vec<InterDomainLink> = Vec::new();
    let domain_index = |name: &str| DOMAINS.iter().position(|domain| *domain == name).unwrap();
    for instance in instances.iter_mut() {
        let from_domain = domain_index(&instance.domain);
        for (to_instance, peer) in all.iter().enumerate() {
            if peer.name == instance.name {
                continue;
            }
            let existing = links
                .iter()
                .find(|link| link.from_domain == from_domain && link.to_instance == to_instance);
            let dial_address = match (existing, peer.domain == instance.domain) {
                (_, true) => String::new(),
                (Some(link), false) => link.relay.address.to_string(),
                (None, false) => {
                    let relay = relay::start(any, peer.peer_address, None).await.unwrap();
                    let address = relay.address.to_string();
                    links.push(InterDomainLink {
                        from_domain,
                        to_instance,
                        relay,
                    });
                    address
                }
            };
            instance.peers.push(PeerSettings {
                instance: peer.name.clone(),
                failure_domain: peer.domain.clone(),
                peer_address: peer.peer_address.to_string(),
                dial_address,
            });
        }
    }
    links
}
