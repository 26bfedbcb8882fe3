//! Loans of task slots between the instances of a failure domain.
//!
//! An instance with queued tasks and no free slot requests a loan from one peer
//! at a time. A peer without queued tasks lends up to half of its free slots.
//! The borrower may start tasks on a borrowed slot until the loan expires, and
//! returns the slot when it is idle and nothing is queued. Loans are not
//! synchronised: if both instances use a slot, the worker refuses one of the
//! tasks before its start.

use std::sync::Arc;

use super::event::WorkerId;
use crate::view::Member;

/// Maximum number of slots per request.
const REQUEST_SLOTS_MAX: u64 = 64;
/// Timeout of a request, after which the next peer may be asked.
const ANSWER_TIMEOUT_MS: u64 = 100;
/// Initial backoff before the next request to a peer.
const BACKOFF_MIN_MS: u64 = 40;
/// Maximum number of doublings of the backoff while a peer lends nothing.
const BACKOFF_DOUBLINGS_MAX: u32 = 4;
/// A lender reclaims slots that are not returned within this multiple of the
/// loan's duration: the last task may take longer, or the return may be lost.
const RECLAIM_FACTOR: u64 = 5;

/// A number of slots of one worker.
#[derive(Clone, Debug, PartialEq, Eq)]
#[expect(missing_docs, reason = "the field explains itself")]
pub struct WorkerSlots {
    /// Name of the backend server resource.
    pub worker: Arc<str>,
    pub slots: u32,
}

/// A message to a peer in the failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
#[expect(missing_docs, reason = "fields explain themselves")]
pub struct SlotMessage {
    /// The receiving instance.
    pub to: Recipient,
    pub service: Arc<str>,
    pub body: SlotMessageBody,
}

/// Receiver of a [`SlotMessage`].
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Recipient {
    /// The current incarnation of the instance with this name.
    Current(Arc<str>),
    /// Only this incarnation: another one does not know the loan.
    Incarnation(Member),
}

impl Recipient {
    /// Name of the receiving instance.
    pub fn name(&self) -> &str {
        match self {
            Self::Current(name) => name,
            Self::Incarnation(member) => &member.name,
        }
    }
}

/// Body of a [`SlotMessage`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SlotMessageBody {
    /// Requests a loan of up to this many slots.
    Request(u32),
    /// Returns borrowed slots.
    Return(Vec<WorkerSlots>),
}

/// A loan of slots of one worker, lent or borrowed.
#[derive(Clone, Debug)]
pub(crate) struct Loan {
    pub peer: Member,
    pub worker: WorkerId,
    pub slots: u32,
    pub until_ms: u64,
    /// Whether the loan's time is over but its slots are not returned yet.
    pub expired: bool,
}

/// Another instance of the failure domain, which may lend slots.
#[derive(Debug)]
struct Peer {
    name: Arc<str>,
    next_request_ms: u64,
    refusals: u32,
}

/// The loans of one service.
#[derive(Debug, Default)]
pub(crate) struct Lending {
    peers: Vec<Peer>,
    next_peer: usize,
    /// Timeout of the pending request; 0 if none is pending.
    pending_until_ms: u64,
    pub lent: Vec<Loan>,
    pub borrowed: Vec<Loan>,
}

impl Lending {
    /// Sets the peers. The first to be asked is the one that follows `me`.
    pub fn set_members(&mut self, me: &str, members: &[String]) {
        let position = members.iter().position(|member| member == me);
        let (before, after) = members.split_at(position.unwrap_or(0));
        let others = after.iter().chain(before).filter(|member| *member != me);
        self.peers = others.map(|name| Peer::new(name)).collect();
        self.next_peer = 0;
    }

    /// The peer and number of slots of the next request, if one may be sent now.
    pub fn next_request(&mut self, now_ms: u64, tasks_queued: u64) -> Option<(Arc<str>, u32)> {
        if now_ms < self.pending_until_ms {
            return None;
        }
        let count = self.peers.len();
        let mut in_turn = (0..count).map(|step| (self.next_peer + step) % count);
        let chosen = in_turn.find(|peer| self.peers[*peer].next_request_ms <= now_ms)?;
        self.next_peer = chosen + 1;
        self.pending_until_ms = now_ms + ANSWER_TIMEOUT_MS;
        let slots = tasks_queued.min(REQUEST_SLOTS_MAX) as u32;
        Some((Arc::clone(&self.peers[chosen].name), slots))
    }

    /// Records a peer's answer; backs off from a peer that lent nothing.
    pub fn record_answer(&mut self, now_ms: u64, lender: &str, lent: bool) {
        self.pending_until_ms = 0;
        let Some(peer) = self.peer(lender) else {
            return;
        };
        match lent {
            true => {
                peer.refusals = 0;
                peer.next_request_ms = now_ms + BACKOFF_MIN_MS;
            }
            false => peer.back_off(now_ms),
        }
    }

    /// Delays the next request to a peer that requests slots itself.
    pub fn record_request_from(&mut self, now_ms: u64, borrower: &str) {
        if let Some(peer) = self.peer(borrower) {
            peer.next_request_ms = peer.next_request_ms.max(now_ms + BACKOFF_MIN_MS);
        }
    }

    fn peer(&mut self, name: &str) -> Option<&mut Peer> {
        self.peers.iter_mut().find(|peer| *peer.name == *name)
    }

    /// Records a slot lent for `loan_ms`.
    pub fn lend(&mut self, now_ms: u64, borrower: &Member, worker: WorkerId, loan_ms: u64) {
        self.lent.push(Loan {
            peer: borrower.clone(),
            worker,
            slots: 1,
            until_ms: now_ms + RECLAIM_FACTOR * loan_ms,
            expired: false,
        });
    }

    /// Ends loans of up to `slots` slots of a worker to a borrower; returns the
    /// number of slots.
    pub fn reclaim(&mut self, borrower: &Member, worker: WorkerId, slots: u32) -> u32 {
        let mut left = slots;
        for loan in &mut self.lent {
            if loan.peer == *borrower && loan.worker == worker {
                let taken = loan.slots.min(left);
                loan.slots -= taken;
                left -= taken;
            }
        }
        self.lent.retain(|loan| loan.slots > 0);
        slots - left
    }

    /// Removes the loans whose slots were not returned in time.
    pub fn take_overdue(&mut self, now_ms: u64) -> Vec<Loan> {
        let is_overdue = |loan: &mut Loan| loan.until_ms <= now_ms;
        self.lent.extract_if(.., is_overdue).collect()
    }
}

impl Peer {
    fn new(name: &str) -> Self {
        Self {
            name: name.into(),
            next_request_ms: 0,
            refusals: 0,
        }
    }

    fn back_off(&mut self, now_ms: u64) {
        let doublings = self.refusals.min(BACKOFF_DOUBLINGS_MAX);
        self.next_request_ms = now_ms + (BACKOFF_MIN_MS << doublings);
        self.refusals += 1;
    }
}
