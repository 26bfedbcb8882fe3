//! A peer's send queue, limited in messages, bytes and age.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use prost::Message as _;
use trefoil_schema::peer::{Message, message::Body};

use super::settings::LinkSettings;
use crate::util::clock::duration_ms;

struct QueuedMessage {
    queued_at: Instant,
    bytes: usize,
    message: Message,
}

/// Queued messages, in sending order.
#[derive(Default)]
pub(crate) struct Queue {
    messages: VecDeque<QueuedMessage>,
    bytes: usize,
}

/// The messages of one frame.
pub(crate) struct Batch {
    pub(crate) messages: Vec<Message>,
    /// When the oldest message was queued.
    pub(crate) oldest: Instant,
}

impl Queue {
    /// Appends a message; returns `false` if the queue is full.
    pub(crate) fn push(&mut self, message: Message, now: Instant, settings: &LinkSettings) -> bool {
        let bytes = message.encoded_len();
        let fits = self.bytes + bytes <= settings.queue_bytes_max;
        if !fits || self.messages.len() >= settings.queue_messages_max {
            return false;
        }
        self.bytes += bytes;
        self.messages.push_back(QueuedMessage {
            queued_at: now,
            bytes,
            message,
        });
        true
    }

    /// Drops messages that were queued longer than `queue_timeout_ms`; returns how
    /// many.
    pub(crate) fn drop_expired(&mut self, now: Instant, settings: &LinkSettings) -> usize {
        let queue_timeout = Duration::from_millis(settings.queue_timeout_ms);
        let count = self
            .messages
            .iter()
            .take_while(|message| now.duration_since(message.queued_at) > queue_timeout)
            .count();
        for message in self.messages.drain(..count) {
            self.bytes -= message.bytes;
        }
        count
    }

    /// Takes the messages of the next frame, and subtracts the time that they were
    /// queued from their timeouts.
    pub(crate) fn take_batch(&mut self, now: Instant, settings: &LinkSettings) -> Option<Batch> {
        let oldest = self.messages.front()?.queued_at;
        let mut messages = Vec::new();
        let mut bytes = 0;
        while let Some(next) = self.messages.front() {
            if !messages.is_empty() && bytes + next.bytes > settings.frame_bytes_max {
                break;
            }
            let Some(mut next) = self.messages.pop_front() else {
                break;
            };
            bytes += next.bytes;
            reduce_timeout(&mut next.message, now.duration_since(next.queued_at));
            messages.push(next.message);
        }
        self.bytes -= bytes;
        Some(Batch { messages, oldest })
    }

    /// Drops all messages; returns how many.
    pub(crate) fn clear(&mut self) -> usize {
        let count = self.messages.len();
        *self = Self::default();
        count
    }
}

/// Subtracts the time that a message was queued from its timeout.
fn reduce_timeout(message: &mut Message, queued: Duration) {
    let queued_ms = duration_ms(queued);
    match &mut message.body {
        Some(Body::ForwardJob(job)) => {
            job.timeout_ms = job.timeout_ms.saturating_sub(queued_ms);
        }
        Some(Body::FetchJob(fetch)) => {
            fetch.wait_ms = fetch.wait_ms.saturating_sub(queued_ms);
        }
        _ => {}
    }
}
