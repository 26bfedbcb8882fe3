//! Callers' jobs at the instance that they were submitted to.
//!
//! An entry keeps a job until it is answered and delegates it to one owner at a time,
//! over one link. When that link is lost, the job is delegated again: at once to the
//! same owner, if another link leads to it, or to the next owner of the same pool, which
//! sees what runs on its workers, but to an owner of another pool only after all runs of
//! the job must have ended.
//!
//! * [`command`]: commands and answers.
//! * [`pool_selection`]: selects the pool for a job.
//! * [`revocation`]: revokes jobs from owners.
//! * [`refusal`]: jobs that are refused or abandoned.

mod command;
mod pool_selection;
mod refusal;
mod revocation;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use trefoil_schema::dispatch::{Claim, Holder, Job as JobSpec, Load, Outcome};

use super::job::total_millicore_ms;
use super::limits::{ORIGIN_RECONNECT_GRACE_MS, PLACEMENT_TIMEOUT_MS, REDELEGATION_DELAY_MS};
use super::link::LinkId;
use super::owner::JobResult;
use super::ownership::holder_of;

use pool_selection::{PoolView, initial_millicores, select_pool};
use refusal::{ALL_CLOSED, Refusal};

pub use command::{Answer, Command, PoolOwner, RequestId, RevocationCause};

#[derive(Clone, Debug, PartialEq)]
enum JobState {
    /// Not delegated to any owner.
    Waiting,
    Delegated(PoolOwner),
}

#[derive(Clone, Debug)]
struct EntryJob {
    spec: JobSpec,
    waiters: Vec<RequestId>,
    arrived_ms: u64,
    deadline_ms: u64,
    state: JobState,
    waiting_since_ms: u64,
    unsafe_until_ms: u64,
    /// Pool in which runs may continue until `unsafe_until_ms`.
    unsafe_pool: String,
    /// The ownership that started these runs; `None` if there were several.
    unsafe_holder: Option<Holder>,
    /// The current or last ownership that the job was delegated to.
    holder: Option<Holder>,
    /// Number of the current or last delegation; 0 before the first.
    delegation: u64,
    /// The link that this delegation was sent over; `None` if it was not sent over any.
    link: Option<LinkId>,
    /// Whether this delegation was revoked because its link was lost, so that the owner may
    /// still have the job.
    is_detached: bool,
    /// Whether an owner that may have started tasks was lost.
    may_have_run: bool,
    /// Pools whose owners have refused it.
    refused_by: Vec<String>,
    /// The last refusal, while the job waits for another pool.
    refusal: Option<Refusal>,
}

impl EntryJob {
    fn is_delegated_over(&self, link: LinkId) -> bool {
        matches!(self.state, JobState::Delegated(_)) && self.link == Some(link)
    }
}

/// The unanswered jobs of this instance's callers.
#[derive(Debug, Default)]
pub struct Entry {
    local_domain: String,
    /// Identifies this entry's numbering of delegations; 0 if it has no identity.
    identity: u64,
    jobs: HashMap<String, EntryJob>,
    requests: HashMap<RequestId, String>,
    /// Number of the last delegation of any job.
    last_delegation: u64,
    pools: BTreeMap<String, PoolView>,
    /// Pools of the local failure domain that this entry uses, with or without owner.
    local_pools: Vec<String>,
    /// Failure domains that have pools; empty until they are known.
    failure_domains: BTreeSet<String>,
}

impl Entry {
    /// Creates an entry of an instance in `local_domain`.
    pub fn new(local_domain: &str) -> Self {
        Self {
            local_domain: local_domain.to_owned(),
            ..Self::default()
        }
    }

    /// Sets the identity by which owners tell this entry's delegations from those of others
    /// and of earlier incarnations.
    #[must_use]
    pub fn with_identity(mut self, identity: u64) -> Self {
        self.identity = identity;
        self
    }

    /// Sets the failure domains that have pools.
    pub fn set_failure_domains(&mut self, names: impl Iterator<Item = String>) {
        self.failure_domains = names.collect();
    }

    /// Accepts a caller's job, or adds the caller to the same job if it is known.
    pub fn submit(
        &mut self,
        now_ms: u64,
        request_id: RequestId,
        spec: JobSpec,
        deadline_ms: u64,
        out: &mut Vec<Command>,
    ) {
        let id = spec.id.clone();
        if let Some(job) = self.jobs.get_mut(&id) {
            if job.spec != spec {
                let answer = Answer::OtherJob;
                return out.push(Command::Answer { request_id, answer });
            }
            job.waiters.push(request_id);
            self.requests.insert(request_id, id);
            return;
        }
        let job = EntryJob {
            spec,
            waiters: vec![request_id],
            arrived_ms: now_ms,
            deadline_ms,
            state: JobState::Waiting,
            waiting_since_ms: now_ms,
            unsafe_until_ms: now_ms,
            unsafe_pool: String::new(),
            unsafe_holder: None,
            holder: None,
            delegation: 0,
            link: None,
            is_detached: false,
            may_have_run: false,
            refused_by: Vec::new(),
            refusal: None,
        };
        self.requests.insert(request_id, id.clone());
        self.jobs.insert(id.clone(), job);
        self.try_delegate(now_ms, &id, out);
    }

