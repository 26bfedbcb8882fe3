//! The keys that may still be submitted, with the state or end of their jobs.
//!
//! A key is removed only when it was issued before the horizon. Keys issued
//! before the horizon are never admitted, so a removed key cannot start again.
//! The horizon never decreases, even if the wall clock is set back.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::mem;
use std::sync::Arc;

use bytes::Bytes;

use super::command::{Command, JobState};
use super::event::WaiterId;
use super::failure::FailureReason;
use super::job::{EndedJob, JobEnd, JobId};
use super::pool::Pool;
use super::remembered::RememberedJob;
use crate::key::JobKey;

/// Maximum number of keys removed per call, to bound the time that the lock is
/// held.
const EXPIRE_BATCH: usize = 256;

/// A request that waits for a job's end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiter {
    pub id: WaiterId,
    /// Whether an earlier submission created the job.
    pub replayed: bool,
}

/// A job that is not yet final.
pub(crate) struct RunningJob {
    pub pool: Arc<Pool>,
    pub job: JobId,
    pub tasks_total: u32,
    pub waiters: Vec<Waiter>,
}

pub(crate) enum KeyState {
    Running(Box<RunningJob>),
    Ended(Box<JobEnd>),
}

pub(crate) struct KeyEntry {
    pub fingerprint: u64,
    pub state: KeyState,
}

/// One shard of the job table.
#[derive(Default)]
pub(crate) struct JobShard {
    entries: HashMap<Arc<JobKey>, KeyEntry>,
    by_issue_time: BTreeSet<(u64, Arc<JobKey>)>,
    /// Keys whose results are kept, in the order in which the jobs ended.
    with_results: VecDeque<Arc<JobKey>>,
    pub results_bytes: u64,
    pub running: u64,
    /// Keys issued before this time are refused, Unix milliseconds.
    horizon_ms: u64,
}

impl JobShard {
    /// Raises the horizon; a lower value is ignored.
    pub fn raise_horizon(&mut self, horizon_ms: u64) {
        self.horizon_ms = self.horizon_ms.max(horizon_ms);
    }

    /// Whether a key is too old to be admitted or remembered.
    pub fn is_expired(&self, key: &JobKey) -> bool {
        key.issued_ms() < self.horizon_ms
    }

    pub fn get(&mut self, key: &JobKey) -> Option<&mut KeyEntry> {
        self.entries.get_mut(key)
    }

    /// Adds a job that was just admitted.
    pub fn insert_running(&mut self, key: Arc<JobKey>, fingerprint: u64, job: RunningJob) {
        self.by_issue_time
            .insert((key.issued_ms(), Arc::clone(&key)));
        let state = KeyState::Running(Box::new(job));
        self.entries.insert(key, KeyEntry { fingerprint, state });
        self.running += 1;
    }

    pub fn horizon_ms(&self) -> u64 {
        self.horizon_ms
    }

    /// Adds a job that ended on another instance.
    pub fn insert_ended(
        &mut self,
        key: Arc<JobKey>,
        fingerprint: u64,
        end: JobEnd,
        results_bytes_max: u64,
    ) {
        self.by_issue_time
            .insert((key.issued_ms(), Arc::clone(&key)));
        let bytes = results_bytes(&end.results);
        let state = KeyState::Ended(Box::new(end));
        self.entries
            .insert(Arc::clone(&key), KeyEntry { fingerprint, state });
        if bytes > 0 {
            self.results_bytes += bytes;
            self.with_results.push_back(key);
            self.drop_results(results_bytes_max);
        }
    }

    /// Adds all ended jobs to `jobs`; returns `None` if a job still runs.
    pub fn copy_ended(&self, jobs: &mut Vec<RememberedJob>) -> Option<()> {
        for (key, entry) in &self.entries {
            let KeyState::Ended(end) = &entry.state else {
                return None;
            };
            jobs.push(RememberedJob {
                key: JobKey::clone(key),
                fingerprint: entry.fingerprint,
                answer: end.answer(true),
            });
        }
        Some(())
    }

    /// Records a job's end, answers its waiters, and drops the oldest results
    /// beyond `results_bytes_max`.
    pub fn end(&mut self, ended: EndedJob, results_bytes_max: u64, out: &mut Vec<Command>) {
        let EndedJob { key, end } = ended;
        let Some(entry) = self.entries.get_mut(&*key) else {
            return;
        };
        let results_bytes = results_bytes(&end.results);
        let ended = KeyState::Ended(Box::new(end.clone()));
        let KeyState::Running(job) = mem::replace(&mut entry.state, ended) else {
            return;
        };
        self.running -= 1;
        answer_all(&job.waiters, &end, out);
        if end.state == JobState::Complete {
            self.results_bytes += results_bytes;
            self.with_results.push_back(key);
            self.drop_results(results_bytes_max);
        }
    }

    fn drop_results(&mut self, results_bytes_max: u64) {
        while self.results_bytes > results_bytes_max {
            let Some(key) = self.with_results.pop_front() else {
                return;
            };
            let Some(entry) = self.entries.get_mut(&*key) else {
                continue;
            };
            let KeyState::Ended(end) = &mut entry.state else {
                continue;
            };
            self.results_bytes -= results_bytes(&end.results);
            end.results = Arc::default();
            end.reason = FailureReason::ResultDropped.name();
            end.detail = "the job completed; its results are no longer kept".into();
        }
    }

    /// Removes a batch of expired keys; returns their number.
    pub fn remove_expired(&mut self) -> usize {
        let mut removed = 0;
        while removed < EXPIRE_BATCH {
            let Some((issued_ms, key)) = self.by_issue_time.first() else {
                break;
            };
            if *issued_ms >= self.horizon_ms || self.is_running(key) {
                break;
            }
            let Some((_, key)) = self.by_issue_time.pop_first() else {
                break;
            };
            self.remove(&key);
            removed += 1;
        }
        removed
    }

    fn is_running(&self, key: &JobKey) -> bool {
        let entry = self.entries.get(key);
        entry.is_some_and(|entry| matches!(entry.state, KeyState::Running(_)))
    }

    fn remove(&mut self, key: &JobKey) {
        let Some(entry) = self.entries.remove(key) else {
            return;
        };
        if let KeyState::Ended(end) = entry.state {
            self.results_bytes -= results_bytes(&end.results);
        }
    }
}

fn answer_all(waiters: &[Waiter], end: &JobEnd, out: &mut Vec<Command>) {
    out.extend(waiters.iter().map(|waiter| Command::Answer {
        waiter: waiter.id,
        answer: end.answer(waiter.replayed),
    }));
}

fn results_bytes(results: &[Bytes]) -> u64 {
    results.iter().map(|result| result.len() as u64).sum()
}
