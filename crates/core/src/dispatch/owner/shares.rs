//! Fair sharing of capacity between job classes.
//!
//! Prevents a class that submits several times its usual load from starving the
//! others, which would happen with deadlines or priorities alone. Every class
//! with jobs is entitled to an equal share of the CPU in use; a class above its
//! share queues behind those below theirs. Sharing is work-conserving: nothing is
//! reserved for a class without jobs.

use std::collections::HashMap;

/// CPU in use by class, in millicores.
#[derive(Clone, Debug, Default)]
pub(super) struct Shares {
    used_millicores: HashMap<String, u64>,
    total_millicores: u64,
}

impl Shares {
    /// Records that a class has jobs, and adds `millicores` to its usage.
    pub(super) fn record_usage(&mut self, class: &str, millicores: u64) {
        self.total_millicores += millicores;
        if let Some(used) = self.used_millicores.get_mut(class) {
            *used += millicores;
            return;
        }
        self.used_millicores.insert(class.to_owned(), millicores);
    }

    /// Whether a class uses more than an equal share of the CPU in use.
    pub(super) fn is_over_share(&self, class: &str) -> bool {
        let used = self.used_millicores.get(class).copied().unwrap_or(0);
        let classes = self.used_millicores.len().max(1) as u64;
        used * classes > self.total_millicores
    }
}
