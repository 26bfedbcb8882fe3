//! Graceful closing of links that neither side needs.
//!
//! A link to a peer that is no longer desired is drained first: this side delegates
//! no further jobs over it and, once its own jobs have ended, offers to close it. The
//! peer closes the link when it has drained its side, or keeps it while it needs
//! it. No job is therefore in progress on a link that is closed this way, and the
//! close is not taken for a failure of the peer.
//!
//! Only the dialing side starts this, because the accepting side cannot know whether
//! its peer needs the link.

/// How long a link must be unneeded before it is drained. A pool may change its owner
/// for a moment and change back.
const UNNEEDED_MS: u64 = 5000;

/// Which side opened a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// This instance.
    Dialed,
    /// The peer.
    Accepted,
}

/// Next action to retire a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Tell the peer that this side does not need the link.
    Offer,
    /// Close the link: the peer does not need it either.
    Close,
}

/// Retirement state of one link.
#[derive(Clone, Copy, Debug)]
pub struct Retirement {
    side: Side,
    /// When the peer was last desired.
    last_desired_ms: u64,
    is_draining: bool,
    /// This side has offered to close the link.
    is_offered: bool,
    /// The peer has offered to close the link.
    is_offered_by_peer: bool,
}

impl Retirement {
    /// State of a link that opened at `now_ms`, in milliseconds of the instance's clock.
    pub fn new(now_ms: u64, side: Side) -> Self {
        Self {
            side,
            last_desired_ms: now_ms,
            is_draining: false,
            is_offered: false,
            is_offered_by_peer: false,
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

    /// Whether this side has offered to close the link, which the peer may then do at any
    /// time.
    pub fn is_offered(&self) -> bool {
        self.is_offered
    }

    /// Records whether the peer is desired now.
    pub fn update_desired(&mut self, now_ms: u64, is_desired: bool) {
        if is_desired {
            self.last_desired_ms = now_ms;
            self.is_draining &= self.is_offered;
            return;
        }
        let is_unneeded = self.side == Side::Dialed && now_ms >= self.last_desired_ms + UNNEEDED_MS;
        self.is_draining |= is_unneeded || self.is_offered_by_peer;
    }

    /// Records that the peer has offered to close the link.
    pub fn on_offer_received(&mut self) {
        self.is_offered_by_peer = true;
    }

    /// The next step; `has_jobs` is whether jobs of this side are in progress over the
    /// link.
    pub fn next_step(&self, has_jobs: bool) -> Option<Step> {
        match (self.is_draining && !has_jobs, self.is_offered_by_peer) {
            (true, true) => Some(Step::Close),
            (true, false) if !self.is_offered => Some(Step::Offer),
            _ => None,
        }
    }

    /// Records that the offer has been sent.
    pub fn on_offer_sent(&mut self) {
        self.is_offered = true;
    }
}
