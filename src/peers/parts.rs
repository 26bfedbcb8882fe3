//! Splits remembered jobs into parts of limited size.

use trefoil_core::engine::{JobAnswer, RememberedJob};
use trefoil_schema::peer::RememberedKey;

use super::convert;

/// Limits of the handover to one successor.
#[derive(Clone, Copy, Debug)]
pub(super) struct PartLimits {
    /// Maximum size of a part, in bytes; results of larger jobs are dropped.
    pub(super) part_bytes_max: usize,
    /// Maximum number of keys in a part.
    pub(super) part_keys_max: usize,
    /// Maximum size of all results, in bytes. Results of the newest keys are preferred;
    /// jobs beyond the limit are handed over without results.
    pub(super) results_bytes_max: usize,
}

impl Default for PartLimits {
    fn default() -> Self {
        Self {
            part_bytes_max: 1 << 20,
            part_keys_max: 4_096,
            results_bytes_max: 64 << 20,
        }
    }
}

/// Allowance for the fields of a key other than its results, in bytes.
const KEY_BYTES: usize = 300;

/// Splits `jobs` into parts, in order; returns at least one part, which may be empty.
pub(super) fn parts(jobs: &[RememberedJob], limits: &PartLimits) -> Vec<Vec<RememberedKey>> {
    let mut parts = vec![Vec::new()];
    let mut part_bytes = 0;
    let mut results_bytes = 0;
    for job in jobs {
        let mut job = job.clone();
        let bytes = result_bytes(&job);
        if results_bytes + bytes > limits.results_bytes_max || bytes > limits.part_bytes_max {
            job.answer = convert::without_results(&job.answer);
        } else {
            results_bytes += bytes;
        }
        let bytes = KEY_BYTES + result_bytes(&job);
        let part_keys = parts.last().map_or(0, Vec::len);
        if part_keys == limits.part_keys_max
            || (part_keys > 0 && part_bytes + bytes > limits.part_bytes_max)
        {
            parts.push(Vec::new());
            part_bytes = 0;
        }
        part_bytes += bytes;
        if let Some(part) = parts.last_mut() {
            part.push(convert::remembered_key(&job));
        }
    }
    parts
}

fn result_bytes(job: &RememberedJob) -> usize {
    match &job.answer {
        JobAnswer::Known { results, .. } => results.iter().map(|result| result.len()).sum(),
        JobAnswer::Refused(_) => 0,
    }
}
