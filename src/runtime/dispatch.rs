//! Routes callers' requests to the instance that owns their key.

use std::sync::Arc;
use std::time::Instant;

use trefoil_core::config::ConfigSnapshot;
use trefoil_core::engine::{JobAnswer, Submission, Task};
use trefoil_core::key::JobKey;
use trefoil_core::membership::Route;
use xxhash_rust::xxh3::Xxh3;

use super::{RequestContext, Runtime};
use crate::peers::Peers;
use crate::util::telemetry::trace::{Hop, HopSpan};

/// Routes callers' requests to the instance that owns their key.
#[derive(Clone)]
pub struct Dispatcher {
    runtime: Arc<Runtime>,
    peers: Option<Arc<Peers>>,
}

impl Dispatcher {
    /// Creates a dispatcher that handles all keys in this instance.
    pub fn new(runtime: Arc<Runtime>) -> Self {
        Self {
            runtime,
            peers: None,
        }
    }

    /// Creates a dispatcher that forwards requests to the owner of each key.
    pub fn with_peers(runtime: Arc<Runtime>, peers: Arc<Peers>) -> Self {
        Self {
            runtime,
            peers: Some(peers),
        }
    }

    /// Submits a job; with `wait`, answers once the job is final.
    pub async fn submit(
        &self,
        submission: Submission,
        wait: bool,
        request: RequestContext,
    ) -> JobAnswer {
        let started = Instant::now();
        let service = Arc::clone(&submission.service);
        let answer = match &self.peers {
            Some(peers) => peers.submit(submission, wait, request).await,
            None => self.runtime.submit(submission, wait, request).await,
        };
        let windows = self.runtime.service_windows();
        let mono_ms = self.runtime.now().mono_ms;
        windows.record(mono_ms, &service, started.elapsed(), &answer);
        answer
    }

    /// Returns a job's state, waiting up to `wait_ms` for it to become final.
    pub async fn fetch(&self, key: &JobKey, wait_ms: u64) -> JobAnswer {
        match &self.peers {
            Some(peers) => peers.fetch(key, wait_ms).await,
            None => self.runtime.fetch(key, wait_ms).await,
        }
    }

    /// Cancels a job.
    pub async fn cancel(&self, key: &JobKey) -> JobAnswer {
        match &self.peers {
            Some(peers) => peers.cancel(key).await,
            None => self.runtime.cancel(key).await,
        }
    }

    /// Opens a span for one hop of a request; a no-op without telemetry.
    pub fn span(&self, hop: Hop, header: Option<&str>) -> HopSpan {
        self.runtime.span(hop, header)
    }

    /// Whether `key` currently has a serving owner.
    pub fn has_owner(&self, key: &JobKey) -> bool {
        let Some(peers) = &self.peers else {
            return true;
        };
        matches!(peers.route(key), Route::Local | Route::Peer(_))
    }

    /// The configuration in force at this instance.
    pub fn config(&self) -> Arc<ConfigSnapshot> {
        self.runtime.config()
    }

    /// Unix time of this instance, in milliseconds.
    pub fn wall_ms(&self) -> u64 {
        self.runtime.now().wall_ms
    }
}

/// Hash by which two submissions under one key count as equal: of the service,
/// the team and the bytes of the payloads.
///
/// Payloads are not normalized: parsing numbers as floats could make different
/// payloads equal, so that a caller would receive the results of another job.
pub fn fingerprint(service: &str, team: &str, tasks: &[Task]) -> u64 {
    let mut hash = Xxh3::new();
    let mut add = |part: &[u8]| {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    };
    add(service.as_bytes());
    add(team.as_bytes());
    tasks.iter().for_each(|task| add(&task.payload));
    hash.digest()
}
