//! Writing of claims. A claim takes effect once the store holds it, or without the
//! store if that does not answer.

use super::*;

/// Outcome of writing a claim's record.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimWriteOutcome {
    /// The store holds the record.
    Written {
        /// Revision of the record.
        revision: u64,
    },
    /// The record had another revision and must be read again.
    Conflict,
    /// Unknown, or the store is unavailable.
    NoAnswer,
}

/// A claim that is being written to the store.
#[derive(Debug)]
pub(super) struct PendingClaim {
    pub(super) claim: Claim,
    pub(super) sent_ms: u64,
    /// The ownership in the record that is replaced.
    pub(super) predecessor: Option<Predecessor>,
}

impl Ownership {
    /// Acquires a pool if the store holds a claim of this instance whose write was not
    /// answered.
    pub(super) fn acquire_if_own(&mut self, now_ms: u64, claim: Claim, out: &mut Vec<Command>) {
        let Some(pool) = self.pools.get(&claim.pool) else {
            return;
        };
        let is_highest = pool.claim.as_ref().map(rank) == Some(rank(&claim));
        let is_own = claim.owner.as_ref() == Some(&self.me);
        if is_own && is_highest && !pool.is_own && claim.term > pool.owned_term {
            self.pending_claim = Some(PendingClaim {
                claim,
                sent_ms: now_ms,
                predecessor: None,
            });
            self.acquire(out);
        }
    }

    /// Handles the outcome of writing a claim's record.
    pub fn on_claim_written(
        &mut self,
        now_ms: u64,
        record: &ClaimRecord,
        outcome: &ClaimWriteOutcome,
        out: &mut Vec<Command>,
    ) {
        let claim = &record.claim;
        let pending_claim = self.pending_claim.as_ref();
        let is_pending = pending_claim.is_some_and(|pending_claim| pending_claim.claim == *claim);
        if let Some(pool) = self.pools.get_mut(&claim.pool) {
            pool.roster_state.is_write_in_flight = false;
        }
        match outcome {
            ClaimWriteOutcome::Written { revision } => {
                self.set_stored(record, *revision, out);
                if is_pending {
                    self.acquire(out);
                }
            }
            ClaimWriteOutcome::Conflict if is_pending => {
                self.pending_claim = None;
                if let Some(pool) = self.pools.get_mut(&claim.pool) {
                    // The store is read in the meantime, and other pools can be claimed.
                    pool.backoff_until_ms = now_ms + CLAIM_STAGGER_MS;
                }
            }
            ClaimWriteOutcome::NoAnswer if is_pending => {
                // Ends the wait for the store: the next tick decides without it.
                if let Some(pending_claim) = &mut self.pending_claim {
                    let waited_ms = now_ms.saturating_sub(CLAIM_STORE_TIMEOUT_MS);
                    pending_claim.sent_ms = pending_claim.sent_ms.min(waited_ms);
                }
            }
            ClaimWriteOutcome::Conflict | ClaimWriteOutcome::NoAnswer => {}
        }
    }

    /// Takes ownership by the pending claim, unless a higher claim is known.
    pub(super) fn acquire(&mut self, out: &mut Vec<Command>) {
        let Some(pending_claim) = self.pending_claim.take() else {
            return;
        };
        let claim = pending_claim.claim;
        let Some(pool) = self.pools.get_mut(&claim.pool) else {
            return;
        };
        let known = pool.claim.as_ref().map(rank);
        if self.leaving || known > Some(rank(&claim)) {
            return;
        }
        pool.vacant_since_ms = None;
        pool.is_own = true;
        pool.owned_term = claim.term;
        pool.yielded = false;
        pool.roster_state = roster::RosterState::default();
        pool.claim = Some(claim.clone());
        out.push(Command::Acquired {
            claim,
            predecessor: pending_claim.predecessor,
        });
    }

    pub(super) fn write_claim(&mut self, now_ms: u64, name: &str, out: &mut Vec<Command>) {
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
        self.pending_claim = Some(PendingClaim {
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
