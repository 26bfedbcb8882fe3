//! What waits for one peer: bounded in messages, bytes and age.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use prost::Message as _;
use trefoil_schema::peer::{Message, message::Body};

use super::settings::LinkSettings;
use crate::util::clock::duration_ms;

struct Waiting {
    since: Instant,
    bytes: usize,
    message: Message,
}

/// Messages in the order sent.
#[derive(Default)]
pub(crate) struct Queue {
    waiting: VecDeque<Waiting>,
    bytes: usize,
}

/// The messages of one frame and the age of the oldest.
pub(crate) struct Batch {
    pub(crate) messages: Vec<Message>,
    pub(crate) oldest: Instant,
}

impl Queue {
    /// Appends a message; false when it would pass a bound.
    pub(crate) fn push(&mut self, message: Message, now: Instant, bounds: &LinkSettings) -> bool {
        let bytes = message.encoded_len();
        let fits = self.bytes + bytes <= bounds.queue_bytes_max;
        if !fits || self.waiting.len() >= bounds.queue_messages_max {
            return false;
        }
        self.bytes += bytes;
        self.waiting.push_back(Waiting {
            since: now,
            bytes,
            message,
        });
        true
    }

    /// Drops what has waited longer than the bound; returns how many.
    pub(crate) fn drop_late(&mut self, now: Instant, bounds: &LinkSettings) -> usize {
        let late = Duration::from_millis(bounds.late_ms);
        let count = self
            .waiting
            .iter()
            .take_while(|waiting| now.duration_since(waiting.since) > late)
            .count();
        for waiting in self.waiting.drain(..count) {
            self.bytes -= waiting.bytes;
        }
        count
    }

    /// Takes the messages of the next frame, their time left brought up to date.
    pub(crate) fn take_batch(&mut self, now: Instant, bounds: &LinkSettings) -> Option<Batch> {
        let oldest = self.waiting.front()?.since;
        let mut messages = Vec::new();
        let mut bytes = 0;
        while let Some(next) = self.waiting.front() {
            if !messages.is_empty() && bytes + next.bytes > bounds.frame_bytes_max {
                break;
            }
            let Some(mut next) = self.waiting.pop_front() else {
                break;
            };
            bytes += next.bytes;
            spend(&mut next.message, now.duration_since(next.since));
            messages.push(next.message);
        }
        self.bytes -= bytes;
        Some(Batch { messages, oldest })
    }

    /// Drops everything; returns how many messages.
    pub(crate) fn clear(&mut self) -> usize {
        let count = self.waiting.len();
        *self = Self::default();
        count
    }
}

/// Takes the time waited off the time that a message says is left.
fn spend(message: &mut Message, waited: Duration) {
    let waited_ms = duration_ms(waited);
    match &mut message.body {
        Some(Body::ForwardJob(job)) => {
            job.timeout_ms = job.timeout_ms.saturating_sub(waited_ms);
        }
        Some(Body::FetchJob(fetch)) => {
            fetch.wait_ms = fetch.wait_ms.saturating_sub(waited_ms);
        }
        _ => {}
    }
}
