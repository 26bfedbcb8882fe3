//! Claims on failure domains, and when to make one.
//!
//! A claim names the owner of a failure domain's workers in a term. Claims are
//! made by compare-and-swap in the platform's store; where the store does not
//! answer, a candidate that still reaches most of the others claims without
//! it. Two claims at once cost time and no promise, since workers obey only
//! the higher fence; the higher claim is the one that everybody follows.
//!
//! A vacancy is filled by the youngest candidate: in a rolling restart it is
//! the one that will not be stopped next.

use std::collections::BTreeMap;

use trefoil_schema::dispatch::{Claim, Node};

use super::limits::{CLAIM_STAGGER_MS, CLAIM_STORE_MS, OWNER_LOST_MS};

/// How long an owner that was outranked by an unknown claim leaves it alone.
const OUTRANKED_PAUSE_MS: u64 = 1500;
/// Pause between writes of a claim that the store does not yet hold.
const REWRITE_MS: u64 = 1000;
/// How long an instance after its start looks for an owner before it takes a
/// claim in the store for vacant: links are dialed in that time.
const SETTLE_MS: u64 = 300;

/// What the shell must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Write a claim, if the record still has this revision (0: none).
    WriteClaim {
        /// The claim.
        claim: Claim,
        /// Revision that was read.
        revision: u64,
    },
    /// This instance owns the workers of its failure domain now.
    Acquired(Claim),
    /// It no longer does.
    Released,
    /// Somebody else's claim was learned: the failure domain's new owner.
    Learned(Claim),
}

/// What became of writing a claim.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimWrite {
    /// The store holds it.
    Written {
        /// Its revision.
        revision: u64,
    },
    /// The store holds another one; it is read anew.
    Conflict,
    /// Unknown, or the store did nothing.
    NoAnswer,
}

/// What is known of another instance.
#[derive(Clone, Debug, Default, PartialEq)]
struct Peer {
    node: Node,
    /// Whether the store lists it.
    listed: bool,
    /// Whether the link to it is up.
    linked: bool,
    /// Since when it has been as `linked` says.
    changed_ms: u64,
    leaving: bool,
}

/// The ownership of failure domains, as one instance knows it.
#[derive(Debug)]
pub struct Ownership {
    me: Node,
    started_ms: u64,
    peers: BTreeMap<String, Peer>,
    claims: BTreeMap<String, Claim>,
    /// Revisions of the store's claim records, with their terms.
    revisions: BTreeMap<String, (u64, u64)>,
    store_read: bool,
    writing: Option<(Claim, u64)>,
    vacant_since_ms: Option<u64>,
    quiet_until_ms: u64,
    owns: bool,
    leaving: bool,
}

impl Ownership {
    /// What an instance knows at its start: nothing.
    pub fn new(now_ms: u64, me: Node) -> Self {
        Self {
            me,
            started_ms: now_ms,
            peers: BTreeMap::new(),
            claims: BTreeMap::new(),
            revisions: BTreeMap::new(),
            store_read: false,
            writing: None,
            vacant_since_ms: None,
            quiet_until_ms: 0,
            owns: false,
            leaving: false,
        }
    }

    /// Whether this instance owns its failure domain's workers.
    pub fn owns(&self) -> bool {
        self.owns
    }

    /// All claims known.
    pub fn claims(&self) -> impl Iterator<Item = &Claim> {
        self.claims.values()
    }

    /// The failure domain that an instance owns, if any.
    pub fn owned_by(&self, name: &str) -> Option<&str> {
        let mut claims = self.claims.values();
        let owner = |claim: &&Claim| claim.owner.as_ref().is_some_and(|node| node.name == name);
        claims
            .find(owner)
            .map(|claim| claim.failure_domain.as_str())
    }

    /// All other instances known, to be linked.
    pub fn peers(&self) -> impl Iterator<Item = &Node> {
        self.peers.values().map(|peer| &peer.node)
    }

