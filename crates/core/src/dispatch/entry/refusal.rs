//! Jobs that an owner refuses, and those that are given up.

use super::super::limits::{POOLS_TRIED_MAX, RETRY_AFTER_MS, VACANT_POOL_WAIT_MS};
use super::super::owner::JobResult;
use super::{Answer, Command, Entry, Place, PoolOwner, RevocationCause};

/// Why a job is refused that an owner has no room for.
const NO_ROOM: &str = "no worker comes free in time";

/// Why a job is refused that no failure domain may run.
pub(super) const CLOSED: &str = "all failure domains are closed";

/// What the caller is told unless a pool without an owner gets one in time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Refusal {
    pub(super) until_ms: u64,
    pub(super) retry_after_ms: u64,
}

impl Entry {
    /// Takes in which pools of the own failure domain this entry uses.
    pub fn set_local_pools(&mut self, names: Vec<String>) {
        self.home_pools = names;
    }

    /// Whether a pool that this entry uses has no owner that it knows.
    fn awaits_owner(&self) -> bool {
        let serves = |pool: &String| self.pools.get(pool).is_some_and(|view| view.load.serving);
        !self.home_pools.iter().all(serves)
    }

    /// An owner has no room for a job in time: another may.
    ///
    /// Load pattern: pools fill unevenly, and what is known of them is up to a
    /// heartbeat old, so that some refuse while others have room. After a loss
    /// of all instances, the first pool that has an owner gets the jobs of all;
    /// the others follow within half a second.
    pub(super) fn refused(
        &mut self,
        now_ms: u64,
        from: &PoolOwner,
        ending: &JobResult,
        out: &mut Vec<Command>,
    ) {
        let id = ending.job_id.as_str();
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.refused_by.push(from.pool.clone());
        let retry_after_ms = ending.retry_after_ms.max(RETRY_AFTER_MS);
        let until_ms = job.arrived_ms + VACANT_POOL_WAIT_MS;
        job.refusal = Some(Refusal {
            until_ms,
            retry_after_ms,
        });
        let may_try = job.refused_by.len() < POOLS_TRIED_MAX && !job.may_have_run;
        self.take_back(
            now_ms,
            id,
            false,
            RevocationCause::Told(ending.outcome),
            out,
        );
        if may_try {
            self.place(now_ms, id, out);
        }
        let is_placed = self.jobs[id].place != Place::Waiting;
        let waits = may_try && now_ms < until_ms && self.awaits_owner();
        if !is_placed && !waits {
            self.give_up(id, NO_ROOM, out);
        }
    }

    /// Answers a job that does not end in time; `reason` is why, where an owner
    /// has it.
    pub(super) fn give_up(&mut self, id: &str, reason: &'static str, out: &mut Vec<Command>) {
        let job = &self.jobs[id];
        let answer = match &job.place {
            Place::Waiting if !job.may_have_run => match job.refusal {
                Some(refusal) => Answer::NotRun {
                    retry_after_ms: refusal.retry_after_ms,
                    reason: NO_ROOM,
                },
                None => Answer::NotRun {
                    retry_after_ms: RETRY_AFTER_MS,
                    reason: match reason {
                        CLOSED => CLOSED,
                        _ => "no owner of workers can be reached",
                    },
                },
            },
            Place::Waiting => Answer::MayHaveRun {
                reason: "the owner of its workers was lost",
            },
            Place::Delegated(_) => Answer::MayHaveRun { reason },
        };
        if let Place::Delegated(to) = job.place.clone() {
            let job_id = id.to_owned();
            out.push(Command::Cancel { to, job_id });
        }
        self.answer(id, answer, out);
    }
}
