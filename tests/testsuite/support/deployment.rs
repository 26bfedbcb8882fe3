//! A deployment of real `trefoild` processes with the platform's and the
//! workers' stand-ins in this process, and faults on order.
//!
//! Instances of one failure domain dial each other directly; each link between
//! failure domains goes through a relay of its own, which can be cut.

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

/// Longest wait for anything that must come.
pub const SOON: Duration = Duration::from_secs(30);
const STEP: Duration = Duration::from_millis(20);
/// First port of instances, below the ports that the system gives out.
const PORT: u16 = 7400;
/// Deployments at once: each is half a dozen processes.
static RUNNING: Semaphore = Semaphore::const_new(2);

pub const DOMAINS: [&str; 2] = ["half-way-tree", "portmore"];
pub const SERVICE: &str = "payrun";
pub const TEAM: &str = "families";

/// Size of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct DeploymentOptions {
    pub domains: usize,
    pub instances_per_domain: usize,
    pub workers_per_domain: usize,
    /// Announcement of planned stops, milliseconds.
    pub announce_ms: u64,
}

impl Default for DeploymentOptions {
    fn default() -> Self {
        Self {
            domains: 1,
            instances_per_domain: 3,
            workers_per_domain: 4,
            // Beyond `vouch_ahead_ms`, as by default, so that keys are handed over.
            announce_ms: 700,
        }
    }
}

/// The link by which an instance of one domain dials one of another.
struct CrossLink {
    from_domain: usize,
    to: usize,
    relay: RelayHandle,
}

/// A running deployment; dropped, it ends every process that it started.
pub struct Deployment {
    pub instances: Vec<Instance>,
    pub platform: PlatformHandle,
    pub workers: Vec<WorkersHandle>,
    pub client: Arc<RecordingClient>,
    size: DeploymentOptions,
    links: Vec<CrossLink>,
    _permit: SemaphorePermit<'static>,
}

/// An address of 127.0.0.0/8 that no other test of these uses.
fn own_address() -> Ipv4Addr {
    static USED: AtomicU8 = AtomicU8::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, high & 0x3f | 0x40, low, USED.fetch_add(1, Relaxed))
}

impl Deployment {
    /// Starts all processes and waits until every one serves.
    pub async fn start(size: DeploymentOptions) -> Self {
        let permit = RUNNING.acquire().await.unwrap();
        let own = own_address();
        let any = SocketAddr::from((own, 0));
        let platform = platform::start(any, PlatformOptions::default());
        let platform = platform.await.unwrap();
        let mut workers = Vec::new();
        for _ in 0..size.domains {
            let options = WorkerOptions {
                count: size.workers_per_domain,
                ..WorkerOptions::default()
            };
            workers.push(worker::start(any, options).await.unwrap());
        }
        let mut options = all_options(size, own, platform.address);
        let links = join_domains(&mut options, any).await;
        let entries = options.iter().map(|options| options.http_address);
        let domains = DOMAINS[..size.domains].to_vec();
        let mut deployment = Self {
            client: Arc::new(RecordingClient::new(entries.collect(), domains)),
            instances: options.into_iter().map(Instance::start).collect(),
            platform,
            workers,
            size,
            links,
            _permit: permit,
        };
        deployment.declare().await;
        deployment.publish_instance_list().await;
        deployment.wait_until_serving().await;
        deployment
    }

    async fn declare(&mut self) {
        let address = self.client.entries[0];
        wait_until("the first instance lives", async || {
            let reply = self.client.http.get(address, "/healthz").await;
            reply.is_ok_and(|reply| reply.status.is_success())
        })
        .await;
        let team = json!({"kind": "team", "name": TEAM, "spec": {"weight": 100}});
        self.put(0, &team).await;
        let spec = json!({
            "idempotent": false, "path": "/payrun",
            "declared_run_ms": 50, "task_timeout_ms": 1000,
        });
        self.put(
            0,
            &json!({"kind": "service", "name": SERVICE, "spec": spec}),
        )
        .await;
        for domain in 0..self.size.domains {
            for index in 0..self.size.workers_per_domain {
                let server = self.backend_server(domain, index);
                self.put(0, &server).await;
            }
        }
    }

    /// The declaration of a worker.
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

    async fn put(&self, entry: usize, resource: &Value) {
        let status = self.try_create(entry, resource).await;
        assert!((200..300).contains(&status), "{status}: {resource}");
    }

