//! Incarnations of a worker with one id: what shows one, and since when.
//!
//! All that an owner knows of a worker was shown by one incarnation and ends with it:
//!
//! | belief | shown by | ends with |
//! |---|---|---|
//! | the incarnation | the start that an answer or an entry tells | evidence of another one |
//! | its fence and its runs | the answer to a renewal under that fence | an order without an answer, another incarnation |
//! | its clock, and leases by it | a reading in an answer | another incarnation |
//! | its capacity, labels and drain | its own entry in the registry | its next entry, another incarnation |
//!
//! Silence shows nothing, and an idle worker is not called, so each of these may be outdated when
//! an order is sent. The order therefore names its incarnation ([`Target::born_ms`]) and reaches
//! no other. Whichever incarnation is alive then, it has obeyed the fence of the order, the
//! deadline is by its clock, and its entry is the one that the task was placed by.
//!
//! [`Target::born_ms`]: crate::dispatch::order::Target::born_ms

use std::collections::BTreeSet;

use super::{Resources, Worker, WorkerRecord, longest_lease_ms};
use crate::dispatch::fence::Fence;
use crate::dispatch::limits::LEASE_MAX_MS;

/// The rebirth of a worker under the id that it had.
#[derive(Clone, Debug)]
pub struct Rebirth {
    /// Entry of the incarnation that has ended.
    pub ended: WorkerRecord,
    /// When the owner learned of it.
    pub observed_ms: u64,
}

/// What shows an incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// Its entry in the registry, of this revision; 0 if that is unknown.
    Entry {
        /// Increases with each write.
        revision: u64,
    },
    /// Its answer to an order that was sent at this time of the owner's clock, if that is known.
    Answer {
        /// When the order was sent.
        sent_ms: Option<u64>,
    },
}

/// How an incarnation relates to the known one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Succession {
    /// It is the known one, as far as can be told.
    Same,
    /// It is a later one; the known one has ended.
    Later,
    /// It has ended before the known one started.
    Earlier,
}

/// Whether an incarnation that started at `born_ms` is known to be earlier than one that started
/// at `other_ms`.
pub fn is_earlier(born_ms: Option<u64>, other_ms: Option<u64>) -> bool {
    let starts = born_ms.zip(other_ms);
    starts.is_some_and(|(born_ms, other_ms)| born_ms < other_ms)
}

impl Worker {
    /// Compares an incarnation, which tells that it started at `born_ms`, with the known one.
    ///
    /// One that answers an order which was sent after the known one had been seen is later, and so
    /// is one whose entry has replaced the one that was known, whatever start it tells: the time of
    /// day of its machine may have been set back. An entry that has not changed is one that the
    /// known incarnation has not replaced yet. The starts decide only where the order of events does
    /// not.
    pub fn compare_incarnation(&self, born_ms: Option<u64>, evidence: Evidence) -> Succession {
        let (Some(born_ms), Some(known_ms)) = (born_ms, self.record.born_ms) else {
            return Succession::Same;
        };
        if born_ms == known_ms {
            return Succession::Same;
        }
        let is_later = match evidence {
            Evidence::Answer {
                sent_ms: Some(sent_ms),
            } if sent_ms > self.shown_ms => true,
            Evidence::Entry { revision } if revision > 0 => {
                revision > self.record.revision && self.listed_born_ms != Some(born_ms)
            }
            Evidence::Answer { .. } | Evidence::Entry { .. } => born_ms > known_ms,
        };
        match is_later {
            true => Succession::Later,
            false => Succession::Earlier,
        }
    }

    /// Replaces its entry by a newer one of the known incarnation.
    pub fn set_record(&mut self, record: WorkerRecord) {
        self.listed_born_ms = record.born_ms;
        let born_ms = record.born_ms.or(self.record.born_ms);
        self.record = WorkerRecord { born_ms, ..record };
    }

    /// Replaces all state but the runs by that of a later incarnation. Its fence is higher than
    /// all before, since it may still carry out earlier orders.
    pub fn begin_incarnation(&mut self, now_ms: u64, born_ms: u64) {
        let record = WorkerRecord {
            draining: false,
            departure: None,
            capacity: Resources::default(),
            labels: BTreeSet::new(),
            born_ms: Some(born_ms),
            ..self.record.clone()
        };
        let earlier = std::mem::replace(self, Self::new(record, self.fence.raised()));
        self.shown_ms = now_ms;
        self.listed_born_ms = earlier.listed_born_ms;
        self.awaits_entry = true;
        self.rebirth = Some(Rebirth {
            ended: earlier.record,
            observed_ms: now_ms,
        });
        self.unlisted_since_ms = earlier.unlisted_since_ms;
        self.in_stored_roster = earlier.in_stored_roster;
        self.renewals_sent = earlier.renewals_sent;
        self.runs = earlier.runs;
        // It has shortened deadlines on the clock of the ended incarnation to the maximum.
        self.leases_expire_ms = now_ms + longest_lease_ms(LEASE_MAX_MS);
    }

    /// Forgets its clock if a reading in the answer to an order sent at `sent_ms` shows that the
    /// clock has started anew. Its lease may then be the longest one, as above. Has no effect on
    /// workers that do not tell when they started.
    pub fn reset_clock_if_anew(&mut self, now_ms: u64, sent_ms: u64, clock_ms: u64) {
        let is_anew = self.record.born_ms.is_some()
            && self
                .clock
                .is_some_and(|(known_ms, read_ms)| read_ms <= sent_ms && clock_ms < known_ms);
        if is_anew {
            self.clock = None;
            let expires_ms = now_ms + longest_lease_ms(LEASE_MAX_MS);
            self.leases_expire_ms = self.leases_expire_ms.max(expires_ms);
        }
    }

    /// Whether an order under `fence` was sent to this incarnation.
    pub fn is_current(&self, fence: Fence) -> bool {
        fence >= self.first_fence
    }
}
