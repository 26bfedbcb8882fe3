//! What a caller is told while the owner of its key is unknown, silent or late to
//! answer. The instances of the key's failure domain are scripted.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hyper::Method;
use hyper::header::{HeaderName, HeaderValue};
use serde_json::{Value, json};
use slog::{Discard, Logger, o};
use tokio::sync::mpsc::Receiver;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};
use trefoil_core::key::JobKey;
use trefoil_core::view::{Member, View};
use trefoil_fakes::client::{Client, request};
use trefoil_fakes::platform::{self, PlatformHandle, PlatformOptions};
use trefoil_schema::peer::{
    Heartbeat, InstanceState, JobAnswer, JobState, Verdict, ViewRecord, message::Body,
};
use trefoil_schema::settings::PeerSettings;
use trefoilbay::links::{Incoming, LinkSettings, Links};
use trefoilbay::server;
use trefoilbay::util::settings;
use trefoilbay::util::telemetry::Telemetry;

use crate::support::address::free_address;

const WAIT_LIMIT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time for everything that the entry sends without being asked again.
const SETTLE_TIME: Duration = Duration::from_millis(300);
const ENTRY: &str = "entry";
const REMOTE_DOMAIN: &str = "remote";

/// A running instance without peers in its failure domain; stops when dropped.
struct Entry {
    http: SocketAddr,
    peer: SocketAddr,
    client: Client,
    server: JoinHandle<()>,
    _platform: PlatformHandle,
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.server.abort();
    }
}

impl Entry {
    /// Starts an instance that knows the addresses of `remote` instances and, at first,
    /// no view of their failure domain.
    async fn start(remote: &[&ScriptedPeer]) -> Self {
        let any = "127.0.0.1:0".parse().unwrap();
        let platform = platform::start(any, PlatformOptions::default());
        let platform = platform.await.unwrap();
        let (http, peer) = (free_address(), free_address());
        let mut settings = settings::defaults();
        settings.instance = ENTRY.to_owned();
        settings.http_address = http.to_string();
        settings.peer_address = peer.to_string();
        settings.platform.address = platform.address.to_string();
        settings.failure_domains = vec![settings.failure_domain.clone(), REMOTE_DOMAIN.to_owned()];
        let peers = remote.iter().map(|peer| PeerSettings {
            failure_domain: REMOTE_DOMAIN.to_owned(),
            instance: peer.member.name.clone(),
            peer_address: peer.address.to_string(),
            dial_address: peer.address.to_string(),
        });
        settings.peers = peers.collect();
        let server = tokio::spawn(async move {
            let log = Logger::root(Discard, o!());
            let telemetry = Telemetry::start(&settings).unwrap();
            server::run(settings, log, telemetry).await.unwrap();
        });
        let entry = Self {
            http,
            peer,
            client: Client::default(),
            server,
            _platform: platform,
        };
        entry.declare("teams", "default", "team").await;
        entry.declare("services", "pay", "service").await;
        entry
    }

    async fn declare(&self, collection: &str, name: &str, kind: &str) {
        let body = json!({"kind": kind, "name": name, "spec": {}}).to_string();
        let path = format!("/v1/{collection}/{name}");
        let declared = async {
            loop {
                let put = request(Method::PUT, self.http, &path, body.clone());
                let reply = self.client.send(put).await;
                if reply.is_ok_and(|reply| reply.status.is_success()) {
                    return;
                }
                sleep(POLL_INTERVAL).await;
            }
        };
        timeout(WAIT_LIMIT, declared).await.unwrap();
    }

    async fn call(&self, method: Method, path: &str, key: &JobKey, body: Value) -> Value {
        let mut call = request(method, self.http, path, body.to_string());
        let name = HeaderName::from_static("idempotency-key");
        let value = HeaderValue::from_str(key.as_str()).unwrap();
        call.headers_mut().insert(name, value);
        let reply = self.client.send(call).await.unwrap();
        serde_json::from_slice(&reply.body).unwrap()
    }

