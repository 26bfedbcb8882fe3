//! Rosters: the workers that an owner may use, stored before it uses them.
//!
//! A new owner may start the tasks of its predecessor at once only if every worker on
//! which the predecessor may have started runs is fenced. The registry does not say
//! which workers these are, because entries expire during an outage of the store, and a
//! list read earlier lacks workers that were added since.
//!
//! An owner therefore writes its roster into its claim's record and starts tasks only on
//! workers that a stored roster names. The record is replaced by compare-and-swap: once
//! the store has accepted a successor's claim, the successor knows the last roster and the
//! predecessor can add no workers. A successor that claimed without the store knows no
//! roster and waits until all leases of its predecessor have expired.
//!
//! Until it sends its first roster, an owner may use every worker. Its record then has no
//! roster, so a successor waits for the leases as well.

use std::collections::BTreeSet;
use std::sync::Arc;

use trefoil_schema::dispatch::{Claim, Holder};

use super::{Command, Ownership, Pool};

/// Minimum interval between writes of a record without new workers; they are not urgent.
const UPDATE_INTERVAL_MS: u64 = 1000;
/// Minimum interval between writes of a roster with new workers, which cannot be used
/// before. It batches workers that are added together.
const NEW_WORKERS_INTERVAL_MS: u64 = 100;

/// Ids of workers.
pub type Roster = BTreeSet<Arc<str>>;

/// The store's record of a claim.
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimRecord {
    /// The claim.
    pub claim: Claim,
    /// Workers that the owner may have used; `None` if it may have used any.
    pub roster: Option<Roster>,
}

/// The previous ownership of a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Predecessor {
    /// Identifies the ownership.
    pub holder: Holder,
    /// All workers that it may have used.
    pub roster: Roster,
}

/// The unique identity of the ownership by a claim; `None` if the claim names no owner.
pub fn holder_of(claim: &Claim) -> Option<Holder> {
    let owner = claim.owner.as_ref()?;
    Some(Holder {
        term: claim.term,
        owner: owner.name.clone(),
        incarnation: owner.incarnation,
    })
}

/// Roster of an own pool, and the state of writing it to the store.
#[derive(Clone, Debug, Default)]
pub(super) struct RosterState {
    /// Workers of the owner; `None` until it has set them.
    pub(super) roster: Option<Roster>,
    pub(super) is_write_in_flight: bool,
    /// Whether a write may have taken effect, or still may.
    pub(super) is_write_uncertain: bool,
    last_write_ms: Option<u64>,
}

impl Ownership {
    /// Sets the workers of an own pool.
    pub fn set_roster(&mut self, name: &str, roster: Roster) {
        if let Some(pool) = self.pools.get_mut(name).filter(|pool| pool.is_own) {
            pool.roster_state.roster = Some(roster);
        }
    }

    /// Updates the store's record of an own claim if it is out of date.
    pub(super) fn update_record(&mut self, now_ms: u64, name: &str, out: &mut Vec<Command>) {
        let Some(pool) = self.pools.get_mut(name) else {
            return;
        };
        let Some(claim) = pool.claim.clone() else {
            return;
        };
        let Some(interval_ms) = pool.update_interval_ms(&claim) else {
            return;
        };
        let state = &mut pool.roster_state;
        let is_early = |last_write_ms: u64| now_ms < last_write_ms + interval_ms;
        if state.is_write_in_flight || state.last_write_ms.is_some_and(is_early) {
            return;
        }
        state.is_write_in_flight = true;
        state.is_write_uncertain = true;
        state.last_write_ms = Some(now_ms);
        let roster = state.roster.clone();
        if let Some(roster) = roster.clone() {
            let pool = name.to_owned();
            out.push(Command::RosterSent { pool, roster });
        }
        out.push(Command::WriteClaim {
            record: ClaimRecord { claim, roster },
            revision: pool.stored.revision,
        });
    }
}

impl Pool {
    /// Minimum interval after the last write of the record; `None` if the record needs
    /// no update.
    fn update_interval_ms(&self, claim: &Claim) -> Option<u64> {
        if self.stored.holder != holder_of(claim) {
            let newer = self.stored.holder.as_ref();
            let is_outdated = newer.is_some_and(|stored| stored.term > claim.term);
            return (!is_outdated).then_some(UPDATE_INTERVAL_MS);
        }
        if self.stored.roster == self.roster_state.roster && !self.roster_state.is_write_uncertain {
            return None;
        }
        let used = self.roster_state.roster.as_ref()?;
        let known = self.stored.roster.as_ref();
        let has_grown = known.is_none_or(|known| !used.is_subset(known));
        Some(if has_grown {
            NEW_WORKERS_INTERVAL_MS
        } else {
            UPDATE_INTERVAL_MS
        })
    }
}
