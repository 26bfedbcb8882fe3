//! Links to other instances and their frames.
//!
//! Every two instances have a link. The one that starts dials all others; of
//! two that know of each other, the one with the smaller name dials again.

use std::collections::HashSet;
use std::net::SocketAddr;

use bytes::Bytes;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use trefoil_core::dispatch::limits::{BEAT_IDLE_MS, LINK_IDLE_SILENT_MS};
use trefoil_schema::dispatch::frame::Body;
use trefoil_schema::dispatch::{Beat, Cancel, ConfigPush, Delegate, Ended, Frame, Hello};

use super::*;
use crate::links::{self, FrameReader, LinkGuard, LinkSender};

/// Pause between two dials of one instance.
const REDIAL_MS: u64 = 250;
/// So long after its start an instance dials all others that it learns of.
const DIAL_ALL_MS: u64 = 2000;
/// A read of the store that is no older counts as watching it.
const STORE_FRESH_MS: u64 = 1500;

/// One open link.
struct Link {
    peer: Node,
    sender: LinkSender,
    heard_ms: u64,
    /// Version of the declarations that the peer has.
    declarations_version: u64,
    store_fresh_ms: Option<u64>,
    _guard: LinkGuard,
}

/// All links.
#[derive(Default)]
pub(crate) struct Peers {
    links: HashMap<u64, Link>,
    next_link: u64,
    dialing: HashSet<String>,
    dialed_ms: HashMap<String, u64>,
}

