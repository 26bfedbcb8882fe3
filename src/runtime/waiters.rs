//! Who waits for an answer.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::oneshot;
use trefoil_core::engine::{JobAnswer, WaiterId};
use trefoil_core::key::JobKey;

use super::Runtime;

const SHARDS: usize = 32;

type Shard = HashMap<WaiterId, oneshot::Sender<JobAnswer>>;

/// Waiters by their id.
#[derive(Debug)]
pub struct Waiters {
    next: AtomicU64,
    shards: [Mutex<Shard>; SHARDS],
}

impl Default for Waiters {
    fn default() -> Self {
        Self {
            next: AtomicU64::new(1),
            shards: std::array::from_fn(|_| Mutex::default()),
        }
    }
}

impl Waiters {
    /// Gives a waiter its answer; one that went away gets none.
    pub fn complete(&self, waiter: WaiterId, answer: JobAnswer) {
        if let Some(sender) = self.remove(waiter) {
            // A receiver that is gone has stopped waiting.
            let _ = sender.send(answer);
        }
    }

    /// Waiters without an answer.
    pub fn len(&self) -> usize {
        self.shards.iter().map(|shard| lock(shard).len()).sum()
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn add(&self) -> (WaiterId, oneshot::Receiver<JobAnswer>) {
        let waiter = WaiterId(self.next.fetch_add(1, Ordering::Relaxed));
        let (sender, receiver) = oneshot::channel();
        self.shard(waiter).insert(waiter, sender);
        (waiter, receiver)
    }

    fn remove(&self, waiter: WaiterId) -> Option<oneshot::Sender<JobAnswer>> {
        self.shard(waiter).remove(&waiter)
    }

    fn shard(&self, waiter: WaiterId) -> MutexGuard<'_, Shard> {
        lock(&self.shards[waiter.0 as usize % SHARDS])
    }
}

fn lock(shard: &Mutex<Shard>) -> MutexGuard<'_, Shard> {
    shard.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A place among the waiters, given up on drop.
pub struct WaiterGuard {
    runtime: Arc<Runtime>,
    key: JobKey,
    waiter: WaiterId,
}

impl WaiterGuard {
    /// Takes a place for the answer about `key`.
    pub fn new(runtime: Arc<Runtime>, key: JobKey) -> (Self, oneshot::Receiver<JobAnswer>) {
        let (waiter, receiver) = runtime.waiters.add();
        let guard = Self {
            runtime,
            key,
            waiter,
        };
        (guard, receiver)
    }

    /// The waiter's id.
    pub fn id(&self) -> WaiterId {
        self.waiter
    }
}

impl Drop for WaiterGuard {
    fn drop(&mut self) {
        let unanswered = self.runtime.waiters.remove(self.waiter).is_some();
        if unanswered {
            self.runtime.engine.remove_waiter(&self.key, self.waiter);
        }
    }
}
