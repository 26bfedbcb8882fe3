//! Transfer of new declarations between instances.
//!
//! An instance that learns from a peer's heartbeat that there are newer ones reads them from
//! the store, and from peers if that takes too long. In a large deployment it is the other way
//! round ([`FirstSource`]).
//!
//! The receiver pulls the encoded declarations in chunks, from one peer at a time. A body of
//! several hundred kilobytes that is sent as a whole delays the heartbeats behind it, and
//! bodies of several peers at once occupy a small instance's link for seconds: its links
//! then time out before any body is complete. If a peer stops answering, another one
//! continues where it stopped, provided that its body is the same.
//!
//! A sender serves few receivers at a time and turns others away, which find another peer.
//! Each instance that has received the declarations is a further sender.

use bytes::Bytes;
use trefoil_schema::dispatch::{ConfigPush, ConfigRequest};
use xxhash_rust::xxh3::xxh3_64;

use super::link::LinkId;

/// Size of a chunk, which takes 7 ms over a link of 19 Mbit/s. Heartbeats are sent between
/// chunks.
pub const CHUNK_BYTES: u64 = 16 * 1024;
/// Maximum number of chunks that are requested and not yet received.
const WINDOW_CHUNKS: u64 = 4;
/// Time without a chunk after which another peer is asked; longer than a CPU throttling pause
/// of either instance.
pub const STALL_TIMEOUT_MS: u64 = 300;
/// Time that the first source has before the other one is used. A megabyte from the store takes
/// 450 ms over a link of 19 Mbit/s, and two peers have not answered by then.
pub const FIRST_SOURCE_PATIENCE_MS: u64 = 600;
/// Maximum number of receivers that a sender serves at a time. Over a link of 19 Mbit/s, their
/// windows delay a heartbeat by 220 ms, half of a link's timeout.
pub const RECEIVERS_MAX: usize = 8;

/// Where newer declarations are requested first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FirstSource {
    /// The store, which spares the owners of pools. It sends a megabyte to 36 instances in 0.3
    /// s.
    Store,
    /// The peers, whose number grows with that of the receivers, while the store would send a
    /// megabyte to 1,000 instances in 8 s. Owners of pools still read the store.
    Peers,
}

/// Encoded declarations, as they are sent to peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedDeclarations {
    /// Store revision of the declarations.
    pub revision: u64,
    bytes: Bytes,
    hash: u64,
}

impl EncodedDeclarations {
    /// Declarations of a store revision, encoded as `bytes`.
    pub fn new(revision: u64, bytes: Bytes) -> Self {
        let hash = hash_of(&bytes);
        Self {
            revision,
            bytes,
            hash,
        }
    }

    /// The part that begins at `offset`, of at most `bytes_max`; `None` if there is none.
    fn part(&self, offset: u64, bytes_max: u64) -> Option<ConfigPush> {
        let total_bytes = self.bytes.len() as u64;
        if offset >= total_bytes {
            return None;
        }
        let end = offset.saturating_add(bytes_max).min(total_bytes);
        Some(ConfigPush {
            body: self.bytes.slice(offset as usize..end as usize),
            offset,
            ..self.header()
        })
    }

    /// A push without a part of the body.
    fn header(&self) -> ConfigPush {
        ConfigPush {
            revision: self.revision,
            body: Bytes::new(),
            offset: 0,
            total_bytes: self.bytes.len() as u64,
            body_hash: self.hash,
        }
    }
}

/// Hash of an encoded body. It is never 0, which stands for no body.
fn hash_of(bytes: &[u8]) -> u64 {
    xxh3_64(bytes).max(1)
}

/// A body that is being received.
#[derive(Debug)]
struct PartialBody {
    revision: u64,
    hash: u64,
    total_bytes: u64,
    bytes: Vec<u8>,
}

impl PartialBody {
    /// Starts with the first part of a body; `None` for a later part.
    fn start(push: &ConfigPush) -> Option<Self> {
        (push.offset == 0).then(|| Self {
            revision: push.revision,
            hash: push.body_hash,
            total_bytes: push.total_bytes,
            bytes: push.body.to_vec(),
        })
    }

    fn received_bytes(&self) -> u64 {
        self.bytes.len() as u64
    }
}

