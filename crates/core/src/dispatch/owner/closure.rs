//! A failure domain that the operator has closed to new tasks.
//!
//! Load pattern: all callers of a failure domain are served elsewhere from one
//! moment on, and its jobs are in the middle of their work. A job of which
//! nothing has run goes back to its entry at once, which has another failure
//! domain run it. One that has begun goes on here for a moment: nearly all end
//! in that time, and to run them elsewhere would throw their work away. What runs
//! when the moment is over ends by itself; a job that still waits for a task then
//! goes back.
//!
//! The moment ends within the time that the operator grants, counted from when
//! the declarations were last known not to say so, however late this instance
//! learns of it.
//!
//! An owner that knows no declarations yet starts nothing either, but keeps its
//! jobs: just after a start they are known within 20 ms.

use super::*;

/// Whether tasks may start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Closure {
    /// They may.
    #[default]
    Open,
    /// No task may yet: no declarations are known.
    Unknown,
    /// Only tasks of jobs that have begun may, until then.
    Closed {
        /// Milliseconds of the steady clock.
        begun_until_ms: u64,
    },
}

/// Why a job goes back to its entry.
const CLOSED: &str = "the failure domain is closed";

impl Owner {
    /// Starts nothing new from now on, and for begun jobs from `begun_until_ms`.
    pub fn close(&mut self, now_ms: u64, begun_until_ms: u64, out: &mut Vec<Command>) {
        if matches!(self.closure, Closure::Closed { .. }) {
            return;
        }
        self.closure = Closure::Closed { begun_until_ms };
        self.note_closure("closed", begun_until_ms.saturating_sub(now_ms), out);
        self.send_away(now_ms, out);
    }

    /// Starts nothing until it is told whether the failure domain is closed.
    pub fn await_declarations(&mut self) {
        self.closure = Closure::Unknown;
    }

    /// Starts tasks again.
    pub fn reopen(&mut self, now_ms: u64, out: &mut Vec<Command>) {
        match std::mem::replace(&mut self.closure, Closure::Open) {
            Closure::Open => return,
            Closure::Unknown => {}
            Closure::Closed { .. } => self.note_closure("reopened", 0, out),
        }
        self.queue.invalidate();
        self.settle(now_ms, out);
    }

    /// Whether the operator has closed the failure domain.
    pub(super) fn is_closed(&self) -> bool {
        matches!(self.closure, Closure::Closed { .. })
    }

    /// Whether new jobs may start here.
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

    /// Gives back the jobs of which a task waits that may not start here.
    pub(super) fn send_away(&mut self, now_ms: u64, out: &mut Vec<Command>) {
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
            self.finish(now_ms, key, outcome, CLOSED, out);
        }
    }

    fn note_closure(&self, event: &'static str, begun_for_ms: u64, out: &mut Vec<Command>) {
        let detail = format!(
            "begun jobs may start tasks for {begun_for_ms} ms, jobs {}",
            self.jobs.len()
        );
        out.push(Command::Log(LogEvent::pool(event, detail)));
    }
}
