//! The records of runs that `scripts/measure` writes.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use serde::Deserialize;

use crate::Result;

const US_PER_TICK: f64 = 10_000.0;

/// Summary of a distribution.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub struct Summary {
    pub count: u64,
    pub mean: f64,
    pub p50: f64,
    pub p99: f64,
    pub p999: f64,
    pub max: f64,
}

/// Messages that did not contribute to a result.
#[derive(Clone, Debug, Deserialize)]
pub struct Waste {
    pub starts: u64,
    pub worker_messages_per_task: f64,
    pub entry_messages_per_task: f64,
}

/// The fields of the load tool's report that the tables use.
#[derive(Clone, Debug, Deserialize)]
pub struct LoadReport {
    pub run_s: f64,
    pub whole_s: f64,
    pub jobs: u64,
    pub not_sent: u64,
    pub requests: u64,
    pub complete: u64,
    pub complete_late: u64,
    pub cut_off: u64,
    pub lost: u64,
    pub goodput_tasks_per_s: f64,
    pub response_over_ideal: Summary,
    pub excess_ms: Summary,
    pub send_lag_ms: Summary,
    pub refusals: BTreeMap<String, Summary>,
    pub failures: BTreeMap<String, u64>,
    pub waste: Waste,
    /// CPU time of all instances per started task, in microseconds.
    #[serde(skip)]
    pub entry_us_per_task: Option<f64>,
}

impl LoadReport {
    /// Number of refused submissions.
    pub fn refused(&self) -> u64 {
        self.refusals.values().map(|latency| latency.count).sum()
    }

    /// Number of admitted jobs that missed their deadline.
    pub fn past_deadline(&self) -> u64 {
        self.complete_late + self.failures.get("deadline").copied().unwrap_or_default()
    }

    /// Number of admitted jobs.
    pub fn admitted(&self) -> u64 {
        self.complete + self.failures.values().sum::<u64>()
    }

    /// Tasks of complete jobs per second, over the time until the last answer.
    pub fn goodput_to_last_answer(&self) -> f64 {
        self.goodput_tasks_per_s * self.run_s / self.whole_s
    }

    /// Maximum over the refusal reasons of a quantile of the refusal latency.
    pub fn refusal_ms(&self, quantile: fn(&Summary) -> f64) -> f64 {
        self.refusals.values().map(quantile).fold(0.0, f64::max)
    }
}

/// Resources used by all idle instances together.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Idle {
    pub instances: u32,
    pub span_ms: f64,
    pub store_calls: f64,
    /// CPU time in ticks of 10 ms.
    pub cpu_ticks: f64,
    pub rss_kb: f64,
    pub peer_bytes_sent: f64,
}

/// A run of a measurement.
#[derive(Clone, Debug, Deserialize)]
pub struct Record {
    pub set: String,
    pub name: String,
    pub round: u32,
    pub seed: u64,
    pub cores: u32,
    pub load_before: f64,
    pub load_after: f64,
    /// CPU time of all instances, in ticks of 10 ms.
    pub entry_cpu_ticks: Option<f64>,
    pub report: Option<LoadReport>,
    pub idle: Option<Idle>,
}

/// Reads all records under `dir`, sorted by set, name and round.
pub fn read_all(dir: &Path) -> Result<Vec<Record>> {
    let mut records = Vec::new();
    for set in fs::read_dir(dir)? {
        let set = set?.path();
        if !set.is_dir() {
            continue;
        }
        for file in fs::read_dir(set)? {
            records.push(read(&file?.path())?);
        }
    }
    records.sort_by(|a, b| (&a.set, &a.name, a.round).cmp(&(&b.set, &b.name, b.round)));
    Ok(records)
}

fn read(path: &Path) -> Result<Record> {
    let text = fs::read_to_string(path)?;
    let mut record: Record = serde_json::from_str(&text)
        .map_err(|error| format!("cannot read {}: {error}", path.display()))?;
    if let (Some(report), Some(ticks)) = (&mut record.report, record.entry_cpu_ticks) {
        let starts = report.waste.starts.max(1) as f64;
        report.entry_us_per_task = Some(ticks * US_PER_TICK / starts);
    }
    Ok(record)
}