    /// Declares a resource that does not exist; the status answered.
    pub async fn try_create(&self, entry: usize, resource: &Value) -> u16 {
        self.put_resource(entry, resource, true).await
    }

    /// Declares a resource anew, whatever it was.
    pub async fn replace_resource(&self, entry: usize, resource: &Value) {
        let status = self.put_resource(entry, resource, false).await;
        assert_eq!(status, 200, "{resource}");
    }

    async fn put_resource(&self, entry: usize, resource: &Value, absent: bool) -> u16 {
        let kind = match resource["kind"].as_str().unwrap() {
            "team" => "teams",
            "service" => "services",
            _ => "backend-servers",
        };
        let path = format!("/v1/{kind}/{}", resource["name"].as_str().unwrap());
        let address = self.client.entries[entry];
        let mut request = request(Method::PUT, address, &path, resource.to_string());
        if absent {
            let any = HeaderValue::from_static("*");
            request.headers_mut().insert(IF_NONE_MATCH, any);
        }
        let reply = self.client.http.send(request).await;
        reply.map_or(0, |reply| reply.status.as_u16())
    }

    /// Puts the running instances into the platform's list.
    pub async fn publish_instance_list(&self) {
        let mut entries = Vec::new();
        for (index, instance) in self.instances.iter().enumerate() {
            if instance.is_running() {
                self.wait_until_responding(index).await;
                let incarnation = self.incarnation(index).await;
                let options = &instance.options;
                entries.push(json!({
                    "name": options.name, "incarnation": incarnation,
                    "failure_domain": options.domain,
                    "http_address": options.http_address.to_string(),
                    "peer_address": options.peer_address.to_string(),
                    "state": "live",
                }));
            }
        }
        self.platform.set_instances(entries);
    }

    async fn wait_until_responding(&self, entry: usize) {
        wait_until("an instance lives", async || {
            self.status(entry).await.is_some()
        })
        .await;
    }

    /// `/v1/status` of an instance, where it answers.
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

    /// Whether `/readyz` says that an instance serves.
    pub async fn is_ready(&self, entry: usize) -> bool {
        let address = self.client.entries[entry];
        let reply = self.client.http.get(address, "/readyz").await;
        reply.is_ok_and(|reply| reply.status.is_success())
    }

    /// Waits until one revision, `floor` or a later one, is in force at all
    /// running instances; it.
    pub async fn wait_for_common_revision(&self, floor: u64) -> u64 {
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
            let newest = revisions[0];
            newest >= floor && revisions.iter().all(|revision| *revision == newest)
        })
        .await;
        revisions().await[0]
    }

    /// Waits until every running instance is ready and serves fresh keys of
    /// every home, time and again.
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

    /// Waits until fresh keys of each kind complete in a row through each of
    /// `entries`.
    pub async fn wait_until_serving_at(&self, entries: &[usize]) {
        const IN_A_ROW: usize = 6;
        for &entry in entries {
            let begun = Instant::now();
            let mut done = 0;
            while done < IN_A_ROW {
                let key = self.client.new_key(entry, done.is_multiple_of(2)).await;
                let answer = match key {
                    Some(key) => {
                        self.client
                            .submit(entry, &self.client.job(&key, 2, 5))
                            .await
                    }
                    None => Value::Null,
                };
                done = match answer["state"] == "complete" {
                    true => done + 1,
                    false => 0,
                };
                assert!(begun.elapsed() < SOON, "entry {entry}: last {answer}");
                if done == 0 {
                    sleep(STEP).await;
                }
            }
        }
    }

    /// Holds back, or passes again, all that goes between failure domains.
    pub fn set_domain_links(&self, state: LinkState) {
        for link in &self.links {
            link.relay.set_state(state);
        }
    }

    /// How many instances of another failure domain an instance calls silent.
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

    pub fn update_platform_faults(&self, order: &FaultUpdate) {
        self.platform.update_faults(order);
    }

    /// Orders faults of one worker of each failure domain, or of all.
    pub fn update_worker_faults(&self, order: &WorkerFaultUpdate) {
        self.workers
            .iter()
            .for_each(|workers| workers.update_faults(order));
    }

    /// Instances of a failure domain.
    pub fn instances_of_domain(&self, domain: usize) -> Vec<usize> {
        let each = self.size.instances_per_domain;
        (domain * each..(domain + 1) * each).collect()
    }

    /// Names of the instances of a failure domain.
    pub fn instance_names(&self, domain: usize) -> Vec<String> {
        let of_domain = self.instances_of_domain(domain).into_iter();
        of_domain
            .map(|index| self.instances[index].options.name.clone())
            .collect()
    }

    /// A fresh key that `owner` owns while its whole failure domain serves.
    pub fn key_owned_by(&self, owner: usize, minted: bool) -> String {
        let domain = owner / self.size.instances_per_domain;
        let name = &self.instances[owner].options.name;
        self.client
            .key_owned_by(DOMAINS[domain], &self.instance_names(domain), name, minted)
    }

    /// Whether `owner` owns a key while its whole failure domain serves.
    pub fn owns(&self, owner: usize, key: &str) -> bool {
        let domain = owner / self.size.instances_per_domain;
        let name = &self.instances[owner].options.name;
        let key = JobKey::parse(key).unwrap();
        self.client
            .owns(DOMAINS[domain], &self.instance_names(domain), name, &key)
    }

    pub fn starts(&self) -> Vec<TaskStart> {
        let starts = self.workers.iter().map(WorkersHandle::starts);
        starts.flatten().collect()
    }

    /// Holds all that callers got against all starts.
    ///
    /// # Panics
    ///
    /// A promise is broken.
    pub fn check_history(&self) -> OutcomeCounts {
        let starts = self.starts();
        let requests = self.client.requests();
        let report = check(&requests, &starts);
        assert!(report.violations.is_empty(), "{:#?}", report.violations);
        let false_words = self.client.false_request_verdicts(&starts);
        assert!(false_words.is_empty(), "{false_words:#?}");
        let tally = OutcomeCounts::new(&requests);
        eprintln!(
            "{} requests, {} starts: {tally:?}",
            requests.len(),
            starts.len()
        );
        tally
    }
}

