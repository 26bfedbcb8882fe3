//! Counters of the engine, for metrics.

/// What the engine holds and has counted since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineStats {
    /// Keys remembered, running and final.
    pub keys: u64,
    /// Jobs admitted and not final.
    pub jobs_running: u64,
    /// Tasks queued.
    pub tasks_queued: u64,
    /// Placements out at workers.
    pub tasks_running: u64,
    /// Bytes of results kept for resubmissions.
    pub results_bytes: u64,
    /// Slots of workers that this instance may use.
    pub slots_owned: u64,
    /// Workers ejected now.
    pub workers_ejected: u64,
    /// Jobs admitted.
    pub jobs_admitted: u64,
    /// Submissions refused.
    pub jobs_refused: u64,
    /// Jobs that completed.
    pub jobs_complete: u64,
    /// Jobs that failed, deadlines among them.
    pub jobs_failed: u64,
    /// Jobs that failed by their deadline.
    pub jobs_past_deadline: u64,
    /// Jobs that were cancelled.
    pub jobs_cancelled: u64,
    /// Submissions answered from memory or attached to a running job.
    pub jobs_replayed: u64,
    /// Placements started, retries among them.
    pub tasks_started: u64,
    /// Placements after a refusal of an earlier one.
    pub tasks_retried: u64,
    /// Slots lent to other instances, each loan counted.
    pub slots_lent: u64,
    /// Slots borrowed from other instances, each loan counted.
    pub slots_borrowed: u64,
    /// Requests for slots that a peer answered with none.
    pub slots_refused: u64,
    /// Outcomes that came after their job was final, or for no known placement.
    pub outcomes_dropped: u64,
}

impl EngineStats {
    /// Adds the figures of `other`, field by field.
    pub(crate) fn add(&mut self, other: &Self) {
        self.keys += other.keys;
        self.jobs_running += other.jobs_running;
        self.tasks_queued += other.tasks_queued;
        self.tasks_running += other.tasks_running;
        self.results_bytes += other.results_bytes;
        self.slots_owned += other.slots_owned;
        self.workers_ejected += other.workers_ejected;
        self.jobs_admitted += other.jobs_admitted;
        self.jobs_refused += other.jobs_refused;
        self.jobs_complete += other.jobs_complete;
        self.jobs_failed += other.jobs_failed;
        self.jobs_past_deadline += other.jobs_past_deadline;
        self.jobs_cancelled += other.jobs_cancelled;
        self.jobs_replayed += other.jobs_replayed;
        self.tasks_started += other.tasks_started;
        self.tasks_retried += other.tasks_retried;
        self.slots_lent += other.slots_lent;
        self.slots_refused += other.slots_refused;
        self.slots_borrowed += other.slots_borrowed;
        self.outcomes_dropped += other.outcomes_dropped;
    }
}
