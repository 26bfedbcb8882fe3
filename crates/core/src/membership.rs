//! Membership of a failure domain, and permission to admit keys.
//!
//! [`Membership`] takes events and the current time and returns commands. It
//! exchanges heartbeats with other instances, collects vouches that let it admit
//! keys, vouches for others, and updates its failure domain's view log (see
//! [`crate::view`]) when instances join, leave or fail. The protocol is described
//! in `docs/design/at-most-once.md`.

mod config_watchers;
mod heartbeat;
mod proposer;
mod roster;
mod types;
mod view_change;
mod vouching;

use std::collections::BTreeMap;

use trefoil_schema::peer::message::Body;
use trefoil_schema::peer::{Seal, SealRequest, ViewRecord, Vouch};

pub use types::{
    Command, Event, ListedInstance, MemberStatus, MembershipParams, Mutation, PeerState, Route,
    StoreWrite,
};

use crate::handover::Scope;
use crate::key::JobKey;
use crate::time::Now;
use crate::view::{Member, Succession, View, ViewLog};
use proposer::Proposer;
use roster::Roster;
use vouching::{Admission, Vouching};

/// The view log of a failure domain, as of a store revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[expect(missing_docs, reason = "fields explain themselves")]
pub struct StoredLog {
    pub log: ViewLog,
    /// Store revision of the log's last change, or 0 if the store has no log.
    pub revision: u64,
}

/// Membership state machine of one instance.
#[derive(Clone, Debug)]
pub struct Membership {
    params: MembershipParams,
    me: Member,
    domain: String,
    domains: Vec<String>,
    address: String,
    leaving: bool,
    exiting: bool,
    config_revision: u64,
    config_confirmed_age_ms: Option<u64>,
    queued_tasks: u32,
    running_tasks: u32,
    now: Now,
    logs: BTreeMap<String, StoredLog>,
    roster: Roster,
    vouching: Vouching,
    proposer: Proposer,
    reported_members: Vec<Member>,
}

impl Membership {
    /// Creates the state of a starting instance.
    ///
    /// `domains` lists all failure domains and must be the same at every instance.
    /// `address` is the address that peers connect to.
    pub fn new(
        params: MembershipParams,
        me: Member,
        domain: &str,
        domains: &[String],
        address: &str,
    ) -> Self {
        let mutation = params.mutation;
        Self {
            params,
            me,
            domain: domain.to_owned(),
            domains: domains.to_vec(),
            address: address.to_owned(),
            leaving: false,
            exiting: false,
            config_revision: 0,
            config_confirmed_age_ms: None,
            queued_tasks: 0,
            running_tasks: 0,
            now: Now::default(),
            logs: BTreeMap::new(),
            roster: Roster::default(),
            vouching: Vouching::new(mutation),
            proposer: Proposer::default(),
            reported_members: Vec::new(),
        }
    }

    /// Handles an event and appends the resulting commands.
    pub fn handle(&mut self, now: Now, event: Event, commands: &mut Vec<Command>) {
        self.now = now;
        match event {
            Event::Message { from, body } => self.on_message(&from, body, commands),
            Event::Tick { entropy } => self.on_tick(entropy, commands),
            Event::StoreRead {
                domain,
                log,
                mod_revision,
            } => self.on_store_read(&domain, log, mod_revision, commands),
            Event::StoreWrite(outcome) => self.on_store_write(outcome, commands),
            Event::StoreUnreachable { domain } => self.on_store_unreachable(&domain),
            Event::PlatformList(list) => self.on_list(&list),
            Event::ConnectionRefused(member) => self.roster.record_refused(&member),
            Event::Leave => self.leaving = true,
            Event::Config {
                revision,
                confirmed_age_ms,
            } => {
                self.config_revision = revision;
                self.config_confirmed_age_ms = confirmed_age_ms;
            }
            Event::Load { queued, running } => {
                self.queued_tasks = queued;
                self.running_tasks = running;
            }
        }
    }

    fn on_message(&mut self, from: &Member, body: Body, commands: &mut Vec<Command>) {
        match body {
            Body::Heartbeat(heartbeat) => self.on_heartbeat(from, &heartbeat, commands),
            Body::Vouch(vouch) => self.on_vouch(from, &vouch, commands),
            Body::SealRequest(request) => self.on_seal_request(from, &request, commands),
            Body::Seal(seal) => self.on_seal(from, seal, commands),
            Body::View(record) => self.on_view_record(&record, commands),
            _ => {}
        }
    }