/// The peer that sends a body.
#[derive(Clone, Copy, Debug)]
struct Source {
    link: LinkId,
    /// When it was asked, or the last chunk received.
    progressed_ms: u64,
    /// End of the part that has been requested.
    requested_bytes: u64,
}

/// What to do when a peer announces newer declarations.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnnouncementResponse {
    /// Whether to read the store.
    pub reads_store: bool,
    /// What to request from the peer.
    pub request: Option<ConfigRequest>,
}

/// Result of a received part.
#[derive(Clone, Debug, PartialEq)]
pub enum ReceivedPart {
    /// Requests to send to the same peer.
    Incomplete(Vec<ConfigRequest>),
    /// The whole body.
    Complete(Bytes),
}

/// The receiving side: declarations that are newer than those in force.
#[derive(Debug, Default)]
pub struct DeclarationReceiver {
    /// Since when a peer has had newer declarations.
    behind_since_ms: Option<u64>,
    /// Whether a read of the store has been requested since then.
    has_read_store: bool,
    is_store_failing: bool,
    body: Option<PartialBody>,
    source: Option<Source>,
    /// A peer that did not answer in time or turned this instance away, and until when it is
    /// not asked again.
    avoided: Option<(LinkId, u64)>,
}

impl DeclarationReceiver {
    /// Handles the announcement of newer declarations by a peer. `revision` is that of the
    /// declarations in force.
    pub fn on_announced(
        &mut self,
        now_ms: u64,
        link: LinkId,
        revision: u64,
        first: FirstSource,
    ) -> AnnouncementResponse {
        let since_ms = *self.behind_since_ms.get_or_insert(now_ms);
        self.drop_stalled_source(now_ms);
        let is_late = now_ms >= since_ms + FIRST_SOURCE_PATIENCE_MS;
        let (needs_store, may_ask_peer) = match first {
            FirstSource::Store => (true, is_late || self.is_store_failing),
            FirstSource::Peers => (is_late && self.source.is_none(), true),
        };
        let reads_store = needs_store && !self.has_read_store;
        self.has_read_store |= reads_store;
        let is_avoided = |(avoided, until_ms)| avoided == link && now_ms < until_ms;
        if !may_ask_peer || self.source.is_some() || self.avoided.is_some_and(is_avoided) {
            return AnnouncementResponse {
                reads_store,
                request: None,
            };
        }
        let (offset, body_hash) = match &self.body {
            Some(body) => (body.received_bytes(), body.hash),
            None => (0, 0),
        };
        self.source = Some(Source {
            link,
            progressed_ms: now_ms,
            requested_bytes: offset + CHUNK_BYTES,
        });
        AnnouncementResponse {
            reads_store,
            request: Some(ConfigRequest {
                revision,
                offset,
                bytes_max: CHUNK_BYTES,
                body_hash,
            }),
        }
    }

    fn drop_stalled_source(&mut self, now_ms: u64) {
        let is_stalled = |source: &mut Source| now_ms >= source.progressed_ms + STALL_TIMEOUT_MS;
        if let Some(source) = self.source.take_if(is_stalled) {
            self.avoided = Some((source.link, now_ms + STALL_TIMEOUT_MS));
        }
    }

    /// Handles a part sent by a peer. `revision` is that of the declarations in force.
    pub fn on_part(
        &mut self,
        now_ms: u64,
        link: LinkId,
        push: &ConfigPush,
        revision: u64,
    ) -> ReceivedPart {
        let nothing = ReceivedPart::Incomplete(Vec::new());
        if push.total_bytes == 0 {
            // From a release that sends whole bodies.
            self.source.take_if(|source| source.link == link);
            return ReceivedPart::Complete(push.body.clone());
        }
        let Some(source) = self.source.as_mut().filter(|source| source.link == link) else {
            return nothing;
        };
        if push.body.is_empty() {
            self.source = None;
            self.avoided = Some((link, now_ms + STALL_TIMEOUT_MS));
            return nothing;
        }
        match &mut self.body {
            Some(body) if body.hash == push.body_hash => {
                if push.offset != body.received_bytes() {
                    return nothing;
                }
                body.bytes.extend_from_slice(&push.body);
            }
            body => {
                let Some(started) = PartialBody::start(push) else {
                    return nothing;
                };
                source.requested_bytes = started.received_bytes();
                *body = Some(started);
            }
        }
        source.progressed_ms = now_ms;
        let complete = |body: &mut PartialBody| body.received_bytes() >= body.total_bytes;
        if let Some(body) = self.body.take_if(complete) {
            self.source = None;
            return match hash_of(&body.bytes) == body.hash {
                true => ReceivedPart::Complete(body.bytes.into()),
                false => nothing,
            };
        }
        ReceivedPart::Incomplete(self.next_requests(revision))
    }

