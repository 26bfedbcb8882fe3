//! Transfer of declarations from peers.

use std::cell::Cell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use trefoil_core::dispatch::declaration_transfer::{DeclarationSender, EncodedDeclarations};
use trefoil_instance::declarations::{Declarations, Route};
use trefoil_instance::instance::Instance;
use trefoil_instance::metrics::Metrics;
use trefoil_instance::store_polling;
use trefoil_schema::dispatch::frame::Body;
use trefoil_schema::dispatch::{Beat, Node};

use crate::support::link::{Link, LinkReader, LinkWriter};
use crate::support::{FakePlatform, node, owned_pool, run, settings};

const PEERS: usize = 8;
/// Number of instances of a deployment in which not all are linked with each other.
const LARGE_DEPLOYMENT: usize = 60;
const HEARTBEAT: Duration = Duration::from_millis(100);
/// In which new declarations must be in force.
const IN_FORCE: Duration = Duration::from_millis(2000);
/// Store revision of the peers' declarations.
const REVISION: u64 = 5;
/// Version of the peers' declarations.
const VERSION: u64 = 2;
/// Identifies a peer's link to the instance at the peer.
const LINK: u64 = 1;
/// Number of routes of a large configuration: 758 KB as a peer sends it.
const ROUTES: usize = 4200;
/// Bandwidth of a small instance's link, in bytes per second.
const SLOW_LINK_BYTES_PER_S: f64 = 2_400_000.0;
/// Size of the pieces in which connections share the link.
const SLICE_BYTES: usize = 16 * 1024;

/// The link of an instance, shared by all connections to it.
#[derive(Clone)]
struct SharedLink {
    free_at: Rc<Cell<Instant>>,
    bytes: Rc<Cell<usize>>,
}

impl SharedLink {
    fn new() -> Self {
        Self {
            free_at: Rc::new(Cell::new(Instant::now())),
            bytes: Rc::default(),
        }
    }

    /// Waits until the link has carried these bytes.
    async fn carry(&self, bytes: usize) {
        let duration = Duration::from_secs_f64(bytes as f64 / SLOW_LINK_BYTES_PER_S);
        let end = self.free_at.get().max(Instant::now()) + duration;
        self.free_at.set(end);
        self.bytes.set(self.bytes.get() + bytes);
        sleep_until(end).await;
    }
}

async fn start_without_store() -> (Rc<Instance<FakePlatform>>, std::net::SocketAddr) {
    start_instance(FakePlatform {
        pools: 0,
        workers: None,
        ..FakePlatform::default()
    })
    .await
}

async fn start_instance(
    platform: FakePlatform,
) -> (Rc<Instance<FakePlatform>>, std::net::SocketAddr) {
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let instance = Instance::new(settings(), log, Metrics::new().unwrap(), platform);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    spawn_local(Rc::clone(&instance).accept_links(listener));
    spawn_local(Rc::clone(&instance).tick_forever());
    store_polling::start(&instance);
    (instance, address)
}

/// A heartbeat of an owner that has newer declarations.
fn heartbeat(peer: &str, number: usize) -> Body {
    Body::Beat(Beat {
        owned: vec![owned_pool(peer, number)],
        declarations_revision: REVISION,
        ..Beat::default()
    })
}

fn declarations(routes: usize) -> EncodedDeclarations {
    let routes = (0..routes).map(|number| Route {
        name: format!("r-{number}"),
        host: "jobs.example".to_owned(),
        path_prefix: format!("/route-{number}/"),
        service: "register".to_owned(),
        ..Route::default()
    });
    let declarations = Declarations {
        version: VERSION,
        revision: REVISION,
        routes: routes.collect(),
        body_bytes_max: 20_000,
        ..Declarations::default()
    };
    let body = serde_json::to_vec(&declarations).unwrap();
    EncodedDeclarations::new(REVISION, body.into())
}

/// Sends the frames of a peer, heartbeats included, in order over the shared link.
async fn send_frames(
    mut writer: LinkWriter,
    mut frames: mpsc::UnboundedReceiver<Body>,
    link: SharedLink,
) {
    while let Some(body) = frames.recv().await {
        let frame = LinkWriter::encode(body);
        for slice in frame.chunks(SLICE_BYTES) {
            link.carry(slice.len()).await;
            if writer.write(slice).await.is_err() {
                return;
            }
        }
    }
}

async fn answer_requests(
    mut reader: LinkReader,
    frames: mpsc::UnboundedSender<Body>,
    declarations: EncodedDeclarations,
) {
    let mut sender = DeclarationSender::default();
    while let Some(body) = reader.next().await {
        if let Body::ConfigRequest(request) = body
            && let Some(part) = sender.on_request(0, LINK, &request, &declarations)
        {
            let _ = frames.send(Body::Config(part));
        }
    }
}

