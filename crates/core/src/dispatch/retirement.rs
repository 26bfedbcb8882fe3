//! Closing a link that neither side needs any more.
//!
//! A link whose peer is no longer desired is drained first: this side delegates
//! no further jobs over it and, once its own have ended, offers the peer to close
//! it. The peer closes it as soon as the same is true there, or keeps it for as
//! long as it needs the link. So no job is ever on a link that is closed on
//! purpose, and such an end says nothing about the peer.
//!
//! Only the side that dialed begins: the other one may be needed by it.

/// Time without need after which a link is drained: pools change their owners for
/// a moment and change back.
const UNNEEDED_MS: u64 = 5000;

/// Which side opened a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// This one.
    Dialed,
    /// The peer.
    Accepted,
}

/// What is to be done about a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Tell the peer that this side does not need it.
    Offer,
    /// Close it: the peer does not need it either.
    Close,
}

/// How far a link is on its way to be closed.
#[derive(Clone, Copy, Debug)]
pub struct Retirement {
    side: Side,
    /// When the peer was last desired.
    desired_ms: u64,
    is_draining: bool,
    is_offered: bool,
    /// The peer has offered to close it.
    is_released: bool,
}

impl Retirement {
    /// Of a link that opened at `now_ms`, milliseconds of the instance's clock.
    pub fn new(now_ms: u64, side: Side) -> Self {
        Self {
            side,
            desired_ms: now_ms,
            is_draining: false,
            is_offered: false,
            is_released: false,
        }
    }

    /// Which side opened the link.
    pub fn side(&self) -> Side {
        self.side
    }

    /// Whether this side delegates no further jobs over the link.
    pub fn is_draining(&self) -> bool {
        self.is_draining
    }

    /// Whether the peer may close the link at any moment.
    pub fn is_offered(&self) -> bool {
        self.is_offered
    }

    /// Notes whether the peer is desired now.
    pub fn observe(&mut self, now_ms: u64, is_desired: bool) {
        if is_desired {
            self.desired_ms = now_ms;
            self.is_draining &= self.is_offered;
            return;
        }
        let is_unneeded = self.side == Side::Dialed && now_ms >= self.desired_ms + UNNEEDED_MS;
        self.is_draining |= is_unneeded || self.is_released;
    }

    /// Takes in that the peer does not need the link.
    pub fn released_by_peer(&mut self) {
        self.is_released = true;
    }

    /// The next step of this side, which has jobs under way over the link or not.
    pub fn next_step(&self, has_jobs: bool) -> Option<Step> {
        match (self.is_draining && !has_jobs, self.is_released) {
            (true, true) => Some(Step::Close),
            (true, false) if !self.is_offered => Some(Step::Offer),
            _ => None,
        }
    }

    /// Notes that the peer has been told.
    pub fn offered(&mut self) {
        self.is_offered = true;
    }
}
