//! Simulation of a failure domain in virtual time: instances, network, store and the
//! platform's instance list, with faults in each. Records which instances start a key.

#![allow(dead_code)]

pub mod faults;
pub mod handover;
mod processes;
pub mod store;

use std::collections::{BTreeMap, BTreeSet};

use handover::Memory;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use store::{FakeStore, Reply};
use trefoil_core::key::JobKey;
use trefoil_core::membership::{
    Command, Event, ListedInstance, Membership, MembershipParams, Route,
};
use trefoil_core::time::Now;
use trefoil_core::view::Member;
use trefoil_schema::peer::message::Body;

/// Unix time at the start of a simulation.
pub const EPOCH_MS: u64 = 1_700_000_000_000;
pub const DOMAIN: &str = "a";

/// Behavior of the network.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    pub loss_percent: u32,
    pub duplicate_percent: u32,
    pub delay_max_ms: u64,
}

pub const RELIABLE: Network = Network {
    loss_percent: 0,
    duplicate_percent: 0,
    delay_max_ms: 3,
};

/// A process that runs or has ended.
pub struct Node {
    pub member: Member,
    pub alive: bool,
    pub frozen_until_ms: u64,
    pub clock_offset_ms: i64,
    pub membership: Membership,
    /// Keys admitted by this incarnation.
    admitted: BTreeSet<JobKey>,
    memory: Memory,
    initialized: bool,
}

enum SimEvent {
    Tick(usize, u64),
    Message {
        to: usize,
        from: Member,
        body: Body,
    },
    Refused {
        to: usize,
        incarnation: u64,
        member: Member,
    },
    Store {
        to: usize,
        incarnation: u64,
        reply: Reply,
    },
    InstanceList {
        lag_ms: u64,
    },
    Submit {
        at: usize,
        key: JobKey,
        hops: u32,
    },
    Start {
        at: usize,
        incarnation: u64,
        key: JobKey,
    },
    Resume(usize),
}

/// The state of a simulation.
pub struct Simulation {
    pub now_ms: u64,
    pub rng: ChaCha8Rng,
    pub params: MembershipParams,
    pub network: Network,
    pub nodes: Vec<Node>,
    pub store: FakeStore,
    /// Pairs of sender and recipient whose messages are dropped.
    pub partitions: BTreeSet<(usize, usize)>,
    /// Instances that cannot reach the store.
    pub store_partitions: BTreeSet<usize>,
    /// Whether instances learn of ended processes, by the platform's list and by refused
    /// connections.
    pub platform_reports_exits: bool,
    /// Rules of the handover; `None` if leaving instances do not hand their memory over.
    pub handover: Option<handover::HandoverRules>,
    /// Keys that a successor reported as never started.
    pub reported_never_started: BTreeSet<JobKey>,
    /// The instances that started each key.
    pub starts: BTreeMap<JobKey, BTreeSet<Member>>,
    queue: BTreeMap<(u64, u64), SimEvent>,
    deferred: BTreeMap<usize, Vec<SimEvent>>,
    lists: Vec<(u64, Vec<ListedInstance>)>,
    sequence: u64,
}

impl Simulation {
    /// Creates `count` instances that start at about the same time.
    pub fn new(seed: u64, count: usize, params: MembershipParams) -> Self {
        let mut sim = Self {
            now_ms: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            params,
            network: RELIABLE,
            nodes: Vec::new(),
            store: FakeStore::default(),
            partitions: BTreeSet::new(),
            store_partitions: BTreeSet::new(),
            platform_reports_exits: true,
            handover: None,
            reported_never_started: BTreeSet::new(),
            starts: BTreeMap::new(),
            queue: BTreeMap::new(),
            deferred: BTreeMap::new(),
            lists: Vec::new(),
            sequence: 0,
        };
        for index in 0..count {
            let member = Member::new(&format!("n{index}"), 1);
            let membership = sim.membership(&member);
            sim.nodes.push(Node {
                member,
                alive: true,
                frozen_until_ms: 0,
                clock_offset_ms: 0,
                membership,
                admitted: BTreeSet::new(),
                memory: Memory::default(),
                initialized: false,
            });
            let first_ms = sim.rng.random_range(0..200);
            sim.schedule(first_ms, SimEvent::Tick(index, 1));
        }
        sim.record_list();
        sim.schedule(0, SimEvent::InstanceList { lag_ms: 0 });
        sim
    }

    fn membership(&self, member: &Member) -> Membership {
        let domains = [DOMAIN.to_owned()];
        Membership::new(self.params.clone(), member.clone(), DOMAIN, &domains, "")
    }

