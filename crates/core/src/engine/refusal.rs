//! Constructors of the engine's refusals.

use super::command::{Refusal, RefusalReason};
use crate::key::JobKey;
use crate::verdict::Verdict;

/// Minimum retry delay.
const RETRY_MIN_MS: u64 = 100;
/// Retry delay for an instance without workers.
const RETRY_NO_WORKERS_MS: u64 = 1000;
/// Retry delay for an instance that remembers as many keys as it may.
const RETRY_MEMORY_MS: u64 = 5000;

fn not_run(reason: RefusalReason, detail: String, retry_after_ms: u64) -> Refusal {
    Refusal {
        reason,
        detail,
        verdict: Verdict::NotRun,
        retry_after_ms,
    }
}

/// `base_ms` plus a jitter of up to half of it, which depends only on the key.
pub(crate) fn jittered_ms(base_ms: u64, key: &JobKey) -> u64 {
    let base_ms = base_ms.max(RETRY_MIN_MS);
    base_ms + key.hash() % (base_ms / 2)
}

pub(crate) fn key_reused() -> Refusal {
    let detail = "the key was submitted with another body; this body was not run";
    not_run(RefusalReason::KeyReused, detail.to_owned(), 0)
}

pub(crate) fn key_expired() -> Refusal {
    Refusal {
        reason: RefusalReason::KeyExpired,
        detail: "the key is too old, and what became of it is forgotten".to_owned(),
        verdict: Verdict::MayHaveRun,
        retry_after_ms: 0,
    }
}

pub(crate) fn key_ahead() -> Refusal {
    let detail = "the key's issue time is in the future; check the caller's clock";
    not_run(RefusalReason::KeyAhead, detail.to_owned(), 0)
}

pub(crate) fn leaving() -> Refusal {
    let detail = "this instance is leaving; submit through another one";
    not_run(RefusalReason::Leaving, detail.to_owned(), RETRY_MIN_MS)
}

pub(crate) fn not_vouched(key: &JobKey) -> Refusal {
    let detail = "this instance may not admit keys of this time yet";
    let retry_after_ms = jittered_ms(RETRY_MIN_MS, key);
    not_run(RefusalReason::NotVouched, detail.to_owned(), retry_after_ms)
}

pub(crate) fn malformed(detail: &str) -> Refusal {
    not_run(RefusalReason::Malformed, detail.to_owned(), 0)
}

pub(crate) fn too_many_tasks(tasks_max: u32) -> Refusal {
    let detail = format!("a job has at most {tasks_max} tasks; split it");
    not_run(RefusalReason::TooManyTasks, detail, 0)
}

pub(crate) fn memory_full(key: &JobKey) -> Refusal {
    let detail = "too many keys are remembered".to_owned();
    not_run(
        RefusalReason::MemoryFull,
        detail,
        jittered_ms(RETRY_MEMORY_MS, key),
    )
}

pub(crate) fn unknown_team(team: &str) -> Refusal {
    let detail = format!("no team {team} is declared");
    not_run(RefusalReason::UnknownTeam, detail, 0)
}

pub(crate) fn unknown_service(service: &str) -> Refusal {
    let detail = format!("no service {service} is declared");
    not_run(RefusalReason::UnknownService, detail, 0)
}

pub(crate) fn no_workers() -> Refusal {
    let detail = "the service has no worker here that takes work".to_owned();
    not_run(RefusalReason::NoWorkers, detail, RETRY_NO_WORKERS_MS)
}

/// No job of the key is known. If the key is `expired`, its job may have been
/// forgotten.
pub(crate) fn unknown_job(expired: bool) -> Refusal {
    Refusal {
        reason: RefusalReason::UnknownJob,
        detail: "no job of this key is known".to_owned(),
        verdict: match expired {
            true => Verdict::MayHaveRun,
            false => Verdict::NotRun,
        },
        retry_after_ms: 0,
    }
}

/// The job, or one already admitted, would miss its deadline by `excess_ms`.
pub(crate) fn overload(excess_ms: f64, key: &JobKey) -> Refusal {
    let detail = "the job cannot be done by its deadline; come back later or allow more time";
    let retry_after_ms = jittered_ms(excess_ms.ceil() as u64, key);
    not_run(RefusalReason::Overload, detail.to_owned(), retry_after_ms)
}

/// The job takes `ideal_ms` even if all slots are free.
pub(crate) fn impossible(ideal_ms: f64) -> Refusal {
    let ideal_ms = ideal_ms.ceil();
    let detail = format!("the tasks need {ideal_ms} ms even on free slots; allow more time");
    not_run(RefusalReason::Impossible, detail, 0)
}

/// The team's limit of queued tasks is reached; `wait_ms` is the estimated wait.
pub(crate) fn quota(wait_ms: f64, key: &JobKey) -> Refusal {
    let detail = "the team has as many tasks queued as its quota allows".to_owned();
    let retry_after_ms = jittered_ms(wait_ms.ceil() as u64, key);
    not_run(RefusalReason::Quota, detail, retry_after_ms)
}

/// The service's limit of queued tasks is reached.
pub(crate) fn queue_full(wait_ms: f64, key: &JobKey) -> Refusal {
    let detail = "the service's queue is full".to_owned();
    let retry_after_ms = jittered_ms(wait_ms.ceil() as u64, key);
    not_run(RefusalReason::Overload, detail, retry_after_ms)
}
