//! Revocation of jobs from an owner that is lost or returns them.
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

    /// Whether jobs are delegated to an owner.
    pub fn has_jobs_at(&self, owner: &str) -> bool {
        let mut jobs = self.jobs.values();
        jobs.any(|job| matches!(&job.state, JobState::Delegated(to) if to.owner == owner))
    }

    /// Stops the delegation of further jobs to an owner; it keeps those that it has.
    pub fn stop_delegating_to(&mut self, owner: &str) {
        self.pools.retain(|_, view| view.holder.owner != owner);
    }

    /// Revokes the jobs of an owner whose link is down.
    pub fn on_owner_lost(&mut self, now_ms: u64, owner: &str, out: &mut Vec<Command>) {
        // The owner may have jobs although its pools are not known any more.
        self.stop_delegating_to(owner);
        let is_at_owner =
            |job: &EntryJob| matches!(&job.state, JobState::Delegated(to) if to.owner == owner);
        self.revoke_all(now_ms, RevocationCause::LinkLost, is_at_owner, out);
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
        out.push(Command::Revoked {
            job_id: id.to_owned(),
            from: from.clone(),
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
