//! Those who delegated jobs, and the links that they came over.

use super::*;

impl Owner {
    /// An origin had its link at `alive_ms`, by its own word.
    pub fn on_origin_heartbeat(&mut self, origin: Origin, alive_ms: u64) {
        self.alive_ms.insert(origin, alive_ms);
    }

    /// How much longer than it may an origin has gone unheard. Leases are cut
    /// short by that much, however late this instance learns of the loss.
    pub(super) fn overdue_ms(&self, now_ms: u64, origin: Option<Origin>) -> u64 {
        match origin {
            Some(origin @ Origin::Link(_)) => {
                let alive_ms = self.alive_ms.get(&origin).copied().unwrap_or(now_ms);
                now_ms.saturating_sub(alive_ms + LINK_TIMEOUT_MS)
            }
            Some(Origin::Local) | None => 0,
        }
    }

    /// The most overdue origin of a worker's runs.
    pub(super) fn overdue_on(&self, now_ms: u64, key: WorkerKey) -> u64 {
        let runs = self.workers[key].runs.iter();
        let overdue = runs.filter_map(|run| match run.owner {
            RunOwner::Task(job, _) => self.jobs.get(job),
            RunOwner::Orphan { .. } => None,
        });
        let overdue = overdue.map(|job| self.overdue_ms(now_ms, job.origin));
        overdue.max().unwrap_or(0)
    }

    /// The link of an origin broke. Nothing new starts for its jobs, and they
    /// end unless the origin comes back soon with another link.
    pub fn on_origin_lost(&mut self, now_ms: u64, origin: Origin, out: &mut Vec<Command>) {
        if !self.alive_ms.contains_key(&origin) {
            // Nothing tells how long its leases may go on.
            return self.origin_gone(now_ms, origin, out);
        }
        self.lost_origins.push_back((now_ms, origin));
        for (_, job) in &mut self.jobs {
            job.paused |= job.origin == Some(origin);
        }
        self.queue.invalidate();
    }

    /// Ends the jobs of origins that have not come back in time.
    pub(super) fn expire_origins(&mut self, now_ms: u64, out: &mut Vec<Command>) {
        while let Some(&(lost_ms, origin)) = self.lost_origins.front()
            && now_ms >= lost_ms + ORIGIN_RECONNECT_GRACE_MS
        {
            self.lost_origins.pop_front();
            self.origin_gone(now_ms, origin, out);
        }
    }

    /// Ends all jobs of an origin that went away.
    fn origin_gone(&mut self, now_ms: u64, origin: Origin, out: &mut Vec<Command>) {
        let lost = |(key, job): (JobKey, &Job)| (job.origin == Some(origin)).then_some(key);
        let keys: Vec<JobKey> = self.jobs.iter().filter_map(lost).collect();
        for key in keys {
            let id = self.jobs[key].spec.id.clone();
            out.push(Command::Log(LogEvent::job("origin lost", &id)));
            self.abandon(now_ms, key, out);
        }
        self.alive_ms.remove(&origin);
        self.settle(now_ms, out);
    }
}