    /// Removes a caller; a job without callers is cancelled.
    pub fn on_caller_disconnected(&mut self, request_id: RequestId, out: &mut Vec<Command>) {
        let Some(id) = self.requests.remove(&request_id) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.waiters.retain(|&waiter| waiter != request_id);
        if job.waiters.is_empty() {
            self.cancel(&id, out);
        }
    }

    fn cancel(&mut self, id: &str, out: &mut Vec<Command>) {
        let Some(job) = self.jobs.remove(id) else {
            return;
        };
        if let JobState::Delegated(to) = job.state {
            let (job_id, link) = (id.to_owned(), job.link);
            out.push(Command::Cancel { to, link, job_id });
        }
    }

    /// Handles the result of a job that its owner reports.
    pub fn on_job_ended(
        &mut self,
        now_ms: u64,
        from: &PoolOwner,
        result: &JobResult,
        out: &mut Vec<Command>,
    ) {
        let id = result.job_id.as_str();
        let outcome = result.outcome;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let known = self.pools.get_mut(&from.pool);
        if let Some(view) = known.filter(|view| view.holder.owner == from.owner) {
            view.last_heard_ms = view.last_heard_ms.max(now_ms);
        }
        if job.state != JobState::Delegated(from.clone()) {
            return;
        }
        // Instances before the numbering of delegations report 0.
        if result.delegation != 0 && result.delegation != job.delegation {
            return out.push(Command::StaleResult {
                from: from.clone(),
                result: result.clone(),
                delegation: job.delegation,
            });
        }
        match outcome {
            Outcome::Completed => self.answer(id, Answer::Completed, out),
            Outcome::Failed => self.answer(id, Answer::Failed, out),
            Outcome::NotRun => self.on_refused(now_ms, from, result, out),
            Outcome::Abandoned => {
                let reason = "workers were lost under a task of it too often";
                self.answer(id, Answer::MayHaveRun { reason }, out);
            }
            Outcome::Returned | Outcome::Stopped | Outcome::Lost | Outcome::Unspecified => {
                if let Some(view) = self.pools.get_mut(&from.pool) {
                    view.load.serving = false;
                }
                record_may_have_run(job, outcome);
                let may_run = !matches!(outcome, Outcome::Returned | Outcome::Stopped);
                self.revoke(now_ms, id, may_run, RevocationCause::Told(outcome), out);
                self.try_delegate(now_ms, id, out);
            }
        }
    }

    /// Updates a pool's owner and load from a heartbeat of its owner.
    pub fn update_pool(&mut self, now_ms: u64, claim: &Claim, load: Load, out: &mut Vec<Command>) {
        let Some(holder) = holder_of(claim) else {
            return;
        };
        let known = self.pools.get(&claim.pool);
        if let Some(other) = known.filter(|view| view.holder.owner != holder.owner) {
            let previous = PoolOwner {
                pool: claim.pool.clone(),
                owner: other.holder.owner.clone(),
            };
            self.on_pool_lost(now_ms, &previous, RevocationCause::OwnerChanged, out);
        }
        let known = self.pools.get(&claim.pool);
        let was_known = known.is_some();
        let was_serving = known.is_some_and(|view| view.load.serving);
        let is_serving = load.serving;
        let view = PoolView {
            holder,
            failure_domain: claim.failure_domain.clone(),
            load,
            last_heard_ms: now_ms,
            delegated_millicore_ms: 0,
            delegated_millicores: 0,
        };
        self.pools.insert(claim.pool.clone(), view);
        if !was_known || (is_serving && !was_serving) {
            self.delegate_waiting(now_ms, out);
        }
    }

    /// Extends the liveness timeouts of owners by a time during which this process was
    /// stalled.
    pub fn extend_liveness_timeouts(&mut self, stall_ms: u64) {
        for view in self.pools.values_mut() {
            view.last_heard_ms += stall_ms;
        }
    }

    /// Delegates jobs that have become safe and abandons those that have timed out.
    pub fn tick(&mut self, now_ms: u64, out: &mut Vec<Command>) {
        self.delegate_waiting(now_ms, out);
        let is_over = |job: &EntryJob| {
            let until_ms = match job.refusal {
                Some(refusal) => refusal.until_ms,
                None => job.waiting_since_ms + PLACEMENT_TIMEOUT_MS,
            };
            let is_timed_out = job.state == JobState::Waiting
                && now_ms >= until_ms
                && now_ms >= job.unsafe_until_ms;
            now_ms >= job.deadline_ms || is_timed_out
        };
        let ids: Vec<String> = self
            .jobs
            .iter()
            .filter(|(_, job)| is_over(job))
            .map(|(id, _)| id.clone())
            .collect();
        for id in ids {
            self.abandon(&id, "its time is over", out);
        }
    }