    fn schedule(&mut self, delay_ms: u64, event: SimEvent) {
        self.sequence += 1;
        self.queue
            .insert((self.now_ms + delay_ms, self.sequence), event);
    }

    fn record_list(&mut self) {
        let alive = self.nodes.iter().filter(|node| node.alive);
        let list = alive.map(|node| ListedInstance {
            member: node.member.clone(),
            domain: DOMAIN.to_owned(),
            address: node.member.name.clone(),
            leaving: false,
        });
        self.lists.push((self.now_ms, list.collect()));
    }

    fn list_at(&self, at_ms: u64) -> Vec<ListedInstance> {
        let latest = self.lists.iter().rev().find(|(since, _)| *since <= at_ms);
        latest.unwrap_or(&self.lists[0]).1.clone()
    }

    /// Wall clock time of an instance.
    pub fn wall_ms(&self, index: usize) -> u64 {
        (EPOCH_MS + self.now_ms).saturating_add_signed(self.nodes[index].clock_offset_ms)
    }

    /// Creates a new key with an issue time.
    pub fn key(&mut self, issued_ms: u64) -> JobKey {
        self.sequence += 1;
        JobKey::parse(&format!("{issued_ms:013}-k{}", self.sequence)).expect("a valid key")
    }

    /// Submits a key at an instance after a delay.
    pub fn submit(&mut self, at: usize, key: &JobKey, after_ms: u64) {
        let key = key.clone();
        self.schedule(after_ms, SimEvent::Submit { at, key, hops: 0 });
    }

    /// Indices of running processes.
    pub fn alive(&self) -> Vec<usize> {
        let all = 0..self.nodes.len();
        all.filter(|index| self.nodes[*index].alive).collect()
    }