impl Peers {
    fn link_to(&self, name: &str) -> Option<&Link> {
        self.links.values().find(|link| link.peer.name == name)
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

    /// Dials the seeds once; what they tell leads to all others.
    pub fn dial_seeds(self: &Rc<Self>) {
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
        });
        opened.sender.send(encode(hello));
        let mut reader = opened.reader;
        let first = tokio::time::timeout(Duration::from_millis(LINK_SILENT_MS), reader.next());
        let Ok(Ok(Some(Frame {
            body: Some(Body::Hello(Hello { node: Some(node) })),
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
                declarations_version: 0,
                store_fresh_ms: None,
                _guard: LinkGuard::new(tasks),
            };
            state.peers.links.insert(id, link);
        });
        let state = self.state.borrow();
        if let Some(link) = state.peers.links.get(&id) {
            let frame = self.beat_frame(&state, self.now_ms());
            link.sender.send(links::encode(&frame));
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
        if let Some(owner) = &mut state.owner {
            owner.origin_lost(now_ms, Origin::Link(id), &mut effects.owner);
        }
        if state.peers.link_to(&name).is_none() {
            state.ownership.unlinked(now_ms, &name);
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
                Body::Cancel(Cancel { job_id }) => {
                    if let Some(owner) = &mut state.owner {
                        let origin = Origin::Link(id);
                        owner.cancel(now_ms, origin, &job_id, &mut effects.owner);
                    }
                }
                Body::Ended(ended) => {
                    let outcome = outcome_of(ended.outcome);
                    let out = &mut effects.entry;
                    state
                        .entry
                        .ended(now_ms, &name, &ended.job_id, outcome, out);
                }
                Body::Config(_) | Body::Hello(_) | Body::Handover(_) => {}
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
        let Some(spec) = delegate.job else {
            return;
        };
        let origin = Origin::Link(id);
        let clears = delegate.unsafe_domain == self.me.failure_domain;
        match &mut state.owner {
            Some(owner) => {
                let unsafe_for_ms = delegate.unsafe_for_ms;
                let out = &mut effects.owner;
                owner.delegate(now_ms, origin, spec, unsafe_for_ms, clears, out);
            }
            None => effects.owner.push(owner::Command::Ended {
                origin,
                job_id: spec.id,
                outcome: Outcome::Returned,
                reason: "this instance owns no workers",
            }),
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
        link.declarations_version = beat.config_version;
        if beat.store_fresh {
            link.store_fresh_ms = Some(now_ms);
        }
        state.ownership.heard(&name, beat.leaving);
        for claim in beat.claims {
            state.ownership.learn(claim, &mut effects.ownership);
        }
        let load = beat.load.unwrap_or_default();
        let domain = state.ownership.owned_by(&name).map(str::to_owned);
        let out = &mut effects.entry;
        match domain {
            Some(domain) => state.entry.owner_seen(now_ms, &name, &domain, load, out),
            None => state.entry.owner_lost(now_ms, &name, out),
        }
        let version = state.declarations.as_ref().map(|known| known.version);
        if version.is_some_and(|version| version > beat.config_version) {
            self.push_to(state, id);
        }
    }

    /// What this instance tells its peers now.
    fn beat_frame(&self, state: &State, now_ms: u64) -> Frame {
        let load = state.owner.as_ref().map(|owner| owner.load(now_ms));
        let read_ms = state.store_read_ms;
        let fresh = read_ms.is_some_and(|read_ms| read_ms + STORE_FRESH_MS > now_ms);
        let beat = Beat {
            claims: state.ownership.claims().cloned().collect(),
            config_version: state.declarations.as_ref().map_or(0, |known| known.version),
            leaving: state.leaving,
            load,
            store_fresh: state.owner.is_some() && fresh,
        };
        Frame {
            body: Some(Body::Beat(beat)),
        }
    }

    /// Sends heartbeats, closes silent links, dials missing ones.
    pub(super) fn beat(self: &Rc<Self>) {
        self.change(|state, now_ms, effects| {
            self.close_silent(state, now_ms, effects);
            let idle_round = !state.ticks.is_multiple_of(BEAT_IDLE_MS / TICK_MS);
            let frame = links::encode(&self.beat_frame(state, now_ms));
            let own = state.owner.is_some();
            let mut stuck = Vec::new();
            for (&id, link) in &state.peers.links {
                let matters = own || state.ownership.owned_by(&link.peer.name).is_some();
                if (matters || !idle_round) && !link.sender.send(frame.clone()) {
                    stuck.push(id);
                }
            }
            for id in stuck {
                self.link_down(state, id, now_ms, effects);
            }
            if let Some(owner) = &state.owner {
                let load = owner.load(now_ms);
                let (name, domain) = (&self.me.name, &self.me.failure_domain);
                let out = &mut effects.entry;
                state.entry.owner_seen(now_ms, name, domain, load, out);
            }
        });
        self.dial_missing();
    }

    fn close_silent(&self, state: &mut State, now_ms: u64, effects: &mut Effects) {
        let own = state.owner.is_some();
        let silent = |link: &Link| {
            let matters = own || state.ownership.owned_by(&link.peer.name).is_some();
            let limit_ms = match matters {
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
        let mut state = self.state.borrow_mut();
        let State {
            ownership, peers, ..
        } = &mut *state;
        for node in ownership.peers() {
            let name = node.name.as_str();
            let dialed_ms = peers.dialed_ms.get(name);
            let due = dialed_ms.is_none_or(|at_ms| at_ms + REDIAL_MS <= now_ms);
            let mine =
                now_ms < DIAL_ALL_MS || *self.me.name < *name || ownership.owned_by(name).is_some();
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

    pub(super) fn send_delegate(
        &self,
        owner: &str,
        spec: JobSpec,
        unsafe_for_ms: u64,
        unsafe_domain: String,
        effects: &mut Effects,
    ) {
        let mut state = self.state.borrow_mut();
        let frame = encode(Body::Delegate(Delegate {
            job: Some(spec),
            unsafe_for_ms,
            unsafe_domain,
        }));
        let link = state.peers.link_to(owner);
        let sent = link.is_some_and(|link| link.sender.send(frame));
        if !sent {
            let out = &mut effects.entry;
            state.entry.owner_lost(self.now_ms(), owner, out);
        }
    }

    pub(super) fn send_cancel(&self, owner: &str, job_id: String) {
        let state = self.state.borrow();
        if let Some(link) = state.peers.link_to(owner) {
            // A link that is down cancels everything anyway.
            link.sender.send(encode(Body::Cancel(Cancel { job_id })));
        }
    }

    pub(super) fn send_ended(&self, link: u64, job_id: String, outcome: Outcome, reason: &str) {
        let state = self.state.borrow();
        if let Some(link) = state.peers.links.get(&link) {
            // A link that is down takes its jobs back anyway.
            link.sender.send(encode(Body::Ended(Ended {
                job_id,
                outcome: outcome.into(),
                reason: reason.to_owned(),
            })));
        }
    }

    /// Sends the declarations to every peer that has older ones.
    pub(super) fn push_declarations(&self) {
        let mut state = self.state.borrow_mut();
        let version = state.declarations.as_ref().map_or(0, |known| known.version);
        let links = state.peers.links.iter();
        let behind = links.filter(|(_, link)| link.declarations_version < version);
        let ids: Vec<u64> = behind.map(|(&id, _)| id).collect();
        for id in ids {
            self.push_to(&mut state, id);
        }
    }

    fn push_to(&self, state: &mut State, id: u64) {
        let Some(declarations) = state.declarations.clone() else {
            return;
        };
        let body = match serde_json::to_vec(&*declarations) {
            Ok(body) => body.into(),
            Err(error) => return warn!(self.log, "cannot encode declarations"; "error" => %error),
        };
        if let Some(link) = state.peers.links.get_mut(&id) {
            link.declarations_version = declarations.version;
            link.sender.send(encode(Body::Config(ConfigPush {
                version: declarations.version,
                body,
            })));
        }
    }
}

fn encode(body: Body) -> Bytes {
    links::encode(&Frame { body: Some(body) })
}
