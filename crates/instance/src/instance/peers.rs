//! Links to other instances.
//!
//! A small deployment is a full mesh: an instance dials all others when it starts.
//! When a link is lost, the side with the smaller name redials at short intervals,
//! the other side at longer ones. In a larger deployment each instance dials its
//! desired peers, and [`retire`] closes links that are no longer needed.

use std::cmp::Reverse;
use std::collections::HashSet;
use std::net::SocketAddr;

use bytes::Bytes;
use tokio::net::{TcpListener, TcpStream};
use trefoil_core::dispatch::limits::LINK_TIMEOUT_MS;
use trefoil_core::dispatch::link::{HeartbeatOrder, LinkId};
use trefoil_core::dispatch::retirement::{Retirement, Side};
use trefoil_schema::dispatch::frame::Body;
use trefoil_schema::dispatch::{Frame, Hello};

use super::*;
use crate::accept::Acceptor;
use crate::links::{self, FrameReader, LinkGuard, LinkSender};

/// Minimum interval between two dials of one peer.
const REDIAL_INTERVAL_MS: u64 = 250;
/// Minimum interval between dials of a peer with a smaller name, and of the seeds.
/// Such a peer usually dials, but may know no other instance if it started while
/// the store was unavailable.
const PASSIVE_REDIAL_INTERVAL_MS: u64 = 1000;
/// Time after the start during which the instance dials all peers that it learns of.
const STARTUP_DIAL_PERIOD_MS: u64 = 2000;
/// Delay after the start before seeds are dialed, so that the store is read first.
const SEED_DIAL_DELAY_MS: u64 = 300;
/// Age of the last read of the store up to which seeds are not dialed; longer than
/// the interval between reads of instances that own no pools.
const STORE_RECENT_MS: u64 = 5000;

/// Why a link was closed; logged as `cause`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LinkDownCause {
    /// The connection broke, or the peer closed it.
    Broken,
    /// No frame was received within the timeout.
    Silent,
    /// The send queue is full.
    Congested,
    /// This process was stalled.
    Stalled,
    /// The peer has started again.
    Superseded,
    /// Both sides agreed to close it.
    Retired,
}

/// One open link.
pub(crate) struct Link {
    pub(super) peer: Node,
    pub(super) retirement: Retirement,
    pub(super) sender: LinkSender,
    pub(super) last_heard_ms: u64,
    /// Whether the peer owns a pool, which shortens the link's timeout.
    pub(super) owns_pools: bool,
    /// Latest time of the peer's clock received in its heartbeats.
    pub(super) peer_sent_ms: u64,
    _guard: LinkGuard,
}

/// All links, and the state of dialing.
#[derive(Default)]
pub(crate) struct Peers {
    pub(super) links: HashMap<LinkId, Link>,
    pub(super) heartbeat_order: HeartbeatOrder,
    next_link: LinkId,
    dialing: HashSet<String>,
    dialed_ms: HashMap<String, u64>,
    seeds_dialed_ms: Option<u64>,
}

impl Peers {
    /// Returns all links to a peer; there are two if both sides dialed at once.
    pub(super) fn links_to(&self, name: &str) -> impl Iterator<Item = &Link> {
        let links = self.links.values();
        links.filter(move |link| link.peer.name == name)
    }

    /// Returns the links to earlier incarnations of a peer. Frames on their way there are
    /// about jobs and pools that the peer no longer has.
    fn links_to_earlier_incarnations(&self, node: &Node) -> Vec<u64> {
        let links = self.links.iter();
        let is_earlier =
            |link: &Link| link.peer.name == node.name && link.peer.incarnation < node.incarnation;
        let earlier = links.filter(|(_, link)| is_earlier(link));
        earlier.map(|(&id, _)| id).collect()
    }

    /// Whether a later incarnation of a peer is linked.
    fn knows_later_incarnation(&self, node: &Node) -> bool {
        let mut links = self.links_to(&node.name);
        links.any(|link| link.peer.incarnation > node.incarnation)
    }

