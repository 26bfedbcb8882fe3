//! Revocation of jobs from an owner that is lost or returns them.
//!
//! A delegation belongs to the link that it was sent over, on both sides: when the link
//! is lost, the entry revokes exactly the jobs that the owner pauses. The owner keeps them
//! for [`ORIGIN_RECONNECT_GRACE_MS`], so that they go on if they are delegated to it again
//! over another link, even if its pool takes no other jobs by then.
//!
//! Runs that the owner started may continue until their leases have expired. Its
//! successor can be given the job sooner, because it sees the runs on the pool's
//! workers. The job carries the ownership that it was under, so that only the direct
//! successor considers it safe. A job that was under two ownerships within that time
//! becomes safe only when the leases have expired.

use super::*;

impl Entry {
    /// The pools that an instance owns, as far as this entry knows.
    pub fn pools_owned_by(&self, owner: &str) -> Vec<PoolOwner> {
        let pools = self
            .pools
            .iter()
            .filter(|(_, view)| view.holder.owner == owner);
        let pool_owner = |(pool, view): (&String, &PoolView)| PoolOwner {
            pool: pool.clone(),
            owner: view.holder.owner.clone(),
        };
        pools.map(pool_owner).collect()
    }

    /// Pools whose next owners waiting jobs can be delegated to sooner than to others.
    pub fn awaited_pools(&self, now_ms: u64) -> BTreeSet<String> {
        let jobs = self.jobs.values();
        let waiting = jobs
            .filter(|job| job.state == JobState::Waiting && now_ms < job.unsafe_until_ms)
            .filter(|job| !job.unsafe_pool.is_empty());
        waiting.map(|job| job.unsafe_pool.clone()).collect()
    }

    /// Whether delegations over a link are in progress.
    pub fn has_jobs_over(&self, link: LinkId) -> bool {
        self.jobs.values().any(|job| job.is_delegated_over(link))
    }

    /// Records the link that a delegation was sent over.
    pub fn on_delegation_sent(&mut self, job_id: &str, delegation: u64, link: LinkId) {
        let job = self.jobs.get_mut(job_id);
        if let Some(job) = job.filter(|job| job.delegation == delegation) {
            job.link = Some(link);
        }
    }

    /// Handles a delegation that could not be sent, so that the owner does not have it.
    pub fn on_delegation_not_sent(
        &mut self,
        now_ms: u64,
        job_id: &str,
        to: &PoolOwner,
        out: &mut Vec<Command>,
    ) {
        self.stop_delegating_to(&to.owner);
        self.revoke(now_ms, job_id, false, RevocationCause::LinkLost, out);
        self.try_delegate(now_ms, job_id, out);
    }

    /// Stops the delegation of further jobs to an owner; it keeps those that it has.
    pub fn stop_delegating_to(&mut self, owner: &str) {
        self.pools.retain(|_, view| view.holder.owner != owner);
    }

    /// Revokes the jobs that were delegated over a link that is down. `other_link` is one
    /// over which jobs can still be delegated to the same `owner`.
    pub fn on_link_lost(
        &mut self,
        now_ms: u64,
        link: LinkId,
        owner: &str,
        other_link: Option<LinkId>,
        out: &mut Vec<Command>,
    ) {
        if other_link.is_none() {
            self.stop_delegating_to(owner);
        }
        let is_affected = |job: &EntryJob| job.is_delegated_over(link);
        self.revoke_all(now_ms, RevocationCause::LinkLost, is_affected, out);
    }

    /// Whether the owner that a job was last delegated to can be reached again and still
    /// keeps the job.
    pub(super) fn can_reattach(&self, now_ms: u64, job: &EntryJob) -> bool {
        let view = self.pools.get(&job.unsafe_pool);
        job.is_detached
            && now_ms < job.waiting_since_ms + ORIGIN_RECONNECT_GRACE_MS
            && view.is_some_and(|view| Some(&view.holder) == job.holder.as_ref())
    }

    /// Revokes the jobs of an owner that no longer owns a pool.
    pub fn on_pool_lost(
        &mut self,
        now_ms: u64,
        pool_owner: &PoolOwner,
        cause: RevocationCause,
        out: &mut Vec<Command>,
    ) {
        let known = self.pools.get(&pool_owner.pool);
        if known.is_some_and(|view| view.holder.owner == pool_owner.owner) {
            self.pools.remove(&pool_owner.pool);
        }
        let state = JobState::Delegated(pool_owner.clone());
        self.revoke_all(now_ms, cause, |job| job.state == state, out);
    }

    /// Revokes all jobs that match, then delegates those that may be delegated now.
    fn revoke_all(
        &mut self,
        now_ms: u64,
        cause: RevocationCause,
        matches: impl Fn(&EntryJob) -> bool,
        out: &mut Vec<Command>,
    ) {
        let jobs = self.jobs.iter().filter(|(_, job)| matches(job));
        let ids: Vec<String> = jobs.map(|(id, _)| id.clone()).collect();
        for id in &ids {
            self.revoke(now_ms, id, true, cause, out);
        }
        for id in &ids {
            self.try_delegate(now_ms, id, out);
        }
    }

    pub(super) fn revoke(
        &mut self,
        now_ms: u64,
        id: &str,
        may_run: bool,
        cause: RevocationCause,
        out: &mut Vec<Command>,
    ) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let JobState::Delegated(from) = std::mem::replace(&mut job.state, JobState::Waiting) else {
            return;
        };
        job.waiting_since_ms = now_ms;
        job.is_detached = may_run && cause == RevocationCause::LinkLost;
        out.push(Command::Revoked {
            job_id: id.to_owned(),
            from: from.clone(),
            link: job.link,
            cause,
        });
        if !may_run {
            return;
        }
        job.may_have_run = true;
        // No successor knows the runs of two ownerships.
        let is_only_ownership = now_ms >= job.unsafe_until_ms || job.unsafe_holder == job.holder;
        job.unsafe_holder = job.holder.clone().filter(|_| is_only_ownership);
        job.unsafe_until_ms = now_ms + REDELEGATION_DELAY_MS;
        job.unsafe_pool = from.pool;
    }
}
