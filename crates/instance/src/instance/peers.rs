//! Links to other instances and their frames.
//!
//! Every two instances have a link. The one that starts dials all others; of
//! two that know of each other, the one with the smaller name dials again, and
//! the other one more rarely.

use std::collections::HashSet;
use std::net::SocketAddr;

use bytes::Bytes;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use trefoil_core::dispatch::limits::{BEAT_IDLE_MS, LINK_IDLE_SILENT_MS, LINK_SILENT_MS};
use trefoil_schema::dispatch::frame::Body;
use trefoil_schema::dispatch::{
    Beat, Cancel, ConfigPush, ConfigRequest, Delegate, Ended, Frame, Hello, OwnedPool,
};

use super::*;
use crate::links::{self, FrameReader, LinkGuard, LinkSender};

/// Pause between two dials of one instance.
const REDIAL_MS: u64 = 250;
/// The same for the instance whose turn it is not: the other one may know
/// nobody, when it starts while the store is away.
const REDIAL_OTHER_MS: u64 = 1000;
/// So long after its start an instance dials all others that it learns of.
const DIAL_ALL_MS: u64 = 2000;
/// The store has so long to bring newer declarations before a peer is asked.
const ASK_AFTER_MS: u64 = 300;
/// Pause between two such questions to one peer.
const ASK_AGAIN_MS: u64 = 1000;
/// A read of the store that is no older counts as watching it.
const STORE_FRESH_MS: u64 = 1500;

/// One open link.
struct Link {
    peer: Node,
    sender: LinkSender,
    heard_ms: u64,
    /// When the peer was last asked for its declarations.
    asked_ms: Option<u64>,
    store_fresh_ms: Option<u64>,
    /// Whether the peer owns a pool, so that silence matters soon.
    owns: bool,
    /// Largest time of the peer's clock that it has told.
    peer_sent_ms: u64,
    _guard: LinkGuard,
}

impl Link {
    /// Sends a heartbeat; false if the peer does not keep up.
    fn beat(&self, beat: &Beat) -> bool {
        let echo_ms = self.peer_sent_ms;
        self.sender.send(encode(Body::Beat(Beat {
            echo_ms,
            ..beat.clone()
        })))
    }
}

/// All links.
#[derive(Default)]
pub(crate) struct Peers {
    links: HashMap<u64, Link>,
    next_link: u64,
    dialing: HashSet<String>,
    dialed_ms: HashMap<String, u64>,
    seeds_dialed_ms: u64,
}

impl Peers {
    fn link_to(&self, name: &str) -> Option<&Link> {
        self.links.values().find(|link| link.peer.name == name)
    }

