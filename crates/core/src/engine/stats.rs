//! Counters and gauges of the engine.

/// Gauges, and counters since the start of the instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[expect(missing_docs, reason = "fields explain themselves")]
pub struct EngineStats {
    /// Remembered keys of running and ended jobs.
    pub keys: u64,
    /// Jobs admitted and not yet final.
    pub jobs_running: u64,
    pub tasks_queued: u64,
    /// Placements running on workers.
    pub tasks_running: u64,
    /// Bytes of results kept for resubmissions.
    pub results_bytes: u64,
    /// Slots assigned to this instance, without borrowed ones.
    pub slots_owned: u64,
    /// Workers currently ejected or on probation.
    pub workers_ejected: u64,
    pub jobs_admitted: u64,
    pub jobs_refused: u64,
    pub jobs_complete: u64,
    /// Jobs that failed, including those past their deadline.
    pub jobs_failed: u64,
    pub jobs_past_deadline: u64,
    pub jobs_cancelled: u64,
    /// Resubmissions answered from a remembered or running job.
    pub jobs_replayed: u64,
    /// Placements started, including retries.
    pub tasks_started: u64,
    /// Placements of tasks that a worker had refused.
    pub tasks_retried: u64,
    /// Slots lent to other instances, summed over all loans.
    pub slots_lent: u64,
    /// Slots borrowed from other instances, summed over all loans.
    pub slots_borrowed: u64,
    /// Requests for slots that a peer answered without lending any.
    pub slots_refused: u64,
    /// Outcomes of unknown placements or of jobs that had already ended.
    pub outcomes_dropped: u64,
}

impl EngineStats {
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