/// A peer that has newer declarations, and connects again when its link is closed.
#[derive(Clone)]
struct ScriptedPeer {
    number: usize,
    declarations: EncodedDeclarations,
    link: SharedLink,
    /// Number of other instances that it introduces.
    known: usize,
}

impl ScriptedPeer {
    async fn run(self, address: std::net::SocketAddr) {
        let name = format!("b-{}", self.number);
        let known: Vec<Node> = (0..self.known)
            .map(|number| node(&format!("c-{number}")))
            .collect();
        for incarnation in 1.. {
            let link = Link::open_and_introduce(&name, address, incarnation, known.clone());
            let (reader, writer) = link.await.split();
            let (frames, queue) = mpsc::unbounded_channel();
            let sending = spawn_local(send_frames(writer, queue, self.link.clone()));
            let answering = answer_requests(reader, frames.clone(), self.declarations.clone());
            let reading = spawn_local(answering);
            while !reading.is_finished() && !sending.is_finished() {
                let _ = frames.send(heartbeat(&name, self.number));
                sleep(HEARTBEAT).await;
            }
            sending.abort();
            reading.abort();
        }
    }
}

/// Bodies from several peers at once would take longer than a link may be silent, and longer
/// than new declarations may take to come into force.
#[test]
fn large_declarations_are_in_force_in_time_over_a_slow_link() {
    run(async {
        let (instance, address) = start_without_store().await;
        let declarations = declarations(ROUTES);
        let link = SharedLink::new();
        for number in 0..PEERS {
            let peer = ScriptedPeer {
                number,
                declarations: declarations.clone(),
                link: link.clone(),
                known: 0,
            };
            spawn_local(peer.run(address));
        }
        let began = Instant::now();
        let in_force = async { while instance.wait_for_declarations().await.is_none() {} };
        let result = timeout(IN_FORCE, in_force).await;
        assert!(
            result.is_ok(),
            "not in force {:?} after peers had them, {} bytes received",
            began.elapsed(),
            link.bytes.get()
        );
    });
}

/// A peer that does not answer must not make the instance ask all others at once.
#[test]
fn declarations_are_requested_from_one_peer_at_a_time() {
    run(async {
        let (_instance, address) = start_without_store().await;
        let (requests, mut requested) = mpsc::unbounded_channel();
        for number in 0..PEERS {
            let name = format!("b-{number}");
            let (mut reader, mut writer) = Link::open_as(&name, address, 1).await.split();
            let requests = requests.clone();
            spawn_local(async move {
                while let Some(body) = reader.next().await {
                    if matches!(body, Body::ConfigRequest(_)) {
                        let _ = requests.send(number);
                    }
                }
            });
            spawn_local(async move {
                let frame = || LinkWriter::encode(heartbeat(&name, number));
                while writer.write(&frame()).await.is_ok() {
                    sleep(HEARTBEAT).await;
                }
            });
        }
        let mut asked = HashSet::from([requested.recv().await.unwrap()]);
        let window = sleep(IN_FORCE / 8);
        tokio::pin!(window);
        loop {
            tokio::select! {
                number = requested.recv() => asked.insert(number.unwrap()),
                () = &mut window => break,
            };
        }
        assert_eq!(
            asked.len(),
            1,
            "peers {asked:?} were asked within {:?}",
            IN_FORCE / 8
        );
        let next = timeout(IN_FORCE / 2, async {
            loop {
                let number = requested.recv().await.unwrap();
                if !asked.contains(&number) {
                    break;
                }
            }
        });
        assert!(next.await.is_ok(), "no other peer is asked");
    });
}

/// All instances learn of a change at the same time. The store would have to send a large
/// configuration to each of them, which takes longer the larger the deployment is.
#[test]
fn a_large_deployment_receives_a_change_from_peers_without_reading_the_store() {
    run(async {
        let platform = FakePlatform {
            pools: 0,
            ..FakePlatform::default()
        };
        let reads = Rc::clone(&platform.reads);
        let (instance, address) = start_instance(platform).await;
        instance.wait_for_declarations().await.unwrap();
        let reads_before = reads.get();
        let peer = ScriptedPeer {
            number: 0,
            declarations: declarations(1),
            link: SharedLink::new(),
            known: LARGE_DEPLOYMENT,
        };
        spawn_local(peer.run(address));
        let in_force = async {
            let version = || async {
                let table = instance.wait_for_declarations().await;
                table.map(|table| table.declarations().version)
            };
            while version().await != Some(VERSION) {
                sleep(Duration::from_millis(1)).await;
            }
        };
        timeout(IN_FORCE, in_force).await.expect("not in force");
        assert_eq!(reads.get(), reads_before, "the store was read");
    });
}