    /// Returns the link over which jobs are delegated to a peer: of those that are not
    /// draining, the one that was heard last, since another one may be broken.
    pub(super) fn link_to(&self, name: &str) -> Option<LinkId> {
        let links = self.links.iter();
        let usable =
            links.filter(|(_, link)| link.peer.name == name && !link.retirement.is_draining());
        let latest = usable.max_by_key(|(id, link)| (link.last_heard_ms, Reverse(**id)));
        latest.map(|(&id, _)| id)
    }

    /// Extends the timeouts of all links by a time during which this process did not
    /// run.
    pub(super) fn extend_liveness_timeouts(&mut self, stall_ms: u64) {
        for link in self.links.values_mut() {
            link.last_heard_ms += stall_ms;
        }
    }
}

impl<P: Store + WorkerClient + 'static> Instance<P> {
    /// Accepts links from other instances until the process ends.
    pub async fn accept_links(self: Rc<Self>, listener: TcpListener) {
        let mut acceptor = Acceptor::new(listener, self.log.clone());
        loop {
            let stream = acceptor.accept().await;
            tokio::task::spawn_local(Rc::clone(&self).serve_link(stream, Side::Accepted));
        }
    }

    /// Dials the seeds, which introduce all other instances.
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

    /// Opens a link, which starts with a `Hello` from each side.
    async fn serve_link(self: Rc<Self>, stream: TcpStream, side: Side) {
        let opened = match links::open(stream) {
            Ok(opened) => opened,
            Err(error) => return warn!(self.log, "cannot open a link"; "error" => %error),
        };
        let hello = Body::Hello(Hello {
            node: Some(self.node.clone()),
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
        let is_stale = self.state.borrow().peers.knows_later_incarnation(&node);
        if node.name == self.node.name || is_stale {
            return;
        }
        let id = {
            let peers = &mut self.state.borrow_mut().peers;
            peers.next_link += 1;
            peers.next_link
        };
        let reading = tokio::task::spawn_local(Rc::clone(&self).read_link(id, reader));
        self.update(|state, now_ms, _| {
            for node in known.iter().filter(|node| node.name != self.node.name) {
                state.ownership.observe_peer(now_ms, node);
            }
        });
        let tasks = LinkGuard::new(vec![reading, opened.writer]);
        self.on_link_up(id, node, side, opened.sender, tasks);
    }

    fn on_link_up(
        self: &Rc<Self>,
        id: u64,
        node: Node,
        side: Side,
        sender: LinkSender,
        guard: LinkGuard,
    ) {
        info!(self.log, "link up"; "link" => id, "peer" => &node.name,
            "incarnation" => node.incarnation, "side" => ?side);
        self.update(|state, now_ms, effects| {
            for earlier in state.peers.links_to_earlier_incarnations(&node) {
                self.close_link(state, earlier, LinkDownCause::Superseded, now_ms, effects);
            }
            state.ownership.on_link_up(now_ms, &node);
            let link = Link {
                peer: node,
                retirement: Retirement::new(now_ms, side),
                sender,
                last_heard_ms: now_ms,
                owns_pools: false,
                peer_sent_ms: 0,
                _guard: guard,
            };
            state.peers.links.insert(id, link);
        });
        let state = self.state.borrow();
        if let Some(link) = state.peers.links.get(&id) {
            let now_ms = self.now_ms();
            link.send_heartbeat(&self.build_heartbeat(&state, now_ms));
            state.send_pool_workers(now_ms, link);
        }
    }

    async fn read_link(self: Rc<Self>, id: u64, mut reader: FrameReader) {
        loop {
            match reader.next().await {
                Ok(Some(frame)) => self.on_frame(id, frame),
                Ok(None) => break,
                Err(error) => {
                    warn!(self.log, "link error"; "error" => %error);
                    break;
                }
            }
        }
        self.update(|state, now_ms, effects| {
            self.close_link(state, id, LinkDownCause::Broken, now_ms, effects);
        });
    }

    /// Removes a closed link: jobs that were delegated over it are paused by an owner here,
    /// and revoked by the entry here. Other links to the same peer are not affected.
    pub(super) fn close_link(
        &self,
        state: &mut State,
        id: u64,
        cause: LinkDownCause,
        now_ms: u64,
        effects: &mut Effects,
    ) {
        let Some(link) = state.peers.links.remove(&id) else {
            return;
        };
        state.declared.on_link_closed(id);
        let cause = match (cause, link.retirement.is_offered()) {
            (LinkDownCause::Broken, true) => LinkDownCause::Retired,
            _ => cause,
        };
        let name = link.peer.name.clone();
        info!(self.log, "link down"; "link" => id, "peer" => &name, "cause" => ?cause,
            "side" => ?link.retirement.side(), "other_links" => state.peers.links_to(&name).count(),
            "last_heard_ms" => now_ms.saturating_sub(link.last_heard_ms));
        state.for_each_owner(effects, |owner, out| {
            owner.on_origin_lost(now_ms, Origin::Link(id), out);
        });
        let other_link = match cause {
            // The other links of the same incarnation are about to be closed as well.
            LinkDownCause::Superseded | LinkDownCause::Stalled => None,
            _ => state.peers.link_to(&name),
        };
        let out = &mut effects.entry;
        state.entry.on_link_lost(now_ms, id, &name, other_link, out);
        if state.peers.links_to(&name).next().is_some() {
            return;
        }
        state.peers.heartbeat_order.forget(&name);
        if cause == LinkDownCause::Retired {
            return state.ownership.on_link_closed(now_ms, &name);
        }
        state.ownership.on_link_down(now_ms, &name);
        if *name < *self.node.name {
            // The peer has the smaller name and redials first.
            state.peers.dialed_ms.insert(name, now_ms);
        }
    }

    /// Closes all links after a stall of this process.
    pub(super) fn close_all_links(&self, state: &mut State, now_ms: u64, effects: &mut Effects) {
        let ids: Vec<u64> = state.peers.links.keys().copied().collect();
        for id in ids {
            self.close_link(state, id, LinkDownCause::Stalled, now_ms, effects);
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
            ownership,
            peers,
            entry,
            ..
        } = &mut *state;
        let is_mesh = ownership.is_full_mesh();
        ownership.set_awaited_pools(entry.awaited_pools(now_ms));
        for node in ownership.desired_peers() {
            let name = node.name.as_str();
            let dialed_ms = peers.dialed_ms.get(name);
            let due = dialed_ms.is_none_or(|at_ms| at_ms + REDIAL_INTERVAL_MS <= now_ms);
            let is_responsible = !is_mesh
                || now_ms < STARTUP_DIAL_PERIOD_MS
                || *self.node.name < *name
                || dialed_ms.is_none_or(|at_ms| at_ms + PASSIVE_REDIAL_INTERVAL_MS <= now_ms);
            if due && is_responsible {
                self.dial_if_missing(peers, node, now_ms);
            }
        }
    }

    /// Dials the instances that use a pool that this one has just acquired; they would
    /// learn of the new owner from the store much later.
    pub(super) fn dial_pool_users(self: &Rc<Self>, pool: &str) {
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
    /// Whether seeds are the only way to find peers: no link is up, and the store has
    /// not been read recently.
    fn needs_seeds(&self, now_ms: u64) -> bool {
        let due_ms = match self.peers.seeds_dialed_ms {
            Some(dialed_ms) => dialed_ms + PASSIVE_REDIAL_INTERVAL_MS,
            None => SEED_DIAL_DELAY_MS,
        };
        let is_read = |read_ms: u64| now_ms < read_ms + STORE_RECENT_MS;
        self.peers.links.is_empty() && now_ms >= due_ms && !self.store_read_ms.is_some_and(is_read)
    }
}

/// Encodes a frame with this body.
pub(super) fn encode(body: Body) -> Bytes {
    links::encode(&Frame { body: Some(body) })
}