    /// Takes in the store's list of instances.
    pub fn set_members(&mut self, now_ms: u64, nodes: Vec<Node>) {
        self.store_read = true;
        for peer in self.peers.values_mut() {
            peer.listed = false;
        }
        for node in nodes {
            if node.name != self.me.name {
                self.peer(now_ms, &node).listed = true;
            }
        }
        self.peers.retain(|_, peer| peer.listed || peer.linked);
    }

    /// The entry of an instance; a new start of it is another instance.
    fn peer(&mut self, now_ms: u64, node: &Node) -> &mut Peer {
        let peer = self.peers.entry(node.name.clone()).or_insert_with(|| Peer {
            changed_ms: now_ms,
            ..Peer::default()
        });
        if peer.node.incarnation < node.incarnation {
            peer.node = node.clone();
            peer.leaving = false;
        }
        peer
    }

    /// A link to an instance is up.
    pub fn linked(&mut self, now_ms: u64, node: &Node) {
        let peer = self.peer(now_ms, node);
        peer.node = node.clone();
        peer.linked = true;
        peer.leaving = false;
        peer.changed_ms = now_ms;
    }

    /// The link to an instance is down.
    pub fn unlinked(&mut self, now_ms: u64, name: &str) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.linked = false;
            peer.changed_ms = now_ms;
        }
    }

    /// An instance says whether it is leaving.
    pub fn heard(&mut self, name: &str, leaving: bool) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.leaving = leaving;
        }
    }

    /// This instance is leaving: it claims nothing more.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Takes in a claim from the store, with its record's revision.
    pub fn stored_claim(&mut self, claim: Claim, revision: u64, out: &mut Vec<Command>) {
        let domain = claim.failure_domain.clone();
        self.revisions.insert(domain, (revision, claim.term));
        self.learn(claim, out);
    }

    /// Takes in a claim from any source; the higher one counts.
    pub fn learn(&mut self, claim: Claim, out: &mut Vec<Command>) {
        let known = self.claims.get(&claim.failure_domain);
        if known.is_some_and(|known| rank(known) >= rank(&claim)) {
            return;
        }
        let own = claim.failure_domain == self.me.failure_domain;
        if own {
            self.vacant_since_ms = None;
            self.writing = None;
            if self.owns {
                self.owns = false;
                out.push(Command::Released);
            }
        }
        out.push(Command::Learned(claim.clone()));
        self.claims.insert(claim.failure_domain.clone(), claim);
    }

    /// A worker obeys a higher fence than this instance's.
    pub fn outranked(&mut self, now_ms: u64, out: &mut Vec<Command>) {
        self.quiet_until_ms = now_ms + OUTRANKED_PAUSE_MS;
        if self.owns {
            self.owns = false;
            out.push(Command::Released);
        }
    }

    /// Takes in what became of writing a claim.
    pub fn claim_written(
        &mut self,
        now_ms: u64,
        claim: &Claim,
        write: &ClaimWrite,
        out: &mut Vec<Command>,
    ) {
        let pending = self.writing.as_ref().is_some_and(|(sent, _)| sent == claim);
        match write {
            ClaimWrite::Written { revision } => {
                let domain = claim.failure_domain.clone();
                self.revisions.insert(domain, (*revision, claim.term));
                if pending {
                    self.acquire(out);
                }
            }
            ClaimWrite::Conflict => self.writing = None,
            ClaimWrite::NoAnswer if pending && !self.owns => {
                // Its fate is unknown; the next tick decides without the store.
                if let Some((_, sent_ms)) = &mut self.writing {
                    *sent_ms = (*sent_ms).min(now_ms.saturating_sub(CLAIM_STORE_MS));
                }
            }
            ClaimWrite::NoAnswer => {}
        }
    }

    fn acquire(&mut self, out: &mut Vec<Command>) {
        let Some((claim, _)) = self.writing.take() else {
            return;
        };
        let known = self.claims.get(&claim.failure_domain);
        if self.leaving || known.is_some_and(|known| rank(known) > rank(&claim)) {
            return;
        }
        self.vacant_since_ms = None;
        self.owns = true;
        self.claims
            .insert(claim.failure_domain.clone(), claim.clone());
        out.push(Command::Acquired(claim));
    }

    /// Passes time: finds a vacancy and claims it in turn.
    pub fn tick(&mut self, now_ms: u64, out: &mut Vec<Command>) {
        if self.leaving || now_ms < self.quiet_until_ms {
            return;
        }
        if let Some((_, sent_ms)) = &self.writing {
            if now_ms >= sent_ms + CLAIM_STORE_MS && self.reaches_most() {
                self.acquire(out);
            }
            return;
        }
        if self.owns {
            return self.rewrite(now_ms, out);
        }
        if !self.is_vacant(now_ms) {
            self.vacant_since_ms = None;
            return;
        }
        let since_ms = *self.vacant_since_ms.get_or_insert(now_ms);
        let knows_enough = self.store_read || self.reaches_most();
        let turn_ms = since_ms + self.turn() * CLAIM_STAGGER_MS;
        if knows_enough && now_ms >= turn_ms {
            self.claim(now_ms, out);
        }
    }

    fn claim(&mut self, now_ms: u64, out: &mut Vec<Command>) {
        let domain = &self.me.failure_domain;
        let term = self.claims.get(domain).map_or(0, |claim| claim.term);
        let claim = Claim {
            failure_domain: domain.clone(),
            term: term + 1,
            owner: Some(self.me.clone()),
        };
        let revision = self.revisions.get(domain).map_or(0, |known| known.0);
        self.writing = Some((claim.clone(), now_ms));
        out.push(Command::WriteClaim { claim, revision });
    }

    /// Brings the store up to date with a claim that was made without it.
    fn rewrite(&mut self, now_ms: u64, out: &mut Vec<Command>) {
        let domain = &self.me.failure_domain;
        let (revision, term) = self.revisions.get(domain).copied().unwrap_or_default();
        let Some(claim) = self.claims.get(domain).filter(|claim| claim.term > term) else {
            return;
        };
        let claim = claim.clone();
        self.quiet_until_ms = now_ms + REWRITE_MS;
        out.push(Command::WriteClaim { claim, revision });
    }

    /// Whether the failure domain has no owner that can be reached.
    fn is_vacant(&self, now_ms: u64) -> bool {
        let claim = self.claims.get(&self.me.failure_domain);
        let owner = claim.and_then(|claim| claim.owner.as_ref());
        let Some(owner) = owner else {
            return true;
        };
        if owner.name == self.me.name {
            // An earlier life of this instance, or one that was outranked.
            return true;
        }
        let Some(peer) = self.peers.get(&owner.name) else {
            return now_ms >= self.started_ms + SETTLE_MS;
        };
        let same_life = peer.node.incarnation == owner.incarnation;
        if peer.linked {
            return peer.leaving || !same_life;
        }
        let lost_ms = peer.changed_ms.max(self.started_ms + SETTLE_MS) + OWNER_LOST_MS;
        now_ms >= lost_ms
    }

    /// How many candidates come before this instance.
    fn turn(&self) -> u64 {
        let owner = self.claims.get(&self.me.failure_domain);
        let owner = owner.and_then(|claim| claim.owner.as_ref());
        let owner = owner.map_or("", |node| node.name.as_str());
        let before = self.peers.values().filter(|peer| {
            let same = peer.node.failure_domain == self.me.failure_domain;
            let younger =
                (peer.node.incarnation, &peer.node.name) > (self.me.incarnation, &self.me.name);
            same && younger && peer.linked && !peer.leaving && peer.node.name != owner
        });
        before.count() as u64
    }

    /// Whether most of the instances known, or of the failure domain's, are linked.
    fn reaches_most(&self) -> bool {
        let most = |own: bool| {
            let peers = self.peers.values();
            let peers =
                peers.filter(|peer| !own || peer.node.failure_domain == self.me.failure_domain);
            let (all, linked) = peers.fold((1, 1), |(all, linked), peer| {
                (all + 1, linked + usize::from(peer.linked))
            });
            linked * 2 > all && all > 1
        };
        most(true) || most(false)
    }
}

fn rank(claim: &Claim) -> (u64, &str) {
    let owner = claim.owner.as_ref();
    (claim.term, owner.map_or("", |node| node.name.as_str()))
}
