//! A failure domain in virtual time: instances, a network, a store, a platform
//! list, and faults in all of them. It records which instance starts each key.

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

/// Unix time at the start of every history.
pub const EPOCH_MS: u64 = 1_700_000_000_000;
pub const DOMAIN: &str = "a";

/// What the network does to messages.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    pub loss_percent: u32,
    pub duplicate_percent: u32,
    pub delay_max_ms: u64,
}

pub const CALM: Network = Network {
    loss_percent: 0,
    duplicate_percent: 0,
    delay_max_ms: 3,
};

/// A process, or the place where one was.
pub struct Node {
    pub member: Member,
    pub alive: bool,
    pub frozen_until_ms: u64,
    pub clock_offset_ms: i64,
    pub membership: Membership,
    /// Keys admitted here.
    seen: BTreeSet<JobKey>,
    memory: Memory,
    introduced: bool,
}

enum Happening {
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
    List {
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
    Thaw(usize),
}

/// The whole of a history.
pub struct World {
    pub now_ms: u64,
    pub rng: ChaCha8Rng,
    pub params: MembershipParams,
    pub network: Network,
    pub nodes: Vec<Node>,
    pub store: FakeStore,
    /// Pairs of instances that do not reach each other.
    pub cuts: BTreeSet<(usize, usize)>,
    /// Instances that do not reach the store.
    pub store_cuts: BTreeSet<usize>,
    /// Whether the platform tells who ended.
    pub platform_tells: bool,
    /// How leavers hand their memory over; `None` for not at all.
    pub handover: Option<handover::Rules>,
    /// Keys of which a successor said that they never started.
    pub denied: BTreeSet<JobKey>,
    /// Who started each key.
    pub starts: BTreeMap<JobKey, BTreeSet<Member>>,
    queue: BTreeMap<(u64, u64), Happening>,
    waiting: BTreeMap<usize, Vec<Happening>>,
    lists: Vec<(u64, Vec<ListedInstance>)>,
    sequence: u64,
}

impl World {
    /// `count` instances that start at about the same time.
    pub fn new(seed: u64, count: usize, params: MembershipParams) -> Self {
        let mut world = Self {
            now_ms: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            params,
            network: CALM,
            nodes: Vec::new(),
            store: FakeStore::default(),
            cuts: BTreeSet::new(),
            store_cuts: BTreeSet::new(),
            platform_tells: true,
            handover: None,
            denied: BTreeSet::new(),
            starts: BTreeMap::new(),
            queue: BTreeMap::new(),
            waiting: BTreeMap::new(),
            lists: Vec::new(),
            sequence: 0,
        };
        for index in 0..count {
            let member = Member::new(&format!("n{index}"), 1);
            let membership = world.membership(&member);
            world.nodes.push(Node {
                member,
                alive: true,
                frozen_until_ms: 0,
                clock_offset_ms: 0,
                membership,
                seen: BTreeSet::new(),
                memory: Memory::default(),
                introduced: false,
            });
            let first_ms = world.rng.random_range(0..200);
            world.after(first_ms, Happening::Tick(index, 1));
        }
        world.note_list();
        world.after(0, Happening::List { lag_ms: 0 });
        world
    }

    fn membership(&self, member: &Member) -> Membership {
        let domains = [DOMAIN.to_owned()];
        Membership::new(self.params.clone(), member.clone(), DOMAIN, &domains, "")
    }

    fn after(&mut self, delay_ms: u64, happening: Happening) {
        self.sequence += 1;
        self.queue
            .insert((self.now_ms + delay_ms, self.sequence), happening);
    }

    fn note_list(&mut self) {
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
        let older = self.lists.iter().rev().find(|(since, _)| *since <= at_ms);
        older.unwrap_or(&self.lists[0]).1.clone()
    }

    /// Wall clock of an instance.
    pub fn wall_ms(&self, index: usize) -> u64 {
        (EPOCH_MS + self.now_ms).saturating_add_signed(self.nodes[index].clock_offset_ms)
    }

    /// A fresh key with that issue time.
    pub fn key(&mut self, issued_ms: u64) -> JobKey {
        self.sequence += 1;
        JobKey::parse(&format!("{issued_ms:013}-k{}", self.sequence)).expect("a valid key")
    }

    /// A caller sends a key to an instance after a time.
    pub fn submit(&mut self, at: usize, key: &JobKey, after_ms: u64) {
        let key = key.clone();
        self.after(after_ms, Happening::Submit { at, key, hops: 0 });
    }

    /// Indices of running processes.
    pub fn alive(&self) -> Vec<usize> {
        let all = 0..self.nodes.len();
        all.filter(|index| self.nodes[*index].alive).collect()
    }

    /// Lets time pass.
    pub fn run(&mut self, for_ms: u64) {
        let until_ms = self.now_ms + for_ms;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > until_ms {
                break;
            }
            let ((at_ms, _), happening) = entry.remove_entry();
            self.now_ms = self.now_ms.max(at_ms);
            self.happen(happening);
        }
        self.now_ms = until_ms;
    }

    fn happen(&mut self, happening: Happening) {
        let target = match &happening {
            Happening::Tick(at, _) | Happening::Submit { at, .. } => Some(*at),
            Happening::Start { at, .. } => Some(*at),
            Happening::Message { to, .. } | Happening::Refused { to, .. } => Some(*to),
            Happening::Store { to, .. } => Some(*to),
            Happening::List { .. } | Happening::Thaw(_) => None,
        };
        if let Some(index) = target {
            let node = &self.nodes[index];
            if !node.alive {
                return;
            }
            if node.frozen_until_ms > self.now_ms {
                self.waiting.entry(index).or_default().push(happening);
                return;
            }
        }
        self.act(happening);
    }

