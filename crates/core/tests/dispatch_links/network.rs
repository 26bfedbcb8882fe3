//! Links of a simulated history, with frames that arrive in order.

use trefoil_core::dispatch::owner::JobResult;
use trefoil_schema::dispatch::{Holder, Job, Load};

/// The instance at one end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    Entry,
    Owner,
}

impl Side {
    pub fn other(self) -> Self {
        match self {
            Self::Entry => Self::Owner,
            Self::Owner => Self::Entry,
        }
    }
}

#[derive(Clone, Debug)]
pub enum Frame {
    Heartbeat {
        number: u64,
        sent_ms: u64,
        echo_ms: u64,
        /// Load of the owner's pool; `None` from the entry.
        load: Option<Load>,
    },
    Delegate {
        spec: Job,
        unsafe_for_ms: u64,
        unsafe_holder: Option<Holder>,
    },
    Cancel {
        job_id: String,
    },
    Ended(JobResult),
    /// The other side has closed the link, or the connection was reset.
    Closed,
}

/// One end of a link.
#[derive(Clone, Copy, Debug, Default)]
pub struct End {
    pub is_up: bool,
    pub last_heard_ms: u64,
    /// Latest time of the other side's clock that was received.
    pub peer_sent_ms: u64,
    /// When the last frame arrives that was sent to this end.
    arrives_ms: u64,
    /// Additional delay of frames to this end.
    pub delay_ms: u64,
    /// Frames to this end are lost.
    pub is_cut: bool,
    /// Frames to this end that arrive later were lost by a reset.
    pub lost_after_ms: Option<u64>,
}

impl End {
    /// When a frame that is sent now arrives.
    pub fn arrival_ms(&mut self, now_ms: u64, latency_ms: u64) -> u64 {
        self.arrives_ms = self.arrives_ms.max(now_ms + latency_ms + self.delay_ms);
        self.arrives_ms
    }
}

#[derive(Clone, Debug)]
pub struct Link {
    /// The owner that the entry is linked with.
    pub owner: usize,
    pub entry_end: End,
    pub owner_end: End,
}

impl Link {
    pub fn new(owner: usize) -> Self {
        Self {
            owner,
            entry_end: End::default(),
            owner_end: End::default(),
        }
    }

    pub fn end(&mut self, side: Side) -> &mut End {
        match side {
            Side::Entry => &mut self.entry_end,
            Side::Owner => &mut self.owner_end,
        }
    }
}
