//! Links to other instances: dials, losses.
//!
//! In a small deployment every two instances have a link. The one that starts
//! dials all others; of two that know of each other, the one with the smaller
//! name dials again, and the other one more rarely. In a larger one each dials
//! its desired peers, and [`retire`] closes links that are no
//! longer needed.

use std::collections::HashSet;
use std::net::SocketAddr;

use bytes::Bytes;
use tokio::net::{TcpListener, TcpStream};
use trefoil_core::dispatch::limits::LINK_TIMEOUT_MS;
use trefoil_core::dispatch::retirement::{Retirement, Side};
use trefoil_schema::dispatch::frame::Body;
use trefoil_schema::dispatch::{Frame, Hello};

use super::*;
use crate::links::{self, FrameReader, LinkGuard, LinkSender};

/// Pause between two dials of one instance.
const REDIAL_MS: u64 = 250;
/// The same for the instance whose turn it is not: the other one may know
/// nobody, when it starts while the store is away.
const REDIAL_OTHER_MS: u64 = 1000;
/// So long after its start an instance dials all others that it learns of.
const DIAL_ALL_MS: u64 = 2000;
/// Time after the start in which the store may tell of peers before seeds are dialed.
const SEEDS_AFTER_MS: u64 = 300;
/// Age of the last reading of the store up to which seeds are not needed: instances
/// that leave reading to owners read each 4000.
const STORE_INTRODUCES_MS: u64 = 5000;

/// Why a link ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LinkEnd {
    /// The connection broke, or the peer closed it.
    Broken,
    /// Nothing was heard for too long.
    Silent,
    /// The peer does not read what is sent.
    Congested,
    /// This process did not run for a while.
    Stalled,
    /// Neither side needed it.
    Retired,
}

/// One open link.
pub(crate) struct Link {
    pub(super) peer: Node,
    pub(super) retirement: Retirement,
    pub(super) sender: LinkSender,
    pub(super) heard_ms: u64,
    /// When the peer was last asked for its declarations.
    pub(super) asked_ms: Option<u64>,
    pub(super) store_fresh_ms: Option<u64>,
    /// Whether the peer owns a pool, so that silence matters soon.
    pub(super) owns: bool,
    /// Largest time of the peer's clock that it has told.
    pub(super) peer_sent_ms: u64,
    _guard: LinkGuard,
}

/// A read of the store that is no older counts as watching it.
pub(super) const STORE_FRESH_MS: u64 = 1500;

/// All links.
#[derive(Default)]
pub(crate) struct Peers {
    pub(super) links: HashMap<u64, Link>,
    next_link: u64,
    dialing: HashSet<String>,
    dialed_ms: HashMap<String, u64>,
    /// When the seeds were last dialed; none before the first time.
    seeds_dialed_ms: Option<u64>,
}

impl Peers {
    /// All links to a peer: both sides may have dialed at once.
    pub(super) fn links_to(&self, name: &str) -> impl Iterator<Item = &Link> {
        let links = self.links.values();
        links.filter(move |link| link.peer.name == name)
    }

    /// A link to a peer over which jobs may be delegated.
    pub(super) fn link_to(&self, name: &str) -> Option<&Link> {
        self.links_to(name)
            .find(|link| !link.retirement.is_draining())
    }

    /// Moves all silence limits by a time in which this process did not run.
    pub(super) fn extend_silence_limits(&mut self, stall_ms: u64) {
        for link in self.links.values_mut() {
            link.heard_ms += stall_ms;
        }
    }

    /// Whether another instance tells that it reads the store.
    pub(super) fn store_is_fresh(&self, now_ms: u64) -> bool {
        let mut links = self.links.values();
        links.any(|link| {
            let fresh_ms = link.store_fresh_ms;
            fresh_ms.is_some_and(|fresh_ms| fresh_ms + STORE_FRESH_MS > now_ms)
        })
    }
}

