//! Requests to the owner of a key.
//!
//! A request may be lost with its connection. The owner is therefore asked again for
//! the job by its key, which is a small message and never starts the job twice. Only
//! if the owner does not know the key is the submission itself sent again.

use std::time::{Duration, Instant};

use trefoil_core::engine::{JobAnswer, Refusal, RefusalReason, Submission};
use trefoil_core::key::JobKey;
use trefoil_core::membership::Route;
use trefoil_core::verdict::Verdict;
use trefoil_core::view::Member;
use trefoil_schema::peer::message::Body;
use trefoil_schema::peer::{CancelJob, FetchJob};

use super::{Peers, convert};
use crate::links::LinkError;
use crate::runtime::RequestContext;
use crate::util::clock::duration_ms;
use crate::util::telemetry::trace::{Hop, record_answer};

/// Interval of checks whether the owner still owns the key.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Number of checks before the request is repeated; doubled after each repetition.
const FIRST_REASK_CHECKS: u32 = 4;
/// Additional time, after a job's timeout, to wait for the owner's answer.
const ANSWER_GRACE_MS: u64 = 1_000;
/// Time limit of fetch and cancel requests, in addition to the caller's wait.
const SHORT_REQUEST_MS: u64 = 2_000;
/// Retry delay for the caller if the owner cannot be reached.
const UNREACHABLE_RETRY_MS: u64 = 500;

/// A request to the owner of a key.
pub(super) enum OwnerRequest<'a> {
    Submit {
        submission: &'a Submission,
        wait: bool,
        traceparent: &'a str,
    },
    Fetch {
        wait_ms: u64,
    },
    Cancel,
}

impl Peers {
    /// Submits a job to the owner of its key.
    pub(crate) async fn submit(
        &self,
        submission: Submission,
        wait: bool,
        request_context: RequestContext,
    ) -> JobAnswer {
        let owner = match self.route(&submission.key) {
            Route::Local => {
                return self
                    .context
                    .runtime
                    .submit(submission, wait, request_context)
                    .await;
            }
            Route::Peer(owner) => owner,
            Route::OwnerLost => {
                let fingerprint = submission.fingerprint;
                let request = OwnerRequest::Submit {
                    submission: &submission,
                    wait,
                    traceparent: "",
                };
                return self
                    .recall(&submission.key, Some(fingerprint), &request)
                    .await;
            }
            Route::Unknown { retry_after_ms } => return refused(unknown_owner(retry_after_ms)),
        };
        let mut span = self
            .context
            .runtime
            .span(Hop::Peer, request_context.traceparent.as_deref());
        if span.is_recording() {
            span.set_attribute("peer", owner.name.clone());
        }
        let traceparent = span.outgoing_traceparent(request_context.traceparent);
        let traceparent = traceparent.as_deref().unwrap_or_default();
        let limit_ms = submission.timeout_ms + ANSWER_GRACE_MS;
        let request = OwnerRequest::Submit {
            submission: &submission,
            wait,
            traceparent,
        };
        let answer = self
            .request_owner(&owner, &submission.key, &request, limit_ms)
            .await;
        record_answer(&mut span, &answer);
        answer
    }

    /// Returns the state of a job; waits up to `wait_ms` for it to end.
    pub(crate) async fn fetch(&self, key: &JobKey, wait_ms: u64) -> JobAnswer {
        let owner = match self.route(key) {
            Route::Peer(owner) => owner,
            Route::OwnerLost => {
                return self
                    .recall(key, None, &OwnerRequest::Fetch { wait_ms })
                    .await;
            }
            Route::Local | Route::Unknown { .. } => {
                let answer = self.context.runtime.fetch(key, wait_ms).await;
                return self.check_ownership(key, answer);
            }
        };
        let limit_ms = wait_ms + SHORT_REQUEST_MS;
        self.request_owner(&owner, key, &OwnerRequest::Fetch { wait_ms }, limit_ms)
            .await
    }

    /// Cancels a job at the owner of its key.
    pub(crate) async fn cancel(&self, key: &JobKey) -> JobAnswer {
        let owner = match self.route(key) {
            Route::Peer(owner) => owner,
            Route::OwnerLost => return self.recall(key, None, &OwnerRequest::Cancel).await,
            Route::Local | Route::Unknown { .. } => {
                let answer = self.context.runtime.cancel(key).await;
                return self.check_ownership(key, answer);
            }
        };
        self.request_owner(&owner, key, &OwnerRequest::Cancel, SHORT_REQUEST_MS)
            .await
    }

    async fn request_owner(
        &self,
        owner: &Member,
        key: &JobKey,
        request: &OwnerRequest<'_>,
        limit_ms: u64,
    ) -> JobAnswer {
        let started = Instant::now();
        let limit = Duration::from_millis(limit_ms);
        let mut pending = self.pending.open(key, owner);
        if self
            .send_request(owner, request.body(pending.id(), key, started))
            .is_err()
        {
            return refused(owner_unreachable(owner));
        }
        let mut resubmitted = false;
        let mut checks = 0;
        let mut reask_at = FIRST_REASK_CHECKS;
        loop {
            let answer = tokio::time::timeout(CHECK_INTERVAL, pending.next()).await;
            if let Ok(Some(message)) = answer {
                let answer = convert::answer(message);
                if !(request.is_submission() && is_unknown_job(&answer)) {
                    return match resubmitted {
                        true => answer_to_resubmission(owner, answer),
                        false => answer,
                    };
                }
                resubmitted = true;
                // Answers to what was sent before say nothing of this submission.
                pending = self.pending.open(key, owner);
                self.counters.count_reasked();
                let _ = self.send_request(owner, request.body(pending.id(), key, started));
                continue;
            }
            if started.elapsed() >= limit {
                return refused(answer_lost(owner));
            }
            if self.route(key) != Route::Peer(owner.clone()) {
                // The owner may have left and handed over its jobs.
                let answer = self.recall(key, request.fingerprint(), request).await;
                return recalled_answer(answer, owner);
            }
            checks += 1;
            if checks == reask_at {
                reask_at *= 2;
                self.counters.count_reasked();
                let _ = self.send_request(owner, request.repeated_body(pending.id(), key));
            }
        }
    }

