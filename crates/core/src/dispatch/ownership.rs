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
//! * [`neighbours`]: which instances link with which.
//! * [`roster`]: the workers that an owner uses.

mod candidates;
mod neighbours;
mod peers;
mod roster;

use std::collections::BTreeMap;

use trefoil_schema::dispatch::{Claim, Holder, Node};

use super::limits::{CLAIM_STAGGER_MS, CLAIM_STORE_MS};
use super::pool;
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
    Learned(Claim),
}

/// What became of writing a claim.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimWrite {
    /// The store holds it.
    Written {
        /// Its revision.
        revision: u64,
    },
    /// The store holds another one; it is read anew.
    Conflict,
    /// Unknown, or the store did nothing.
    NoAnswer,
}

/// What the store's record of a claim holds.
#[derive(Clone, Debug, Default, PartialEq)]
struct Stored {
    revision: u64,
    /// None where there is no record.
    holder: Option<Holder>,
    roster: Option<Roster>,
}

/// A claim whose answer from the store is awaited.
#[derive(Debug)]
struct Writing {
    claim: Claim,
    sent_ms: u64,
    /// The ownership that its record replaces.
    predecessor: Option<Predecessor>,
}

/// A pool of the own failure domain.
#[derive(Clone, Debug, Default)]
struct Pool {
    claim: Option<Claim>,
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
    /// Highest claims on other failure domains' pools.
    remote: BTreeMap<String, Claim>,
    store_read: bool,
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

    /// Takes in the number of the failure domain's pools.
    pub fn set_pool_count(&mut self, count: u32) {
        for index in 0..count {
            let name = pool::name(&self.me.failure_domain, index);
            self.pools.entry(name).or_default();
        }
    }

    /// This instance is leaving: it claims nothing more.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Takes in a claim from the store, with its record's revision.
    pub fn stored_claim(
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
        self.learn(now_ms, claim.clone(), false, out);
        self.take_up(now_ms, claim, out);
    }

    /// The store holds something at a pool's record that names no claim: the next
    /// claim replaces it.
    pub fn unreadable_claim(&mut self, name: &str, revision: u64) {
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

    /// A claim of this instance whose answer was lost stands in the store.
    fn take_up(&mut self, now_ms: u64, claim: Claim, out: &mut Vec<Command>) {
        let Some(pool) = self.pools.get(&claim.pool) else {
            return;
        };
        let newest = pool.claim.as_ref().map(rank) == Some(rank(&claim));
        let mine = claim.owner.as_ref() == Some(&self.me);
        if mine && newest && !pool.owns && claim.term > pool.owned_term {
            self.writing = Some(Writing {
                claim,
                sent_ms: now_ms,
                predecessor: None,
            });
            self.acquire(out);
        }
    }

    /// Takes in a claim from any source; the higher one counts.
    pub fn learn(&mut self, now_ms: u64, claim: Claim, yielded: bool, out: &mut Vec<Command>) {
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
        out.push(Command::Learned(claim));
    }

    /// Takes in a claim on another failure domain's pool.
    fn learn_remote(&mut self, claim: Claim) {
        let known = self.remote.get(&claim.pool);
        if known.is_none_or(|known| rank(known) < rank(&claim)) {
            self.remote.insert(claim.pool.clone(), claim);
        }
    }

    /// A worker of a pool obeys a higher fence than this instance's.
    pub fn outranked(&mut self, now_ms: u64, name: &str, out: &mut Vec<Command>) {
        if let Some(pool) = self.pools.get_mut(name) {
            pool.quiet_until_ms = now_ms + OUTRANKED_PAUSE_MS;
            if std::mem::take(&mut pool.owns) {
                out.push(Command::Released(name.to_owned()));
            }
        }
    }

    /// The process stood still: others may own its pools by now.
    pub fn stood_still(&mut self, now_ms: u64, out: &mut Vec<Command>) {
        let names: Vec<String> = self.pools.keys().cloned().collect();
        for name in names {
            self.outranked(now_ms, &name, out);
        }
        self.writing = None;
    }

    /// Takes in what became of writing a claim.
    pub fn claim_written(
        &mut self,
        now_ms: u64,
        record: &ClaimRecord,
        write: &ClaimWrite,
        out: &mut Vec<Command>,
    ) {
        let claim = &record.claim;
        let writing = self.writing.as_ref();
        let pending = writing.is_some_and(|writing| writing.claim == *claim);
        if let Some(pool) = self.pools.get_mut(&claim.pool) {
            pool.used.is_on_its_way = false;
        }
        match write {
            ClaimWrite::Written { revision } => {
                self.stored(record, *revision, out);
                if pending {
                    self.acquire(out);
                }
            }
            ClaimWrite::Conflict if pending => {
                self.writing = None;
                if let Some(pool) = self.pools.get_mut(&claim.pool) {
                    // The store is read meanwhile; other pools have their turn.
                    pool.quiet_until_ms = now_ms + CLAIM_STAGGER_MS;
                }
            }
            ClaimWrite::NoAnswer if pending => {
                // Its fate is unknown; the next tick decides without the store.
                if let Some(writing) = &mut self.writing {
                    let waited_ms = now_ms.saturating_sub(CLAIM_STORE_MS);
                    writing.sent_ms = writing.sent_ms.min(waited_ms);
                }
            }
            ClaimWrite::Conflict | ClaimWrite::NoAnswer => {}
        }
    }

    fn acquire(&mut self, out: &mut Vec<Command>) {
        let Some(writing) = self.writing.take() else {
            return;
        };
        let claim = writing.claim;
        let Some(pool) = self.pools.get_mut(&claim.pool) else {
            return;
        };
        let known = pool.claim.as_ref().map(rank);
        if self.leaving || known > Some(rank(&claim)) {
            return;
        }
        pool.vacant_since_ms = None;
        pool.owns = true;
        pool.owned_term = claim.term;
        pool.yielded = false;
        pool.used = roster::Used::default();
        pool.claim = Some(claim.clone());
        out.push(Command::Acquired {
            claim,
            predecessor: writing.predecessor,
        });
    }

    /// Passes time: finds vacancies and claims one of them in turn.
    pub fn tick(&mut self, now_ms: u64, out: &mut Vec<Command>) {
        if self.leaving {
            return;
        }
        if let Some(writing) = &mut self.writing {
            if now_ms >= writing.sent_ms + CLAIM_STORE_MS {
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

    fn claim(&mut self, now_ms: u64, name: &str, out: &mut Vec<Command>) {
        let pool = &self.pools[name];
        let term = pool.claim.as_ref().map_or(0, |claim| claim.term);
        let claim = Claim {
            pool: name.to_owned(),
            failure_domain: self.me.failure_domain.clone(),
            term: term + 1,
            owner: Some(self.me.clone()),
        };
        let stored = &pool.stored;
        let revision = stored.revision;
        let predecessor = stored.holder.clone().zip(stored.roster.clone());
        self.writing = Some(Writing {
            claim: claim.clone(),
            sent_ms: now_ms,
            predecessor: predecessor.map(|(holder, roster)| Predecessor { holder, roster }),
        });
        let record = ClaimRecord {
            claim,
            roster: None,
        };
        out.push(Command::WriteClaim { record, revision });
    }
}

fn rank(claim: &Claim) -> (u64, &str) {
    let owner = claim.owner.as_ref();
    (claim.term, owner.map_or("", |node| node.name.as_str()))
}
