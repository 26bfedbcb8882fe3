//! The shell round the membership decisions: time, links, store and list in,
//! commands out.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use slog::{info, warn};
use tokio::time::MissedTickBehavior;
use trefoil_core::membership::{Command, Event, ListedInstance, PeerState, StoreWrite};
use trefoil_core::view::{Member, ViewLog};
use trefoil_schema::peer::message::Body;

use super::{Peers, record};
use crate::links::{Probe, probe};
use crate::sources::instances::PlatformInstance;
use crate::sources::platform::{CasResult, StoreError};

/// Heartbeat periods between probes of silent peers.
const PERIODS_PER_PROBE: u64 = 4;
/// Longest wait for a probe's connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Instances of a failure domain that hold a watch on the configuration.
const WATCHERS: usize = 2;

impl Peers {
    /// Ticks, and passes on the platform's list, until the process ends.
    pub(super) async fn drive(self: Arc<Self>) {
        let period = Duration::from_millis(self.context.settings.membership.heartbeat_ms.max(1));
        let mut ticks = tokio::time::interval(period);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut list = self.context.instances.clone();
        self.handle(Event::PlatformList(
            self.listed(&list.borrow_and_update().clone()),
        ));
        for count in 1_u64.. {
            ticks.tick().await;
            if list.has_changed().unwrap_or(false) {
                let listed = list.borrow_and_update().clone();
                self.handle(Event::PlatformList(self.listed(&listed)));
            }
            self.tick();
            if count.is_multiple_of(PERIODS_PER_PROBE) {
                self.switch_list_polling();
                self.probe_silent();
            }
        }
    }

    fn tick(self: &Arc<Self>) {
        let stats = self.context.runtime.engine().stats();
        self.handle(Event::Load {
            queued: u32::try_from(stats.tasks_queued).unwrap_or(u32::MAX),
            running: u32::try_from(stats.tasks_running).unwrap_or(u32::MAX),
        });
        self.handle(Event::ConfigRevision(
            self.context.config.current().revision,
        ));
        self.handle(Event::Tick {
            entropy: rand::random(),
        });
    }

    /// The platform's list, with the peers of the settings that it lacks.
    fn listed(&self, list: &[PlatformInstance]) -> Vec<ListedInstance> {
        let known = self
            .context
            .settings
            .peers
            .iter()
            .map(|peer| ListedInstance {
                member: Member::new(&peer.instance, 0),
                domain: peer.failure_domain.clone(),
                address: peer.peer_address.clone(),
                leaving: false,
            });
        let mut by_name: BTreeMap<String, ListedInstance> =
            known.map(|item| (item.member.name.clone(), item)).collect();
        let listed = list.iter().map(listed_instance);
        by_name.extend(listed.map(|item| (item.member.name.clone(), item)));
        by_name.into_values().collect()
    }

    /// Reads the platform's list for the failure domain, or in case of doubt:
    /// out of the view or with a silent peer of the domain. Everyone reading
    /// it always would let the store's calls grow with the fleet.
    fn switch_list_polling(&self) {
        let membership = self.membership();
        let in_force = membership.in_newest_view();
        let mut peers = membership.status().into_iter();
        let silent =
            peers.any(|peer| peer.domain == self.domain && peer.state == PeerState::Silent);
        drop(membership);
        let polls = self.watches.load(Ordering::Relaxed) || !in_force || silent;
        self.context
            .list_polling
            .send_if_modified(|polling| std::mem::replace(polling, polls) != polls);
    }

    /// Asks the hosts of silent peers whether their process is still there.
    fn probe_silent(self: &Arc<Self>) {
        let status = self.membership().status();
        let silent = status
            .into_iter()
            .filter(|peer| peer.state == PeerState::Silent);
        for peer in silent {
            let Some(address) = self.dial_address(&peer.member, &peer.address) else {
                continue;
            };
            let peers = Arc::clone(self);
            tokio::spawn(async move {
                if probe(address, PROBE_TIMEOUT).await == Probe::Refused {
                    peers.handle(Event::ConnectionRefused(peer.member));
                }
            });
        }
    }

    /// Passes one event to the decisions and does what they ask for.
    ///
    /// Commands are done under the lock, so that their order is the decisions'
    /// own; none of them waits or comes back here.
    pub(super) fn handle(self: &Arc<Self>, event: Event) {
        let now = self.context.runtime.now();
        let mut commands = Vec::new();
        let mut membership = self.membership();
        membership.handle(now, event, &mut commands);
        for command in commands {
            self.execute(command);
        }
    }

