//! Wasted messages, read from counters before and after a run.

use std::net::SocketAddr;

use serde::Serialize;

use crate::{client::Client, worker::record::WorkerCounters};

/// Start of the names of the entries' counters of wasted messages.
const ENTRY_COUNTER_PREFIX: &str = "trefoil_wasted_messages";

/// Messages that did no work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Waste {
    /// Tasks started.
    pub starts: u64,
    /// Task requests that backend servers refused or whose caller went away.
    pub worker_messages: u64,
    /// The same, for each task started.
    pub worker_messages_per_task: f64,
    /// Wasted messages as the entries count them.
    pub entry_messages: f64,
    /// The same, for each task started.
    pub entry_messages_per_task: f64,
    /// Counters that could not be read; where there are any, the figures
    /// above are incomplete.
    pub unread: u64,
}

/// Counters summed at one moment.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Reading {
    starts: u64,
    worker_messages: u64,
    entry_messages: f64,
    unread: u64,
}

impl Reading {
    /// Reads the counters of `workers` and `entries`.
    pub async fn take(client: &Client, workers: &[SocketAddr], entries: &[SocketAddr]) -> Self {
        let mut reading = Self::default();
        for &worker in workers {
            match worker_counters(client, worker).await {
                Some(counters) => reading.add_worker(&counters),
                None => reading.unread += 1,
            }
        }
        for &entry in entries {
            match entry_messages(client, entry).await {
                Some(messages) => reading.entry_messages += messages,
                None => reading.unread += 1,
            }
        }
        reading
    }

    fn add_worker(&mut self, counters: &WorkerCounters) {
        self.starts += counters.starts;
        self.worker_messages += counters.refused_busy
            + counters.refused_ordered
            + counters.malformed
            + counters.dropped;
    }

    /// What was wasted since an earlier reading.
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