    /// Requests that fill the window.
    fn next_requests(&mut self, revision: u64) -> Vec<ConfigRequest> {
        let mut requests = Vec::new();
        let (Some(source), Some(body)) = (&mut self.source, &self.body) else {
            return requests;
        };
        let window_end = body.received_bytes() + WINDOW_CHUNKS * CHUNK_BYTES;
        let end = body.total_bytes.min(window_end);
        while source.requested_bytes < end {
            requests.push(ConfigRequest {
                revision,
                offset: source.requested_bytes,
                bytes_max: CHUNK_BYTES,
                body_hash: body.hash,
            });
            source.requested_bytes += CHUNK_BYTES;
        }
        requests
    }

    /// Records the result of a read of the declarations from the store.
    pub fn on_store_read(&mut self, succeeded: bool) {
        self.is_store_failing = !succeeded;
    }

    /// Records that declarations of a store revision are in force.
    pub fn on_in_force(&mut self, revision: u64) {
        self.behind_since_ms = None;
        self.has_read_store = false;
        let is_outdated = |body: &mut PartialBody| body.revision <= revision;
        if self.body.is_none() || self.body.take_if(is_outdated).is_some() {
            self.source = None;
        }
    }

    /// Records that a link was closed.
    pub fn on_link_closed(&mut self, link: LinkId) {
        self.source.take_if(|source| source.link == link);
    }

    /// Milliseconds for which a peer has had newer declarations; 0 if none has.
    pub fn behind_ms(&self, now_ms: u64) -> u64 {
        let since_ms = self.behind_since_ms;
        since_ms.map_or(0, |since_ms| now_ms.saturating_sub(since_ms))
    }
}

/// A body that is being sent to a peer. It stays the same when newer declarations come
/// into force, so that frequent changes do not keep a slow receiver from completing one.
#[derive(Debug)]
struct Transmission {
    link: LinkId,
    body: EncodedDeclarations,
    requested_ms: u64,
}

/// The sending side.
#[derive(Debug, Default)]
pub struct DeclarationSender {
    transmissions: Vec<Transmission>,
}

impl DeclarationSender {
    /// Answers a request with a part of the declarations; `newest` are those in force.
    /// Returns `None` if the receiver has them or all of the requested body.
    pub fn on_request(
        &mut self,
        now_ms: u64,
        link: LinkId,
        request: &ConfigRequest,
        newest: &EncodedDeclarations,
    ) -> Option<ConfigPush> {
        if newest.revision <= request.revision {
            return None;
        }
        if request.bytes_max == 0 {
            // From a release that expects whole bodies.
            return Some(ConfigPush {
                revision: newest.revision,
                body: newest.bytes.clone(),
                ..ConfigPush::default()
            });
        }
        self.transmissions
            .retain(|other| now_ms < other.requested_ms + STALL_TIMEOUT_MS);
        let known = self.transmissions.iter().position(|own| own.link == link);
        if known.is_none() && self.transmissions.len() >= RECEIVERS_MAX {
            return Some(newest.header());
        }
        let known = known.map(|index| self.transmissions.swap_remove(index).body);
        let has_requested = |body: &EncodedDeclarations| body.hash == request.body_hash;
        let (body, offset) = match known.filter(has_requested) {
            Some(body) => (body, request.offset),
            None if has_requested(newest) => (newest.clone(), request.offset),
            None => (newest.clone(), 0),
        };
        let part = body.part(offset, request.bytes_max)?;
        if offset + (part.body.len() as u64) < part.total_bytes {
            self.transmissions.push(Transmission {
                link,
                body,
                requested_ms: now_ms,
            });
        }
        Some(part)
    }

    /// Records that a link was closed.
    pub fn on_link_closed(&mut self, link: LinkId) {
        self.transmissions.retain(|other| other.link != link);
    }
}
