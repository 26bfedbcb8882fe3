//! Making a claim: it is written to the store, and stands once the store has it,
//! or without the store where that does not answer.

use super::*;

/// What became of writing a claim.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimWriteOutcome {
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

/// A claim whose answer from the store is awaited.
#[derive(Debug)]
pub(super) struct Writing {
    pub(super) claim: Claim,
    pub(super) sent_ms: u64,
    /// The ownership that its record replaces.
    pub(super) predecessor: Option<Predecessor>,
}

impl Ownership {
    /// A claim of this instance whose answer was lost stands in the store.
    pub(super) fn take_up(&mut self, now_ms: u64, claim: Claim, out: &mut Vec<Command>) {
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

    /// Takes in what became of writing a claim.
    pub fn claim_written(
        &mut self,
        now_ms: u64,
        record: &ClaimRecord,
        write: &ClaimWriteOutcome,
        out: &mut Vec<Command>,
    ) {
        let claim = &record.claim;
        let writing = self.writing.as_ref();
        let pending = writing.is_some_and(|writing| writing.claim == *claim);
        if let Some(pool) = self.pools.get_mut(&claim.pool) {
            pool.used.is_on_its_way = false;
        }
        match write {
            ClaimWriteOutcome::Written { revision } => {
                self.stored(record, *revision, out);
                if pending {
                    self.acquire(out);
                }
            }
            ClaimWriteOutcome::Conflict if pending => {
                self.writing = None;
                if let Some(pool) = self.pools.get_mut(&claim.pool) {
                    // The store is read meanwhile; other pools have their turn.
                    pool.quiet_until_ms = now_ms + CLAIM_STAGGER_MS;
                }
            }
            ClaimWriteOutcome::NoAnswer if pending => {
                // Its fate is unknown; the next tick decides without the store.
                if let Some(writing) = &mut self.writing {
                    let waited_ms = now_ms.saturating_sub(CLAIM_STORE_TIMEOUT_MS);
                    writing.sent_ms = writing.sent_ms.min(waited_ms);
                }
            }
            ClaimWriteOutcome::Conflict | ClaimWriteOutcome::NoAnswer => {}
        }
    }

    pub(super) fn acquire(&mut self, out: &mut Vec<Command>) {
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

    pub(super) fn claim(&mut self, now_ms: u64, name: &str, out: &mut Vec<Command>) {
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
