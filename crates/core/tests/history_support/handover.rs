//! Handover of job memory, and answers of successors about keys.

use std::collections::BTreeSet;

use trefoil_core::handover::{Absence, Scope, Scopes};
use trefoil_core::key::JobKey;
use trefoil_core::view::Succession;

use super::Simulation;

/// Rules of the handover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoverRules {
    /// The rules of the implementation.
    Correct,
    Mutated(HandoverMutation),
}

/// A violation of the rules, for mutation tests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoverMutation {
    /// The leaving instance continues to admit keys.
    AdmitAfterHandover,
    /// Scopes include keys that former owners may have admitted.
    IncludeFormerOwners,
    /// Scopes apply to any path with the same last instance.
    MatchLastPathEntry,
    /// Keys received from other instances are not handed over.
    OwnKeysOnly,
}

/// Job memory that an instance has received, and whether it has handed it over.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    keys: BTreeSet<JobKey>,
    scopes: Scopes,
    handed_over: bool,
}

impl Memory {
    pub fn refuses_new(&self, rules: Option<HandoverRules>) -> bool {
        self.handed_over
            && rules != Some(HandoverRules::Mutated(HandoverMutation::AdmitAfterHandover))
    }
}

impl Simulation {
    /// Hands the memory of a leaving instance over once the view does not contain it,
    /// and ends its process.
    pub fn hand_over_if_removed(&mut self, at: usize) {
        let node = &self.nodes[at];
        let due = node.membership.leaving() && !node.membership.in_newest_view();
        let known = node.membership.view_log(super::DOMAIN).is_some();
        let Some(rules) = self.handover.filter(|_| due && known) else {
            return;
        };
        if self.nodes[at].memory.handed_over {
            // One tick after the handover, so that keys admitted in violation of the
            // rules have started.
            return self.kill(at);
        }
        self.nodes[at].memory.handed_over = true;
        self.hand_over(at, rules);
        let mut commands = Vec::new();
        self.nodes[at].membership.announce_exit(&mut commands);
        for command in commands {
            self.execute(at, command);
        }
    }

    fn hand_over(&mut self, at: usize, rules: HandoverRules) {
        let node = &self.nodes[at];
        let me = node.member.clone();
        let log = node.membership.view_log(super::DOMAIN).unwrap().log.clone();
        let correct_scope = node.membership.handover_scope(0);
        let own = match rules {
            HandoverRules::Mutated(HandoverMutation::IncludeFormerOwners) => Scope {
                from_ms: 0,
                ..correct_scope
            },
            _ => correct_scope,
        };
        let scopes = node.memory.scopes.outgoing_scopes(&me, own, 0);
        let mut keys = node.admitted.clone();
        if rules != HandoverRules::Mutated(HandoverMutation::OwnKeysOnly) {
            keys.extend(node.memory.keys.iter().cloned());
        }
        for successor in log.successors(&me) {
            let Some(to) = self.reachable_node(at, &successor) else {
                continue;
            };
            let memory = &mut self.nodes[to].memory;
            let is_holder = |key: &&JobKey| {
                let succession = log.succession(key, |member| *member == me);
                succession.is_some_and(|succession| succession.holder == successor)
            };
            memory.keys.extend(keys.iter().filter(is_holder).cloned());
            scopes.iter().for_each(|scope| memory.scopes.insert(scope));
        }
    }

    fn reachable_node(&self, at: usize, successor: &trefoil_core::view::Member) -> Option<usize> {
        let to = self
            .nodes
            .iter()
            .position(|node| node.member == *successor)?;
        let node = &self.nodes[to];
        let awake = node.alive && node.frozen_until_ms <= self.now_ms;
        let reachable = !self.partitions.contains(&(at, to));
        (awake && reachable && !node.memory.handed_over).then_some(to)
    }

    /// Answers for a key whose owner is lost, if the instance is the successor.
    pub fn recall(&mut self, at: usize, key: &JobKey) {
        let node = &self.nodes[at];
        let Some((succession, version)) = node.membership.succession(key) else {
            return;
        };
        let known = node.memory.keys.contains(key) || node.admitted.contains(key);
        if succession.holder != node.member || known {
            return;
        }
        let absence = match self.handover {
            Some(HandoverRules::Mutated(HandoverMutation::MatchLastPathEntry)) => {
                let last = succession.path.last().cloned();
                let last_only = Succession {
                    path: last.into_iter().collect(),
                    ..succession
                };
                node.memory.scopes.absence(key, &last_only, version)
            }
            _ => node.memory.scopes.absence(key, &succession, version),
        };
        if absence == Absence::NeverStarted {
            self.reported_never_started.insert(key.clone());
        }
    }
}
