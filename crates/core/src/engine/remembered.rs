//! Transfer of ended jobs between instances.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use super::command::{Command, JobAnswer, JobState, Refusal};
use super::event::WaiterId;
use super::job::JobEnd;
use super::{Engine, attach, lock, refusal, refused};
use crate::key::JobKey;
use crate::time::Now;

/// An ended job as transferred to another instance.
#[derive(Clone, Debug)]
#[expect(missing_docs, reason = "the field explains itself")]
pub struct RememberedJob {
    pub key: JobKey,
    /// Hash of the submission's body.
    pub fingerprint: u64,
    /// Always [`JobAnswer::Known`].
    pub answer: JobAnswer,
}

/// The ended jobs that an instance remembers.
#[derive(Clone, Debug, Default)]
pub struct RememberedJobs {
    /// Sorted by issue time, newest first.
    pub jobs: Vec<RememberedJob>,
    /// Keys issued before this time may be missing, Unix milliseconds.
    pub from_ms: u64,
}

impl Engine {
    /// Returns all remembered jobs, for the instances that will own these keys.
    /// `None` unless the instance is leaving and no job runs.
    ///
    /// After `Some`, no key is admitted any more: admission checks under the
    /// shard lock whether the instance is leaving, and the shards are read under
    /// the same locks.
    pub fn remembered_jobs(&self, now: Now) -> Option<RememberedJobs> {
        if !self.leaving.load(Ordering::Acquire) {
            return None;
        }
        let mut remembered = RememberedJobs::default();
        for shard in &self.shards {
            let mut shard = lock(shard);
            shard.raise_horizon(self.horizon_ms(now));
            remembered.from_ms = remembered.from_ms.max(shard.horizon_ms());
            shard.copy_ended(&mut remembered.jobs)?;
        }
        let newest_first = |job: &RememberedJob| std::cmp::Reverse(job.key.issued_ms());
        remembered.jobs.sort_by_key(newest_first);
        Some(remembered)
    }

    /// Adds a job that another instance ran; false if the limit of keys is
    /// reached.
    pub fn remember(&self, now: Now, job: RememberedJob) -> bool {
        let RememberedJob {
            key,
            fingerprint,
            answer,
        } = job;
        let Some(end) = job_end(answer) else {
            return true;
        };
        let mut shard = self.shard(&key);
        shard.raise_horizon(self.horizon_ms(now));
        if shard.get(&key).is_some() || shard.is_expired(&key) {
            return true;
        }
        if self.keys.load(Ordering::Relaxed) >= self.settings.jobs.keys_max {
            return false;
        }
        shard.insert_ended(
            Arc::new(key),
            fingerprint,
            end,
            self.shard_results_bytes_max(),
        );
        self.keys.fetch_add(1, Ordering::Relaxed);
        true
    }

    /// Answers a request for a key that this instance must never start: with
    /// the remembered job, or with `not_found`.
    ///
    /// A submission passes its body's `fingerprint`; other requests pass `None`.
    pub fn answer_without_admission(
        &self,
        now: Now,
        key: &JobKey,
        fingerprint: Option<u64>,
        not_found: Refusal,
        waiter: WaiterId,
        out: &mut Vec<Command>,
    ) {
        let mut shard = self.shard(key);
        shard.raise_horizon(self.horizon_ms(now));
        let expired = shard.is_expired(key);
        let Some(entry) = shard.get(key) else {
            let refusal = match expired {
                true => refusal::key_expired(),
                false => not_found,
            };
            return self.refuse(waiter, refusal, out);
        };
        if fingerprint.is_some() {
            self.replayed.fetch_add(1, Ordering::Relaxed);
        }
        match fingerprint.is_none_or(|fingerprint| fingerprint == entry.fingerprint) {
            true => attach(entry, waiter, false, true, out),
            false => out.push(refused(waiter, refusal::key_reused())),
        }
    }
}

fn job_end(answer: JobAnswer) -> Option<JobEnd> {
    match answer {
        JobAnswer::Known {
            state: state @ (JobState::Complete | JobState::Failed | JobState::Cancelled),
            verdict,
            results,
            reason,
            detail,
            replayed: _,
            tasks_done,
            tasks_total,
        } => Some(JobEnd {
            state,
            verdict,
            results,
            reason,
            detail: detail.into(),
            tasks_done,
            tasks_total,
        }),
        JobAnswer::Known { .. } | JobAnswer::Refused(_) => None,
    }
}
