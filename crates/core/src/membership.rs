//! Membership of a failure domain and the right to admit keys.
//!
//! [`Membership`] takes events and the current instant and gives commands. It
//! keeps heartbeats with other instances going, collects vouches for its own
//! admissions, vouches for others, and changes its failure domain's record of
//! views (see [`crate::view`]) when instances come, leave or fail. The design
//! and its reasons are in `docs/design/at-most-once.md`.

mod change;
mod proposer;
mod roster;
mod talk;
mod types;
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

/// A failure domain's views and the store revision that they stand at.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KnownLog {
    /// The views.
    pub log: ViewLog,
    /// Store revision of the record; 0 where there is none.
    pub revision: u64,
}

/// What one instance knows and decides of membership.
#[derive(Clone, Debug)]
pub struct Membership {
    params: MembershipParams,
    me: Member,
    domain: String,
    domains: Vec<String>,
    address: String,
    leaving: bool,
    ended: bool,
    config_revision: u64,
    queued: u32,
    running: u32,
    now: Now,
    logs: BTreeMap<String, KnownLog>,
    roster: Roster,
    vouching: Vouching,
    proposer: Proposer,
    last_members: Vec<Member>,
}

impl Membership {
    /// An instance that starts now. `domains` are all failure domains, the
    /// same list everywhere; `address` is where peers dial it.
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
            ended: false,
            config_revision: 0,
            queued: 0,
            running: 0,
            now: Now::default(),
            logs: BTreeMap::new(),
            roster: Roster::default(),
            vouching: Vouching::new(mutation),
            proposer: Proposer::default(),
            last_members: Vec::new(),
        }
    }

    /// Takes in one event; pushes what is to be done.
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
            Event::ConnectionRefused(member) => self.roster.refused(&member),
            Event::Leave => self.leaving = true,
            Event::ConfigRevision(revision) => self.config_revision = revision,
            Event::Load { queued, running } => {
                self.queued = queued;
                self.running = running;
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
        let counts = self
            .newest_view()
            .is_some_and(|view| vouch.view_version == view.version && self.in_view(view, from));
        if !counts {
            return;
        }
        self.vouching.vouched(from, vouch.until_ms);
        self.extend(commands);
    }

    fn in_view(&self, view: &View, member: &Member) -> bool {
        match self.params.mutation {
            Some(Mutation::NoIncarnationCheck) => {
                view.members.iter().any(|m| m.name == member.name)
            }
            _ => view.has(member),
        }
    }

    /// Raises the admission limit as far as it is vouched for.
    fn extend(&mut self, commands: &mut Vec<Command>) {
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
        if self.vouching.extend(&me, log, own_until_ms) {
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
            self.removable(&member)
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
        self.advance(commands);
    }

    fn on_view_record(&mut self, record: &ViewRecord, commands: &mut Vec<Command>) {
        if let Ok(log) = ViewLog::from_record(record) {
            self.adopt(&record.domain, log, record.revision, commands);
        }
    }

    /// Takes up a record if it is newer than the one known.
    fn adopt(&mut self, domain: &str, log: ViewLog, revision: u64, commands: &mut Vec<Command>) {
        let known = self.logs.entry(domain.to_owned()).or_default();
        if revision <= known.revision {
            return;
        }
        *known = KnownLog { log, revision };
        if domain == self.domain {
            self.vouching.adopt(&self.me, &known.log);
            self.proposer.adopted(self.now, &known.log);
            self.tell_domain(commands);
            self.extend(commands);
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
        self.roster.listed(self.now, &others, &watched);
        let me = list.iter().find(|item| item.member == self.me);
        self.leaving |= me.is_some_and(|item| item.leaving);
    }

    fn newest_view(&self) -> Option<&View> {
        self.logs.get(&self.domain)?.log.newest()
    }

    fn own_log(&self) -> KnownLog {
        self.logs.get(&self.domain).cloned().unwrap_or_default()
    }

    /// The views of a failure domain, as known here.
    pub fn view_log(&self, domain: &str) -> Option<&KnownLog> {
        self.logs.get(domain)
    }

    /// The latest key time that this instance may admit now, Unix milliseconds.
    pub fn admission_limit(&self) -> u64 {
        self.vouching.limit_ms()
    }

    /// What this instance can vouch for of the keys that it owns when it hands
    /// its memory over, the engine remembering keys from `remembered_ms` on.
    pub fn handover_scope(&self, remembered_ms: u64) -> Scope {
        let log = &self.own_log().log;
        // Of the keys between its limit and the first view without it, this
        // instance has admitted none, and it admits no more.
        let covered_until_ms = log.covered_until_ms(&self.me).unwrap_or(0);
        Scope {
            from_ms: self.vouching.alone_from_ms().max(remembered_ms),
            until_ms: self.vouching.limit_ms().max(covered_until_ms),
            view_version: log.version(),
        }
    }

    /// Whether this instance was told to leave.
    pub fn leaving(&self) -> bool {
        self.leaving
    }

    /// Whether the newest view still has this instance.
    pub fn in_newest_view(&self) -> bool {
        self.newest_view().is_some_and(|view| view.has(&self.me))
    }

    /// Serving instances of this failure domain, this one included unless it
    /// leaves; sorted.
    pub fn domain_members(&self) -> Vec<Member> {
        let mut members = self.live_peers();
        if !self.leaving {
            members.push(self.me.clone());
        }
        members.sort();
        members
    }

    /// All other instances known.
    pub fn status(&self) -> Vec<MemberStatus> {
        self.roster.status(self.now, &self.params)
    }

    /// Last known address of an instance; empty where there is none.
    pub fn address(&self, member: &Member) -> String {
        self.roster.address(member)
    }

    /// Where a submission under `key` belongs.
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

    /// Who answers for `key` from memory, where [`Self::route`] says that its
    /// owner is lost; with the newest view known of the key's home.
    pub fn succession(&self, key: &JobKey) -> Option<(Succession, u64)> {
        let home = key.home_domain(&self.domains)?;
        let log = &self.logs.get(home)?.log;
        let succession = log.succession(key, |member| self.is_gone(member))?;
        Some((succession, log.version()))
    }

    fn is_gone(&self, member: &Member) -> bool {
        let seems_gone = self.roster.has_left(member)
            || self.roster.superseded(member)
            || self.roster.certainly_gone(self.now, member, &self.params);
        // The roster holds others only, so it knows no good of this instance.
        seems_gone && *member != self.me
    }

    /// Tells others that this instance has handed its memory over and ends.
    pub fn announce_exit(&mut self, commands: &mut Vec<Command>) {
        self.ended = true;
        self.tell_domain(commands);
        self.tell_all_others(commands);
    }

    fn is_me(&self, owner: &Member) -> bool {
        match self.params.mutation {
            Some(Mutation::NoIncarnationCheck) => owner.name == self.me.name,
            _ => *owner == self.me,
        }
    }

    fn route_own(&self, view: &View, key: &JobKey, retry: Route) -> Route {
        if self.params.mutation == Some(Mutation::NoIncarnationCheck) && !view.has(&self.me) {
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

    fn route_peer(&self, owner: &Member, known: &KnownLog) -> Route {
        let in_newest = known.log.newest().is_some_and(|view| view.has(owner));
        let heard = self
            .roster
            .heard_within(self.now, owner, self.params.suspect_ms);
        match self.is_gone(owner) || (!in_newest && !heard) {
            true => Route::OwnerLost,
            false => Route::Peer(owner.clone()),
        }
    }
}
