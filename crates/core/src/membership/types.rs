//! What goes into the membership decisions and what comes out.

use trefoil_schema::peer;
use trefoil_schema::settings::{JobSettings, MembershipSettings};

use crate::view::{Member, ViewLog};

/// Time limits of membership, and where this instance stands.
#[derive(Clone, Debug)]
pub struct MembershipParams {
    /// Period of heartbeats, milliseconds.
    pub heartbeat_ms: u64,
    /// Instances outside the failure domain told each period.
    pub gossip_fanout: usize,
    /// Summaries of other instances in one heartbeat, at most.
    pub gossip_summaries_max: usize,
    /// Silence after which an instance counts as failed, milliseconds.
    pub suspect_ms: u64,
    /// How far ahead of now an instance asks to be vouched for, milliseconds.
    pub vouch_ahead_ms: u64,
    /// Distance of a joiner's first key time from the newest admission known.
    pub view_change_margin_ms: u64,
    /// Covers `vouch_ahead_ms` and the clock difference between any two
    /// instances, where only the clock bounds a vanished one's admissions.
    pub gone_clock_bound_ms: u64,
    /// How far the platform's instance list may lag, milliseconds.
    pub list_lag_max_ms: u64,
    /// Age beyond which keys are refused, milliseconds.
    pub key_window_ms: u64,
    /// Pause before the store is asked again, milliseconds.
    pub store_retry_ms: u64,
    /// Period of re-reading the record where nothing else asks for it.
    pub store_poll_ms: u64,
    /// Wait for other instances before the first view of a new deployment.
    pub founding_wait_ms: u64,
    /// Wait for seals before a view change goes on with what it has.
    pub seal_wait_ms: u64,
    /// A rule to break, so that tests can show that their checks see it.
    #[doc(hidden)]
    pub mutation: Option<Mutation>,
}

impl Default for MembershipParams {
    fn default() -> Self {
        Self {
            heartbeat_ms: 250,
            gossip_fanout: 2,
            gossip_summaries_max: 3,
            suspect_ms: 2_000,
            vouch_ahead_ms: 1_500,
            view_change_margin_ms: 1_000,
            gone_clock_bound_ms: 5_000,
            list_lag_max_ms: 10_000,
            key_window_ms: 600_000,
            store_retry_ms: 500,
            store_poll_ms: 10_000,
            founding_wait_ms: 750,
            seal_wait_ms: 500,
            mutation: None,
        }
    }
}

impl MembershipParams {
    /// Time limits as set; the window of keys is a setting of jobs.
    pub fn new(settings: &MembershipSettings, jobs: &JobSettings) -> Self {
        Self {
            heartbeat_ms: settings.heartbeat_ms,
            gossip_fanout: settings.gossip_fanout as usize,
            suspect_ms: settings.suspect_ms,
            vouch_ahead_ms: settings.vouch_ahead_ms,
            view_change_margin_ms: settings.view_change_margin_ms,
            gone_clock_bound_ms: settings.gone_clock_bound_ms,
            key_window_ms: jobs.key_window_ms,
            ..Self::default()
        }
    }
}

/// Rules that tests break on purpose.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// One vouch is enough: the member's own.
    QuorumOfOne,
    /// A suspect is removed without seals.
    NoSeals,
    /// A new view covers keys from the proposer's own clock on.
    FromNow,
    /// A seal does not stop later vouches.
    VouchAfterSeal,
    /// A store write with unknown outcome counts as failed, and is forgotten.
    UnknownIsFailure,
    /// A store write with unknown outcome counts as done.
    UnknownIsDone,
    /// A restarted instance takes the place of its former incarnation.
    NoIncarnationCheck,
    /// A joiner admits without word from those who owned its keys.
    NoJoinWait,
    /// Seals count for the newest view only, not for older ones still in use.
    NewestViewOnly,
    /// Silence counts as proof that an instance is gone.
    SilentIsGone,
    /// The record is written without comparing its revision.
    NoCompare,
}

