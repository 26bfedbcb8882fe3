//! Limit on the memory that is in use for one purpose.

use std::cell::Cell;
use std::rc::Rc;

use trefoil_core::dispatch::footprint;

/// Memory that reservations share.
#[derive(Debug)]
pub(crate) struct MemoryBudget {
    bytes_max: u64,
    used_bytes: Cell<u64>,
}

impl MemoryBudget {
    pub(crate) fn new(bytes_max: u64) -> Rc<Self> {
        Rc::new(Self {
            bytes_max,
            used_bytes: Cell::new(0),
        })
    }

    /// Reserves memory; `None` if it does not [fit](footprint::fits).
    pub(crate) fn try_reserve(self: &Rc<Self>, bytes: u64) -> Option<Reservation> {
        let used_bytes = self.used_bytes.get();
        if !footprint::fits(used_bytes, bytes, self.bytes_max) {
            return None;
        }
        self.used_bytes.set(used_bytes + bytes);
        Some(Reservation {
            budget: Rc::clone(self),
            bytes,
        })
    }
}

/// Returns its memory to the budget when dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    budget: Rc<MemoryBudget>,
    bytes: u64,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let used_bytes = self.budget.used_bytes.get();
        self.budget.used_bytes.set(used_bytes - self.bytes);
    }
}
