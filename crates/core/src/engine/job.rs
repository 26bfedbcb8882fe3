//! Admitted jobs and how they ended.

use std::sync::Arc;

use bytes::Bytes;
use slotmap::new_key_type;

use super::command::{JobAnswer, JobState};
use super::event::WorkerId;
use super::failure::FailureReason;
use super::teams::TeamIndex;
use crate::key::JobKey;
use crate::verdict::Verdict;

new_key_type! {
    /// Identifies an active job within its pool.
    pub(crate) struct JobId;
}

/// A task that a worker refused before its start, to be placed again.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RefusedTask {
    pub index: u32,
    /// Number of placements so far.
    pub attempts: u32,
    /// The worker that refused it last.
    pub refused_by: WorkerId,
}

/// The next task of a job to place.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NextTask {
    pub index: u32,
    pub attempt: u32,
    pub avoid: Option<WorkerId>,
}

/// An admitted job that is not yet final.
#[derive(Debug)]
pub(crate) struct ActiveJob {
    pub key: Arc<JobKey>,
    pub team: TeamIndex,
    /// Sort key in the queue; lower ranks are placed first.
    pub rank_ms: u64,
    /// Latest time at which the last task can start and meet the deadline.
    pub latest_start_ms: u64,
    /// Whether the job is out of the queue because its team uses all the slots
    /// that it may.
    pub parked: bool,
    /// Each task's payload, replaced by its result when the task is done.
    pub tasks: Vec<Bytes>,
    pub refused_tasks: Vec<RefusedTask>,
    /// Lowest index that was never placed.
    pub next_unplaced: u32,
    pub running: u32,
    pub done: u32,
    /// Whether any placement ended with an outcome other than `NotRun`.
    pub may_have_run: bool,
}

impl ActiveJob {
    /// Number of tasks waiting for a slot.
    pub fn queued(&self) -> u32 {
        self.total() - self.next_unplaced + self.refused_tasks.len() as u32
    }

    /// Number of tasks without a result.
    pub fn remaining(&self) -> u32 {
        self.total() - self.done
    }

    pub fn total(&self) -> u32 {
        self.tasks.len() as u32
    }

    /// The task to place next. Refused tasks are placed first because they have
    /// waited longest.
    pub fn peek(&self) -> Option<NextTask> {
        if let Some(refused) = self.refused_tasks.last() {
            return Some(NextTask {
                index: refused.index,
                attempt: refused.attempts + 1,
                avoid: Some(refused.refused_by),
            });
        }
        (self.next_unplaced < self.total()).then_some(NextTask {
            index: self.next_unplaced,
            attempt: 1,
            avoid: None,
        })
    }

    /// Marks the task returned by [`Self::peek`] as running.
    pub fn take_next(&mut self) {
        if self.refused_tasks.pop().is_none() {
            self.next_unplaced += 1;
        }
        self.running += 1;
    }

    /// The verdict if the job ends now without all results.
    pub fn verdict(&self) -> Verdict {
        match self.may_have_run || self.running > 0 {
            true => Verdict::MayHaveRun,
            false => Verdict::NotRun,
        }
    }
}

/// How a job ended.
#[derive(Clone, Debug)]
pub(crate) struct JobEnd {
    pub state: JobState,
    pub verdict: Verdict,
    pub results: Arc<[Bytes]>,
    pub reason: &'static str,
    pub detail: Box<str>,
    pub tasks_done: u32,
    pub tasks_total: u32,
}

impl JobEnd {
    /// The end of a job whose tasks all have results.
    pub fn complete(tasks: Vec<Bytes>) -> Self {
        let tasks_total = tasks.len() as u32;
        Self {
            state: JobState::Complete,
            verdict: Verdict::Ran,
            results: tasks.into(),
            reason: "",
            detail: Box::default(),
            tasks_done: tasks_total,
            tasks_total,
        }
    }

    /// The end of a failed or cancelled job.
    pub fn incomplete(
        active: &ActiveJob,
        state: JobState,
        reason: FailureReason,
        detail: String,
    ) -> Self {
        Self {
            state,
            verdict: active.verdict(),
            results: Arc::default(),
            reason: reason.name(),
            detail: detail.into(),
            tasks_done: active.done,
            tasks_total: active.total(),
        }
    }

    pub fn answer(&self, replayed: bool) -> JobAnswer {
        JobAnswer::Known {
            state: self.state,
            verdict: self.verdict,
            results: Arc::clone(&self.results),
            reason: self.reason,
            detail: self.detail.to_string(),
            replayed,
            tasks_done: self.tasks_done,
            tasks_total: self.tasks_total,
        }
    }
}

/// A job that ended in its pool, to be recorded in the job table.
#[derive(Debug)]
pub(crate) struct EndedJob {
    pub key: Arc<JobKey>,
    pub end: JobEnd,
}