    /// Counts no silence for a time in which this process did not run.
    pub(super) fn excuse(&mut self, late_ms: u64) {
        for link in self.links.values_mut() {
            link.heard_ms += late_ms;
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

impl<E: Store + Workers + 'static> Instance<E> {
    /// Accepts links from other instances until the process ends.
    pub async fn accept_links(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::task::spawn_local(Rc::clone(&self).serve_link(stream));
                }
                Err(error) => warn!(self.log, "cannot accept a link"; "error" => %error),
            }
        }
    }

    /// Dials the seeds; what they tell leads to all others.
    pub fn dial_seeds(self: &Rc<Self>) {
        self.state.borrow_mut().peers.seeds_dialed_ms = self.now_ms();
        for &seed in &self.settings.seeds {
            if seed != self.settings.links_address {
                let instance = Rc::clone(self);
                tokio::task::spawn_local(async move {
                    if let Ok(stream) = links::dial(seed).await {
                        instance.serve_link(stream).await;
                    }
                });
            }
        }
    }

    /// Opens a link; both sides say who they are first.
    async fn serve_link(self: Rc<Self>, stream: TcpStream) {
        let opened = match links::open(stream) {
            Ok(opened) => opened,
            Err(error) => return warn!(self.log, "cannot open a link"; "error" => %error),
        };
        let hello = Body::Hello(Hello {
            node: Some(self.me.clone()),
            known: self.state.borrow().ownership.peers().cloned().collect(),
        });
        opened.sender.send(encode(hello));
        let mut reader = opened.reader;
        let first = tokio::time::timeout(Duration::from_millis(LINK_SILENT_MS), reader.next());
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
                state.ownership.know(now_ms, node);
            }
        });
        self.link_up(id, node, opened.sender, vec![reading, opened.writer]);
    }

    fn link_up(
        self: &Rc<Self>,
        id: u64,
        node: Node,
        sender: LinkSender,
        tasks: Vec<JoinHandle<()>>,
    ) {
        info!(self.log, "link up"; "peer" => &node.name, "incarnation" => node.incarnation);
        self.change(|state, now_ms, _| {
            state.ownership.linked(now_ms, &node);
            let link = Link {
                peer: node,
                sender,
                heard_ms: now_ms,
                asked_ms: None,
                store_fresh_ms: None,
                owns: false,
                peer_sent_ms: 0,
                _guard: LinkGuard::new(tasks),
            };
            state.peers.links.insert(id, link);
        });
        let state = self.state.borrow();
        if let Some(link) = state.peers.links.get(&id) {
            link.beat(&self.beat_now(&state, self.now_ms()));
        }
    }

    async fn read_link(self: Rc<Self>, id: u64, mut reader: FrameReader) {
        loop {
            match reader.next().await {
                Ok(Some(frame)) => self.take_frame(id, frame),
                Ok(None) => break,
                Err(error) => {
                    warn!(self.log, "link broke"; "error" => %error);
                    break;
                }
            }
        }
        self.change(|state, now_ms, effects| self.link_down(state, id, now_ms, effects));
    }

    /// A link is over: the peer's jobs stop, and own jobs are taken back.
    fn link_down(&self, state: &mut State, id: u64, now_ms: u64, effects: &mut Effects) {
        let Some(link) = state.peers.links.remove(&id) else {
            return;
        };
        let name = link.peer.name.clone();
        info!(self.log, "link down"; "peer" => &name,
            "silent_ms" => now_ms.saturating_sub(link.heard_ms));
        state.each_owner(effects, |owner, out| {
            owner.origin_lost(now_ms, Origin::Link(id), out);
        });
        if state.peers.link_to(&name).is_none() {
            state.ownership.unlinked(now_ms, &name);
            if *name < *self.me.name {
                // It dials first.
                state.peers.dialed_ms.insert(name.clone(), now_ms);
            }
        }
        let out = &mut effects.entry;
        state.entry.owner_lost(now_ms, &name, out);
    }

    /// Ends all links, as after a standstill.
    pub(super) fn drop_links(&self, state: &mut State, now_ms: u64, effects: &mut Effects) {
        let ids: Vec<u64> = state.peers.links.keys().copied().collect();
        for id in ids {
            self.link_down(state, id, now_ms, effects);
        }
    }

    fn take_frame(self: &Rc<Self>, id: u64, frame: Frame) {
        let Some(body) = frame.body else {
            return;
        };
        if let Body::Config(push) = body {
            return self.take_declarations(&push);
        }
        self.change(|state, now_ms, effects| {
            let Some(link) = state.peers.links.get_mut(&id) else {
                return;
            };
            link.heard_ms = now_ms;
            let name = link.peer.name.clone();
            match body {
                Body::Beat(beat) => self.take_beat(state, id, beat, now_ms, effects),
                Body::Delegate(delegate) => {
                    self.take_delegate(state, id, delegate, now_ms, effects);
                }
                Body::Cancel(Cancel { job_id, pool }) => {
                    state.with_owner(&pool, effects, |owner, out| {
                        owner.cancel(now_ms, Origin::Link(id), &job_id, out);
                    });
                }
                Body::Ended(ended) => {
                    let outcome = outcome_of(ended.outcome);
                    let pool = ended.pool;
                    let from = Owned { pool, owner: name };
                    let out = &mut effects.entry;
                    state
                        .entry
                        .ended(now_ms, &from, &ended.job_id, outcome, out);
                }
                Body::ConfigRequest(request) => {
                    self.send_declarations(state, id, request.version);
                }
                Body::Config(_) | Body::Hello(_) => {}
            }
        });
    }

    fn take_declarations(&self, push: &ConfigPush) {
        match serde_json::from_slice(&push.body) {
            Ok(declarations) => self.set_declarations(declarations),
            Err(error) => warn!(self.log, "a peer's declarations are unreadable";
                "version" => push.version, "error" => %error),
        }
    }

    fn take_delegate(
        &self,
        state: &mut State,
        id: u64,
        delegate: Delegate,
        now_ms: u64,
        effects: &mut Effects,
    ) {
        let job_id = delegate.job.as_ref().map(|job| job.id.clone());
        let pool = delegate.pool.clone();
        let origin = Origin::Link(id);
        if !state.delegate(origin, delegate, now_ms, effects) {
            let ended = owner::Command::Ended {
                origin,
                job_id: job_id.unwrap_or_default(),
                outcome: Outcome::Returned,
                reason: "this instance does not own the pool",
            };
            effects.owner.push((pool, ended));
        }
    }

    fn take_beat(
        &self,
        state: &mut State,
        id: u64,
        beat: Beat,
        now_ms: u64,
        effects: &mut Effects,
    ) {
        let Some(link) = state.peers.links.get_mut(&id) else {
            return;
        };
        let name = link.peer.name.clone();
        link.owns = !beat.owned.is_empty();
        link.peer_sent_ms = link.peer_sent_ms.max(beat.sent_ms);
        if beat.store_fresh {
            link.store_fresh_ms = Some(now_ms);
        }
        // What the peer echoes it has got over this very link.
        if beat.echo_ms > 0 {
            for owner in state.owners.values_mut() {
                owner.origin_alive(Origin::Link(id), beat.echo_ms);
            }
        }
        state.ownership.heard(&name, beat.leaving);
        let mut known = state.entry.pools_of(&name);
        for owned in beat.owned {
            known.retain(|known| {
                owned
                    .claim
                    .as_ref()
                    .is_none_or(|claim| claim.pool != known.pool)
            });
            self.take_owned(state, &name, owned, now_ms, effects);
        }
        for lost in known {
            state.entry.pool_lost(now_ms, &lost, &mut effects.entry);
        }
        if beat.config_version > state.declarations_version() {
            self.catch_up(state, id, now_ms);
        }
    }

    /// A peer has newer declarations: the store is read, and if that does not
    /// bring them, the peer is asked. A large configuration is thus not sent by
    /// every peer that has it.
    fn catch_up(&self, state: &mut State, id: u64, now_ms: u64) {
        let since_ms = *state.behind_since_ms.get_or_insert(now_ms);
        if since_ms == now_ms {
            self.store_poke.notify_waiters();
        }
        let version = state.declarations_version();
        let Some(link) = state.peers.links.get_mut(&id) else {
            return;
        };
        let asked = link
            .asked_ms
            .is_some_and(|at_ms| now_ms < at_ms + ASK_AGAIN_MS);
        if now_ms >= since_ms + ASK_AFTER_MS && !asked {
            link.asked_ms = Some(now_ms);
            link.sender
                .send(encode(Body::ConfigRequest(ConfigRequest { version })));
        }
    }

    fn take_owned(
        &self,
        state: &mut State,
        owner: &str,
        owned: OwnedPool,
        now_ms: u64,
        effects: &mut Effects,
    ) {
        let Some(claim) = owned.claim else {
            return;
        };
        let load = owned.load.unwrap_or_default();
        let domain = claim.failure_domain.clone();
        let pool = Owned {
            pool: claim.pool.clone(),
            owner: owner.to_owned(),
        };
        let out = &mut effects.ownership;
        state.ownership.learn(now_ms, claim, owned.yielded, out);
        let out = &mut effects.entry;
        state.entry.pool_seen(now_ms, &pool, &domain, load, out);
    }

    /// What this instance tells every peer now.
    fn beat_now(&self, state: &State, now_ms: u64) -> Beat {
        let load_of = |pool: &str| state.owners.get(pool).map(|owner| owner.load(now_ms));
        let owned = state.ownership.own_claims();
        let owned = owned.map(|(claim, yielded)| OwnedPool {
            claim: Some(claim.clone()),
            load: load_of(&claim.pool),
            yielded,
        });
        let read_ms = state.store_read_ms;
        let fresh = read_ms.is_some_and(|read_ms| read_ms + STORE_FRESH_MS > now_ms);
        Beat {
            owned: owned.collect(),
            config_version: state.declarations_version(),
            leaving: state.leaving,
            store_fresh: !state.owners.is_empty() && fresh,
            sent_ms: now_ms,
            echo_ms: 0,
        }
    }

    /// Sends heartbeats, closes silent links, dials missing ones.
    pub(super) fn beat(self: &Rc<Self>) {
        self.change(|state, now_ms, effects| {
            self.close_silent(state, now_ms, effects);
            let idle_round = !state.ticks.is_multiple_of(BEAT_IDLE_MS / TICK_MS);
            let own = !state.owners.is_empty();
            let beat = self.beat_now(state, now_ms);
            let mut stuck = Vec::new();
            for (&id, link) in &state.peers.links {
                let due = own || link.owns || !idle_round;
                if due && !link.beat(&beat) {
                    stuck.push(id);
                }
            }
            for id in stuck {
                self.link_down(state, id, now_ms, effects);
            }
            for owned in beat.owned {
                self.take_owned(state, &self.me.name, owned, now_ms, effects);
            }
        });
        self.dial_missing();
    }

    fn close_silent(&self, state: &mut State, now_ms: u64, effects: &mut Effects) {
        let own = !state.owners.is_empty();
        let silent = |link: &Link| {
            let limit_ms = match own || link.owns {
                true => LINK_SILENT_MS,
                false => LINK_IDLE_SILENT_MS,
            };
            now_ms > link.heard_ms + limit_ms
        };
        let links = state.peers.links.iter();
        let silent = links.filter(|(_, link)| silent(link));
        let ids: Vec<u64> = silent.map(|(&id, _)| id).collect();
        for id in ids {
            self.link_down(state, id, now_ms, effects);
        }
    }

    fn dial_missing(self: &Rc<Self>) {
        let now_ms = self.now_ms();
        let alone = {
            let peers = &self.state.borrow().peers;
            peers.links.is_empty() && now_ms >= peers.seeds_dialed_ms + REDIAL_OTHER_MS
        };
        if alone {
            self.dial_seeds();
        }
        let mut state = self.state.borrow_mut();
        let State {
            ownership, peers, ..
        } = &mut *state;
        for node in ownership.peers() {
            let name = node.name.as_str();
            let dialed_ms = peers.dialed_ms.get(name);
            let due = dialed_ms.is_none_or(|at_ms| at_ms + REDIAL_MS <= now_ms);
            let mine = now_ms < DIAL_ALL_MS
                || *self.me.name < *name
                || dialed_ms.is_none_or(|at_ms| at_ms + REDIAL_OTHER_MS <= now_ms);
            let missing = peers.link_to(name).is_none() && !peers.dialing.contains(name);
            let Ok(address) = node.address.parse::<SocketAddr>() else {
                continue;
            };
            if due && mine && missing {
                peers.dialing.insert(name.to_owned());
                peers.dialed_ms.insert(name.to_owned(), now_ms);
                tokio::task::spawn_local(Rc::clone(self).dial_peer(name.to_owned(), address));
            }
        }
    }

    async fn dial_peer(self: Rc<Self>, name: String, address: SocketAddr) {
        if let Ok(stream) = links::dial(address).await {
            Rc::clone(&self).serve_link(stream).await;
        }
        self.state.borrow_mut().peers.dialing.remove(&name);
    }

    pub(super) fn send_delegate(&self, to: &Owned, delegate: Delegate, effects: &mut Effects) {
        let mut state = self.state.borrow_mut();
        let frame = encode(Body::Delegate(delegate));
        let link = state.peers.link_to(&to.owner);
        let sent = link.is_some_and(|link| link.sender.send(frame));
        if !sent {
            let out = &mut effects.entry;
            state.entry.pool_lost(self.now_ms(), to, out);
        }
    }

    pub(super) fn send_cancel(&self, to: &Owned, job_id: String) {
        let state = self.state.borrow();
        if let Some(link) = state.peers.link_to(&to.owner) {
            let pool = to.pool.clone();
            // A link that is down cancels everything anyway.
            link.sender
                .send(encode(Body::Cancel(Cancel { job_id, pool })));
        }
    }

    pub(super) fn send_ended(
        &self,
        link: u64,
        pool: String,
        job_id: String,
        outcome: Outcome,
        reason: &str,
    ) {
        let state = self.state.borrow();
        if let Some(link) = state.peers.links.get(&link) {
            // A link that is down takes its jobs back anyway.
            link.sender.send(encode(Body::Ended(Ended {
                job_id,
                outcome: outcome.into(),
                reason: reason.to_owned(),
                pool,
            })));
        }
    }

    /// Answers a peer that asked for newer declarations.
    fn send_declarations(&self, state: &State, id: u64, version: u64) {
        let newer = state.declarations.as_ref();
        let newer = newer.filter(|known| known.version() > version);
        let (Some(table), Some(link)) = (newer, state.peers.links.get(&id)) else {
            return;
        };
        match serde_json::to_vec(table.declarations()) {
            Ok(body) => {
                link.sender.send(encode(Body::Config(ConfigPush {
                    version: table.version(),
                    body: body.into(),
                })));
            }
            Err(error) => warn!(self.log, "cannot encode declarations"; "error" => %error),
        }
    }
}

fn encode(body: Body) -> Bytes {
    links::encode(&Frame { body: Some(body) })
}