    pub(super) fn execute(self: &Arc<Self>, command: Command) {
        match command {
            Command::Send { to, address, body } => self.send(&to, &address, body),
            Command::ReadStore { domain } => self.read_store(domain),
            Command::CompareAndSwap {
                domain,
                log,
                expected_mod_revision,
            } => {
                self.write_store(domain, log, expected_mod_revision);
            }
            Command::AdmissionLimit(limit_ms) => {
                self.context.runtime.engine().set_admission_limit(limit_ms);
            }
            Command::ViewChanged { domain } => {
                info!(self.context.log, "view changed"; "domain" => domain);
            }
            Command::MembersChanged(members) => self.members_changed(&members),
        }
    }

    /// Sends a message that may be lost.
    pub(super) fn send(&self, to: &Member, address: &str, body: Body) {
        if let Some(address) = self.dial_address(to, address) {
            self.links.set_peer(&to.name, address);
        }
        // A lost message costs a heartbeat period; the links count it.
        let _ = self.links.send(&to.name, body);
    }

    /// Divides the workers' slots among the instances that use them.
    ///
    /// A leaving instance keeps its share until it has finished: what it has
    /// admitted must still run. Its peers divide all slots among themselves at
    /// once, and a worker that is asked for too much refuses before start.
    fn members_changed(&self, members: &[Member]) {
        let mut names: Vec<String> = members.iter().map(|member| member.name.clone()).collect();
        if !names.contains(&self.me.name) {
            names.push(self.me.name.clone());
            names.sort();
        }
        info!(self.context.log, "instances of the failure domain changed"; "members" => names.join(" "));
        let runtime = &self.context.runtime;
        let share = self.connections_max / u32::try_from(names.len().max(1)).unwrap_or(u32::MAX);
        runtime.workers().set_connections_max(share.max(1));
        runtime.set_domain_members(&self.me.name, &names);
        let watches = names
            .iter()
            .take(WATCHERS)
            .any(|name| *name == self.me.name);
        let watches = watches || names.len() < WATCHERS;
        self.watches.store(watches, Ordering::Relaxed);
        self.context.config.set_watching(watches);
    }

    fn read_store(self: &Arc<Self>, domain: String) {
        let peers = Arc::clone(self);
        tokio::spawn(async move {
            let event = peers.read_record(domain).await;
            peers.handle(event);
        });
    }

    async fn read_record(&self, domain: String) -> Event {
        let key = format!("{}{domain}", self.views_prefix);
        let Ok(found) = self.context.store.get(&key).await else {
            return Event::StoreUnreachable { domain };
        };
        let Some(found) = found else {
            return Event::StoreRead {
                domain,
                log: None,
                mod_revision: 0,
            };
        };
        match record::decode(&found.value) {
            Ok(log) => Event::StoreRead {
                domain,
                log: Some(log),
                mod_revision: found.revision,
            },
            Err(error) => {
                warn!(self.context.log, "unreadable view log"; "key" => key, "error" => %error);
                Event::StoreUnreachable { domain }
            }
        }
    }

    fn write_store(self: &Arc<Self>, domain: String, log: ViewLog, expected_revision: u64) {
        let peers = Arc::clone(self);
        tokio::spawn(async move {
            let key = format!("{}{domain}", peers.views_prefix);
            let value = record::encode(&log).into();
            let result = peers
                .context
                .store
                .put_if(&key, value, expected_revision)
                .await;
            peers.handle(Event::StoreWrite(store_write(&result)));
        });
    }
}

fn store_write(result: &Result<CasResult, StoreError>) -> StoreWrite {
    match result {
        Ok(CasResult::Applied { revision }) => StoreWrite::Done {
            mod_revision: *revision,
        },
        Ok(CasResult::Conflict { .. }) | Err(StoreError::NotApplied { .. }) => StoreWrite::Conflict,
        Err(StoreError::MayHaveApplied { .. }) => StoreWrite::Unknown,
    }
}

fn listed_instance(instance: &PlatformInstance) -> ListedInstance {
    ListedInstance {
        member: Member::new(&instance.name, instance.incarnation),
        domain: instance.failure_domain.clone(),
        address: instance.peer_address.clone(),
        leaving: instance.leaving,
    }
}
