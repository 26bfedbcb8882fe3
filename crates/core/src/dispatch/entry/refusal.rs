//! Jobs that owners refuse, jobs that the entry refuses itself, and jobs that are
//! abandoned.
//!
//! Answers load above the capacity, in which a caller is served best by an early refusal:
//!
//! * A refused job is delegated to one more pool, and only if that pool's report says that
//!   the job can begin there before its latest start. Every further attempt costs a round
//!   trip and finds the same load.
//! * The entry refuses a job without asking an owner if all reachable pools have reported
//!   recently that it cannot begin in time. A report is the forecast for a job behind all
//!   others, and owners may place the job before them. It must therefore exceed the
//!   job's slack by [`DELAY_FACTOR_MIN`] and by a margin that grows with the age of the
//!   report.
//!
//! Pools whose owners do not report the shape of their free CPU are tried as before, up
//! to [`POOLS_TRIED_MAX`], and prevent refusals by the entry.

use trefoil_schema::dispatch::Job as JobSpec;

use super::super::job::critical_path_ms;
use super::super::limits::{POOLS_TRIED_MAX, RETRY_AFTER_MS, VACANT_POOL_WAIT_MS};
use super::super::owner::JobResult;
use super::pool_selection::{PoolView, Request, total_millicore_ms};
use super::{
    Answer, Command, Entry, EntryJob, JobState, PoolOwner, RevocationCause, RoutingEvent,
    RoutingOutcome,
};

const NO_CAPACITY: &str = "no worker comes free in time";

pub(super) const ALL_CLOSED: &str = "all failure domains are closed";

/// Number of pools tried for a job if owners report the shape of their free CPU.
const REPORTING_POOLS_TRIED_MAX: usize = 2;
/// Time for a job to reach another owner, and for that one to order its tasks.
const DELEGATION_MS: f64 = 3.0;
/// Margin for the error of a report: the job's slack must be this multiple of the delay
/// reported by the second pool. With 1, 22 in 100 delegations under contention are sent on.
const SECOND_DELAY_FACTOR: f64 = 4.0;
/// Multiple of a job's slack that the reported delays must exceed for a refusal by the
/// entry. Half of the slack is what an owner requires of a class over its share.
const DELAY_FACTOR_MIN: f64 = 0.5;
/// Margin of a refusal by the entry, in milliseconds for each millisecond since the
/// report: a pool works its queue off at this rate if nothing more arrives.
const MARGIN_PER_AGE: f64 = 1.0;
/// Upper bound of the retry delay: longer overload is not a burst.
const RETRY_AFTER_MAX_MS: u64 = 20_000;

/// The caller's answer unless a vacant pool gets an owner before `until_ms`.
#[derive(Clone, Copy, Debug)]
pub(super) struct Refusal {
    pub(super) until_ms: u64,
    pub(super) retry_after_ms: u64,
}

/// Retry delays of callers that the entry refuses.
///
/// They continue from the delay that an owner told last, since it knows the work that
/// all entries were refused. To this is added the work that this entry has refused since,
/// assuming that the other entries refuse as much.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RetrySpread {
    refused_until_ms: u64,
}

impl RetrySpread {
    /// Records the retry delay that an owner told.
    fn observe(&mut self, now_ms: u64, retry_after_ms: u64) {
        let until_ms = now_ms.saturating_add(retry_after_ms.min(RETRY_AFTER_MAX_MS));
        self.refused_until_ms = self.refused_until_ms.max(until_ms);
    }

    /// Retry delay of a caller whose job needs `work_ms` of all pools.
    fn next_ms(&mut self, now_ms: u64, work_ms: f64) -> u64 {
        let from_ms = self.refused_until_ms.max(now_ms + RETRY_AFTER_MS);
        let until_ms = from_ms.saturating_add(work_ms.ceil() as u64);
        self.refused_until_ms = until_ms.min(now_ms + RETRY_AFTER_MAX_MS);
        self.refused_until_ms - now_ms
    }
}

/// The pool with the shortest forecast delay.
struct Soonest {
    delay_ms: f64,
    age_ms: u64,
}

