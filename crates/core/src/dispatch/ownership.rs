//! Ownership of pools, by claims.
//!
//! A claim names the owner of a pool for a term. Claims are written to the platform's
//! store by compare-and-swap. If the store does not answer, a candidate that reaches a
//! majority of the other instances claims the pool without it. Conflicting claims cost
//! time but are safe, because workers obey only the higher fence; all instances follow
//! the higher claim.
//!
//! A vacant pool is claimed by the instance with the fewest pools per core, counting
//! the vacant one. Among equals it is the most recently started one, which is stopped
//! last in a rolling restart.
//!
//! * [`peers`]: the other instances.
//! * [`candidates`]: which pools are vacant, and in which order candidates claim them.
//! * [`claiming`]: how claims are written to the store.
//! * [`neighbours`]: which instances link with each other.
//! * [`roster`]: the workers that an owner uses.

mod candidates;
mod claiming;
mod neighbours;
mod peers;
mod roster;

use std::collections::{BTreeMap, BTreeSet};

use trefoil_schema::dispatch::{Claim, Holder, Node};

use super::limits::{CLAIM_STAGGER_MS, CLAIM_STORE_TIMEOUT_MS};
use super::pool;
pub use claiming::ClaimWriteOutcome;
use claiming::PendingClaim;
use peers::Peer;
pub use roster::{ClaimRecord, Predecessor, Roster, holder_of};

/// How long an instance does not claim a pool after losing it to a higher fence whose
/// claim it does not know.
const SUPERSEDED_PAUSE_MS: u64 = 1500;

/// A command to be carried out by the instance.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Write a claim if the record still has the given revision.
    WriteClaim {
        /// The claim and its roster.
        record: ClaimRecord,
        /// Revision to replace; 0 if there must be no record.
        revision: u64,
    },
    /// This instance has acquired a pool.
    Acquired {
        /// Its claim.
        claim: Claim,
        /// The ownership that it follows, if the store's record named it.
        predecessor: Option<Predecessor>,
    },
    /// A write of a roster has been started: only its workers may be used from now on.
    RosterSent {
        /// Name of the pool.
        pool: String,
        /// Workers that may be used.
        roster: Roster,
    },
    /// The store holds this roster: its workers may be used.
    RosterStored {
        /// Name of the pool.
        pool: String,
        /// Workers that may be used.
        roster: Roster,
    },
    /// This instance no longer owns the pool with this name.
    Released(String),
    /// A pool has a new owner by this claim of another instance.
    OwnerChanged(Claim),
}

/// Content of the store's record of a claim.
#[derive(Clone, Debug, Default, PartialEq)]
struct StoredClaim {
    revision: u64,
    /// `None` if there is no record.
    holder: Option<Holder>,
    roster: Option<Roster>,
}

/// A pool of the local failure domain.
#[derive(Clone, Debug, Default)]
struct Pool {
    /// The highest known claim.
    claim: Option<Claim>,
    /// When `claim` was learned.
    learned_ms: u64,
    stored: StoredClaim,
    roster_state: roster::RosterState,
    vacant_since_ms: Option<u64>,
    /// Earliest time for a claim or a write of the record.
    backoff_until_ms: u64,
    /// Whether this instance owns the pool.
    is_own: bool,
    /// Highest term in which this instance has owned the pool.
    owned_term: u64,
    /// Whether the owner yields the pool to a stronger instance.
    yielded: bool,
}

impl Pool {
    fn owner(&self) -> Option<&Node> {
        self.claim.as_ref()?.owner.as_ref()
    }
}

/// One instance's view of the ownership of pools.
#[derive(Debug)]
pub struct Ownership {
    me: Node,
    started_ms: u64,
    peers: BTreeMap<String, Peer>,
    /// Pools of the local failure domain.
    pools: BTreeMap<String, Pool>,
    /// Pools of other failure domains, with the highest known claims.
    remote_pools: BTreeMap<String, Option<Claim>>,
    has_read_store: bool,
    /// Pools whose next owners jobs of this instance's entry wait for.
    awaited_pools: BTreeSet<String>,
    /// Whether the last list of instances in the store had new ones.
    is_listing_growing: bool,
    pending_claim: Option<PendingClaim>,
    leaving: bool,
}

impl Ownership {
    /// Creates the state of an instance that knows no peers and no pools.
    pub fn new(now_ms: u64, me: Node) -> Self {
        Self {
            me,
            started_ms: now_ms,
            peers: BTreeMap::new(),
            pools: BTreeMap::new(),
            remote_pools: BTreeMap::new(),
            has_read_store: false,
            awaited_pools: BTreeSet::new(),
            is_listing_growing: false,
            pending_claim: None,
            leaving: false,
        }
    }

    /// The claims of this instance, each with whether the pool is yielded.
    pub fn own_claims(&self) -> impl Iterator<Item = (&Claim, bool)> {
        let owned = self.pools.values().filter(|pool| pool.is_own);
        owned.filter_map(|pool| Some((pool.claim.as_ref()?, pool.yielded)))
    }

    /// Whether this instance owns any pool.
    pub fn owns_any(&self) -> bool {
        self.pools.values().any(|pool| pool.is_own)
    }

    /// Sets the number of a failure domain's pools.
    pub fn set_pool_count(&mut self, failure_domain: &str, count: u32) {
        for index in 0..count {
            let name = pool::name(failure_domain, index);
            match failure_domain == self.me.failure_domain {
                true => drop(self.pools.entry(name).or_default()),
                false => drop(self.remote_pools.entry(name).or_default()),
            }
        }
    }

    /// Sets the pools whose next owners jobs of this instance's entry wait for.
    pub fn set_awaited_pools(&mut self, names: BTreeSet<String>) {
        self.awaited_pools = names;
    }

