//! Cooperation with the other instances.
//!
//! Each job key has one owner (see [`trefoil_core::view`]). An instance that receives
//! a request for another owner's key forwards it and returns the owner's answer, so
//! that all state of a job is on one instance, and instances need not agree on single
//! jobs. `docs/design/at-most-once.md` has the alternatives.
//!
//! * [`driver`]: input and output of the membership state machine.
//! * [`forward`]: requests to the owner of a key.
//! * [`lending`]: loans of task slots.
//! * [`serve`]: messages from other instances.
//! * [`handover`]: transfer of a leaving instance's remembered jobs.
//! * [`parts`]: splits remembered jobs into messages of limited size.
//! * [`recall`]: requests for keys whose owner is gone.
//! * [`pending`]: requests that wait for an answer.
//! * [`record`]: stored format of a failure domain's views.
//! * [`counters`]: counters of wasted messages.
//! * [`convert`]: conversions between engine types and messages.

pub mod convert;
mod counters;
mod driver;
mod forward;
mod handover;
mod lending;
mod parts;
mod pending;
mod recall;
mod record;
mod serve;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use derive_more::{Display, Error};
use slog::Logger;
use tokio::sync::watch;
use trefoil_core::handover::{Absence, Scopes};
use trefoil_core::key::JobKey;
use trefoil_core::membership::{
    Event, MemberStatus, Membership, MembershipParams, PeerState, Route,
};
use trefoil_core::view::Member;
use trefoil_schema::api::{InstanceStateName, InstanceStatus, StatusResponse};
use trefoil_schema::settings::Settings;

use crate::links::{LinkError, LinkSettings, Links};
use crate::runtime::Runtime;
use crate::server::drain::DrainController;
use crate::sources::config::ConfigHandle;
use crate::sources::instances::InstanceList;
use crate::sources::platform::PlatformStore;
use counters::PeerCounters;
use handover::AckTable;
use pending::PendingTable;

/// Follows the configured prefix in the store's keys of view logs.
const VIEWS_PART: &str = "views/";

/// Error at the start of [`Peers`].
#[derive(Debug, Display, Error)]
pub enum PeersError {
    /// `peer_address` is not IP:PORT.
    #[display("peer_address {address} is not IP:PORT")]
    Address {
        /// The configured address.
        address: String,
    },
    /// The peer address cannot be listened on.
    #[display("cannot listen for peers on {address}: {source}; hint: check peer_address")]
    Listen {
        /// The configured address.
        address: String,
        /// Error of the links.
        source: LinkError,
    },
}

/// Dependencies of [`Peers`].
pub(crate) struct PeersContext {
    /// The validated settings.
    pub(crate) settings: Settings,
    pub(crate) store: Arc<dyn PlatformStore>,
    pub(crate) instances: InstanceList,
    /// Whether `instances` is polled; set by [`Peers`].
    pub(crate) list_polling: watch::Sender<bool>,
    pub(crate) config: ConfigHandle,
    pub(crate) runtime: Arc<Runtime>,
    /// Counts the requests that a planned stop waits for.
    pub(crate) stop: Arc<DrainController>,
    pub(crate) log: Logger,
}

/// This instance as a member of its deployment.
pub struct Peers {
    local_member: Member,
    domain: String,
    views_prefix: String,
    connections_max: u32,
    /// Configured addresses of instances, by name; they override advertised ones.
    dial_addresses: HashMap<String, SocketAddr>,
    membership: Mutex<Membership>,
    links: Links,
    pending: PendingTable,
    /// Whether this instance watches the store for its failure domain.
    watches_store: AtomicBool,
    counters: PeerCounters,
    acks: Mutex<AckTable>,
    scopes: Mutex<Scopes>,
    context: PeersContext,
}

impl Peers {
    /// Listens for peers and starts the background tasks, which run until the process
    /// ends.
    ///
    /// # Errors
    ///
    /// Fails if the peer address is invalid or cannot be listened on.
    pub(crate) fn start(context: PeersContext) -> Result<Arc<Self>, PeersError> {
        let settings = &context.settings;
        let local_member = Member::new(&settings.instance, context.runtime.now().wall_ms);
        let address = settings.peer_address.clone();
        let listen = address.parse().map_err(|_| PeersError::Address {
            address: address.clone(),
        })?;
        let link_settings = LinkSettings {
            local_instance: (&local_member).into(),
            listen,
            ..LinkSettings::default()
        };
        let (links, incoming) = Links::start(link_settings, context.log.clone())
            .map_err(|source| PeersError::Listen { address, source })?;
        let peers = Arc::new(Self {
            domain: settings.failure_domain.clone(),
            views_prefix: format!("{}{VIEWS_PART}", settings.platform.prefix),
            connections_max: settings.workers.connections_max,
            dial_addresses: dial_addresses(settings),
            membership: Mutex::new(membership(&local_member, settings)),
            local_member,
            links,
            pending: PendingTable::default(),
            watches_store: AtomicBool::new(true),
            counters: PeerCounters::default(),
            acks: Mutex::default(),
            scopes: Mutex::default(),
            context,
        });
        tokio::spawn(Arc::clone(&peers).receive(incoming));
        tokio::spawn(Arc::clone(&peers).run_membership());
        tokio::spawn(Arc::clone(&peers).run_slot_balancing());
        Ok(peers)
    }