/// Time until the latest start with which the job can still be in time, in milliseconds;
/// negative if it has passed.
pub(super) fn slack_ms(now_ms: u64, job: &EntryJob) -> f64 {
    let run_ms = critical_path_ms(&job.spec.phases) as f64;
    let objective_ms = job.arrived_ms as f64 + job.spec.stretch * run_ms + job.spec.slo_ms as f64;
    f64::min(objective_ms, job.deadline_ms as f64) - run_ms - now_ms as f64
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

    /// Whether a job that owners have refused may be delegated to another pool.
    pub(super) fn may_try(&self, now_ms: u64, job: &EntryJob, view: &PoolView) -> bool {
        let refusals = job.refused_by.len();
        if refusals == 0 {
            return true;
        }
        if !view.reports_room() {
            return refusals < POOLS_TRIED_MAX;
        }
        let delay_ms = view.begin_delay_ms(self.request(now_ms, &job.spec));
        refusals < REPORTING_POOLS_TRIED_MAX
            && delay_ms * SECOND_DELAY_FACTOR + DELEGATION_MS <= slack_ms(now_ms, job)
    }

    pub(super) fn request<'a>(&'a self, now_ms: u64, spec: &'a JobSpec) -> Request<'a> {
        Request {
            now_ms,
            local_domain: &self.local_domain,
            spec,
            entries: self.entries,
        }
    }

    /// Refuses a new job if no reachable pool can begin it in time. Returns whether it
    /// was refused.
    pub(super) fn refuse_if_hopeless(
        &mut self,
        now_ms: u64,
        id: &str,
        out: &mut Vec<Command>,
    ) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let slack_ms = slack_ms(now_ms, job);
        let Some(soonest) = self.hopeless(now_ms, job, slack_ms) else {
            return false;
        };
        let serving = self.pools.values().filter(|view| view.load.serving);
        let capacity = serving.fold(0_u64, |sum, view| {
            sum.saturating_add(view.load.capacity_millicores)
        });
        let work = total_millicore_ms(&job.spec) as f64 * self.entries as f64;
        let retry_after_ms = self
            .retry_spread
            .next_ms(now_ms, work / capacity.max(1) as f64);
        out.push(Command::Routing(RoutingEvent {
            job_id: id.to_owned(),
            delay_ms: soonest.delay_ms as u64,
            age_ms: soonest.age_ms,
            slack_ms: slack_ms as i64,
            outcome: RoutingOutcome::RefusedByEntry { retry_after_ms },
        }));
        let answer = Answer::NotRun {
            retry_after_ms,
            reason: NO_CAPACITY,
        };
        self.answer(id, answer, out);
        true
    }

    /// The reachable pool with the shortest delay, if the job cannot begin in time in any
    /// of them.
    fn hopeless(&self, now_ms: u64, job: &EntryJob, slack_ms: f64) -> Option<Soonest> {
        let is_new = job.delegation == 0 && !job.may_have_run;
        if !is_new || self.has_vacant_pool() || !self.knows_all_domains() {
            return None;
        }
        let request = self.request(now_ms, &job.spec);
        let mut soonest: Option<Soonest> = None;
        for view in self.pools.values().filter(|view| view.load.serving) {
            // The owner of a pool with an old report must be asked.
            if !view.reports_room() || view.is_report_stale(now_ms) || view.fits(&job.spec) {
                return None;
            }
            let age_ms = view.report_age_ms(now_ms);
            let delay_ms = view.reported_delay_ms(request);
            let needed_ms = slack_ms.max(0.0) * DELAY_FACTOR_MIN + age_ms as f64 * MARGIN_PER_AGE;
            if delay_ms <= needed_ms {
                return None;
            }
            if soonest
                .as_ref()
                .is_none_or(|known| delay_ms < known.delay_ms)
            {
                soonest = Some(Soonest { delay_ms, age_ms });
            }
        }
        soonest
    }

    /// Handles the refusal of a job by an owner that has no resources in time.
    ///
    /// One more pool is tried: loads are known only as of the last heartbeat, and after a
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
        self.retry_spread.observe(now_ms, result.retry_after_ms);
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
        let is_delegated = self.jobs[id].state != JobState::Waiting;
        let waits = !is_delegated && may_retry && now_ms < until_ms && self.has_vacant_pool();
        if waits {
            return;
        }
        out.push(self.second_attempt_event(now_ms, id, retry_after_ms));
        if !is_delegated {
            self.abandon(id, NO_CAPACITY, out);
        }
    }

    /// The decision on a job that an owner has refused, with the pool that was selected,
    /// or else the one with the shortest delay.
    fn second_attempt_event(&self, now_ms: u64, id: &str, retry_after_ms: u64) -> Command {
        let job = &self.jobs[id];
        let request = self.request(now_ms, &job.spec);
        let (outcome, view) = match &job.state {
            JobState::Delegated(to) => {
                let outcome = RoutingOutcome::SentOn { to: to.clone() };
                (outcome, self.pools.get(&to.pool))
            }
            JobState::Waiting => {
                let others = self.pools.iter();
                let others = others
                    .filter(|(pool, view)| view.load.serving && !job.refused_by.contains(pool));
                let soonest = others.map(|(_, view)| view).min_by(|left, right| {
                    let delay_ms = |view: &PoolView| view.begin_delay_ms(request);
                    delay_ms(left).total_cmp(&delay_ms(right))
                });
                (RoutingOutcome::NotSentOn { retry_after_ms }, soonest)
            }
        };
        Command::Routing(RoutingEvent {
            job_id: id.to_owned(),
            delay_ms: view.map_or(0, |view| view.begin_delay_ms(request) as u64),
            age_ms: view.map_or(0, |view| view.report_age_ms(now_ms)),
            slack_ms: slack_ms(now_ms, job) as i64,
            outcome,
        })
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
            let job_id = id.to_owned();
            out.push(Command::Cancel { to, job_id });
        }
        self.answer(id, answer, out);
    }
}
