//! Incarnations of a worker with one id.

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

/// Whether an incarnation that started at `born_ms` is known to be earlier than one that started
/// at `other_ms`.
pub fn is_earlier(born_ms: Option<u64>, other_ms: Option<u64>) -> bool {
    let starts = born_ms.zip(other_ms);
    starts.is_some_and(|(born_ms, other_ms)| born_ms < other_ms)
}

impl Worker {
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