    pub(super) fn send_request(&self, owner: &Member, body: Body) -> Result<(), LinkError> {
        let address = self.membership().address(owner);
        if let Some(address) = self.dial_address(owner, &address) {
            self.links.set_peer(&owner.name, address);
        }
        self.links.send(&owner.into(), body)
    }
}

impl OwnerRequest<'_> {
    pub(super) fn is_submission(&self) -> bool {
        matches!(self, Self::Submit { .. })
    }

    fn fingerprint(&self) -> Option<u64> {
        match self {
            Self::Submit { submission, .. } => Some(submission.fingerprint),
            Self::Fetch { .. } | Self::Cancel => None,
        }
    }

    pub(super) fn body(&self, request_id: u64, key: &JobKey, started: Instant) -> Body {
        let key = key.as_str().to_owned();
        match self {
            Self::Submit {
                submission,
                wait,
                traceparent,
            } => {
                let mut job = convert::forward_job(request_id, submission, *wait, traceparent);
                let elapsed_ms = duration_ms(started.elapsed());
                job.timeout_ms = job.timeout_ms.saturating_sub(elapsed_ms);
                Body::ForwardJob(job)
            }
            Self::Fetch { wait_ms } => Body::FetchJob(FetchJob {
                request_id,
                key,
                wait_ms: *wait_ms,
            }),
            Self::Cancel => Body::CancelJob(CancelJob { request_id, key }),
        }
    }

    /// The message that asks for the answer again; a submission is not repeated.
    fn repeated_body(&self, request_id: u64, key: &JobKey) -> Body {
        let key = key.as_str().to_owned();
        match self {
            Self::Submit {
                submission,
                wait: true,
                ..
            } => Body::FetchJob(FetchJob {
                request_id,
                key,
                wait_ms: submission.timeout_ms,
            }),
            Self::Submit { wait: false, .. } => Body::FetchJob(FetchJob {
                request_id,
                key,
                wait_ms: 0,
            }),
            Self::Fetch { wait_ms } => Body::FetchJob(FetchJob {
                request_id,
                key,
                wait_ms: *wait_ms,
            }),
            Self::Cancel => Body::CancelJob(CancelJob { request_id, key }),
        }
    }
}

/// Converts the answer to a submission that was sent again. A job that is impossible
/// in the remaining time may be possible with its full timeout.
fn answer_to_resubmission(owner: &Member, answer: JobAnswer) -> JobAnswer {
    match answer {
        JobAnswer::Refused(refusal) if refusal.reason == RefusalReason::Impossible => {
            refused(Refusal {
                reason: RefusalReason::OwnerUnreachable,
                detail: format!(
                    "the key's owner {} was reached too late for the job's time; come back",
                    owner.name
                ),
                verdict: refusal.verdict,
                retry_after_ms: UNREACHABLE_RETRY_MS,
            })
        }
        other => other,
    }
}

/// Converts the answer of a successor to a request that was sent to `owner` before.
/// Unless the successor knows the job's state, the owner may have started it.
fn recalled_answer(answer: JobAnswer, owner: &Member) -> JobAnswer {
    match answer {
        JobAnswer::Refused(refusal) if refusal.verdict != Verdict::NotRun => {
            refused(answer_lost(owner))
        }
        answer => answer,
    }
}

pub(super) fn is_unknown_job(answer: &JobAnswer) -> bool {
    matches!(answer, JobAnswer::Refused(refusal) if refusal.reason == RefusalReason::UnknownJob)
}

pub(super) fn refused(refusal: Refusal) -> JobAnswer {
    JobAnswer::Refused(refusal)
}

pub(super) fn owner_lost() -> Refusal {
    Refusal {
        reason: RefusalReason::OwnerLost,
        detail: "the instance that owned the key is lost, and its memory with it".to_owned(),
        verdict: Verdict::MayHaveRun,
        retry_after_ms: 0,
    }
}

/// The owner left and handed over all its jobs, without one for this key.
pub(super) fn owner_left() -> Refusal {
    Refusal {
        reason: RefusalReason::OwnerLeft,
        detail: "the key's owner left before it took the job; submit it under a new key".to_owned(),
        verdict: Verdict::NotRun,
        retry_after_ms: 0,
    }
}

pub(super) fn unknown_owner(retry_after_ms: u64) -> Refusal {
    Refusal {
        reason: RefusalReason::NotVouched,
        detail: "the key's owner is not settled yet; come back with the same key".to_owned(),
        verdict: Verdict::MayHaveRun,
        retry_after_ms,
    }
}

fn owner_unreachable(owner: &Member) -> Refusal {
    Refusal {
        reason: RefusalReason::OwnerUnreachable,
        detail: format!(
            "the key's owner {} cannot be reached; nothing was sent",
            owner.name
        ),
        verdict: Verdict::MayHaveRun,
        retry_after_ms: UNREACHABLE_RETRY_MS,
    }
}

pub(super) fn answer_lost(owner: &Member) -> Refusal {
    Refusal {
        reason: RefusalReason::AnswerLost,
        detail: format!(
            "the key's owner {} took the request and has not answered",
            owner.name
        ),
        verdict: Verdict::MayHaveRun,
        retry_after_ms: UNREACHABLE_RETRY_MS,
    }
}