    fn on_vouch(&mut self, from: &Member, vouch: &Vouch, commands: &mut Vec<Command>) {
        let is_valid = self
            .newest_view()
            .is_some_and(|view| vouch.view_version == view.version && self.in_view(view, from));
        if !is_valid {
            return;
        }
        self.vouching.record_vouch(from, vouch.until_ms);
        self.raise_limit(commands);
    }

    fn in_view(&self, view: &View, member: &Member) -> bool {
        match self.params.mutation {
            Some(Mutation::NoIncarnationCheck) => {
                view.members.iter().any(|m| m.name == member.name)
            }
            _ => view.contains(member),
        }
    }

    /// Raises the admission limit to the latest time vouched for by a quorum.
    fn raise_limit(&mut self, commands: &mut Vec<Command>) {
        let own_until_ms = self.now.wall_ms + self.params.vouch_ahead_ms;
        let log = self.logs.get(&self.domain).map(|known| &known.log);
        let Some(log) = log else {
            return;
        };
        let name_only = self.params.mutation == Some(Mutation::NoIncarnationCheck);
        let me = match log.newest().filter(|_| name_only) {
            Some(view) => {
                let same = view.members.iter().find(|m| m.name == self.me.name);
                same.unwrap_or(&self.me).clone()
            }
            None => self.me.clone(),
        };
        if self.vouching.raise_limit(&me, log, own_until_ms) {
            commands.push(Command::AdmissionLimit(self.vouching.limit_ms()));
        }
    }

    fn on_seal_request(
        &mut self,
        from: &Member,
        request: &SealRequest,
        commands: &mut Vec<Command>,
    ) {
        let Some(member) = request.member.as_ref().map(Member::from) else {
            return;
        };
        let version = request.view_version;
        let seal = if member == self.me {
            self.leaving
                .then(|| self.vouching.seal_self(&self.me, version))
        } else {
            self.is_removable(&member)
                .then(|| self.vouching.seal(&member, version))
        };
        if let Some(seal) = seal {
            self.send(from, Body::Seal(seal), commands);
        }
    }

    fn on_seal(&mut self, from: &Member, seal: Seal, commands: &mut Vec<Command>) {
        let Some(member) = seal.member.as_ref().map(Member::from) else {
            return;
        };
        self.proposer.seals.insert(member, from.clone(), seal);
        self.try_write_change(commands);
    }

    fn on_view_record(&mut self, record: &ViewRecord, commands: &mut Vec<Command>) {
        if let Ok(log) = ViewLog::from_record(record) {
            self.adopt(&record.domain, log, record.revision, commands);
        }
    }

    /// Adopts a view log if it is newer than the known one.
    fn adopt(&mut self, domain: &str, log: ViewLog, revision: u64, commands: &mut Vec<Command>) {
        let known = self.logs.entry(domain.to_owned()).or_default();
        if revision <= known.revision {
            return;
        }
        *known = StoredLog { log, revision };
        if domain == self.domain {
            self.vouching.adopt(&self.me, &known.log);
            self.proposer.on_adopted(self.now, &known.log);
            self.send_domain_heartbeats(commands);
            self.raise_limit(commands);
        }
        commands.push(Command::ViewChanged {
            domain: domain.to_owned(),
        });
    }

    fn on_list(&mut self, list: &[ListedInstance]) {
        let own = self.own_log().log;
        let views = own.views().iter();
        let mut watched: Vec<Member> = views.flat_map(|view| view.members.clone()).collect();
        watched.sort();
        watched.dedup();
        let others: Vec<ListedInstance> = list
            .iter()
            .filter(|item| item.member.name != self.me.name)
            .cloned()
            .collect();
        self.roster.record_list(self.now, &others, &watched);
        let me = list.iter().find(|item| item.member == self.me);
        self.leaving |= me.is_some_and(|item| item.leaving);
    }

    fn newest_view(&self) -> Option<&View> {
        self.logs.get(&self.domain)?.log.newest()
    }

    fn own_log(&self) -> StoredLog {
        self.logs.get(&self.domain).cloned().unwrap_or_default()
    }

    /// The newest known view log of a failure domain.
    pub fn view_log(&self, domain: &str) -> Option<&StoredLog> {
        self.logs.get(domain)
    }

    /// Latest issue time of keys that this instance may admit, in Unix milliseconds.
    pub fn admission_limit(&self) -> u64 {
        self.vouching.limit_ms()
    }

