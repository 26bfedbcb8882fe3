//! What happens to single processes of a history.

use std::collections::BTreeSet;

use trefoil_core::membership::Event;

use super::{Happening, Memory, Node, World};

impl World {
    /// Ends a process.
    pub fn kill(&mut self, index: usize) {
        self.nodes[index].alive = false;
        self.waiting.remove(&index);
        self.note_list();
    }

    /// Starts a process anew; ends the former one first.
    pub fn restart(&mut self, index: usize) {
        self.kill(index);
        let mut member = self.nodes[index].member.clone();
        member.incarnation += 1;
        let node = Node {
            membership: self.membership(&member),
            alive: true,
            frozen_until_ms: 0,
            clock_offset_ms: self.nodes[index].clock_offset_ms,
            seen: BTreeSet::new(),
            memory: Memory::default(),
            introduced: false,
            member: member.clone(),
        };
        self.nodes[index] = node;
        self.note_list();
        self.after(0, Happening::Tick(index, member.incarnation));
    }

    /// Stops a process for a time; what reaches it waits.
    pub fn freeze(&mut self, index: usize, for_ms: u64) {
        let until_ms = self.now_ms + for_ms;
        self.nodes[index].frozen_until_ms = until_ms;
        self.after(for_ms, Happening::Thaw(index));
    }

    /// Tells an instance to leave.
    pub fn leave(&mut self, index: usize) {
        self.deliver(index, Event::Leave);
    }
}