    /// Returns where a submission with `key` is to be sent.
    pub(crate) fn route(&self, key: &JobKey) -> Route {
        let route = self.membership().route(key);
        match route {
            Route::Peer(_) if self.has_taken_over(key) => Route::OwnerLost,
            route => route,
        }
    }

    /// Whether this instance has taken over all remembered jobs of the key's owner.
    /// Such an owner accepts no more jobs, even if its last heartbeat is recent and
    /// its exit message is delayed or lost.
    fn has_taken_over(&self, key: &JobKey) -> bool {
        let succession = self.membership().succession(key);
        succession.is_some_and(|(succession, version)| {
            let is_successor = succession.holder == self.local_member;
            let absence = self.scopes().absence(key, &succession, version);
            is_successor && absence == Absence::NeverStarted
        })
    }

    /// Whether the newest view contains this instance.
    pub(crate) fn in_view(&self) -> bool {
        self.membership().in_newest_view()
    }

    /// Starts to leave: new keys go to other instances, while requests for existing
    /// keys are still answered.
    pub(crate) fn leave(self: &Arc<Self>) {
        self.handle(Event::Leave);
    }

    /// Links to the other instances.
    pub(crate) fn links(&self) -> &Links {
        &self.links
    }

    /// Counters of wasted messages.
    pub(crate) fn counters(&self) -> &PeerCounters {
        &self.counters
    }

    /// How far in the future the issue time of an admitted key may be, in
    /// milliseconds; negative if the admission limit has passed.
    pub(crate) fn admission_lead_ms(&self) -> i64 {
        let limit_ms = self.membership().admission_limit();
        let now_ms = self.context.runtime.now().wall_ms;
        i64::try_from(i128::from(limit_ms) - i128::from(now_ms)).unwrap_or(i64::MAX)
    }

    /// Version of the newest view of this instance's failure domain.
    pub(crate) fn view_version(&self) -> u64 {
        newest_version(&self.membership(), &self.domain)
    }

    /// Status of the deployment as known to this instance.
    pub(crate) fn status(&self) -> StatusResponse {
        let config_revision = self.context.config.current().revision;
        let membership = self.membership();
        let view_version = newest_version(&membership, &self.domain);
        let others = membership.status();
        let leaving = membership.leaving();
        drop(membership);
        let mut instances: Vec<InstanceStatus> = others.into_iter().map(instance_status).collect();
        instances.push(self.local_status(config_revision, leaving));
        instances.sort_by(|a, b| a.instance.cmp(&b.instance));
        StatusResponse {
            instance: self.local_member.name.clone(),
            config_revision,
            store_reachable: self.context.config.store_reachable(),
            view_version,
            instances,
        }
    }

    fn local_status(&self, config_revision: u64, leaving: bool) -> InstanceStatus {
        let state = match leaving {
            true => InstanceStateName::Leaving,
            false => InstanceStateName::Serving,
        };
        InstanceStatus {
            instance: self.local_member.name.clone(),
            incarnation: self.local_member.incarnation,
            failure_domain: self.domain.clone(),
            state,
            config_revision,
            heard_ms: 0,
        }
    }

    fn acks(&self) -> MutexGuard<'_, AckTable> {
        self.acks.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn scopes(&self) -> MutexGuard<'_, Scopes> {
        self.scopes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the configured address of an instance, or else its advertised one.
    fn dial_address(&self, member: &Member, advertised: &str) -> Option<SocketAddr> {
        let configured = self.dial_addresses.get(&member.name).copied();
        configured.or_else(|| advertised.parse().ok())
    }

    fn membership(&self) -> MutexGuard<'_, Membership> {
        self.membership
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn newest_version(membership: &Membership, domain: &str) -> u64 {
    let known = membership.view_log(domain);
    known.map_or(0, |known| known.log.version())
}

fn dial_addresses(settings: &Settings) -> HashMap<String, SocketAddr> {
    let peers = settings.peers.iter();
    let parsed = peers.filter_map(|peer| {
        let address = peer.dial_address.parse().ok()?;
        Some((peer.instance.clone(), address))
    });
    parsed.collect()
}

fn membership(local_member: &Member, settings: &Settings) -> Membership {
    let params = MembershipParams::new(&settings.membership, &settings.jobs);
    let domains = &settings.failure_domains;
    Membership::new(
        params,
        local_member.clone(),
        &settings.failure_domain,
        domains,
        &settings.peer_address,
    )
}

fn instance_status(status: MemberStatus) -> InstanceStatus {
    let state = match status.state {
        PeerState::Serving => InstanceStateName::Serving,
        PeerState::Leaving => InstanceStateName::Leaving,
        PeerState::Silent => InstanceStateName::Silent,
        PeerState::Gone => InstanceStateName::Gone,
    };
    InstanceStatus {
        instance: status.member.name,
        incarnation: status.member.incarnation,
        failure_domain: status.domain,
        state,
        config_revision: status.config_revision,
        heard_ms: status.heard_ms,
    }
}
