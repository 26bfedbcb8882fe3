//! Declarations in force, and what they say of the pools here.
//!
//! Every reading of the store and every peer's word carries the revision of the
//! store by which it is known, so that an answer that was held up never takes
//! the place of a later one.

use crate::declarations::{Declarations, DeclarationsUpdate, RouteTable};

use super::*;

/// How long jobs that have begun may start tasks in a failure domain that was
/// closed: callers wait 1500 for an answer of use, so that a job which still waits
/// for a task by then has lost its caller.
const BEGUN_MAX_MS: u64 = 1500;

/// Share of the time that the operator grants in which begun jobs may start
/// tasks: the rest is for calls that are held up, and for clocks.
const BEGUN_SHARE: f64 = 0.5;

/// A request waits so long for an instance's first declarations: the store
/// answers in 4, and an instance of a tenth of a core has read them after 100.
const FIRST_WAIT_MS: u64 = 250;

/// What is known of the declarations.
#[derive(Debug, Default)]
pub(super) struct Declared {
    table: Option<Rc<RouteTable>>,
    /// Revision of the store up to which `table` is known to be in force.
    confirmed_revision: u64,
    /// When the last reading began that confirmed it.
    confirmed_ms: Option<u64>,
    /// Since when others have had newer ones.
    pub(super) behind_since_ms: Option<u64>,
}

impl Declared {
    /// Declarations in force; none before the first.
    pub(super) fn table(&self) -> Option<&Rc<RouteTable>> {
        self.table.as_ref()
    }

    /// Revision at which they came in force; 0 before the first.
    pub(super) fn revision(&self) -> u64 {
        self.table.as_ref().map_or(0, |table| table.revision())
    }

    /// Whether a peer with declarations of this revision may know more.
    pub(super) fn is_behind(&self, revision: u64) -> bool {
        revision > self.confirmed_revision.max(self.revision())
    }

    /// Declarations whose routes are of no earlier version than those in force.
    fn without_going_back(&self, declarations: Declarations) -> Declarations {
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

impl<E: Store + WorkerClient + 'static> Instance<E> {
    /// Declarations in force; none before the first.
    pub fn declarations(&self) -> Option<Rc<RouteTable>> {
        self.state.borrow().declared.table.clone()
    }

    /// Declarations in force; where there are none yet, those that come in force
    /// within a moment.
    ///
    /// Load pattern: all instances start at once, and callers come before an
    /// instance has read the store, which takes 20 to 100 ms.
    pub async fn wait_for_declarations(&self) -> Option<Rc<RouteTable>> {
        let changed = self.declarations_changed.notified();
        if let Some(table) = self.declarations() {
            return Some(table);
        }
        let wait = Duration::from_millis(FIRST_WAIT_MS);
        // What is in force then counts, however the wait ended.
        let _ = tokio::time::timeout(wait, changed).await;
        self.declarations()
    }

    /// Takes in a reading of the store that began at `began_ms`.
    pub fn declarations_read(self: &Rc<Self>, read: DeclarationsUpdate, began_ms: u64) {
        self.change(|state, now_ms, effects| {
            if read.confirmed_revision
                < state
                    .declared
                    .confirmed_revision
                    .max(state.declared.revision())
            {
                return;
            }
            if let Some(declarations) = read.changed {
                self.put_in_force(state, declarations, now_ms, effects);
            }
            state.declared.confirmed_revision = read.confirmed_revision;
            if state.declared.table.is_some() {
                state.declared.confirmed_ms = Some(began_ms);
            }
        });
    }

    /// Takes in what a peer says is in force.
    pub(super) fn declarations_told(self: &Rc<Self>, declarations: Declarations) {
        self.change(|state, now_ms, effects| {
            let known = state.declared.table.is_some();
            if !known || state.declared.is_behind(declarations.revision) {
                self.put_in_force(state, declarations, now_ms, effects);
            }
        });
    }

    fn put_in_force(
        &self,
        state: &mut State,
        declarations: Declarations,
        now_ms: u64,
        effects: &mut Effects,
    ) {
        let declared = &mut state.declared;
        let declarations = declared.without_going_back(declarations);
        let confirmed_ms = declared.confirmed_ms;
        info!(self.log, "declarations in force"; "version" => declarations.version,
            "revision" => declarations.revision, "before" => declared.revision(),
            "routes" => declarations.routes.len(),
            "closed" => ?declarations.closed_domains,
            "confirmed_ms_ago" => confirmed_ms.map(|at_ms| now_ms - at_ms));
        declared.table = Some(Rc::new(RouteTable::new(declarations)));
        declared.behind_since_ms = None;
        self.declarations_changed.notify_waiters();
        state.deal_workers(now_ms, effects);
        let begun_until_ms = confirmed_ms.map_or(now_ms, |confirmed_ms| {
            let granted_ms = self.settings.close_within_ms as f64 * BEGUN_SHARE;
            (now_ms + BEGUN_MAX_MS).min(confirmed_ms + granted_ms as u64)
        });
        for pool in state.owners.keys().cloned().collect::<Vec<_>>() {
            state.apply_closure(&pool, now_ms, begun_until_ms, effects);
        }
    }
}

impl State {
    /// Whether the own failure domain takes no new tasks, as far as is known.
    pub(super) fn is_closed(&self) -> bool {
        let table = self.declared.table.as_ref();
        table.is_some_and(|table| table.is_closed(&self.home))
    }

    /// Lets the owner of a pool here start tasks, or not, as declared: tasks of
    /// begun jobs until `begun_until_ms` in any case. It starts none before the
    /// first declarations.
    pub(super) fn apply_closure(
        &mut self,
        pool: &str,
        now_ms: u64,
        begun_until_ms: u64,
        effects: &mut Effects,
    ) {
        if self.declared.table.is_none() {
            return;
        }
        let closed = self.is_closed();
        self.with_owner(pool, effects, |owner, out| match closed {
            true => owner.close(now_ms, begun_until_ms, out),
            false => owner.reopen(now_ms, out),
        });
    }
}