/// An entry of the platform's list of instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedInstance {
    /// The instance and its start.
    pub member: Member,
    /// Its failure domain.
    pub domain: String,
    /// Where peers dial it, IP:PORT.
    pub address: String,
    /// Whether the platform is stopping it.
    pub leaving: bool,
}

/// Outcome of a compare-and-swap of the domain's record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreWrite {
    /// It took effect at this store revision.
    Done {
        /// Store revision of the change.
        mod_revision: u64,
    },
    /// The record had changed; nothing was written.
    Conflict,
    /// No answer: it may have taken effect, or may yet.
    Unknown,
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A message came from an instance.
    Message {
        /// Its sender.
        from: Member,
        /// Heartbeats, vouches, seals and view records are used; others ignored.
        body: peer::message::Body,
    },
    /// Time passed; due each heartbeat period or oftener.
    Tick {
        /// Fresh random bits, for the choice of instances to tell.
        entropy: u64,
    },
    /// The store answered a read.
    StoreRead {
        /// Whose record was read.
        domain: String,
        /// The record; `None` where the store has none.
        log: Option<ViewLog>,
        /// Store revision of its last change; 0 where there is none.
        mod_revision: u64,
    },
    /// The store answered, or failed to answer, a compare-and-swap.
    StoreWrite(StoreWrite),
    /// A read failed.
    StoreUnreachable {
        /// Whose record was to be read.
        domain: String,
    },
    /// The platform's list of instances, whole. Peers known from the settings
    /// alone come first, in a list of their own, with incarnation 0.
    PlatformList(Vec<ListedInstance>),
    /// The process of this instance is not there: its host refused the connection.
    ConnectionRefused(Member),
    /// This instance is to stop: hand its keys over.
    Leave,
    /// Configuration in force here.
    ConfigRevision(u64),
    /// Tasks here, for heartbeats.
    Load {
        /// Tasks waiting for a worker.
        queued: u32,
        /// Tasks sent to a worker.
        running: u32,
    },
}

/// Something to do. Each `ReadStore` is answered by one `StoreRead` or
/// `StoreUnreachable`, each `CompareAndSwap` by one `StoreWrite`, however late.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send a message to an instance.
    Send {
        /// The receiver.
        to: Member,
        /// Its address, IP:PORT; empty where none is known.
        address: String,
        /// The message.
        body: peer::message::Body,
    },
    /// Read a failure domain's record.
    ReadStore {
        /// Whose record.
        domain: String,
    },
    /// Write this domain's record if its revision is still the expected one
    /// (0: if there is none).
    CompareAndSwap {
        /// Whose record: always this instance's own.
        domain: String,
        /// The record to write.
        log: ViewLog,
        /// Revision to compare with.
        expected_mod_revision: u64,
    },
    /// The latest key time that this instance may admit now, Unix milliseconds.
    AdmissionLimit(u64),
    /// Another view is in force, in this or another failure domain.
    ViewChanged {
        /// The failure domain.
        domain: String,
    },
    /// The running instances of this failure domain, those about to stop among
    /// them; sorted.
    MembersChanged(Vec<Member>),
}

/// Where a submission belongs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// This instance owns the key and may admit it now.
    Local,
    /// That instance owns the key.
    Peer(Member),
    /// The key's owner is lost; what it did with the key is unknown.
    OwnerLost,
    /// Not known, or not allowed, yet.
    Unknown {
        /// When to ask again, milliseconds from now.
        retry_after_ms: u64,
    },
}

/// State of an instance as seen here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerState {
    /// Heard lately, takes new work.
    Serving,
    /// Heard lately, about to stop.
    Leaving,
    /// Not heard for `suspect_ms`.
    Silent,
    /// Its process is known to have ended.
    Gone,
}

/// An instance as known here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    /// The instance.
    pub member: Member,
    /// Its failure domain.
    pub domain: String,
    /// Its state.
    pub state: PeerState,
    /// Configuration in force there.
    pub config_revision: u64,
    /// Age of the newest news of it, milliseconds.
    pub heard_ms: u64,
    /// Where peers dial it, IP:PORT.
    pub address: String,
}
