//! One instance among others.
//!
//! Every job key has one owner (see [`trefoil_core::view`]); an instance that
//! takes a request for another's key hands it over and passes the answer back.
//! A job therefore lives in one place, with its state, its order and its
//! cancellation, and no two instances need to agree on anything for each job.
//! The price is one message each way for the jobs that arrive elsewhere; the
//! other way that was weighed, to ask the owner for the claim only and to run
//! the job where it arrived, saves the payload's way and splits the state (see
//! `docs/design/at-most-once.md`).
//!
//! * [`driver`]: the shell round the membership decisions.
//! * [`forward`]: requests to a key's owner.
//! * [`lending`]: loans of task slots.
//! * [`serve`]: requests from other instances.
//! * [`handover`]: a leaving instance's memory, sent and taken over.
//! * [`parts`]: that memory in parts of bounded size.
//! * [`recall`]: keys whose owner is gone.
//! * [`pending`]: who waits for which answer.
//! * [`record`]: a failure domain's views as the store keeps them.
//! * [`counters`]: messages that brought no answer.
//! * [`convert`]: between the engine's types and messages.

pub mod convert;
pub mod counters;
mod driver;
mod forward;
mod handover;
mod lending;
pub mod parts;
mod pending;
mod recall;
pub mod record;
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
use crate::server::stop::StopControl;
use crate::sources::config::ConfigHandle;
use crate::sources::instances::InstanceList;
use crate::sources::platform::PlatformStore;
use counters::PeerCounters;
use handover::AckTable;
pub use handover::HandoverReport;
use pending::PendingTable;

/// Part of the store's keys that holds view logs, after the prefix.
const VIEWS_PART: &str = "views/";

/// Why the links cannot be started.
#[derive(Debug, Display, Error)]
pub enum PeersError {
    /// The peer address is no IP:PORT.
    #[display("peer_address {address} is not IP:PORT")]
    Address {
        /// What was set.
        address: String,
    },
    /// The peer address cannot be listened on.
    #[display("cannot listen for peers on {address}: {source}; hint: check peer_address")]
    Listen {
        /// The address asked for.
        address: String,
        /// What went wrong.
        source: LinkError,
    },
}

/// What an instance needs to take part.
pub struct PeersContext {
    /// The checked settings.
    pub settings: Settings,
    /// The platform's store.
    pub store: Arc<dyn PlatformStore>,
    /// The platform's list of instances.
    pub instances: InstanceList,
    /// Whether that list is to be read; set here.
    pub list_polling: watch::Sender<bool>,
    /// The configuration in force here.
    pub config: ConfigHandle,
    /// The engine of this instance.
    pub runtime: Arc<Runtime>,
    /// Counts what a planned stop waits for.
    pub stop: Arc<StopControl>,
    /// The root logger.
    pub log: Logger,
}

/// This instance's part in the deployment.
pub struct Peers {
    me: Member,
    domain: String,
    views_prefix: String,
    connections_max: u32,
    /// Addresses dialled whatever is told, by name.
    dial_addresses: HashMap<String, SocketAddr>,
    membership: Mutex<Membership>,
    links: Links,
    pending: PendingTable,
    /// Whether this instance reads the store for its failure domain.
    watches: AtomicBool,
    counters: PeerCounters,
    acks: Mutex<AckTable>,
    scopes: Mutex<Scopes>,
    context: PeersContext,
}

