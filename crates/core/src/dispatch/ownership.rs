//! Claims on pools, and when to make one.
//!
//! A claim names the owner of a pool in a term. Claims are made by
//! compare-and-swap in the platform's store; where the store does not answer, a
//! candidate that still reaches most of the others claims without it. Two
//! claims at once cost time and no promise, since workers obey only the higher
//! fence; the higher claim is the one that everybody follows.
//!
//! A vacancy is filled by the instance that is strongest for the pools that it
//! would then own; among equals by the youngest: in a rolling restart it is the
//! one that will not be stopped next.
//!
//! * [`peers`]: the other instances.
//! * [`candidates`]: which pools are vacant, and who claims them in which order.
//! * [`claiming`]: a claim on its way, and what became of it.
//! * [`neighbours`]: which instances link with which.
//! * [`roster`]: the workers that an owner uses.

mod candidates;
mod claiming;
mod neighbours;
mod peers;
mod roster;

use std::collections::BTreeMap;

use trefoil_schema::dispatch::{Claim, Holder, Node};

use super::limits::{CLAIM_STAGGER_MS, CLAIM_STORE_TIMEOUT_MS};
use super::pool;
pub use claiming::ClaimWriteOutcome;
use claiming::Writing;
use peers::Peer;
pub use roster::{ClaimRecord, Predecessor, Roster, holder_of};

/// How long an owner that was outranked by an unknown claim leaves it alone.
const OUTRANKED_PAUSE_MS: u64 = 1500;

/// What the shell must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Write a claim, if the record still has this revision (0: none).
    WriteClaim {
        /// The claim and its roster.
        record: ClaimRecord,
        /// Revision that was read.
        revision: u64,
    },
    /// This instance owns a pool now.
    Acquired {
        /// Its claim.
        claim: Claim,
        /// The ownership that it follows, where the store told it.
        predecessor: Option<Predecessor>,
    },
    /// A roster is on its way to the store: no worker beyond it may be used.
    RosterSent {
        /// The own pool.
        pool: String,
        /// Workers that may be used.
        roster: Roster,
    },
    /// The store holds this roster: its workers may be used.
    RosterStored {
        /// The own pool.
        pool: String,
        /// Workers that may be used.
        roster: Roster,
    },
    /// It no longer owns this pool.
    Released(String),
    /// Somebody else's claim was learned: a pool's new owner.
    OwnerChanged(Claim),
}

/// What the store's record of a claim holds.
#[derive(Clone, Debug, Default, PartialEq)]
struct Stored {
    revision: u64,
    /// None where there is no record.
    holder: Option<Holder>,
    roster: Option<Roster>,
}

/// A pool of the own failure domain.
#[derive(Clone, Debug, Default)]
struct Pool {
    claim: Option<Claim>,
    /// When `claim` was learned.
    learned_ms: u64,
    /// What the store's record holds.
    stored: Stored,
    /// Workers that the owner here has, and what became of telling it.
    used: roster::Used,
    vacant_since_ms: Option<u64>,
    quiet_until_ms: u64,
    owns: bool,
    /// Highest term in which this instance has owned it.
    owned_term: u64,
    /// Whether its owner would rather see another one own it.
    yielded: bool,
}

impl Pool {
    fn owner(&self) -> Option<&Node> {
        self.claim.as_ref()?.owner.as_ref()
    }
}

/// The ownership of pools, as one instance knows it.
#[derive(Debug)]
pub struct Ownership {
    me: Node,
    started_ms: u64,
    peers: BTreeMap<String, Peer>,
    pools: BTreeMap<String, Pool>,
    /// Other failure domains' pools, with the highest claims that are known.
    remote: BTreeMap<String, Option<Claim>>,
    store_read: bool,
    /// Whether the last listing of the store had instances that the one before
    /// had not.
    listing_grows: bool,
    writing: Option<Writing>,
    leaving: bool,
}

impl Ownership {
    /// What an instance knows at its start: nothing.
    pub fn new(now_ms: u64, me: Node) -> Self {
        Self {
            me,
            started_ms: now_ms,
            peers: BTreeMap::new(),
            pools: BTreeMap::new(),
            remote: BTreeMap::new(),
            store_read: false,
            listing_grows: false,
            writing: None,
            leaving: false,
        }
    }

    /// The claims of this instance, and whether it yields their pools.
    pub fn own_claims(&self) -> impl Iterator<Item = (&Claim, bool)> {
        let owned = self.pools.values().filter(|pool| pool.owns);
        owned.filter_map(|pool| Some((pool.claim.as_ref()?, pool.yielded)))
    }

    /// Whether this instance owns any pool.
    pub fn owns_any(&self) -> bool {
        self.pools.values().any(|pool| pool.owns)
    }

    /// Takes in the number of a failure domain's pools.
    pub fn set_pool_count(&mut self, failure_domain: &str, count: u32) {
        for index in 0..count {
            let name = pool::name(failure_domain, index);
            match failure_domain == self.me.failure_domain {
                true => drop(self.pools.entry(name).or_default()),
                false => drop(self.remote.entry(name).or_default()),
            }
        }
    }

