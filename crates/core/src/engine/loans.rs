//! The engine's part in loans of slots: pools by service, workers by name.

use std::sync::Arc;

use super::Engine;
use super::command::Command;
use super::lending::{SlotMessage, WorkerSlots};
use crate::time::Now;

impl Engine {
    /// Returns idle borrowed slots and asks for those that lack; to be called
    /// as often as [`Self::tick`], by an instance that has peers.
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

    /// Answers a peer that asks for slots; nothing is lent while tasks wait.
    pub fn lend_slots(
        &self,
        now: Now,
        borrower: &str,
        service: &str,
        slots: u32,
    ) -> Vec<WorkerSlots> {
        let registry = self.registry();
        let Some(pool) = registry.pool(service) else {
            return Vec::new();
        };
        pool.lock().lend(now, borrower, slots)
    }

    /// Takes a peer's answer, which may lend nothing.
    pub fn borrow_slots(
        &self,
        now: Now,
        lender: &str,
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

    /// Takes back what a borrower returns.
    pub fn reclaim_slots(
        &self,
        now: Now,
        borrower: &str,
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