impl Peers {
    /// Listens for peers, and takes part until the process ends.
    ///
    /// # Errors
    ///
    /// The peer address cannot be listened on.
    pub fn start(context: PeersContext) -> Result<Arc<Self>, PeersError> {
        let settings = &context.settings;
        let me = Member::new(&settings.instance, context.runtime.now().wall_ms);
        let address = settings.peer_address.clone();
        let listen = address.parse().map_err(|_| PeersError::Address {
            address: address.clone(),
        })?;
        let link_settings = LinkSettings {
            me: (&me).into(),
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
            membership: Mutex::new(membership(&me, settings)),
            me,
            links,
            pending: PendingTable::default(),
            watches: AtomicBool::new(true),
            counters: PeerCounters::default(),
            acks: Mutex::default(),
            scopes: Mutex::default(),
            context,
        });
        tokio::spawn(Arc::clone(&peers).receive(incoming));
        tokio::spawn(Arc::clone(&peers).drive());
        tokio::spawn(Arc::clone(&peers).balance_forever());
        Ok(peers)
    }

    /// Where a submission under `key` belongs now.
    pub fn route(&self, key: &JobKey) -> Route {
        let route = self.membership().route(key);
        match route {
            Route::Peer(_) if self.has_taken_over(key) => Route::OwnerLost,
            route => route,
        }
    }

    /// Whether all that a key's owner knew was handed to this instance. Such
    /// an owner takes no job any more, though its last heartbeat is recent and
    /// its word that it ends may be late or lost.
    fn has_taken_over(&self, key: &JobKey) -> bool {
        let succession = self.membership().succession(key);
        succession.is_some_and(|(succession, version)| {
            let mine = succession.holder == self.me;
            let absence = self.scopes().absence(key, &succession, version);
            mine && absence == Absence::NeverStarted
        })
    }

    /// Whether the newest view has this instance.
    pub fn in_force(&self) -> bool {
        self.membership().in_newest_view()
    }

    /// Hands this instance's keys over; it goes on answering for old ones.
    pub fn leave(self: &Arc<Self>) {
        self.handle(Event::Leave);
    }

    /// The links, for their counters.
    pub fn links(&self) -> &Links {
        &self.links
    }

    /// Counts of messages that brought no answer.
    pub fn counters(&self) -> &PeerCounters {
        &self.counters
    }

    /// How far the key issue times that may be admitted reach beyond now, in
    /// milliseconds.
    pub fn admission_lead_ms(&self) -> i64 {
        let limit_ms = self.membership().admission_limit();
        let now_ms = self.context.runtime.now().wall_ms;
        i64::try_from(i128::from(limit_ms) - i128::from(now_ms)).unwrap_or(i64::MAX)
    }

    /// Version of the newest view of the own failure domain.
    pub fn view_version(&self) -> u64 {
        newest_version(&self.membership(), &self.domain)
    }

    /// The deployment as this instance sees it.
    pub fn status(&self) -> StatusResponse {
        let config_revision = self.context.config.current().revision;
        let membership = self.membership();
        let view_version = newest_version(&membership, &self.domain);
        let others = membership.status();
        let leaving = membership.leaving();
        drop(membership);
        let mut instances: Vec<InstanceStatus> = others.into_iter().map(instance_status).collect();
        instances.push(self.own_status(config_revision, leaving));
        instances.sort_by(|a, b| a.instance.cmp(&b.instance));
        StatusResponse {
            instance: self.me.name.clone(),
            config_revision,
            store_reachable: self.context.config.store_reachable(),
            view_version,
            instances,
        }
    }

    fn own_status(&self, config_revision: u64, leaving: bool) -> InstanceStatus {
        let state = match leaving {
            true => InstanceStateName::Leaving,
            false => InstanceStateName::Serving,
        };
        InstanceStatus {
            instance: self.me.name.clone(),
            incarnation: self.me.incarnation,
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

    /// Where to dial an instance that is said to be at `told`.
    fn dial_address(&self, member: &Member, told: &str) -> Option<SocketAddr> {
        let set = self.dial_addresses.get(&member.name).copied();
        set.or_else(|| told.parse().ok())
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

fn membership(me: &Member, settings: &Settings) -> Membership {
    let params = MembershipParams::new(&settings.membership, &settings.jobs);
    let domains = &settings.failure_domains;
    Membership::new(
        params,
        me.clone(),
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
