//! Filters duplicate and outdated frames by sender, incarnation and sequence.

use std::collections::HashMap;

use trefoil_schema::peer::Frame;

/// Result of checking a received frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FrameCheck {
    /// The frame is new; `gap` frames before it were not received.
    Deliver { gap: u64 },
    /// No sender or no sequence number.
    Malformed,
    /// Received before, or older than a received frame.
    Duplicate,
    /// From an older incarnation of the sender than a received frame.
    Stale,
    /// From a new sender, while `senders_max` senders are known.
    TooManySenders,
}

struct Position {
    incarnation: u64,
    sequence: u64,
}

/// The latest incarnation and sequence number of each sender.
#[derive(Default)]
pub(crate) struct FrameFilter {
    latest: HashMap<String, Position>,
}

impl FrameFilter {
    /// Checks a frame, and records it if it is to be delivered.
    pub(crate) fn check(&mut self, frame: &Frame, senders_max: usize) -> FrameCheck {
        let Some(from) = &frame.from else {
            return FrameCheck::Malformed;
        };
        if from.name.is_empty() || frame.sequence == 0 {
            return FrameCheck::Malformed;
        }
        let Some(latest) = self.latest.get_mut(&from.name) else {
            if self.latest.len() >= senders_max {
                return FrameCheck::TooManySenders;
            }
            let latest = Position {
                incarnation: from.incarnation,
                sequence: frame.sequence,
            };
            self.latest.insert(from.name.clone(), latest);
            return FrameCheck::Deliver { gap: 0 };
        };
        if from.incarnation < latest.incarnation {
            return FrameCheck::Stale;
        }
        if from.incarnation > latest.incarnation {
            latest.incarnation = from.incarnation;
            latest.sequence = frame.sequence;
            // Each incarnation numbers its frames from 1.
            return FrameCheck::Deliver {
                gap: frame.sequence - 1,
            };
        }
        if frame.sequence <= latest.sequence {
            return FrameCheck::Duplicate;
        }
        let gap = frame.sequence - latest.sequence - 1;
        latest.sequence = frame.sequence;
        FrameCheck::Deliver { gap }
    }
}
