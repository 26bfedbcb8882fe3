//! Jobs that are taken back from an owner that is lost, or that says so.
//!
//! What it started may go on until its leases have lapsed. A successor of its own
//! pool may have the job sooner: it sees what runs there. The job says under
//! which ownership it was, so that only that one's successor takes it for safe;
//! a job that was under two within that time is safe with time only.

use super::*;

impl Entry {
    /// The pools of an owner, as this entry knows them.
    pub fn pools_owned_by(&self, owner: &str) -> Vec<PoolOwner> {
        let pools = self
            .pools
            .iter()
            .filter(|(_, view)| view.holder.owner == owner);
        let owned = |(pool, view): (&String, &PoolView)| PoolOwner {
            pool: pool.clone(),
            owner: view.holder.owner.clone(),
        };
        pools.map(owned).collect()
    }

    /// Whether an owner has jobs of this entry.
    pub fn has_jobs_at(&self, owner: &str) -> bool {
        let mut jobs = self.jobs.values();
        jobs.any(|job| matches!(&job.place, Place::Delegated(to) if to.owner == owner))
    }

    /// Delegates no further jobs to an owner; those that it has stay there.
    pub fn stop_delegating_to(&mut self, owner: &str) {
        self.pools.retain(|_, view| view.holder.owner != owner);
    }

    /// The link to an owner is gone.
    pub fn owner_lost(&mut self, now_ms: u64, owner: &str, out: &mut Vec<Command>) {
        for owned in self.pools_owned_by(owner) {
            self.pool_lost(now_ms, &owned, RevocationCause::LinkLost, out);
        }
    }

    /// An owner does not own a pool any more.
    pub fn pool_lost(
        &mut self,
        now_ms: u64,
        owned: &PoolOwner,
        cause: RevocationCause,
        out: &mut Vec<Command>,
    ) {
        let place = Place::Delegated(owned.clone());
        let delegated = self.jobs.iter().filter(|(_, job)| job.place == place);
        let ids: Vec<String> = delegated.map(|(id, _)| id.clone()).collect();
        for id in &ids {
            self.take_back(now_ms, id, true, cause, out);
        }
        let known = self.pools.get(&owned.pool);
        if known.is_some_and(|view| view.holder.owner == owned.owner) {
            self.pools.remove(&owned.pool);
        }
        for id in &ids {
            self.place(now_ms, id, out);
        }
    }

    pub(super) fn take_back(
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
        let Place::Delegated(from) = std::mem::replace(&mut job.place, Place::Waiting) else {
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
        // Runs of two ownerships end only with time.
        let is_only = now_ms >= job.unsafe_until_ms || job.unsafe_holder == job.holder;
        job.unsafe_holder = job.holder.clone().filter(|_| is_only);
        job.unsafe_until_ms = now_ms + REDELEGATION_DELAY_MS;
        job.unsafe_pool = from.pool;
    }
}
