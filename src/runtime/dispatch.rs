//! Where callers' requests enter, and which instance they go to.

use std::sync::Arc;
use std::time::Instant;

use trefoil_core::config::ConfigSnapshot;
use trefoil_core::engine::{JobAnswer, Submission, Task};
use trefoil_core::key::JobKey;
use trefoil_core::membership::Route;
use xxhash_rust::xxh3::Xxh3;

use super::{Arrival, Runtime};
use crate::peers::Peers;
use crate::util::telemetry::trace::{Hop, HopSpan};

/// Takes callers' requests to the instance that owns their key.
#[derive(Clone)]
pub struct Dispatch {
    runtime: Arc<Runtime>,
    peers: Option<Arc<Peers>>,
}

impl Dispatch {
    /// A dispatch to this instance alone.
    pub fn new(runtime: Arc<Runtime>) -> Self {
        Self {
            runtime,
            peers: None,
        }
    }

    /// A dispatch to the owner of each key.
    pub fn with_peers(runtime: Arc<Runtime>, peers: Arc<Peers>) -> Self {
        Self {
            runtime,
            peers: Some(peers),
        }
    }

    /// Submits a job; with `wait` the answer comes when the job is final.
    pub async fn submit(&self, submission: Submission, wait: bool, arrival: Arrival) -> JobAnswer {
        let started = Instant::now();
        let service = Arc::clone(&submission.service);
        let answer = match &self.peers {
            Some(peers) => peers.submit(submission, wait, arrival).await,
            None => self.runtime.submit(submission, wait, arrival).await,
        };
        let windows = self.runtime.service_windows();
        let mono_ms = self.runtime.now().mono_ms;
        windows.record(mono_ms, &service, started.elapsed(), &answer);
        answer
    }

    /// Tells a job's state, or its end if it comes within `wait_ms`.
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

    /// A span for one hop of a request here.
    pub fn span(&self, hop: Hop, header: Option<&str>) -> HopSpan {
        self.runtime.span(hop, header)
    }

    /// Whether a job under `key` would find its owner now.
    pub fn is_owned(&self, key: &JobKey) -> bool {
        let Some(peers) = &self.peers else {
            return true;
        };
        matches!(peers.route(key), Route::Local | Route::Peer(_))
    }

    /// The declarations in force here.
    pub fn config(&self) -> Arc<ConfigSnapshot> {
        self.runtime.config()
    }

    /// Unix time here, in milliseconds.
    pub fn wall_ms(&self) -> u64 {
        self.runtime.now().wall_ms
    }
}

/// Hash of what makes two submissions of one key the same: service, team and
/// the payloads, byte for byte.
///
/// Payloads are not normalised first: reading numbers into floats would make
/// different payloads equal, and one caller would get the other's answer.
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
