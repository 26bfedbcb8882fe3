//! Slots lent to and borrowed from other instances of the failure domain.

use std::collections::BTreeMap;
use std::sync::Arc;

use trefoil_schema::settings::PlacementPolicy;

use super::PoolState;
use crate::engine::command::Command;
use crate::engine::event::{Worker, WorkerId};
use crate::engine::lending::{Loan, Recipient, SlotMessageBody, WorkerSlots};
use crate::time::Now;
use crate::view::Member;

/// A message and its receiver.
pub(crate) type PeerMessage = (Recipient, SlotMessageBody);

impl PoolState {
    pub fn set_members(&mut self, me: &str, members: &[String]) {
        self.lending.set_members(me, members);
    }

    fn is_lending_enabled(&self) -> bool {
        let placement = &self.settings.placement;
        placement.lending && placement.policy == PlacementPolicy::OwnedSlots
    }

    /// Reclaims overdue slots, returns idle borrowed ones, and requests a loan if
    /// tasks are queued and no worker is ready.
    pub fn balance(&mut self, now: Now, out: &mut Vec<Command>) -> Vec<PeerMessage> {
        let run_log2 = self.run_times.mean_log2();
        for loan in self.lending.take_overdue(now.mono_ms) {
            self.workers
                .reclaim(now.mono_ms, run_log2, loan.worker, loan.slots);
        }
        self.dispatch(now, out);
        let mut messages = self.return_idle_slots(now);
        if self.is_lending_enabled() && self.queue.first().is_some() && !self.workers.has_ready() {
            let request = self
                .lending
                .next_request(now.mono_ms, self.stats.tasks_queued);
            messages.extend(
                request.map(|(peer, slots)| {
                    (Recipient::Current(peer), SlotMessageBody::Request(slots))
                }),
            );
        }
        messages
    }

    /// Expires loans whose time is over and returns borrowed slots that are idle.
    fn return_idle_slots(&mut self, now: Now) -> Vec<PeerMessage> {
        let run_log2 = self.run_times.mean_log2();
        let has_queued = self.queue.first().is_some();
        let mut returned: BTreeMap<Member, Vec<WorkerSlots>> = BTreeMap::new();
        for loan in &mut self.lending.borrowed {
            if !loan.expired && loan.until_ms <= now.mono_ms {
                loan.expired = true;
                self.workers
                    .expire_loan(now.mono_ms, run_log2, loan.worker, loan.slots);
            }
            if has_queued && !loan.expired {
                continue;
            }
            let idle = loan.slots.min(self.workers.idle_borrowed(loan.worker));
            let worker = self.workers.name(loan.worker);
            if let Some(worker) = worker.filter(|_| idle > 0) {
                loan.slots -= idle;
                self.workers.return_borrowed(
                    now.mono_ms,
                    run_log2,
                    loan.worker,
                    idle,
                    loan.expired,
                );
                let peer = loan.peer.clone();
                returned.entry(peer).or_default().push(WorkerSlots {
                    worker,
                    slots: idle,
                });
            }
        }
        self.lending.borrowed.retain(|loan| loan.slots > 0);
        let returned = returned.into_iter();
        returned
            .map(|(peer, slots)| (Recipient::Incarnation(peer), SlotMessageBody::Return(slots)))
            .collect()
    }

    /// Lends up to `slots` slots, but at most half of the free ones; none while
    /// tasks are queued.
    pub fn lend(&mut self, now: Now, borrower: &Member, slots: u32) -> Vec<WorkerSlots> {
        self.lending
            .record_request_from(now.mono_ms, &borrower.name);
        if !self.is_lending_enabled() || self.queue.first().is_some() {
            return Vec::new();
        }
        let run_log2 = self.run_times.mean_log2();
        self.workers.expire_timers(now.mono_ms, run_log2);
        let lent = self.workers.lend(now.mono_ms, run_log2, slots);
        let loan_ms = self.settings.placement.loan_ms;
        for worker in &lent {
            self.lending.lend(now.mono_ms, borrower, *worker, loan_ms);
        }
        self.stats.slots_lent += lent.len() as u64;
        let mut by_worker: BTreeMap<Arc<str>, u32> = BTreeMap::new();
        for worker in lent.into_iter().filter_map(|id| self.workers.name(id)) {
            *by_worker.entry(worker).or_default() += 1;
        }
        let by_worker = by_worker.into_iter();
        by_worker
            .map(|(worker, slots)| WorkerSlots { worker, slots })
            .collect()
    }

    /// Records a peer's answer and starts queued tasks on the slots that it lent.
    pub fn borrow(
        &mut self,
        now: Now,
        lender: &Member,
        lent: Vec<(WorkerId, Worker, u32)>,
        loan_ms: u64,
        out: &mut Vec<Command>,
    ) {
        self.stats.slots_refused += u64::from(lent.is_empty());
        self.lending
            .record_answer(now.mono_ms, &lender.name, !lent.is_empty());
        let run_log2 = self.run_times.mean_log2();
        for (worker, declared, slots) in lent {
            self.workers
                .borrow(now.mono_ms, run_log2, worker, declared, slots);
            self.stats.slots_borrowed += u64::from(slots);
            self.lending.borrowed.push(Loan {
                peer: lender.clone(),
                worker,
                slots,
                until_ms: now.mono_ms + loan_ms,
                expired: false,
            });
        }
        self.dispatch(now, out);
    }

    /// Reclaims returned slots and starts queued tasks on them.
    pub fn reclaim(
        &mut self,
        now: Now,
        borrower: &Member,
        returned: &[(WorkerId, u32)],
        out: &mut Vec<Command>,
    ) {
        let run_log2 = self.run_times.mean_log2();
        for (worker, slots) in returned {
            let taken = self.lending.reclaim(borrower, *worker, *slots);
            self.workers.reclaim(now.mono_ms, run_log2, *worker, taken);
        }
        self.dispatch(now, out);
    }
}