impl<E: Store + WorkerClient + 'static> Instance<E> {
    /// Accepts links from other instances until the process ends.
    pub async fn accept_links(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::task::spawn_local(Rc::clone(&self).serve_link(stream, Side::Accepted));
                }
                Err(error) => warn!(self.log, "cannot accept a link"; "error" => %error),
            }
        }
    }

    /// Dials the seeds; what they tell leads to all others.
    fn dial_seeds(self: &Rc<Self>) {
        self.state.borrow_mut().peers.seeds_dialed_ms = Some(self.now_ms());
        for &seed in &self.settings.seeds {
            if seed != self.settings.links_advertised_address() {
                let instance = Rc::clone(self);
                tokio::task::spawn_local(async move {
                    if let Ok(stream) = links::dial(seed).await {
                        instance.serve_link(stream, Side::Dialed).await;
                    }
                });
            }
        }
    }

    /// Opens a link; both sides say who they are first.
    async fn serve_link(self: Rc<Self>, stream: TcpStream, side: Side) {
        let opened = match links::open(stream) {
            Ok(opened) => opened,
            Err(error) => return warn!(self.log, "cannot open a link"; "error" => %error),
        };
        let hello = Body::Hello(Hello {
            node: Some(self.me.clone()),
            known: self.state.borrow().ownership.known_nodes(),
        });
        opened.sender.send(encode(hello));
        let mut reader = opened.reader;
        let first = tokio::time::timeout(Duration::from_millis(LINK_TIMEOUT_MS), reader.next());
        let Ok(Ok(Some(Frame {
            body:
                Some(Body::Hello(Hello {
                    node: Some(node),
                    known,
                })),
        }))) = first.await
        else {
            return;
        };
        if node.name == self.me.name {
            return;
        }
        let id = {
            let peers = &mut self.state.borrow_mut().peers;
            peers.next_link += 1;
            peers.next_link
        };
        let reading = tokio::task::spawn_local(Rc::clone(&self).read_link(id, reader));
        self.change(|state, now_ms, _| {
            for node in known.iter().filter(|node| node.name != self.me.name) {
                state.ownership.observe_peer(now_ms, node);
            }
        });
        let tasks = LinkGuard::new(vec![reading, opened.writer]);
        self.link_up(id, node, side, opened.sender, tasks);
    }

    fn link_up(
        self: &Rc<Self>,
        id: u64,
        node: Node,
        side: Side,
        sender: LinkSender,
        guard: LinkGuard,
    ) {
        info!(self.log, "link up"; "peer" => &node.name, "incarnation" => node.incarnation,
            "side" => ?side);
        self.change(|state, now_ms, _| {
            state.ownership.on_link_up(now_ms, &node);
            let link = Link {
                peer: node,
                retirement: Retirement::new(now_ms, side),
                sender,
                heard_ms: now_ms,
                asked_ms: None,
                store_fresh_ms: None,
                owns: false,
                peer_sent_ms: 0,
                _guard: guard,
            };
            state.peers.links.insert(id, link);
        });
        let state = self.state.borrow();
        if let Some(link) = state.peers.links.get(&id) {
            link.beat(&self.beat_now(&state, self.now_ms()));
            state.send_pool_workers(link);
        }
    }

    async fn read_link(self: Rc<Self>, id: u64, mut reader: FrameReader) {
        loop {
            match reader.next().await {
                Ok(Some(frame)) => self.take_frame(id, frame),
                Ok(None) => break,
                Err(error) => {
                    warn!(self.log, "link error"; "error" => %error);
                    break;
                }
            }
        }
        self.change(|state, now_ms, effects| {
            self.link_down(state, id, LinkEnd::Broken, now_ms, effects);
        });
    }

    /// Removes a link that has ended: the peer's jobs stop, and own jobs are taken
    /// back.
    pub(super) fn link_down(
        &self,
        state: &mut State,
        id: u64,
        end: LinkEnd,
        now_ms: u64,
        effects: &mut Effects,
    ) {
        let Some(link) = state.peers.links.remove(&id) else {
            return;
        };
        let end = match (end, link.retirement.is_offered()) {
            (LinkEnd::Broken, true) => LinkEnd::Retired,
            _ => end,
        };
        let name = link.peer.name.clone();
        info!(self.log, "link down"; "peer" => &name, "cause" => ?end, "side" => ?link.retirement.side(),
            "last_heard_ms" => now_ms.saturating_sub(link.heard_ms));
        state.each_owner(effects, |owner, out| {
            owner.on_origin_lost(now_ms, Origin::Link(id), out);
        });
        let is_last = state.peers.links_to(&name).next().is_none();
        if end == LinkEnd::Retired {
            if is_last {
                state.ownership.on_link_closed(now_ms, &name);
            }
            return;
        }
        if is_last {
            state.ownership.on_link_down(now_ms, &name);
            if *name < *self.me.name {
                // It dials first.
                state.peers.dialed_ms.insert(name.clone(), now_ms);
            }
        }
        let out = &mut effects.entry;
        state.entry.owner_lost(now_ms, &name, out);
    }

    /// Ends all links after a time in which this process did not run.
    pub(super) fn drop_links(&self, state: &mut State, now_ms: u64, effects: &mut Effects) {
        let ids: Vec<u64> = state.peers.links.keys().copied().collect();
        for id in ids {
            self.link_down(state, id, LinkEnd::Stalled, now_ms, effects);
        }
    }

    pub(super) fn dial_missing(self: &Rc<Self>) {
        let now_ms = self.now_ms();
        let needs_seeds = self.state.borrow().needs_seeds(now_ms);
        if needs_seeds {
            self.dial_seeds();
        }
        let mut state = self.state.borrow_mut();
        let State {
            ownership, peers, ..
        } = &mut *state;
        let is_mesh = ownership.is_full_mesh();
        for node in ownership.desired_peers() {
            let name = node.name.as_str();
            let dialed_ms = peers.dialed_ms.get(name);
            let due = dialed_ms.is_none_or(|at_ms| at_ms + REDIAL_MS <= now_ms);
            let mine = !is_mesh
                || now_ms < DIAL_ALL_MS
                || *self.me.name < *name
                || dialed_ms.is_none_or(|at_ms| at_ms + REDIAL_OTHER_MS <= now_ms);
            if due && mine {
                self.dial_if_missing(peers, node, now_ms);
            }
        }
    }

    /// Dials the instances that use a pool that this one has just acquired.
    ///
    /// Load pattern: an owner is lost. Its successor reaches those who used the pool
    /// sooner than they learn of it from the store, which they read rarely.
    pub(super) fn dial_users(self: &Rc<Self>, pool: &str) {
        let now_ms = self.now_ms();
        let mut state = self.state.borrow_mut();
        let State {
            ownership, peers, ..
        } = &mut *state;
        for node in ownership.users_of(pool) {
            self.dial_if_missing(peers, node, now_ms);
        }
    }

    fn dial_if_missing(self: &Rc<Self>, peers: &mut Peers, node: &Node, now_ms: u64) {
        let name = node.name.as_str();
        let missing = peers.link_to(name).is_none() && !peers.dialing.contains(name);
        let Some(address) = node.address.parse().ok().filter(|_| missing) else {
            return;
        };
        peers.dialing.insert(name.to_owned());
        peers.dialed_ms.insert(name.to_owned(), now_ms);
        tokio::task::spawn_local(Rc::clone(self).dial_peer(name.to_owned(), address));
    }

    async fn dial_peer(self: Rc<Self>, name: String, address: SocketAddr) {
        if let Ok(stream) = links::dial(address).await {
            Rc::clone(&self).serve_link(stream, Side::Dialed).await;
        }
        self.state.borrow_mut().peers.dialing.remove(&name);
    }
}

impl State {
    /// Whether only the seeds can tell of peers: no link is up, and the store has
    /// not been read for a while.
    fn needs_seeds(&self, now_ms: u64) -> bool {
        let due_ms = match self.peers.seeds_dialed_ms {
            Some(dialed_ms) => dialed_ms + REDIAL_OTHER_MS,
            None => SEEDS_AFTER_MS,
        };
        let is_read = |read_ms: u64| now_ms < read_ms + STORE_INTRODUCES_MS;
        self.peers.links.is_empty() && now_ms >= due_ms && !self.store_read_ms.is_some_and(is_read)
    }
}

/// The bytes of a frame.
pub(super) fn encode(body: Body) -> Bytes {
    links::encode(&Frame { body: Some(body) })
}
