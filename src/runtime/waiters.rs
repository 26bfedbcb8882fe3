//! Requests that wait for an answer of the engine.

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
    /// Sends a waiter its answer, unless it has stopped waiting.
    pub fn complete(&self, waiter: WaiterId, answer: JobAnswer) {
        if let Some(sender) = self.remove(waiter) {
            // Fails if the receiver was dropped because its request ended.
            let _ = sender.send(answer);
        }
    }

    /// Number of waiters without an answer.
    pub fn len(&self) -> usize {
        self.shards.iter().map(|shard| lock(shard).len()).sum()
    }

    /// Whether there are no waiters.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn register(&self) -> (WaiterId, oneshot::Receiver<JobAnswer>) {
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

/// Registration of a waiter, removed on drop.
pub struct WaiterGuard {
    runtime: Arc<Runtime>,
    key: JobKey,
    waiter: WaiterId,
}

impl WaiterGuard {
    /// Registers a waiter for an answer about `key`.
    pub fn new(runtime: Arc<Runtime>, key: JobKey) -> (Self, oneshot::Receiver<JobAnswer>) {
        let (waiter, receiver) = runtime.waiters.register();
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
