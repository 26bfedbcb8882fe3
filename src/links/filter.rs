//! Which received frames are new: by sender, incarnation and sequence.

use std::collections::HashMap;

use trefoil_schema::peer::Frame;

/// What to do with a received frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fate {
    /// Deliver; so many frames before it are missing.
    Deliver { gap: u64 },
    /// No sender or no sequence number.
    Rubbish,
    /// Seen, or overtaken by a later frame.
    Doubled,
    /// A newer incarnation of the sender was heard.
    Stale,
    /// More senders than are remembered.
    Crowded,
}

struct Heard {
    incarnation: u64,
    sequence: u64,
}

/// The newest incarnation and sequence number of each sender.
#[derive(Default)]
pub(crate) struct Filter {
    heard: HashMap<String, Heard>,
}

impl Filter {
    /// Judges a frame and remembers it when it is to be delivered.
    pub(crate) fn judge(&mut self, frame: &Frame, senders_max: usize) -> Fate {
        let Some(from) = &frame.from else {
            return Fate::Rubbish;
        };
        if from.name.is_empty() || frame.sequence == 0 {
            return Fate::Rubbish;
        }
        let Some(heard) = self.heard.get_mut(&from.name) else {
            if self.heard.len() >= senders_max {
                return Fate::Crowded;
            }
            let heard = Heard {
                incarnation: from.incarnation,
                sequence: frame.sequence,
            };
            self.heard.insert(from.name.clone(), heard);
            return Fate::Deliver { gap: 0 };
        };
        if from.incarnation < heard.incarnation {
            return Fate::Stale;
        }
        if from.incarnation > heard.incarnation {
            heard.incarnation = from.incarnation;
            heard.sequence = frame.sequence;
            // A new incarnation counts from 1.
            return Fate::Deliver {
                gap: frame.sequence - 1,
            };
        }
        if frame.sequence <= heard.sequence {
            return Fate::Doubled;
        }
        let gap = frame.sequence - heard.sequence - 1;
        heard.sequence = frame.sequence;
        Fate::Deliver { gap }
    }
}