    /// Processes the events of the next `for_ms` milliseconds.
    pub fn run(&mut self, for_ms: u64) {
        let until_ms = self.now_ms + for_ms;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > until_ms {
                break;
            }
            let ((at_ms, _), event) = entry.remove_entry();
            self.now_ms = self.now_ms.max(at_ms);
            self.process(event);
        }
        self.now_ms = until_ms;
    }

    fn process(&mut self, event: SimEvent) {
        let target = match &event {
            SimEvent::Tick(at, _) | SimEvent::Submit { at, .. } => Some(*at),
            SimEvent::Start { at, .. } => Some(*at),
            SimEvent::Message { to, .. } | SimEvent::Refused { to, .. } => Some(*to),
            SimEvent::Store { to, .. } => Some(*to),
            SimEvent::InstanceList { .. } | SimEvent::Resume(_) => None,
        };
        if let Some(index) = target {
            let node = &self.nodes[index];
            if !node.alive {
                return;
            }
            if node.frozen_until_ms > self.now_ms {
                self.deferred.entry(index).or_default().push(event);
                return;
            }
        }
        self.handle(event);
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Tick(at, incarnation) => self.tick(at, incarnation),
            SimEvent::Message { to, from, body } => self.deliver(to, Event::Message { from, body }),
            SimEvent::Refused {
                to,
                incarnation,
                member,
            } => {
                if self.nodes[to].member.incarnation == incarnation {
                    self.deliver(to, Event::ConnectionRefused(member));
                }
            }
            SimEvent::Store {
                to,
                incarnation,
                reply,
            } => {
                if self.nodes[to].member.incarnation == incarnation {
                    self.deliver(to, reply.into_event());
                }
            }
            SimEvent::InstanceList { lag_ms } => self.publish_list(lag_ms),
            SimEvent::Submit { at, key, hops } => self.route(at, key, hops),
            SimEvent::Start {
                at,
                incarnation,
                key,
            } => {
                let member = self.nodes[at].member.clone();
                if member.incarnation == incarnation {
                    self.starts.entry(key).or_default().insert(member);
                }
            }
            SimEvent::Resume(index) => {
                for event in self.deferred.remove(&index).unwrap_or_default() {
                    self.process(event);
                }
            }
        }
    }

    fn tick(&mut self, at: usize, incarnation: u64) {
        if self.nodes[at].member.incarnation != incarnation {
            return;
        }
        if !std::mem::replace(&mut self.nodes[at].initialized, true) {
            self.deliver_initial_list(at);
        }
        let entropy = self.rng.random();
        self.deliver(at, Event::Tick { entropy });
        self.hand_over_if_removed(at);
        let period_ms = self.params.heartbeat_ms;
        self.schedule(period_ms, SimEvent::Tick(at, incarnation));
    }

    /// Delivers the platform's list to a new process, or else the names of its peers, as
    /// known from settings.
    fn deliver_initial_list(&mut self, at: usize) {
        let mut list = self.list_at(self.now_ms);
        if !self.platform_reports_exits {
            list.clone_from(&self.lists[0].1);
            list.iter_mut().for_each(|item| item.member.incarnation = 0);
        }
        self.deliver(at, Event::PlatformList(list));
    }

    fn publish_list(&mut self, lag_ms: u64) {
        let list = self.list_at(self.now_ms.saturating_sub(lag_ms));
        if self.platform_reports_exits && !self.store.down {
            for index in self.alive() {
                if self.nodes[index].frozen_until_ms <= self.now_ms {
                    self.deliver(index, Event::PlatformList(list.clone()));
                }
            }
        }
        let lag_ms = self.rng.random_range(0..4_000);
        self.schedule(5_000, SimEvent::InstanceList { lag_ms });
    }

    fn route(&mut self, at: usize, key: JobKey, hops: u32) {
        let incarnation = self.nodes[at].member.incarnation;
        match self.nodes[at].membership.route(&key) {
            Route::Local if self.nodes[at].memory.refuses_new(self.handover) => {}
            Route::Local if self.nodes[at].admitted.insert(key.clone()) => {
                let delay_ms = self.rng.random_range(0..50);
                let start = SimEvent::Start {
                    at,
                    incarnation,
                    key,
                };
                self.schedule(delay_ms, start);
            }
            Route::OwnerLost => self.recall(at, &key),
            Route::Peer(member) if hops == 0 => {
                let mut nodes = self.nodes.iter();
                let to = nodes.position(|node| node.member.name == member.name);
                let delay_ms = self.rng.random_range(0..=self.network.delay_max_ms);
                let to = to.filter(|to| !self.partitions.contains(&(at, *to)));
                if let Some(at) = to {
                    let forwarded = SimEvent::Submit { at, key, hops: 1 };
                    self.schedule(delay_ms, forwarded);
                }
            }
            _ => {}
        }
    }

    /// Delivers an event to an instance and executes the resulting commands.
    pub fn deliver(&mut self, index: usize, event: Event) {
        let now = Now {
            mono_ms: self.now_ms,
            wall_ms: self.wall_ms(index),
        };
        let mut commands = Vec::new();
        let node = &mut self.nodes[index];
        node.membership.handle(now, event, &mut commands);
        for command in commands {
            self.execute(index, command);
        }
    }

    fn execute(&mut self, index: usize, command: Command) {
        let incarnation = self.nodes[index].member.incarnation;
        let reachable = !self.store_partitions.contains(&index);
        let replies = match command {
            Command::Send { to, body, .. } => return self.send(index, &to, body),
            Command::ReadStore { domain } => {
                vec![self.store.read(domain, reachable, &mut self.rng)]
            }
            Command::CompareAndSwap {
                log,
                expected_mod_revision,
                ..
            } => self
                .store
                .write(log, expected_mod_revision, reachable, &mut self.rng),
            _ => return,
        };
        for (delay_ms, reply) in replies {
            let to = index;
            self.schedule(
                delay_ms,
                SimEvent::Store {
                    to,
                    incarnation,
                    reply,
                },
            );
        }
    }

    fn send(&mut self, index: usize, to: &Member, body: Body) {
        let target = self.nodes.iter().position(|n| n.member.name == to.name);
        let Some(target) = target.filter(|target| !self.partitions.contains(&(index, *target)))
        else {
            return;
        };
        let from = self.nodes[index].member.clone();
        let delay_ms = self.rng.random_range(0..=self.network.delay_max_ms);
        if !self.nodes[target].alive {
            if self.platform_reports_exits && self.rng.random_ratio(1, 8) {
                let incarnation = from.incarnation;
                let member = self.nodes[target].member.clone();
                self.schedule(
                    delay_ms,
                    SimEvent::Refused {
                        to: index,
                        incarnation,
                        member,
                    },
                );
            }
            return;
        }
        if self.rng.random_range(0..100) < self.network.duplicate_percent {
            let (from, body) = (from.clone(), body.clone());
            let late_ms = delay_ms + self.rng.random_range(0..2_000);
            self.schedule(
                late_ms,
                SimEvent::Message {
                    to: target,
                    from,
                    body,
                },
            );
        }
        if self.rng.random_range(0..100) >= self.network.loss_percent {
            self.schedule(
                delay_ms,
                SimEvent::Message {
                    to: target,
                    from,
                    body,
                },
            );
        }
    }
}