    async fn submit(&self, key: &JobKey) -> Value {
        let body = json!({"service": "pay", "tasks": [{"payload": {}}], "deadline_ms": 8000});
        self.call(Method::POST, "/v1/jobs", key, body).await
    }

    /// Waits until the record that `peer` sent is in force.
    async fn wait_until_owner_is(&self, peer: &mut ScriptedPeer, key: &JobKey) {
        let path = format!("/v1/jobs/{key}");
        let asked = async {
            loop {
                let get = request(Method::GET, self.http, &path, "");
                tokio::select! {
                    _ = self.client.send(get) => sleep(POLL_INTERVAL).await,
                    fetch = peer.next_request() => {
                        let Body::FetchJob(fetch) = fetch else { continue };
                        peer.refuse(fetch.request_id, key, "unknown_job");
                        return;
                    }
                }
            }
        };
        timeout(WAIT_LIMIT, asked).await.unwrap();
    }
}

/// An instance of the remote failure domain that says only what the test tells it to.
struct ScriptedPeer {
    member: Member,
    address: SocketAddr,
    links: Links,
    incoming: Receiver<Incoming>,
}

impl ScriptedPeer {
    fn start(name: &str, incarnation: u64) -> Self {
        let member = Member::new(name, incarnation);
        let settings = LinkSettings {
            local_instance: (&member).into(),
            listen: free_address(),
            ..LinkSettings::default()
        };
        let address = settings.listen;
        let (links, incoming) = Links::start(settings, Logger::root(Discard, o!())).unwrap();
        Self {
            member,
            address,
            links,
            incoming,
        }
    }

    fn send(&self, entry: &Entry, body: Body) {
        self.links.set_peer(ENTRY, entry.peer);
        self.links.send_to_any(ENTRY, body).unwrap();
    }

    fn send_view(&self, entry: &Entry, members: &[&Member]) {
        let view = View {
            version: 1,
            from_ms: 0,
            members: members.iter().copied().cloned().collect(),
        };
        let record = ViewRecord {
            domain: REMOTE_DOMAIN.to_owned(),
            views: vec![(&view).into()],
            revision: 1,
        };
        self.send(entry, Body::View(record));
    }

    fn send_heartbeat(&self, entry: &Entry) {
        let heartbeat = Heartbeat {
            domain: REMOTE_DOMAIN.to_owned(),
            state: InstanceState::Serving as i32,
            address: self.address.to_string(),
            ..Heartbeat::default()
        };
        self.send(entry, Body::Heartbeat(heartbeat));
    }

    /// The next request about a job.
    async fn next_request(&mut self) -> Body {
        loop {
            let incoming = self.incoming.recv().await.unwrap();
            if let body @ (Body::ForwardJob(_) | Body::FetchJob(_)) = incoming.message {
                return body;
            }
        }
    }

    fn answer(&self, answer: JobAnswer) {
        self.links
            .send_to_any(ENTRY, Body::JobAnswer(answer))
            .unwrap();
    }

    fn refuse(&self, request_id: u64, key: &JobKey, reason: &str) {
        self.answer(JobAnswer {
            request_id,
            key: key.as_str().to_owned(),
            state: JobState::Refused as i32,
            verdict: Verdict::NotRun as i32,
            reason: reason.to_owned(),
            ..JobAnswer::default()
        });
    }

    fn complete(&self, request_id: u64, key: &JobKey) {
        self.answer(JobAnswer {
            request_id,
            key: key.as_str().to_owned(),
            state: JobState::Complete as i32,
            verdict: Verdict::Ran as i32,
            results: vec!["1".into()],
            tasks_done: 1,
            tasks_total: 1,
            ..JobAnswer::default()
        });
    }
}

fn new_key(random: u64) -> JobKey {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    JobKey::mint(REMOTE_DOMAIN, now.as_millis() as u64, random)
}

