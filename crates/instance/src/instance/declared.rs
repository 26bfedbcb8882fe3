//! The declarations in force.
//!
//! They are updated from reads of the store and from peers. Both carry a store
//! revision, so that a delayed response never replaces a newer one.

use trefoil_core::dispatch::declaration_transfer::{
    DeclarationReceiver, DeclarationSender, EncodedDeclarations,
};
use trefoil_core::dispatch::limits::DECLARATIONS_IN_FORCE_MS;

use crate::declarations::{Declarations, DeclarationsUpdate, RouteTable};

use super::*;

/// How long jobs that were already running may start tasks in a failure domain that
/// was closed. Callers give up after this time.
const RUNNING_JOBS_GRACE_MAX_MS: u64 = 1500;

/// Share of `close_within_ms` during which running jobs may start tasks; the rest is
/// a margin for delayed calls and clock drift.
const RUNNING_JOBS_GRACE_SHARE: f64 = 0.5;

/// Maximum wait of a request for the first declarations. The store answers in 4 ms, and an
/// instance with a tenth of a core has read them after 100 ms.
const FIRST_DECLARATIONS_WAIT_MS: u64 = 250;

/// The declarations in force, and how recently they were confirmed.
#[derive(Debug, Default)]
pub(super) struct DeclarationState {
    table: Option<Rc<RouteTable>>,
    /// Store revision up to which `table` is known to be current.
    confirmed_revision: u64,
    /// As of when `table` is known to have been current: the start of a read of the store, by
    /// this instance or by a peer that has no newer declarations.
    confirmed_ms: Option<u64>,
    /// Whether `confirmed_ms` was too long ago at the last check.
    is_unconfirmed: bool,
    /// `table` as it is sent to peers; `None` until the first of them asks for it.
    encoded: Option<EncodedDeclarations>,
    pub(super) receiver: DeclarationReceiver,
    pub(super) sender: DeclarationSender,
}

impl DeclarationState {
    /// Returns the declarations in force, if any have been received.
    pub(super) fn table(&self) -> Option<&Rc<RouteTable>> {
        self.table.as_ref()
    }

    /// Store revision of the declarations in force; 0 if there are none.
    pub(super) fn revision(&self) -> u64 {
        self.table.as_ref().map_or(0, |table| table.revision())
    }

    /// Version of the declarations in force; 0 if there are none.
    pub(super) fn version(&self) -> u64 {
        let table = self.table.as_ref();
        table.map_or(0, |table| table.declarations().version)
    }

    /// As of when the declarations in force are known to have been current.
    pub(super) fn confirmed_ms(&self) -> Option<u64> {
        self.confirmed_ms
    }

    /// Records that the declarations were current at a time, if it is later than known.
    pub(super) fn on_confirmed(&mut self, confirmed_ms: Option<u64>) {
        if self.table.is_some() {
            self.confirmed_ms = self.confirmed_ms.max(confirmed_ms);
        }
    }

    /// Time since the store last confirmed the declarations; `None` if it never did.
    pub(super) fn confirmed_age_ms(&self, now_ms: u64) -> Option<u64> {
        Some(now_ms.saturating_sub(self.confirmed_ms?))
    }

    /// Whether a peer with declarations of this revision may have newer ones.
    pub(super) fn is_behind(&self, revision: u64) -> bool {
        revision > self.confirmed_revision.max(self.revision())
    }

    /// Returns the declarations in force as they are sent to peers, if there are any.
    ///
    /// # Errors
    ///
    /// If they cannot be encoded.
    pub(super) fn encoded(&mut self) -> serde_json::Result<Option<EncodedDeclarations>> {
        let Some(table) = &self.table else {
            return Ok(None);
        };
        if self.encoded.is_none() {
            let body = serde_json::to_vec(table.declarations())?;
            self.encoded = Some(EncodedDeclarations::new(table.revision(), body.into()));
        }
        Ok(self.encoded.clone())
    }

    /// Ends the transfers over a link that was closed.
    pub(super) fn on_link_closed(&mut self, link: u64) {
        self.receiver.on_link_closed(link);
        self.sender.on_link_closed(link);
    }

    /// Replaces the routes of `declarations` if those in force have a newer version.
    fn with_newest_routes(&self, declarations: Declarations) -> Declarations {
        let known = self.table.as_ref().map(|table| table.declarations());
        match known.filter(|known| declarations.version < known.version) {
            Some(known) => Declarations {
                revision: declarations.revision,
                closed_domains: declarations.closed_domains,
                ..known.clone()
            },
            None => declarations,
        }
    }
}