    /// This instance is leaving: it claims nothing more.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Takes in a claim from the store, with its record's revision.
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
        self.stored(&record, revision, out);
        self.learn_claim(now_ms, claim.clone(), false, out);
        self.take_up(now_ms, claim, out);
    }

    /// The store holds something at a pool's record that names no claim: the next
    /// claim replaces it.
    pub fn learn_unreadable_record(&mut self, name: &str, revision: u64) {
        let pool = self.pools.get_mut(name);
        if let Some(pool) = pool.filter(|pool| pool.stored.revision < revision) {
            pool.stored = Stored {
                revision,
                ..Stored::default()
            };
        }
    }

    /// The store holds this record of a pool.
    fn stored(&mut self, record: &ClaimRecord, revision: u64, out: &mut Vec<Command>) {
        let claim = &record.claim;
        let pool = self.pools.entry(claim.pool.clone()).or_default();
        if revision < pool.stored.revision {
            return;
        }
        let holder = holder_of(claim);
        let own = pool.owns && holder == pool.claim.as_ref().and_then(holder_of);
        let news = revision > pool.stored.revision;
        pool.stored = Stored {
            revision,
            holder,
            roster: record.roster.clone(),
        };
        if !own || !news {
            return;
        }
        pool.used.is_unsure = false;
        if let Some(roster) = record.roster.clone() {
            let pool = claim.pool.clone();
            out.push(Command::RosterStored { pool, roster });
        }
    }

    /// Takes in a claim from any source; the higher one counts.
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
            self.peer(now_ms, &owner);
        }
        let pool = self.pools.entry(claim.pool.clone()).or_default();
        let known = pool.claim.as_ref().map(rank);
        match known.cmp(&Some(rank(&claim))) {
            std::cmp::Ordering::Greater => return,
            std::cmp::Ordering::Equal => {
                if !pool.owns {
                    pool.yielded = yielded;
                    pool.claim = Some(claim);
                }
                return;
            }
            std::cmp::Ordering::Less => {}
        }
        pool.vacant_since_ms = None;
        pool.yielded = yielded;
        let writing = self.writing.as_ref();
        if writing.is_some_and(|writing| writing.claim.pool == claim.pool) {
            self.writing = None;
        }
        if std::mem::take(&mut pool.owns) {
            out.push(Command::Released(claim.pool.clone()));
        }
        pool.claim = Some(claim.clone());
        pool.learned_ms = now_ms;
        out.push(Command::OwnerChanged(claim));
    }

    /// Takes in a claim on another failure domain's pool.
    fn learn_remote(&mut self, claim: Claim) {
        let known = self.remote.entry(claim.pool.clone()).or_default();
        if known
            .as_ref()
            .is_none_or(|known| rank(known) < rank(&claim))
        {
            *known = Some(claim);
        }
    }

    /// A worker of a pool obeys a higher fence than this instance's.
    pub fn on_superseded(&mut self, now_ms: u64, name: &str, out: &mut Vec<Command>) {
        if let Some(pool) = self.pools.get_mut(name) {
            pool.quiet_until_ms = now_ms + OUTRANKED_PAUSE_MS;
            if std::mem::take(&mut pool.owns) {
                out.push(Command::Released(name.to_owned()));
            }
        }
    }

    /// Gives up all ownership after a stall: others may own the pools by now.
    pub fn release_all(&mut self, now_ms: u64, out: &mut Vec<Command>) {
        let names: Vec<String> = self.pools.keys().cloned().collect();
        for name in names {
            self.on_superseded(now_ms, &name, out);
        }
        self.writing = None;
    }

    /// Passes time: finds vacancies and claims one of them in turn.
    pub fn tick(&mut self, now_ms: u64, out: &mut Vec<Command>) {
        if self.leaving {
            return;
        }
        if let Some(writing) = &mut self.writing {
            if now_ms >= writing.sent_ms + CLAIM_STORE_TIMEOUT_MS {
                // Its record may replace a later one by now.
                writing.predecessor = None;
                match self.reaches_most() {
                    true => self.acquire(out),
                    false => self.writing = None,
                }
            }
            return;
        }
        let names: Vec<String> = self.pools.keys().cloned().collect();
        for name in &names {
            let pool = &self.pools[name];
            if now_ms < pool.quiet_until_ms {
                continue;
            }
            if pool.owns {
                self.rewrite(now_ms, name, out);
                self.consider_yielding(now_ms, name);
            } else if self.is_responsible_for(name) && self.is_due(now_ms, name) {
                return self.claim(now_ms, name, out);
            }
        }
    }
}

fn rank(claim: &Claim) -> (u64, &str) {
    let owner = claim.owner.as_ref();
    (claim.term, owner.map_or("", |node| node.name.as_str()))
}
