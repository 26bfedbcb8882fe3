//! Parameters, events and commands of the membership state machine.

use trefoil_schema::peer;
use trefoil_schema::settings::{JobSettings, MembershipSettings};

use crate::view::{Member, ViewLog};

/// Timing parameters of the membership protocol.
#[derive(Clone, Debug)]
pub struct MembershipParams {
    /// Heartbeat interval, in milliseconds.
    pub heartbeat_ms: u64,
    /// Number of instances of other failure domains that receive each heartbeat.
    pub gossip_fanout: usize,
    /// Maximum number of instance summaries in a heartbeat.
    pub gossip_summaries_max: usize,
    /// Time without a heartbeat after which an instance is suspected to have
    /// failed, in milliseconds.
    pub suspect_ms: u64,
    /// How far beyond the current time vouches are requested, in milliseconds.
    pub vouch_ahead_ms: u64,
    /// Distance between the latest known admission limit and the first key time of
    /// a view with new members, in milliseconds.
    pub view_change_margin_ms: u64,
    /// Upper bound, in milliseconds, of `vouch_ahead_ms` plus the clock difference
    /// between any two instances. Bounds the admissions of a crashed instance if
    /// its peers' promises are not known.
    pub gone_clock_bound_ms: u64,
    /// Maximum staleness of the platform's instance list, in milliseconds.
    pub list_lag_max_ms: u64,
    /// Age at which keys are refused, in milliseconds.
    pub key_window_ms: u64,
    /// Delay before store operations are retried, in milliseconds.
    pub store_retry_ms: u64,
    /// Interval between reads of the view log if no change is pending, in
    /// milliseconds.
    pub store_poll_ms: u64,
    /// Time to wait for other instances before the first view of a new deployment
    /// is written, in milliseconds.
    pub bootstrap_wait_ms: u64,
    /// Time to wait for seals before a view change proceeds without the missing
    /// ones, in milliseconds.
    pub seal_wait_ms: u64,
    /// A protocol rule to violate, for mutation tests.
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
            bootstrap_wait_ms: 750,
            seal_wait_ms: 500,
            mutation: None,
        }
    }
}

impl MembershipParams {
    /// Parameters from the settings; others have their defaults.
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

/// A violation of the protocol, for mutation tests.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// A member's own vouch is a quorum.
    QuorumOfOne,
    /// Suspected members are removed without seals.
    NoSeals,
    /// New views start at the proposer's clock.
    ViewFromLocalClock,
    /// Sealed members are still vouched for.
    VouchAfterSeal,
    /// A store write with unknown outcome is repeated as if it had failed.
    UnknownIsFailure,
    /// A store write with unknown outcome is treated as successful.
    UnknownIsDone,
    /// Incarnations of an instance are not distinguished.
    NoIncarnationCheck,
    /// A new member admits keys before the former owners have confirmed the view.
    NoJoinWait,
    /// Older views in which a member may still collect vouches are ignored.
    NewestViewOnly,
    /// An instance that sends no heartbeats is treated as gone.
    SilentIsGone,
    /// The view log is written without comparing its revision.
    NoCompare,
}

/// An entry of the platform's instance list.
#[derive(Clone, Debug, PartialEq, Eq)]
#[expect(missing_docs, reason = "fields explain themselves")]
pub struct ListedInstance {
    pub member: Member,
    pub domain: String,
    /// Address that peers connect to, IP:PORT.
    pub address: String,
    /// Whether the platform is stopping the instance.
    pub leaving: bool,
}

/// Outcome of a compare-and-swap of the view log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreWrite {
    /// The log was written.
    Done {
        /// Store revision of the write.
        mod_revision: u64,
    },
    /// The log had another revision than expected; nothing was written.
    Conflict,
    /// The store did not answer: the write may have taken effect, or may still do so.
    Unknown,
}

