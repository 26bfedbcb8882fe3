//! Loans of task slots between the instances of a failure domain.
//!
//! An instance with queued tasks and no free slot asks one peer at a time; a
//! peer without queued tasks lends up to half of its free slots. The borrower
//! may start tasks on a borrowed slot until the loan ends, and returns it as
//! soon as it is idle and nothing is queued. A loan needs no agreement: should
//! both use a slot, the worker refuses one of the tasks before its start.

use std::sync::Arc;

use super::event::WorkerId;

/// Most slots asked for at once.
const REQUEST_SLOTS_MAX: u64 = 64;
/// Longest wait for a peer's answer before the next is asked.
const ANSWER_TIMEOUT_MS: u64 = 100;
/// First pause before a peer that had no slot is asked again.
const BACKOFF_MIN_MS: u64 = 40;
/// Doublings of that pause at most.
const BACKOFF_DOUBLINGS_MAX: u32 = 4;
/// A lender waits so many times the loan's length for slots that are not
/// returned: the last task may run on, or the return be lost.
const RECLAIM_FACTOR: u64 = 5;

/// Slots of one worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerSlots {
    /// Name of the backend server resource.
    pub worker: Arc<str>,
    /// How many of its slots.
    pub slots: u32,
}

/// What to tell a peer of the failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotMessage {
    /// Name of the peer.
    pub to: Arc<str>,
    /// Service whose workers are meant.
    pub service: Arc<str>,
    /// What is asked or given.
    pub body: SlotMessageBody,
}

/// What is asked or given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SlotMessageBody {
    /// Asks for a loan of so many slots.
    Request(u32),
    /// Returns borrowed slots.
    Return(Vec<WorkerSlots>),
}

/// One loan of slots of one worker, given or taken.
#[derive(Clone, Debug)]
pub(crate) struct Loan {
    pub peer: Arc<str>,
    pub worker: WorkerId,
    pub slots: u32,
    pub until_ms: u64,
    /// The time is over and the slots are not returned yet.
    pub expired: bool,
}

/// A peer that may lend.
#[derive(Debug)]
struct Peer {
    name: Arc<str>,
    next_request_ms: u64,
    refusals: u32,
}

/// One service's loans.
#[derive(Debug, Default)]
pub(crate) struct Lending {
    peers: Vec<Peer>,
    next_peer: usize,
    /// No other peer is asked before an answer or this time.
    pending_until_ms: u64,
    pub lent: Vec<Loan>,
    pub borrowed: Vec<Loan>,
}

impl Lending {
    /// Takes the failure domain's instances; `me` begins with the one after it.
    pub fn set_members(&mut self, me: &str, members: &[String]) {
        let position = members.iter().position(|member| member == me);
        let (before, after) = members.split_at(position.unwrap_or(0));
        let others = after.iter().chain(before).filter(|member| *member != me);
        self.peers = others.map(|name| Peer::new(name)).collect();
        self.next_peer = 0;
    }

    /// The peer to ask for how many slots, if one may be asked now.
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

    /// A peer answered; one that lent nothing is left alone for a while.
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

    /// A peer asked: it has no free slot itself.
    pub fn record_request_from(&mut self, now_ms: u64, borrower: &str) {
        if let Some(peer) = self.peer(borrower) {
            peer.next_request_ms = peer.next_request_ms.max(now_ms + BACKOFF_MIN_MS);
        }
    }

    fn peer(&mut self, name: &str) -> Option<&mut Peer> {
        self.peers.iter_mut().find(|peer| *peer.name == *name)
    }

    /// Notes slots lent for `loan_ms`.
    pub fn lend(&mut self, now_ms: u64, borrower: &str, worker: WorkerId, loan_ms: u64) {
        self.lent.push(Loan {
            peer: borrower.into(),
            worker,
            slots: 1,
            until_ms: now_ms + RECLAIM_FACTOR * loan_ms,
            expired: false,
        });
    }

    /// Takes up to `slots` of a worker back from a borrower; tells how many.
    pub fn reclaim(&mut self, borrower: &str, worker: WorkerId, slots: u32) -> u32 {
        let mut left = slots;
        for loan in &mut self.lent {
            if *loan.peer == *borrower && loan.worker == worker {
                let taken = loan.slots.min(left);
                loan.slots -= taken;
                left -= taken;
            }
        }
        self.lent.retain(|loan| loan.slots > 0);
        slots - left
    }

    /// The loans whose borrower has returned nothing for too long.
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