/// A new key that `owner` owns in a view of `members`.
fn key_owned_by(owner: &Member, members: &[&Member]) -> JobKey {
    let view = View {
        version: 1,
        from_ms: 0,
        members: members.iter().copied().cloned().collect(),
    };
    let keys = (0..).map(new_key);
    let mut owned = keys.filter(|key| view.owner(key) == Some(owner));
    owned.next().unwrap()
}

/// The owner may run the job, which only an instance that knows the views can tell.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_that_does_not_know_the_owner_does_not_say_that_its_job_never_ran() {
    let entry = Entry::start(&[]).await;
    let key = new_key(1);
    let path = format!("/v1/jobs/{key}");
    for method in [Method::GET, Method::DELETE] {
        let answer = entry.call(method.clone(), &path, &key, Value::Null).await;
        assert_eq!(answer["verdict"], "may_have_run", "{method}: {answer}");
    }
    // A submission that is refused for its form is told what is known of its key.
    let malformed = entry.call(Method::POST, "/v1/jobs", &key, json!({})).await;
    assert_eq!(malformed["verdict"], "may_have_run", "{malformed}");
}

/// Each of two late answers that the job is unknown would cause a submission. The answer
/// to the first of them says nothing of the second.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refusal_of_one_submission_is_not_told_while_another_one_is_under_way() {
    let mut owner = ScriptedPeer::start("owner", 1);
    let entry = Entry::start(&[&owner]).await;
    owner.send_view(&entry, &[&owner.member]);
    let key = new_key(1);
    entry.wait_until_owner_is(&mut owner, &key).await;
    let script = async {
        // The first submission is lost; the owner is late to answer what became of it.
        let mut fetches = Vec::new();
        while fetches.len() < 2 {
            match owner.next_request().await {
                Body::FetchJob(fetch) => fetches.push(fetch.request_id),
                _ => continue,
            }
        }
        for request_id in fetches {
            owner.refuse(request_id, &key, "unknown_job");
        }
        let mut submissions = Vec::new();
        while let Ok(request) = timeout(SETTLE_TIME, owner.next_request()).await {
            if let Body::ForwardJob(job) = request {
                submissions.push(job.request_id);
            }
        }
        let mut submissions = submissions.into_iter();
        owner.refuse(submissions.next().unwrap(), &key, "overload");
        sleep(SETTLE_TIME).await;
        // Any further one finds a free slot.
        let admitted = submissions.len();
        submissions.for_each(|request_id| owner.complete(request_id, &key));
        admitted
    };
    let (answer, admitted) = tokio::join!(entry.submit(&key), script);
    match admitted {
        0 => assert_eq!(answer["verdict"], "not_run", "{answer}"),
        _ => assert_ne!(answer["verdict"], "not_run", "admitted, told: {answer}"),
    }
}

/// The successor may know a view in which it owns the key, and then runs the job.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_submission_that_a_successor_does_not_answer_may_have_run() {
    let restarted = ScriptedPeer::start("owner", 2);
    let mut successor = ScriptedPeer::start("successor", 1);
    let former = Member::new("owner", 1);
    let members = [&former, &successor.member];
    let key = key_owned_by(&former, &members);
    let own_key = key_owned_by(&successor.member, &members);
    let entry = Entry::start(&[&restarted, &successor]).await;
    successor.send_view(&entry, &members);
    entry.wait_until_owner_is(&mut successor, &own_key).await;
    restarted.send_heartbeat(&entry);
    sleep(SETTLE_TIME).await;
    let received = async {
        loop {
            if let Body::ForwardJob(job) = successor.next_request().await
                && job.key == key.as_str()
            {
                return;
            }
        }
    };
    let (answer, received) = tokio::join!(entry.submit(&key), timeout(WAIT_LIMIT, received));
    received.expect("the successor receives the submission");
    assert_eq!(answer["request_verdict"], "may_have_run", "{answer}");
}