/// Input of [`Membership`](super::Membership).
#[derive(Clone, Debug)]
pub enum Event {
    /// A message was received.
    Message {
        /// The sender.
        from: Member,
        /// Heartbeats, vouches, seals and view records are handled, others ignored.
        body: peer::message::Body,
    },
    /// Time has passed. Due at least once per heartbeat interval.
    Tick {
        /// Random bits, for the selection of gossip targets.
        entropy: u64,
    },
    /// A view log was read from the store.
    StoreRead {
        /// Failure domain of the log.
        domain: String,
        /// The log, or `None` if the store has none.
        log: Option<ViewLog>,
        /// Store revision of the log's last change, or 0 if there is none.
        mod_revision: u64,
    },
    /// A compare-and-swap has completed or timed out.
    StoreWrite(StoreWrite),
    /// A read of a view log failed.
    StoreUnreachable {
        /// Failure domain of the log.
        domain: String,
    },
    /// The complete instance list of the platform. Peers from the settings are
    /// passed before it, in a separate list with incarnation 0.
    PlatformList(Vec<ListedInstance>),
    /// The host of this instance refused a connection: its process does not run.
    ConnectionRefused(Member),
    /// This instance has been told to stop and must hand over its keys.
    Leave,
    /// State of the configuration in force at this instance.
    Config {
        /// Its revision.
        revision: u64,
        /// Time since the store confirmed to this instance that it is the newest one, in
        /// milliseconds; `None` if it never did.
        confirmed_age_ms: Option<u64>,
    },
    /// Load of this instance, for heartbeats.
    Load {
        /// Number of tasks waiting for a worker.
        queued: u32,
        /// Number of tasks at workers.
        running: u32,
    },
}

/// Output of [`Membership`](super::Membership).
///
/// Each `ReadStore` must be answered by one [`Event::StoreRead`] or
/// [`Event::StoreUnreachable`], and each `CompareAndSwap` by one
/// [`Event::StoreWrite`].
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send a message.
    Send {
        /// The recipient.
        to: Member,
        /// Address of the recipient, IP:PORT; empty if unknown.
        address: String,
        /// The message.
        body: peer::message::Body,
    },
    /// Read the view log of a failure domain.
    ReadStore {
        /// The failure domain.
        domain: String,
    },
    /// Write a view log if it still has the expected revision.
    CompareAndSwap {
        /// This instance's failure domain.
        domain: String,
        /// The log to write.
        log: ViewLog,
        /// The expected revision, or 0 if the store must not have a log.
        expected_mod_revision: u64,
    },
    /// Latest issue time of keys that this instance may admit, in Unix milliseconds.
    AdmissionLimit(u64),
    /// A newer view log has been adopted.
    ViewChanged {
        /// The failure domain.
        domain: String,
    },
    /// The running instances of this failure domain have changed. Sorted; includes
    /// leaving instances.
    MembersChanged(Vec<Member>),
}

/// The instance that handles submissions with a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// This instance owns the key and may admit it.
    Local,
    /// Another instance owns the key.
    Peer(Member),
    /// The owner of the key is lost. It may have started the key's tasks.
    OwnerLost,
    /// The owner is not known yet, or may not admit the key yet.
    Unknown {
        /// Delay before a retry, in milliseconds.
        retry_after_ms: u64,
    },
}

/// State of another instance, as observed by this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerState {
    /// Running and taking new work.
    Serving,
    /// Running, but about to stop.
    Leaving,
    /// No news for [`MembershipParams::suspect_ms`].
    Silent,
    /// The process is known to have ended.
    Gone,
}

/// Status of another instance, as observed by this one.
#[derive(Clone, Debug, PartialEq, Eq)]
#[expect(missing_docs, reason = "fields explain themselves")]
pub struct MemberStatus {
    pub member: Member,
    pub domain: String,
    pub state: PeerState,
    /// Revision of the configuration in force at the instance.
    pub config_revision: u64,
    /// Age of the latest information about the instance, in milliseconds.
    pub heard_ms: u64,
    /// Address that peers connect to, IP:PORT.
    pub address: String,
}