    /// The scope of this instance's own keys for a handover.
    ///
    /// `remembered_ms` is the earliest issue time of the keys that the engine
    /// still remembers.
    pub fn handover_scope(&self, remembered_ms: u64) -> Scope {
        let log = &self.own_log().log;
        // Keys between the admission limit and the first view without this
        // instance were not admitted, and will not be.
        let covered_until_ms = log.covered_until_ms(&self.me).unwrap_or(0);
        Scope {
            from_ms: self.vouching.sole_owner_from_ms().max(remembered_ms),
            until_ms: self.vouching.limit_ms().max(covered_until_ms),
            view_version: log.version(),
        }
    }

    /// Whether this instance has been told to leave.
    pub fn leaving(&self) -> bool {
        self.leaving
    }

    /// Whether this instance is a member of the newest view.
    pub fn in_newest_view(&self) -> bool {
        self.newest_view()
            .is_some_and(|view| view.contains(&self.me))
    }

    /// Serving instances of this failure domain, sorted. Includes this instance
    /// unless it is leaving.
    pub(crate) fn domain_members(&self) -> Vec<Member> {
        let mut members = self.serving_peers();
        if !self.leaving {
            members.push(self.me.clone());
        }
        members.sort();
        members
    }

    /// Status of all other known instances.
    pub fn status(&self) -> Vec<MemberStatus> {
        self.roster.status(self.now, &self.params)
    }

    /// Last known address of an instance, or an empty string.
    pub fn address(&self, member: &Member) -> String {
        self.roster.address(member)
    }

    /// Determines which instance handles submissions with `key`.
    pub fn route(&self, key: &JobKey) -> Route {
        let retry = Route::Unknown {
            retry_after_ms: self.params.heartbeat_ms,
        };
        let Some(known) = key
            .home_domain(&self.domains)
            .and_then(|home| self.logs.get(home))
        else {
            return retry;
        };
        let Some(view) = known.log.covering(key.issued_ms()) else {
            return match known.log.newest() {
                Some(_) => Route::OwnerLost,
                None => retry,
            };
        };
        match view.owner(key) {
            Some(owner) if self.is_me(owner) => self.route_own(view, key, retry),
            Some(owner) => self.route_peer(owner, known),
            None => retry,
        }
    }

    /// The instance that answers for `key` if [`Self::route`] returns
    /// [`Route::OwnerLost`], and the version of the newest known view of the
    /// key's home domain.
    pub fn succession(&self, key: &JobKey) -> Option<(Succession, u64)> {
        let home = key.home_domain(&self.domains)?;
        let log = &self.logs.get(home)?.log;
        let succession = log.succession(key, |member| self.is_gone(member))?;
        Some((succession, log.version()))
    }

    fn is_gone(&self, member: &Member) -> bool {
        let is_gone = self.roster.has_announced_exit(member)
            || self.roster.is_superseded(member)
            || self
                .roster
                .is_confirmed_gone(self.now, member, &self.params);
        // The roster does not contain this instance, so it cannot tell that it runs.
        is_gone && *member != self.me
    }

    /// Announces to other instances that this one has finished its handover and exits.
    pub fn announce_exit(&mut self, commands: &mut Vec<Command>) {
        self.exiting = true;
        self.send_domain_heartbeats(commands);
        self.announce_exit_to_other_domains(commands);
    }

    fn is_me(&self, owner: &Member) -> bool {
        match self.params.mutation {
            Some(Mutation::NoIncarnationCheck) => owner.name == self.me.name,
            _ => *owner == self.me,
        }
    }

    fn route_own(&self, view: &View, key: &JobKey, retry: Route) -> Route {
        if self.params.mutation == Some(Mutation::NoIncarnationCheck) && !view.contains(&self.me) {
            return match key.issued_ms() <= self.vouching.limit_ms() {
                true => Route::Local,
                false => retry,
            };
        }
        match self.vouching.admission(view.version, key.issued_ms()) {
            Admission::Allowed => Route::Local,
            Admission::TooEarly => Route::OwnerLost,
            Admission::Waiting => retry,
            Admission::Ahead(ms) => Route::Unknown {
                retry_after_ms: ms.min(self.params.vouch_ahead_ms) + self.params.heartbeat_ms,
            },
        }
    }

    fn route_peer(&self, owner: &Member, known: &StoredLog) -> Route {
        let in_newest = known.log.newest().is_some_and(|view| view.contains(owner));
        let heard = self
            .roster
            .heard_within(self.now, owner, self.params.suspect_ms);
        match self.is_gone(owner) || (!in_newest && !heard) {
            true => Route::OwnerLost,
            false => Route::Peer(owner.clone()),
        }
    }
}
