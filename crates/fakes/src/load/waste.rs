//! Wasted messages, computed from counters read before and after a run.

use std::net::SocketAddr;

use serde::Serialize;

use crate::{client::Client, worker::record::WorkerCounters};

/// Prefix of the names of the entry instances' counters of wasted messages.
const ENTRY_COUNTER_PREFIX: &str = "trefoil_wasted_messages";

/// Messages that did not contribute to the work of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Waste {
    /// Tasks started.
    pub starts: u64,
    /// Task requests that backend servers refused or whose client disconnected.
    pub worker_messages: u64,
    /// `worker_messages` per started task.
    pub worker_messages_per_task: f64,
    /// Wasted messages counted by entry instances.
    pub entry_messages: f64,
    /// `entry_messages` per started task.
    pub entry_messages_per_task: f64,
    /// Number of failed reads of counters; if not 0, the other fields are incomplete.
    pub unread: u64,
}

/// Sums of counters at one time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CounterSnapshot {
    starts: u64,
    worker_messages: u64,
    entry_messages: f64,
    unread: u64,
}

impl CounterSnapshot {
    /// Reads the counters of `workers` and `entries`.
    pub async fn read(client: &Client, workers: &[SocketAddr], entries: &[SocketAddr]) -> Self {
        let mut snapshot = Self::default();
        for &worker in workers {
            match worker_counters(client, worker).await {
                Some(counters) => snapshot.add_worker(&counters),
                None => snapshot.unread += 1,
            }
        }
        for &entry in entries {
            match entry_messages(client, entry).await {
                Some(messages) => snapshot.entry_messages += messages,
                None => snapshot.unread += 1,
            }
        }
        snapshot
    }

    fn add_worker(&mut self, counters: &WorkerCounters) {
        self.starts += counters.starts;
        self.worker_messages += counters.refused_busy
            + counters.refused_ordered
            + counters.malformed
            + counters.dropped;
    }

    /// Waste since an earlier snapshot.
    pub fn since(&self, earlier: &Self) -> Waste {
        let starts = self.starts.saturating_sub(earlier.starts);
        let worker_messages = self.worker_messages.saturating_sub(earlier.worker_messages);
        let entry_messages = (self.entry_messages - earlier.entry_messages).max(0.0);
        let per_task = |messages: f64| match starts {
            0 => 0.0,
            starts => messages / starts as f64,
        };
        Waste {
            starts,
            worker_messages,
            worker_messages_per_task: per_task(worker_messages as f64),
            entry_messages,
            entry_messages_per_task: per_task(entry_messages),
            unread: self.unread + earlier.unread,
        }
    }
}

async fn worker_counters(client: &Client, worker: SocketAddr) -> Option<WorkerCounters> {
    let reply = client.get(worker, "/fake/counters").await.ok()?;
    serde_json::from_slice(&reply.body).ok()
}

async fn entry_messages(client: &Client, entry: SocketAddr) -> Option<f64> {
    let reply = client.get(entry, "/metrics").await.ok()?;
    let page = String::from_utf8_lossy(&reply.body);
    let sum = page
        .lines()
        .filter(|line| line.starts_with(ENTRY_COUNTER_PREFIX))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum();
    reply.status.is_success().then_some(sum)
}