    /// Stops claiming pools, because this instance is leaving.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Learns a claim from its record in the store.
    pub fn learn_stored_claim(
        &mut self,
        now_ms: u64,
        record: ClaimRecord,
        revision: u64,
        out: &mut Vec<Command>,
    ) {
        let claim = record.claim.clone();
        if claim.failure_domain != self.me.failure_domain {
            return self.learn_remote(claim);
        }
        self.set_stored(&record, revision, out);
        self.learn_claim(now_ms, claim.clone(), false, out);
        self.acquire_if_own(now_ms, claim, out);
    }

    /// Learns that a pool's record in the store cannot be parsed; the next claim replaces
    /// it.
    pub fn learn_unreadable_record(&mut self, name: &str, revision: u64) {
        let pool = self.pools.get_mut(name);
        if let Some(pool) = pool.filter(|pool| pool.stored.revision < revision) {
            pool.stored = StoredClaim {
                revision,
                ..StoredClaim::default()
            };
        }
    }

    /// Records the content of a pool's record in the store.
    fn set_stored(&mut self, record: &ClaimRecord, revision: u64, out: &mut Vec<Command>) {
        let claim = &record.claim;
        let pool = self.pools.entry(claim.pool.clone()).or_default();
        if revision < pool.stored.revision {
            return;
        }
        let holder = holder_of(claim);
        let is_own_claim = pool.is_own && holder == pool.claim.as_ref().and_then(holder_of);
        let is_newer = revision > pool.stored.revision;
        pool.stored = StoredClaim {
            revision,
            holder,
            roster: record.roster.clone(),
        };
        if !is_own_claim || !is_newer {
            return;
        }
        pool.roster_state.is_write_uncertain = false;
        if let Some(roster) = record.roster.clone() {
            let pool = claim.pool.clone();
            out.push(Command::RosterStored { pool, roster });
        }
    }

    /// Learns a claim from any source; it is ignored unless it is the highest one known.
    pub fn learn_claim(
        &mut self,
        now_ms: u64,
        claim: Claim,
        yielded: bool,
        out: &mut Vec<Command>,
    ) {
        if claim.failure_domain != self.me.failure_domain {
            return self.learn_remote(claim);
        }
        if let Some(owner) = claim.owner.clone().filter(|node| node.name != self.me.name) {
            self.peer_mut(now_ms, &owner);
        }
        let pool = self.pools.entry(claim.pool.clone()).or_default();
        let known = pool.claim.as_ref().map(rank);
        match known.cmp(&Some(rank(&claim))) {
            std::cmp::Ordering::Greater => return,
            std::cmp::Ordering::Equal => {
                if !pool.is_own {
                    pool.yielded = yielded;
                    pool.claim = Some(claim);
                }
                return;
            }
            std::cmp::Ordering::Less => {}
        }
        pool.vacant_since_ms = None;
        pool.yielded = yielded;
        let pending_claim = self.pending_claim.as_ref();
        if pending_claim.is_some_and(|pending_claim| pending_claim.claim.pool == claim.pool) {
            self.pending_claim = None;
        }
        if std::mem::take(&mut pool.is_own) {
            out.push(Command::Released(claim.pool.clone()));
        }
        pool.claim = Some(claim.clone());
        pool.learned_ms = now_ms;
        out.push(Command::OwnerChanged(claim));
    }

    /// Learns a claim on a pool of another failure domain.
    fn learn_remote(&mut self, claim: Claim) {
        let known = self.remote_pools.entry(claim.pool.clone()).or_default();
        if known
            .as_ref()
            .is_none_or(|known| rank(known) < rank(&claim))
        {
            *known = Some(claim);
        }
    }

    /// Releases a pool because one of its workers has seen a higher fence than this
    /// instance's.
    pub fn on_superseded(&mut self, now_ms: u64, name: &str, out: &mut Vec<Command>) {
        if let Some(pool) = self.pools.get_mut(name) {
            pool.backoff_until_ms = now_ms + SUPERSEDED_PAUSE_MS;
            if std::mem::take(&mut pool.is_own) {
                out.push(Command::Released(name.to_owned()));
            }
        }
    }

    /// Releases all pools after a stall of the process; others may own them by now.
    pub fn release_all(&mut self, now_ms: u64, out: &mut Vec<Command>) {
        let names: Vec<String> = self.pools.keys().cloned().collect();
        for name in names {
            self.on_superseded(now_ms, &name, out);
        }
        self.pending_claim = None;
    }

    /// Updates the records of own pools and claims a vacant pool when it is this
    /// instance's turn.
    pub fn tick(&mut self, now_ms: u64, out: &mut Vec<Command>) {
        if self.leaving {
            return;
        }
        if let Some(pending_claim) = &mut self.pending_claim {
            if now_ms >= pending_claim.sent_ms + CLAIM_STORE_TIMEOUT_MS {
                // Without an answer, the record and its roster may have changed since.
                pending_claim.predecessor = None;
                match self.reaches_majority() {
                    true => self.acquire(out),
                    false => self.pending_claim = None,
                }
            }
            return;
        }
        let names: Vec<String> = self.pools.keys().cloned().collect();
        for name in &names {
            let pool = &self.pools[name];
            if now_ms < pool.backoff_until_ms {
                continue;
            }
            if pool.is_own {
                self.update_record(now_ms, name, out);
                self.update_yielded(now_ms, name);
            } else if self.is_responsible_for(name) && self.is_own_turn(now_ms, name) {
                return self.write_claim(now_ms, name, out);
            }
        }
    }
}

/// Claims are ordered by term, then by name of the owner.
fn rank(claim: &Claim) -> (u64, &str) {
    let owner = claim.owner.as_ref();
    (claim.term, owner.map_or("", |node| node.name.as_str()))
}