    fn act(&mut self, happening: Happening) {
        match happening {
            Happening::Tick(at, incarnation) => self.tick(at, incarnation),
            Happening::Message { to, from, body } => {
                self.deliver(to, Event::Message { from, body })
            }
            Happening::Refused {
                to,
                incarnation,
                member,
            } => {
                if self.nodes[to].member.incarnation == incarnation {
                    self.deliver(to, Event::ConnectionRefused(member));
                }
            }
            Happening::Store {
                to,
                incarnation,
                reply,
            } => {
                if self.nodes[to].member.incarnation == incarnation {
                    self.deliver(to, reply.into_event());
                }
            }
            Happening::List { lag_ms } => self.tell_list(lag_ms),
            Happening::Submit { at, key, hops } => self.route(at, key, hops),
            Happening::Start {
                at,
                incarnation,
                key,
            } => {
                let member = self.nodes[at].member.clone();
                if member.incarnation == incarnation {
                    self.starts.entry(key).or_default().insert(member);
                }
            }
            Happening::Thaw(index) => {
                for waiting in self.waiting.remove(&index).unwrap_or_default() {
                    self.happen(waiting);
                }
            }
        }
    }

    fn tick(&mut self, at: usize, incarnation: u64) {
        if self.nodes[at].member.incarnation != incarnation {
            return;
        }
        if !std::mem::replace(&mut self.nodes[at].introduced, true) {
            self.introduce(at);
        }
        let entropy = self.rng.random();
        self.deliver(at, Event::Tick { entropy });
        self.hand_over_if_removed(at);
        let period_ms = self.params.heartbeat_ms;
        self.after(period_ms, Happening::Tick(at, incarnation));
    }

    /// What a process knows from the start: the platform's list or, from its
    /// settings, the names of its peers.
    fn introduce(&mut self, at: usize) {
        let mut list = self.list_at(self.now_ms);
        if !self.platform_tells {
            list.clone_from(&self.lists[0].1);
            list.iter_mut().for_each(|item| item.member.incarnation = 0);
        }
        self.deliver(at, Event::PlatformList(list));
    }

    fn tell_list(&mut self, lag_ms: u64) {
        let list = self.list_at(self.now_ms.saturating_sub(lag_ms));
        if self.platform_tells && !self.store.down {
            for index in self.alive() {
                if self.nodes[index].frozen_until_ms <= self.now_ms {
                    self.deliver(index, Event::PlatformList(list.clone()));
                }
            }
        }
        let lag_ms = self.rng.random_range(0..4_000);
        self.after(5_000, Happening::List { lag_ms });
    }

    fn route(&mut self, at: usize, key: JobKey, hops: u32) {
        let incarnation = self.nodes[at].member.incarnation;
        match self.nodes[at].membership.route(&key) {
            Route::Local if self.nodes[at].memory.refuses_new(self.handover) => {}
            Route::Local if self.nodes[at].seen.insert(key.clone()) => {
                let delay_ms = self.rng.random_range(0..50);
                let start = Happening::Start {
                    at,
                    incarnation,
                    key,
                };
                self.after(delay_ms, start);
            }
            Route::OwnerLost => self.recall(at, &key),
            Route::Peer(member) if hops == 0 => {
                let mut nodes = self.nodes.iter();
                let to = nodes.position(|node| node.member.name == member.name);
                let delay_ms = self.rng.random_range(0..=self.network.delay_max_ms);
                let to = to.filter(|to| !self.cuts.contains(&(at, *to)));
                if let Some(at) = to {
                    let forwarded = Happening::Submit { at, key, hops: 1 };
                    self.after(delay_ms, forwarded);
                }
            }
            _ => {}
        }
    }

    /// Hands an event to an instance and carries out its commands.
    pub fn deliver(&mut self, index: usize, event: Event) {
        let now = Now {
            mono_ms: self.now_ms,
            wall_ms: self.wall_ms(index),
        };
        let mut commands = Vec::new();
        let node = &mut self.nodes[index];
        node.membership.handle(now, event, &mut commands);
        for command in commands {
            self.carry_out(index, command);
        }
    }

    fn carry_out(&mut self, index: usize, command: Command) {
        let incarnation = self.nodes[index].member.incarnation;
        let reached = !self.store_cuts.contains(&index);
        let replies = match command {
            Command::Send { to, body, .. } => return self.send(index, &to, body),
            Command::ReadStore { domain } => vec![self.store.read(domain, reached, &mut self.rng)],
            Command::CompareAndSwap {
                log,
                expected_mod_revision,
                ..
            } => self
                .store
                .write(log, expected_mod_revision, reached, &mut self.rng),
            _ => return,
        };
        for (delay_ms, reply) in replies {
            let to = index;
            self.after(
                delay_ms,
                Happening::Store {
                    to,
                    incarnation,
                    reply,
                },
            );
        }
    }

    fn send(&mut self, index: usize, to: &Member, body: Body) {
        let target = self.nodes.iter().position(|n| n.member.name == to.name);
        let Some(target) = target.filter(|target| !self.cuts.contains(&(index, *target))) else {
            return;
        };
        let from = self.nodes[index].member.clone();
        let delay_ms = self.rng.random_range(0..=self.network.delay_max_ms);
        if !self.nodes[target].alive {
            if self.platform_tells && self.rng.random_ratio(1, 8) {
                let incarnation = from.incarnation;
                let member = self.nodes[target].member.clone();
                self.after(
                    delay_ms,
                    Happening::Refused {
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
            self.after(
                late_ms,
                Happening::Message {
                    to: target,
                    from,
                    body,
                },
            );
        }
        if self.rng.random_range(0..100) >= self.network.loss_percent {
            self.after(
                delay_ms,
                Happening::Message {
                    to: target,
                    from,
                    body,
                },
            );
        }
    }
}
