//! Loans of slots: resolves service and worker names for the pools.

use std::sync::Arc;

use super::Engine;
use super::command::Command;
use super::lending::{SlotMessage, WorkerSlots};
use crate::time::Now;
use crate::view::Member;

impl Engine {
    /// Returns idle borrowed slots and requests loans for queued tasks.
    ///
    /// An instance with peers calls this as often as [`Self::tick`].
    pub fn balance_slots(&self, now: Now, out: &mut Vec<Command>) -> Vec<SlotMessage> {
        let registry = self.registry();
        let mut messages = Vec::new();
        for (service, pool) in registry.services() {
            let pool_messages = pool.lock().balance(now, out);
            messages.extend(pool_messages.into_iter().map(|(to, body)| SlotMessage {
                to,
                service: Arc::clone(service),
                body,
            }));
        }
        messages
    }

    /// Answers a peer's request for slots; empty while tasks of the service are
    /// queued here.
    pub fn lend_slots(
        &self,
        now: Now,
        borrower: &Member,
        service: &str,
        slots: u32,
    ) -> Vec<WorkerSlots> {
        let registry = self.registry();
        let Some(pool) = registry.pool(service) else {
            return Vec::new();
        };
        pool.lock().lend(now, borrower, slots)
    }

    /// Processes a peer's answer to a request; `lent` may be empty.
    pub fn borrow_slots(
        &self,
        now: Now,
        lender: &Member,
        service: &str,
        lent: &[WorkerSlots],
        loan_ms: u64,
        out: &mut Vec<Command>,
    ) {
        let registry = self.registry();
        let Some(pool) = registry.pool(service) else {
            return;
        };
        let known = lent.iter().filter_map(|lent| {
            let (id, worker) = registry.worker(&lent.worker)?;
            Some((id, worker, lent.slots))
        });
        let known = known.collect();
        pool.lock().borrow(now, lender, known, loan_ms, out);
    }

    /// Takes back slots that a borrower returned.
    pub fn reclaim_slots(
        &self,
        now: Now,
        borrower: &Member,
        service: &str,
        returned: &[WorkerSlots],
        out: &mut Vec<Command>,
    ) {
        let registry = self.registry();
        let Some(pool) = registry.pool(service) else {
            return;
        };
        let known = returned.iter().filter_map(|slots| {
            let (id, _) = registry.worker(&slots.worker)?;
            Some((id, slots.slots))
        });
        let known: Vec<_> = known.collect();
        pool.lock().reclaim(now, borrower, &known, out);
    }
}
