//! Leavers that hand their memory over, and what successors say of keys.

use std::collections::BTreeSet;

use trefoil_core::handover::{Absence, Scope, Scopes};
use trefoil_core::key::JobKey;
use trefoil_core::view::Succession;

use super::World;

/// How memory is handed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rules {
    /// As the product does.
    Kept,
    /// A rule is broken on purpose.
    Broken(Broken),
}

/// Rules that tests break to show that the check sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// The leaver goes on admitting keys.
    AdmitsAfterwards,
    /// The word that this is all also counts for keys that former owners may
    /// have admitted.
    FormerOwners,
    /// It counts for any way through the same last instance.
    LastStepOnly,
    /// Keys taken over from others are not handed on.
    OwnKeysOnly,
}

/// What an instance took over, and whether it has handed all on.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    taken: BTreeSet<JobKey>,
    scopes: Scopes,
    left: bool,
}

impl Memory {
    pub fn refuses_new(&self, rules: Option<Rules>) -> bool {
        self.left && rules != Some(Rules::Broken(Broken::AdmitsAfterwards))
    }
}

impl World {
    /// Hands memory over once the view no longer has a leaver, and ends it.
    pub fn hand_over_if_removed(&mut self, at: usize) {
        let node = &self.nodes[at];
        let due = node.membership.leaving() && !node.membership.in_newest_view();
        let known = node.membership.view_log(super::DOMAIN).is_some();
        let Some(rules) = self.handover.filter(|_| due && known) else {
            return;
        };
        if self.nodes[at].memory.left {
            // A period later: keys admitted afterwards, if any, have started.
            return self.kill(at);
        }
        self.nodes[at].memory.left = true;
        self.hand_over(at, rules);
        let mut commands = Vec::new();
        self.nodes[at].membership.announce_exit(&mut commands);
        for command in commands {
            self.carry_out(at, command);
        }
    }

    fn hand_over(&mut self, at: usize, rules: Rules) {
        let node = &self.nodes[at];
        let me = node.member.clone();
        let log = node.membership.view_log(super::DOMAIN).unwrap().log.clone();
        let right = node.membership.handover_scope(0);
        let own = match rules {
            Rules::Broken(Broken::FormerOwners) => Scope {
                from_ms: 0,
                ..right
            },
            _ => right,
        };
        let scopes = node.memory.scopes.outgoing_scopes(&me, own, 0);
        let mut keys = node.seen.clone();
        if rules != Rules::Broken(Broken::OwnKeysOnly) {
            keys.extend(node.memory.taken.iter().cloned());
        }
        for heir in log.successors(&me) {
            let Some(to) = self.reached_for_handover(at, &heir) else {
                continue;
            };
            let memory = &mut self.nodes[to].memory;
            let holds = |key: &&JobKey| {
                let succession = log.succession(key, |member| *member == me);
                succession.is_some_and(|succession| succession.holder == heir)
            };
            memory.taken.extend(keys.iter().filter(holds).cloned());
            scopes.iter().for_each(|scope| memory.scopes.insert(scope));
        }
    }

    fn reached_for_handover(&self, at: usize, heir: &trefoil_core::view::Member) -> Option<usize> {
        let to = self.nodes.iter().position(|node| node.member == *heir)?;
        let node = &self.nodes[to];
        let awake = node.alive && node.frozen_until_ms <= self.now_ms;
        let reached = !self.cuts.contains(&(at, to));
        (awake && reached && !node.memory.left).then_some(to)
    }

    /// Answers for a key whose owner is lost, as its successor if it is one.
    pub fn recall(&mut self, at: usize, key: &JobKey) {
        let node = &self.nodes[at];
        let Some((succession, version)) = node.membership.succession(key) else {
            return;
        };
        let known = node.memory.taken.contains(key) || node.seen.contains(key);
        if succession.holder != node.member || known {
            return;
        }
        let absence = match self.handover {
            Some(Rules::Broken(Broken::LastStepOnly)) => {
                let last = succession.path.last().cloned();
                let short = Succession {
                    path: last.into_iter().collect(),
                    ..succession
                };
                node.memory.scopes.absence(key, &short, version)
            }
            _ => node.memory.scopes.absence(key, &succession, version),
        };
        if absence == Absence::NeverStarted {
            self.denied.insert(key.clone());
        }
    }
}
