//! Each class's share of the room.
//!
//! Load pattern: one class sends several times what it usually does. By due
//! times or priority alone it would take all room, and the others' jobs would
//! be refused for it. So every class that has work has a claim on an equal
//! share; a class that uses more than that waits behind those that use less.
//! What they leave, it takes: nothing is reserved for a class without work.

use std::collections::HashMap;

/// Room in use, by class.
#[derive(Clone, Debug, Default)]
pub(super) struct Shares {
    used_millicores: HashMap<String, u64>,
    total_millicores: u64,
}

impl Shares {
    /// A class has jobs; its runs take so much, thousandths of a core.
    pub(super) fn uses(&mut self, class: &str, millicores: u64) {
        self.total_millicores += millicores;
        if let Some(used) = self.used_millicores.get_mut(class) {
            *used += millicores;
            return;
        }
        self.used_millicores.insert(class.to_owned(), millicores);
    }

    /// Whether a class uses more than its share of what is in use.
    pub(super) fn is_over(&self, class: &str) -> bool {
        let used = self.used_millicores.get(class).copied().unwrap_or(0);
        let classes = self.used_millicores.len().max(1) as u64;
        used * classes > self.total_millicores
    }
}
