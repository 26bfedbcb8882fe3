//! Evacuation of a failure domain that the operator has closed to new tasks.
//!
//! A job that has not begun is returned to its entry at once, which delegates it to
//! another failure domain. A job that has begun may start tasks for a grace period,
//! in which most jobs complete, since running it elsewhere would discard its work.
//! After that, runs go on until they end, and jobs with waiting tasks are returned.
//!
//! The grace period is counted from when the declarations were last known not to
//! close the failure domain, however late this instance learns of the change, so that it
//! ends within the time that the operator grants.
//!
//! Before it knows any declarations, just after the instance started, an owner starts
//! nothing but keeps its jobs: the declarations are usually known within 20 ms.

use super::*;

/// Whether tasks may start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Closure {
    #[default]
    Open,
    /// No task may start: declarations are not known yet.
    Unknown,
    /// Only tasks of jobs that have begun may start, until `begun_until_ms`.
    Closed {
        /// Milliseconds of the monotonic clock.
        begun_until_ms: u64,
    },
}

/// Reason of jobs that are returned to their entries.
const CLOSED: &str = "the failure domain is closed";

impl Owner {
    /// Stops starting tasks: at once for jobs that have not begun, and from
    /// `begun_until_ms` on for those that have.
    pub fn close(&mut self, now_ms: u64, begun_until_ms: u64, out: &mut Vec<Command>) {
        if matches!(self.closure, Closure::Closed { .. }) {
            return;
        }
        self.closure = Closure::Closed { begun_until_ms };
        self.log_closure("closed", begun_until_ms.saturating_sub(now_ms), out);
        self.return_jobs(now_ms, out);
    }

    /// Starts nothing until [`Self::close`] or [`Self::reopen`] is called.
    pub fn await_declarations(&mut self) {
        self.closure = Closure::Unknown;
    }

    /// Resumes starting tasks.
    pub fn reopen(&mut self, now_ms: u64, out: &mut Vec<Command>) {
        match std::mem::replace(&mut self.closure, Closure::Open) {
            Closure::Open => return,
            Closure::Unknown => {}
            Closure::Closed { .. } => self.log_closure("reopened", 0, out),
        }
        self.queue.invalidate();
        self.schedule(now_ms, out);
    }

    pub(super) fn is_closed(&self) -> bool {
        matches!(self.closure, Closure::Closed { .. })
    }

    /// Whether new jobs may start; false also while declarations are unknown.
    pub(super) fn is_open(&self) -> bool {
        self.closure == Closure::Open
    }

    /// Whether a job's tasks may start.
    pub(super) fn may_start(&self, now_ms: u64, has_begun: bool) -> bool {
        match self.closure {
            Closure::Open => true,
            Closure::Unknown => false,
            Closure::Closed { begun_until_ms } => has_begun && now_ms < begun_until_ms,
        }
    }

    /// Returns the jobs with waiting tasks that may not start to their entries.
    pub(super) fn return_jobs(&mut self, now_ms: u64, out: &mut Vec<Command>) {
        if !self.is_closed() {
            return;
        }
        let jobs = self.jobs.iter().filter(|(_, job)| {
            let waits = job.tasks.iter().any(Task::is_waiting);
            waits && !job.stopping && !self.may_start(now_ms, job.started)
        });
        let keys: Vec<JobKey> = jobs.map(|(key, _)| key).collect();
        for key in keys {
            let outcome = match self.jobs[key].started {
                true => Outcome::Lost,
                false => Outcome::Returned,
            };
            self.end_job(now_ms, key, outcome, CLOSED, out);
        }
    }

    fn log_closure(&self, event: &'static str, begun_for_ms: u64, out: &mut Vec<Command>) {
        let detail = format!(
            "begun jobs may start tasks for {begun_for_ms} ms, jobs {}",
            self.jobs.len()
        );
        out.push(Command::Log(LogEvent::pool(event, detail)));
    }
}