impl<P: Store + WorkerClient + 'static> Instance<P> {
    /// Returns the declarations in force, if any have been received.
    pub(crate) fn declarations(&self) -> Option<Rc<RouteTable>> {
        self.state.borrow().declared.table.clone()
    }

    /// Milliseconds since the store last confirmed the declarations in force; `None` if it
    /// never did.
    pub fn declarations_confirmed_age_ms(&self) -> Option<u64> {
        self.state.borrow().declared.confirmed_age_ms(self.now_ms())
    }

    /// Returns the declarations in force, waiting for the first ones for a limited
    /// time: after a start of all instances at once, callers connect before the
    /// store has been read.
    pub async fn wait_for_declarations(&self) -> Option<Rc<RouteTable>> {
        let changed = self.declarations_changed.notified();
        if let Some(table) = self.declarations() {
            return Some(table);
        }
        let wait = Duration::from_millis(FIRST_DECLARATIONS_WAIT_MS);
        // The declarations may be in force even if the wait timed out.
        let _ = tokio::time::timeout(wait, changed).await;
        self.declarations()
    }

    /// Applies the result of a read of the store that began at `began_ms`.
    pub(crate) fn apply_stored_declarations(
        self: &Rc<Self>,
        read: DeclarationsUpdate,
        began_ms: u64,
    ) {
        self.update(|state, now_ms, effects| {
            state.declared.receiver.on_store_read(true);
            if read.confirmed_revision
                < state
                    .declared
                    .confirmed_revision
                    .max(state.declared.revision())
            {
                return;
            }
            let is_known = |read: &Declarations| {
                state.declared.table.is_some() && read.revision == state.declared.revision()
            };
            if let Some(declarations) = read.changed.filter(|read| !is_known(read)) {
                self.activate_declarations(state, declarations, None, now_ms, effects);
            }
            state.declared.confirmed_revision = read.confirmed_revision;
            state.declared.on_confirmed(Some(began_ms));
        });
    }

    /// Records that the declarations could not be read from the store.
    pub(crate) fn on_declarations_read_failed(&self) {
        self.state
            .borrow_mut()
            .declared
            .receiver
            .on_store_read(false);
    }

    /// Logs when newer declarations may be late, since these have not been confirmed in time,
    /// and when they are confirmed again.
    pub(super) fn log_unconfirmed_declarations(&self, state: &mut State) {
        let Some(age_ms) = state.declared.confirmed_age_ms(self.now_ms()) else {
            return;
        };
        let is_unconfirmed = age_ms > DECLARATIONS_IN_FORCE_MS;
        if std::mem::replace(&mut state.declared.is_unconfirmed, is_unconfirmed) == is_unconfirmed {
            return;
        }
        let version = state.declared.version();
        match is_unconfirmed {
            true => warn!(self.log, "declarations unconfirmed"; "version" => version,
                "confirmed_ms_ago" => age_ms, "links" => state.peers.links.len()),
            false => info!(self.log, "declarations confirmed again"; "version" => version,
                "confirmed_ms_ago" => age_ms),
        }
    }

    /// Applies declarations sent by a peer over a link.
    pub(super) fn apply_peer_declarations(self: &Rc<Self>, link: u64, declarations: Declarations) {
        self.update(|state, now_ms, effects| {
            let known = state.declared.table.is_some();
            if !known || state.declared.is_behind(declarations.revision) {
                let link = state.peers.links.get(&link);
                let peer = link.map(|link| link.peer.name.clone());
                self.activate_declarations(state, declarations, peer, now_ms, effects);
            }
        });
    }

    /// Puts declarations in force; `peer` sent them, unless they were read from the store.
    fn activate_declarations(
        &self,
        state: &mut State,
        declarations: Declarations,
        peer: Option<String>,
        now_ms: u64,
        effects: &mut Effects,
    ) {
        let declared = &mut state.declared;
        let declarations = declared.with_newest_routes(declarations);
        let confirmed_ms = declared.confirmed_ms;
        info!(self.log, "declarations in force"; "version" => declarations.version,
            "revision" => declarations.revision, "before" => declared.revision(),
            "peer" => peer, "routes" => declarations.routes.len(),
            "closed" => ?declarations.closed_domains,
            "confirmed_ms_ago" => declared.confirmed_age_ms(now_ms));
        declared.receiver.on_in_force(declarations.revision);
        declared.table = Some(Rc::new(RouteTable::new(declarations)));
        declared.encoded = None;
        self.declarations_changed.notify_waiters();
        state.assign_workers(now_ms, effects);
        let running_jobs_until_ms = confirmed_ms.map_or(now_ms, |confirmed_ms| {
            let granted_ms = self.settings.close_within_ms as f64 * RUNNING_JOBS_GRACE_SHARE;
            (now_ms + RUNNING_JOBS_GRACE_MAX_MS).min(confirmed_ms + granted_ms as u64)
        });
        for pool in state.owners.keys().cloned().collect::<Vec<_>>() {
            state.apply_closure(&pool, now_ms, running_jobs_until_ms, effects);
        }
    }
}

impl State {
    /// Whether the own failure domain is closed to new tasks.
    pub(super) fn is_closed(&self) -> bool {
        let table = self.declared.table.as_ref();
        table.is_some_and(|table| table.is_closed(&self.failure_domain))
    }

    /// Closes or reopens the owner of a pool as declared. A closed owner may start
    /// tasks of running jobs until `running_jobs_until_ms`. Before the first
    /// declarations, the owner starts no tasks and this does nothing.
    pub(super) fn apply_closure(
        &mut self,
        pool: &str,
        now_ms: u64,
        running_jobs_until_ms: u64,
        effects: &mut Effects,
    ) {
        if self.declared.table.is_none() {
            return;
        }
        let closed = self.is_closed();
        self.with_owner(pool, effects, |owner, out| match closed {
            true => owner.close(now_ms, running_jobs_until_ms, out),
            false => owner.reopen(now_ms, out),
        });
    }
}
