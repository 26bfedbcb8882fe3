//! Rosters: which workers an owner uses, written down before it uses them.
//!
//! A new owner may start at once what the former one had only if every worker
//! that this one may have ordered obeys the new fence. The registry does not
//! tell which these are: it forgets workers while the store is away, and a
//! candidate that reads it early does not list a worker that was added since.
//!
//! So an owner writes its roster into its claim's record, and starts nothing on
//! a worker that no acknowledged roster names. The record changes by
//! compare-and-swap: a successor whose claim the store accepted has replaced the
//! last roster, and the former owner can add no worker any more. A successor
//! that claimed without the store knows no roster, and waits until all leases of
//! its predecessor have lapsed.
//!
//! Until its first roster is on its way an owner uses every worker: its record
//! names none, so that nobody takes its roster for known.
//!
//! | way | for | against |
//! |---|---|---|
//! | always wait a lease | no roster | a job of a lost owner waits 1350 ms of the 1500 that its caller has |
//! | the number of workers in the claim | a few bytes | an added worker hides one that lapsed; a candidate without the store has an old number |
//! | **a roster in the record** | the successor knows | a write for each added worker, some 5 ms before it is used |

use std::collections::BTreeSet;
use std::sync::Arc;

use trefoil_schema::dispatch::{Claim, Holder};

use super::{Command, Ownership, Pool};

/// Pause between writes of a roster from which workers have gone, or of a claim
/// that the store did not take: nothing waits for these.
const REWRITE_MS: u64 = 1000;
/// Pause between writes of a roster with new workers, which wait to be used:
/// workers that are added together come in one write.
const GROWN_MS: u64 = 100;

/// Ids of workers.
pub type Roster = BTreeSet<Arc<str>>;

/// The store's record of a claim.
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimRecord {
    /// The claim.
    pub claim: Claim,
    /// Workers that its owner may have ordered; none where any may have been.
    pub roster: Option<Roster>,
}

/// The ownership that another one followed.
#[derive(Clone, Debug, PartialEq)]
pub struct Predecessor {
    /// Whose it was.
    pub holder: Holder,
    /// All workers that it may have ordered.
    pub roster: Roster,
}

/// What tells an ownership apart from all others of its pool.
pub fn holder_of(claim: &Claim) -> Option<Holder> {
    let owner = claim.owner.as_ref()?;
    Some(Holder {
        term: claim.term,
        owner: owner.name.clone(),
        incarnation: owner.incarnation,
    })
}

/// The workers of an own pool, and what became of telling the store.
#[derive(Clone, Debug, Default)]
pub(super) struct Used {
    /// Workers that the owner has; none before it has told.
    pub(super) roster: Option<Roster>,
    /// Whether a write is on its way.
    pub(super) is_on_its_way: bool,
    /// Whether a write may have been carried out, or may be yet.
    pub(super) is_unsure: bool,
    written_ms: Option<u64>,
}

impl Ownership {
    /// Takes in which workers the owner of an own pool has.
    pub fn set_roster(&mut self, name: &str, roster: Roster) {
        if let Some(pool) = self.pools.get_mut(name).filter(|pool| pool.owns) {
            pool.used.roster = Some(roster);
        }
    }

    /// Brings the store up to date with an own claim and its roster.
    pub(super) fn rewrite(&mut self, now_ms: u64, name: &str, out: &mut Vec<Command>) {
        let Some(pool) = self.pools.get_mut(name) else {
            return;
        };
        let Some(claim) = pool.claim.clone() else {
            return;
        };
        let Some(pause_ms) = pool.rewrite_pause_ms(&claim) else {
            return;
        };
        let used = &mut pool.used;
        let is_early = |written_ms: u64| now_ms < written_ms + pause_ms;
        if used.is_on_its_way || used.written_ms.is_some_and(is_early) {
            return;
        }
        used.is_on_its_way = true;
        used.is_unsure = true;
        used.written_ms = Some(now_ms);
        let roster = used.roster.clone();
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
    /// How long after the last write an own claim is written again; none where
    /// the store holds it as it is.
    fn rewrite_pause_ms(&self, claim: &Claim) -> Option<u64> {
        if self.stored.holder != holder_of(claim) {
            let newer = self.stored.holder.as_ref();
            let is_outdated = newer.is_some_and(|stored| stored.term > claim.term);
            return (!is_outdated).then_some(REWRITE_MS);
        }
        if self.stored.roster == self.used.roster && !self.used.is_unsure {
            return None;
        }
        let used = self.used.roster.as_ref()?;
        let known = self.stored.roster.as_ref();
        let has_grown = known.is_none_or(|known| !used.is_subset(known));
        Some(if has_grown { GROWN_MS } else { REWRITE_MS })
    }
}
