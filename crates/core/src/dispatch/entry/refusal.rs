//! Jobs that owners refuse, and jobs that are abandoned.

use super::super::limits::{POOLS_TRIED_MAX, RETRY_AFTER_MS, VACANT_POOL_WAIT_MS};
use super::super::owner::JobResult;
use super::{Answer, Command, Entry, JobState, PoolOwner, RevocationCause};

const NO_CAPACITY: &str = "no worker comes free in time";

pub(super) const ALL_CLOSED: &str = "all failure domains are closed";

/// The caller's answer unless a vacant pool gets an owner before `until_ms`.
#[derive(Clone, Copy, Debug)]
pub(super) struct Refusal {
    pub(super) until_ms: u64,
    pub(super) retry_after_ms: u64,
}

impl Entry {
    /// Sets the pools of the local failure domain that this entry uses.
    pub fn set_local_pools(&mut self, names: Vec<String>) {
        self.local_pools = names;
    }

    /// Whether a local pool that this entry uses has no known owner.
    fn has_vacant_pool(&self) -> bool {
        let serves = |pool: &String| self.pools.get(pool).is_some_and(|view| view.load.serving);
        !self.local_pools.iter().all(serves)
    }

    /// Handles the refusal of a job by an owner that has no resources in time.
    ///
    /// Other pools are tried: loads are known only as of the last heartbeat, and after a
    /// loss of all instances the first pool that has an owner is sent the jobs of all
    /// pools until the others have owners again.
    pub(super) fn on_refused(
        &mut self,
        now_ms: u64,
        from: &PoolOwner,
        result: &JobResult,
        out: &mut Vec<Command>,
    ) {
        let id = result.job_id.as_str();
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.refused_by.push(from.pool.clone());
        let retry_after_ms = result.retry_after_ms.max(RETRY_AFTER_MS);
        let until_ms = job.arrived_ms + VACANT_POOL_WAIT_MS;
        job.refusal = Some(Refusal {
            until_ms,
            retry_after_ms,
        });
        let may_retry = job.refused_by.len() < POOLS_TRIED_MAX && !job.may_have_run;
        self.revoke(
            now_ms,
            id,
            false,
            RevocationCause::Told(result.outcome),
            out,
        );
        if may_retry {
            self.try_delegate(now_ms, id, out);
        }
        // The job is gone if it was answered because all failure domains are closed.
        let job = self.jobs.get(id);
        let is_waiting = job.is_some_and(|job| job.state == JobState::Waiting);
        let may_wait = may_retry && now_ms < until_ms && self.has_vacant_pool();
        if is_waiting && !may_wait {
            self.abandon(id, NO_CAPACITY, out);
        }
    }

    /// Answers a job that does not end in time and cancels it at its owner. `reason`
    /// applies if the job is delegated or all failure domains are closed.
    pub(super) fn abandon(&mut self, id: &str, reason: &'static str, out: &mut Vec<Command>) {
        let job = &self.jobs[id];
        let answer = match &job.state {
            JobState::Waiting if !job.may_have_run => match job.refusal {
                Some(refusal) => Answer::NotRun {
                    retry_after_ms: refusal.retry_after_ms,
                    reason: NO_CAPACITY,
                },
                None => Answer::NotRun {
                    retry_after_ms: RETRY_AFTER_MS,
                    reason: match reason {
                        ALL_CLOSED => ALL_CLOSED,
                        _ => "no owner of workers can be reached",
                    },
                },
            },
            JobState::Waiting => Answer::MayHaveRun {
                reason: "the owner of its workers was lost",
            },
            JobState::Delegated(_) => Answer::MayHaveRun { reason },
        };
        if let JobState::Delegated(to) = job.state.clone() {
            let (job_id, link) = (id.to_owned(), job.link);
            out.push(Command::Cancel { to, link, job_id });
        }
        self.answer(id, answer, out);
    }
}
