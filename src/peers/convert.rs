//! Conversions between the engine's types and messages between instances.
//!
//! Values that this version does not know are decoded as the safe choice: an unknown
//! reason as `answer_lost`, an unknown verdict as `may_have_run`.

use std::sync::Arc;

use bytes::Bytes;
use derive_more::{Display, Error};
use trefoil_core::engine::{
    FailureReason, JobAnswer, JobState, Refusal, RefusalReason, RememberedJob, Submission, Task,
};
use trefoil_core::key::{JobKey, KeyError};
use trefoil_core::verdict::Verdict;
use trefoil_schema::peer;

use crate::runtime::dispatch::fingerprint;

/// Replaces a failure reason that this version does not know.
pub const FAILURE_UNKNOWN: &str = "failed";

/// Error in a received message.
#[derive(Clone, Debug, Display, Error)]
pub(super) enum DecodeError {
    /// The key is invalid.
    #[display("the key of a forwarded job is invalid")]
    Key(KeyError),
}

/// Encodes a submission for the owner of its key.
pub(super) fn forward_job(
    request_id: u64,
    submission: &Submission,
    wait: bool,
    traceparent: &str,
) -> peer::ForwardJob {
    peer::ForwardJob {
        request_id,
        key: submission.key.as_str().to_owned(),
        service: submission.service.to_string(),
        team: submission.team.to_string(),
        timeout_ms: submission.timeout_ms,
        tasks: submission.tasks.iter().map(task_spec).collect(),
        wait,
        traceparent: traceparent.to_owned(),
    }
}

fn task_spec(task: &Task) -> peer::TaskSpec {
    peer::TaskSpec {
        payload: task.payload.clone(),
        declared_run_ms: task.declared_run_ms,
    }
}

/// Decodes the submission of a forwarded job.
pub(super) fn submission(job: peer::ForwardJob) -> Result<Submission, DecodeError> {
    let key = JobKey::parse(&job.key).map_err(DecodeError::Key)?;
    let tasks: Vec<Task> = job.tasks.into_iter().map(task).collect();
    Ok(Submission {
        key,
        fingerprint: fingerprint(&job.service, &job.team, &tasks),
        service: Arc::from(job.service),
        team: Arc::from(job.team),
        timeout_ms: job.timeout_ms,
        tasks,
    })
}

fn task(spec: peer::TaskSpec) -> Task {
    Task {
        payload: spec.payload,
        declared_run_ms: spec.declared_run_ms,
    }
}

/// Encodes an answer.
pub fn answer_message(request_id: u64, key: &str, answer: &JobAnswer) -> peer::JobAnswer {
    let empty = peer::JobAnswer {
        request_id,
        key: key.to_owned(),
        ..Default::default()
    };
    match answer {
        JobAnswer::Known {
            state,
            verdict,
            results,
            reason,
            detail,
            replayed,
            tasks_done,
            tasks_total,
        } => peer::JobAnswer {
            state: state_to_wire(*state) as i32,
            verdict: verdict_to_wire(*verdict) as i32,
            results: results.to_vec(),
            reason: (*reason).to_owned(),
            detail: detail.clone(),
            replayed: *replayed,
            tasks_done: *tasks_done,
            tasks_total: *tasks_total,
            ..empty
        },
        JobAnswer::Refused(refusal) => peer::JobAnswer {
            state: peer::JobState::Refused as i32,
            verdict: verdict_to_wire(refusal.verdict) as i32,
            reason: refusal.reason.to_string(),
            detail: refusal.detail.clone(),
            retry_after_ms: refusal.retry_after_ms,
            ..empty
        },
    }
}

/// Decodes an answer.
pub fn answer(message: peer::JobAnswer) -> JobAnswer {
    let verdict = verdict_from_wire(message.verdict());
    let Some(state) = state_from_wire(message.state()) else {
        return JobAnswer::Refused(refusal(message, verdict));
    };
    JobAnswer::Known {
        state,
        verdict,
        results: message.results.into(),
        reason: failure_reason(&message.reason),
        detail: message.detail,
        replayed: message.replayed,
        tasks_done: message.tasks_done,
        tasks_total: message.tasks_total,
    }
}

fn refusal(message: peer::JobAnswer, verdict: Verdict) -> Refusal {
    Refusal {
        reason: message.reason.parse().unwrap_or(RefusalReason::AnswerLost),
        detail: message.detail,
        verdict,
        retry_after_ms: message.retry_after_ms,
    }
}

fn failure_reason(name: &str) -> &'static str {
    if name.is_empty() {
        return "";
    }
    let known = name.parse::<FailureReason>();
    known.map_or(FAILURE_UNKNOWN, FailureReason::name)
}

fn state_to_wire(state: JobState) -> peer::JobState {
    match state {
        JobState::Running => peer::JobState::Running,
        JobState::Complete => peer::JobState::Complete,
        JobState::Failed => peer::JobState::Failed,
        JobState::Cancelled => peer::JobState::Cancelled,
    }
}

fn state_from_wire(state: peer::JobState) -> Option<JobState> {
    match state {
        peer::JobState::Running => Some(JobState::Running),
        peer::JobState::Complete => Some(JobState::Complete),
        peer::JobState::Failed => Some(JobState::Failed),
        peer::JobState::Cancelled => Some(JobState::Cancelled),
        peer::JobState::Refused | peer::JobState::Unspecified => None,
    }
}

fn verdict_to_wire(verdict: Verdict) -> peer::Verdict {
    match verdict {
        Verdict::NotRun => peer::Verdict::NotRun,
        Verdict::MayHaveRun => peer::Verdict::MayHaveRun,
        Verdict::Ran => peer::Verdict::Ran,
    }
}

fn verdict_from_wire(verdict: peer::Verdict) -> Verdict {
    match verdict {
        peer::Verdict::NotRun => Verdict::NotRun,
        peer::Verdict::Ran => Verdict::Ran,
        peer::Verdict::MayHaveRun | peer::Verdict::Unspecified => Verdict::MayHaveRun,
    }
}

/// Encodes a remembered job for the handover.
pub(super) fn remembered_key(job: &RememberedJob) -> peer::RememberedKey {
    peer::RememberedKey {
        fingerprint: job.fingerprint,
        answer: Some(answer_message(0, job.key.as_str(), &job.answer)),
    }
}

/// Decodes a remembered job; `None` if it is invalid. Results are copied, so that they
/// do not keep the received frame in memory.
pub(super) fn remembered_job(message: peer::RememberedKey) -> Option<RememberedJob> {
    let mut encoded = message.answer?;
    let key = JobKey::parse(&encoded.key).ok()?;
    for result in &mut encoded.results {
        *result = Bytes::copy_from_slice(result);
    }
    Some(RememberedJob {
        key,
        fingerprint: message.fingerprint,
        answer: answer(encoded),
    })
}

/// Removes the results from an answer. A completed job becomes a failed one with the
/// reason `result_dropped`.
pub(super) fn without_results(answer: &JobAnswer) -> JobAnswer {
    match answer.clone() {
        JobAnswer::Known {
            state: JobState::Complete,
            replayed,
            tasks_done,
            tasks_total,
            ..
        } => JobAnswer::Known {
            state: JobState::Failed,
            verdict: Verdict::Ran,
            results: Vec::new().into(),
            reason: FailureReason::ResultDropped.name(),
            detail: "the job completed; its results cannot be passed on".to_owned(),
            replayed,
            tasks_done,
            tasks_total,
        },
        other => other,
    }
}
