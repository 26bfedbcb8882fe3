//! Liveness of the origins that delegated jobs.

use super::*;

impl Owner {
    /// Records a heartbeat of an origin, which was connected at `alive_ms`.
    pub fn on_origin_heartbeat(&mut self, origin: Origin, alive_ms: u64) {
        self.origin_heartbeats.insert(origin, alive_ms);
        self.unconfirmed_origins.remove(&origin);
    }

    /// Records that a delegation of an origin has arrived, before it is accepted. Until the first
    /// heartbeat, it is all that shows that the origin is connected.
    pub fn on_origin_delegated(&mut self, now_ms: u64, origin: Origin) {
        if !self.origin_heartbeats.contains_key(&origin) {
            self.unconfirmed_origins.entry(origin).or_insert(now_ms);
        }
    }

    /// Time since an origin's link should have timed out. Leases are shortened by it, so
    /// that runs end in time even if this instance notices the loss late.
    pub(super) fn origin_overdue_ms(&self, now_ms: u64, origin: Option<Origin>) -> u64 {
        match origin {
            Some(origin @ Origin::Link(_)) => {
                let heartbeat_ms = self.origin_heartbeats.get(&origin);
                let alive_ms = heartbeat_ms.or_else(|| self.unconfirmed_origins.get(&origin));
                let alive_ms = alive_ms.copied().unwrap_or(now_ms);
                now_ms.saturating_sub(alive_ms + LINK_TIMEOUT_MS)
            }
            Some(Origin::Local) | None => 0,
        }
    }

    /// Maximum of [`Self::origin_overdue_ms`] over the origins of a worker's runs.
    pub(super) fn max_origin_overdue_ms(&self, now_ms: u64, key: WorkerKey) -> u64 {
        let runs = self.workers[key].runs.iter();
        let overdue = runs.filter_map(|run| match run.owner {
            RunOwner::Task(job, _) => self.jobs.get(job),
            RunOwner::Orphan { .. } => None,
        });
        let overdue = overdue.map(|job| self.origin_overdue_ms(now_ms, job.origin));
        overdue.max().unwrap_or(0)
    }

    /// Pauses the jobs of an origin whose link broke. They are stopped unless it
    /// delegates them again over another link within [`ORIGIN_RECONNECT_GRACE_MS`].
    pub fn on_origin_lost(&mut self, now_ms: u64, origin: Origin, out: &mut Vec<Command>) {
        if !self.origin_heartbeats.contains_key(&origin) {
            // No heartbeat bounds its leases, so there is no grace period.
            return self.stop_jobs_of_origin(now_ms, origin, out);
        }
        self.lost_origins.push_back((now_ms, origin));
        let jobs = self.jobs.values_mut();
        let mut paused = 0;
        for job in jobs.filter(|job| job.origin == Some(origin)) {
            job.paused = true;
            paused += 1;
        }
        if paused > 0 {
            let detail = format!("{origin:?} jobs {paused}");
            out.push(Command::Log(LogEvent::pool("origin disconnected", detail)));
        }
        self.queue.invalidate();
    }

    /// Stops the jobs of origins that have not reconnected in time.
    pub(super) fn expire_origins(&mut self, now_ms: u64, out: &mut Vec<Command>) {
        while let Some(&(lost_ms, origin)) = self.lost_origins.front()
            && now_ms >= lost_ms + ORIGIN_RECONNECT_GRACE_MS
        {
            self.lost_origins.pop_front();
            self.stop_jobs_of_origin(now_ms, origin, out);
        }
    }

    fn stop_jobs_of_origin(&mut self, now_ms: u64, origin: Origin, out: &mut Vec<Command>) {
        let of_origin = |(key, job): (JobKey, &Job)| (job.origin == Some(origin)).then_some(key);
        let keys: Vec<JobKey> = self.jobs.iter().filter_map(of_origin).collect();
        for key in keys {
            let id = self.jobs[key].spec.id.clone();
            let mut event = LogEvent::job("origin lost", &id);
            event.detail = format!("{origin:?}");
            out.push(Command::Log(event));
            self.stop_job(now_ms, key, out);
        }
        self.origin_heartbeats.remove(&origin);
        self.unconfirmed_origins.remove(&origin);
        self.schedule(now_ms, out);
    }
}
