//! Requests to other instances that wait for an answer.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::sync::mpsc;
use trefoil_core::key::JobKey;
use trefoil_core::view::Member;
use trefoil_schema::peer::JobAnswer;

/// Number of shards of the table, each with its own lock.
const SHARDS: usize = 16;
/// Number of answers buffered for a request.
const ANSWERS_MAX: usize = 4;

type Shard = HashMap<u64, OpenRequest>;

/// What an answer must match, and where it goes.
#[derive(Debug)]
struct OpenRequest {
    key: JobKey,
    asked: Member,
    answers: mpsc::Sender<JobAnswer>,
}

/// What became of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum AnswerResult {
    Passed,
    /// No request with this ID is open, or its buffer is full: the answer is late or a
    /// duplicate.
    Unexpected,
    /// The open request with this ID is for another key or was sent to another instance.
    Mismatch {
        key: JobKey,
        asked: Member,
    },
}

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
    /// Opens a request to `asked` about `key`, with an ID that is unique in this process.
    pub(super) fn open(&self, key: &JobKey, asked: &Member) -> PendingRequest<'_> {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed) + 1;
        let (sender, answers) = mpsc::channel(ANSWERS_MAX);
        let request = OpenRequest {
            key: key.clone(),
            asked: asked.clone(),
            answers: sender,
        };
        self.shard(id).insert(id, request);
        PendingRequest {
            table: self,
            id,
            answers,
        }
    }

    /// Passes an answer of `from` to the request with its ID, if that request is about
    /// the same key and was sent to `from`.
    pub(super) fn answer(&self, from: &Member, answer: JobAnswer) -> AnswerResult {
        let shard = self.shard(answer.request_id);
        let Some(request) = shard.get(&answer.request_id) else {
            return AnswerResult::Unexpected;
        };
        if request.key.as_str() != answer.key || request.asked != *from {
            return AnswerResult::Mismatch {
                key: request.key.clone(),
                asked: request.asked.clone(),
            };
        }
        match request.answers.try_send(answer) {
            Ok(()) => AnswerResult::Passed,
            Err(_) => AnswerResult::Unexpected,
        }
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
