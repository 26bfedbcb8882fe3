//! Runs the membership state machine: passes it ticks, messages, store results and
//! the instance list, and executes its commands.

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
use crate::links::{ProbeResult, probe};
use crate::sources::instances::PlatformInstance;
use crate::sources::platform::{CasResult, StoreError};

/// Number of ticks between probes of silent peers.
const TICKS_PER_PROBE: u64 = 4;
/// Connect timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

impl Peers {
    /// Sends ticks and changes of the instance list until the process ends.
    pub(super) async fn run_membership(self: Arc<Self>) {
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
            if count.is_multiple_of(TICKS_PER_PROBE) {
                self.update_list_polling();
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
        let config = &self.context.config;
        let confirmed_age_ms = config.confirmed_age().map(|age| age.as_millis() as u64);
        self.handle(Event::Config {
            revision: config.current().revision,
            confirmed_age_ms,
        });
        self.handle(Event::Tick {
            entropy: rand::random(),
        });
        self.update_watching();
    }

    /// Starts or stops watching the store for declarations.
    fn update_watching(&self) {
        let is_watcher = self.membership().is_config_watcher();
        if self.watches_store.swap(is_watcher, Ordering::Relaxed) != is_watcher {
            let age_ms = self
                .context
                .config
                .confirmed_age()
                .map(|age| age.as_millis() as u64);
            info!(self.context.log, "watcher of the store changed"; "is_watcher" => is_watcher,
                "confirmed_ms_ago" => age_ms);
        }
        self.context.config.set_watching(is_watcher);
    }

    /// Returns the platform's list, with the configured peers that are missing in it.
    fn listed(&self, list: &[PlatformInstance]) -> Vec<ListedInstance> {
        let configured = self
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
        let mut by_name: BTreeMap<String, ListedInstance> = configured
            .map(|item| (item.member.name.clone(), item))
            .collect();
        let listed = list.iter().map(listed_instance);
        by_name.extend(listed.map(|item| (item.member.name.clone(), item)));
        by_name.into_values().collect()
    }

    /// Polls the platform's list if this instance watches the store, is not in the view
    /// or has a silent peer in its failure domain. Polling on all instances would make
    /// the load on the store grow with their number.
    fn update_list_polling(&self) {
        let membership = self.membership();
        let in_view = membership.in_newest_view();
        let mut peers = membership.status().into_iter();
        let silent =
            peers.any(|peer| peer.domain == self.domain && peer.state == PeerState::Silent);
        drop(membership);
        let poll = self.watches_store.load(Ordering::Relaxed) || !in_view || silent;
        self.context
            .list_polling
            .send_if_modified(|polling| std::mem::replace(polling, poll) != poll);
    }

    /// Checks whether the processes of silent peers still exist.
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
                if probe(address, PROBE_TIMEOUT).await == ProbeResult::Refused {
                    peers.handle(Event::ConnectionRefused(peer.member));
                }
            });
        }
    }

    /// Passes an event to the state machine and executes the resulting commands.
    ///
    /// Commands are executed under the lock to keep their order; none of them blocks
    /// or calls this method.
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
            Command::ReadStore { domain } => self.read_view_log(domain),
            Command::CompareAndSwap {
                domain,
                log,
                expected_mod_revision,
            } => {
                self.write_view_log(domain, log, expected_mod_revision);
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

    /// Sends a message, which may be lost.
    pub(super) fn send(&self, to: &Member, address: &str, body: Body) {
        if let Some(address) = self.dial_address(to, address) {
            self.links.set_peer(&to.name, address);
        }
        // A lost message causes a delay of one heartbeat period; the links count it.
        let _ = match body {
            // Instances learn each other's new incarnations from heartbeats.
            Body::Heartbeat(_) => self.links.send_to_any(&to.name, body),
            _ => self.links.send(&to.into(), body),
        };
    }

    /// Divides the workers' slots among the members of the failure domain.
    ///
    /// A leaving instance keeps its share until its admitted jobs have ended, while its
    /// peers already divide all slots among themselves. Workers refuse tasks beyond
    /// their slots before starting them.
    fn members_changed(&self, members: &[Member]) {
        let mut names: Vec<String> = members.iter().map(|member| member.name.clone()).collect();
        if !names.contains(&self.local_member.name) {
            names.push(self.local_member.name.clone());
            names.sort();
        }
        info!(self.context.log, "members of the failure domain changed"; "members" => names.join(" "));
        let runtime = &self.context.runtime;
        let share = self.connections_max / u32::try_from(names.len().max(1)).unwrap_or(u32::MAX);
        runtime.workers().set_connections_max(share.max(1));
        runtime.set_domain_members(&self.local_member.name, &names);
    }

    fn read_view_log(self: &Arc<Self>, domain: String) {
        let peers = Arc::clone(self);
        tokio::spawn(async move {
            let event = peers.stored_view_log(domain).await;
            peers.handle(event);
        });
    }

    async fn stored_view_log(&self, domain: String) -> Event {
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
                warn!(self.context.log, "cannot read the stored view log"; "key" => key, "error" => %error);
                Event::StoreUnreachable { domain }
            }
        }
    }

    fn write_view_log(self: &Arc<Self>, domain: String, log: ViewLog, expected_revision: u64) {
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
