//! A job in work, and how a job ended.

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
    /// Names a job in work within its pool.
    pub(crate) struct JobId;
}

/// A task that a worker refused before start, to be placed again.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RefusedTask {
    pub index: u32,
    /// Placements so far.
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

/// An admitted job that is not final.
#[derive(Debug)]
pub(crate) struct ActiveJob {
    pub key: Arc<JobKey>,
    pub team: TeamIndex,
    /// Position in the queue's order; smaller goes first.
    pub rank_ms: u64,
    /// Latest start of the last task that still meets the deadline.
    pub latest_start_ms: u64,
    /// Whether the job waits for its team's bound of slots.
    pub parked: bool,
    /// Payload of each task until it is done, then its result.
    pub tasks: Vec<Bytes>,
    pub refused_tasks: Vec<RefusedTask>,
    /// First index that was never placed.
    pub next_unplaced: u32,
    pub running: u32,
    pub done: u32,
    /// Whether a placement had an outcome other than `NotRun`.
    pub may_have_run: bool,
}

impl ActiveJob {
    /// Tasks waiting for a slot.
    pub fn queued(&self) -> u32 {
        self.total() - self.next_unplaced + self.refused_tasks.len() as u32
    }

    /// Tasks without a result.
    pub fn remaining(&self) -> u32 {
        self.total() - self.done
    }

    /// Tasks of the job.
    pub fn total(&self) -> u32 {
        self.tasks.len() as u32
    }

    /// The task to place next; refused ones go first, being the oldest.
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

    /// Takes the task that [`Self::peek`] shows.
    pub fn take_next(&mut self) {
        if self.refused_tasks.pop().is_none() {
            self.next_unplaced += 1;
        }
        self.running += 1;
    }

    /// What is known if the job ends now without a whole answer.
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
    /// The whole answer of a job whose tasks all have results.
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

    /// The end of a job without a whole answer.
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

    /// The answer for a waiter.
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

/// A job that ended within its pool, for the job table.
#[derive(Debug)]
pub(crate) struct EndedJob {
    pub key: Arc<JobKey>,
    pub end: JobEnd,
}
