//! Requests to other instances that wait for an answer.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::sync::mpsc;
use trefoil_schema::peer::JobAnswer;

/// Number of shards of the table, each with its own lock.
const SHARDS: usize = 16;
/// Number of answers buffered for a request.
const ANSWERS_MAX: usize = 4;

type Shard = HashMap<u64, mpsc::Sender<JobAnswer>>;

/// Open requests by ID.
#[derive(Debug, Default)]
pub(super) struct PendingTable {
    next_id: AtomicU64,
    shards: [Mutex<Shard>; SHARDS],
}

/// An open request; it is closed when dropped.
#[derive(Debug)]
pub(super) struct PendingRequest<'a> {
    table: &'a PendingTable,
    id: u64,
    answers: mpsc::Receiver<JobAnswer>,
}

impl PendingTable {
    /// Opens a request with a unique ID.
    pub(super) fn open(&self) -> PendingRequest<'_> {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed) + 1;
        let (sender, answers) = mpsc::channel(ANSWERS_MAX);
        self.shard(id).insert(id, sender);
        PendingRequest {
            table: self,
            id,
            answers,
        }
    }

    /// Passes an answer to its request; returns `false` if the request is not open or
    /// its buffer is full.
    pub(super) fn answer(&self, answer: JobAnswer) -> bool {
        let shard = self.shard(answer.request_id);
        let Some(sender) = shard.get(&answer.request_id) else {
            return false;
        };
        sender.try_send(answer).is_ok()
    }

    fn shard(&self, id: u64) -> MutexGuard<'_, Shard> {
        let index = id as usize % SHARDS;
        self.shards[index]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl PendingRequest<'_> {
    /// The request ID to send in the message.
    pub(super) fn id(&self) -> u64 {
        self.id
    }

    /// Waits for the next answer.
    pub(super) async fn next(&mut self) -> Option<JobAnswer> {
        self.answers.recv().await
    }
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        self.table.shard(self.id).remove(&self.id);
    }
}
