//! Lifecycle of simulated processes.

use std::collections::BTreeSet;

use trefoil_core::membership::Event;

use super::{Memory, Node, SimEvent, Simulation};

impl Simulation {
    pub fn kill(&mut self, index: usize) {
        self.nodes[index].alive = false;
        self.deferred.remove(&index);
        self.record_list();
    }

    /// Starts a new incarnation. Ends the previous one if it is running.
    pub fn restart(&mut self, index: usize) {
        self.kill(index);
        let mut member = self.nodes[index].member.clone();
        member.incarnation += 1;
        let node = Node {
            membership: self.membership(&member),
            alive: true,
            frozen_until_ms: 0,
            clock_offset_ms: self.nodes[index].clock_offset_ms,
            admitted: BTreeSet::new(),
            memory: Memory::default(),
            initialized: false,
            member: member.clone(),
        };
        self.nodes[index] = node;
        self.record_list();
        self.schedule(0, SimEvent::Tick(index, member.incarnation));
    }

    /// Suspends a process for a time; its events are deferred.
    pub fn freeze(&mut self, index: usize, for_ms: u64) {
        let until_ms = self.now_ms + for_ms;
        self.nodes[index].frozen_until_ms = until_ms;
        self.schedule(for_ms, SimEvent::Resume(index));
    }

    pub fn leave(&mut self, index: usize) {
        self.deliver(index, Event::Leave);
    }
}