/// Waits until `holds`.
pub async fn wait_until(what: &str, holds: impl AsyncFn() -> bool) {
    let begun = Instant::now();
    while !holds().await {
        assert!(begun.elapsed() < SOON, "not reached: {what}");
        sleep(STEP).await;
    }
}

fn all_options(
    size: DeploymentOptions,
    own: Ipv4Addr,
    platform: SocketAddr,
) -> Vec<InstanceOptions> {
    let domains: Vec<String> = DOMAINS[..size.domains]
        .iter()
        .map(|&domain| domain.to_owned())
        .collect();
    let count = size.domains * size.instances_per_domain;
    (0..count)
        .map(|index| {
            let port = PORT + 2 * u16::try_from(index).unwrap();
            InstanceOptions {
                name: format!("entry-{}", index + 1),
                domain: domains[index / size.instances_per_domain].clone(),
                domains: domains.clone(),
                http_address: SocketAddr::from((own, port)),
                peer_address: SocketAddr::from((own, port + 1)),
                platform,
                peers: Vec::new(),
                announce_ms: size.announce_ms,
            }
        })
        .collect()
}

/// Tells each instance of all others, and puts relays between domains.
async fn join_domains(options: &mut [InstanceOptions], any: SocketAddr) -> Vec<CrossLink> {
    let all = options.to_vec();
    let mut links: Vec<CrossLink> = Vec::new();
    let domain_index = |name: &str| DOMAINS.iter().position(|domain| *domain == name).unwrap();
    for own in options.iter_mut() {
        let from_domain = domain_index(&own.domain);
        for (to, peer) in all.iter().enumerate() {
            if peer.name == own.name {
                continue;
            }
            let known = links
                .iter()
                .find(|link| link.from_domain == from_domain && link.to == to);
            let dial_address = match (known, peer.domain == own.domain) {
                (_, true) => String::new(),
                (Some(link), false) => link.relay.address.to_string(),
                (None, false) => {
                    let relay = relay::start(any, peer.peer_address, None).await.unwrap();
                    let address = relay.address.to_string();
                    links.push(CrossLink {
                        from_domain,
                        to,
                        relay,
                    });
                    address
                }
            };
            own.peers.push(PeerSettings {
                instance: peer.name.clone(),
                failure_domain: peer.domain.clone(),
                peer_address: peer.peer_address.to_string(),
                dial_address,
            });
        }
    }
    links
}
