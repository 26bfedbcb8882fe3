//! Trace contexts of running jobs, to be sent to workers.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use trefoil_core::key::JobKey;

const SHARDS: usize = 16;

type Shard = HashMap<JobKey, TraceContext>;

#[derive(Debug)]
struct TraceContext {
    traceparent: Arc<str>,
    expires_ms: u64,
}

/// W3C trace contexts by key. Most jobs have none.
#[derive(Debug, Default)]
pub(crate) struct TraceContexts {
    len: AtomicUsize,
    shards: [Mutex<Shard>; SHARDS],
}

impl TraceContexts {
    /// Stores a job's context until `expires_ms` on the monotonic clock; returns
    /// false if the job already has one.
    pub(crate) fn insert(&self, key: &JobKey, traceparent: Arc<str>, expires_ms: u64) -> bool {
        let mut shard = self.shard(key);
        if shard.contains_key(key) {
            return false;
        }
        let context = TraceContext {
            traceparent,
            expires_ms,
        };
        shard.insert(key.clone(), context);
        self.len.fetch_add(1, Ordering::Relaxed);
        true
    }

    pub(crate) fn remove(&self, key: &JobKey) {
        if self.shard(key).remove(key).is_some() {
            self.len.fetch_sub(1, Ordering::Relaxed);
        }
    }

    pub(crate) fn get(&self, key: &JobKey) -> Option<Arc<str>> {
        if self.len.load(Ordering::Relaxed) == 0 {
            return None;
        }
        let shard = self.shard(key);
        shard
            .get(key)
            .map(|context| Arc::clone(&context.traceparent))
    }

    pub(crate) fn remove_expired(&self, now_ms: u64) {
        for shard in &self.shards {
            let mut shard = lock(shard);
            let before = shard.len();
            shard.retain(|_, context| context.expires_ms > now_ms);
            self.len.fetch_sub(before - shard.len(), Ordering::Relaxed);
        }
    }

    fn shard(&self, key: &JobKey) -> MutexGuard<'_, Shard> {
        lock(&self.shards[key.hash() as usize % SHARDS])
    }
}

fn lock(shard: &Mutex<Shard>) -> MutexGuard<'_, Shard> {
    shard.lock().unwrap_or_else(PoisonError::into_inner)
}