    /// Abandons all jobs at the end of a graceful shutdown.
    pub fn shut_down(&mut self, out: &mut Vec<Command>) {
        let ids: Vec<String> = self.jobs.keys().cloned().collect();
        for id in ids {
            self.abandon(&id, "the instance ends", out);
        }
    }

    fn answer(&mut self, id: &str, answer: Answer, out: &mut Vec<Command>) {
        let Some(job) = self.jobs.remove(id) else {
            return;
        };
        for request_id in job.waiters {
            self.requests.remove(&request_id);
            out.push(Command::Answer { request_id, answer });
        }
    }

    fn delegate_waiting(&mut self, now_ms: u64, out: &mut Vec<Command>) {
        let waiting = self.jobs.iter();
        let waiting = waiting.filter(|(_, job)| job.state == JobState::Waiting);
        let ids: Vec<String> = waiting.map(|(id, _)| id.clone()).collect();
        for id in ids {
            self.try_delegate(now_ms, &id, out);
        }
    }

    /// Selects a pool to which a waiting job may be delegated now. Pools with a recent
    /// heartbeat are preferred.
    fn find_pool(&self, now_ms: u64, job: &EntryJob) -> Option<String> {
        if self.can_reattach(now_ms, job) {
            return Some(job.unsafe_pool.clone());
        }
        let is_safe = now_ms >= job.unsafe_until_ms;
        let serving = self.pools.iter().filter(|(_, view)| view.load.serving);
        let allowed = serving.filter(|(pool, _)| {
            (is_safe || **pool == job.unsafe_pool) && !job.refused_by.contains(pool)
        });
        let allowed: Vec<(&String, &PoolView)> = allowed.collect();
        let fresh = allowed.iter().filter(|(_, view)| !view.is_stale(now_ms));
        select_pool(fresh.copied(), &self.local_domain, &job.spec)
            .or_else(|| select_pool(allowed.iter().copied(), &self.local_domain, &job.spec))
    }

    /// Delegates a waiting job if a pool is available for it.
    fn try_delegate(&mut self, now_ms: u64, id: &str, out: &mut Vec<Command>) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        if job.state != JobState::Waiting {
            return;
        }
        let Some(pool) = self.find_pool(now_ms, job) else {
            if now_ms >= job.unsafe_until_ms && self.all_domains_closed() {
                self.abandon(id, ALL_CLOSED, out);
            }
            return;
        };
        self.delegate(now_ms, id, pool, out);
    }

    fn delegate(&mut self, now_ms: u64, id: &str, pool: String, out: &mut Vec<Command>) {
        let (Some(job), Some(view)) = (self.jobs.get_mut(id), self.pools.get_mut(&pool)) else {
            return;
        };
        view.delegated_millicore_ms += total_millicore_ms(&job.spec);
        view.delegated_millicores += initial_millicores(&job.spec);
        let to = PoolOwner {
            pool,
            owner: view.holder.owner.clone(),
        };
        job.state = JobState::Delegated(to.clone());
        job.holder = Some(view.holder.clone());
        job.link = None;
        job.is_detached = false;
        job.refusal = None;
        self.last_delegation += 1;
        job.delegation = self.last_delegation;
        let mut spec = job.spec.clone();
        spec.delegation = job.delegation;
        spec.delegator = self.identity;
        spec.age_ms = now_ms.saturating_sub(job.arrived_ms);
        out.push(Command::Delegate {
            to,
            spec,
            last_heard_ms: now_ms.saturating_sub(view.last_heard_ms),
            unsafe_for_ms: job.unsafe_until_ms.saturating_sub(now_ms),
            unsafe_holder: job.unsafe_holder.clone(),
        });
    }

    /// Number of unanswered jobs.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether all jobs are answered.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Whether jobs can be delegated, or are refused because all failure domains are
    /// closed.
    pub fn is_ready(&self) -> bool {
        self.all_domains_closed() || self.pools.values().any(|view| view.load.serving)
    }

    /// Whether all failure domains are closed.
    ///
    /// An owner must be known in each of them: after a simultaneous start of all
    /// instances, the first known owners may be in a closed failure domain while
    /// another one is open.
    fn all_domains_closed(&self) -> bool {
        let views = self.pools.values();
        let known: BTreeSet<&String> = views.map(|view| &view.failure_domain).collect();
        let knows_all = self.failure_domains.iter().all(|name| known.contains(name));
        let all_closed = self.pools.values().all(|view| view.load.closed);
        !self.failure_domains.is_empty() && knows_all && all_closed
    }
}

/// Records whether a job may have run, so that it is never answered as not run.
fn record_may_have_run(job: &mut EntryJob, outcome: Outcome) {
    job.may_have_run |= outcome != Outcome::Returned;
}
