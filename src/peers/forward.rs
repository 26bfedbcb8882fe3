//! Requests to a key's owner.
//!
//! A frame can be lost with a connection. The request is therefore asked for
//! again by key, which costs a small message and never a second start: the
//! owner knows the key, or it does not and the submission is sent once more.

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

/// Period of checks whether the owner is still there.
const CHECK_PERIOD: Duration = Duration::from_millis(250);
/// Checks before the owner is first asked again; doubled each time.
const FIRST_REASK_CHECKS: u32 = 4;
/// Time beyond the job's own in which the owner's last word is awaited.
const ANSWER_GRACE_MS: u64 = 1_000;
/// Longest wait for an owner that only reads or cancels.
const SHORT_REQUEST_MS: u64 = 2_000;
/// When to come back to an owner that cannot be reached.
const UNREACHABLE_RETRY_MS: u64 = 500;

/// What is asked of a key's owner.
pub(super) enum Ask<'a> {
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
    /// Submits a job at the owner of its key.
    pub async fn submit(
        &self,
        submission: Submission,
        wait: bool,
        request: RequestContext,
    ) -> JobAnswer {
        let owner = match self.route(&submission.key) {
            Route::Local => {
                return self.context.runtime.submit(submission, wait, request).await;
            }
            Route::Peer(owner) => owner,
            Route::OwnerLost => {
                let fingerprint = submission.fingerprint;
                let ask = Ask::Submit {
                    submission: &submission,
                    wait,
                    traceparent: "",
                };
                return self.recall(&submission.key, Some(fingerprint), &ask).await;
            }
            Route::Unknown { retry_after_ms } => return refused(unknown_owner(retry_after_ms)),
        };
        let mut span = self
            .context
            .runtime
            .span(Hop::Peer, request.traceparent.as_deref());
        if span.is_recording() {
            span.set_attribute("peer", owner.name.clone());
        }
        let traceparent = span.outgoing_traceparent(request.traceparent);
        let traceparent = traceparent.as_deref().unwrap_or_default();
        let limit_ms = submission.timeout_ms + ANSWER_GRACE_MS;
        let ask = Ask::Submit {
            submission: &submission,
            wait,
            traceparent,
        };
        let answer = self.ask(&owner, &submission.key, &ask, limit_ms).await;
        record_answer(&mut span, &answer);
        answer
    }

    /// Tells a job's state, or its end if it comes within `wait_ms`.
    pub async fn fetch(&self, key: &JobKey, wait_ms: u64) -> JobAnswer {
        let owner = match self.route(key) {
            Route::Peer(owner) => owner,
            Route::OwnerLost => return self.recall(key, None, &Ask::Fetch { wait_ms }).await,
            Route::Local | Route::Unknown { .. } => {
                return self.context.runtime.fetch(key, wait_ms).await;
            }
        };
        let limit_ms = wait_ms + SHORT_REQUEST_MS;
        self.ask(&owner, key, &Ask::Fetch { wait_ms }, limit_ms)
            .await
    }

    /// Cancels a job.
    pub async fn cancel(&self, key: &JobKey) -> JobAnswer {
        let owner = match self.route(key) {
            Route::Peer(owner) => owner,
            Route::OwnerLost => return self.recall(key, None, &Ask::Cancel).await,
            Route::Local | Route::Unknown { .. } => return self.context.runtime.cancel(key).await,
        };
        self.ask(&owner, key, &Ask::Cancel, SHORT_REQUEST_MS).await
    }

    async fn ask(&self, owner: &Member, key: &JobKey, ask: &Ask<'_>, limit_ms: u64) -> JobAnswer {
        let started = Instant::now();
        let limit = Duration::from_millis(limit_ms);
        let mut request = self.pending.open();
        if self
            .send_ask(owner, ask.body(request.id(), key, started))
            .is_err()
        {
            return refused(owner_unreachable(owner));
        }
        let mut sent_again = false;
        let mut checks = 0;
        let mut reask_at = FIRST_REASK_CHECKS;
        loop {
            let answer = tokio::time::timeout(CHECK_PERIOD, request.next()).await;
            if let Ok(Some(message)) = answer {
                let answer = convert::answer(message);
                if !(ask.is_submission() && is_unknown_job(&answer)) {
                    return match sent_again {
                        true => judged_late(owner, answer),
                        false => answer,
                    };
                }
                sent_again = true;
                self.counters.count_reasked();
                let _ = self.send_ask(owner, ask.body(request.id(), key, started));
                continue;
            }
            if started.elapsed() >= limit {
                return refused(answer_lost(owner));
            }
            if self.route(key) != Route::Peer(owner.clone()) {
                // It may have left and handed its memory over.
                let answer = self.recall(key, ask.fingerprint(), ask).await;
                return unless_lost(answer, owner);
            }
            checks += 1;
            if checks == reask_at {
                reask_at *= 2;
                self.counters.count_reasked();
                let _ = self.send_ask(owner, ask.again(request.id(), key));
            }
        }
    }

    pub(super) fn send_ask(&self, owner: &Member, body: Body) -> Result<(), LinkError> {
        let address = self.membership().address(owner);
        if let Some(address) = self.dial_address(owner, &address) {
            self.links.set_peer(&owner.name, address);
        }
        self.links.send(&owner.name, body)
    }
}

impl Ask<'_> {
    fn is_submission(&self) -> bool {
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

    /// The small message that asks for the answer once more.
    fn again(&self, request_id: u64, key: &JobKey) -> Body {
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

/// The owner's answer to a submission that reached it late: one that is
/// impossible in the time that was left is not impossible in its own time.
fn judged_late(owner: &Member, answer: JobAnswer) -> JobAnswer {
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

/// A request that reached `owner` may have started something there, unless
/// its successor knows more.
fn unless_lost(answer: JobAnswer, owner: &Member) -> JobAnswer {
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

/// The owner left and handed all over that it knew; the key was not there.
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

fn answer_lost(owner: &Member) -> Refusal {
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
