//! Memory that jobs occupy at an entry and at an owner, estimated from their specifications.

use std::mem::size_of;

use trefoil_schema::dispatch::{Job as JobSpec, Phase};

use super::job::Task;
use super::worker::Run;

/// Name of a task, with the overhead of its allocation.
const TASK_NAME_BYTES: u64 = 64;
/// A start or stop order that waits for its answer.
const ORDER_BYTES: u64 = 256;
/// Footprint above which a job is large.
const LARGE_JOB_BYTES: u64 = 256 * 1024;

/// Returns the bytes that a job's specification occupies.
pub fn spec_bytes(spec: &JobSpec) -> u64 {
    let strings = [&spec.id, &spec.spec, &spec.service, &spec.class];
    let strings = strings.map(String::len).iter().sum::<usize>();
    let phases = spec.phases.iter().map(phase_bytes).sum::<usize>();
    (size_of::<JobSpec>() + strings + phases) as u64
}

fn phase_bytes(phase: &Phase) -> usize {
    let strings = phase.required_label.len() + phase.data_rack.len();
    size_of::<Phase>() + strings + size_of_val(phase.after.as_slice())
}

/// Returns the bytes that a job occupies at its owner, with its runs and their orders.
pub fn owned_job_bytes(spec: &JobSpec) -> u64 {
    let tasks: u64 = spec.phases.iter().map(|phase| u64::from(phase.count)).sum();
    let task_bytes = size_of::<Task>() as u64 + size_of::<Run>() as u64;
    // The payload is kept once more, to be shared by all start orders.
    let payload_bytes = spec.spec.len() as u64;
    spec_bytes(spec) + payload_bytes + tasks * (task_bytes + TASK_NAME_BYTES + ORDER_BYTES)
}

/// Whether `bytes` more fit beside `used_bytes` into `bytes_max`.
///
/// A quarter is reserved for small jobs, so that a few large ones cannot keep them out. An
/// unused budget admits any job, since no job can be split.
pub fn fits(used_bytes: u64, bytes: u64, bytes_max: u64) -> bool {
    let available_bytes = match bytes > LARGE_JOB_BYTES {
        true => bytes_max - bytes_max / 4,
        false => bytes_max,
    };
    used_bytes == 0 || used_bytes.saturating_add(bytes) <= available_bytes
}
